// Membership on the wire: UDP gossip, anti-entropy over peer streams, bootstrap through the
// platform.
#pragma once

#include "berylspur/core/result.h"
#include "berylspur/membership/member_table.h"
#include "berylspur/settings.pb.h"
#include "berylspur/transport/peer_pool.h"
#include "platform/platform_client.h"

#include <event2/event.h>
#include <memory>
#include <sigc++/sigc++.h>

namespace berylspur {

class MembershipTask
{
public:
    MembershipTask(event_base *base, const schema::NodeSettings &settings, Incarnation incarnation,
                   PlatformClient &platform, PeerPool &peers);
    ~MembershipTask();
    MembershipTask(const MembershipTask &) = delete;
    MembershipTask &operator=(const MembershipTask &) = delete;

    /// Binds UDP on addresses.peer and starts probing. Fails with AddressUnusable.
    Result<void> start();

    const MemberTable &table() const;
    /// Endpoints of this node with their state and suspicion; pushed to peers if they differ.
    void setOwnEndpoints(const std::vector<schema::EndpointRecord> &endpoints);
    /// Highest configuration revision in force here; carried in every packet, pushed when it rises.
    void setConfigRevision(std::uint64_t revision);
    /// State as home of idempotency keys; published in the own member record.
    void setKeyQuorum(schema::KeyQuorum quorum);
    /// Announces a planned stop to peers.
    void leave();
    /// Response envelope for a peer's PeerMethod::Sync.
    std::string handleSync(const std::string &envelope);
    /// True if no peer was found at start although the platform answered: the fleet is new.
    bool isFleetNew() const;
    /// True once bootstrap ended (peers joined, or none exist).
    bool isJoined() const;

    /// Counters of the gossip protocol in Prometheus text form.
    std::string metrics() const;

    /// A status, endpoint or suspicion changed.
    sigc::signal<void()> viewChanged;
    /// The peer \a node at \a address has configuration \a revision.
    sigc::signal<void(const std::string &node, const Address &address, std::uint64_t revision)>
            revisionSeen;
    /// Bootstrap ended; emitted once.
    sigc::signal<void()> joined;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace berylspur
