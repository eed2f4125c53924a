// Decides whether a request that no endpoint accepted is refused or placed again after a delay.
#pragma once

#include "berylspur/core/clock.h"

namespace berylspur {

/// A request for which no endpoint could be found, or which none of the tried endpoints accepted.
struct UnplacedRequest
{
    bool isNestedCall = false; ///< its parent request holds a slot and fails with it
    bool failedRunIsRetryable = false; ///< an earlier run failed and the request is idempotent
    TimePoint arrived;
    TimePoint deadline;
};

/// Time until the next placement attempt: about the interval at which a busy service frees slots.
inline constexpr Duration PlacementRetryDelay = std::chrono::milliseconds(150);

/// True if the request should be placed again after PlacementRetryDelay. Intended for load peaks,
/// in which all queues are full for a few hundred milliseconds. A request whose refusal wastes no
/// work is refused immediately, so that its caller can retry later. One whose refusal would waste a
/// run waits for at most half of its time; the other half is left for the run.
inline bool shouldRetryPlacement(const UnplacedRequest &request, TimePoint now)
{
    const bool wastesRun = request.isNestedCall || request.failedRunIsRetryable;
    return wastesRun && now + PlacementRetryDelay - request.arrived < request.deadline - now;
}

} // namespace berylspur
