// One connection to an endpoint.
#pragma once

#include "endpoint_client.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <event2/bufferevent.h>
#include <optional>

namespace berylspur {

/// Invariant: at most one call is open. A connection on which anything else than its response
/// arrived is not used again.
class EndpointConnection
{
public:
    EndpointConnection(EndpointClient &client, event_base *base, const Address &address);
    ~EndpointConnection();
    EndpointConnection(const EndpointConnection &) = delete;
    EndpointConnection &operator=(const EndpointConnection &) = delete;

    void begin(EndpointCall &call, const CallRequest &request);
    /// The call was cancelled.
    void cancel();
    void setReading(bool enabled);

    /// True if the other side neither closed the idle connection nor sent anything on it.
    bool isQuiet() const;
    /// True if a call may be sent on the idle connection; for \a fresh, only if the endpoint is
    /// sure to keep it open.
    bool isUsable(bool fresh, TimePoint now) const;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    static void onRead(bufferevent *, void *self);
    static void onEvent(bufferevent *, short events, void *self);

    void read();
    /// Handles the head that the parser completed. Returns false if the call ended.
    bool headArrived();
    bool passBody();
    void responseEnded();
    void newParser();
    void ended(short events);
    void finish(CallEnd end, bool reusable);

    EndpointClient &m_client;
    bufferevent *m_events;
    Timer m_connectTimer;
    EndpointCall *m_call = nullptr;
    std::optional<Parser> m_parser;
    bool m_connected = false;
    bool m_headSeen = false;
    bool m_skipping = false; // the response belongs to an earlier request
    TimePoint m_idleSince;
    Duration m_keptFor; // idle time after which the endpoint may close
    bool m_keepTimeStated = false;
};

} // namespace berylspur
