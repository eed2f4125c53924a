// Token buckets at the home node, leases at the gates, concurrency shares.
#include "berylspur/limits/rate_limiter.h"

#include <algorithm>
#include <limits>

namespace berylspur {

namespace {

std::uint32_t burstOf(const RateLimit &limit)
{
    return limit.burst == 0 ? limit.rate : limit.burst;
}

} // namespace

void RateLimiterHome::refill(Bucket &bucket, TimePoint now)
{
    const std::int64_t full = burstOf(bucket.limit) * UnitsPerToken;
    const std::int64_t missing = full - bucket.level;
    const std::int64_t elapsed = std::max<std::int64_t>((now - bucket.refilledAt).count(), 0);
    // Compared by division, because elapsed * rate would overflow after a long idle time.
    if (missing <= 0 || elapsed > missing / bucket.limit.rate)
        bucket.level = full;
    else
        bucket.level += elapsed * bucket.limit.rate;
    bucket.refilledAt = std::max(bucket.refilledAt, now);
}

Lease RateLimiterHome::grant(const std::string &key, const RateLimit &limit, std::uint32_t used,
                             std::uint32_t wanted, TimePoint now)
{
    if (limit.rate == 0)
        return {wanted, {}};
    const auto [entry, isNew] = m_buckets.try_emplace(key);
    Bucket &bucket = entry->second;
    if (isNew) {
        bucket = {burstOf(limit) * UnitsPerToken, now, limit};
    } else {
        refill(bucket, now);
        bucket.limit = limit;
        bucket.level = std::min(bucket.level, burstOf(limit) * UnitsPerToken);
    }

    bucket.level -= used * UnitsPerToken;
    Lease lease;
    lease.tokens = static_cast<std::uint32_t>(std::min<std::int64_t>(
            wanted, std::max<std::int64_t>(bucket.level, 0) / UnitsPerToken));
    bucket.level -= lease.tokens * UnitsPerToken;
    if (bucket.level < UnitsPerToken) {
        const std::int64_t missing = UnitsPerToken - bucket.level;
        lease.retryAfter = Duration((missing + limit.rate - 1) / limit.rate);
    }
    return lease;
}

void RateLimiterHome::expire(TimePoint now)
{
    for (auto entry = m_buckets.begin(); entry != m_buckets.end();) {
        refill(entry->second, now);
        const bool isFull = entry->second.level == burstOf(entry->second.limit) * UnitsPerToken;
        entry = isFull ? m_buckets.erase(entry) : std::next(entry);
    }
}

std::size_t RateLimiterHome::size() const
{
    return m_buckets.size();
}

void RateLimiterClient::countArrival(Account &account, TimePoint now)
{
    const Duration age = now - account.windowStart;
    if (age >= LeaseTerm) {
        account.previousArrivals = age < 2 * LeaseTerm ? account.arrivals : 0;
        account.arrivals = 0;
        account.windowStart = now;
    }
    ++account.arrivals;
}

/// Requests expected in the next lease term beyond the one covered by credit. A customer with at
/// most one request per term is served on credit alone, so that no tokens leased for it expire
/// unused.
std::uint32_t RateLimiterClient::expectedDemand(const Account &account)
{
    return std::max({account.arrivals, account.previousArrivals, 1U}) - 1;
}

RateLimiterClient::Decision RateLimiterClient::request(const std::string &key,
                                                       const RateLimit &limit, TimePoint now,
                                                       bool isRecheck)
{
    if (limit.rate == 0)
        return {};
    Account &account = m_accounts[key];
    if (!isRecheck)
        countArrival(account, now);
    account.lastRequest = now;
    const bool canRenew = !account.renewing && now >= account.nextRenewalAt;

    Decision decision;
    if (account.tokens > 0 && now < account.tokensExpireAt) {
        --account.tokens;
        // Renew when a quarter of the expected demand is left, to cover the time until the home
        // replies.
        decision.renew = canRenew && now >= account.refuseUntil
                         && account.tokens < (expectedDemand(account) + 3) / 4;
        return decision;
    }
    account.tokens = 0;
    if (now < account.refuseUntil) {
        decision.verdict = Verdict::Refuse;
        decision.retryAfter = account.refuseUntil - now;
        return decision;
    }
    if (!account.renewing && account.unreported < Credit) {
        ++account.unreported;
        decision.renew = canRenew;
        return decision;
    }
    decision.verdict = Verdict::Refuse;
    decision.retryAfter = LeaseTerm;
    decision.renew = canRenew;
    decision.pending = account.renewing || canRenew;
    return decision;
}

RateLimiterClient::Renewal RateLimiterClient::beginRenewal(const std::string &key,
                                                           const RateLimit &limit)
{
    Account &account = m_accounts[key];
    const std::uint32_t wanted = std::min(expectedDemand(account), burstOf(limit));
    const Renewal renewal {account.unreported, wanted - std::min(wanted, account.tokens)};
    account.reported = account.unreported;
    account.unreported = 0;
    account.renewing = true;
    return renewal;
}

void RateLimiterClient::onGranted(const std::string &key, const Lease &lease, TimePoint now)
{
    const auto found = m_accounts.find(key);
    if (found == m_accounts.end())
        return;
    Account &account = found->second;
    account.renewing = false;
    account.reported = 0;
    if (now >= account.tokensExpireAt)
        account.tokens = 0;
    if (lease.tokens > 0) {
        account.tokens += lease.tokens;
        account.tokensExpireAt = now + LeaseTerm;
    }
    account.refuseUntil = now + lease.retryAfter;
}

void RateLimiterClient::onRenewalFailed(const std::string &key, const Renewal &renewal,
                                        TimePoint now)
{
    const auto found = m_accounts.find(key);
    if (found == m_accounts.end())
        return;
    Account &account = found->second;
    account.renewing = false;
    account.reported = 0;
    account.unreported += renewal.used;
    account.nextRenewalAt = now + RenewalRetryDelay;
}

void RateLimiterClient::expire(TimePoint now)
{
    std::erase_if(m_accounts, [now](const auto &entry) {
        const Account &account = entry.second;
        const bool owes = account.unreported > 0 || account.renewing;
        return now - account.lastRequest >= (owes ? CreditRetention : IdleRetention)
               && now >= account.refuseUntil;
    });
}

std::size_t RateLimiterClient::size() const
{
    return m_accounts.size();
}

void rateKey(std::string_view service, std::string_view customer, std::string &key)
{
    // Unambiguous because service names contain no '/'.
    key.assign(service).append(1, '/').append(customer);
}

std::string rateKey(std::string_view service, std::string_view customer)
{
    std::string key;
    key.reserve(service.size() + 1 + customer.size());
    rateKey(service, customer, key);
    return key;
}

std::string rendezvousNode(std::string_view key, const std::vector<std::string> &nodes)
{
    // Same as rendezvousWeight(key, node), but hashes the key only once.
    const std::uint64_t keyHash = hash64(key);
    const std::string *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const std::string &node : nodes) {
        const std::uint64_t weight = hash64(node, keyHash);
        // Ties are broken by name, so that the result does not depend on the order of the list.
        if (best == nullptr || weight > bestWeight || (weight == bestWeight && node < *best)) {
            best = &node;
            bestWeight = weight;
        }
    }
    return best == nullptr ? std::string() : *best;
}

std::uint32_t concurrencyShare(std::uint32_t concurrency, std::uint32_t ownEndpoints,
                               std::uint32_t declaredEndpoints)
{
    if (concurrency == 0)
        return std::numeric_limits<std::uint32_t>::max();
    const std::uint32_t declared = std::max(declaredEndpoints, ownEndpoints);
    if (declared == 0)
        return 0;
    const std::uint64_t share = std::uint64_t(concurrency) * ownEndpoints / declared;
    return std::max(static_cast<std::uint32_t>(share), ownEndpoints);
}

} // namespace berylspur
