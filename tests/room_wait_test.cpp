// Which requests wait for room when all queues are full.
#define BOOST_TEST_MODULE room_wait
#include "berylspur/routing/room_wait.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

using namespace berylspur;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

struct WaitCase
{
    const char *guards; ///< failure that the case guards against
    bool isCall;
    bool ranAndMayRepeat;
    Duration age;
    Duration time; ///< from arrival to deadline
    bool waits;
};

std::ostream &operator<<(std::ostream &out, const WaitCase &sample)
{
    return out << sample.guards;
}

const std::vector<WaitCase> WaitCases {
        {"a new request is held although it could return", false, false, 0ms, 8s, false},
        {"a call is refused at the crest, and its parent fails", true, false, 5ms, 2s, true},
        {"a repeatable request fails with seconds left", false, true, 500ms, 8s, true},
        {"a call waits until no time for its run is left", true, false, 950ms, 2s, false},
        {"a request past its deadline waits", true, true, 3s, 2s, false},
};

} // namespace

BOOST_DATA_TEST_CASE(waits_only_where_a_refusal_wastes_a_run, data::make(WaitCases), sample)
{
    const TimePoint arrived(100s);
    const RoomWait request {sample.isCall, sample.ranAndMayRepeat, arrived, arrived + sample.time};
    BOOST_TEST(waitsForRoom(request, arrived + sample.age) == sample.waits);
}

// A crest of one second: the call is placed within it and answered before its deadline.
BOOST_AUTO_TEST_CASE(a_call_outlasts_a_short_crest)
{
    const TimePoint arrived(100s);
    const RoomWait call {true, false, arrived, arrived + 2s};
    const TimePoint crestEnds = arrived + 800ms;
    TimePoint now = arrived;
    while (now < crestEnds) {
        BOOST_REQUIRE(waitsForRoom(call, now));
        now += PlaceAgainAfter;
    }
    BOOST_TEST((call.deadline - now > 1s));
}
