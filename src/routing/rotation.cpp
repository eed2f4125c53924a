// Ejection of suspect endpoints down to the capacity floor.
#include "berylspur/routing/rotation.h"

#include <algorithm>
#include <tuple>

namespace berylspur {

namespace {

RotationVerdict baseVerdict(const EndpointView &endpoint)
{
    if (!endpoint.ownerAlive)
        return RotationVerdict::OwnerGone;
    if (endpoint.readiness != EndpointReadiness::Ready)
        return RotationVerdict::NotReady;
    return RotationVerdict::InRotation;
}

/// Slots that the owner of an endpoint in trial admits requests to; more only if they hang.
constexpr std::uint32_t TrialSlots = 1;

/// Slots that count as capacity. A recovering endpoint counts in proportion to its share of
/// requests; one in trial counts fully, since it can be opened.
std::uint32_t countedSlots(const EndpointView &endpoint)
{
    constexpr std::uint64_t Percent = 100;
    if (endpoint.onTrial)
        return endpoint.slots;
    return static_cast<std::uint32_t>(std::uint64_t {endpoint.slots} * endpoint.rampPercent
                                      / Percent);
}

/// Indices of the endpoints that may be ejected or limited, in this order.
std::vector<std::uint32_t> removalOrder(const Rotation &rotation,
                                        const std::vector<EndpointView> &view)
{
    std::vector<std::uint32_t> order;
    for (const std::uint32_t i : rotation.admitted) {
        if (view[i].severity > 0 || view[i].onTrial)
            order.push_back(i);
    }
    std::sort(order.begin(), order.end(), [&view](std::uint32_t left, std::uint32_t right) {
        const EndpointView &a = view[left];
        const EndpointView &b = view[right];
        // Endpoints that fail requests go before slow ones, which the floor then protects. Ties are
        // broken by id, so that nodes with the same view in a different order agree.
        return std::tie(b.failsRequests, a.onTrial, b.severity, a.id)
               < std::tie(a.failsRequests, b.onTrial, a.severity, b.id);
    });
    return order;
}

/// Ejects the suspects, and limits the endpoints in trial, that the floor can spare.
void reduceToFloor(Rotation &rotation, const std::vector<EndpointView> &view,
                   const RotationConfig &config)
{
    std::uint32_t heldFailingSlots = 0; // failing endpoints come first in the order
    for (const std::uint32_t i : removalOrder(rotation, view)) {
        const EndpointView &endpoint = view[i];
        const std::uint32_t kept = endpoint.onTrial ? std::min(endpoint.slots, TrialSlots) : 0;
        const std::uint32_t removed = countedSlots(endpoint) - kept;
        const std::uint32_t floor = endpoint.failsRequests
                                            ? std::min(config.failingFloorSlots, config.floorSlots)
                                            : config.floorSlots;
        // A held endpoint that fails its requests is no capacity that could replace a slow one.
        const std::uint32_t capacity =
                rotation.slotsInRotation - (endpoint.failsRequests ? 0 : heldFailingSlots);
        // One that is too large to remove does not protect a smaller one that follows.
        const bool canRemove = capacity >= removed && capacity - removed >= floor;
        if (canRemove)
            rotation.slotsInRotation -= removed;
        else if (endpoint.failsRequests && !endpoint.onTrial)
            heldFailingSlots += removed;
        if (endpoint.onTrial)
            rotation.entries[i].verdict =
                    canRemove ? RotationVerdict::InRotation : RotationVerdict::OpenedByFloor;
        else
            rotation.entries[i].verdict =
                    canRemove ? RotationVerdict::Ejected : RotationVerdict::HeldByFloor;
    }
}

} // namespace

TimePoint startDueTrials(std::vector<EndpointView> &view, TimePoint now)
{
    TimePoint next = TimePoint::max();
    for (EndpointView &endpoint : view) {
        if (endpoint.trialFrom > now) {
            next = std::min(next, endpoint.trialFrom);
            continue;
        }
        endpoint.onTrial = true;
        endpoint.severity = 0;
    }
    return next;
}

bool RotationEntry::isInRotation() const
{
    return isHealthy() || verdict == RotationVerdict::HeldByFloor;
}

bool RotationEntry::isHealthy() const
{
    return verdict == RotationVerdict::InRotation || verdict == RotationVerdict::OpenedByFloor;
}

bool Rotation::hasHealthyEndpoint() const
{
    return std::any_of(entries.begin(), entries.end(),
                       [](const RotationEntry &entry) { return entry.isHealthy(); });
}

RotationCounts Rotation::counts() const
{
    RotationCounts result;
    for (const RotationEntry &entry : entries) {
        result.ready += entry.isInRotation() || entry.verdict == RotationVerdict::Ejected ? 1 : 0;
        result.ejected += entry.verdict == RotationVerdict::Ejected ? 1 : 0;
        result.held += entry.verdict == RotationVerdict::HeldByFloor ? 1 : 0;
        result.opened += entry.verdict == RotationVerdict::OpenedByFloor ? 1 : 0;
    }
    return result;
}

Rotation rotation(const std::vector<EndpointView> &view, const RotationConfig &config)
{
    Rotation result;
    result.entries.reserve(view.size());
    for (std::size_t i = 0; i < view.size(); ++i) {
        const RotationVerdict verdict = baseVerdict(view[i]);
        result.entries.push_back({i, verdict});
        if (verdict != RotationVerdict::InRotation)
            continue;
        result.admitted.push_back(static_cast<std::uint32_t>(i));
        result.slotsInRotation += countedSlots(view[i]);
    }
    reduceToFloor(result, view, config);

    std::erase_if(result.admitted, [&result](std::uint32_t i) {
        return result.entries[i].verdict == RotationVerdict::Ejected;
    });
    std::stable_sort(result.admitted.begin(), result.admitted.end(),
                     [&view](std::uint32_t left, std::uint32_t right) {
                         return view[left].failureDomain < view[right].failureDomain;
                     });
    return result;
}

} // namespace berylspur
