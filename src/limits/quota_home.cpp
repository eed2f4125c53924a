// Votes with their ends, shares, and token buckets that follow the shares.
#include "berylspur/limits/quota_home.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace berylspur {

namespace {

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

std::uint32_t quotaShard(std::string_view name)
{
    return static_cast<std::uint32_t>(hash64(name) % QuotaShards);
}

QuotaHome::QuotaHome(double extraBurst, TimePoint now) : m_extraBurst(extraBurst)
{
    for (auto &shard : m_shards)
        shard.at = now;
}

void QuotaHome::fill(Shard &shard, TimePoint now)
{
    if (now <= shard.at)
        return;
    const double gain = shard.share * seconds(now - shard.at);
    shard.filled += gain;
    for (std::size_t i = 0; i < ReferenceSizes.size(); ++i)
        shard.references[i] = std::min(shard.references[i] + gain, ReferenceSizes[i] * shard.share);
    shard.at = now;
}

double QuotaHome::capacity(const RateLimit &limit, const Shard &shard) const
{
    const auto burst = limit.burst == 0 ? limit.rate : limit.burst;
    return (burst + m_extraBurst) * shard.share;
}

double QuotaHome::unusedLevel(const RateLimit &limit, const Shard &shard) const
{
    if (shard.share <= 0)
        return 0;
    // A reference bucket that is not larger than the customer's never holds more seconds of the
    // rate. For a customer smaller than all of them, this holds for the smallest, scaled down.
    const double size = capacity(limit, shard) / shard.share / limit.rate;
    const auto next = std::upper_bound(ReferenceSizes.begin(), ReferenceSizes.end(), size);
    const auto index = std::max<std::ptrdiff_t>(next - ReferenceSizes.begin() - 1, 0);
    const double scale = std::min(size / ReferenceSizes.front(), 1.0);
    return limit.rate * shard.references[static_cast<std::size_t>(index)] * scale;
}

void QuotaHome::refill(const Shard &shard, Bucket &bucket) const
{
    const double level = bucket.level + bucket.limit.rate * (shard.filled - bucket.filledAt);
    bucket.level = std::min(level, capacity(bucket.limit, shard));
    bucket.filledAt = shard.filled;
}

void QuotaHome::updateShare(Shard &shard, TimePoint now)
{
    fill(shard, now);
    const double share = static_cast<double>(shard.votes) / std::max(m_fleetSize, shard.votes);
    if (share == shard.share)
        return;
    // Filled at the old share up to now, then cut to the new size. Without the first step a bucket
    // that was full would hold the tokens of a vote at the moment it arrives.
    for (auto &[name, bucket] : shard.buckets)
        refill(shard, bucket);
    shard.share = share;
    for (std::size_t i = 0; i < ReferenceSizes.size(); ++i)
        shard.references[i] = std::min(shard.references[i], ReferenceSizes[i] * share);
    for (auto &[name, bucket] : shard.buckets)
        refill(shard, bucket);
}

void QuotaHome::updateShares(TimePoint now)
{
    for (auto &shard : m_shards)
        updateShare(shard, now);
}

void QuotaHome::updateFleetSize(TimePoint now)
{
    auto size = m_ownFleetSize;
    for (const auto &[name, voter] : m_voters)
        size = std::max(size, voter.fleetSize);
    if (std::exchange(m_fleetSize, size) != size)
        updateShares(now);
}

void QuotaHome::setFleetSize(std::uint32_t nodes, TimePoint now)
{
    advance(now);
    m_ownFleetSize = nodes;
    updateFleetSize(now);
}

void QuotaHome::endVote(Voter &voter, std::uint32_t shard, TimePoint now)
{
    if (std::exchange(voter.voteEnds[shard], TimePoint()) == TimePoint())
        return;
    --m_shards[shard].votes;
    updateShare(m_shards[shard], now);
}

/// Ends the votes that are due, each at its own time: a bucket must not fill on a vote after its
/// end, however long this node was paused.
void QuotaHome::advance(TimePoint now)
{
    if (now >= m_nextVoteEnd) {
        std::vector<std::tuple<TimePoint, Voter *, std::uint32_t>> due;
        m_nextVoteEnd = TimePoint::max();
        for (auto &[name, voter] : m_voters) {
            for (std::uint32_t shard = 0; shard < QuotaShards; ++shard) {
                const auto end = voter.voteEnds[shard];
                if (end != TimePoint() && end <= now)
                    due.emplace_back(end, &voter, shard);
                else if (end != TimePoint())
                    m_nextVoteEnd = std::min(m_nextVoteEnd, end);
            }
        }
        std::sort(due.begin(), due.end());
        for (const auto &[end, voter, shard] : due)
            endVote(*voter, shard, end);
    }
    for (auto &shard : m_shards)
        fill(shard, now);
}

void QuotaHome::applyVotes(Voter &voter, const schema::CustomerQuotaRequest &request, Duration age,
                           TimePoint now)
{
    voter.sequence = request.sequence();
    if (std::exchange(voter.fleetSize, request.fleet_size()) != request.fleet_size())
        updateFleetSize(now);
    voter.keepUntil = now + QuotaVoteTerm;
    // Counted from the earliest time at which the gate may have composed the request: the gate
    // holds the vote for QuotaVoteTerm from then on.
    const auto end = now - age + QuotaVoteTerm;
    for (std::uint32_t shard = 0; shard < QuotaShards; ++shard) {
        if (request.withdrawn() >> shard & 1U)
            endVote(voter, shard, now);
        if ((request.votes() >> shard & 1U) == 0)
            continue;
        m_nextVoteEnd = std::min(m_nextVoteEnd, end);
        if (voter.voteEnds[shard] == TimePoint()) {
            ++m_shards[shard].votes;
            updateShare(m_shards[shard], now);
        }
        voter.voteEnds[shard] = std::max(voter.voteEnds[shard], end);
    }
}

QuotaHome::Bucket &QuotaHome::bucketOf(Shard &shard, const std::string &customer,
                                       const RateLimit &limit, TimePoint now) const
{
    const auto [entry, isNew] = shard.buckets.try_emplace(customer);
    Bucket &bucket = entry->second;
    if (isNew) {
        bucket.level = unusedLevel(limit, shard);
        bucket.filledAt = shard.filled;
    } else {
        refill(shard, bucket);
    }
    bucket.limit = limit;
    bucket.level = std::min(bucket.level, capacity(limit, shard));
    bucket.usedAt = now;
    std::erase_if(bucket.returned, [now](const Returned &lease) {
        return lease.tokens == 0 || lease.expiresAt - now < MinReturnedTerm;
    });
    return bucket;
}

std::uint32_t QuotaHome::take(Bucket &bucket, std::uint32_t wanted, Duration &term, TimePoint now)
{
    auto missing = wanted;
    for (auto &lease : bucket.returned) {
        const auto taken = std::min(lease.tokens, missing);
        lease.tokens -= taken;
        missing -= taken;
        if (taken > 0)
            term = std::min(term, lease.expiresAt - now);
    }
    const auto fresh = std::min(missing, static_cast<std::uint32_t>(bucket.level));
    bucket.level -= fresh;
    return wanted - missing + fresh;
}

Duration QuotaHome::retryAfter(const Shard &shard, const Bucket &bucket)
{
    const double rate = bucket.limit.rate * shard.share;
    if (rate <= 0)
        return NoShareRetry;
    const double wait = std::max(1 - bucket.level, 0.0) / rate;
    return std::min(std::chrono::ceil<Duration>(std::chrono::duration<double>(wait)),
                    MaxRetryAfter);
}

QuotaHome::Granted QuotaHome::grant(const Entry &entry, const LimitOf &limitOf, TimePoint now)
{
    Granted granted;
    auto term = QuotaLeaseTerm;
    granted.set_granted(entry.wanted());
    const auto limit = limitOf(entry.customer()).value_or(RateLimit {entry.rate(), entry.burst()});
    if (limit.rate > 0) {
        auto &shard = m_shards[quotaShard(entry.customer())];
        auto &bucket = bucketOf(shard, entry.customer(), limit, now);
        if (entry.returned() > 0)
            bucket.returned.push_back(
                    {entry.returned(), now + std::chrono::milliseconds(entry.returned_term_ms())});
        const auto taken = take(bucket, entry.wanted(), term, now);
        if (taken < entry.wanted()) {
            const auto wait =
                    std::chrono::ceil<std::chrono::milliseconds>(retryAfter(shard, bucket));
            granted.set_retry_after_ms(static_cast<std::uint32_t>(wait.count()));
        }
        // Half of the bucket stays for requests that wait at other gates.
        const double spare = std::max(bucket.level - capacity(limit, shard) / 2, 0.0);
        const auto ahead = std::min(entry.ahead(), static_cast<std::uint32_t>(spare));
        bucket.level -= ahead;
        granted.set_granted(taken + ahead);
    }
    granted.set_term_ms(static_cast<std::uint32_t>(toMs(term)));
    return granted;
}

schema::CustomerQuotaReply QuotaHome::handle(const std::string &voter, Incarnation incarnation,
                                             const schema::CustomerQuotaRequest &request,
                                             Duration age, const LimitOf &limitOf, TimePoint now)
{
    advance(now);
    schema::CustomerQuotaReply reply;
    reply.set_closed(m_isClosed);
    if (m_isClosed)
        return reply;
    auto &known = m_voters[voter];
    const bool isNewProcess = incarnation > known.incarnation;
    if (age > QuotaVoteTerm / 2 || incarnation < known.incarnation
        || (!isNewProcess && request.sequence() <= known.sequence)) {
        reply.set_dropped(true);
        return reply;
    }
    if (isNewProcess) {
        for (std::uint32_t shard = 0; shard < QuotaShards; ++shard)
            endVote(known, shard, now);
        known.incarnation = incarnation;
    }
    applyVotes(known, request, age, now);
    for (const auto &entry : request.entries()) {
        auto arrived = entry;
        const auto left = std::chrono::milliseconds(entry.returned_term_ms()) - age;
        arrived.set_returned_term_ms(
                static_cast<std::uint32_t>(std::max<std::int64_t>(toMs(left), 0)));
        *reply.add_entries() = grant(arrived, limitOf, now);
    }
    return reply;
}

void QuotaHome::close(TimePoint now)
{
    advance(now);
    for (auto &[name, voter] : m_voters) {
        for (std::uint32_t shard = 0; shard < QuotaShards; ++shard)
            endVote(voter, shard, now);
    }
    m_voters.clear();
    m_isClosed = true;
}

void QuotaHome::expire(TimePoint now)
{
    advance(now);
    std::erase_if(m_voters, [now](const auto &entry) {
        const auto &ends = entry.second.voteEnds;
        return now > entry.second.keepUntil
               && std::all_of(ends.begin(), ends.end(),
                              [](TimePoint end) { return end == TimePoint(); });
    });
    updateFleetSize(now);
    for (auto &shard : m_shards) {
        for (auto entry = shard.buckets.begin(); entry != shard.buckets.end();) {
            auto &bucket = entry->second;
            refill(shard, bucket);
            const bool isUnused = bucket.level >= capacity(bucket.limit, shard)
                                  && now - bucket.usedAt >= BucketRetention;
            entry = isUnused ? shard.buckets.erase(entry) : std::next(entry);
        }
    }
}

std::vector<QuotaHome::ShardView> QuotaHome::shards(TimePoint now)
{
    advance(now);
    std::vector<ShardView> views;
    views.reserve(m_shards.size());
    for (const auto &shard : m_shards)
        views.push_back({shard.votes, shard.share, shard.buckets.size()});
    return views;
}

} // namespace berylspur
