// Phases of a planned stop.
#include "berylspur/node/planned_stop.h"

namespace berylspur {

GateStop PlannedStop::gateStop(TimePoint now) const
{
    const auto admission = isServing(now) ? StopAdmission::All : StopAdmission::NestedCalls;
    return {admission, m_began + m_times.limit};
}

bool PlannedStop::mayLeave(const UnfinishedWork &work, TimePoint now) const
{
    if (isOverdue(now))
        return true;
    return !isServing(now) && work.openRequests == 0 && work.unsentResponses == 0;
}

bool PlannedStop::mayEnd(const UnfinishedWork &work, TimePoint now) const
{
    return work.unsentResponses == 0 || isOverdue(now);
}

} // namespace berylspur
