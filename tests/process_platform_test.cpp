// The node as it runs on the users' platform, with real processes: check-ins and headers of the
// platform towards the endpoints, its object store for configuration and discovery.
#define BOOST_TEST_MODULE process_platform
#include "process_fixture.h"

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <future>
#include <thread>

using namespace berylspur::test;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int Repeats = 30; ///< enough for each gate to choose among all endpoints

FleetOptions platformFleet()
{
    FleetOptions options;
    options.onPlatform = true;
    return options;
}

std::string idHeader(const std::string &id)
{
    return "X-Request-Id: " + id;
}

Response get(const Fleet &fleet, int node, const std::string &id, const std::string &query = {})
{
    return call(fleet.node(node).caller, "GET", "/read/x?work-ms=1" + query, {idHeader(id)});
}

Response post(const Fleet &fleet, int node, const std::string &id, const std::string &query = {})
{
    return call(fleet.node(node).caller, "POST", "/write/x?work-ms=1" + query, {idHeader(id)}, "b");
}

std::size_t startsAt(const Fleet &fleet, int node)
{
    const auto events = fleet.events(node);
    return static_cast<std::size_t>(
            std::count_if(events.begin(), events.end(),
                          [](const auto &event) { return event.event == "start"; }));
}

/// Value of a counter on the node's metrics page; 0 if it is not there.
double metric(const Fleet &fleet, int node, const std::string &name)
{
    const auto text = call(fleet.node(node).admin, "GET", "/metrics").body;
    const auto at = text.find("\n" + name + " ");
    return at == std::string::npos ? 0 : std::strtod(text.c_str() + at + name.size() + 2, nullptr);
}

struct RequestCase
{
    const char *guards; ///< failure that the case guards against
    const char *method;
    const char *target;
    std::vector<std::string> headers;
    int status;
};

std::ostream &operator<<(std::ostream &out, const RequestCase &sample)
{
    return out << sample.guards;
}

const std::vector<RequestCase> RequestCases {
        {"a read is not served", "GET", "/read/a?work-ms=1", {"X-Request-Id: a"}, 200},
        {"a write is not served", "POST", "/write/a?work-ms=1", {"X-Request-Id: b"}, 200},
        {"a download is not served",
         "GET",
         "/long/a?work-ms=1&bytes=100000",
         {"X-Request-Id: c"},
         200},
        {"a path outside of all routes reaches an endpoint",
         "GET",
         "/reading/a",
         {"X-Request-Id: d"},
         404},
        {"a deadline that is no number is taken for none",
         "GET",
         "/read/a",
         {"X-Request-Id: e", "X-Deadline-Ms: soon"},
         400},
};

} // namespace

// One fleet for the table: the cases do not change it.
BOOST_AUTO_TEST_CASE(requests_are_served_by_the_rules_of_their_route)
{
    Fleet fleet(platformFleet());
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    for (const auto &sample : RequestCases) {
        BOOST_TEST_CONTEXT(sample)
        {
            const auto response =
                    call(fleet.node(0).caller, sample.method, sample.target, sample.headers);
            BOOST_TEST(response.status == sample.status);
            BOOST_TEST(response.isComplete);
            BOOST_TEST((response.header("X-Server-Signature").empty() == (sample.status != 200)));
        }
    }
    // The system states the service of the host, whatever the caller claims.
    const auto response = call(fleet.node(1).caller, "GET", "/read/a?work-ms=1",
                               {"X-Request-Id: f", "X-Caller-Service: forged"});
    const auto seen = json::parse(response.body, nullptr, false);
    BOOST_REQUIRE(seen.is_object());
    BOOST_TEST(seen["caller-service"] == "svc");
    BOOST_TEST(seen["id"] == "f");
}

// A gate that sends work to an endpoint whose leaving its node has acknowledged breaks the drain.
BOOST_AUTO_TEST_CASE(a_leaving_endpoint_gets_no_work_after_its_acknowledgement)
{
    auto options = platformFleet();
    options.backendArguments = {"--serve-after-drain-ms", "4000"};
    Fleet fleet(options);
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    fleet.backendProcess(1).signal(SIGTERM);
    const auto acked = [&fleet] {
        const auto events = fleet.events(1);
        return std::find_if(events.begin(), events.end(),
                            [](const auto &event) { return event.event == "drain-acked"; })
               != events.end();
    };
    BOOST_REQUIRE(waitFor(acked));
    const auto before = startsAt(fleet, 1);
    for (int i = 0; i < Repeats; ++i)
        BOOST_TEST(post(fleet, i % 3, "drain-" + std::to_string(i)).status == 200);
    BOOST_TEST(startsAt(fleet, 1) == before);
    // The last call is acknowledged too, or the platform counts it as missed.
    BOOST_TEST(fleet.backendProcess(1).waitForExit(seconds(20)).value_or(-1) == 0);
    const auto events = fleet.events(1);
    BOOST_TEST(std::count_if(events.begin(), events.end(),
                             [](const auto &event) { return event.event == "withdraw-acked"; })
               == 1);
}

