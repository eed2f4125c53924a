// Tests of the order by rank in SlotScheduler: order, displacement, expected wait, starvation.
#define BOOST_TEST_MODULE admission_rank
#include "berylspur/admission/slot_scheduler.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace berylspur;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

constexpr Duration ServiceTime = 100ms;

/// A scheduler whose mean service time is known, and requests that are named by a character.
struct Fixture
{
    explicit Fixture(std::uint32_t slots) : scheduler(slots)
    {
        enqueue('w', {});
        scheduler.startNext(now);
        now += ServiceTime;
        scheduler.finish(idOf('w'), now);
    }

    static RequestId idOf(char name)
    {
        RequestId id;
        id.bytes[0] = static_cast<std::uint8_t>(name);
        return id;
    }
    static char nameOf(const RequestId &id) { return static_cast<char>(id.bytes[0]); }

    std::optional<Refusal> enqueue(char name, QueuedRequest request, Duration time = 1000s)
    {
        request.id = idOf(name);
        request.deadline = now + time;
        return scheduler.enqueue(request, now);
    }
    std::optional<Refusal> enqueue(char name, std::uint32_t rank, const std::string &customer = "c")
    {
        QueuedRequest request;
        request.priority = rank;
        request.customer = customer;
        return enqueue(name, request);
    }
    /// Runs queued requests one after the other and returns their names.
    std::string runAll()
    {
        std::string order;
        while (const auto next = scheduler.startNext(now)) {
            order += nameOf(next->id);
            now += ServiceTime;
            scheduler.finish(next->id, now);
        }
        return order;
    }
    std::string displaced()
    {
        std::string names;
        for (const auto &entry : scheduler.takeDisplaced()) {
            BOOST_TEST(entry.retryAfter.count() > 0);
            names += nameOf(entry.id);
        }
        return names;
    }

    SlotScheduler scheduler;
    TimePoint now {};
};

/// Requests in order of arrival, and the expected order of service. Lower case: new requests; upper
/// case: nested calls. The rank is the digit behind the letter.
struct OrderCase
{
    const char *arrivals;
    const char *order;
};

std::ostream &operator<<(std::ostream &stream, const OrderCase &sample)
{
    return stream << sample.arrivals;
}

const OrderCase orderCases[] = {
        {"a2b1c0", "cba"},
        {"a1b1c0d0", "cdab"},
        {"a0b0c0", "abc"},
        // Within a rank, calls go first; calls of a less urgent rank don't keep out urgent
        // requests.
        {"a1B1", "Ba"},
        {"A2b0", "bA"},
        {"A2b0C0", "CbA"},
        {"a7b9c8", "acb"},
};

// Guards against urgent requests behind less urgent ones, and urgent requests behind the calls of
// less urgent parents.
BOOST_DATA_TEST_CASE(ranks_are_served_in_order, data::make(orderCases))
{
    Fixture fixture(4);
    const std::string arrivals = sample.arrivals;
    for (std::size_t i = 0; i < arrivals.size(); i += 2) {
        QueuedRequest request;
        request.priority = static_cast<std::uint32_t>(arrivals[i + 1] - '0');
        request.isNestedCall = arrivals[i] < 'a';
        BOOST_TEST(!fixture.enqueue(arrivals[i], request));
    }
    BOOST_TEST(fixture.runAll() == sample.order);
}

// Guards against a customer that keeps the others of its rank out.
BOOST_AUTO_TEST_CASE(customers_alternate_within_a_rank)
{
    Fixture fixture(4);
    for (const char name : {'a', 'b', 'c'})
        fixture.enqueue(name, 1, "one");
    fixture.enqueue('d', 1, "two");
    fixture.enqueue('e', 0, "one");
    BOOST_TEST(fixture.runAll() == "eadbc");
}

// Guards against a less urgent request that waits for as long as urgent ones come, and against one
// that goes before them more often than it must.
BOOST_AUTO_TEST_CASE(one_start_of_eight_goes_to_another_rank)
{
    Fixture fixture(10); // room for 20
    fixture.enqueue('z', 5);
    fixture.enqueue('y', 5);
    for (char name = 'a'; name < 'r'; ++name)
        BOOST_REQUIRE(!fixture.enqueue(name, 0, std::string(1, name)));
    BOOST_TEST(fixture.runAll() == "abcdefgzhijklmnyopq");
}

// Guards against urgent requests that are refused because less urgent ones fill the queue, and
// against the loss of a displaced request.
BOOST_AUTO_TEST_CASE(an_urgent_request_displaces_the_newest_of_the_last_rank)
{
    Fixture fixture(4); // room for 8
    const char *customers[] = {"one", "two", "three", "four"};
    for (int i = 0; i < 6; ++i)
        BOOST_TEST(!fixture.enqueue(static_cast<char>('a' + i), 2, customers[i % 4]));
    BOOST_TEST(!fixture.enqueue('g', 1, "one"));
    BOOST_TEST(!fixture.enqueue('h', 1, "two"));
    BOOST_TEST(!!fixture.enqueue('i', 2, "five")); // no less urgent request waits
    BOOST_TEST(fixture.displaced() == "");
    BOOST_TEST(!fixture.enqueue('j', 0, "one"));
    BOOST_TEST(!fixture.enqueue('k', 1, "three"));
    BOOST_TEST(fixture.displaced() == "fe");
    BOOST_TEST(fixture.displaced() == ""); // reported once
    BOOST_TEST(fixture.scheduler.load().queued == 8U);
    BOOST_TEST(!fixture.scheduler.revoke(Fixture::idOf('f')));
    const auto order = fixture.runAll();
    BOOST_TEST(order.substr(0, 1) == "j");
    BOOST_TEST(order.size() == 8U);
}

