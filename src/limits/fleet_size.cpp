// Nodes with the time when the member table last knew them.
#include "berylspur/limits/fleet_size.h"

namespace berylspur {

std::uint32_t FleetSize::update(const std::vector<std::string> &known,
                                const std::function<bool(const std::string &)> &hasLeft,
                                TimePoint now)
{
    for (const auto &node : known)
        m_lastKnown[node] = now;
    std::erase_if(m_lastKnown, [&](const auto &entry) {
        return now - entry.second >= Retention || (entry.second < now && hasLeft(entry.first));
    });
    return static_cast<std::uint32_t>(m_lastKnown.size());
}

} // namespace berylspur
