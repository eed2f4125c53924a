// Key homes: verdicts, loss of the majority, restarts, handover, and random fault schedules.
#define BOOST_TEST_MODULE idempotency
#include "berylspur/idempotency/key_home.h"
#include "key_home_model.h"
#include "property_check.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace berylspur;
using namespace std::chrono_literals;
using berylspur::test::checkProperty;
using berylspur::test::KeyFaults;
using berylspur::test::KeyModel;
using berylspur::test::KeyModelResult;
namespace data = boost::unit_test::data;

namespace {

const TimePoint Start {100000s};

RequestId idOf(std::uint64_t number)
{
    Random random(number);
    return RequestId::generate(random);
}

KeyClaim claimOf(std::uint64_t number, const std::string &owner = "owner")
{
    return {idOf(number), owner, 1};
}

ClaimVerdict verdictOf(KeyHome &home, std::uint64_t number, TimePoint now,
                       const std::string &key = "key")
{
    return home.claim(key, claimOf(number), std::nullopt, now).verdict;
}

/// Membership of node "a" with simulated contacts to the other nodes.
class SimulatedPeers
{
public:
    /// Returns a view of the nodes \a names, all with the state \a quorum. Those in \a heard have a
    /// contact at \a now.
    FleetView view(const std::vector<std::string> &names, const std::vector<std::string> &heard,
                   TimePoint now, KeyQuorum quorum = KeyQuorum::Held)
    {
        for (const std::string &name : heard)
            m_lastContact[name] = now;
        m_lastContact["a"] = now;
        FleetView view;
        for (const std::string &name : names)
            view.known.push_back({name, m_lastContact[name], quorum});
        view.lastHeardByPeer = heard.empty() ? TimePoint() : now;
        return view;
    }

    /// Calls updateView() each second for \a duration and returns the end time.
    TimePoint advance(KeyHome &home, const std::vector<std::string> &names,
                      const std::vector<std::string> &heard, TimePoint from, Duration duration,
                      KeyQuorum quorum = KeyQuorum::Held)
    {
        for (TimePoint now = from; now < from + duration; now += 1s)
            home.updateView(view(names, heard, now, quorum), now);
        return from + duration;
    }

private:
    std::map<std::string, TimePoint> m_lastContact;
};

const std::vector<std::string> Fleet {"a", "b", "c", "d", "e"};

struct FaultCase
{
    const char *name;
    KeyFaults faults;
};
std::ostream &operator<<(std::ostream &out, const FaultCase &faultCase)
{
    return out << faultCase.name;
}
const std::vector<FaultCase> FaultCases {
        {"partitions", {.partitions = true}},
        {"one way", {.oneWay = true}},
        {"pauses", {.pauses = true}},
        {"restarts", {.restarts = true}},
        {"joins", {.joins = true}},
        {"planned stops", {.stops = true}},
        {"partitions and joins", {.partitions = true, .joins = true}},
        {"partitions and restarts", {.partitions = true, .restarts = true}},
        {"all",
         {.partitions = true,
          .oneWay = true,
          .pauses = true,
          .restarts = true,
          .joins = true,
          .stops = true}},
};

} // namespace

BOOST_AUTO_TEST_SUITE(schedules)

// Guards against a request that runs twice (invariant 4) under any faults of the key homes.
BOOST_DATA_TEST_CASE(no_key_runs_twice, data::make(FaultCases), faultCase)
{
    constexpr std::uint64_t Seeds = 24;
    KeyModelResult total;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        KeyModel model(seed, faultCase.faults, 5 + seed % 3);
        const KeyModelResult result = model.run(std::chrono::seconds(3000));
        BOOST_TEST(result.duplicateRuns == 0U, "seed " << seed << " ran keys twice");
        total.runs += result.runs;
        total.seen += result.seen;
        total.unknown += result.unknown;
    }
    BOOST_TEST_MESSAGE(faultCase.name << ": " << total.runs << " runs, " << total.seen << " seen, "
                                      << total.unknown << " unknown");
    BOOST_TEST(total.runs > 500U);
}

// Guards against a home that returns Unknown although nothing fails.
BOOST_AUTO_TEST_CASE(without_faults_every_claim_is_answered)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        KeyModel model(seed, {}, 5);
        const KeyModelResult result = model.run(std::chrono::seconds(2000));
        BOOST_TEST(result.unknown == 0U);
        BOOST_TEST(result.duplicateRuns == 0U);
        // 6 keys, one run each per retention.
        BOOST_TEST(result.runs >= 30U);
    }
}

