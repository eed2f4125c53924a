// Order of the incarnations of endpoints, whatever a node learns first of them.
#define BOOST_TEST_MODULE incarnation_history
#include "berylspur/owner/incarnation_history.h"

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>

using namespace berylspur;
using namespace std::chrono_literals;
namespace data = boost::unit_test::data;
using enum AnnouncementVerdict;

namespace berylspur {
std::ostream &operator<<(std::ostream &out, AnnouncementVerdict verdict)
{
    constexpr const char *Names[] = {"current", "outdated", "has left", "undecided"};
    return out << Names[static_cast<int>(verdict)];
}
} // namespace berylspur

namespace {

const TimePoint Start {1000s};
constexpr std::uint16_t Port = 8301;

/// Something that a node learns of endpoints at one address.
using Step = std::function<void(IncarnationHistory &, TimePoint)>;

Announcement announcement(const std::string &id, std::int64_t startedAtMs, std::uint64_t sequence,
                          EndpointReadiness readiness = EndpointReadiness::Ready)
{
    Announcement result;
    result.id = id;
    result.address = {"10.0.0.1", Port};
    result.readiness = readiness;
    result.startedAtMs = startedAtMs;
    result.sequence = sequence;
    return result;
}

Step announces(const std::string &id, std::int64_t startedAtMs, std::uint64_t sequence,
               EndpointReadiness readiness = EndpointReadiness::Ready)
{
    return [=](IncarnationHistory &history, TimePoint now) {
        const auto arrived = announcement(id, startedAtMs, sequence, readiness);
        if (history.judge(arrived, now) == Current)
            history.recordAnnouncement(arrived, now);
    };
}

Step drains(const std::string &id, std::int64_t startedAtMs, std::uint64_t sequence)
{
    return announces(id, startedAtMs, sequence, EndpointReadiness::Draining);
}

Step leaves(const std::string &id, std::int64_t startedAtMs)
{
    return [=](IncarnationHistory &history, TimePoint now) {
        history.recordDeparture(id, startedAtMs, now);
    };
}

/// The node starts again and gets back what its earlier process published.
Step learns(const std::string &id, std::int64_t startedAtMs, bool hasLeft)
{
    return [=](IncarnationHistory &history, TimePoint now) {
        history.learn({id, startedAtMs, hasLeft}, now);
    };
}

Step found(const std::string &id)
{
    return [=](IncarnationHistory &history, TimePoint now) {
        history.recordHealthCheck(announcement(id, 0, 0), now);
    };
}

struct OrderCase
{
    const char *name;
    std::vector<Step> before;
    Announcement arrives;
    AnnouncementVerdict verdict;
    Duration later = 1s; ///< since the last step
};

std::ostream &operator<<(std::ostream &out, const OrderCase &sample)
{
    return out << sample.name;
}

const std::vector<OrderCase> Orders {
        {"nothing known", {}, announcement("a", 10, 1), Current},
        {"next announcement", {announces("a", 10, 1)}, announcement("a", 10, 2), Current},
        {"reordered", {announces("a", 10, 2)}, announcement("a", 10, 1), Outdated},
        {"repeated", {announces("a", 10, 2)}, announcement("a", 10, 2), Outdated},
        {"restarted under its id", {announces("a", 10, 2)}, announcement("a", 20, 1), Current},
        {"from before its restart", {announces("a", 20, 1)}, announcement("a", 10, 9), Outdated},
        {"without a start", {announces("a", 10, 1)}, announcement("a", 0, 2), Outdated},
        {"successor", {announces("a", 10, 1)}, announcement("b", 20, 1), Current},
        {"predecessor", {announces("b", 20, 1)}, announcement("a", 10, 9), Outdated},

        {"after its withdrawal", {leaves("a", 10)}, announcement("a", 10, 9), HasLeft},
        {"after its draining", {drains("a", 10, 5)}, announcement("a", 10, 9), HasLeft},
        {"overtaken by its draining", {drains("a", 10, 5)}, announcement("a", 10, 4), Outdated},
        {"withdrawal without a start", {leaves("a", 0)}, announcement("a", 10, 9), HasLeft},
        {"restarted after its withdrawal", {leaves("a", 10)}, announcement("a", 20, 1), Current},
        {"withdrawal of a predecessor",
         {announces("a", 20, 1), leaves("a", 10)},
         announcement("a", 20, 2),
         Current},

        {"learned departure", {learns("a", 10, true)}, announcement("a", 10, 9), HasLeft},
        {"learned from two, one of which knows that it left",
         {learns("a", 10, true), learns("a", 10, false)},
         announcement("a", 10, 9),
         HasLeft},
        {"learned late",
         {announces("a", 10, 3), learns("a", 10, true)},
         announcement("a", 10, 4),
         HasLeft},
        {"learned departure of a predecessor",
         {announces("a", 20, 1), learns("a", 10, true)},
         announcement("a", 20, 2),
         Current},
        {"learned start", {learns("a", 20, false)}, announcement("a", 10, 9), Outdated},
        {"learned endpoint goes on", {learns("a", 20, false)}, announcement("a", 20, 1), Current},
        {"found endpoint announces itself", {found("b")}, announcement("b", 20, 1), Current},
        {"predecessor of a found endpoint", {found("b")}, announcement("a", 10, 9), Undecided},
        {"predecessor of a found endpoint that announced itself",
         {found("b"), announces("b", 20, 1)},
         announcement("a", 10, 9),
         Outdated},
        {"predecessor of a found endpoint whose start was learned",
         {learns("b", 20, false), found("b")},
         announcement("a", 10, 9),
         Outdated},
        {"successor of a found endpoint that is gone",
         {found("b")},
         announcement("c", 30, 4),
         Current,
         IncarnationHistory::HealthCheckPrecedence + 1s},
        {"found endpoint restarted under its id before it was found",
         {learns("b", 20, false), found("b")},
         announcement("b", 30, 1),
         Current},
        {"forgotten departure",
         {leaves("a", 10)},
         announcement("a", 10, 9),
         Current,
         IncarnationHistory::DepartureRetention + 1s},
};

} // namespace

