// HTTP client for one endpoint with persistent connections.
#pragma once

#include "berylspur/core/address.h"
#include "berylspur/core/clock.h"
#include "berylspur/core/http_headers.h"
#include "berylspur/core/shared_body.h"
#include "berylspur/core/timer.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace berylspur {

/// Result of a call.
enum class CallResult {
    Complete,
    ConnectFailed, ///< no request bytes were sent
    Broken, ///< connection closed before the end of the response, or malformed response
    InvalidStatus, ///< the status of the response is not one of HTTP
};

struct CallHandler
{
    /// Called with the status and headers of the response.
    std::function<void(std::uint32_t status, HeaderList headers)> headers;
    std::function<void(std::string_view bytes)> data;
    /// Called exactly once, unless the call is cancelled.
    std::function<void(CallResult end)> ended;
};

struct CallRequest
{
    std::string method;
    std::string target;
    HeaderList headers;
    SharedBody body;
    /// Only use a new connection, or one that completed a response very recently.
    bool freshConnection = false;
    /// Name and value of the header by which responses identify their request. A response with
    /// another value is skipped: it belongs to an earlier request on the connection.
    std::string echoHeader;
    std::string echoValue;
};

class EndpointClient;
class EndpointConnection;

/// A call in progress. Destroying it cancels the call and closes the connection.
class EndpointCall
{
public:
    ~EndpointCall();
    EndpointCall(const EndpointCall &) = delete;
    EndpointCall &operator=(const EndpointCall &) = delete;

    /// Stop and resume reading, for flow control.
    void pause();
    void resume();

private:
    friend class EndpointClient;
    friend class EndpointConnection;
    EndpointCall(const CallRequest &request, CallHandler handler);

    CallHandler m_handler;
    std::string m_echoHeader;
    std::string m_echoValue;
    bool m_isHead;
    EndpointConnection *m_connection = nullptr; // null after the call ended
};

/// Connection pool for one endpoint. Must outlive its calls.
class EndpointClient
{
public:
    EndpointClient(event_base *base, Address address);
    ~EndpointClient();
    EndpointClient(const EndpointClient &) = delete;
    EndpointClient &operator=(const EndpointClient &) = delete;

    std::unique_ptr<EndpointCall> start(const CallRequest &request, CallHandler handler);
    const Address &address() const { return m_address; }
    std::size_t idleConnections() const { return m_idle.size(); }
    /// Total number of opened connections.
    std::uint64_t opened() const { return m_opened; }

private:
    friend class EndpointCall;
    friend class EndpointConnection;

    EndpointConnection *acquire(bool fresh);
    /// Returns a connection to the pool.
    void release(EndpointConnection *connection);
    void discard(EndpointConnection *connection);

    event_base *m_base;
    Address m_address;
    std::uint64_t m_opened = 0;
    std::unordered_map<EndpointConnection *, std::unique_ptr<EndpointConnection>> m_connections;
    std::vector<EndpointConnection *> m_idle; // newest last
    // Connections close inside their own callbacks, so they are destroyed in the next iteration of
    // the event loop.
    std::vector<std::unique_ptr<EndpointConnection>> m_discarded;
    Timer m_discardTimer;
};

} // namespace berylspur
