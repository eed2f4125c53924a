// The node in platform mode, with real processes: heartbeats and headers of the platform towards
// the endpoints, and its object store for configuration and discovery.
#define BOOST_TEST_MODULE process_platform
#include "process_fixture.h"

#include <algorithm>
#include <atomic>
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

/// Value of a counter on the node's metrics page; 0 if it is absent.
double metric(const Fleet &fleet, int node, const std::string &name)
{
    const auto text = call(fleet.node(node).admin, "GET", "/metrics").body;
    const auto at = text.find("\n" + name + " ");
    return at == std::string::npos ? 0 : std::strtod(text.c_str() + at + name.size() + 2, nullptr);
}

/// Waits until all nodes have the configuration with \a version.
bool isInForce(const Fleet &fleet, std::uint64_t version)
{
    return waitFor([&fleet, version] {
        for (int i = 0; i < fleet.nodeCount(); ++i) {
            if (fleet.revision(i) != version)
                return false;
        }
        return true;
    });
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

// All cases share one fleet, because they do not modify it. Each case names the failure it guards
// against.
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
    // The gate sets the caller service to that of its host and ignores the caller's header.
    const auto response = call(fleet.node(1).caller, "GET", "/read/a?work-ms=1",
                               {"X-Request-Id: f", "X-Caller-Service: forged"});
    const auto seen = json::parse(response.body, nullptr, false);
    BOOST_REQUIRE(seen.is_object());
    BOOST_TEST(seen["caller-service"] == "svc");
    BOOST_TEST(seen["id"] == "f");
}

// Guards against a gate that sends requests to an endpoint after the endpoint's node has
// acknowledged the drain.
BOOST_AUTO_TEST_CASE(draining_endpoint_gets_no_requests_after_the_acknowledgement)
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
    // The deregistration must be acknowledged too; otherwise the platform counts it as missed.
    BOOST_TEST(fleet.backendProcess(1).waitForExit(seconds(20)).value_or(-1) == 0);
    const auto events = fleet.events(1);
    BOOST_TEST(std::count_if(events.begin(), events.end(),
                             [](const auto &event) { return event.event == "withdraw-acked"; })
               == 1);
}

// Guards against a restarted node that leaves its endpoint without requests until the next
// heartbeat, ten minutes later here: the node must query the endpoint's health path at its start.
// The store is down, so the node must also be found by its peers.
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

// Guards against a node that serves outdated routes, because it missed a change when the store
// compacted the history of its watch or because it applied an older version.
BOOST_AUTO_TEST_CASE(configuration_survives_compaction_and_never_goes_back)
{
    Fleet fleet(platformFleet());
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    fleet.setPlatformFaults({{"compact", true}});
    fleet.configure(0x20, "/added/");
    BOOST_TEST(isInForce(fleet, 0x20));
    fleet.configure(0x10);
    // Once the newer version is in force, the older one has been read.
    fleet.configure(0x30, "/added/");
    BOOST_TEST(isInForce(fleet, 0x30));
    for (int i = 0; i < fleet.nodeCount(); ++i) {
        const auto response =
                call(fleet.node(i).caller, "GET", "/added/x?work-ms=1", {idHeader("added")});
        BOOST_TEST(response.status == 200);
        BOOST_TEST(fleet.nodeLog(i).find("revision=16") == std::string::npos);
    }
}

// Guards against a node that misses a change, or goes back to an older version, when the store
// comes back from an older copy and the operator writes its versions again.
BOOST_AUTO_TEST_CASE(configuration_survives_a_return_of_the_store)
{
    Fleet fleet(platformFleet());
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    fleet.configure(0x10);
    BOOST_TEST(isInForce(fleet, 0x10));
    fleet.setPlatformFaults({{"take-copy", true}});
    for (const auto version : {0x20, 0x28})
        fleet.configure(version, "/lost/");
    BOOST_TEST(isInForce(fleet, 0x28));
    fleet.setPlatformFaults({{"restore-copy", true}});
    fleet.configure(0x28, "/lost/");
    fleet.configure(0x30, "/added/");
    BOOST_TEST(isInForce(fleet, 0x30));
    for (int i = 0; i < fleet.nodeCount(); ++i) {
        const auto response =
                call(fleet.node(i).caller, "GET", "/added/x?work-ms=1", {idHeader("added")});
        BOOST_TEST(response.status == 200);
        const auto log = fleet.nodeLog(i);
        BOOST_TEST(log.find("config-changed revision=16 ")
                   == log.rfind("config-changed revision=16 "));
    }
}

