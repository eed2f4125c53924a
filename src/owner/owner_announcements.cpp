// Handling of announcements and withdrawals: endpoints, their incarnations and draining.
#include "berylspur/core/enum_table.h"
#include "berylspur/core/log.h"
#include "owner_task_impl.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace berylspur {

namespace {

/// Latency checks resume this long after the last announcement of a cold start.
constexpr Duration ColdGrace = std::chrono::seconds(5);

constexpr EnumTable<AnnouncementVerdict, 4> VerdictNames {{
        {AnnouncementVerdict::Current, "current"},
        {AnnouncementVerdict::Outdated, "outdated"},
        {AnnouncementVerdict::HasLeft, "has-left"},
        {AnnouncementVerdict::Undecided, "other-endpoint-found"},
}};

} // namespace

void OwnerTask::Impl::applyDrain(OwnedEndpoint &endpoint)
{
    const auto found = m_services.find(endpoint.info.service);
    bool drained = false;
    if (found != m_services.end()) {
        const auto &list = found->second.config.content().drain();
        drained = std::any_of(list.begin(), list.end(), [&](const std::string &name) {
            return name == endpoint.info.id || name == m_node;
        });
    }
    if (drained == endpoint.drainedByManifest)
        return;
    endpoint.drainedByManifest = drained;
    schema::DecisionRecord record;
    record.set_kind(schema::DECISION_DRAIN);
    record.set_service(endpoint.info.service);
    record.set_endpoint(endpoint.info.id);
    record.set_rule(drained ? "drained by the manifest" : "drain ended by the manifest");
    m_task.decisionMade.emit(record);
}

OwnedEndpoint &OwnerTask::Impl::endpointFor(const Announcement &announcement)
{
    auto &entry = m_endpoints[announcement.id];
    const bool hasOtherStart = entry && entry->info.startedAtMs != announcement.startedAtMs;
    // A health check does not return the start time; the first announcement adds it.
    const bool addsStart = entry && std::exchange(entry->isStartUnconfirmed, false);
    if (addsStart && hasOtherStart) {
        entry->info.startedAtMs = announcement.startedAtMs;
        entry->withdrawn = false; // by an earlier incarnation
    }
    const bool restarted = hasOtherStart && !addsStart;
    const bool moved =
            entry && entry->info.address != announcement.address && entry->requests.empty();
    if (restarted)
        abortAllRequests(*entry, BootClock::now());
    if (!entry || restarted || moved) {
        entry = std::make_unique<OwnedEndpoint>(m_base, announcement, m_schedulerPolicy,
                                                m_detection, m_detectorPolicy);
        applyDrain(*entry);
        log::info("endpoint-announced", {{"endpoint", announcement.id},
                                         {"service", announcement.service},
                                         {"address", announcement.address.toString()}});
    }
    return *entry;
}

void OwnerTask::Impl::removePredecessors(const Announcement &announcement)
{
    const auto now = BootClock::now();
    std::erase_if(m_endpoints, [&](const auto &item) {
        auto &endpoint = *item.second;
        if (item.first == announcement.id || endpoint.info.address != announcement.address
            || announcement.startedAtMs == 0)
            return false;
        // Requests in flight end with their connections. The endpoint is removed after that.
        endpoint.withdrawn = true;
        if (endpoint.info.startedAtMs != 0)
            m_incarnations.recordDeparture(item.first, endpoint.info.startedAtMs, now);
        refuseQueued(endpoint, ErrorCode::NotRunDraining, now);
        return endpoint.requests.empty();
    });
}

void OwnerTask::Impl::beginDrain(OwnedEndpoint &endpoint, const std::string &rule)
{
    schema::DecisionRecord record;
    record.set_kind(schema::DECISION_DRAIN);
    record.set_service(endpoint.info.service);
    record.set_endpoint(endpoint.info.id);
    record.set_rule(rule);
    m_task.decisionMade.emit(record);
    log::info("endpoint-drains", {{"endpoint", endpoint.info.id},
                                  {"service", endpoint.info.service},
                                  {"rule", rule},
                                  {"sequence", endpoint.info.sequence}});
    refuseQueued(endpoint, ErrorCode::NotRunDraining, BootClock::now());
}

void OwnerTask::Impl::refuseQueued(OwnedEndpoint &endpoint, ErrorCode code, TimePoint now)
{
    for (const auto &queued : endpoint.scheduler.takeQueued()) {
        const auto found = endpoint.requests.find(queued.id);
        if (found == endpoint.requests.end())
            continue;
        m_ledger.revoke(queued.id, now);
        if (!found->second.isGateDisconnected)
            refuse(*found->second.peer, found->second.dispatch, code, {}, &endpoint);
        removeRequest(endpoint, queued.id, now);
    }
}

void OwnerTask::Impl::refuseQueuedRequests()
{
    const auto now = BootClock::now();
    for (auto &[id, endpoint] : m_endpoints)
        refuseQueued(*endpoint, ErrorCode::NotRunStopping, now);
}

