// What a node still knows after its process was killed and started again, with real processes.
#define BOOST_TEST_MODULE process_restart
#include "process_fixture.h"

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace berylspur::test;
using nlohmann::json;
namespace data = boost::unit_test::data;
using std::chrono::seconds;

namespace {

constexpr std::int64_t StartedAtMs = 1'700'000'000'000;
constexpr int Killed = 1; ///< node whose process is killed
/// Longer than a gate needs to learn of an endpoint.
constexpr seconds Observation {3};

FleetOptions platformFleet()
{
    FleetOptions options;
    options.onPlatform = true;
    return options;
}

/// Sends a call of the endpoint \a id to the node that is killed and returns the HTTP status.
int endpointCall(const Fleet &fleet, const std::string &name, const std::string &id,
                 const json &body)
{
    return call(fleet.node(Killed).announce, "POST", "/v1/rpc?call=" + name + "&of=" + id,
                {"Content-Type: application/json"}, body.dump(), seconds(2))
            .status;
}

/// A heartbeat of an endpoint beside the one that the fleet started.
int heartbeat(const Fleet &fleet, const std::string &id, std::uint16_t port, int sequence,
              const std::string &state, std::int64_t startedAtMs = StartedAtMs)
{
    return endpointCall(fleet, "instances.heartbeat", id,
                        {{"service", "svc"},
                         {"address", "127.0.0.1:" + std::to_string(port)},
                         {"zone", "a"},
                         {"version", "v1"},
                         {"slots", 2},
                         {"state", state},
                         {"cold", "0ms"},
                         {"sequence", sequence},
                         {"born", startedAtMs}});
}

int withdraw(const Fleet &fleet, const std::string &id)
{
    return endpointCall(fleet, "instances.deregister", id, {{"born", StartedAtMs}});
}

bool isInRotation(const Fleet &fleet, const std::string &id)
{
    return fleet.verdict(0, id) == "in";
}

/// True if the node that is killed has started again and found the endpoint.
bool isKnownToItsNode(const Fleet &fleet, const std::string &id)
{
    const auto state = call(fleet.node(Killed).admin, "GET", "/state").body;
    const auto parsed = json::parse(state, nullptr, false);
    return parsed.is_object()
           && std::any_of(parsed["owner"]["endpoints"].begin(), parsed["owner"]["endpoints"].end(),
                          [&](const json &endpoint) { return endpoint["id"] == id; });
}

void restart(Fleet &fleet, const std::vector<int> &nodes)
{
    for (const int node : nodes) {
        fleet.nodeProcess(node).signal(SIGKILL);
        fleet.nodeProcess(node).waitForExit(seconds(10));
    }
    for (const int node : nodes)
        fleet.startNode(node, true);
}

struct DepartureCase
{
    const char *name;
    bool announcesDraining; ///< instead of a withdrawal
    bool isStoreDown; ///< from before the departure
    std::vector<int> restarted;
    bool isKnown = true; ///< the endpoint sent a heartbeat before it left
};

std::ostream &operator<<(std::ostream &out, const DepartureCase &sample)
{
    return out << sample.name;
}

const std::vector<DepartureCase> Departures {
        {"withdrawal", false, false, {Killed}},
        {"withdrawal while the store is down", false, true, {Killed}},
        {"withdrawal, all nodes restarted", false, false, {0, 1, 2}},
        {"withdrawal as the first call", false, false, {Killed}, false},
        {"draining", true, false, {Killed}},
        {"draining while the store is down", true, true, {Killed}},
        {"draining, all nodes restarted", true, false, {0, 1, 2}},
};

} // namespace

// Guards against an endpoint that gets requests again after it left: its node, killed after the
// acknowledgement, took a heartbeat from before the departure for a new one.
BOOST_DATA_TEST_CASE(an_endpoint_that_left_stays_away_after_a_restart_of_its_node,
                     data::make(Departures), sample)
{
    const std::string id = "i-leaves";
    Fleet fleet(platformFleet());
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    const auto port = freePort();
    if (sample.isKnown) {
        BOOST_REQUIRE_EQUAL(heartbeat(fleet, id, port, 1, "ready"), 200);
        BOOST_REQUIRE(waitFor([&] { return isInRotation(fleet, id); }));
    }
    if (sample.isStoreDown)
        fleet.setPlatformFaults({{"outage", true}});
    const int left = sample.announcesDraining ? heartbeat(fleet, id, port, 9, "draining")
                                              : withdraw(fleet, id);
    BOOST_REQUIRE_EQUAL(left, 200);
    restart(fleet, sample.restarted);
    BOOST_REQUIRE(waitFor([&] { return heartbeat(fleet, id, port, 2, "ready") == 200; }));
    BOOST_REQUIRE(waitFor([&] { return isInRotation(fleet, fleet.endpointId(Killed)); }));
    BOOST_TEST(!waitFor([&] { return isInRotation(fleet, id); }, Observation));
    // A new incarnation under the same id is used.
    BOOST_TEST(heartbeat(fleet, id, port, 1, "ready", StartedAtMs + 1) == 200);
    BOOST_TEST(waitFor([&] { return isInRotation(fleet, id); }));
}

// Guards against a sound endpoint that gets no requests any more: after a restart of its node, a
// late heartbeat of its crashed predecessor at the same address withdrew it for good.
BOOST_DATA_TEST_CASE(a_late_heartbeat_of_a_predecessor_does_not_withdraw_an_endpoint,
                     data::make({false, true}), restartsAll)
{
    auto options = platformFleet();
    options.backendArguments = {"--announce-ms", "600000"};
    Fleet fleet(options);
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    const auto id = fleet.endpointId(Killed);
    restart(fleet, restartsAll ? std::vector<int> {0, 1, 2} : std::vector<int> {Killed});
    BOOST_REQUIRE(waitFor([&] { return isKnownToItsNode(fleet, id); }));
    BOOST_REQUIRE(waitFor([&] { return isInRotation(fleet, id); }));
    BOOST_REQUIRE_EQUAL(heartbeat(fleet, "i-crashed", fleet.endpointPort(Killed), 9, "ready"), 200);
    BOOST_TEST(!waitFor([&] { return !isInRotation(fleet, id); }, Observation));
    // Its own heartbeat confirms it.
    const auto later = StartedAtMs + 1;
    BOOST_TEST(heartbeat(fleet, id, fleet.endpointPort(Killed), 1'000'000, "ready", later) == 200);
    BOOST_TEST(!waitFor([&] { return !isInRotation(fleet, id); }, Observation));
}
