// Invariants 5 and 6 of the design with real processes: draining endpoints and planned stops.
#define BOOST_TEST_MODULE process_stop
#include "process_actions.h"

#include <boost/test/data/test_case.hpp>
#include <sstream>

using namespace berylspur::test;
using nlohmann::json;
using std::chrono::seconds;

namespace {

std::string idOfKey(const Fleet &fleet, const std::string &key)
{
    for (int i = 0; i < fleet.nodeCount(); ++i) {
        for (const json &line : readLines(fleet.directory() / ("runs-" + std::to_string(i)))) {
            if (line["key"] == key)
                return line["id"];
        }
    }
    return "no request with the key " + key;
}

struct DrainCase
{
    const char *name;
    bool ignoresDrain; ///< the endpoint keeps accepting new requests
    bool node1MissesDrain; ///< node 1 receives nothing from the owner while the endpoint drains
    bool killsNode;
};

std::ostream &operator<<(std::ostream &out, const DrainCase &sample)
{
    return out << sample.name;
}

const DrainCase DrainCases[] = {
        {"announced", false, false, false},
        {"announced-and-would-run", true, false, false},
        {"announced-to-one-side", true, true, false},
        {"node-killed", true, false, true},
        {"node-killed-after-announcement", true, true, true},
};

} // namespace

// Invariant 5. Guards against new requests at a draining endpoint, also if one node did not learn
// of the drain or the node on the endpoint's host is down.
BOOST_DATA_TEST_CASE(draining_endpoint_gets_no_new_requests,
                     boost::unit_test::data::make(DrainCases))
{
    FleetOptions options;
    options.links = true;
    Fleet fleet(options);
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    const auto serveSome = [&](int count) {
        for (int i = 0; i < count; ++i)
            call(fleet.node(i % 2).caller, "GET", "/read?work-ms=1");
    };
    serveSome(40);
    const auto loggedEvents = [&] { return readLines(fleet.directory() / "runs-2").size(); };
    BOOST_REQUIRE(loggedEvents() > 0);
    if (sample.node1MissesDrain)
        fleet.link(1, "/mode?set=drop-forward");
    fleet.setFaults(2, {{"ignore-drain", sample.ignoresDrain}});
    call(fleet.endpointPort(2), "POST", "/state", {}, R"({"state":"draining"})");
    if (sample.killsNode)
        killOwner(fleet);
    // The nodes that can learn of the drain take the endpoint out of rotation.
    const auto isOut = [&](int i) { return fleet.verdict(i, fleet.endpointId(2)) != "in"; };
    BOOST_TEST(waitFor([&] { return isOut(0) && (sample.node1MissesDrain || isOut(1)); }));
    const auto before = loggedEvents();
    serveSome(40);
    BOOST_TEST(loggedEvents() == before);
}

namespace {

enum class StopTarget { Owner, Gate, Endpoint };

struct StopCase
{
    const char *name;
    StopTarget target;
    const char *query;
};

std::ostream &operator<<(std::ostream &out, const StopCase &sample)
{
    return out << sample.name;
}

const StopCase StopCases[] = {
        {"owner-stopped-work", StopTarget::Owner, "work-ms=2500"},
        {"owner-stopped-stream", StopTarget::Owner, "work-ms=1500&bytes=3000000"},
        {"gate-stopped-work", StopTarget::Gate, "work-ms=2500"},
        {"gate-stopped-stream", StopTarget::Gate, "work-ms=1500&bytes=3000000"},
        {"endpoint-stopped-work", StopTarget::Endpoint, "work-ms=2500"},
        {"endpoint-stopped-stream", StopTarget::Endpoint, "work-ms=1500&bytes=3000000"},
};

} // namespace

// Invariant 6. Guards against a planned stop that interrupts a request in flight, long or short.
BOOST_DATA_TEST_CASE(planned_stop_interrupts_nothing, boost::unit_test::data::make(StopCases))
{
    FleetOptions options;
    options.slots = 4;
    Fleet fleet(options);
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    drainEndpointOf(fleet, 0);
    auto longResponse =
            callLater(fleet.node(0).caller, "GET", std::string("/long?token=longz&") + sample.query,
                      {"Idempotency-Key: long"});
    BOOST_REQUIRE(waitFor([&] { return fleet.runningOn("long").has_value(); }));
    const int owner = fleet.runningOn("long").value_or(-1);
    BOOST_REQUIRE(owner > 0);
    Process &stopped = sample.target == StopTarget::Owner  ? fleet.nodeProcess(owner)
                       : sample.target == StopTarget::Gate ? fleet.nodeProcess(0)
                                                           : fleet.backendProcess(owner);
    stopped.signal(SIGTERM);
    const Response response = longResponse.get();
    BOOST_TEST(response.status == 200, outcomeText(response));
    BOOST_TEST(response.isComplete);
    BOOST_TEST(response.body.find("longz") != std::string::npos);
    const auto exit = stopped.waitForExit(seconds(30));
    BOOST_TEST(exit.has_value());
    BOOST_TEST(exit.value_or(-1) == 0);
    BOOST_TEST(fleet.runsOfKey("long").started == 1);
}

// Invariant 6, stop limit. Guards against a stop that waits forever, and against one that
// interrupts requests without logging them.
BOOST_AUTO_TEST_CASE(stop_limit_names_open_requests)
{
    FleetOptions options;
    options.stopLimitMs = 500;
    Fleet fleet(options);
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    drainEndpointOf(fleet, 0);
    auto longResponse = callLater(fleet.node(0).caller, "POST", "/write?work-ms=2500",
                                  {"Idempotency-Key: long"});
    BOOST_REQUIRE(waitFor([&] { return fleet.runningOn("long").has_value(); }));
    const int owner = fleet.runningOn("long").value_or(-1);
    BOOST_REQUIRE(owner > 0);
    fleet.nodeProcess(owner).signal(SIGTERM);
    BOOST_TEST(fleet.nodeProcess(owner).waitForExit(seconds(15)).has_value());
    std::ostringstream log;
    log << std::ifstream(fleet.directory() / (fleet.node(owner).name + ".log")).rdbuf();
    BOOST_TEST(log.str().find("stop-limit-reached") != std::string::npos);
    const Response response = longResponse.get();
    const std::string id = idOfKey(fleet, "long");
    BOOST_TEST(log.str().find(id) != std::string::npos, "the log names request " << id);
    BOOST_TEST(!(response.status == 200 && response.isComplete));
    BOOST_TEST(response.header("Berylspur-Outcome") != "not-run");
}
