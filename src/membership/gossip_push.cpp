// Push rounds of GossipMachine: which updates are sent to which peers, within the byte budget.
#include "berylspur/membership/gossip_machine.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace berylspur {

namespace {

/// Limit per peer and round; the rest of a large burst is sent in later rounds.
constexpr std::size_t MaxPacketsPerRound = 4;
/// Updates are pushed again only while more than this share of the push burst is left. Otherwise
/// the repeats of earlier updates would delay the first round of later ones, and views become old.
constexpr double RepeatBudgetShare = 0.5;
/// A record up to this size is forwarded to other failure domains with its endpoints. A request for
/// omitted endpoints and its reply would cross the domains as well.
constexpr std::size_t SmallRecordBytes = 256;

} // namespace

void GossipMachine::scheduleUpdate(const std::string &node, bool withEndpoints, UpdateOrigin origin)
{
    Update &update = m_updates[node];
    // An update that still waits for its first round keeps its position.
    if (update.roundsLeft < m_settings.rounds)
        update.due = m_lastTick.value_or(TimePoint());
    update.roundsLeft = m_settings.rounds;
    update.origin = origin;
    // A status-only change needs no endpoints.
    update.fullCopiesLeft = withEndpoints ? m_settings.fullRecordCopies : update.fullCopiesLeft;
}

bool GossipMachine::hasPushBudget() const
{
    return m_settings.pushBytesPerSecond == 0 || m_pushBudget > 0;
}

bool GossipMachine::isDeferredRepeat(const std::string &node, const Update &update) const
{
    // No newer record follows that of a node that died or left, so its repeats are not deferred.
    const auto *record = m_table.find(node);
    const bool isPresent = record && record->status() == schema::MEMBER_ALIVE;
    const bool isRepeat = update.roundsLeft < m_settings.rounds;
    return isRepeat && isPresent && m_settings.pushBytesPerSecond != 0
           && m_pushBudget <= RepeatBudgetShare * m_settings.pushBurstBytes;
}

void GossipMachine::pushRound(std::vector<OutgoingPacket> &out, TimePoint now)
{
    const auto nodes = dueUpdates(now);
    const bool pushConfig = m_configRounds > 0 && m_configDue <= now;
    if ((nodes.empty() && !pushConfig) || peers().all.empty())
        return;
    // Each call of pushPackets() uses up full copies, so the first targets receive them.
    for (const auto &target : randomPeers(peers().local, m_settings.fanOut, {}))
        push(out, target, pushPackets(nodes, Recipient::OwnDomain, now));
    pushToOtherDomains(out, nodes, pushConfig, now);
    for (const auto &node : nodes) {
        Update &update = m_updates.at(node);
        update.due = now + m_settings.roundInterval;
        if (--update.roundsLeft == 0)
            m_updates.erase(node);
    }
    // Every push carries the configuration revision.
    if (m_configRounds > 0) {
        --m_configRounds;
        m_configDue = now + m_settings.roundInterval;
    }
}

/// A failure domain needs only few copies of an update, because its nodes push it to each other. It
/// gets one from each other domain, and one a round from the node where the update begins.
void GossipMachine::pushToOtherDomains(std::vector<OutgoingPacket> &out, const NodeNames &nodes,
                                       bool pushesConfig, TimePoint now)
{
    const bool isFirstConfigRound = pushesConfig && m_configRounds == m_settings.rounds;
    const auto configUpdate = "revision " + std::to_string(m_configRevision);
    const auto &domains = peers().remoteDomains;
    for (std::size_t i = 0; i < domains.size(); ++i) {
        NodeNames chosen;
        std::copy_if(nodes.begin(), nodes.end(), std::back_inserter(chosen),
                     [&](const auto &node) { return isSentToRemoteDomain(node, i); });
        if (chosen.empty() && !(isFirstConfigRound && isForwarder(configUpdate, i)))
            continue;
        push(out, domains[i][m_random() % domains[i].size()],
             pushPackets(chosen, Recipient::OtherDomain, now));
    }
}

