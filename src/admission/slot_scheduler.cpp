// Queueing, slot assignment and service time statistics of one endpoint.
#include "berylspur/admission/slot_scheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace berylspur {

namespace {

/// Weight of a new sample in the moving averages. They follow a slowdown within about ten requests.
constexpr double MeanWeight = 1.0 / 8;

/// Number of samples between class corrections of a route, and minimum number for the first
/// correction and for inclusion in the mean of the short routes, so that one outlier does not
/// decide. The interval also limits the cost, because a correction iterates over all routes.
constexpr std::uint32_t ClassificationInterval = 8;

/// A route becomes long above LongClassFactor times the mean of the short routes, and short again
/// below ShortClassFactor times that mean. The hysteresis prevents repeated class changes.
constexpr double LongClassFactor = 10;
constexpr double ShortClassFactor = 3;

/// Routes come from the manifest. The limit bounds memory if a gate sends unknown routes.
constexpr std::size_t MaxRoutes = 8192;

/// 1 / FairShareReserveDivisor of a queue is reserved for customers below their fair share.
/// Otherwise a customer that keeps the queue full would cause the refusal of all others.
constexpr std::uint32_t FairShareReserveDivisor = 4;

/// Long requests may use 1 / LongSlotDivisorWhileNestedCallsWait of the slots while nested calls
/// are queued.
constexpr std::uint32_t LongSlotDivisorWhileNestedCallsWait = 4;

/// A request may wait for 1 / MaxWaitDivisor of its target latency; the rest is for its run and for
/// one return after a refusal. Without the limit, a queue that stays long through a load peak makes
/// every request late, while the same number of requests is served.
constexpr int MaxWaitDivisor = 2;

/// While several ranks wait, one of this many starts goes to a rank that is not the first, so that
/// no rank starves.
constexpr std::uint32_t FirstRankStarts = 8;

/// The same for a rank that is started less than half as often as all requests. The share of one in
/// eight would not do for it where more than two ranks are overloaded.
constexpr std::uint32_t StartsBeforeRankBehind = 2;

/// The same for a nested call that has waited for 1 / LateCallDivisor of its time. While it waits,
/// its parent holds a slot, and long waits fill the service of the parents too: with half of the
/// time as the limit a service at 0.7 of its room refused one request in twenty because its calls
/// waited at a full service. Calls of a less urgent rank must not keep out more urgent requests
/// either; with one start of three they were served more often than those.
constexpr std::uint32_t StartsBeforeLateCall = 4;
constexpr int LateCallDivisor = 8;

/// Retry-after value while no service time is known, and the minimum value.
constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(100);
constexpr Duration MinRetryAfter = std::chrono::milliseconds(10);

/// Wait limit of long requests while their service time is unknown.
constexpr Duration DefaultLongWaitLimit = std::chrono::seconds(1);

void updateMovingAverage(double &mean, double sample)
{
    mean = mean == 0 ? sample : mean + MeanWeight * (sample - mean);
}

Duration fromUs(double us)
{
    return Duration(static_cast<Duration::rep>(std::llround(us)));
}

} // namespace

SlotScheduler::SlotScheduler(std::uint32_t slots, SchedulerPolicy policy)
    : m_slots(slots), m_policy(policy)
{
}

std::optional<Refusal> SlotScheduler::enqueue(const QueuedRequest &request, TimePoint now)
{
    dropExpired(now);
    Route *route = routeOf(request);
    const Arrival arrival = arrivalOf(request, route);
    RankedQueue &queue = waitingWith(arrival);
    if (request.deadline <= now)
        return Refusal {ErrorCode::NotRunDeadline, MinRetryAfter};
    if (!m_policy.unlimitedQueue) {
        if (const auto refusal = checkQueue(request, queue, arrival, now)) {
            m_shares.onLost(arrival.rank, now);
            return refusal;
        }
        if (queue.size() >= queueBound(arrival.requestClass, arrival.isNestedCall))
            displaceNewest(queue, arrival, now);
    }

    const Index index = allocate();
    Node &node = m_nodes[index];
    node.request = request;
    node.requestClass = arrival.requestClass;
    node.route = route;
    node.enqueued = now;
    // The first-come policy ignores customers: all requests of a queue share one entry.
    queue.push(index, arrival.rank,
               m_policy.firstComeFirstServed ? std::string_view() : request.customer);
    m_earliestDeadline = std::min(m_earliestDeadline, request.deadline);
    return std::nullopt;
}

