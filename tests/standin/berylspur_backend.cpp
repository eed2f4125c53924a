// Stand-in for backend servers: endpoints with slots, cold start, drain, cancellation, deadlines,
// load shedding and injected faults. It logs every start and end of a request by id; tests use this
// log as ground truth.
#include "berylspur/core/address.h"
#include "berylspur/core/enum_table.h"
#include "berylspur/core/ids.h"
#include "endless_response.h"
#include "endpoint_protocol.h"
#include "http_support.h"

#include <CLI/CLI.hpp>
#include <chrono>
#include <csignal>
#include <deque>
#include <fcntl.h>
#include <iostream>
#include <map>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_map>

using namespace berylspur;
using namespace berylspur::standin;
using nlohmann::json;

namespace {

enum class State { Ready, Cold, Draining };

constexpr EnumTable<State, 3> StateNames {{
        {State::Ready, "ready"},
        {State::Cold, "cold"},
        {State::Draining, "draining"},
}};

struct Options
{
    std::string id;
    std::string service;
    std::string listen;
    std::string announce;
    std::string logFile;
    ProtocolKind protocol = ProtocolKind::Own;
    int announceMs = 500;
    double serveAfterDrainMs = 0; ///< minimum time to keep serving after SIGTERM
    int endpoints = 1;
    int slots = 4;
    int queue = 64;
    double serviceTimeMs = 10;
    double longTimeMs = 1000;
    double jitter = 0;
    double probeMs = 25;
    double connectionMs = 1;
    double coldMs = 0;
    double coldFactor = 5;
    double stopLimitMs = 300000;
    std::uint64_t seed = 1;
};

/// Faults set by POST /faults. A field that the request omits is reset to its default.
struct Faults
{
    bool stall = false; ///< every request stalls once it holds a slot
    double stallShare = 0;
    double slowFactor = 1;
    double errorShare = 0;
    double resetShare = 0;
    bool truncate = false;
    double flapMs = 0; ///< stalls in every other period of this length
    bool ignoreDrain = false; ///< accepts requests while draining
    bool stallProbes = false; ///< stalls also affect health probes
    bool failProbes = false;
    bool silent = false; ///< sends no announcements
    bool dropResponses = false; ///< runs requests, then closes the connection without a response
    std::optional<int> reportedBusy; ///< overrides the values in /load
    std::optional<int> reportedQueued;

    static Faults fromJson(const json &value)
    {
        Faults faults;
        faults.stall = value.value("stall", faults.stall);
        faults.stallShare = value.value("stall-share", faults.stallShare);
        faults.slowFactor = value.value("slow-factor", faults.slowFactor);
        faults.errorShare = value.value("error-share", faults.errorShare);
        faults.resetShare = value.value("reset-share", faults.resetShare);
        faults.truncate = value.value("truncate", faults.truncate);
        faults.flapMs = value.value("flap-ms", faults.flapMs);
        faults.ignoreDrain = value.value("ignore-drain", faults.ignoreDrain);
        faults.stallProbes = value.value("stall-probes", faults.stallProbes);
        faults.failProbes = value.value("fail-probes", faults.failProbes);
        faults.silent = value.value("silent", faults.silent);
        faults.dropResponses = value.value("drop-answers", faults.dropResponses);
        if (value.contains("reported-busy"))
            faults.reportedBusy = value["reported-busy"].get<int>();
        if (value.contains("reported-queued"))
            faults.reportedQueued = value["reported-queued"].get<int>();
        return faults;
    }
};

/// Starts and ends of one request id or idempotency key.
struct Counts
{
    int started = 0;
    int finished = 0;
    std::string key;
};

/// Requests that one endpoint ran, by request id and by Idempotency-Key.
class ExecutionLog
{
public:
    ExecutionLog(std::string endpoint, int file) : m_endpoint(std::move(endpoint)), m_file(file) { }

