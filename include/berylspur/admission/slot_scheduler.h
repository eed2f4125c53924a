// Admission of requests to the slots of one endpoint: bounded queues with deadlines, slots reserved
// for short requests, order by rank and fair queuing between customers. Handles more load than the
// endpoint serves. Does no I/O; time is passed in.
#pragma once

#include "berylspur/admission/rank_shares.h"
#include "berylspur/admission/ranked_queue.h"
#include "berylspur/core/clock.h"
#include "berylspur/core/ids.h"
#include "berylspur/core/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylspur {

enum class RequestClass { Short, Long };

/// Properties of a request that scheduling depends on.
struct QueuedRequest
{
    RequestId id;
    RequestClass requestClass = RequestClass::Short;
    std::string customer;
    std::string route; ///< key for service time statistics
    TimePoint deadline;
    bool isNestedCall = false; ///< made by a request that runs at another endpoint
    Duration latencyTarget {}; ///< of its route; zero: none
    std::uint32_t priority = 0; ///< rank; 0: most urgent
};

/// Queue sizes, and switches for the simpler policies that benchmarks compare against.
struct SchedulerPolicy
{
    bool unlimitedQueue = false; ///< for benchmarks: no queue limit, no refusal for expected wait
    /// For benchmarks: one FIFO queue for both classes and no reserved slots; short nested calls
    /// keep their own queue.
    bool firstComeFirstServed = false;
    std::uint32_t shortQueuePerSlot = 2; ///< queued short requests per slot
    std::uint32_t longQueuePerSlot = 2; ///< queued long requests per slot
    /// Queued nested calls per slot. A queued nested call occupies the slot of its parent request,
    /// and a refused one wastes the work of its parent. Nested calls therefore have their own
    /// queue and take precedence over other requests, which matters when services that call each
    /// other peak together.
    std::uint32_t nestedCallQueuePerSlot = 3;
    bool byPriority = true; ///< false: all requests have the same rank
};

/// Reason for not queueing a request, and the time after which to retry.
struct Refusal
{
    ErrorCode code = ErrorCode::Ok; ///< NotRunQueueFull or NotRunDeadline
    Duration retryAfter {};
};

/// A queued request that made room for a more urgent one, and the time after which to retry.
struct DisplacedRequest
{
    RequestId id;
    Duration retryAfter {};
};

/// Load of an endpoint.
struct SlotLoad
{
    std::uint32_t slots = 0;
    std::uint32_t freeSlots = 0; ///< for short requests
    std::uint32_t queued = 0;
    Duration meanServiceTime {}; ///< mean service time of short requests; zero if unknown
};

/// Slots and queues of one endpoint. Each request id is either queued, running or unknown.
class SlotScheduler
{
public:
    SlotScheduler(std::uint32_t slots, SchedulerPolicy policy = {});

    /// Queues \a request, or returns the reason for refusing it. A request that finds its queue
    /// full displaces the newest one of the least urgent rank, if that is less urgent than its own.
    /// Its expected wait counts only requests that are served before it. The caller must ensure
    /// that ids are unique.
    std::optional<Refusal> enqueue(const QueuedRequest &request, TimePoint now);

    /// Reason for which enqueue() would refuse \a request now, or nothing. \a expected requests
    /// that are on their way take the free slots and the places in the queue first.
    std::optional<Refusal> preview(const QueuedRequest &request, std::size_t expected,
                                   TimePoint now);

    /// Starts the next request and returns it, or std::nullopt if no queued request may take a
    /// slot. Never returns a request whose deadline has passed. Ranks are served in order, nested
    /// calls before new requests of their rank. While several ranks wait, at least one of eight
    /// starts goes to a rank that is not the first.
    std::optional<QueuedRequest> startNext(TimePoint now);

    /// Ids of requests that were dropped because their deadline passed. Reports each id once.
    std::vector<RequestId> takeExpired(TimePoint now);

    /// Requests that were displaced. Reports each one once.
    std::vector<DisplacedRequest> takeDisplaced();

    /// Ends the running request \a id and records its service time, measured from startNext().
    /// Does nothing if \a id is not running.
    void finish(const RequestId &id, TimePoint now);

    /// Removes a queued \a id. Returns false if it is not queued.
    bool revoke(const RequestId &id);

    /// Removes and returns all queued requests, for an endpoint that shuts down.
    std::vector<QueuedRequest> takeQueued();

    /// After a reduction, more than \a slots requests may run until some of them finish.
    void setSlots(std::uint32_t slots);

    SlotLoad load() const;

    /// Class of requests of \a route according to measured service times, or \a declared if none
    /// are known.
    RequestClass effectiveClass(const std::string &route, RequestClass declared) const;

    /// Maximum number of slots for long requests.
    std::uint32_t longSlotLimit() const;

private:
    using Index = std::uint32_t;

