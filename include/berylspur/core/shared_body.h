// Body of a request that its gate, the transport and its owner hold together without copies.
#pragma once

#include "berylspur/core/memory_budget.h"

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace berylspur {

/// Immutable bytes, and the memory reserved for them. Copies refer to the same bytes.
class SharedBody
{
public:
    SharedBody() = default;
    SharedBody(std::string bytes, MemoryReservation memory = {})
    {
        if (!bytes.empty())
            m_held = std::make_shared<const Held>(std::move(bytes), std::move(memory));
    }
    SharedBody(const char *bytes) : SharedBody(std::string(bytes)) { }

    std::string_view bytes() const { return m_held ? std::string_view(m_held->bytes) : ""; }
    std::size_t size() const { return bytes().size(); }
    bool empty() const { return !m_held; }

private:
    struct Held
    {
        Held(std::string content, MemoryReservation reserved)
            : bytes(std::move(content)), memory(std::move(reserved))
        {
        }
        std::string bytes;
        MemoryReservation memory;
    };

    std::shared_ptr<const Held> m_held; // null if empty
};

} // namespace berylspur
