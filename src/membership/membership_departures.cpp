// Departures of endpoints outlast the process that acknowledged them: it saves them in its object
// on the platform and at a peer, and its successor asks both.
#include "berylspur/core/log.h"
#include "membership_task_impl.h"

#include <utility>

namespace berylspur {

namespace {

using std::chrono::milliseconds;

/// After this time without a response of the platform the copy at a peer is enough.
constexpr Duration PlatformSaveTime = milliseconds(300);
/// A save ends at the latest after this time. Endpoints wait one second for an acknowledgement.
constexpr Duration SaveLimit = milliseconds(700);

} // namespace

void MembershipTask::Impl::saveDepartures(std::function<void()> done)
{
    if (!m_save && ownPeerObject() == m_savedObject)
        return done();
    m_saveWaiters.push_back(std::move(done));
    // A save replaces what an earlier process saved, which must be known first.
    if (!m_save && m_ownObjectRead)
        startSave();
}

void MembershipTask::Impl::startSave()
{
    const auto number = ++m_saveNumber;
    m_save = Save {.number = number, .object = ownPeerObject()};
    m_saveTimer.start(PlatformSaveTime);
    copyToPeer(number);
    m_platform.write(objectName(), m_save->object, std::nullopt,
                     [this, number, alive = std::weak_ptr(m_alive)](const auto &result) {
                         if (alive.expired() || !m_save || m_save->number != number)
                             return;
                         m_save->isOnPlatform = result.has_value();
                         m_save->isPlatformLate = !result;
                         checkSave();
                     });
}

void MembershipTask::Impl::copyToPeer(std::uint64_t save)
{
    const auto nodes = syncCandidates();
    const auto record = table().exportRecord(table().self().node(), true, BootClock::now());
    if (nodes.empty() || !record)
        return;
    schema::Digest offer;
    offer.set_selected(true);
    *offer.add_records() = *record;
    const auto *peer = table().find(nodes[m_random() % nodes.size()]);
    exchange(peer->peer_address(), offer.SerializeAsString(),
             [this, save](const std::optional<std::string> &envelope) {
                 if (!envelope || !m_save || m_save->number != save)
                     return;
                 m_save->isAtPeer = true;
                 checkSave();
             });
}

void MembershipTask::Impl::onSaveTimer()
{
    if (!m_save)
        return;
    m_save->isOverdue = std::exchange(m_save->isPlatformLate, true);
    if (!m_save->isOverdue)
        m_saveTimer.start(SaveLimit - PlatformSaveTime);
    checkSave();
}

void MembershipTask::Impl::checkSave()
{
    const bool isAtPeerOnly = m_save->isPlatformLate && m_save->isAtPeer;
    if (m_save->isOnPlatform || isAtPeerOnly || m_save->isOverdue)
        finishSave();
}

void MembershipTask::Impl::finishSave()
{
    const auto save = std::exchange(m_save, std::nullopt);
    m_saveTimer.stop();
    log::info("departures-saved",
              {{"platform", save->isOnPlatform ? 1 : 0}, {"peer", save->isAtPeer ? 1 : 0}});
    m_savedObject = save->object;
    if (!save->isOnPlatform)
        m_publishTimer.start(PlatformSaveTime);
    // Departures that came meanwhile begin the next save.
    for (auto &done : std::exchange(m_saveWaiters, {}))
        saveDepartures(std::move(done));
}

void MembershipTask::Impl::onEarlierEndpoints(const std::vector<schema::EndpointRecord> &endpoints)
{
    if (!endpoints.empty())
        m_task.earlierEndpointsFound.emit(endpoints);
}

void MembershipTask::Impl::onOwnObjectRead()
{
    m_ownObjectTimer.stop();
    m_ownObjectRead = true;
    checkEarlierEndpointsKnown();
    if (!m_save && !m_saveWaiters.empty())
        startSave();
}

void MembershipTask::Impl::checkEarlierEndpointsKnown()
{
    if (!m_joined || !m_ownObjectRead || std::exchange(m_earlierEndpointsKnown, true))
        return;
    m_task.earlierEndpointsKnown.emit();
}

} // namespace berylspur
