// Customers in force and the keys that their callers present.
#pragma once

#include "berylspur/manifest.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
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

/// Hash table of customers by a text that they hold. It keeps no copy of the text and no view of
/// it: both would cost more memory than the customers of a large fleet may take.
class CustomerIndex
{
public:
    /// Returns true if a customer holds the text.
    using Holds = bool (*)(const schema::Customer &customer, std::string_view text);

    explicit CustomerIndex(Holds holds) : m_holds(holds), m_buckets(1) { }

    /// Adds \a text of \a customer; replaces another customer that holds it.
    void add(std::string_view text, const schema::Customer &customer);
    /// Removes \a text unless it belongs to another customer.
    void remove(std::string_view text, const schema::Customer &customer);
    const schema::Customer *find(std::string_view text) const;
    std::size_t size() const { return m_size; }

private:
    struct Entry
    {
        std::uint32_t hash;
        const schema::Customer *customer;
    };
    using Bucket = std::vector<Entry>;

    static std::uint32_t hashOf(std::string_view text);
    Bucket &bucket(std::uint32_t hash) { return m_buckets[hash % m_buckets.size()]; }
    void grow();

    Holds m_holds;
    std::vector<Bucket> m_buckets;
    std::size_t m_size = 0;
};

/// Invariant: each customer in the indexes is in m_shards. Keys must not be logged.
class CustomerTable
{
public:
    CustomerTable();

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
    bool isEmpty() const { return m_byName.size() == 0; }
    /// True if a customer has a rate.
    bool hasLimits() const { return m_limited > 0; }
    std::size_t size() const { return m_byName.size(); }
    std::size_t keys() const { return m_byKey.size(); }

private:
    std::map<std::uint32_t, CustomerShardPtr> m_shards; ///< own the customers below
    CustomerIndex m_byKey;
    CustomerIndex m_byName;
    std::size_t m_limited = 0; ///< customers with a rate
};

} // namespace berylspur
