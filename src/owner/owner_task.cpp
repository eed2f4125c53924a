// Admission of requests, requests to endpoints, probes, deadlines and queries for outcomes.
#include "berylspur/owner/owner_task.h"

#include "berylspur/core/log.h"
#include "berylspur/core/text_escape.h"
#include "berylspur/limits/rate_limiter.h"
#include "owner_task_impl.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace berylspur {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(50);
// An endpoint without open requests is removed this long after its last announcement.
constexpr Duration EndpointRetention = std::chrono::seconds(60);
constexpr Duration ProbeTimeout = std::chrono::seconds(1);
// A running request is cancelled this long after its deadline, since its response is no longer
// useful.
constexpr Duration DeadlineGrace = std::chrono::milliseconds(250);

DetectionMode fromSchema(schema::DetectionPolicy policy)
{
    switch (policy) {
    case schema::DETECTION_PROBES:
        return DetectionMode::Probes;
    case schema::DETECTION_CONSECUTIVE_ERRORS:
        return DetectionMode::ConsecutiveErrors;
    default:
        return DetectionMode::Gray;
    }
}

DetectorPolicy detectorPolicy(schema::DetectionPolicy policy)
{
    return policy == schema::DETECTION_SPARSE ? DetectorPolicy::sparse() : DetectorPolicy {};
}

SchedulerPolicy schedulerPolicy(const schema::NodePolicy &policy)
{
    SchedulerPolicy result;
    result.unlimitedQueue = policy.queue() == schema::QUEUE_UNLIMITED;
    result.firstComeFirstServed = policy.classes() == schema::CLASS_FIRST_COME;
    result.byPriority = policy.order() == schema::ORDER_PRIORITY;
    return result;
}

/// True if \a endpoint schedules the request as a long one, whatever its route declares.
bool isLong(const schema::Dispatch &dispatch, const OwnedEndpoint &endpoint)
{
    const auto declared = requestClassFrom(dispatch.request_class());
    return endpoint.scheduler.effectiveClass(dispatch.route(), declared) == RequestClass::Long;
}

} // namespace

OwnerTask::Impl::Impl(OwnerTask &task, event_base *base, const schema::NodeSettings &settings,
                      Incarnation incarnation, const HeaderNames &names, MemoryBudget *memory)
    : m_task(task), m_base(base), m_memory(memory), m_node(settings.node().name()),
      m_announceAddress(settings.addresses().announce()), m_names(names),
      m_listensForAnnouncements(settings.integration().mode() == schema::INTEGRATION_NONE),
      m_leaseTerm(settings.integration().endpoint_lease_ms() == 0
                          ? EndpointLease::Term
                          : std::chrono::milliseconds(settings.integration().endpoint_lease_ms())),
      m_bufferBytes(settings.limits().response_buffer_bytes()), m_incarnation(incarnation),
      m_schedulerPolicy(schedulerPolicy(settings.policy())),
      m_detection(fromSchema(settings.policy().detection())),
      m_detectorPolicy(detectorPolicy(settings.policy().detection())),
      m_announceServer(
              base, m_node,
              [this](const Announcement &announcement) { handleAnnouncement(announcement); }),
      m_timer(base, [this] { tick(); })
{
    const auto &integration = settings.integration();
    const auto address = Address::parse(integration.endpoint());
    if (integration.find_endpoint() && address) {
        m_endpointFinder =
                std::make_unique<EndpointFinder>(base, address.value(), integration.service(),
                                                 names, [this](const Announcement &announcement) {
                                                     handleDiscoveredEndpoint(announcement);
                                                 });
    }
}

Result<void> OwnerTask::Impl::start()
{
    auto address = Address::parse(m_announceAddress);
    if (!address)
        return failure(address.error().code, address.error().detail);
    m_timer.start(TickInterval);
    return m_listensForAnnouncements ? m_announceServer.listen(address.value()) : success();
}

void OwnerTask::Impl::configure(const std::vector<const schema::ServiceConfig *> &changed)
{
    for (const auto *config : changed) {
        auto &stored = m_services[config->service()].config = *config;
        // The owner does not use the routes, which take most of the memory. clear_routes() would
        // keep it allocated.
        google::protobuf::RepeatedPtrField<schema::Route>().Swap(
                stored.mutable_content()->mutable_routes());
        for (auto &[id, endpoint] : m_endpoints) {
            if (endpoint->info.service == config->service())
                applyDrain(*endpoint);
        }
        if (m_endpointFinder && m_endpoints.empty()
            && config->service() == m_endpointFinder->service())
            m_endpointFinder->start(healthPath(config->service()));
    }
    publish(BootClock::now());
}

