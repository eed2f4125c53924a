// Admission of requests to the slots of one endpoint: bounded queues that know deadlines, a reserve
// for short requests, fair shares between customers. Plain state machine, time is an argument.
#pragma once

#include "berylspur/core/clock.h"
#include "berylspur/core/ids.h"
#include "berylspur/core/result.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylspur {

enum class WorkClass { Short, Long };

/// A request as the scheduler sees it.
struct QueuedRequest
{
    RequestId id;
    WorkClass workClass = WorkClass::Short;
    std::string customer;
    std::string route; ///< key under which service times are learned
    TimePoint deadline;
    bool isCall = false; ///< made by a request that runs at another endpoint
};

/// Variants kept runnable as baselines; the defaults are the product's.
struct SchedulerPolicy
{
    bool unlimitedQueue = false; ///< baseline: no bound and no refusal by deadline
    bool firstCome = false; ///< baseline: one queue for all classes, no reserve
    std::uint32_t shortQueuePerSlot = 2; ///< queued short requests per slot
    std::uint32_t longQueuePerSlot = 2; ///< queued long requests per slot
    /// Queued calls per slot. Load pattern: services that call each other at the crest of a wave. A
    /// call holds its parent's slot while it waits, and a call that is refused loses the work of
    /// its parent, so calls go before other requests and wait in a queue of their own.
    std::uint32_t callQueuePerSlot = 3;
};

/// Why a request was not queued, and when to come back.
struct Refusal
{
    ErrorCode code = ErrorCode::Ok; ///< NotRunQueueFull or NotRunDeadline
    Duration retryAfter {};
};

/// Load of an endpoint as its owner knows it.
struct SlotLoad
{
    std::uint32_t slots = 0;
    std::uint32_t freeSlots = 0; ///< for short requests
    std::uint32_t queued = 0;
    Duration meanService {}; ///< of short requests; zero: unknown
};

/// Slots and queues of one endpoint. Each id is queued, running or unknown to it.
class SlotScheduler
{
public:
    SlotScheduler(std::uint32_t slots, SchedulerPolicy policy = {});

    /// Queues \a request, or says why not. Never queues an id twice (the caller's ledger checks
    /// ids).
    std::optional<Refusal> enqueue(const QueuedRequest &request, TimePoint now);

    /// The next request to start, now counted as running; nothing while no slot fits.
    /// Requests whose deadline has passed are never returned.
    std::optional<QueuedRequest> next(TimePoint now);

    /// Ids dropped from the queues because their deadline passed, each reported once.
    std::vector<RequestId> takeExpired(TimePoint now);

    /// Ends the running request \a id and learns its service time (since next() returned it).
    void finish(const RequestId &id, TimePoint now);

    /// Removes a queued \a id. Returns false if it is not queued.
    bool revoke(const RequestId &id);

    /// Removes and returns all queued requests, for an endpoint that leaves.
    std::vector<QueuedRequest> takeQueued();

    /// Slots in use may exceed a lowered count until requests finish.
    void setSlots(std::uint32_t slots);

    SlotLoad load() const;

    /// Class of requests of \a route after correction by measured service times; \a declared if
    /// unknown.
    WorkClass effectiveClass(const std::string &route, WorkClass declared) const;

    /// Slots that long requests may use at most.
    std::uint32_t longSlotLimit() const;

private:
    using Index = std::uint32_t;
    static constexpr Index None = UINT32_MAX;

    /// Learned service times of a route. \a workClass is the class in force.
    struct Route
    {
        WorkClass declared = WorkClass::Short;
        WorkClass workClass = WorkClass::Short;
        double meanUs = 0;
        std::uint32_t samples = 0;
    };
    /// A request that is queued or running. Nodes are recycled, so that the steady state allocates
    /// nothing.
    struct Node
    {
        QueuedRequest request;
        WorkClass workClass = WorkClass::Short; ///< class that the slot is counted under
        Route *route = nullptr; ///< nullptr: not learned
        TimePoint enqueued;
        TimePoint started;
        Index next = None; ///< in the queue of the customer
    };
    /// Requests of one customer, first come first served. Invariant: not empty.
    struct Customer
    {
        std::string name;
        Index head = None;
        Index tail = None;
        std::uint32_t size = 0;
    };
    /// Queue of one class. \a customers is the round: the front is served next, then moves to the
    /// back.
    struct ClassQueue
    {
        std::deque<Customer> customers;
        std::uint32_t size = 0;
        std::uint32_t running = 0;
        double meanUs = 0; ///< moving average of service times; 0: unknown
    };

    /// Where \a request waits.
    ClassQueue &waitingQueue(const QueuedRequest &request, WorkClass workClass);
    bool hasWaiting(WorkClass workClass) const;
    ClassQueue &queueOf(WorkClass workClass);
    const ClassQueue &queueOf(WorkClass workClass) const;
    Route *routeOf(const QueuedRequest &request);
    WorkClass classInForce(const QueuedRequest &request, const Route *route) const;
    std::uint32_t queueBound(WorkClass workClass, bool isCall) const;
    std::uint32_t running() const;
    /// Slots that \a workClass can have in use, given what the other class uses now.
    std::uint32_t slotsFor(WorkClass workClass) const;
    Duration expectedWait(WorkClass workClass, bool isCall) const;
    bool canStart(WorkClass workClass, TimePoint now) const;
    /// True if a waiting long request goes before short ones.
    bool longNeedsSlot(TimePoint now) const;
    /// Slots that long requests may use while calls wait.
    std::uint32_t longSlotsBesideCalls() const;
    /// True if the next long request waits for as long as one runs.
    bool longHasWaited(TimePoint now) const;
    Duration longPatience() const;
    bool isBeyondShare(const ClassQueue &queue, const std::string &customer,
                       std::uint32_t bound) const;
    std::optional<QueuedRequest> start(WorkClass workClass, TimePoint now);
    Index popFront(ClassQueue &queue);
    template <typename Remove>
    void removeIf(ClassQueue &queue, const Remove &remove);
    void dropExpired(TimePoint now);
    void learn(Route &route, double serviceUs);
    double shortReferenceUs(const Route &besides) const;
    Index allocate();
    void release(Index index);

    std::uint32_t m_slots;
    SchedulerPolicy m_policy;
    ClassQueue m_calls; ///< waiting calls; they run as short requests
    ClassQueue m_short;
    ClassQueue m_long;
    std::vector<Node> m_nodes;
    std::vector<Index> m_freeNodes;
    std::vector<Index> m_running; ///< at most the slots, so a linear search is cheap
    WorkClass m_lastStarted = WorkClass::Short;
    std::optional<TimePoint> m_lastShort; ///< last start of a short request
    std::vector<RequestId> m_expired; ///< dropped and not yet reported
    TimePoint m_earliestDeadline = TimePoint::max(); ///< no queued deadline is before it
    std::unordered_map<std::string, Route> m_routes; ///< bounded by MaxRoutes
};

} // namespace berylspur
