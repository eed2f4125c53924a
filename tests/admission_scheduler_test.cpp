// Tests of SlotScheduler: deadlines, queue limits, slots reserved for short requests, fair queuing
// between customers.
#define BOOST_TEST_MODULE admission_scheduler
#include "berylspur/admission/slot_scheduler.h"
#include "property_check.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

using namespace berylspur;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

RequestId makeId(std::uint32_t number)
{
    RequestId id;
    for (int byte = 0; byte < 4; ++byte)
        id.bytes[byte] = static_cast<std::uint8_t>(number >> (8 * byte));
    return id;
}

/// Enqueues requests with consecutive ids.
class RequestSource
{
public:
    explicit RequestSource(SlotScheduler &scheduler) : m_scheduler(scheduler) { }

    std::optional<Refusal> enqueue(RequestClass requestClass, TimePoint now,
                                   const std::string &customer = "c", Duration deadline = 1000s)
    {
        QueuedRequest request;
        request.id = makeId(++m_number);
        request.requestClass = requestClass;
        request.customer = customer;
        request.route = requestClass == RequestClass::Short ? "scan" : "bundle";
        request.deadline = now + deadline;
        return m_scheduler.enqueue(request, now);
    }
    RequestId last() const { return makeId(m_number); }

private:
    SlotScheduler &m_scheduler;
    std::uint32_t m_number = 0;
};

struct Operation
{
    std::uint32_t kind; ///< 0 to 3: enqueue, 4, 5: next, 6: finish, 7: revoke, 8: expire, 9: slots
    std::uint32_t choice;
    std::uint32_t milliseconds; ///< time elapsed before the operation
};

void showValue(const Operation &operation, std::ostream &stream)
{
    stream << "kind " << operation.kind << " choice " << operation.choice << " after "
           << operation.milliseconds << " ms";
}

} // namespace

namespace rc {
template <>
struct Arbitrary<Operation>
{
    static Gen<Operation> arbitrary()
    {
        return gen::build<Operation>(
                gen::set(&Operation::kind, gen::inRange(0u, 10u)),
                gen::set(&Operation::choice, gen::inRange(0u, 64u)),
                gen::set(&Operation::milliseconds, gen::element(0u, 0u, 1u, 5u, 40u)));
    }
};
} // namespace rc

