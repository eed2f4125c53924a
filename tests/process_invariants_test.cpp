// Invariants 2 to 7 of the design, tested with real processes. Failures are injected by signals,
// links and faults of the stand-ins; the responses to callers are compared with the execution logs.
#define BOOST_TEST_MODULE process_invariants
#include "process_fixture.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <future>
#include <sstream>

using namespace berylspur::test;
using nlohmann::json;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t Seed = 20261204;

std::string code(const Response &response)
{
    const std::string result = response.header("Berylspur-Result");
    return result.substr(0, result.find(' '));
}

std::string outcomeText(const Response &response)
{
    return std::to_string(response.status) + " " + response.header("Berylspur-Result") + " "
           + response.body.substr(0, 100);
}

std::future<Response> callLater(std::uint16_t port, const std::string &method,
                                const std::string &target,
                                const std::vector<std::string> &headers = {})
{
    return std::async(std::launch::async, [=] { return call(port, method, target, headers); });
}

/// Drains the endpoint of node \a i, so that requests through the gate of that node go to another
/// owner.
void drainEndpointOf(Fleet &fleet, int i)
{
    call(fleet.endpointPort(i), "POST", "/state", {}, R"({"state":"draining"})");
    BOOST_REQUIRE(waitFor([&] {
        const auto seen = fleet.state(i);
        return seen.is_object() && seen["owner"]["endpoints"][0]["draining"] == true;
    }));
}

// ---- load with faults

using Act = void (*)(Fleet &);

struct LoadCase
{
    const char *name;
    const char *guards; ///< failure that the case guards against
    Act begin;
    Act end;
};

std::ostream &operator<<(std::ostream &out, const LoadCase &sample)
{
    return out << sample.name << ": " << sample.guards;
}

void noFault(Fleet &) { }

void killOwner(Fleet &fleet)
{
    fleet.nodeProcess(2).signal(SIGKILL);
    fleet.nodeProcess(2).waitForExit(seconds(10));
}

void restartOwner(Fleet &fleet)
{
    fleet.startNode(2);
}

/// Pauses the owner until the other nodes have detected it, so that the pause exceeds their
/// timeouts.
void pauseOwner(Fleet &fleet)
{
    fleet.nodeProcess(2).signal(SIGSTOP);
    waitFor([&] { return fleet.verdict(0, fleet.endpointId(2)) == "owner-gone"; });
}

void resumeOwner(Fleet &fleet)
{
    fleet.nodeProcess(2).signal(SIGCONT);
}

void killEndpoint(Fleet &fleet)
{
    fleet.backendProcess(1).signal(SIGKILL);
    fleet.backendProcess(1).waitForExit(seconds(10));
}

void restartEndpoint(Fleet &fleet)
{
    fleet.startBackend(1);
}

void stallEndpoint(Fleet &fleet)
{
    fleet.setFaults(1, {{"stall", true}});
    waitFor([&] { return fleet.verdict(0, fleet.endpointId(1)) == "ejected"; });
}

void clearEndpointFaults(Fleet &fleet)
{
    fleet.setFaults(1, json::object());
}

void resetResponses(Fleet &fleet)
{
    fleet.setFaults(1, {{"reset-share", 0.3}});
}

void truncateResponses(Fleet &fleet)
{
    fleet.setFaults(1, {{"truncate", true}});
}

void silenceLinks(Fleet &fleet)
{
    for (int i = 0; i < fleet.nodeCount(); ++i)
        fleet.link(i, "/silence");
}

void dropTowardsOwner(Fleet &fleet)
{
    fleet.link(2, "/mode?set=drop-forward");
    waitFor([&] { return fleet.state(0)["gate"]["unknown"].get<int>() > 0; }, seconds(8));
}

void dropFromOwner(Fleet &fleet)
{
    fleet.link(2, "/mode?set=drop-backward");
    waitFor([&] { return fleet.state(0)["gate"]["unknown"].get<int>() > 0; }, seconds(8));
}

void restoreLinks(Fleet &fleet)
{
    for (int i = 0; i < fleet.nodeCount(); ++i)
        fleet.link(i, "/restore");
}

