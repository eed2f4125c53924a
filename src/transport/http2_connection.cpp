// nghttp2 session on a bufferevent. Frames submitted during one iteration of the event loop are
// written together.
#include "http2_connection.h"

#include "berylspur/core/log.h"
#include "berylspur/transport/peer.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cstring>
#include <event2/buffer.h>
#include <utility>

namespace berylspur {

namespace {

// All streams share the connection window. It is much larger than a stream window, so that slow
// readers on some streams do not block the others.
constexpr std::int32_t ConnectionWindowBytes = 64 << 20;
// Limit on the bytes queued in the socket buffer. The rest stays in nghttp2, which orders frames by
// stream priority.
constexpr std::size_t MaxSocketBufferBytes = 64u << 10;
constexpr std::uint32_t MaxConcurrentStreams = 10000;

nghttp2_nv header(std::string_view name, std::string_view value)
{
    return {reinterpret_cast<std::uint8_t *>(const_cast<char *>(name.data())),
            reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data())), name.size(),
            value.size(), NGHTTP2_NV_FLAG_NO_COPY_NAME};
}

Http2Listener *listener(void *self)
{
    return static_cast<Http2Connection *>(self)->listener();
}

int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *user)
{
    if (frame->hd.type == NGHTTP2_HEADERS && frame->headers.cat == NGHTTP2_HCAT_REQUEST)
        listener(user)->onStreamOpened(frame->hd.stream_id);
    return 0;
}

int onHeaderField(nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name,
                  std::size_t nameLength, const std::uint8_t *value, std::size_t valueLength,
                  std::uint8_t, void *user)
{
    listener(user)->onHeader(frame->hd.stream_id,
                             {reinterpret_cast<const char *>(name), nameLength},
                             {reinterpret_cast<const char *>(value), valueLength});
    return 0;
}

int onDataChunk(nghttp2_session *session, std::uint8_t, std::int32_t stream,
                const std::uint8_t *data, std::size_t length, void *user)
{
    nghttp2_session_consume_connection(session, length);
    listener(user)->onData(stream, {reinterpret_cast<const char *>(data), length});
    return 0;
}

int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *user)
{
    if (frame->hd.type == NGHTTP2_PING) {
        std::uint64_t opaque = 0;
        std::memcpy(&opaque, frame->ping.opaque_data, sizeof opaque);
        listener(user)->onPing(opaque, frame->hd.flags & NGHTTP2_FLAG_ACK);
    }
    const bool mayEndStream = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    if (mayEndStream && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM))
        listener(user)->onEndOfStream(frame->hd.stream_id);
    return 0;
}

int onClose(nghttp2_session *, std::int32_t stream, std::uint32_t error, void *user)
{
    static_cast<Http2Connection *>(user)->discardOutput(stream);
    listener(user)->onStreamClosed(stream, error);
    return 0;
}

} // namespace

nghttp2_session_callbacks *Http2Connection::callbacks()
{
    static nghttp2_session_callbacks *const instance = [] {
        nghttp2_session_callbacks *table = nullptr;
        nghttp2_session_callbacks_new(&table);
        nghttp2_session_callbacks_set_on_begin_headers_callback(table, onBeginHeaders);
        nghttp2_session_callbacks_set_on_header_callback(table, onHeaderField);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(table, onDataChunk);
        nghttp2_session_callbacks_set_on_frame_recv_callback(table, onFrame);
        nghttp2_session_callbacks_set_on_stream_close_callback(table, onClose);
        return table;
    }();
    return instance;
}

Http2Connection::Http2Connection(event_base *base, bufferevent *buffer, Http2Role role,
                                 Http2Listener *listener, MemoryBudget *memory)
    : m_buffer(buffer), m_flush(event_new(base, -1, 0, onFlush, this)), m_listener(listener),
      m_memory(memory)
{
    nghttp2_option *option = nullptr;
    nghttp2_option_new(&option);
    nghttp2_option_set_no_auto_window_update(option, 1);
    // Requests between nodes carry no ":authority", which nghttp2's HTTP message validation
    // rejects.
    nghttp2_option_set_no_http_messaging(option, 1);
    if (role == Http2Role::Client)
        nghttp2_session_client_new2(&m_session, callbacks(), this, option);
    else
        nghttp2_session_server_new2(&m_session, callbacks(), this, option);
    nghttp2_option_del(option);
    const nghttp2_settings_entry settings[] = {
            {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, MaxConcurrentStreams},
            {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, StreamWindowBytes},
    };
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings, std::size(settings));
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, ConnectionWindowBytes);
    bufferevent_setcb(m_buffer, onRead, onWritten, onEvent, this);
    bufferevent_enable(m_buffer, EV_READ | EV_WRITE);
    scheduleFlush();
}

