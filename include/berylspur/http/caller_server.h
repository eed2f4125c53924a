// HTTP/1.1 server that accepts caller connections and passes their requests to a handler.
#pragma once

#include "berylspur/core/address.h"
#include "berylspur/core/clock.h"
#include "berylspur/core/result.h"
#include "berylspur/core/timer.h"
#include "berylspur/http/caller_request.h"

#include <cstddef>
#include <cstdint>
#include <event2/event.h>
#include <event2/listener.h>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace berylspur {

/// Limits on the number, size and duration of caller requests. 0 turns a limit off where said so.
struct CallerLimits
{
    std::size_t maxBodyBytes = 1u << 20;
    std::size_t maxHeaderBytes = 16u << 10;
    Duration headerTimeout = std::chrono::seconds(10); ///< from the first byte of a head to its end
    Duration idleTimeout = std::chrono::seconds(60); ///< between requests and body reads
    std::size_t maxHeaderFields = 256;
    std::size_t maxConnections = 0; ///< 0: no limit
    std::uint32_t minBodyRate = 0; ///< bytes/s, averaged over bodyRateTime; 0: no limit
    Duration bodyRateTime = std::chrono::seconds(10);
};

/// Totals since the process started of what was refused or closed because of a limit.
struct CallerCounters
{
    std::uint64_t tooManyFields = 0; ///< requests with more header fields than the limit
    std::uint64_t slowBodies = 0; ///< requests whose body came at less than the least rate
    std::uint64_t discardedBodies = 0; ///< bodies that were read but not kept
    std::uint64_t refusedForMemory = 0; ///< requests refused because their body did not fit
    std::uint64_t closedForMemory = 0; ///< connections closed to free memory
    std::uint64_t closedForConnections = 0; ///< connections closed in favour of new ones
    std::uint64_t refusedConnections = 0; ///< connections closed when they were accepted
};

class CallerServer
{
public:
    using Handler = std::function<void(std::unique_ptr<CallerRequest>)>;
    /// True if the body of the request with this method, Host and target may be used.
    using BodyFilter = std::function<bool(std::string_view method, std::string_view host,
                                          std::string_view target)>;

    /// \a memory counts what connections and open requests hold; null: it is not counted. It must
    /// outlive the server and its requests.
    CallerServer(event_base *base, Handler handler, MemoryBudget *memory = nullptr);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// Fails with AddressUnusable.
    Result<void> listen(const Address &address);
    /// Applies to requests that start afterwards.
    void setLimits(const CallerLimits &limits) { m_limits = limits; }
    const CallerLimits &limits() const { return m_limits; }
    /// A large body that \a filter declines when its head has arrived is read, but not kept;
    /// CallerRequest::check() then fails, whatever the filter would say later.
    void setBodyFilter(BodyFilter filter) { m_keepsBody = std::move(filter); }
    const CallerCounters &counters() const { return m_counters; }
    /// Closes each connection after its next response.
    void closeAfterResponses() { m_closesAfterResponse = true; }
    std::size_t connections() const { return m_connections.size(); }
    /// Number of connections with response bytes that are not yet written to the socket.
    std::size_t connectionsWithUnsentOutput() const;

private:
    friend class CallerConnection;

    static void onAccept(evconnlistener *, evutil_socket_t fd, sockaddr *, int, void *self);
    static void onAcceptError(evconnlistener *, void *self);
    /// Makes room for one more connection. Returns false if there is no room.
    bool makeRoom();
    void release(CallerConnection *connection);

    event_base *m_base;
    Handler m_handler;
    MemoryBudget *m_memory;
    BodyFilter m_keepsBody; // null: keeps all
    CallerLimits m_limits;
    CallerCounters m_counters;
    bool m_closesAfterResponse = false;
    evconnlistener *m_listener = nullptr;
    std::unordered_map<CallerConnection *, std::unique_ptr<CallerConnection>> m_connections;
    // Connections close inside their own callbacks, so their destruction is deferred to the next
    // iteration of the event loop.
    std::vector<std::unique_ptr<CallerConnection>> m_closedConnections;
    Timer m_cleanupTimer;
    Timer m_acceptTimer; // accepts again after a failure
};

} // namespace berylspur