void platformDown(Fleet &fleet)
{
    fleet.setPlatformFaults({{"outage", true}});
}

void platformUp(Fleet &fleet)
{
    fleet.setPlatformFaults({{"outage", false}});
}

const LoadCase LoadCases[] = {
        {"no-fault", "a test that passes without any load", &noFault, &noFault},
        {"owner-killed", "a second run after the owner died", &killOwner, &restartOwner},
        {"owner-paused", "requests that run after the caller was told not-run", &pauseOwner,
         &resumeOwner},
        {"endpoint-killed", "a reset that is reported as not-run", &killEndpoint, &restartEndpoint},
        {"endpoint-stalled", "a retry of a request that is stalled", &stallEndpoint,
         &clearEndpointFaults},
        {"endpoint-resets", "a retry of a non-idempotent request after a reset", &resetResponses,
         &clearEndpointFaults},
        {"endpoint-truncates", "a truncated response passed on as complete", &truncateResponses,
         &clearEndpointFaults},
        {"links-silent", "requests resent over a new connection while the first copy runs",
         &silenceLinks, &noFault},
        {"one-way-to-owner", "not-run reported although the dispatch arrives later",
         &dropTowardsOwner, &restoreLinks},
        {"one-way-from-owner", "not-run reported because the response cannot return",
         &dropFromOwner, &restoreLinks},
        {"platform-down-and-owner-killed", "a restarted owner that waits for the platform",
         [](Fleet &fleet) {
             platformDown(fleet);
             killOwner(fleet);
         },
         [](Fleet &fleet) {
             restartOwner(fleet);
             platformUp(fleet);
         }},
        {"owner-paused-and-links-silent", "late dispatches from two buffers at once",
         [](Fleet &fleet) {
             silenceLinks(fleet);
             pauseOwner(fleet);
         },
         &resumeOwner},
        {"endpoint-killed-and-owner-paused", "a response to a request that no endpoint ran",
         [](Fleet &fleet) {
             killEndpoint(fleet);
             pauseOwner(fleet);
         },
         [](Fleet &fleet) {
             resumeOwner(fleet);
             restartEndpoint(fleet);
         }},
};

std::vector<json> readLines(const std::filesystem::path &file)
{
    std::vector<json> result;
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);)
        result.push_back(json::parse(line));
    return result;
}

std::size_t startedRequests(const Fleet &fleet)
{
    return fleet.allRuns("id").size();
}

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

struct Verdicts
{
    std::map<std::string, int> outcomes;
    std::vector<std::string> ranAlthoughNotRun;
    std::vector<std::string> ranTwice;
    std::vector<std::string> answeredWithoutRun;
};

/// Compares the responses to callers (the output file of berylspur-load) with the execution logs.
Verdicts compare(const Fleet &fleet, const std::filesystem::path &ids)
{
    Verdicts result;
    auto byId = fleet.allRuns("id");
    auto byKey = fleet.allRuns("key");
    for (const json &line : readLines(ids)) {
        const std::string outcome = line["outcome"];
        const std::string id = line["id"];
        const std::string key = line["key"];
        ++result.outcomes[outcome];
        const int runs = key.empty() ? byId[id].started : byKey[key].started;
        if (outcome == "not-run"
            && (id.empty() || byId[id].started > 0 || (!key.empty() && runs > 0)))
            result.ranAlthoughNotRun.push_back(line.dump());
        if (!key.empty() && runs > 1)
            result.ranTwice.push_back(line.dump());
        if (outcome == "answered" && !key.empty() && byKey[key].finished != 1)
            result.answeredWithoutRun.push_back(line.dump());
    }
    return result;
}

std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines)
        text += "\n" + line;
    return text;
}

} // namespace

