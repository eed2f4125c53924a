// Lookup of customers by key and by name while shards change.
#define BOOST_TEST_MODULE customer_table
#include "berylspur/customers/customer_table.h"

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <ostream>

using namespace berylspur;

namespace {

/// Keys by customer.
using Customers = std::map<std::string, std::vector<std::string>>;

/// Longer than a string stores without allocation, so that a memory checker finds a reference to a
/// shard that is gone.
const std::string Suffix(40, '0');

schema::CustomerShard makeShard(std::uint32_t number, const Customers &customers)
{
    schema::CustomerShard shard;
    shard.set_number(number);
    for (const auto &[name, keys] : customers) {
        auto &customer = *shard.add_customers();
        customer.set_name(name);
        for (const auto &key : keys)
            customer.add_keys(key + Suffix);
    }
    return shard;
}

struct Update
{
    std::uint32_t shard;
    Customers customers;
};

struct TableCase
{
    const char *guards; ///< failure that the case guards against
    std::vector<Update> updates;
    std::map<std::string, std::string> holders; ///< customer by key, afterwards
    std::size_t customers;
};

std::ostream &operator<<(std::ostream &out, const TableCase &sample)
{
    return out << sample.guards;
}

const std::vector<TableCase> TableCases {
        {"a customer has only one key", {{1, {{"a", {"k", "l"}}}}}, {{"k", "a"}, {"l", "a"}}, 1},
        {"a withdrawn key stays", {{1, {{"a", {"k", "l"}}}}, {1, {{"a", {"l"}}}}}, {{"l", "a"}}, 1},
        {"a customer without keys is forgotten", {{1, {{"a", {"k"}}}}, {1, {{"a", {}}}}}, {}, 1},
        {"a key that moves within a shard is lost",
         {{1, {{"a", {"k"}}, {"b", {}}}}, {1, {{"a", {}}, {"b", {"k"}}}}},
         {{"k", "b"}},
         2},
        {"a key that moves to another shard is lost with its old shard",
         {{1, {{"a", {"k"}}}}, {2, {{"b", {"k"}}}}, {1, {{"a", {}}}}, {1, {}}},
         {{"k", "b"}},
         1},
        {"a key that moves to another shard stays with its old customer",
         {{2, {{"b", {"k"}}}}, {2, {{"b", {}}}}, {1, {{"a", {"k"}}}}},
         {{"k", "a"}},
         2},
        {"an empty shard keeps its customers", {{1, {{"a", {"k"}}}}, {1, {}}}, {}, 0},
};

} // namespace

BOOST_DATA_TEST_CASE(keys_are_found_after_updates, boost::unit_test::data::make(TableCases))
{
    CustomerTable table;
    for (const auto &[shard, customers] : sample.updates)
        table.update(makeShard(shard, customers));
    BOOST_TEST(table.keys() == sample.holders.size());
    BOOST_TEST(table.size() == sample.customers);
    BOOST_TEST(table.isEmpty() == (sample.customers == 0));
    for (const auto *key : {"k", "l"}) {
        const auto *customer = table.find(key + Suffix);
        const auto expected = sample.holders.find(key);
        BOOST_TEST((customer != nullptr) == (expected != sample.holders.end()));
        if (customer && expected != sample.holders.end()) {
            BOOST_TEST(customer->name() == expected->second);
            BOOST_TEST(table.byName(expected->second) == customer);
        }
    }
    BOOST_TEST(!table.find(""));
    BOOST_TEST(!table.find("k"));
}

// Guards against shards that change with the order of the customers, so that nodes would exchange
// them again.
BOOST_AUTO_TEST_CASE(shards_depend_on_names_only)
{
    std::vector<schema::Customer> customers(100);
    for (std::size_t i = 0; i < customers.size(); ++i)
        customers[i].set_name("customer-" + std::to_string(i));
    const auto shards = shardCustomers(customers);
    const auto reversed = shardCustomers({customers.rbegin(), customers.rend()});
    BOOST_TEST((std::equal(shards.begin(), shards.end(), reversed.begin(), reversed.end(),
                           [](const auto &left, const auto &right) {
                               return left.SerializeAsString() == right.SerializeAsString();
                           })));
    for (const auto &shard : shards)
        BOOST_TEST(customerShard(shard.customers(0).name()) == shard.number());
}
