// Blocking platform and admin calls for command-line programs.
#pragma once

#include "platform/http_client.h"
#include "platform/platform_client.h"

#include <event2/event.h>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace berylspur {

/// Runs the event loop until the call has completed.
class PlatformSession
{
public:
    PlatformSession(event_base *base, const Address &platform);

    Result<PlatformObject> read(const std::string &name);
    Result<ObjectVersion> write(const std::string &name, const std::string &value,
                                std::optional<ObjectVersion> expected);
    Result<std::vector<PlatformObject>> list(const std::string &prefix);

    /// Reads objects, at most MaxConcurrentCalls at a time. Results are in the order of \a names.
    std::vector<Result<PlatformObject>> readAll(const std::vector<std::string> &names);
    /// Creates objects; one that already exists counts as written. Repeats writes whose outcome is
    /// unknown. Fails with the first error.
    Result<void> createAll(const std::vector<PlatformObject> &objects);
    /// GET \a path from each address. Results are in the order of \a nodes; a failed call gives
    /// CommandNodeUnreachable.
    std::vector<Result<std::string>> fetchAll(const std::vector<Address> &nodes,
                                              const std::string &path);
    void sleep(Duration duration);

    static constexpr std::size_t MaxConcurrentCalls = 32;

private:
    void runUntil(const std::function<bool()> &isDone);
    /// Calls \a start with 0 to \a count - 1 and a callback that the call invokes on completion.
    void runConcurrently(std::size_t count,
                         const std::function<void(std::size_t, std::function<void()>)> &start);

    event_base *m_base;
    PlatformClient m_platform;
    HttpClient m_http;
};

} // namespace berylspur