    void start(const std::string &id, const std::string &key)
    {
        auto &counts = m_requests[id];
        ++counts.started;
        counts.key = key;
        if (!key.empty())
            ++m_keys[key].started;
        append("start", id, key);
    }
    void finish(const std::string &id, const std::string &key)
    {
        ++m_requests[id].finished;
        if (!key.empty())
            ++m_keys[key].finished;
        append("finish", id, key);
    }
    /// Records an event that does not change the counts, such as "shed", "cancel" or "deadline".
    void recordEvent(const char *event, const std::string &id, const std::string &key)
    {
        ++m_eventCounts[event];
        append(event, id, key);
    }
    json toJson() const
    {
        json requests = json::object();
        json keys = json::object();
        for (const auto &[id, counts] : m_requests) {
            requests[id] = {{"started", counts.started},
                            {"finished", counts.finished},
                            {"key", counts.key}};
        }
        for (const auto &[key, counts] : m_keys)
            keys[key] = {{"started", counts.started}, {"finished", counts.finished}};
        return {{"endpoint", m_endpoint},
                {"requests", requests},
                {"keys", keys},
                {"notes", m_eventCounts}};
    }

private:
    void append(const char *event, const std::string &id, const std::string &key)
    {
        if (m_file < 0)
            return;
        const json line = {{"endpoint", m_endpoint},
                           {"event", event},
                           {"id", id},
                           {"key", key},
                           {"at-ms", unixMs()}};
        const std::string text = line.dump() + "\n";
        // A single write per line, because several processes append to the same file.
        if (write(m_file, text.data(), text.size()) < 0)
            std::cerr << "cannot append to the execution log\n";
    }

    std::string m_endpoint;
    int m_file;
    std::map<std::string, Counts> m_requests;
    std::map<std::string, Counts> m_keys;
    std::map<std::string, int> m_eventCounts;
};

class Endpoint;

enum class WorkKind { Request, Probe };
enum class WorkPhase { Queued, Running, Sending };

/// A request or probe, from its arrival to the end of its response.
struct Work
{
    Endpoint *endpoint = nullptr;
    evhttp_request *request = nullptr;
    evhttp_connection *connection = nullptr;
    WorkKind kind = WorkKind::Request;
    WorkPhase phase = WorkPhase::Queued;
    std::string id;
    std::string key;
    std::string token;
    double workMs = 0;
    std::optional<std::size_t> bytes;
    std::optional<EndlessPart> endless;
    std::string endlessBytes; ///< written each time the previous bytes are sent
    std::size_t sent = 0;
    bool truncate = false;
    EventPtr timer;
    EventPtr deadlineTimer;
    EventPtr closeEvent;
};

class Endpoint
{
public:
    Endpoint(event_base *base, const Options &options, std::string id, const Address &listen,
             int logFile, std::uint64_t seed)
        : m_base(base), m_options(options), m_id(std::move(id)), m_listen(listen),
          m_log(m_id, logFile), m_random(seed), m_started(std::chrono::steady_clock::now()),
          m_protocol(protocolOf(options.protocol)), m_startedAtMs(unixMs())
    {
    }
    Endpoint(const Endpoint &) = delete;
    Endpoint &operator=(const Endpoint &) = delete;
    ~Endpoint()
    {
        if (m_nodeConnection)
            evhttp_connection_free(m_nodeConnection);
    }

    bool listen()
    {
        m_server.reset(evhttp_new(m_base));
        evhttp_set_timeout(m_server.get(), 3600);
        evhttp_set_max_body_size(m_server.get(), 64 << 20);
        evhttp_set_allowed_methods(m_server.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST
                                                           | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT
                                                           | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS
                                                           | EVHTTP_REQ_PATCH);
        evhttp_set_bevcb(m_server.get(), &Endpoint::onConnection, this);
        evhttp_set_gencb(m_server.get(), &Endpoint::onRequest, this);
        if (evhttp_bind_socket(m_server.get(), m_listen.ip.c_str(), m_listen.port) != 0)
            return false;
        if (m_options.coldMs > 0)
            m_state = State::Cold;
        if (!m_options.announce.empty()) {
            m_announceTimer.reset(event_new(m_base, -1, EV_PERSIST, &Endpoint::onAnnounce, this));
            constexpr int UnacknowledgedIntervalMs = 500; // until a node acknowledges the endpoint
            const timeval interval =
                    toTimeval(std::min(UnacknowledgedIntervalMs, m_options.announceMs));
            event_add(m_announceTimer.get(), &interval);
            announce();
        }
        return true;
    }

    void drain()
    {
        m_state = State::Draining;
        announce();
    }

