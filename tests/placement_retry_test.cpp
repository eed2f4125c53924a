// Which requests are placed again, instead of refused, when all queues are full.
#define BOOST_TEST_MODULE placement_retry
#include "berylspur/routing/placement_retry.h"

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
    bool isNestedCall;
    bool failedRunIsRetryable;
    Duration age;
    Duration time; ///< from arrival to deadline
    bool retried;
};

std::ostream &operator<<(std::ostream &out, const WaitCase &sample)
{
    return out << sample.guards;
}

const std::vector<WaitCase> WaitCases {
        {"a new request waits although its caller can retry", false, false, 0ms, 8s, false},
        {"a call is refused at a load peak and its parent fails", true, false, 5ms, 2s, true},
        {"a retryable request fails with seconds left", false, true, 500ms, 8s, true},
        {"a call waits until no time for its run is left", true, false, 950ms, 2s, false},
        {"a request past its deadline waits", true, true, 3s, 2s, false},
};

} // namespace

BOOST_DATA_TEST_CASE(placed_again_only_if_a_refusal_wastes_a_run, data::make(WaitCases), sample)
{
    const TimePoint arrived(100s);
    const UnplacedRequest request {sample.isNestedCall, sample.failedRunIsRetryable, arrived,
                                   arrived + sample.time};
    BOOST_TEST(shouldRetryPlacement(request, arrived + sample.age) == sample.retried);
}

// Guards against a nested call that gives up during a short load peak: it must keep retrying and
// have more than one second left for its run when the peak ends after 800 ms.
BOOST_AUTO_TEST_CASE(call_survives_a_short_load_peak)
{
    const TimePoint arrived(100s);
    const UnplacedRequest call {true, false, arrived, arrived + 2s};
    const TimePoint peakEnd = arrived + 800ms;
    TimePoint now = arrived;
    while (now < peakEnd) {
        BOOST_REQUIRE(shouldRetryPlacement(call, now));
        now += PlacementRetryDelay;
    }
    BOOST_TEST((call.deadline - now > 1s));
}