std::uint32_t OwnerTask::Impl::localConcurrencyLimit(const ServiceState &service,
                                                     const std::string &name) const
{
    const auto localEndpoints =
            std::count_if(m_endpoints.begin(), m_endpoints.end(),
                          [&](const auto &item) { return item.second->info.service == name; });
    const auto &content = service.config.content();
    return concurrencyShare(content.limits().concurrency(),
                            static_cast<std::uint32_t>(localEndpoints), content.endpoints());
}

ErrorCode OwnerTask::Impl::checkAdmission(const schema::Dispatch &dispatch,
                                          const OwnedEndpoint *endpoint, TimePoint now) const
{
    if (m_stopping)
        return ErrorCode::NotRunStopping;
    if (!endpoint || endpoint->info.service != dispatch.service())
        return ErrorCode::NotRunWrongOwner;
    if (endpoint->isDraining())
        return ErrorCode::NotRunDraining;
    if (!endpoint->lease.isValid(now))
        return ErrorCode::NotRunLeaseLapsed;
    const bool isInTrial = endpoint->detector.phase() == DetectorPhase::Trial;
    const auto trial = isInTrial ? endpoint->trialLoad() : TrialLoad {};
    if (!endpoint->detector.admits(dispatch.idempotent(), trial, now))
        return ErrorCode::NotRunEjected;
    const auto service = m_services.find(dispatch.service());
    if (service == m_services.end())
        return ErrorCode::Ok;
    const auto share = localConcurrencyLimit(service->second, dispatch.service());
    // concurrencyShare() returns UINT32_MAX if unlimited, and 0 only without endpoints.
    if (share != 0 && service->second.openRequests >= share)
        return ErrorCode::NotRunConcurrencyLimit;
    return ErrorCode::Ok;
}

void OwnerTask::Impl::dispatch(const std::shared_ptr<PeerRequest> &peer)
{
    const auto now = BootClock::now();
    checkForPause(now);
    OwnedRequest request;
    auto &dispatch = request.dispatch;
    const bool parsed = dispatch.ParseFromString(peer->envelope());
    const auto id = RequestId::fromBytes(dispatch.request_id());
    if (!parsed || !id) {
        peer->abort();
        return;
    }
    const auto age = peer->maxTransitTime(dispatch.last_tick(), Duration(dispatch.tick_held_us()));
    const Duration remaining = std::chrono::milliseconds(dispatch.remaining_ms());
    const auto found = m_endpoints.find(dispatch.endpoint());
    auto *endpoint = found == m_endpoints.end() ? nullptr : found->second.get();
    if (age >= remaining) {
        refuse(*peer, dispatch, ErrorCode::NotRunExpiredInTransit, {}, endpoint);
        return;
    }
    // A gate may come back with an idempotent request that was revoked or cancelled here.
    if (dispatch.idempotent())
        m_ledger.forget(*id);
    if (const auto phase = m_ledger.phase(*id)) {
        // The id is already known, so the request must not run a second time. A revoked request
        // will never run; for the other phases the outcome is reported as unknown here, because the
        // first dispatch delivers the response.
        const bool revoked = *phase == RequestPhase::Revoked;
        refuse(*peer, dispatch, revoked ? ErrorCode::NotRunRevoked : ErrorCode::OutcomeUnknown, {},
               endpoint);
        return;
    }
    const auto code = checkAdmission(dispatch, endpoint, now);
    if (code != ErrorCode::Ok) {
        refuse(*peer, dispatch, code, {}, endpoint);
        return;
    }
    endpoint->offered.remove(*id);
    request.peer = peer;
    request.body = peer->takePayload();
    request.responseMemory = MemoryReservation(m_memory, MemoryUse::Responses);
    request.admitted = now;
    request.deadline = now + remaining - age;
    request.requestClass = endpoint->scheduler.effectiveClass(
            dispatch.route(), requestClassFrom(dispatch.request_class()));
    endpoint->detector.addBaselineSample(requestClassFrom(dispatch.request_class()),
                                         Duration(dispatch.baseline_us()), now, dispatch.route());
    admit(*endpoint, std::move(request), *id, now);
}

