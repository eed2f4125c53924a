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
    const RequestClass requestClass = currentClass(request, route);
    const bool isNestedCall = request.isNestedCall && requestClass == RequestClass::Short;
    ClassQueue &queue = enqueueTarget(request, requestClass);
    const Duration wait = expectedWait(requestClass, isNestedCall);
    if (request.deadline <= now)
        return Refusal {ErrorCode::NotRunDeadline, MinRetryAfter};
    if (!m_policy.unlimitedQueue) {
        const auto refusal = checkQueue(request, queue, requestClass, isNestedCall, wait, now);
        if (refusal)
            return refusal;
    }

    const Index index = allocate();
    Node &node = m_nodes[index];
    node.request = request;
    node.requestClass = requestClass;
    node.route = route;
    node.enqueued = now;
    node.next = None;
    // The first-come policy ignores customers: all requests of a queue share one entry.
    const std::string_view name =
            m_policy.firstComeFirstServed ? std::string_view() : request.customer;
    auto customer = std::find_if(queue.customers.begin(), queue.customers.end(),
                                 [&](const CustomerQueue &entry) { return entry.name == name; });
    if (customer == queue.customers.end()) {
        queue.customers.push_back({std::string(name), index, index, 1});
    } else {
        m_nodes[customer->tail].next = index;
        customer->tail = index;
        ++customer->size;
    }
    ++queue.size;
    m_earliestDeadline = std::min(m_earliestDeadline, request.deadline);
    return std::nullopt;
}

std::optional<Refusal> SlotScheduler::checkQueue(const QueuedRequest &request,
                                                 const ClassQueue &queue, RequestClass requestClass,
                                                 bool isNestedCall, Duration wait,
                                                 TimePoint now) const
{
    const std::uint32_t bound = queueBound(requestClass, isNestedCall);
    const Duration retryAfter =
            queueOf(requestClass).meanUs == 0 ? DefaultRetryAfter : std::max(wait, MinRetryAfter);
    if (queue.size >= bound || exceedsFairShare(queue, request.customer, bound))
        return Refusal {ErrorCode::NotRunQueueFull, retryAfter};
    // A request that can start immediately is never refused because of the expected wait: the
    // average may still include a stall that has ended.
    if (queue.size == 0 && canStart(requestClass, now))
        return std::nullopt;
    if (now + wait > request.deadline)
        return Refusal {ErrorCode::NotRunDeadline, retryAfter};
    const Duration waitLimit = request.latencyTarget / MaxWaitDivisor;
    // The refusal of a nested call wastes the run of its parent.
    if (!isNestedCall && request.latencyTarget > Duration::zero() && wait > waitLimit)
        return Refusal {ErrorCode::NotRunQueueFull, std::max(wait - waitLimit, MinRetryAfter)};
    return std::nullopt;
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
    for (ClassQueue *queue : {&m_nestedCalls, &m_short, &m_long}) {
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
    for (ClassQueue *queue : {&m_nestedCalls, &m_short, &m_long}) {
        while (queue->size > 0) {
            const Index index = popFront(*queue);
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
    load.queued = m_nestedCalls.size + m_short.size + m_long.size;
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

SlotScheduler::ClassQueue &SlotScheduler::enqueueTarget(const QueuedRequest &request,
                                                        RequestClass requestClass)
{
    return request.isNestedCall && requestClass == RequestClass::Short ? m_nestedCalls
                                                                       : queueOf(requestClass);
}

bool SlotScheduler::hasQueued(RequestClass requestClass) const
{
    return queueOf(requestClass).size > 0
           || (requestClass == RequestClass::Short && m_nestedCalls.size > 0);
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
        return m_nestedCalls.size > 0 ? longSlotLimitWhileNestedCallsWait() : longSlotLimit();
    return m_slots - std::min(m_slots, m_long.running);
}

Duration SlotScheduler::expectedWait(RequestClass requestClass, bool isNestedCall) const
{
    const ClassQueue &queue = queueOf(requestClass);
    const std::uint32_t slots = std::max<std::uint32_t>(1, slotsFor(requestClass));
    std::uint32_t ahead = requestClass == RequestClass::Short ? m_nestedCalls.size : 0;
    if (!isNestedCall)
        ahead += queue.size;
    return fromUs(ahead * queue.meanUs / slots);
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
        return !isLastFree || m_long.size == 0 || !isLongDue(now);
    if (m_long.running >= longSlotLimit())
        return false;
    // While nested calls are queued, long requests are limited to a few slots, so that they
    // progress and the other slots serve nested calls.
    if (m_nestedCalls.size > 0)
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
    if (m_long.size == 0 || m_long.running >= m_slots / 2)
        return false;
    if (m_nestedCalls.size > 0)
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
    if (m_long.size == 0)
        return false;
    const Index head = m_long.customers.front().head;
    return now - m_nodes[head].enqueued >= longWaitLimit();
}

Duration SlotScheduler::longWaitLimit() const
{
    return m_long.meanUs == 0 ? DefaultLongWaitLimit : fromUs(m_long.meanUs);
}

bool SlotScheduler::exceedsFairShare(const ClassQueue &queue, const std::string &customer,
                                     std::uint32_t bound) const
{
    if (m_policy.firstComeFirstServed || bound < FairShareReserveDivisor
        || queue.size < bound - bound / FairShareReserveDivisor)
        return false;
    const auto found =
            std::find_if(queue.customers.begin(), queue.customers.end(),
                         [&](const CustomerQueue &entry) { return entry.name == customer; });
    if (found == queue.customers.end())
        return false;
    // The additional share is left for the next new customer.
    return found->size * (queue.customers.size() + 1) >= bound;
}

std::optional<QueuedRequest> SlotScheduler::start(RequestClass requestClass, TimePoint now)
{
    const bool isNestedCall = requestClass == RequestClass::Short && m_nestedCalls.size > 0;
    const Index index = popFront(isNestedCall ? m_nestedCalls : queueOf(requestClass));
    ++queueOf(requestClass).running;
    m_lastStarted = requestClass;
    if (requestClass == RequestClass::Short)
        m_lastShortStart = now;
    m_nodes[index].started = now;
    m_running.push_back(index);
    return m_nodes[index].request;
}

SlotScheduler::Index SlotScheduler::popFront(ClassQueue &queue)
{
    CustomerQueue customer = std::move(queue.customers.front());
    queue.customers.pop_front();
    const Index index = customer.head;
    customer.head = m_nodes[index].next;
    --customer.size;
    --queue.size;
    if (customer.size > 0)
        queue.customers.push_back(std::move(customer));
    return index;
}

template <typename Remove>
void SlotScheduler::removeIf(ClassQueue &queue, const Remove &remove)
{
    for (CustomerQueue &customer : queue.customers) {
        Index previous = None;
        for (Index index = customer.head; index != None;) {
            const Index following = m_nodes[index].next;
            if (remove(m_nodes[index].request)) {
                (previous == None ? customer.head : m_nodes[previous].next) = following;
                if (following == None)
                    customer.tail = previous;
                --customer.size;
                --queue.size;
                release(index);
            } else {
                previous = index;
            }
            index = following;
        }
    }
    std::erase_if(queue.customers,
                  [](const CustomerQueue &customer) { return customer.size == 0; });
}

void SlotScheduler::dropExpired(TimePoint now)
{
    if (now < m_earliestDeadline)
        return;
    m_earliestDeadline = TimePoint::max();
    for (ClassQueue *queue : {&m_nestedCalls, &m_short, &m_long}) {
        removeIf(*queue, [&](const QueuedRequest &request) {
            if (request.deadline <= now) {
                m_expired.push_back(request.id);
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
