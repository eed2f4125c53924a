// Responses of an endpoint, with the injected faults, and the ends of requests: response sent,
// deadline passed, connection closed by the caller.
#include "endpoint.h"

#include <algorithm>
#include <sys/socket.h>

namespace berylspur::standin {

void Endpoint::addNotExecutedHeader(evhttp_request *request) const
{
    if (m_protocol.notExecuted)
        evhttp_add_header(evhttp_request_get_output_headers(request), m_protocol.notExecuted, "1");
}

void Endpoint::addHeaders(const Work &work)
{
    auto *headers = evhttp_request_get_output_headers(work.request);
    const auto add = [headers](const char *name, const std::string &value) {
        if (name)
            evhttp_add_header(headers, name, value.c_str());
    };
    add(m_protocol.endpointLoad, std::to_string(m_busy) + "," + std::to_string(m_queue.size()) + ","
                                         + std::to_string(m_options.slots));
    if (work.kind == WorkKind::Probe) {
        add(m_protocol.endpointId, m_id);
        return;
    }
    if (m_protocol.signature) {
        add(m_protocol.requestId, work.id);
        add(m_protocol.signature, "sig-" + work.id);
    }
}

void Endpoint::onWorkDone(evutil_socket_t, short, void *context)
{
    auto *work = static_cast<Work *>(context);
    work->endpoint->finish(*work);
}

void Endpoint::finish(Work &work)
{
    if (work.kind == WorkKind::Request)
        m_log.finish(work.id, work.key);
    work.phase = WorkPhase::Sending;
    work.closeEvent.reset();
    work.deadlineTimer.reset();
    addHeaders(work);
    if (work.kind == WorkKind::Probe) {
        const bool isLeaving = m_protocol.servesWhileDraining && state() == EndpointState::Draining;
        return replyJson(work.request, m_faults.failProbes || isLeaving ? 503 : 200,
                         {{"id", m_id}, {"state", enumName(EndpointStateNames, state())}});
    }
    if (work.endless)
        return startEndless(work);
    if (m_faults.dropResponses)
        return abortConnection(work, false);
    if (drawWithProbability(m_faults.resetShare))
        return abortConnection(work, true);
    if (drawWithProbability(m_faults.errorShare))
        return replyJson(work.request, 500, {{"error", "fault"}, {"endpoint", m_id}});
    work.truncate = m_faults.truncate;
    if ((work.bytes || work.truncate)
        && evhttp_request_get_command(work.request) != EVHTTP_REQ_HEAD)
        return startStream(work);
    replyJson(work.request, m_faults.status,
              {{"id", work.id},
               {"endpoint", m_id},
               {"service", m_options.service},
               {"caller-service", m_protocol.callerService
                                          ? header(work.request, m_protocol.callerService)
                                          : std::string()},
               {"customer", header(work.request, m_protocol.customer)},
               {"customer-key", header(work.request, m_protocol.customerKey)},
               {"token", work.token}});
}

void Endpoint::startStream(Work &work)
{
    if (!work.bytes)
        work.bytes = 4096;
    evkeyvalq *headers = evhttp_request_get_output_headers(work.request);
    evhttp_add_header(headers, "Content-Length", std::to_string(*work.bytes).c_str());
    evhttp_add_header(headers, "Content-Type", "text/plain");
    evhttp_send_reply_start(work.request, 200, "OK");
    sendChunk(work);
}

void Endpoint::sendChunk(Work &work)
{
    constexpr std::size_t ChunkBytes = 64 << 10;
    const std::size_t end = work.truncate ? *work.bytes / 2 : *work.bytes;
    const std::size_t size = std::min(ChunkBytes, end - work.sent);
    if (size == 0) {
        if (work.truncate)
            return abortConnection(work, false);
        return evhttp_send_reply_end(work.request);
    }
    const std::string line = work.token + "\n";
    std::string text;
    text.reserve(size + line.size());
    std::size_t offset = work.sent % line.size();
    while (text.size() < size) {
        text.append(line, offset, std::string::npos);
        offset = 0;
    }
    work.sent += size;
    const BufferPtr buffer(evbuffer_new());
    evbuffer_add(buffer.get(), text.data(), size);
    evhttp_send_reply_chunk_with_cb(work.request, buffer.get(), &Endpoint::onChunkSent, &work);
}

void Endpoint::onChunkSent(evhttp_connection *, void *context)
{
    auto *work = static_cast<Work *>(context);
    work->endpoint->sendChunk(*work);
}

void Endpoint::startEndless(Work &work)
{
    constexpr std::size_t WriteBytes = 256 << 10;
    const auto response = endlessResponse(*work.endless);
    while (work.endlessBytes.size() < WriteBytes)
        work.endlessBytes.append(response.repeated);
    auto *connection = evhttp_connection_get_bufferevent(work.connection);
    bufferevent_setcb(connection, nullptr, &Endpoint::onEndlessSent, &Endpoint::onEndlessClosed,
                      &work);
    bufferevent_write(connection, response.start.data(), response.start.size());
    bufferevent_enable(connection, EV_READ | EV_WRITE);
    onEndlessSent(connection, &work);
}

void Endpoint::onEndlessSent(bufferevent *connection, void *context)
{
    const auto &bytes = static_cast<Work *>(context)->endlessBytes;
    bufferevent_write(connection, bytes.data(), bytes.size());
}

void Endpoint::onEndlessClosed(bufferevent *connection, short, void *context)
{
    auto *work = static_cast<Work *>(context);
    bufferevent_setcb(connection, nullptr, nullptr, nullptr, nullptr);
    work->endpoint->m_log.recordEvent("endless-closed", work->id, work->key);
    work->endpoint->abortConnection(*work, false);
}

void Endpoint::abortConnection(Work &work, bool reset)
{
    if (reset) {
        const linger abortive {1, 0};
        const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(work.connection));
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &abortive, sizeof abortive);
    }
    work.timer.reset(event_new(m_base, -1, 0, &Endpoint::onAbort, &work));
    const timeval now {0, 0};
    event_add(work.timer.get(), &now);
}

