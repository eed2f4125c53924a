// A second attempt of an idempotent request, beside one at an endpoint that has not responded: a
// hedged request, or one beside a silent endpoint. The first of both to answer wins; the other one
// is cancelled.
#include "berylspur/routing/second_attempt.h"
#include "gate_request.h"

#include <algorithm>
#include <utility>

namespace berylspur {

std::optional<Duration> GateRequest::silenceDelay(TimePoint sentAt, Duration expectedWait)
{
    const auto *config = m_context.routes.service(m_service);
    if (!config)
        return std::nullopt;
    const auto now = BootClock::now();
    const auto &times = m_context.serviceViews.current(*config, now).serviceTimes;
    const auto found = times.find({m_requestClass, m_routeKey});
    if (found == times.end())
        return std::nullopt;
    return secondAttemptDelay({found->second.usual(now), expectedWait, m_deadline - sentAt});
}

void GateRequest::startSecondAttemptTimer(std::optional<Duration> hedge)
{
    const auto now = BootClock::now();
    auto silence = silenceDelay(m_sentAt, m_expectedWait);
    if (silence)
        silence = std::max(m_sentAt + *silence - now, Duration::zero());
    m_isHedgeDue = hedge && (!silence || *hedge < *silence);
    if (const auto delay = m_isHedgeDue ? hedge : silence)
        m_silenceTimer.start(*delay);
}

void GateRequest::onSecondAttemptDue()
{
    if (m_isComplete || !m_dispatching || m_silent)
        return;
    if (m_isHedgeDue)
        onHedgeDue();
    else
        onSilence();
}

void GateRequest::onSilence()
{
    // After a pause of this process the timer may fire late.
    const bool isInTime = BootClock::now() < m_deadline;
    const bool mayReachAnother =
            m_failedAttempts + 1 < m_maxAttempts && m_context.retryBudgets[m_service].canRetry();
    if (!isInTime || !mayReachAnother)
        return;
    m_context.picker.onRequestFailed(m_endpoint, BootClock::now());
    m_excludedEndpoints.insert(m_endpoint);
    auto first = currentAttempt();
    if (!chooseEndpoint()) {
        m_endpoint = std::move(first.endpoint);
        m_node = std::move(first.node);
        m_address = first.address;
        m_incarnation = first.incarnation;
        return;
    }
    startSecondAttempt(std::move(first), "second attempt, silent endpoint ");
}

GateRequest::SilentAttempt GateRequest::currentAttempt() const
{
    return {m_attempt,     m_endpoint, m_node,   m_address,
            m_incarnation, m_exchange, m_sentAt, m_expectedWait};
}

void GateRequest::startSecondAttempt(SilentAttempt first, const std::string &rule)
{
    m_silent = std::move(first);
    m_exchange.reset();
    m_context.retryBudgets[m_service].tryRetry();
    ++m_failedAttempts;
    ++m_context.counters.retries;
    m_earlierAttemptMayHaveRun = true;
    record(schema::DECISION_RETRY, rule + m_silent->endpoint, ErrorCode::Ok);
    dispatch();
}

void GateRequest::onSilentReply(const std::string &envelope)
{
    schema::DispatchReply reply;
    const bool isAnswer = reply.ParseFromString(envelope) && reply.code() == 0
                          && reply.status() < FirstServerErrorStatus;
    if (!isAnswer) {
        dropSilentAttempt();
        return;
    }
    if (m_attempt == m_hedgeAttempt)
        ++m_context.counters.hedges.cancelled;
    returnToSilentAttempt();
    onDispatchReply(envelope);
}

void GateRequest::dropSilentAttempt()
{
    if (!m_silent)
        return;
    const auto first = *std::exchange(m_silent, std::nullopt);
    m_context.picker.onRequestEnded(first.endpoint);
    first.exchange->cancel();
}

bool GateRequest::returnToSilentAttempt()
{
    if (!m_silent)
        return false;
    const auto first = *std::exchange(m_silent, std::nullopt);
    endAttempt();
    m_excludedEndpoints.insert(m_endpoint);
    if (m_exchange)
        m_exchange->cancel();
    m_attempt = first.number;
    m_endpoint = first.endpoint;
    m_node = first.node;
    m_address = first.address;
    m_incarnation = first.incarnation;
    m_exchange = first.exchange;
    m_sentAt = first.sentAt;
    m_expectedWait = first.expectedWait;
    m_countedByPicker = true;
    m_dispatching = true;
    // A hedge that was refused or failed does not replace the attempt beside a silent endpoint.
    if (std::exchange(m_hedgeAttempt, -1) >= 0)
        startSecondAttemptTimer(std::nullopt);
    return true;
}

} // namespace berylspur