std::optional<Refusal> SlotScheduler::preview(const QueuedRequest &request, std::size_t expected,
                                              TimePoint now)
{
    dropExpired(now);
    const Arrival arrival = arrivalOf(request, routeOf(request));
    const RankedQueue &queue = waitingWith(arrival);
    if (request.deadline <= now)
        return Refusal {ErrorCode::NotRunDeadline, MinRetryAfter};
    if (m_policy.unlimitedQueue)
        return std::nullopt;
    if (const auto refusal = checkQueue(request, queue, arrival, now))
        return refusal;
    const std::uint32_t bound = queueBound(arrival.requestClass, arrival.isNestedCall);
    const std::uint32_t places = bound - std::min(bound, queue.size());
    if (expected < load().freeSlots + places)
        return std::nullopt;
    return Refusal {ErrorCode::NotRunQueueFull,
                    retryAfter(arrival.requestClass, expectedWait(arrival))};
}

std::optional<Refusal> SlotScheduler::checkQueue(const QueuedRequest &request,
                                                 const RankedQueue &queue, const Arrival &arrival,
                                                 TimePoint now) const
{
    const std::uint32_t bound = queueBound(arrival.requestClass, arrival.isNestedCall);
    const Duration wait = expectedWait(arrival);
    const Duration retry = retryAfter(arrival.requestClass, wait);
    if (isFullFor(queue, arrival) || exceedsFairShare(queue, request, bound))
        return Refusal {ErrorCode::NotRunQueueFull, retry};
    // A request that can start immediately is never refused because of the expected wait: the
    // average may still include a stall that has ended.
    if (queue.sizeUpTo(arrival.rank) == 0 && canStart(arrival.requestClass, now))
        return std::nullopt;
    if (now + wait > request.deadline)
        return Refusal {ErrorCode::NotRunDeadline, retry};
    const Duration waitLimit = request.latencyTarget / MaxWaitDivisor;
    // The refusal of a nested call wastes the run of its parent.
    if (!arrival.isNestedCall && request.latencyTarget > Duration::zero() && wait > waitLimit)
        return Refusal {ErrorCode::NotRunQueueFull, std::max(wait - waitLimit, MinRetryAfter)};
    return std::nullopt;
}

bool SlotScheduler::isFullFor(const RankedQueue &queue, const Arrival &arrival) const
{
    const std::uint32_t bound = queueBound(arrival.requestClass, arrival.isNestedCall);
    if (queue.size() < bound)
        return false;
    // Requests are left for the starts that go to less urgent ranks. Otherwise none would be
    // waiting when their turn comes.
    const std::uint32_t lessUrgent = queue.size() - queue.sizeUpTo(arrival.rank);
    return lessUrgent <= bound / FirstRankStarts;
}

void SlotScheduler::displaceNewest(RankedQueue &queue, const Arrival &arrival, TimePoint now)
{
    const auto last = queue.lastRank();
    if (!last || *last <= arrival.rank)
        return;
    const Index index = queue.popNewest(*last);
    m_shares.onLost(*last, now);
    const Duration wait = expectedWait({arrival.requestClass, arrival.isNestedCall, *last});
    m_displaced.push_back({m_nodes[index].request.id, retryAfter(arrival.requestClass, wait)});
    release(index);
}

std::optional<QueuedRequest> SlotScheduler::startNext(TimePoint now)
{
    dropExpired(now);
    const bool longFirst = isLongDue(now);
    for (const RequestClass requestClass : {longFirst ? RequestClass::Long : RequestClass::Short,
                                            longFirst ? RequestClass::Short : RequestClass::Long}) {
        if (hasQueued(requestClass) && canStart(requestClass, now))
            return start(requestClass, now);
    }
    return std::nullopt;
}

