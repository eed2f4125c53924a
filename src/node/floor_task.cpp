// Rotation verdicts on the endpoints of this node.
#include "floor_task.h"

#include "berylspur/core/log.h"
#include "berylspur/routing/capacity_floor.h"

#include <algorithm>

namespace berylspur {

namespace {

/// Verdict on the endpoint \a id in \a state, which was computed from \a view.
RotationVerdict verdictOn(const std::string &id, const std::vector<EndpointView> &view,
                          const Rotation &state)
{
    const auto entry = std::ranges::find_if(state.entries, [&](const RotationEntry &candidate) {
        return view[candidate.endpoint].id == id;
    });
    return entry == state.entries.end() ? RotationVerdict::NotReady : entry->verdict;
}

} // namespace

FloorTask::FloorTask(const MemberTable &members, const ConfigStore &configs, OwnerTask &owner)
    : m_members(members), m_configs(configs), m_owner(owner)
{
}

void FloorTask::update()
{
    const auto now = BootClock::now();
    std::map<std::string, RotationVerdict> verdicts;
    for (const auto &own : m_members.self().endpoints()) {
        const auto *config = m_configs.find(own.service());
        if (!config) {
            m_owner.setHeldByFloor(own.id(), false);
            continue;
        }
        auto view = m_members.endpoints(own.service());
        startDueTrials(view, now);
        const auto limits = rotationConfig(config->content(), view);
        const auto state = rotation(view, limits);
        const auto verdict = verdictOn(own.id(), view, state);
        const auto known = m_verdicts.find(own.id());
        if (known == m_verdicts.end() || known->second != verdict)
            logChange(own.id(), own.service(), state, limits, verdict);
        verdicts[own.id()] = verdict;
        m_owner.setHeldByFloor(own.id(), verdict == RotationVerdict::HeldByFloor
                                                 || verdict == RotationVerdict::OpenedByFloor);
    }
    m_verdicts = std::move(verdicts);
}

void FloorTask::logChange(const std::string &endpoint, const std::string &service,
                          const Rotation &state, const RotationConfig &config,
                          RotationVerdict verdict)
{
    const RotationCounts counts = state.counts();
    log::info("endpoint-verdict", {{"endpoint", endpoint},
                                   {"service", service},
                                   {"verdict", enumName(RotationVerdictNames, verdict)},
                                   {"ready", counts.ready},
                                   {"ejected", counts.ejected},
                                   {"held", counts.held},
                                   {"opened", counts.opened},
                                   {"slots", state.slotsInRotation},
                                   {"floor", config.floorSlots},
                                   {"failing-floor", config.failingFloorSlots}});
}

} // namespace berylspur
