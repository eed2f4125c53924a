// Number of nodes for the shares of customer quotas.
#pragma once

#include "berylspur/core/clock.h"

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylspur {

/// Counts the nodes that the member table knows and those that it forgot without knowing that they
/// left. The member table forgets dead nodes after minutes; each side of a longer partition would
/// then take the whole limit.
class FleetSize
{
public:
    /// Time for which a forgotten node is counted. A node that is gone for good takes its share of
    /// each limit with it for this long.
    static constexpr Duration Retention = std::chrono::hours(1);

    /// Updates and returns the number. \a hasLeft: true for a node that is known to have left.
    std::uint32_t update(const std::vector<std::string> &known,
                         const std::function<bool(const std::string &)> &hasLeft, TimePoint now);

private:
    std::unordered_map<std::string, TimePoint> m_lastKnown;
};

} // namespace berylspur
