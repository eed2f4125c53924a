// Computes the capacity floor of a service.
#include "berylspur/routing/capacity_floor.h"

#include <cstdint>

namespace berylspur {

std::uint32_t floorSlots(const schema::Service &service, const std::vector<EndpointView> &view)
{
    constexpr std::uint64_t Percent = 100;
    std::uint64_t slots = std::uint64_t {service.endpoints()} * service.slots();
    if (service.endpoints() == 0) {
        for (const auto &endpoint : view) {
            if (endpoint.ownerAlive && endpoint.readiness == EndpointReadiness::Ready)
                slots += endpoint.slots;
        }
    }
    return static_cast<std::uint32_t>((slots * service.floor_percent() + Percent - 1) / Percent);
}

RotationConfig rotationConfig(const schema::Service &service, const std::vector<EndpointView> &view)
{
    const auto floor = floorSlots(service, view);
    constexpr std::uint32_t FailingFloorDivisor = 2;
    return {floor, floor / FailingFloorDivisor};
}

} // namespace berylspur
