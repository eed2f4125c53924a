// Exponential backoff for failed paths.
#include "berylspur/routing/path_health.h"

#include <algorithm>

namespace berylspur {

namespace {

constexpr Duration MinAvoidance = std::chrono::milliseconds(250);
constexpr Duration MaxAvoidance = std::chrono::seconds(8);

} // namespace

void PathHealth::recordFailure(const std::string &node, TimePoint now)
{
    Path &path = m_paths[node];
    // All requests on a connection fail together and count as one failure.
    if (now < path.avoidUntil)
        return;
    constexpr std::uint32_t MaxDoublings = 5;
    path.avoidUntil =
            now
            + std::min(MinAvoidance * (1U << std::min(path.failures, MaxDoublings)), MaxAvoidance);
    ++path.failures;
}

void PathHealth::recordSuccess(const std::string &node)
{
    m_paths.erase(node);
}

bool PathHealth::isUsable(const std::string &node, TimePoint now) const
{
    const auto path = m_paths.find(node);
    return path == m_paths.end() || now >= path->second.avoidUntil;
}

void PathHealth::retain(const std::unordered_set<std::string> &known)
{
    std::erase_if(m_paths, [&known](const auto &entry) { return !known.contains(entry.first); });
}

std::size_t PathHealth::size() const
{
    return m_paths.size();
}

} // namespace berylspur
