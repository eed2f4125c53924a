// Order of the incarnations of endpoints.
#include "berylspur/owner/incarnation_history.h"

#include <algorithm>
#include <utility>

namespace berylspur {

AnnouncementVerdict IncarnationHistory::judge(const Announcement &announcement, TimePoint now) const
{
    const auto same = m_known.find(announcement.id);
    if (same != m_known.end()) {
        const auto &known = same->second;
        const bool isReordered =
                announcement.sequence != 0 && announcement.sequence <= known.sequence;
        if (announcement.startedAtMs < known.startedAtMs
            || (announcement.startedAtMs == known.startedAtMs && isReordered))
            return AnnouncementVerdict::Outdated;
        // An unknown start time is that of the first announcement.
        const bool isSameIncarnation =
                known.startedAtMs == 0 || announcement.startedAtMs == known.startedAtMs;
        if (known.hasLeft && isSameIncarnation)
            return AnnouncementVerdict::HasLeft;
    }
    for (const auto &[id, known] : m_known) {
        if (id == announcement.id || known.address != announcement.address)
            continue;
        if (known.startedAtMs > announcement.startedAtMs)
            return AnnouncementVerdict::Outdated;
        if (known.foundAt && now - *known.foundAt < HealthCheckPrecedence)
            return AnnouncementVerdict::Undecided;
    }
    return AnnouncementVerdict::Current;
}

void IncarnationHistory::recordAnnouncement(const Announcement &announcement, TimePoint now)
{
    auto &known = newestOf(announcement.id, announcement.startedAtMs, now);
    known.sequence = announcement.sequence;
    known.address = announcement.address;
    known.foundAt.reset();
    // Without start times an endpoint may become ready again after it began to drain.
    if (announcement.readiness == EndpointReadiness::Draining && announcement.startedAtMs != 0)
        known.hasLeft = true;
}

std::optional<Announcement> IncarnationHistory::recordHealthCheck(Announcement answer,
                                                                  TimePoint now)
{
    if (hasLeft(answer.id))
        return std::nullopt;
    answer.startedAtMs = startedAtMs(answer.id);
    auto &known = newestOf(answer.id, answer.startedAtMs, now);
    known.address = answer.address;
    known.foundAt = now;
    return answer;
}

bool IncarnationHistory::recordDeparture(const std::string &id, std::int64_t startedAtMs,
                                         TimePoint now)
{
    const auto newest = this->startedAtMs(id);
    if (startedAtMs != 0 && startedAtMs < newest)
        return false;
    newestOf(id, std::max(startedAtMs, newest), now).hasLeft = true;
    return true;
}

void IncarnationHistory::learn(const Incarnation &incarnation, TimePoint now)
{
    if (incarnation.startedAtMs < startedAtMs(incarnation.id))
        return;
    auto &known = newestOf(incarnation.id, incarnation.startedAtMs, now);
    known.hasLeft = known.hasLeft || incarnation.hasLeft;
}

bool IncarnationHistory::hasLeft(const std::string &id) const
{
    const auto found = m_known.find(id);
    return found != m_known.end() && found->second.hasLeft;
}

std::int64_t IncarnationHistory::startedAtMs(const std::string &id) const
{
    const auto found = m_known.find(id);
    return found == m_known.end() ? 0 : found->second.startedAtMs;
}

std::vector<IncarnationHistory::Incarnation> IncarnationHistory::departures() const
{
    std::vector<Incarnation> left;
    for (const auto &[id, known] : m_known) {
        if (known.hasLeft)
            left.push_back({id, known.startedAtMs, true});
    }
    return left;
}

void IncarnationHistory::expire(TimePoint now)
{
    std::erase_if(m_known, [now](const auto &item) {
        const auto &known = item.second;
        return now - known.lastSeen > (known.hasLeft ? DepartureRetention : Retention);
    });
}

IncarnationHistory::Known &IncarnationHistory::newestOf(const std::string &id,
                                                        std::int64_t startedAtMs, TimePoint now)
{
    if (!m_known.contains(id) && m_known.size() >= MaxIncarnations)
        dropOldest();
    auto &known = m_known[id];
    const bool isNext = known.startedAtMs != 0 && startedAtMs > known.startedAtMs;
    if (isNext)
        known = {};
    known.startedAtMs = std::max(known.startedAtMs, startedAtMs);
    known.lastSeen = now;
    return known;
}

void IncarnationHistory::dropOldest()
{
    m_known.erase(
            std::min_element(m_known.begin(), m_known.end(), [](const auto &a, const auto &b) {
                return a.second.lastSeen < b.second.lastSeen;
            }));
}

} // namespace berylspur
