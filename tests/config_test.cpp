// Merge rules of the configuration store.
#define BOOST_TEST_MODULE config
#include "berylspur/config/config_store.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <map>
#include <rapidcheck.h>

using namespace berylspur;

namespace {

/// Fixes the RapidCheck seed, so that every run checks the same cases.
struct FixedSeed
{
    FixedSeed() { setenv("RC_PARAMS", "seed=20261204", 0); }
};
BOOST_TEST_GLOBAL_FIXTURE(FixedSeed);

schema::ServiceConfig service(const std::string &name, std::uint64_t revision, bool deleted)
{
    schema::ServiceConfig config;
    config.set_service(name);
    config.set_revision(revision);
    config.set_deleted(deleted);
    config.mutable_content()->set_name(name);
    config.mutable_content()->set_slots(static_cast<std::uint32_t>(revision));
    return config;
}

schema::ConfigDelta delta(const std::vector<schema::ServiceConfig> &configs)
{
    schema::ConfigDelta message;
    for (const auto &config : configs) {
        message.set_revision(std::max(message.revision(), config.revision()));
        *message.add_services() = config;
    }
    return message;
}

rc::Gen<std::vector<schema::ServiceConfig>> services()
{
    // Each revision has exactly one content, because the platform's conditional write lets only one
    // writer create it.
    const auto one = rc::gen::map(rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(1, 30)),
                                  [](const std::pair<int, int> &p) {
                                      return service("s" + std::to_string(p.first), p.second,
                                                     p.second % 5 == 0);
                                  });
    return rc::gen::container<std::vector<schema::ServiceConfig>>(one);
}

std::string stateOf(const ConfigStore &store)
{
    return store.deltaSince(0).SerializeAsString();
}

/// The complete configuration of \a revision: one service and customers, each with its only key.
schema::ConfigDelta complete(std::uint64_t revision,
                             const std::map<std::string, std::string> &customers)
{
    auto message = delta({service("scan", revision, false)});
    message.mutable_services(0)->mutable_content()->clear_slots();
    std::vector<schema::Customer> list;
    for (const auto &[name, key] : customers) {
        list.emplace_back().set_name(name);
        list.back().add_keys(key);
    }
    for (const auto &shard : shardCustomers(std::move(list)))
        *message.add_customer_shards() = shard;
    return message;
}

/// Names and keys of all customers of \a store.
std::map<std::string, std::string> customersOf(const ConfigStore &store)
{
    std::map<std::string, std::string> customers;
    for (std::uint32_t number = 0; number < CustomerShards; ++number) {
        const auto shard = store.findShard(number);
        for (int i = 0; shard && i < shard->customers_size(); ++i)
            customers[shard->customers(i).name()] = shard->customers(i).keys(0);
    }
    return customers;
}

/// Lets \a to pull from \a from, as nodes with an external configuration do.
void pull(ConfigStore &to, const ConfigStore &from)
{
    const auto hashes = to.contentHashes();
    const auto reply = from.deltaFor(to.revision(), {hashes.begin(), hashes.end()});
    to.merge(reply.complete() ? to.difference(reply) : reply);
}

} // namespace

// Guards against a configuration that is replaced by an older one that arrives late.
BOOST_AUTO_TEST_CASE(revisions_never_decrease)
{
    BOOST_TEST(rc::check("revisions never fall", [] {
        ConfigStore store;
        std::map<std::string, std::uint64_t> highest;
        std::uint64_t revision = 0;
        for (const auto &config : *services()) {
            store.merge(delta({config}));
            highest[config.service()] = std::max(highest[config.service()], config.revision());
            RC_ASSERT(store.revision() >= revision);
            revision = store.revision();
            for (const auto &[name, expected] : highest)
                RC_ASSERT(store.find(name)->revision() == expected);
        }
    }));
}

// Guards against nodes that end up with different configurations if deltas arrive in another order.
BOOST_AUTO_TEST_CASE(order_of_deltas_does_not_matter)
{
    BOOST_TEST(rc::check("order of deltas does not matter", [] {
        auto list = *services();
        ConfigStore forward;
        ConfigStore backward;
        for (const auto &config : list)
            forward.merge(delta({config}));
        std::reverse(list.begin(), list.end());
        for (const auto &config : list)
            backward.merge(delta({config}));
        RC_ASSERT(stateOf(forward) == stateOf(backward));
        RC_ASSERT(backward.merge(delta(list)).empty());
    }));
}

// Guards against a deleted service that is restored from an outdated peer or platform object.
BOOST_AUTO_TEST_CASE(deleted_service_stays_deleted)
{
    ConfigStore store;
    store.merge(delta({service("scan", 3, false)}));
    store.merge(delta({service("scan", 4, true)}));
    BOOST_TEST(store.merge(delta({service("scan", 3, false)})).empty());
    BOOST_TEST(store.find("scan")->deleted());
    BOOST_TEST(!store.find("scan")->has_content());
    BOOST_TEST(store.ignoredOlder() == 1U);
    // The delta carries the deletion to nodes that still have the service.
    BOOST_TEST(store.deltaSince(3).services_size() == 1);
}

// Guards against applying a head from the platform that is older than the configuration in force.
BOOST_AUTO_TEST_CASE(older_head_is_ignored)
{
    ConfigStore store;
    store.merge(delta({service("scan", 7, false)}));
    schema::ManifestHead head;
    head.set_revision(6);
    auto &entry = *head.add_entries();
    entry.set_service("report");
    entry.set_hash("h");
    entry.set_revision(6);
    BOOST_TEST(store.newerEntries(head).empty());
    BOOST_TEST(store.ignoredOlder() == 1U);
    head.set_revision(8);
    entry.set_revision(8);
    BOOST_TEST(store.newerEntries(head).size() == 1U);
}

