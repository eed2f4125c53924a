// Parses requests with Boost.Beast, frames responses and closes connections.
#include "caller_connection.h"

#include "berylspur/core/log.h"
#include "berylspur/http/beast_headers.h"
#include "berylspur/http/bounded_parse.h"
#include "berylspur/http/transfer_coding.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <event2/buffer.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace berylspur {

namespace http = boost::beast::http;

namespace {

/// Reading from the socket pauses while more input than this is buffered.
constexpr std::size_t MaxBufferedInputBytes = 64u << 10;
/// Time for the caller to read the last response before the connection is closed. Closing with
/// unread input resets the connection, which may discard the response at the caller.
constexpr Duration LingerTimeout = std::chrono::seconds(1);
constexpr std::string_view HeadTerminator = "\r\n\r\n";

ErrorCode errorCodeFor(const boost::system::error_code &error)
{
    if (error == http::error::header_limit)
        return ErrorCode::RequestHeadersTooLarge;
    if (error == http::error::body_limit)
        return ErrorCode::RequestBodyTooLarge;
    if (error == http::error::bad_content_length || error == http::error::bad_transfer_encoding
        || error == http::error::bad_chunk)
        return ErrorCode::RequestAmbiguousFraming;
    return ErrorCode::RequestMalformed;
}

/// True if \a head contains obsolete line folding (RFC 9112, 5.2). HTTP implementations disagree
/// about the value of such a header, so the request is rejected.
bool hasFoldedLine(std::string_view head)
{
    for (auto end = head.find('\n'); end != std::string_view::npos && end + 1 < head.size();
         end = head.find('\n', end + 1)) {
        if (head[end + 1] == ' ' || head[end + 1] == '\t')
            return true;
    }
    return false;
}

/// True if a line of \a head ends with a line feed alone. Such a head has no end for this parser,
/// while other HTTP implementations take it as a complete request.
bool hasBareLineFeed(std::string_view head)
{
    for (auto end = head.find('\n'); end != std::string_view::npos;
         end = head.find('\n', end + 1)) {
        if (end == 0 || head[end - 1] != '\r')
            return true;
    }
    return false;
}

std::string chunkHeader(std::size_t size)
{
    std::array<char, 2 * sizeof size> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), size, 16).ptr;
    return std::string(digits.data(), end) + "\r\n";
}

} // namespace

CallerConnection::CallerConnection(CallerServer &server, evutil_socket_t fd)
    : m_server(server), m_events(bufferevent_socket_new(server.m_base, fd, BEV_OPT_CLOSE_ON_FREE)),
      m_timer(server.m_base, [this] { onTimeout(); }),
      m_nextRequestTimer(server.m_base, [this] { read(); })
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    bufferevent_setcb(m_events, onRead, onWritten, onEvent, this);
    bufferevent_setwatermark(m_events, EV_READ, 0,
                             std::max(MaxBufferedInputBytes, 2 * server.limits().maxHeaderBytes));
    bufferevent_enable(m_events, EV_READ | EV_WRITE);
    setTimer(server.limits().idleTimeout);
}

CallerConnection::~CallerConnection()
{
    if (m_request)
        m_request->connectionClosed();
    bufferevent_free(m_events);
}

void CallerConnection::setTimer(Duration delay)
{
    m_timer.start(delay);
}

void CallerConnection::onRead(bufferevent *, void *self)
{
    static_cast<CallerConnection *>(self)->read();
}

void CallerConnection::read()
{
    auto *input = bufferevent_get_input(m_events);
    if (m_state == State::Lingering) {
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    if (m_state == State::Idle && evbuffer_get_length(input) > 0) {
        m_state = State::ReadingHead;
        setTimer(m_server.limits().headerTimeout);
    }
    if (m_state == State::ReadingHead && !readHead())
        return;
    if (m_state == State::ReadingBody)
        readBody();
}

/// Parses the head once it has arrived completely. Returns true if the body is to be read next.
bool CallerConnection::readHead()
{
    auto *input = bufferevent_get_input(m_events);
    const auto &limits = m_server.limits();
    const auto length = evbuffer_get_length(input);
    const auto end = evbuffer_search(input, HeadTerminator.data(), HeadTerminator.size(), nullptr);
    if (end.pos < 0) {
        const auto *bytes = evbuffer_pullup(input, -1);
        if (length > limits.maxHeaderBytes)
            fail(ErrorCode::RequestHeadersTooLarge, "incomplete head over the limit");
        else if (hasBareLineFeed({reinterpret_cast<const char *>(bytes), length}))
            fail(ErrorCode::RequestMalformed, "line feed without carriage return");
        return false;
    }
    const auto size = static_cast<std::size_t>(end.pos) + HeadTerminator.size();
    if (size > limits.maxHeaderBytes) {
        fail(ErrorCode::RequestHeadersTooLarge, "head over the limit");
        return false;
    }
    const std::string_view head(
            reinterpret_cast<const char *>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size))),
            size);
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes) + 1);
    m_parser->body_limit(limits.maxBodyBytes);
    boost::system::error_code error;
    m_parser->put(boost::asio::buffer(head.data(), head.size()), error);
    m_headers = headersOf(m_parser->get());
    const auto checked = checkHead(head);
    evbuffer_drain(input, size);
    if (error && error != http::error::need_more) {
        fail(errorCodeFor(error), error.message());
        return false;
    }
    if (!checked) {
        fail(checked.error().code, checked.error().detail);
        return false;
    }
    const auto &message = m_parser->get();
    m_isHead = message.method() == http::verb::head;
    m_isHttp10 = message.version() < 11;
    m_keepAlive = message.keep_alive();
    if (message[http::field::expect] == "100-continue" && !m_isHttp10)
        send("HTTP/1.1 100 Continue\r\n\r\n");
    m_state = State::ReadingBody;
    m_parser->eager(true);
    return true;
}

