// Requests at an endpoint: admission, queue, slots, and the calls with which tests control it.
#include "endpoint.h"

#include <cstdlib>
#include <random>
#include <utility>

namespace berylspur::standin {

using nlohmann::json;

Endpoint::Endpoint(event_base *base, const BackendOptions &options, std::string id,
                   const Address &listen, int logFile, std::uint64_t seed)
    : m_base(base), m_options(options), m_id(std::move(id)), m_listen(listen), m_log(m_id, logFile),
      m_random(seed), m_started(std::chrono::steady_clock::now()),
      m_protocol(protocolOf(options.protocol)),
      m_announcer(base, options, m_id, listen, m_log, [this] { return announcedState(); })
{
}

bool Endpoint::listen()
{
    m_server.reset(evhttp_new(m_base));
    evhttp_set_timeout(m_server.get(), 3600);
    evhttp_set_max_body_size(m_server.get(), 64 << 20);
    evhttp_set_allowed_methods(m_server.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD
                                                       | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE
                                                       | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH);
    evhttp_set_bevcb(m_server.get(), &Endpoint::onConnection, this);
    evhttp_set_gencb(m_server.get(), &Endpoint::onRequest, this);
    if (evhttp_bind_socket(m_server.get(), m_listen.ip.c_str(), m_listen.port) != 0)
        return false;
    if (m_options.coldMs > 0)
        m_state = EndpointState::Cold;
    m_announcer.start();
    return true;
}

void Endpoint::drain()
{
    m_state = EndpointState::Draining;
    m_announcer.announce();
}

EndpointState Endpoint::state()
{
    if (m_state == EndpointState::Cold && m_options.coldMs > 0
        && sinceStartMs() >= m_options.coldMs)
        m_state = EndpointState::Ready;
    return m_state;
}

double Endpoint::sinceStartMs() const
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - m_started)
            .count();
}

AnnouncedState Endpoint::announcedState()
{
    AnnouncedState announced;
    announced.isSilent = m_faults.silent;
    announced.isDraining = state() == EndpointState::Draining;
    announced.coldMs = state() == EndpointState::Cold ? m_options.coldMs - sinceStartMs() : 0;
    return announced;
}

