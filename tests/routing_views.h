// Views of the endpoints of a service for tests of the rotation and of the endpoint picker.
#pragma once

#include "berylspur/routing/rotation.h"
#include "property_check.h"

#include <string>
#include <vector>

namespace berylspur::test {

inline bool isIn(RotationVerdict verdict)
{
    return verdict == RotationVerdict::InRotation || verdict == RotationVerdict::HeldByFloor;
}

inline std::vector<EndpointView> drawView()
{
    const auto size = *rc::gen::inRange<std::size_t>(0, 40);
    std::vector<EndpointView> view(size);
    for (std::size_t i = 0; i < size; ++i) {
        view[i].id = "endpoint-" + std::to_string(i);
        view[i].node = "node-" + std::to_string(i);
        view[i].failureDomain = "domain-" + std::to_string(*rc::gen::inRange(0, 4));
        view[i].slots = *rc::gen::inRange<std::uint32_t>(0, 9);
        view[i].readiness =
                *rc::gen::weightedElement<EndpointReadiness>({{6, EndpointReadiness::Ready},
                                                              {1, EndpointReadiness::Cold},
                                                              {1, EndpointReadiness::Draining}});
        view[i].severity = *rc::gen::weightedOneOf<std::uint32_t>(
                {{1, rc::gen::just(0U)}, {1, rc::gen::inRange(1U, 5U)}});
        view[i].ownerAlive = *rc::gen::weightedElement<bool>({{6, true}, {1, false}});
    }
    return view;
}

inline std::vector<EndpointView> makeView(const std::vector<std::string> &domains)
{
    std::vector<EndpointView> view;
    for (const std::string &domain : domains) {
        EndpointView endpoint;
        endpoint.id = "e" + std::to_string(view.size());
        endpoint.failureDomain = domain;
        endpoint.slots = 4;
        view.push_back(endpoint);
    }
    return view;
}

} // namespace berylspur::test
