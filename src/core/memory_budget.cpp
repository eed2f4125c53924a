// Order in which a node frees memory: waiting bodies, then holders without progress.
#include "berylspur/core/memory_budget.h"

#include <algorithm>
#include <iterator>
#include <sys/sysinfo.h>
#include <utility>

namespace berylspur {

namespace {

/// Freed bytes from which memory is returned to the system.
constexpr std::size_t TrimBytes = 16u << 20;
/// Holders with less are not closed for the benefit of waiting ones: it would free too little.
constexpr std::size_t MinStalledBytes = 32u << 10;
/// Holders with less, such as idle connections, are never closed: others hold the memory then.
constexpr std::size_t MinClosedBytes = 8u << 10;
/// Bounds the work of one relieve().
constexpr int MaxClosed = 64;

} // namespace

void MemoryBudget::change(MemoryUse use, std::size_t before, std::size_t after)
{
    m_usedFor[static_cast<std::size_t>(use)] += after - before;
    m_used += after - before;
    m_peak = std::max(m_peak, m_used);
    m_peakSinceTrim = std::max(m_peakSinceTrim, m_used);
    const bool isOverLimit = after > before && m_used > m_limit;
    const bool mayResume = after < before && !m_waiting.empty();
    const bool wasTrimDue = std::exchange(m_isTrimDue, m_peakSinceTrim - m_used > TrimBytes);
    if (isOverLimit || mayResume || (m_isTrimDue && !wasTrimDue))
        needRelief();
}

void MemoryBudget::changePromise(std::size_t before, std::size_t after)
{
    m_promised += after - before;
    if (after < before && !m_waiting.empty())
        needRelief();
}

void MemoryBudget::needRelief()
{
    if (!std::exchange(m_isReliefNeeded, true) && m_onReliefNeeded)
        m_onReliefNeeded();
}

bool MemoryBudget::relieve(TimePoint now)
{
    closeOverLimit(now);
    closeStalled(now);
    resumeWaiting();
    m_isReliefNeeded = false;
    return !m_waiting.empty() || isShort() || m_isTrimDue;
}

bool MemoryBudget::takeTrimDue(TimePoint now)
{
    if (!m_isTrimDue || now - m_lastTrim < TrimInterval)
        return false;
    m_isTrimDue = false;
    m_lastTrim = now;
    m_peakSinceTrim = m_used;
    return true;
}

MemoryHolder *MemoryBudget::worst(TimePoint now, Duration stalled, std::size_t minBytes) const
{
    MemoryHolder *found = nullptr;
    double highest = 0;
    for (auto *holder : m_holders) {
        const auto bytes = holder->held() + holder->m_promised;
        const auto since = now - holder->m_lastProgress;
        if (holder->m_isClosing || bytes < minBytes || since < stalled)
            continue;
        // One microsecond more, so that the memory decides between holders that just progressed.
        const auto score = static_cast<double>(bytes)
                           * static_cast<double>(std::max(since, Duration::zero()).count() + 1);
        if (score > highest) {
            highest = score;
            found = holder;
        }
    }
    return found;
}

void MemoryBudget::closeOverLimit(TimePoint now)
{
    for (int closed = 0; m_used > m_limit && closed < MaxClosed; ++closed) {
        auto *holder = worst(now, Duration::zero(), MinClosedBytes);
        if (!holder)
            return;
        ++m_counters.closedOverLimit;
        holder->m_isClosing = true;
        const auto close = holder->m_callbacks.close; // copied: closing may destroy the holder
        close();
    }
}

void MemoryBudget::closeStalled(TimePoint now)
{
    const auto isRelieved = [this] {
        return !isShort() && (m_waiting.empty() || mayPromise(m_waiting.front()->m_wanted));
    };
    for (int closed = 0; !isRelieved() && closed < MaxClosed; ++closed) {
        auto *holder = worst(now, StallTime, MinStalledBytes);
        if (!holder)
            return;
        ++m_counters.closedStalled;
        holder->m_isClosing = true;
        const auto close = holder->m_callbacks.close; // copied: closing may destroy the holder
        close();
    }
}

void MemoryBudget::resumeWaiting()
{
    while (!m_waiting.empty() && mayPromise(m_waiting.front()->m_wanted)) {
        auto *holder = m_waiting.front();
        m_waiting.pop_front();
        const auto wanted = std::exchange(holder->m_wanted, 0);
        changePromise(holder->m_promised, holder->m_promised + wanted);
        holder->m_promised += wanted;
        holder->m_lastProgress = BootClock::now();
        const auto resume = holder->m_callbacks.resume; // copied: it may destroy the holder
        resume();
    }
}

MemoryReservation::MemoryReservation(MemoryBudget *budget, MemoryUse use, std::size_t bytes)
    : m_budget(budget), m_use(use)
{
    resize(bytes);
}

MemoryReservation::MemoryReservation(MemoryReservation &&other) noexcept
    : m_budget(std::exchange(other.m_budget, nullptr)), m_use(other.m_use),
      m_bytes(std::exchange(other.m_bytes, 0))
{
}

MemoryReservation &MemoryReservation::operator=(MemoryReservation &&other) noexcept
{
    if (this != &other) {
        resize(0);
        m_budget = std::exchange(other.m_budget, nullptr);
        m_use = other.m_use;
        m_bytes = std::exchange(other.m_bytes, 0);
    }
    return *this;
}

void MemoryReservation::resize(std::size_t bytes)
{
    const auto before = std::exchange(m_bytes, bytes);
    if (m_budget && before != bytes)
        m_budget->change(m_use, before, bytes);
}

MemoryHolder::MemoryHolder(MemoryBudget *budget, MemoryUse use, Callbacks callbacks)
    : m_budget(budget), m_held(budget, use), m_callbacks(std::move(callbacks))
{
    if (m_budget)
        m_entry = m_budget->m_holders.insert(m_budget->m_holders.end(), this);
}

MemoryHolder::~MemoryHolder()
{
    if (!m_budget)
        return;
    m_budget->m_holders.erase(m_entry);
    releasePromise();
}

void MemoryHolder::hold(std::size_t bytes)
{
    if (!m_budget)
        return;
    const auto grown = bytes - std::min(bytes, held());
    const auto kept = m_promised - std::min(grown, m_promised);
    // Not changePromise(): what was promised is used, so nobody else can have it.
    m_budget->m_promised -= m_promised - kept;
    m_promised = kept;
    m_held.resize(bytes);
}

bool MemoryHolder::promise(std::size_t bytes)
{
    if (!m_budget || bytes == 0)
        return true;
    if (m_budget->m_waiting.empty() && m_budget->mayPromise(bytes)) {
        m_budget->changePromise(m_promised, m_promised + bytes);
        m_promised += bytes;
        return true;
    }
    ++m_budget->m_counters.waited;
    m_wanted = bytes;
    m_budget->m_waiting.push_back(this);
    m_budget->needRelief();
    return false;
}

void MemoryHolder::releasePromise()
{
    if (!m_budget)
        return;
    if (std::exchange(m_wanted, 0) > 0)
        m_budget->m_waiting.remove(this);
    m_budget->changePromise(std::exchange(m_promised, 0), 0);
}

std::size_t defaultMemoryLimit(std::uint64_t hostBytes)
{
    constexpr std::uint64_t NodeBytes = 64u << 20; // of the node and its system, at rest
    // One body of 64 MiB, the largest that settings allow, fits into maxBody() of the least limit.
    constexpr std::uint64_t Least = 80u << 20;
    // The node may share a host with others, and eight uploads of 60 MiB must stay below 200 MB.
    constexpr std::uint64_t Most = 144u << 20;
    const auto half = (hostBytes - std::min(hostBytes, NodeBytes)) / 2;
    return static_cast<std::size_t>(std::clamp(half, Least, Most));
}

std::uint64_t hostMemory()
{
    struct sysinfo info = {};
    return sysinfo(&info) == 0 ? std::uint64_t {info.totalram} * info.mem_unit : 0;
}

} // namespace berylspur
