// Request processing at the gate, up to the first attempt: validation, route, rate limit.
#include "gate_request.h"

#include "berylspur/core/log.h"
#include "peer_reply.h"

#include <algorithm>
#include <charconv>

namespace berylspur {

namespace {

/// Resumes the requests that wait for the lease of \a key.
void resumeLeaseWaiters(GateContext &context, const std::string &key)
{
    auto waiting = context.leaseWaiters.extract(key);
    if (waiting.empty())
        return;
    for (const auto &request : waiting.mapped()) {
        if (const auto alive = request.lock())
            alive->onLeaseReply();
    }
}

} // namespace

GateRequest::GateRequest(GateContext &context, std::unique_ptr<CallerRequest> caller,
                         std::function<void(GateRequest *)> onFinished)
    : m_context(context), m_caller(std::move(caller)), m_onFinished(std::move(onFinished)),
      m_deadlineTimer(context.base,
                      [this] { m_deadlinePassed ? onDeadlineGraceEnd() : onDeadline(); }),
      m_claimTimer(context.base, [this] { claimKey(); }),
      m_askTimer(context.base, [this] { ask(m_askId, m_askNode, m_askIncarnation); }),
      m_placementTimer(context.base, [this] { startAttempt(); }),
      m_silenceTimer(context.base, [this] { onSecondAttemptDue(); }),
      m_id(RequestId::generate(context.random)), m_arrived(m_caller->arrival())
{
    m_caller->onClosed([this] { onCallerDisconnect(); });
}

GateRequest::~GateRequest()
{
    if (m_exchange)
        m_exchange->cancel();
    if (m_silent)
        m_silent->exchange->cancel();
}

void GateRequest::begin()
{
    if (const auto checked = m_caller->check(); !checked) {
        m_caller->closeAfterResponse();
        refuse(checked.error().code, checked.error().detail);
        return;
    }
    if (!matchRoute())
        return;
    m_deadlineTimer.start(std::max(m_deadline - BootClock::now(), Duration::zero()));
    // The effects of pipelined requests must be those of running them in order. Idempotent ones
    // may run side by side; any other starts alone, and the caller may repeat those behind it.
    if (m_idempotent)
        m_caller->allowNextRequest();
    if (m_idempotent || m_caller->isFirst())
        admit();
    else
        m_caller->onFirst([this] { admit(); });
}

void GateRequest::admit()
{
    if (m_isComplete)
        return;
    if (!isAdmitted(m_context.stop, m_isNestedCall, m_deadline)) {
        refuse(ErrorCode::NotRunStopping);
        return;
    }
    m_headers = forwardedHeaders();
    m_body = m_caller->takeBody();
    auto &budget = m_context.retryBudgets[m_service];
    if (m_isCallOfRepeat) {
        budget.recordRepeat();
        ++m_context.counters.callsOfRepeats;
    } else {
        budget.recordRequest();
    }
    if (auto *policy = hedging())
        policy->recordRequest();
    checkRateLimit(false);
}

void GateRequest::refuse(ErrorCode code, const std::string &detail)
{
    if (!detail.empty())
        log::debug("request-refused", {{"code", errorName(code)}, {"detail", detail}});
    finishNotRun(code);
}

bool GateRequest::matchRoute()
{
    const auto match = m_context.routes.match(m_caller->method(), m_caller->header("Host"),
                                              m_caller->target());
    if (!match) {
        refuse(match.error().code);
        return false;
    }
    const auto &config = *match.value().config;
    const auto &route = *match.value().route;
    const auto &names = m_context.headerNames;
    const auto time = callerTimeout();
    if (!time) {
        refuse(time.error().code, time.error().detail);
        return false;
    }
    m_service = chooseService(config, route);
    m_revision = config.revision();
    m_routeKey = match.value().key;
    m_idempotent = route.idempotent();
    m_requestClass =
            route.request_class() == schema::CLASS_LONG ? RequestClass::Long : RequestClass::Short;
    m_maxAttempts = route.attempts();
    m_priority = route.priority();
    m_latencyTargetMs = route.target_latency_ms();
    const Duration limit = std::chrono::milliseconds(route.deadline_ms());
    m_deadline = m_arrived + std::min(limit, time.value().value_or(limit));
    m_customer = m_caller->header(config.customer_header());
    if (names.callerSetsIdAndDeadline)
        m_callerId = m_caller->header(names.requestId);
    const auto parentRun = m_callerId.empty() ? ParentRun() : m_context.parentRun(m_callerId);
    m_isNestedCall = parentRun.kind != ParentRun::Kind::None;
    m_isCallOfRepeat = parentRun.kind == ParentRun::Kind::Repeat;
    const auto key = names.idempotencyKey.empty() ? std::string_view()
                                                  : m_caller->header(names.idempotencyKey);
    if (!m_idempotent && !key.empty())
        m_key = m_service + "\n" + m_customer + "\n" + std::string(key);
    return true;
}

Result<std::optional<Duration>> GateRequest::callerTimeout() const
{
    const auto &names = m_context.headerNames;
    const auto text = m_caller->header(names.deadlineMs);
    if (!names.callerSetsIdAndDeadline || text.empty())
        return std::optional<Duration>();
    std::uint32_t ms = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), ms);
    if (error != std::errc() || end != text.data() + text.size())
        return failure(ErrorCode::RequestMalformed, "the deadline is not a whole number");
    return std::optional<Duration>(std::chrono::milliseconds(ms));
}