// Guards against a process that ends at a request for a part of a route whose service the
// configuration does not contain.
BOOST_AUTO_TEST_CASE(part_of_a_route_without_its_service_is_refused)
{
    constexpr const char *Configuration = R"({"metadata": {"name": "main"}, "spec": {
        "version": "00000020", "resources": [
        {"typeUrl": "routes", "metadata": {"name": "r"}, "spec": {"host": "svc.example",
         "pathPrefix": "/read/", "type": "idempotent", "timeout": "3s", "targetLatency": "1s",
         "attempts": 3, "priority": 1, "weightedServices": [{"service": "svc", "weight": 1},
         {"service": "absent", "weight": 1}]}},
        {"typeUrl": "services", "metadata": {"name": "svc"}, "spec": {"healthPath": "/healthz"}}]}})";
    Fleet fleet(platformFleet());
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    call(fleet.platformPort(), "PUT", "/v1/objects/config/main", {}, Configuration);
    BOOST_REQUIRE(waitFor([&fleet] { return fleet.revision(0) == 0x20; }));
    int refused = 0;
    for (int i = 0; i < Repeats; ++i) {
        const auto status = get(fleet, 0, "part-" + std::to_string(i)).status;
        BOOST_TEST((status == 200 || status == 503));
        refused += status == 503 ? 1 : 0;
    }
    BOOST_TEST(refused > 0);
}

// Guards against a SIGHUP that terminates the process, which is the signal's default action.
BOOST_AUTO_TEST_CASE(reload_does_not_interrupt_requests)
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

// Guards against a node that still reports ready after SIGTERM, so that new callers connect to a
// stopping node.
BOOST_AUTO_TEST_CASE(stopping_node_is_not_ready_and_completes_open_requests)
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

// Guards against counting rejections by owners as attempts: they would use up the retry budget and
// the attempts of the route although the request never reached an endpoint.
BOOST_AUTO_TEST_CASE(requests_rejected_by_owners_did_not_run_and_cost_no_attempt)
{
    auto options = platformFleet();
    options.slots = 1;
    Fleet fleet(options);
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    // Twice as many requests as three endpoints with one slot each can run and queue.
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
        // A caller that retries at once would find the same full queues.
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

// Guards against returning an endpoint's error on an idempotent request although another endpoint
// can serve it, and against retrying a non-idempotent request after an error.
BOOST_AUTO_TEST_CASE(only_idempotent_requests_are_retried_after_an_error)
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
    BOOST_TEST(writes < Repeats); // otherwise no write reached the failing endpoint
    double repeats = 0;
    for (int i = 0; i < fleet.nodeCount(); ++i)
        repeats += metric(fleet, i, "berylspur_gate_retries_total");
    BOOST_TEST(repeats > 0);
}

// The id of a nested call starts with the id of its parent. Guards against a gate that treats other
// requests as nested calls, which take precedence over others and are placed again instead of
// refused while all queues are full.
BOOST_AUTO_TEST_CASE(calls_are_recognized_only_by_a_running_parent)
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
    const auto isNestedCall = [&](int node, const std::string &id) {
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
    BOOST_TEST(isNestedCall(host, "parent.1"));
    BOOST_TEST(!isNestedCall((host + 1) % 3, "parent.2"));
    BOOST_TEST(!isNestedCall(host, "other.3"));
    BOOST_TEST(!isNestedCall(host, "parent.4"));
}

