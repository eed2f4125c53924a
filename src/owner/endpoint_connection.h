// HTTP/1.1 connection to an endpoint.
#pragma once

#include "endpoint_client.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <event2/bufferevent.h>
#include <optional>

namespace berylspur {

/// Carries at most one call at a time. Not reused after it received anything other than the
/// expected responses.
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
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    static void onRead(bufferevent *, void *self);
    static void onEvent(bufferevent *, short events, void *self);

    void read();
    /// Handles the parsed status and headers. Returns false if the call ended.
    bool onHeaderComplete();
    /// Passes the parsed body bytes to the call. Returns false if the call ended.
    bool forwardBody();
    void onResponseComplete();
    void resetParser();
    void ended(short events);
    void finish(CallResult end, bool reusable);

    EndpointClient &m_client;
    bufferevent *m_events;
    Timer m_connectTimer;
    EndpointCall *m_call = nullptr;
    std::optional<Parser> m_parser;
    bool m_isConnected = false;
    bool m_isHeaderComplete = false;
    bool m_isSkippingResponse = false; // interim response, or response to an earlier request
    TimePoint m_idleSince;
    Duration m_keepAlive; // idle time after which the endpoint may close
    bool m_hasServerKeepAlive = false;
};

} // namespace berylspur
