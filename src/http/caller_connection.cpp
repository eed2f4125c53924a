// Parses requests with Boost.Beast, sends responses in order and closes connections.
#include "caller_connection.h"

#include "berylspur/core/log.h"
#include "berylspur/http/beast_headers.h"
#include "berylspur/http/bounded_parse.h"
#include "berylspur/http/transfer_coding.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <event2/buffer.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace berylspur {

namespace http = boost::beast::http;

namespace {

/// Reading from the socket pauses while more input than this is buffered.
constexpr std::size_t MaxBufferedInputBytes = 64u << 10;
/// Open requests of a connection. Bounds the responses that wait for earlier ones; each is held
/// back by flow control beyond one window.
constexpr std::size_t MaxOpenRequests = 8;
/// Time for the caller to read the last response before the connection is closed. Closing with
/// unread input resets the connection, which may discard the response at the caller.
constexpr Duration LingerTimeout = std::chrono::seconds(1);
/// A body up to this size is read whatever the memory, so that ordinary requests never wait.
constexpr std::size_t SmallBodyBytes = 16u << 10;
/// Of a connection without a request: its objects, and those of libevent.
constexpr std::size_t ConnectionBytes = 2u << 10;
/// Of a header field in the parser and in the list of headers, beside its text.
constexpr std::size_t FieldBytes = 160;
/// Body bytes that count as progress of a caller.
constexpr std::size_t MinProgressBytes = 16u << 10;
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

std::size_t countLines(std::string_view text)
{
    return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

} // namespace

CallerConnection::CallerConnection(CallerServer &server, evutil_socket_t fd)
    : m_server(server), m_events(bufferevent_socket_new(server.m_base, fd, BEV_OPT_CLOSE_ON_FREE)),
      m_timer(server.m_base, [this] { onTimeout(); }),
      m_nextRequestTimer(server.m_base, [this] { read(); }),
      m_memory(server.m_memory, MemoryUse::Callers,
               {[this] { closeForMemory(); }, [this] { onMemoryPromised(); }})
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
    for (auto &response : m_responses) {
        if (auto *request = response.releaseRequest())
            request->connectionClosed();
    }
    bufferevent_free(m_events);
}

void CallerConnection::setTimer(Duration delay)
{
    m_timer.start(delay);
}

void CallerConnection::onRead(bufferevent *, void *self)
{
    auto *connection = static_cast<CallerConnection *>(self);
    connection->m_lastInput = BootClock::now();
    connection->read();
    connection->updateMemory();
}

