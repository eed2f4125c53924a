// HTTP/2 connection: an nghttp2 session on a libevent bufferevent.
#pragma once

#include "berylspur/core/clock.h"
#include "berylspur/core/memory_budget.h"
#include "berylspur/core/shared_body.h"

#include <cstdint>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace berylspur {

/// Receives the events of a connection, on the event loop's thread.
class Http2Listener
{
public:
    virtual ~Http2Listener() = default;
    /// The peer opened a stream (server only).
    virtual void onStreamOpened(std::int32_t stream) = 0;
    virtual void onHeader(std::int32_t stream, std::string_view name, std::string_view value) = 0;
    virtual void onData(std::int32_t stream, std::string_view bytes) = 0;
    /// The peer closed its direction of the stream (END_STREAM).
    virtual void onEndOfStream(std::int32_t stream) = 0;
    /// \a error is an HTTP/2 error code; 0 (NO_ERROR) for a normal close.
    virtual void onStreamClosed(std::int32_t stream, std::uint32_t error) = 0;
    virtual void onPing(std::uint64_t opaque, bool acknowledgement) = 0;
    /// The unsent output of \a stream fell below half a stream window.
    virtual void onDrained(std::int32_t stream) = 0;
    virtual void onConnected() = 0;
    /// The read timeout of the bufferevent expired. Returns true to keep the connection.
    virtual bool onReadTimeout() = 0;
    /// The connection was closed, or the peer violated the protocol. No call follows.
    virtual void onConnectionLost() = 0;
};

enum class Http2Role { Client, Server };

class Http2Connection
{
public:
    /// Takes ownership of \a buffer. \a memory counts the output of responses that ask for it;
    /// null: it is not counted.
    Http2Connection(event_base *base, bufferevent *buffer, Http2Role role, Http2Listener *listener,
                    MemoryBudget *memory = nullptr);
    ~Http2Connection();
    Http2Connection(const Http2Connection &) = delete;
    Http2Connection &operator=(const Http2Connection &) = delete;

    /// Opens a stream and sends \a start, then \a body (client), with a header if \a name is not
    /// empty. Returns the stream id, or a negative nghttp2 error code.
    std::int32_t request(const std::string &path, std::string start, SharedBody body = {},
                         const std::string &name = {}, const std::string &value = {});
    /// Starts a response (server). Its body is sent by write() and completed by finish().
    /// \a isCounted: its unsent bytes count against the memory budget, which may reset the stream.
    void respond(std::int32_t stream, bool isCounted = false);
    void write(std::int32_t stream, std::string_view bytes);
    void finish(std::int32_t stream);
    void reset(std::int32_t stream, std::uint32_t error = NGHTTP2_INTERNAL_ERROR);
    void ping(std::uint64_t opaque);
    void goAway();

    /// Returns \a bytes to the receive window of the stream.
    void consume(std::int32_t stream, std::size_t bytes);
    std::size_t pendingBytes(std::int32_t stream) const;
    /// True if bytes passed to write() are not yet written to the socket.
    bool hasUnsentOutput() const;
    bool isClosed() const { return m_closed; }
    bufferevent *buffer() const { return m_buffer; }
    Http2Listener *listener() const { return m_listener; }
    /// Discards the output of a stream that nghttp2 has closed.
    void discardOutput(std::int32_t stream) { m_outputs.erase(stream); }

private:
    struct Output
    {
        std::string bytes;
        std::size_t offset = 0; // bytes before it were passed to nghttp2
        SharedBody body; // sent after bytes
        std::size_t bodyOffset = 0;
        std::unique_ptr<MemoryHolder> memory; // null while there is little output
        bool isCounted = false;
        bool finished = false;
        bool deferred = false; // nghttp2 waits for nghttp2_session_resume_data()
        bool backlogged = false; // in m_backlogged

        std::size_t pending() const { return bytes.size() - offset + body.size() - bodyOffset; }
    };

    static void onRead(bufferevent *buffer, void *self);
    static void onWritten(bufferevent *buffer, void *self);
    static void onEvent(bufferevent *buffer, short what, void *self);
    static void onFlush(evutil_socket_t, short, void *self);
    static ssize_t readOutput(nghttp2_session *session, std::int32_t stream, std::uint8_t *buffer,
                              std::size_t length, std::uint32_t *flags, nghttp2_data_source *source,
                              void *self);
    static ssize_t readBody(Output &output, std::uint8_t *buffer, std::size_t length,
                            std::uint32_t *flags);
    static nghttp2_session_callbacks *callbacks();

    /// Counts the unsent bytes of a response. The stream is reset if memory is needed.
    void countOutput(std::int32_t stream, Output &output);
    void scheduleFlush();
    void flush();
    void notifyDrained();
    void handleConnectionLost();

    bufferevent *m_buffer;
    event *m_flush;
    nghttp2_session *m_session = nullptr;
    Http2Listener *m_listener;
    MemoryBudget *m_memory;
    std::unordered_map<std::int32_t, Output> m_outputs;
    std::vector<std::int32_t> m_backlogged; // streams awaiting onDrained()
    bool m_flushScheduled = false;
    bool m_closed = false;
};

} // namespace berylspur
