// Membership and configuration tasks of several nodes in one event loop, over loopback sockets.
#define BOOST_TEST_MODULE membership_task
#include "task_fleet.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace berylspur;

// Guards against nodes that have no configured peers and do not find each other through the
// platform.
BOOST_AUTO_TEST_CASE(nodes_join_through_the_platform)
{
    TaskFleet fleet;
    fleet.add("a", false);
    BOOST_TEST(fleet.allSee(1));
    BOOST_TEST(fleet.nodes[0]->membership.isFleetNew());
    BOOST_TEST(fleet.loop.runUntil(
            [&] { return fleet.platform->store().read("peers/node-0").has_value(); }));
    fleet.add("b", false);
    fleet.add("a", false);
    BOOST_TEST(fleet.allSee(3));
}

struct PublishCase
{
    const char *name;
    int dropWrites;
    int lateWrites;
};

std::ostream &operator<<(std::ostream &out, const PublishCase &sample)
{
    return out << sample.name;
}

const std::vector<PublishCase> FailedPublishes {{"lost", 2, 0}, {"late", 0, 2}};

// Guards against nodes that start together, list the peers before the objects of the others are
// written, and stay alone for a minute.
BOOST_DATA_TEST_CASE(nodes_find_each_other_if_their_first_writes_fail,
                     boost::unit_test::data::make(FailedPublishes), sample)
{
    TaskFleet fleet;
    fleet.platform->faults().dropWrites = sample.dropWrites;
    fleet.platform->faults().lateWrites = sample.lateWrites;
    fleet.platform->faults().lateMs = 200;
    fleet.add("a", false);
    fleet.add("a", false);
    BOOST_TEST(fleet.allSee(2));
}

// Guards against a platform call rate that grows with the number of nodes, and against a change
// that reaches only the watchers.
BOOST_AUTO_TEST_CASE(one_node_per_domain_watches_and_all_get_the_change)
{
    TaskFleet fleet;
    for (int i = 0; i < 6; ++i)
        fleet.add(i % 2 == 0 ? "a" : "b", true);
    BOOST_TEST(fleet.allSee(6));
    fleet.apply(1, {"scan", "report"});
    BOOST_TEST(fleet.allHaveRevision(1));
    // The first head ends the watches of nodes that started without peers.
    BOOST_TEST(fleet.loop.runUntil([&] { return fleet.platform->pendingCalls() == 2; }));
    fleet.apply(2, {"scan"});
    BOOST_TEST(fleet.allHaveRevision(2));
    BOOST_TEST(fleet.loop.runUntil([&] { return fleet.platform->pendingCalls() == 2; }));
    for (const auto &node : fleet.nodes) {
        BOOST_TEST(node->config.store().find("scan")->content().slots() == 2U);
        BOOST_TEST(node->config.store().find("report")->revision() == 1U);
    }
}

// Guards against a node that can't start while the platform is unavailable, or that serves without
// a configuration.
BOOST_AUTO_TEST_CASE(node_starts_without_the_platform)
{
    TaskFleet fleet;
    for (int i = 0; i < 4; ++i)
        fleet.add("a", true);
    BOOST_TEST(fleet.allSee(4));
    fleet.apply(3, {"scan"});
    BOOST_TEST(fleet.allHaveRevision(3));
    fleet.platform->setOutage(true);
    fleet.add("a", true);
    BOOST_TEST(!fleet.nodes.back()->config.isReady());
    BOOST_TEST(fleet.allHaveRevision(3));
    BOOST_TEST(!fleet.nodes.back()->membership.isFleetNew());
}

// Guards against a fleet that reverts its configuration because the platform returns an older head
// after an outage.
BOOST_AUTO_TEST_CASE(older_head_does_not_revert_the_fleet)
{
    TaskFleet fleet;
    for (int i = 0; i < 2; ++i)
        fleet.add("a", true);
    BOOST_TEST(fleet.allSee(2));
    fleet.apply(5, {"scan"});
    BOOST_TEST(fleet.allHaveRevision(5));
    fleet.apply(4, {"scan"});
    BOOST_TEST(fleet.loop.runUntil([&] {
        return fleet.nodes[0]->config.store().ignoredOlder()
                       + fleet.nodes[1]->config.store().ignoredOlder()
               > 0;
    }));
    BOOST_TEST(fleet.allHaveRevision(5));
    fleet.apply(6, {"scan"});
    BOOST_TEST(fleet.allHaveRevision(6));
}

