// Overload: demand rises to 3 times the capacity within 2 s and falls back. Compares goodput,
// latency, wasted work, fairness between customers and retries with an unlimited queue and with two
// random choices. Also evaluates available power as the rule for endpoints of mixed speed.
#include "bench_report.h"
#include "service_model.h"

#include <CLI/CLI.hpp>

using namespace berylspur;
using namespace berylspur::bench;

namespace {

// Phases of a run, in seconds: base load, rise, peak, fall, base load.
constexpr double RiseBegins = 5;
constexpr double PeakBegins = 7;
constexpr double PeakEnds = 12;
constexpr double FallEnds = 14;
constexpr double RunEnds = 22;
constexpr double BaseLoad = 0.5; // share of capacity
constexpr double PeakLoad = 3;
constexpr double BelowCapacityFrom = PeakEnds + (PeakLoad - 1) / (PeakLoad - BaseLoad) * 2;
constexpr Duration Deadline = 1s;
constexpr std::uint32_t Customers = 10;
constexpr double HeavyWeight = 10; // demand of customer 0; the others have 1

double loadAt(double second)
{
    const double rise = std::clamp((second - RiseBegins) / (PeakBegins - RiseBegins), 0.0, 1.0);
    const double fall = std::clamp((second - PeakEnds) / (FallEnds - PeakEnds), 0.0, 1.0);
    return BaseLoad + (PeakLoad - BaseLoad) * (rise - fall);
}

/// Measurements of one or more runs.
struct Outcome
{
    double goodputAtPeak = 0; ///< slot seconds of responses within their deadlines, during the peak
    double goodputAfterPeak = 0; ///< slot seconds served of arrivals once demand is below capacity
    double offeredAfterPeak = 0;
    double wastedSlotTime = 0; ///< slot seconds of requests that missed their deadlines
    double usedSlotTime = 0;
    std::vector<double> servedMs; ///< latency of served requests that arrived at the peak
    /// Time from demand below capacity to the arrival of the last request that was not served in
    /// time.
    double recoverySeconds = 0;
    double perCustomer[Customers] = {}; ///< slot seconds served of arrivals at the peak
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
};

double sumOfSpeeds(const ModelOptions &options)
{
    double sum = 0;
    for (std::uint32_t i = 0; i < options.endpoints; ++i)
        sum += options.speeds.empty() ? 1 : options.speeds[i];
    return sum;
}

ModelOptions peakOptions(std::uint32_t endpoints)
{
    ModelOptions options;
    options.endpoints = endpoints;
    options.pick = PickRule::OwnerLoad;
    options.oneWayDelay = 1500us;
    options.deadline = Deadline;
    options.concurrencySlowdown = 0; // keeps the capacity of a slot independent of the load
    options.customers = std::vector<double>(Customers, 1);
    options.customers[0] = HeavyWeight;
    return options;
}

void setDemand(ModelOptions &options)
{
    const double capacity = sumOfSpeeds(options) * options.slots / options.meanServiceTime();
    options.maxDemand = PeakLoad * capacity;
    options.demand = [capacity](double second) { return capacity * loadAt(second); };
}

Outcome runSeed(const ModelOptions &options, std::uint64_t seed)
{
    Outcome outcome;
    ServiceModel model(options, seed);
    model.onRequestEnd = [&](const ModelRequest &request, RequestResult end, TimePoint now,
                             Duration slotTime) {
        const double arrived = toSeconds(request.arrived.time_since_epoch());
        const double ended = toSeconds(now.time_since_epoch());
        const bool isServed = end == RequestResult::Served;
        const double work = request.nominalService;
        outcome.usedSlotTime += toSeconds(slotTime);
        outcome.wastedSlotTime += isServed ? 0 : toSeconds(slotTime);
        if (isServed && ended >= PeakBegins && ended < PeakEnds)
            outcome.goodputAtPeak += work;
        if (arrived >= PeakBegins && arrived < PeakEnds && isServed) {
            outcome.servedMs.push_back(1e3 * (ended - arrived + toSeconds(options.oneWayDelay)));
            outcome.perCustomer[request.customer] += work;
        }
        if (arrived >= BelowCapacityFrom) {
            outcome.offeredAfterPeak += work;
            outcome.goodputAfterPeak += isServed ? work : 0;
        }
        if (!isServed && arrived >= BelowCapacityFrom)
            outcome.recoverySeconds =
                    std::max(outcome.recoverySeconds, arrived - BelowCapacityFrom);
    };
    model.run(fromSeconds(RunEnds));
    outcome.requests = model.requests();
    outcome.retries = model.retries();
    return outcome;
}

/// Results of one variant over all seeds.
struct Figures
{
    double peakShare; ///< goodput at the peak as a share of slot capacity
    double afterPeakShare; ///< share of the offered work once demand is below capacity
    double wastedShare; ///< share of the used slot time
    double p99Ms;
    double recoverySeconds; ///< worst seed
    double lightShare; ///< worst light customer, relative to its fair share
    double heavyShare;
    double retriesPer100;
    double retryExcess; ///< retries beyond the budget, summed over gates and seeds
};

Figures measure(const ModelOptions &options, std::uint32_t seeds)
{
    Outcome sum;
    Figures figures {};
    for (const Outcome &outcome :
         runSeeds(seeds, [&](std::uint64_t seed) { return runSeed(options, seed); })) {
        sum.goodputAtPeak += outcome.goodputAtPeak;
        sum.goodputAfterPeak += outcome.goodputAfterPeak;
        sum.offeredAfterPeak += outcome.offeredAfterPeak;
        sum.wastedSlotTime += outcome.wastedSlotTime;
        sum.usedSlotTime += outcome.usedSlotTime;
        sum.servedMs.insert(sum.servedMs.end(), outcome.servedMs.begin(), outcome.servedMs.end());
        for (std::uint32_t i = 0; i < Customers; ++i)
            sum.perCustomer[i] += outcome.perCustomer[i];
        sum.requests += outcome.requests;
        sum.retries += outcome.retries;
        figures.recoverySeconds = std::max(figures.recoverySeconds, outcome.recoverySeconds);
        const double budget = static_cast<double>(outcome.requests) * options.retryPercent / 100
                              + RetryBudget::Burst * options.gates;
        figures.retryExcess += std::max(0.0, static_cast<double>(outcome.retries) - budget);
    }
    const double peakSlots = sumOfSpeeds(options) * options.slots * (PeakEnds - PeakBegins) * seeds;
    figures.peakShare = sum.goodputAtPeak / peakSlots;
    figures.afterPeakShare = sum.goodputAfterPeak / sum.offeredAfterPeak;
    figures.wastedShare = sum.wastedSlotTime / sum.usedSlotTime;
    figures.p99Ms = quantile(sum.servedMs, 0.99);
    // Every customer demands more than a tenth of the capacity, so a tenth is its fair share.
    const double fair = peakSlots / Customers;
    figures.lightShare = *std::min_element(sum.perCustomer + 1, sum.perCustomer + Customers) / fair;
    figures.heavyShare = sum.perCustomer[0] / fair;
    figures.retriesPer100 =
            100 * static_cast<double>(sum.retries) / static_cast<double>(sum.requests);
    return figures;
}

void compare(Report &report, const std::string &name, const Figures &baseline,
             const Figures &product, std::uint32_t seeds)
{
    report.add({name + "goodput at the peak, share of slots", "ratio", baseline.peakShare,
                product.peakShare, Bound::AtLeast, 0.95, seeds});
    report.add({name + "goodput after the peak, share of offered", "ratio", baseline.afterPeakShare,
                product.afterPeakShare, Bound::AtLeast, 0.95, seeds});
    report.add({name + "p99 of what is served at the peak", "ms", baseline.p99Ms, product.p99Ms,
                Bound::Report, 0, seeds});
    report.add({name + "wasted work, share of slot time used", "ratio", baseline.wastedShare,
                product.wastedShare, Bound::Report, 0, seeds});
    report.add({name + "time to normal, worst", "s", baseline.recoverySeconds,
                product.recoverySeconds, Bound::Report, 0, seeds});
    report.add({name + "light customer relative to fair share, least", "ratio", baseline.lightShare,
                product.lightShare, Bound::Report, 0, seeds});
    report.add({name + "heavy customer relative to fair share", "ratio", baseline.heavyShare,
                product.heavyShare, Bound::Report, 0, seeds});
    report.add({name + "retries per 100 requests", "count", baseline.retriesPer100,
                product.retriesPer100, Bound::Report, 0, seeds});
    report.add({name + "retries beyond the budget", "count", baseline.retryExcess,
                product.retryExcess, Bound::AtMost, 0, seeds});
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app {"Overload benchmark on injected time"};
    bool check = false;
    std::string json;
    std::uint32_t seeds = 20;
    app.add_flag("--check", check, "Fail when a bound is not met");
    app.add_option("--json", json, "Write the rows to this file");
    app.add_option("--seeds", seeds, "Runs per row")->check(CLI::Range(1, 100000));
    CLI11_PARSE(app, argc, argv);

    Report report;
    for (const std::uint32_t endpoints : {8U, 11U}) {
        ModelOptions options = peakOptions(endpoints);
        setDemand(options);
        const Figures product = measure(options, seeds);
        ModelOptions unlimited = options;
        unlimited.policy.unlimitedQueue = true;
        unlimited.policy.firstComeFirstServed = true;
        ModelOptions twoRandom = options;
        twoRandom.pick = PickRule::TwoRandom;
        const std::string name = std::to_string(endpoints) + " endpoints (beside ";
        compare(report, name + "unlimited queue): ", measure(unlimited, seeds), product, seeds);
        compare(report, name + "two random choices): ", measure(twoRandom, seeds), product, seeds);
    }

    // Half of the endpoints run at half speed. The "figure" column shows the candidate rule.
    ModelOptions mixed = peakOptions(8);
    mixed.speeds = {1, 1, 1, 1, 0.5, 0.5, 0.5, 0.5};
    setDemand(mixed);
    const Figures product = measure(mixed, seeds);
    ModelOptions candidate = mixed;
    candidate.pick = PickRule::AvailablePower;
    const Figures power = measure(candidate, seeds);
    const std::string name = "mixed speeds, available power (beside expected wait): ";
    report.add({name + "goodput at the peak", "ratio", product.peakShare, power.peakShare,
                Bound::Report, 0, seeds});
    report.add({name + "p99 of what is served at the peak", "ms", product.p99Ms, power.p99Ms,
                Bound::Report, 0, seeds});
    for (const double load : {0.5, 0.8}) {
        double p99[2];
        double p50[2];
        for (const PickRule pick : {PickRule::OwnerLoad, PickRule::AvailablePower}) {
            ModelOptions steady = mixed;
            steady.pick = pick;
            const double capacity = sumOfSpeeds(steady) * steady.slots / steady.meanServiceTime();
            steady.demand = [capacity, load](double) { return load * capacity; };
            steady.maxDemand = load * capacity;
            std::vector<double> latencies;
            for (const Outcome &outcome :
                 runSeeds(seeds, [&](std::uint64_t seed) { return runSeed(steady, seed); }))
                latencies.insert(latencies.end(), outcome.servedMs.begin(), outcome.servedMs.end());
            p99[pick == PickRule::AvailablePower] = quantile(latencies, 0.99);
            p50[pick == PickRule::AvailablePower] = quantile(latencies, 0.5);
        }
        const std::string part = name + "load " + std::to_string(int(100 * load)) + "%, ";
        report.add({part + "p50", "ms", p50[0], p50[1], Bound::Report, 0, seeds});
        report.add({part + "p99", "ms", p99[0], p99[1], Bound::Report, 0, seeds});
    }
    return report.finish(json, check);
}
