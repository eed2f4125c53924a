// Which new requests a gate accepts while its node stops.
#pragma once

#include "berylspur/core/clock.h"

namespace berylspur {

enum class StopAdmission {
    All,
    /// Only calls that a request at the endpoint of this host makes: refusing them would fail a
    /// request that already runs.
    NestedCalls,
    None,
};

/// State of a planned stop as far as new requests depend on it.
struct GateStop
{
    StopAdmission admission = StopAdmission::All;
    /// Open requests are answered at this time at the latest; the process ends shortly afterwards.
    TimePoint end = TimePoint::max();
};

/// True if a request with \a deadline is accepted. A nested call must end before the node does:
/// otherwise its endpoint might still work on it when the node has to give it up.
bool isAdmitted(const GateStop &stop, bool isNestedCall, TimePoint deadline);

} // namespace berylspur