namespace {

/// Time within which a change is in force at a node that the platform serves while it rejects
/// others: the shortest sum of the bound of a change and its extension.
constexpr Duration RejectionBound = std::chrono::seconds(7);

struct RejectionCase
{
    const char *guards; ///< failure that the case guards against
    standin::Treatment treatment;
    std::size_t rejected; ///< nodes, among them all watchers
    bool isExternal; ///< the configuration is written by another system
};

std::ostream &operator<<(std::ostream &out, const RejectionCase &sample)
{
    return out << sample.guards;
}

const RejectionCase RejectionCases[] = {
        {"a change is missed while the watcher gets 503", standin::Treatment::Unavailable, 1,
         false},
        {"a change is missed while the watcher is reset", standin::Treatment::Reset, 1, false},
        {"a change is missed while the watch hangs", standin::Treatment::Silent, 1, false},
        {"a change is missed while most nodes get 503", standin::Treatment::Unavailable, 4, false},
        {"an external change is missed while both watchers get 503",
         standin::Treatment::Unavailable, 2, true},
        {"an external change is missed while both watches hang", standin::Treatment::Silent, 2,
         true},
        {"an external change is missed while most nodes get no answer", standin::Treatment::Silent,
         4, true},
};

constexpr const char *ExternalObject = "config/main";

/// Decodes {"revision": N} into a configuration with one service.
Result<schema::ConfigDelta> decodeExternal(const std::string &text)
{
    const auto revision = nlohmann::json::parse(text).at("revision").get<std::uint64_t>();
    schema::ConfigDelta delta;
    delta.set_revision(revision);
    auto *service = delta.add_services();
    service->set_service("scan");
    service->set_revision(revision);
    service->mutable_content()->set_slots(static_cast<std::uint32_t>(revision));
    return delta;
}

/// Six nodes of one failure domain whose platform can reject some of them.
struct RejectionFleet : TaskFleet
{
    explicit RejectionFleet(bool isExternal)
    {
        if (isExternal)
            external = ExternalConfiguration {ExternalObject, decodeExternal};
        for (int i = 0; i < 6; ++i)
            add("a", true);
    }

    void change(std::uint64_t revision)
    {
        if (external)
            platform->putSpecification(ExternalObject, {{"revision", revision}});
        else
            apply(revision, {"scan"});
    }

    /// Nodes with a watch that waits at the platform.
    std::vector<standin::ClientAddress *> watchers()
    {
        std::vector<standin::ClientAddress *> found;
        for (const auto &address : platformAddresses) {
            if (platform->pendingCalls(address->client) > 0)
                found.push_back(&address->client);
        }
        return found;
    }

    /// Rejects \a count nodes; the first ones are the watchers.
    void reject(std::size_t count, standin::Treatment treatment)
    {
        auto rejected = watchers();
        for (const auto &address : platformAddresses) {
            if (rejected.size() < count && platform->pendingCalls(address->client) == 0)
                rejected.push_back(&address->client);
        }
        for (auto *client : rejected)
            platform->treat(*client, treatment);
    }
};

} // namespace

// Guards against nodes that the platform serves and that do not learn of a change, because only
// watchers ask for it and the platform rejects these. Each case names the failure it guards
// against.
BOOST_DATA_TEST_CASE(change_is_in_force_in_time_while_the_platform_rejects_the_watchers,
                     boost::unit_test::data::make(RejectionCases), sample)
{
    RejectionFleet fleet(sample.isExternal);
    const std::size_t watchers = sample.isExternal ? 2 : 1;
    BOOST_REQUIRE(fleet.allSee(6));
    fleet.change(1); // ends the watches of nodes that started without a configuration
    BOOST_REQUIRE(fleet.allHaveRevision(1));
    BOOST_REQUIRE(fleet.loop.runUntil([&] { return fleet.watchers().size() == watchers; }));
    fleet.reject(sample.rejected, sample.treatment);
    fleet.change(2);
    const auto written = BootClock::now();
    BOOST_TEST(fleet.allHaveRevision(2));
    BOOST_TEST(toMs(BootClock::now() - written) < toMs(RejectionBound));
}

// Guards against checks of the platform whose rate grows with the number of nodes.
BOOST_DATA_TEST_CASE(rate_of_checks_does_not_grow_with_the_fleet,
                     boost::unit_test::data::make({2, 16}), nodes)
{
    constexpr Duration Period = std::chrono::seconds(6);
    constexpr int MaxReads = 48; // twice four a second
    TaskFleet fleet;
    fleet.apply(1, {"scan"});
    for (int i = 0; i < nodes; ++i)
        fleet.add("a", true);
    BOOST_REQUIRE(fleet.allSee(static_cast<std::size_t>(nodes)));
    BOOST_REQUIRE(fleet.allHaveRevision(1));
    int reads = 0;
    fleet.platform->beforeRead = [&reads](const std::string &name) {
        reads += name == "manifest/head" ? 1 : 0;
    };
    const auto until = BootClock::now() + Period;
    fleet.loop.runUntil([&] { return BootClock::now() >= until; });
    BOOST_TEST(reads > 0);
    BOOST_TEST(reads <= MaxReads);
}

// Guards against a large change whose services are read once per failure domain instead of once.
BOOST_AUTO_TEST_CASE(one_node_reads_a_large_change)
{
    constexpr std::size_t Services = 40;
    TaskFleet fleet;
    for (int i = 0; i < 6; ++i)
        fleet.add("domain-" + std::to_string(i % 3), true);
    BOOST_TEST(fleet.allSee(6));
    fleet.apply(1, {"scan"});
    BOOST_TEST(fleet.allHaveRevision(1));
    BOOST_TEST(fleet.loop.runUntil([&] { return fleet.platform->pendingCalls() == 3; }));
    std::vector<std::string> services;
    for (std::size_t i = 0; i < Services; ++i)
        services.push_back("service-" + std::to_string(i));
    const auto before = fleet.platform->calls();
    fleet.apply(2, services);
    BOOST_TEST(fleet.allHaveRevision(2));
    // The other two watchers and the checks of the peer objects may add some calls.
    BOOST_TEST(fleet.platform->calls() - before < 2 * Services);
}

