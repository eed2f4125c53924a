// The owner manages the endpoints that are announced to this node. It is the only component that
// admits requests to their slots.
#pragma once

#include "berylspur/core/http_headers.h"
#include "berylspur/core/ids.h"
#include "berylspur/core/memory_budget.h"
#include "berylspur/core/result.h"
#include "berylspur/manifest.pb.h"
#include "berylspur/owner/announcement.h"
#include "berylspur/owner/nested_call_ended.h"
#include "berylspur/owner/parent_run.h"
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
    /// \a memory counts the responses that the task holds; null: they are not counted.
    OwnerTask(event_base *base, const schema::NodeSettings &settings, Incarnation incarnation,
              const HeaderNames &names = {}, MemoryBudget *memory = nullptr);
    ~OwnerTask();
    OwnerTask(const OwnerTask &) = delete;
    OwnerTask &operator=(const OwnerTask &) = delete;

    /// Starts the timers. Listens for announcements, unless an integration passes them to
    /// announce(). Fails with AddressUnusable if the announce address can't be used.
    Result<void> start();

    /// Handles an announcement of an endpoint on this host. Returns false if an integration is
    /// configured and the configuration received so far has services, but not this one.
    bool announce(const Announcement &announcement);
    /// Handles the withdrawal of an endpoint on this host.
    void withdraw(const Withdrawal &withdrawal);

    /// Holds announcements of ready endpoints until endWaitForHistory(), because an earlier process
    /// of this node may have acknowledged that they leave.
    void waitForHistory();
    /// Adds the endpoints that earlier processes of this node published.
    void learnIncarnations(const std::vector<schema::EndpointRecord> &records);
    /// Handles the announcements that were held. Only the first call has an effect.
    void endWaitForHistory();

    /// Applies the configuration of services that changed.
    void configure(const std::vector<const schema::ServiceConfig *> &changed);
    /// Handles PeerMethod::Offer from a gate: says whether a dispatch with a large body would be
    /// admitted, so that a body which would be refused is not sent.
    void offer(const std::shared_ptr<PeerRequest> &request);
    /// Handles PeerMethod::Dispatch from a gate.
    void dispatch(const std::shared_ptr<PeerRequest> &request);
    /// Handles PeerMethod::Ask from a gate: revokes the request if it is unknown or still queued,
    /// and returns its state.
    void ask(const std::shared_ptr<PeerRequest> &request);
    /// Run at an endpoint of this host of which the request with the caller's id \a id is a nested
    /// call.
    ParentRun parentRun(const std::string &id) const;
    /// Handles the end of a nested call.
    void onNestedCallEnded(const NestedCallEnded &call);
    /// Sets whether the floor retains the suspect \a endpoint in rotation.
    void setHeldByFloor(const std::string &endpoint, bool held);
    /// Refuses new requests. Requests in flight continue.
    void stop();
    /// Refuses the requests that wait for a slot as not run, because the process is about to exit.
    void refuseQueuedRequests();

    /// Number of queued or running requests.
    std::size_t openRequests() const;
    /// State dump of endpoints, queues and ledger.
    nlohmann::json dump() const;
    /// Metrics in Prometheus text format.
    std::string metrics() const;

    /// Emitted when the endpoints of this node, their state or their suspicion change.
    sigc::signal<void(const std::vector<schema::EndpointRecord> &)> endpointsChanged;
    /// Emitted for each decision to record.
    sigc::signal<void(const schema::DecisionRecord &)> decisionMade;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace berylspur
