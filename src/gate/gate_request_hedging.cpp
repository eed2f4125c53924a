// Hedged requests: a second attempt beside one that is slower than the tail of its route. It is
// sent and ended like the one beside a silent endpoint, but says nothing about the first endpoint.
#include "berylspur/routing/placement.h"
#include "gate_request.h"

namespace berylspur {

ServiceHedging *GateRequest::hedging()
{
    const auto found = m_context.hedging.find(m_service);
    return found != m_context.hedging.end() && found->second.isOn() ? &found->second : nullptr;
}

std::optional<Duration> GateRequest::hedgeDelay(TimePoint now)
{
    const auto *policy = hedging();
    return policy ? policy->delay({m_requestClass, m_routeKey}, m_deadline - now, now)
                  : std::nullopt;
}

void GateRequest::recordLatency(Duration latency)
{
    if (auto *policy = hedging())
        policy->recordLatency({m_requestClass, m_routeKey}, latency, BootClock::now());
}

void GateRequest::onAnswerChosen(std::uint32_t status)
{
    const auto now = BootClock::now();
    const bool isHedge = m_attempt == m_hedgeAttempt;
    m_context.counters.hedges.won += isHedge ? 1 : 0;
    // Server errors are often fast and would shorten the delay.
    if (status < FirstServerErrorStatus)
        recordLatency(now - m_sentAt);
    if (m_silent) {
        // Without the attempts that were cancelled, the slowest ones would be missing.
        const auto age = now - m_silent->sentAt;
        recordLatency(age);
        // The hedge says nothing about the first endpoint, but its silence does.
        const auto silence = silenceDelay(m_silent->sentAt, m_silent->expectedWait);
        if (isHedge && silence && age >= *silence)
            m_context.picker.onRequestFailed(m_silent->endpoint, now);
    }
    dropSilentAttempt();
}

void GateRequest::onHedgeDue()
{
    const auto verdict = tryHedge();
    ++m_context.counters.hedges.verdicts[static_cast<std::size_t>(verdict)];
    if (verdict != HedgeVerdict::Send)
        startSecondAttemptTimer(std::nullopt);
}

HedgeVerdict GateRequest::tryHedge()
{
    auto *policy = hedging();
    const auto *config = m_context.routes.service(m_service);
    if (!policy || !config)
        return HedgeVerdict::HedgeBudget; // turned off while the request was open
    const auto now = BootClock::now();
    const auto &view = m_context.serviceViews.current(*config, now);
    auto tried = m_excludedEndpoints;
    tried.insert(m_endpoint);
    const auto second = placeHedge(tried, view.endpoints, view.rotation, m_context.picker,
                                   m_context.pathHealth, now, m_context.random);
    const HedgeSituation situation {
            .isIdempotent = m_idempotent,
            .hasAttemptLeft = m_failedAttempts + 1 < m_maxAttempts,
            .hasRetryBudget = m_context.retryBudgets[m_service].canRetry(),
            .hasSecondEndpoint = second.has_value(),
            .remaining = m_deadline - now,
    };
    const auto verdict = policy->verdict({m_requestClass, m_routeKey}, situation, now);
    if (verdict != HedgeVerdict::Send)
        return verdict;
    auto first = currentAttempt();
    if (!useEndpoint(view.endpoints[*second]))
        return HedgeVerdict::NoEndpoint;
    policy->recordHedge();
    ++m_context.counters.hedges.sent;
    m_excludedEndpoints.insert(first.endpoint);
    startSecondAttempt(std::move(first), "hedged request beside endpoint ");
    m_hedgeAttempt = m_attempt;
    return verdict;
}

} // namespace berylspur
