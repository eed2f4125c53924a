// Merge rules and queries of the member table.
#include "berylspur/membership/member_table.h"

#include <algorithm>

namespace berylspur {

namespace {

/// Endpoints of earlier processes that are kept for each node.
constexpr std::size_t MaxEarlierEndpoints = 64;

/// Dead or left.
bool isGone(schema::MemberStatus status)
{
    return status == schema::MEMBER_DEAD || status == schema::MEMBER_LEFT;
}

std::strong_ordering compareVersions(const schema::MemberRecord &a, const schema::MemberRecord &b)
{
    if (const auto order = a.incarnation() <=> b.incarnation(); std::is_neq(order))
        return order;
    return a.sequence() <=> b.sequence();
}

bool sameEndpoints(const schema::MemberRecord &record,
                   const std::vector<schema::EndpointRecord> &endpoints)
{
    return std::equal(record.endpoints().begin(), record.endpoints().end(), endpoints.begin(),
                      endpoints.end(),
                      [](const schema::EndpointRecord &a, const schema::EndpointRecord &b) {
                          return a.SerializeAsString() == b.SerializeAsString();
                      });
}

std::uint32_t rampPercentOf(const schema::Suspicion &suspicion)
{
    constexpr std::uint32_t FullPercent = 100;
    return suspicion.ramp_percent() == 0 ? FullPercent : suspicion.ramp_percent();
}

EndpointReadiness readinessOf(schema::EndpointState state)
{
    switch (state) {
    case schema::ENDPOINT_COLD:
        return EndpointReadiness::Cold;
    case schema::ENDPOINT_DRAINING:
        return EndpointReadiness::Draining;
    default:
        return EndpointReadiness::Ready;
    }
}

} // namespace

MemberTable::MemberTable(schema::MemberRecord self) : m_selfName(self.node())
{
    addToServiceIndex(self);
    m_nodesByHash[nameHash(m_selfName)] = m_selfName;
    m_members[m_selfName].record = std::move(self);
}

std::uint32_t MemberTable::nameHash(std::string_view node)
{
    return static_cast<std::uint32_t>(hash64(node));
}

bool MemberTable::merge(const schema::MemberRecord &record, TimePoint now)
{
    m_now = std::max(m_now, now);
    if (record.node() == m_selfName)
        return mergeOwn(record, now);
    const auto found = m_members.find(record.node());
    if (found != m_members.end()) {
        const bool isStopNew = record.stopping() && learnStop(record.node(), record.incarnation());
        return mergeKnown(found->second, record, now) || isStopNew;
    }
    const bool isExpired =
            isGone(record.status()) && std::chrono::seconds(record.gone_s()) >= GoneMemberRetention;
    if (record.full_bytes() > 0 || record.node().empty() || isExpired)
        return false;
    m_nodesByHash[nameHash(record.node())] = record.node();
    replaceRecord(m_members[record.node()], record, now);
    return true;
}

bool MemberTable::mergeKnown(Member &member, const schema::MemberRecord &record, TimePoint now)
{
    const auto order = compareVersions(record, member.record);
    if (std::is_lt(order))
        return false;
    if (std::is_eq(order))
        return mergeStatus(member, record, now);
    if (record.full_bytes() > 0)
        return mergeWithoutEndpoints(member, record, now);
    replaceRecord(member, record, now);
    return true;
}

void MemberTable::replaceRecord(Member &member, const schema::MemberRecord &record, TimePoint now)
{
    const bool isSameProcess = member.record.incarnation() == record.incarnation();
    const bool isStopping = record.stopping() || (isSameProcess && member.record.stopping());
    removeFromServiceIndex(member.record);
    if (!isSameProcess) {
        member.suspicions.clear();
        keepEarlierEndpoints(member);
    }
    if (!isSameProcess || member.record.endpoints_sequence() != record.endpoints_sequence())
        member.endpointsSince = now;
    member.record = record;
    member.record.set_stopping(isStopping);
    trackSuspicions(member);
    member.record.clear_gone_s();
    const auto goneFor = std::chrono::seconds(record.gone_s());
    member.statusSince = isGone(record.status()) ? now - goneFor : now;
    member.lastContact = isGone(record.status()) ? member.lastContact : now;
    addToServiceIndex(member.record);
    ++m_version;
}

bool MemberTable::mergeWithoutEndpoints(Member &member, const schema::MemberRecord &record,
                                        TimePoint now)
{
    if (record.incarnation() != member.record.incarnation()
        || record.endpoints_sequence() != member.record.endpoints_sequence())
        return false;
    member.record.set_sequence(record.sequence());
    member.record.set_status(record.status());
    member.record.set_key_quorum(record.key_quorum());
    member.statusSince =
            isGone(record.status()) ? now - std::chrono::seconds(record.gone_s()) : now;
    member.lastContact = isGone(record.status()) ? member.lastContact : now;
    ++m_version;
    return true;
}

bool MemberTable::mergeOwn(const schema::MemberRecord &record, TimePoint now)
{
    // A record without an incarnation is a request for this node's record.
    if (record.incarnation() == 0)
        return false;
    schema::MemberRecord &self = m_members[m_selfName].record;
    if (record.incarnation() > self.incarnation()) {
        ++m_nameConflicts;
        return false;
    }
    if (record.incarnation() < self.incarnation()) {
        // Many peers send the old record; raising the sequence once per second is enough to replace
        // it on all of them.
        if (m_lastIncarnationRefutation
            && now - *m_lastIncarnationRefutation < std::chrono::seconds(1))
            return false;
        m_lastIncarnationRefutation = now;
        self.set_sequence(self.sequence() + 1);
        return true;
    }
    const bool isAhead = record.sequence() > self.sequence();
    const bool isWorse = record.sequence() == self.sequence() && record.status() > self.status();
    if (!isAhead && !isWorse)
        return false;
    self.set_sequence(record.sequence() + 1);
    return true;
}

bool MemberTable::mergeStatus(Member &member, const schema::MemberRecord &record, TimePoint now)
{
    const auto goneSince = now - std::chrono::seconds(record.gone_s());
    if (record.status() == member.record.status() && isGone(record.status()))
        member.statusSince = std::min(member.statusSince, goneSince);
    if (record.status() <= member.record.status())
        return false;
    member.record.set_status(record.status());
    member.statusSince = isGone(record.status()) ? goneSince : now;
    ++m_version;
    return true;
}

bool MemberTable::setOwnEndpoints(const std::vector<schema::EndpointRecord> &endpoints)
{
    Member &member = m_members[m_selfName];
    schema::MemberRecord &self = member.record;
    if (sameEndpoints(self, endpoints))
        return false;
    removeFromServiceIndex(self);
    self.mutable_endpoints()->Assign(endpoints.begin(), endpoints.end());
    trackSuspicions(member);
    self.set_sequence(self.sequence() + 1);
    self.set_endpoints_sequence(self.sequence());
    addToServiceIndex(self);
    ++m_version;
    return true;
}

bool MemberTable::setKeyQuorum(schema::KeyQuorum quorum)
{
    schema::MemberRecord &self = m_members[m_selfName].record;
    if (self.key_quorum() == quorum)
        return false;
    self.set_key_quorum(quorum);
    self.set_sequence(self.sequence() + 1);
    ++m_version;
    return true;
}

bool MemberTable::beginStop()
{
    Member &member = m_members[m_selfName];
    if (!markStopping(member))
        return false;
    member.record.set_sequence(member.record.sequence() + 1);
    return true;
}

bool MemberTable::learnStop(const std::string &node, Incarnation incarnation)
{
    const auto found = m_members.find(node);
    if (found == m_members.end() || node == m_selfName
        || found->second.record.incarnation() != incarnation)
        return false;
    return markStopping(found->second);
}

bool MemberTable::markStopping(Member &member)
{
    if (member.record.stopping())
        return false;
    member.record.set_stopping(true);
    ++m_version;
    return true;
}

void MemberTable::setLeft()
{
    schema::MemberRecord &self = m_members[m_selfName].record;
    if (self.status() == schema::MEMBER_LEFT)
        return;
    self.set_status(schema::MEMBER_LEFT);
    self.set_sequence(self.sequence() + 1);
    m_members[m_selfName].statusSince = m_now;
    ++m_version;
}

const schema::MemberRecord &MemberTable::self() const
{
    return m_members.at(m_selfName).record;
}

bool MemberTable::setStatus(const std::string &node, schema::MemberStatus status, TimePoint now)
{
    m_now = std::max(m_now, now);
    const auto found = m_members.find(node);
    if (found == m_members.end() || node == m_selfName || found->second.record.status() >= status)
        return false;
    found->second.record.set_status(status);
    found->second.statusSince = now;
    ++m_version;
    return true;
}

bool MemberTable::suspect(const std::string &node, TimePoint now)
{
    return setStatus(node, schema::MEMBER_SUSPECT, now);
}

bool MemberTable::declareDead(const std::string &node, TimePoint now)
{
    return setStatus(node, schema::MEMBER_DEAD, now);
}

void MemberTable::recordContact(const std::string &node, TimePoint now)
{
    m_now = std::max(m_now, now);
    const auto found = m_members.find(node);
    if (found == m_members.end())
        return;
    found->second.lastContact = std::max(found->second.lastContact, now);
    found->second.lastDirectContact = now;
}

void MemberTable::recordIndirectContact(std::uint32_t nameHash, TimePoint when)
{
    const auto name = m_nodesByHash.find(nameHash);
    if (name == m_nodesByHash.end())
        return;
    Member &member = m_members.at(name->second);
    member.lastContact = std::max(member.lastContact, when);
}

std::vector<std::uint32_t> MemberTable::directContactsSince(TimePoint since,
                                                            std::size_t limit) const
{
    std::vector<std::uint32_t> hashes;
    for (const auto &[hash, name] : m_nodesByHash) {
        if (hashes.size() >= limit)
            break;
        const Member &member = m_members.at(name);
        if (member.lastDirectContact != TimePoint() && member.lastDirectContact >= since)
            hashes.push_back(hash);
    }
    return hashes;
}

const schema::MemberRecord *MemberTable::find(const std::string &node) const
{
    const auto found = m_members.find(node);
    return found == m_members.end() ? nullptr : &found->second.record;
}

std::strong_ordering MemberTable::compareVersion(const schema::MemberRecord &record) const
{
    const auto *stored = find(record.node());
    return stored ? compareVersions(record, *stored) : std::strong_ordering::greater;
}

std::vector<std::string> MemberTable::suspectBefore(TimePoint latest) const
{
    std::vector<std::string> names;
    for (const auto &[name, member] : m_members) {
        if (member.record.status() == schema::MEMBER_SUSPECT && member.statusSince <= latest)
            names.push_back(name);
    }
    return names;
}

void MemberTable::extendSuspicions(Duration pause)
{
    for (auto &[name, member] : m_members) {
        if (member.record.status() == schema::MEMBER_SUSPECT)
            member.statusSince += pause;
    }
}

std::vector<std::string> MemberTable::dead() const
{
    std::vector<std::string> names;
    for (const auto &[name, member] : m_members) {
        if (member.record.status() == schema::MEMBER_DEAD)
            names.push_back(name);
    }
    return names;
}

std::vector<std::string> MemberTable::reachable() const
{
    std::vector<std::string> names;
    for (const auto &[name, member] : m_members) {
        if (!isGone(member.record.status()))
            names.push_back(name);
    }
    return names;
}

std::vector<std::string> MemberTable::known() const
{
    std::vector<std::string> names;
    for (const auto &[name, member] : m_members) {
        if (member.record.status() != schema::MEMBER_LEFT)
            names.push_back(name);
    }
    return names;
}

std::vector<MemberTable::Contact> MemberTable::contacts() const
{
    std::vector<Contact> contacts;
    contacts.reserve(m_members.size());
    for (const auto &[name, member] : m_members) {
        if (member.record.status() != schema::MEMBER_LEFT)
            contacts.push_back({name, member.lastContact, member.record.key_quorum()});
    }
    return contacts;
}

TimePoint MemberTable::lastHeardByPeer() const
{
    return m_members.at(m_selfName).lastContact;
}

std::size_t MemberTable::contactCountSince(TimePoint since) const
{
    return std::count_if(m_members.begin(), m_members.end(), [&](const auto &entry) {
        const Member &member = entry.second;
        return entry.first == m_selfName
               || (member.record.status() != schema::MEMBER_LEFT && member.lastContact >= since);
    });
}

void MemberTable::trackSuspicions(Member &member) const
{
    std::map<std::string, TrackedSuspicion> tracked;
    for (const auto &endpoint : member.record.endpoints()) {
        const auto &suspicion = endpoint.suspicion();
        if (suspicion.trial_in_ms() == 0)
            continue;
        const auto known = member.suspicions.find(endpoint.id());
        const bool isKnown =
                known != member.suspicions.end() && known->second.number == suspicion.number();
        tracked[endpoint.id()] =
                isKnown ? known->second : TrackedSuspicion {suspicion.number(), m_now};
    }
    member.suspicions = std::move(tracked);
}

TimePoint MemberTable::trialStart(const Member &member, const schema::EndpointRecord &endpoint)
{
    const auto tracked = member.suspicions.find(endpoint.id());
    if (tracked == member.suspicions.end())
        return TimePoint::max();
    return tracked->second.since + std::chrono::milliseconds(endpoint.suspicion().trial_in_ms());
}

std::vector<EndpointView> MemberTable::endpoints(const std::string &service) const
{
    std::vector<EndpointView> views;
    const auto nodes = m_nodesByService.find(service);
    if (nodes == m_nodesByService.end())
        return views;
    for (const auto &node : nodes->second) {
        const Member &member = m_members.at(node);
        const auto &record = member.record;
        for (const auto &endpoint : record.endpoints()) {
            if (endpoint.service() != service)
                continue;
            views.push_back({.id = endpoint.id(),
                             .node = node,
                             .failureDomain = record.failure_domain(),
                             .slots = endpoint.slots(),
                             .readiness = record.stopping() ? EndpointReadiness::Draining
                                                            : readinessOf(endpoint.state()),
                             .severity = endpoint.suspicion().severity(),
                             .rule = endpoint.suspicion().rule(),
                             .failsRequests = endpoint.suspicion().fails_requests(),
                             .rampPercent = rampPercentOf(endpoint.suspicion()),
                             .onTrial = endpoint.suspicion().on_trial(),
                             .ownerAlive = !isGone(record.status()),
                             .trialFrom = trialStart(member, endpoint)});
        }
    }
    std::sort(views.begin(), views.end(),
              [](const EndpointView &a, const EndpointView &b) { return a.id < b.id; });
    return views;
}

void MemberTable::keepEarlierEndpoints(Member &member)
{
    for (const auto &endpoint : member.record.endpoints()) {
        auto &earlier = member.earlierEndpoints;
        if (endpoint.started_at_ms() == 0
            || (earlier.size() >= MaxEarlierEndpoints && !earlier.contains(endpoint.id())))
            continue;
        earlier[endpoint.id()] = endpoint;
    }
}

std::vector<schema::EndpointRecord> MemberTable::earlierEndpoints(const std::string &node) const
{
    std::vector<schema::EndpointRecord> endpoints;
    const auto found = m_members.find(node);
    if (found == m_members.end())
        return endpoints;
    const Member &member = found->second;
    for (const auto &[id, endpoint] : member.earlierEndpoints)
        endpoints.push_back(endpoint);
    endpoints.insert(endpoints.end(), member.record.endpoints().begin(),
                     member.record.endpoints().end());
    return endpoints;
}

Duration MemberTable::endpointsAge(const std::string &node, TimePoint now) const
{
    const auto found = m_members.find(node);
    if (found == m_members.end() || found->second.endpointsSince == TimePoint())
        return {};
    return now - found->second.endpointsSince;
}

std::unordered_set<std::string> MemberTable::endpointIds() const
{
    std::unordered_set<std::string> ids;
    for (const auto &[name, member] : m_members) {
        for (const auto &endpoint : member.record.endpoints())
            ids.insert(endpoint.id());
    }
    return ids;
}

std::uint64_t MemberTable::version() const
{
    return m_version;
}

schema::Digest MemberTable::digest() const
{
    schema::Digest digest;
    for (const auto &[name, member] : m_members) {
        auto &entry = *digest.add_entries();
        entry.set_node(name);
        entry.set_incarnation(member.record.incarnation());
        entry.set_sequence(member.record.sequence());
        entry.set_status(member.record.status());
    }
    return digest;
}

schema::SyncReply MemberTable::compare(const schema::Digest &digest) const
{
    schema::SyncReply reply;
    std::size_t bytes = 0;
    const auto addNewer = [&](const std::string &node) {
        if (bytes >= MaxSyncBytes) {
            reply.set_more(true);
            return;
        }
        *reply.add_newer() = *exportRecord(node, true, m_now);
        bytes += reply.newer(reply.newer_size() - 1).ByteSizeLong();
    };
    std::set<std::string_view> listed;
    for (const auto &entry : digest.entries()) {
        listed.insert(entry.node());
        const auto *stored = find(entry.node());
        const auto theirs = std::make_tuple(entry.incarnation(), entry.sequence(), entry.status());
        const auto ours =
                stored ? std::make_tuple(stored->incarnation(), stored->sequence(),
                                         stored->status())
                       : std::make_tuple(std::uint64_t(0), std::uint64_t(0), schema::MEMBER_ALIVE);
        // Records of gone nodes that are not known here are not requested: the peer may be about to
        // expire them.
        if (theirs > ours && (stored || !isGone(entry.status())))
            reply.add_wanted(entry.node());
        else if (theirs < ours)
            addNewer(entry.node());
    }
    if (digest.selected())
        return reply;
    for (const auto &[name, member] : m_members) {
        if (!listed.contains(name))
            addNewer(name);
    }
    return reply;
}

std::optional<schema::MemberRecord>
MemberTable::exportRecord(const std::string &node, bool withEndpoints, TimePoint now) const
{
    const auto found = m_members.find(node);
    if (found == m_members.end())
        return std::nullopt;
    const schema::MemberRecord &stored = found->second.record;
    schema::MemberRecord record;
    if (withEndpoints || stored.endpoints().empty()) {
        record = stored;
    } else {
        record.set_node(stored.node());
        record.set_incarnation(stored.incarnation());
        record.set_sequence(stored.sequence());
        record.set_status(stored.status());
        record.set_endpoints_sequence(stored.endpoints_sequence());
        record.set_key_quorum(stored.key_quorum());
        record.set_stopping(stored.stopping());
        record.set_full_bytes(static_cast<std::uint32_t>(stored.ByteSizeLong()));
    }
    if (isGone(stored.status()))
        record.set_gone_s(goneSeconds(found->second, now));
    return record;
}

std::uint32_t MemberTable::goneSeconds(const Member &member, TimePoint now) const
{
    const auto gone = std::max(Duration::zero(), now - member.statusSince);
    return static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::seconds>(gone).count());
}

