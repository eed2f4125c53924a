// Tells the owner which of its endpoints the capacity floor keeps in use, and logs each change of
// their rotation verdicts with the figures behind it.
#pragma once

#include "berylspur/config/config_store.h"
#include "berylspur/membership/member_table.h"
#include "berylspur/owner/owner_task.h"
#include "berylspur/routing/rotation.h"

#include <map>
#include <string>

namespace berylspur {

class FloorTask
{
public:
    FloorTask(const MemberTable &members, const ConfigStore &configs, OwnerTask &owner);

    /// Computes the verdicts on this node's endpoints from the present view. Call it when the view
    /// changes.
    void update();

private:
    void logChange(const std::string &endpoint, const std::string &service, const Rotation &state,
                   const RotationConfig &config, RotationVerdict verdict);

    const MemberTable &m_members;
    const ConfigStore &m_configs;
    OwnerTask &m_owner;
    /// Last logged verdicts by endpoint. Invariant: only endpoints of this node.
    std::map<std::string, RotationVerdict> m_verdicts;
};

} // namespace berylspur
