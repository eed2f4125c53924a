// Rate limiter and buffer of the log.
#include "berylspur/core/log_buffer.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace berylspur::log {

bool LineRateLimiter::admit(std::string_view kind, TimePoint now)
{
    auto found = m_kinds.find(kind);
    if (found == m_kinds.end())
        found = m_kinds.emplace(std::string(kind), Kind {Burst, now, 0}).first;
    Kind &entry = found->second;
    const double seconds = std::chrono::duration<double>(now - entry.refilled).count();
    entry.tokens = std::min(Burst, entry.tokens + std::max(0.0, seconds) * LinesPerSecond);
    entry.refilled = now;
    if (entry.tokens < 1) {
        ++entry.suppressed;
        return false;
    }
    entry.tokens -= 1;
    return true;
}

std::vector<LineRateLimiter::Suppressed> LineRateLimiter::takeSuppressed()
{
    std::vector<Suppressed> result;
    for (auto &[name, kind] : m_kinds) {
        if (const auto lines = std::exchange(kind.suppressed, 0); lines > 0)
            result.push_back({name, lines});
    }
    return result;
}

void LogBuffer::append(std::string_view line, LinePriority priority)
{
    const std::size_t limit = priority == LinePriority::High ? MaxBytes : MaxBytes / 2;
    if (size() + line.size() > limit)
        ++m_dropped;
    else
        m_text.append(line);
}

std::string_view LogBuffer::front(std::size_t limit) const
{
    return std::string_view(m_text).substr(m_offset, limit);
}

void LogBuffer::consume(std::size_t bytes)
{
    constexpr std::size_t CompactionBytes =
            64u << 10; // erasing at each write would move the rest each time
    m_offset += bytes;
    if (m_offset == m_text.size() || m_offset > CompactionBytes)
        m_text.erase(0, std::exchange(m_offset, 0));
}

void LogBuffer::clear()
{
    m_text.clear();
    m_offset = 0;
}

std::uint64_t LogBuffer::takeDropped()
{
    return std::exchange(m_dropped, 0);
}

bool writeAvailable(LogBuffer &buffer, int fd)
{
    // A pipe that polls as writable accepts PIPE_BUF bytes without blocking. The descriptor is not
    // set to O_NONBLOCK, because other processes share its file status flags.
    while (!buffer.isEmpty()) {
        pollfd entry {fd, POLLOUT, 0};
        const bool isWritable = poll(&entry, 1, 0) > 0 && (entry.revents & POLLOUT) != 0;
        const bool isGone = (entry.revents & (POLLERR | POLLNVAL | POLLHUP)) != 0;
        if (!isWritable && !isGone)
            return true;
        const auto chunk = buffer.front(PIPE_BUF);
        const auto written = isGone ? -1 : write(fd, chunk.data(), chunk.size());
        if (written > 0) {
            buffer.consume(static_cast<std::size_t>(written));
        } else if (!isGone && (errno == EINTR || errno == EAGAIN)) {
            return true;
        } else {
            buffer.clear();
            return false;
        }
    }
    return true;
}

} // namespace berylspur::log
