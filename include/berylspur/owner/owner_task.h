// The owner: stands beside the endpoints announced to this node and alone admits requests to their
// slots.
#pragma once

#include "berylspur/core/http_headers.h"
#include "berylspur/core/ids.h"
#include "berylspur/core/result.h"
#include "berylspur/manifest.pb.h"
#include "berylspur/owner/announcement.h"
#include "berylspur/owner/call_ended.h"
#include "berylspur/peer.pb.h"
#include "berylspur/record.pb.h"
#include "berylspur/settings.pb.h"
#include "berylspur/transport/peer.h"

#include <event2/event.h>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <sigc++/sigc++.h>
#include <vector>

namespace berylspur {

class OwnerTask
{
public:
    OwnerTask(event_base *base, const schema::NodeSettings &settings, Incarnation incarnation,
              const HttpNames &names = {});
    ~OwnerTask();
    OwnerTask(const OwnerTask &) = delete;
    OwnerTask &operator=(const OwnerTask &) = delete;

    /// Starts its timers and, without an integration, listens for announcements. Fails with
    /// AddressUnusable.
    Result<void> start();

    /// Message: an endpoint on this host announced itself. False if it names no endpoint to use.
    bool announce(const Announcement &announcement);
    /// Message: an endpoint on this host takes no new work and will end.
    void withdraw(const Withdrawal &withdrawal);

    /// Message: services whose configuration changed.
    void configure(const std::vector<const schema::ServiceConfig *> &changed);
    /// Message: a gate's PeerMethod::Dispatch.
    void dispatch(const std::shared_ptr<PeerRequest> &request);
    /// Message: a gate's PeerMethod::Ask.
    void ask(const std::shared_ptr<PeerRequest> &request);
    /// True if a request that runs at the host's endpoint made the request with the id \a id, as
    /// the callers of both gave their ids.
    bool isCall(const std::string &id) const;
    /// Message: such a call ended.
    void nestedCallEnded(const CallEnded &call);
    /// Message: whether the floor keeps the suspect \a endpoint in rotation.
    void heldByFloor(const std::string &endpoint, bool held);
    /// Message: refuse new work; requests in flight go on.
    void stop();

    /// Requests queued or running.
    std::size_t openRequests() const;
    /// State for the dump: endpoints, queues, ledger.
    nlohmann::json dump() const;
    /// Metrics in Prometheus text form.
    std::string metrics() const;

    /// The node's endpoints, their state or their suspicion changed.
    sigc::signal<void(const std::vector<schema::EndpointRecord> &)> endpointsChanged;
    /// A decision to record.
    sigc::signal<void(const schema::DecisionRecord &)> decided;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace berylspur
