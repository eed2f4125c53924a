// Output stage of the log: a bounded buffer, a rate limiter and non-blocking writes.
#pragma once

#include "berylspur/core/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace berylspur::log {

/// Decides which lines are dropped first.
enum class LinePriority {
    Normal, ///< rate-limited, and dropped once the buffer is half full
    High, ///< warning, error or cause of a failed request; dropped only when the buffer is full
};

/// Token-bucket rate limiter per kind of line. During mass rejections or retries, thousands of
/// similar lines per second would take CPU time away from requests.
class LineRateLimiter
{
public:
    /// Sustained rate and burst size for each kind of line.
    static constexpr double LinesPerSecond = 50;
    static constexpr double Burst = 100;

    struct Suppressed
    {
        std::string kind;
        std::uint64_t lines = 0;
    };

    /// Returns true if a line of \a kind may be written now; otherwise counts it as suppressed.
    bool admit(std::string_view kind, TimePoint now);
    /// Returns the kinds with lines suppressed since the last call.
    std::vector<Suppressed> takeSuppressed();

private:
    struct Kind
    {
        double tokens = Burst;
        TimePoint refilled;
        std::uint64_t suppressed = 0;
    };
    std::map<std::string, Kind, std::less<>>
            m_kinds; ///< bounded, because kinds are names in the code
};

/// FIFO of complete lines. Invariant: holds at most MaxBytes, and lines of normal priority are
/// accepted only up to half of that, so that they are dropped first when the reader stalls.
class LogBuffer
{
public:
    static constexpr std::size_t MaxBytes = 512u << 10;

    /// Appends \a line, which includes its line terminator, or counts it as dropped.
    void append(std::string_view line, LinePriority priority);
    /// Returns up to \a limit bytes from the front.
    std::string_view front(std::size_t limit) const;
    /// Removes \a bytes written bytes from the front.
    void consume(std::size_t bytes);
    void clear();
    /// Returns the number of lines dropped since the last call.
    std::uint64_t takeDropped();

    std::size_t size() const { return m_text.size() - m_offset; }
    bool isEmpty() const { return size() == 0; }

private:
    std::string m_text;
    std::size_t m_offset = 0; ///< bytes before it have been written
    std::uint64_t m_dropped = 0;
};

/// Writes as much as possible to \a fd without blocking, even if \a fd is in blocking mode. If
/// \a fd can no longer be written to (the reader is gone, or a write failed), clears the buffer and
/// returns false.
bool writeAvailable(LogBuffer &buffer, int fd);

} // namespace berylspur::log
