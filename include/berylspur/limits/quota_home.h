// Home of customer quotas: token buckets that fill in proportion to the gates that vote for it.
#pragma once

#include "berylspur/core/ids.h"
#include "berylspur/limits/quota.h"
#include "berylspur/limits/rate_limiter.h"
#include "berylspur/peer.pb.h"

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylspur {

/// Grants tokens of the customers in the quota shards that gates vote for. With the votes of v of N
/// nodes, the bucket of a customer holds v/N of its burst and fills at v/N of its rate. A gate has
/// one vote per shard, so the buckets of all homes together never exceed the limit, whichever nodes
/// are in contact. Without votes a home grants nothing.
class QuotaHome
{
public:
    /// Limit of a customer; std::nullopt if the customer is not known here.
    using LimitOf = std::function<std::optional<RateLimit>(const std::string &customer)>;

    /// \a extraBurst: tokens that a bucket holds beyond the burst of its customer.
    explicit QuotaHome(double extraBurst, TimePoint now);

    /// Sets the number of nodes that this node knows.
    void setFleetSize(std::uint32_t nodes, TimePoint now);
    /// Handles a request of the process \a incarnation of the gate \a voter. \a age: upper bound of
    /// the time since the gate composed it. A request older than half of QuotaVoteTerm, or not
    /// newer than the last one of the gate, has no effect.
    schema::CustomerQuotaReply handle(const std::string &voter, Incarnation incarnation,
                                      const schema::CustomerQuotaRequest &request, Duration age,
                                      const LimitOf &limitOf, TimePoint now);
    /// Drops all votes and takes no new ones, so that gates may give them to other homes at once.
    void close(TimePoint now);
    /// Deletes full buckets and gates that sent nothing for QuotaVoteTerm.
    void expire(TimePoint now);

    struct ShardView
    {
        std::uint32_t votes = 0;
        double share = 0; ///< of the limit of each customer in the shard
        std::size_t buckets = 0;
    };
    std::vector<ShardView> shards(TimePoint now);
    std::uint32_t fleetSize() const { return m_fleetSize; }

private:
    /// Retry-After of a home that has no votes.
    static constexpr Duration NoShareRetry = std::chrono::milliseconds(200);
    static constexpr Duration MaxRetryAfter = std::chrono::seconds(5);
    /// Returned tokens with less time than this are not granted again.
    static constexpr Duration MinReturnedTerm = std::chrono::milliseconds(100);
    /// Full buckets are deleted after this time without a request.
    static constexpr Duration BucketRetention = std::chrono::seconds(600);

    static constexpr std::array<double, 8> ReferenceSizes {1, 1.5, 2, 3, 4, 6, 8, 16};

    using Entry = schema::CustomerQuotaRequest::Entry;
    using Granted = schema::CustomerQuotaReply::Entry;

    struct Returned
    {
        std::uint32_t tokens = 0;
        TimePoint expiresAt;
    };
    struct Bucket
    {
        double level = 0; ///< at most the burst with the extra, times the share of the shard
        double filledAt = 0; ///< Shard::filled when level was computed
        RateLimit limit;
        TimePoint usedAt;
        /// Kept with their expiry instead of being added to the level: that would renew them, and
        /// tokens that circulate unused could then exceed the bucket (docs/proofs.md).
        std::vector<Returned> returned;
    };
    struct Shard
    {
        std::uint32_t votes = 0;
        double share = 0;
        double filled = 0; ///< integral of the share over time, in seconds
        /// Levels of buckets that hold ReferenceSizes seconds of their rate, in seconds. A
        /// customer's bucket that is created later has at least the level of the next smaller one.
        std::array<double, ReferenceSizes.size()> references {};
        TimePoint at; ///< time up to which filled and references are computed
        std::unordered_map<std::string, Bucket> buckets;
    };
    struct Voter
    {
        Incarnation incarnation = 0;
        std::uint64_t sequence = 0;
        std::uint32_t fleetSize = 0;
        TimePoint keepUntil;
        /// End of the vote per shard; TimePoint() without one.
        std::array<TimePoint, QuotaShards> voteEnds {};
    };

    void advance(TimePoint now);
    static void fill(Shard &shard, TimePoint now);
    void updateShares(TimePoint now);
    void updateShare(Shard &shard, TimePoint now);
    void updateFleetSize(TimePoint now);
    void endVote(Voter &voter, std::uint32_t shard, TimePoint now);
    void applyVotes(Voter &voter, const schema::CustomerQuotaRequest &request, Duration age,
                    TimePoint now);
    double capacity(const RateLimit &limit, const Shard &shard) const;
    /// Level of a bucket without requests since the first vote.
    double unusedLevel(const RateLimit &limit, const Shard &shard) const;
    void refill(const Shard &shard, Bucket &bucket) const;
    Bucket &bucketOf(Shard &shard, const std::string &customer, const RateLimit &limit,
                     TimePoint now) const;
    /// Takes up to \a wanted tokens from the returned ones and the level of \a bucket.
    static std::uint32_t take(Bucket &bucket, std::uint32_t wanted, Duration &term, TimePoint now);
    Granted grant(const Entry &entry, const LimitOf &limitOf, TimePoint now);
    static Duration retryAfter(const Shard &shard, const Bucket &bucket);

    double m_extraBurst;
    std::uint32_t m_ownFleetSize = 1;
    std::uint32_t m_fleetSize = 1; ///< largest value that this node or a voter knows
    std::array<Shard, QuotaShards> m_shards;
    std::map<std::string, Voter> m_voters;
    TimePoint m_nextVoteEnd = TimePoint::max(); ///< no vote ends before
    bool m_isClosed = false;
};

} // namespace berylspur
