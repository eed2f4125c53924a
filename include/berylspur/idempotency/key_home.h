// Idempotency keys at their home, the node that rendezvous hashing selects for a key: records the
// first request that claims the key, and grants no claim while the node lacks a quorum or may lack
// records.
#pragma once

#include "berylspur/core/clock.h"
#include "berylspur/core/ids.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace berylspur {

/// A request's claim of a key.
struct KeyClaim
{
    RequestId request;
    std::string owner; ///< node the request was sent to
    Incarnation ownerIncarnation = 0;

    bool operator==(const KeyClaim &) const = default;
};

enum class ClaimVerdict {
    Granted, ///< first use within the retention
    Seen, ///< claimed before; the recorded claim is returned
    Unknown, ///< undecidable here: started too recently, lost the majority, full or not the home
};

struct ClaimResult
{
    ClaimVerdict verdict = ClaimVerdict::Unknown;
    KeyClaim first; ///< the recorded claim, for Seen only
};

/// Quorum state of a node, published in its member record.
enum class KeyQuorum {
    Forming, ///< started recently; the set of voters is not known yet
    Held, ///< in contact with a strict majority of the fleet
    Lost, ///< no contact with a majority
};

/// A known node that has not left, according to this node's membership.
struct KnownNode
{
    std::string_view name;
    TimePoint lastContact {}; ///< last contact, direct or reported by a peer; this node: now
    KeyQuorum quorum = KeyQuorum::Forming; ///< last published by the node
};

/// State of the fleet according to this node's membership.
struct FleetView
{
    std::vector<KnownNode> known; ///< including this node
    /// Last time a peer reported that it had received a packet from this node. A node that receives
    /// packets but whose own packets are lost holds no majority, because the others may have
    /// expired it.
    TimePoint lastHeardByPeer {};
    /// True if the members that are alive or suspect own more than half of the endpoints declared
    /// in the manifest.
    bool reachesMostEndpoints = false;
};

/// A record handed over to the key's next home at a planned stop.
struct KeyHandoverRecord
{
    std::string key;
    KeyClaim claim;
    Duration age {};
};

/// Invariant: a key is granted at most once within the retention, unless a release or a replacement
/// proves that the earlier request was not run.
class KeyHome
{
public:
    struct Limits
    {
        Duration retention = std::chrono::seconds(300);
        std::size_t maxRecords = 100000; ///< at the limit, new keys are Unknown
        /// Time after the last contact with a majority for which the home still grants keys.
        /// majorityLease + retention (420 s) must be shorter than MemberTable::GoneMemberRetention
        /// (450 s), after which other nodes forget this one. The difference of 30 s covers contacts
        /// reported by peers, which may be 15 s old, and failure detection.
        Duration majorityLease = std::chrono::seconds(120);
        /// Time within which a membership change reaches all nodes in contact with a majority.
        /// Longer than majorityLease, so that no change takes effect in a part of the fleet that is
        /// cut off.
        Duration convergenceTime = std::chrono::seconds(150);
    };

    /// \a isFleetNew: no node has ever served requests, so no key was used before now.
    /// \a node: name of this node; if empty, claim() does not check that this node is the key's
    /// home.
    KeyHome(Limits limits, TimePoint now, bool isFleetNew, std::string node = {});

    /// Claims \a key. \a replaces: a claim whose request was not run, as its owner confirmed. It is
    /// replaced only if it is still the recorded one, because the same request may have been sent
    /// to another owner in the meantime.
    ClaimResult claim(const std::string &key, const KeyClaim &claim,
                      const std::optional<KeyClaim> &replaces, TimePoint now);
    /// Releases the claim of \a request, which was not run.
    void release(const std::string &key, const RequestId &request);

    /// Updates the quorum state from the current membership; called each second.
    void updateView(const FleetView &view, TimePoint now);
    /// Quorum state to publish in the member record.
    KeyQuorum quorum(TimePoint now) const;

    /// False while there may be live keys without a record here, because this home started or
    /// regained its majority too recently. A node that stops in this state, or whose handover was
    /// incomplete, must not be published as left: it then stays known, and its keys are not granted
    /// elsewhere.
    bool hasAllRecords(TimePoint now) const;
    /// Returns all live records at a planned stop. Afterwards the home grants nothing.
    std::vector<KeyHandoverRecord> handOver(TimePoint now);
    /// Accepts the records of a node at its planned stop.
    void acceptHandover(const std::vector<KeyHandoverRecord> &records, TimePoint now);

    /// Removes the records whose retention has ended.
    void expire(TimePoint now);
    std::size_t size() const;
    /// True while claims of new keys are granted.
    bool grants(TimePoint now) const;

private:
    struct Record
    {
        KeyClaim claim;
        TimePoint grantedAt {};
        std::int64_t expirySecond = 0; ///< key of its latest entry in m_expirations
        bool released = false; ///< its request was not run; the record is kept until it expires
    };
    using Records = std::unordered_map<std::string, Record>;

    /// A node that counts towards the majority. After it joins or disappears it is not stable until
    /// a majority was in contact convergenceTime later. A quorum requires a majority of all voters
    /// and also a majority of the stable voters. Nodes apply a membership change at different
    /// times; with both conditions, the majority of a node that has applied it overlaps with the
    /// majority of one that has not.
    struct Voter
    {
        TimePoint changedAt {};
        /// Among the known nodes. A voter still absent after convergenceTime is removed.
        bool isPresent = true;
        bool isStable = false;
    };

    bool isLive(const Record &record, TimePoint now) const;
    bool isHome(const std::string &key) const;
    bool hasMajority(TimePoint now) const
    {
        return now - m_lastMajorityContact < m_limits.majorityLease;
    }
    TimePoint lastMajorityContact(const std::vector<KnownNode> &known) const;
    void updateVoters(const std::vector<KnownNode> &known, bool hasQuorum, TimePoint now);
    bool canFormQuorum(const FleetView &view, TimePoint now) const;
    /// True if the voters without a contact within majorityLease are too few for a quorum of their
    /// own. They may have removed other voters in the meantime, but the voter set can't have become
    /// smaller than a majority of m_voters, so they need at least a majority of that majority.
    bool hasContactToMostVoters(const std::vector<KnownNode> &known, TimePoint now) const;
    void formQuorum(const std::vector<KnownNode> &known, TimePoint now);
    void grant(Records::iterator record, const KeyClaim &claim, TimePoint at);

    Limits m_limits;
    Records m_records;
    /// Keys by the second in which their record may expire. Points to keys of m_records; a record
    /// stays in that map until its entry here is processed.
    std::map<std::int64_t, std::vector<const std::string *>> m_expirations;
    std::string m_node;
    /// Known nodes at the last updateView(); empty if m_node is empty.
    std::vector<std::string> m_known;
    /// Changes only while a majority is held, so that a part of the fleet that expires the other
    /// nodes does not become a majority of itself.
    std::map<std::string, Voter, std::less<>> m_voters;
    std::optional<TimePoint> m_formingSince;
    bool m_isFormed; ///< m_voters represents the whole fleet, so a majority of it counts
    /// Without a majority for so long that the others may have continued with a different voter
    /// set.
    bool m_isOutdated = false;
    TimePoint m_grantsFrom;
    TimePoint m_lastMajorityContact; ///< a majority of the voters was in contact at or after this
    TimePoint m_quorumLastHeld;
    TimePoint m_lastUpdate;
    bool m_handedOver = false;
};

/// Home of \a key among \a knownNodes, whether or not they are alive.
std::string keyHomeOf(std::string_view key, const std::vector<std::string> &knownNodes);

} // namespace berylspur
