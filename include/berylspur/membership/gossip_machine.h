// SWIM failure detection and dissemination as a state machine without I/O: it takes packets and the
// time and returns the packets to send.
#pragma once

#include "berylspur/core/clock.h"
#include "berylspur/core/ids.h"
#include "berylspur/membership/member_table.h"
#include "berylspur/peer.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace berylspur {

struct GossipSettings
{
    std::string fleet;
    std::uint32_t schemaVersion = 1;
    Duration probeInterval = std::chrono::milliseconds(500);
    Duration ackTimeout = std::chrono::milliseconds(250);
    std::uint32_t indirectProbes = 3;
    Duration suspicion = std::chrono::seconds(3);
    std::uint32_t fanOut = 4; ///< peers of the own failure domain that receive each push round
    /// One of this many probes goes to another failure domain, the others stay in the own one.
    std::uint32_t probesPerRemoteProbe = 4;
    std::uint32_t rounds = 3; ///< push rounds per update; the first one is sent immediately
    Duration roundInterval = std::chrono::milliseconds(200);
    /// Number of copies of an update that carry the full record, endpoints included. Later copies
    /// omit the endpoints, and a peer that lacks them requests the full record. With fanOut x
    /// rounds or more, every copy is full.
    std::uint32_t fullRecordCopies = 1;
    /// Token bucket for pushed and requested updates: average rate and burst size. When many
    /// endpoints change at once, repeats wait until half of the burst is refilled, updates are
    /// delayed, and only the newest record of each node is sent. 0 disables the limit.
    std::uint32_t pushBytesPerSecond = 5000;
    std::uint32_t pushBurstBytes = 64u << 10;
    /// Includes the sender's recent contacts in each packet, so that a node detects the loss of
    /// the majority sooner.
    bool shareContacts = true;
};

struct OutgoingPacket
{
    std::string address;
    schema::GossipPacket packet;
};

/// Events that the user of GossipMachine has to handle.
struct GossipEvents
{
    bool viewChanged = false;
    /// A peer with a higher configuration revision than this node.
    struct Revision
    {
        std::string node;
        std::string address;
        std::uint64_t revision = 0;
    };
    std::vector<Revision> revisions;
    /// Newer records that do not fit into a packet and are fetched over a peer stream. Maps the
    /// node of the record to the address of the peer that has it.
    std::map<std::string, std::string> recordsToFetch;
};

/// Cumulative counters since the start.
struct GossipCounters
{
    std::uint64_t packets = 0; ///< sent
    std::uint64_t bytes = 0; ///< sent, without UDP and IP headers
    std::uint64_t remoteBytes = 0; ///< those sent to other failure domains
    std::uint64_t probes = 0;
    std::uint64_t indirectProbes = 0;
    std::uint64_t refused = 0; ///< packets dropped because of another fleet or schema version
    std::uint64_t pauses = 0; ///< gaps between ticks above PauseThreshold
};

/// Membership protocol of one node. No sent packet exceeds MaxPacketBytes.
class GossipMachine
{
public:
    static constexpr std::size_t MaxPacketBytes = 1200;
    /// A longer gap between ticks means that this process was paused, so a missing acknowledgement
    /// is no evidence against the peer.
    static constexpr Duration PauseThreshold = std::chrono::seconds(1);
    /// Interval at which tick() must be called.
    static constexpr Duration TickInterval = std::chrono::milliseconds(50);

    GossipMachine(GossipSettings settings, schema::MemberRecord self, Random random);

    /// Runs due probes, push rounds and timeouts, and returns the packets to send.
    std::vector<OutgoingPacket> tick(TimePoint now);
    /// Handles a received packet and returns the replies.
    std::vector<OutgoingPacket> receive(const schema::GossipPacket &packet, TimePoint now);
    /// Creates a ping with this node's record for an address whose node is not known yet.
    OutgoingPacket makeJoinPing(const std::string &address);

    /// Merges records received over a peer stream. If the peer has the same version of a record,
    /// but considers the member dead, the member only becomes suspect here: after a partition the
    /// peer's status may be outdated, and the suspicion timeout gives the member time to refute it.
    /// A newer record is merged with its status. \a push: false for the first exchange of a joining
    /// node, whose peers already know the records.
    void merge(const std::vector<schema::MemberRecord> &records, bool push, TimePoint now);
    bool setOwnEndpoints(const std::vector<schema::EndpointRecord> &endpoints);
    void setConfigRevision(std::uint64_t revision);
    /// Returns true if the state changed.
    bool setKeyQuorum(schema::KeyQuorum quorum);
    /// Announces that this node admits no new requests.
    void beginStop();
    /// Records that \a node stops, as a reply of its process \a incarnation said, and sends it on.
    void learnStop(const std::string &node, Incarnation incarnation);
    void leave();

    const MemberTable &table() const { return m_table; }
    std::uint64_t configRevision() const { return m_configRevision; }
    GossipEvents takeEvents();
    const GossipCounters &counters() const { return m_counters; }
    /// Number of updates with push rounds left.
    std::size_t pendingUpdates() const { return m_updates.size(); }

private:
    /// Leaves space for the other fields of a packet with names and addresses of maximum length.
    static constexpr std::size_t MaxRecordBytes = MaxPacketBytes - 320;

