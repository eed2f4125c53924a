// Limits of customers over the whole fleet on injected time: QuotaClient and QuotaHome, beside the
// per-service RateLimiterClient and RateLimiterHome. Refused share of a customer at its rate, and
// overshoot in a partition.
#include "bench_report.h"
#include "quota_fleet.h"

#include <CLI/CLI.hpp>

namespace {

using namespace berylspur;
using namespace std::chrono_literals;
using bench::Bound;
using test::QuotaFleet;
using test::QuotaSetup;

constexpr std::size_t Nodes = 104;
constexpr Duration Window = 5s;

struct Outcome
{
    double refusedPercent = 0;
    double idealRefusedPercent = 0; ///< by one bucket of the whole limit
    double worst = 0; ///< largest number of requests in a window, relative to the allowed number
};

QuotaSetup setupFor(std::uint32_t rate, double load)
{
    QuotaSetup setup;
    setup.nodes = Nodes;
    setup.customers.push_back({"customer", {rate, rate}, load * rate, 0.5});
    return setup;
}

Outcome outcomeOf(const QuotaFleet &fleet)
{
    const auto &totals = fleet.totals(0);
    const auto all = static_cast<double>(totals.admitted + totals.refused);
    return {100 * static_cast<double>(totals.refused) / all,
            100 * static_cast<double>(totals.idealRefused) / all, totals.worst};
}

Outcome runQuota(std::uint32_t rate, double load, std::size_t sides, Duration time,
                 std::uint64_t seed)
{
    QuotaFleet fleet(setupFor(rate, load), seed);
    fleet.run(10s);
    if (sides > 1)
        fleet.split(sides);
    fleet.startRequests();
    fleet.run(time);
    return outcomeOf(fleet);
}

/// The baseline with the same arrivals on average: one home per side, replies after 5 ms, requests
/// without a token wait for the reply.
class Baseline
{
public:
    Baseline(std::uint32_t rate, std::size_t sides, std::uint64_t seed)
        : m_limit {rate, rate}, m_gates(Nodes), m_homes(sides), m_random(seed)
    {
    }

    Outcome run(double load, Duration time)
    {
        std::exponential_distribution<double> gap(load * m_limit.rate);
        for (TimePoint now = m_start; now < m_start + time;
             now += Duration(static_cast<std::int64_t>(gap(m_random) * 1e6))) {
            const bool isSkewed = m_random() % 2 == 0;
            request(m_random() % (isSkewed ? 3 : Nodes), now);
        }
        const auto all = static_cast<double>(m_total + m_refused);
        return {100 * static_cast<double>(m_refused) / all, 0, m_worst};
    }

private:
    struct Gate
    {
        RateLimiterClient client;
        RateLimiterClient::Renewal renewal;
        TimePoint replyAt = TimePoint::max();
        std::size_t waiting = 0;
    };

    void request(std::size_t index, TimePoint now)
    {
        Gate &gate = m_gates[index];
        if (now >= gate.replyAt)
            reply(index);
        decide(index, now, false);
    }
    void decide(std::size_t index, TimePoint now, bool isRecheck)
    {
        Gate &gate = m_gates[index];
        const auto decision = gate.client.request("customer", m_limit, now, isRecheck);
        if (decision.verdict == RateLimiterClient::Verdict::Admit)
            admit(now);
        else if (decision.pending)
            ++gate.waiting;
        else
            ++m_refused;
        if (decision.renew) {
            gate.renewal = gate.client.beginRenewal("customer", m_limit);
            gate.replyAt = now + 5ms;
        }
    }
    void reply(std::size_t index)
    {
        Gate &gate = m_gates[index];
        const auto now = std::exchange(gate.replyAt, TimePoint::max());
        gate.client.onGranted("customer",
                              m_homes[index % m_homes.size()].grant("customer", m_limit,
                                                                    gate.renewal.used,
                                                                    gate.renewal.wanted, now),
                              now);
        for (auto left = std::exchange(gate.waiting, 0); left > 0; --left)
            decide(index, now, true);
    }
    void admit(TimePoint now)
    {
        ++m_total;
        m_admitted.push_back(now);
        while (m_admitted.front() <= now - Window)
            m_admitted.pop_front();
        const double allowed = (m_limit.rate * 5.0 + m_limit.burst) * 1.1 + 20;
        m_worst = std::max(m_worst, static_cast<double>(m_admitted.size()) / allowed);
    }

    const TimePoint m_start {1000s};
    RateLimit m_limit;
    std::vector<Gate> m_gates;
    std::vector<RateLimiterHome> m_homes;
    Random m_random;
    std::uint64_t m_total = 0;
    std::uint64_t m_refused = 0;
    std::deque<TimePoint> m_admitted;
    double m_worst = 0;
};

} // namespace

int main(int argc, char **argv)
{
    CLI::App app {"Customer quotas on injected time"};
    bool check = false;
    std::string json;
    std::uint32_t seeds = 3;
    app.add_flag("--check", check, "Fail when a bound is not met");
    app.add_option("--json", json, "Write the rows to this file");
    app.add_option("--seeds", seeds, "Runs per row")->check(CLI::Range(1, 100000));
    std::vector<std::string> knownFailures;
    app.add_option("--known-red", knownFailures, "Rows that may miss their bound");
    CLI11_PARSE(app, argc, argv);

    bench::Report report;
    for (const std::uint32_t rate : {5U, 20U, 118U}) {
        Outcome quota;
        double baseline = 0;
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            const auto outcome = runQuota(rate, 1, 1, 100s, seed);
            quota.refusedPercent += outcome.refusedPercent / seeds;
            quota.idealRefusedPercent += outcome.idealRefusedPercent / seeds;
            baseline += Baseline(rate, 1, seed).run(1, 100s).refusedPercent / seeds;
        }
        const auto name = "rate " + std::to_string(rate) + " at 1.0 times the rate: ";
        report.add(
                {name + "refused", "%", baseline, quota.refusedPercent, Bound::Report, 0, seeds});
        report.add({name + "refused beyond one bucket", "%", 0,
                    quota.refusedPercent - quota.idealRefusedPercent, Bound::AtMost, 1, seeds});
    }
    for (const std::size_t sides : {1U, 2U, 4U}) {
        Outcome quota;
        double baseline = 0;
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            quota.worst = std::max(quota.worst, runQuota(118, 7, sides, 20s, seed).worst);
            baseline = std::max(baseline, Baseline(118, sides, seed).run(7, 20s).worst);
        }
        report.add({std::to_string(sides)
                            + " sides, rate 118 at 7 times: most in 5 s relative to allowed",
                    "ratio", baseline, quota.worst, Bound::AtMost, 1, seeds});
    }
    return report.finish(json, check, knownFailures);
}