std::vector<RequestId> SlotScheduler::takeExpired(TimePoint now)
{
    dropExpired(now);
    return std::exchange(m_expired, {});
}

std::vector<DisplacedRequest> SlotScheduler::takeDisplaced()
{
    return std::exchange(m_displaced, {});
}

void SlotScheduler::finish(const RequestId &id, TimePoint now)
{
    const auto found = std::find_if(m_running.begin(), m_running.end(),
                                    [&](Index index) { return m_nodes[index].request.id == id; });
    if (found == m_running.end())
        return;
    const Index index = *found;
    *found = m_running.back();
    m_running.pop_back();
    const Node &node = m_nodes[index];
    ClassQueue &queue = queueOf(node.requestClass);
    --queue.running;
    const double serviceUs = std::max<double>(1, static_cast<double>((now - node.started).count()));
    updateMovingAverage(queue.meanUs, serviceUs);
    if (node.route)
        updateRouteClass(*node.route, serviceUs);
    release(index);
}

bool SlotScheduler::revoke(const RequestId &id)
{
    bool removed = false;
    for (RankedQueue *queue : {&m_nestedCalls, &m_short.waiting, &m_long.waiting}) {
        removeIf(*queue, [&](const QueuedRequest &request) {
            const bool matches = request.id == id;
            removed = removed || matches;
            return matches;
        });
        if (removed)
            break;
    }
    return removed;
}

std::vector<QueuedRequest> SlotScheduler::takeQueued()
{
    std::vector<QueuedRequest> taken;
    for (RankedQueue *queue : {&m_nestedCalls, &m_short.waiting, &m_long.waiting}) {
        while (const auto rank = queue->firstRank()) {
            const Index index = queue->popFront(*rank);
            taken.push_back(m_nodes[index].request);
            release(index);
        }
    }
    m_earliestDeadline = TimePoint::max();
    return taken;
}

void SlotScheduler::setSlots(std::uint32_t slots)
{
    m_slots = slots;
}

SlotLoad SlotScheduler::load() const
{
    SlotLoad load;
    load.slots = m_slots;
    load.freeSlots = m_slots - std::min(m_slots, running());
    load.queued = m_nestedCalls.size() + m_short.waiting.size() + m_long.waiting.size();
    load.meanServiceTime = fromUs(m_short.meanUs);
    return load;
}

RequestClass SlotScheduler::effectiveClass(const std::string &route, RequestClass declared) const
{
    const auto found = m_routes.find(route);
    return found == m_routes.end() || found->second.declared != declared
                   ? declared
                   : found->second.requestClass;
}

std::uint32_t SlotScheduler::longSlotLimit() const
{
    if (m_policy.firstComeFirstServed)
        return m_slots;
    const std::uint32_t reserve = std::max<std::uint32_t>(1, m_slots / 4);
    // A single slot can't be reserved for short requests, or long requests would starve.
    return m_slots > reserve ? m_slots - reserve : std::min<std::uint32_t>(m_slots, 1);
}

SlotScheduler::Arrival SlotScheduler::arrivalOf(const QueuedRequest &request,
                                                const Route *route) const
{
    const RequestClass requestClass = currentClass(request, route);
    return {requestClass, request.isNestedCall && requestClass == RequestClass::Short,
            rankOf(request)};
}

RankedQueue &SlotScheduler::waitingWith(const Arrival &arrival)
{
    return arrival.isNestedCall ? m_nestedCalls : queueOf(arrival.requestClass).waiting;
}

std::uint32_t SlotScheduler::rankOf(const QueuedRequest &request) const
{
    return m_policy.byPriority && !m_policy.firstComeFirstServed ? request.priority : 0;
}

bool SlotScheduler::hasQueued(RequestClass requestClass) const
{
    return queueOf(requestClass).waiting.size() > 0
           || (requestClass == RequestClass::Short && m_nestedCalls.size() > 0);
}

SlotScheduler::ClassQueue &SlotScheduler::queueOf(RequestClass requestClass)
{
    return m_policy.firstComeFirstServed || requestClass == RequestClass::Short ? m_short : m_long;
}

