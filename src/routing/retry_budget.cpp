// Token bucket that counts in hundredths of a retry.
#include "berylspur/routing/retry_budget.h"

#include <algorithm>

namespace berylspur {

RetryBudget::RetryBudget(std::uint32_t percent) : m_percent(static_cast<std::int32_t>(percent)) { }

void RetryBudget::recordRequest()
{
    m_balance = std::min(m_balance + m_percent, m_capacity);
}

void RetryBudget::recordRepeat()
{
    m_balance = std::max(m_balance - RetryCost, -MaxDebt * RetryCost);
}

bool RetryBudget::canRetry() const
{
    return m_percent > 0 && m_balance >= RetryCost;
}

bool RetryBudget::tryRetry()
{
    if (!canRetry())
        return false;
    m_balance -= RetryCost;
    return true;
}

void RetryBudget::setPercent(std::uint32_t percent)
{
    m_percent = static_cast<std::int32_t>(percent);
}

void RetryBudget::setBurst(double burst)
{
    // The capacity is at least one retry; otherwise a gate with few requests could never retry.
    m_capacity = std::max(static_cast<std::int32_t>(burst * RetryCost), RetryCost);
    m_balance = std::min(m_balance, m_capacity);
}

} // namespace berylspur