// Invariants 2, 3 and 4. Guards against "not run" for a request that ran, a request with a key that
// runs twice, and a response that reaches the caller of another request.
BOOST_DATA_TEST_CASE(load_agrees_with_execution_logs, boost::unit_test::data::make(LoadCases))
{
    FleetOptions options;
    options.links = true;
    Fleet fleet(options);
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    const auto ids = fleet.directory() / "ids";
    std::vector<std::string> arguments {"--rate",
                                        "60:10",
                                        "--short-path",
                                        "/read?work-ms=20",
                                        "--post-path",
                                        "/write?work-ms=40",
                                        "--long-path",
                                        "/long?work-ms=400&bytes=200000",
                                        "--long-share",
                                        "0.05",
                                        "--non-idempotent-share",
                                        "0.4",
                                        "--customers",
                                        "7",
                                        "--ids",
                                        ids.string(),
                                        "--seed",
                                        std::to_string(Seed),
                                        "--max-seconds",
                                        "40"};
    for (const int gate : {0, 1}) {
        arguments.push_back("--target");
        arguments.push_back("127.0.0.1:" + std::to_string(fleet.node(gate).caller));
    }
    Process load("berylspur-load", arguments, (fleet.directory() / "load.log").string());
    BOOST_REQUIRE(waitFor([&] { return startedRequests(fleet) >= 60; }));
    sample.begin(fleet);
    const std::size_t before = startedRequests(fleet);
    BOOST_TEST(waitFor([&] { return startedRequests(fleet) >= before + 60; }),
               "requests are served during the fault");
    sample.end(fleet);
    BOOST_REQUIRE(load.waitForExit(seconds(60)) == 0);

    const Verdicts verdicts = compare(fleet, ids);
    std::ostringstream counts;
    for (const auto &[outcome, count] : verdicts.outcomes)
        counts << " " << outcome << "=" << count;
    std::cout << "load " << sample.name << " seed " << Seed << counts.str() << std::endl;
    BOOST_TEST(verdicts.ranAlthoughNotRun.empty(),
               "told not-run but ran:" << joined(verdicts.ranAlthoughNotRun));
    BOOST_TEST(verdicts.ranTwice.empty(), "ran twice:" << joined(verdicts.ranTwice));
    BOOST_TEST(verdicts.answeredWithoutRun.empty(),
               "answered without one finished run:" << joined(verdicts.answeredWithoutRun));
    BOOST_TEST(!verdicts.outcomes.contains("mismatched"));
    BOOST_TEST(verdicts.outcomes.at("answered") > 0);
}

// ---- repeats with the same Idempotency-Key

namespace {

enum class Victim { None, Owner, Gate, Endpoint };

struct RepeatCase
{
    const char *name;
    Victim victim;
    int signal;
    bool resumes;
    bool platformDown;
};

std::ostream &operator<<(std::ostream &out, const RepeatCase &sample)
{
    return out << sample.name;
}

const RepeatCase RepeatCases[] = {
        {"no-fault", Victim::None, 0, false, false},
        {"owner-killed", Victim::Owner, SIGKILL, false, false},
        {"owner-paused", Victim::Owner, SIGSTOP, true, false},
        {"gate-killed", Victim::Gate, SIGKILL, false, false},
        {"gate-paused", Victim::Gate, SIGSTOP, true, false},
        {"endpoint-killed", Victim::Endpoint, SIGKILL, false, false},
        {"endpoint-paused", Victim::Endpoint, SIGSTOP, true, false},
        {"owner-killed-platform-down", Victim::Owner, SIGKILL, false, true},
        {"gate-killed-platform-down", Victim::Gate, SIGKILL, false, true},
};

} // namespace

