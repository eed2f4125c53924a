// Offers of requests with large bodies: the owner decides before the body is sent.
#include "owner_task_impl.h"

namespace berylspur {

QueuedRequest queuedRequest(const schema::Dispatch &dispatch, const RequestId &id,
                            RequestClass requestClass, TimePoint deadline)
{
    QueuedRequest queued;
    queued.id = id;
    queued.requestClass = requestClass;
    queued.customer = dispatch.customer();
    queued.route = dispatch.route();
    queued.deadline = deadline;
    queued.isNestedCall = dispatch.is_call();
    queued.latencyTarget = std::chrono::milliseconds(dispatch.target_latency_ms());
    queued.priority = dispatch.priority();
    return queued;
}

void OwnerTask::Impl::offer(const std::shared_ptr<PeerRequest> &peer)
{
    const auto now = BootClock::now();
    checkForPause(now);
    schema::Dispatch dispatch;
    const bool parsed = dispatch.ParseFromString(peer->envelope());
    const auto id = RequestId::fromBytes(dispatch.request_id());
    if (!parsed || !id) {
        peer->abort();
        return;
    }
    const auto found = m_endpoints.find(dispatch.endpoint());
    auto *endpoint = found == m_endpoints.end() ? nullptr : found->second.get();
    if (const auto code = checkAdmission(dispatch, endpoint, now); code != ErrorCode::Ok) {
        refuse(*peer, dispatch, code, {}, endpoint);
        return;
    }
    const auto requestClass = endpoint->scheduler.effectiveClass(
            dispatch.route(), requestClassFrom(dispatch.request_class()));
    const auto deadline = now + std::chrono::milliseconds(dispatch.remaining_ms());
    const auto queued = queuedRequest(dispatch, *id, requestClass, deadline);
    const auto expected = endpoint->offered.count(now);
    if (const auto refusal = endpoint->scheduler.preview(queued, expected, now)) {
        refuse(*peer, dispatch, refusal->code, refusal->retryAfter, endpoint);
        return;
    }
    endpoint->offered.add(*id, now);
    schema::DispatchReply reply;
    reply.set_incarnation(m_incarnation);
    fillLoad(*reply.mutable_load(), *endpoint, dispatch.route());
    peer->reply(reply.SerializeAsString());
    peer->finish();
}

} // namespace berylspur