    /// Deregisters the endpoint, if the protocol has such a call.
    void deregister()
    {
        if (!m_protocol.deregisterTarget.empty() && !std::exchange(m_isDeregistered, true))
            postToNode(m_protocol.deregisterTarget + m_id, {{"born", m_startedAtMs}},
                       "withdraw-acked");
    }

    bool isIdle() const { return m_work.empty(); }

private:
    State state()
    {
        if (m_state == State::Cold && m_options.coldMs > 0 && sinceStartMs() >= m_options.coldMs)
            m_state = State::Ready;
        return m_state;
    }

    double sinceStartMs() const
    {
        return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now()
                                                         - m_started)
                .count();
    }

    bool drawWithProbability(double share)
    {
        return share > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < share;
    }

    bool shouldStall(const Work &work)
    {
        if (work.kind == WorkKind::Probe && !m_faults.stallProbes)
            return false;
        const bool flapping =
                m_faults.flapMs > 0 && static_cast<long>(sinceStartMs() / m_faults.flapMs) % 2 == 1;
        return m_faults.stall || flapping || drawWithProbability(m_faults.stallShare);
    }

    static bufferevent *onConnection(event_base *, void *self)
    {
        auto *endpoint = static_cast<Endpoint *>(self);
        ++endpoint->m_connections;
        endpoint->m_pendingConnectionCostMs += endpoint->m_options.connectionMs;
        return nullptr;
    }

