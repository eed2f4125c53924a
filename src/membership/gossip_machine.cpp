// SWIM: direct and indirect probes, suspicion, and records from peers. Push rounds are in
// gossip_push.cpp.
#include "berylspur/membership/gossip_machine.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace berylspur {

namespace {

/// Dead members are still probed, so that both sides of a healed partition find each other.
constexpr Duration DeadProbeInterval = std::chrono::seconds(5);
constexpr Duration ExpireInterval = std::chrono::seconds(5);
/// Keeps a request for the same record from being repeated within one round trip.
constexpr Duration MinRequestInterval = std::chrono::milliseconds(100);
/// Older contacts are not shared. Bounds the error of the contact time that the receiver assumes.
constexpr Duration ContactWindow = std::chrono::seconds(15);
/// At 4 packets/s, 64 hashes cover the nodes that a node receives packets from in ContactWindow.
constexpr std::size_t MaxSharedContacts = 64;
/// Protobuf tag and length prefix of a record within a packet.
constexpr std::size_t RecordOverheadBytes = 4;

} // namespace

GossipMachine::GossipMachine(GossipSettings settings, schema::MemberRecord self, Random random)
    : m_settings(std::move(settings)), m_random(random), m_table(std::move(self))
{
    m_probeNumber = m_random() >> 16;
    m_pushBudget = m_settings.pushBurstBytes;
    scheduleUpdate(m_table.self().node(), true, UpdateOrigin::Own);
}

std::vector<OutgoingPacket> GossipMachine::tick(TimePoint now)
{
    std::vector<OutgoingPacket> out;
    detectPause(now);
    if (m_probe && !m_probe->indirectSent && now - m_probe->sent >= m_settings.ackTimeout)
        probeIndirectly(out, now);
    if (now >= m_nextProbe) {
        finishProbe(now);
        probeNext(out, now);
        m_nextProbe = std::max(m_nextProbe + m_settings.probeInterval, now);
    }
    if (now >= m_nextDeadProbe) {
        probeDeadMember(out, now);
        m_nextDeadProbe = now + DeadProbeInterval;
    }
    expireSuspicions(now);
    refillPushBudget(now);
    requestDeferredRecords(out, now);
    pushRound(out, now);
    if (now >= m_nextExpire) {
        m_nextExpire = now + ExpireInterval;
        m_table.expire(now);
        std::erase_if(m_updates, [&](const auto &e) { return !m_table.find(e.first); });
        std::erase_if(m_requestedAt,
                      [&](const auto &e) { return now - e.second > MinRequestInterval; });
        std::erase_if(m_relayedProbes,
                      [&](const auto &e) { return now - e.second.sent > ExpireInterval; });
    }
    return out;
}

void GossipMachine::detectPause(TimePoint now)
{
    const auto last = m_lastTick;
    m_lastTick = now;
    if (!last) {
        // Random offsets keep nodes that start together from probing in lockstep.
        m_nextProbe = now + Duration(m_random() % m_settings.probeInterval.count());
        m_nextDeadProbe = now + Duration(m_random() % DeadProbeInterval.count());
        m_nextExpire = now + ExpireInterval;
        return;
    }
    if (now - *last <= PauseThreshold)
        return;
    ++m_counters.pauses;
    m_probe.reset();
    m_table.extendSuspicions(now - *last);
    m_nextProbe = now;
}

schema::GossipPacket GossipMachine::basePacket(schema::GossipPacket::Kind kind, TimePoint now) const
{
    schema::GossipPacket packet;
    packet.set_fleet(m_settings.fleet);
    packet.set_schema_version(m_settings.schemaVersion);
    packet.set_kind(kind);
    packet.set_from(m_table.self().node());
    packet.set_from_address(m_table.self().peer_address());
    packet.set_config_revision(m_configRevision);
    if (m_settings.shareContacts && kind != schema::GossipPacket::UPDATE) {
        const auto contacts = m_table.directContactsSince(now - ContactWindow, MaxSharedContacts);
        packet.mutable_heard()->Assign(contacts.begin(), contacts.end());
    }
    return packet;
}