void OwnerTask::Impl::admit(OwnedEndpoint &endpoint, OwnedRequest request, const RequestId &id,
                            TimePoint now)
{
    const auto queued = queuedRequest(request.dispatch, id, request.requestClass, request.deadline);
    if (const auto refusal = endpoint.scheduler.enqueue(queued, now)) {
        refuse(*request.peer, request.dispatch, refusal->code, refusal->retryAfter, &endpoint);
        return;
    }
    m_ledger.admit(id, now);
    ++m_services[endpoint.info.service].openRequests;
    request.peer->onClosed([this, name = endpoint.info.id, id] { onGateDisconnected(name, id); });
    endpoint.requests.emplace(id, std::move(request));
    startQueuedRequests(endpoint, now);
}

void OwnerTask::Impl::startQueuedRequests(OwnedEndpoint &endpoint, TimePoint now)
{
    answerDisplaced(endpoint, now);
    while (const auto next = endpoint.scheduler.startNext(now)) {
        const auto found = endpoint.requests.find(next->id);
        if (found == endpoint.requests.end() || !m_ledger.dispatch(next->id, now)) {
            endpoint.scheduler.finish(next->id, now);
            continue;
        }
        sendToEndpoint(endpoint, next->id, found->second, now);
    }
    dropExpired(endpoint, now);
}

void OwnerTask::Impl::sendToEndpoint(OwnedEndpoint &endpoint, const RequestId &id,
                                     OwnedRequest &request, TimePoint now)
{
    const auto &dispatch = request.dispatch;
    CallRequest call;
    call.method = dispatch.method();
    call.target = dispatch.target();
    call.freshConnection = !dispatch.idempotent();
    for (const auto &header : dispatch.headers())
        call.headers.emplace_back(header.name(), header.value());
    const auto add = [&call](const std::string &name, const std::string &value) {
        if (!name.empty() && !value.empty())
            call.headers.emplace_back(name, value);
    };
    if (!m_names.callerSetsIdAndDeadline)
        add(m_names.requestId, id.toHex());
    add(m_names.deadlineMs, std::to_string(toMs(request.deadline - now)));
    add(m_names.customer, dispatch.customer());
    add(m_names.targetEndpoint, endpoint.info.id);
    add(m_names.callerService, dispatch.caller_service());
    if (!dispatch.caller_request_id().empty()) {
        call.echoHeader = m_names.requestId;
        call.echoValue = dispatch.caller_request_id();
    }
    call.body = std::move(request.body);

    CallHandler handler;
    handler.headers = [this, &endpoint, id](std::uint32_t status, const HeaderList &headers) {
        onResponseHeaders(endpoint, id, status, headers);
    };
    handler.data = [this, &endpoint, id](std::string_view bytes) {
        onResponseData(endpoint, id, bytes);
    };
    handler.ended = [this, &endpoint, id](CallResult end) {
        onEndpointResponseEnd(endpoint, id, end);
    };
    auto record = decisionOn(dispatch, schema::DECISION_DISPATCH,
                             dispatch.repeat() ? "sent again" : "sent");
    addFigure(record, "waited-ms", toFractionalMs(now - request.admitted));
    addFigure(record, "remaining-ms", toFractionalMs(request.deadline - now));
    addFigure(record, "queued", endpoint.scheduler.load().queued);
    addFigure(record, "long", request.requestClass == RequestClass::Long ? 1 : 0);
    addFigure(record, "rank", dispatch.priority());
    m_task.decisionMade.emit(record);
    request.started = now;
    ++m_dispatchedCount;
    ++m_rankCounts[rankGroup(dispatch.priority())].started;
    m_calls.onRun(dispatch.route(), now);
    endpoint.detector.onRequestStarted(id, request.requestClass, now, dispatch.route());
    request.call = endpoint.client->start(call, std::move(handler));
}

void OwnerTask::Impl::fillLoad(schema::OwnerLoad &load, const OwnedEndpoint &endpoint,
                               const std::string &route) const
{
    const auto slotLoad = endpoint.scheduler.load();
    load.set_free_slots(slotLoad.freeSlots);
    load.set_queued(slotLoad.queued);
    load.set_slots(slotLoad.slots);
    load.set_mean_service_us(static_cast<std::uint32_t>(slotLoad.meanServiceTime.count()));
    load.set_suspicion(endpoint.detector.isOpenedByFloor() ? 0 : endpoint.detector.severity());
    constexpr double Percent = 100;
    for (const auto &report : m_calls.calls(route, BootClock::now())) {
        auto *called = load.add_calls();
        called->set_service(report.service);
        called->set_calls_percent(
                static_cast<std::uint32_t>(std::llround(Percent * report.callsPerRun)));
        called->set_refused_percent(
                static_cast<std::uint32_t>(std::llround(Percent * report.refusedShare)));
        called->set_usual_us(static_cast<std::uint32_t>(report.usualTime.count()));
        called->set_wait_us(static_cast<std::uint32_t>(report.wait.count()));
    }
}

