// The memory budget of a node: what is counted, who waits, and who is closed first.
#define BOOST_TEST_MODULE memory_budget
#include "berylspur/core/memory_budget.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

using namespace berylspur;
namespace data = boost::unit_test::data;

namespace {

constexpr std::size_t KiB = 1024;
constexpr std::size_t Limit = 800 * KiB; // bodies: 700 KiB, short above 600 KiB

/// A holder that frees its memory when it is closed, as connections do.
struct Caller
{
    Caller(MemoryBudget &budget, std::string callerName, std::vector<std::string> &events)
        : name(std::move(callerName)),
          holder(&budget, MemoryUse::Callers,
                 {[this, &events] {
                      events.push_back(name + " closed");
                      holder.releasePromise();
                      holder.hold(0);
                  },
                  [this, &events] { events.push_back(name + " resumed"); }})
    {
    }

    std::string name;
    MemoryHolder holder;
};

struct Fixture
{
    std::unique_ptr<Caller> caller(const std::string &name, std::size_t held, Duration stalled)
    {
        auto created = std::make_unique<Caller>(budget, name, events);
        created->holder.hold(held);
        created->holder.progressed(now - stalled);
        return created;
    }

    TimePoint now = BootClock::now();
    MemoryBudget budget {Limit};
    std::vector<std::string> events;
};

using Events = std::vector<std::string>;

struct HostCase
{
    std::uint64_t hostMiB;
    std::size_t limitMiB;
};

std::ostream &operator<<(std::ostream &out, const HostCase &sample)
{
    return out << sample.hostMiB << " MiB";
}

const std::vector<HostCase> Hosts {{0, 80},    {64, 80},   {160, 80},   {256, 96},
                                   {300, 118}, {512, 144}, {32768, 144}};

} // namespace

// Guards against a default that does not fit the host, or that cannot hold the largest body.
BOOST_DATA_TEST_CASE(default_limit_fits_the_host, data::make(Hosts), sample)
{
    constexpr std::uint64_t MiB = 1u << 20;
    const auto limit = defaultMemoryLimit(sample.hostMiB * MiB);
    BOOST_TEST(limit == sample.limitMiB * MiB);
    BOOST_TEST(MemoryBudget(limit).maxBody() > 64 * MiB);
}

// Guards against memory that stays counted after it was released, or is counted twice.
BOOST_FIXTURE_TEST_CASE(reservations_are_counted_once, Fixture)
{
    MemoryReservation first(&budget, MemoryUse::Bodies, 10);
    MemoryReservation second = std::move(first);
    BOOST_TEST(budget.used() == 10U);
    second.resize(30);
    first = MemoryReservation(&budget, MemoryUse::Responses, 5);
    BOOST_TEST(budget.used() == 35U);
    BOOST_TEST(budget.used(MemoryUse::Bodies) == 30U);
    second = std::move(first);
    BOOST_TEST(budget.used() == 5U);
    BOOST_TEST(budget.used(MemoryUse::Bodies) == 0U);
    BOOST_TEST(budget.peak() == 35U);
    second = {};
    BOOST_TEST(budget.used() == 0U);
}

// Guards against a promise that is lost or counted beside the memory that it was given for.
BOOST_FIXTURE_TEST_CASE(held_memory_uses_up_the_promise, Fixture)
{
    const auto first = caller("a", 0, {});
    BOOST_TEST(first->holder.promise(100 * KiB));
    first->holder.hold(60 * KiB);
    BOOST_TEST(budget.promised() == 40 * KiB);
    BOOST_TEST(budget.used() == 60 * KiB);
    first->holder.releasePromise();
    BOOST_TEST(budget.promised() == 0U);
}

// Guards against a body that overtakes those that wait, and against one that waits on after memory
// was freed.
BOOST_FIXTURE_TEST_CASE(waiting_bodies_continue_in_order, Fixture)
{
    const auto first = caller("a", 0, {});
    const auto second = caller("b", 0, {});
    const auto third = caller("c", 0, {});
    BOOST_TEST(first->holder.promise(500 * KiB));
    BOOST_TEST(!second->holder.promise(300 * KiB));
    BOOST_TEST(!third->holder.promise(100 * KiB)); // would fit, but b came first
    BOOST_TEST(budget.relieve(now));
    BOOST_TEST(events.empty());
    first->holder.releasePromise();
    BOOST_TEST(!budget.relieve(now));
    BOOST_TEST(events == Events({"b resumed", "c resumed"}), boost::test_tools::per_element());
    BOOST_TEST(budget.promised() == 400 * KiB);
}

