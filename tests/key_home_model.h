// Simulated fleet for key homes: nodes with separate membership views, claims, owners and faults,
// all drawn from a seed. Counts requests that ran twice.
#pragma once

#include "berylspur/idempotency/key_home.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace berylspur::test {

/// Fault types that a schedule includes.
struct KeyFaults
{
    bool partitions = false; ///< messages lost in both directions between two random groups
    bool oneWay = false; ///< messages of one node lost in one direction
    bool pauses = false; ///< up to 600 s
    bool restarts = false; ///< down up to 600 s, records lost
    bool joins = false; ///< nodes with new names
    bool stops = false; ///< planned stops with handover
};

struct KeyModelResult
{
    std::uint64_t runs = 0;
    std::uint64_t duplicateRuns = 0; ///< a second run of a key within the retention of the first
    std::uint64_t seen = 0;
    std::uint64_t unknown = 0;
};

/// Simulates one fleet under one schedule. Time advances in steps of 1 s.
class KeyModel
{
public:
    KeyModel(std::uint64_t seed, const KeyFaults &faults, std::size_t nodes)
        : m_random(seed), m_faults(faults), m_declared(nodes)
    {
        for (std::size_t i = 0; i < nodes; ++i)
            add(true);
        for (Node &node : m_nodes) {
            for (const Node &other : m_nodes)
                node.view[other.name] = {m_now, 1, false, KeyQuorum::Held};
        }
    }

    KeyModelResult run(std::chrono::seconds duration)
    {
        const TimePoint end = m_now + duration;
        while (m_now < end) {
            m_now += std::chrono::seconds(1);
            drawFaults();
            exchangeViews();
            deliver();
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                if (isRunning(i))
                    tick(m_nodes[i]);
            }
            for (int i = 0; i < 2; ++i)
                newRequest();
        }
        return m_result;
    }