Result<void> CallerConnection::checkHead(std::string_view head) const
{
    constexpr unsigned FirstHttp11Version = 11;
    if (hasBareLineFeed(head))
        return failure(ErrorCode::RequestMalformed, "line feed without carriage return");
    if (hasFoldedLine(head))
        return failure(ErrorCode::RequestMalformed, "folded header line");
    switch (transferCoding(m_headers, m_parser->get().version() >= FirstHttp11Version)) {
    case TransferCoding::None:
    case TransferCoding::Chunked:
        return success();
    case TransferCoding::Unsupported:
        return failure(ErrorCode::RequestCodingNotSupported, "coding before chunked");
    case TransferCoding::Ambiguous:
        break;
    }
    return failure(ErrorCode::RequestAmbiguousFraming, "ambiguous transfer coding");
}

void CallerConnection::readBody()
{
    auto *input = bufferevent_get_input(m_events);
    setTimer(m_server.limits().idleTimeout);
    while (!m_parser->is_done()) {
        const auto length = std::min(evbuffer_get_length(input), m_server.limits().maxHeaderBytes);
        const auto *bytes = evbuffer_pullup(input, static_cast<ev_ssize_t>(length));
        const std::string_view window(reinterpret_cast<const char *>(bytes), length);
        if (window.empty())
            return;
        const auto step = parseBounded(*m_parser, window, m_server.limits().maxHeaderBytes);
        const bool isTrailer = step.isOverLimit && hasCompleteChunkHeader(window);
        evbuffer_drain(input, step.used);
        if (step.error)
            fail(errorCodeFor(step.error), step.error.message());
        else if (isTrailer)
            fail(ErrorCode::RequestHeadersTooLarge, "trailers over the limit");
        else if (step.isOverLimit)
            fail(ErrorCode::RequestAmbiguousFraming, "chunk header over the limit");
        if (m_state != State::ReadingBody || step.used == 0)
            return;
    }
    deliverRequest({});
}

void CallerConnection::fail(ErrorCode code, const std::string &detail)
{
    m_keepAlive = false;
    if (!m_parser)
        m_parser.emplace();
    deliverRequest({code, detail});
}

void CallerConnection::deliverRequest(Error error)
{
    m_timer.stop();
    m_state = State::Responding;
    auto &message = m_parser->get();
    auto request = std::make_unique<CallerRequest>(
            this, std::string(message.method_string()), std::string(message.target()),
            std::exchange(m_headers, {}), std::move(message.body()), std::move(error));
    m_request = request.get();
    m_parser.reset();
    m_server.m_handler(std::move(request));
}

void CallerConnection::startResponse(std::uint32_t status, const HeaderList &headers,
                                     std::optional<std::uint64_t> length, bool close)
{
    constexpr std::uint32_t NoContent = 204;
    constexpr std::uint32_t NotModified = 304;
    m_keepAlive = m_keepAlive && !close && !m_server.m_closesAfterResponse;
    const bool bodyless = m_isHead || status == NoContent || status == NotModified;
    if (bodyless)
        m_framing = Framing::NoBody;
    else if (length)
        m_framing = Framing::Length;
    else
        m_framing = m_isHttp10 ? Framing::UntilClose : Framing::Chunked;
    m_keepAlive = m_keepAlive && m_framing != Framing::UntilClose;
    m_remainingLength = length.value_or(0);

    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    const auto reason = http::obsolete_reason(static_cast<http::status>(status));
    head.append(reason.data(), reason.size()).append("\r\n");
    for (const auto &[name, value] : headers)
        head.append(name).append(": ").append(value).append("\r\n");
    // The response to HEAD has the Content-Length of the response to GET.
    if (length && status != NoContent && status != NotModified)
        head.append("Content-Length: ").append(std::to_string(*length)).append("\r\n");
    if (m_framing == Framing::Chunked)
        head.append("Transfer-Encoding: chunked\r\n");
    if (!m_keepAlive)
        head.append("Connection: close\r\n");
    else if (m_isHttp10)
        head.append("Connection: keep-alive\r\n");
    head.append("\r\n");
    send(head);
}

