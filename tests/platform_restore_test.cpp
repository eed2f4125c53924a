// Client of the platform's object API across a return of the store from an older copy.
#define BOOST_TEST_MODULE platform_restore
#include "platform_fixture.h"

#include <boost/test/data/test_case.hpp>
#include <ostream>
#include <vector>

using namespace berylspur;
using test::codeOf;
using test::PlatformFixture;
namespace data = boost::unit_test::data;

namespace {

constexpr const char *Head = "config/head";

struct RestoreFixture : PlatformFixture
{
    RestoreFixture()
    {
        server.put(Head, "first");
        server.store().takeCopy();
    }

    /// Reads Head and watches it from the version read.
    void readAndWatch()
    {
        held = read(Head).value().version;
        watch();
        runUntil([this] { return server.pendingCalls() == 1; });
    }

    /// Watches Head from the version last read.
    void watch()
    {
        seen.reset();
        client.watch(Head, held,
                     [this](Result<PlatformObject> object) { seen.emplace(std::move(object)); });
    }

    void writeOthers(int count)
    {
        for (int i = 0; i < count; ++i)
            server.put("other/x", std::to_string(++m_lastOther));
    }

    /// Runs the event loop until the watch has ended or \a limit has passed; returns the value that
    /// it delivered.
    std::string valueWithin(Duration limit)
    {
        const auto until = BootClock::now() + limit;
        while (!seen && BootClock::now() < until) {
            const timeval slice {0, 5000};
            event_base_loopexit(base(), &slice);
            event_base_dispatch(base());
        }
        return seen && *seen ? seen->value().value : std::string();
    }

    std::optional<Result<PlatformObject>> seen;

    decltype(PlatformObject::version) held {};

private:
    int m_lastOther = 0;
};

constexpr Duration Soon = std::chrono::seconds(2);

struct ReturnCase
{
    const char *guards; ///< failure that the case guards against
    int lostWrites; ///< writes to other objects that the return undoes
    int writesBefore; ///< writes to other objects after the return, before the change
    int writesAfter; ///< and after the change, before the watch is renewed
    bool readsAgain; ///< the object is read between the return and the change
};

std::ostream &operator<<(std::ostream &out, const ReturnCase &sample)
{
    return out << sample.guards;
}

const std::vector<ReturnCase> ReturnCases {
        {"a change below the revision held is passed over", 10, 2, 0, false},
        {"a change at the revision held is passed over", 10, 10, 0, false},
        {"a change below the watched revision is missed, which the store has passed", 10, 2, 20,
         false},
        {"the same after a read in the new era", 10, 2, 20, true},
};

} // namespace

// Each case names the failure it guards against.
BOOST_DATA_TEST_CASE_F(RestoreFixture, a_watch_delivers_the_change_after_a_return,
                       data::make(ReturnCases), sample)
{
    writeOthers(sample.lostWrites);
    server.put(Head, "lost");
    readAndWatch();
    server.restoreCopy(standin::WaitingWatches::Closed);
    runUntil([this] { return seen.has_value(); });
    BOOST_TEST(codeOf(*seen) != ErrorCode::Ok);
    if (sample.readsAgain)
        held = read(Head).value().version;
    writeOthers(sample.writesBefore);
    server.put(Head, "changed");
    writeOthers(sample.writesAfter);
    watch();
    BOOST_TEST(valueWithin(Soon) == "changed");
}

// Guards against a watch that does not deliver the change after the store has answered it with
// status 410 at its return.
BOOST_FIXTURE_TEST_CASE(a_watch_that_the_return_ends_delivers_the_change, RestoreFixture)
{
    writeOthers(10);
    server.put(Head, "lost");
    readAndWatch();
    server.restoreCopy(standin::WaitingWatches::Gone);
    server.put(Head, "changed");
    BOOST_TEST(valueWithin(Soon) == "changed");
}

// Guards against a conditional write that replaces another object than the one that was read,
// because the store gave the same revision out again.
BOOST_FIXTURE_TEST_CASE(a_version_of_an_earlier_era_does_not_satisfy_a_condition, RestoreFixture)
{
    const auto lost = write(Head, "lost").value();
    server.restoreCopy();
    server.put(Head, "written again");
    BOOST_TEST(read(Head).value().value == "written again");
    BOOST_TEST(codeOf(write(Head, "conditional", lost)) == ErrorCode::PlatformConflict);
    BOOST_TEST(read(Head).value().value == "written again");
}

// Guards against a list that lacks objects because its pages come from two eras: the object that
// the first page did not have yet is before the place where the second one continues.
BOOST_FIXTURE_TEST_CASE(a_list_contains_no_pages_of_two_eras, RestoreFixture)
{
    constexpr int Objects = 700;
    server.put("many/0", "x");
    for (int i = 0; i < Objects; ++i)
        server.put("many/" + std::to_string(10000 + i), "x");
    server.store().takeCopy();
    BOOST_TEST(server.store().remove("many/0").version > 0U);
    std::optional<Result<std::vector<PlatformObject>>> list;
    client.list("many/", [&list](auto result) { list.emplace(std::move(result)); });
    runUntil([this] { return server.accounting().list == 1; });
    server.restoreCopy();
    runUntil([&list] { return list.has_value(); });
    BOOST_REQUIRE(list->has_value());
    BOOST_TEST(list->value().size() == Objects + 1U);
}

// Guards against a client that takes a response of an earlier era, which arrives late, for the
// present state, or that returns to that era.
BOOST_FIXTURE_TEST_CASE(a_late_response_of_an_earlier_era_is_not_delivered, RestoreFixture)
{
    server.put(Head, "lost");
    server.faults().delayMs = 300;
    std::optional<Result<PlatformObject>> late;
    std::optional<ErrorCode> lateWrite;
    client.read(Head, [&late](Result<PlatformObject> object) { late.emplace(std::move(object)); });
    client.write("other/x", "x", std::nullopt,
                 [&lateWrite](const auto &result) { lateWrite = codeOf(result); });
    runUntil([this] { return server.pendingCalls() == 2; });
    server.faults().delayMs = 0;
    server.restoreCopy();
    BOOST_TEST(read(Head).value().value == "first");
    BOOST_TEST(!late.has_value());
    runUntil([&] { return late && lateWrite; });
    BOOST_TEST(codeOf(*late) == ErrorCode::PlatformUnreachable);
    // The write took effect in the earlier era, and it is not known whether the copy has it.
    BOOST_TEST(*lateWrite == ErrorCode::PlatformTimeout);
    BOOST_TEST(read(Head).value().version.era == server.store().era());
}

// Guards against a return of the store that is not reported, or reported more than once.
BOOST_FIXTURE_TEST_CASE(each_return_is_reported_once, RestoreFixture)
{
    int returns = 0;
    client.restored.connect([&returns] { ++returns; });
    BOOST_TEST(read(Head).has_value());
    BOOST_TEST(returns == 0);
    for (int i = 1; i <= 2; ++i) {
        server.restoreCopy();
        BOOST_TEST(read(Head).has_value());
        BOOST_TEST(read(Head).has_value());
        BOOST_TEST(returns == i);
    }
}
