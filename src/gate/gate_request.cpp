// Request processing at the gate, up to the first attempt: validation, route, rate limit.
#include "gate_request.h"

#include "berylspur/core/log.h"
#include "peer_reply.h"

#include <algorithm>
#include <array>
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
      m_quotaTimer(context.base, [this] { onQuotaTimeout(); }),
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
    const auto checked = m_caller->check();
    const bool isBodyDiscarded = !checked && checked.error().code == ErrorCode::NotRunBodyDiscarded;
    if (!checked && !isBodyDiscarded) {
        m_caller->closeAfterResponse();
        refuse(checked.error().code, checked.error().detail);
        return;
    }
    if (!matchRoute())
        return;
    // The route came into force while the body was read, so the caller may send it again.
    if (isBodyDiscarded) {
        refuse(ErrorCode::NotRunBodyDiscarded);
        return;
    }
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
    if (!areCallsAdmitted())
        return;
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

void GateRequest::refuseByRule(ErrorCode code, const std::string &rule)
{
    m_refusalRule = rule;
    refuse(code);
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
    m_latencyTargetMs = route.target_latency_ms();
    const Duration limit = std::chrono::milliseconds(route.deadline_ms());
    m_deadline = m_arrived + std::min(limit, time.value().value_or(limit));
    if (names.callerSetsIdAndDeadline)
        m_callerId = m_caller->header(names.requestId);
    if (!identifyCustomer(config, route)) {
        refuse(ErrorCode::RequestUnauthorized, hasKey() ? "unknown key" : "no key");
        return false;
    }
    const auto key = names.idempotencyKey.empty() ? std::string_view()
                                                  : m_caller->header(names.idempotencyKey);
    if (!m_idempotent && !key.empty())
        m_key = m_service + "\n" + m_customer + "\n" + std::string(key);
    return true;
}

ParentRun GateRequest::parentRun() const
{
    if (m_callerId.empty())
        return {};
    // Endpoints have no keys, so a request with a key does not come from one.
    return m_hasCustomers && hasKey() ? ParentRun() : m_context.parentRun(m_callerId);
}

bool GateRequest::hasKey() const
{
    return !m_caller->header(m_context.headerNames.customerKey).empty();
}

bool GateRequest::identifyCustomer(const schema::ServiceConfig &config, const schema::Route &route)
{
    m_hasCustomers = !m_context.customers.isEmpty();
    const auto parent = parentRun();
    m_isNestedCall = parent.kind != ParentRun::Kind::None;
    m_isCallOfRepeat = parent.kind == ParentRun::Kind::Repeat;
    m_priority = m_isNestedCall ? parent.priority : route.priority();
    if (!m_hasCustomers) {
        m_customer = m_caller->header(config.customer_header());
        return true;
    }
    if (m_isNestedCall) {
        m_customer = parent.customer;
        return true;
    }
    const auto *customer =
            m_context.customers.find(m_caller->header(m_context.headerNames.customerKey));
    if (!customer)
        return route.anonymous();
    m_customer = customer->name();
    if (customer->has_priority())
        m_priority = customer->priority();
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
    std::array<std::string_view, 6> removed {names.deadlineMs, names.targetEndpoint,
                                             names.callerService};
    // With customers, the caller's key is secret and the customer is known from the key alone. The
    // configuration may have changed while the request waited for earlier ones of its connection.
    if (m_hasCustomers || !m_context.customers.isEmpty()) {
        removed[3] = names.customerKey;
        removed[4] = names.customer;
        if (const auto *config = m_context.routes.service(m_service))
            removed[5] = config->customer_header();
    }
    std::erase_if(headers, [&removed](const auto &header) {
        return std::any_of(removed.begin(), removed.end(), [&header](std::string_view name) {
            return !name.empty() && equalsIgnoreCase(header.first, name);
        });
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
        checkQuota();
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
        checkQuota();
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

void GateRequest::checkQuota()
{
    const auto *customer = m_customer.empty() ? nullptr : m_context.customers.byName(m_customer);
    // A nested call is part of a request that was counted when it arrived.
    if (m_isNestedCall || !customer || customer->rate() == 0) {
        startAttempt();
        return;
    }
    const auto decision = m_context.quota.request(
            *customer, m_quotaTicket,
            [this](const QuotaTask::Decision &result) { applyQuota(result); });
    if (decision.verdict != QuotaTask::Verdict::Wait)
        applyQuota(decision);
    else if (m_quotaTicket.isWaiting())
        m_quotaTimer.start(std::max(m_deadline - BootClock::now(), Duration::zero())
                           / QuotaWaitShare);
}

void GateRequest::applyQuota(const QuotaTask::Decision &decision)
{
    m_quotaTimer.stop();
    if (m_isComplete)
        return;
    if (decision.verdict == QuotaTask::Verdict::Admit) {
        startAttempt();
        return;
    }
    m_retryAfter = decision.retryAfter;
    refuseByRule(ErrorCode::NotRunCustomerLimit, "customer quota");
}

void GateRequest::onQuotaTimeout()
{
    m_context.quota.giveUp(m_quotaTicket);
    refuseByRule(ErrorCode::NotRunCustomerLimit, "customer quota, no reply of its home");
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
