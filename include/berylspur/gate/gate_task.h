// The gate: takes callers' requests, picks an endpoint, forwards to its owner, streams the
// response.
#pragma once

#include "berylspur/core/http_headers.h"
#include "berylspur/core/ids.h"
#include "berylspur/core/result.h"
#include "berylspur/manifest.pb.h"
#include "berylspur/membership/membership_task.h"
#include "berylspur/owner/call_ended.h"
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
    GateTask(event_base *base, const schema::NodeSettings &settings,
             const MembershipTask &membership, PeerPool &peers, const HttpNames &names = {});
    ~GateTask();
    GateTask(const GateTask &) = delete;
    GateTask &operator=(const GateTask &) = delete;

    /// Listens for callers. Fails with AddressUnusable.
    Result<void> start();

    /// Message: services whose configuration changed.
    void configure(const std::vector<const schema::ServiceConfig *> &changed);
    /// Message: a connection to a peer failed.
    void peerFailed(const Address &peer);
    /// Message: close callers' kept connections after their response; with \a refuse, also refuse
    /// new requests.
    void stop(bool refuse);

    /// Answers all open requests, because the process is about to end.
    void endOpen();
    /// Requests whose response is not complete.
    std::size_t openRequests() const;
    nlohmann::json dump() const;
    std::string metrics() const;

    /// A decision to record.
    sigc::signal<void(const schema::DecisionRecord &)> decided;
    /// Message: a call of the host's endpoint has ended.
    sigc::signal<void(const CallEnded &)> callEnded;
    /// Question: is the request with this id a call of the host's endpoint?
    sigc::signal<bool(const std::string &)> isCall;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace berylspur
