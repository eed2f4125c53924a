// Finds the first peers of a node: first those in the settings, then the peer objects on the
// platform. Each node also publishes its own peer object, and writes those of its failure domain
// again that the platform has lost.
#include "berylspur/core/log.h"
#include "membership_task_impl.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace berylspur {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration JoinPingInterval = milliseconds(500);
/// Unanswered join pings before the next source of addresses is used.
constexpr int MaxJoinPings = 4;
/// Spreads the platform calls of nodes that start together.
constexpr Duration PlatformJitter = milliseconds(300);
constexpr Duration PlatformRetryInterval = milliseconds(500);
constexpr Duration MaxPublishRetry = seconds(4);
/// Spreads the checks of the nodes that see the platform return from an older copy.
constexpr Duration RestoredJitter = milliseconds(500);
/// Time between two writes of lost objects. With two watchers in each of ten failure domains the
/// fleet makes 400 writes per second at most.
constexpr Duration MissingObjectInterval = milliseconds(50);
/// Minimum time between two checks of the platform for members that no reachable node knows.
constexpr Duration RediscoveryInterval = seconds(60);
/// Added per reachable member, so that the fleet's total call rate does not grow with its size.
constexpr Duration RediscoveryIntervalPerMember = seconds(2);
/// Interval at which one dead member is pinged: it may have returned while the platform is
/// unavailable.
constexpr Duration DeadPingInterval = milliseconds(500);

} // namespace

void MembershipTask::Impl::onBootstrapTimer()
{
    if (m_joined || m_joining)
        return;
    if (m_joinPingsSent >= MaxJoinPings || m_candidates.empty()) {
        nextBootstrapPhase();
        return;
    }
    ++m_joinPingsSent;
    pingCandidates();
    m_bootstrapTimer.start(JoinPingInterval);
}

void MembershipTask::Impl::pingCandidates()
{
    for (const auto &address : m_candidates)
        transmit({m_machine.makeJoinPing(address)});
}

void MembershipTask::Impl::nextBootstrapPhase()
{
    m_joinPingsSent = 0;
    switch (m_phase) {
    case BootstrapPhase::ConfiguredPeers:
        m_phase = BootstrapPhase::Platform;
        // Of two nodes that start together the one that lists later must see the object of the
        // other.
        if (m_firstPublishEnded)
            listPeerObjects();
        break;
    case BootstrapPhase::Platform:
        finishBootstrap();
        break;
    case BootstrapPhase::Done:
        break;
    }
}

void MembershipTask::Impl::listPeerObjects()
{
    m_platform.list(std::string(PeersPrefix), [this, alive = std::weak_ptr(m_alive)](auto list) {
        if (alive.expired() || m_joined)
            return;
        if (!list)
            return onPlatformUnavailable();
        for (const auto &object : list.value())
            addCandidate(object);
        m_bootstrapTimer.start(Duration::zero());
    });
}

void MembershipTask::Impl::addCandidate(const PlatformObject &object)
{
    schema::MemberRecord record;
    if (!record.ParseFromString(object.value) || !Address::parse(record.peer_address())) {
        log::warn("peer-object-malformed", {{"object", object.name}});
        return;
    }
    const auto &address = record.peer_address();
    if (!isOwnAddress(address)
        && std::find(m_candidates.begin(), m_candidates.end(), address) == m_candidates.end())
        m_candidates.push_back(address);
}

void MembershipTask::Impl::onPlatformUnavailable()
{
    // A configured peer may become available before the platform does, so start over with them.
    log::warn("bootstrap-retry", {{"reason", "platform unavailable and no peer responded"}});
    m_phase = BootstrapPhase::ConfiguredPeers;
    m_bootstrapTimer.start(PlatformRetryInterval + jitter(PlatformJitter));
}

void MembershipTask::Impl::joinVia(const std::string &address)
{
    m_joining = true;
    auto digest = table().digest();
    digest.set_starting_node(table().self().node());
    sync(address, digest, 0, [this](bool complete) {
        m_joining = false;
        if (complete)
            finishBootstrap();
        else
            m_bootstrapTimer.start(JoinPingInterval);
    });
}

void MembershipTask::Impl::finishBootstrap()
{
    if (m_joined || m_phase == BootstrapPhase::Done)
        return;
    if (m_highestRevision > 0) {
        setJoined(false);
        return;
    }
    m_phase = BootstrapPhase::Done;
    decideFleetIsNew();
}

