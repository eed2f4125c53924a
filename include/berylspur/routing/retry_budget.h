// Limits the retries of a service to a percentage of its requests.
#pragma once

#include <cstdint>

namespace berylspur {

/// Retries never exceed percent x requests / 100 + burst over any period. Unused budget accumulates
/// up to the burst only, so that hours without retries do not allow a retry storm. At 0 percent
/// there are no retries at all.
class RetryBudget
{
public:
    /// Default burst, for budgets that are not divided between gates.
    static constexpr double Burst = 10;

    explicit RetryBudget(std::uint32_t percent = 10);

    /// Adds the share of one request to the budget.
    void recordRequest();
    /// True if tryRetry() would succeed now.
    bool canRetry() const;
    /// Takes one retry from the budget; returns false if the budget is exhausted.
    bool tryRetry();
    void setPercent(std::uint32_t percent);
    /// Sets the number of retries that may accumulate. A fleet-wide burst must be divided by the
    /// number of gates.
    void setBurst(double burst);

private:
    static constexpr std::uint32_t RetryCost = 100; ///< hundredths per retry

    std::uint32_t m_percent;
    std::uint32_t m_capacity = static_cast<std::uint32_t>(Burst * RetryCost);
    std::uint32_t m_balance = m_capacity; ///< hundredths of a retry; at most m_capacity
};

} // namespace berylspur
