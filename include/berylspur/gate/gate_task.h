// The gate accepts caller requests, picks an endpoint, forwards the request to the endpoint's owner
// and streams the response back.
#pragma once

#include "berylspur/core/http_headers.h"
#include "berylspur/core/ids.h"
#include "berylspur/core/memory_budget.h"
#include "berylspur/core/result.h"
#include "berylspur/customers/customer_table.h"
#include "berylspur/gate/stop_admission.h"
#include "berylspur/manifest.pb.h"
#include "berylspur/membership/membership_task.h"
#include "berylspur/owner/nested_call_ended.h"
#include "berylspur/owner/parent_run.h"
#include "berylspur/record.pb.h"
#include "berylspur/settings.pb.h"
#include "berylspur/transport/peer_pool.h"

#include <event2/event.h>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <sigc++/sigc++.h>
#include <vector>

namespace berylspur {

class GateTask
{
public:
    /// \a customers: those in force; they may change between requests. \a memory counts what
    /// callers make the gate hold; null: it is not counted.
    GateTask(event_base *base, const schema::NodeSettings &settings,
             const MembershipTask &membership, PeerPool &peers, const CustomerTable &customers,
             const HeaderNames &names = {}, MemoryBudget *memory = nullptr);
    ~GateTask();
    GateTask(const GateTask &) = delete;
    GateTask &operator=(const GateTask &) = delete;

    /// Listens for callers. Fails with AddressUnusable.
    Result<void> start();

    /// Applies the configuration of the services that \a changed.
    void configure(const std::vector<const schema::ServiceConfig *> &changed);
    /// Marks the path to \a peer as failed after its connection failed.
    void onPeerConnectionFailed(const Address &peer);
    /// Closes keep-alive connections after their next response, and accepts new requests only as
    /// \a stop admits them. May be called again with other values.
    void stop(const GateStop &stop);

    /// Responds to all open requests because the process is about to exit.
    void finishOpenRequests();
    /// Number of requests whose response is not complete.
    std::size_t openRequests() const;
    /// Number of caller connections with response bytes that are not yet written to the socket. The
    /// request of such a response is no longer open.
    std::size_t connectionsWithUnsentOutput() const;
    nlohmann::json dump() const;
    std::string metrics() const;

    /// Emitted for each decision to be recorded.
    sigc::signal<void(const schema::DecisionRecord &)> decisionMade;
    /// Emitted when a nested call ends: a request that the endpoint on this host sends while it
    /// serves another request.
    sigc::signal<void(const NestedCallEnded &)> nestedCallEnded;
    /// Emitted to ask for the run of which the request with this id is a nested call.
    sigc::signal<ParentRun(const std::string &)> parentRun;
    /// Emitted when the process \a incarnation of \a node refused a request because it stops.
    sigc::signal<void(const std::string &node, Incarnation incarnation)> ownerStopping;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace berylspur