void MemberTable::expire(TimePoint now)
{
    m_now = std::max(m_now, now);
    for (auto member = m_members.begin(); member != m_members.end();) {
        const bool isExpired = member->first != m_selfName && isGone(member->second.record.status())
                               && now - member->second.statusSince >= GoneMemberRetention;
        if (!isExpired) {
            ++member;
            continue;
        }
        removeFromServiceIndex(member->second.record);
        m_nodesByHash.erase(nameHash(member->first));
        member = m_members.erase(member);
        ++m_version;
    }
}

std::size_t MemberTable::size() const
{
    return m_members.size();
}

std::uint64_t MemberTable::nameConflicts() const
{
    return m_nameConflicts;
}

void MemberTable::addToServiceIndex(const schema::MemberRecord &record)
{
    for (const auto &endpoint : record.endpoints())
        m_nodesByService[endpoint.service()].insert(record.node());
}

void MemberTable::removeFromServiceIndex(const schema::MemberRecord &record)
{
    for (const auto &endpoint : record.endpoints()) {
        const auto nodes = m_nodesByService.find(endpoint.service());
        if (nodes == m_nodesByService.end())
            continue;
        nodes->second.erase(record.node());
        if (nodes->second.empty())
            m_nodesByService.erase(nodes);
    }
}

} // namespace berylspur
