// Computes which endpoints of a service receive requests. A pure function of the node's view that
// enforces the capacity floor.
#pragma once

#include "berylspur/core/clock.h"
#include "berylspur/core/enum_table.h"

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
    bool onTrial =
            false; ///< its owner admits a few requests only, unless the floor needs its slots
    bool ownerAlive = true; ///< false: the endpoint is unreachable
    /// The trial begins at this time without another update from the owner; max(): not known.
    TimePoint trialFrom = TimePoint::max();
};

/// Applies the trials that have begun at \a now to \a view. Returns the time at which the next one
/// begins, or TimePoint::max().
TimePoint startDueTrials(std::vector<EndpointView> &view, TimePoint now);

struct RotationConfig
{
    std::uint32_t floorSlots = 0; ///< ready slots that ejection must leave in rotation
    /// Ready slots that must stay in rotation when endpoints that fail requests are ejected. Their
    /// slots are not healthy capacity, and they attract requests: a request that fails immediately
    /// leaves its slot free. Values above floorSlots have no effect.
    std::uint32_t failingFloorSlots = UINT32_MAX;
};

enum class RotationVerdict {
    InRotation,
    Ejected,
    HeldByFloor, ///< suspect; stays in rotation because its ejection would leave too few slots
    OpenedByFloor, ///< in trial; admits requests to all slots because too few others do
    NotReady,
    OwnerGone,
};

inline constexpr EnumTable<RotationVerdict, 6> RotationVerdictNames {{
        {RotationVerdict::InRotation, "in"},
        {RotationVerdict::Ejected, "ejected"},
        {RotationVerdict::HeldByFloor, "held-by-floor"},
        {RotationVerdict::OpenedByFloor, "opened-by-floor"},
        {RotationVerdict::NotReady, "not-ready"},
        {RotationVerdict::OwnerGone, "owner-gone"},
}};

struct RotationEntry
{
    std::size_t endpoint = 0; ///< index into the view
    RotationVerdict verdict = RotationVerdict::InRotation;

    /// True if the endpoint receives requests.
    bool isInRotation() const;
    /// True if it receives requests and is not a suspect that the floor holds.
    bool isHealthy() const;
};

/// Endpoints of a service by what its rotation decided, for logs.
struct RotationCounts
{
    std::uint32_t ready = 0; ///< all others of this struct are among them
    std::uint32_t ejected = 0;
    std::uint32_t held = 0; ///< HeldByFloor
    std::uint32_t opened = 0; ///< OpenedByFloor
};

struct Rotation
{
    std::vector<RotationEntry> entries; ///< one per endpoint of the view, in its order
    /// Indices of the endpoints that are in rotation by their verdict, ordered by failure domain
    /// and index so that the picker finds the endpoints of a domain by binary search.
    std::vector<std::uint32_t> admitted;
    /// Slots of the admitted endpoints that requests can use, including those held by the floor. A
    /// recovering endpoint counts in proportion to its rampPercent, one in trial with one slot.
    std::uint32_t slotsInRotation = 0;

    /// True if at least one endpoint isHealthy().
    bool hasHealthyEndpoint() const;
    RotationCounts counts() const;
};

/// Ejects suspect endpoints and limits those in trial to one slot: first the endpoints that fail
/// requests, then the slow ones; of each kind first the suspects, which have just failed, then
/// those in trial, which may be healthy again; then by descending severity and by id. A suspect
/// whose ejection would leave fewer slots than the floor of its kind stays in rotation
/// (HeldByFloor); an endpoint in trial whose limit would do so is opened (OpenedByFloor); the next
/// ones are still checked. Draining, cold and unreachable endpoints do not count as capacity.
Rotation rotation(const std::vector<EndpointView> &view, const RotationConfig &config);

} // namespace berylspur
