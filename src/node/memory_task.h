// Applies the memory budget of a node on its event loop.
#pragma once

#include "berylspur/core/memory_budget.h"
#include "berylspur/core/timer.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace berylspur {

class MemoryTask
{
public:
    /// \a limit: bytes; 0: derived from the memory of the host.
    MemoryTask(event_base *base, std::size_t limit);

    MemoryBudget &budget() { return m_budget; }
    nlohmann::json dump() const;
    std::string metrics() const;

private:
    void relieve();

    MemoryBudget m_budget;
    Timer m_timer;
};

} // namespace berylspur
