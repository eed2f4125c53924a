// Hash tables over the customers of all shards.
#include "berylspur/customers/customer_table.h"

#include "berylspur/core/ids.h"

#include <algorithm>
#include <utility>

namespace berylspur {

namespace {

/// Mean number of entries of a bucket above which a table doubles its buckets.
constexpr std::size_t MaxBucketSize = 8;

bool holdsKey(const schema::Customer &customer, std::string_view key)
{
    const auto &keys = customer.keys();
    return std::find(keys.begin(), keys.end(), key) != keys.end();
}

bool hasName(const schema::Customer &customer, std::string_view name)
{
    return customer.name() == name;
}

} // namespace

std::uint32_t customerShard(std::string_view name)
{
    return static_cast<std::uint32_t>(hash64(name) % CustomerShards);
}

std::vector<schema::CustomerShard> shardCustomers(std::vector<schema::Customer> customers)
{
    std::sort(customers.begin(), customers.end(),
              [](const auto &left, const auto &right) { return left.name() < right.name(); });
    std::map<std::uint32_t, schema::CustomerShard> shards;
    for (auto &customer : customers) {
        const auto number = customerShard(customer.name());
        *shards[number].add_customers() = std::move(customer);
    }
    std::vector<schema::CustomerShard> result;
    result.reserve(shards.size());
    for (auto &[number, shard] : shards) {
        shard.set_number(number);
        result.push_back(std::move(shard));
    }
    return result;
}

std::uint32_t CustomerIndex::hashOf(std::string_view text)
{
    return static_cast<std::uint32_t>(hash64(text));
}

const schema::Customer *CustomerIndex::find(std::string_view text) const
{
    const auto hash = hashOf(text);
    for (const auto &entry : m_buckets[hash % m_buckets.size()]) {
        if (entry.hash == hash && m_holds(*entry.customer, text))
            return entry.customer;
    }
    return nullptr;
}

void CustomerIndex::add(std::string_view text, const schema::Customer &customer)
{
    const auto hash = hashOf(text);
    for (auto &entry : bucket(hash)) {
        if (entry.hash == hash && m_holds(*entry.customer, text)) {
            entry.customer = &customer;
            return;
        }
    }
    if (m_size >= MaxBucketSize * m_buckets.size())
        grow();
    bucket(hash).push_back({hash, &customer});
    ++m_size;
}

void CustomerIndex::remove(std::string_view text, const schema::Customer &customer)
{
    const auto hash = hashOf(text);
    m_size -= std::erase_if(bucket(hash), [&](const Entry &entry) {
        return entry.hash == hash && entry.customer == &customer;
    });
}

void CustomerIndex::grow()
{
    std::vector<Bucket> previous(2 * m_buckets.size());
    previous.swap(m_buckets);
    for (const auto &entries : previous) {
        for (const auto &entry : entries)
            bucket(entry.hash).push_back(entry);
    }
}

CustomerTable::CustomerTable() : m_byKey(holdsKey), m_byName(hasName) { }

void CustomerTable::update(const schema::CustomerShard &shard)
{
    update(std::make_shared<const schema::CustomerShard>(shard));
}

void CustomerTable::update(CustomerShardPtr shard)
{
    // The previous customers are kept until the indexes do not refer to them. Until then the
    // customer of another shard may hold a key that moves to this one, and the reverse.
    auto &stored = m_shards[shard->number()];
    const auto previous = std::exchange(stored, std::move(shard));
    if (previous) {
        for (const auto &customer : previous->customers()) {
            m_byName.remove(customer.name(), customer);
            m_limited -= customer.rate() > 0 ? 1 : 0;
            for (const auto &key : customer.keys())
                m_byKey.remove(key, customer);
        }
    }
    for (const auto &customer : stored->customers()) {
        m_byName.add(customer.name(), customer);
        m_limited += customer.rate() > 0 ? 1 : 0;
        for (const auto &key : customer.keys())
            m_byKey.add(key, customer);
    }
}

const schema::Customer *CustomerTable::find(std::string_view key) const
{
    return m_byKey.find(key);
}

const schema::Customer *CustomerTable::byName(std::string_view name) const
{
    return m_byName.find(name);
}

} // namespace berylspur
