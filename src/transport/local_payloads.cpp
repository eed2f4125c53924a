// Registry of payloads in flight within this process.
#include "local_payloads.h"

#include <memory>
#include <utility>

namespace berylspur {

LocalPayloads::Offer::~Offer()
{
    auto &payloads = LocalPayloads::instance();
    const std::lock_guard lock(payloads.m_mutex);
    payloads.m_payloads.erase(m_number);
}

LocalPayloads &LocalPayloads::instance()
{
    static LocalPayloads payloads;
    return payloads;
}

std::unique_ptr<LocalPayloads::Offer> LocalPayloads::offer(SharedBody payload)
{
    const std::lock_guard lock(m_mutex);
    ++m_last;
    m_payloads.emplace(m_last, std::move(payload));
    return std::make_unique<Offer>(m_last);
}

SharedBody LocalPayloads::find(std::uint64_t number)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_payloads.find(number);
    return found == m_payloads.end() ? SharedBody() : found->second;
}

} // namespace berylspur