void Endpoint::onAbort(evutil_socket_t, short, void *context)
{
    auto *work = static_cast<Work *>(context);
    evhttp_connection_free(work->connection);
}

void Endpoint::onSent(evhttp_request *, void *context)
{
    auto *work = static_cast<Work *>(context);
    evhttp_connection_set_closecb(work->connection, nullptr, nullptr);
    work->endpoint->remove(*work);
}

void Endpoint::onClosed(evutil_socket_t, short, void *context)
{
    auto *work = static_cast<Work *>(context);
    evhttp_connection_free(work->connection);
}

void Endpoint::onConnectionFreed(evhttp_connection *, void *context)
{
    auto *work = static_cast<Work *>(context);
    if (work->kind == WorkKind::Request && work->phase != WorkPhase::Sending)
        work->endpoint->m_log.recordEvent("cancel", work->id, work->key);
    work->endpoint->remove(*work);
}

void Endpoint::onDeadline(evutil_socket_t, short, void *context)
{
    auto *work = static_cast<Work *>(context);
    Endpoint *self = work->endpoint;
    self->m_log.recordEvent("deadline", work->id, work->key);
    work->timer.reset();
    work->closeEvent.reset();
    std::erase(self->m_queue, work);
    const bool ran = work->phase == WorkPhase::Running;
    if (!ran)
        ++self->m_busy; // remove() releases a slot for every request that is not queued
    work->phase = WorkPhase::Sending;
    if (!ran)
        self->addNotExecutedHeader(work->request);
    replyJson(work->request, ran ? 504 : 503, {{"error", "deadline"}});
}

} // namespace berylspur::standin