// Invariant 4. Guards against a repeat with the same key through another node that runs the request
// again. Repeats are sent while the first request is in flight and after it has ended.
BOOST_DATA_TEST_CASE(repeat_with_same_key_runs_once, boost::unit_test::data::make(RepeatCases))
{
    Fleet fleet;
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    drainEndpointOf(fleet, 0);
    const std::vector<std::string> headers {std::string("Idempotency-Key: key-") + sample.name};
    const std::string key = std::string("key-") + sample.name;
    auto first = callLater(fleet.node(0).caller, "POST", "/write?work-ms=600", headers);
    BOOST_REQUIRE(waitFor([&] { return fleet.runningOn(key).has_value(); }));
    const int owner = *fleet.runningOn(key);
    BOOST_REQUIRE(owner != 0);
    if (sample.platformDown)
        platformDown(fleet);
    if (sample.victim == Victim::Owner)
        fleet.nodeProcess(owner).signal(sample.signal);
    if (sample.victim == Victim::Gate)
        fleet.nodeProcess(0).signal(sample.signal);
    if (sample.victim == Victim::Endpoint)
        fleet.backendProcess(owner).signal(sample.signal);

    const int other = owner == 1 ? 2 : 1;
    std::vector<Response> repeats;
    for (int i = 0; i < 2; ++i)
        repeats.push_back(call(fleet.node(other).caller, "POST", "/write?work-ms=600", headers));
    if (sample.resumes) {
        fleet.nodeProcess(owner).signal(SIGCONT);
        fleet.nodeProcess(0).signal(SIGCONT);
        fleet.backendProcess(owner).signal(SIGCONT);
    }
    const Response firstResponse = first.get();
    repeats.push_back(call(fleet.node(other).caller, "POST", "/write?work-ms=600", headers));

    const Runs runs = fleet.runsOfKey(key);
    std::cout << "repeat " << sample.name << " first=" << firstResponse.status << " repeats=";
    for (const Response &response : repeats)
        std::cout << response.status << "/" << response.header("Berylspur-Result") << " ";
    std::cout << "started=" << runs.started << " finished=" << runs.finished << std::endl;
    BOOST_TEST(runs.started == 1);
    for (const Response &response : repeats) {
        BOOST_TEST(response.status != 0);
        BOOST_TEST(response.header("Berylspur-Outcome") != "not-run");
    }
    if (sample.victim == Victim::None) {
        BOOST_TEST(firstResponse.status == 200, outcomeText(firstResponse));
        BOOST_TEST(repeats.back().status == 200);
        BOOST_TEST(repeats.back().body == firstResponse.body);
    }
}

// ---- caller input

namespace {

struct InputCase
{
    const char *name;
    std::string text;
    int status;
    const char *code; ///< empty: not checked
};

const std::string Start = " HTTP/1.1\r\nHost: svc.example\r\n";
const InputCase InputCases[] = {
        {"two-lengths",
         "POST /write" + Start + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!", 400,
         "3002"},
        {"two-equal-lengths",
         "POST /write" + Start + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", 400,
         "3002"},
        {"body-on-get", "GET /read" + Start + "Content-Length: 5\r\n\r\nhello", 400, "3002"},
        {"chunked-body-on-get",
         "GET /read" + Start + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 400,
         "3002"},
        {"negative-length", "POST /write" + Start + "Content-Length: -5\r\n\r\nhello", 400, ""},
        {"length-not-a-number", "POST /write" + Start + "Content-Length: 5x\r\n\r\nhello", 400, ""},
        {"body-too-large",
         "POST /write" + Start + "Content-Length: 2097152\r\n\r\n" + std::string(2097152, 'x'), 413,
         "3004"},
        {"headers-too-large",
         "GET /read" + Start + "X-Large: " + std::string(20000, 'x') + "\r\n\r\n", 431, "3005"},
        {"unknown-route", "GET /nowhere" + Start + "\r\n", 404, "3003"},
        {"method-not-allowed", "POST /read" + Start + "Content-Length: 0\r\n\r\n", 405, "3006"},
};

} // namespace

namespace {

/// Sends each input and checks its response. None may reach an endpoint.
void checkRefused(const std::vector<InputCase> &inputs)
{
    FleetOptions options;
    options.nodes = 1;
    Fleet fleet(options);
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    const std::size_t runsBefore = startedRequests(fleet);
    for (const InputCase &sample : inputs) {
        BOOST_TEST_CONTEXT(sample.name)
        {
            const Response response = exchange(fleet.node(0).caller, sample.text, seconds(10));
            BOOST_TEST(response.status == sample.status);
            if (*sample.code)
                BOOST_TEST(code(response) == sample.code);
        }
    }
    BOOST_TEST(startedRequests(fleet) == runsBefore);
    BOOST_TEST(call(fleet.node(0).caller, "GET", "/read").status == 200);
}

} // namespace

// Guards against request smuggling and against invalid requests that run.
BOOST_AUTO_TEST_CASE(caller_input_is_refused)
{
    checkRefused({std::begin(InputCases), std::end(InputCases)});
}