// Guards against nested calls that no retry budget counts: those of a repeated run reach their
// service in addition to the calls of the first run.
BOOST_AUTO_TEST_CASE(calls_of_a_repeated_run_count_as_repeats)
{
    Fleet fleet(platformFleet());
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    const auto countedAt = [&fleet](int node) {
        return metric(fleet, node, "berylspur_gate_calls_of_repeats_total");
    };
    // Runs a request until its second attempt runs, at the returned node; nothing if it has one.
    const auto nodeOfRepeat = [&fleet](const std::string &id) -> std::optional<int> {
        const auto mark = "kind=dispatch request=" + id + " ";
        for (int i = 0; i < fleet.nodeCount(); ++i) {
            const auto log = fleet.nodeLog(i);
            const auto at = log.find(mark);
            if (at != std::string::npos
                && log.substr(at, log.find('\n', at) - at).find("sent again") != std::string::npos)
                return i;
        }
        return std::nullopt;
    };
    bool wasRepeated = false;
    for (int i = 0; i < Repeats && !wasRepeated; ++i) {
        fleet.setFaults(1, {{"error-share", 1.0}});
        const auto id = "parent-" + std::to_string(i);
        auto parent = std::async(std::launch::async, [&fleet, id] {
            return call(fleet.node(0).caller, "GET", "/read/x?work-ms=700", {idHeader(id)});
        });
        const auto isRunning = [&] {
            return nodeOfRepeat(id).has_value()
                   || parent.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
        };
        BOOST_REQUIRE(waitFor(isRunning));
        const auto host = nodeOfRepeat(id);
        if (host && *host != 1) {
            BOOST_TEST(countedAt(*host) == 0);
            BOOST_TEST(get(fleet, *host, id + ".1").status == 200);
            BOOST_TEST(countedAt(*host) == 1);
            wasRepeated = true;
        }
        parent.wait();
    }
    BOOST_TEST(wasRepeated);
}

// Guards against reporting "not run" when only the response was lost: the caller would send the
// request again and it would run twice.
BOOST_AUTO_TEST_CASE(lost_response_is_never_reported_as_not_run)
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

// Guards against a stop at its time limit that closes the connections of open requests without a
// response. Requests that never reached an endpoint must be reported as not run, all others as
// having an unknown outcome.
BOOST_AUTO_TEST_CASE(stop_at_its_time_limit_responds_to_open_requests)
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

// Guards against a request that a stopping node accepts after it has answered the open ones, and
// drops when its process ends.
BOOST_AUTO_TEST_CASE(requests_at_the_end_of_a_stop_are_answered_or_do_not_run)
{
    constexpr int Callers = 4;
    constexpr milliseconds StopLimit(1500);
    auto options = platformFleet();
    options.stopLimitMs = static_cast<int>(StopLimit.count());
    options.slots = 2 * Callers;
    Fleet fleet(options);
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    // A stop reaches its limit only with a request that is open then.
    auto held = std::async(std::launch::async, [&fleet] {
        return call(fleet.node(0).caller, "GET", "/long/x?work-ms=20000", {idHeader("held")});
    });
    BOOST_REQUIRE(waitFor([&fleet] { return fleet.runningOn("held").has_value(); }));
    std::atomic<bool> hasExited = false;
    // Each request takes longer than the time between the stop limit and the end of the process.
    const auto sendUntilExit = [&](int caller) {
        std::vector<std::string> unanswered;
        for (int i = 0; !hasExited; ++i) {
            const auto id = "stop-" + std::to_string(caller) + "-" + std::to_string(i);
            const auto response =
                    call(fleet.node(0).caller, "GET", "/read/x?work-ms=300", {idHeader(id)});
            if (response.status == 0)
                unanswered.push_back(id);
        }
        return unanswered;
    };
    std::vector<std::future<std::vector<std::string>>> callers;
    for (int i = 0; i < Callers; ++i)
        callers.push_back(std::async(std::launch::async, sendUntilExit, i));
    std::this_thread::sleep_for(milliseconds(300));
    fleet.nodeProcess(0).signal(SIGTERM);
    const auto status = fleet.nodeProcess(0).waitForExit(seconds(20));
    hasExited = true;
    BOOST_TEST((status == 0));
    for (auto &caller : callers) {
        for (const auto &id : caller.get())
            BOOST_TEST(fleet.runsOfId(id).started == 0, id);
    }
    BOOST_TEST(held.get().status == 504);
    BOOST_TEST(fleet.nodeLog(0).find("stop-limit-reached") != std::string::npos);
}
