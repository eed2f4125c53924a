// How often the requests of each rank are started at an endpoint. Handles load in which the more
// urgent ranks would take all slots. Does no I/O; time is passed in.
#pragma once

#include "berylspur/core/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace berylspur {

/// Number of groups by which ranks are counted: ranks 0 to 3, and the rest together.
inline constexpr std::size_t RankGroups = 5;

/// Group of \a rank.
constexpr std::size_t rankGroup(std::uint32_t rank)
{
    return rank < RankGroups - 1 ? rank : RankGroups - 1;
}

/// Requests that were started and requests that were lost, by group of ranks, weighted by age.
/// Those that wait are not counted: until its turn, a rank that waits is not behind.
class RankShares
{
public:
    /// Requests lose 1 - 1/e of their weight in this time. Long enough for a count at a few
    /// requests a second, short enough to follow a load peak.
    static constexpr Duration Window = std::chrono::seconds(5);

    void onStart(std::uint32_t rank, TimePoint now);
    /// A request was refused, displaced, or dropped at its deadline.
    void onLost(std::uint32_t rank, TimePoint now);

    /// Share of the requests of \a rank that were started; 1 if there were none.
    double startedShare(std::uint32_t rank) const;
    /// True if the requests of \a rank were started hardly half as often as all requests.
    /// False until enough requests were counted.
    bool isBehind(std::uint32_t rank) const;
    /// Starts a second of requests that are more urgent than \a rank.
    double startRateBefore(std::uint32_t rank) const;

private:
    struct Group
    {
        double starts = 0;
        double lost = 0;
    };

    void decay(TimePoint now);

    std::array<Group, RankGroups> m_groups;
    TimePoint m_decayedAt {};
};

} // namespace berylspur