const SlotScheduler::ClassQueue &SlotScheduler::queueOf(RequestClass requestClass) const
{
    return m_policy.firstComeFirstServed || requestClass == RequestClass::Short ? m_short : m_long;
}

SlotScheduler::Route *SlotScheduler::routeOf(const QueuedRequest &request)
{
    auto found = m_routes.find(request.route);
    if (found == m_routes.end()) {
        if (m_routes.size() >= MaxRoutes)
            return nullptr;
        Route route;
        route.declared = route.requestClass = request.requestClass;
        found = m_routes.emplace(request.route, route).first;
    }
    Route &route = found->second;
    // A new manifest declared another class. Statistics from the previous class don't apply.
    if (route.declared != request.requestClass) {
        route.declared = route.requestClass = request.requestClass;
        route.samples = 0;
        route.meanUs = 0;
    }
    return &route;
}

RequestClass SlotScheduler::currentClass(const QueuedRequest &request, const Route *route) const
{
    return route ? route->requestClass : request.requestClass;
}

std::uint32_t SlotScheduler::queueBound(RequestClass requestClass, bool isNestedCall) const
{
    if (isNestedCall)
        return m_slots * m_policy.nestedCallQueuePerSlot;
    if (m_policy.firstComeFirstServed)
        return m_slots * (m_policy.shortQueuePerSlot + m_policy.longQueuePerSlot);
    return m_slots
           * (requestClass == RequestClass::Short ? m_policy.shortQueuePerSlot
                                                  : m_policy.longQueuePerSlot);
}

std::uint32_t SlotScheduler::running() const
{
    return static_cast<std::uint32_t>(m_running.size());
}

std::uint32_t SlotScheduler::slotsFor(RequestClass requestClass) const
{
    if (m_policy.firstComeFirstServed)
        return m_slots;
    if (requestClass == RequestClass::Long)
        return m_nestedCalls.size() > 0 ? longSlotLimitWhileNestedCallsWait() : longSlotLimit();
    return m_slots - std::min(m_slots, m_long.running);
}

Duration SlotScheduler::expectedWait(const Arrival &arrival) const
{
    const auto [requestClass, isNestedCall, rank] = arrival;
    const ClassQueue &queue = queueOf(requestClass);
    const double slots = std::max<std::uint32_t>(1, slotsFor(requestClass));
    std::uint32_t ahead = requestClass == RequestClass::Short ? m_nestedCalls.sizeUpTo(rank) : 0;
    if (!isNestedCall)
        ahead += queue.waiting.sizeUpTo(rank);
    else if (rank > 0)
        ahead += queue.waiting.sizeUpTo(rank - 1);
    // More urgent requests that arrive during the wait go first. The share of the slots that they
    // use is the one that they used lately.
    const double taken = m_shares.startRateBefore(rank) * queue.meanUs / 1e6 / slots;
    const double left = 1 - std::min(taken, 1 - 1.0 / FirstRankStarts);
    double inTurn = ahead / left;
    // A rank that is behind gets a part of the starts, whatever waits before it.
    if (rank > 0 && m_shares.isBehind(rank)) {
        const RankedQueue &own = isNestedCall ? m_nestedCalls : queue.waiting;
        inTurn = std::min<double>(inTurn, StartsBeforeRankBehind * own.sizeOf(rank));
    }
    return fromUs(inTurn * queue.meanUs / slots);
}

Duration SlotScheduler::retryAfter(RequestClass requestClass, Duration wait) const
{
    return queueOf(requestClass).meanUs == 0 ? DefaultRetryAfter : std::max(wait, MinRetryAfter);
}

