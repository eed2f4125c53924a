// Decisions of a planned stop: which new requests are accepted and when the node leaves and ends.
#pragma once

#include "berylspur/core/clock.h"
#include "berylspur/gate/stop_admission.h"

#include <cstddef>

namespace berylspur {

struct StopTimes
{
    /// All requests are accepted for this long: callers need some time to notice that the node is
    /// not ready.
    Duration serving {};
    /// Open requests are answered after this time at the latest.
    Duration limit {};
};

/// What a stopping node has not finished yet.
struct UnfinishedWork
{
    std::size_t openRequests = 0; ///< at the gate and at the endpoints of this host
    /// Connections of callers and peers with response bytes in the buffers of this process; their
    /// requests are not open.
    std::size_t unsentResponses = 0;
};

/// Times are measured from \a began, the arrival of the signal.
class PlannedStop
{
public:
    PlannedStop(const StopTimes &times, TimePoint began) : m_times(times), m_began(began) { }

    /// Replaces the times after a reload of the settings.
    void setTimes(const StopTimes &times) { m_times = times; }
    GateStop gateStop(TimePoint now) const;
    bool isOverdue(TimePoint now) const { return now - m_began > m_times.limit; }
    /// True once the node may leave the fleet and end: it accepts no more requests and has finished
    /// its work, or the limit is reached.
    bool mayLeave(const UnfinishedWork &work, TimePoint now) const;
    /// True once a node that left the fleet may end: refusals that it sent meanwhile are sent
    /// completely, or the limit is reached.
    bool mayEnd(const UnfinishedWork &work, TimePoint now) const;

private:
    bool isServing(TimePoint now) const { return now - m_began < m_times.serving; }

    StopTimes m_times;
    TimePoint m_began;
};

} // namespace berylspur
