// Claims, quota leases and the handover of key records.
#include "home_task.h"

#include "berylspur/core/log.h"
#include "berylspur/routing/customer_limit.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace berylspur {

namespace {

constexpr Duration TickInterval = std::chrono::seconds(1);
KeyHome::Limits limitsFor(Duration retention)
{
    KeyHome::Limits limits;
    limits.retention = retention;
    // A shorter retention, as used in tests, shortens both times in proportion.
    constexpr Duration MinTime = std::chrono::seconds(5);
    limits.majorityLease = std::clamp(retention * 2 / 5, MinTime, KeyHome::Limits().majorityLease);
    limits.convergenceTime = std::clamp(retention / 2, MinTime, KeyHome::Limits().convergenceTime);
    return limits;
}

KeyQuorum quorumOf(schema::KeyQuorum quorum)
{
    switch (quorum) {
    case schema::KEY_QUORUM_HELD:
        return KeyQuorum::Held;
    case schema::KEY_QUORUM_LOST:
        return KeyQuorum::Lost;
    default:
        return KeyQuorum::Forming;
    }
}

schema::KeyQuorum toSchema(KeyQuorum quorum)
{
    switch (quorum) {
    case KeyQuorum::Held:
        return schema::KEY_QUORUM_HELD;
    case KeyQuorum::Lost:
        return schema::KEY_QUORUM_LOST;
    case KeyQuorum::Forming:
        break;
    }
    return schema::KEY_QUORUM_FORMING;
}

void reply(PeerRequest &request, const std::string &envelope)
{
    request.reply(envelope);
    request.finish();
}

} // namespace

HomeTask::HomeTask(event_base *base, MembershipTask &membership, PeerPool &peers,
                   Duration keyRetention, bool grantsKeys)
    : m_membership(membership), m_peers(peers), m_limits(limitsFor(keyRetention)),
      m_grantsKeys(grantsKeys),
      m_keys(m_limits, BootClock::now(), false, membership.table().self().node()),
      m_timer(base, [this] { tick(); })
{
    m_timer.start(TickInterval);
}

void HomeTask::configure(const std::vector<const schema::ServiceConfig *> &changed)
{
    for (const auto *config : changed) {
        auto &service = m_services[config->service()] = *config;
        // Routes take most of the memory and are not needed here. clear_routes() would keep it
        // allocated.
        google::protobuf::RepeatedPtrField<schema::Route>().Swap(
                service.mutable_content()->mutable_routes());
    }
}

void HomeTask::startEmpty()
{
    log::info("key-home-starts-empty");
    m_keys = KeyHome(m_limits, BootClock::now(), true, m_membership.table().self().node());
}

void HomeTask::tick()
{
    m_timer.start(TickInterval);
    const auto now = BootClock::now();
    updateFleetView(now);
    m_keys.expire(now);
    m_rates.expire(now);
}

void HomeTask::viewChanged()
{
    // After a planned stop, the next home handles claims at once instead of after its next tick.
    updateFleetView(BootClock::now());
}

void HomeTask::updateFleetView(TimePoint now)
{
    if (!m_grantsKeys)
        return;
    m_keys.updateView(fleetView(now), now);
    m_membership.setKeyQuorum(toSchema(m_keys.quorum(now)));
}

FleetView HomeTask::fleetView(TimePoint now) const
{
    const auto &table = m_membership.table();
    FleetView view;
    for (const auto &contact : table.contacts()) {
        const bool isSelf = contact.node == table.self().node();
        view.known.push_back(
                {contact.node, isSelf ? now : contact.lastContact, quorumOf(contact.keyQuorum)});
    }
    view.lastHeardByPeer = table.lastHeardByPeer();
    view.reachesMostEndpoints = m_keys.quorum(now) == KeyQuorum::Forming && reachesMostEndpoints();
    return view;
}

bool HomeTask::reachesMostEndpoints() const
{
    std::size_t declared = 0;
    std::size_t reachable = 0;
    for (const auto &[name, config] : m_services) {
        if (config.deleted())
            continue;
        declared += config.content().endpoints();
        const auto endpoints = m_membership.table().endpoints(name);
        reachable += static_cast<std::size_t>(
                std::count_if(endpoints.begin(), endpoints.end(),
                              [](const EndpointView &endpoint) { return endpoint.ownerAlive; }));
    }
    return 2 * reachable > declared;
}

