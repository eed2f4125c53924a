// The gate's view of each service: its endpoints, their rotation and service times.
#pragma once

#include "berylspur/admission/slot_scheduler.h"
#include "berylspur/manifest.pb.h"
#include "berylspur/membership/member_table.h"
#include "berylspur/routing/capacity_floor.h"
#include "berylspur/routing/rotation.h"
#include "berylspur/routing/route_table.h"
#include "berylspur/routing/service_time_samples.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace berylspur {

/// Endpoints and rotation of one service, and recent service times.
struct ServiceView
{
    std::vector<EndpointView> endpoints;
    Rotation rotation;
    std::uint64_t cachedVersionPlusOne = 0; // 1 + version of the member table used; 0: stale
    TimePoint validUntil; // the next trial begins
    // By class and route. Cleared as a whole when it holds too many routes.
    std::map<std::pair<RequestClass, std::string>, ServiceTimeSamples> serviceTimes;
};

/// Views by service, recomputed on access after the member table has changed or a trial has begun.
class ServiceViews
{
public:
    explicit ServiceViews(const MemberTable &table) : m_table(table) { }

    /// View of the service of \a config for the current member table at \a now.
    ServiceView &current(const schema::ServiceConfig &config, TimePoint now);
    /// Forces a recomputation, for example after a change of configuration.
    void invalidate(const std::string &service);
    /// Forgets services that \a routes does not have.
    void retain(const RouteTable &routes);
    const std::map<std::string, ServiceView> &all() const { return m_views; }

private:
    const MemberTable &m_table;
    std::map<std::string, ServiceView> m_views;
};

} // namespace berylspur
