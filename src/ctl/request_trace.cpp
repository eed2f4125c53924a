// Parses log lines and merges the lines of several nodes in time order.
#include "berylspur/ctl/request_trace.h"

#include "berylspur/ctl/explain.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <set>
#include <utility>

namespace berylspur {

namespace {

constexpr std::string_view NodeKey = " node=";
constexpr std::string_view RequestKey = "request";

/// Parses "2026-12-04 10:00:00,123" (UTC) into Unix milliseconds.
std::optional<std::int64_t> parseLogTime(std::string_view text)
{
    constexpr std::size_t SecondsLength = std::string_view("2026-12-04 10:00:00").size();
    constexpr std::size_t Length = SecondsLength + std::string_view(",123").size();
    if (text.size() != Length || text[SecondsLength] != ',')
        return std::nullopt;
    std::string seconds(text.substr(0, SecondsLength));
    std::replace(seconds.begin(), seconds.end(), ' ', 'T');
    const auto time = parseTime(seconds);
    const auto digits = text.substr(SecondsLength + 1);
    int ms = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), ms);
    if (!time || error != std::errc() || end != digits.data() + digits.size())
        return std::nullopt;
    return *time + ms;
}

/// Removes a value from the front of \a rest: a quoted string, or everything up to the next space.
std::string takeValue(std::string_view &rest)
{
    std::string value;
    if (rest.empty() || rest.front() != '"') {
        const auto end = std::min(rest.find(' '), rest.size());
        value = rest.substr(0, end);
        rest.remove_prefix(end);
        return value;
    }
    rest.remove_prefix(1);
    while (!rest.empty() && rest.front() != '"') {
        if (rest.front() == '\\' && rest.size() > 1)
            rest.remove_prefix(1);
        value.push_back(rest.front());
        rest.remove_prefix(1);
    }
    rest.remove_prefix(std::min<std::size_t>(rest.size(), 1));
    return value;
}

std::vector<std::pair<std::string, std::string>> parseFields(std::string_view rest)
{
    std::vector<std::pair<std::string, std::string>> fields;
    while (!rest.empty()) {
        if (rest.front() == ' ') {
            rest.remove_prefix(1);
            continue;
        }
        const auto equals = rest.find('=');
        if (equals == std::string_view::npos)
            break;
        std::string key(rest.substr(0, equals));
        rest.remove_prefix(equals + 1);
        fields.emplace_back(std::move(key), takeValue(rest));
    }
    return fields;
}

} // namespace

std::string_view LogLine::field(std::string_view key) const
{
    const auto found = std::find_if(fields.begin(), fields.end(),
                                    [key](const auto &entry) { return entry.first == key; });
    return found == fields.end() ? std::string_view() : std::string_view(found->second);
}

std::optional<LogLine> parseLogLine(std::string_view text)
{
    // Format: TIME LEVEL node=NAME event key=value ...
    constexpr std::size_t TimeLength = std::string_view("2026-12-04 10:00:00,123").size();
    const auto node = text.find(NodeKey);
    if (node == std::string_view::npos)
        return std::nullopt;
    const auto level = text.rfind(' ', node == 0 ? 0 : node - 1);
    if (level == std::string_view::npos || level < TimeLength)
        return std::nullopt;
    const auto time = parseLogTime(text.substr(level - TimeLength, TimeLength));
    if (!time)
        return std::nullopt;
    LogLine line;
    line.timeMs = *time;
    line.level = text.substr(level + 1, node - level - 1);
    auto rest = text.substr(node + NodeKey.size());
    line.node = takeValue(rest);
    rest.remove_prefix(std::min<std::size_t>(rest.size(), 1));
    line.event = takeValue(rest);
    line.fields = parseFields(rest);
    return line;
}

RequestTrace::RequestTrace(std::string requestId) : m_requestId(std::move(requestId)) { }

void RequestTrace::read(std::istream &log)
{
    std::string text;
    while (std::getline(log, text)) {
        ++m_linesRead;
        if (text.find(m_requestId) == std::string::npos)
            continue;
        auto line = parseLogLine(text);
        if (line && line->field(RequestKey) == m_requestId)
            m_lines.push_back(std::move(*line));
    }
}

std::vector<LogLine> RequestTrace::orderedLines() const
{
    std::vector<std::pair<std::int64_t, const LogLine *>> ordered;
    std::map<std::string, std::int64_t> latest;
    for (const auto &line : m_lines) {
        const auto [entry, isFirst] = latest.try_emplace(line.node, line.timeMs);
        entry->second = std::max(entry->second, line.timeMs);
        ordered.emplace_back(entry->second, &line);
    }
    std::stable_sort(ordered.begin(), ordered.end(),
                     [](const auto &left, const auto &right) { return left.first < right.first; });
    std::vector<LogLine> lines;
    lines.reserve(ordered.size());
    for (const auto &[time, line] : ordered)
        lines.push_back(*line);
    return lines;
}

std::vector<std::string> RequestTrace::nodesWithSteppedClock() const
{
    std::set<std::string> stepped;
    std::map<std::string, std::int64_t> last;
    for (const auto &line : m_lines) {
        const auto found = last.find(line.node);
        if (found != last.end() && line.timeMs < found->second)
            stepped.insert(line.node);
        last[line.node] = line.timeMs;
    }
    return {stepped.begin(), stepped.end()};
}

std::string describe(const LogLine &line)
{
    std::string text = formatTime(line.timeMs) + " " + line.node + " " + line.event;
    for (const auto &[key, value] : line.fields) {
        if (!value.empty() && key != RequestKey)
            text.append(" ").append(key).append("=").append(value);
    }
    return text;
}

} // namespace berylspur
