// Request serialization and response parsing (Boost.Beast) on a connection to an endpoint.
#include "endpoint_connection.h"

#include "berylspur/core/log.h"

#include <boost/asio/buffer.hpp>
#include <charconv>
#include <event2/buffer.h>
#include <limits>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace berylspur {

namespace http = boost::beast::http;

namespace {

/// The endpoint is on this host, so a connect that takes longer has failed.
constexpr Duration ConnectTimeout = std::chrono::seconds(1);
/// Maximum idle time of a connection that is reused for a non-idempotent request, if the endpoint
/// sends no keep-alive timeout.
constexpr Duration DefaultFreshTime = std::chrono::seconds(1);
/// Maximum idle time of a reused connection if the endpoint sends no keep-alive timeout.
constexpr Duration DefaultKeepAlive = std::chrono::seconds(20);
/// Subtracted from the keep-alive timeout, so that no request is sent while the endpoint closes the
/// connection.
constexpr Duration KeepAliveMargin = std::chrono::seconds(2);
constexpr std::uint32_t MaxHeaderBytes = 64u << 10;

/// Returns N of "timeout=N" in a Keep-Alive header.
std::optional<Duration> parseKeepAliveTimeout(std::string_view value)
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

bool needsContentLength(const CallRequest &request)
{
    return !request.body.empty() || request.method == "POST" || request.method == "PUT"
           || request.method == "PATCH";
}

} // namespace

EndpointConnection::EndpointConnection(EndpointClient &client, event_base *base,
                                       const Address &address)
    : m_client(client), m_events(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE)),
      m_connectTimer(base, [this] { finish(CallResult::ConnectFailed, false); }),
      m_keepAlive(DefaultKeepAlive)
{
    bufferevent_setcb(m_events, onRead, nullptr, onEvent, this);
    const auto target = address.toSockaddr();
    bufferevent_enable(m_events, EV_READ | EV_WRITE);
    m_connectTimer.start(ConnectTimeout);
    // A connect that fails immediately is reported by the timer, so that the caller's handler is
    // not called from within begin().
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
    resetParser();
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    if (headerValue(request.headers, "Host").empty())
        text.append("Host: ").append(m_client.address().toString()).append("\r\n");
    for (const auto &[name, value] : request.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    if (needsContentLength(request))
        text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    text.append("\r\n").append(request.body);
    bufferevent_write(m_events, text.data(), text.size());
}

void EndpointConnection::resetParser()
{
    m_parser.emplace();
    m_parser->header_limit(MaxHeaderBytes);
    // Boost 1.74 compares a Content-Length to an unset limit as if that were 0.
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    m_parser->eager(true);
    m_parser->skip(m_call && m_call->m_isHead);
    m_isHeaderComplete = false;
    m_isSkippingResponse = false;
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

bool EndpointConnection::isIdleAndOpen() const
{
    if (evbuffer_get_length(bufferevent_get_input(m_events)) > 0)
        return false;
    char byte = 0;
    const auto got = recv(bufferevent_getfd(m_events), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool EndpointConnection::isUsable(bool fresh, TimePoint now) const
{
    const auto limit = fresh && !m_hasServerKeepAlive ? DefaultFreshTime : m_keepAlive;
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
            finish(CallResult::Broken, false);
            return;
        }
        if (m_parser->is_header_done() && !m_isHeaderComplete && !onHeaderComplete())
            return;
        if (m_isHeaderComplete && !forwardBody())
            return;
        if (m_parser->is_done()) {
            onResponseComplete();
            continue;
        }
        if (used == 0)
            return;
    }
    // Data without a pending request is a protocol violation.
    if (evbuffer_get_length(input) > 0)
        m_client.discard(this);
}

bool EndpointConnection::onHeaderComplete()
{
    constexpr unsigned FirstFinal = 200;
    const auto &message = m_parser->get();
    m_isHeaderComplete = true;
    if (message.result_int() < FirstFinal) {
        m_isSkippingResponse = true; // an interim response
        return true;
    }
    const auto name = boost::string_view(m_call->m_echoHeader.data(), m_call->m_echoHeader.size());
    const auto echo = m_call->m_echoHeader.empty() ? message.end() : message.find(name);
    if (echo != message.end()
        && std::string_view(echo->value().data(), echo->value().size()) != m_call->m_echoValue) {
        log::warn("response-of-another-request",
                  {{"expected", m_call->m_echoValue}, {"got", std::string(echo->value())}});
        m_isSkippingResponse = true;
        return true;
    }
    const auto keepAlive = message[http::field::keep_alive];
    if (const auto stated = parseKeepAliveTimeout({keepAlive.data(), keepAlive.size()})) {
        m_hasServerKeepAlive = true;
        m_keepAlive = std::max(*stated - KeepAliveMargin, Duration::zero());
    }
    HeaderList headers;
    for (const auto &field : message)
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    if (m_call->m_handler.headers)
        m_call->m_handler.headers(message.result_int(), std::move(headers));
    return m_call != nullptr;
}

bool EndpointConnection::forwardBody()
{
    auto &body = m_parser->get().body();
    if (body.empty())
        return true;
    const auto bytes = std::exchange(body, {});
    if (!m_isSkippingResponse && m_call->m_handler.data)
        m_call->m_handler.data(bytes);
    return m_call != nullptr;
}

void EndpointConnection::onResponseComplete()
{
    if (m_isSkippingResponse) {
        resetParser();
        return;
    }
    const bool isRequestSent = evbuffer_get_length(bufferevent_get_output(m_events)) == 0;
    const bool isInputEmpty = evbuffer_get_length(bufferevent_get_input(m_events)) == 0;
    finish(CallResult::Complete, m_parser->get().keep_alive() && isRequestSent && isInputEmpty);
}

void EndpointConnection::onEvent(bufferevent *, short events, void *self)
{
    static_cast<EndpointConnection *>(self)->ended(events);
}

void EndpointConnection::ended(short events)
{
    if (events & BEV_EVENT_CONNECTED) {
        m_isConnected = true;
        m_connectTimer.stop();
        const int on = 1;
        setsockopt(bufferevent_getfd(m_events), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return;
    }
    if (!m_call) {
        m_client.discard(this);
        return;
    }
    if (!m_isConnected) {
        finish(CallResult::ConnectFailed, false);
        return;
    }
    // A body without a length is delimited by the close of the connection. A reset truncates it.
    if ((events & BEV_EVENT_EOF) && m_isHeaderComplete && !m_isSkippingResponse) {
        boost::system::error_code error;
        m_parser->put_eof(error);
        if (!error && m_parser->is_done()) {
            finish(CallResult::Complete, false);
            return;
        }
    }
    finish(CallResult::Broken, false);
}

void EndpointConnection::finish(CallResult end, bool reusable)
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
