// What the gate knows of each service: its endpoints, their rotation and service times.
#pragma once

#include "berylspur/manifest.pb.h"
#include "berylspur/membership/member_table.h"
#include "berylspur/owner/slot_scheduler.h"
#include "berylspur/routing/floor.h"
#include "berylspur/routing/foreign_times.h"
#include "berylspur/routing/rotation.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace berylspur {

struct ServiceView
{
    std::vector<EndpointView> endpoints;
    Rotation rotation;
    std::uint64_t viewVersion = 0; // 1 + version of the member table; 0: never computed
    // By class and route. Forgotten as a whole when there are too many.
    std::map<std::pair<WorkClass, std::string>, ForeignTimes> serviceTimes;
};

/// Endpoints and rotation of each service, computed when the member table changed.
class ServiceViews
{
public:
    explicit ServiceViews(const MemberTable &table) : m_table(table) { }

    /// The current view of \a config's service.
    ServiceView &current(const schema::ServiceConfig &config);
    void invalidate(const std::string &service);
    const std::map<std::string, ServiceView> &all() const { return m_views; }

private:
    const MemberTable &m_table;
    std::map<std::string, ServiceView> m_views;
};

} // namespace berylspur
