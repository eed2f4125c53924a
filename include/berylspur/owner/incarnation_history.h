// Which incarnations of endpoints a node knows, and which of them may still announce themselves.
#pragma once

#include "berylspur/core/clock.h"
#include "berylspur/owner/announcement.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace berylspur {

/// What an announcement means to a node that knows other incarnations of its id or address.
enum class AnnouncementVerdict {
    Current, ///< of the newest incarnation, in order
    Outdated, ///< of an earlier incarnation, or overtaken by a later announcement
    HasLeft, ///< of an incarnation that said that it leaves
    Undecided, ///< another endpoint, whose start is not known yet, answers at this address
};

/// Orders the incarnations of endpoints by their start times. Announcements and withdrawals arrive
/// late and in any order, and a process of the node that starts learns of the incarnations from its
/// peers, the platform and a health check. Whatever comes first, the result is the same:
///
/// - Of two incarnations with the same id or address the one that started later is current.
/// - An incarnation that leaves is never current again, also if the announcement that it leaves
///   came before all others.
/// - A health check proves that its endpoint is newer than all others known at that address, but
///   does not return the start time. Until its own announcement adds it, other endpoints at the
///   address are not accepted.
class IncarnationHistory
{
public:
    /// Incarnations that leave are remembered this long: the largest delay of an announcement.
    static constexpr Duration DepartureRetention = std::chrono::minutes(5);
    /// Time after the last announcement of an incarnation for which it takes precedence over
    /// earlier ones.
    static constexpr Duration Retention = std::chrono::seconds(60);
    /// Time for which the result of a health check takes precedence over announcements.
    static constexpr Duration HealthCheckPrecedence = std::chrono::seconds(5);
    /// Limit on remembered incarnations. The one that was seen longest ago is dropped.
    static constexpr std::size_t MaxIncarnations = 64;

    /// An incarnation as peers and the platform keep it.
    struct Incarnation
    {
        std::string id;
        std::int64_t startedAtMs = 0; ///< 0: unknown
        bool hasLeft = false;

        friend bool operator==(const Incarnation &, const Incarnation &) = default;
    };

    AnnouncementVerdict judge(const Announcement &announcement, TimePoint now) const;
    /// Records an announcement that is Current.
    void recordAnnouncement(const Announcement &announcement, TimePoint now);
    /// Records an answer to a health check. Returns the announcement with the latest start time
    /// known of its id, or nullopt if that incarnation has left.
    std::optional<Announcement> recordHealthCheck(Announcement answer, TimePoint now);
    /// Records that the incarnation of \a id that started at \a startedAtMs leaves. With 0 it is
    /// the newest one known, or else the next one that announces itself. Returns false if a newer
    /// one is known.
    bool recordDeparture(const std::string &id, std::int64_t startedAtMs, TimePoint now);
    /// Adds what an earlier process of this node knew.
    void learn(const Incarnation &incarnation, TimePoint now);

    /// True if the newest known incarnation of \a id has left.
    bool hasLeft(const std::string &id) const;
    /// Start time of the newest known incarnation of \a id; 0 if unknown.
    std::int64_t startedAtMs(const std::string &id) const;
    /// Incarnations that have left, sorted by id.
    std::vector<Incarnation> departures() const;
    /// Forgets incarnations after their retention.
    void expire(TimePoint now);
    std::size_t size() const { return m_known.size(); }

private:
    struct Known
    {
        std::int64_t startedAtMs = 0; ///< never decreases; 0: unknown
        std::uint64_t sequence = 0; ///< highest of the incarnation
        std::optional<Address> address; ///< nullopt: known only from elsewhere
        bool hasLeft = false;
        TimePoint lastSeen;
        /// Set while only a health check proves that the endpoint is at its address.
        std::optional<TimePoint> foundAt;
    };

    /// Entry of \a id, made to describe the incarnation \a startedAtMs.
    Known &newestOf(const std::string &id, std::int64_t startedAtMs, TimePoint now);
    void dropOldest();

    std::map<std::string, Known> m_known; // by endpoint id
};

} // namespace berylspur
