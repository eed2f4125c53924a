// Payloads that pass from a client to the server of the same process without a copy.
#pragma once

#include "berylspur/core/shared_body.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace berylspur {

/// Payloads of exchanges in flight within this process, by the number that the stream carries in
/// place of the bytes. Safe for several threads, since a process may run more than one event loop.
class LocalPayloads
{
public:
    /// Withdraws its payload when it is destroyed.
    class Offer
    {
    public:
        explicit Offer(std::uint64_t number) : m_number(number) { }
        ~Offer();
        Offer(const Offer &) = delete;
        Offer &operator=(const Offer &) = delete;

        std::uint64_t number() const { return m_number; }

    private:
        std::uint64_t m_number;
    };

    static LocalPayloads &instance();

    std::unique_ptr<Offer> offer(SharedBody payload);
    /// The payload with this number; empty if it was withdrawn.
    SharedBody find(std::uint64_t number);

private:
    std::mutex m_mutex;
    std::uint64_t m_last = 0;
    std::unordered_map<std::uint64_t, SharedBody> m_payloads;
};

} // namespace berylspur
