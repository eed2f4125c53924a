// Lease that an endpoint renews with each announcement, and detection of process pauses.
#pragma once

#include "berylspur/core/clock.h"

#include <optional>

namespace berylspur {

/// Lease of one endpoint. Invalid until the first renewal.
class EndpointLease
{
public:
    static constexpr Duration Term = std::chrono::seconds(2);

    void renew(TimePoint now, Duration term = Term) { m_expires = now + term; }
    /// Invalidates the lease immediately, for example after a pause of this process.
    void expire() { m_expires.reset(); }
    bool isValid(TimePoint now) const { return m_expires && now < *m_expires; }

private:
    std::optional<TimePoint> m_expires;
};

/// Detects that this process did not run for a while (stopped, suspended or starved of CPU time).
class PauseDetector
{
public:
    static constexpr Duration Threshold = std::chrono::seconds(1);

    /// Call from a timer with an interval well below Threshold. Returns the time since the last
    /// call if it exceeds Threshold.
    std::optional<Duration> recordHeartbeat(TimePoint now)
    {
        const auto last = m_last;
        m_last = now;
        if (last && now - *last > Threshold)
            return now - *last;
        return std::nullopt;
    }

private:
    std::optional<TimePoint> m_last;
};

} // namespace berylspur
