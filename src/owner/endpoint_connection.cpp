// Sends requests and passes on responses on a connection to an endpoint.
#include "endpoint_connection.h"

#include "berylspur/core/enum_table.h"
#include "berylspur/core/log.h"

#include <algorithm>
#include <charconv>
#include <event2/buffer.h>
#include <memory>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace berylspur {

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
/// Bodies from this size on are not copied into the output.
constexpr std::size_t MinSharedBodyBytes = 16u << 10;
/// Reading from the socket pauses while more input than this is buffered.
constexpr std::size_t MaxBufferedInputBytes = 2 * ResponseReader::MaxPartBytes;

constexpr EnumTable<ResponsePart, 5> PartNames {{
        {ResponsePart::Head, "head"},
        {ResponsePart::ChunkHeader, "chunk-header"},
        {ResponsePart::Trailers, "trailers"},
        {ResponsePart::InterimResponses, "interim-responses"},
        {ResponsePart::OtherResponses, "other-responses"},
}};

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

/// Appends \a body without a copy. It is released once it is written to the socket.
void writeShared(evbuffer *output, const SharedBody &body)
{
    const auto release = [](const void *, std::size_t, void *held) {
        delete static_cast<SharedBody *>(held);
    };
    auto held = std::make_unique<SharedBody>(body);
    const auto bytes = held->bytes();
    if (evbuffer_add_reference(output, bytes.data(), bytes.size(), release, held.get()) == 0)
        static_cast<void>(held.release()); // owned by the buffer
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
      m_unsent(evbuffer_new(), &evbuffer_free),
      m_connectTimer(base, [this] { finish(CallResult::ConnectFailed, false); }),
      m_keepAlive(DefaultKeepAlive)
{
    bufferevent_setcb(m_events, onRead, nullptr, onEvent, this);
    bufferevent_setwatermark(m_events, EV_READ, 0, MaxBufferedInputBytes);
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
    m_reader.emplace(
            ExpectedResponse {call.m_isHead, call.m_echoHeader, call.m_echoValue, m_isReused});
    m_isReused = true;
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    if (headerValue(request.headers, "Host").empty())
        text.append("Host: ").append(m_client.address().toString()).append("\r\n");
    for (const auto &[name, value] : request.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    if (needsContentLength(request))
        text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    text.append("\r\n");
    const bool isShared = request.body.size() >= MinSharedBodyBytes;
    if (!isShared)
        text.append(request.body.bytes());
    evbuffer_add(m_unsent.get(), text.data(), text.size());
    if (isShared)
        writeShared(m_unsent.get(), request.body);
    if (m_isConnected)
        sendRequest();
}

void EndpointConnection::sendRequest()
{
    bufferevent_write_buffer(m_events, m_unsent.get());
}

void EndpointConnection::cancel()
{
    m_call = nullptr;
    dropUnsentRequest();
    m_client.discard(this);
}

void EndpointConnection::dropUnsentRequest()
{
    evbuffer_drain(m_unsent.get(), evbuffer_get_length(m_unsent.get()));
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
        const auto length = std::min(evbuffer_get_length(input), ResponseReader::MaxPartBytes);
        const auto *bytes = evbuffer_pullup(input, static_cast<ev_ssize_t>(length));
        std::string_view rest(reinterpret_cast<const char *>(bytes), length);
        auto event = m_reader->next(rest);
        const auto used = length - rest.size();
        evbuffer_drain(input, used);
        if (std::holds_alternative<InputNeeded>(event) && used == 0)
            return;
        std::visit([this](auto &part) { handle(part); }, event);
    }
    // Data without a pending request is a protocol violation.
    if (evbuffer_get_length(input) > 0)
        m_client.discard(this);
}

void EndpointConnection::handle(ResponseHead &head)
{
    const auto keepAlive = headerValue(head.headers, "Keep-Alive");
    if (const auto stated = parseKeepAliveTimeout(keepAlive)) {
        m_hasServerKeepAlive = true;
        m_keepAlive = std::max(*stated - KeepAliveMargin, Duration::zero());
    }
    // A response to the next request could not be told from a second copy of this one.
    m_isIdentified = m_call->m_echoHeader.empty()
                     || !headerValue(head.headers, m_call->m_echoHeader).empty();
    if (m_call->m_handler.headers)
        m_call->m_handler.headers(head.status, std::move(head.headers));
}

void EndpointConnection::handle(const ResponseBody &body)
{
    if (m_call->m_handler.data)
        m_call->m_handler.data(body.bytes);
}

void EndpointConnection::handle(const OtherResponse &response)
{
    log::warn("response-of-another-request",
              {{"expected", m_call->m_echoValue}, {"got", response.echoValue}});
}

void EndpointConnection::handle(const ResponseEnd &end)
{
    const bool isRequestSent = evbuffer_get_length(bufferevent_get_output(m_events)) == 0;
    const bool isInputEmpty = evbuffer_get_length(bufferevent_get_input(m_events)) == 0;
    finish(CallResult::Complete, end.keepAlive && isRequestSent && isInputEmpty && m_isIdentified);
}

void EndpointConnection::handle(const ResponseError &error)
{
    if (error.oversizedPart)
        log::warn("endpoint-response-over-limit",
                  {{"endpoint-address", m_client.address().toString()},
                   {"part", enumName(PartNames, *error.oversizedPart)}});
    else
        log::warn("endpoint-response-malformed", {{"reason", error.reason}});
    finish(error.isStatusInvalid ? CallResult::InvalidStatus : CallResult::Broken, false);
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
        sendRequest();
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
    const bool isComplete = (events & BEV_EVENT_EOF) && m_reader->isCompleteAtClose();
    finish(isComplete ? CallResult::Complete : CallResult::Broken, false);
}

void EndpointConnection::finish(CallResult end, bool reusable)
{
    m_connectTimer.stop();
    dropUnsentRequest();
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
