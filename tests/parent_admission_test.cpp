// Tests of ParentAdmission and CallStatistics: which parents are refused, and what owners report.
#define BOOST_TEST_MODULE parent_admission
#include "berylspur/admission/parent_admission.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace berylspur;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;

namespace {

struct AdmissionCase
{
    const char *name;
    std::vector<std::uint32_t> ranks;
    std::uint32_t rank;
    CallReport report;
    std::optional<Duration> expectedWait; ///< at the called service
    Duration remaining;
    Duration reportAge;
    int least; ///< admitted of 400 requests
    int most;
};

std::ostream &operator<<(std::ostream &stream, const AdmissionCase &sample)
{
    return stream << sample.name;
}

const AdmissionCase admissionCases[] = {
        {"service with room", {0, 2}, 2, {"b", 0.7, 0, 100ms, 5ms}, 0ms, 2s, 0ms, 400, 400},
        {"no load known", {0, 2}, 2, {"b", 0.7, 0, 100ms, 5ms}, {}, 2s, 0ms, 400, 400},
        {"wait beyond the deadline", {0, 2}, 2, {"b", 0.7, 0, 100ms, 5ms}, 2s, 2s, 0ms, 98, 106},
        {"the same, old report", {0, 2}, 2, {"b", 0.7, 0, 100ms, 5ms}, 2s, 2s, 1s, 400, 400},
        {"wait that fits", {0, 2}, 2, {"b", 0.7, 0, 100ms, 5ms}, 1s, 2s, 0ms, 400, 400},
        {"less urgent ones first", {0, 2}, 2, {"b", 0.7, 0, 100ms, 5ms}, 1500ms, 2s, 0ms, 98, 106},
        {"urgent ones last", {0, 2}, 0, {"b", 0.7, 0, 100ms, 5ms}, 1500ms, 2s, 0ms, 400, 400},
        {"refusals", {0, 2}, 2, {"b", 0.7, 0.4, 100ms, 5ms}, 0ms, 2s, 0ms, 98, 190},
        {"refusals, urgent", {0, 2}, 0, {"b", 0.7, 0.4, 100ms, 5ms}, 0ms, 2s, 0ms, 400, 400},
        {"many refusals, urgent", {0, 2}, 0, {"b", 0.7, 0.6, 100ms, 5ms}, 0ms, 2s, 0ms, 98, 190},
        {"few refusals", {0, 2}, 2, {"b", 0.7, 0.2, 100ms, 5ms}, 0ms, 2s, 0ms, 400, 400},
        {"long waits", {0, 2}, 2, {"b", 0.7, 0, 100ms, 300ms}, 0ms, 2s, 0ms, 200, 260},
        {"rarely called", {0, 2}, 2, {"b", 0.05, 0.9, 100ms, 5ms}, 2s, 2s, 0ms, 400, 400},
        {"one rank", {1}, 1, {"b", 0.7, 0.9, 100ms, 5ms}, 2s, 2s, 0ms, 400, 400},
        {"rank of a customer", {0, 2}, 7, {"b", 0.7, 0.4, 100ms, 5ms}, 0ms, 2s, 0ms, 98, 190},
};

// Guards against parents that run for nothing because their calls find no room, against refusals
// without a known shortage, and against refusing urgent parents first. Some parents of a refused
// rank are always admitted, so that the gate learns of the recovery.
BOOST_DATA_TEST_CASE(parents_are_admitted_by_the_room_for_their_calls, data::make(admissionCases))
{
    ParentAdmission admission;
    admission.setRanks(sample.ranks);
    TimePoint now(100s);
    int admitted = 0;
    for (int i = 0; i < 400; ++i) {
        now += 50ms;
        admission.onReport("route", {sample.report}, now - sample.reportAge);
        const auto refusal = admission.check(
                {"route", sample.rank, sample.remaining},
                [&](const std::string &) { return sample.expectedWait; }, now);
        admitted += refusal ? 0 : 1;
        if (refusal) {
            BOOST_TEST(refusal->service == "b");
            BOOST_TEST(refusal->retryAfter.count() > 0);
        }
        BOOST_TEST(!admission.check({"other", sample.rank, sample.remaining}, {}, now));
    }
    BOOST_TEST(admitted >= sample.least);
    BOOST_TEST(admitted <= sample.most);
}

// Guards against parents that are refused for good once their called service has recovered, and
// against state of routes that are gone.
BOOST_AUTO_TEST_CASE(all_parents_are_admitted_after_the_recovery)
{
    ParentAdmission admission;
    admission.setRanks({0, 1});
    const auto waitOf = [](const std::string &) { return std::optional<Duration>(0ms); };
    TimePoint now(100s);
    int refused = 0;
    for (int i = 0; i < 1000; ++i) {
        now += 50ms;
        const bool isShort = i < 200;
        admission.onReport("route", {{"b", 1, isShort ? 0.9 : 0.0, 100ms, 0ms}}, now);
        const auto refusal = admission.check({"route", 1, 2s}, waitOf, now);
        refused += i >= 600 && refusal ? 1 : 0;
    }
    BOOST_TEST(refused == 0);
    admission.expire(now + ParentAdmission::Retention);
    BOOST_TEST(admission.size() == 0U);
}

// Guards against reports that attribute calls to the wrong route or service, or never age.
BOOST_AUTO_TEST_CASE(calls_are_counted_by_route_and_service)
{
    CallStatistics statistics;
    TimePoint now(100s);
    BOOST_TEST(statistics.calls("a", now).empty());
    for (int i = 0; i < 20; ++i) {
        statistics.onRun("a", now);
        statistics.onRun("quiet", now);
        statistics.onCallEnded("a", {"one", false, 40ms, 10ms}, now);
        if (i % 2 == 0)
            statistics.onCallEnded("a", {"two", i % 4 == 0, 20ms, 0ms}, now);
        statistics.onCallEnded("unknown", {"one"}, now);
    }
    const auto calls = statistics.calls("a", now);
    BOOST_REQUIRE(calls.size() == 2U);
    BOOST_TEST(calls[0].service == "one");
    BOOST_TEST(calls[0].callsPerRun == 1.0);
    BOOST_TEST(toMs(calls[0].usualTime) == 40);
    BOOST_TEST(toMs(calls[0].wait) == 10);
    BOOST_TEST(calls[1].callsPerRun == 0.5);
    BOOST_TEST(calls[1].refusedShare == 0.5);
    BOOST_TEST(statistics.calls("quiet", now).empty());
    BOOST_TEST(statistics.calls("a", now + 2 * CallStatistics::Window).empty());
    statistics.expire(now + 20 * CallStatistics::Window);
    BOOST_TEST(statistics.size() == 0U);
}

} // namespace
