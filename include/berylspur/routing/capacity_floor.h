// Capacity floor: the capacity of a service that ejection must leave in rotation.
#pragma once

#include "berylspur/manifest.pb.h"
#include "berylspur/routing/rotation.h"

#include <cstdint>
#include <vector>

namespace berylspur {

/// Slots that ejection must leave in rotation: floor-percent of the declared slots, rounded up. If
/// the service declares no endpoints, the ready endpoints in \a view are counted instead.
std::uint32_t floorSlots(const schema::Service &service, const std::vector<EndpointView> &view);

/// Both floors of the service. Endpoints that fail their requests may be ejected down to half of
/// the floor; beyond that, the cause more likely lies in the service than in its endpoints.
RotationConfig rotationConfig(const schema::Service &service,
                              const std::vector<EndpointView> &view);

} // namespace berylspur
