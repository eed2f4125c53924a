// Fleet-wide limits: a token bucket per (service, customer) at its home, the node that rendezvous
// hashing selects, which leases tokens to the gates; and the share of a service's concurrency limit
// per owner.
#pragma once

#include "berylspur/core/clock.h"
#include "berylspur/core/ids.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace berylspur {

/// Limit on the requests of one customer to one service.
struct RateLimit
{
    std::uint32_t rate = 0; ///< requests/s; 0: no limit
    std::uint32_t burst = 0; ///< requests
};

/// Tokens granted to a gate for LeaseTerm.
struct Lease
{
    std::uint32_t tokens = 0;
    /// Time until the bucket has a token again; zero if it has one now. Until then the gate refuses
    /// requests that the lease does not cover.
    Duration retryAfter {};
};

/// Token buckets of the customers whose home is this node.
class RateLimiterHome
{
public:
    /// Charges \a used tokens (spent on credit), then grants up to \a wanted. The charge may make
    /// the level negative, so that credit is repaid before new tokens are granted.
    Lease grant(const std::string &key, const RateLimit &limit, std::uint32_t used,
                std::uint32_t wanted, TimePoint now);
    /// Deletes buckets that have refilled completely.
    void expire(TimePoint now);
    std::size_t size() const;

private:
    /// Levels are in millionths of a token, so that tokens/s times microseconds is exact.
    static constexpr std::int64_t UnitsPerToken = 1000000;

    struct Bucket
    {
        std::int64_t level = 0; ///< millionths of a token; negative while credit is owed
        TimePoint refilledAt {};
        RateLimit limit;
    };
    static void refill(Bucket &bucket, TimePoint now);

    std::unordered_map<std::string, Bucket> m_buckets;
};

/// Leases held by a gate.
class RateLimiterClient
{
public:
    static constexpr Duration LeaseTerm = std::chrono::seconds(1);
    static constexpr std::uint32_t Credit = 1; ///< requests admitted without a lease

    enum class Verdict { Admit, Refuse };

    struct Decision
    {
        Verdict verdict = Verdict::Admit;
        Duration retryAfter {};
        bool renew = false; ///< ask the home for a lease now
        /// With Refuse: the home has not replied yet. The caller may hold the request and call
        /// request() for it again with isRecheck set after onGranted() or onRenewalFailed().
        bool pending = false;
    };

    /// Decides on one request of \a key. At most Credit requests are admitted on credit until the
    /// home replies. \a isRecheck: the request was counted before.
    Decision request(const std::string &key, const RateLimit &limit, TimePoint now,
                     bool isRecheck = false);

    struct Renewal
    {
        std::uint32_t used = 0;
        std::uint32_t wanted = 0;
    };
    /// Starts a renewal and returns the contents of its lease request. Must be followed by
    /// onGranted() or onRenewalFailed().
    Renewal beginRenewal(const std::string &key, const RateLimit &limit);
    /// Applies the home's reply.
    void onGranted(const std::string &key, const Lease &lease, TimePoint now);
    /// The lease request failed: its credit is to be reported again.
    void onRenewalFailed(const std::string &key, const Renewal &renewal, TimePoint now);
    void expire(TimePoint now);
    std::size_t size() const;

private:
    static constexpr Duration RenewalRetryDelay = std::chrono::milliseconds(100);
    /// Idle accounts are kept for two lease terms, those with unreported credit for longer.
    static constexpr Duration IdleRetention = 2 * LeaseTerm;
    static constexpr Duration CreditRetention = std::chrono::seconds(300);

    struct Account
    {
        std::uint32_t tokens = 0;
        TimePoint tokensExpireAt {};
        TimePoint refuseUntil {}; ///< the home reported the bucket as empty until then
        TimePoint nextRenewalAt {}; ///< earliest next renewal after a failed one
        TimePoint windowStart {};
        TimePoint lastRequest {};
        std::uint32_t arrivals = 0; ///< requests in the current window of one lease term
        std::uint32_t previousArrivals = 0; ///< requests in the previous window
        /// Credit not reported to the home. Credit is taken only while no renewal is in flight, so
        /// unreported + reported is at most Credit.
        std::uint32_t unreported = 0;
        std::uint32_t reported = 0; ///< credit in the renewal in flight
        bool renewing = false;
    };
    static void countArrival(Account &account, TimePoint now);
    static std::uint32_t expectedDemand(const Account &account);

    std::unordered_map<std::string, Account> m_accounts;
};

/// Key of the token bucket of \a customer at \a service.
std::string rateKey(std::string_view service, std::string_view customer);
/// Same, but writes to \a key and reuses its memory.
void rateKey(std::string_view service, std::string_view customer, std::string &key);

/// Node with the highest rendezvous weight for \a key; empty if \a nodes is empty.
std::string rendezvousNode(std::string_view key, const std::vector<std::string> &nodes);

/// Number of requests that one owner may run concurrently for a service with a fleet-wide
/// \a concurrency limit (0: unlimited) if it owns \a ownEndpoints of \a declaredEndpoints. The
/// shares of all owners add up to at most the limit, or to one per endpoint if the limit is lower
/// than the number of endpoints, as long as no more endpoints run than declared. Returns UINT32_MAX
/// if unlimited.
std::uint32_t concurrencyShare(std::uint32_t concurrency, std::uint32_t ownEndpoints,
                               std::uint32_t declaredEndpoints);

} // namespace berylspur
