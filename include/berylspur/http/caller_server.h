// HTTP/1.1 server that accepts caller connections and passes their requests to a handler.
#pragma once

#include "berylspur/core/address.h"
#include "berylspur/core/clock.h"
#include "berylspur/core/result.h"
#include "berylspur/core/timer.h"
#include "berylspur/http/caller_request.h"

#include <cstddef>
#include <event2/event.h>
#include <event2/listener.h>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace berylspur {

/// Limits on the size and duration of caller requests.
struct CallerLimits
{
    std::size_t maxBodyBytes = 1u << 20;
    std::size_t maxHeaderBytes = 16u << 10;
    Duration headerTimeout = std::chrono::seconds(10); ///< from the first byte of a head to its end
    Duration idleTimeout = std::chrono::seconds(60); ///< between requests and body reads
};

class CallerServer
{
public:
    using Handler = std::function<void(std::unique_ptr<CallerRequest>)>;

    CallerServer(event_base *base, Handler handler);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// Fails with AddressUnusable.
    Result<void> listen(const Address &address);
    /// Applies to requests that start afterwards.
    void setLimits(const CallerLimits &limits) { m_limits = limits; }
    const CallerLimits &limits() const { return m_limits; }
    /// Closes each connection after its next response.
    void closeAfterResponses() { m_closesAfterResponse = true; }
    std::size_t connections() const { return m_connections.size(); }
    /// Number of connections with response bytes that are not yet written to the socket.
    std::size_t connectionsWithUnsentOutput() const;

private:
    friend class CallerConnection;

    static void onAccept(evconnlistener *, evutil_socket_t fd, sockaddr *, int, void *self);
    void release(CallerConnection *connection);

    event_base *m_base;
    Handler m_handler;
    CallerLimits m_limits;
    bool m_closesAfterResponse = false;
    evconnlistener *m_listener = nullptr;
    std::unordered_map<CallerConnection *, std::unique_ptr<CallerConnection>> m_connections;
    // Connections close inside their own callbacks, so their destruction is deferred to the next
    // iteration of the event loop.
    std::vector<std::unique_ptr<CallerConnection>> m_closedConnections;
    Timer m_cleanupTimer;
};

} // namespace berylspur
