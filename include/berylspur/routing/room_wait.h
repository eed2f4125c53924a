// Decides whether a request that found no room is refused or placed again a moment later.
#pragma once

#include "berylspur/core/clock.h"

namespace berylspur {

struct RoomWait
{
    bool isCall = false; ///< its parent holds a slot and fails with it
    bool ranAndMayRepeat = false; ///< an earlier run failed, and the request is idempotent
    TimePoint arrived;
    TimePoint deadline;
};

/// Time until the next try. Slots become free at about this rate at a busy service.
inline constexpr Duration PlaceAgainAfter = std::chrono::milliseconds(150);

/// True if the request should be placed again after PlaceAgainAfter. Load pattern: the crest of a
/// wave, when all queues are full for a few hundred milliseconds. A request that wastes nothing is
/// refused at once, so that its caller can return; one whose refusal wastes a run waits, for half
/// of its time at most: the other half is left for the run.
inline bool waitsForRoom(const RoomWait &request, TimePoint now)
{
    const bool wastesRun = request.isCall || request.ranAndMayRepeat;
    return wastesRun && now + PlaceAgainAfter - request.arrived < request.deadline - now;
}

} // namespace berylspur