// Guards against a queue in which no less urgent request is left when the turn of one comes.
BOOST_AUTO_TEST_CASE(one_request_in_eight_is_not_displaced)
{
    Fixture fixture(4);
    fixture.enqueue('z', 3, "z");
    int admitted = 0;
    for (char name = 'a'; name < 'm'; ++name)
        admitted += !fixture.enqueue(name, 0, std::string(1, name));
    BOOST_TEST(admitted == 7);
    BOOST_TEST(fixture.displaced() == "");
    BOOST_TEST(fixture.runAll().find('z') != std::string::npos);
}

struct WaitCase
{
    std::uint32_t rank;
    Duration time; ///< until the deadline
    Duration latencyTarget;
    ErrorCode expected;
};

std::ostream &operator<<(std::ostream &stream, const WaitCase &sample)
{
    return stream << "rank " << sample.rank << " with " << toMs(sample.time) << " ms";
}

// Three requests of rank 1 wait for two slots: 150 ms.
const WaitCase waitCases[] = {
        {0, 140ms, {}, ErrorCode::Ok},
        {1, 140ms, {}, ErrorCode::NotRunDeadline},
        {2, 140ms, {}, ErrorCode::NotRunDeadline},
        {2, 450ms, {}, ErrorCode::Ok},
        {0, 10s, 200ms, ErrorCode::Ok},
        {1, 10s, 200ms, ErrorCode::NotRunQueueFull},
        {1, 10s, 800ms, ErrorCode::Ok},
};

// Guards against the refusal of an urgent request for a wait of less urgent ones, and against
// queueing a request that cannot be served in time.
BOOST_DATA_TEST_CASE(the_expected_wait_counts_what_is_served_before, data::make(waitCases))
{
    Fixture fixture(2);
    for (const char name : {'r', 's'}) {
        fixture.enqueue(name, 1, "running");
        BOOST_REQUIRE(fixture.scheduler.startNext(fixture.now).has_value());
    }
    for (const char name : {'a', 'b', 'c'})
        BOOST_REQUIRE(!fixture.enqueue(name, 1, std::string(1, name)));
    QueuedRequest request;
    request.priority = sample.rank;
    request.customer = "other";
    request.latencyTarget = sample.latencyTarget;
    const auto refusal = fixture.enqueue('x', request, sample.time);
    BOOST_TEST(errorName(refusal ? refusal->code : ErrorCode::Ok) == errorName(sample.expected));
}

struct StarvationCase
{
    const char *name;
    std::vector<std::uint32_t> ranks; ///< each with as many requests as the endpoint serves
    bool isNestedCall; ///< of the last rank
};

std::ostream &operator<<(std::ostream &stream, const StarvationCase &sample)
{
    return stream << sample.name;
}

const StarvationCase starvationCases[] = {
        {"two ranks", {0, 1}, false},
        {"three ranks", {0, 1, 2}, false},
        {"calls of the last rank", {0, 2}, true},
};

// Guards against a rank that is never served while more urgent ones take all slots, and against a
// less urgent rank that is served more often than a more urgent one.
BOOST_DATA_TEST_CASE(no_rank_starves, data::make(starvationCases))
{
    constexpr std::uint32_t Slots = 5;
    SlotScheduler scheduler(Slots);
    std::map<std::uint32_t, int> arrived;
    std::map<std::uint32_t, int> started;
    std::vector<std::pair<TimePoint, RequestId>> running;
    std::uint32_t number = 0;
    for (TimePoint now {}; now < TimePoint(200s); now += ServiceTime / Slots) {
        std::erase_if(running, [&](const auto &entry) {
            if (entry.first <= now)
                scheduler.finish(entry.second, now);
            return entry.first <= now;
        });
        for (const auto rank : sample.ranks) {
            QueuedRequest request;
            const auto id = ++number;
            std::copy_n(reinterpret_cast<const std::uint8_t *>(&id), sizeof id,
                        request.id.bytes.begin());
            request.customer = std::to_string(number % 7);
            request.deadline = now + 1200ms;
            request.priority = rank;
            request.isNestedCall = sample.isNestedCall && rank == sample.ranks.back();
            scheduler.enqueue(request, now);
            ++arrived[rank];
        }
        while (const auto next = scheduler.startNext(now)) {
            running.emplace_back(now + ServiceTime, next->id);
            ++started[next->priority];
        }
    }
    int all = 0;
    int previous = arrived[sample.ranks.front()];
    for (const auto rank : sample.ranks) {
        all += started[rank];
        // Equal numbers arrive, so starts compare like shares.
        BOOST_TEST(started[rank] <= previous + arrived[rank] / 20);
        previous = started[rank];
        BOOST_TEST_MESSAGE("rank " << rank << " started " << started[rank] << " of "
                                   << arrived[rank]);
    }
    const double share = static_cast<double>(all) / static_cast<double>(number);
    BOOST_TEST(started[sample.ranks.back()] >= 0.5 * share * arrived[sample.ranks.back()]);
}

} // namespace
