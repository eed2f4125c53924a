// How a node finds its first peers: settings, then the platform's bootstrap objects, which it also
// helps to write.
#include "berylspur/core/log.h"
#include "membership_task_impl.h"

#include <algorithm>

namespace berylspur {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration GreetInterval = milliseconds(500);
/// Greetings without an answer before the next source of addresses is asked.
constexpr int GreetAttempts = 4;
/// Spreads the calls of nodes that start together.
constexpr Duration PlatformJitter = milliseconds(300);
constexpr Duration PlatformRetry = milliseconds(500);
constexpr Duration LongestPublishRetry = seconds(4);
/// Least time between two looks for members that no living node knows.
constexpr Duration StrangerInterval = seconds(60);
/// Added to that for each member, so that the calls of the fleet do not grow with it.
constexpr Duration StrangerIntervalPerMember = seconds(2);
/// A lost member may have come back while the platform is away; one is greeted this often.
constexpr Duration LostInterval = milliseconds(500);

} // namespace

void MembershipTask::Impl::onBootTimer()
{
    if (m_joined || m_joining)
        return;
    if (m_greetings >= GreetAttempts || m_candidates.empty()) {
        nextBootPhase();
        return;
    }
    ++m_greetings;
    greetCandidates();
    m_bootTimer.start(GreetInterval);
}

void MembershipTask::Impl::greetCandidates()
{
    for (const auto &address : m_candidates)
        transmit({m_machine.greet(address)});
}

void MembershipTask::Impl::nextBootPhase()
{
    m_greetings = 0;
    switch (m_phase) {
    case BootPhase::SettingsPeers:
        m_phase = BootPhase::Platform;
        readPeers();
        break;
    case BootPhase::Platform:
        finishBootstrap();
        break;
    case BootPhase::Done:
        break;
    }
}

void MembershipTask::Impl::readPeers()
{
    m_platform.list(std::string(PeersPrefix), [this, alive = std::weak_ptr(m_alive)](auto list) {
        if (alive.expired() || m_joined)
            return;
        if (!list)
            return platformFailed();
        for (const auto &object : list.value())
            addCandidate(object);
        m_bootTimer.start(Duration::zero());
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

void MembershipTask::Impl::platformFailed()
{
    // Settings peers may come up before the platform does, so the search starts over.
    log::warn("bootstrap-waits", {{"reason", "platform unavailable and no peer answered"}});
    m_phase = BootPhase::SettingsPeers;
    m_bootTimer.start(PlatformRetry + jitter(PlatformJitter));
}

void MembershipTask::Impl::joinThrough(const std::string &address)
{
    m_joining = true;
    sync(address, table().digest(), 0, [this](bool complete) {
        m_joining = false;
        if (complete)
            finishBootstrap();
        else
            m_bootTimer.start(GreetInterval);
    });
}

void MembershipTask::Impl::finishBootstrap()
{
    if (m_joined || m_phase == BootPhase::Done)
        return;
    if (m_highestRevision > 0) {
        setJoined(false);
        return;
    }
    m_phase = BootPhase::Done;
    decideFleetIsNew();
}

void MembershipTask::Impl::decideFleetIsNew()
{
    // Idempotency keys are not used with an integration, so nothing depends on the fleet's age.
    if (m_settings.integration().mode() != schema::INTEGRATION_NONE)
        return setJoined(false);
    // No peer has a configuration, so none has served. The fleet is new if the platform knows no
    // configuration either, or no earlier member.
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
    m_phase = BootPhase::Done;
    m_joined = true;
    m_fleetIsNew = fleetIsNew && m_highestRevision == 0;
    m_syncTimer.start(jitter(SyncInterval));
    m_strangerTimer.start(StrangerInterval + jitter(StrangerInterval));
    m_lostTimer.start(LostInterval);
    log::info("joined", {{"members", table().size()}, {"fleet-new", m_fleetIsNew ? 1 : 0}});
    pushNow();
    m_task.joined.emit();
}

void MembershipTask::Impl::publishSelf()
{
    schema::MemberRecord record;
    record.set_node(m_settings.node().name());
    record.set_peer_address(advertised(m_settings.addresses()));
    m_platform.write(objectName(), record.SerializeAsString(), 0,
                     [this, alive = std::weak_ptr(m_alive)](const Result<std::uint64_t> &result) {
                         if (!alive.expired())
                             onPublished(result);
                     });
}

void MembershipTask::Impl::onPublished(const Result<std::uint64_t> &result)
{
    if (result) {
        log::info("published", {{"object", objectName()}, {"version", result.value()}});
        return;
    }
    if (result.error().code == ErrorCode::PlatformConflict) {
        // An earlier start of this node wrote it, or a write whose response was lost.
        replaceOwnObject();
        return;
    }
    m_publishRetry = std::clamp(2 * m_publishRetry, PlatformRetry, LongestPublishRetry);
    log::warn("not-published",
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
        const bool same = stored.ParseFromString(object.value().value)
                          && stored.peer_address() == advertised(m_settings.addresses());
        if (same)
            return;
        schema::MemberRecord record;
        record.set_node(m_settings.node().name());
        record.set_peer_address(advertised(m_settings.addresses()));
        m_platform.write(objectName(), record.SerializeAsString(), object.value().version,
                         [this, alive](const Result<std::uint64_t> &result) {
                             if (!alive.expired())
                                 onPublished(result);
                         });
    });
}

void MembershipTask::Impl::onStrangerTimer()
{
    const auto spread = StrangerIntervalPerMember * table().reachable().size();
    m_strangerTimer.start(StrangerInterval + spread + jitter(StrangerInterval));
    // After a partition that outlasted the memory of dead members only the platform still names the
    // other side.
    m_platform.list(std::string(PeersPrefix), [this, alive = std::weak_ptr(m_alive)](auto list) {
        if (!alive.expired() && list)
            greetStrangers(list.value());
    });
}

void MembershipTask::Impl::greetStrangers(const std::vector<PlatformObject> &objects)
{
    for (const auto &object : objects) {
        schema::MemberRecord stored;
        if (!stored.ParseFromString(object.value))
            continue;
        const auto *known = table().find(stored.node());
        if (!known || known->status() == schema::MEMBER_DEAD)
            transmit({m_machine.greet(stored.peer_address())});
    }
}

void MembershipTask::Impl::greetLostMember()
{
    m_lostTimer.start(LostInterval);
    std::vector<const schema::MemberRecord *> lost;
    for (const auto &name : table().known()) {
        const auto *member = table().find(name);
        if (member->status() == schema::MEMBER_DEAD || member->status() == schema::MEMBER_LEFT)
            lost.push_back(member);
    }
    if (!lost.empty())
        transmit({m_machine.greet(lost[m_nextLost++ % lost.size()]->peer_address())});
}

} // namespace berylspur
