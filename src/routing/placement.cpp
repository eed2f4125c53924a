// Placement rules on top of EndpointPicker.
#include "berylspur/routing/placement.h"

namespace berylspur {

namespace {

/// True if other endpoints go before \a endpoint for \a request.
bool isAvoided(const PlacementRequest &request, const EndpointView &endpoint,
               RotationVerdict verdict, Random &random)
{
    constexpr std::uint32_t Percent = 100;
    if (endpoint.onTrial)
        return !request.isIdempotent || verdict != RotationVerdict::OpenedByFloor;
    if (endpoint.rampPercent >= Percent)
        return false;
    return !request.isIdempotent || random() % Percent >= endpoint.rampPercent;
}

} // namespace

std::optional<std::size_t> placeRequest(const PlacementRequest &request,
                                        const std::vector<EndpointView> &view,
                                        const Rotation &rotation, EndpointPicker &picker,
                                        const PathHealth &paths, TimePoint now, Random &random)
{
    auto excluded = request.triedEndpoints;
    const bool anyPathFailed = paths.size() > 0;
    for (const auto &endpoint : view) {
        if (anyPathFailed && !paths.isUsable(endpoint.node, now))
            excluded.insert(endpoint.id);
    }
    if (request.isIdempotent && request.isFirstPlacement) {
        if (const auto inTrial = picker.pickInTrial(view, rotation, excluded, now, random))
            return inTrial;
    }
    for (std::size_t i = 0; i < view.size(); ++i) {
        if (isAvoided(request, view[i], rotation.entries[i].verdict, random))
            excluded.insert(view[i].id);
    }
    if (request.maxNearWait > Duration::zero()) {
        if (const auto near = picker.pickNear(view, rotation, excluded, request.host,
                                              request.maxNearWait, now, random))
            return near;
    }
    auto picked = picker.pick(view, rotation, excluded, now, random);
    if (!picked && excluded.size() > request.triedEndpoints.size())
        picked = picker.pick(view, rotation, request.triedEndpoints, now, random);
    // In mode OwnerLoad the picker returns suspect endpoints last.
    if (picked && request.wasRefusedForOverload
        && rotation.entries[*picked].verdict == RotationVerdict::HeldByFloor
        && rotation.hasHealthyEndpoint())
        return std::nullopt;
    return picked;
}

std::optional<std::size_t> placeHedge(const std::unordered_set<std::string> &tried,
                                      const std::vector<EndpointView> &view,
                                      const Rotation &rotation, const EndpointPicker &picker,
                                      const PathHealth &paths, TimePoint now, Random &random)
{
    constexpr std::uint32_t Percent = 100;
    auto excluded = tried;
    for (const auto &endpoint : view) {
        if (endpoint.onTrial || endpoint.rampPercent < Percent
            || !paths.isUsable(endpoint.node, now))
            excluded.insert(endpoint.id);
    }
    return picker.pickLeastLoaded(view, rotation, excluded, now, random);
}

} // namespace berylspur
