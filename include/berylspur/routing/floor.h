// The capacity that ejection must leave to a service.
#pragma once

#include "berylspur/manifest.pb.h"
#include "berylspur/routing/rotation.h"

#include <cstdint>
#include <vector>

namespace berylspur {

/// Slots that ejection must leave in rotation: floor-percent of the declared slots, rounded up.
/// Where the service declares no endpoints, those of \a view that are ready count.
std::uint32_t floorSlots(const schema::Service &service, const std::vector<EndpointView> &view);

/// Both floors of the service: endpoints that fail their requests may be ejected down to half of
/// the floor, where the cause is more likely to lie with the service than with its endpoints.
RotationConfig rotationConfig(const schema::Service &service,
                              const std::vector<EndpointView> &view);

} // namespace berylspur
