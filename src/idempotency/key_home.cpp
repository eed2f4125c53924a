// Claims of Idempotency-Keys at their home node, and the quorum they depend on.
#include "berylspur/idempotency/key_home.h"

#include "berylspur/limits/rate_limiter.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

namespace berylspur {

namespace {

std::int64_t toSeconds(TimePoint at)
{
    return std::chrono::floor<std::chrono::seconds>(at.time_since_epoch()).count();
}

/// Latest time at or after which more than half of \a all nodes were in contact. \a contacts holds
/// the times of those that were in contact at all.
TimePoint medianTime(std::vector<TimePoint> &contacts, std::size_t all)
{
    const std::size_t rank = all / 2;
    if (rank >= contacts.size())
        return {};
    std::nth_element(contacts.begin(), contacts.begin() + static_cast<std::ptrdiff_t>(rank),
                     contacts.end(), std::greater<>());
    return contacts[rank];
}

} // namespace

KeyHome::KeyHome(Limits limits, TimePoint now, bool isFleetNew, std::string node)
    : m_limits(limits), m_node(std::move(node)), m_isFormed(isFleetNew),
      m_grantsFrom(isFleetNew ? now : now + limits.retention + limits.convergenceTime),
      m_lastMajorityContact(now), m_quorumLastHeld(now), m_lastUpdate(now)
{
}

bool KeyHome::grants(TimePoint now) const
{
    return !m_handedOver && m_isFormed && now >= m_grantsFrom && hasMajority(now);
}

bool KeyHome::isHome(const std::string &key) const
{
    return m_known.empty() || keyHomeOf(key, m_known) == m_node;
}

bool KeyHome::isLive(const Record &record, TimePoint now) const
{
    return !record.released && now - record.grantedAt < m_limits.retention;
}

void KeyHome::grant(Records::iterator record, const KeyClaim &claim, TimePoint at)
{
    const std::int64_t expirySecond = toSeconds(at + m_limits.retention) + 1;
    if (record->second.expirySecond != expirySecond)
        m_expirations[expirySecond].push_back(&record->first);
    record->second = {claim, at, expirySecond, false};
}

ClaimResult KeyHome::claim(const std::string &key, const KeyClaim &claim,
                           const std::optional<KeyClaim> &replaces, TimePoint now)
{
    const auto found = m_records.find(key);
    const bool isClaimed = found != m_records.end() && isLive(found->second, now);
    if (isClaimed) {
        const KeyClaim &first = found->second.claim;
        const bool isSame = first == claim;
        const bool isReplaced = replaces == first;
        if (!isSame && !isReplaced)
            return {ClaimVerdict::Seen, first};
        if (!grants(now) || !isHome(key))
            return {ClaimVerdict::Unknown, {}};
        if (isReplaced)
            grant(found, claim, now);
        return {ClaimVerdict::Granted, {}};
    }
    if (!grants(now) || !isHome(key))
        return {ClaimVerdict::Unknown, {}};
    if (found != m_records.end()) {
        grant(found, claim, now);
        return {ClaimVerdict::Granted, {}};
    }
    if (m_records.size() >= m_limits.maxRecords)
        return {ClaimVerdict::Unknown, {}};
    grant(m_records.try_emplace(key).first, claim, now);
    return {ClaimVerdict::Granted, {}};
}

void KeyHome::release(const std::string &key, const RequestId &request)
{
    const auto found = m_records.find(key);
    if (found != m_records.end() && found->second.claim.request == request)
        found->second.released = true;
}

TimePoint KeyHome::lastMajorityContact(const std::vector<KnownNode> &known) const
{
    std::vector<TimePoint> contacts;
    std::vector<TimePoint> stableContacts;
    for (const KnownNode &node : known) {
        const auto voter = m_voters.find(node.name);
        if (voter == m_voters.end())
            continue;
        contacts.push_back(node.lastContact);
        if (voter->second.isStable)
            stableContacts.push_back(node.lastContact);
    }
    const auto stable = static_cast<std::size_t>(std::count_if(
            m_voters.begin(), m_voters.end(), [](const auto &v) { return v.second.isStable; }));
    const TimePoint time = medianTime(contacts, m_voters.size());
    return stable == 0 ? time : std::min(time, medianTime(stableContacts, stable));
}

void KeyHome::updateVoters(const std::vector<KnownNode> &known, bool hasQuorum, TimePoint now)
{
    if (!hasQuorum) {
        for (auto &[name, voter] : m_voters)
            voter.changedAt = now;
        return;
    }
    std::set<std::string_view> present;
    for (const KnownNode &node : known) {
        present.insert(node.name);
        if (!m_voters.contains(node.name))
            m_voters.emplace(node.name, Voter {now, true, false});
    }
    for (auto entry = m_voters.begin(); entry != m_voters.end();) {
        Voter &voter = entry->second;
        if (const bool isPresent = present.contains(entry->first); isPresent != voter.isPresent)
            voter = {now, isPresent, false};
        const bool hasConverged =
                m_lastMajorityContact - voter.changedAt >= m_limits.convergenceTime;
        voter.isStable = voter.isStable || (hasConverged && voter.isPresent);
        entry = hasConverged && !voter.isPresent ? m_voters.erase(entry) : std::next(entry);
    }
}

bool KeyHome::canFormQuorum(const FleetView &view, TimePoint now) const
{
    std::size_t recentContacts = 0;
    bool hasContactToQuorumHolder = false;
    bool allOthersForming = true;
    for (const KnownNode &node : view.known) {
        const bool hasRecentContact = now - node.lastContact < m_limits.majorityLease;
        recentContacts += hasRecentContact ? 1 : 0;
        if (node.name == m_node)
            continue;
        hasContactToQuorumHolder =
                hasContactToQuorumHolder || (hasRecentContact && node.quorum == KeyQuorum::Held);
        allOthersForming =
                allOthersForming && hasRecentContact && node.quorum == KeyQuorum::Forming;
    }
    if (hasContactToQuorumHolder)
        return 2 * recentContacts > view.known.size();
    // After a power failure of the whole fleet no node holds the majority. The other side of a
    // partition cannot also own most of the declared endpoints.
    return allOthersForming && view.reachesMostEndpoints && !m_isOutdated;
}

bool KeyHome::hasContactToMostVoters(const std::vector<KnownNode> &known, TimePoint now) const
{
    const auto count = static_cast<std::size_t>(
            std::count_if(known.begin(), known.end(), [&](const KnownNode &node) {
                return m_voters.contains(node.name)
                       && now - node.lastContact < m_limits.majorityLease;
            }));
    const std::size_t smallestSet = m_voters.size() / 2 + 1;
    const std::size_t smallestMajority = smallestSet / 2 + 1;
    return count + smallestMajority > m_voters.size();
}

void KeyHome::formQuorum(const std::vector<KnownNode> &known, TimePoint now)
{
    if (!m_formingSince)
        m_formingSince = now;
    if (now - *m_formingSince < m_limits.convergenceTime)
        return;
    m_grantsFrom = *m_formingSince + m_limits.convergenceTime + m_limits.retention;
    m_isFormed = true;
    m_isOutdated = false;
    m_formingSince.reset();
    m_lastMajorityContact = now;
    m_quorumLastHeld = now;
    m_voters.clear();
    updateVoters(known, true, now);
}

void KeyHome::updateView(const FleetView &view, TimePoint now)
{
    const std::vector<KnownNode> &known = view.known;
    if (!m_node.empty()) {
        m_known.clear();
        for (const KnownNode &node : known)
            m_known.emplace_back(node.name);
    }
    const bool isAlone = known.size() <= 1;
    const bool isHeardByPeers = isAlone || now - view.lastHeardByPeer < m_limits.majorityLease;
    if (m_isFormed && now - m_quorumLastHeld >= m_limits.convergenceTime + m_limits.retention) {
        m_isFormed = false;
        m_isOutdated = true;
    }
    if (m_isOutdated && isHeardByPeers && hasContactToMostVoters(known, now)) {
        m_isFormed = true;
        m_isOutdated = false;
        m_formingSince.reset();
    }
    // The other nodes may have expired this one while it was paused.
    if (now - std::exchange(m_lastUpdate, now) >= m_limits.majorityLease)
        m_formingSince.reset();
    if (!m_isFormed) {
        if (isHeardByPeers && canFormQuorum(view, now))
            formQuorum(known, now);
        else
            m_formingSince.reset();
        return;
    }
    const bool hadQuorum = hasMajority(now);
    if (m_voters.empty())
        updateVoters(known, true, now);
    m_lastMajorityContact = lastMajorityContact(known);
    if (!isAlone)
        m_lastMajorityContact = std::min(m_lastMajorityContact, view.lastHeardByPeer);
    const bool hasQuorum = hasMajority(now);
    // The others may have expired this node and granted its keys. They learn of its return within
    // the convergence time, and what they granted until then expires after the retention.
    if (hasQuorum && !hadQuorum)
        m_grantsFrom = std::max(m_grantsFrom, now + m_limits.convergenceTime + m_limits.retention);
    if (hasQuorum)
        m_quorumLastHeld = now;
    updateVoters(known, hasQuorum, now);
}

KeyQuorum KeyHome::quorum(TimePoint now) const
{
    if (!m_isFormed && !m_isOutdated)
        return KeyQuorum::Forming;
    return m_isFormed && hasMajority(now) ? KeyQuorum::Held : KeyQuorum::Lost;
}

bool KeyHome::hasAllRecords(TimePoint now) const
{
    return m_isFormed && now >= m_grantsFrom;
}

std::vector<KeyHandoverRecord> KeyHome::handOver(TimePoint now)
{
    m_handedOver = true;
    std::vector<KeyHandoverRecord> records;
    for (const auto &[key, record] : m_records) {
        if (isLive(record, now))
            records.push_back({key, record.claim, now - record.grantedAt});
    }
    return records;
}

void KeyHome::acceptHandover(const std::vector<KeyHandoverRecord> &records, TimePoint now)
{
    for (const KeyHandoverRecord &received : records) {
        if (received.age >= m_limits.retention)
            continue;
        const auto [found, isNew] = m_records.try_emplace(received.key);
        // An existing live record is kept: if the handover is sent twice, the claim may have been
        // replaced in between because its request was not run.
        if (isNew || !isLive(found->second, now))
            grant(found, received.claim, now - received.age);
    }
}

void KeyHome::expire(TimePoint now)
{
    while (!m_expirations.empty() && m_expirations.begin()->first <= toSeconds(now)) {
        for (const std::string *key : m_expirations.begin()->second) {
            const auto found = m_records.find(*key);
            // A record that was granted again has a later expiry and an entry there.
            if (found != m_records.end()
                && found->second.expirySecond == m_expirations.begin()->first)
                m_records.erase(found);
        }
        m_expirations.erase(m_expirations.begin());
    }
}

std::size_t KeyHome::size() const
{
    return m_records.size();
}

std::string keyHomeOf(std::string_view key, const std::vector<std::string> &knownNodes)
{
    return rendezvousNode(key, knownNodes);
}

} // namespace berylspur
