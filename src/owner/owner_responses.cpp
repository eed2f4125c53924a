// Responses of endpoints: handed to gates, judged, and taken as evidence about the endpoint.
#include "owner_task_impl.h"

#include <optional>
#include <utility>

namespace berylspur {

namespace {

// Bytes towards a slow gate above which reading from the endpoint stops.
constexpr std::size_t MaxPendingBytes = StreamWindowBytes;

WorkOutcome outcomeOf(CallEnd end, std::uint32_t status)
{
    constexpr std::uint32_t Unavailable = 503;
    constexpr std::uint32_t FirstServerError = 500;
    if (end != CallEnd::Complete)
        return WorkOutcome::Reset;
    if (status == Unavailable)
        return WorkOutcome::Shed;
    return status >= FirstServerError ? WorkOutcome::ServerError : WorkOutcome::Answered;
}

} // namespace

void OwnerTask::Impl::responseStarted(OwnedEndpoint &endpoint, const RequestId &id,
                                      std::uint32_t status, const HeaderList &headers)
{
    auto &request = endpoint.requests.at(id);
    const auto now = BootClock::now();
    request.serviceTime = now - request.started;
    endpoint.detector.firstByte(id, now);
    m_serviceTimes[static_cast<int>(request.workClass)].record(request.serviceTime);
    request.kept.status = status;
    request.kept.headers = forwardable(headers);
    if (m_bufferBytes == 0)
        reply(endpoint, request, std::nullopt);
}

void OwnerTask::Impl::reply(OwnedEndpoint &endpoint, OwnedRequest &request,
                            std::optional<std::uint64_t> length)
{
    request.replied = true;
    if (request.gateGone)
        return;
    schema::DispatchReply reply;
    reply.set_status(request.kept.status);
    reply.set_incarnation(m_incarnation);
    reply.set_service_us(static_cast<std::uint32_t>(request.serviceTime.count()));
    if (length)
        reply.set_length_plus_one(*length + 1);
    fillLoad(*reply.mutable_load(), endpoint);
    for (const auto &[name, value] : request.kept.headers) {
        auto *header = reply.add_headers();
        header->set_name(name);
        header->set_value(value);
    }
    request.peer->reply(reply.SerializeAsString());
}

void OwnerTask::Impl::responseData(OwnedEndpoint &endpoint, const RequestId &id,
                                   std::string_view bytes)
{
    auto &request = endpoint.requests.at(id);
    if (request.replied) {
        streamData(endpoint, id, request, bytes);
        return;
    }
    request.kept.body.append(bytes);
    if (request.kept.body.size() <= m_bufferBytes)
        return;
    request.keepable = false;
    const auto begun = std::exchange(request.kept.body, {});
    const auto code = judge(request);
    if (code != ErrorCode::Ok) {
        refuse(*request.peer, request.dispatch, code, {}, &endpoint);
        request.gateGone = true;
        return;
    }
    reply(endpoint, request, std::nullopt);
    streamData(endpoint, id, request, begun);
}

void OwnerTask::Impl::streamData(OwnedEndpoint &endpoint, const RequestId &id,
                                 OwnedRequest &request, std::string_view bytes)
{
    constexpr auto MaxKept = RequestLedger::Limits {}.maxAnswerBytes;
    request.keepable = request.keepable && !request.dispatch.idempotent()
                       && request.kept.body.size() + bytes.size() <= MaxKept;
    if (request.keepable)
        request.kept.body.append(bytes);
    if (request.gateGone)
        return;
    request.peer->write(bytes);
    if (request.peer->pendingBytes() > MaxPendingBytes) {
        request.call->pause();
        request.peer->onDrained([&endpoint, id] {
            const auto found = endpoint.requests.find(id);
            if (found != endpoint.requests.end() && found->second.call)
                found->second.call->resume();
        });
    }
}

ErrorCode OwnerTask::Impl::judge(const OwnedRequest &request) const
{
    constexpr std::uint32_t FirstSuccess = 200;
    constexpr std::uint32_t FirstRedirect = 300;
    const auto &kept = request.kept;
    const auto has = [&kept](const std::string &name) {
        return !name.empty() && !headerValue(kept.headers, name).empty();
    };
    if (has(m_names.notExecuted) || (!m_names.targetEndpoint.empty() && kept.status == 421))
        return ErrorCode::NotRunEndpointRefused;
    const bool success = kept.status >= FirstSuccess && kept.status < FirstRedirect;
    if (success && !m_names.signature.empty()
        && (!has(m_names.signature) || has("Content-Encoding")))
        return ErrorCode::EndpointResponseInvalid;
    return ErrorCode::Ok;
}

void OwnerTask::Impl::callEnded(OwnedEndpoint &endpoint, const RequestId &id, CallEnd end)
{
    const auto now = BootClock::now();
    auto &request = endpoint.requests.at(id);
    const auto call = std::move(request.call); // outlives the callback that it is in
    auto outcome = outcomeOf(end, request.kept.status);
    // An endpoint answers with an error if a call that it needs fails: the called service is at
    // fault, and ejecting its callers would spread the failure.
    if (outcome == WorkOutcome::ServerError && request.callFailed)
        outcome = WorkOutcome::DependencyFailed;
    endpoint.detector.finished(id, outcome, now);
    recordChanges(endpoint, now);
    const bool complete = end == CallEnd::Complete;
    auto code = complete ? judge(request) : ErrorCode::EndpointFailed;
    if (end == CallEnd::ConnectFailed)
        code = ErrorCode::NotRunEndpointUnreachable;
    if (!request.gateGone) {
        if (code != ErrorCode::Ok) {
            fail(request, code, endpoint);
        } else {
            if (!request.replied) {
                reply(endpoint, request, request.kept.body.size());
                request.peer->write(request.kept.body);
            }
            request.peer->finish();
        }
    }
    constexpr auto MaxKept = RequestLedger::Limits {}.maxAnswerBytes;
    const bool keep = code == ErrorCode::Ok && request.keepable && !request.dispatch.idempotent()
                      && request.kept.body.size() <= MaxKept;
    m_ledger.finish(id, keep ? std::optional(std::move(request.kept)) : std::nullopt, now);
    remove(endpoint, id, now);
    publish(now); // gates should learn of an ejection at once
    pump(endpoint, now);
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

void OwnerTask::Impl::nestedCallEnded(const CallEnded &call)
{
    if (auto *parent = parentOf(call.id); parent && !call.isSuccess)
        parent->callFailed = true;
}

} // namespace berylspur
