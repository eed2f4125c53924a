// Request processing at the gate: validation, endpoint selection, dispatch, retry, response.
#include "gate_request.h"

#include "berylspur/core/log.h"
#include "berylspur/http/request_status.h"
#include "berylspur/record/decision_logging.h"
#include "berylspur/routing/placement.h"
#include "berylspur/routing/placement_retry.h"
#include "peer_reply.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace berylspur {

namespace {

constexpr std::uint32_t StatusTooManyRequests = 429;
constexpr std::uint32_t FirstServerErrorStatus = 500;
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
        return statusOfInvalidRequest(code);
    case ErrorCode::NotRunCustomerLimit:
    case ErrorCode::NotRunConcurrencyLimit:
        return StatusTooManyRequests;
    default:
        return StatusUnavailable;
    }
}

bool isOverloadRefusal(ErrorCode code)
{
    return code == ErrorCode::NotRunQueueFull || code == ErrorCode::NotRunDeadline;
}

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
      m_id(RequestId::generate(context.random)), m_arrived(BootClock::now())
{
    m_caller->onClosed([this] { onCallerDisconnect(); });
}

GateRequest::~GateRequest()
{
    if (m_exchange)
        m_exchange->cancel();
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
    if (!isAdmitted(m_context.stop, m_isNestedCall, m_deadline)) {
        refuse(ErrorCode::NotRunStopping);
        return;
    }
    m_deadlineTimer.start(m_deadline - m_arrived);
    m_headers = forwardedHeaders();
    m_body = m_caller->takeBody();
    auto &budget = m_context.retryBudgets[m_service];
    budget.recordRequest();
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
    m_isNestedCall = !m_callerId.empty() && m_context.isNestedCall(m_callerId);
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
    const auto limit = rateLimitFor(*m_context.routes.service(m_service), m_customer);
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

void GateRequest::startAttempt()
{
    ++m_placements;
    m_refused = false;
    if (!chooseEndpoint()) {
        // The last refusal is more specific than "no endpoint".
        if (!schedulePlacementRetry())
            finishNotRun(m_lastRefusal);
        return;
    }
    if (m_key.empty())
        dispatch();
    else
        claimKey();
}

bool GateRequest::chooseEndpoint()
{
    const auto *config = m_context.routes.service(m_service);
    if (!config)
        return false;
    const auto &view = m_context.serviceViews.current(*config, BootClock::now());
    const PlacementRequest placement {
            .isIdempotent = m_idempotent,
            .isFirstPlacement = m_placements == 1 && m_failedAttempts == 0,
            .wasRefusedForOverload = m_refusedForOverload,
            .triedEndpoints = m_excludedEndpoints,
    };
    const auto picked = placeRequest(placement, view.endpoints, view.rotation, m_context.picker,
                                     m_context.pathHealth, BootClock::now(), m_context.random);
    if (!picked)
        return false;
    const auto &endpoint = view.endpoints[*picked];
    const auto *member = m_context.members.find(endpoint.node);
    if (!member)
        return false;
    auto address = Address::parse(member->peer_address());
    if (!address)
        return false;
    m_endpoint = endpoint.id;
    m_node = endpoint.node;
    m_address = address.value();
    m_incarnation = member->incarnation();
    return true;
}

TrafficClass GateRequest::trafficClass() const
{
    return m_requestClass == RequestClass::Long ? TrafficClass::Long : TrafficClass::Short;
}

void GateRequest::dispatch()
{
    ExchangeHandler handler;
    handler.reply = [this](const std::string &envelope) { onDispatchReply(envelope); };
    handler.data = [this](std::string_view bytes) {
        if (!m_streaming)
            return;
        // Flow control: the window reopens once the bytes are written to the caller's socket, so a
        // slow caller buffers at most one window here.
        m_unflushed += bytes.size();
        m_caller->write(bytes, [this] {
            if (m_exchange)
                m_exchange->consume(std::exchange(m_unflushed, 0));
        });
    };
    handler.ended = [this](ErrorCode code) { onDispatchEnd(code); };
    m_context.picker.onRequestSent(m_endpoint);
    m_countedByPicker = true;
    m_dispatching = true;
    m_exchange = m_context.peers.channel(m_address, trafficClass())
                         .start(
                                 PeerMethod::Dispatch,
                                 [this](std::uint64_t tick) { return dispatchEnvelope(tick); },
                                 m_body, std::move(handler));
}

std::string GateRequest::dispatchEnvelope(std::uint64_t lastTick)
{
    const auto now = BootClock::now();
    schema::Dispatch dispatch;
    dispatch.set_request_id(m_id.toBytes());
    dispatch.set_service(m_service);
    dispatch.set_endpoint(m_endpoint);
    dispatch.set_request_class(m_requestClass == RequestClass::Long ? schema::CLASS_LONG
                                                                    : schema::CLASS_SHORT);
    dispatch.set_idempotent(m_idempotent);
    dispatch.set_remaining_ms(
            static_cast<std::uint32_t>(std::max<std::int64_t>(toMs(m_deadline - now), 0)));
    dispatch.set_last_tick(lastTick);
    const auto held = m_context.peers.channel(m_address, trafficClass()).timeSinceLastTick();
    dispatch.set_tick_held_us(static_cast<std::uint64_t>(held.count()));
    dispatch.set_customer(m_customer);
    dispatch.set_caller_request_id(m_callerId);
    dispatch.set_caller_service(m_context.hostService);
    dispatch.set_priority(m_priority);
    dispatch.set_target_latency_ms(m_latencyTargetMs);
    dispatch.set_repeat(m_failedAttempts > 0);
    dispatch.set_is_call(m_isNestedCall);
    dispatch.set_method(m_caller->method());
    dispatch.set_target(m_caller->target());
    for (const auto &[name, value] : m_headers) {
        auto *header = dispatch.add_headers();
        header->set_name(name);
        header->set_value(value);
    }
    dispatch.set_route(m_routeKey);
    dispatch.set_owner_incarnation(m_incarnation);
    if (const auto *config = m_context.routes.service(m_service)) {
        const auto &times = m_context.serviceViews.current(*config, BootClock::now()).serviceTimes;
        const auto found = times.find({m_requestClass, m_routeKey});
        const auto time = found == times.end() ? Duration::zero()
                                               : found->second.latestExcept(m_endpoint, now);
        dispatch.set_baseline_us(static_cast<std::uint32_t>(time.count()));
    }
    return dispatch.SerializeAsString();
}

void GateRequest::onDispatchReply(const std::string &envelope)
{
    m_dispatching = false;
    m_context.pathHealth.recordSuccess(m_node);
    schema::DispatchReply reply;
    if (!reply.ParseFromString(envelope)) {
        m_exchange->cancel();
        onDispatchEnd(ErrorCode::PeerMalformedMessage);
        return;
    }
    const auto now = BootClock::now();
    if (reply.has_load()) {
        const auto &load = reply.load();
        m_context.picker.onLoadReported(
                m_endpoint,
                {load.slots(), load.free_slots(), load.queued(), Duration(load.mean_service_us())},
                now);
    }
    const auto code = errorFromNumber(reply.code());
    if (reply.load().suspicion() > 0 || code == ErrorCode::EndpointFailed
        || code == ErrorCode::EndpointResponseInvalid)
        m_context.picker.onRequestFailed(m_endpoint, now);
    if (reply.code() != 0) {
        m_refused = true;
        endAttempt();
        m_retryAfter =
                std::max<Duration>(m_retryAfter, std::chrono::milliseconds(reply.retry_after_ms()));
        m_exchange->cancel();
        m_exchange.reset();
        if (isNotRun(code)) {
            retry(code, code == ErrorCode::NotRunEndpointRefused);
        } else if (m_idempotent) {
            m_earlierAttemptMayHaveRun = true;
            retry(code, true);
        } else {
            ++m_failedAttempts;
            finishUnknown(code);
        }
        return;
    }
    if (reply.status() >= FirstServerErrorStatus && canRetryErrorResponse(reply.load())) {
        endAttempt();
        m_exchange->cancel();
        m_exchange.reset();
        m_earlierAttemptMayHaveRun = true;
        retry(ErrorCode::EndpointFailed, true);
        return;
    }
    // Server errors are not sampled: they are often fast and would lower the baseline.
    const auto *config = m_context.routes.service(m_service);
    if (config && reply.status() < FirstServerErrorStatus) {
        constexpr std::size_t MaxRoutes = 1024;
        auto &times = m_context.serviceViews.current(*config, BootClock::now()).serviceTimes;
        if (times.size() >= MaxRoutes)
            times.clear();
        times[{m_requestClass, m_routeKey}].add(m_endpoint, Duration(reply.service_us()), now);
    }
    auto headers = headersFrom(reply);
    headers.emplace_back(RequestIdHeader, m_id.toHex());
    m_streaming = true;
    m_status = reply.status();
    const auto length = reply.length_plus_one() == 0
                                ? std::nullopt
                                : std::optional<std::uint64_t>(reply.length_plus_one() - 1);
    m_caller->start(reply.status(), headers, length);
}

bool GateRequest::schedulePlacementRetry()
{
    const UnplacedRequest wait {m_isNestedCall, m_idempotent && m_earlierAttemptMayHaveRun,
                                m_arrived, m_deadline};
    if (m_isComplete || !shouldRetryPlacement(wait, BootClock::now()))
        return false;
    m_placements = 0;
    m_overloadRefusals = 0;
    m_excludedEndpoints.clear();
    m_placementTimer.start(PlacementRetryDelay);
    return true;
}

bool GateRequest::canRetryErrorResponse(const schema::OwnerLoad &load)
{
    // Where requests are queued, a retry would displace a first attempt. Nested calls are
    // retried anyway, because their failure wastes the work of the parent request.
    if (!m_isNestedCall && (load.free_slots() == 0 || load.queued() > 0))
        return false;
    // Retry only if at least as much time is left as the request has already taken; otherwise
    // return the error response.
    const auto now = BootClock::now();
    return m_idempotent && m_failedAttempts + 1 < m_maxAttempts && m_placements < MaxPlacements
           && m_deadline - now > now - m_arrived && m_context.retryBudgets[m_service].canRetry();
}

void GateRequest::endAttempt()
{
    if (std::exchange(m_countedByPicker, false))
        m_context.picker.onRequestEnded(m_endpoint);
    m_dispatching = false;
}

void GateRequest::onDispatchEnd(ErrorCode code)
{
    const auto self = shared_from_this();
    const bool sent = m_exchange && m_exchange->wasSent();
    endAttempt();
    if (m_streaming) {
        m_exchange.reset();
        if (code == ErrorCode::Ok) {
            ++m_context.counters.answered;
            m_context.counters.latency[static_cast<int>(m_requestClass)].record(age());
            record(schema::DECISION_ANSWER, "answered", ErrorCode::Ok);
            reportNestedCallEnd(m_status < FirstServerErrorStatus);
            m_caller->finish();
        } else {
            ++m_context.counters.aborted;
            reportNestedCallEnd(false);
            // Recorded like a refusal, although the request ran.
            record(schema::DECISION_REFUSE, "response aborted by " + std::string(errorName(code)),
                   ErrorCode::AnswerTruncated);
            m_caller->abort();
        }
        complete();
        return;
    }
    m_context.pathHealth.recordFailure(m_node, BootClock::now());
    const bool provedNotRun = !sent || isNotRun(code);
    m_exchange.reset();
    if (provedNotRun) {
        retry(isNotRun(code) ? code : ErrorCode::NotRunOwnerUnreachable, false);
    } else if (m_idempotent) {
        m_earlierAttemptMayHaveRun = true;
        retry(code, true);
    } else {
        m_earlierAttemptMayHaveRun = true;
        m_askIsAboutFirstUse = false;
        ask(m_id, m_node, m_incarnation);
    }
}

void GateRequest::retry(ErrorCode code, bool reached)
{
    m_excludedEndpoints.insert(m_endpoint);
    m_lastRefusal = code;
    m_refusedForOverload = m_refusedForOverload || isOverloadRefusal(code);
    const bool hasTimeLeft = BootClock::now() < m_deadline;
    const bool isServiceOverloaded =
            isOverloadRefusal(code) && ++m_overloadRefusals >= MaxOverloadRefusals;
    if (!hasTimeLeft || isServiceOverloaded || m_placements >= MaxPlacements) {
        if (reached || !schedulePlacementRetry())
            finishNotRun(code);
        return;
    }
    // The retry budget covers only attempts that may have reached an endpoint; a refusal by an
    // owner costs the endpoints nothing.
    if (reached
        && (++m_failedAttempts >= m_maxAttempts || !m_context.retryBudgets[m_service].tryRetry())) {
        finishNotRun(code);
        return;
    }
    ++m_context.counters.retries;
    // "after" is followed by the error that caused the retry, not by a delay.
    record(schema::DECISION_RETRY, "retry after " + std::string(errorName(code)), code);
    if (m_keyClaimed)
        m_replacedClaim = KeyClaim {m_id, m_node, m_incarnation};
    startAttempt();
}

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
    record(schema::DECISION_REFUSE, std::string(errorName(code)), code);
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
    reportNestedCallEnd(false);
    HeaderList headers;
    headers.emplace_back(RequestIdHeader, m_id.toHex());
    headers.emplace_back(ResultHeader, std::to_string(static_cast<std::uint32_t>(code)) + " "
                                               + std::string(errorName(code)));
    headers.emplace_back(OutcomeHeader, outcome);
    if (status == StatusUnavailable || status == StatusTooManyRequests) {
        headers.emplace_back("Retry-After", retryAfterValue());
    }
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

void GateRequest::reportNestedCallEnd(bool isSuccess)
{
    if (m_isNestedCall)
        m_context.onNestedCallEnd({m_callerId, isSuccess});
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
    if (kind == schema::DECISION_ANSWER)
        addFigure(record, "status", m_status);
    m_context.onDecision(std::move(record));
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
    endAttempt();
    if (m_exchange)
        m_exchange->cancel();
    m_exchange.reset();
    m_onFinished(this);
}

} // namespace berylspur
