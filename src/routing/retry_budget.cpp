// Retry budget in hundredths of a retry.
#include "berylspur/routing/retry_budget.h"

#include <algorithm>

namespace berylspur {

RetryBudget::RetryBudget(std::uint32_t percent) : m_percent(percent) { }

void RetryBudget::request()
{
    m_saved = std::min(m_saved + m_percent, m_full);
}

bool RetryBudget::canRetry() const
{
    return m_percent > 0 && m_saved >= RetryCost;
}

bool RetryBudget::tryRetry()
{
    if (!canRetry())
        return false;
    m_saved -= RetryCost;
    return true;
}

void RetryBudget::setPercent(std::uint32_t percent)
{
    m_percent = percent;
}

void RetryBudget::setBurst(double burst)
{
    // At least one retry can be saved up; otherwise a gate with few requests never has one.
    m_full = std::max(static_cast<std::uint32_t>(burst * RetryCost), RetryCost);
    m_saved = std::min(m_saved, m_full);
}

} // namespace berylspur