// Guards, for random sequences of operations, against requests that start after their deadline,
// queues that exceed their limit, long requests in slots reserved for short ones, and requests that
// are lost or reported twice.
BOOST_AUTO_TEST_CASE(random_operations_respect_limits)
{
    test::checkProperty(100, [](const std::vector<Operation> &operations) {
        std::uint32_t slots = 4;
        SlotScheduler scheduler(slots);
        struct ExpectedRequest
        {
            RequestClass requestClass;
            TimePoint deadline;
        };
        std::map<RequestId, ExpectedRequest> queued;
        std::map<RequestId, ExpectedRequest> running;
        const auto countOf = [](const auto &requests, RequestClass requestClass) {
            return std::count_if(requests.begin(), requests.end(), [&](const auto &entry) {
                return entry.second.requestClass == requestClass;
            });
        };
        std::uint32_t number = 0;
        TimePoint now {};
        for (const Operation &operation : operations) {
            now += std::chrono::milliseconds(operation.milliseconds);
            if (operation.kind <= 3) {
                QueuedRequest request;
                request.id = makeId(++number);
                request.requestClass =
                        operation.choice % 3 == 0 ? RequestClass::Long : RequestClass::Short;
                request.customer = std::string(1, char('a' + operation.choice % 4));
                request.route = std::to_string(operation.choice % 6);
                request.deadline = now + std::chrono::milliseconds(5 * (operation.choice % 32));
                if (!scheduler.enqueue(request, now)) {
                    const auto requestClass =
                            scheduler.effectiveClass(request.route, request.requestClass);
                    queued[request.id] = {requestClass, request.deadline};
                }
            } else if (operation.kind <= 5) {
                if (const auto request = scheduler.startNext(now)) {
                    RC_ASSERT(queued.count(request->id) == 1u);
                    RC_ASSERT(request->deadline > now);
                    running.insert(queued.extract(request->id));
                    RC_ASSERT(running.size() <= slots);
                    RC_ASSERT(countOf(running, RequestClass::Long) <= scheduler.longSlotLimit());
                }
            } else if (operation.kind == 6 && !running.empty()) {
                const auto entry = std::next(running.begin(), operation.choice % running.size());
                scheduler.finish(entry->first, now);
                running.erase(entry);
            } else if (operation.kind == 7) {
                const RequestId id = makeId(operation.choice % (number + 1));
                const bool isQueued = queued.count(id) == 1;
                const bool revoked = scheduler.revoke(id);
                // A queued id may have expired without being reported yet.
                RC_ASSERT(!revoked || isQueued);
                if (revoked)
                    queued.erase(id);
            } else if (operation.kind == 8) {
                for (const RequestId &id : scheduler.takeExpired(now)) {
                    RC_ASSERT(queued.count(id) == 1u);
                    RC_ASSERT(queued[id].deadline <= now);
                    queued.erase(id);
                }
                for (const auto &[id, expected] : queued)
                    RC_ASSERT(expected.deadline > now);
                RC_ASSERT(scheduler.load().queued == queued.size());
                RC_ASSERT(countOf(queued, RequestClass::Short) <= 2 * 5);
                RC_ASSERT(countOf(queued, RequestClass::Long) <= 2 * 5);
            } else if (operation.kind == 9) {
                // At least the number of running requests, so that the checks above hold.
                slots = std::max<std::uint32_t>(1 + operation.choice % 5,
                                                std::max<std::size_t>(running.size(), 1));
                scheduler.setSlots(slots);
            }
        }
        std::set<RequestId> remaining;
        for (const RequestId &id : scheduler.takeExpired(now))
            remaining.insert(id);
        for (const QueuedRequest &request : scheduler.takeQueued())
            remaining.insert(request.id);
        RC_ASSERT(remaining.size() == queued.size());
        for (const auto &[id, expected] : queued)
            RC_ASSERT(remaining.count(id) == 1u);
    });
}

struct BoundCase
{
    const char *name;
    SchedulerPolicy policy;
    RequestClass requestClass;
    std::uint32_t slots;
    std::uint32_t startedRequests; ///< of 40 requests
    std::uint32_t queuedRequests; ///< queued after that
};

std::ostream &operator<<(std::ostream &stream, const BoundCase &sample)
{
    return stream << sample.name;
}

const BoundCase boundCases[] = {
        // A quarter of the queue is reserved for other customers.
        {"short", {}, RequestClass::Short, 4, 4, 6},
        {"long", {}, RequestClass::Long, 4, 3, 6},
        {"long on 5 slots", {}, RequestClass::Long, 5, 4, 8},
        {"long on 1 slot", {}, RequestClass::Long, 1, 1, 2},
        {"no slots", {}, RequestClass::Short, 0, 0, 0},
        {"first come", {false, true, 2, 2}, RequestClass::Long, 4, 4, 16},
        {"unlimited", {true, false, 2, 2}, RequestClass::Short, 4, 4, 36},
};

// Guards against unbounded queues and against long requests in slots reserved for short ones.
BOOST_DATA_TEST_CASE(queue_and_slot_limits, data::make(boundCases))
{
    SlotScheduler scheduler(sample.slots, sample.policy);
    RequestSource source(scheduler);
    std::uint32_t startedRequests = 0;
    for (int i = 0; i < 40; ++i) {
        const auto refusal = source.enqueue(sample.requestClass, {});
        if (refusal) {
            BOOST_TEST((refusal->code == ErrorCode::NotRunQueueFull));
            BOOST_TEST(refusal->retryAfter.count() > 0);
        }
        startedRequests += scheduler.startNext({}).has_value();
    }
    BOOST_TEST(startedRequests == sample.startedRequests);
    BOOST_TEST(scheduler.load().queued == sample.queuedRequests);
}