void MembershipTask::Impl::decideFleetIsNew()
{
    // With an integration no idempotency keys are used, so it does not matter whether the fleet is
    // new.
    if (m_settings.integration().mode() != schema::INTEGRATION_NONE)
        return setJoined(false);
    // No peer has a configuration, so none has served requests. The fleet is new if the platform
    // has no configuration either, or no other member.
    m_platform.read("manifest/head", [this, alive = std::weak_ptr(m_alive)](auto head) {
        if (alive.expired())
            return;
        if (!head)
            return setJoined(head.error().code == ErrorCode::PlatformNotFound);
        m_platform.list(std::string(PeersPrefix), [this, alive](auto list) {
            if (alive.expired())
                return;
            const bool alone = list
                               && std::all_of(list.value().begin(), list.value().end(),
                                              [this](const PlatformObject &object) {
                                                  return object.name == objectName();
                                              });
            setJoined(alone);
        });
    });
}

void MembershipTask::Impl::setJoined(bool fleetIsNew)
{
    m_phase = BootstrapPhase::Done;
    m_joined = true;
    m_isFleetNew = fleetIsNew && m_highestRevision == 0;
    m_syncTimer.start(jitter(SyncInterval));
    m_rediscoveryTimer.start(RediscoveryInterval + jitter(RediscoveryInterval));
    m_deadPingTimer.start(DeadPingInterval);
    log::info("joined", {{"members", table().size()}, {"fleet-new", m_isFleetNew ? 1 : 0}});
    pushNow();
    m_task.joined.emit();
    checkEarlierEndpointsKnown();
}

std::string MembershipTask::Impl::peerObject(const schema::MemberRecord &member)
{
    schema::MemberRecord object;
    object.set_node(member.node());
    object.set_peer_address(member.peer_address());
    std::map<std::string, std::int64_t> departures;
    for (const auto &endpoint : member.endpoints()) {
        if (endpoint.has_left())
            departures[endpoint.id()] = endpoint.started_at_ms();
    }
    for (const auto &[id, startedAtMs] : departures) {
        auto &departure = *object.add_endpoints();
        departure.set_id(id);
        departure.set_started_at_ms(startedAtMs);
        departure.set_has_left(true);
    }
    return object.SerializeAsString();
}

std::string MembershipTask::Impl::ownPeerObject() const
{
    return peerObject(table().self());
}

void MembershipTask::Impl::publishSelf()
{
    m_platform.write(objectName(), ownPeerObject(), NoObject,
                     [this, alive = std::weak_ptr(m_alive)](const Result<ObjectVersion> &result) {
                         if (!alive.expired())
                             onPublished(result);
                     });
}

void MembershipTask::Impl::onPublished(const Result<ObjectVersion> &result)
{
    if (!std::exchange(m_firstPublishEnded, true) && m_phase == BootstrapPhase::Platform)
        listPeerObjects();
    if (result) {
        log::info("published", {{"object", objectName()}, {"version", result.value().revision}});
        onOwnObjectRead();
        onOwnObjectWritten();
        return;
    }
    if (result.error().code == ErrorCode::PlatformConflict) {
        // The object was written by an earlier start of this node, or by a write whose response was
        // lost.
        replaceOwnObject();
        return;
    }
    m_publishFailed = true;
    m_publishRetry = std::clamp(2 * m_publishRetry, PlatformRetryInterval, MaxPublishRetry);
    log::warn("publish-failed",
              {{"reason", describe(result.error())}, {"retry-ms", toMs(m_publishRetry)}});
    m_publishTimer.start(m_publishRetry + jitter(PlatformJitter));
}

void MembershipTask::Impl::replaceOwnObject()
{
    m_platform.read(objectName(), [this, alive = std::weak_ptr(m_alive)](auto object) {
        if (alive.expired())
            return;
        schema::MemberRecord stored;
        if (!object) {
            onPublished(object.as_failure());
            return;
        }
        if (!m_ownObjectRead && stored.ParseFromString(object.value().value)) {
            onEarlierEndpoints({stored.endpoints().begin(), stored.endpoints().end()});
            onOwnObjectRead();
        }
        if (object.value().value == ownPeerObject()) {
            onOwnObjectWritten();
            return;
        }
        m_platform.write(objectName(), ownPeerObject(), object.value().version,
                         [this, alive](const Result<ObjectVersion> &result) {
                             if (!alive.expired())
                                 onPublished(result);
                         });
    });
}

void MembershipTask::Impl::onOwnObjectWritten()
{
    // Nodes that listed the objects before did not see this one.
    if (!std::exchange(m_publishFailed, false))
        return;
    m_platform.list(std::string(PeersPrefix), [this, alive = std::weak_ptr(m_alive)](auto list) {
        if (!alive.expired() && list)
            pingUnknownOrDeadMembers(list.value());
    });
}