bool Endpoint::drawWithProbability(double share)
{
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

bool Endpoint::shouldStall(const Work &work)
{
    if (work.kind == WorkKind::Probe && !m_faults.stallProbes)
        return false;
    const bool flapping =
            m_faults.flapMs > 0 && static_cast<long>(sinceStartMs() / m_faults.flapMs) % 2 == 1;
    return m_faults.stall || flapping || drawWithProbability(m_faults.stallShare);
}

bufferevent *Endpoint::onConnection(event_base *, void *self)
{
    auto *endpoint = static_cast<Endpoint *>(self);
    ++endpoint->m_connections;
    endpoint->m_pendingConnectionCostMs += endpoint->m_options.connectionMs;
    return nullptr;
}

void Endpoint::onRequest(evhttp_request *request, void *self)
{
    auto *endpoint = static_cast<Endpoint *>(self);
    const std::string target = path(request);
    const bool post = evhttp_request_get_command(request) == EVHTTP_REQ_POST;
    if (target == "/log")
        replyJson(request, 200, endpoint->m_log.toJson());
    else if (target == "/load")
        replyJson(request, 200, endpoint->load());
    else if (target == "/faults" && post)
        endpoint->setFaults(request);
    else if (target == "/state" && post)
        endpoint->setState(request);
    else
        endpoint->accept(request, target == endpoint->m_protocol.healthPath ? WorkKind::Probe
                                                                            : WorkKind::Request);
}

json Endpoint::load() const
{
    return {{"id", m_id},
            {"slots", m_options.slots},
            {"busy", m_faults.reportedBusy.value_or(m_busy)},
            {"queued", m_faults.reportedQueued.value_or(static_cast<int>(m_queue.size()))},
            {"connections", m_connections}};
}

void Endpoint::setFaults(evhttp_request *request)
{
    try {
        m_faults = Faults::fromJson(json::parse(body(request)));
    } catch (const json::exception &e) {
        return replyJson(request, 400, {{"error", e.what()}});
    }
    resumeStalled();
    replyJson(request, 200, {{"id", m_id}});
}

void Endpoint::setState(evhttp_request *request)
{
    const json value = json::parse(body(request), nullptr, false);
    const auto wanted = value.is_object()
                                ? enumValue(EndpointStateNames, value.value("state", std::string()))
                                : std::nullopt;
    if (!wanted)
        return replyJson(request, 400, {{"error", "state must be ready, cold or draining"}});
    m_state = *wanted;
    m_announcer.announce();
    replyJson(request, 200, {{"id", m_id}, {"state", enumName(EndpointStateNames, m_state)}});
}

void Endpoint::accept(evhttp_request *request, WorkKind kind)
{
    auto work = std::make_unique<Work>();
    work->endpoint = this;
    work->request = request;
    work->connection = evhttp_request_get_connection(request);
    work->kind = kind;
    work->id = header(request, m_protocol.requestId);
    if (m_protocol.idempotencyKey)
        work->key = header(request, m_protocol.idempotencyKey);
    work->token = query(request, "token").value_or("");
    work->workMs = workMs(request, kind);
    if (const auto bytes = query(request, "bytes"))
        work->bytes = std::strtoull(bytes->c_str(), nullptr, 10);
    if (const auto part = query(request, "endless"))
        work->endless = enumValue(EndlessPartNames, *part);

    if (kind == WorkKind::Request && rejectIfNotRunnable(*work))
        return;
    const bool isRefused = kind == WorkKind::Request && state() == EndpointState::Draining
                           && !m_protocol.servesWhileDraining && !m_faults.ignoreDrain;
    if (isRefused || static_cast<int>(m_queue.size()) >= m_options.queue) {
        m_log.recordEvent("shed", work->id, work->key);
        evhttp_add_header(evhttp_request_get_output_headers(request), "Retry-After", "1");
        addNotExecutedHeader(request);
        return replyJson(request, 503, {{"error", isRefused ? "draining" : "overloaded"}});
    }
    Work *raw = work.get();
    m_work.emplace(raw, std::move(work));
    watchConnection(*raw);
    m_queue.push_back(raw);
    startQueued();
}

bool Endpoint::rejectIfNotRunnable(const Work &work)
{
    if (!m_protocol.targetEndpoint)
        return false;
    const auto target = header(work.request, m_protocol.targetEndpoint);
    const bool misdirected = !target.empty() && target != m_id;
    if (!misdirected && !work.id.empty())
        return false;
    m_log.recordEvent(misdirected ? "misdirected" : "no-id", work.id, work.key);
    addNotExecutedHeader(work.request);
    replyJson(work.request, misdirected ? StatusMisdirected : HTTP_BADREQUEST,
              {{"error", "not run"}});
    return true;
}

double Endpoint::workMs(evhttp_request *request, WorkKind kind)
{
    if (kind == WorkKind::Probe)
        return m_options.probeMs;
    double ms = m_options.serviceTimeMs;
    if (path(request).find("/long") != std::string::npos
        || query(request, "class").value_or("") == "long")
        ms = m_options.longTimeMs;
    if (const auto wanted = query(request, "work-ms"))
        ms = std::strtod(wanted->c_str(), nullptr);
    if (m_options.jitter > 0) {
        ms *= std::uniform_real_distribution<double>(1 - m_options.jitter,
                                                     1 + m_options.jitter)(m_random);
    }
    return ms;
}

void Endpoint::watchConnection(Work &work)
{
    evhttp_connection_set_closecb(work.connection, &Endpoint::onConnectionFreed, &work);
    evhttp_request_set_on_complete_cb(work.request, &Endpoint::onSent, &work);
    const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(work.connection));
    work.closeEvent.reset(event_new(m_base, fd, EV_CLOSED, &Endpoint::onClosed, &work));
    event_add(work.closeEvent.get(), nullptr);
    const std::string deadline = header(work.request, m_protocol.deadlineMs);
    if (work.kind == WorkKind::Request && !deadline.empty()) {
        work.deadlineTimer.reset(event_new(m_base, -1, 0, &Endpoint::onDeadline, &work));
        const timeval delay = toTimeval(std::strtod(deadline.c_str(), nullptr));
        event_add(work.deadlineTimer.get(), &delay);
    }
}

void Endpoint::startQueued()
{
    while (m_busy < m_options.slots && !m_queue.empty()) {
        Work *work = m_queue.front();
        m_queue.pop_front();
        start(*work);
    }
}

void Endpoint::start(Work &work)
{
    ++m_busy;
    work.phase = WorkPhase::Running;
    if (work.kind == WorkKind::Request)
        m_log.start(work.id, work.key);
    if (shouldStall(work))
        return;
    runFor(work, work.workMs);
}

void Endpoint::runFor(Work &work, double ms)
{
    double total = ms * m_faults.slowFactor + m_pendingConnectionCostMs;
    m_pendingConnectionCostMs = 0;
    if (state() == EndpointState::Cold)
        total *= m_options.coldFactor;
    work.timer.reset(event_new(m_base, -1, 0, &Endpoint::onWorkDone, &work));
    const timeval delay = toTimeval(total);
    event_add(work.timer.get(), &delay);
}

void Endpoint::resumeStalled()
{
    for (const auto &[raw, work] : m_work) {
        if (work->phase == WorkPhase::Running && !work->timer && !shouldStall(*work))
            runFor(*work, work->workMs);
    }
}

void Endpoint::remove(Work &work)
{
    if (work.phase == WorkPhase::Queued)
        std::erase(m_queue, &work);
    else
        --m_busy;
    m_work.erase(&work);
    startQueued();
}

} // namespace berylspur::standin