// Guards against a second grant at one home for any sequence of claims, replacements, releases and
// expirations.
BOOST_AUTO_TEST_CASE(one_home_grants_once)
{
    checkProperty(1000, [] {
        KeyHome home({}, Start, true);
        TimePoint now = Start;
        std::optional<KeyClaim> holder;
        TimePoint grantedAt;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
                100, rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(1, 40)));
        std::uint64_t number = 0;
        for (const auto &[step, seconds] : steps) {
            now += std::chrono::seconds(seconds);
            home.updateView(SimulatedPeers().view({"a"}, {}, now), now);
            const bool isLive = holder && now - grantedAt < 300s;
            if (step == 5 && isLive && seconds < 5) {
                home.release("key", holder->request);
                holder.reset();
                continue;
            }
            if (step == 4)
                home.expire(now);
            const KeyClaim wanted = claimOf(++number);
            std::optional<KeyClaim> replaces;
            const bool hasProof = step == 3 && isLive;
            if (hasProof)
                replaces = holder;
            else if (step == 2)
                replaces = claimOf(number + 100000); // replaces a claim that is not recorded
            const ClaimResult result = home.claim("key", wanted, replaces, now);
            if (isLive && !hasProof) {
                RC_ASSERT(result.verdict == ClaimVerdict::Seen);
                RC_ASSERT(result.first == *holder);
            } else {
                RC_ASSERT(result.verdict == ClaimVerdict::Granted);
                holder = wanted;
                grantedAt = now;
            }
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(home)

// Guards against a replacement that frees a key on the word of one owner although the same request
// was sent to another owner in the meantime.
BOOST_AUTO_TEST_CASE(proof_names_the_owner)
{
    KeyHome home({}, Start, true);
    const KeyClaim first = claimOf(1, "owner-1");
    const KeyClaim moved = claimOf(1, "owner-2");
    BOOST_TEST((home.claim("key", first, std::nullopt, Start).verdict == ClaimVerdict::Granted));
    BOOST_TEST((home.claim("key", moved, first, Start).verdict == ClaimVerdict::Granted));
    const ClaimResult late = home.claim("key", claimOf(2), first, Start);
    BOOST_TEST((late.verdict == ClaimVerdict::Seen));
    BOOST_TEST((late.first == moved));
}

// Guards against a claim that is repeated after a lost response and then returns Seen.
BOOST_AUTO_TEST_CASE(same_claim_is_granted_again)
{
    KeyHome home({}, Start, true);
    BOOST_TEST((verdictOf(home, 1, Start) == ClaimVerdict::Granted));
    BOOST_TEST((verdictOf(home, 1, Start + 1s) == ClaimVerdict::Granted));
    BOOST_TEST((verdictOf(home, 2, Start + 1s) == ClaimVerdict::Seen));
}

// Guards against grants by a home after it handed over its records.
BOOST_AUTO_TEST_CASE(handover_ends_grants_and_keeps_claims)
{
    KeyHome from({}, Start, true);
    KeyHome to({}, Start, true);
    verdictOf(from, 1, Start);
    const auto records = from.handOver(Start + 10s);
    BOOST_TEST(records.size() == 1U);
    BOOST_TEST((verdictOf(from, 2, Start + 10s, "other") == ClaimVerdict::Unknown));
    BOOST_TEST((verdictOf(from, 2, Start + 10s) == ClaimVerdict::Seen));
    to.acceptHandover(records, Start + 10s);
    BOOST_TEST((verdictOf(to, 2, Start + 11s) == ClaimVerdict::Seen));
    BOOST_TEST((to.claim("key", claimOf(2), claimOf(1), Start + 12s).verdict
                == ClaimVerdict::Granted));
    // The handover arrives again after a lost response.
    to.acceptHandover(records, Start + 20s);
    const ClaimResult result = to.claim("key", claimOf(3), claimOf(1), Start + 21s);
    BOOST_TEST((result.verdict == ClaimVerdict::Seen));
    BOOST_TEST((result.first == claimOf(2)));
}

// Guards against a node that is published as left while keys of its earlier incarnation are still
// live at other nodes.
BOOST_AUTO_TEST_CASE(records_are_complete_after_the_wait_only)
{
    SimulatedPeers peers;
    KeyHome home({}, Start, false, "a");
    BOOST_TEST(!home.hasAllRecords(Start));
    const TimePoint formed = peers.advance(home, Fleet, {"b", "c", "d", "e"}, Start, 200s);
    BOOST_TEST((home.quorum(formed) == KeyQuorum::Held));
    BOOST_TEST(!home.hasAllRecords(formed));
    const TimePoint done = peers.advance(home, Fleet, {"b", "c", "d", "e"}, formed, 260s);
    BOOST_TEST(home.hasAllRecords(done));
}

// Guards against a restarted home that grants keys again which it granted before the restart.
BOOST_AUTO_TEST_CASE(restarted_home_waits)
{
    SimulatedPeers peers;
    KeyHome home({}, Start, false, "a");
    TimePoint now = peers.advance(home, Fleet, {"b", "c", "d"}, Start, 449s);
    BOOST_TEST(!home.grants(now - 1s));
    now = peers.advance(home, Fleet, {"b", "c", "d"}, now, 3s);
    BOOST_TEST(home.grants(now - 1s));
}

// Guards against grants on both sides of a long partition: the side without the majority stops
// after 120 s and does not resume after it has expired the other nodes.
BOOST_AUTO_TEST_CASE(minority_stops_permanently)
{
    SimulatedPeers peers;
    KeyHome home({}, Start, true, "a");
    TimePoint now = peers.advance(home, Fleet, {"b", "c", "d", "e"}, Start, 200s);
    const TimePoint cut = now;
    now = peers.advance(home, Fleet, {"b"}, now, 119s);
    BOOST_TEST(home.grants(cut + 118s));
    now = peers.advance(home, Fleet, {"b"}, now, 400s);
    BOOST_TEST(!home.grants(cut + 119s));
    BOOST_TEST((home.quorum(now) == KeyQuorum::Lost));
    now = peers.advance(home, {"a", "b"}, {"b"}, now, 1000s, KeyQuorum::Lost);
    BOOST_TEST(!home.grants(now));
    // New nodes on this side do not make it a majority.
    now = peers.advance(home, {"a", "b", "f", "g", "h", "i"}, {"b", "f", "g", "h", "i"}, now, 1000s,
                        KeyQuorum::Forming);
    BOOST_TEST(!home.grants(now));
}

// Guards against the larger side of a partition that never grants again.
BOOST_AUTO_TEST_CASE(majority_resumes_grants)
{
    SimulatedPeers peers;
    KeyHome home({}, Start, true, "a");
    TimePoint now = peers.advance(home, Fleet, {"b", "c", "d", "e"}, Start, 200s);
    now = peers.advance(home, Fleet, {"b", "c"}, now, 460s);
    now = peers.advance(home, {"a", "b", "c"}, {"b", "c"}, now, 200s);
    BOOST_TEST(home.grants(now));
    // After that the fleet consists of three nodes, of which two are the majority.
    now = peers.advance(home, {"a", "b", "c"}, {"b"}, now, 600s);
    BOOST_TEST(home.grants(now));
}

// Guards against a home that resumes after the others have expired it and granted its keys.
BOOST_AUTO_TEST_CASE(returned_home_waits)
{
    SimulatedPeers peers;
    KeyHome home({}, Start, true, "a");
    TimePoint now = peers.advance(home, Fleet, {"b", "c", "d", "e"}, Start, 200s);
    now += 600s; // paused
    BOOST_TEST(!home.grants(now));
    now = peers.advance(home, Fleet, {"b", "c", "d", "e"}, now, 445s);
    BOOST_TEST(!home.grants(now));
    now = peers.advance(home, Fleet, {"b", "c", "d", "e"}, now, 200s);
    BOOST_TEST(home.grants(now));
}

// Guards against stale nodes that form a majority of the old voters after a long partition, while
// the rest of the fleet continued without them and is unreachable now.
BOOST_AUTO_TEST_CASE(stale_home_needs_more_than_a_majority)
{
    const std::vector<std::string> seven {"a", "b", "c", "d", "e", "f", "g"};
    KeyHome home({}, Start, true, "a");
    SimulatedPeers peers;
    TimePoint now = peers.advance(home, seven, {"b", "c", "d", "e", "f", "g"}, Start, 200s);
    now = peers.advance(home, seven, {"b"}, now, 700s, KeyQuorum::Lost);
    // 4 of 7: the other 3 may be the majority of a fleet reduced to 4 or 5 voters.
    now = peers.advance(home, seven, {"b", "c", "d"}, now, 700s, KeyQuorum::Lost);
    BOOST_TEST((home.quorum(now) == KeyQuorum::Lost));
    BOOST_TEST(!home.grants(now));
    now = peers.advance(home, seven, {"b", "c", "d", "e"}, now, 10s, KeyQuorum::Lost);
    BOOST_TEST((home.quorum(now) == KeyQuorum::Held));
    BOOST_TEST(!home.grants(now));
    now = peers.advance(home, seven, {"b", "c", "d", "e"}, now, 450s, KeyQuorum::Lost);
    BOOST_TEST(home.grants(now - 1s));
}

// Guards against grants by a home that receives packets but whose own packets are all lost.
BOOST_AUTO_TEST_CASE(unheard_home_stops)
{
    SimulatedPeers peers;
    KeyHome home({}, Start, true, "a");
    TimePoint now = peers.advance(home, Fleet, {"b", "c", "d", "e"}, Start, 200s);
    const TimePoint muted = now;
    for (; now < muted + 130s; now += 1s) {
        FleetView view = peers.view(Fleet, {"b", "c", "d", "e"}, now);
        view.lastHeardByPeer = muted;
        home.updateView(view, now);
    }
    BOOST_TEST(!home.grants(now));
}

// Guards against a fleet that grants no keys after a power failure of all nodes, and against a part
// of a fleet that forms a quorum of its own.
BOOST_DATA_TEST_CASE(all_nodes_started, data::make({true, false}), mostEndpoints)
{
    SimulatedPeers peers;
    KeyHome home({}, Start, false, "a");
    TimePoint now = Start;
    for (; now < Start + 500s; now += 1s) {
        FleetView view = peers.view(Fleet, {"b", "c", "d", "e"}, now, KeyQuorum::Forming);
        view.reachesMostEndpoints = mostEndpoints;
        home.updateView(view, now);
    }
    BOOST_TEST(home.grants(now) == mostEndpoints);
}

// Guards against two homes of one key in different views: a home checks its own view.
BOOST_AUTO_TEST_CASE(only_the_home_grants)
{
    SimulatedPeers peers;
    KeyHome home({}, Start, true, "a");
    peers.advance(home, Fleet, {"b", "c", "d", "e"}, Start, 2s);
    int granted = 0;
    for (std::uint64_t i = 0; i < 500; ++i) {
        const std::string key = "key-" + std::to_string(i);
        const bool isHome = keyHomeOf(key, Fleet) == "a";
        BOOST_TEST((verdictOf(home, i, Start + 2s, key) == ClaimVerdict::Granted) == isHome);
        granted += isHome ? 1 : 0;
    }
    BOOST_TEST((granted > 60 && granted < 140));
}

// Guards against unbounded memory and against records that are removed before the retention ends.
BOOST_AUTO_TEST_CASE(records_are_bounded_and_expire)
{
    KeyHome::Limits limits;
    limits.maxRecords = 10;
    KeyHome home(limits, Start, true);
    for (std::uint64_t i = 0; i < 10; ++i)
        BOOST_TEST((verdictOf(home, i, Start, std::to_string(i)) == ClaimVerdict::Granted));
    BOOST_TEST((verdictOf(home, 10, Start, "10") == ClaimVerdict::Unknown));
    BOOST_TEST((verdictOf(home, 11, Start, "3") == ClaimVerdict::Seen));
    home.release("3", idOf(3));
    BOOST_TEST((verdictOf(home, 12, Start + 100s, "3") == ClaimVerdict::Granted));
    for (TimePoint now = Start; now < Start + 299s; now += 1s) {
        home.updateView(SimulatedPeers().view({"a"}, {}, now), now);
        home.expire(now);
    }
    BOOST_TEST(home.size() == 10U);
    home.expire(Start + 302s);
    BOOST_TEST(home.size() == 1U);
    BOOST_TEST((verdictOf(home, 13, Start + 302s, "3") == ClaimVerdict::Seen));
    home.expire(Start + 402s);
    BOOST_TEST(home.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