void MembershipTask::Impl::onStoreRestored()
{
    m_restoredTimer.start(jitter(RestoredJitter));
}

void MembershipTask::Impl::checkPeerObjects()
{
    m_platform.list(std::string(PeersPrefix), [this, alive = std::weak_ptr(m_alive)](auto list) {
        if (alive.expired())
            return;
        if (!list) {
            m_restoredTimer.start(PlatformRetryInterval + jitter(PlatformJitter));
            return;
        }
        checkOwnObject(list.value());
        queueMissingObjects(list.value());
    });
}

/// Writes the object of this node again if the platform has lost it or returned to an older one.
void MembershipTask::Impl::checkOwnObject(const std::vector<PlatformObject> &objects)
{
    const bool isCurrent =
            std::any_of(objects.begin(), objects.end(), [this](const PlatformObject &object) {
                return object.name == objectName() && object.value == ownPeerObject();
            });
    if (!isCurrent && table().self().status() != schema::MEMBER_LEFT)
        publishSelf();
}

/// A node sees at its next call that the platform has lost objects. The watchers of each failure
/// domain see it first, and they are not the owners of the objects.
void MembershipTask::Impl::queueMissingObjects(const std::vector<PlatformObject> &objects)
{
    std::set<std::string_view> present;
    for (const auto &object : objects)
        present.insert(object.name);
    const auto &self = table().self();
    m_missingObjects.clear();
    for (const auto &node : table().reachable()) {
        if (node != self.node() && table().find(node)->failure_domain() == self.failure_domain()
            && !present.contains(objectName(node)))
            m_missingObjects.push_back(node);
    }
    // Two watchers of a domain rarely write the same object at a time.
    std::shuffle(m_missingObjects.begin(), m_missingObjects.end(), m_random);
    if (!m_missingObjects.empty())
        m_missingObjectTimer.start(Duration::zero());
}

void MembershipTask::Impl::writeNextMissingObject()
{
    if (m_missingObjects.empty())
        return;
    const auto node = m_missingObjects.back();
    m_missingObjects.pop_back();
    m_missingObjectTimer.start(MissingObjectInterval);
    const auto *member = table().find(node);
    if (!member)
        return;
    m_platform.write(objectName(node), peerObject(*member), NoObject,
                     [this, node, alive = std::weak_ptr(m_alive)](const auto &result) {
                         if (!alive.expired())
                             onMissingObjectWritten(node, result);
                     });
}

void MembershipTask::Impl::onMissingObjectWritten(const std::string &node,
                                                  const Result<ObjectVersion> &result)
{
    if (result) {
        log::info("published",
                  {{"object", objectName(node)}, {"version", result.value().revision}});
        return;
    }
    if (result.error().code == ErrorCode::PlatformConflict)
        return; // another node has written it
    log::warn("publish-failed",
              {{"object", objectName(node)}, {"reason", describe(result.error())}});
    m_missingObjects.insert(m_missingObjects.begin(), node);
    m_missingObjectTimer.start(PlatformRetryInterval + jitter(PlatformJitter));
}

void MembershipTask::Impl::onRediscoveryTimer()
{
    const auto spread = RediscoveryIntervalPerMember * table().reachable().size();
    m_rediscoveryTimer.start(RediscoveryInterval + spread + jitter(RediscoveryInterval));
    // After a partition longer than GoneMemberRetention, only the platform still lists the members
    // of the other side.
    m_platform.list(std::string(PeersPrefix), [this, alive = std::weak_ptr(m_alive)](auto list) {
        if (alive.expired() || !list)
            return;
        checkOwnObject(list.value());
        pingUnknownOrDeadMembers(list.value());
    });
}

void MembershipTask::Impl::pingUnknownOrDeadMembers(const std::vector<PlatformObject> &objects)
{
    for (const auto &object : objects) {
        schema::MemberRecord stored;
        if (!stored.ParseFromString(object.value))
            continue;
        const auto *known = table().find(stored.node());
        if (!known || known->status() == schema::MEMBER_DEAD)
            transmit({m_machine.makeJoinPing(stored.peer_address())});
    }
}

void MembershipTask::Impl::pingDeadMember()
{
    m_deadPingTimer.start(DeadPingInterval);
    std::vector<const schema::MemberRecord *> gone;
    for (const auto &name : table().known()) {
        const auto *member = table().find(name);
        if (member->status() == schema::MEMBER_DEAD || member->status() == schema::MEMBER_LEFT)
            gone.push_back(member);
    }
    if (!gone.empty())
        transmit({m_machine.makeJoinPing(gone[m_nextDead++ % gone.size()]->peer_address())});
}

} // namespace berylspur
