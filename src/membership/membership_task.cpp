// UDP socket and anti-entropy over peer streams for a GossipMachine.
#include "berylspur/membership/membership_task.h"

#include "berylspur/core/log.h"
#include "berylspur/core/metrics.h"
#include "membership_task_impl.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <event2/util.h>
#include <iterator>
#include <sys/socket.h>

namespace berylspur {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Limit of the exchanges for one large difference.
constexpr int MaxSyncPages = 32;
/// One of this many exchanges of digests goes to any failure domain, the others stay in the own
/// one: where nothing fails, pushed updates have reached the other domains.
constexpr std::uint64_t SyncsPerRemoteSync = 4;
constexpr int SocketBufferBytes = 512 << 10;
/// Limit per event loop iteration, so that a burst of packets does not delay requests.
constexpr int MaxPacketsPerRead = 64;

schema::MemberRecord selfRecord(const schema::NodeSettings &settings, Incarnation incarnation)
{
    schema::MemberRecord self;
    self.set_node(settings.node().name());
    self.set_incarnation(incarnation);
    self.set_sequence(1);
    self.set_peer_address(advertised(settings.addresses()));
    self.set_region(settings.node().region());
    self.set_failure_domain(settings.node().failure_domain());
    self.set_admin_address(settings.addresses().admin());
    return self;
}

GossipSettings gossipSettings(const schema::NodeSettings &settings)
{
    GossipSettings gossip;
    gossip.fleet = settings.fleet();
    gossip.schemaVersion = SchemaVersion;
    // Only homes of idempotency keys depend on contacts.
    gossip.shareContacts = settings.integration().mode() == schema::INTEGRATION_NONE;
    return gossip;
}

} // namespace

MembershipTask::Impl::Impl(MembershipTask &task, event_base *base,
                           const schema::NodeSettings &settings, Incarnation incarnation,
                           PlatformClient &platform, PeerPool &peers)
    : m_task(task), m_base(base), m_settings(settings), m_platform(platform), m_peers(peers),
      m_random(seededRandom()),
      m_machine(gossipSettings(settings), selfRecord(settings, incarnation), seededRandom()),
      m_tickTimer(base, [this] { onTick(); }),
      m_bootstrapTimer(base, [this] { onBootstrapTimer(); }),
      m_syncTimer(base, [this] { onSyncTimer(); }), m_publishTimer(base, [this] { publishSelf(); }),
      m_rediscoveryTimer(base, [this] { onRediscoveryTimer(); }),
      m_deadPingTimer(base, [this] { pingDeadMember(); }),
      m_finishTimer(base, [this] { finishExchanges(); }),
      m_restoredTimer(base, [this] { checkPeerObjects(); }),
      m_missingObjectTimer(base, [this] { writeNextMissingObject(); }),
      m_saveTimer(base, [this] { onSaveTimer(); }),
      m_ownObjectTimer(base, [this] { onOwnObjectRead(); }),
      m_restoredConnection(platform.restored.connect([this] { onStoreRestored(); }))
{
}

Result<void> MembershipTask::Impl::start()
{
    const auto address = Address::parse(m_settings.addresses().peer());
    if (!address)
        return address.as_failure();
    m_socket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto bound = address.value().toSockaddr();
    if (m_socket < 0
        || bind(m_socket, reinterpret_cast<const sockaddr *>(&bound), sizeof bound) != 0)
        return failure(ErrorCode::AddressUnusable,
                       m_settings.addresses().peer() + " (UDP): " + std::strerror(errno));
    setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &SocketBufferBytes, sizeof SocketBufferBytes);
    m_readable = event_new(
            m_base, m_socket, EV_READ | EV_PERSIST,
            [](evutil_socket_t, short, void *self) { static_cast<Impl *>(self)->onReadable(); },
            this);
    event_add(m_readable, nullptr);
    for (const auto &peer : m_settings.peers()) {
        if (!isOwnAddress(peer))
            m_candidates.push_back(peer);
    }
    m_lastTick = BootClock::now();
    m_tickTimer.start(Duration::zero());
    m_bootstrapTimer.start(Duration::zero());
    m_savedObject = ownPeerObject();
    m_ownObjectTimer.start(OwnObjectWait);
    publishSelf();
    return success();
}

void MembershipTask::Impl::onTick()
{
    m_lastTick = BootClock::now();
    m_tickTimer.start(GossipMachine::TickInterval);
    transmit(m_machine.tick(m_lastTick));
    processEvents();
}

void MembershipTask::Impl::pushNow()
{
    if (m_socket >= 0)
        transmit(m_machine.tick(BootClock::now()));
}

