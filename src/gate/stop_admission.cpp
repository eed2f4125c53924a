// Admission of requests during a planned stop.
#include "berylspur/gate/stop_admission.h"

namespace berylspur {

bool isAdmitted(const GateStop &stop, bool isNestedCall, TimePoint deadline)
{
    switch (stop.admission) {
    case StopAdmission::All:
        return true;
    case StopAdmission::NestedCalls:
        return isNestedCall && deadline <= stop.end;
    case StopAdmission::None:
        break;
    }
    return false;
}

} // namespace berylspur
