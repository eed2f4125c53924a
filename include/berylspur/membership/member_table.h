// The node's view of the fleet: member records merged by incarnation and sequence.
#pragma once

#include "berylspur/core/clock.h"
#include "berylspur/core/ids.h"
#include "berylspur/peer.pb.h"
#include "berylspur/routing/rotation.h"

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace berylspur {

/// All known members, including this node. The record with the higher (incarnation, sequence) wins;
/// if they are equal, the worse status wins. A stop is final for an incarnation, so it is learned
/// from any of its records, however old. Dead members stay known for GoneMemberRetention, so that
/// their keys are not claimed at another home.
class MemberTable
{
public:
    /// Time for which gone members (dead or left) are kept.
    static constexpr Duration GoneMemberRetention = std::chrono::seconds(450);
    /// Size limit of one reply of compare(); the requester repeats the exchange for the rest.
    static constexpr std::size_t MaxSyncBytes = 256u << 10;

    explicit MemberTable(schema::MemberRecord self);

    /// Merges \a record. Returns true if a record changed and should be sent on. A record of this
    /// node is refuted by raising this node's sequence if it is ahead of the own record, equal with
    /// a worse status, or of an older incarnation (at most once per second). A newer incarnation
    /// counts as a name conflict.
    bool merge(const schema::MemberRecord &record, TimePoint now);

    /// Replaces this node's endpoints. If they differ, raises its sequence and returns true.
    bool setOwnEndpoints(const std::vector<schema::EndpointRecord> &endpoints);
    /// Publishes this node's state as home of idempotency keys. Returns true if it changed.
    bool setKeyQuorum(schema::KeyQuorum quorum);
    /// Marks this node as stopping: its endpoints admit no new requests. Returns true if it
    /// changed.
    bool beginStop();
    /// Marks \a node as stopping if \a incarnation is its known one. Returns true if it changed.
    bool learnStop(const std::string &node, Incarnation incarnation);
    /// Marks this node as having left (planned stop).
    void setLeft();
    const schema::MemberRecord &self() const;

    /// Marks \a node as suspect. Returns true if its status changed.
    bool suspect(const std::string &node, TimePoint now);
    /// Marks \a node as dead after the suspicion timeout. Returns true if its status changed.
    bool declareDead(const std::string &node, TimePoint now);
    /// Records a packet received directly from \a node.
    void recordContact(const std::string &node, TimePoint now);
    /// Records that a peer received a packet from the node with \a nameHash at \a when or later.
    void recordIndirectContact(std::uint32_t nameHash, TimePoint when);
    /// Hash of a node name as sent in packets.
    static std::uint32_t nameHash(std::string_view node);
    /// Name hashes of at most \a limit nodes that sent a packet to this node since \a since.
    std::vector<std::uint32_t> directContactsSince(TimePoint since, std::size_t limit) const;

    const schema::MemberRecord *find(const std::string &node) const;
    /// Compares \a record with the stored one by (incarnation, sequence); greater if the node is
    /// not known.
    std::strong_ordering compareVersion(const schema::MemberRecord &record) const;
    /// Nodes that became suspect at \a latest or earlier.
    std::vector<std::string> suspectBefore(TimePoint latest) const;
    /// Extends all suspicions by \a pause, during which this node could not receive refutations.
    void extendSuspicions(Duration pause);
    /// Dead nodes that have not expired, sorted.
    std::vector<std::string> dead() const;
    /// Nodes that are alive or suspect, including this node, sorted.
    std::vector<std::string> reachable() const;
    /// All nodes that have neither left nor expired, including this node, sorted.
    std::vector<std::string> known() const;
    /// Contact evidence for one of the known() nodes.
    struct Contact
    {
        std::string_view node;
        TimePoint lastContact; ///< direct, from a newer record or reported by a peer
        schema::KeyQuorum keyQuorum;
    };
    /// Contacts of all known() nodes; the names stay valid until the table changes.
    std::vector<Contact> contacts() const;
    /// Last time a peer reported that it had received a packet from this node.
    TimePoint lastHeardByPeer() const;
    /// Number of nodes with a contact since \a since, including this node.
    std::size_t contactCountSince(TimePoint since) const;

    /// Endpoints of \a service on all members of the table, sorted by id. Those of dead and left
    /// members have ownerAlive unset, those of stopping members are draining.
    std::vector<EndpointView> endpoints(const std::string &service) const;
    /// Endpoints that \a node publishes, and those that its earlier processes published.
    std::vector<schema::EndpointRecord> earlierEndpoints(const std::string &node) const;
    /// Time since the record in which \a node last published its endpoints arrived here; zero if
    /// the node is not known.
    Duration endpointsAge(const std::string &node, TimePoint now) const;
    /// Ids of the endpoints of all members of the table.
    std::unordered_set<std::string> endpointIds() const;
    /// Changes whenever an endpoint or a status changes. Gates use it to invalidate their caches.
    std::uint64_t version() const;

    schema::Digest digest() const;
    /// Returns the records that are newer here than in \a digest, and the names of those that are
    /// newer in \a digest.
    schema::SyncReply compare(const schema::Digest &digest) const;
    /// Record of \a node for a message, without its endpoints unless \a withEndpoints is set.
    /// Returns std::nullopt if the node is not known.
    std::optional<schema::MemberRecord> exportRecord(const std::string &node, bool withEndpoints,
                                                     TimePoint now) const;

    /// Removes dead and left members after GoneMemberRetention.
    void expire(TimePoint now);
    std::size_t size() const;
    /// Number of received records with this node's name and a newer incarnation: another node uses
    /// the name, or the wall clock was set back before this start.
    std::uint64_t nameConflicts() const;

private:
    struct TrackedSuspicion
    {
        std::uint32_t number = 0;
        TimePoint since; ///< its first record arrived
    };
    struct Member
    {
        schema::MemberRecord record;
        TimePoint lastContact; ///< direct, from a newer record or reported by a peer
        TimePoint lastDirectContact;
        TimePoint statusSince;
        TimePoint endpointsSince; ///< arrival of the record with the present endpoints
        /// By endpoint: those whose trial begins without another update.
        std::map<std::string, TrackedSuspicion> suspicions;
        /// Endpoints with a start time that earlier incarnations of the node published, by id.
        std::map<std::string, schema::EndpointRecord> earlierEndpoints;
    };

    bool mergeOwn(const schema::MemberRecord &record, TimePoint now);
    /// Merges a record that is not older than that of \a member. Returns true if it changed.
    bool mergeKnown(Member &member, const schema::MemberRecord &record, TimePoint now);
    /// Replaces the record of \a member, with its endpoints.
    void replaceRecord(Member &member, const schema::MemberRecord &record, TimePoint now);
    bool markStopping(Member &member);
    bool mergeWithoutEndpoints(Member &member, const schema::MemberRecord &record, TimePoint now);
    bool mergeStatus(Member &member, const schema::MemberRecord &record, TimePoint now);
    bool setStatus(const std::string &node, schema::MemberStatus status, TimePoint now);
    void trackSuspicions(Member &member) const;
    static void keepEarlierEndpoints(Member &member);
    /// Time at which the trial of \a endpoint begins without another update, or TimePoint::max().
    static TimePoint trialStart(const Member &member, const schema::EndpointRecord &endpoint);
    void addToServiceIndex(const schema::MemberRecord &record);
    void removeFromServiceIndex(const schema::MemberRecord &record);
    std::uint32_t goneSeconds(const Member &member, TimePoint now) const;

    std::string m_selfName;
    std::map<std::string, Member> m_members;
    /// Invariant: contains exactly the members whose record has an endpoint of the service.
    std::unordered_map<std::string, std::set<std::string>> m_nodesByService;
    std::unordered_map<std::uint32_t, std::string> m_nodesByHash;
    std::uint64_t m_version = 1;
    std::uint64_t m_nameConflicts = 0;
    TimePoint m_now; ///< latest time passed in; used for the age of gone members in replies
    std::optional<TimePoint> m_lastIncarnationRefutation;
};

} // namespace berylspur