bool SlotScheduler::canStart(RequestClass requestClass, TimePoint now) const
{
    const std::uint32_t busy = running();
    if (busy >= m_slots)
        return false;
    if (m_policy.firstComeFirstServed)
        return true;
    const bool isLastFree = busy + 1 == m_slots;
    if (requestClass == RequestClass::Short)
        return !isLastFree || m_long.waiting.size() == 0 || !isLongDue(now);
    if (m_long.running >= longSlotLimit())
        return false;
    // While nested calls are queued, long requests are limited to a few slots, so that they
    // progress and the other slots serve nested calls.
    if (m_nestedCalls.size() > 0)
        return m_long.running < longSlotLimitWhileNestedCallsWait();
    // The last free slot is kept for the next short request, unless a long request is due.
    if (isLastFree)
        return isLongDue(now);
    // Long requests use more than half of the slots only if no short requests arrive, or after
    // waiting. Gates learn of an occupied slot with a delay, and short requests that they send in
    // the meantime would have to wait.
    const bool isReceivingShort = m_lastShortStart && now - *m_lastShortStart < longWaitLimit();
    return m_long.running < m_slots / 2 || !isReceivingShort || longWaitLimitReached(now);
}

bool SlotScheduler::isLongDue(TimePoint now) const
{
    if (m_policy.firstComeFirstServed)
        return false;
    // With a single slot the classes alternate, or short requests would starve.
    if (m_slots == 1)
        return m_lastStarted == RequestClass::Short || !hasQueued(RequestClass::Short);
    // One long request may always run.
    if (m_long.running == 0)
        return true;
    if (m_long.waiting.size() == 0 || m_long.running >= m_slots / 2)
        return false;
    if (m_nestedCalls.size() > 0)
        return m_long.running < longSlotLimitWhileNestedCallsWait();
    // Long requests that have waited get up to half of the slots, which is their fair share when
    // both classes are overloaded.
    return longWaitLimitReached(now);
}

std::uint32_t SlotScheduler::longSlotLimitWhileNestedCallsWait() const
{
    return std::max<std::uint32_t>(1, m_slots / LongSlotDivisorWhileNestedCallsWait);
}

bool SlotScheduler::longWaitLimitReached(TimePoint now) const
{
    if (m_long.waiting.size() == 0)
        return false;
    const Index next = m_long.waiting.front(*m_long.waiting.firstRank());
    return now - m_nodes[next].enqueued >= longWaitLimit();
}

Duration SlotScheduler::longWaitLimit() const
{
    return m_long.meanUs == 0 ? DefaultLongWaitLimit : fromUs(m_long.meanUs);
}

bool SlotScheduler::exceedsFairShare(const RankedQueue &queue, const QueuedRequest &request,
                                     std::uint32_t bound) const
{
    const std::uint32_t rank = rankOf(request);
    // Less urgent requests don't count, since they can be displaced.
    const std::uint32_t size = queue.sizeUpTo(rank);
    if (m_policy.firstComeFirstServed || bound < FairShareReserveDivisor
        || size < bound - bound / FairShareReserveDivisor)
        return false;
    const std::uint32_t own = queue.sizeOf(rank, request.customer);
    const std::uint32_t room = bound - std::min(bound, size - queue.sizeOf(rank));
    // The additional share is left for the next new customer.
    return own > 0 && own * (queue.customers(rank) + 1) >= room;
}

std::optional<QueuedRequest> SlotScheduler::start(RequestClass requestClass, TimePoint now)
{
    const std::uint32_t rank = nextRank(requestClass, now);
    ClassQueue &queue = queueOf(requestClass);
    const bool isNestedCall = requestClass == RequestClass::Short && m_nestedCalls.sizeOf(rank) > 0;
    const Index index = (isNestedCall ? m_nestedCalls : queue.waiting).popFront(rank);
    ++queue.running;
    m_shares.onStart(rank, now);
    m_lastStarted = requestClass;
    if (requestClass == RequestClass::Short)
        m_lastShortStart = now;
    m_nodes[index].started = now;
    m_running.push_back(index);
    return m_nodes[index].request;
}

std::uint32_t SlotScheduler::nextRank(RequestClass requestClass, TimePoint now)
{
    std::uint32_t first = UINT32_MAX;
    forEachWaitingRank(requestClass, [&](std::uint32_t rank) { first = std::min(first, rank); });
    const auto other = leastServedAfter(requestClass, first);
    if (!other)
        return first;
    std::uint32_t &passed = queueOf(requestClass).startsOfFirstRank;
    ++passed;
    if (passed >= FirstRankStarts
        || (passed >= StartsBeforeRankBehind && m_shares.isBehind(*other))) {
        passed = 0;
        return *other;
    }
    const auto late =
            requestClass == RequestClass::Short ? lateCallAfter(first, now) : std::nullopt;
    if (late && passed >= StartsBeforeLateCall) {
        passed = 0;
        return *late;
    }
    return first;
}

