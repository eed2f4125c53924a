// Log lines on their way to standard output: bounded in memory and in rate, never blocking.
#pragma once

#include "berylspur/core/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace berylspur::log {

enum class Importance {
    Routine, ///< may be left out above a rate, and first when the buffer is filling
    Cause, ///< names the cause of a failed request, or a fault; left out only when the buffer is
           ///< full
};

/// Bounds the lines of one kind. Load pattern: a storm of refusals or retries, when thousands of
/// lines that say the same would cost the processor time that requests need.
class LineLimiter
{
public:
    /// Lines of one kind per second that are written, and the burst above it.
    static constexpr double LinesPerSecond = 50;
    static constexpr double Burst = 100;

    struct LeftOut
    {
        std::string kind;
        std::uint64_t lines = 0;
    };

    /// True if a line of \a kind may be written now; otherwise it is counted as left out.
    bool admit(std::string_view kind, TimePoint now);
    /// Kinds with lines left out since the last call.
    std::vector<LeftOut> takeLeftOut();

private:
    struct Kind
    {
        double tokens = Burst;
        TimePoint refilled;
        std::uint64_t leftOut = 0;
    };
    std::map<std::string, Kind, std::less<>>
            m_kinds; ///< kinds are names in the code, so they are few
};

/// Whole lines in order. Invariant: at most MaxBytes are held, and routine lines fill at most half
/// of them, so that a stopped reader costs the routine lines first.
class LogBuffer
{
public:
    static constexpr std::size_t MaxBytes = 512u << 10;

    /// Takes \a line (with its line end), or counts it as dropped.
    void append(std::string_view line, Importance importance);
    /// The first bytes, at most \a limit of them; empty if there are none.
    std::string_view front(std::size_t limit) const;
    /// Forgets the first \a bytes, which were written.
    void consume(std::size_t bytes);
    void clear();
    /// Lines dropped since the last call.
    std::uint64_t takeDropped();

    std::size_t size() const { return m_text.size() - m_offset; }
    bool isEmpty() const { return size() == 0; }

private:
    std::string m_text;
    std::size_t m_offset = 0; ///< the bytes before it were written
    std::uint64_t m_dropped = 0;
};

/// Writes what fits to \a fd without waiting, whether or not the descriptor blocks. Returns false
/// once \a fd cannot be written to any more; the buffer is empty then.
bool writeAvailable(LogBuffer &buffer, int fd);

} // namespace berylspur::log
