// Counts with exponential decay.
#include "berylspur/admission/rank_shares.h"

#include <cmath>

namespace berylspur {

namespace {

/// Requests below which shares say little.
constexpr double MinRequests = 8;

/// The least urgent rank must be served half as often as all requests together. The margin covers
/// the delay until a rank that falls behind is noticed.
constexpr double MinRelativeShare = 0.55;

} // namespace

void RankShares::onStart(std::uint32_t rank, TimePoint now)
{
    decay(now);
    m_groups[rankGroup(rank)].starts += 1;
}

void RankShares::onLost(std::uint32_t rank, TimePoint now)
{
    decay(now);
    m_groups[rankGroup(rank)].lost += 1;
}

double RankShares::startedShare(std::uint32_t rank) const
{
    const Group &group = m_groups[rankGroup(rank)];
    const double requests = group.starts + group.lost;
    return requests == 0 ? 1 : group.starts / requests;
}

bool RankShares::isBehind(std::uint32_t rank) const
{
    Group sum;
    for (const Group &group : m_groups) {
        sum.starts += group.starts;
        sum.lost += group.lost;
    }
    const double requests = sum.starts + sum.lost;
    return requests >= MinRequests && startedShare(rank) < MinRelativeShare * sum.starts / requests;
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
        group.starts *= factor;
        group.lost *= factor;
    }
    m_decayedAt = now;
}

} // namespace berylspur