// Guards against a pull that misses a change or transfers the complete configuration every time.
BOOST_AUTO_TEST_CASE(delta_contains_newer_revisions)
{
    ConfigStore store;
    store.merge(delta({service("a", 1, false), service("b", 2, false), service("c", 3, false)}));
    BOOST_TEST(store.deltaSince(1).services_size() == 2);
    BOOST_TEST(store.deltaSince(3).services_size() == 0);
    BOOST_TEST(store.deltaSince(0).revision() == 3U);
    BOOST_TEST(store.all().size() == 3U);
    BOOST_TEST(store.bytes() > 0U);
}

// Guards against a change of one service that is applied as a change of all services, and against
// services that stay although the configuration no longer has them.
BOOST_AUTO_TEST_CASE(difference_contains_only_changed_services)
{
    const auto complete = [](std::uint64_t revision, const std::map<std::string, int> &slots) {
        schema::ConfigDelta delta;
        delta.set_revision(revision);
        for (const auto &[name, count] : slots) {
            auto &config = *delta.add_services();
            config.set_service(name);
            config.set_revision(revision);
            config.mutable_content()->set_slots(static_cast<std::uint32_t>(count));
        }
        return delta;
    };
    ConfigStore store;
    store.merge(store.difference(complete(3, {{"a", 1}, {"b", 1}, {"c", 1}})));
    const auto delta = store.difference(complete(7, {{"a", 1}, {"b", 2}}));
    BOOST_TEST(delta.services_size() == 2);
    store.merge(delta);
    BOOST_TEST(store.revision() == 7U);
    BOOST_TEST(store.find("a")->revision() == 3U);
    BOOST_TEST(store.find("b")->revision() == 7U);
    BOOST_TEST(store.find("c")->deleted());
    // A service that is added again is a change even if its content is the same as before.
    BOOST_TEST(store.difference(complete(8, {{"a", 1}, {"b", 2}, {"c", 1}})).services_size() == 1);
}

// Guards against a change of one customer that replaces the shards of all customers, and against a
// customer who stays although the configuration no longer has it. "a" and "b" are in two shards.
BOOST_AUTO_TEST_CASE(difference_contains_only_changed_customer_shards)
{
    BOOST_REQUIRE(customerShard("a") != customerShard("b"));
    ConfigStore store;
    store.merge(store.difference(complete(3, {{"a", "k"}, {"b", "l"}})));
    const auto moved = store.difference(complete(4, {{"a", "k"}, {"b", "m"}}));
    BOOST_TEST(moved.services_size() == 0);
    BOOST_REQUIRE(moved.customer_shards_size() == 1);
    BOOST_TEST(moved.customer_shards(0).number() == customerShard("b"));
    BOOST_TEST(store.merge(moved).customerShards.size() == 1U);
    BOOST_TEST(store.findShard(customerShard("a"))->revision() == 3U);
    BOOST_TEST(store.deltaSince(3).customer_shards_size() == 1);
    const auto emptied = store.difference(complete(5, {{"a", "k"}}));
    store.merge(emptied);
    const auto shard = store.findShard(customerShard("b"));
    BOOST_TEST(shard->revision() == 5U);
    BOOST_TEST(shard->customers().empty());
    // Older revisions do not bring the customer back; the delta carries the empty shard.
    BOOST_TEST(store.merge(moved).empty());
    BOOST_TEST(store.ignoredOlder() == 1U);
    BOOST_TEST(store.deltaSince(4).customer_shards_size() == 1);
    BOOST_TEST(store.difference(complete(6, {{"a", "k"}})).customer_shards_size() == 0);
}

namespace {

/// Configurations that a peer reads from the store, after which a node with revision 2 pulls from
/// it. Revision 2 has the customers a (key k) and b (key l).
struct PullCase
{
    const char *guards; ///< failure that the case guards against
    std::vector<schema::ConfigDelta> peerReads;
};

std::ostream &operator<<(std::ostream &out, const PullCase &sample)
{
    return out << sample.guards;
}

const std::map<std::string, std::string> AtFirst {{"a", "k"}};
const std::map<std::string, std::string> AtTwo {{"a", "k"}, {"b", "l"}};
const std::vector<PullCase> PullCases {
        {"a change is lost although the peer had the revision",
         {complete(2, AtTwo), complete(3, {{"a", "n"}})}},
        {"a customer stays valid because a restarted peer never had it",
         {complete(3, {{"a", "n"}})}},
        {"a customer stays valid because the peer missed the revision that had it",
         {complete(1, AtFirst), complete(3, AtFirst)}},
        {"a moved key is not taken over", {complete(3, {{"a", "l"}, {"b", "k"}})}},
};

} // namespace

BOOST_DATA_TEST_CASE(pull_leaves_the_customers_of_the_peer, boost::unit_test::data::make(PullCases))
{
    ConfigStore peer;
    for (const auto &read : sample.peerReads)
        peer.merge(peer.difference(read));
    ConfigStore node;
    node.merge(node.difference(complete(2, AtTwo)));
    pull(node, peer);
    BOOST_TEST(node.revision() == 3U);
    BOOST_TEST((customersOf(node) == customersOf(peer)));
    BOOST_TEST(!node.find("scan")->deleted());
    BOOST_TEST(node.find("scan")->content().name() == "scan");
    // A node that is ahead keeps its configuration.
    ConfigStore older;
    older.merge(older.difference(complete(2, AtTwo)));
    pull(node, older);
    BOOST_TEST((customersOf(node) == customersOf(peer)));
}