void CallerConnection::read()
{
    auto *input = bufferevent_get_input(m_events);
    if (m_state == State::Lingering) {
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    if (m_state == State::Idle && evbuffer_get_length(input) > 0 && mayReadNext()) {
        m_state = State::ReadingHead;
        setTimer(m_server.limits().headerTimeout);
        recordProgress(m_lastInput);
    }
    if (m_state == State::ReadingHead && !readHead())
        return;
    if (m_state == State::ReadingBody)
        readBody();
}

bool CallerConnection::mayReadNext() const
{
    return !m_isLastRequestRead && m_responses.size() < MaxOpenRequests
           && std::all_of(m_responses.begin(), m_responses.end(),
                          [](const auto &response) { return response.allowsNextRequest(); });
}

void CallerConnection::continueReading()
{
    if (m_state == State::Idle && evbuffer_get_length(bufferevent_get_input(m_events)) > 0)
        m_nextRequestTimer.start(Duration::zero());
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
    // The request line and the empty line at the end are no fields.
    const auto fields = countLines(head) - 2;
    if (fields > limits.maxHeaderFields) {
        ++m_server.m_counters.tooManyFields;
        fail(ErrorCode::RequestHeadersTooLarge, "too many header fields");
        return false;
    }
    m_headMemory = 2 * size + fields * FieldBytes;
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
    constexpr unsigned FirstHttp11Version = 11;
    m_requestFraming.isHead = message.method() == http::verb::head;
    m_requestFraming.isHttp10 = message.version() < FirstHttp11Version;
    m_requestFraming.keepsAlive = message.keep_alive();
    m_expectsContinue =
            message[http::field::expect] == "100-continue" && !m_requestFraming.isHttp10;
    m_state = State::ReadingBody;
    m_parser->eager(true);
    if (!prepareBody())
        return false;
    sendContinue();
    return true;
}

bool CallerConnection::prepareBody()
{
    m_keepsBody = true;
    m_bodyRoom = SmallBodyBytes;
    m_progressBytes = 0;
    m_rateWindowBytes = 0;
    m_rateWindowEnd = m_lastInput + m_server.limits().bodyRateTime;
    const auto length = m_parser->content_length();
    const bool isSmall = length ? *length <= SmallBodyBytes : !m_parser->chunked();
    if (isSmall)
        return true;
    const auto &message = m_parser->get();
    const auto host = message[http::field::host];
    if (m_server.m_keepsBody
        && !m_server.m_keepsBody({message.method_string().data(), message.method_string().size()},
                                 {host.data(), host.size()},
                                 {message.target().data(), message.target().size()})) {
        m_keepsBody = false;
        ++m_server.m_counters.discardedBodies;
        return true;
    }
    if (!length)
        return true;
    const auto size = static_cast<std::size_t>(*length);
    if (m_server.m_memory && size > m_server.m_memory->maxBody()) {
        refuseForMemory();
        return false;
    }
    m_bodyRoom = size;
    if (m_memory.promise(size))
        return true;
    waitForMemory();
    return false;
}

bool CallerConnection::hasRoomForBody()
{
    auto &body = m_parser->get().body();
    if (!m_keepsBody) {
        body.clear();
        return true;
    }
    if (body.size() < m_bodyRoom || m_parser->content_length())
        return true;
    // A chunked body: its room is doubled, as its storage would be.
    const auto step = std::min(m_bodyRoom, m_server.limits().maxBodyBytes);
    m_bodyRoom += step;
    if (m_memory.promise(step))
        return true;
    waitForMemory();
    return false;
}

void CallerConnection::waitForMemory()
{
    m_isWaitingForMemory = true;
    bufferevent_disable(m_events, EV_READ);
    setTimer(m_server.limits().headerTimeout);
}

void CallerConnection::onMemoryPromised()
{
    m_isWaitingForMemory = false;
    bufferevent_enable(m_events, EV_READ);
    m_rateWindowBytes = 0;
    m_rateWindowEnd = BootClock::now() + m_server.limits().bodyRateTime;
    sendContinue();
    read();
    updateMemory();
}

void CallerConnection::refuseForMemory()
{
    ++m_server.m_counters.refusedForMemory;
    if (m_server.m_memory)
        m_server.m_memory->countRefusal();
    fail(ErrorCode::NotRunMemory, "no memory for the body");
}

void CallerConnection::closeForMemory()
{
    ++m_server.m_counters.closedForMemory;
    log::info("connection-closed-for-memory", {{"bytes", m_memory.held()}});
    close(true);
}

void CallerConnection::recordProgress(TimePoint now)
{
    m_lastProgress = now;
    m_memory.progressed(now);
}

void CallerConnection::updateMemory()
{
    if (!m_server.m_memory || m_state == State::Closed)
        return;
    auto bytes =
            ConnectionBytes + evbuffer_get_length(bufferevent_get_input(m_events)) + unsentBytes();
    for (const auto &response : m_responses)
        bytes += evbuffer_get_length(response.output());
    if (m_parser) {
        const auto &body = m_parser->get().body();
        bytes += m_headMemory + (m_parser->content_length() ? body.size() : body.capacity());
    }
    m_memory.hold(bytes);
}

void CallerConnection::sendContinue()
{
    // Ahead of an open response it would be taken for the interim response of that request.
    if (m_responses.empty() && !m_isWaitingForMemory && std::exchange(m_expectsContinue, false))
        send("HTTP/1.1 100 Continue\r\n\r\n");
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
    if (m_isWaitingForMemory)
        return;
    startBodyTimer();
    while (!m_parser->is_done()) {
        if (!hasRoomForBody())
            return;
        const auto length = std::min(evbuffer_get_length(input), m_server.limits().maxHeaderBytes);
        const auto *bytes = evbuffer_pullup(input, static_cast<ev_ssize_t>(length));
        const std::string_view window(reinterpret_cast<const char *>(bytes), length);
        if (window.empty())
            return;
        const auto step = parseBounded(*m_parser, window, m_server.limits().maxHeaderBytes);
        const bool isTrailer = step.isOverLimit && hasCompleteChunkHeader(window);
        evbuffer_drain(input, step.used);
        m_rateWindowBytes += step.used;
        m_progressBytes += step.used;
        if (m_progressBytes >= MinProgressBytes) {
            m_progressBytes = 0;
            recordProgress(m_lastInput);
        }
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
    if (!m_parser) {
        m_parser.emplace();
        m_requestFraming = {};
    }
    m_requestFraming.keepsAlive = false;
    deliverRequest({code, detail});
}

void CallerConnection::deliverRequest(Error error)
{
    m_timer.stop();
    m_state = State::Idle;
    m_expectsContinue = false;
    if (std::exchange(m_isWaitingForMemory, false))
        bufferevent_enable(m_events, EV_READ);
    recordProgress(m_lastInput);
    m_isLastRequestRead = !m_requestFraming.keepsAlive;
    auto &message = m_parser->get();
    auto *budget = m_server.m_memory;
    auto body = std::move(message.body());
    if (error.code != ErrorCode::Ok || !m_keepsBody)
        std::string().swap(body);
    // What the connection held for the request is counted by the request from here on.
    m_memory.releasePromise();
    m_memory.hold(0);
    if (budget && error.code == ErrorCode::Ok && !budget->fits(m_headMemory + body.size())) {
        ++m_server.m_counters.refusedForMemory;
        budget->countRefusal();
        error = {ErrorCode::NotRunMemory, "no memory for the request"};
        m_requestFraming.keepsAlive = false;
        m_isLastRequestRead = true;
        std::string().swap(body);
    }
    const auto bodySize = body.capacity();
    auto request = std::make_unique<CallerRequest>(
            this, std::string(message.method_string()), std::string(message.target()),
            std::exchange(m_headers, {}),
            SharedBody(std::move(body), MemoryReservation(budget, MemoryUse::Bodies, bodySize)),
            std::move(error));
    request->setArrival(m_lastInput);
    request->setHeadMemory(MemoryReservation(budget, MemoryUse::Bodies, m_headMemory));
    if (!std::exchange(m_keepsBody, true))
        request->setBodyDiscarded();
    m_responses.emplace_back(request.get(), m_requestFraming);
    m_parser.reset();
    m_headMemory = 0;
    updateMemory();
    m_server.m_handler(std::move(request));
}

void CallerConnection::startBodyTimer()
{
    const auto &limits = m_server.limits();
    const auto now = BootClock::now();
    auto end = m_lastInput + limits.idleTimeout;
    if (limits.minBodyRate > 0)
        end = std::min(end, m_rateWindowEnd);
    setTimer(std::max<Duration>(end - now, std::chrono::milliseconds(1)));
}

bool CallerConnection::isBodyTooSlow()
{
    const auto rate = m_server.limits().minBodyRate;
    const auto now = BootClock::now();
    if (rate == 0 || now < m_rateWindowEnd)
        return false;
    const auto time = m_server.limits().bodyRateTime;
    m_rateWindowEnd = now + time;
    const auto bytes = static_cast<double>(std::exchange(m_rateWindowBytes, 0));
    return bytes < rate * std::chrono::duration<double>(time).count();
}

CallerResponse *CallerConnection::findResponse(const CallerRequest &request)
{
    const auto found =
            std::find_if(m_responses.begin(), m_responses.end(),
                         [&](const auto &response) { return response.request() == &request; });
    return found == m_responses.end() ? nullptr : &*found;
}

bool CallerConnection::isFirst(const CallerRequest &request) const
{
    return !m_responses.empty() && m_responses.front().request() == &request;
}

void CallerConnection::startResponse(const CallerRequest &request, std::uint32_t status,
                                     const HeaderList &headers, std::optional<std::uint64_t> length,
                                     bool close)
{
    auto *response = findResponse(request);
    if (!response)
        return;
    m_closesWhenIdle = m_closesWhenIdle || close || m_server.m_closesAfterResponse;
    // The requests behind this one may run already, so the last of them closes the connection.
    const bool isLast = response == &m_responses.back() && m_state == State::Idle;
    response->start(status, headers, length, !(m_closesWhenIdle && isLast));
    m_isLastRequestRead = m_isLastRequestRead || !response->keepsAlive();
    sendReadyResponses();
}

void CallerConnection::writeBody(const CallerRequest &request, std::string_view bytes)
{
    auto *response = findResponse(request);
    if (!response)
        return;
    response->writeBody(bytes);
    sendReadyResponses();
    if (isFirst(request) && unsentBytes() == 0)
        m_responses.front().request()->connectionFlushed();
    updateMemory();
}

void CallerConnection::finishResponse(const CallerRequest &request)
{
    auto *response = findResponse(request);
    if (!response)
        return;
    response->releaseRequest();
    if (response->missingBytes() > 0) {
        log::warn("response-shorter-than-stated", {{"missing-bytes", response->missingBytes()}});
        close(true);
        return;
    }
    response->finish();
    sendReadyResponses();
    continueReading();
    updateMemory();
}

void CallerConnection::sendReadyResponses()
{
    bool isNextFirst = false;
    // The time that the caller needs to read counts from here, not from its request.
    if (unsentBytes() == 0)
        recordProgress(BootClock::now());
    while (!m_responses.empty()) {
        auto &first = m_responses.front();
        bufferevent_write_buffer(m_events, first.output());
        if (!first.isFinished())
            break;
        const bool keepsAlive = first.keepsAlive();
        m_responses.pop_front();
        isNextFirst = true;
        onFirstResponseSent(keepsAlive);
    }
    if (isNextFirst && !m_responses.empty())
        m_responses.front().request()->becameFirst();
}

void CallerConnection::onFirstResponseSent(bool keepsAlive)
{
    if (!keepsAlive) {
        m_state = State::Lingering;
        if (unsentBytes() > 0)
            waitForFlush();
        else
            shutdownWrite();
        return;
    }
    sendContinue();
    if (m_state == State::Idle && m_responses.empty())
        waitForFlush();
}

bool CallerConnection::isReplaceable() const
{
    switch (m_state) {
    case State::ReadingHead:
    case State::ReadingBody:
    case State::Lingering:
        return true;
    case State::Idle:
        return m_responses.empty() || hasUnsentOutput();
    case State::Closed:
        break;
    }
    return false;
}

bool CallerConnection::hasUnsentOutput() const
{
    return unsentBytes() > 0
           || std::any_of(m_responses.begin(), m_responses.end(), [](const auto &response) {
                  return evbuffer_get_length(response.output()) > 0;
              });
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

void CallerConnection::shutdownWrite()
{
    shutdown(bufferevent_getfd(m_events), SHUT_WR);
    m_unsentBytes = 0;
    setTimer(LingerTimeout);
}

void CallerConnection::abort(const CallerRequest &request)
{
    if (auto *response = findResponse(request))
        response->releaseRequest();
    close(true);
}

void CallerConnection::onWritten(bufferevent *, void *self)
{
    static_cast<CallerConnection *>(self)->onFlushed();
}

void CallerConnection::onFlushed()
{
    recordProgress(BootClock::now());
    if (m_state == State::Lingering)
        shutdownWrite();
    else if (!m_responses.empty())
        m_responses.front().request()->connectionFlushed();
    updateMemory();
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
    case State::ReadingBody:
        onBodyTimeout();
        break;
    case State::ReadingHead:
        fail(ErrorCode::RequestTimeout, "request not received within the timeout");
        break;
    case State::Closed:
        break;
    }
}

void CallerConnection::onBodyTimeout()
{
    if (m_isWaitingForMemory) {
        refuseForMemory();
        return;
    }
    if (isBodyTooSlow()) {
        ++m_server.m_counters.slowBodies;
        fail(ErrorCode::RequestTimeout, "body below the least rate");
    } else if (BootClock::now() - m_lastInput >= m_server.limits().idleTimeout) {
        fail(ErrorCode::RequestTimeout, "request not received within the timeout");
    } else {
        startBodyTimer();
    }
}

void CallerConnection::closeUnread()
{
    const bool isIncomplete = unsentBytes() > 0;
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
    m_memory.releasePromise();
    m_memory.hold(0);
    m_parser.reset();
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
    // Requests end within the callbacks and must not find their responses here.
    for (auto &response : std::exchange(m_responses, {})) {
        if (auto *request = response.releaseRequest())
            request->connectionClosed();
    }
    m_server.release(this);
}

void CallerConnection::send(std::string_view bytes)
{
    bufferevent_write(m_events, bytes.data(), bytes.size());
}

} // namespace berylspur