void CallerConnection::writeBody(std::string_view bytes)
{
    switch (m_framing) {
    case Framing::NoBody:
        break;
    case Framing::Length:
        // Bytes beyond Content-Length would be parsed as the next response.
        bytes = bytes.substr(0, static_cast<std::size_t>(
                                        std::min<std::uint64_t>(bytes.size(), m_remainingLength)));
        m_remainingLength -= bytes.size();
        send(bytes);
        break;
    case Framing::Chunked:
        if (bytes.empty())
            break;
        send(chunkHeader(bytes.size()));
        send(bytes);
        send("\r\n");
        break;
    case Framing::UntilClose:
        send(bytes);
        break;
    }
    if (!hasUnsentOutput() && m_request)
        m_request->connectionFlushed();
}

void CallerConnection::finishResponse()
{
    m_request = nullptr;
    if (m_framing == Framing::Length && m_remainingLength > 0) {
        log::warn("response-shorter-than-stated", {{"missing-bytes", m_remainingLength}});
        close(true);
        return;
    }
    if (m_framing == Framing::Chunked)
        send("0\r\n\r\n");
    if (m_keepAlive) {
        enterIdle();
        return;
    }
    m_state = State::Lingering;
    if (hasUnsentOutput())
        waitForFlush();
    else
        shutdownWrite();
}

std::size_t CallerConnection::unsentBytes() const
{
    return evbuffer_get_length(bufferevent_get_output(m_events));
}

void CallerConnection::waitForFlush()
{
    m_unsentBytes = unsentBytes();
    setTimer(m_server.limits().idleTimeout);
}

void CallerConnection::enterIdle()
{
    m_state = State::Idle;
    waitForFlush();
    if (evbuffer_get_length(bufferevent_get_input(m_events)) > 0)
        m_nextRequestTimer.start(Duration::zero());
}

void CallerConnection::shutdownWrite()
{
    shutdown(bufferevent_getfd(m_events), SHUT_WR);
    m_unsentBytes = 0;
    setTimer(LingerTimeout);
}

void CallerConnection::abort()
{
    m_request = nullptr;
    close(true);
}

void CallerConnection::onWritten(bufferevent *, void *self)
{
    static_cast<CallerConnection *>(self)->onFlushed();
}

void CallerConnection::onFlushed()
{
    if (m_state == State::Lingering)
        shutdownWrite();
    else if (m_request)
        m_request->connectionFlushed();
}

void CallerConnection::onEvent(bufferevent *, short events, void *self)
{
    if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
        static_cast<CallerConnection *>(self)->close(false);
}

void CallerConnection::onTimeout()
{
    switch (m_state) {
    case State::Idle:
    case State::Lingering:
        if (unsentBytes() < m_unsentBytes)
            waitForFlush();
        else
            closeUnread();
        break;
    case State::ReadingHead:
    case State::ReadingBody:
        fail(ErrorCode::RequestTimeout, "request not received within the timeout");
        break;
    case State::Responding:
    case State::Closed:
        break;
    }
}

void CallerConnection::closeUnread()
{
    const bool isIncomplete = hasUnsentOutput();
    if (isIncomplete)
        log::info("response-not-read", {{"unsent-bytes", unsentBytes()}});
    close(isIncomplete);
}

void CallerConnection::close(bool reset)
{
    if (std::exchange(m_state, State::Closed) == State::Closed)
        return;
    m_timer.stop();
    m_nextRequestTimer.stop();
    bufferevent_disable(m_events, EV_READ | EV_WRITE);
    if (reset) {
        // A reset marks the response as incomplete, whatever its framing.
        const struct linger resetOnClose
        {
            1, 0
        };
        setsockopt(bufferevent_getfd(m_events), SOL_SOCKET, SO_LINGER, &resetOnClose,
                   sizeof resetOnClose);
    }
    if (auto *request = std::exchange(m_request, nullptr))
        request->connectionClosed();
    m_server.release(this);
}

void CallerConnection::send(std::string_view bytes)
{
    bufferevent_write(m_events, bytes.data(), bytes.size());
}

} // namespace berylspur
