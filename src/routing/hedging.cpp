// Delay and verdict of hedged requests.
#include "berylspur/routing/hedging.h"

#include "berylspur/core/enum_table.h"

#include <algorithm>
#include <cmath>

namespace berylspur {

namespace {

constexpr EnumTable<HedgeVerdict, HedgeVerdictCount> VerdictNames {{
        {HedgeVerdict::Send, "send"},
        {HedgeVerdict::NotIdempotent, "not-idempotent"},
        {HedgeVerdict::NoAttemptLeft, "no-attempt-left"},
        {HedgeVerdict::NoTime, "no-time"},
        {HedgeVerdict::NoRoom, "no-room"},
        {HedgeVerdict::NoEndpoint, "no-endpoint"},
        {HedgeVerdict::HedgeBudget, "hedge-budget"},
        {HedgeVerdict::RetryBudget, "retry-budget"},
}};

} // namespace

std::string_view hedgeVerdictName(HedgeVerdict verdict)
{
    return enumName(VerdictNames, verdict);
}

void ServiceRoom::record(std::uint32_t slots, std::uint32_t freeSlots, TimePoint now)
{
    const std::chrono::duration<double> age = now - m_lastReport;
    const double kept = std::exp2(-age / std::chrono::duration<double>(HalfLife));
    m_slots = kept * m_slots + slots;
    m_freeSlots = kept * m_freeSlots + freeSlots;
    m_lastReport = now;
}

std::optional<double> ServiceRoom::freeShare(TimePoint now) const
{
    if (m_slots == 0 || now - m_lastReport > HalfLife)
        return std::nullopt;
    return m_freeSlots / m_slots;
}

void ServiceHedging::setPercent(std::uint32_t percent)
{
    m_budget.setPercent(percent);
    if (!isOn())
        m_latencies.clear();
}

void ServiceHedging::recordLatency(const HedgeRoute &route, Duration latency, TimePoint now)
{
    if (!isOn())
        return;
    if (m_latencies.size() >= MaxRoutes && !m_latencies.contains(route))
        m_latencies.clear();
    m_latencies[route].record(latency, now);
}

void ServiceHedging::recordLoad(std::uint32_t slots, std::uint32_t freeSlots, TimePoint now)
{
    if (isOn())
        m_room.record(slots, freeSlots, now);
}

std::optional<Duration> ServiceHedging::tailLatency(const HedgeRoute &route, TimePoint now) const
{
    const auto found = m_latencies.find(route);
    return found == m_latencies.end() ? std::nullopt : found->second.quantile(Quantile, now);
}

std::optional<Duration> ServiceHedging::delay(const HedgeRoute &route, Duration remaining,
                                              TimePoint now) const
{
    const auto tail = tailLatency(route, now);
    if (!tail)
        return std::nullopt;
    const auto delay = std::max(*tail, MinDelay);
    // The second run may take as long as all but the slowest ones.
    return delay + *tail > remaining ? std::nullopt : std::optional(delay);
}

HedgeVerdict ServiceHedging::verdict(const HedgeRoute &route, const HedgeSituation &situation,
                                     TimePoint now) const
{
    if (!situation.isIdempotent)
        return HedgeVerdict::NotIdempotent;
    if (!situation.hasAttemptLeft)
        return HedgeVerdict::NoAttemptLeft;
    // After a pause of the process a hedge may be due late.
    const auto tail = tailLatency(route, now);
    if (!tail || *tail > situation.remaining)
        return HedgeVerdict::NoTime;
    if (m_room.freeShare(now).value_or(0) < MinFreeShare)
        return HedgeVerdict::NoRoom;
    if (!situation.hasSecondEndpoint)
        return HedgeVerdict::NoEndpoint;
    if (!m_budget.canHedge())
        return HedgeVerdict::HedgeBudget;
    return situation.hasRetryBudget ? HedgeVerdict::Send : HedgeVerdict::RetryBudget;
}

} // namespace berylspur
