// Queues and slots of one endpoint.
#include "berylspur/owner/slot_scheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace berylspur {

namespace {

/// Weight of a new sample in the moving averages: fast enough to follow a slowdown within about ten
/// requests.
constexpr double MeanWeight = 1.0 / 8;

/// Samples of a route before its class can be corrected, so that one outlier does not move it.
constexpr std::uint32_t ClassSamples = 8;

/// A route counts as long above LongFactor times the mean of the short routes, and as short again
/// below ShortFactor times. The gap keeps a route between them from changing class repeatedly.
constexpr double LongFactor = 10;
constexpr double ShortFactor = 3;

/// Routes come from the manifest; the bound protects the owner if a gate sends others.
constexpr std::size_t MaxRoutes = 8192;

/// Share of the queue (1 / ReservedPart) that only customers below their fair share may use.
/// Without it a customer that keeps the queue full would shut out all others at arrival.
constexpr std::uint32_t ReservedPart = 4;

/// Share of the slots (1 / LongPartBesideCalls) that long requests may use while calls wait.
constexpr std::uint32_t LongPartBesideCalls = 4;

/// Retry-after while no service time is known, and the least that is stated.
constexpr Duration UnknownRetryAfter = std::chrono::milliseconds(100);
constexpr Duration LeastRetryAfter = std::chrono::milliseconds(10);

/// Wait after which long requests are due, while no service time of theirs is known.
constexpr Duration UnknownPatience = std::chrono::seconds(1);

void average(double &mean, double sample)
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
    const WorkClass workClass = classInForce(request, route);
    const bool isCall = request.isCall && workClass == WorkClass::Short;
    ClassQueue &queue = waitingQueue(request, workClass);
    const Duration wait = expectedWait(workClass, isCall);
    if (request.deadline <= now)
        return Refusal {ErrorCode::NotRunDeadline, LeastRetryAfter};
    if (!m_policy.unlimitedQueue) {
        const std::uint32_t bound = queueBound(workClass, isCall);
        const Duration retryAfter = queueOf(workClass).meanUs == 0
                                            ? UnknownRetryAfter
                                            : std::max(wait, LeastRetryAfter);
        if (queue.size >= bound || isBeyondShare(queue, request.customer, bound))
            return Refusal {ErrorCode::NotRunQueueFull, retryAfter};
        // A request that can start at once is never refused by expectation: the learned times may
        // come from a stall that has ended.
        if (!(queue.size == 0 && canStart(workClass, now)) && now + wait > request.deadline)
            return Refusal {ErrorCode::NotRunDeadline, retryAfter};
    }