    static void onRequest(evhttp_request *request, void *self)
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
            endpoint->accept(request, target == endpoint->m_protocol.healthPath
                                              ? WorkKind::Probe
                                              : WorkKind::Request);
    }

    json load() const
    {
        return {{"id", m_id},
                {"slots", m_options.slots},
                {"busy", m_faults.reportedBusy.value_or(m_busy)},
                {"queued", m_faults.reportedQueued.value_or(static_cast<int>(m_queue.size()))},
                {"connections", m_connections}};
    }

    void setFaults(evhttp_request *request)
    {
        try {
            m_faults = Faults::fromJson(json::parse(body(request)));
        } catch (const json::exception &e) {
            return replyJson(request, 400, {{"error", e.what()}});
        }
        resumeStalled();
        replyJson(request, 200, {{"id", m_id}});
    }

    void setState(evhttp_request *request)
    {
        const json value = json::parse(body(request), nullptr, false);
        const auto wanted = value.is_object()
                                    ? enumValue(StateNames, value.value("state", std::string()))
                                    : std::nullopt;
        if (!wanted)
            return replyJson(request, 400, {{"error", "state must be ready, cold or draining"}});
        m_state = *wanted;
        announce();
        replyJson(request, 200, {{"id", m_id}, {"state", enumName(StateNames, m_state)}});
    }

    void accept(evhttp_request *request, WorkKind kind)
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
        const bool isRefused = kind == WorkKind::Request && state() == State::Draining
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

    /// Rejects a request that the protocol forbids this endpoint to run: one for another endpoint,
    /// or one without an id. Returns true if it was rejected.
    bool rejectIfNotRunnable(const Work &work)
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

    void addNotExecutedHeader(evhttp_request *request) const
    {
        if (m_protocol.notExecuted)
            evhttp_add_header(evhttp_request_get_output_headers(request), m_protocol.notExecuted,
                              "1");
    }

    /// Adds the headers that every response carries.
    void addHeaders(const Work &work)
    {
        auto *headers = evhttp_request_get_output_headers(work.request);
        const auto add = [headers](const char *name, const std::string &value) {
            if (name)
                evhttp_add_header(headers, name, value.c_str());
        };
        add(m_protocol.endpointLoad, std::to_string(m_busy) + "," + std::to_string(m_queue.size())
                                             + "," + std::to_string(m_options.slots));
        if (work.kind == WorkKind::Probe) {
            add(m_protocol.endpointId, m_id);
            return;
        }
        if (m_protocol.signature) {
            add(m_protocol.requestId, work.id);
            add(m_protocol.signature, "sig-" + work.id);
        }
    }

    double workMs(evhttp_request *request, WorkKind kind)
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

    /// evhttp does not read while a request is in progress, so it does not notice that the caller
    /// closed the connection. EV_CLOSED reports this without reading.
    void watchConnection(Work &work)
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

    void startQueued()
    {
        while (m_busy < m_options.slots && !m_queue.empty()) {
            Work *work = m_queue.front();
            m_queue.pop_front();
            start(*work);
        }
    }

    void start(Work &work)
    {
        ++m_busy;
        work.phase = WorkPhase::Running;
        if (work.kind == WorkKind::Request)
            m_log.start(work.id, work.key);
        if (shouldStall(work))
            return;
        runFor(work, work.workMs);
    }

    void runFor(Work &work, double ms)
    {
        double total = ms * m_faults.slowFactor + m_pendingConnectionCostMs;
        m_pendingConnectionCostMs = 0;
        if (state() == State::Cold)
            total *= m_options.coldFactor;
        work.timer.reset(event_new(m_base, -1, 0, &Endpoint::onWorkDone, &work));
        const timeval delay = toTimeval(total);
        event_add(work.timer.get(), &delay);
    }

    /// Runs stalled requests after the fault was cleared.
    void resumeStalled()
    {
        for (const auto &[raw, work] : m_work) {
            if (work->phase == WorkPhase::Running && !work->timer && !shouldStall(*work))
                runFor(*work, work->workMs);
        }
    }

    static void onWorkDone(evutil_socket_t, short, void *context)
    {
        auto *work = static_cast<Work *>(context);
        work->endpoint->finish(*work);
    }

    void finish(Work &work)
    {
        if (work.kind == WorkKind::Request)
            m_log.finish(work.id, work.key);
        work.phase = WorkPhase::Sending;
        work.closeEvent.reset();
        work.deadlineTimer.reset();
        addHeaders(work);
        if (work.kind == WorkKind::Probe) {
            const bool isLeaving = m_protocol.servesWhileDraining && state() == State::Draining;
            return replyJson(work.request, m_faults.failProbes || isLeaving ? 503 : 200,
                             {{"id", m_id}, {"state", enumName(StateNames, state())}});
        }
        if (work.endless)
            return startEndless(work);
        if (m_faults.dropResponses)
            return abortConnection(work, false);
        if (drawWithProbability(m_faults.resetShare))
            return abortConnection(work, true);
        if (drawWithProbability(m_faults.errorShare))
            return replyJson(work.request, 500, {{"error", "fault"}, {"endpoint", m_id}});
        work.truncate = m_faults.truncate;
        if ((work.bytes || work.truncate)
            && evhttp_request_get_command(work.request) != EVHTTP_REQ_HEAD)
            return startStream(work);
        replyJson(work.request, 200,
                  {{"id", work.id},
                   {"endpoint", m_id},
                   {"service", m_options.service},
                   {"caller-service", m_protocol.callerService
                                              ? header(work.request, m_protocol.callerService)
                                              : std::string()},
                   {"token", work.token}});
    }

    /// Streams the body for `?bytes=N`: lines with the token of the request, cut off at N bytes.
    void startStream(Work &work)
    {
        if (!work.bytes)
            work.bytes = 4096;
        evkeyvalq *headers = evhttp_request_get_output_headers(work.request);
        evhttp_add_header(headers, "Content-Length", std::to_string(*work.bytes).c_str());
        evhttp_add_header(headers, "Content-Type", "text/plain");
        evhttp_send_reply_start(work.request, 200, "OK");
        sendChunk(work);
    }

    void sendChunk(Work &work)
    {
        constexpr std::size_t ChunkBytes = 64 << 10;
        const std::size_t end = work.truncate ? *work.bytes / 2 : *work.bytes;
        const std::size_t size = std::min(ChunkBytes, end - work.sent);
        if (size == 0) {
            if (work.truncate)
                return abortConnection(work, false);
            return evhttp_send_reply_end(work.request);
        }
        const std::string line = work.token + "\n";
        std::string text;
        text.reserve(size + line.size());
        std::size_t offset = work.sent % line.size();
        while (text.size() < size) {
            text.append(line, offset, std::string::npos);
            offset = 0;
        }
        work.sent += size;
        const BufferPtr buffer(evbuffer_new());
        evbuffer_add(buffer.get(), text.data(), size);
        evhttp_send_reply_chunk_with_cb(work.request, buffer.get(), &Endpoint::onChunkSent, &work);
    }

    static void onChunkSent(evhttp_connection *, void *context)
    {
        auto *work = static_cast<Work *>(context);
        work->endpoint->sendChunk(*work);
    }

    /// Sends a response with a part that has no end, for `?endless=PART`, until the caller closes.
    void startEndless(Work &work)
    {
        constexpr std::size_t WriteBytes = 256 << 10;
        const auto response = endlessResponse(*work.endless);
        while (work.endlessBytes.size() < WriteBytes)
            work.endlessBytes.append(response.repeated);
        auto *connection = evhttp_connection_get_bufferevent(work.connection);
        bufferevent_setcb(connection, nullptr, &Endpoint::onEndlessSent, &Endpoint::onEndlessClosed,
                          &work);
        bufferevent_write(connection, response.start.data(), response.start.size());
        bufferevent_enable(connection, EV_READ | EV_WRITE);
        onEndlessSent(connection, &work);
    }

    static void onEndlessSent(bufferevent *connection, void *context)
    {
        const auto &bytes = static_cast<Work *>(context)->endlessBytes;
        bufferevent_write(connection, bytes.data(), bytes.size());
    }

    static void onEndlessClosed(bufferevent *connection, short, void *context)
    {
        auto *work = static_cast<Work *>(context);
        bufferevent_setcb(connection, nullptr, nullptr, nullptr, nullptr);
        work->endpoint->m_log.recordEvent("endless-closed", work->id, work->key);
        work->endpoint->abortConnection(*work, false);
    }

    /// Closes the connection from the event loop, because evhttp still uses it in its callbacks.
    void abortConnection(Work &work, bool reset)
    {
        if (reset) {
            const linger abortive {1, 0};
            const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(work.connection));
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &abortive, sizeof abortive);
        }
        work.timer.reset(event_new(m_base, -1, 0, &Endpoint::onAbort, &work));
        const timeval now {0, 0};
        event_add(work.timer.get(), &now);
    }

    static void onAbort(evutil_socket_t, short, void *context)
    {
        auto *work = static_cast<Work *>(context);
        evhttp_connection_free(work->connection);
    }

    static void onSent(evhttp_request *, void *context)
    {
        auto *work = static_cast<Work *>(context);
        evhttp_connection_set_closecb(work->connection, nullptr, nullptr);
        work->endpoint->remove(*work);
    }

    /// The caller closed the connection, which cancels the request.
    static void onClosed(evutil_socket_t, short, void *context)
    {
        auto *work = static_cast<Work *>(context);
        evhttp_connection_free(work->connection);
    }

    static void onConnectionFreed(evhttp_connection *, void *context)
    {
        auto *work = static_cast<Work *>(context);
        if (work->kind == WorkKind::Request && work->phase != WorkPhase::Sending)
            work->endpoint->m_log.recordEvent("cancel", work->id, work->key);
        work->endpoint->remove(*work);
    }

    static void onDeadline(evutil_socket_t, short, void *context)
    {
        auto *work = static_cast<Work *>(context);
        Endpoint *self = work->endpoint;
        self->m_log.recordEvent("deadline", work->id, work->key);
        work->timer.reset();
        work->closeEvent.reset();
        std::erase(self->m_queue, work);
        const bool ran = work->phase == WorkPhase::Running;
        if (!ran)
            ++self->m_busy; // remove() releases a slot for every request that is not queued
        work->phase = WorkPhase::Sending;
        if (!ran)
            self->addNotExecutedHeader(work->request);
        replyJson(work->request, ran ? 504 : 503, {{"error", "deadline"}});
    }

    void remove(Work &work)
    {
        if (work.phase == WorkPhase::Queued)
            std::erase(m_queue, &work);
        else
            --m_busy;
        m_work.erase(&work);
        startQueued();
    }

    static void onAnnounce(evutil_socket_t, short, void *self)
    {
        static_cast<Endpoint *>(self)->announce();
    }

    void announce()
    {
        // Keeps announcements from accumulating while the node is paused.
        constexpr int MaxCallsInFlight = 2;
        if (m_options.announce.empty() || m_faults.silent || m_isDeregistered
            || m_callsInFlight >= MaxCallsInFlight)
            return;
        const auto draining = state() == State::Draining;
        const EndpointInfo self {m_id,
                                 m_options.service,
                                 m_listen.toString(),
                                 m_options.slots,
                                 draining,
                                 state() == State::Cold ? m_options.coldMs - sinceStartMs() : 0,
                                 m_startedAtMs,
                                 ++m_sequence};
        postToNode(m_protocol.announceTarget + (m_protocol.idInTarget ? m_id : std::string()),
                   m_protocol.announcement(self), draining ? "drain-acked" : nullptr);
    }

    /// Posts \a message to the node. A 2xx response adds \a event to the execution log.
    void postToNode(const std::string &target, const json &message, const char *event)
    {
        struct Call
        {
            Endpoint *endpoint;
            const char *event;
        };
        ++m_callsInFlight;
        const auto node = Address::parse(m_options.announce).value();
        if (!m_nodeConnection) {
            m_nodeConnection =
                    evhttp_connection_base_new(m_base, nullptr, node.ip.c_str(), node.port);
            evhttp_connection_set_timeout(m_nodeConnection, 2);
        }
        evhttp_request *request = evhttp_request_new(
                [](evhttp_request *response, void *context) {
                    const std::unique_ptr<Call> call(static_cast<Call *>(context));
                    --call->endpoint->m_callsInFlight;
                    if (response && evhttp_request_get_response_code(response) / 100 == 2)
                        call->endpoint->onAcknowledged(call->event);
                },
                new Call {this, event});
        evkeyvalq *headers = evhttp_request_get_output_headers(request);
        evhttp_add_header(headers, "Host", m_options.announce.c_str());
        evhttp_add_header(headers, "Content-Type", "application/json");
        const std::string text = message.dump();
        evbuffer_add(evhttp_request_get_output_buffer(request), text.data(), text.size());
        evhttp_make_request(m_nodeConnection, request, EVHTTP_REQ_POST, target.c_str());
    }

    void onAcknowledged(const char *event)
    {
        // Only the platform protocol promises that no new work arrives after the acknowledgement.
        if (event && !m_protocol.deregisterTarget.empty())
            m_log.recordEvent(event, "", "");
        if (std::exchange(m_acknowledged, true))
            return;
        const timeval interval = toTimeval(m_options.announceMs);
        event_add(m_announceTimer.get(), &interval);
    }

    event_base *m_base;
    const Options &m_options;
    std::string m_id;
    Address m_listen;
    ServerPtr m_server;
    ExecutionLog m_log;
    Random m_random;
    std::chrono::steady_clock::time_point m_started;
    const EndpointProtocol &m_protocol;
    std::int64_t m_startedAtMs;
    std::uint64_t m_sequence = 0;
    bool m_isDeregistered = false;
    bool m_acknowledged = false; ///< a node has acknowledged at least one announcement
    State m_state = State::Ready;
    Faults m_faults;
    std::unordered_map<Work *, std::unique_ptr<Work>> m_work;
    std::deque<Work *> m_queue;
    int m_busy = 0; ///< requests past Queued; each holds a slot until its response is sent
    int m_connections = 0;
    double m_pendingConnectionCostMs = 0; ///< cost of new connections, charged to the next request
    evhttp_connection *m_nodeConnection = nullptr;
    EventPtr m_announceTimer;
    int m_callsInFlight = 0;
};