void OwnerTask::Impl::failRequest(OwnedRequest &request, ErrorCode code,
                                  const OwnedEndpoint &endpoint)
{
    if (request.replied)
        request.peer->abort();
    else
        refuse(*request.peer, request.dispatch, code, {}, &endpoint);
}

void OwnerTask::Impl::removeRequest(OwnedEndpoint &endpoint, const RequestId &id, TimePoint now)
{
    endpoint.scheduler.finish(id, now);
    endpoint.requests.erase(id);
    auto &open = m_services[endpoint.info.service].openRequests;
    open -= std::min(open, 1U);
}

void OwnerTask::Impl::cancelRunning(OwnedEndpoint &endpoint, const RequestId &id,
                                    RequestOutcome outcome, TimePoint now)
{
    endpoint.detector.onRequestFinished(id, outcome, now);
    m_ledger.finish(id, std::nullopt, now);
    removeRequest(endpoint, id, now);
}

void OwnerTask::Impl::onGateDisconnected(const std::string &endpointId, const RequestId &id)
{
    const auto found = m_endpoints.find(endpointId);
    if (found == m_endpoints.end())
        return;
    auto &endpoint = *found->second;
    const auto request = endpoint.requests.find(id);
    if (request == endpoint.requests.end())
        return;
    const auto now = BootClock::now();
    request->second.isGateDisconnected = true;
    if (!request->second.call) {
        endpoint.scheduler.revoke(id);
        m_ledger.revoke(id, now);
        removeRequest(endpoint, id, now);
    } else if (request->second.dispatch.idempotent()) {
        // The slot is freed, since nothing waits for the response and a second run is harmless.
        // Non-idempotent requests run to completion, so that a later Ask finds their outcome.
        const bool isSilent = endpoint.detector.isSilent(id, now);
        cancelRunning(endpoint, id, isSilent ? RequestOutcome::Silent : RequestOutcome::Cancelled,
                      now);
    }
    startQueuedRequests(endpoint, now);
}

void OwnerTask::Impl::refuse(PeerRequest &peer, const schema::Dispatch &dispatch, ErrorCode code,
                             Duration retryAfter, const OwnedEndpoint *endpoint)
{
    ++m_refusalCounts[code];
    schema::DispatchReply reply;
    reply.set_code(static_cast<std::uint32_t>(code));
    reply.set_retry_after_ms(static_cast<std::uint32_t>(toMs(retryAfter)));
    reply.set_incarnation(m_incarnation);
    if (endpoint)
        fillLoad(*reply.mutable_load(), *endpoint, dispatch.route());
    peer.reply(reply.SerializeAsString());
    peer.finish();

    const bool shed = isOverloadRefusal(code);
    auto &counts = m_rankCounts[rankGroup(dispatch.priority())];
    counts.refused += shed ? 1 : 0;
    counts.displaced += code == ErrorCode::NotRunDisplaced ? 1 : 0;
    auto record = decisionOn(dispatch, shed ? schema::DECISION_SHED : schema::DECISION_REFUSE,
                             std::string(errorName(code)));
    record.set_code(static_cast<std::uint32_t>(code));
    if (endpoint) {
        const auto load = endpoint->scheduler.load();
        addFigure(record, "queued", load.queued);
        addFigure(record, "free-slots", load.freeSlots);
        addFigure(record, "mean-service-ms", toFractionalMs(load.meanServiceTime));
        addFigure(record, "long", isLong(dispatch, *endpoint) ? 1 : 0);
        addFigure(record, "open", static_cast<double>(endpoint->requests.size()));
        addFigure(record, "oldest-ms",
                  toFractionalMs(endpoint->oldestRequestAge(BootClock::now())));
    }
    addFigure(record, "remaining-ms", dispatch.remaining_ms());
    addFigure(record, "rank", dispatch.priority());
    m_task.decisionMade.emit(record);
}