void GossipMachine::send(std::vector<OutgoingPacket> &out, const std::string &address,
                         schema::GossipPacket packet)
{
    ++m_counters.packets;
    const auto bytes = packet.ByteSizeLong();
    m_counters.bytes += bytes;
    m_counters.remoteBytes += peers().localAddresses.contains(address) ? 0 : bytes;
    out.push_back({address, std::move(packet)});
}

bool GossipMachine::addUpdate(schema::GossipPacket &packet,
                              const schema::MemberRecord &record) const
{
    if (packet.ByteSizeLong() + record.ByteSizeLong() + RecordOverheadBytes > MaxPacketBytes)
        return false;
    *packet.add_updates() = record;
    return true;
}

OutgoingPacket GossipMachine::makeJoinPing(const std::string &address)
{
    auto packet = basePacket(schema::GossipPacket::PING, m_lastTick.value_or(TimePoint()));
    packet.set_probe(++m_probeNumber);
    if (!addUpdate(packet, m_table.self()))
        addUpdate(packet, *m_table.exportRecord(m_table.self().node(), false, TimePoint()));
    std::vector<OutgoingPacket> out;
    send(out, address, std::move(packet));
    return std::move(out.front());
}

std::vector<OutgoingPacket> GossipMachine::receive(const schema::GossipPacket &packet,
                                                   TimePoint now)
{
    std::vector<OutgoingPacket> out;
    if (packet.fleet() != m_settings.fleet || packet.schema_version() != m_settings.schemaVersion) {
        ++m_counters.refused;
        return out;
    }
    if (packet.from() == m_table.self().node())
        return out;
    for (const auto &record : packet.updates())
        mergeUpdate(out, record, packet, now);
    m_table.recordContact(packet.from(), now);
    for (const auto hash : packet.heard())
        m_table.recordIndirectContact(hash, now - ContactWindow);
    if (packet.config_revision() > m_configRevision) {
        m_events.revisions.push_back(
                {packet.from(), packet.from_address(), packet.config_revision()});
    }

    switch (packet.kind()) {
    case schema::GossipPacket::PING: {
        // Another node may now use the address of the probed one.
        if (!packet.target().empty() && packet.target() != m_table.self().node())
            break;
        auto reply = basePacket(schema::GossipPacket::ACK, now);
        reply.set_probe(packet.probe());
        addRecordOfPingSender(reply, packet, now);
        send(out, packet.from_address(), std::move(reply));
        break;
    }
    case schema::GossipPacket::PING_REQUEST: {
        const auto number = ++m_probeNumber;
        m_relayedProbes[number] = {packet.probe(), packet.from_address(), now};
        auto ping = basePacket(schema::GossipPacket::PING, now);
        ping.set_probe(number);
        ping.set_target(packet.target());
        send(out, packet.target_address(), std::move(ping));
        break;
    }
    case schema::GossipPacket::ACK: {
        if (m_probe && m_probe->number == packet.probe()) {
            // The acknowledgement proves that a peer received a packet of this node; see
            // lastHeardByPeer().
            m_table.recordIndirectContact(MemberTable::nameHash(m_table.self().node()), now);
            m_probe.reset();
        }
        const auto relay = m_relayedProbes.find(packet.probe());
        if (relay == m_relayedProbes.end())
            break;
        auto reply = basePacket(schema::GossipPacket::ACK, now);
        reply.set_probe(relay->second.requesterProbe);
        send(out, relay->second.requesterAddress, std::move(reply));
        m_relayedProbes.erase(relay);
        break;
    }
    default:
        break;
    }
    return out;
}

