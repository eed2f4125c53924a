// Large bodies: the owner is asked first, so that a body is not sent to one that refuses the
// request. Without this, each refusal costs the transfer of the whole body, and at a load peak the
// links of the owners' hosts carry mostly bodies that are thrown away.
#include "gate_request.h"
#include "peer_reply.h"

#include <algorithm>

namespace berylspur {

void GateRequest::offer()
{
    const auto answered = [this](const std::string &envelope, const std::string &) {
        schema::DispatchReply reply;
        if (reply.ParseFromString(envelope))
            onOfferReply(reply);
        else
            onOfferFailure();
    };
    m_exchange = m_context.peers.channel(m_address, TrafficClass::Short)
                         .start(
                                 PeerMethod::Offer,
                                 [this](std::uint64_t tick) { return dispatchEnvelope(tick); }, {},
                                 collectReply(answered, [this] { onOfferFailure(); }));
}

void GateRequest::onOfferReply(const schema::DispatchReply &reply)
{
    const auto self = shared_from_this();
    m_exchange.reset();
    m_context.pathHealth.recordSuccess(m_node);
    recordReply(reply);
    const auto code = errorFromNumber(reply.code());
    if (code == ErrorCode::Ok) {
        sendAttempt();
        return;
    }
    m_retryAfter =
            std::max<Duration>(m_retryAfter, std::chrono::milliseconds(reply.retry_after_ms()));
    retry(code, false);
}

void GateRequest::onOfferFailure()
{
    const auto self = shared_from_this();
    m_exchange.reset();
    m_context.pathHealth.recordFailure(m_node, BootClock::now());
    retry(ErrorCode::NotRunOwnerUnreachable, false);
}

} // namespace berylspur
