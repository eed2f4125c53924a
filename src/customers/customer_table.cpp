// Hash tables over the customers of all shards.
#include "berylspur/customers/customer_table.h"

#include "berylspur/core/ids.h"

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

void CustomerTable::update(const schema::CustomerShard &shard)
{
    auto &stored = m_shards[shard.number()];
    remove(stored);
    stored = shard;
    for (const auto &customer : stored.customers()) {
        m_byName[customer.name()] = &customer;
        m_limited += customer.rate() > 0 ? 1 : 0;
        for (const auto &key : customer.keys())
            m_byKey[key] = &customer;
    }
}

void CustomerTable::remove(const schema::CustomerShard &shard)
{
    for (const auto &customer : shard.customers()) {
        m_byName.erase(customer.name());
        m_limited -= customer.rate() > 0 ? 1 : 0;
        for (const auto &key : customer.keys()) {
            // The key may have moved to a customer of another shard in the meantime.
            const auto found = m_byKey.find(key);
            if (found != m_byKey.end() && found->second == &customer)
                m_byKey.erase(found);
        }
    }
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
