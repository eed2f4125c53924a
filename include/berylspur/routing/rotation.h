// The set of endpoints of a service that get requests: a pure function of the view that enforces
// the floor.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace berylspur {

enum class EndpointReadiness { Ready, Cold, Draining };

/// An endpoint as the view of a node shows it.
struct EndpointView
{
    std::string id;
    std::string node; ///< its owner
    std::string failureDomain;
    std::uint32_t slots = 0;
    EndpointReadiness readiness = EndpointReadiness::Ready;
    std::uint32_t severity = 0; ///< suspicion; 0: none
    std::string rule; ///< rule that raised the suspicion
    bool failsRequests = false; ///< the suspicion is about requests that failed
    std::uint32_t rampPercent = 100; ///< share of its requests it takes while it returns
    bool ownerAlive = true; ///< false: no request can reach it
};

struct RotationConfig
{
    std::uint32_t floorSlots = 0; ///< ready slots that ejection must leave in rotation
    /// Ready slots that the ejection of endpoints that fail their requests must leave. Such slots
    /// are no healthy capacity, and they attract requests: a request that fails at once leaves its
    /// slot free. Above floorSlots it has no effect.
    std::uint32_t failingFloorSlots = UINT32_MAX;
};

enum class RotationVerdict { In, Ejected, HeldByFloor, NotReady, OwnerGone };

struct RotationEntry
{
    std::size_t endpoint = 0; ///< index into the view
    RotationVerdict verdict = RotationVerdict::In;
};

struct Rotation
{
    std::vector<RotationEntry> entries; ///< one per endpoint of the view, in its order
    /// Indices of In and HeldByFloor, ordered by failure domain and index, so that the picker finds
    /// the endpoints of a domain without a scan.
    std::vector<std::uint32_t> admitted;
    std::uint32_t slotsIn = 0; ///< healthy slots of In and HeldByFloor

    /// True if some endpoint is in rotation for itself, not only held by the floor.
    bool hasSound() const;
};

/// Ejects suspects, worst first (ties by id), while the slots that stay in rotation are at least
/// \a config.floorSlots. Draining, cold and unreachable endpoints count as no capacity.
Rotation rotation(const std::vector<EndpointView> &view, const RotationConfig &config);

} // namespace berylspur
