// Limits the hedged requests of a service to a percentage of its requests.
#pragma once

#include "berylspur/routing/retry_budget.h"

#include <cstdint>

namespace berylspur {

/// The hedges of any period are at most percent x requests / 100 + burst. Counts in the same way
/// as RetryBudget, from which each hedge takes a retry as well. Starts empty: an earlier process of
/// the gate may have used the burst. At 0 percent there are no hedges.
class HedgeBudget
{
public:
    /// Hedges of the fleet that may accumulate. With 10, a gate loses a third of its budget between
    /// two slow requests (bench_hedging).
    static constexpr double Burst = 40;

    HedgeBudget() : m_budget(0)
    {
        m_budget.setBurst(Burst);
        m_budget.withholdBurst();
    }

    void setPercent(std::uint32_t percent)
    {
        m_isOn = percent > 0;
        m_budget.setPercent(percent);
    }
    /// Sets the number of hedges that may accumulate: Burst divided by the number of gates.
    void setBurst(double burst) { m_budget.setBurst(burst); }
    bool isOn() const { return m_isOn; }

    /// Adds the share of one request to the budget.
    void recordRequest() { m_budget.recordRequest(); }
    bool canHedge() const { return m_budget.canRetry(); }
    /// Takes one hedge from the budget; returns false if the budget is exhausted.
    bool tryHedge() { return m_budget.tryRetry(); }

private:
    RetryBudget m_budget;
    bool m_isOn = false;
};

} // namespace berylspur
