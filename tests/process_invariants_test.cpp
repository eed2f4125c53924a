// Invariants 2 to 4 of the design under load and for repeated requests, tested with real processes.
// Failures are injected by signals, links and faults of the stand-ins; the responses to callers are
// compared with the execution logs.
#define BOOST_TEST_MODULE process_invariants
#include "process_actions.h"

#include <boost/test/data/test_case.hpp>
#include <iostream>
#include <sstream>

using namespace berylspur::test;
using nlohmann::json;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t Seed = 20261204;

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
