// The lease that an endpoint holds by announcing itself, and the detection of pauses of this
// process.
#pragma once

#include "berylspur/core/clock.h"

#include <optional>

namespace berylspur {

/// Lease of one endpoint. Lapsed until the first renewal.
class EndpointLease
{
public:
    static constexpr Duration Term = std::chrono::seconds(2);

    void renew(TimePoint now, Duration term = Term) { m_expires = now + term; }
    /// Ends the lease at once, for example after a pause of this process.
    void lapse() { m_expires.reset(); }
    bool isValid(TimePoint now) const { return m_expires && now < *m_expires; }

private:
    std::optional<TimePoint> m_expires;
};

/// Notices that this process did not run for a while (stopped, suspended, starved).
class PauseDetector
{
public:
    static constexpr Duration Threshold = std::chrono::seconds(1);

    /// Call from a timer well below the threshold. Returns the gap if it was a pause.
    std::optional<Duration> beat(TimePoint now)
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
