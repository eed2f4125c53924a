// State of the gate that all its requests use.
#pragma once

#include "berylspur/core/http_headers.h"
#include "berylspur/core/metrics.h"
#include "berylspur/http/caller_request.h"
#include "berylspur/idempotency/key_home.h"
#include "berylspur/limits/rate_limiter.h"
#include "berylspur/membership/member_table.h"
#include "berylspur/owner/call_ended.h"
#include "berylspur/record.pb.h"
#include "berylspur/routing/customer_limit.h"
#include "berylspur/routing/endpoint_picker.h"
#include "berylspur/routing/path_health.h"
#include "berylspur/routing/retry_budget.h"
#include "berylspur/routing/route_table.h"
#include "berylspur/transport/peer_pool.h"
#include "service_view.h"

#include <event2/event.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylspur {

class GateRequest;

struct GateCounters
{
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t aborted = 0;
    std::uint64_t abandoned = 0; // the caller left before the end of the response
    std::uint64_t retries = 0;
    std::map<ErrorCode, std::uint64_t> failures;
    DurationHistogram latency[2]; // by WorkClass
};

struct GateContext
{
    GateContext(event_base *loop, const MemberTable &members, PeerPool &pool,
                const std::string &failureDomain, PickMode pickMode, HttpNames headerNames,
                std::string service)
        : base(loop), table(members), peers(pool), names(std::move(headerNames)),
          hostService(std::move(service)), picker(failureDomain, pickMode), views(members),
          random(seededRandom())
    {
    }

    event_base *base;
    const MemberTable &table;
    PeerPool &peers;
    HttpNames names;
    std::string hostService; // of the endpoint on this host; empty: not known
    EndpointPicker picker;
    ServiceViews views;
    Random random;
    RouteTable routes;
    PathHealth paths;
    RateLimiterClient rates;
    // Requests that wait for the first lease of their customer, by the key of the lease.
    std::unordered_map<std::string, std::vector<std::weak_ptr<GateRequest>>> awaitingLease;
    std::unordered_map<std::string, RetryBudget> budgets; // by service
    GateCounters counters;
    std::function<void(schema::DecisionRecord)> decided;
    /// True if the request with this id is a call of the host's endpoint.
    std::function<bool(const std::string &id)> isCall;
    std::function<void(const CallEnded &)> callEnded;

    /// Nodes by name, kept with the version of the table they belong to.
    const std::vector<std::string> &knownNodes();
    const std::vector<std::string> &reachableNodes();

private:
    void refreshNodes();

    std::uint64_t m_nodesVersion = 0; // 1 + version of the table; 0: never read
    std::vector<std::string> m_known;
    std::vector<std::string> m_reachable;
};

} // namespace berylspur
