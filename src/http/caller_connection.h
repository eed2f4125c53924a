// One caller connection: reads requests and writes their responses in the same order.
#pragma once

#include "berylspur/core/memory_budget.h"
#include "berylspur/core/timer.h"
#include "berylspur/http/caller_server.h"
#include "caller_response.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <event2/bufferevent.h>
#include <optional>

namespace berylspur {

/// State machine of an HTTP/1.1 server connection. A pipelined request is read before the earlier
/// responses are complete if each earlier request allows it; otherwise it stays in the input
/// buffer. Invariant: only the first of the open responses writes to the socket.
class CallerConnection
{
public:
    CallerConnection(CallerServer &server, evutil_socket_t fd);
    ~CallerConnection();
    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    // Called by an open request.
    void startResponse(const CallerRequest &request, std::uint32_t status,
                       const HeaderList &headers, std::optional<std::uint64_t> length, bool close);
    void writeBody(const CallerRequest &request, std::string_view bytes);
    void finishResponse(const CallerRequest &request);
    void abort(const CallerRequest &request);
    bool isFirst(const CallerRequest &request) const;
    /// The open requests allow that the next one is read.
    void continueReading();

    /// True if response bytes are not yet written to the socket.
    bool hasUnsentOutput() const;

    /// True if the connection only waits for its caller, so that closing it loses no response that
    /// an endpoint still prepares.
    bool isReplaceable() const;
    /// Time at which the caller last sent or took a relevant amount of data.
    TimePoint lastProgress() const { return m_lastProgress; }
    /// Closes the connection without a response.
    void closeForLimit() { close(true); }

private:
    /// Idle: no request is being read; requests may be open.
    enum class State { Idle, ReadingHead, ReadingBody, Lingering, Closed };
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    static void onRead(bufferevent *, void *self);
    static void onWritten(bufferevent *, void *self);
    static void onEvent(bufferevent *, short events, void *self);

    void read();
    /// True if the next request may be read although earlier ones are open.
    bool mayReadNext() const;
    /// Asks the caller for the body it holds back, unless earlier responses must be sent first.
    void sendContinue();
    bool readHead();
    void readBody();
    /// Decides whether the body is kept, and reserves memory for it. Returns false if the request
    /// is refused or has to wait.
    bool prepareBody();
    /// Returns true if the next part of the body may be read; otherwise it waits for memory.
    bool hasRoomForBody();
    void waitForMemory();
    void onMemoryPromised();
    void closeForMemory();
    void refuseForMemory();
    void onBodyTimeout();
    /// States what the connection holds to the memory budget.
    void updateMemory();
    void recordProgress(TimePoint now);
    /// Starts the timeout of the body, and the check of its rate.
    void startBodyTimer();
    /// True if the body came too slowly over the time that has ended.
    bool isBodyTooSlow();
    /// Checks what the parser does not reject. Fails with a 3xxx code.
    Result<void> checkHead(std::string_view head) const;
    void fail(ErrorCode code, const std::string &detail);
    void deliverRequest(Error error);
    /// Starts the idle timeout, which is extended as long as the caller reads.
    void waitForFlush();
    /// Moves the output of the first responses to the socket, up to the first incomplete one.
    void sendReadyResponses();
    void onFirstResponseSent(bool keepsAlive);
    CallerResponse *findResponse(const CallerRequest &request);
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
    RequestFraming m_requestFraming; // of the request that is being read
    TimePoint m_lastInput; // time at which bytes last arrived
    TimePoint m_lastProgress = BootClock::now();
    MemoryHolder m_memory;
    std::size_t m_headMemory = 0; // estimate for the head that is being read
    std::size_t m_bodyRoom = 0; // body bytes that may be kept
    std::size_t m_progressBytes = 0; // body bytes since the last progress
    bool m_keepsBody = true;
    bool m_isWaitingForMemory = false;
    TimePoint m_rateWindowEnd {}; // of the check of the body's rate
    std::size_t m_rateWindowBytes = 0;
    std::deque<CallerResponse> m_responses; // of the open requests, in the order of their arrival
    std::size_t m_unsentBytes = 0; // when the idle timeout started
    bool m_expectsContinue = false; // the caller waits for an interim response
    // The last response says that the connection closes: no further request is read.
    bool m_isLastRequestRead = false;
    bool m_closesWhenIdle = false; // the next response without an open request behind it says so
};

} // namespace berylspur
