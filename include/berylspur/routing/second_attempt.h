// Decides when a gate sends an idempotent request to a second endpoint because the first one is
// silent. Load pattern: endpoints that accept requests and answer only some of them, while each
// request has time for a second run but not for a wait until its deadline.
#pragma once

#include "berylspur/core/clock.h"

#include <algorithm>
#include <optional>

namespace berylspur {

/// An attempt that was just sent to an endpoint.
struct SentAttempt
{
    Duration usual {}; ///< usual time to first byte of its route; zero: unknown
    Duration expectedWait {}; ///< in the queue of the endpoint
    Duration remaining {}; ///< until the deadline of the request
};

/// Time after which a second attempt is more likely to answer than the first one, or nothing if
/// there is no time for one.
inline std::optional<Duration> secondAttemptDelay(const SentAttempt &attempt)
{
    // Few responses of a healthy endpoint take longer.
    constexpr int SilentFactor = 3;
    // Scheduling delays of the endpoint's host can take this long.
    constexpr Duration MinDelay = std::chrono::milliseconds(100);
    // Time of the second run and of its way there, in units of the usual time.
    constexpr int SecondRunFactor = 2;
    if (attempt.usual <= Duration::zero())
        return std::nullopt;
    const auto delay =
            attempt.expectedWait + std::max<Duration>(SilentFactor * attempt.usual, MinDelay);
    if (delay + SecondRunFactor * attempt.usual > attempt.remaining)
        return std::nullopt;
    return delay;
}

} // namespace berylspur
