// Tests of log parsing and of merging the log lines of one request from several nodes.
#define BOOST_TEST_MODULE request_trace
#include "berylspur/ctl/request_trace.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace berylspur;
namespace data = boost::unit_test::data;

namespace {

struct LineCase
{
    const char *text;
    bool isLine;
};

std::ostream &operator<<(std::ostream &out, const LineCase &sample)
{
    return out << sample.text;
}

const std::vector<LineCase> LineCases {
        {"2026-12-04 13:02:41,123 INFO node=n-1 decision kind=refuse request=ab", true},
        {"collector 7 2026-12-04 13:02:41,123 WARN node=n-1 reload-failed cause=signal", true},
        {"2026-12-04 13:02:41,123 INFO node=n-1 stopped", true},
        {"2026-12-04 13:02:41 INFO node=n-1 stopped", false},
        {"2026-12-04 13:02:41,x23 INFO node=n-1 stopped", false},
        {" node=", false},
        {"node=n-1", false},
        {"", false},
};

std::string line(int second, const char *node, const char *rest)
{
    char text[200];
    std::snprintf(text, sizeof text, "2026-12-04 13:00:%02d,000 INFO node=%s decision %s\n", second,
                  node, rest);
    return text;
}

} // namespace

// Guards against a search that stops at a line of another program or at a truncated line, both of
// which occur in the output of log collectors.
BOOST_DATA_TEST_CASE(lines_are_recognised, data::make(LineCases), sample)
{
    BOOST_TEST(parseLogLine(sample.text).has_value() == sample.isLine);
}

BOOST_AUTO_TEST_CASE(fields_keep_quoted_values)
{
    const auto parsed = parseLogLine("2026-12-04 13:02:41,250 INFO node=n-1 decision kind=retry "
                                     "rule=\"retry after \\\"x\\\" = y\" request=\"\" code=4002");
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed->timeMs % 1000 == 250);
    BOOST_TEST(parsed->node == "n-1");
    BOOST_TEST(parsed->event == "decision");
    BOOST_TEST(parsed->field("rule") == "retry after \"x\" = y");
    BOOST_TEST(parsed->field("request").empty());
    BOOST_TEST(parsed->field("code") == "4002");
}

// Guards against an effect that is listed before its cause because logs are read one after the
// other, and against a clock step that reverses the lines of one node.
BOOST_AUTO_TEST_CASE(lines_of_nodes_are_merged_and_a_clock_step_keeps_their_order)
{
    std::istringstream gate(line(10, "gate", "kind=retry request=r1 code=1")
                            + line(11, "gate", "kind=refuse request=other")
                            + line(4, "gate", "kind=refuse request=r1 code=2"));
    std::istringstream owner(line(9, "owner", "kind=shed request=r1 code=3")
                             + line(12, "owner", "kind=dispatch request=r1 code=4"));
    RequestTrace trace("r1");
    trace.read(gate);
    trace.read(owner);
    std::string codes;
    for (const auto &entry : trace.orderedLines())
        codes += entry.field("code");
    BOOST_TEST(codes == "3124");
    BOOST_TEST(trace.linesRead() == 5U);
    BOOST_REQUIRE(trace.nodesWithSteppedClock().size() == 1U);
    BOOST_TEST(trace.nodesWithSteppedClock().front() == "gate");
}

// Guards against matching a request whose id only contains the id searched for, and against
// matching the id in another field.
BOOST_AUTO_TEST_CASE(only_the_request_itself_is_found)
{
    std::istringstream log(line(1, "n", "kind=answer request=r11")
                           + line(2, "n", "kind=answer endpoint=r1 request=x")
                           + line(3, "n", "kind=answer request=r1"));
    RequestTrace trace("r1");
    trace.read(log);
    BOOST_TEST(trace.orderedLines().size() == 1U);
}