void MembershipTask::Impl::onReadable()
{
    const auto now = BootClock::now();
    if (now - m_lastTick > GossipMachine::PauseThreshold) {
        discardReceived();
        return;
    }
    std::array<char, 2 * GossipMachine::MaxPacketBytes> buffer;
    for (int i = 0; i < MaxPacketsPerRead; ++i) {
        const auto length = recv(m_socket, buffer.data(), buffer.size(), MSG_TRUNC);
        if (length < 0)
            break;
        schema::GossipPacket packet;
        if (static_cast<std::size_t>(length) > buffer.size()
            || !packet.ParseFromArray(buffer.data(), static_cast<int>(length)))
            continue;
        transmit(m_machine.receive(packet, now));
        if (packet.fleet() != m_settings.fleet() || packet.from() == m_settings.node().name())
            continue;
        m_highestRevision = std::max(m_highestRevision, packet.config_revision());
        // Any packet proves that a peer is alive. Members ping gone members, so theirs may arrive
        // before a reply to a join ping.
        if (!m_joined && !m_joining)
            joinVia(packet.from_address());
    }
    processEvents();
}

void MembershipTask::Impl::discardReceived()
{
    // The age of packets queued while this process was paused is unknown. Counting them as new
    // contacts would hide the loss of the majority.
    char byte = 0;
    while (recv(m_socket, &byte, sizeof byte, 0) >= 0) {
    }
}

void MembershipTask::Impl::transmit(const std::vector<OutgoingPacket> &packets)
{
    for (const auto &outgoing : packets) {
        const auto address = Address::parse(outgoing.address);
        if (!address)
            continue;
        const auto target = address.value().toSockaddr();
        const auto bytes = outgoing.packet.SerializeAsString();
        // The protocol tolerates packet loss, so a full socket buffer is not an error.
        sendto(m_socket, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&target),
               sizeof target);
    }
}

void MembershipTask::Impl::processEvents()
{
    const auto events = m_machine.takeEvents();
    for (const auto &[node, address] : events.recordsToFetch) {
        schema::Digest digest;
        digest.set_selected(true);
        auto &entry = *digest.add_entries();
        entry.set_node(node);
        if (const auto *record = table().find(node)) {
            entry.set_incarnation(record->incarnation());
            entry.set_sequence(record->sequence());
            entry.set_status(record->status());
        }
        sync(address, digest, MaxSyncPages, [](bool) {});
    }
    if (events.viewChanged)
        m_task.viewChanged.emit();
    const auto newest =
            std::max_element(events.revisions.begin(), events.revisions.end(),
                             [](const auto &a, const auto &b) { return a.revision < b.revision; });
    if (newest == events.revisions.end())
        return;
    if (const auto address = Address::parse(newest->address))
        m_task.revisionSeen.emit(newest->node, address.value(), newest->revision);
}

void MembershipTask::Impl::onSyncTimer()
{
    m_syncTimer.start(SyncInterval / 2 + jitter(SyncInterval));
    pingNextConfiguredPeer();
    const auto nodes = syncCandidates();
    if (nodes.empty())
        return;
    const auto *peer = table().find(nodes[m_random() % nodes.size()]);
    sync(peer->peer_address(), table().digest(), 0, [](bool) {});
}

std::vector<std::string> MembershipTask::Impl::syncCandidates()
{
    const auto &self = table().self();
    auto nodes = table().reachable();
    std::erase(nodes, self.node());
    if (m_random() % SyncsPerRemoteSync == 0)
        return nodes;
    std::vector<std::string> local;
    std::copy_if(nodes.begin(), nodes.end(), std::back_inserter(local), [&](const auto &node) {
        const auto *member = table().find(node);
        return member->failure_domain() == self.failure_domain()
               && member->region() == self.region();
    });
    return local.empty() ? nodes : local;
}

void MembershipTask::Impl::pingNextConfiguredPeer()
{
    if (m_settings.peers().empty())
        return;
    const auto &peer =
            m_settings.peers(static_cast<int>(m_nextConfiguredPeer++ % m_settings.peers_size()));
    if (!isOwnAddress(peer))
        transmit({m_machine.makeJoinPing(peer)});
}

void MembershipTask::Impl::sync(const std::string &address, const schema::Digest &digest, int page,
                                const std::function<void(bool)> &done)
{
    exchange(address, digest.SerializeAsString(),
             [this, address, page, done](const std::optional<std::string> &envelope) {
                 schema::SyncReply reply;
                 if (envelope && reply.ParseFromString(*envelope))
                     handleSyncReply(address, reply, page, done);
                 else
                     done(false);
             });
}

void MembershipTask::Impl::handleSyncReply(const std::string &address,
                                           const schema::SyncReply &reply, int page,
                                           const std::function<void(bool)> &done)
{
    const auto now = BootClock::now();
    m_machine.merge({reply.newer().begin(), reply.newer().end()}, m_joined, now);
    onEarlierEndpoints({reply.earlier_endpoints().begin(), reply.earlier_endpoints().end()});
    if (reply.wanted_size() > 0) {
        schema::Digest offer;
        offer.set_selected(true);
        for (const auto &node : reply.wanted()) {
            if (offer.ByteSizeLong() > MemberTable::MaxSyncBytes)
                break;
            if (auto record = table().exportRecord(node, true, now))
                *offer.add_records() = std::move(*record);
        }
        exchange(address, offer.SerializeAsString(), [](const std::optional<std::string> &) {});
    }
    processEvents();
    if (reply.more() && page < MaxSyncPages)
        sync(address, table().digest(), page + 1, done);
    else
        done(true);
}