// Guards against queueing a request whose expected wait exceeds its deadline.
BOOST_AUTO_TEST_CASE(refuses_requests_that_would_miss_their_deadline)
{
    SlotScheduler scheduler(1);
    RequestSource source(scheduler);
    TimePoint now {};
    BOOST_TEST(!source.enqueue(RequestClass::Short, now));
    scheduler.startNext(now);
    now += 100ms;
    scheduler.finish(source.last(), now);
    BOOST_TEST(toMs(scheduler.load().meanServiceTime) == 100);
    // The slot is free, so the request is admitted although the mean service time exceeds its
    // deadline: the mean may be outdated.
    BOOST_TEST(!source.enqueue(RequestClass::Short, now, "a", 50ms));
    scheduler.startNext(now);
    BOOST_TEST(!source.enqueue(RequestClass::Short, now, "a", 500ms));
    const auto refusal = source.enqueue(RequestClass::Short, now, "b", 50ms);
    BOOST_REQUIRE(refusal.has_value());
    BOOST_TEST((refusal->code == ErrorCode::NotRunDeadline));
    BOOST_TEST((refusal->retryAfter >= 100ms));
}

struct ShareCase
{
    std::uint32_t slots;
    std::uint32_t longRequests; ///< number of long requests out of 4
};

std::ostream &operator<<(std::ostream &stream, const ShareCase &sample)
{
    return stream << sample.slots << " slots, " << sample.longRequests << " of 4 long";
}

const ShareCase shareCases[] = {{1, 1}, {1, 3}, {2, 1}, {4, 1}, {4, 2}, {4, 3}, {5, 2}};

// Guards against starvation of one class while the other keeps the queues full.
BOOST_DATA_TEST_CASE(both_classes_always_progress, data::make(shareCases))
{
    SlotScheduler scheduler(sample.slots);
    RequestSource source(scheduler);
    std::map<RequestId, std::pair<RequestClass, TimePoint>> running;
    std::map<RequestClass, std::uint32_t> finished;
    for (TimePoint now {}; now < TimePoint(60s); now += 5ms) {
        for (std::uint32_t i = 0; i < 4; ++i)
            source.enqueue(i < sample.longRequests ? RequestClass::Long : RequestClass::Short, now);
        for (auto entry = running.begin(); entry != running.end();) {
            if (entry->second.second > now) {
                ++entry;
                continue;
            }
            scheduler.finish(entry->first, now);
            ++finished[entry->second.first];
            entry = running.erase(entry);
        }
        while (const auto request = scheduler.startNext(now)) {
            const auto time = request->requestClass == RequestClass::Long ? 400ms : 20ms;
            running[request->id] = {request->requestClass, now + time};
        }
    }
    // Each class gets at least one slot, or both alternate on a single slot.
    const double share = sample.slots == 1 ? 0.9 * 20 / 420 : 1;
    BOOST_TEST(finished[RequestClass::Short] >= 0.9 * share * 60 / 0.02);
    BOOST_TEST(finished[RequestClass::Long]
               >= 0.9 * (sample.slots == 1 ? 400.0 / 420 : 1) * 60 / 0.4);
}

// Guards against a customer that displaces others by sending 10 times as many requests.
BOOST_AUTO_TEST_CASE(customers_are_served_round_robin)
{
    SlotScheduler scheduler(4);
    RequestSource source(scheduler);
    std::map<std::string, std::uint32_t> served;
    std::deque<RequestId> running;
    TimePoint now {};
    for (int round = 0; round < 1000; ++round) {
        now += 5ms;
        for (int i = 0; i < 10; ++i)
            source.enqueue(RequestClass::Short, now, "heavy");
        source.enqueue(RequestClass::Short, now, "b");
        source.enqueue(RequestClass::Short, now, "c");
        if (running.size() == 4) {
            scheduler.finish(running.front(), now);
            running.pop_front();
        }
        while (const auto request = scheduler.startNext(now)) {
            running.push_back(request->id);
            ++served[request->customer];
        }
    }
    BOOST_TEST(served["heavy"] <= 340u);
    BOOST_TEST(served["b"] >= 330u);
    BOOST_TEST(served["c"] >= 330u);
}

