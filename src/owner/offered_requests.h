// Requests with large bodies that an owner agreed to admit and whose bodies are on the way. Load
// pattern: bodies that take longer to transfer than a slot is free, sent to owners that refuse
// them, which fills the links of the owners' hosts with bodies that are thrown away.
#pragma once

#include "berylspur/core/clock.h"
#include "berylspur/core/ids.h"

#include <algorithm>
#include <cstddef>
#include <unordered_map>

namespace berylspur {

class OfferedRequests
{
public:
    /// A body that has not arrived by then no longer counts: its gate gave up, or its link failed.
    static constexpr Duration MaxTransfer = std::chrono::seconds(2);

    void add(const RequestId &id, TimePoint now) { m_expiry[id] = now + MaxTransfer; }
    /// The request arrived, or its gate withdrew the offer.
    void remove(const RequestId &id) { m_expiry.erase(id); }
    /// Number of bodies on the way.
    std::size_t count(TimePoint now)
    {
        std::erase_if(m_expiry, [now](const auto &entry) { return entry.second <= now; });
        return m_expiry.size();
    }

private:
    std::unordered_map<RequestId, TimePoint> m_expiry;
};

} // namespace berylspur