void GossipMachine::push(std::vector<OutgoingPacket> &out, const std::string &target,
                         std::vector<schema::GossipPacket> packets)
{
    for (auto &packet : packets) {
        m_pushBudget -= static_cast<double>(packet.ByteSizeLong());
        send(out, m_table.find(target)->peer_address(), std::move(packet));
    }
}

bool GossipMachine::isSentToRemoteDomain(const std::string &node, std::size_t domain)
{
    const Update &update = m_updates.at(node);
    if (update.origin == UpdateOrigin::Own)
        return true;
    const auto *record = m_table.find(node);
    // The forwarder changes with each update, so that a node that failed loses only a few.
    return update.roundsLeft == m_settings.rounds
           && isForwarder(node + " " + std::to_string(record->incarnation()) + " "
                                  + std::to_string(record->sequence()),
                          domain);
}

bool GossipMachine::isForwarder(const std::string &update, std::size_t domain)
{
    const auto &nodes = peers().ownDomain;
    const auto chosen = hash64(update + " " + std::to_string(domain)) % nodes.size();
    return nodes[chosen] == m_table.self().node();
}

void GossipMachine::refillPushBudget(TimePoint now)
{
    const std::chrono::duration<double> passed = now - m_pushRefilled;
    m_pushRefilled = now;
    m_pushBudget = std::min<double>(m_settings.pushBurstBytes,
                                    m_pushBudget + passed.count() * m_settings.pushBytesPerSecond);
}

std::vector<std::string> GossipMachine::dueUpdates(TimePoint now) const
{
    std::vector<std::string> nodes;
    if (!hasPushBudget())
        return nodes;
    // Oldest first, so that a node that changes continuously does not delay the others.
    std::vector<std::pair<TimePoint, std::string>> due;
    for (const auto &[node, update] : m_updates) {
        if (update.due <= now && !isDeferredRepeat(node, update) && m_table.find(node))
            due.emplace_back(update.due, node);
    }
    std::sort(due.begin(), due.end());
    std::size_t bytes = 0;
    for (auto &[time, node] : due) {
        bytes += m_updates.at(node).fullCopiesLeft > 0 ? m_table.find(node)->ByteSizeLong() : 64;
        if (!nodes.empty() && bytes > MaxPacketsPerRound * MaxRecordBytes)
            break;
        nodes.push_back(std::move(node));
    }
    return nodes;
}

bool GossipMachine::hasEndpointsIn(const Update &update, const std::string &node,
                                   Recipient recipient) const
{
    if (recipient == Recipient::OwnDomain)
        return update.fullCopiesLeft > 0;
    const bool isFirstRound = update.roundsLeft == m_settings.rounds;
    return (update.origin == UpdateOrigin::Own && isFirstRound)
           || m_table.find(node)->ByteSizeLong() <= SmallRecordBytes;
}

std::vector<schema::GossipPacket> GossipMachine::pushPackets(const NodeNames &nodes,
                                                             Recipient recipient, TimePoint now)
{
    std::vector<schema::GossipPacket> packets;
    packets.push_back(basePacket(schema::GossipPacket::UPDATE, now));
    for (const auto &node : nodes) {
        Update &update = m_updates.at(node);
        auto record = m_table.exportRecord(node, hasEndpointsIn(update, node, recipient), now);
        if (recipient == Recipient::OwnDomain && update.fullCopiesLeft > 0)
            --update.fullCopiesLeft;
        if (record->ByteSizeLong() > MaxRecordBytes)
            record = m_table.exportRecord(node, false, now);
        if (addUpdate(packets.back(), *record))
            continue;
        packets.push_back(basePacket(schema::GossipPacket::UPDATE, now));
        addUpdate(packets.back(), *record);
    }
    return packets;
}

} // namespace berylspur