struct ClassCase
{
    const char *name;
    RequestClass declared;
    Duration measured;
    RequestClass expected;
};

std::ostream &operator<<(std::ostream &stream, const ClassCase &sample)
{
    return stream << sample.name;
}

const ClassCase classCases[] = {
        {"short that runs long", RequestClass::Short, 2s, RequestClass::Long},
        {"long that runs short", RequestClass::Long, 20ms, RequestClass::Short},
        {"short", RequestClass::Short, 60ms, RequestClass::Short},
        {"long", RequestClass::Long, 150ms, RequestClass::Long},
};

// Guards against long requests in the slots for short ones because of a wrongly declared class.
BOOST_DATA_TEST_CASE(measured_times_correct_the_class, data::make(classCases))
{
    SlotScheduler scheduler(4);
    TimePoint now {};
    const auto run = [&](const std::string &route, RequestClass requestClass, Duration time,
                         std::uint32_t number) {
        scheduler.enqueue({makeId(number), requestClass, "c", route, now + 100s}, now);
        BOOST_REQUIRE(scheduler.startNext(now).has_value());
        now += time;
        scheduler.finish(makeId(number), now);
    };
    for (std::uint32_t i = 0; i < 40; ++i) {
        run("scan", RequestClass::Short, 20ms, 2 * i);
        run("other", sample.declared, sample.measured, 2 * i + 1);
    }
    BOOST_TEST((scheduler.effectiveClass("other", sample.declared) == sample.expected));
    BOOST_TEST((scheduler.effectiveClass("scan", RequestClass::Short) == RequestClass::Short));
    BOOST_TEST((scheduler.effectiveClass("unknown", RequestClass::Long) == RequestClass::Long));
}

// Guards against nested calls that are queued behind other requests, or refused because of them, at
// a load peak. While such a call waits, its parent holds a slot at another endpoint, and a refusal
// wastes the parent's work.
BOOST_AUTO_TEST_CASE(nested_calls_precede_parents_and_have_a_separate_queue)
{
    constexpr std::uint32_t Slots = 4;
    SlotScheduler scheduler(Slots);
    TimePoint now(1s);
    std::uint32_t number = 0;
    const auto enqueue = [&](bool isNestedCall) {
        QueuedRequest request;
        request.id = makeId(++number);
        request.route = isNestedCall ? "call" : "parent";
        request.deadline = now + 100s;
        request.isNestedCall = isNestedCall;
        return !scheduler.enqueue(request, now).has_value();
    };
    std::uint32_t parents = 0;
    while (enqueue(false))
        ++parents;
    std::uint32_t calls = 0;
    while (enqueue(true))
        ++calls;
    BOOST_TEST(parents > 0U);
    BOOST_TEST(calls >= parents); // the full queue of parents does not limit nested calls
    std::string order;
    while (const auto next = scheduler.startNext(now)) {
        order += next->isNestedCall ? 'c' : 'p';
        now += 10ms;
        scheduler.finish(next->id, now);
    }
    // All nested calls are served first, then all parents.
    BOOST_TEST(order == std::string(calls, 'c') + std::string(parents, 'p'));
}

