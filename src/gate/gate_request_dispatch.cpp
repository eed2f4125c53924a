// Attempts of a request at the gate: endpoint selection, dispatch to its owner, response, retry.
#include "gate_request.h"

#include "berylspur/routing/placement.h"
#include "berylspur/routing/placement_retry.h"
#include "peer_reply.h"

#include <algorithm>

namespace berylspur {

void GateRequest::startAttempt()
{
    ++m_placements;
    if (!chooseEndpoint()) {
        // The last refusal is more specific than "no endpoint".
        if (!schedulePlacementRetry())
            finishNotRun(m_lastRefusal);
        return;
    }
    if (m_body.size() >= LargeBodyBytes)
        offer();
    else
        sendAttempt();
}

void GateRequest::sendAttempt()
{
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
            .maxNearWait = maxNearWait(),
            .host = m_context.members.self().node(),
    };
    const auto picked = placeRequest(placement, view.endpoints, view.rotation, m_context.picker,
                                     m_context.pathHealth, BootClock::now(), m_context.random);
    if (!picked)
        return false;
    m_verdict = view.rotation.entries[*picked].verdict;
    return useEndpoint(view.endpoints[*picked]);
}

bool GateRequest::useEndpoint(const EndpointView &endpoint)
{
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
    const auto now = BootClock::now();
    m_expectedWait = m_context.picker.expectedWait(endpoint, now);
    m_viewAge = m_context.members.endpointsAge(endpoint.node, now);
    m_wasOnTrial = endpoint.onTrial;
    return true;
}

Duration GateRequest::maxNearWait() const
{
    // The rest of the target latency is for the run and the transfer.
    constexpr int TargetDivisor = 4;
    if (m_body.size() < LargeBodyBytes)
        return {};
    const Duration target = std::chrono::milliseconds(m_latencyTargetMs);
    return (target > Duration::zero() ? target : m_deadline - m_arrived) / TargetDivisor;
}

TrafficClass GateRequest::trafficClass() const
{
    // A large body would delay the short requests on the same connection.
    const bool isLong = m_requestClass == RequestClass::Long || m_body.size() >= LargeBodyBytes;
    return isLong ? TrafficClass::Long : TrafficClass::Short;
}

ExchangeHandler GateRequest::dispatchHandler()
{
    const int attempt = ++m_startedAttempts;
    m_attempt = attempt;
    ExchangeHandler handler;
    handler.reply = [this, attempt](const std::string &envelope) {
        isSilent(attempt) ? onSilentReply(envelope) : onDispatchReply(envelope);
    };
    handler.data = [this, attempt](std::string_view bytes) {
        if (!m_streaming || isSilent(attempt))
            return;
        // Flow control: the window reopens once the bytes are written to the caller's socket, so a
        // slow caller buffers at most one window here.
        m_unflushed += bytes.size();
        m_caller->write(bytes, [this] {
            if (m_exchange)
                m_exchange->consume(std::exchange(m_unflushed, 0));
        });
    };
    handler.ended = [this, attempt](ErrorCode code) {
        isSilent(attempt) ? dropSilentAttempt() : onDispatchEnd(code);
    };
    return handler;
}

void GateRequest::dispatch()
{
    m_context.picker.onRequestSent(m_endpoint);
    m_countedByPicker = true;
    m_dispatching = true;
    m_sentAt = BootClock::now();
    m_exchange = m_context.peers.channel(m_address, trafficClass())
                         .start(
                                 PeerMethod::Dispatch,
                                 [this](std::uint64_t tick) { return dispatchEnvelope(tick); },
                                 m_body, dispatchHandler());
    if (m_idempotent && !m_silent)
        startSecondAttemptTimer(hedgeDelay(m_sentAt));
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
    dispatch.set_repeat(m_failedAttempts > 0 || m_isCallOfRepeat);
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
    m_silenceTimer.stop();
    m_context.pathHealth.recordSuccess(m_node);
    schema::DispatchReply reply;
    if (!reply.ParseFromString(envelope)) {
        m_exchange->cancel();
        onDispatchEnd(ErrorCode::PeerMalformedMessage);
        return;
    }
    recordReply(reply);
    recordSample(reply);
    const auto code = errorFromNumber(reply.code());
    const bool isFailure = reply.code() != 0 || reply.status() >= FirstServerErrorStatus;
    if (isFailure && returnToSilentAttempt())
        return;
    if (reply.code() != 0) {
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
    onAnswerChosen(reply.status());
    auto headers = headersFrom(reply);
    headers.emplace_back(RequestIdHeader, m_id.toHex());
    m_streaming = true;
    m_body = {};
    m_status = reply.status();
    m_serviceTime = Duration(reply.service_us());
    const auto length = reply.length_plus_one() == 0
                                ? std::nullopt
                                : std::optional<std::uint64_t>(reply.length_plus_one() - 1);
    m_caller->start(reply.status(), headers, length);
}

void GateRequest::recordReply(const schema::DispatchReply &reply)
{
    const auto now = BootClock::now();
    if (reply.has_load()) {
        const auto &load = reply.load();
        m_context.picker.onLoadReported(
                m_endpoint,
                {load.slots(), load.free_slots(), load.queued(), Duration(load.mean_service_us())},
                now);
        if (auto *policy = hedging())
            policy->recordLoad(load.slots(), load.free_slots(), now);
    }
    m_context.calledServices.onReport(m_routeKey, reply.load(), now);
    const auto code = errorFromNumber(reply.code());
    if (code == ErrorCode::NotRunStopping)
        m_context.onOwnerStopping(m_node, reply.incarnation());
    if (reply.load().suspicion() > 0 || code == ErrorCode::EndpointFailed
        || code == ErrorCode::EndpointResponseInvalid)
        m_context.picker.onRequestFailed(m_endpoint, now);
}

void GateRequest::recordSample(const schema::DispatchReply &reply)
{
    const auto now = BootClock::now();
    const auto *config = m_context.routes.service(m_service);
    if (!config || reply.code() != 0)
        return;
    constexpr std::size_t MaxRoutes = 1024;
    auto &times = m_context.serviceViews.current(*config, now).serviceTimes;
    if (times.size() >= MaxRoutes)
        times.clear();
    auto &samples = times[{m_requestClass, m_routeKey}];
    samples.setUsual(Duration(reply.usual_us()), now);
    // Server errors are not sampled: they are often fast and would lower the baseline.
    if (reply.status() < FirstServerErrorStatus)
        samples.add(m_endpoint, Duration(reply.service_us()), now);
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
    m_silenceTimer.stop();
    // An owner without memory is reachable.
    if (code != ErrorCode::NotRunMemory)
        m_context.pathHealth.recordFailure(m_node, BootClock::now());
    if (returnToSilentAttempt())
        return;
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

} // namespace berylspur
