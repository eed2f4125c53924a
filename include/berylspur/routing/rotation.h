// Computes which endpoints of a service receive requests. A pure function of the node's view that
// enforces the capacity floor.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace berylspur {

enum class EndpointReadiness { Ready, Cold, Draining };

/// An endpoint as seen by one node.
struct EndpointView
{
    std::string id;
    std::string node; ///< its owner
    std::string failureDomain;
    std::uint32_t slots = 0;
    EndpointReadiness readiness = EndpointReadiness::Ready;
    std::uint32_t severity = 0; ///< of the suspicion; 0: not suspect
    std::string rule; ///< rule that raised the suspicion
    bool failsRequests = false; ///< suspected because requests failed, not because of slowness
    std::uint32_t rampPercent = 100; ///< share of its requests that a recovering endpoint receives
    bool ownerAlive = true; ///< false: the endpoint is unreachable
};

struct RotationConfig
{
    std::uint32_t floorSlots = 0; ///< ready slots that ejection must leave in rotation
    /// Ready slots that must stay in rotation when endpoints that fail requests are ejected. Their
    /// slots are not healthy capacity, and they attract requests: a request that fails immediately
    /// leaves its slot free. Values above floorSlots have no effect.
    std::uint32_t failingFloorSlots = UINT32_MAX;
};

enum class RotationVerdict { InRotation, Ejected, HeldByFloor, NotReady, OwnerGone };

struct RotationEntry
{
    std::size_t endpoint = 0; ///< index into the view
    RotationVerdict verdict = RotationVerdict::InRotation;
};

struct Rotation
{
    std::vector<RotationEntry> entries; ///< one per endpoint of the view, in its order
    /// Indices of the endpoints with verdict InRotation or HeldByFloor, ordered by failure domain
    /// and index so that the picker finds the endpoints of a domain by binary search.
    std::vector<std::uint32_t> admitted;
    /// Slots of the admitted endpoints, including those held by the floor. A recovering endpoint
    /// counts in proportion to its rampPercent.
    std::uint32_t slotsInRotation = 0;

    /// True if at least one endpoint has the verdict InRotation, rather than HeldByFloor.
    bool hasHealthyEndpoint() const;
};

/// Ejects suspect endpoints: those that fail requests first, then by descending severity, then by
/// id. An endpoint whose ejection would leave fewer slots than the floor of its kind stays in
/// rotation (HeldByFloor); the next ones are still checked. Draining, cold and unreachable
/// endpoints do not count as capacity.
Rotation rotation(const std::vector<EndpointView> &view, const RotationConfig &config);

} // namespace berylspur
