// Request writing and response parsing (Boost.Beast) on one connection to an endpoint.
#include "endpoint_connection.h"

#include "berylspur/core/log.h"

#include <boost/asio/buffer.hpp>
#include <charconv>
#include <event2/buffer.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace berylspur {

namespace http = boost::beast::http;

namespace {

/// The endpoint is on this host: a connection that takes longer than this will not come.
constexpr Duration ConnectLimit = std::chrono::seconds(1);
/// A kept connection that answered within this time is taken to be alive for a non-idempotent
/// request if the endpoint states no keep-alive time.
constexpr Duration FreshFor = std::chrono::seconds(1);
/// Idle time after which a connection is not used again if the endpoint states none.
constexpr Duration KeepFor = std::chrono::seconds(20);
/// Distance kept from the stated keep-alive time, so that a request does not cross the close.
constexpr Duration KeepMargin = std::chrono::seconds(2);
constexpr std::uint32_t MaxHeadBytes = 64u << 10;

/// Seconds of "timeout=N" in a Keep-Alive header.
std::optional<Duration> statedKeepTime(std::string_view value)
{
    constexpr std::string_view Name = "timeout=";
    const auto at = value.find(Name);
    if (at == std::string_view::npos)
        return std::nullopt;
    value.remove_prefix(at + Name.size());
    int seconds = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), seconds);
    if (error != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

bool needsLength(const CallRequest &request)
{
    return !request.body.empty() || request.method == "POST" || request.method == "PUT"
           || request.method == "PATCH";
}

} // namespace

EndpointConnection::EndpointConnection(EndpointClient &client, event_base *base,
                                       const Address &address)
    : m_client(client), m_events(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE)),
      m_connectTimer(base, [this] { finish(CallEnd::ConnectFailed, false); }), m_keptFor(KeepFor)
{
    bufferevent_setcb(m_events, onRead, nullptr, onEvent, this);
    const auto target = address.toSockaddr();
    bufferevent_enable(m_events, EV_READ | EV_WRITE);
    m_connectTimer.start(ConnectLimit);
    // A connect that fails at once is reported by the timer, outside of the caller's own turn.
    if (bufferevent_socket_connect(m_events, reinterpret_cast<const sockaddr *>(&target),
                                   sizeof target)
        != 0)
        m_connectTimer.start(Duration::zero());
}

EndpointConnection::~EndpointConnection()
{
    bufferevent_free(m_events);
}

