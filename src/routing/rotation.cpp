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

/// Slots that count as capacity. A recovering endpoint counts in proportion to its share of
/// requests.
std::uint32_t countedSlots(const EndpointView &endpoint)
{
    constexpr std::uint64_t Percent = 100;
    return static_cast<std::uint32_t>(std::uint64_t {endpoint.slots} * endpoint.rampPercent
                                      / Percent);
}

} // namespace

bool Rotation::hasHealthyEndpoint() const
{
    return std::any_of(entries.begin(), entries.end(), [](const RotationEntry &entry) {
        return entry.verdict == RotationVerdict::InRotation;
    });
}

Rotation rotation(const std::vector<EndpointView> &view, const RotationConfig &config)
{
    Rotation result;
    result.entries.reserve(view.size());
    std::vector<std::uint32_t> suspects;
    for (std::size_t i = 0; i < view.size(); ++i) {
        const RotationVerdict verdict = baseVerdict(view[i]);
        result.entries.push_back({i, verdict});
        if (verdict != RotationVerdict::InRotation)
            continue;
        result.admitted.push_back(static_cast<std::uint32_t>(i));
        result.slotsInRotation += countedSlots(view[i]);
        if (view[i].severity > 0)
            suspects.push_back(static_cast<std::uint32_t>(i));
    }

    // Ties are broken by id, so that nodes with the same view in a different order eject the same
    // endpoints.
    std::sort(suspects.begin(), suspects.end(), [&view](std::uint32_t left, std::uint32_t right) {
        // Endpoints that fail requests are ejected before slow ones, which the floor then protects.
        return std::tie(view[right].failsRequests, view[right].severity, view[left].id)
               < std::tie(view[left].failsRequests, view[left].severity, view[right].id);
    });
    for (const std::uint32_t suspect : suspects) {
        const std::uint32_t slots = countedSlots(view[suspect]);
        const std::uint32_t floor = view[suspect].failsRequests
                                            ? std::min(config.failingFloorSlots, config.floorSlots)
                                            : config.floorSlots;
        // A suspect too large to eject does not stop the ejection of a smaller, less severe one.
        const bool canEject =
                result.slotsInRotation >= slots && result.slotsInRotation - slots >= floor;
        result.entries[suspect].verdict =
                canEject ? RotationVerdict::Ejected : RotationVerdict::HeldByFloor;
        if (canEject)
            result.slotsInRotation -= slots;
    }

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