void HomeTask::handleClaim(const std::shared_ptr<PeerRequest> &request)
{
    schema::Claim claim;
    const bool parsed = claim.ParseFromString(request->envelope());
    const auto id = RequestId::fromBytes(claim.request_id());
    if (!parsed || !id) {
        request->abort();
        return;
    }
    schema::ClaimReply response;
    if (claim.release()) {
        m_keys.release(claim.key(), *id);
        reply(*request, response.SerializeAsString());
        return;
    }
    std::optional<KeyClaim> replaces;
    if (const auto replaced = RequestId::fromBytes(claim.replaces()))
        replaces = {*replaced, claim.replaces_owner(), claim.replaces_owner_incarnation()};
    const auto result = m_keys.claim(claim.key(), {*id, claim.owner(), claim.owner_incarnation()},
                                     replaces, BootClock::now());
    switch (result.verdict) {
    case ClaimVerdict::Granted:
        response.set_verdict(schema::ClaimReply::GRANTED);
        break;
    case ClaimVerdict::Seen:
        response.set_verdict(schema::ClaimReply::SEEN);
        response.set_request_id(result.first.request.toBytes());
        response.set_owner(result.first.owner);
        response.set_owner_incarnation(result.first.ownerIncarnation);
        break;
    case ClaimVerdict::Unknown:
        response.set_verdict(schema::ClaimReply::UNKNOWN);
        break;
    }
    reply(*request, response.SerializeAsString());
}

void HomeTask::handleQuota(const std::shared_ptr<PeerRequest> &request)
{
    schema::QuotaRequest quotaRequest;
    if (!quotaRequest.ParseFromString(request->envelope())) {
        request->abort();
        return;
    }
    schema::QuotaReply response;
    const auto now = BootClock::now();
    for (const auto &entry : quotaRequest.entries()) {
        auto *granted = response.add_entries();
        const auto service = m_services.find(entry.service());
        if (service == m_services.end())
            continue;
        const auto limit = rateLimitFor(service->second, entry.customer());
        const auto lease = m_rates.grant(rateKey(entry.service(), entry.customer()), limit,
                                         entry.used(), entry.wanted(), now);
        granted->set_granted(lease.tokens);
        // Rounded up: a gate that asks again too early finds no token and overdraws by its credit.
        granted->set_retry_after_ms(static_cast<std::uint32_t>(
                std::chrono::ceil<std::chrono::milliseconds>(lease.retryAfter).count()));
    }
    reply(*request, response.SerializeAsString());
}

void HomeTask::handleKeyHandover(const std::shared_ptr<PeerRequest> &request)
{
    schema::KeyHandover handover;
    if (!handover.ParseFromString(request->envelope())) {
        request->abort();
        return;
    }
    std::vector<KeyHandoverRecord> records;
    for (const auto &record : handover.records()) {
        const auto id = RequestId::fromBytes(record.request_id());
        if (!id)
            continue;
        records.push_back({record.key(),
                           {*id, record.owner(), record.owner_incarnation()},
                           std::chrono::milliseconds(record.age_ms())});
    }
    m_keys.acceptHandover(records, BootClock::now());
    reply(*request, {});
}

void HomeTask::handOver(std::function<void(bool complete)> done)
{
    auto others = m_membership.table().known();
    std::erase(others, m_membership.table().self().node());
    const auto now = BootClock::now();
    auto complete = std::make_shared<bool>(m_keys.hasAllRecords(now));
    std::map<std::string, schema::KeyHandover> byHome;
    for (const auto &record : m_keys.handOver(now)) {
        auto &handover = byHome[keyHomeOf(record.key, others)];
        auto *target = handover.add_records();
        target->set_key(record.key);
        target->set_request_id(record.claim.request.toBytes());
        target->set_owner(record.claim.owner);
        target->set_owner_incarnation(record.claim.ownerIncarnation);
        target->set_age_ms(static_cast<std::uint32_t>(toMs(record.age)));
    }
    auto open = std::make_shared<std::size_t>(1);
    const auto finished = [open, complete, done = std::move(done)] {
        if (--*open == 0)
            done(*complete);
    };
    for (auto &[home, handover] : byHome) {
        const auto *member = m_membership.table().find(home);
        const auto address = member ? Address::parse(member->peer_address())
                                    : Result<Address>(failure(ErrorCode::PeerUnreachable));
        if (!address) {
            *complete = false;
            continue;
        }
        handover.set_node(m_membership.table().self().node());
        ++*open;
        ExchangeHandler handler;
        handler.ended = [finished, complete, name = home](ErrorCode code) {
            *complete = *complete && code == ErrorCode::Ok;
            if (code != ErrorCode::Ok)
                log::warn("key-handover-failed", {{"home", name}, {"code", errorName(code)}});
            finished();
        };
        m_peers.channel(address.value(), TrafficClass::Control)
                .start(
                        PeerMethod::KeyHandover,
                        [text = handover.SerializeAsString()](std::uint64_t) { return text; }, {},
                        std::move(handler));
    }
    finished();
}

nlohmann::json HomeTask::dump() const
{
    return {{"keys", m_keys.size()},
            {"grants", m_keys.grants(BootClock::now())},
            {"customers", m_rates.size()}};
}

} // namespace berylspur
