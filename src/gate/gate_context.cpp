// Caches of the node lists that requests read, and removal of state that is no longer needed.
#include "gate_context.h"

namespace berylspur {

void GateContext::refreshNodes()
{
    if (m_cachedVersionPlusOne == members.version() + 1)
        return;
    m_knownNodes = members.known();
    m_reachableNodes = members.reachable();
    m_cachedVersionPlusOne = members.version() + 1;
}

void GateContext::forgetAbsent()
{
    const auto &nodes = knownNodes();
    pathHealth.retain({nodes.begin(), nodes.end()});
    picker.retain(members.endpointIds());
    serviceViews.retain(routes);
    std::erase_if(hedging, [this](const auto &entry) { return !routes.service(entry.first); });
    std::erase_if(retryBudgets, [this](const auto &entry) { return !routes.service(entry.first); });
}

const std::vector<std::string> &GateContext::knownNodes()
{
    refreshNodes();
    return m_knownNodes;
}

const std::vector<std::string> &GateContext::reachableNodes()
{
    refreshNodes();
    return m_reachableNodes;
}

} // namespace berylspur