namespace {

/// Time within which a change that the store has acknowledged must be in force, and within which
/// what the fleet wrote to the store must be there again after a return.
constexpr Duration ReturnBound = std::chrono::seconds(2);

const std::vector<standin::WaitingWatches> WatchEnds {standin::WaitingWatches::Closed,
                                                      standin::WaitingWatches::Gone};

} // namespace

namespace berylspur::standin {

std::ostream &operator<<(std::ostream &out, WaitingWatches waiting)
{
    constexpr const char *Names[] = {"closed", "gone"};
    return out << Names[static_cast<int>(waiting)];
}

} // namespace berylspur::standin

// Guards against a fleet that does not take a change after the store has come back from an older
// copy, where the change has a lower revision than the configuration in force.
BOOST_DATA_TEST_CASE(change_after_a_return_of_the_store_is_in_force_in_time,
                     boost::unit_test::data::make(WatchEnds), waiting)
{
    constexpr int LostWrites = 20;
    TaskFleet fleet;
    for (int i = 0; i < 4; ++i)
        fleet.add(i % 2 == 0 ? "a" : "b", true);
    BOOST_TEST(fleet.allSee(4));
    fleet.apply(1, {"scan"});
    BOOST_TEST(fleet.allHaveRevision(1));
    BOOST_TEST(fleet.loop.runUntil([&] { return fleet.platform->pendingCalls() == 2; }));
    fleet.platform->store().takeCopy();
    for (int i = 0; i < LostWrites; ++i)
        fleet.platform->put("other/x", std::to_string(i));
    fleet.apply(2, {"scan"});
    BOOST_TEST(fleet.allHaveRevision(2));
    BOOST_TEST(fleet.loop.runUntil([&] { return fleet.platform->pendingCalls() == 2; }));
    fleet.platform->restoreCopy(waiting);
    fleet.apply(2, {"scan"});
    fleet.apply(3, {"scan"});
    const auto written = BootClock::now();
    BOOST_TEST(fleet.allHaveRevision(3));
    BOOST_TEST(toMs(BootClock::now() - written) < toMs(ReturnBound));
}

// Guards against members that newcomers cannot find through the store, because it has lost their
// objects.
BOOST_AUTO_TEST_CASE(member_objects_are_written_again_after_a_return_of_the_store)
{
    TaskFleet fleet;
    fleet.add("a", true);
    BOOST_TEST(fleet.allSee(1));
    fleet.apply(1, {"scan"});
    fleet.platform->store().takeCopy();
    for (int i = 1; i < 6; ++i)
        fleet.add(i % 2 == 0 ? "a" : "b", true);
    BOOST_TEST(fleet.allSee(6));
    // Each object may be written by both watchers of its failure domain, which find it missing.
    constexpr std::uint64_t MaxWrites = 10;
    const auto arePublished = [&fleet] {
        return fleet.platform->store().list("peers/").size() == 6;
    };
    BOOST_TEST(fleet.loop.runUntil(arePublished));
    BOOST_TEST(fleet.loop.runUntil([&] { return fleet.platform->pendingCalls() == 2; }));
    const auto writes = fleet.platform->accounting().write;
    fleet.platform->restoreCopy();
    const auto restored = BootClock::now();
    BOOST_TEST(!arePublished());
    BOOST_TEST(fleet.loop.runUntil(arePublished));
    BOOST_TEST(toMs(BootClock::now() - restored) < toMs(ReturnBound));
    BOOST_TEST(fleet.platform->accounting().write - writes <= MaxWrites);
}

// Guards against a node that stays listed under the address that it had in an earlier start,
// because the store has returned to a copy from before its present one.
BOOST_AUTO_TEST_CASE(own_address_is_written_again_after_a_return_of_the_store)
{
    constexpr const char *Own = "peers/node-0";
    TaskFleet fleet;
    schema::MemberRecord earlier;
    earlier.set_node("node-0");
    earlier.set_peer_address("127.0.0.1:1");
    fleet.platform->put(Own, earlier.SerializeAsString());
    fleet.platform->store().takeCopy();
    fleet.add("a", false);
    const auto isCurrent = [&fleet] {
        return fleet.platform->store().read(Own)->value.find(fleet.addresses[0])
               != std::string::npos;
    };
    BOOST_TEST(fleet.allSee(1));
    BOOST_TEST(fleet.loop.runUntil(isCurrent));
    BOOST_TEST(fleet.loop.runUntil([&] { return fleet.platform->pendingCalls() == 1; }));
    fleet.platform->restoreCopy();
    const auto restored = BootClock::now();
    BOOST_TEST(!isCurrent());
    BOOST_TEST(fleet.loop.runUntil(isCurrent));
    BOOST_TEST(toMs(BootClock::now() - restored) < toMs(ReturnBound));
}
