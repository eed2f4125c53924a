// Blocking platform and admin calls on an event loop.
#include "berylspur/ctl/platform_session.h"

#include <algorithm>

namespace berylspur {

namespace {

constexpr Duration AdminTimeout = std::chrono::seconds(2);
constexpr int MaxWriteAttempts = 3;

} // namespace

PlatformSession::PlatformSession(event_base *base, const Address &platform)
    : m_base(base), m_platform(base, platform), m_http(base)
{
}

void PlatformSession::runUntil(const std::function<bool()> &isDone)
{
    while (!isDone())
        event_base_loop(m_base, EVLOOP_ONCE);
}

void PlatformSession::runConcurrently(
        std::size_t count, const std::function<void(std::size_t, std::function<void()>)> &start)
{
    std::size_t started = 0;
    std::size_t done = 0;
    while (done < count) {
        while (started < count && started - done < MaxConcurrentCalls)
            start(started++, [&done] { ++done; });
        const auto doneBefore = done;
        runUntil([&] { return done > doneBefore; });
    }
}

Result<PlatformObject> PlatformSession::read(const std::string &name)
{
    return readAll({name}).front();
}

Result<ObjectVersion> PlatformSession::write(const std::string &name, const std::string &value,
                                             std::optional<ObjectVersion> expected)
{
    std::optional<Result<ObjectVersion>> result;
    m_platform.write(name, value, expected,
                     [&result](const auto &outcome) { result.emplace(outcome); });
    runUntil([&result] { return result.has_value(); });
    return *result;
}

Result<std::vector<PlatformObject>> PlatformSession::list(const std::string &prefix)
{
    std::optional<Result<std::vector<PlatformObject>>> result;
    m_platform.list(prefix, [&result](auto outcome) { result.emplace(std::move(outcome)); });
    runUntil([&result] { return result.has_value(); });
    return *result;
}

std::vector<Result<PlatformObject>> PlatformSession::readAll(const std::vector<std::string> &names)
{
    std::vector<Result<PlatformObject>> results(names.size(),
                                                failure(ErrorCode::PlatformUnreachable));
    runConcurrently(names.size(), [&](std::size_t index, const std::function<void()> &done) {
        m_platform.read(names[index], [&results, index, done](Result<PlatformObject> object) {
            results[index] = std::move(object);
            done();
        });
    });
    return results;
}

Result<void> PlatformSession::createAll(const std::vector<PlatformObject> &objects)
{
    std::vector<Error> errors(objects.size(), Error {ErrorCode::PlatformTimeout, {}});
    for (int i = 0; i < MaxWriteAttempts; ++i) {
        std::vector<std::size_t> pending;
        for (std::size_t j = 0; j < errors.size(); ++j) {
            if (errors[j].code == ErrorCode::PlatformTimeout)
                pending.push_back(j);
        }
        runConcurrently(pending.size(), [&](std::size_t index, const std::function<void()> &done) {
            const auto &object = objects[pending[index]];
            auto &error = errors[pending[index]];
            m_platform.write(
                    object.name, object.value, NoObject, [&error, done](const auto &result) {
                        error = result || result.error().code == ErrorCode::PlatformConflict
                                        ? Error {}
                                        : result.error();
                        done();
                    });
        });
    }
    const auto failed = std::find_if(errors.begin(), errors.end(),
                                     [](const Error &e) { return e.code != ErrorCode::Ok; });
    if (failed != errors.end())
        return *failed;
    return success();
}

std::vector<Result<std::string>> PlatformSession::fetchAll(const std::vector<Address> &nodes,
                                                           const std::string &path)
{
    std::vector<Result<std::string>> results(nodes.size(),
                                             failure(ErrorCode::CommandNodeUnreachable));
    runConcurrently(nodes.size(), [&](std::size_t index, const std::function<void()> &done) {
        const auto &node = nodes[index];
        m_http.start(node, {EVHTTP_REQ_GET, path, {}, AdminTimeout},
                     [&results, index, done, node](HttpResponse answer) {
                         if (answer.status == HTTP_OK)
                             results[index] = std::move(answer.body);
                         else
                             results[index] =
                                     failure(ErrorCode::CommandNodeUnreachable, node.toString());
                         done();
                     });
    });
    return results;
}

void PlatformSession::sleep(Duration duration)
{
    const timeval time {static_cast<time_t>(duration.count() / 1000000),
                        static_cast<suseconds_t>(duration.count() % 1000000)};
    bool isOver = false;
    event_base_once(
            m_base, -1, EV_TIMEOUT,
            [](evutil_socket_t, short, void *flag) { *static_cast<bool *>(flag) = true; }, &isOver,
            &time);
    runUntil([&isOver] { return isOver; });
}

} // namespace berylspur
