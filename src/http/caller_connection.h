// One caller connection: reads requests one at a time and writes their responses.
#pragma once

#include "berylspur/core/timer.h"
#include "berylspur/http/caller_server.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <event2/bufferevent.h>
#include <optional>

namespace berylspur {

/// State machine of an HTTP/1.1 server connection. Invariant: at most one request is open.
/// Pipelined input stays in the buffer until the response is complete.
class CallerConnection
{
public:
    CallerConnection(CallerServer &server, evutil_socket_t fd);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    // Called by the open request.
    void startResponse(std::uint32_t status, const HeaderList &headers,
                       std::optional<std::uint64_t> length, bool close);
    void writeBody(std::string_view bytes);
    void finishResponse();
    void abort();

    /// True if response bytes are not yet written to the socket.
    bool hasUnsentOutput() const { return unsentBytes() > 0; }

private:
    enum class State { Idle, ReadingHead, ReadingBody, Responding, Lingering, Closed };
    enum class Framing { Length, Chunked, UntilClose, NoBody };
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    static void onRead(bufferevent *, void *self);
    static void onWritten(bufferevent *, void *self);
    static void onEvent(bufferevent *, short events, void *self);

    void read();
    bool readHead();
    void readBody();
    /// Checks what the parser does not reject. Fails with a 3xxx code.
    Result<void> checkHead(std::string_view head) const;
    void fail(ErrorCode code, const std::string &detail);
    void deliverRequest(Error error);
    /// Starts the idle timeout, which is extended as long as the caller reads.
    void waitForFlush();
    void enterIdle();
    void onTimeout();
    void onFlushed();
    void shutdownWrite();
    std::size_t unsentBytes() const;
    /// Closes after a timeout; resets the connection if the caller did not read its response.
    void closeUnread();
    void close(bool reset);
    void send(std::string_view bytes);
    void setTimer(Duration delay);

    CallerServer &m_server;
    bufferevent *m_events;
    Timer m_timer;
    Timer m_nextRequestTimer;
    State m_state = State::Idle;
    std::optional<Parser> m_parser;
    HeaderList m_headers; // of the request that is being read, without trailers
    CallerRequest *m_request = nullptr; // the open request, owned by the server's handler
    Framing m_framing = Framing::NoBody;
    std::uint64_t m_remainingLength = 0; // body bytes left of Content-Length
    std::size_t m_unsentBytes = 0; // when the idle timeout started
    bool m_isHead = false;
    bool m_isHttp10 = false;
    bool m_keepAlive = true;
};

} // namespace berylspur