schema::DecisionRecord OwnerTask::Impl::decisionOn(const schema::Dispatch &dispatch,
                                                   schema::DecisionKind kind,
                                                   const std::string &rule)
{
    schema::DecisionRecord record;
    record.set_kind(kind);
    record.set_service(dispatch.service());
    record.set_endpoint(dispatch.endpoint());
    record.set_rule(rule);
    const auto id = RequestId::fromBytes(dispatch.request_id());
    if (!dispatch.caller_request_id().empty())
        record.set_request_id(printableText(dispatch.caller_request_id()));
    else if (id)
        record.set_request_id(id->toHex());
    return record;
}

void OwnerTask::Impl::ask(const std::shared_ptr<PeerRequest> &peer)
{
    schema::Ask ask;
    const bool parsed = ask.ParseFromString(peer->envelope());
    const auto id = RequestId::fromBytes(ask.request_id());
    if (!parsed || !id) {
        peer->abort();
        return;
    }
    schema::AskReply reply;
    reply.set_incarnation(m_incarnation);
    std::string body;
    if (ask.owner_incarnation() != m_incarnation) {
        // Records of earlier incarnations are lost, so the outcome is unknown.
        reply.set_state(schema::REQUEST_UNKNOWN);
    } else {
        const auto now = BootClock::now();
        const auto lookup = m_ledger.ask(*id, now);
        switch (lookup.phase) {
        case RequestPhase::Queued:
        case RequestPhase::Revoked:
            reply.set_state(schema::REQUEST_REVOKED);
            break;
        case RequestPhase::Dispatched:
            reply.set_state(schema::REQUEST_DISPATCHED);
            break;
        case RequestPhase::Done:
            reply.set_state(schema::REQUEST_DONE);
            break;
        }
        if (lookup.response) {
            reply.set_answer_kept(true);
            reply.set_status(lookup.response->status);
            body = lookup.response->body;
            for (const auto &[name, value] : lookup.response->headers) {
                auto *header = reply.add_headers();
                header->set_name(name);
                header->set_value(value);
            }
        }
    }
    peer->reply(reply.SerializeAsString());
    peer->write(body);
    peer->finish();
}

void OwnerTask::Impl::checkForPause(TimePoint now)
{
    const auto gap = m_pauseDetector.recordHeartbeat(now);
    if (!gap)
        return;
    // The announcements from before the pause may be outdated, so no endpoint receives requests
    // until its next announcement.
    log::warn("pause-noticed", {{"gap-ms", toMs(*gap)}});
    for (auto &[id, endpoint] : m_endpoints)
        endpoint->lease.expire();
}

void OwnerTask::Impl::tick()
{
    m_timer.start(TickInterval);
    const auto now = BootClock::now();
    checkForPause(now);
    for (auto &[id, endpoint] : m_endpoints)
        tickEndpoint(*endpoint, now);
    std::erase_if(m_endpoints, [&](const auto &item) {
        const auto &endpoint = *item.second;
        return endpoint.requests.empty() && now - endpoint.lastAnnounced > EndpointRetention;
    });
    m_incarnations.expire(now);
    m_calls.expire(now);
    m_ledger.expire(now);
    publish(now);
}

void OwnerTask::Impl::tickEndpoint(OwnedEndpoint &endpoint, TimePoint now)
{
    cancelPastDeadline(endpoint, now);
    endpoint.detector.tick(now);
    recordChanges(endpoint, now);
    startQueuedRequests(endpoint, now);
    probe(endpoint, now);
}

void OwnerTask::Impl::dropExpired(OwnedEndpoint &endpoint, TimePoint now)
{
    for (const auto &id : endpoint.scheduler.takeExpired(now))
        dropQueued(endpoint, id, ErrorCode::NotRunDeadline, {}, now);
}

void OwnerTask::Impl::answerDisplaced(OwnedEndpoint &endpoint, TimePoint now)
{
    for (const auto &displaced : endpoint.scheduler.takeDisplaced()) {
        dropQueued(endpoint, displaced.id, ErrorCode::NotRunDisplaced, displaced.retryAfter, now);
    }
}

void OwnerTask::Impl::dropQueued(OwnedEndpoint &endpoint, const RequestId &id, ErrorCode code,
                                 Duration retryAfter, TimePoint now)
{
    const auto found = endpoint.requests.find(id);
    if (found == endpoint.requests.end())
        return;
    m_ledger.revoke(id, now);
    auto &request = found->second;
    if (!request.isGateDisconnected)
        refuse(*request.peer, request.dispatch, code, retryAfter, &endpoint);
    removeRequest(endpoint, id, now);
}

