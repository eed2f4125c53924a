// Idempotency keys and lost responses: claims at the home of a key, and queries to an owner for the
// state of a request.
#include "gate_request.h"
#include "peer_reply.h"

namespace berylspur {

namespace {

constexpr std::uint32_t StatusConflict = 409;

} // namespace

void GateRequest::claimKey()
{
    const auto *home = m_context.members.find(keyHomeOf(m_key, m_context.knownNodes()));
    const auto address = home ? Address::parse(home->peer_address())
                              : Result<Address>(failure(ErrorCode::PeerUnreachable));
    if (!address) {
        finishUnknown(ErrorCode::OutcomeUnknownKeyHome);
        return;
    }
    schema::Claim claim;
    claim.set_key(m_key);
    claim.set_request_id(m_id.toBytes());
    claim.set_owner(m_node);
    claim.set_owner_incarnation(m_incarnation);
    if (m_replacedClaim) {
        claim.set_replaces(m_replacedClaim->request.toBytes());
        claim.set_replaces_owner(m_replacedClaim->owner);
        claim.set_replaces_owner_incarnation(m_replacedClaim->ownerIncarnation);
    }
    const auto failed = [this] { onClaimFailure(); };
    const auto answered = [this, failed](const std::string &envelope, const std::string &) {
        schema::ClaimReply reply;
        if (reply.ParseFromString(envelope))
            onClaimReply(reply);
        else
            failed();
    };
    m_exchange = m_context.peers.channel(address.value(), TrafficClass::Short)
                         .start(
                                 PeerMethod::Claim,
                                 [text = claim.SerializeAsString()](std::uint64_t) { return text; },
                                 {}, collectReply(answered, failed));
}

void GateRequest::onClaimReply(const schema::ClaimReply &reply)
{
    switch (reply.verdict()) {
    case schema::ClaimReply::GRANTED:
        m_keyClaimed = true;
        m_replacedClaim.reset();
        dispatch();
        return;
    case schema::ClaimReply::SEEN:
        if (const auto first = RequestId::fromBytes(reply.request_id())) {
            m_askIsAboutFirstUse = true;
            ask(*first, reply.owner(), reply.owner_incarnation());
            return;
        }
        break;
    default:
        break;
    }
    onClaimFailure();
}

void GateRequest::onClaimFailure()
{
    m_exchange.reset();
    // On a planned shutdown a home hands its records over, and its successor replies shortly
    // afterwards, so the claim is retried.
    if (m_deadlinePassed || ++m_failedClaims >= MaxClaims)
        finishUnknown(ErrorCode::OutcomeUnknownKeyHome);
    else
        m_claimTimer.start(ClaimRetryDelay);
}

void GateRequest::releaseKey()
{
    if (!std::exchange(m_keyClaimed, false))
        return;
    const auto *home = m_context.members.find(keyHomeOf(m_key, m_context.knownNodes()));
    const auto address = home ? Address::parse(home->peer_address())
                              : Result<Address>(failure(ErrorCode::PeerUnreachable));
    if (!address)
        return;
    schema::Claim claim;
    claim.set_key(m_key);
    claim.set_request_id(m_id.toBytes());
    claim.set_release(true);
    m_context.peers.channel(address.value(), TrafficClass::Short)
            .start(PeerMethod::Claim,
                   [text = claim.SerializeAsString()](std::uint64_t) { return text; }, {}, {});
}

void GateRequest::ask(const RequestId &id, const std::string &node, Incarnation incarnation)
{
    m_askId = id;
    m_askNode = node;
    m_askIncarnation = incarnation;
    const auto *member = m_context.members.find(node);
    if (!member || member->incarnation() != incarnation) {
        // The owner restarted or is no longer a member, so its records are lost.
        finishUnknown(ErrorCode::OutcomeUnknown);
        return;
    }
    const auto address = Address::parse(member->peer_address());
    if (!address) {
        finishUnknown(ErrorCode::OutcomeUnknown);
        return;
    }
    schema::Ask ask;
    ask.set_request_id(id.toBytes());
    ask.set_owner_incarnation(incarnation);
    const auto failed = [this] { onAskFailure(); };
    const auto answered = [this, failed](const std::string &envelope, const std::string &body) {
        schema::AskReply reply;
        if (reply.ParseFromString(envelope))
            onAskReply(reply, body);
        else
            failed();
    };
    m_exchange = m_context.peers.channel(address.value(), TrafficClass::Short)
                         .start(
                                 PeerMethod::Ask,
                                 [text = ask.SerializeAsString()](std::uint64_t) { return text; },
                                 {}, collectReply(answered, failed));
}

void GateRequest::onAskFailure()
{
    m_exchange.reset();
    if (m_deadlinePassed)
        finishUnknown(ErrorCode::OutcomeUnknown);
    else
        m_askTimer.start(AskRetryDelay);
}

void GateRequest::onAskReply(const schema::AskReply &reply, const std::string &body)
{
    const auto self = shared_from_this();
    m_exchange.reset();
    switch (reply.state()) {
    case schema::REQUEST_REVOKED:
        if (m_askIsAboutFirstUse) {
            m_replacedClaim = KeyClaim {m_askId, m_askNode, m_askIncarnation};
            claimKey();
        } else {
            m_earlierAttemptMayHaveRun = false;
            retry(ErrorCode::NotRunRevoked, false);
        }
        return;
    case schema::REQUEST_DISPATCHED:
        if (m_askIsAboutFirstUse)
            respondFailure(StatusConflict, ErrorCode::KeyInProgress, UnknownOutcome);
        else
            m_askTimer.start(AskRetryDelay);
        return;
    case schema::REQUEST_DONE:
        if (reply.answer_kept()) {
            auto headers = headersFrom(reply);
            headers.emplace_back(RequestIdHeader, m_askId.toHex());
            headers.emplace_back(OutcomeHeader, RanOutcome);
            ++m_context.counters.answered;
            m_caller->respond(reply.status(), headers, body);
            complete();
            return;
        }
        // The request ran, but its response is not available. The caller gets the outcome
        // "unknown".
        finishUnknown(ErrorCode::AnswerLost);
        return;
    default:
        finishUnknown(ErrorCode::OutcomeUnknown);
    }
}

} // namespace berylspur