/// Runs the endpoints of the process and its graceful shutdown.
class Backend
{
public:
    explicit Backend(Options options) : m_options(std::move(options)), m_base(event_base_new()) { }

    int run()
    {
        const auto first = Address::parse(m_options.listen);
        if (!first || (!m_options.announce.empty() && !Address::parse(m_options.announce))) {
            std::cerr << "addresses must be IP:port\n";
            return 2;
        }
        int logFile = -1;
        if (!m_options.logFile.empty()) {
            logFile = open(m_options.logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                           0644);
        }
        for (int i = 0; i < m_options.endpoints; ++i) {
            Address listen = first.value();
            listen.port = static_cast<std::uint16_t>(listen.port + i);
            const std::string id = m_options.endpoints == 1
                                           ? m_options.id
                                           : m_options.id + "-" + std::to_string(i + 1);
            m_endpoints.push_back(
                    std::make_unique<Endpoint>(m_base.get(), m_options, id, listen, logFile,
                                               m_options.seed + static_cast<std::uint64_t>(i)));
            if (!m_endpoints.back()->listen()) {
                std::cerr << "cannot listen on " << listen.toString() << "\n";
                return 1;
            }
        }
        const EventPtr onTerm(evsignal_new(m_base.get(), SIGTERM, &Backend::onStop, this));
        const EventPtr onInt(evsignal_new(m_base.get(), SIGINT, &Backend::onStop, this));
        event_add(onTerm.get(), nullptr);
        event_add(onInt.get(), nullptr);
        event_base_dispatch(m_base.get());
        m_endpoints.clear();
        return 0;
    }

private:
    static void onStop(evutil_socket_t, short, void *context)
    {
        auto *self = static_cast<Backend *>(context);
        for (const auto &endpoint : self->m_endpoints)
            endpoint->drain();
        self->m_stopping = std::chrono::steady_clock::now();
        self->m_stopTimer.reset(
                event_new(self->m_base.get(), -1, EV_PERSIST, &Backend::onStopTimer, self));
        const timeval interval = toTimeval(50);
        event_add(self->m_stopTimer.get(), &interval);
    }

