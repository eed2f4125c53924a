// Writes the batches of the decision log to the platform.
#pragma once

#include "berylspur/record/decision_log.h"
#include "platform/platform_client.h"

#include <cstdint>
#include <event2/event.h>
#include <functional>
#include <memory>
#include <string>

namespace berylspur {

/// One object per flush, at most one write at a time. A failed write is repeated at the next flush
/// under the same name and only if the object does not exist, so that a batch whose response was
/// lost is stored once.
class RecordTask
{
public:
    RecordTask(event_base *base, DecisionLog &log, PlatformClient &platform);
    ~RecordTask();
    RecordTask(const RecordTask &) = delete;
    RecordTask &operator=(const RecordTask &) = delete;

    /// Starts the flush timer at a random phase, so that nodes that started together do not write
    /// together.
    void start();
    /// Tells how many nodes the fleet has; sets the flush interval from the next flush on.
    void setNodes(std::size_t nodes);
    /// Writes the next batch, unless there is none or a write is under way.
    void flush();
    /// For a planned stop: ends the timer and writes until the log is empty. \a done gets false if
    /// a write failed; the records left are in the log.
    void stop(std::function<void(bool written)> done);

    std::uint64_t batchesWritten() const;
    std::uint64_t failedWrites() const;

    /// "decisions/<unix minute>/<node>/<incarnation>-<batch>". The minute is that of the newest
    /// record: records of a time are in objects of its minute or a later one.
    static std::string objectName(const schema::DecisionBatch &batch);
    /// "decisions/<unix minute>/", the prefix of all objects of a minute.
    static std::string minutePrefix(std::int64_t timeMs);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace berylspur
