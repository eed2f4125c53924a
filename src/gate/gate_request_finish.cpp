// Ends of a request at the gate: deadline, failure responses, shutdown, disconnect of the caller.
#include "gate_request.h"

#include "berylspur/http/request_status.h"
#include "berylspur/record/decision_logging.h"
#include "peer_reply.h"

#include <algorithm>
#include <cstdio>

namespace berylspur {

namespace {

constexpr std::uint32_t StatusTooManyRequests = 429;
constexpr std::uint32_t StatusUnavailable = 503;
constexpr std::uint32_t StatusTimeout = 504;

std::uint32_t httpStatusFor(ErrorCode code)
{
    switch (code) {
    case ErrorCode::RequestMalformed:
    case ErrorCode::RequestAmbiguousFraming:
    case ErrorCode::RequestUnknownRoute:
    case ErrorCode::RequestMethodNotAllowed:
    case ErrorCode::RequestTimeout:
    case ErrorCode::RequestBodyTooLarge:
    case ErrorCode::RequestHeadersTooLarge:
    case ErrorCode::RequestCodingNotSupported:
    case ErrorCode::RequestUnauthorized:
        return statusOfInvalidRequest(code);
    case ErrorCode::NotRunCustomerLimit:
    case ErrorCode::NotRunConcurrencyLimit:
        return StatusTooManyRequests;
    default:
        return StatusUnavailable;
    }
}

} // namespace

void GateRequest::onDeadline()
{
    m_deadlinePassed = true;
    if (m_streaming) {
        // The owner cancels the request after its own grace period and ends the stream.
        return;
    }
    m_deadlineTimer.start(DeadlineGrace);
}

void GateRequest::finishForShutdown()
{
    if (m_isComplete || m_streaming)
        return;
    if (m_dispatching && m_exchange && m_exchange->wasSent())
        finishUnknown(ErrorCode::OutcomeUnknown);
    else
        finishNotRun(ErrorCode::NotRunStopping);
}

void GateRequest::onDeadlineGraceEnd()
{
    const bool sent = m_dispatching && m_exchange && m_exchange->wasSent();
    if (sent)
        finishUnknown(ErrorCode::OutcomeUnknown);
    else if (!m_key.empty() && !m_keyClaimed)
        finishUnknown(ErrorCode::OutcomeUnknownKeyHome);
    else
        finishNotRun(ErrorCode::NotRunDeadline);
}

void GateRequest::finishNotRun(ErrorCode code)
{
    if (m_isComplete)
        return;
    if (m_earlierAttemptMayHaveRun) {
        finishUnknown(code);
        return;
    }
    releaseKey();
    ++m_context.counters.notRun;
    record(schema::DECISION_REFUSE,
           m_refusalRule.empty() ? std::string(errorName(code)) : m_refusalRule, code);
    respondFailure(httpStatusFor(code), code, NotRunOutcome);
}

void GateRequest::finishUnknown(ErrorCode code)
{
    if (m_isComplete)
        return;
    ++m_context.counters.unknown;
    // Recorded like a refusal, although the request may have run.
    record(schema::DECISION_REFUSE, std::string(errorName(code)), code);
    respondFailure(StatusTimeout, code, UnknownOutcome);
}

void GateRequest::respondFailure(std::uint32_t status, ErrorCode code, std::string_view outcome)
{
    ++m_context.counters.failures[code];
    reportNestedCallEnd(false, outcome == NotRunOutcome ? code : ErrorCode::Ok);
    HeaderList headers;
    headers.emplace_back(RequestIdHeader, m_id.toHex());
    headers.emplace_back(ResultHeader, std::to_string(static_cast<std::uint32_t>(code)) + " "
                                               + std::string(errorName(code)));
    headers.emplace_back(OutcomeHeader, outcome);
    if (status == StatusUnavailable || status == StatusTooManyRequests) {
        headers.emplace_back("Retry-After", retryAfterValue());
    }
    // RFC 9110, 15.5.2 requires a challenge. No registered scheme fits a key in a header of its
    // own.
    if (code == ErrorCode::RequestUnauthorized)
        headers.emplace_back("WWW-Authenticate", "ApiKey");
    headers.emplace_back("Content-Type", "text/plain");
    m_caller->respond(status, headers, std::string(errorMessage(code)) + "\n");
    complete();
}

std::string GateRequest::retryAfterValue()
{
    if (!m_context.headerNames.fractionalRetryAfter) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(m_retryAfter).count();
        return std::to_string(std::max<std::int64_t>(seconds, 1));
    }
    // Jitter: without it, all requests refused at a load peak would return as the next peak.
    constexpr double MinSeconds = 0.5;
    const double wait = std::max(MinSeconds, std::chrono::duration<double>(m_retryAfter).count());
    char text[32];
    std::snprintf(text, sizeof text, "%.2f",
                  std::uniform_real_distribution<double>(wait, 2 * wait)(m_context.random));
    return text;
}

