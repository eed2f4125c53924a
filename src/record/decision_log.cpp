// Buffer of encoded decision records, and the pending batch.
#include "berylspur/record/decision_log.h"

#include <algorithm>

namespace berylspur {

namespace {

// Estimate for the std::string object, its share of a deque block and a heap header.
constexpr std::size_t RecordOverhead = 64;
// Protobuf tag and length of a record in a batch.
constexpr std::size_t FieldOverhead = 5;
// Upper bound for node, incarnation, number and dropped count of a batch.
constexpr std::size_t BatchOverhead = 256;

constexpr Duration MinFlushInterval = std::chrono::seconds(5);
constexpr Duration FlushIntervalPerNode = std::chrono::milliseconds(50);

} // namespace

DecisionLog::DecisionLog(std::string node, Incarnation incarnation)
    : m_node(std::move(node)), m_incarnation(incarnation)
{
}

std::size_t DecisionLog::memoryUsage(const std::string &record)
{
    return record.size() + RecordOverhead;
}

void DecisionLog::add(schema::DecisionRecord record)
{
    record.set_node(m_node);
    if (record.time_ms() == 0)
        record.set_time_ms(wallClockMs());
    auto encoded = record.SerializeAsString();
    if (encoded.size() + FieldOverhead + BatchOverhead > MaxBatchBytes) {
        ++m_dropped;
        return;
    }
    m_bytes += memoryUsage(encoded);
    m_records.push_back(std::move(encoded));
    while (m_bytes > MaxBytes) {
        m_bytes -= memoryUsage(popOldest());
        ++m_dropped;
    }
}

std::string DecisionLog::popOldest()
{
    auto record = std::move(m_records.front());
    m_records.pop_front();
    return record;
}

void DecisionLog::prepareBatch()
{
    std::size_t size = BatchOverhead;
    while (!m_records.empty() && size + m_records.front().size() + FieldOverhead <= MaxBatchBytes) {
        size += m_records.front().size() + FieldOverhead;
        m_pendingRecords.push_back(popOldest());
    }
    ++m_batch;
    m_droppedBeforeBatch = m_dropped;
}

std::optional<schema::DecisionBatch> DecisionLog::nextBatch()
{
    if (m_pendingRecords.empty()) {
        if (m_records.empty())
            return std::nullopt;
        prepareBatch();
    }
    schema::DecisionBatch batch;
    batch.set_node(m_node);
    batch.set_incarnation(m_incarnation);
    batch.set_batch(m_batch);
    batch.set_dropped(m_droppedBeforeBatch);
    for (const auto &record : m_pendingRecords)
        batch.add_records()->ParseFromString(record);
    return batch;
}

void DecisionLog::written()
{
    for (const auto &record : m_pendingRecords)
        m_bytes -= memoryUsage(record);
    m_pendingRecords.clear();
}

void DecisionLog::failed()
{
    // nextBatch() returns the pending batch again.
}

Duration DecisionLog::flushInterval(std::size_t nodes)
{
    return std::max(MinFlushInterval, FlushIntervalPerNode * static_cast<Duration::rep>(nodes));
}

std::uint64_t DecisionLog::dropped() const
{
    return m_dropped;
}

std::size_t DecisionLog::size() const
{
    return m_records.size() + m_pendingRecords.size();
}

std::size_t DecisionLog::bytes() const
{
    return m_bytes;
}

} // namespace berylspur
