// Votes, leases and the demand of a gate.
#include "berylspur/limits/quota_client.h"

#include <algorithm>
#include <cmath>

namespace berylspur {

namespace {

const std::string NoHome;

} // namespace

QuotaClient::QuotaClient(TimePoint startedAt) : m_votesFrom(startedAt + QuotaVoteTerm) { }

void QuotaClient::setNodes(const std::vector<std::string> &reachable, std::uint32_t fleetSize)
{
    m_fleetSize = fleetSize;
    m_reachable = {reachable.begin(), reachable.end()};
    for (std::uint32_t number = 0; number < QuotaShards; ++number) {
        const auto key = "customer-quota/" + std::to_string(number);
        std::vector<std::pair<std::uint64_t, std::string>> weights;
        weights.reserve(reachable.size());
        for (const auto &node : reachable)
            weights.emplace_back(rendezvousWeight(key, node), node);
        const auto count = std::min(weights.size(), Candidates);
        std::partial_sort(weights.begin(), weights.begin() + static_cast<std::ptrdiff_t>(count),
                          weights.end(), std::greater<>());
        auto &candidates = m_shards[number].candidates;
        candidates.clear();
        for (std::size_t i = 0; i < count; ++i)
            candidates.push_back(std::move(weights[i].second));
    }
    std::erase_if(m_homes, [this](const auto &entry) {
        return !entry.second.inFlight && !m_reachable.contains(entry.first);
    });
}

std::uint32_t QuotaClient::tokensOf(const Account &account)
{
    std::uint32_t tokens = 0;
    for (const auto &lease : account.tokens)
        tokens += lease.count;
    return tokens;
}

void QuotaClient::dropExpired(Account &account, TimePoint now)
{
    std::erase_if(account.tokens, [now](const Tokens &lease) { return now >= lease.expiresAt; });
}

bool QuotaClient::spend(Account &account, TimePoint now)
{
    dropExpired(account, now);
    if (account.tokens.empty())
        return false;
    if (--account.tokens.front().count == 0)
        account.tokens.pop_front();
    return true;
}

std::uint32_t QuotaClient::aheadOf(const Account &account)
{
    constexpr double Periods = std::chrono::duration<double>(AheadTime) / DemandPeriod;
    return std::min(static_cast<std::uint32_t>(account.demand * Periods), MaxAhead);
}

void QuotaClient::countArrival(Account &account, TimePoint now)
{
    const std::chrono::duration<double> gap = now - account.lastRequest;
    account.demand = 1 + account.demand * std::exp(-gap / DemandPeriod);
    account.lastRequest = now;
}

void QuotaClient::ask(const std::string &customer, bool isDue)
{
    auto &shard = m_shards[quotaShard(customer)];
    shard.asking.insert(customer);
    shard.isDue = shard.isDue || isDue;
}

QuotaClient::Decision QuotaClient::decide(const std::string &customer, Account &account,
                                          TimePoint now)
{
    if (spend(account, now)) {
        if (now >= account.aheadFrom && 2 * tokensOf(account) < aheadOf(account))
            ask(customer, true);
        return {};
    }
    if (now < account.refuseUntil)
        return {Verdict::Refuse, account.refuseUntil - now};
    if (askedHome(m_shards[quotaShard(customer)], now).empty())
        return {Verdict::Refuse, UnreachableRetry};
    ask(customer, true);
    return {Verdict::Wait, {}};
}

QuotaClient::Decision QuotaClient::request(const std::string &customer, const RateLimit &limit,
                                           TimePoint now)
{
    if (limit.rate == 0)
        return {};
    auto &account = m_accounts[customer];
    account.limit = limit;
    countArrival(account, now);
    const auto decision = decide(customer, account, now);
    if (decision.verdict == Verdict::Wait)
        ++account.waiting;
    return decision;
}

QuotaClient::Decision QuotaClient::recheck(const std::string &customer, TimePoint now)
{
    auto &account = m_accounts[customer];
    const auto decision = decide(customer, account, now);
    if (decision.verdict != Verdict::Wait && account.waiting > 0)
        --account.waiting;
    return decision;
}

void QuotaClient::leave(const std::string &customer)
{
    auto &account = m_accounts[customer];
    if (account.waiting > 0)
        --account.waiting;
    ask(customer, false); // its token is returned with the next request
}

bool QuotaClient::isUsable(const std::string &home) const
{
    const auto found = m_homes.find(home);
    return m_reachable.contains(home) && (found == m_homes.end() || !found->second.isAvoided);
}

const std::string &QuotaClient::target(const Shard &shard) const
{
    const auto found = std::find_if(shard.candidates.begin(), shard.candidates.end(),
                                    [this](const auto &home) { return isUsable(home); });
    return found == shard.candidates.end() ? NoHome : *found;
}

bool QuotaClient::isHeld(const Shard &shard, TimePoint now) const
{
    return !shard.holder.empty() && now < shard.votedAt + QuotaVoteTerm;
}

const std::string &QuotaClient::askedHome(const Shard &shard, TimePoint now) const
{
    return isHeld(shard, now) && isUsable(shard.holder) ? shard.holder : target(shard);
}

bool QuotaClient::isWithdrawn(const Shard &shard, TimePoint now) const
{
    if (!isHeld(shard, now) || !isUsable(shard.holder))
        return false;
    const auto &next = target(shard);
    return !next.empty() && next != shard.holder;
}

const std::string &QuotaClient::votedHome(const Shard &shard, TimePoint now) const
{
    if (now < m_votesFrom || isWithdrawn(shard, now))
        return NoHome;
    if (!isHeld(shard, now))
        return target(shard);
    return isUsable(shard.holder) ? shard.holder : NoHome;
}

bool QuotaClient::isDue() const
{
    return std::any_of(m_shards.begin(), m_shards.end(),
                       [](const Shard &shard) { return shard.isDue; });
}

std::set<std::string> QuotaClient::dueHomes(TimePoint now) const
{
    std::set<std::string> due;
    for (const auto &shard : m_shards) {
        if (isWithdrawn(shard, now))
            due.insert(shard.holder);
        if (!isHeld(shard, now) || now - shard.votedAt >= RenewInterval)
            due.insert(votedHome(shard, now));
        if (shard.isDue)
            due.insert(askedHome(shard, now));
    }
    for (const auto &[name, home] : m_homes) {
        if (home.isAvoided && m_reachable.contains(name))
            due.insert(name);
    }
    due.erase(NoHome);
    return due;
}

std::vector<QuotaClient::Outgoing> QuotaClient::poll(TimePoint now)
{
    for (auto &[name, home] : m_homes) {
        if (home.inFlight && now - home.inFlight->sentAt >= ReplyTimeout) {
            avoid(home, now);
            endInFlight(home);
        }
    }
    std::vector<Outgoing> requests;
    for (const auto &name : dueHomes(now)) {
        const auto &home = m_homes[name];
        if (!home.inFlight && now >= home.notBefore)
            requests.push_back(compose(name, now));
    }
    return requests;
}

QuotaClient::Outgoing QuotaClient::compose(const std::string &home, TimePoint now)
{
    Outgoing outgoing {home, {}};
    auto &request = outgoing.request;
    request.set_sequence(++m_sequence);
    request.set_fleet_size(m_fleetSize);
    InFlight inFlight {m_sequence, now, {}, 0};
    std::uint32_t votes = 0;
    for (std::uint32_t number = 0; number < QuotaShards; ++number) {
        auto &shard = m_shards[number];
        const auto bit = 1U << number;
        if (isWithdrawn(shard, now) && shard.holder == home)
            inFlight.withdrawn |= bit;
        if (askedHome(shard, now) == home)
            addEntries(shard, request, inFlight, now);
        if (votedHome(shard, now) != home)
            continue;
        votes |= bit;
        shard.holder = home;
        shard.votedAt = now;
    }
    request.set_votes(votes);
    request.set_withdrawn(inFlight.withdrawn);
    m_homes[home].inFlight = std::move(inFlight);
    return outgoing;
}

void QuotaClient::addEntries(Shard &shard, Request &request, InFlight &inFlight, TimePoint now)
{
    for (const auto &customer : shard.asking) {
        const auto found = m_accounts.find(customer);
        if (found == m_accounts.end())
            continue;
        auto &account = found->second;
        dropExpired(account, now);
        const auto held = tokensOf(account);
        const auto ahead = aheadOf(account);
        Request::Entry entry;
        entry.set_wanted(account.waiting);
        entry.set_ahead(ahead - std::min(held, ahead));
        if (held > account.waiting + ahead)
            returnTokens(account, held - account.waiting - ahead, entry, now);
        if (entry.wanted() + entry.ahead() + entry.returned() == 0)
            continue;
        entry.set_customer(customer);
        entry.set_rate(account.limit.rate);
        entry.set_burst(account.limit.burst);
        *request.add_entries() = std::move(entry);
        inFlight.customers.push_back(customer);
    }
    shard.asking.clear();
    shard.isDue = false;
}

/// Returns tokens of the last lease, which usually expires last.
void QuotaClient::returnTokens(Account &account, std::uint32_t surplus, Request::Entry &entry,
                               TimePoint now)
{
    auto &last = account.tokens.back();
    const auto returned = std::min(surplus, last.count);
    entry.set_returned(returned);
    entry.set_returned_term_ms(static_cast<std::uint32_t>(toMs(last.expiresAt - now)));
    last.count -= returned;
    if (last.count == 0)
        account.tokens.pop_back();
}

void QuotaClient::avoid(Home &home, TimePoint now)
{
    home.isAvoided = true;
    home.notBefore = now + ProbeInterval;
}

void QuotaClient::endInFlight(Home &home)
{
    const auto ended = std::exchange(home.inFlight, std::nullopt);
    m_woken.insert(m_woken.end(), ended->customers.begin(), ended->customers.end());
}

void QuotaClient::endWithdrawn(const std::string &home, std::uint32_t shards)
{
    for (std::uint32_t number = 0; number < QuotaShards; ++number) {
        auto &shard = m_shards[number];
        if ((shards >> number & 1U) != 0 && shard.holder == home)
            shard.holder.clear();
    }
}

void QuotaClient::applyGrant(const std::string &customer,
                             const schema::CustomerQuotaReply::Entry &granted, TimePoint sentAt,
                             TimePoint now)
{
    const auto found = m_accounts.find(customer);
    if (found == m_accounts.end())
        return;
    auto &account = found->second;
    const auto expiresAt = sentAt + std::chrono::milliseconds(granted.term_ms());
    if (granted.granted() > 0 && now < expiresAt)
        account.tokens.push_back({granted.granted(), expiresAt});
    account.refuseUntil = now + std::chrono::milliseconds(granted.retry_after_ms());
    account.aheadFrom = std::max(account.refuseUntil, now + AheadTime / 2);
    if (tokensOf(account) > account.waiting + aheadOf(account))
        ask(customer, false);
}

void QuotaClient::onReply(const std::string &home, std::uint64_t sequence,
                          const schema::CustomerQuotaReply &reply, TimePoint now)
{
    const auto found = m_homes.find(home);
    if (found == m_homes.end() || !found->second.inFlight
        || found->second.inFlight->sequence != sequence)
        return;
    auto &state = found->second;
    state.isAvoided = false;
    state.notBefore = reply.dropped() ? now + DroppedDelay : now;
    const auto &inFlight = *state.inFlight;
    const auto entries =
            std::min(static_cast<std::size_t>(reply.entries_size()), inFlight.customers.size());
    for (std::size_t i = 0; i < entries; ++i)
        applyGrant(inFlight.customers[i], reply.entries(static_cast<int>(i)), inFlight.sentAt, now);
    if (reply.closed()) {
        avoid(state, now);
        endWithdrawn(home, ~0U);
    } else if (!reply.dropped()) {
        endWithdrawn(home, inFlight.withdrawn);
    }
    endInFlight(state);
}

void QuotaClient::onFailed(const std::string &home, std::uint64_t sequence, TimePoint now)
{
    const auto found = m_homes.find(home);
    if (found == m_homes.end() || !found->second.inFlight
        || found->second.inFlight->sequence != sequence)
        return;
    avoid(found->second, now);
    endInFlight(found->second);
}

void QuotaClient::expire(TimePoint now)
{
    std::erase_if(m_accounts, [now](const auto &entry) {
        const auto &account = entry.second;
        return account.waiting == 0 && now - account.lastRequest >= IdleRetention
               && now >= account.refuseUntil;
    });
}

Duration QuotaClient::oldestVote(TimePoint now) const
{
    Duration oldest {};
    for (const auto &shard : m_shards)
        oldest = std::max(oldest, shard.holder.empty() ? QuotaVoteTerm : now - shard.votedAt);
    return oldest;
}

} // namespace berylspur