// Guards against a holder that is destroyed while it waits and is resumed later.
BOOST_FIXTURE_TEST_CASE(destroyed_holder_does_not_wait, Fixture)
{
    const auto first = caller("a", 700 * KiB, {});
    auto second = caller("b", 0, {});
    BOOST_TEST(!second->holder.promise(300 * KiB));
    second.reset();
    first->holder.hold(0);
    BOOST_TEST(!budget.relieve(now));
    BOOST_TEST(events.empty());
    BOOST_TEST(budget.promised() == 0U);
}

// Guards against closing a busy connection, or a small one, before the one that holds the most for
// the longest time.
BOOST_FIXTURE_TEST_CASE(over_the_limit_the_worst_holder_is_closed_first, Fixture)
{
    const auto idle = caller("idle", 2 * KiB, std::chrono::hours(1));
    const auto busy = caller("busy", 400 * KiB, std::chrono::milliseconds(1));
    const auto stalled = caller("stalled", 300 * KiB, std::chrono::seconds(9));
    const auto small = caller("small", 110 * KiB, std::chrono::seconds(9));
    BOOST_TEST(budget.used() > Limit);
    budget.relieve(now);
    BOOST_TEST(events == Events {"stalled closed"}, boost::test_tools::per_element());
    BOOST_TEST(budget.used() <= Limit);
    BOOST_TEST(budget.counters().closedOverLimit == 1U);
}

// Guards against closing ordinary connections for memory that running requests hold.
BOOST_FIXTURE_TEST_CASE(idle_connections_are_not_closed_for_others, Fixture)
{
    const auto idle = caller("idle", 2 * KiB, std::chrono::hours(1));
    const MemoryReservation running(&budget, MemoryUse::Bodies, 2 * Limit);
    BOOST_TEST(budget.relieve(now));
    BOOST_TEST(events.empty());
}

// Guards against bodies that stop short of their end and keep out all others, and against closing
// them while nobody needs their memory.
BOOST_FIXTURE_TEST_CASE(stalled_holders_give_way_to_waiting_ones, Fixture)
{
    const auto stalled = caller("stalled", 400 * KiB, std::chrono::seconds(3));
    const auto recent = caller("recent", 150 * KiB, std::chrono::seconds(1));
    BOOST_TEST(!budget.relieve(now));
    BOOST_TEST(events.empty());
    const auto next = caller("next", 0, {});
    BOOST_TEST(!next->holder.promise(300 * KiB));
    BOOST_TEST(!budget.relieve(now));
    BOOST_TEST(events == Events({"stalled closed", "next resumed"}),
               boost::test_tools::per_element());
    BOOST_TEST(budget.counters().closedStalled == 1U);
}

// Guards against memory that is freed but not returned, and against returning it all the time.
BOOST_AUTO_TEST_CASE(freed_memory_is_returned_rarely)
{
    constexpr std::size_t MiB = 1u << 20;
    auto now = BootClock::now();
    MemoryBudget budget(100 * MiB);
    int needed = 0;
    budget.onReliefNeeded([&needed] { ++needed; });
    MemoryReservation body(&budget, MemoryUse::Bodies, 15 * MiB);
    body.resize(0);
    BOOST_TEST(!budget.takeTrimDue(now));
    body.resize(30 * MiB);
    body.resize(0);
    BOOST_TEST(needed == 1);
    BOOST_TEST(budget.takeTrimDue(now));
    BOOST_TEST(!budget.relieve(now));
    body.resize(30 * MiB);
    body.resize(0);
    BOOST_TEST(needed == 2);
    BOOST_TEST(!budget.takeTrimDue(now));
    BOOST_TEST(budget.relieve(now)); // to be called again until it is due
    now += MemoryBudget::TrimInterval;
    BOOST_TEST(budget.takeTrimDue(now));
    BOOST_TEST(!budget.relieve(now));
}
