// CLOCK_BOOTTIME and wall clock.
#include "berylspur/core/clock.h"

#include <ctime>

namespace berylspur {

BootClock::time_point BootClock::now()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::duration_cast<Duration>(
            std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

std::int64_t wallClockMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace berylspur
