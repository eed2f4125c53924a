// When a gate hedges a request, and within which bounds.
#define BOOST_TEST_MODULE hedging
#include "../benchmark/hedging_model.h"
#include "property_check.h"
#include "routing_views.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <numeric>
#include <ostream>
#include <random>

using namespace berylspur;
using namespace std::chrono_literals;
using berylspur::test::checkProperty;
namespace data = boost::unit_test::data;

namespace {

const TimePoint Start {1000s};
const HedgeRoute Route {RequestClass::Short, "r"};

/// Hedging at 100 percent with a tail of about 200 ms and a service with \a freeSlots of 100 free.
ServiceHedging knownService(std::uint32_t freeSlots)
{
    ServiceHedging hedging;
    hedging.setPercent(100);
    for (int i = 0; i < 100; ++i)
        hedging.recordLatency(Route, i < 93 ? 50ms : 200ms, Start);
    hedging.recordLoad(100, freeSlots, Start);
    hedging.recordRequest();
    return hedging;
}

} // namespace

// Guards against a delay far from the quantile of the route, whatever the distribution.
BOOST_DATA_TEST_CASE(quantile_is_that_of_the_samples, data::make({0.5, 0.9, 0.95, 0.99}), share)
{
    std::mt19937_64 random(3);
    std::lognormal_distribution<double> time(std::log(80.0), 0.7); // ms
    LatencyQuantile latency;
    std::vector<double> samples(20'000);
    for (double &ms : samples) {
        ms = time(random);
        latency.record(Duration(static_cast<Duration::rep>(1e3 * ms)), Start);
    }
    std::sort(samples.begin(), samples.end());
    const double exact = samples[static_cast<std::size_t>(share * 20'000)];
    const auto estimate = latency.quantile(share, Start);
    BOOST_REQUIRE(estimate.has_value());
    BOOST_TEST(static_cast<double>(estimate->count()) / 1e3 == exact,
               boost::test_tools::tolerance(0.06));
}

// Guards against a delay from a time when the service was slow, and against one from few samples.
BOOST_AUTO_TEST_CASE(old_latencies_lose_their_weight)
{
    LatencyQuantile latency;
    for (int i = 0; i < 1000; ++i)
        latency.record(2s, Start);
    const auto later = Start + 10 * LatencyQuantile::HalfLife;
    BOOST_TEST(!latency.quantile(0.95, later).has_value());
    for (int i = 0; i < 100; ++i)
        latency.record(20ms, later);
    BOOST_TEST((*latency.quantile(0.95, later) < 25ms));
    BOOST_TEST(!latency.quantile(0.95, later + 24h).has_value());
}

// Guards against an exception or a value outside the histogram.
BOOST_DATA_TEST_CASE(extreme_latencies_are_bounded, data::make({0, 1, 100'000'000, 2'000'000'000}),
                     us)
{
    LatencyQuantile latency;
    for (int i = 0; i < 100; ++i)
        latency.record(Duration(us), Start);
    BOOST_TEST((*latency.quantile(0.95, Start) >= 1ms));
    BOOST_TEST((*latency.quantile(0.95, Start) <= 100s));
}

// Guards against hedges beyond their share, and against hedges and retries that together exceed the
// retry budget, in any period and across restarts of the gate.
BOOST_AUTO_TEST_CASE(hedges_are_within_both_budgets)
{
    checkProperty(1000, [] {
        const auto hedgePercent = *rc::gen::inRange<std::uint32_t>(0, 101);
        const auto retryPercent = *rc::gen::inRange<std::uint32_t>(0, 101);
        HedgeBudget hedges;
        hedges.setPercent(hedgePercent);
        RetryBudget retries(retryPercent);
        // Largest values of 100 x count - percent x requests over all periods that end now.
        std::int64_t worstHedges = 0;
        std::int64_t worstRepeats = 0;
        for (const int step : *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 8))) {
            if (step <= 3) {
                hedges.recordRequest();
                retries.recordRequest();
                worstHedges = std::max<std::int64_t>(worstHedges - hedgePercent, 0);
                worstRepeats = std::max<std::int64_t>(worstRepeats - retryPercent, 0);
            } else if (step == 4 && retries.tryRetry()) {
                worstRepeats += 100;
            } else if (step <= 6 && hedges.canHedge() && retries.tryRetry()) {
                RC_ASSERT(hedges.tryHedge());
                worstHedges += 100;
                worstRepeats += 100;
            } else if (step == 7 && *rc::gen::inRange(0, 20) == 0) {
                hedges = HedgeBudget();
                hedges.setPercent(hedgePercent);
            }
            RC_ASSERT(worstHedges <= 100 * HedgeBudget::Burst);
            RC_ASSERT(worstRepeats <= 100 * RetryBudget::Burst);
        }
    });
}

namespace {

struct VerdictCase
{
    const char *name;
    HedgeSituation situation;
    std::uint32_t freeSlots; ///< of 100
    HedgeVerdict verdict;
};

std::ostream &operator<<(std::ostream &out, const VerdictCase &row)
{
    return out << row.name;
}

const std::vector<VerdictCase> VerdictCases {
        {"all allows it", {true, true, true, true, 1s}, 25, HedgeVerdict::Send},
        {"not idempotent", {false, true, true, true, 1s}, 25, HedgeVerdict::NotIdempotent},
        {"last attempt", {true, false, true, true, 1s}, 25, HedgeVerdict::NoAttemptLeft},
        {"no time", {true, true, true, true, 100ms}, 25, HedgeVerdict::NoTime},
        {"short of room", {true, true, true, true, 1s}, 24, HedgeVerdict::NoRoom},
        {"no second endpoint", {true, true, true, false, 1s}, 25, HedgeVerdict::NoEndpoint},
        {"no retry left", {true, true, false, true, 1s}, 25, HedgeVerdict::RetryBudget},
};

} // namespace

// Guards against hedges that add load where there is no room, or that break a limit of the request.
BOOST_DATA_TEST_CASE(verdict_names_what_forbids_a_hedge, data::make(VerdictCases), row)
{
    const auto hedging = knownService(row.freeSlots);
    const auto verdict = hedging.verdict(Route, row.situation, Start);
    BOOST_TEST(hedgeVerdictName(verdict) == hedgeVerdictName(row.verdict));
}

// Guards against hedges from old reports, and against a second hedge on the budget of one.
BOOST_AUTO_TEST_CASE(hedges_need_recent_reports_and_budget)
{
    auto hedging = knownService(100);
    const HedgeSituation situation {true, true, true, true, 1s};
    const auto later = Start + ServiceRoom::HalfLife + 1ms;
    BOOST_TEST((hedging.verdict(Route, situation, later) == HedgeVerdict::NoRoom));
    hedging.recordHedge();
    BOOST_TEST((hedging.verdict(Route, situation, Start) == HedgeVerdict::HedgeBudget));
    hedging.setPercent(0);
    BOOST_TEST(!hedging.delay(Route, 10s, Start).has_value());
}

// Guards against a delay that leaves no time for the second run, and against hedges within the
// variation of the network.
BOOST_AUTO_TEST_CASE(delay_is_the_tail_of_the_route)
{
    auto hedging = knownService(100);
    const auto delay = hedging.delay(Route, 1s, Start);
    BOOST_REQUIRE(delay.has_value());
    BOOST_TEST(toMs(*delay) >= 165);
    BOOST_TEST(toMs(*delay) <= 235);
    BOOST_TEST(!hedging.delay(Route, 300ms, Start).has_value());
    BOOST_TEST(!hedging.delay({RequestClass::Short, "other"}, 1s, Start).has_value());
    for (int i = 0; i < 10'000; ++i)
        hedging.recordLatency({RequestClass::Short, "fast"}, 2ms, Start);
    BOOST_TEST((hedging.delay({RequestClass::Short, "fast"}, 1s, Start) == 10ms));
}

// Guards against a table of latencies that grows with the routes of a manifest.
BOOST_AUTO_TEST_CASE(routes_are_bounded)
{
    auto hedging = knownService(100);
    for (std::size_t i = 0; i < ServiceHedging::MaxRoutes; ++i)
        hedging.recordLatency({RequestClass::Short, std::to_string(i)}, 2ms, Start);
    BOOST_TEST(!hedging.delay(Route, 1s, Start).has_value());
}

namespace {

struct SecondCase
{
    const char *name;
    void (*change)(std::vector<EndpointView> &view, EndpointPicker &picker, PathHealth &paths);
    std::optional<std::size_t> picked;
};

std::ostream &operator<<(std::ostream &out, const SecondCase &row)
{
    return out << row.name;
}

using View = std::vector<EndpointView>;

// Endpoint 0 is tried, 1 has 4 of 5 slots free, 2 has 3; of endpoint 3 nothing is known.
const std::vector<SecondCase> SecondCases {
        {"least loaded", [](View &, EndpointPicker &, PathHealth &) {}, 1},
        {"in trial", [](View &view, EndpointPicker &, PathHealth &) { view[1].onTrial = true; }, 2},
        {"recovering", [](View &view, EndpointPicker &, PathHealth &) { view[1].rampPercent = 50; },
         2},
        {"failed",
         [](View &, EndpointPicker &picker, PathHealth &) { picker.onRequestFailed("e1", Start); },
         2},
        {"path failed",
         [](View &, EndpointPicker &, PathHealth &paths) { paths.recordFailure("n1", Start); }, 2},
        {"busy since the report",
         [](View &, EndpointPicker &picker, PathHealth &) {
             picker.onRequestSent("e1");
             picker.onRequestSent("e1");
         },
         2},
        {"none has room",
         [](View &, EndpointPicker &picker, PathHealth &) {
             picker.onLoadReported("e1", {5, 1, 0, {}}, Start);
             picker.onLoadReported("e2", {5, 0, 4, {}}, Start);
         },
         std::nullopt},
};

} // namespace

// Guards against a hedge at the endpoint that is slow, at one whose health is being measured, and
// at one that has no room or of which nothing is known.
BOOST_DATA_TEST_CASE(second_endpoint_is_the_least_loaded, data::make(SecondCases), row)
{
    auto view = test::makeView({"d", "d", "d", "d"});
    for (auto &endpoint : view)
        endpoint.node = "n" + endpoint.id.substr(1);
    EndpointPicker picker("d");
    PathHealth paths;
    Random random(1);
    picker.onLoadReported("e0", {5, 5, 0, {}}, Start);
    picker.onLoadReported("e1", {5, 4, 0, {}}, Start);
    picker.onLoadReported("e2", {5, 3, 0, {}}, Start);
    row.change(view, picker, paths);
    const auto state = rotation(view, {});
    BOOST_TEST((placeHedge({"e0"}, view, state, picker, paths, Start, random) == row.picked));
    const auto later = Start + EndpointPicker::ReportLifetime;
    BOOST_TEST(!placeHedge({"e0"}, view, state, picker, paths, later, random).has_value());
}

// Guards against hedges that feed an overload: while the load rises from 0.4 to 1.2 of the
// capacity, with one slow endpoint, they end by themselves between 0.7 and 0.9.
BOOST_DATA_TEST_CASE(hedging_turns_itself_off_as_the_load_rises, data::xrange(3), seed)
{
    bench::HedgingOptions options;
    options.slow = bench::SlowKind::FiveTimes;
    options.hedgePercent = 5;
    options.maxLoad = 1.2;
    options.load = [](double second) { return std::min(0.3 + second / 100, 1.2); };
    const auto outcome =
            bench::HedgingModel(options, static_cast<std::uint64_t>(seed)).run(10s, 90s);
    const auto percent = [&outcome](std::size_t bin) {
        return 100 * static_cast<double>(outcome.hedgesByLoad[bin])
               / static_cast<double>(outcome.requestsByLoad[bin]);
    };
    for (std::size_t bin = 4; bin < 12; ++bin)
        BOOST_TEST_MESSAGE("load from " << static_cast<double>(bin) / 10 << ": hedges "
                                        << percent(bin) << " of 100 requests");
    BOOST_TEST(percent(4) > 1.0);
    BOOST_TEST(percent(8) < 1.0);
    for (std::size_t bin = 9; bin < 12; ++bin)
        BOOST_TEST(percent(bin) < 0.02);
}