void EndpointConnection::begin(EndpointCall &call, const CallRequest &request)
{
    m_call = &call;
    newParser();
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    if (headerValue(request.headers, "Host").empty())
        text.append("Host: ").append(m_client.address().toString()).append("\r\n");
    for (const auto &[name, value] : request.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    if (needsLength(request))
        text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    text.append("\r\n").append(request.body);
    bufferevent_write(m_events, text.data(), text.size());
}

void EndpointConnection::newParser()
{
    m_parser.emplace();
    m_parser->header_limit(MaxHeadBytes);
    m_parser->body_limit(boost::none);
    m_parser->eager(true);
    m_parser->skip(m_call && m_call->m_isHead);
    m_headSeen = false;
    m_skipping = false;
}

void EndpointConnection::cancel()
{
    m_call = nullptr;
    m_client.discard(this);
}

void EndpointConnection::setReading(bool enabled)
{
    if (enabled)
        bufferevent_enable(m_events, EV_READ);
    else
        bufferevent_disable(m_events, EV_READ);
}

bool EndpointConnection::isQuiet() const
{
    if (evbuffer_get_length(bufferevent_get_input(m_events)) > 0)
        return false;
    char byte = 0;
    const auto got = recv(bufferevent_getfd(m_events), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool EndpointConnection::isUsable(bool fresh, TimePoint now) const
{
    const auto limit = fresh && !m_keepTimeStated ? FreshFor : m_keptFor;
    return now - m_idleSince < limit;
}

void EndpointConnection::onRead(bufferevent *, void *self)
{
    static_cast<EndpointConnection *>(self)->read();
}

void EndpointConnection::read()
{
    auto *input = bufferevent_get_input(m_events);
    while (m_call) {
        const auto length = evbuffer_get_length(input);
        if (length == 0)
            return;
        const auto *bytes = evbuffer_pullup(input, -1);
        boost::system::error_code error;
        const auto used = m_parser->put(boost::asio::buffer(bytes, length), error);
        evbuffer_drain(input, used);
        if (error && error != http::error::need_more) {
            log::warn("endpoint-response-malformed", {{"reason", error.message()}});
            finish(CallEnd::Broken, false);
            return;
        }
        if (m_parser->is_header_done() && !m_headSeen && !headArrived())
            return;
        if (m_headSeen && !passBody())
            return;
        if (m_parser->is_done()) {
            responseEnded();
            continue;
        }
        if (used == 0)
            return;
    }
    // Bytes without a request belong to nobody.
    if (evbuffer_get_length(input) > 0)
        m_client.discard(this);
}

bool EndpointConnection::headArrived()
{
    constexpr unsigned FirstFinal = 200;
    const auto &message = m_parser->get();
    m_headSeen = true;
    if (message.result_int() < FirstFinal) {
        m_skipping = true; // an interim response
        return true;
    }
    const auto name = boost::string_view(m_call->m_echoHeader.data(), m_call->m_echoHeader.size());
    const auto echo = m_call->m_echoHeader.empty() ? message.end() : message.find(name);
    if (echo != message.end()
        && std::string_view(echo->value().data(), echo->value().size()) != m_call->m_echoValue) {
        log::warn("response-of-another-request",
                  {{"expected", m_call->m_echoValue}, {"got", std::string(echo->value())}});
        m_skipping = true;
        return true;
    }
    const auto kept = message[http::field::keep_alive];
    if (const auto stated = statedKeepTime({kept.data(), kept.size()})) {
        m_keepTimeStated = true;
        m_keptFor = std::max(*stated - KeepMargin, Duration::zero());
    }
    HeaderList headers;
    for (const auto &field : message)
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    if (m_call->m_handler.headers)
        m_call->m_handler.headers(message.result_int(), std::move(headers));
    return m_call != nullptr;
}

bool EndpointConnection::passBody()
{
    auto &body = m_parser->get().body();
    if (body.empty())
        return true;
    const auto bytes = std::exchange(body, {});
    if (!m_skipping && m_call->m_handler.data)
        m_call->m_handler.data(bytes);
    return m_call != nullptr;
}

void EndpointConnection::responseEnded()
{
    if (m_skipping) {
        newParser();
        return;
    }
    const bool allSent = evbuffer_get_length(bufferevent_get_output(m_events)) == 0;
    const bool nothingMore = evbuffer_get_length(bufferevent_get_input(m_events)) == 0;
    finish(CallEnd::Complete, m_parser->get().keep_alive() && allSent && nothingMore);
}

void EndpointConnection::onEvent(bufferevent *, short events, void *self)
{
    static_cast<EndpointConnection *>(self)->ended(events);
}

void EndpointConnection::ended(short events)
{
    if (events & BEV_EVENT_CONNECTED) {
        m_connected = true;
        m_connectTimer.stop();
        const int on = 1;
        setsockopt(bufferevent_getfd(m_events), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return;
    }
    if (!m_call) {
        m_client.discard(this);
        return;
    }
    if (!m_connected) {
        finish(CallEnd::ConnectFailed, false);
        return;
    }
    // A body without a stated length ends with the connection; a reset cuts it.
    if ((events & BEV_EVENT_EOF) && m_headSeen && !m_skipping) {
        boost::system::error_code error;
        m_parser->put_eof(error);
        if (!error && m_parser->is_done()) {
            finish(CallEnd::Complete, false);
            return;
        }
    }
    finish(CallEnd::Broken, false);
}

void EndpointConnection::finish(CallEnd end, bool reusable)
{
    m_connectTimer.stop();
    auto *call = std::exchange(m_call, nullptr);
    if (reusable) {
        m_idleSince = BootClock::now();
        m_client.release(this);
    } else {
        m_client.discard(this);
    }
    if (!call)
        return;
    call->m_connection = nullptr;
    const auto handler = std::exchange(call->m_handler, {});
    if (handler.ended)
        handler.ended(end); // may destroy the call
}

} // namespace berylspur