    /// Keeps serving for at least 1 s after the drain, so that the announcement arrives and
    /// requests already in flight are refused with a response.
    static void onStopTimer(evutil_socket_t, short, void *context)
    {
        auto *self = static_cast<Backend *>(context);
        const double ms = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now()
                                                                    - self->m_stopping)
                                  .count();
        const bool allIdle = std::all_of(self->m_endpoints.begin(), self->m_endpoints.end(),
                                         [](const auto &endpoint) { return endpoint->isIdle(); });
        constexpr double DeregisterWaitMs = 300; // for the response to the deregister call
        const double minServeMs = std::max(1000.0, self->m_options.serveAfterDrainMs);
        if (ms >= minServeMs) {
            for (const auto &endpoint : self->m_endpoints)
                endpoint->deregister();
        }
        const double deregisterMs = protocolOf(self->m_options.protocol).deregisterTarget.empty()
                                            ? 0
                                            : DeregisterWaitMs;
        if ((allIdle && ms >= minServeMs + deregisterMs) || ms >= self->m_options.stopLimitMs)
            event_base_loopbreak(self->m_base.get());
    }

    Options m_options;
    BasePtr m_base;
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
    EventPtr m_stopTimer;
    std::chrono::steady_clock::time_point m_stopping;
};

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Options options;
    CLI::App app("Stand-in for backend servers (tests and demo only)");
    app.add_option("--id", options.id, "Endpoint id, unique in the fleet")->required();
    app.add_option("--service", options.service, "Service of the endpoints")->required();
    app.add_option("--listen", options.listen, "IP:port of the first endpoint")->required();
    app.add_option("--announce", options.announce, "Announce address of the node on this host");
    app.add_option("--protocol", options.protocol, "Protocol of the endpoints: own or platform")
            ->transform(CLI::CheckedTransformer(std::map<std::string, ProtocolKind> {
                    {"own", ProtocolKind::Own}, {"platform", ProtocolKind::Platform}}));
    app.add_option("--announce-ms", options.announceMs, "Interval between announcements")
            ->check(CLI::Range(50, 600000));
    app.add_option("--serve-after-drain-ms", options.serveAfterDrainMs,
                   "Minimum time to keep serving after SIGTERM");
    app.add_option("--endpoints", options.endpoints, "Endpoints on consecutive ports, ids ID-1..")
            ->check(CLI::Range(1, 1000));
    app.add_option("--slots", options.slots, "Slots per endpoint")->check(CLI::Range(1, 1000));
    app.add_option("--queue", options.queue, "Queue length at which the endpoint sheds load");
    app.add_option("--service-time-ms", options.serviceTimeMs, "Service time of a short request");
    app.add_option("--long-time-ms", options.longTimeMs, "Service time of a long request");
    app.add_option("--jitter", options.jitter, "Random variation of the service time, as a share")
            ->check(CLI::Range(0.0, 1.0));
    app.add_option("--probe-ms", options.probeMs, "Service time of a probe");
    app.add_option("--connection-ms", options.connectionMs,
                   "Service time added by a new connection");
    app.add_option("--cold-ms", options.coldMs, "Duration of the cold start");
    app.add_option("--cold-factor", options.coldFactor,
                   "Service time factor during the cold start");
    app.add_option("--stop-limit-ms", options.stopLimitMs,
                   "Maximum time to wait for requests after SIGTERM");
    app.add_option("--seed", options.seed, "Seed of the random decisions");
    app.add_option("--log-file", options.logFile, "Append the execution log to this file");
    CLI11_PARSE(app, argc, argv);
    return Backend(std::move(options)).run();
}
