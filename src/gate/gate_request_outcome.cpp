// Idempotency keys and lost responses: claims at the home of a key, and the question to an owner
// what became of a request.
#include "gate_request.h"
#include "peer_reply.h"

namespace berylspur {

namespace {

constexpr std::uint32_t StatusConflict = 409;

} // namespace

void GateRequest::claimKey()
{
    const auto *home = m_context.table.find(keyHomeOf(m_key, m_context.knownNodes()));
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
    if (m_replaces) {
        claim.set_replaces(m_replaces->request.toBytes());
        claim.set_replaces_owner(m_replaces->owner);
        claim.set_replaces_owner_incarnation(m_replaces->ownerIncarnation);
    }
    const auto failed = [this] { claimFailed(); };
    const auto answered = [this, failed](const std::string &envelope, const std::string &) {
        schema::ClaimReply reply;
        if (reply.ParseFromString(envelope))
            claimAnswered(reply);
        else
            failed();
    };
    m_exchange = m_context.peers.channel(address.value(), TrafficClass::Short)
                         .start(
                                 PeerMethod::Claim,
                                 [text = claim.SerializeAsString()](std::uint64_t) { return text; },
                                 {}, collect(answered, failed));
}

void GateRequest::claimAnswered(const schema::ClaimReply &reply)
{
    switch (reply.verdict()) {
    case schema::ClaimReply::GRANTED:
        m_keyClaimed = true;
        m_replaces.reset();
        dispatch();
        return;
    case schema::ClaimReply::SEEN:
        if (const auto first = RequestId::fromBytes(reply.request_id())) {
            m_askIsRepeat = true;
            ask(*first, reply.owner(), reply.owner_incarnation());
            return;
        }
        break;
    default:
        break;
    }
    claimFailed();
}

void GateRequest::claimFailed()
{
    m_exchange.reset();
    // A home that stops in a planned way hands its records over; a moment later the next one
    // answers.
    if (m_pastDeadline || ++m_failedClaims >= MaxClaims)
        finishUnknown(ErrorCode::OutcomeUnknownKeyHome);
    else
        m_claimTimer.start(ClaimAgainAfter);
}

void GateRequest::releaseKey()
{
    if (!std::exchange(m_keyClaimed, false))
        return;
    const auto *home = m_context.table.find(keyHomeOf(m_key, m_context.knownNodes()));
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
    const auto *member = m_context.table.find(node);
    if (!member || member->incarnation() != incarnation) {
        // The owner restarted or is forgotten; its records are gone.
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
    const auto failed = [this] { askFailed(); };
    const auto answered = [this, failed](const std::string &envelope, const std::string &body) {
        schema::AskReply reply;
        if (reply.ParseFromString(envelope))
            askAnswered(reply, body);
        else
            failed();
    };
    m_exchange = m_context.peers.channel(address.value(), TrafficClass::Short)
                         .start(
                                 PeerMethod::Ask,
                                 [text = ask.SerializeAsString()](std::uint64_t) { return text; },
                                 {}, collect(answered, failed));
}

void GateRequest::askFailed()
{
    m_exchange.reset();
    if (m_pastDeadline)
        finishUnknown(ErrorCode::OutcomeUnknown);
    else
        m_askTimer.start(AskAgainAfter);
}

void GateRequest::askAnswered(const schema::AskReply &reply, const std::string &body)
{
    const auto self = shared_from_this();
    m_exchange.reset();
    switch (reply.state()) {
    case schema::REQUEST_REVOKED:
        if (m_askIsRepeat) {
            m_replaces = KeyClaim {m_askId, m_askNode, m_askIncarnation};
            claimKey();
        } else {
            m_mayHaveRun = false;
            retry(ErrorCode::NotRunRevoked, false);
        }
        return;
    case schema::REQUEST_DISPATCHED:
        if (m_askIsRepeat)
            respondFailure(StatusConflict, ErrorCode::KeyInProgress, UnknownOutcome);
        else
            m_askTimer.start(AskAgainAfter);
        return;
    case schema::REQUEST_DONE:
        if (reply.answer_kept()) {
            auto headers = headersOf(reply);
            headers.emplace_back(RequestIdHeader, m_askId.toHex());
            headers.emplace_back(OutcomeHeader, RanOutcome);
            ++m_context.counters.answered;
            m_caller->respond(reply.status(), headers, body);
            done();
            return;
        }
        finishUnknown(ErrorCode::AnswerLost);
        return;
    default:
        finishUnknown(ErrorCode::OutcomeUnknown);
    }
}

} // namespace berylspur
