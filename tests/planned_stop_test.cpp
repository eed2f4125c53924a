// Decisions of a planned stop, without sockets or processes.
#define BOOST_TEST_MODULE planned_stop
#include "berylspur/node/planned_stop.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

using namespace berylspur;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint Began {seconds(1000)};
constexpr StopTimes Times {milliseconds(2500), milliseconds(5700)};

struct AdmissionCase
{
    const char *guards; ///< failure that the case guards against
    milliseconds elapsed;
    bool isNestedCall;
    milliseconds remaining; ///< time until the deadline of the request
    bool isAdmitted;
};

std::ostream &operator<<(std::ostream &out, const AdmissionCase &sample)
{
    return out << sample.guards;
}

const AdmissionCase AdmissionCases[] = {
        {"callers that have not noticed the stop yet are refused", milliseconds(2499), false,
         seconds(15), true},
        {"a request is accepted that the stop limit would break off", milliseconds(2500), false,
         seconds(15), false},
        {"a short request is accepted although its caller should go elsewhere", milliseconds(2500),
         false, milliseconds(100), false},
        {"a running request fails because its call is refused", milliseconds(2500), true,
         milliseconds(3200), true},
        {"a call is accepted that the stop limit would break off", milliseconds(2500), true,
         milliseconds(3201), false},
};

struct LeaveCase
{
    const char *guards;
    milliseconds elapsed;
    UnfinishedWork work;
    bool mayLeave;
};

std::ostream &operator<<(std::ostream &out, const LeaveCase &sample)
{
    return out << sample.guards;
}

const LeaveCase LeaveCases[] = {
        {"a node leaves while callers still send requests", milliseconds(2499), {0, 0}, false},
        {"a stop takes longer than its work", milliseconds(2500), {0, 0}, true},
        {"a node leaves before it has answered its requests", milliseconds(2500), {1, 0}, false},
        {"a node leaves before it has sent its responses", milliseconds(2500), {0, 1}, false},
        {"a stop waits beyond its limit", milliseconds(5701), {1, 0}, true},
        {"a stop waits beyond its limit for a slow reader", milliseconds(5701), {0, 1}, true},
};

} // namespace

BOOST_DATA_TEST_CASE(requests_are_admitted_by_the_phase_of_the_stop,
                     boost::unit_test::data::make(AdmissionCases))
{
    const auto now = Began + sample.elapsed;
    const auto stop = PlannedStop(Times, Began).gateStop(now);
    BOOST_TEST(isAdmitted(stop, sample.isNestedCall, now + sample.remaining) == sample.isAdmitted);
}

BOOST_DATA_TEST_CASE(node_leaves_when_its_work_is_finished,
                     boost::unit_test::data::make(LeaveCases))
{
    const PlannedStop stop(Times, Began);
    BOOST_TEST(stop.mayLeave(sample.work, Began + sample.elapsed) == sample.mayLeave);
}

// Guards against a node that ends before a refusal from its last moments is sent, and against one
// that waits for a slow reader beyond its limit.
BOOST_AUTO_TEST_CASE(node_ends_when_its_responses_are_sent)
{
    const PlannedStop stop(Times, Began);
    BOOST_TEST(!stop.mayEnd({0, 1}, Began + seconds(3)));
    BOOST_TEST(stop.mayEnd({0, 0}, Began + seconds(3)));
    BOOST_TEST(stop.mayEnd({0, 1}, Began + milliseconds(5701)));
}

// Guards against requests that are accepted while the node ends.
BOOST_AUTO_TEST_CASE(nothing_is_admitted_while_the_node_leaves)
{
    const GateStop stop {StopAdmission::None, Began};
    BOOST_TEST(!isAdmitted(stop, true, Began));
    BOOST_TEST(!isAdmitted(stop, false, Began));
}

// Guards against a gate that refuses requests although its node does not stop.
BOOST_AUTO_TEST_CASE(all_requests_are_admitted_without_a_stop)
{
    BOOST_TEST(isAdmitted({}, false, TimePoint::max()));
}
