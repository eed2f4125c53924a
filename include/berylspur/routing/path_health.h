// Health of the network paths from this gate to owners. Affects the routing of this gate only and
// does not mark endpoints as suspect.
#pragma once

#include "berylspur/core/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>

namespace berylspur {

class PathHealth
{
public:
    /// Records that a connection to \a node failed or timed out. The path is avoided for 250 ms,
    /// doubled with each consecutive failure up to 8 s.
    void recordFailure(const std::string &node, TimePoint now);
    void recordSuccess(const std::string &node);
    /// True if new requests should use the path.
    bool isUsable(const std::string &node, TimePoint now) const;
    /// Forgets nodes that are not in \a known.
    void retain(const std::unordered_set<std::string> &known);
    std::size_t size() const;

private:
    struct Path
    {
        std::uint32_t failures = 0; ///< consecutive
        TimePoint avoidUntil {};
    };

    std::unordered_map<std::string, Path> m_paths; ///< only paths whose last attempt failed
};

} // namespace berylspur
