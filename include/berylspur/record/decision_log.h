// Bounded buffer of decision records, written to the platform in batches.
#pragma once

#include "berylspur/core/clock.h"
#include "berylspur/core/ids.h"
#include "berylspur/record.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace berylspur {

/// Invariant: the pending batch keeps its number and records until it is stored, since a write that
/// appears to have failed may have succeeded.
class DecisionLog
{
public:
    static constexpr std::size_t MaxBytes = 4u << 20;
    static constexpr std::size_t MaxBatchBytes = 900u
                                                 << 10; ///< platform values are limited to 1 MB

    DecisionLog(std::string node, Incarnation incarnation);

    /// Appends \a record after setting the node, and the time if it is 0. If the buffer is full,
    /// drops and counts the oldest records that are not part of the pending batch.
    void add(schema::DecisionRecord record);

    /// The next batch to write, or nullopt if there are no records. Returns the same batch until
    /// written() is called.
    std::optional<schema::DecisionBatch> nextBatch();
    /// Removes the records of the pending batch after it was stored.
    void written();
    /// Keeps the pending batch after a failed write. nextBatch() returns it with the same number,
    /// so that a write whose response was lost is not stored again under another name.
    void failed();

    /// Time between flushes of a node. All nodes together write at most 20 objects/s.
    static Duration flushInterval(std::size_t nodes);

    std::uint64_t dropped() const;
    /// Number of records in the buffer, including the pending batch.
    std::size_t size() const;
    /// Estimated memory usage of the records: encoded size and overhead.
    std::size_t bytes() const;

private:
    static std::size_t memoryUsage(const std::string &record);
    std::string popOldest();
    void prepareBatch();

    std::string m_node;
    Incarnation m_incarnation;
    /// Encoded, which takes a third of the memory of parsed messages.
    std::deque<std::string> m_records;
    std::deque<std::string>
            m_pendingRecords; ///< records of the pending batch; empty if there is none
    std::uint64_t m_batch = 0; ///< number of the last batch
    std::uint64_t m_droppedBeforeBatch = 0;
    std::uint64_t m_dropped = 0;
    /// Sum of memoryUsage() of all records in both queues, at most MaxBytes.
    std::size_t m_bytes = 0;
};

} // namespace berylspur