// Without the health check at its start, a node that restarts leaves its endpoint without work
// until the next check-in, which is ten minutes away here. The store is away: its peers must find
// it.
BOOST_AUTO_TEST_CASE(a_restarted_node_finds_its_endpoint_and_its_peers_without_the_store)
{
    auto options = platformFleet();
    options.backendArguments = {"--announce-ms", "600000"};
    Fleet fleet(options);
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    fleet.setPlatformFaults({{"outage", true}});
    fleet.nodeProcess(2).signal(SIGKILL);
    fleet.nodeProcess(2).waitForExit(seconds(10));
    fleet.startNode(2, true);
    const auto before = startsAt(fleet, 2);
    const auto served = waitFor([&] {
        return get(fleet, 2, "own").status == 200 && fleet.verdict(0, fleet.endpointId(2)) == "in";
    });
    BOOST_TEST(served);
    for (int i = 0; i < Repeats; ++i)
        BOOST_TEST(get(fleet, 2, "again-" + std::to_string(i)).status == 200);
    BOOST_TEST(startsAt(fleet, 2) > before);
}

// A node that misses a change because the history of its watch is gone, or that takes an older
// version for a new one, serves routes that are not in force.
BOOST_AUTO_TEST_CASE(configuration_survives_compaction_and_never_goes_back)
{
    Fleet fleet(platformFleet());
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    const auto inForce = [&fleet](std::uint64_t version) {
        return waitFor([&fleet, version] {
            for (int i = 0; i < fleet.nodeCount(); ++i) {
                if (fleet.revision(i) != version)
                    return false;
            }
            return true;
        });
    };
    fleet.setPlatformFaults({{"compact", true}});
    fleet.configure(0x20, "/added/");
    BOOST_TEST(inForce(0x20));
    fleet.configure(0x10);
    // A newer version proves that the older one had been seen.
    fleet.configure(0x30, "/added/");
    BOOST_TEST(inForce(0x30));
    for (int i = 0; i < fleet.nodeCount(); ++i) {
        const auto response =
                call(fleet.node(i).caller, "GET", "/added/x?work-ms=1", {idHeader("added")});
        BOOST_TEST(response.status == 200);
        BOOST_TEST(fleet.nodeLog(i).find("revision=16") == std::string::npos);
    }
}

// SIGHUP once ended the process: its default action is to terminate.
BOOST_AUTO_TEST_CASE(a_reload_interrupts_nothing)
{
    Fleet fleet(platformFleet());
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    auto running = std::async(std::launch::async, [&fleet] {
        return call(fleet.node(0).caller, "POST", "/write/x?work-ms=1500", {idHeader("held")}, "b");
    });
    BOOST_REQUIRE(waitFor([&fleet] { return fleet.runningOn("held").has_value(); }));
    for (int i = 0; i < fleet.nodeCount(); ++i)
        fleet.nodeProcess(i).signal(SIGHUP);
    BOOST_TEST(running.get().status == 200);
    for (int i = 0; i < fleet.nodeCount(); ++i) {
        BOOST_TEST(waitFor([&] {
            return fleet.nodeLog(i).find("reloaded cause=signal") != std::string::npos;
        }));
        BOOST_TEST(get(fleet, i, "after-" + std::to_string(i)).status == 200);
    }
}

// Readiness that stays after the signal to stop keeps new callers coming to a node that ends.
BOOST_AUTO_TEST_CASE(a_stopping_node_is_not_ready_and_answers_what_it_took)
{
    Fleet fleet(platformFleet());
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    const auto readiness = [&fleet] {
        return call(fleet.node(1).readiness, "GET", "/v1/readyz").status;
    };
    BOOST_TEST(readiness() == 200);
    auto running = std::async(std::launch::async, [&fleet] {
        return call(fleet.node(1).caller, "POST", "/write/x?work-ms=1500", {idHeader("held")}, "b");
    });
    BOOST_REQUIRE(waitFor([&fleet] { return fleet.runningOn("held").has_value(); }));
    fleet.nodeProcess(1).signal(SIGTERM);
    BOOST_TEST(waitFor([&] { return readiness() == 503; }));
    BOOST_TEST(running.get().status == 200);
    BOOST_TEST(fleet.nodeProcess(1).waitForExit(seconds(10)).value_or(-1) == 0);
}

// Counting refusals between nodes as retries would spend the budget and the attempts of the route
// on requests that never reached an endpoint.
BOOST_AUTO_TEST_CASE(refusals_of_owners_cost_no_attempt_and_are_true)
{
    auto options = platformFleet();
    options.slots = 1;
    Fleet fleet(options);
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    // Work and queues of three endpoints with one slot each, and as many requests again.
    constexpr int Load = 18;
    std::vector<std::future<Response>> calls;
    for (int i = 0; i < Load; ++i) {
        calls.push_back(std::async(std::launch::async, [&fleet, i] {
            return call(fleet.node(i % 3).caller, "POST", "/write/x?work-ms=500",
                        {idHeader("full-" + std::to_string(i))}, "b");
        }));
    }
    int refused = 0;
    for (int i = 0; i < Load; ++i) {
        const auto response = calls[static_cast<std::size_t>(i)].get();
        const auto runs = fleet.runsOfId("full-" + std::to_string(i));
        if (response.status == 200) {
            BOOST_TEST(runs.finished == 1);
            continue;
        }
        BOOST_TEST(response.status == 503);
        // A caller that returns at once meets the same queues.
        BOOST_TEST(std::strtod(response.header("Retry-After").c_str(), nullptr) >= 0.5);
        BOOST_TEST(runs.started == 0);
        ++refused;
    }
    BOOST_TEST(refused > 0);
    for (int i = 0; i < fleet.nodeCount(); ++i) {
        const auto log = fleet.nodeLog(i);
        BOOST_TEST(log.find("attempts:1") == std::string::npos);
    }
}