Http2Connection::~Http2Connection()
{
    event_free(m_flush);
    nghttp2_session_del(m_session);
    bufferevent_free(m_buffer);
}

std::int32_t Http2Connection::request(const std::string &path, std::string start, SharedBody body,
                                      const std::string &name, const std::string &value)
{
    constexpr std::size_t CommonHeaders = 3;
    // The name of the last header may be temporary, so nghttp2 copies it.
    auto last = header(name, value);
    last.flags = NGHTTP2_NV_FLAG_NONE;
    const nghttp2_nv headers[] = {header(":method", "POST"), header(":scheme", "http"),
                                  header(":path", path), last};
    const auto count = CommonHeaders + (name.empty() ? 0 : 1);
    nghttp2_data_provider provider {};
    provider.source.ptr = this;
    provider.read_callback = readOutput;
    const auto stream =
            nghttp2_submit_request(m_session, nullptr, headers, count, &provider, nullptr);
    if (stream < 0)
        return stream;
    auto &output = m_outputs[stream];
    output.bytes = std::move(start);
    output.body = std::move(body);
    output.finished = true;
    scheduleFlush();
    return stream;
}

void Http2Connection::respond(std::int32_t stream, bool isCounted)
{
    const nghttp2_nv headers[] = {header(":status", "200")};
    nghttp2_data_provider provider {};
    provider.source.ptr = this;
    provider.read_callback = readOutput;
    m_outputs[stream].isCounted = isCounted && m_memory;
    nghttp2_submit_response(m_session, stream, headers, std::size(headers), &provider);
    scheduleFlush();
}

void Http2Connection::write(std::int32_t stream, std::string_view bytes)
{
    const auto found = m_outputs.find(stream);
    if (found == m_outputs.end() || bytes.empty())
        return;
    auto &output = found->second;
    output.bytes.append(bytes);
    countOutput(stream, output);
    const bool large = output.pending() >= StreamWindowBytes / 2;
    if (large && !std::exchange(output.backlogged, true))
        m_backlogged.push_back(stream);
    if (std::exchange(output.deferred, false))
        nghttp2_session_resume_data(m_session, stream);
    scheduleFlush();
}

void Http2Connection::finish(std::int32_t stream)
{
    const auto found = m_outputs.find(stream);
    if (found == m_outputs.end())
        return;
    found->second.finished = true;
    if (std::exchange(found->second.deferred, false))
        nghttp2_session_resume_data(m_session, stream);
    scheduleFlush();
}

void Http2Connection::countOutput(std::int32_t stream, Output &output)
{
    constexpr std::size_t MinCountedBytes = 16u << 10;
    if (!output.isCounted || (!output.memory && output.pending() < MinCountedBytes))
        return;
    if (!output.memory) {
        MemoryHolder::Callbacks callbacks;
        callbacks.close = [this, stream] {
            log::info("response-closed-for-memory", {{"bytes", pendingBytes(stream)}});
            reset(stream);
        };
        output.memory = std::make_unique<MemoryHolder>(m_memory, MemoryUse::Responses,
                                                       std::move(callbacks));
    }
    output.memory->hold(output.pending());
}

void Http2Connection::reset(std::int32_t stream, std::uint32_t error)
{
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream, error);
    m_outputs.erase(stream);
    scheduleFlush();
}

void Http2Connection::ping(std::uint64_t opaque)
{
    const auto bytes = std::bit_cast<std::array<std::uint8_t, sizeof opaque>>(opaque);
    nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, bytes.data());
    scheduleFlush();
}

void Http2Connection::goAway()
{
    nghttp2_submit_goaway(m_session, NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(m_session), NGHTTP2_NO_ERROR,
                          nullptr, 0);
    scheduleFlush();
}

void Http2Connection::consume(std::int32_t stream, std::size_t bytes)
{
    nghttp2_session_consume_stream(m_session, stream, bytes);
    scheduleFlush();
}

std::size_t Http2Connection::pendingBytes(std::int32_t stream) const
{
    const auto found = m_outputs.find(stream);
    return found == m_outputs.end() ? 0 : found->second.pending();
}

bool Http2Connection::hasUnsentOutput() const
{
    const auto isUnsent = [](const auto &item) {
        const auto &output = item.second;
        return output.finished || output.pending() > 0;
    };
    return evbuffer_get_length(bufferevent_get_output(m_buffer)) > 0
           || std::any_of(m_outputs.begin(), m_outputs.end(), isUnsent);
}