void GossipMachine::addRecordOfPingSender(schema::GossipPacket &reply,
                                          const schema::GossipPacket &packet, TimePoint now) const
{
    auto record = m_table.exportRecord(packet.from(), false, now);
    if (record && record->status() == schema::MEMBER_ALIVE)
        return;
    if (!record) {
        // A record without an incarnation requests the sender's own record. Any positive full_bytes
        // marks a record without endpoints.
        record.emplace();
        record->set_node(packet.from());
        record->set_full_bytes(1);
    }
    addUpdate(reply, *record);
}

void GossipMachine::mergeUpdate(std::vector<OutgoingPacket> &out,
                                const schema::MemberRecord &record,
                                const schema::GossipPacket &packet, TimePoint now)
{
    const auto order = m_table.compareVersion(record);
    const bool isOwn = record.node() == m_table.self().node();
    if (m_table.merge(record, now)) {
        // A record merged without endpoints needs no full copy when it is pushed on.
        onRecordChanged(isOwn ? m_table.self() : record,
                        std::is_neq(order) && record.full_bytes() == 0,
                        isOwn ? UpdateOrigin::Own : UpdateOrigin::Forwarded);
        // A sender that considers this node dead might not receive the push.
        if (isOwn)
            sendRecord(out, record.node(), false, packet.from_address(), now);
        // Only the stop was learned if the record is of newer endpoints, which it doesn't contain.
        if (isOwn || std::is_lteq(m_table.compareVersion(record)))
            return;
    }
    // A record without an incarnation is a request. Any other older record shows that its sender is
    // out of date. The reply has no endpoints; the sender then requests the full record if its
    // endpoints have changed.
    const bool isRequest = record.incarnation() == 0;
    if (std::is_lt(order))
        sendRecord(out, record.node(), isRequest, packet.from_address(), now);
    else if (std::is_gt(order) && record.full_bytes() > 0 && !isOwn && !isRequest)
        requestRecord(out, record, packet.from_address(), now);
}

void GossipMachine::onRecordChanged(const schema::MemberRecord &record, bool withEndpoints,
                                    UpdateOrigin origin)
{
    m_events.viewChanged = true;
    scheduleUpdate(record.node(), withEndpoints, origin);
}

void GossipMachine::sendRecord(std::vector<OutgoingPacket> &out, const std::string &node,
                               bool withEndpoints, const std::string &address, TimePoint now)
{
    auto packet = basePacket(schema::GossipPacket::UPDATE, now);
    const auto record = m_table.exportRecord(node, withEndpoints, now);
    if (!record)
        return;
    if (!addUpdate(packet, *record))
        addUpdate(packet, *m_table.exportRecord(node, false, now));
    send(out, address, std::move(packet));
}

void GossipMachine::requestRecord(std::vector<OutgoingPacket> &out,
                                  const schema::MemberRecord &record, const std::string &address,
                                  TimePoint now)
{
    if (std::chrono::seconds(record.gone_s()) >= MemberTable::GoneMemberRetention)
        return;
    const auto requested = m_requestedAt.find(record.node());
    if (requested != m_requestedAt.end() && now - requested->second < MinRequestInterval)
        return;
    if (!hasPushBudget()) {
        m_deferredRequests[record.node()] = {record, address};
        return;
    }
    m_deferredRequests.erase(record.node());
    m_requestedAt[record.node()] = now;
    // The reply is charged to the requester's budget, so that many requests cannot exhaust the
    // budget of the node that replies.
    m_pushBudget -= record.full_bytes();
    if (record.full_bytes() > MaxRecordBytes) {
        m_events.recordsToFetch[record.node()] = address;
        return;
    }
    schema::MemberRecord request;
    request.set_node(record.node());
    request.set_full_bytes(1);
    auto requestPacket = basePacket(schema::GossipPacket::UPDATE, now);
    addUpdate(requestPacket, request);
    send(out, address, std::move(requestPacket));
}