// Guards against request smuggling with both Content-Length and Transfer-Encoding; the response
// must carry the result code.
BOOST_AUTO_TEST_CASE(both_lengths_are_refused)
{
    checkRefused({{"both-lengths",
                   "POST /write" + Start
                           + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                   400, "3002"}});
}

// Guards against a caller that sets its request id or deadline through headers of the project.
BOOST_AUTO_TEST_CASE(project_headers_of_callers_are_removed)
{
    FleetOptions options;
    options.nodes = 1;
    Fleet fleet(options);
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    const std::string chosen = "0123456789abcdef0123456789abcdef";
    for (int i = 0; i < 2; ++i) {
        const Response response =
                call(fleet.node(0).caller, "GET", "/read?work-ms=50",
                     {"Berylspur-Request-Id: " + chosen, "Berylspur-Deadline-Ms: 1"});
        BOOST_TEST(response.status == 200, outcomeText(response));
        BOOST_TEST(response.header("Berylspur-Request-Id") != chosen);
    }
    BOOST_TEST(fleet.runsOfId(chosen).started == 0);
}

// ---- truncated, late and reordered responses

// Invariant 2. Guards against a truncated response that looks complete to the caller. The sizes
// range from responses kept by the owner to ones larger than every buffer on the path.
BOOST_DATA_TEST_CASE(truncated_response_is_not_complete,
                     boost::unit_test::data::make({"64", "4000", "300000", "5000000"}))
{
    FleetOptions options;
    options.nodes = 2;
    Fleet fleet(options);
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    const std::string bytes = sample;
    const std::string target = "/read?token=t&bytes=" + bytes;
    const Response complete = call(fleet.node(0).caller, "GET", target);
    BOOST_TEST(complete.status == 200, outcomeText(complete));
    BOOST_TEST(complete.isComplete);
    BOOST_TEST(complete.body.size() == std::stoul(bytes));
    for (int i = 0; i < fleet.nodeCount(); ++i)
        fleet.setFaults(i, {{"truncate", true}});
    for (int i = 0; i < 4; ++i) {
        const Response truncated = call(fleet.node(i % 2).caller, "GET", target);
        BOOST_TEST((!truncated.isComplete || truncated.status >= 500),
                   "status " << truncated.status);
        BOOST_TEST(truncated.header("Berylspur-Outcome") != "not-run");
    }
}

// Invariant 2. Guards against responses that reach the wrong caller because they arrive in a
// different order from the requests, or late from a stalled endpoint.
BOOST_AUTO_TEST_CASE(reordered_and_late_responses_reach_their_callers)
{
    FleetOptions options;
    options.nodes = 2;
    options.slots = 8;
    Fleet fleet(options);
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    std::vector<std::future<Response>> responses;
    for (int i = 0; i < 12; ++i) {
        const std::string target = "/read?work-ms=" + std::to_string(300 - 25 * i) + "&token=token-"
                                   + std::to_string(i) + "z";
        responses.push_back(callLater(fleet.node(i % 2).caller, "GET", target));
    }
    int answered = 0;
    for (std::size_t i = 0; i < responses.size(); ++i) {
        const Response response = responses[i].get();
        if (response.status != 200)
            continue;
        ++answered;
        BOOST_TEST(response.body.find("token-" + std::to_string(i) + "z") != std::string::npos);
    }
    BOOST_TEST(answered > 0);

    // A late response, released after the caller's deadline of 3 s.
    for (int i = 0; i < 2; ++i)
        fleet.setFaults(i, {{"stall", true}});
    const Response late = call(fleet.node(0).caller, "GET", "/read?token=latez");
    BOOST_TEST(late.status >= 500);
    for (int i = 0; i < 2; ++i)
        fleet.setFaults(i, json::object());
    std::vector<Response> next;
    BOOST_TEST(waitFor([&] {
        next.push_back(call(fleet.node(0).caller, "GET", "/read?token=nextz"));
        return next.back().status == 200;
    }));
    for (const Response &response : next)
        BOOST_TEST(response.body.find("latez") == std::string::npos);
}

// ---- draining endpoints and planned stops