template <typename Visit>
void SlotScheduler::forEachWaitingRank(RequestClass requestClass, const Visit &visit) const
{
    if (requestClass == RequestClass::Short)
        m_nestedCalls.forEachRank(visit);
    queueOf(requestClass).waiting.forEachRank(visit);
}

std::optional<std::uint32_t> SlotScheduler::leastServedAfter(RequestClass requestClass,
                                                             std::uint32_t first) const
{
    std::optional<std::uint32_t> found;
    forEachWaitingRank(requestClass, [&](std::uint32_t rank) {
        if (rank <= first)
            return;
        if (!found || m_shares.startedShare(rank) < m_shares.startedShare(*found))
            found = rank;
    });
    return found;
}

std::optional<std::uint32_t> SlotScheduler::lateCallAfter(std::uint32_t first, TimePoint now) const
{
    std::optional<std::uint32_t> found;
    m_nestedCalls.forEachRank([&](std::uint32_t rank) {
        const Node &node = m_nodes[m_nestedCalls.front(rank)];
        const Duration time = node.request.deadline - node.enqueued;
        if (!found && rank > first && now - node.enqueued >= time / LateCallDivisor)
            found = rank;
    });
    return found;
}

template <typename Remove>
void SlotScheduler::removeIf(RankedQueue &queue, const Remove &remove)
{
    queue.removeIf([&](Index index) {
        const bool removed = remove(m_nodes[index].request);
        if (removed)
            release(index);
        return removed;
    });
}

void SlotScheduler::dropExpired(TimePoint now)
{
    if (now < m_earliestDeadline)
        return;
    m_earliestDeadline = TimePoint::max();
    for (RankedQueue *queue : {&m_nestedCalls, &m_short.waiting, &m_long.waiting}) {
        removeIf(*queue, [&](const QueuedRequest &request) {
            if (request.deadline <= now) {
                m_expired.push_back(request.id);
                m_shares.onLost(rankOf(request), now);
                return true;
            }
            m_earliestDeadline = std::min(m_earliestDeadline, request.deadline);
            return false;
        });
    }
}

void SlotScheduler::updateRouteClass(Route &route, double serviceUs)
{
    updateMovingAverage(route.meanUs, serviceUs);
    // meanShortServiceUs() iterates over all routes, so the check runs only once per
    // ClassificationInterval samples.
    if (++route.samples % ClassificationInterval != 0)
        return;
    const double reference = meanShortServiceUs(route);
    if (reference == 0)
        return;
    if (route.requestClass == RequestClass::Short && route.meanUs > LongClassFactor * reference)
        route.requestClass = RequestClass::Long;
    else if (route.requestClass == RequestClass::Long
             && route.meanUs < ShortClassFactor * reference)
        route.requestClass = RequestClass::Short;
}

double SlotScheduler::meanShortServiceUs(const Route &excluded) const
{
    double sum = 0;
    double weight = 0;
    for (const auto &[name, route] : m_routes) {
        if (&route == &excluded || route.requestClass != RequestClass::Short
            || route.samples < ClassificationInterval)
            continue;
        // The limit prevents a single busy route from dominating the mean.
        const double routeWeight = std::min<std::uint32_t>(route.samples, 1000);
        sum += routeWeight * route.meanUs;
        weight += routeWeight;
    }
    return weight == 0 ? 0 : sum / weight;
}

SlotScheduler::Index SlotScheduler::allocate()
{
    if (m_freeNodes.empty()) {
        m_nodes.emplace_back();
        return static_cast<Index>(m_nodes.size() - 1);
    }
    const Index index = m_freeNodes.back();
    m_freeNodes.pop_back();
    return index;
}

void SlotScheduler::release(Index index)
{
    m_freeNodes.push_back(index);
}

} // namespace berylspur
