// Usual time to first byte of a service, class and route at the other endpoints, as gates report it
// with their dispatches. Does no I/O; time is passed in.
#pragma once

#include "berylspur/core/clock.h"

#include <array>
#include <cstddef>

namespace berylspur {

/// Median of the last 32 values that are at most 30 s old; needs 4 values, and is at least 5 ms.
class LatencyBaseline
{
public:
    /// Number of values from which a median is taken.
    static constexpr std::size_t MinSamples = 4;

    /// Adds a positive \a time to first byte. A value that is already present is added again only
    /// to reach MinSamples.
    void add(Duration time, TimePoint now);
    /// Median in microseconds as of the last add(); 0 if unknown.
    double us() const { return m_us; }
    /// The higher one of us() and the median of the values of the last 400 ms, so that a slowdown
    /// of the whole service is not taken for one of this endpoint.
    double conservativeUs(TimePoint now) const;

private:
    static constexpr std::size_t Size = 32;
    struct Value
    {
        double us = 0;
        TimePoint time;
    };

    /// Median of the values received since \a since; 0 if there are fewer than MinSamples.
    double median(TimePoint since) const;

    std::array<Value, Size> m_received {};
    std::size_t m_count = 0;
    double m_us = 0;
};

} // namespace berylspur
