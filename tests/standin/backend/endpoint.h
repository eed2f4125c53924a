// One endpoint of the backend stand-in.
#pragma once

#include "announcer.h"
#include "backend_options.h"
#include "berylspur/core/address.h"
#include "berylspur/core/enum_table.h"
#include "berylspur/core/ids.h"
#include "execution_log.h"
#include "faults.h"
#include "work.h"

#include <chrono>
#include <deque>
#include <memory>
#include <unordered_map>

namespace berylspur::standin {

enum class EndpointState { Ready, Cold, Draining };

constexpr EnumTable<EndpointState, 3> EndpointStateNames {{
        {EndpointState::Ready, "ready"},
        {EndpointState::Cold, "cold"},
        {EndpointState::Draining, "draining"},
}};

/// HTTP server with slots and a queue. Besides the requests of callers it serves /log, /load,
/// /faults and /state for the tests.
class Endpoint
{
public:
    Endpoint(event_base *base, const BackendOptions &options, std::string id, const Address &listen,
             int logFile, std::uint64_t seed);
    Endpoint(const Endpoint &) = delete;
    Endpoint &operator=(const Endpoint &) = delete;

    /// Starts to serve and to announce. Returns false if the address cannot be used.
    bool listen();
    void drain();
    /// Deregisters the endpoint, if the protocol has such a call.
    void deregister() { m_announcer.deregister(); }
    bool isIdle() const { return m_work.empty(); }

private:
    // endpoint.cpp
    EndpointState state();
    double sinceStartMs() const;
    AnnouncedState announcedState();
    bool drawWithProbability(double share);
    bool shouldStall(const Work &work);
    static bufferevent *onConnection(event_base *, void *self);
    static void onRequest(evhttp_request *request, void *self);
    nlohmann::json load() const;
    void setFaults(evhttp_request *request);
    void setState(evhttp_request *request);
    void accept(evhttp_request *request, WorkKind kind);
    /// Rejects a request that the protocol forbids this endpoint to run: one for another endpoint,
    /// or one without an id. Returns true if it was rejected.
    bool rejectIfNotRunnable(const Work &work);
    double workMs(evhttp_request *request, WorkKind kind);
    /// evhttp does not read while a request is in progress, so it does not notice that the caller
    /// closed the connection. EV_CLOSED reports this without reading.
    void watchConnection(Work &work);
    void startQueued();
    void start(Work &work);
    void runFor(Work &work, double ms);
    /// Runs stalled requests after the fault was cleared.
    void resumeStalled();
    void remove(Work &work);

    // endpoint_responses.cpp
    void addNotExecutedHeader(evhttp_request *request) const;
    /// Adds the headers that every response carries.
    void addHeaders(const Work &work);
    static void onWorkDone(evutil_socket_t, short, void *context);
    void finish(Work &work);
    /// Streams the body for `?bytes=N`: lines with the token of the request, cut off at N bytes.
    void startStream(Work &work);
    void sendChunk(Work &work);
    static void onChunkSent(evhttp_connection *, void *context);
    /// Sends a response with a part that has no end, for `?endless=PART`, until the caller closes.
    void startEndless(Work &work);
    static void onEndlessSent(bufferevent *connection, void *context);
    static void onEndlessClosed(bufferevent *connection, short, void *context);
    /// Closes the connection from the event loop, because evhttp still uses it in its callbacks.
    void abortConnection(Work &work, bool reset);
    static void onAbort(evutil_socket_t, short, void *context);
    static void onSent(evhttp_request *, void *context);
    /// The caller closed the connection, which cancels the request.
    static void onClosed(evutil_socket_t, short, void *context);
    static void onConnectionFreed(evhttp_connection *, void *context);
    static void onDeadline(evutil_socket_t, short, void *context);

    event_base *m_base;
    const BackendOptions &m_options;
    std::string m_id;
    Address m_listen;
    ServerPtr m_server;
    ExecutionLog m_log;
    Random m_random;
    std::chrono::steady_clock::time_point m_started;
    const EndpointProtocol &m_protocol;
    EndpointState m_state = EndpointState::Ready;
    Faults m_faults;
    std::unordered_map<Work *, std::unique_ptr<Work>> m_work;
    std::deque<Work *> m_queue;
    int m_busy = 0; ///< requests past Queued; each holds a slot until its response is sent
    int m_connections = 0;
    double m_pendingConnectionCostMs = 0; ///< cost of new connections, charged to the next request
    Announcer m_announcer;
};

} // namespace berylspur::standin
