// Counts of hedged requests in the Prometheus text format.
#include "hedge_counters.h"

#include "berylspur/core/metrics.h"

namespace berylspur {

std::string HedgeCounters::prometheus() const
{
    const auto sample = [](const char *name, std::uint64_t value) {
        return prometheusSample(name, "", static_cast<double>(value));
    };
    std::string text = sample("berylspur_gate_hedges_sent_total", sent);
    text += sample("berylspur_gate_hedges_won_total", won);
    text += sample("berylspur_gate_hedges_cancelled_total", cancelled);
    for (std::size_t i = 0; i < verdicts.size(); ++i) {
        const auto verdict = static_cast<HedgeVerdict>(i);
        if (verdict == HedgeVerdict::Send || verdicts[i] == 0)
            continue;
        text += prometheusSample("berylspur_gate_hedges_withheld_total",
                                 "reason=\"" + std::string(hedgeVerdictName(verdict)) + "\"",
                                 static_cast<double>(verdicts[i]));
    }
    return text;
}

} // namespace berylspur