    const Index index = allocate();
    Node &node = m_nodes[index];
    node.request = request;
    node.workClass = workClass;
    node.route = route;
    node.enqueued = now;
    node.next = None;
    // First come, first served ignores customers: all share one entry of the round.
    const std::string_view name = m_policy.firstCome ? std::string_view() : request.customer;
    auto customer = std::find_if(queue.customers.begin(), queue.customers.end(),
                                 [&](const Customer &entry) { return entry.name == name; });
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

std::optional<QueuedRequest> SlotScheduler::next(TimePoint now)
{
    dropExpired(now);
    const bool longFirst = longNeedsSlot(now);
    for (const WorkClass workClass : {longFirst ? WorkClass::Long : WorkClass::Short,
                                      longFirst ? WorkClass::Short : WorkClass::Long}) {
        if (hasWaiting(workClass) && canStart(workClass, now))
            return start(workClass, now);
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
    ClassQueue &queue = queueOf(node.workClass);
    --queue.running;
    const double serviceUs = std::max<double>(1, static_cast<double>((now - node.started).count()));
    average(queue.meanUs, serviceUs);
    if (node.route)
        learn(*node.route, serviceUs);
    release(index);
}

bool SlotScheduler::revoke(const RequestId &id)
{
    bool removed = false;
    for (ClassQueue *queue : {&m_calls, &m_short, &m_long}) {
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
    for (ClassQueue *queue : {&m_calls, &m_short, &m_long}) {
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
    load.queued = m_calls.size + m_short.size + m_long.size;
    load.meanService = fromUs(m_short.meanUs);
    return load;
}

WorkClass SlotScheduler::effectiveClass(const std::string &route, WorkClass declared) const
{
    const auto found = m_routes.find(route);
    return found == m_routes.end() || found->second.declared != declared ? declared
                                                                         : found->second.workClass;
}

std::uint32_t SlotScheduler::longSlotLimit() const
{
    if (m_policy.firstCome)
        return m_slots;
    const std::uint32_t reserve = std::max<std::uint32_t>(1, m_slots / 4);
    // With a single slot there is nothing to reserve: long requests must progress there too.
    return m_slots > reserve ? m_slots - reserve : std::min<std::uint32_t>(m_slots, 1);
}

SlotScheduler::ClassQueue &SlotScheduler::waitingQueue(const QueuedRequest &request,
                                                       WorkClass workClass)
{
    return request.isCall && workClass == WorkClass::Short ? m_calls : queueOf(workClass);
}

bool SlotScheduler::hasWaiting(WorkClass workClass) const
{
    return queueOf(workClass).size > 0 || (workClass == WorkClass::Short && m_calls.size > 0);
}

SlotScheduler::ClassQueue &SlotScheduler::queueOf(WorkClass workClass)
{
    return m_policy.firstCome || workClass == WorkClass::Short ? m_short : m_long;
}

const SlotScheduler::ClassQueue &SlotScheduler::queueOf(WorkClass workClass) const
{
    return m_policy.firstCome || workClass == WorkClass::Short ? m_short : m_long;
}

SlotScheduler::Route *SlotScheduler::routeOf(const QueuedRequest &request)
{
    auto found = m_routes.find(request.route);
    if (found == m_routes.end()) {
        if (m_routes.size() >= MaxRoutes)
            return nullptr;
        Route route;
        route.declared = route.workClass = request.workClass;
        found = m_routes.emplace(request.route, route).first;
    }
    Route &route = found->second;
    // A new manifest declared another class: what was learned under the old one no longer decides.
    if (route.declared != request.workClass) {
        route.declared = route.workClass = request.workClass;
        route.samples = 0;
        route.meanUs = 0;
    }
    return &route;
}

WorkClass SlotScheduler::classInForce(const QueuedRequest &request, const Route *route) const
{
    return route ? route->workClass : request.workClass;
}

std::uint32_t SlotScheduler::queueBound(WorkClass workClass, bool isCall) const
{
    if (isCall)
        return m_slots * m_policy.callQueuePerSlot;
    if (m_policy.firstCome)
        return m_slots * (m_policy.shortQueuePerSlot + m_policy.longQueuePerSlot);
    return m_slots
           * (workClass == WorkClass::Short ? m_policy.shortQueuePerSlot
                                            : m_policy.longQueuePerSlot);
}

std::uint32_t SlotScheduler::running() const
{
    return static_cast<std::uint32_t>(m_running.size());
}

std::uint32_t SlotScheduler::slotsFor(WorkClass workClass) const
{
    if (m_policy.firstCome)
        return m_slots;
    if (workClass == WorkClass::Long)
        return longSlotLimit();
    return m_slots - std::min(m_slots, m_long.running);
}

Duration SlotScheduler::expectedWait(WorkClass workClass, bool isCall) const
{
    const ClassQueue &queue = queueOf(workClass);
    const std::uint32_t slots = std::max<std::uint32_t>(1, slotsFor(workClass));
    std::uint32_t ahead = workClass == WorkClass::Short ? m_calls.size : 0;
    if (!isCall)
        ahead += queue.size;
    return fromUs(ahead * queue.meanUs / slots);
}

bool SlotScheduler::canStart(WorkClass workClass, TimePoint now) const
{
    const std::uint32_t busy = running();
    if (busy >= m_slots)
        return false;
    if (m_policy.firstCome)
        return true;
    const bool isLastFree = busy + 1 == m_slots;
    if (workClass == WorkClass::Short)
        return !isLastFree || m_long.size == 0 || !longNeedsSlot(now);
    if (m_long.running >= longSlotLimit())
        return false;
    // While calls wait, long requests keep a few slots, so that they go on, and the rest is for
    // calls.
    if (m_calls.size > 0)
        return m_long.running < longSlotsBesideCalls();
    // The last free slot is for the next short request, unless a long request is due.
    if (isLastFree)
        return longNeedsSlot(now);
    // More than half of the slots only where no short requests come, or after a wait: gates learn
    // of a taken slot late, and the short requests that they send meanwhile would wait.
    const bool shortsCome = m_lastShort && now - *m_lastShort < longPatience();
    return m_long.running < m_slots / 2 || !shortsCome || longHasWaited(now);
}

bool SlotScheduler::longNeedsSlot(TimePoint now) const
{
    if (m_policy.firstCome)
        return false;
    // On a single slot the classes take turns, or short requests would never run.
    if (m_slots == 1)
        return m_lastStarted == WorkClass::Short || !hasWaiting(WorkClass::Short);
    if (m_long.running == 0)
        return true;
    if (m_long.size == 0 || m_long.running >= m_slots / 2)
        return false;
    if (m_calls.size > 0)
        return m_long.running < longSlotsBesideCalls();
    // Long requests that have waited get up to half of the slots, their fair share when both
    // classes ask for more than there is.
    return longHasWaited(now);
}

std::uint32_t SlotScheduler::longSlotsBesideCalls() const
{
    return std::max<std::uint32_t>(1, m_slots / LongPartBesideCalls);
}

bool SlotScheduler::longHasWaited(TimePoint now) const
{
    if (m_long.size == 0)
        return false;
    const Index head = m_long.customers.front().head;
    return now - m_nodes[head].enqueued >= longPatience();
}

Duration SlotScheduler::longPatience() const
{
    return m_long.meanUs == 0 ? UnknownPatience : fromUs(m_long.meanUs);
}

bool SlotScheduler::isBeyondShare(const ClassQueue &queue, const std::string &customer,
                                  std::uint32_t bound) const
{
    if (m_policy.firstCome || bound < ReservedPart || queue.size < bound - bound / ReservedPart)
        return false;
    const auto found = std::find_if(queue.customers.begin(), queue.customers.end(),
                                    [&](const Customer &entry) { return entry.name == customer; });
    if (found == queue.customers.end())
        return false;
    // One share more than there are customers: it is left to a customer that arrives next.
    return found->size * (queue.customers.size() + 1) >= bound;
}

std::optional<QueuedRequest> SlotScheduler::start(WorkClass workClass, TimePoint now)
{
    const bool isCall = workClass == WorkClass::Short && m_calls.size > 0;
    const Index index = popFront(isCall ? m_calls : queueOf(workClass));
    ++queueOf(workClass).running;
    m_lastStarted = workClass;
    if (workClass == WorkClass::Short)
        m_lastShort = now;
    m_nodes[index].started = now;
    m_running.push_back(index);
    return m_nodes[index].request;
}

SlotScheduler::Index SlotScheduler::popFront(ClassQueue &queue)
{
    Customer customer = std::move(queue.customers.front());
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
    for (Customer &customer : queue.customers) {
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
    std::erase_if(queue.customers, [](const Customer &customer) { return customer.size == 0; });
}

void SlotScheduler::dropExpired(TimePoint now)
{
    if (now < m_earliestDeadline)
        return;
    m_earliestDeadline = TimePoint::max();
    for (ClassQueue *queue : {&m_calls, &m_short, &m_long}) {
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

void SlotScheduler::learn(Route &route, double serviceUs)
{
    average(route.meanUs, serviceUs);
    // The reference is a sum over all routes, so the check runs on every eighth sample only.
    if (++route.samples % ClassSamples != 0)
        return;
    const double reference = shortReferenceUs(route);
    if (reference == 0)
        return;
    if (route.workClass == WorkClass::Short && route.meanUs > LongFactor * reference)
        route.workClass = WorkClass::Long;
    else if (route.workClass == WorkClass::Long && route.meanUs < ShortFactor * reference)
        route.workClass = WorkClass::Short;
}

double SlotScheduler::shortReferenceUs(const Route &besides) const
{
    double sum = 0;
    double weight = 0;
    for (const auto &[name, route] : m_routes) {
        if (&route == &besides || route.workClass != WorkClass::Short
            || route.samples < ClassSamples)
            continue;
        // The cap keeps a route with very many requests from being the only reference.
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
