// Tests of arrival schedules and response classification in the load generator.
#define BOOST_TEST_MODULE load
#include "berylspur/load/report.h"
#include "berylspur/load/schedule.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <unistd.h>

using namespace berylspur;
using namespace berylspur::load;

namespace {

ScheduleOptions options(std::uint64_t seed)
{
    ScheduleOptions result;
    result.phases = {{100, 100, 10}, {100, 300, 10}};
    result.longShare = 0.1;
    result.nonIdempotentShare = 0.3;
    result.customers = 5;
    result.seed = seed;
    return result;
}

struct Case
{
    int status;
    const char *header;
    bool tokenMatches;
    Outcome outcome;
};

const Case Cases[] = {
        {200, "", true, Outcome::Answered},        {200, "", false, Outcome::Mismatched},
        {503, "not-run", false, Outcome::NotRun},  {429, "not-run", false, Outcome::NotRun},
        {504, "unknown", false, Outcome::Unknown}, {502, "ran", false, Outcome::Failed},
        {500, "", false, Outcome::Failed},
};

std::ostream &operator<<(std::ostream &out, const Case &sample)
{
    return out << sample.status << " '" << sample.header << "' " << sample.tokenMatches;
}

} // namespace

// Guards against runs that cannot be reproduced from a seed or a recorded schedule.
BOOST_DATA_TEST_CASE(schedule_is_reproducible, boost::unit_test::data::make({1, 2, 3}))
{
    const auto schedule = makeSchedule(options(sample));
    BOOST_TEST((schedule == makeSchedule(options(sample))));
    const auto file = std::filesystem::temp_directory_path()
                      / ("load_test_" + std::to_string(getpid()) + ".txt");
    BOOST_TEST(writeSchedule(file, schedule).has_value());
    BOOST_TEST((readSchedule(file).value() == schedule));
    std::filesystem::remove(file);
}

// Guards against phases that deviate from the requested rate. The phases have 1000 and 2000
// expected arrivals; the bounds are 6 standard deviations of a Poisson count.
BOOST_DATA_TEST_CASE(schedule_follows_the_rates, boost::unit_test::data::xrange(20))
{
    const auto schedule = makeSchedule(options(static_cast<std::uint64_t>(sample)));
    const auto first = std::count_if(schedule.begin(), schedule.end(), [](const Arrival &arrival) {
        return arrival.offset < std::chrono::seconds(10);
    });
    const auto second = static_cast<std::int64_t>(schedule.size()) - first;
    BOOST_TEST(std::abs(first - 1000) < 190);
    BOOST_TEST(std::abs(second - 2000) < 269);
    BOOST_TEST(std::is_sorted(schedule.begin(), schedule.end(),
                              [](const auto &a, const auto &b) { return a.offset < b.offset; }));
}

// Guards against a malformed --rate that is accepted and runs an unintended load.
BOOST_DATA_TEST_CASE(phases_reject, boost::unit_test::data::make({"", "5", "5:", ":5", "a:5",
                                                                  "5:5;6:6", "5--6:1"}))
{
    BOOST_TEST(!parsePhases(sample).has_value());
}

// Guards against counting a refusal, or a response to another request, as a valid response.
BOOST_DATA_TEST_CASE(response_is_classified, boost::unit_test::data::make(Cases))
{
    BOOST_TEST((classifyResponse(sample.status, sample.header, sample.tokenMatches)
                == sample.outcome));
}

// Guards against quantiles that miss a slow tail.
BOOST_AUTO_TEST_CASE(quantiles_show_the_tail)
{
    Report report;
    for (int i = 0; i < 989; ++i)
        report.add(false, Outcome::Answered, std::chrono::milliseconds(10));
    for (int i = 0; i < 11; ++i)
        report.add(false, Outcome::Answered, std::chrono::milliseconds(500));
    report.add(false, Outcome::NotRun, std::chrono::milliseconds(9000));
    BOOST_TEST(report.quantileMs(false, 0.5) == 10.0, boost::test_tools::tolerance(0.013));
    BOOST_TEST(report.quantileMs(false, 0.99) == 500.0, boost::test_tools::tolerance(0.013));
    BOOST_TEST(report.maxMs(false) == 500.0);
    BOOST_TEST(report.total() == 1001u);
}