// An endpoint's error on a repeatable request is one run too many for the caller if another
// endpoint can answer; a write must not be repeated whatever its endpoint said.
BOOST_AUTO_TEST_CASE(only_repeatable_requests_run_again_after_an_error)
{
    Fleet fleet(platformFleet());
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    fleet.setFaults(1, {{"error-share", 1.0}});
    int reads = 0;
    int writes = 0;
    for (int i = 0; i < Repeats; ++i) {
        const auto name = std::to_string(i);
        reads += get(fleet, i % 3, "read-" + name).status == 200 ? 1 : 0;
        writes += post(fleet, i % 3, "write-" + name).status == 200 ? 1 : 0;
        BOOST_TEST(fleet.runsOfId("write-" + name).started <= 1);
    }
    BOOST_TEST(reads == Repeats);
    BOOST_TEST(writes < Repeats); // else the endpoint with errors was never tried
    double repeats = 0;
    for (int i = 0; i < fleet.nodeCount(); ++i)
        repeats += metric(fleet, i, "berylspur_gate_retries_total");
    BOOST_TEST(repeats > 0);
}

// The id of a call begins with that of its parent. A gate that takes another request for a call
// would let it pass before others and wait for room.
BOOST_AUTO_TEST_CASE(calls_are_known_by_a_running_parent_only)
{
    Fleet fleet(platformFleet());
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    auto parent = std::async(std::launch::async, [&fleet] {
        return call(fleet.node(0).caller, "POST", "/write/x?work-ms=1500", {idHeader("parent")},
                    "b");
    });
    BOOST_REQUIRE(waitFor([&fleet] { return fleet.runningOn("parent").has_value(); }));
    const int host = *fleet.runningOn("parent");
    BOOST_TEST(get(fleet, host, "parent.1").status == 200);
    BOOST_TEST(get(fleet, (host + 1) % 3, "parent.2").status == 200);
    BOOST_TEST(get(fleet, host, "other.3").status == 200);
    BOOST_TEST(parent.get().status == 200);
    BOOST_TEST(get(fleet, host, "parent.4").status == 200);
    const auto isCall = [&](int node, const std::string &id) {
        const auto mark = "kind=answer request=" + id + " ";
        std::string line;
        waitFor([&] {
            const auto log = fleet.nodeLog(node);
            const auto at = log.find(mark);
            if (at != std::string::npos)
                line = log.substr(at, log.find('\n', at) - at);
            return !line.empty();
        });
        return line.find("call:1") != std::string::npos;
    };
    BOOST_TEST(isCall(host, "parent.1"));
    BOOST_TEST(!isCall((host + 1) % 3, "parent.2"));
    BOOST_TEST(!isCall(host, "other.3"));
    BOOST_TEST(!isCall(host, "parent.4"));
}

// A caller that is told "not run" after its run's response was lost would run it twice.
BOOST_AUTO_TEST_CASE(a_lost_answer_is_never_told_as_not_run)
{
    Fleet fleet(platformFleet());
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    for (int i = 0; i < fleet.nodeCount(); ++i)
        fleet.setFaults(i, {{"drop-answers", true}});
    constexpr int Calls = 6;
    for (int i = 0; i < Calls; ++i) {
        const auto name = "lost-" + std::to_string(i);
        const auto response = post(fleet, i % 3, name);
        const auto runs = fleet.runsOfId(name).started;
        BOOST_TEST(runs <= 1);
        BOOST_TEST((runs == 0 || response.status == 504 || response.status == 502));
    }
}

// A stop that reaches its limit once closed the connections of open requests without an answer.
// What never reached an endpoint is told so; the outcome of the rest is unknown.
BOOST_AUTO_TEST_CASE(a_stop_at_its_limit_answers_what_is_open)
{
    auto options = platformFleet();
    options.nodes = 2;
    options.slots = 1;
    options.stopLimitMs = 1500;
    Fleet fleet(options);
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    auto running = std::async(std::launch::async, [&fleet] {
        return call(fleet.node(0).caller, "GET", "/long/x?work-ms=20000", {idHeader("held")});
    });
    BOOST_REQUIRE(waitFor([&fleet] { return fleet.runningOn("held").has_value(); }));
    fleet.nodeProcess(0).signal(SIGTERM);
    const auto response = running.get();
    BOOST_TEST(response.status == 504);
    BOOST_TEST(response.isComplete);
    BOOST_TEST(fleet.nodeProcess(0).waitForExit(seconds(10)).value_or(-1) == 0);
}
