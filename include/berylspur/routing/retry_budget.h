// Bounds the retries of a service to a share of its requests.
#pragma once

#include <cstdint>

namespace berylspur {

/// Retries never exceed percent x requests / 100 + burst, neither since the start nor in any
/// shorter period: unused budget is saved up to the burst only, so that hours without retries do
/// not allow a storm of them. At 0 percent there are no retries at all.
class RetryBudget
{
public:
    /// Burst of a service whose budget is not shared between gates.
    static constexpr double Burst = 10;

    explicit RetryBudget(std::uint32_t percent = 10);

    void request();
    /// True if tryRetry() would succeed now.
    bool canRetry() const;
    /// Takes one retry from the budget; false if it is spent.
    bool tryRetry();
    void setPercent(std::uint32_t percent);
    /// Most retries that are saved up. A budget of the fleet is divided by the number of gates.
    void setBurst(double burst);

private:
    static constexpr std::uint32_t RetryCost = 100; ///< a retry, in hundredths

    std::uint32_t m_percent;
    std::uint32_t m_full = static_cast<std::uint32_t>(Burst * RetryCost);
    std::uint32_t m_saved = m_full; ///< hundredths of a retry; at most m_full
};

} // namespace berylspur
