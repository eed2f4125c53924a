// Caches of the node lists that requests read.
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