namespace {

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

// ---- configuration

namespace {

std::string withRate(int rate)
{
    return "    limits:\n      customer-rate: " + std::to_string(rate) + "\n";
}

bool isInForce(const Fleet &fleet, std::uint64_t revision)
{
    for (int i = 0; i < fleet.nodeCount(); ++i) {
        if (fleet.revision(i) != revision)
            return false;
    }
    return true;
}

} // namespace

// Invariant 7. Guards against concurrent applies that both report success, and against nodes that
// end up with different manifests.
BOOST_AUTO_TEST_CASE(of_two_operators_one_wins)
{
    Fleet fleet;
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    // With slow calls, both operators read the same manifest before either one writes.
    fleet.setPlatformFaults({{"delay-ms", 500}});
    for (int round = 0; round < 5; ++round) {
        const std::uint64_t before = fleet.revision(0);
        std::string outputs[2];
        std::future<int> results[2];
        for (int i = 0; i < 2; ++i) {
            results[i] = std::async(std::launch::async, [&, i] {
                return fleet.apply(fleet.manifest(withRate(1000 + 10 * round + i)),
                                   i == 0 ? "operator-ana" : "operator-dan", &outputs[i]);
            });
        }
        const int exits[2] = {results[0].get(), results[1].get()};
        const int winners = (exits[0] == 0 ? 1 : 0) + (exits[1] == 0 ? 1 : 0);
        BOOST_TEST(winners == 1);
        BOOST_TEST(waitFor([&] {
                       return isInForce(fleet, before + static_cast<std::uint64_t>(winners));
                   }),
                   "revision " << before << " winners " << winners);
        for (int i = 0; i < 2; ++i) {
            if (exits[i] == 0)
                continue;
            BOOST_TEST(outputs[i].find("2004") != std::string::npos, outputs[i]);
            BOOST_TEST(outputs[i].find(i == 0 ? "operator-dan" : "operator-ana")
                               != std::string::npos,
                       outputs[i]);
        }
        std::cout << "operators round " << round << " winners " << winners << std::endl;
    }
}

// Invariant 7. Guards against a second write after the platform lost the response to the first.
BOOST_DATA_TEST_CASE(lost_write_response_is_no_second_write,
                     boost::unit_test::data::make({1, 2, 3}))
{
    Fleet fleet;
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    const std::uint64_t before = fleet.revision(0);
    fleet.setPlatformFaults({{"lose-write-responses", sample}});
    std::string output;
    const int exit = fleet.apply(fleet.manifest(withRate(500)), "operator-ana", &output);
    BOOST_TEST(exit == 0, output);
    BOOST_TEST(waitFor([&] { return isInForce(fleet, before + 1); }));
    BOOST_TEST(call(fleet.node(2).caller, "GET", "/read").status == 200);
}

// Invariant 7. Guards against a node that loses its configuration when it restarts during a
// platform outage, and against an older configuration being restored when the platform comes back.
BOOST_AUTO_TEST_CASE(configuration_survives_platform_outage)
{
    Fleet fleet;
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    std::string output;
    BOOST_REQUIRE(fleet.apply(fleet.manifest(withRate(700)), "operator-ana", &output) == 0);
    const std::uint64_t revision = fleet.revision(0);
    BOOST_REQUIRE(waitFor(
            [&] { return isInForce(fleet, fleet.revision(0)) && fleet.revision(0) >= revision; }));
    const std::uint64_t inForce = fleet.revision(0);
    platformDown(fleet);
    killOwner(fleet);
    restartOwner(fleet);
    BOOST_TEST(waitFor([&] { return fleet.revision(2) == inForce; }));
    BOOST_TEST(waitFor([&] { return call(fleet.node(2).caller, "GET", "/read").status == 200; }));
    platformUp(fleet);
    BOOST_TEST(waitFor(
            [&] { return call(fleet.platformPort(), "GET", "/accounting").status == 200; }));
    BOOST_TEST(fleet.apply(fleet.manifest(withRate(701)), "operator-ana", &output) == 0, output);
    BOOST_TEST(waitFor([&] { return isInForce(fleet, inForce + 1); }));
}
