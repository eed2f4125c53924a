// Network side of the membership: UDP gossip, anti-entropy over peer streams, and bootstrap through
// the platform.
#pragma once

#include "berylspur/core/result.h"
#include "berylspur/membership/member_table.h"
#include "berylspur/settings.pb.h"
#include "berylspur/transport/peer_pool.h"
#include "platform/platform_client.h"

#include <event2/event.h>
#include <functional>
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
    /// Sets the endpoints of this node with their state and suspicion. Changes are pushed to peers.
    void setOwnEndpoints(const std::vector<schema::EndpointRecord> &endpoints);
    /// Calls \a done once the departures among the endpoints of setOwnEndpoints() will outlast this
    /// process: in its object on the platform or, if the platform does not confirm in time, at a
    /// peer; at the latest after a limit. At once if nothing was added since the last call.
    void saveDepartures(std::function<void()> done);
    /// Sets the highest configuration revision in force on this node. Every packet carries it, and
    /// a higher one is pushed.
    void setConfigRevision(std::uint64_t revision);
    /// Sets the state as home of idempotency keys, published in this node's member record.
    void setKeyQuorum(schema::KeyQuorum quorum);
    /// Announces to peers that this node admits no new requests.
    void beginStop();
    /// Records that \a node stops, as a reply of its process \a incarnation said.
    void learnStop(const std::string &node, Incarnation incarnation);
    /// Announces to peers that this node has left.
    void leave();
    /// Handles PeerMethod::Sync and returns the response envelope.
    std::string handleSync(const std::string &envelope);
    /// True if the fleet is new: at start no peer reported a configuration, and the platform had no
    /// manifest or listed no other member. Always false with an integration.
    bool isFleetNew() const;
    /// True once the bootstrap is complete: peers were joined, or none exist.
    bool isJoined() const;

    /// Counters of the gossip protocol in the Prometheus text format.
    std::string metrics() const;

    /// Emitted when a status, endpoint or suspicion changes.
    sigc::signal<void()> viewChanged;
    /// Emitted when the peer \a node at \a address has a newer configuration \a revision.
    sigc::signal<void(const std::string &node, const Address &address, std::uint64_t revision)>
            revisionSeen;
    /// Emitted once, when the bootstrap is complete.
    sigc::signal<void()> joined;
    /// Emitted when the platform or a peer returns endpoints that earlier processes of this node
    /// published.
    sigc::signal<void(const std::vector<schema::EndpointRecord> &)> earlierEndpointsFound;
    /// Emitted once, when both have been asked.
    sigc::signal<void()> earlierEndpointsKnown;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace berylspur
