// Tests of DecisionLog and RecordTask: memory limit, lost responses and write rate.
#define BOOST_TEST_MODULE record
#include "berylspur/record/record_task.h"
#include "platform_fixture.h"
#include "property_check.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <set>

using namespace berylspur;
using test::PlatformFixture;

namespace {

constexpr std::int64_t Minute = 60000;

schema::DecisionRecord makeRecord(std::int64_t timeMs, std::size_t detail = 100)
{
    schema::DecisionRecord entry;
    entry.set_time_ms(timeMs);
    entry.set_kind(schema::DECISION_SHED);
    entry.set_service("raport");
    entry.set_endpoint("raport-1");
    entry.set_rule(std::string(detail, 'r'));
    return entry;
}

struct RecordFixture : PlatformFixture
{
    DecisionLog log {"n1", 7};
    RecordTask task {base(), log, client};

    /// Flushes once and waits for the end of the write.
    void flush()
    {
        const auto before = task.batchesWritten() + task.failedWrites();
        task.flush();
        runUntil([&] { return task.batchesWritten() + task.failedWrites() > before; });
    }
    bool stop()
    {
        std::optional<bool> written;
        task.stop([&written](bool all) { written = all; });
        runUntil([&written] { return written.has_value(); });
        return *written;
    }
    /// All stored batches.
    std::vector<schema::DecisionBatch> stored()
    {
        std::vector<schema::DecisionBatch> batches;
        for (const auto &[name, version] : server.store().list("decisions/")) {
            schema::DecisionBatch batch;
            BOOST_TEST(batch.ParseFromString(server.store().read(name)->value));
            batches.push_back(std::move(batch));
        }
        return batches;
    }
};

} // namespace

// Guards against memory usage that grows during an outage of hours, and against dropped records
// that are not counted.
BOOST_FIXTURE_TEST_CASE(buffer_is_bounded_while_the_platform_is_unavailable, RecordFixture)
{
    server.faults().outage = true;
    constexpr std::uint64_t Records = 60000;
    for (std::uint64_t i = 0; i < Records; ++i) {
        log.add(makeRecord(static_cast<std::int64_t>(i) + 1));
        BOOST_REQUIRE(log.bytes() <= DecisionLog::MaxBytes);
        if (i % 10000 == 0)
            flush();
    }
    BOOST_TEST(log.dropped() > 0u);
    BOOST_TEST(log.size() + log.dropped() == Records);
    BOOST_TEST(server.store().size() == 0u);

    server.faults().outage = false;
    const auto lost = log.dropped();
    while (log.size() > 0)
        flush();
    std::uint64_t count = 0;
    std::uint64_t reported = 0;
    std::int64_t newest = 0;
    for (const auto &batch : stored()) {
        count += static_cast<std::uint64_t>(batch.records_size());
        reported = std::max(reported, batch.dropped());
        for (const auto &entry : batch.records())
            newest = std::max(newest, entry.time_ms());
    }
    BOOST_TEST(count == Records - lost);
    BOOST_TEST(reported == lost);
    // The oldest records are dropped first.
    BOOST_TEST(newest == static_cast<std::int64_t>(Records));
    BOOST_TEST(log.bytes() == 0u);
}

// Guards against a batch that is stored twice, also under a second name, after the response to its
// write was lost.
BOOST_FIXTURE_TEST_CASE(lost_response_stores_a_batch_once, RecordFixture)
{
    log.add(makeRecord(1 * Minute));
    server.faults().loseWriteResponses = 1;
    flush();
    BOOST_TEST(task.failedWrites() == 1u);
    BOOST_TEST(server.store().size() == 1u);
    // A record of a later minute must not change the name of a batch that may already be stored.
    log.add(makeRecord(3 * Minute));
    flush();
    BOOST_TEST(server.store().size() == 1u);
    flush();
    const auto batches = stored();
    BOOST_REQUIRE(batches.size() == 2u);
    BOOST_TEST(batches[0].batch() == 1u);
    BOOST_TEST(batches[0].records_size() == 1);
    BOOST_TEST(batches[1].batch() == 2u);
    BOOST_TEST(batches[1].records_size() == 1);
    BOOST_TEST(log.size() == 0u);
}

// Guards against a changed object name format, which tools rely on to find records.
BOOST_FIXTURE_TEST_CASE(object_name_has_minute_node_incarnation_and_batch, RecordFixture)
{
    log.add(makeRecord(29000000LL * Minute + 5));
    flush();
    const auto names = server.store().list("");
    BOOST_REQUIRE(names.size() == 1u);
    BOOST_TEST(names[0].first == "decisions/0029000000/n1/7-1");
}