void GossipMachine::requestDeferredRecords(std::vector<OutgoingPacket> &out, TimePoint now)
{
    while (!m_deferredRequests.empty() && hasPushBudget()) {
        const auto next = m_deferredRequests.extract(m_deferredRequests.begin()).mapped();
        if (std::is_gt(m_table.compareVersion(next.record)))
            requestRecord(out, next.record, next.address, now);
    }
}

void GossipMachine::merge(const std::vector<schema::MemberRecord> &records, bool push,
                          TimePoint now)
{
    for (const auto &record : records) {
        const auto order = m_table.compareVersion(record);
        const bool isOwn = record.node() == m_table.self().node();
        if (!isOwn && std::is_eq(order) && record.status() == schema::MEMBER_DEAD) {
            if (m_table.suspect(record.node(), now))
                onRecordChanged(record, false, UpdateOrigin::Own);
        } else if (m_table.merge(record, now)) {
            m_events.viewChanged = true;
            if (push || isOwn)
                scheduleUpdate(record.node(), std::is_neq(order) && !isOwn,
                               isOwn ? UpdateOrigin::Own : UpdateOrigin::Forwarded);
        }
    }
}

bool GossipMachine::setOwnEndpoints(const std::vector<schema::EndpointRecord> &endpoints)
{
    if (!m_table.setOwnEndpoints(endpoints))
        return false;
    onRecordChanged(m_table.self(), true, UpdateOrigin::Own);
    return true;
}

void GossipMachine::setConfigRevision(std::uint64_t revision)
{
    if (revision <= m_configRevision)
        return;
    m_configRevision = revision;
    m_configRounds = m_settings.rounds;
    m_configDue = TimePoint();
}

bool GossipMachine::setKeyQuorum(schema::KeyQuorum quorum)
{
    if (!m_table.setKeyQuorum(quorum))
        return false;
    onRecordChanged(m_table.self(), false, UpdateOrigin::Own);
    return true;
}

void GossipMachine::beginStop()
{
    if (m_table.beginStop())
        onRecordChanged(m_table.self(), false, UpdateOrigin::Own);
}

void GossipMachine::learnStop(const std::string &node, Incarnation incarnation)
{
    if (m_table.learnStop(node, incarnation))
        onRecordChanged(*m_table.find(node), false, UpdateOrigin::Forwarded);
}

void GossipMachine::leave()
{
    m_table.setLeft();
    onRecordChanged(m_table.self(), false, UpdateOrigin::Own);
}

GossipEvents GossipMachine::takeEvents()
{
    return std::exchange(m_events, {});
}

void GossipMachine::probeNext(std::vector<OutgoingPacket> &out, TimePoint now)
{
    const auto node = nextProbeTarget();
    const auto *record = node.empty() ? nullptr : m_table.find(node);
    if (!record)
        return;
    m_probe = Probe {++m_probeNumber, node, now, false};
    ++m_counters.probes;
    auto packet = basePacket(schema::GossipPacket::PING, now);
    packet.set_probe(m_probe->number);
    packet.set_target(node);
    // The probe tells a suspect member about the suspicion, so that it can refute it.
    if (record->status() == schema::MEMBER_SUSPECT)
        addUpdate(packet, *m_table.exportRecord(node, false, now));
    send(out, record->peer_address(), std::move(packet));
}

void GossipMachine::probeIndirectly(std::vector<OutgoingPacket> &out, TimePoint now)
{
    m_probe->indirectSent = true;
    const auto *target = m_table.find(m_probe->node);
    if (!target)
        return;
    for (const auto &relay : randomPeers(peers().all, m_settings.indirectProbes, m_probe->node)) {
        ++m_counters.indirectProbes;
        auto packet = basePacket(schema::GossipPacket::PING_REQUEST, now);
        packet.set_probe(m_probe->number);
        packet.set_target(m_probe->node);
        packet.set_target_address(target->peer_address());
        send(out, m_table.find(relay)->peer_address(), std::move(packet));
    }
}