void OwnerTask::Impl::abortAllRequests(OwnedEndpoint &endpoint, TimePoint now)
{
    refuseQueued(endpoint, ErrorCode::NotRunDraining, now);
    std::vector<RequestId> running;
    for (const auto &[id, request] : endpoint.requests)
        running.push_back(id);
    for (const auto &id : running) {
        auto &request = endpoint.requests.at(id);
        if (!request.isGateDisconnected)
            failRequest(request, ErrorCode::EndpointFailed, endpoint);
        cancelRunning(endpoint, id, RequestOutcome::Reset, now);
    }
}

bool OwnerTask::Impl::handleAnnouncement(const Announcement &announcement)
{
    const auto now = BootClock::now();
    checkForPause(now);
    if (!m_listensForAnnouncements && !m_services.empty()
        && !m_services.contains(announcement.service)) {
        log::warn("announcement-of-unknown-service",
                  {{"endpoint", announcement.id}, {"service", announcement.service}});
        return false;
    }
    const auto verdict = m_incarnations.judge(announcement, now);
    if (verdict != AnnouncementVerdict::Current) {
        log::info("announcement-ignored", {{"endpoint", announcement.id},
                                           {"reason", enumName(VerdictNames, verdict)},
                                           {"started-at-ms", announcement.startedAtMs},
                                           {"sequence", announcement.sequence}});
        return true;
    }
    if (m_awaitsHistory && announcement.readiness != EndpointReadiness::Draining) {
        m_heldAnnouncements[announcement.id] = announcement;
        return true;
    }
    m_incarnations.recordAnnouncement(announcement, now);
    registerEndpoint(announcement, now);
    return true;
}

OwnedEndpoint &OwnerTask::Impl::registerEndpoint(const Announcement &announcement, TimePoint now)
{
    removePredecessors(announcement);
    auto &endpoint = endpointFor(announcement);
    const bool wasDraining = endpoint.info.readiness == EndpointReadiness::Draining;
    // An incarnation with a known start time never becomes ready again after it began to drain.
    const bool canBecomeReady = announcement.startedAtMs == 0 || !wasDraining;
    endpoint.info.sequence = announcement.sequence;
    if (canBecomeReady)
        endpoint.info.readiness = announcement.readiness;
    if (!wasDraining && endpoint.info.readiness == EndpointReadiness::Draining)
        beginDrain(endpoint, "announced by the endpoint");
    if (endpoint.info.slots != announcement.slots) {
        endpoint.info.slots = announcement.slots;
        endpoint.scheduler.setSlots(announcement.slots);
    }
    if (announcement.readiness == EndpointReadiness::Cold)
        endpoint.detector.setColdUntil(now + ColdGrace);
    else if (announcement.coldFor > Duration::zero())
        endpoint.detector.setColdUntil(now + announcement.coldFor);
    endpoint.lease.renew(now, m_leaseTerm);
    endpoint.lastAnnounced = now;
    publish(now);
    return endpoint;
}

void OwnerTask::Impl::handleDiscoveredEndpoint(const Announcement &announcement)
{
    if (!m_endpoints.empty())
        return;
    if (m_awaitsHistory) {
        m_heldDiscovery = announcement;
        return;
    }
    const auto now = BootClock::now();
    const auto found = m_incarnations.recordHealthCheck(announcement, now);
    log::info("endpoint-found", {{"endpoint", announcement.id},
                                 {"service", announcement.service},
                                 {"slots", announcement.slots},
                                 {"has-left", found ? 0 : 1}});
    if (found)
        registerEndpoint(*found, now).isStartUnconfirmed = true;
}

void OwnerTask::Impl::learnIncarnations(const std::vector<schema::EndpointRecord> &records)
{
    const auto now = BootClock::now();
    for (const auto &record : records) {
        const IncarnationHistory::Incarnation incarnation {record.id(), record.started_at_ms(),
                                                           record.has_left()};
        m_incarnations.learn(incarnation, now);
        const auto endpoint = m_endpoints.find(incarnation.id);
        if (endpoint == m_endpoints.end() || endpoint->second->withdrawn
            || !m_incarnations.hasLeft(incarnation.id))
            continue;
        endpoint->second->withdrawn = true;
        beginDrain(*endpoint->second, "withdrawn before the restart of the node");
    }
    publish(now);
}

void OwnerTask::Impl::endWaitForHistory()
{
    if (!std::exchange(m_awaitsHistory, false))
        return;
    if (const auto discovery = std::exchange(m_heldDiscovery, std::nullopt))
        handleDiscoveredEndpoint(*discovery);
    for (const auto &[id, announcement] : std::exchange(m_heldAnnouncements, {}))
        handleAnnouncement(announcement);
}

void OwnerTask::Impl::handleWithdrawal(const Withdrawal &withdrawal)
{
    const auto now = BootClock::now();
    if (!m_incarnations.recordDeparture(withdrawal.id, withdrawal.startedAtMs, now)) {
        log::info("withdrawal-outdated", {{"endpoint", withdrawal.id}});
        return;
    }
    const auto found = m_endpoints.find(withdrawal.id);
    if (found == m_endpoints.end())
        log::info("withdrawal-of-unknown-endpoint", {{"endpoint", withdrawal.id}});
    else if (!std::exchange(found->second->withdrawn, true))
        beginDrain(*found->second, "withdrawn by the endpoint");
    publish(now);
}

} // namespace berylspur
