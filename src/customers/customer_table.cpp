// Hash tables over the customers of all shards.
#include "berylspur/customers/customer_table.h"

#include "berylspur/core/ids.h"

#include <algorithm>
#include <utility>

namespace berylspur {

namespace {

const schema::Customer *
findIn(const std::unordered_map<std::string_view, const schema::Customer *> &table,
       std::string_view name)
{
    const auto found = table.find(name);
    return found == table.end() ? nullptr : found->second;
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

void CustomerTable::update(const schema::CustomerShard &shard)
{
    update(std::make_shared<const schema::CustomerShard>(shard));
}

void CustomerTable::update(CustomerShardPtr shard)
{
    // The previous shard is kept until none of its names and keys is referred to.
    auto &stored = m_shards[shard->number()];
    const auto previous = std::exchange(stored, std::move(shard));
    if (previous) {
        for (const auto &customer : previous->customers()) {
            remove(m_byName, customer.name(), customer);
            for (const auto &key : customer.keys())
                remove(m_byKey, key, customer);
        }
    }
    for (const auto &customer : stored->customers()) {
        add(m_byName, customer.name(), customer);
        for (const auto &key : customer.keys())
            add(m_byKey, key, customer);
    }
}

void CustomerTable::add(Index &index, std::string_view text, const schema::Customer &customer)
{
    // An existing entry is replaced with its view, which refers to text of another shard if a key
    // moves to this customer before the update of that shard.
    index.erase(text);
    index.emplace(text, &customer);
}

void CustomerTable::remove(Index &index, std::string_view text, const schema::Customer &customer)
{
    // The key may have moved to a customer of another shard in the meantime.
    const auto found = index.find(text);
    if (found != index.end() && found->second == &customer)
        index.erase(found);
}

const schema::Customer *CustomerTable::find(std::string_view key) const
{
    return findIn(m_byKey, key);
}

const schema::Customer *CustomerTable::byName(std::string_view name) const
{
    return findIn(m_byName, name);
}

} // namespace berylspur
