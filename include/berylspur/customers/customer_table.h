// Customers in force and the keys that their callers present.
#pragma once

#include "berylspur/manifest.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace berylspur {

/// Number of shards that customers are divided into. A change of one customer replaces one shard.
inline constexpr std::uint32_t CustomerShards = 64;

/// Shard of the customer \a name.
std::uint32_t customerShard(std::string_view name);

/// A shard in force. The configuration and the customer table share it, so that a node holds each
/// key once.
using CustomerShardPtr = std::shared_ptr<const schema::CustomerShard>;

/// Divides \a customers into shards without a revision: only those with customers, by number, each
/// sorted by name, so that the order of \a customers does not change their content.
std::vector<schema::CustomerShard> shardCustomers(std::vector<schema::Customer> customers);

/// Invariants: each key in m_byKey belongs to a customer in m_shards, and so does the text that its
/// view refers to; the same holds for names. Keys must not be logged.
class CustomerTable
{
public:
    /// Replaces the customers of a shard. Pointers to its previous customers become invalid. If a
    /// key is held by customers of two shards, the one updated last holds it.
    void update(CustomerShardPtr shard);
    /// The same with a copy of \a shard.
    void update(const schema::CustomerShard &shard);
    /// Customer that holds \a key; nullptr if there is none.
    const schema::Customer *find(std::string_view key) const;
    /// Customer called \a name; nullptr if there is none.
    const schema::Customer *byName(std::string_view name) const;
    /// True if there are no customers, so that requests need no key.
    bool isEmpty() const { return m_byName.empty(); }
    std::size_t size() const { return m_byName.size(); }
    std::size_t keys() const { return m_byKey.size(); }

private:
    using Index = std::unordered_map<std::string_view, const schema::Customer *>;

    static void add(Index &index, std::string_view text, const schema::Customer &customer);
    static void remove(Index &index, std::string_view text, const schema::Customer &customer);

    std::map<std::uint32_t, CustomerShardPtr> m_shards; ///< own the names and keys below
    Index m_byKey;
    Index m_byName;
};

} // namespace berylspur
