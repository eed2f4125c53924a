// Customers in force and the keys that their callers present.
#pragma once

#include "berylspur/manifest.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace berylspur {

/// Number of shards that customers are divided into. A change of one customer replaces one shard.
inline constexpr std::uint32_t CustomerShards = 64;

/// Shard of the customer \a name.
std::uint32_t customerShard(std::string_view name);

/// Invariant: each key in m_byKey belongs to a customer in m_shards. Keys must not be logged.
class CustomerTable
{
public:
    /// Replaces the customers of a shard. Pointers to its previous customers become invalid.
    void update(const schema::CustomerShard &shard);
    /// Customer that holds \a key; nullptr if there is none.
    const schema::Customer *find(std::string_view key) const;
    /// Customer called \a name; nullptr if there is none.
    const schema::Customer *byName(std::string_view name) const;
    /// True if there are no customers, so that requests need no key.
    bool isEmpty() const { return m_byName.empty(); }
    /// True if a customer has a rate.
    bool hasLimits() const { return m_limited > 0; }
    std::size_t size() const { return m_byName.size(); }
    std::size_t keys() const { return m_byKey.size(); }

private:
    void remove(const schema::CustomerShard &shard);

    std::map<std::uint32_t, schema::CustomerShard> m_shards; ///< owns the names and keys below
    std::unordered_map<std::string_view, const schema::Customer *> m_byKey;
    std::unordered_map<std::string_view, const schema::Customer *> m_byName;
    std::size_t m_limited = 0; ///< customers with a rate
};

} // namespace berylspur
