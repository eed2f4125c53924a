// Endpoint responses: validation, forwarding to gates, and input for the failure detector.
#include "owner_task_impl.h"

#include <optional>
#include <utility>

namespace berylspur {

namespace {

// Unsent bytes to a slow gate above which reading from the endpoint is paused.
constexpr std::size_t MaxPendingBytes = StreamWindowBytes;

RequestOutcome outcomeFor(CallResult end, std::uint32_t status)
{
    constexpr std::uint32_t Unavailable = 503;
    constexpr std::uint32_t FirstServerError = 500;
    if (end != CallResult::Complete)
        return RequestOutcome::Reset;
    if (status == Unavailable)
        return RequestOutcome::Shed;
    return status >= FirstServerError ? RequestOutcome::ServerError : RequestOutcome::Answered;
}

/// Code of a call that ended without a response that can be used.
ErrorCode codeFor(CallResult end)
{
    switch (end) {
    case CallResult::ConnectFailed:
        return ErrorCode::NotRunEndpointUnreachable;
    case CallResult::InvalidStatus:
        return ErrorCode::EndpointResponseInvalid;
    case CallResult::Complete:
    case CallResult::Broken:
        break;
    }
    return ErrorCode::EndpointFailed;
}

} // namespace

void OwnerTask::Impl::onResponseHeaders(OwnedEndpoint &endpoint, const RequestId &id,
                                        std::uint32_t status, const HeaderList &headers)
{
    auto &request = endpoint.requests.at(id);
    const auto now = BootClock::now();
    request.serviceTime = now - request.started;
    endpoint.detector.onFirstByte(id, now);
    m_serviceTimes[static_cast<int>(request.requestClass)].record(request.serviceTime);
    request.response.status = status;
    request.response.headers = forwardableHeaders(headers);
    if (m_bufferBytes == 0)
        sendResponseHeaders(endpoint, request, std::nullopt);
}

void OwnerTask::Impl::sendResponseHeaders(OwnedEndpoint &endpoint, OwnedRequest &request,
                                          std::optional<std::uint64_t> length)
{
    request.replied = true;
    if (request.isGateDisconnected)
        return;
    schema::DispatchReply reply;
    reply.set_status(request.response.status);
    reply.set_incarnation(m_incarnation);
    reply.set_service_us(static_cast<std::uint32_t>(request.serviceTime.count()));
    const auto usual =
            endpoint.detector.usualFirstByte(requestClassFrom(request.dispatch.request_class()),
                                             request.dispatch.route(), BootClock::now());
    reply.set_usual_us(static_cast<std::uint32_t>(usual.count()));
    if (length)
        reply.set_length_plus_one(*length + 1);
    fillLoad(*reply.mutable_load(), endpoint, request.dispatch.route());
    for (const auto &[name, value] : request.response.headers) {
        auto *header = reply.add_headers();
        header->set_name(name);
        header->set_value(value);
    }
    request.peer->reply(reply.SerializeAsString());
}

void OwnerTask::Impl::onResponseData(OwnedEndpoint &endpoint, const RequestId &id,
                                     std::string_view bytes)
{
    auto &request = endpoint.requests.at(id);
    if (request.replied) {
        streamData(request, bytes);
        return;
    }
    request.response.body.append(bytes);
    request.responseMemory.resize(request.response.body.capacity());
    // While memory is short, responses are streamed, since flow control bounds what is held then.
    const bool isShort = m_memory && m_memory->isShort();
    if (request.response.body.size() <= m_bufferBytes && !isShort)
        return;
    request.isStorable = false;
    const auto buffered = std::exchange(request.response.body, {});
    request.responseMemory.resize(0);
    const auto code = validateResponse(request);
    if (code != ErrorCode::Ok) {
        refuse(*request.peer, request.dispatch, code, {}, &endpoint);
        request.isGateDisconnected = true;
        return;
    }
    sendResponseHeaders(endpoint, request, std::nullopt);
    streamData(request, buffered);
}

void OwnerTask::Impl::streamData(OwnedRequest &request, std::string_view bytes)
{
    constexpr auto MaxStoredBytes = RequestLedger::Limits {}.maxResponseBytes;
    request.isStorable = request.isStorable && !request.dispatch.idempotent()
                         && request.response.body.size() + bytes.size() <= MaxStoredBytes;
    if (request.isStorable)
        request.response.body.append(bytes);
    if (request.isGateDisconnected)
        return;
    request.peer->write(bytes);
    if (request.peer->pendingBytes() > MaxPendingBytes) {
        request.call->pause();
        // The stream may drain after the request has ended and its endpoint was replaced.
        request.peer->onDrained([running = std::weak_ptr(request.call)] {
            if (const auto call = running.lock())
                call->resume();
        });
    }
}

ErrorCode OwnerTask::Impl::validateResponse(const OwnedRequest &request) const
{
    constexpr std::uint32_t FirstSuccess = 200;
    constexpr std::uint32_t FirstRedirect = 300;
    const auto &response = request.response;
    const auto has = [&response](const std::string &name) {
        return !name.empty() && !headerValue(response.headers, name).empty();
    };
    if (has(m_names.notExecuted) || (!m_names.targetEndpoint.empty() && response.status == 421))
        return ErrorCode::NotRunEndpointRefused;
    const bool success = response.status >= FirstSuccess && response.status < FirstRedirect;
    if (success && !m_names.signature.empty()
        && (!has(m_names.signature) || has("Content-Encoding")))
        return ErrorCode::EndpointResponseInvalid;
    return ErrorCode::Ok;
}

void OwnerTask::Impl::onEndpointResponseEnd(OwnedEndpoint &endpoint, const RequestId &id,
                                            CallResult end)
{
    const auto now = BootClock::now();
    auto &request = endpoint.requests.at(id);
    const auto call = std::move(request.call); // keeps the call alive until this callback returns
    auto outcome = outcomeFor(end, request.response.status);
    // An error response after a failed nested call is a fault of the called service. Ejecting the
    // calling endpoint would spread the failure.
    if (outcome == RequestOutcome::ServerError && request.hasFailedNestedCall)
        outcome = RequestOutcome::DependencyFailed;
    endpoint.detector.onRequestFinished(id, outcome, now);
    recordChanges(endpoint, now);
    const bool complete = end == CallResult::Complete;
    const auto code = complete ? validateResponse(request) : codeFor(end);
    if (!request.isGateDisconnected) {
        if (code != ErrorCode::Ok) {
            failRequest(request, code, endpoint);
        } else {
            if (!request.replied) {
                sendResponseHeaders(endpoint, request, request.response.body.size());
                request.peer->write(request.response.body);
            }
            request.peer->finish();
        }
    }
    constexpr auto MaxStoredBytes = RequestLedger::Limits {}.maxResponseBytes;
    const bool storeResponse = code == ErrorCode::Ok && request.isStorable
                               && !request.dispatch.idempotent()
                               && request.response.body.size() <= MaxStoredBytes;
    m_ledger.finish(id, storeResponse ? std::optional(std::move(request.response)) : std::nullopt,
                    now);
    removeRequest(endpoint, id, now);
    publish(now); // gates must learn of an ejection immediately
    startQueuedRequests(endpoint, now);
}

OwnedRequest *OwnerTask::Impl::parentOf(const std::string &id) const
{
    for (const auto &[name, endpoint] : m_endpoints) {
        for (auto &[key, request] : endpoint->requests) {
            const auto &parent = request.dispatch.caller_request_id();
            if (request.call && !parent.empty() && parent.size() < id.size()
                && id.starts_with(parent))
                return &request;
        }
    }
    return nullptr;
}

void OwnerTask::Impl::onNestedCallEnded(const NestedCallEnded &call)
{
    auto *parent = parentOf(call.id);
    if (!parent)
        return;
    parent->hasFailedNestedCall = parent->hasFailedNestedCall || !call.isSuccess;
    m_calls.onCallEnded(parent->dispatch.route(),
                        {call.service, call.isRefused, call.serviceTime, call.wait},
                        BootClock::now());
}

} // namespace berylspur
