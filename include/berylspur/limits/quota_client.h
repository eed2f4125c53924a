// Gate side of customer quotas: gives votes to homes and spends the tokens that they grant.
#pragma once

#include "berylspur/core/ids.h"
#include "berylspur/limits/quota.h"
#include "berylspur/limits/rate_limiter.h"
#include "berylspur/peer.pb.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace berylspur {

/// Decides on the requests of limited customers at one gate. Invariant: the vote of a shard is with
/// at most one home at a time; from the composition of a request that carries it, for
/// QuotaVoteTerm, unless the home confirms earlier that it has dropped the vote.
class QuotaClient
{
public:
    enum class Verdict {
        Admit,
        Wait, ///< call recheck() after takeWoken() names the customer, or leave()
        Refuse
    };
    struct Decision
    {
        Verdict verdict = Verdict::Admit;
        Duration retryAfter {}; ///< with Refuse
    };

    /// An earlier process of this gate may have given its votes just before \a startedAt, so this
    /// one votes from \a startedAt + QuotaVoteTerm on. Tokens may be asked for at once.
    explicit QuotaClient(TimePoint startedAt);

    /// Sets the nodes that may be homes, and the number of nodes that this node knows.
    void setNodes(const std::vector<std::string> &reachable, std::uint32_t fleetSize);

    /// Decides on a new request of \a customer.
    Decision request(const std::string &customer, const RateLimit &limit, TimePoint now);
    /// Decides again on a request that waits.
    Decision recheck(const std::string &customer, TimePoint now);
    /// A request that waits was given up.
    void leave(const std::string &customer);

    /// A request to send.
    struct Outgoing
    {
        std::string home;
        schema::CustomerQuotaRequest request;
    };
    /// True if a customer lacks tokens, so that poll() should be called without delay.
    bool isDue() const;
    /// Returns the requests that are due, at most one at a time per home, and ends those without a
    /// reply. Each must be followed by onReply() or onFailed(), or ends by itself after
    /// ReplyTimeout.
    std::vector<Outgoing> poll(TimePoint now);
    void onReply(const std::string &home, std::uint64_t sequence,
                 const schema::CustomerQuotaReply &reply, TimePoint now);
    /// The home cannot be reached.
    void onFailed(const std::string &home, std::uint64_t sequence, TimePoint now);
    /// Customers whose waiting requests are to be rechecked.
    std::vector<std::string> takeWoken() { return std::exchange(m_woken, {}); }
    /// Forgets customers without recent requests.
    void expire(TimePoint now);

    /// Age of the oldest vote; zero if each shard has one, QuotaVoteTerm or more if one has none.
    Duration oldestVote(TimePoint now) const;
    std::size_t size() const { return m_accounts.size(); }

private:
    /// Below LivenessTimeout, so that a renewal needs no PING before it.
    static constexpr Duration RenewInterval = std::chrono::milliseconds(900);
    static constexpr Duration ReplyTimeout = QuotaVoteTerm / 2; ///< homes drop older requests
    static constexpr Duration ProbeInterval = std::chrono::seconds(1);
    /// Pause after a request that the home dropped as late.
    static constexpr Duration DroppedDelay = std::chrono::milliseconds(50);
    static constexpr Duration UnreachableRetry = std::chrono::milliseconds(500);
    static constexpr Duration DemandPeriod = std::chrono::seconds(1);
    /// Tokens are leased ahead for the demand of this time. At less than one token nothing is
    /// leased ahead; at one or more, a token almost surely finds a request within the lease.
    static constexpr Duration AheadTime = std::chrono::milliseconds(100);
    static constexpr std::uint32_t MaxAhead = 64;
    static constexpr std::size_t Candidates = 4; ///< homes per shard that are tried in turn
    static constexpr Duration IdleRetention = std::chrono::seconds(10);

    struct Tokens
    {
        std::uint32_t count = 0;
        TimePoint expiresAt;
    };
    struct Account
    {
        RateLimit limit;
        std::deque<Tokens> tokens; ///< without empty ones
        std::uint32_t waiting = 0;
        TimePoint refuseUntil; ///< the home reported the bucket as empty until then
        TimePoint aheadFrom; ///< earliest request for tokens ahead alone
        TimePoint lastRequest;
        double demand = 0; ///< requests, decayed over DemandPeriod
    };
    struct Shard
    {
        std::vector<std::string> candidates; ///< by falling rendezvous weight
        std::string holder; ///< home that has the vote
        TimePoint votedAt; ///< the vote is with the holder until votedAt + QuotaVoteTerm
        std::set<std::string> asking; ///< customers with an entry in the next request
        bool isDue = false; ///< a customer in asking lacks tokens
    };
    struct InFlight
    {
        std::uint64_t sequence = 0;
        TimePoint sentAt;
        std::vector<std::string> customers;
        std::uint32_t withdrawn = 0;
    };
    struct Home
    {
        std::optional<InFlight> inFlight;
        TimePoint notBefore; ///< of the next request
        bool isAvoided = false; ///< unreachable or stopping, until it replies to a probe
    };
    using Request = schema::CustomerQuotaRequest;

    static void dropExpired(Account &account, TimePoint now);
    static bool spend(Account &account, TimePoint now);
    static std::uint32_t tokensOf(const Account &account);
    static std::uint32_t aheadOf(const Account &account);
    static void countArrival(Account &account, TimePoint now);
    void ask(const std::string &customer, bool isDue);
    Decision decide(const std::string &customer, Account &account, TimePoint now);

    bool isUsable(const std::string &home) const;
    /// First usable candidate of \a shard; empty if there is none.
    const std::string &target(const Shard &shard) const;
    bool isHeld(const Shard &shard, TimePoint now) const;
    /// Home that gets the shard's demand: the holder of the vote while it is usable.
    const std::string &askedHome(const Shard &shard, TimePoint now) const;
    /// True if the vote is to move away from a usable holder.
    bool isWithdrawn(const Shard &shard, TimePoint now) const;
    /// Home that may get the vote now; empty if there is none.
    const std::string &votedHome(const Shard &shard, TimePoint now) const;
    std::set<std::string> dueHomes(TimePoint now) const;
    Outgoing compose(const std::string &home, TimePoint now);
    void addEntries(Shard &shard, Request &request, InFlight &inFlight, TimePoint now);
    static void returnTokens(Account &account, std::uint32_t surplus, Request::Entry &entry,
                             TimePoint now);
    void applyGrant(const std::string &customer, const schema::CustomerQuotaReply::Entry &granted,
                    TimePoint sentAt, TimePoint now);
    void avoid(Home &home, TimePoint now);
    void endInFlight(Home &home);
    void endWithdrawn(const std::string &home, std::uint32_t shards);

    TimePoint m_votesFrom;
    std::uint32_t m_fleetSize = 1;
    std::uint64_t m_sequence = 0;
    std::array<Shard, QuotaShards> m_shards;
    std::map<std::string, Home> m_homes;
    std::set<std::string> m_reachable;
    std::unordered_map<std::string, Account> m_accounts;
    std::vector<std::string> m_woken;
};

} // namespace berylspur
