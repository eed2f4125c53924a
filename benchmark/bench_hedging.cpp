// Hedged requests beside slow endpoints of several kinds: latency of idempotent requests and extra
// load by the share of requests that may be hedged. The baseline is the second attempt beside a
// silent endpoint alone.
#include "bench_report.h"
#include "hedging_model.h"
#include "service_model.h"

#include <CLI/CLI.hpp>

using namespace berylspur;
using namespace berylspur::bench;

namespace {

constexpr Duration WarmUp = 30s;
constexpr Duration Length = 60s;
constexpr double Load = 0.5; // share of the capacity
constexpr double MedianMs = 200; // of a run
constexpr double Spread = 0.3; // log-normal

struct SlowCase
{
    const char *name;
    SlowKind kind;
    std::uint32_t endpoints; ///< of 20
};

constexpr SlowCase SlowCases[] {
        {"none slow", SlowKind::None, 0},
        {"1 takes 5 times as long", SlowKind::FiveTimes, 1},
        {"at 3, one in ten stalls", SlowKind::Stalls, 3},
        {"1 cold", SlowKind::Cold, 1},
};

HedgingOutcome run(const HedgingOptions &options, std::uint32_t seeds)
{
    HedgingOutcome sum;
    for (const auto &outcome : runSeeds(seeds, [&](std::uint64_t seed) {
             return HedgingModel(options, seed).run(WarmUp, Length);
         })) {
        sum.idempotentMs.insert(sum.idempotentMs.end(), outcome.idempotentMs.begin(),
                                outcome.idempotentMs.end());
        sum.requests += outcome.requests;
        sum.hedges += outcome.hedges;
        sum.hedgesWon += outcome.hedgesWon;
        sum.slotSeconds += outcome.slotSeconds;
    }
    return sum;
}

double percentOf(double part, double whole)
{
    return 100 * part / whole;
}

void addRows(Report &report, const std::string &name, const HedgingOutcome &baseline,
             const HedgingOutcome &outcome, std::uint32_t seeds)
{
    for (const auto &[share, label] :
         {std::pair {0.5, "p50"}, std::pair {0.99, "p99"}, std::pair {0.999, "p99.9"}})
        report.add({name + label, "ms", quantile(baseline.idempotentMs, share),
                    quantile(outcome.idempotentMs, share), Bound::Report, 0, seeds});
    report.add({name + "extra load", "%", 0,
                percentOf(outcome.slotSeconds - baseline.slotSeconds, baseline.slotSeconds),
                Bound::Report, 0, seeds});
    report.add(
            {name + "hedges", "%", 0,
             percentOf(static_cast<double>(outcome.hedges), static_cast<double>(outcome.requests)),
             Bound::Report, 0, seeds});
}

void addCase(Report &report, const std::string &name, HedgingOptions options, std::uint32_t seeds)
{
    constexpr double GoalRatio = 0.667; // p99 down by a third
    constexpr std::uint32_t GoalPercent = 2;
    const auto baseline = run(options, seeds);
    for (const std::uint32_t percent : {0U, 1U, 2U, 5U}) {
        options.hedgePercent = percent;
        const auto outcome = percent == 0 ? baseline : run(options, seeds);
        addRows(report, name + std::to_string(percent) + "%: ", baseline, outcome, seeds);
        if (percent == GoalPercent && options.slow != SlowKind::None)
            report.add(
                    {name + "2%: p99 relative to 0%", "ratio", 1,
                     quantile(outcome.idempotentMs, 0.99) / quantile(baseline.idempotentMs, 0.99),
                     Bound::AtMost, GoalRatio, seeds});
    }
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app {"Hedged requests on injected time"};
    bool check = false;
    std::string json;
    std::uint32_t seeds = 10;
    app.add_flag("--check", check, "Fail when a bound is not met");
    app.add_option("--json", json, "Write the rows to this file");
    app.add_option("--seeds", seeds, "Runs per row")->check(CLI::Range(1, 100000));
    CLI11_PARSE(app, argc, argv);

    Report report;
    for (const bool isWorkOfRequest : {false, true}) {
        for (const auto &slow : SlowCases) {
            HedgingOptions options;
            options.slow = slow.kind;
            options.slowEndpoints = slow.endpoints;
            options.medianMs = MedianMs;
            options.spread = Spread;
            options.maxLoad = Load;
            options.isWorkOfRequest = isWorkOfRequest;
            const std::string name =
                    std::string(slow.name) + (isWorkOfRequest ? ", same work, " : ", ");
            addCase(report, name, options, seeds);
        }
    }
    return report.finish(json, check);
}
