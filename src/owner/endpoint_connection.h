// HTTP/1.1 connection to an endpoint.
#pragma once

#include "endpoint_client.h"
#include "response_reader.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <memory>
#include <optional>

namespace berylspur {

/// Carries at most one call at a time. Invariant: no byte of a request is handed to the socket
/// before the connect has succeeded, so a call that ended with ConnectFailed has not run and never
/// will, even if the connect succeeds afterwards. Not reused after it received anything other than
/// the expected responses.
class EndpointConnection
{
public:
    EndpointConnection(EndpointClient &client, event_base *base, const Address &address);
    ~EndpointConnection();
    EndpointConnection(const EndpointConnection &) = delete;
    EndpointConnection &operator=(const EndpointConnection &) = delete;

    void begin(EndpointCall &call, const CallRequest &request);
    /// Closes the connection because its call was cancelled.
    void cancel();
    void setReading(bool enabled);

    /// True if the endpoint neither closed the idle connection nor sent data on it.
    bool isIdleAndOpen() const;
    /// True if the idle connection may be reused. With \a fresh, only if the endpoint is expected
    /// not to close it concurrently.
    bool isUsable(bool fresh, TimePoint now) const;

private:
    static void onRead(bufferevent *, void *self);
    static void onEvent(bufferevent *, short events, void *self);

    /// Hands the request to the socket.
    void sendRequest();
    void dropUnsentRequest();
    void read();
    // Each may end the call.
    void handle(const InputNeeded &) { }
    void handle(ResponseHead &head);
    void handle(const ResponseBody &body);
    void handle(const OtherResponse &response);
    void handle(const ResponseEnd &end);
    void handle(const ResponseError &error);
    void ended(short events);
    void finish(CallResult end, bool reusable);

    EndpointClient &m_client;
    bufferevent *m_events;
    /// The request until the connect has succeeded.
    std::unique_ptr<evbuffer, decltype(&evbuffer_free)> m_unsent;
    Timer m_connectTimer;
    EndpointCall *m_call = nullptr;
    std::optional<ResponseReader> m_reader; // set once a call began
    bool m_isConnected = false;
    TimePoint m_idleSince;
    Duration m_keepAlive; // idle time after which the endpoint may close
    bool m_hasServerKeepAlive = false;
    bool m_isReused = false; // a request was sent on this connection
    bool m_isIdentified = true; // the last response says which request it belongs to
};

} // namespace berylspur
