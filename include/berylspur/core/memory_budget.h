// Memory that callers, endpoints and peers make a node hold. The budget is a state machine without
// I/O: holders report what they hold, relieve() decides what is closed and what may continue.
#pragma once

#include "berylspur/core/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <utility>

namespace berylspur {

/// What memory is held for.
enum class MemoryUse { Callers, Bodies, Responses, PeerBodies };
inline constexpr std::size_t MemoryUses = 4;

class MemoryHolder;

/// Counts the memory of one node. Must outlive its reservations and holders.
class MemoryBudget
{
public:
    /// Totals since the process started.
    struct Counters
    {
        std::uint64_t waited = 0; ///< bodies that had to wait before they were read
        std::uint64_t refused = 0; ///< requests refused because they did not fit
        std::uint64_t closedOverLimit = 0; ///< holders closed because the limit was exceeded
        std::uint64_t closedStalled = 0; ///< the same, without progress while others waited
    };

    /// Time without progress after which a holder may be closed for the benefit of others.
    static constexpr Duration StallTime = std::chrono::seconds(2);
    /// Interval of relieve() while memory is short.
    static constexpr Duration RelieveInterval = std::chrono::milliseconds(250);

    /// Returning memory to the system walks the heap, so it is done rarely.
    static constexpr Duration TrimInterval = std::chrono::seconds(5);

    explicit MemoryBudget(std::size_t limit) : m_limit(limit) { }
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    std::size_t limit() const { return m_limit; }
    std::size_t used() const { return m_used; }
    std::size_t used(MemoryUse use) const { return m_usedFor[static_cast<std::size_t>(use)]; }
    /// Bytes granted to bodies that have not arrived yet.
    std::size_t promised() const { return m_promised; }
    std::size_t peak() const { return m_peak; }
    std::size_t waiting() const { return m_waiting.size(); }
    const Counters &counters() const { return m_counters; }
    void countRefusal() { ++m_counters.refused; }

    /// True if no further memory should be taken that can be avoided.
    bool isShort() const { return m_used + m_promised > m_limit / 4 * 3; }
    /// Largest body that can ever be held. The rest is left to requests with small bodies.
    std::size_t maxBody() const { return m_limit - m_limit / 8; }
    /// True if \a bytes more may be taken at once.
    bool fits(std::size_t bytes) const { return m_used + m_promised + bytes <= m_limit; }

    /// Closes holders if memory is short, then lets waiting ones continue. Returns true if it must
    /// be called again after RelieveInterval.
    bool relieve(TimePoint now);
    /// True if memory worth returning to the system was freed, at most once per TrimInterval.
    bool takeTrimDue(TimePoint now);
    /// Sets the callback that asks for relieve() to be called soon.
    void onReliefNeeded(std::function<void()> callback) { m_onReliefNeeded = std::move(callback); }

private:
    friend class MemoryHolder;
    friend class MemoryReservation;

    void change(MemoryUse use, std::size_t before, std::size_t after);
    void changePromise(std::size_t before, std::size_t after);
    bool mayPromise(std::size_t bytes) const { return m_used + m_promised + bytes <= maxBody(); }
    void needRelief();
    /// The holder with the most memory for the longest time, of those that made no progress for
    /// \a stalled and hold at least \a minBytes; null if there is none.
    MemoryHolder *worst(TimePoint now, Duration stalled, std::size_t minBytes) const;
    void closeOverLimit(TimePoint now);
    void closeStalled(TimePoint now);
    void resumeWaiting();

    std::size_t m_limit;
    std::size_t m_used = 0;
    std::array<std::size_t, MemoryUses> m_usedFor {};
    std::size_t m_promised = 0;
    std::size_t m_peak = 0;
    std::size_t m_peakSinceTrim = 0;
    bool m_isTrimDue = false;
    TimePoint m_lastTrim {};
    std::list<MemoryHolder *> m_holders;
    std::list<MemoryHolder *> m_waiting; // first come, first served
    std::function<void()> m_onReliefNeeded;
    bool m_isReliefNeeded = false; // m_onReliefNeeded was called since the last relieve()
    Counters m_counters;
};

/// Bytes counted until the reservation is resized or destroyed. Without a budget it counts nothing.
class MemoryReservation
{
public:
    MemoryReservation() = default;
    MemoryReservation(MemoryBudget *budget, MemoryUse use, std::size_t bytes = 0);
    MemoryReservation(MemoryReservation &&other) noexcept;
    MemoryReservation &operator=(MemoryReservation &&other) noexcept;
    ~MemoryReservation() { resize(0); }

    void resize(std::size_t bytes);
    std::size_t bytes() const { return m_bytes; }

private:
    MemoryBudget *m_budget = nullptr;
    MemoryUse m_use = MemoryUse::Callers;
    std::size_t m_bytes = 0;
};

/// Something that holds memory, may wait for more, and can be closed to free it. Without a budget
/// it counts nothing and never waits.
class MemoryHolder
{
public:
    struct Callbacks
    {
        std::function<void()> close; ///< must free what is held
        std::function<void()> resume; ///< the memory that it waits for was promised
    };

    MemoryHolder(MemoryBudget *budget, MemoryUse use, Callbacks callbacks);
    ~MemoryHolder();
    MemoryHolder(const MemoryHolder &) = delete;
    MemoryHolder &operator=(const MemoryHolder &) = delete;

    /// States what is held now. Growth comes out of what was promised.
    void hold(std::size_t bytes);
    std::size_t held() const { return m_held.bytes(); }
    /// Asks for \a bytes more than is held and promised. Returns false if they have to be waited
    /// for; resume() follows once they are promised.
    bool promise(std::size_t bytes);
    /// Gives back what was promised and ends waiting.
    void releasePromise();
    bool isWaiting() const { return m_wanted > 0; }
    /// Records that the peer sent or took a relevant amount of data.
    void progressed(TimePoint now) { m_lastProgress = now; }

private:
    friend class MemoryBudget;

    MemoryBudget *m_budget;
    MemoryReservation m_held;
    std::size_t m_promised = 0;
    std::size_t m_wanted = 0; // waits for the promise of so many bytes; 0: does not wait
    Callbacks m_callbacks;
    TimePoint m_lastProgress = BootClock::now();
    bool m_isClosing = false;
    std::list<MemoryHolder *>::iterator m_entry;
};

/// Default limit for a host with \a hostBytes of memory. Half of what the node does not need
/// itself, at least one body of the largest size.
std::size_t defaultMemoryLimit(std::uint64_t hostBytes);
/// Memory of the host, in bytes.
std::uint64_t hostMemory();

} // namespace berylspur
