// Replays of loads for which requests are ordered and admitted by rank. They check counts of served
// requests, on injected time and fixed seeds. Each load also runs with one rank for all requests,
// which is the behaviour without ranks; its counts are printed with --log_level=message.
#define BOOST_TEST_MODULE admission_replay
#include "admission_replay.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <numbers>
#include <sstream>

using namespace berylspur;
using namespace berylspur::test;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr std::uint64_t Seed = 7;

std::string describe(const std::vector<Count> &counts)
{
    std::ostringstream text;
    for (const Count &count : counts) {
        text << " " << count.served << "/" << count.offered << " on time " << count.onTime
             << " wasted " << count.wasted << " at gate " << count.refusedAtGate << ";";
    }
    return text.str();
}

/// Counts of the requests that arrive in \a from to \a to.
std::vector<Count> replay(const std::string &name, Load load, double from, double to)
{
    load.length = to + 10;
    Load unranked = load;
    unranked.usesRanks = false;
    const auto before = Replay(unranked, Seed).run(from, to);
    const auto counts = Replay(std::move(load), Seed).run(from, to);
    BOOST_TEST_MESSAGE(name << ", one rank:" << describe(before));
    BOOST_TEST_MESSAGE(name << ", by rank: " << describe(counts));
    return counts;
}

double shareOfAll(const std::vector<Count> &counts)
{
    Count sum;
    for (const Count &count : counts) {
        sum.offered += count.offered;
        sum.served += count.served;
    }
    return sum.share();
}

/// Checks the order of the kinds, which are sorted by rank, and the share of the last one.
void checkOrder(const std::vector<Count> &counts)
{
    for (std::size_t i = 1; i < counts.size(); ++i) {
        BOOST_TEST(counts[i - 1].share() >= counts[i].share() - 0.05);
        BOOST_TEST(counts[i - 1].onTimeShare() >= counts[i].onTimeShare() - 0.15);
    }
    BOOST_TEST(counts.back().share() >= 0.5 * shareOfAll(counts));
}

} // namespace

// Guards against urgent requests that are lost in a burst, and against a queue that outlasts it.
BOOST_AUTO_TEST_CASE(burst_on_all_kinds)
{
    Load load;
    load.services = {{"a", 8, 5}};
    // 0.7 of the slots in calm conditions, a third by each rank.
    for (const std::uint32_t rank : {0U, 1U, 2U})
        load.kinds.push_back({"a", rank, 93, 100ms, 2s, 1s});
    load.maxDemand = 2.5;
    load.demand = [](double second, std::uint32_t) { return second < 10 || second > 20 ? 1 : 2.5; };
    const auto burst = replay("burst", load, 10, 20);
    checkOrder(burst);
    BOOST_TEST(burst.front().share() >= 0.9);
    for (const auto &count : replay("after the burst", load, 21, 30))
        BOOST_TEST(count.share() >= 0.99);
}

// Guards against parents that occupy slots for nothing while the service that they call sheds.
BOOST_AUTO_TEST_CASE(called_service_sheds_half)
{
    Load load;
    load.services = {{"front", 8, 5}, {"back", 4, 5}};
    load.kinds = {{"front", 0, 60, 200ms, 2s, 1s},
                  {"front", 2, 100, 100ms, 2s, 1s, "c", "back", 1, 100ms, 1s}};
    load.isShed = [](const std::string &service, double second, Random &random) {
        // Requests are tried at four endpoints, so a call fails in half of the cases.
        const double refused = std::pow(0.5, 0.25);
        return service == "back" && second >= 10 && second < 15
               && std::bernoulli_distribution(refused)(random);
    };
    const auto shedding = replay("shedding", load, 10, 15);
    BOOST_TEST(shedding[0].share() >= 0.98);
    checkOrder(shedding);
    const auto after = replay("after the shedding", load, 20, 30);
    BOOST_TEST(after[1].share() >= 0.97);
}

// Guards against a service that fails because another one is full: the parents that wait for their
// calls would hold its slots.
BOOST_AUTO_TEST_CASE(service_with_room_beside_full_ones)
{
    Load load;
    load.services = {{"roomy", 8, 5}, {"full", 4, 5}};
    load.kinds = {{"full", 0, 300, 100ms, 2s, 1s},
                  {"roomy", 1, 200, 100ms, 2s, 1s},
                  {"roomy", 2, 80, 50ms, 2s, 1s, "c", "full", 1, 50ms, 1200ms}};
    const auto counts = replay("beside full", load, 5, 30);
    BOOST_TEST(counts[1].share() >= 0.97);
}

// Guards against a customer that takes the share of the others within a rank.
BOOST_AUTO_TEST_CASE(hot_customer)
{
    Load load;
    load.services = {{"a", 4, 5}};
    load.kinds = {{"a", 1, 30, 100ms, 2s, 1s, "light"},
                  {"a", 1, 30, 100ms, 2s, 1s, "other"},
                  {"a", 1, 400, 100ms, 2s, 1s, "hot"}};
    const auto counts = replay("hot customer", load, 5, 30);
    BOOST_TEST(counts[0].share() >= 0.95);
    BOOST_TEST(counts[1].share() >= 0.95);
}

// Guards against refusals while the endpoints of another failure domain have room.
BOOST_AUTO_TEST_CASE(demand_varies_between_failure_domains)
{
    Load load;
    load.services = {{"a", 32, 10}};
    load.domains = 4;
    load.gates = 8;
    for (const std::uint32_t rank : {0U, 1U, 2U})
        load.kinds.push_back({"a", rank, 800, 100ms, 2s, 1s});
    load.maxDemand = 1.55;
    load.demand = [](double second, std::uint32_t domain) {
        return 1 + 0.55 * std::sin(2 * std::numbers::pi * (second / 20 + domain / 4.0));
    };
    const auto counts = replay("domains", load, 5, 30);
    for (const auto &count : counts)
        BOOST_TEST(count.share() >= 0.97);
    checkOrder(counts);
}

// Guards against calls of the least urgent kind that keep out the most urgent requests, and against
// parents whose calls find no slot. The mix takes 0.5 of the slots at factor 1.
BOOST_DATA_TEST_CASE(urgent_requests_beside_calls, data::make({1.0, 1.3, 1.7, 2.0, 2.6, 3.4}))
{
    Load load;
    load.services = {{"shared", 14, 5}, {"parents", 37, 5}};
    load.kinds = {{"shared", 0, 64, 290ms, 2500ms, 1s},
                  {"parents", 2, 215, 100ms, 2500ms, 1s, "c", "shared", 0.7, 110ms, 1200ms}};
    load.maxDemand = sample;
    load.demand = [factor = sample](double, std::uint32_t) { return factor; };
    const auto counts = replay("mix at " + std::to_string(sample), load, 5, 30);
    checkOrder(counts);
    // Parents without a call are always served.
    BOOST_TEST(counts[0].share() >= std::min(0.97, 1.5 / sample));
}
