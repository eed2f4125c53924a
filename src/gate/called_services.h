// Load of the services that requests of a route call, as one gate knows it.
#pragma once

#include "berylspur/admission/parent_admission.h"
#include "berylspur/peer.pb.h"
#include "berylspur/routing/endpoint_picker.h"
#include "service_view.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylspur {

/// Passes what owners report to ParentAdmission, and queries it with the loads of the endpoints in
/// rotation.
class CalledServices
{
public:
    void setRanks(std::vector<std::uint32_t> ranks) { m_admission.setRanks(std::move(ranks)); }
    void onReport(const std::string &route, const schema::OwnerLoad &load, TimePoint now);
    /// Reason for refusing \a request, or nothing.
    std::optional<ParentRefusal> check(const ParentRequest &request, const RouteTable &routes,
                                       ServiceViews &views, const EndpointPicker &picker,
                                       TimePoint now);
    void expire(TimePoint now);

private:
    struct CachedWait
    {
        TimePoint computedAt {};
        std::optional<Duration> wait;
    };

    /// Mean expected wait at the endpoints in rotation whose owners reported their load lately.
    static std::optional<Duration> meanWait(const ServiceView &view, const EndpointPicker &picker,
                                            TimePoint now);

    ParentAdmission m_admission;
    std::unordered_map<std::string, CachedWait> m_waits; // by service; cleared by expire()
};

} // namespace berylspur
