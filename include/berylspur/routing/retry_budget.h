// Limits the retries of a service to a percentage of its requests.
#pragma once

#include <algorithm>
#include <cstdint>

namespace berylspur {

/// Limits repeats: retries, and the nested calls of repeated runs. Whenever a retry is granted, the
/// repeats of any period that ends with it are at most percent x requests / 100 + burst, as long as
/// no more than MaxDebt such calls wait to be paid back. The calls are counted but not refused, so
/// those that follow may exceed it. Unused budget accumulates up to the burst only, so that hours
/// without retries do not allow a retry storm. At 0 percent there are no retries at all.
class RetryBudget
{
public:
    /// Default burst, for budgets that are not divided between gates.
    static constexpr double Burst = 10;

    /// Limit on the repeats to pay back, so that retries resume soon after a burst of such calls.
    static constexpr std::int32_t MaxDebt = 20;

    explicit RetryBudget(std::uint32_t percent = 10);

    /// Adds the share of one request to the budget.
    void recordRequest();
    /// Takes one repeat that cannot be refused. What the budget lacks is paid back before the next
    /// retry, up to MaxDebt.
    void recordRepeat();
    /// True if tryRetry() would succeed now.
    bool canRetry() const;
    /// Takes one retry from the budget; returns false if the budget is exhausted.
    bool tryRetry();
    void setPercent(std::uint32_t percent);
    /// Empties the budget of a gate that starts: an earlier process may have used the burst within
    /// the period over which repeats are counted.
    void withholdBurst() { m_balance = std::min(m_balance, 0); }
    /// Adds the burst once that period is over.
    void grantBurst() { m_balance = std::min(m_balance + m_capacity, m_capacity); }
    /// Sets the number of retries that may accumulate. A fleet-wide burst must be divided by the
    /// number of gates.
    void setBurst(double burst);

private:
    static constexpr std::int32_t RetryCost = 100; ///< hundredths per retry

    std::int32_t m_percent;
    std::int32_t m_capacity = static_cast<std::int32_t>(Burst * RetryCost);
    std::int32_t m_balance = m_capacity; ///< hundredths of a retry; at most m_capacity
};

} // namespace berylspur
