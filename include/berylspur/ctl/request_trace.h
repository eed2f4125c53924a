// Collects the log lines of one request from the logs of any number of nodes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace berylspur {

/// One parsed line of a node's log.
struct LogLine
{
    std::int64_t timeMs = 0; ///< the node's clock, Unix milliseconds
    std::string level;
    std::string node;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;

    /// Value of the first field named \a key, or an empty string.
    std::string_view field(std::string_view key) const;
};

/// Parses a line in the format that nodes write. Skips any prefix that a log collector added before
/// the time. Returns std::nullopt if \a text is not such a line.
std::optional<LogLine> parseLogLine(std::string_view text);

/// Log lines of one request, gathered from several nodes and merged by time.
class RequestTrace
{
public:
    explicit RequestTrace(std::string requestId);

    /// Adds the lines of \a log whose request field is the request id. Lines of one node must be in
    /// the order in which it wrote them; lines of several nodes may be interleaved.
    void read(std::istream &log);

    /// Lines of all nodes sorted by time. Keeps the order of the lines of each node: after a clock
    /// was set back, later lines of that node sort by the latest time seen before the step.
    std::vector<LogLine> orderedLines() const;
    std::size_t linesRead() const { return m_linesRead; }
    /// Nodes whose clock was set back between two lines of the request.
    std::vector<std::string> nodesWithSteppedClock() const;

private:
    std::string m_requestId;
    std::vector<LogLine> m_lines; ///< in input order
    std::size_t m_linesRead = 0;
};

/// Formats \a line as one line: time, node, event, fields.
std::string describe(const LogLine &line);

} // namespace berylspur