// Guards against batches that exceed the platform's limit of 1 MB per value.
BOOST_FIXTURE_TEST_CASE(batches_fit_into_a_platform_value, RecordFixture)
{
    for (int i = 0; i < 2500; ++i)
        log.add(makeRecord(Minute, 900));
    log.add(makeRecord(Minute, 2u << 20));
    BOOST_TEST(log.dropped() == 1u);
    while (log.size() > 0)
        flush();
    BOOST_TEST(stored().size() == 3u);
    for (const auto &batch : stored())
        BOOST_TEST(batch.ByteSizeLong() <= DecisionLog::MaxBatchBytes);
}

// Guards against platform calls while there is nothing to write.
BOOST_FIXTURE_TEST_CASE(empty_log_causes_no_platform_call, RecordFixture)
{
    task.flush();
    BOOST_TEST(client.calls() == 0u);
}

// Guards against concurrent writes, which would add load to a slow platform.
BOOST_FIXTURE_TEST_CASE(one_write_at_a_time, RecordFixture)
{
    log.add(makeRecord(Minute));
    task.flush();
    log.add(makeRecord(Minute));
    task.flush();
    task.flush();
    BOOST_TEST(client.calls() == 1u);
}

// Guards against records that are lost at a planned stop, also with more than one batch.
BOOST_FIXTURE_TEST_CASE(planned_stop_writes_everything, RecordFixture)
{
    for (int i = 0; i < 2500; ++i)
        log.add(makeRecord(Minute, 900));
    task.start();
    BOOST_TEST(stop());
    BOOST_TEST(log.size() == 0u);
    BOOST_TEST(stored().size() == 3u);
}

// Guards against records that are lost when a planned stop begins during a write.
BOOST_FIXTURE_TEST_CASE(planned_stop_during_a_write_writes_the_rest, RecordFixture)
{
    log.add(makeRecord(Minute));
    task.flush();
    log.add(makeRecord(Minute));
    BOOST_TEST(stop());
    BOOST_TEST(stored().size() == 2u);
}

// Guards against a planned stop that hangs during an outage.
BOOST_FIXTURE_TEST_CASE(planned_stop_during_an_outage_reports_failure, RecordFixture)
{
    log.add(makeRecord(Minute));
    server.faults().outage = true;
    BOOST_TEST(!stop());
    BOOST_TEST(log.size() == 1u);
}

// Guards against a write rate that depends on the number of decisions.
BOOST_DATA_TEST_CASE(writes_do_not_grow_with_records, boost::unit_test::data::make({1, 10, 5000}))
{
    RecordFixture fixture;
    constexpr int Flushes = 5;
    for (int i = 0; i < Flushes; ++i) {
        for (int j = 0; j < sample; ++j)
            fixture.log.add(makeRecord(Minute));
        fixture.flush();
    }
    BOOST_TEST(fixture.server.accounting().write == static_cast<std::uint64_t>(Flushes));
}

// Guards against a total write rate that grows with the number of nodes.
BOOST_DATA_TEST_CASE(fleet_writes_at_most_20_objects_a_second,
                     boost::unit_test::data::make({1, 35, 99, 100, 101, 710, 11000}))
{
    const auto interval = DecisionLog::flushInterval(static_cast<std::size_t>(sample));
    const double perSecond = sample * 1e6 / static_cast<double>(interval.count());
    BOOST_TEST(perSecond <= 20.0);
    BOOST_TEST((interval >= std::chrono::seconds(5)));
}

// Guards, for random sequences of records, failures and lost responses, against records that are
// stored twice or lost without being counted.
BOOST_AUTO_TEST_CASE(each_record_is_stored_once_or_counted)
{
    test::checkProperty(300, [] {
        DecisionLog log("n1", 7);
        std::map<std::string, schema::DecisionBatch> objects;
        std::int64_t added = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
        const auto tryWrite = [&](int outcome) {
            const auto batch = log.nextBatch();
            if (!batch)
                return;
            const auto name = RecordTask::objectName(*batch);
            const bool isStored = objects.contains(name);
            if (outcome != 1)
                objects.emplace(name, *batch);
            // 0: stored, 1: refused, 2: stored, but the response was lost
            if (outcome == 0 || (outcome == 2 && isStored))
                log.written();
            else
                log.failed();
        };
        for (const int step : steps) {
            if (step < 3) {
                tryWrite(step);
                continue;
            }
            const int count = *rc::gen::inRange(1, 2000);
            for (int i = 0; i < count; ++i)
                log.add(makeRecord(++added * Minute / 100, 1000));
        }
        while (log.size() > 0)
            tryWrite(0);
        std::set<std::int64_t> times;
        std::int64_t count = 0;
        for (const auto &[name, batch] : objects) {
            count += batch.records_size();
            for (const auto &entry : batch.records())
                times.insert(entry.time_ms());
        }
        RC_ASSERT(count == static_cast<std::int64_t>(times.size()));
        RC_ASSERT(count + static_cast<std::int64_t>(log.dropped()) == added);
    });
}