void GateRequest::reportNestedCallEnd(bool isSuccess, ErrorCode code)
{
    if (!m_isNestedCall)
        return;
    const auto wait = std::max(age() - m_serviceTime, Duration::zero());
    m_context.onNestedCallEnd(
            {m_callerId, isSuccess, m_service, isOverloadRefusal(code), m_serviceTime, wait});
}

void GateRequest::record(schema::DecisionKind kind, const std::string &rule, ErrorCode code)
{
    schema::DecisionRecord record;
    record.set_kind(kind);
    record.set_service(m_service);
    record.set_endpoint(m_endpoint);
    record.set_rule(rule);
    record.set_code(static_cast<std::uint32_t>(code));
    record.set_request_id(logId());
    record.set_config_revision(m_revision);
    addFigure(record, "placements", m_placements);
    // Counts failed attempts only: 0 for a request that was answered at the first attempt.
    addFigure(record, "attempts", m_failedAttempts);
    addFigure(record, "age-ms", static_cast<double>(age().count()) / 1000.0);
    addFigure(record, "call", m_isNestedCall ? 1 : 0);
    if (code == ErrorCode::NotRunCustomerLimit)
        addFigure(record, "retry-after-ms", static_cast<double>(toMs(m_retryAfter)));
    addFigure(record, "rank", m_priority);
    if (kind == schema::DECISION_ANSWER)
        addFigure(record, "status", m_status);
    if (code == ErrorCode::RequestUnauthorized)
        addFigure(record, "key", hasKey() ? 1 : 0); // 0: missing, 1: unknown
    const bool isPlacement = kind == schema::DECISION_RETRY || kind == schema::DECISION_REFUSE;
    if (isPlacement && m_placements > 0)
        addPlacementFigures(record);
    m_context.onDecision(std::move(record));
}

void GateRequest::addPlacementFigures(schema::DecisionRecord &record)
{
    addFigure(record, "idempotent", m_idempotent ? 1 : 0);
    addFigure(record, "view-age-ms", static_cast<double>(toMs(m_viewAge)));
    addFigure(record, "on-trial", m_wasOnTrial ? 1 : 0);
    addFigure(record, "held", m_verdict == RotationVerdict::HeldByFloor ? 1 : 0);
    addFigure(record, "opened", m_verdict == RotationVerdict::OpenedByFloor ? 1 : 0);
    const auto *config = m_context.routes.service(m_service);
    if (!config)
        return;
    const auto &view = m_context.serviceViews.current(*config, BootClock::now());
    const RotationCounts counts = view.rotation.counts();
    addFigure(record, "endpoints-ready", counts.ready);
    addFigure(record, "endpoints-ejected", counts.ejected);
    addFigure(record, "endpoints-held", counts.held);
    addFigure(record, "endpoints-opened", counts.opened);
}

void GateRequest::onCallerDisconnect()
{
    if (m_isComplete)
        return;
    ++m_context.counters.abandoned;
    // "left": closed its connection.
    record(schema::DECISION_ABANDON,
           m_streaming ? "caller left during the response" : "caller left", ErrorCode::Ok);
    complete();
}

void GateRequest::complete()
{
    if (std::exchange(m_isComplete, true))
        return;
    m_deadlineTimer.stop();
    m_claimTimer.stop();
    m_askTimer.stop();
    m_placementTimer.stop();
    m_silenceTimer.stop();
    m_quotaTimer.stop();
    m_quotaTicket.release();
    dropSilentAttempt();
    endAttempt();
    if (m_exchange)
        m_exchange->cancel();
    m_exchange.reset();
    m_onFinished(this);
}

} // namespace berylspur
