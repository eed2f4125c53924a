// Writes batches of the decision log to the platform.
#pragma once

#include "berylspur/record/decision_log.h"
#include "platform/platform_client.h"

#include <cstdint>
#include <event2/event.h>
#include <functional>
#include <memory>
#include <string>

namespace berylspur {

/// Writes one object per flush, with at most one write at a time. A failed write is repeated at the
/// next flush under the same name, on the condition that the object does not exist. A batch is
/// therefore stored only once, even if the response to a write was lost.
class RecordTask
{
public:
    RecordTask(event_base *base, DecisionLog &log, PlatformClient &platform);
    ~RecordTask();
    RecordTask(const RecordTask &) = delete;
    RecordTask &operator=(const RecordTask &) = delete;

    /// Starts the flush timer with a random delay, so that nodes that start at the same time don't
    /// write at the same time.
    void start();
    /// Sets the number of nodes in the fleet, which determines the interval from the next flush on.
    void setNodes(std::size_t nodes);
    /// Writes the next batch, unless there is none or a write is in progress.
    void flush();
    /// For a planned stop: stops the timer and writes until the log is empty. Calls \a done with
    /// false if a write failed; the remaining records stay in the log.
    void stop(std::function<void(bool written)> done);

    std::uint64_t batchesWritten() const;
    std::uint64_t failedWrites() const;

    /// "decisions/<unix minute>/<node>/<incarnation>-<batch>". The minute is that of the newest
    /// record, so a record is in an object of its own minute or of a later one.
    static std::string objectName(const schema::DecisionBatch &batch);
    /// "decisions/<unix minute>/", the common prefix of all objects of a minute.
    static std::string minutePrefix(std::int64_t timeMs);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace berylspur
