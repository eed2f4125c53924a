// Platform and admin calls for command-line programs: each runs the event loop until it ended.
#pragma once

#include "platform/http_caller.h"
#include "platform/platform_client.h"

#include <event2/event.h>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace berylspur {

class PlatformSession
{
public:
    PlatformSession(event_base *base, const Address &platform);

    Result<PlatformObject> read(const std::string &name);
    Result<std::uint64_t> write(const std::string &name, const std::string &value,
                                std::optional<std::uint64_t> expected);
    Result<std::vector<PlatformObject>> list(const std::string &prefix);

    /// Results in the order of \a names, at most MaxParallel calls at a time.
    std::vector<Result<PlatformObject>> readAll(const std::vector<std::string> &names);
    /// Writes objects that must not exist; one that exists counts as written. Repeats writes whose
    /// outcome is unknown. Fails with the first error.
    Result<void> createAll(const std::vector<PlatformObject> &objects);
    /// GET \a path at each address, in order. Fails with CommandNodeUnreachable.
    std::vector<Result<std::string>> fetchAll(const std::vector<Address> &nodes,
                                              const std::string &path);
    void sleep(Duration duration);

    static constexpr std::size_t MaxParallel = 32;

private:
    void runUntil(const std::function<bool()> &isDone);
    /// Calls \a start for 0 to \a count - 1; each calls the function it gets when it ended.
    void runAll(std::size_t count,
                const std::function<void(std::size_t, std::function<void()>)> &start);

    event_base *m_base;
    PlatformClient m_platform;
    HttpCaller m_http;
};

} // namespace berylspur