// Guards against long requests that occupy half of the slots while nested calls are refused; each
// refused nested call wastes the work of its parent. A quarter of the slots keeps long requests
// going.
BOOST_AUTO_TEST_CASE(long_requests_keep_a_quarter_of_the_slots_while_calls_wait)
{
    constexpr std::uint32_t Slots = 8;
    SlotScheduler scheduler(Slots);
    TimePoint now(1s);
    std::uint32_t number = 0;
    const auto enqueue = [&](bool isNestedCall) {
        QueuedRequest request;
        request.id = makeId(++number);
        request.requestClass = isNestedCall ? RequestClass::Short : RequestClass::Long;
        request.route = isNestedCall ? "call" : "bundle";
        request.deadline = now + 100s;
        request.isNestedCall = isNestedCall;
        return !scheduler.enqueue(request, now).has_value();
    };
    constexpr int Steps = 100;
    constexpr std::uint32_t LongSlots = Slots / 4;
    constexpr int StepsPerLong = 10; // duration of a long request in nested call durations
    std::uint32_t longRuns = 0;
    std::uint32_t callRuns = 0;
    std::vector<RequestId> longRunning;
    for (int step = 1; step <= Steps; ++step) {
        while (enqueue(true) || enqueue(false)) {
        }
        std::vector<RequestId> calls;
        while (const auto next = scheduler.startNext(now))
            (next->isNestedCall ? calls : longRunning).push_back(next->id);
        BOOST_REQUIRE_EQUAL(longRunning.size(), LongSlots);
        now += 100ms;
        for (const auto &id : calls)
            scheduler.finish(id, now);
        callRuns += static_cast<std::uint32_t>(calls.size());
        if (step % StepsPerLong == 0) {
            for (const auto &id : std::exchange(longRunning, {}))
                scheduler.finish(id, now);
            longRuns += LongSlots;
        }
    }
    BOOST_TEST(longRuns == 20U);
    BOOST_TEST(callRuns == 600U);
}

// Guards against a queue that is served late as a whole: while nested calls waited, long requests
// got a quarter of the slots, but their wait was estimated with three quarters. They waited for 5 s
// at a target latency of 3 s, and the queue was as long after the load peak.
BOOST_AUTO_TEST_CASE(long_requests_are_served_within_their_target_while_calls_wait)
{
    constexpr std::uint32_t Slots = 10;
    constexpr Duration Step = 10ms;
    constexpr Duration Length = 60s;
    constexpr Duration Settled = 5s; // the first service times are known by then
    constexpr Duration CallTime = 200ms;
    constexpr Duration LongTime = 600ms;
    constexpr Duration LongInterval = 200ms; // 5 a second, of which two slots serve 3.3
    constexpr Duration Target = 3s;
    SlotScheduler scheduler(Slots);
    std::uint32_t number = 0;
    std::map<std::array<std::uint8_t, 16>, TimePoint> arrivals; // of long requests, by id
    std::vector<std::pair<TimePoint, RequestId>> running;
    std::uint32_t longRuns = 0;
    Duration longestWait {};
    const auto enqueue = [&](bool isNestedCall, TimePoint now) {
        QueuedRequest request;
        request.id = makeId(++number);
        request.requestClass = isNestedCall ? RequestClass::Short : RequestClass::Long;
        request.route = isNestedCall ? "call" : "bundle";
        request.deadline = now + 12s;
        request.isNestedCall = isNestedCall;
        request.latencyTarget = isNestedCall ? Duration(800ms) : Target;
        if (!isNestedCall)
            arrivals[request.id.bytes] = now;
        return !scheduler.enqueue(request, now).has_value();
    };
    const TimePoint begin(1s);
    for (TimePoint now = begin; now < begin + Length; now += Step) {
        std::erase_if(running, [&](const auto &entry) {
            if (entry.first > now)
                return false;
            scheduler.finish(entry.second, now);
            return true;
        });
        if ((now - begin) % LongInterval == Duration::zero())
            enqueue(false, now);
        while (enqueue(true, now)) {
        }
        while (const auto next = scheduler.startNext(now)) {
            running.emplace_back(now + (next->isNestedCall ? CallTime : LongTime), next->id);
            if (next->isNestedCall)
                continue;
            ++longRuns;
            if (now > begin + Settled)
                longestWait = std::max<Duration>(longestWait, now - arrivals.at(next->id.bytes));
        }
    }
    BOOST_TEST(toMs(longestWait) <= toMs(Target - LongTime));
    // Two slots for 60 s, less the time until the first long request.
    BOOST_TEST(longRuns >= 195U);
}
