// Tests of explain against the platform stand-in, and of its times.
#define BOOST_TEST_MODULE explain
#include "berylspur/ctl/explain.h"
#include "berylspur/ctl/report.h"
#include "berylspur/record/record_task.h"
#include "platform_fixture.h"

using namespace berylspur;
using test::PlatformFixture;

namespace {

constexpr std::int64_t Minute = 60000;
constexpr std::int64_t Now = 29000000 * Minute;

schema::DecisionRecord decision(std::int64_t timeMs, const std::string &endpoint,
                                const std::string &request = "")
{
    schema::DecisionRecord record;
    record.set_time_ms(timeMs);
    record.set_kind(schema::DECISION_EJECT);
    record.set_service("raport");
    record.set_endpoint(endpoint);
    record.set_rule("stall");
    record.set_request_id(request);
    record.set_config_revision(12);
    auto &figure = *record.add_figures();
    figure.set_name("oldest-ms");
    figure.set_value(950);
    return record;
}

struct ExplainFixture : PlatformFixture
{
    PlatformSession session {base(), address()};

    /// Writes \a records as node \a node would.
    void store(const std::string &node, const std::vector<schema::DecisionRecord> &records)
    {
        DecisionLog log(node, 3);
        RecordTask task(base(), log, client);
        for (const auto &record : records)
            log.add(record);
        std::optional<bool> written;
        task.stop([&written](bool all) { written = all; });
        runUntil([&written] { return written.has_value(); });
        BOOST_TEST(*written);
    }
};

} // namespace

// Guards against decision records that can no longer be found after their node has left.
BOOST_FIXTURE_TEST_CASE(explain_finds_records_by_endpoint_and_time, ExplainFixture)
{
    store("n1", {decision(Now - 90000, "raport-1"), decision(Now - 5, "raport-1"),
                 decision(Now, "raport-2"), decision(Now + 50000, "raport-1")});
    store("n2", {decision(Now - 10, "raport-1")});
    const auto found = explain(session, {"raport-1", "", Now - 60000, Now + 60000, Now + 60000});
    BOOST_REQUIRE(found.has_value());
    const auto &records = found.value().records;
    BOOST_REQUIRE(records.size() == 3u);
    BOOST_TEST(records[0].node() == "n2");
    BOOST_TEST(records[1].time_ms() == Now - 5);
    BOOST_TEST(records[2].time_ms() == Now + 50000);
    BOOST_TEST(describe(records[0])
               == "2025-02-19T21:19:59.990Z n2 eject service=raport endpoint=raport-1 rule=stall "
                  "oldest-ms=950 revision=12");
    BOOST_TEST((reportExplanation(found.value()).code == ErrorCode::Ok));
}

// Guards against a search that misses records written late because of an outage.
BOOST_FIXTURE_TEST_CASE(explain_finds_records_written_late, ExplainFixture)
{
    store("n1", {decision(Now, "raport-1", "ab"), decision(Now + 7 * Minute, "raport-1")});
    const ExplainQuery early {"", "ab", Now - 1, Now + 1, Now + 5 * Minute};
    BOOST_TEST(explain(session, early).value().records.empty());
    const ExplainQuery late {"", "ab", Now - 1, Now + 1, Now + 7 * Minute};
    BOOST_TEST(explain(session, late).value().records.size() == 1u);
}

BOOST_FIXTURE_TEST_CASE(explain_reports_what_it_could_not_read, ExplainFixture)
{
    server.store().write(RecordTask::minutePrefix(Now) + "n9/1-1", "\xff\xff", std::nullopt);
    const auto found = explain(session, {"x", "", Now, Now, Now});
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(found.value().objectsFailed == 1u);
    const auto report = reportExplanation(found.value());
    BOOST_TEST(report.code == ErrorCode::CommandNoRecord);
    BOOST_TEST(report.text.find("1 of 1 objects could not be read") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(explain_during_an_outage_is_no_empty_result, ExplainFixture)
{
    server.faults().outage = true;
    BOOST_TEST(test::codeOf(explain(session, {"x", "", Now, Now, Now}))
               == ErrorCode::PlatformUnreachable);
}

BOOST_AUTO_TEST_CASE(times_are_read_and_written_in_utc)
{
    BOOST_TEST(parseTime("2025-02-19T21:20:00Z").value() == Now);
    BOOST_TEST(parseTime("2025-02-19T21:20:00").value() == Now);
    BOOST_TEST(parseTime(std::to_string(Now / 1000)).value() == Now);
    BOOST_TEST(formatTime(Now + 7) == "2025-02-19T21:20:00.007Z");
    for (const auto *text : {"", "now", "2025-02-19", "2025-02-19T21:20:00+02:00", "-1", "1e9"})
        BOOST_TEST(!parseTime(text).has_value(), text);
}