    struct Probe
    {
        std::uint64_t number = 0;
        std::string node;
        TimePoint sent;
        bool indirectSent = false;
    };
    /// A probe sent on behalf of a peer (indirect probe).
    struct RelayedProbe
    {
        std::uint64_t requesterProbe = 0;
        std::string requesterAddress;
        TimePoint sent;
    };
    /// Whether an update was learned from peers or begins at this node.
    enum class UpdateOrigin { Forwarded, Own };
    struct Update
    {
        std::uint32_t roundsLeft = 0;
        std::uint32_t fullCopiesLeft = 0;
        UpdateOrigin origin = UpdateOrigin::Forwarded;
        TimePoint due; ///< time of the next round
    };
    using NodeNames = std::vector<std::string>;
    /// Reachable members except this node, by failure domain.
    struct Peers
    {
        NodeNames all;
        NodeNames local; ///< of the own domain
        NodeNames ownDomain; ///< the same and this node, sorted
        std::vector<NodeNames> remoteDomains;
        NodeNames remote; ///< of the other domains
        std::unordered_set<std::string> localAddresses;
    };

    schema::GossipPacket basePacket(schema::GossipPacket::Kind kind, TimePoint now) const;
    void send(std::vector<OutgoingPacket> &out, const std::string &address,
              schema::GossipPacket packet);
    void scheduleUpdate(const std::string &node, bool withEndpoints, UpdateOrigin origin);
    void onRecordChanged(const schema::MemberRecord &record, bool withEndpoints,
                         UpdateOrigin origin);
    void mergeUpdate(std::vector<OutgoingPacket> &out, const schema::MemberRecord &record,
                     const schema::GossipPacket &packet, TimePoint now);
    void sendRecord(std::vector<OutgoingPacket> &out, const std::string &node, bool withEndpoints,
                    const std::string &address, TimePoint now);
    void requestRecord(std::vector<OutgoingPacket> &out, const schema::MemberRecord &record,
                       const std::string &address, TimePoint now);
    void requestDeferredRecords(std::vector<OutgoingPacket> &out, TimePoint now);
    bool hasPushBudget() const;
    /// True if \a update was pushed before and waits until the push budget is refilled.
    bool isDeferredRepeat(const std::string &node, const Update &update) const;
    /// Adds this node's record of the ping's sender unless it is alive, so that the sender refutes
    /// it, or a request for the sender's record if there is none.
    void addRecordOfPingSender(schema::GossipPacket &reply, const schema::GossipPacket &packet,
                               TimePoint now) const;
    bool addUpdate(schema::GossipPacket &packet, const schema::MemberRecord &record) const;
    void probeNext(std::vector<OutgoingPacket> &out, TimePoint now);
    void probeIndirectly(std::vector<OutgoingPacket> &out, TimePoint now);
    void finishProbe(TimePoint now);
    void probeDeadMember(std::vector<OutgoingPacket> &out, TimePoint now);
    void expireSuspicions(TimePoint now);
    void pushRound(std::vector<OutgoingPacket> &out, TimePoint now);
    void pushToOtherDomains(std::vector<OutgoingPacket> &out, const NodeNames &nodes,
                            bool pushesConfig, TimePoint now);
    void push(std::vector<OutgoingPacket> &out, const std::string &target,
              std::vector<schema::GossipPacket> packets);
    /// True if this node sends the update about \a node to the other failure domain with the
    /// number \a domain in this round.
    bool isSentToRemoteDomain(const std::string &node, std::size_t domain);
    /// True if this node forwards \a update to \a domain on behalf of its own failure domain. Its
    /// nodes agree on one of them as long as they agree on the members.
    bool isForwarder(const std::string &update, std::size_t domain);
    void refillPushBudget(TimePoint now);
    std::vector<std::string> dueUpdates(TimePoint now) const;
    enum class Recipient { OwnDomain, OtherDomain };
    bool hasEndpointsIn(const Update &update, const std::string &node, Recipient recipient) const;
    std::vector<schema::GossipPacket> pushPackets(const NodeNames &nodes, Recipient recipient,
                                                  TimePoint now);
    /// Up to \a count members of \a from, without \a except.
    NodeNames randomPeers(const NodeNames &from, std::size_t count, const std::string &except);
    const Peers &peers();
    std::string nextProbeTarget();
    std::string nextInOrder(NodeNames &order, const NodeNames &all);
    void detectPause(TimePoint now);

    GossipSettings m_settings;
    Random m_random;
    MemberTable m_table;
    GossipEvents m_events;
    GossipCounters m_counters;
    std::uint64_t m_configRevision = 0;
    std::uint32_t m_configRounds = 0; ///< push rounds left for the configuration revision
    TimePoint m_configDue;
    double m_pushBudget = 0; ///< bytes; negative after a push that exceeded it
    TimePoint m_pushRefilled;

    std::optional<Probe> m_probe;
    std::uint64_t m_probeNumber = 0;
    std::map<std::uint64_t, RelayedProbe> m_relayedProbes;
    std::map<std::string, Update> m_updates;
    std::map<std::string, TimePoint> m_requestedAt; ///< last request for a record, by node
    struct DeferredRequest
    {
        schema::MemberRecord record;
        std::string address;
    };
    /// Requests that wait for push budget, by node.
    std::map<std::string, DeferredRequest> m_deferredRequests;

    Peers m_peers;
    std::uint64_t m_peersVersion = 0;
    NodeNames m_localProbeOrder; ///< members not yet probed in this round
    NodeNames m_remoteProbeOrder;
    std::uint64_t m_probeCount = 0;

    std::optional<TimePoint> m_lastTick;
    TimePoint m_nextProbe;
    TimePoint m_nextDeadProbe;
    TimePoint m_nextExpire;
};

} // namespace berylspur
