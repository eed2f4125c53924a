// Searches the decision objects on the platform and formats decision records.
#include "berylspur/ctl/explain.h"

#include "berylspur/record/decision_logging.h"
#include "berylspur/record/record_task.h"

#include <algorithm>
#include <charconv>
#include <ctime>
#include <iomanip>
#include <map>
#include <set>
#include <sstream>
#include <tuple>

namespace berylspur {

namespace {

constexpr std::int64_t MsPerSecond = 1000;
constexpr std::int64_t MsPerMinute = 60 * MsPerSecond;

bool matches(const schema::DecisionRecord &record, const ExplainQuery &query)
{
    return record.time_ms() >= query.fromMs && record.time_ms() <= query.toMs
           && (query.endpoint.empty() || record.endpoint() == query.endpoint)
           && (query.requestId.empty() || record.request_id() == query.requestId);
}

Result<std::vector<std::string>> objectNames(PlatformSession &session, const ExplainQuery &query)
{
    std::vector<std::string> names;
    for (auto time = query.fromMs / MsPerMinute * MsPerMinute; time <= query.writtenUntilMs;
         time += MsPerMinute) {
        const auto objects = session.list(RecordTask::minutePrefix(time));
        if (!objects)
            return objects.as_failure();
        for (const auto &object : objects.value())
            names.push_back(object.name);
    }
    return names;
}

} // namespace

Result<Explanation> explain(PlatformSession &session, const ExplainQuery &query)
{
    const auto names = objectNames(session, query);
    if (!names)
        return names.as_failure();
    Explanation explanation;
    // Each batch carries the running total of its node and incarnation; the largest is the latest.
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> dropped;
    for (const auto &object : session.readAll(names.value())) {
        schema::DecisionBatch batch;
        ++explanation.objectsRead;
        if (!object || !batch.ParseFromString(object.value().value)) {
            ++explanation.objectsFailed;
            continue;
        }
        auto &count = dropped[{batch.node(), batch.incarnation()}];
        count = std::max(count, batch.dropped());
        for (const auto &record : batch.records()) {
            if (matches(record, query))
                explanation.records.push_back(record);
        }
    }
    for (const auto &[node, count] : dropped)
        explanation.dropped += count;
    std::stable_sort(explanation.records.begin(), explanation.records.end(),
                     [](const auto &left, const auto &right) {
                         return std::tuple(left.time_ms(), left.node())
                                < std::tuple(right.time_ms(), right.node());
                     });
    return explanation;
}

std::optional<std::int64_t> parseTime(std::string_view text)
{
    std::int64_t seconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (error == std::errc() && end == text.data() + text.size() && seconds >= 0
        && seconds < (std::int64_t {1} << 40))
        return seconds * MsPerSecond;
    if (text.ends_with('Z'))
        text.remove_suffix(1);
    // std::get_time also accepts input that ends before the format does.
    constexpr std::size_t Length = std::string_view("2026-12-04T10:00:00").size();
    std::tm time {};
    std::istringstream stream {std::string(text)};
    stream >> std::get_time(&time, "%Y-%m-%dT%H:%M:%S");
    if (stream.fail() || text.size() != Length)
        return std::nullopt;
    return static_cast<std::int64_t>(timegm(&time)) * MsPerSecond;
}

std::string formatTime(std::int64_t timeMs)
{
    const auto seconds = static_cast<std::time_t>(timeMs / MsPerSecond);
    std::tm time {};
    gmtime_r(&seconds, &time);
    std::ostringstream text;
    text << std::put_time(&time, "%Y-%m-%dT%H:%M:%S") << "." << std::setw(3) << std::setfill('0')
         << timeMs % MsPerSecond << "Z";
    return text.str();
}

std::string describe(const schema::DecisionRecord &record)
{
    std::ostringstream text;
    text << formatTime(record.time_ms()) << " " << record.node() << " "
         << enumName(DecisionKindNames, record.kind());
    const auto add = [&text](const char *key, const std::string &value) {
        if (!value.empty())
            text << " " << key << "=" << value;
    };
    add("service", record.service());
    add("endpoint", record.endpoint());
    add("rule", record.rule());
    for (const auto &figure : record.figures())
        text << " " << figure.name() << "=" << figure.value();
    add("request", record.request_id());
    if (record.code() != 0)
        text << " code=" << record.code() << " " << errorName(errorFromNumber(record.code()));
    text << " revision=" << record.config_revision();
    return text.str();
}

} // namespace berylspur
