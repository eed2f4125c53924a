// Clocks. Leases must expire while a host is suspended, so the monotonic clock counts suspended
// time.
#pragma once

#include <chrono>
#include <cstdint>

namespace berylspur {

using Duration = std::chrono::microseconds;

/// CLOCK_BOOTTIME: monotonic, including suspended time. A stopped process sees the gap once it
/// resumes.
struct BootClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;

    static time_point now();
};

/// Decision modules take the current time as an argument; only tasks call BootClock::now().
using TimePoint = BootClock::time_point;

/// Wall-clock milliseconds since the Unix epoch, for records that people read. Never used for
/// decisions.
std::int64_t wallClockMs();

/// Converts \a duration to milliseconds and truncates fractions.
constexpr std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace berylspur
