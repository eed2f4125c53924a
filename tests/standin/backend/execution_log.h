// Execution log of an endpoint: the ground truth of the tests about which requests ran.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace berylspur::standin {

/// Starts and ends of one request id or idempotency key.
struct Counts
{
    int started = 0;
    int finished = 0;
    std::string key;
};

/// Requests that one endpoint ran, by request id and by Idempotency-Key.
class ExecutionLog
{
public:
    /// \a file: descriptor to which each event is appended as a line, or -1.
    ExecutionLog(std::string endpoint, int file);

    void start(const std::string &id, const std::string &key);
    void finish(const std::string &id, const std::string &key);
    /// Records an event that does not change the counts, such as "shed", "cancel" or "deadline".
    void recordEvent(const char *event, const std::string &id, const std::string &key);
    nlohmann::json toJson() const;

private:
    void append(const char *event, const std::string &id, const std::string &key);

    std::string m_endpoint;
    int m_file;
    std::map<std::string, Counts> m_requests;
    std::map<std::string, Counts> m_keys;
    std::map<std::string, int> m_eventCounts;
};

} // namespace berylspur::standin
