// Reads the body of POST /faults.
#include "faults.h"

namespace berylspur::standin {

Faults Faults::fromJson(const nlohmann::json &value)
{
    Faults faults;
    faults.stall = value.value("stall", faults.stall);
    faults.stallShare = value.value("stall-share", faults.stallShare);
    faults.slowFactor = value.value("slow-factor", faults.slowFactor);
    faults.errorShare = value.value("error-share", faults.errorShare);
    faults.resetShare = value.value("reset-share", faults.resetShare);
    faults.truncate = value.value("truncate", faults.truncate);
    faults.flapMs = value.value("flap-ms", faults.flapMs);
    faults.ignoreDrain = value.value("ignore-drain", faults.ignoreDrain);
    faults.stallProbes = value.value("stall-probes", faults.stallProbes);
    faults.failProbes = value.value("fail-probes", faults.failProbes);
    faults.silent = value.value("silent", faults.silent);
    faults.status = value.value("status", faults.status);
    faults.dropResponses = value.value("drop-answers", faults.dropResponses);
    if (value.contains("reported-busy"))
        faults.reportedBusy = value["reported-busy"].get<int>();
    if (value.contains("reported-queued"))
        faults.reportedQueued = value["reported-queued"].get<int>();
    return faults;
}

} // namespace berylspur::standin
