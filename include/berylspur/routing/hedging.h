// Decides when a gate sends a hedged request: an idempotent request to a second endpoint beside a
// first one that is slower than the tail of its route. Load pattern: a few endpoints of a service
// are slow, while the others have free slots.
#pragma once

#include "berylspur/admission/slot_scheduler.h"
#include "berylspur/core/clock.h"
#include "berylspur/routing/endpoint_picker.h"
#include "berylspur/routing/hedge_budget.h"
#include "berylspur/routing/latency_quantile.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace berylspur {

enum class HedgeVerdict {
    Send,
    NotIdempotent,
    NoAttemptLeft,
    NoTime, ///< for a second run before the deadline
    NoRoom, ///< the service is short of free slots, or none are known
    NoEndpoint, ///< no other endpoint is known to have room
    HedgeBudget,
    RetryBudget,
};

constexpr std::size_t HedgeVerdictCount = 8;

/// Name of \a verdict for logs and metrics.
std::string_view hedgeVerdictName(HedgeVerdict verdict);

/// What a hedge depends on, at the time when it is due.
struct HedgeSituation
{
    bool isIdempotent = false;
    bool hasAttemptLeft = false;
    bool hasRetryBudget = false;
    bool hasSecondEndpoint = false;
    Duration remaining {}; ///< until the deadline of the request
};

/// Average free share of the slots of a service, over the load that owners report with replies and
/// refusals. The latest report of each endpoint would be biased: gates avoid endpoints that were
/// busy, so that such reports are not replaced. A report loses half of its weight every HalfLife.
class ServiceRoom
{
public:
    static constexpr Duration HalfLife = std::chrono::seconds(1);

    void record(std::uint32_t slots, std::uint32_t freeSlots, TimePoint now);
    /// Free share of the slots, 0 to 1, or nothing if nothing was reported for HalfLife.
    std::optional<double> freeShare(TimePoint now) const;

private:
    double m_slots = 0;
    double m_freeSlots = 0;
    TimePoint m_lastReport {};
};

/// Class and key of a route.
using HedgeRoute = std::pair<RequestClass, std::string>;

/// Hedging of one service at one gate.
class ServiceHedging
{
public:
    /// Requests that are slower are hedged: one in twenty of a healthy service, of which the budget
    /// allows a part.
    static constexpr double Quantile = 0.95;
    /// Scheduling delays of hosts and the time on the network vary by a few milliseconds.
    static constexpr Duration MinDelay = std::chrono::milliseconds(10);
    /// Free share of the slots of the service below which there are no hedges. Above three quarters
    /// of its capacity, the queues of a service grow with each further request.
    static constexpr double MinFreeShare = 0.25;
    /// Routes beyond this number replace all earlier ones.
    static constexpr std::size_t MaxRoutes = 256;

    void setPercent(std::uint32_t percent);
    void setBurst(double burst) { m_budget.setBurst(burst); }
    bool isOn() const { return m_budget.isOn(); }

    void recordRequest() { m_budget.recordRequest(); }
    /// Records the time from dispatch to the first byte of an attempt, or, for one that was
    /// cancelled because a second one responded first, its age. Does nothing while hedging is off.
    void recordLatency(const HedgeRoute &route, Duration latency, TimePoint now);

    /// Records the load that an owner reported with a reply.
    void recordLoad(std::uint32_t slots, std::uint32_t freeSlots, TimePoint now);

    /// Time after dispatch at which a request of \a route that has \a remaining left until its
    /// deadline may be hedged, or nothing if the route is not known or time is too short.
    std::optional<Duration> delay(const HedgeRoute &route, Duration remaining, TimePoint now) const;
    /// Whether a request of \a route that is due for a hedge gets one.
    HedgeVerdict verdict(const HedgeRoute &route, const HedgeSituation &situation,
                         TimePoint now) const;
    /// Takes one hedge from the budget.
    void recordHedge() { m_budget.tryHedge(); }

private:
    std::optional<Duration> tailLatency(const HedgeRoute &route, TimePoint now) const;

    HedgeBudget m_budget;
    ServiceRoom m_room;
    std::map<HedgeRoute, LatencyQuantile> m_latencies;
};

} // namespace berylspur