void GossipMachine::finishProbe(TimePoint now)
{
    if (m_probe && m_table.suspect(m_probe->node, now))
        onRecordChanged(*m_table.find(m_probe->node), false, UpdateOrigin::Own);
    m_probe.reset();
}

void GossipMachine::probeDeadMember(std::vector<OutgoingPacket> &out, TimePoint now)
{
    const auto dead = m_table.dead();
    if (dead.empty())
        return;
    const auto &node = dead[m_random() % dead.size()];
    auto packet = basePacket(schema::GossipPacket::PING, now);
    packet.set_probe(++m_probeNumber);
    packet.set_target(node);
    addUpdate(packet, *m_table.exportRecord(node, false, now));
    send(out, m_table.find(node)->peer_address(), std::move(packet));
}

void GossipMachine::expireSuspicions(TimePoint now)
{
    for (const auto &node : m_table.suspectBefore(now - m_settings.suspicion)) {
        // All nodes declare a suspect member dead at about the same time.
        if (m_table.declareDead(node, now))
            onRecordChanged(*m_table.find(node), false, UpdateOrigin::Forwarded);
    }
}

GossipMachine::NodeNames GossipMachine::randomPeers(const NodeNames &from, std::size_t count,
                                                    const std::string &except)
{
    NodeNames chosen;
    // Bounded number of attempts: with few peers, only excluded or already chosen ones may be left.
    for (std::size_t attempts = 0; attempts < 4 * count && chosen.size() < count && !from.empty();
         ++attempts) {
        const auto &peer = from[m_random() % from.size()];
        if (peer != except && std::find(chosen.begin(), chosen.end(), peer) == chosen.end())
            chosen.push_back(peer);
    }
    return chosen;
}

const GossipMachine::Peers &GossipMachine::peers()
{
    if (m_peersVersion == m_table.version())
        return m_peers;
    m_peersVersion = m_table.version();
    m_peers = {};
    m_peers.all = m_table.reachable();
    std::erase(m_peers.all, m_table.self().node());
    const auto domainOf = [](const schema::MemberRecord &record) {
        return std::pair<std::string_view, std::string_view>(record.region(),
                                                             record.failure_domain());
    };
    std::map<std::pair<std::string_view, std::string_view>, NodeNames> remote;
    m_peers.ownDomain.push_back(m_table.self().node());
    for (const auto &node : m_peers.all) {
        const auto &record = *m_table.find(node);
        const auto domain = domainOf(record);
        if (domain == domainOf(m_table.self())) {
            m_peers.local.push_back(node);
            m_peers.ownDomain.push_back(node);
            m_peers.localAddresses.insert(record.peer_address());
        } else {
            m_peers.remote.push_back(node);
            remote[domain].push_back(node);
        }
    }
    for (auto &[domain, nodes] : remote)
        m_peers.remoteDomains.push_back(std::move(nodes));
    std::sort(m_peers.ownDomain.begin(), m_peers.ownDomain.end());
    return m_peers;
}

std::string GossipMachine::nextProbeTarget()
{
    const bool isRemoteTurn = ++m_probeCount % m_settings.probesPerRemoteProbe == 0;
    const auto &all = peers();
    const bool probesRemote = all.local.empty() || (isRemoteTurn && !all.remote.empty());
    return probesRemote ? nextInOrder(m_remoteProbeOrder, all.remote)
                        : nextInOrder(m_localProbeOrder, all.local);
}

std::string GossipMachine::nextInOrder(NodeNames &order, const NodeNames &all)
{
    // A shuffled order instead of independent draws probes each member once per round, which bounds
    // the time until a failed member is probed.
    for (int refills = 0; refills < 2; ++refills) {
        while (!order.empty()) {
            auto node = std::move(order.back());
            order.pop_back();
            const auto *record = m_table.find(node);
            if (record && record->status() <= schema::MEMBER_SUSPECT)
                return node;
        }
        order = all;
        std::shuffle(order.begin(), order.end(), m_random);
    }
    return {};
}

} // namespace berylspur
