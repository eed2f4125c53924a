// Counts of hedged requests at a gate.
#pragma once

#include "berylspur/routing/hedging.h"

#include <array>
#include <cstdint>
#include <string>

namespace berylspur {

/// Totals since the process started. Hedges that are neither won nor cancelled failed, were
/// refused, or are open.
struct HedgeCounters
{
    std::uint64_t sent = 0;
    std::uint64_t won = 0; ///< their response was the one that the caller got
    std::uint64_t cancelled = 0; ///< the first attempt responded before them
    /// Due hedges by verdict.
    std::array<std::uint64_t, HedgeVerdictCount> verdicts {};

    /// The counters in the Prometheus text format.
    std::string prometheus() const;
};

} // namespace berylspur
