// Head-of-line blocking: latency of short requests with and without long requests in the same
// service, and throughput of long requests, compared with first come, first served.
#include "bench_report.h"
#include "service_model.h"

#include <CLI/CLI.hpp>

using namespace berylspur;
using namespace berylspur::bench;

namespace {

constexpr Duration Length = 60s;
constexpr Duration WarmUp = 5s;
constexpr double ShortSlotShare = 0.3; // share of all slot time

struct Outcome
{
    std::vector<double> shortMs; ///< a request that was not served counts as its deadline
    double longServed = 0; ///< slot seconds
    double longOffered = 0;
    double shortServed = 0;
    std::uint64_t shortFailed = 0;
};

ModelOptions optionsFor(double longSlotShare, double shortSlotShare, bool firstComeFirstServed)
{
    ModelOptions options;
    options.pick = PickRule::OwnerLoad;
    options.detectionEnabled = false;
    options.oneWayDelay = 1500us;
    options.policy.firstComeFirstServed = firstComeFirstServed;
    // Excludes the slowdown of busy endpoints, so that only queueing delay is measured.
    options.concurrencySlowdown = 0;
    const double slots = options.endpoints * options.slots;
    const double shortRate = shortSlotShare * slots / options.meanServiceTime();
    const double longRate = longSlotShare * slots / options.meanLongService();
    options.longRequestShare = longRate / (shortRate + longRate);
    options.maxDemand = shortRate + longRate;
    options.demand = [rate = options.maxDemand](double) { return rate; };
    return options;
}

Outcome run(const ModelOptions &options, std::uint32_t seeds)
{
    const auto runs = runSeeds(seeds, [&](std::uint64_t seed) {
        Outcome outcome;
        ServiceModel model(options, seed);
        model.onRequestEnd = [&](const ModelRequest &request, RequestResult end, TimePoint now,
                                 Duration) {
            if (request.arrived < TimePoint {} + WarmUp)
                return;
            const bool isServed = end == RequestResult::Served;
            if (request.requestClass == RequestClass::Long) {
                outcome.longOffered += request.nominalService;
                outcome.longServed += isServed ? request.nominalService : 0;
                return;
            }
            outcome.shortServed += isServed ? request.nominalService : 0;
            outcome.shortFailed += isServed ? 0 : 1;
            const Duration latency =
                    isServed ? now + options.oneWayDelay - request.arrived : options.deadline;
            outcome.shortMs.push_back(1e3 * toSeconds(latency));
        };
        model.run(Length);
        return outcome;
    });
    Outcome sum;
    for (const Outcome &outcome : runs) {
        sum.shortMs.insert(sum.shortMs.end(), outcome.shortMs.begin(), outcome.shortMs.end());
        sum.longServed += outcome.longServed;
        sum.longOffered += outcome.longOffered;
        sum.shortServed += outcome.shortServed;
        sum.shortFailed += outcome.shortFailed;
    }
    return sum;
}

double failedPercent(const Outcome &outcome)
{
    return 100 * static_cast<double>(outcome.shortFailed)
           / static_cast<double>(std::max<std::size_t>(1, outcome.shortMs.size()));
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app {"Head-of-line blocking on injected time"};
    bool check = false;
    std::string json;
    std::uint32_t seeds = 10;
    app.add_flag("--check", check, "Fail when a bound is not met");
    app.add_option("--json", json, "Write the rows to this file");
    app.add_option("--seeds", seeds, "Runs per row")->check(CLI::Range(1, 100000));
    CLI11_PARSE(app, argc, argv);

    Report report;
    Outcome alone[2];
    for (const double longShare : {0.0, 0.1, 0.5}) {
        Outcome outcomes[2]; // scheduler, first come
        for (const int firstComeFirstServed : {0, 1}) {
            outcomes[firstComeFirstServed] =
                    run(optionsFor(longShare, ShortSlotShare, firstComeFirstServed != 0), seeds);
            if (longShare == 0)
                alone[firstComeFirstServed] = outcomes[firstComeFirstServed];
        }
        const auto &[product, baseline] = outcomes;
        const std::string name =
                "long requests " + std::to_string(static_cast<int>(100 * longShare)) + "%: ";
        for (const auto &[share, label] :
             {std::pair {0.5, "p50"}, std::pair {0.99, "p99"}, std::pair {0.999, "p99.9"}}) {
            report.add({name + "short " + label, "ms", quantile(baseline.shortMs, share),
                        quantile(product.shortMs, share), Bound::Report, 0, seeds});
        }
        report.add({name + "short not served", "%", failedPercent(baseline), failedPercent(product),
                    Bound::Report, 0, seeds});
        if (longShare == 0)
            continue;
        report.add({name + "short p99 relative to none", "ratio",
                    quantile(baseline.shortMs, 0.99) / quantile(alone[1].shortMs, 0.99),
                    quantile(product.shortMs, 0.99) / quantile(alone[0].shortMs, 0.99),
                    Bound::AtMost, 1.2, seeds});
        report.add({name + "long throughput relative to offered", "ratio",
                    baseline.longServed / baseline.longOffered,
                    product.longServed / product.longOffered, Bound::AtLeast, 0.9, seeds});
    }

    // Each class demands all slots, so its fair share is half of them.
    Outcome overload[2];
    for (const int firstComeFirstServed : {0, 1})
        overload[firstComeFirstServed] = run(optionsFor(1, 1, firstComeFirstServed != 0), seeds);
    const double half = 0.5 * 8 * 4 * toSeconds(Length - WarmUp) * seeds;
    report.add({"both classes at 100%: long slot time relative to half", "ratio",
                overload[1].longServed / half, overload[0].longServed / half, Bound::AtLeast, 0.9,
                seeds});
    report.add({"both classes at 100%: short slot time relative to half", "ratio",
                overload[1].shortServed / half, overload[0].shortServed / half, Bound::Report, 0,
                seeds});
    return report.finish(json, check);
}