private:
    static constexpr Duration KeyRetention = std::chrono::seconds(300);
    static constexpr Duration GoneMemberRetention = std::chrono::seconds(450);
    /// Time until a node that stops sending is declared dead.
    static constexpr Duration DetectionTime = std::chrono::seconds(4);
    /// A node reports its direct contacts of this period to its peers.
    static constexpr Duration RelayWindow = std::chrono::seconds(15);
    static constexpr Duration ClaimTimeout = std::chrono::seconds(5);
    static constexpr std::size_t MaxNodes = 16;
    static constexpr std::size_t Keys = 6;

    struct ViewEntry
    {
        TimePoint lastContact {};
        Incarnation incarnation = 0;
        bool left = false;
        KeyQuorum quorum = KeyQuorum::Forming;
        TimePoint directlyAt {};
    };
    struct Node
    {
        std::string name;
        Incarnation incarnation = 1;
        KeyHome home;
        std::map<std::string, ViewEntry> view;
        TimePoint lastHeardByPeer {};
        TimePoint pausedUntil {};
        std::optional<TimePoint> startsAt; ///< set while the node is down
        bool left = false;
    };
    enum class RequestState { Open, Revoked, Ran };
    struct OwnedRequest
    {
        std::size_t owner = 0;
        Incarnation incarnation = 0;
        RequestState state = RequestState::Open;
    };
    struct Message
    {
        TimePoint at;
        std::size_t to = 0;
        std::function<void()> action;
    };

    bool chance(double probability)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
    }
    std::size_t draw(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
    }
    Duration drawSeconds(std::size_t bound) { return std::chrono::seconds(1 + draw(bound)); }

    bool isUp(std::size_t node) const { return !m_nodes[node].startsAt; }
    bool isRunning(std::size_t node) const
    {
        return isUp(node) && m_nodes[node].pausedUntil <= m_now;
    }
    /// True if a message from \a from reaches \a to now.
    bool reaches(std::size_t from, std::size_t to) const
    {
        if (from == to)
            return true;
        const auto found = m_dropsUntil.find({from, to});
        return found == m_dropsUntil.end() || found->second <= m_now;
    }
    std::optional<std::size_t> indexOf(const std::string &name) const
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_nodes[i].name == name)
                return i;
        }
        return std::nullopt;
    }

    void add(bool isFleetNew)
    {
        const std::string name = "node-" + std::to_string(m_nodes.size());
        m_nodes.push_back(
                {name, 1, KeyHome({}, m_now, isFleetNew, name), {}, m_now, {}, {}, false});
        m_nodes.back().view[name] = {m_now, 1, false, KeyQuorum::Forming, m_now};
    }

    // Faults.

    void dropMessages(std::size_t from, std::size_t to, TimePoint until)
    {
        TimePoint &end = m_dropsUntil[{from, to}];
        end = std::max(end, until);
    }

    void drawFaults()
    {
        const std::size_t node = draw(m_nodes.size());
        if (m_faults.partitions && chance(1.0 / 500)) {
            const TimePoint until = m_now + drawSeconds(chance(0.5) ? 1200 : 200);
            std::vector<bool> side(m_nodes.size());
            for (std::size_t i = 0; i < side.size(); ++i)
                side[i] = chance(0.5);
            for (std::size_t i = 0; i < side.size(); ++i) {
                for (std::size_t j = 0; j < side.size(); ++j) {
                    if (side[i] != side[j])
                        dropMessages(i, j, until);
                }
            }
        }
        if (m_faults.oneWay && chance(1.0 / 500)) {
            const TimePoint until = m_now + drawSeconds(800);
            const bool dropsOutgoing = chance(0.5); // otherwise the incoming messages
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                if (i != node && chance(0.9))
                    dropsOutgoing ? dropMessages(node, i, until) : dropMessages(i, node, until);
            }
        }
        if (m_faults.pauses && chance(1.0 / 200))
            m_nodes[node].pausedUntil = m_now + drawSeconds(chance(0.5) ? 600 : 160);
        if (m_faults.restarts && chance(1.0 / 300) && isUp(node))
            m_nodes[node].startsAt = m_now + drawSeconds(chance(0.5) ? 600 : 5);
        if (m_faults.joins && chance(1.0 / 300) && m_nodes.size() < MaxNodes) {
            add(false);
            join(m_nodes.size() - 1);
        }
        if (m_faults.stops && chance(1.0 / 300) && isRunning(node))
            stop(node);
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_nodes[i].startsAt && *m_nodes[i].startsAt <= m_now)
                restart(i);
        }
    }

    void restart(std::size_t index)
    {
        Node &node = m_nodes[index];
        node.startsAt.reset();
        node.pausedUntil = {};
        node.left = false;
        ++node.incarnation;
        node.home = KeyHome({}, m_now, false, node.name);
        node.lastHeardByPeer = m_now;
        node.view.clear();
        node.view[node.name] = {m_now, node.incarnation, false, KeyQuorum::Forming, m_now};
        join(index);
    }

    /// All reachable nodes send their view to node \a index.
    void join(std::size_t index)
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (i != index && isRunning(i) && reaches(i, index) && reaches(index, i))
                receive(index, i);
        }
    }

    void stop(std::size_t index)
    {
        Node &node = m_nodes[index];
        std::vector<std::string> others = known(node);
        std::erase(others, node.name);
        bool allAccepted = node.home.hasAllRecords(m_now);
        std::map<std::string, std::vector<KeyHandoverRecord>> byHome;
        for (const auto &record : node.home.handOver(m_now))
            byHome[keyHomeOf(record.key, others)].push_back(record);
        for (const auto &[name, records] : byHome) {
            const auto next = indexOf(name);
            const bool accepted = next && isRunning(*next) && reaches(index, *next);
            if (accepted) {
                m_nodes[*next].home.acceptHandover(records, m_now);
                // After a lost response the node sends the records again.
                if (chance(0.3))
                    m_messages.push_back(
                            {m_now + drawSeconds(60), *next, [this, n = *next, records] {
                                 m_nodes[n].home.acceptHandover(records, m_now);
                             }});
            }
            allAccepted = allAccepted && accepted && reaches(*next, index);
        }
        node.left = allAccepted;
        if (allAccepted) {
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                if (i != index && isRunning(i) && reaches(index, i))
                    m_nodes[i].view[node.name].left = true;
            }
        }
        node.startsAt = m_now + drawSeconds(chance(0.5) ? 10 : 900);
    }

    // Membership.

    std::vector<std::string> known(const Node &node) const
    {
        std::vector<std::string> names;
        for (const auto &[name, entry] : node.view) {
            if (!entry.left)
                names.push_back(name);
        }
        return names;
    }

    void exchangeViews()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (!isRunning(i))
                continue;
            for (int k = 0; k < 2; ++k) {
                const std::size_t j = draw(m_nodes.size());
                if (j == i || !isRunning(j))
                    continue;
                if (reaches(i, j))
                    receive(j, i);
                if (reaches(i, j) && reaches(j, i))
                    receive(i, j);
            }
        }
    }

    /// \a to receives the view of \a from.
    void receive(std::size_t to, std::size_t from)
    {
        Node &node = m_nodes[to];
        Node &sender = m_nodes[from];
        sender.view[sender.name] = {m_now, sender.incarnation, sender.left,
                                    sender.home.quorum(m_now), m_now};
        for (const auto &[name, theirs] : sender.view) {
            const bool isFresh = name == sender.name || m_now - theirs.directlyAt < RelayWindow;
            if (name == node.name) {
                if (isFresh && theirs.incarnation == node.incarnation)
                    node.lastHeardByPeer = m_now;
                continue;
            }
            if (!node.view.count(name) && m_now - theirs.lastContact >= GoneMemberRetention)
                continue;
            ViewEntry &own = node.view[name];
            if (theirs.incarnation > own.incarnation) {
                own.left = theirs.left;
                own.quorum = theirs.quorum;
                own.incarnation = theirs.incarnation;
            } else if (theirs.incarnation == own.incarnation) {
                own.left = own.left || theirs.left;
                if (theirs.lastContact > own.lastContact)
                    own.quorum = theirs.quorum;
            }
            own.lastContact = std::max(own.lastContact, isFresh ? m_now : theirs.lastContact);
        }
        node.view[sender.name].directlyAt = m_now;
    }

    void tick(Node &node)
    {
        node.view[node.name].lastContact = m_now;
        node.view[node.name].directlyAt = m_now;
        std::erase_if(node.view, [this](const auto &entry) {
            return m_now - entry.second.lastContact >= DetectionTime + GoneMemberRetention;
        });
        contact(node);
        node.home.expire(m_now);
    }

    /// Updates the key home of \a node. Each of the initial nodes owns one declared endpoint.
    void contact(Node &node)
    {
        FleetView view;
        std::size_t endpoints = 0;
        for (const auto &[name, entry] : node.view) {
            if (entry.left)
                continue;
            view.known.push_back({name, entry.lastContact, entry.quorum});
            const bool hasRecentContact = m_now - entry.lastContact < DetectionTime;
            endpoints += hasRecentContact && *indexOf(name) < m_declared ? 1 : 0;
        }
        view.lastHeardByPeer = node.lastHeardByPeer;
        view.reachesMostEndpoints = 2 * endpoints > m_declared;
        node.home.updateView(view, m_now);
    }

    // Requests.

    void newRequest()
    {
        const std::size_t gate = draw(m_nodes.size());
        if (!isRunning(gate) || m_nodes[gate].left)
            return;
        claim(gate, "key-" + std::to_string(draw(Keys)), std::nullopt, 0);
    }

    /// Sends a claim from \a gate. A request whose claim is granted is then sent to its owner.
    void claim(std::size_t gate, const std::string &key, const std::optional<KeyClaim> &replaces,
               int depth)
    {
        const auto home = indexOf(keyHomeOf(key, known(m_nodes[gate])));
        const std::size_t owner = draw(m_nodes.size());
        const KeyClaim wanted {RequestId::generate(m_random), m_nodes[owner].name,
                               m_nodes[owner].incarnation};
        m_ownedRequests[wanted.request] = {owner, wanted.ownerIncarnation, RequestState::Open};
        if (!home || !reaches(gate, *home))
            return;
        // Some claims arrive long after the gate's timeout.
        const Duration delay = chance(0.05) ? drawSeconds(200) : Duration(0);
        const TimePoint sent = m_now;
        m_messages.push_back({m_now + delay, *home, [=, this] {
                                  const ClaimResult result =
                                          m_nodes[*home].home.claim(key, wanted, replaces, m_now);
                                  const bool inTime = m_now - sent <= ClaimTimeout;
                                  if (inTime && reaches(*home, gate) && isRunning(gate))
                                      handleResult(gate, *home, key, wanted, result, depth);
                              }});
    }

    void handleResult(std::size_t gate, std::size_t home, const std::string &key,
                      const KeyClaim &wanted, const ClaimResult &result, int depth)
    {
        if (result.verdict == ClaimVerdict::Unknown) {
            ++m_result.unknown;
        } else if (result.verdict == ClaimVerdict::Granted) {
            dispatch(gate, home, key, wanted);
        } else {
            ++m_result.seen;
            // Only the same incarnation of the owner can prove that the request was not run; it
            // revokes the request.
            const auto owned = m_ownedRequests.find(result.first.request);
            if (owned == m_ownedRequests.end() || depth >= 2)
                return;
            OwnedRequest &first = owned->second;
            const bool isOwnerReachable = isRunning(first.owner) && reaches(gate, first.owner)
                                          && reaches(first.owner, gate)
                                          && m_nodes[first.owner].incarnation == first.incarnation;
            if (!isOwnerReachable || first.state == RequestState::Ran)
                return;
            first.state = RequestState::Revoked;
            claim(gate, key, result.first, depth + 1);
        }
    }

    void dispatch(std::size_t gate, std::size_t home, const std::string &key,
                  const KeyClaim &claimed)
    {
        OwnedRequest &owned = m_ownedRequests[claimed.request];
        const bool arrives = isRunning(owned.owner) && reaches(gate, owned.owner)
                             && m_nodes[owned.owner].incarnation == owned.incarnation;
        if (!arrives || owned.state != RequestState::Open)
            return;
        if (chance(0.2)) {
            // The owner refuses the request, so it is not run and the gate releases the key.
            owned.state = RequestState::Revoked;
            m_messages.push_back({m_now + drawSeconds(10), home,
                                  [=, this] { m_nodes[home].home.release(key, claimed.request); }});
            return;
        }
        owned.state = RequestState::Ran;
        ++m_result.runs;
        const auto last = m_lastRun.find(key);
        if (last != m_lastRun.end() && m_now - last->second < KeyRetention)
            ++m_result.duplicateRuns;
        m_lastRun[key] = m_now;
    }

    /// Delivers due messages. They wait while the receiver is paused and are lost if it is down.
    void deliver()
    {
        for (std::size_t i = 0; i < m_messages.size();) {
            const std::size_t to = m_messages[i].to;
            if (m_messages[i].at > m_now || (isUp(to) && !isRunning(to))) {
                ++i;
                continue;
            }
            const Message message = m_messages[i];
            m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(i));
            if (isUp(to))
                message.action();
        }
    }

    Random m_random;
    KeyFaults m_faults;
    std::size_t m_declared;
    TimePoint m_now {std::chrono::seconds(100000)};
    std::vector<Node> m_nodes;
    std::map<std::pair<std::size_t, std::size_t>, TimePoint> m_dropsUntil;
    std::vector<Message> m_messages;
    std::map<RequestId, OwnedRequest> m_ownedRequests;
    std::map<std::string, TimePoint> m_lastRun;
    KeyModelResult m_result;
};

} // namespace berylspur::test