ssize_t Http2Connection::readOutput(nghttp2_session *, std::int32_t stream, std::uint8_t *buffer,
                                    std::size_t length, std::uint32_t *flags,
                                    nghttp2_data_source *source, void *)
{
    auto *self = static_cast<Http2Connection *>(source->ptr);
    const auto found = self->m_outputs.find(stream);
    if (found == self->m_outputs.end())
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    auto &output = found->second;
    if (output.offset == output.bytes.size() && output.bodyOffset < output.body.size())
        return self->readBody(output, buffer, length, flags);
    const auto part = std::min(length, output.bytes.size() - output.offset);
    if (part == 0 && !output.finished) {
        output.deferred = true;
        return NGHTTP2_ERR_DEFERRED;
    }
    std::copy_n(output.bytes.data() + output.offset, part, buffer);
    output.offset += part;
    if (output.offset >= StreamWindowBytes) {
        // A large response gives its storage back as it is sent.
        constexpr std::size_t MaxKeptBytes = 4 * StreamWindowBytes;
        if (output.bytes.capacity() > MaxKeptBytes)
            output.bytes = output.bytes.substr(output.offset);
        else
            output.bytes.erase(0, output.offset);
        output.offset = 0;
    }
    if (output.offset == output.bytes.size()) {
        output.bytes.clear();
        output.offset = 0;
        if (output.finished && output.pending() == 0)
            *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    if (output.memory && part > 0) {
        output.memory->progressed(BootClock::now());
        self->countOutput(stream, output);
    }
    return static_cast<ssize_t>(part);
}

ssize_t Http2Connection::readBody(Output &output, std::uint8_t *buffer, std::size_t length,
                                  std::uint32_t *flags)
{
    const auto rest = output.body.bytes().substr(output.bodyOffset);
    const auto part = std::min(length, rest.size());
    std::copy_n(rest.data(), part, buffer);
    output.bodyOffset += part;
    if (part == rest.size() && output.finished)
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(part);
}

void Http2Connection::scheduleFlush()
{
    if (std::exchange(m_flushScheduled, true))
        return;
    event_active(m_flush, EV_TIMEOUT, 0);
}

void Http2Connection::onFlush(evutil_socket_t, short, void *self)
{
    auto *connection = static_cast<Http2Connection *>(self);
    connection->m_flushScheduled = false;
    connection->flush();
}

void Http2Connection::flush()
{
    if (m_closed)
        return;
    auto *out = bufferevent_get_output(m_buffer);
    while (evbuffer_get_length(out) < MaxSocketBufferBytes) {
        const std::uint8_t *bytes = nullptr;
        const auto length = nghttp2_session_mem_send(m_session, &bytes);
        if (length <= 0)
            break;
        evbuffer_add(out, bytes, static_cast<std::size_t>(length));
    }
    if (!m_backlogged.empty())
        notifyDrained();
}

void Http2Connection::notifyDrained()
{
    std::vector<std::int32_t> drained;
    std::erase_if(m_backlogged, [&](std::int32_t stream) {
        const auto found = m_outputs.find(stream);
        if (found == m_outputs.end())
            return true;
        if (pendingBytes(stream) >= StreamWindowBytes / 2)
            return false;
        found->second.backlogged = false;
        drained.push_back(stream);
        return true;
    });
    for (const auto stream : drained)
        m_listener->onDrained(stream);
}

void Http2Connection::onRead(bufferevent *buffer, void *self)
{
    auto *connection = static_cast<Http2Connection *>(self);
    auto *in = bufferevent_get_input(buffer);
    while (!connection->m_closed && evbuffer_get_length(in) > 0) {
        evbuffer_iovec chunk {};
        evbuffer_peek(in, -1, nullptr, &chunk, 1);
        const auto used = nghttp2_session_mem_recv(
                connection->m_session, static_cast<const std::uint8_t *>(chunk.iov_base),
                chunk.iov_len);
        if (used < 0) {
            connection->handleConnectionLost();
            return;
        }
        evbuffer_drain(in, static_cast<std::size_t>(used));
    }
    connection->scheduleFlush();
}

void Http2Connection::onWritten(bufferevent *, void *self)
{
    static_cast<Http2Connection *>(self)->scheduleFlush();
}

void Http2Connection::onEvent(bufferevent *, short what, void *self)
{
    auto *connection = static_cast<Http2Connection *>(self);
    if (what & BEV_EVENT_CONNECTED)
        connection->m_listener->onConnected();
    else if ((what & BEV_EVENT_TIMEOUT) && connection->m_listener->onReadTimeout())
        bufferevent_enable(connection->m_buffer, EV_READ); // libevent disables reading on a timeout
    else
        connection->handleConnectionLost();
}

void Http2Connection::handleConnectionLost()
{
    if (std::exchange(m_closed, true))
        return;
    bufferevent_disable(m_buffer, EV_READ | EV_WRITE);
    m_listener->onConnectionLost();
}

} // namespace berylspur
