// Cache of service views.
#include "service_view.h"

namespace berylspur {

ServiceView &ServiceViews::current(const schema::ServiceConfig &config, TimePoint now)
{
    auto &view = m_views[config.service()];
    if (view.cachedVersionPlusOne == m_table.version() + 1 && now < view.validUntil)
        return view;
    view.endpoints = m_table.endpoints(config.service());
    view.validUntil = startDueTrials(view.endpoints, now);
    view.rotation = rotation(view.endpoints, rotationConfig(config.content(), view.endpoints));
    view.cachedVersionPlusOne = m_table.version() + 1;
    return view;
}

void ServiceViews::invalidate(const std::string &service)
{
    const auto found = m_views.find(service);
    if (found != m_views.end())
        found->second.cachedVersionPlusOne = 0;
}

void ServiceViews::retain(const RouteTable &routes)
{
    std::erase_if(m_views, [&routes](const auto &entry) { return !routes.service(entry.first); });
}

} // namespace berylspur
