// Counts of runs and nested calls with exponential decay.
#include "berylspur/admission/call_statistics.h"

#include <cmath>

namespace berylspur {

namespace {

/// Bounds of the memory. Few routes of one host's endpoints make calls, to few services each.
constexpr std::size_t MaxRoutes = 256;
constexpr std::size_t MaxServices = 16;

/// Runs below which the counts of a route say little.
constexpr double MinRuns = 3;

/// Weight at which a route or a service is forgotten: a single run or call after 20 s.
constexpr double MinWeight = 0.001;

} // namespace

void CallStatistics::onRun(const std::string &route, TimePoint now)
{
    if (m_routes.size() >= MaxRoutes && !m_routes.contains(route))
        return;
    Route &entry = m_routes[route];
    decay(entry, now);
    entry.runs += 1;
}

void CallStatistics::onCallEnded(const std::string &route, const EndedCall &call, TimePoint now)
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end())
        return;
    Route &entry = found->second;
    decay(entry, now);
    if (entry.services.size() >= MaxServices && !entry.services.contains(call.service))
        return;
    Service &service = entry.services[call.service];
    service.calls += 1;
    if (call.isRefused) {
        service.refused += 1;
    } else if (call.serviceTime > Duration::zero()) {
        service.timed += 1;
        service.serviceUs += static_cast<double>(call.serviceTime.count());
        service.waitUs += static_cast<double>(call.wait.count());
    }
}

std::vector<CallReport> CallStatistics::calls(const std::string &route, TimePoint now) const
{
    std::vector<CallReport> reports;
    const auto found = m_routes.find(route);
    if (found == m_routes.end())
        return reports;
    Route entry = found->second;
    decay(entry, now);
    if (entry.runs < MinRuns)
        return reports;
    for (const auto &[name, service] : entry.services) {
        CallReport report {name, service.calls / entry.runs, service.refused / service.calls};
        if (service.timed > 0) {
            report.usualTime = Duration(std::llround(service.serviceUs / service.timed));
            report.wait = Duration(std::llround(service.waitUs / service.timed));
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

void CallStatistics::expire(TimePoint now)
{
    for (auto &[name, route] : m_routes)
        decay(route, now);
    std::erase_if(m_routes, [](const auto &entry) { return entry.second.runs < MinWeight; });
}

void CallStatistics::decay(Route &route, TimePoint now)
{
    const double factor = std::exp(-std::chrono::duration<double>(now - route.decayedAt)
                                   / std::chrono::duration<double>(Window));
    route.decayedAt = now;
    route.runs *= factor;
    for (auto &[name, service] : route.services) {
        for (double *value : {&service.calls, &service.refused, &service.timed, &service.serviceUs,
                              &service.waitUs})
            *value *= factor;
    }
    std::erase_if(route.services, [](const auto &entry) { return entry.second.calls < MinWeight; });
}

} // namespace berylspur