void MembershipTask::Impl::exchange(const std::string &address, std::string envelope,
                                    const std::function<void(std::optional<std::string>)> &done)
{
    const auto parsed = Address::parse(address);
    if (!parsed)
        return done(std::nullopt);
    const auto number = ++m_exchangeNumber;
    const auto received = std::make_shared<std::optional<std::string>>();
    const auto alive = std::weak_ptr(m_alive);
    ExchangeHandler handler;
    handler.reply = [received](std::string reply) { *received = std::move(reply); };
    handler.data = [](std::string_view) {};
    handler.ended = [this, alive, number, received, done](ErrorCode code) {
        if (alive.expired())
            return;
        // The next exchange may replace the channel, which must not be done from its own callback.
        m_endedExchanges.push_back({number, done, {}});
        if (code == ErrorCode::Ok)
            m_endedExchanges.back().envelope = std::move(*received);
        m_finishTimer.start(Duration::zero());
    };
    m_exchanges[number] =
            m_peers.channel(parsed.value(), TrafficClass::Control)
                    .start(
                            PeerMethod::Sync,
                            [envelope = std::move(envelope)](std::uint64_t) { return envelope; },
                            {}, std::move(handler));
}

void MembershipTask::Impl::finishExchanges()
{
    for (auto &ended : std::exchange(m_endedExchanges, {})) {
        m_exchanges.erase(ended.number);
        ended.done(std::move(ended.envelope));
    }
}

std::string MembershipTask::Impl::handleSync(const std::string &envelope)
{
    schema::Digest digest;
    schema::SyncReply reply;
    if (digest.ParseFromString(envelope)) {
        m_machine.merge({digest.records().begin(), digest.records().end()}, true, BootClock::now());
        reply = table().compare(digest);
        if (!digest.starting_node().empty()) {
            for (auto &endpoint : table().earlierEndpoints(digest.starting_node()))
                *reply.add_earlier_endpoints() = std::move(endpoint);
        }
        processEvents();
    }
    return reply.SerializeAsString();
}

MembershipTask::MembershipTask(event_base *base, const schema::NodeSettings &settings,
                               Incarnation incarnation, PlatformClient &platform, PeerPool &peers)
    : m_impl(std::make_unique<Impl>(*this, base, settings, incarnation, platform, peers))
{
}

MembershipTask::~MembershipTask() = default;

Result<void> MembershipTask::start()
{
    return m_impl->start();
}

const MemberTable &MembershipTask::table() const
{
    return m_impl->table();
}

void MembershipTask::setOwnEndpoints(const std::vector<schema::EndpointRecord> &endpoints)
{
    m_impl->setOwnEndpoints(endpoints);
}

void MembershipTask::saveDepartures(std::function<void()> done)
{
    m_impl->saveDepartures(std::move(done));
}

void MembershipTask::setConfigRevision(std::uint64_t revision)
{
    m_impl->setConfigRevision(revision);
}

void MembershipTask::setKeyQuorum(schema::KeyQuorum quorum)
{
    m_impl->setKeyQuorum(quorum);
}

void MembershipTask::beginStop()
{
    m_impl->beginStop();
}

void MembershipTask::learnStop(const std::string &node, Incarnation incarnation)
{
    m_impl->learnStop(node, incarnation);
}

void MembershipTask::leave()
{
    m_impl->leave();
}

std::string MembershipTask::handleSync(const std::string &envelope)
{
    return m_impl->handleSync(envelope);
}

bool MembershipTask::isFleetNew() const
{
    return m_impl->isFleetNew();
}

bool MembershipTask::isJoined() const
{
    return m_impl->isJoined();
}

std::string MembershipTask::metrics() const
{
    const auto &counters = m_impl->counters();
    const auto sample = [](std::string_view name, std::uint64_t value) {
        return prometheusSample(name, "", static_cast<double>(value));
    };
    return sample("berylspur_gossip_packets_total", counters.packets)
           + sample("berylspur_gossip_bytes_total", counters.bytes)
           + sample("berylspur_gossip_remote_bytes_total", counters.remoteBytes)
           + sample("berylspur_gossip_probes_total", counters.probes)
           + sample("berylspur_gossip_indirect_probes_total", counters.indirectProbes)
           + sample("berylspur_gossip_refused_total", counters.refused)
           + sample("berylspur_gossip_pauses_total", counters.pauses)
           + sample("berylspur_members", table().size())
           + sample("berylspur_member_name_conflicts_total", table().nameConflicts());
}

} // namespace berylspur