// Guards against an earlier incarnation that replaces a later one or comes back after it left.
BOOST_DATA_TEST_CASE(later_incarnations_go_before_earlier_ones, data::make(Orders), sample)
{
    IncarnationHistory history;
    auto now = Start;
    for (const auto &step : sample.before)
        step(history, now += 1s);
    now += sample.later;
    history.expire(now);
    BOOST_TEST(history.judge(sample.arrives, now) == sample.verdict);
}

// Guards against a result that depends on which of the calls of two incarnations comes first.
BOOST_AUTO_TEST_CASE(order_of_arrival_does_not_matter)
{
    const std::vector<Step> steps {announces("a", 10, 1),  drains("a", 10, 2),
                                   leaves("a", 10),        announces("b", 20, 1),
                                   learns("a", 10, false), learns("b", 20, false)};
    std::vector<std::size_t> order {0, 1, 2, 3, 4, 5};
    do {
        IncarnationHistory history;
        for (const auto step : order)
            steps[step](history, Start);
        BOOST_TEST((history.judge(announcement("a", 10, 9), Start) != Current));
        BOOST_TEST((history.judge(announcement("b", 20, 9), Start) == Current));
        BOOST_TEST(history.hasLeft("a"));
        BOOST_TEST(!history.hasLeft("b"));
    } while (std::next_permutation(order.begin(), order.end()));
}

// Guards against a health check by which an endpoint that left is used again.
BOOST_AUTO_TEST_CASE(a_health_check_does_not_bring_back_an_endpoint_that_left)
{
    IncarnationHistory history;
    history.learn({"a", 10, true}, Start);
    BOOST_TEST(!history.recordHealthCheck(announcement("a", 0, 0), Start).has_value());
    BOOST_TEST(history.recordHealthCheck(announcement("b", 0, 0), Start).has_value());
}

// Guards against memory that grows with the number of endpoints that come and go.
BOOST_AUTO_TEST_CASE(number_of_incarnations_is_bounded)
{
    IncarnationHistory history;
    for (int i = 0; i < 1000; ++i)
        history.recordDeparture("e-" + std::to_string(i), i + 1, Start + i * 1ms);
    BOOST_TEST(history.size() == IncarnationHistory::MaxIncarnations);
    BOOST_TEST(history.hasLeft("e-999"));
    history.expire(Start + IncarnationHistory::DepartureRetention + 2s);
    BOOST_TEST(history.size() == 0U);
}
