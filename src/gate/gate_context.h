// State that all requests of a gate share.
#pragma once

#include "berylspur/core/http_headers.h"
#include "berylspur/core/metrics.h"
#include "berylspur/customers/customer_table.h"
#include "berylspur/gate/stop_admission.h"
#include "berylspur/http/caller_request.h"
#include "berylspur/idempotency/key_home.h"
#include "berylspur/limits/rate_limiter.h"
#include "berylspur/membership/member_table.h"
#include "berylspur/owner/nested_call_ended.h"
#include "berylspur/owner/parent_run.h"
#include "berylspur/record.pb.h"
#include "berylspur/routing/customer_limit.h"
#include "berylspur/routing/endpoint_picker.h"
#include "berylspur/routing/hedging.h"
#include "berylspur/routing/path_health.h"
#include "berylspur/routing/retry_budget.h"
#include "berylspur/routing/route_table.h"
#include "berylspur/transport/peer_pool.h"
#include "called_services.h"
#include "hedge_counters.h"
#include "quota_task.h"
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

/// Totals since the process started.
struct GateCounters
{
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t aborted = 0;
    std::uint64_t abandoned = 0; // the caller disconnected before the end of the response
    std::uint64_t retries = 0;
    std::uint64_t callsOfRepeats = 0; // nested calls made by repeated runs
    HedgeCounters hedges;
    std::map<ErrorCode, std::uint64_t> failures;
    DurationHistogram latency[2]; // by RequestClass
};

struct GateContext
{
    GateContext(event_base *loop, const MemberTable &memberTable, PeerPool &pool,
                const CustomerTable &customerTable, const std::string &failureDomain,
                PickMode pickMode, HeaderNames callerHeaderNames, std::string service)
        : base(loop), members(memberTable), peers(pool), customers(customerTable),
          headerNames(std::move(callerHeaderNames)), hostService(std::move(service)),
          picker(failureDomain, pickMode), serviceViews(memberTable), random(seededRandom()),
          quota(loop, memberTable, pool, customerTable)
    {
    }

    event_base *base;
    const MemberTable &members;
    PeerPool &peers;
    const CustomerTable &customers; ///< in force; requests need a key unless it is empty
    HeaderNames headerNames;
    std::string hostService; // service of the endpoint on this host; empty: unknown
    EndpointPicker picker;
    ServiceViews serviceViews;
    Random random;
    RouteTable routes;
    PathHealth pathHealth;
    QuotaTask quota;
    RateLimiterClient rateLimiter;
    // Requests that wait for a rate-limit lease of their customer, by rateKey().
    std::unordered_map<std::string, std::vector<std::weak_ptr<GateRequest>>> leaseWaiters;
    std::unordered_map<std::string, RetryBudget> retryBudgets; // by service
    CalledServices calledServices;
    std::unordered_map<std::string, ServiceHedging> hedging; // by service
    GateCounters counters;
    GateStop stop; // admits all requests unless the node stops
    std::function<void(schema::DecisionRecord)> onDecision;
    /// Run of which the request with this id is a nested call, that is, a request that the endpoint
    /// on this host sends while it serves another request.
    std::function<ParentRun(const std::string &id)> parentRun;
    std::function<void(const NestedCallEnded &)> onNestedCallEnd;
    /// Called when the process \a incarnation of \a node refused a request because it stops.
    std::function<void(const std::string &node, Incarnation incarnation)> onOwnerStopping;

    /// Drops what is kept for nodes, endpoints and services that no longer exist.
    void forgetAbsent();

    /// Names of the nodes in the member table, cached until the table changes.
    const std::vector<std::string> &knownNodes();
    const std::vector<std::string> &reachableNodes();

private:
    void refreshNodes();

    std::uint64_t m_cachedVersionPlusOne = 0; // 1 + version of the cached table; 0: nothing cached
    std::vector<std::string> m_knownNodes;
    std::vector<std::string> m_reachableNodes;
};

} // namespace berylspur