std::string GateRequest::chooseService(const schema::ServiceConfig &config,
                                       const schema::Route &route)
{
    std::uint64_t total = 0;
    for (const auto &part : route.split())
        total += part.weight();
    if (total == 0)
        return config.service();
    std::uint64_t drawn =
            std::uniform_int_distribution<std::uint64_t>(0, total - 1)(m_context.random);
    for (const auto &part : route.split()) {
        if (drawn < part.weight())
            return part.service();
        drawn -= part.weight();
    }
    return config.service();
}

HeaderList GateRequest::forwardedHeaders() const
{
    const auto &names = m_context.headerNames;
    auto headers = forwardableHeaders(m_caller->headers());
    // The owner sets these headers itself.
    std::erase_if(headers, [&names](const auto &header) {
        for (const auto *own : {&names.deadlineMs, &names.targetEndpoint, &names.callerService}) {
            if (!own->empty() && equalsIgnoreCase(header.first, *own))
                return true;
        }
        return false;
    });
    return headers;
}

void GateRequest::checkRateLimit(bool isRecheck)
{
    // A route may name a service that is not configured, or was deleted while the request waited.
    const auto *config = m_context.routes.service(m_service);
    if (!config) {
        refuse(ErrorCode::NotRunNoEndpoint);
        return;
    }
    const auto limit = rateLimitFor(*config, m_customer);
    if (limit.rate == 0) {
        startAttempt();
        return;
    }
    const auto key = rateKey(m_service, m_customer);
    const auto decision = m_context.rateLimiter.request(key, limit, BootClock::now(), isRecheck);
    if (decision.pending)
        m_context.leaseWaiters[key].push_back(weak_from_this());
    if (decision.renew)
        requestLease(key, limit);
    if (decision.pending)
        return;
    if (decision.verdict == RateLimiterClient::Verdict::Admit) {
        startAttempt();
        return;
    }
    m_retryAfter = decision.retryAfter;
    refuse(ErrorCode::NotRunCustomerLimit);
}

void GateRequest::onLeaseReply()
{
    if (!m_isComplete)
        checkRateLimit(true);
}

void GateRequest::requestLease(const std::string &key, const RateLimit &limit)
{
    const auto renewal = m_context.rateLimiter.beginRenewal(key, limit);
    const auto *home = m_context.members.find(rendezvousNode(key, m_context.reachableNodes()));
    auto &context = m_context;
    const auto failed = [&context, key, renewal] {
        context.rateLimiter.onRenewalFailed(key, renewal, BootClock::now());
        resumeLeaseWaiters(context, key);
    };
    const auto address = home ? Address::parse(home->peer_address())
                              : Result<Address>(failure(ErrorCode::PeerUnreachable));
    if (!address) {
        failed();
        return;
    }
    schema::QuotaRequest request;
    auto *entry = request.add_entries();
    entry->set_service(m_service);
    entry->set_customer(m_customer);
    entry->set_used(renewal.used);
    entry->set_wanted(renewal.wanted);
    const auto granted = [&context, key, failed](const std::string &envelope, const std::string &) {
        schema::QuotaReply reply;
        if (!reply.ParseFromString(envelope) || reply.entries_size() != 1) {
            failed();
            return;
        }
        const Lease lease {reply.entries(0).granted(),
                           std::chrono::milliseconds(reply.entries(0).retry_after_ms())};
        context.rateLimiter.onGranted(key, lease, BootClock::now());
        resumeLeaseWaiters(context, key);
    };
    // The lease belongs to the gate, so the exchange continues if this request ends first.
    m_context.peers.channel(address.value(), TrafficClass::Short)
            .start(
                    PeerMethod::Quota,
                    [text = request.SerializeAsString()](std::uint64_t) { return text; }, {},
                    collectReply(granted, failed));
}

} // namespace berylspur