void OwnerTask::Impl::cancelPastDeadline(OwnedEndpoint &endpoint, TimePoint now)
{
    std::vector<RequestId> overdue;
    for (const auto &[id, request] : endpoint.requests) {
        if (request.call && now > request.deadline + DeadlineGrace)
            overdue.push_back(id);
    }
    for (const auto &id : overdue) {
        auto &request = endpoint.requests.at(id);
        if (!request.isGateDisconnected)
            failRequest(request, ErrorCode::OutcomeUnknown, endpoint);
        cancelRunning(endpoint, id, RequestOutcome::TimedOut, now);
    }
}

std::string OwnerTask::Impl::healthPath(const std::string &service) const
{
    const auto found = m_services.find(service);
    const auto path = found == m_services.end() ? std::string()
                                                : found->second.config.content().health_path();
    return path.empty() ? "/health" : path;
}

void OwnerTask::Impl::probe(OwnedEndpoint &endpoint, TimePoint now)
{
    if (endpoint.probe) {
        if (now - endpoint.probeStarted > ProbeTimeout) {
            endpoint.probe.reset();
            endpoint.detector.recordProbe(false, now);
        }
        return;
    }
    if (!endpoint.lease.isValid(now) || !endpoint.detector.isProbeDue(now)
        || endpoint.scheduler.load().freeSlots == 0)
        return;
    CallRequest call;
    call.method = "GET";
    call.target = healthPath(endpoint.info.service);
    CallHandler handler;
    auto status = std::make_shared<std::uint32_t>(0);
    handler.headers = [status](std::uint32_t value, const HeaderList &) { *status = value; };
    handler.ended = [this, &endpoint, status](CallResult end) {
        const auto finished = std::move(endpoint.probe);
        endpoint.detector.recordProbe(end == CallResult::Complete && *status == 200,
                                      BootClock::now());
    };
    endpoint.probeStarted = now;
    endpoint.probe = endpoint.client->start(call, std::move(handler));
}

OwnerTask::OwnerTask(event_base *base, const schema::NodeSettings &settings,
                     Incarnation incarnation, const HeaderNames &names, MemoryBudget *memory)
    : m_impl(std::make_unique<Impl>(*this, base, settings, incarnation, names, memory))
{
}

OwnerTask::~OwnerTask() = default;

Result<void> OwnerTask::start()
{
    return m_impl->start();
}

bool OwnerTask::announce(const Announcement &announcement)
{
    return m_impl->handleAnnouncement(announcement);
}

void OwnerTask::withdraw(const Withdrawal &withdrawal)
{
    m_impl->handleWithdrawal(withdrawal);
}

void OwnerTask::waitForHistory()
{
    m_impl->waitForHistory();
}

void OwnerTask::learnIncarnations(const std::vector<schema::EndpointRecord> &records)
{
    m_impl->learnIncarnations(records);
}

void OwnerTask::endWaitForHistory()
{
    m_impl->endWaitForHistory();
}

void OwnerTask::configure(const std::vector<const schema::ServiceConfig *> &changed)
{
    m_impl->configure(changed);
}

void OwnerTask::dispatch(const std::shared_ptr<PeerRequest> &request)
{
    m_impl->dispatch(request);
}

void OwnerTask::offer(const std::shared_ptr<PeerRequest> &request)
{
    m_impl->offer(request);
}

void OwnerTask::ask(const std::shared_ptr<PeerRequest> &request)
{
    m_impl->ask(request);
}

ParentRun OwnerTask::parentRun(const std::string &id) const
{
    const auto *parent = m_impl->parentOf(id);
    if (!parent)
        return {};
    const auto &dispatch = parent->dispatch;
    return {dispatch.repeat() ? ParentRun::Kind::Repeat : ParentRun::Kind::First,
            dispatch.customer(), dispatch.priority()};
}

void OwnerTask::onNestedCallEnded(const NestedCallEnded &call)
{
    m_impl->onNestedCallEnded(call);
}

void OwnerTask::setHeldByFloor(const std::string &endpoint, bool held)
{
    m_impl->setHeldByFloor(endpoint, held);
}

void OwnerTask::stop()
{
    m_impl->stop();
}

void OwnerTask::refuseQueuedRequests()
{
    m_impl->refuseQueuedRequests();
}

std::size_t OwnerTask::openRequests() const
{
    return m_impl->openRequests();
}

nlohmann::json OwnerTask::dump() const
{
    return m_impl->dump();
}

std::string OwnerTask::metrics() const
{
    return m_impl->metrics();
}

} // namespace berylspur
