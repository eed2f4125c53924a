// Accepts callers' HTTP/1.1 connections and hands over their requests.
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

/// Bounds on what a caller may send and on the time it may take.
struct CallerLimits
{
    std::size_t maxBodyBytes = 1u << 20;
    std::size_t maxHeaderBytes = 16u << 10;
    Duration headerTimeout = std::chrono::seconds(10); ///< from the first byte of a head to its end
    Duration idleTimeout = std::chrono::seconds(60); ///< between requests, and between body parts
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
    /// In force for requests that begin later.
    void setLimits(const CallerLimits &limits) { m_limits = limits; }
    const CallerLimits &limits() const { return m_limits; }
    /// From now on each connection is closed after its next response.
    void closeAfterResponses() { m_closing = true; }
    std::size_t connections() const { return m_connections.size(); }

private:
    friend class CallerConnection;

    static void onAccept(evconnlistener *, evutil_socket_t fd, sockaddr *, int, void *self);
    void release(CallerConnection *connection);

    event_base *m_base;
    Handler m_handler;
    CallerLimits m_limits;
    bool m_closing = false;
    evconnlistener *m_listener = nullptr;
    std::unordered_map<CallerConnection *, std::unique_ptr<CallerConnection>> m_connections;
    // Connections end inside their own callbacks, so they are destroyed in the next turn.
    std::vector<std::unique_ptr<CallerConnection>> m_ended;
    Timer m_cleaner;
};

} // namespace berylspur
