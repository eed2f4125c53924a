// Finds the way of one request in the logs of any number of nodes.
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

/// A line of a node's log.
struct LogLine
{
    std::int64_t timeMs = 0; ///< the node's clock, Unix milliseconds
    std::string level;
    std::string node;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;

    /// Value of the first field \a key; empty if there is none.
    std::string_view field(std::string_view key) const;
};

/// Reads a line as the nodes write it; what a collector put in front of the time is skipped.
/// Nothing if \a text is no such line.
std::optional<LogLine> parseLogLine(std::string_view text);

/// The lines that name one request, in order.
class LogTrail
{
public:
    explicit LogTrail(std::string requestId);

    /// Takes the lines of a log that concern the request. Lines of one node must be in the order in
    /// which it wrote them; logs of several nodes may be mixed.
    void read(std::istream &log);

    /// By time over all nodes. The order of the lines of each node is kept: where its clock was set
    /// back, its later lines count from the latest time before.
    std::vector<LogLine> inOrder() const;
    std::size_t linesRead() const { return m_read; }
    /// Nodes whose clock went back between two lines of the request.
    std::vector<std::string> steppedClocks() const;

private:
    std::string m_requestId;
    std::vector<LogLine> m_lines; ///< in the order in which they were read
    std::size_t m_read = 0;
};

/// One line for people.
std::string describe(const LogLine &line);

} // namespace berylspur