    /// Service time statistics of a route. requestClass is the class after correction.
    struct Route
    {
        RequestClass declared = RequestClass::Short;
        RequestClass requestClass = RequestClass::Short;
        double meanUs = 0;
        std::uint32_t samples = 0;
    };
    /// A queued or running request. Nodes are reused to avoid allocations in the steady state.
    struct Node
    {
        QueuedRequest request;
        RequestClass requestClass = RequestClass::Short; ///< class that the slot is accounted to
        Route *route = nullptr; ///< nullptr if MaxRoutes was reached
        TimePoint enqueued;
        TimePoint started;
    };
    /// Queue of one class.
    struct ClassQueue
    {
        RankedQueue waiting;
        std::uint32_t running = 0;
        double meanUs = 0; ///< moving average of service times; 0 if unknown
        /// Starts in a row for the most urgent waiting rank while others waited.
        std::uint32_t startsOfFirstRank = 0;
    };
    /// What an arriving request is scheduled by.
    struct Arrival
    {
        RequestClass requestClass = RequestClass::Short;
        bool isNestedCall = false; ///< queued with the nested calls
        std::uint32_t rank = 0;
    };

    Arrival arrivalOf(const QueuedRequest &request, const Route *route) const;
    RankedQueue &waitingWith(const Arrival &arrival);
    /// Ranks are ignored by the first-come policy.
    std::uint32_t rankOf(const QueuedRequest &request) const;
    bool hasQueued(RequestClass requestClass) const;
    ClassQueue &queueOf(RequestClass requestClass);
    const ClassQueue &queueOf(RequestClass requestClass) const;
    Route *routeOf(const QueuedRequest &request);
    RequestClass currentClass(const QueuedRequest &request, const Route *route) const;
    std::uint32_t queueBound(RequestClass requestClass, bool isNestedCall) const;
    std::uint32_t running() const;
    /// Slots that \a requestClass can use: for Short, those not occupied by long requests; for
    /// Long, longSlotLimit(), or fewer while nested calls are queued.
    std::uint32_t slotsFor(RequestClass requestClass) const;
    Duration expectedWait(const Arrival &arrival) const;
    /// Time after which a request may be sent again that was refused at an expected wait of \a
    /// wait.
    Duration retryAfter(RequestClass requestClass, Duration wait) const;
    /// Reason for refusing \a request, which would join \a queue.
    std::optional<Refusal> checkQueue(const QueuedRequest &request, const RankedQueue &queue,
                                      const Arrival &arrival, TimePoint now) const;
    /// True if \a queue has no room and no request that \a arrival may displace.
    bool isFullFor(const RankedQueue &queue, const Arrival &arrival) const;
    void displaceNewest(RankedQueue &queue, const Arrival &arrival, TimePoint now);
    bool canStart(RequestClass requestClass, TimePoint now) const;
    /// True if the next free slot is for a long request, provided that one is queued.
    bool isLongDue(TimePoint now) const;
    /// Maximum number of slots for long requests while nested calls are queued.
    std::uint32_t longSlotLimitWhileNestedCallsWait() const;
    /// True if the next long request has waited for at least longWaitLimit().
    bool longWaitLimitReached(TimePoint now) const;
    /// Mean service time of long requests, or a default if unknown.
    Duration longWaitLimit() const;
    bool exceedsFairShare(const RankedQueue &queue, const QueuedRequest &request,
                          std::uint32_t bound) const;
    std::optional<QueuedRequest> start(RequestClass requestClass, TimePoint now);
    /// Rank of the next start: the most urgent that waits, or another whose turn it is.
    std::uint32_t nextRank(RequestClass requestClass, TimePoint now);
    /// Calls \a visit(rank) for the ranks with requests that wait for \a requestClass.
    template <typename Visit>
    void forEachWaitingRank(RequestClass requestClass, const Visit &visit) const;
    /// Least served of the waiting ranks after \a first, if there is one.
    std::optional<std::uint32_t> leastServedAfter(RequestClass requestClass,
                                                  std::uint32_t first) const;
    /// Rank after \a first of a nested call that has waited for long, if there is one.
    std::optional<std::uint32_t> lateCallAfter(std::uint32_t first, TimePoint now) const;
    template <typename Remove>
    void removeIf(RankedQueue &queue, const Remove &remove);
    void dropExpired(TimePoint now);
    void updateRouteClass(Route &route, double serviceUs);
    double meanShortServiceUs(const Route &excluded) const;
    Index allocate();
    void release(Index index);

    std::uint32_t m_slots;
    SchedulerPolicy m_policy;
    RankedQueue m_nestedCalls; ///< queued nested calls; they run as short requests
    ClassQueue m_short;
    ClassQueue m_long;
    std::vector<Node> m_nodes;
    std::vector<Index> m_freeNodes;
    std::vector<Index> m_running; ///< bounded by the slots, so linear search is cheap
    RequestClass m_lastStarted = RequestClass::Short;
    std::optional<TimePoint> m_lastShortStart; ///< start of the last short request
    std::vector<RequestId> m_expired; ///< dropped and not yet reported
    std::vector<DisplacedRequest> m_displaced; ///< not yet reported
    RankShares m_shares;
    TimePoint m_earliestDeadline = TimePoint::max(); ///< lower bound of all queued deadlines
    std::unordered_map<std::string, Route> m_routes; ///< bounded by MaxRoutes
};

} // namespace berylspur
