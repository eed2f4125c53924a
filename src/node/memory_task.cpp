// Timer of the memory budget, and return of freed memory to the system.
#include "memory_task.h"

#include "berylspur/core/enum_table.h"
#include "berylspur/core/metrics.h"

#include <malloc.h>
#include <nlohmann/json.hpp>

namespace berylspur {

namespace {

constexpr EnumTable<MemoryUse, MemoryUses> UseNames {{
        {MemoryUse::Callers, "callers"},
        {MemoryUse::Bodies, "bodies"},
        {MemoryUse::Responses, "responses"},
        {MemoryUse::PeerBodies, "peer-bodies"},
}};

/// Blocks from this size on are mapped one by one, so that they return to the system when they are
/// freed. By default glibc raises the size to that of the largest freed block.
constexpr int MapThresholdBytes = 512 << 10;

} // namespace

MemoryTask::MemoryTask(event_base *base, std::size_t limit)
    : m_budget(limit > 0 ? limit : defaultMemoryLimit(hostMemory())),
      m_timer(base, [this] { relieve(); })
{
    mallopt(M_MMAP_THRESHOLD, MapThresholdBytes);
    m_budget.onReliefNeeded([this] { m_timer.start(Duration::zero()); });
}

void MemoryTask::relieve()
{
    const auto now = BootClock::now();
    if (m_budget.relieve(now))
        m_timer.start(MemoryBudget::RelieveInterval);
    if (m_budget.takeTrimDue(now))
        malloc_trim(0);
}

nlohmann::json MemoryTask::dump() const
{
    nlohmann::json uses = nlohmann::json::object();
    for (const auto &[use, name] : UseNames)
        uses[std::string(name)] = m_budget.used(use);
    const auto &counters = m_budget.counters();
    return {{"limit", m_budget.limit()},
            {"used", m_budget.used()},
            {"used-for", uses},
            {"promised", m_budget.promised()},
            {"peak", m_budget.peak()},
            {"waiting", m_budget.waiting()},
            {"waited", counters.waited},
            {"refused", counters.refused},
            {"closed-over-limit", counters.closedOverLimit},
            {"closed-stalled", counters.closedStalled}};
}

std::string MemoryTask::metrics() const
{
    const auto sample = [](const char *name, const std::string &labels, std::uint64_t value) {
        return prometheusSample(name, labels, static_cast<double>(value));
    };
    const auto &counters = m_budget.counters();
    std::string text = sample("berylspur_memory_limit_bytes", "", m_budget.limit());
    for (const auto &[use, name] : UseNames) {
        text += sample("berylspur_memory_used_bytes", "use=\"" + std::string(name) + "\"",
                       m_budget.used(use));
    }
    text += sample("berylspur_memory_promised_bytes", "", m_budget.promised());
    text += sample("berylspur_memory_peak_bytes", "", m_budget.peak());
    text += sample("berylspur_memory_waiting", "", m_budget.waiting());
    text += sample("berylspur_memory_waited_total", "", counters.waited);
    text += sample("berylspur_memory_refused_total", "", counters.refused);
    text += sample("berylspur_memory_closed_total", "reason=\"over-limit\"",
                   counters.closedOverLimit);
    text += sample("berylspur_memory_closed_total", "reason=\"stalled\"", counters.closedStalled);
    return text;
}

} // namespace berylspur
