// Counts the events of an endpoint and appends them to the log file.
#include "execution_log.h"

#include "endpoint_protocol.h"

#include <iostream>
#include <unistd.h>

namespace berylspur::standin {

using nlohmann::json;

ExecutionLog::ExecutionLog(std::string endpoint, int file)
    : m_endpoint(std::move(endpoint)), m_file(file)
{
}

void ExecutionLog::start(const std::string &id, const std::string &key)
{
    auto &counts = m_requests[id];
    ++counts.started;
    counts.key = key;
    if (!key.empty())
        ++m_keys[key].started;
    append("start", id, key);
}

void ExecutionLog::finish(const std::string &id, const std::string &key)
{
    ++m_requests[id].finished;
    if (!key.empty())
        ++m_keys[key].finished;
    append("finish", id, key);
}

void ExecutionLog::recordEvent(const char *event, const std::string &id, const std::string &key)
{
    ++m_eventCounts[event];
    append(event, id, key);
}

json ExecutionLog::toJson() const
{
    json requests = json::object();
    json keys = json::object();
    for (const auto &[id, counts] : m_requests) {
        requests[id] = {
                {"started", counts.started}, {"finished", counts.finished}, {"key", counts.key}};
    }
    for (const auto &[key, counts] : m_keys)
        keys[key] = {{"started", counts.started}, {"finished", counts.finished}};
    return {{"endpoint", m_endpoint},
            {"requests", requests},
            {"keys", keys},
            {"notes", m_eventCounts}};
}

void ExecutionLog::append(const char *event, const std::string &id, const std::string &key)
{
    if (m_file < 0)
        return;
    const json line = {{"endpoint", m_endpoint},
                       {"event", event},
                       {"id", id},
                       {"key", key},
                       {"at-ms", unixMs()}};
    const std::string text = line.dump() + "\n";
    // A single write per line, because several processes append to the same file.
    if (write(m_file, text.data(), text.size()) < 0)
        std::cerr << "cannot append to the execution log\n";
}

} // namespace berylspur::standin
