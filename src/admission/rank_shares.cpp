// Counts with exponential decay.
#include "berylspur/admission/rank_shares.h"

#include <algorithm>
#include <cmath>

namespace berylspur {

namespace {

/// Arrivals below which shares say little.
constexpr double MinArrivals = 8;

/// The least urgent rank must be served half as often as all requests together. The margin covers
/// the delay until a rank that falls behind is noticed.
constexpr double MinRelativeShare = 0.6;

} // namespace

void RankShares::onArrival(std::uint32_t rank, TimePoint now)
{
    decay(now);
    m_groups[rankGroup(rank)].arrivals += 1;
}

void RankShares::onStart(std::uint32_t rank, TimePoint now)
{
    decay(now);
    m_groups[rankGroup(rank)].starts += 1;
}

double RankShares::startedShare(std::uint32_t rank) const
{
    const Group &group = m_groups[rankGroup(rank)];
    return group.arrivals == 0 ? 1 : std::min(1.0, group.starts / group.arrivals);
}

bool RankShares::isBehind(std::uint32_t rank) const
{
    Group sum;
    for (const Group &group : m_groups) {
        sum.arrivals += group.arrivals;
        sum.starts += group.starts;
    }
    return sum.arrivals >= MinArrivals
           && startedShare(rank) < MinRelativeShare * sum.starts / sum.arrivals;
}

double RankShares::startRateBefore(std::uint32_t rank) const
{
    double starts = 0;
    for (std::size_t i = 0; i < rankGroup(rank); ++i)
        starts += m_groups[i].starts;
    return starts / std::chrono::duration<double>(Window).count();
}

void RankShares::decay(TimePoint now)
{
    if (now <= m_decayedAt)
        return;
    const double factor = std::exp(-std::chrono::duration<double>(now - m_decayedAt)
                                   / std::chrono::duration<double>(Window));
    for (Group &group : m_groups) {
        group.arrivals *= factor;
        group.starts *= factor;
    }
    m_decayedAt = now;
}

} // namespace berylspur
