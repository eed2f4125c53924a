// Averages of the reports, thresholds by rank, and the admitted share of the parents.
#include "berylspur/admission/parent_admission.h"

#include <algorithm>
#include <utility>

namespace berylspur {

namespace {

/// Routes come from the configuration. The limit bounds memory if owners report unknown ones.
constexpr std::size_t MaxRoutes = 8192;

/// Weight of a report in the averages. Each owner counts its own runs, so single reports vary.
constexpr double ReportWeight = 1.0 / 8;

/// Services that fewer runs call do not decide about the parents.
constexpr double MinCallsPerRun = 0.1;

/// Refused share of the calls above which parents of the least urgent rank are refused, and those
/// of the most urgent one.
constexpr double LeastUrgentLimit = 0.25;
constexpr double MostUrgentLimit = 0.5;

/// Wait of the calls, in units of their usual time, above which parents of the least urgent rank
/// are refused, and those of the most urgent one. A parent holds its slot while its call waits, so
/// that long waits fill the service of the parents as well. With a ratio of 3 a service at 0.7 of
/// its room refused 4 in 100 requests because its calls waited at a full service.
constexpr double LeastUrgentWaitRatio = 2.5;
constexpr double MostUrgentWaitRatio = 4;

/// Lower bound of the usual time in this comparison: a short wait does no harm, however short the
/// call is.
constexpr Duration MinUsualTime = std::chrono::milliseconds(100);

/// The expected wait counts every queued request, whatever its rank. Calls of the least urgent rank
/// wait longer than that, because urgent requests that arrive meanwhile go first.
constexpr double LeastUrgentWaitFactor = 1.5;

/// Admitted share that is always left: the calls of these parents show whether the service has
/// recovered, and no rank may be served less than a quarter as often as all. A throttle without
/// such a bound cost more requests than it saved (docs/measurements.md).
constexpr double MinAdmittedShare = 1.0 / 4;

/// Admitted share that is left if calls wait but are served.
constexpr double MinShareWhileServed = 0.5;

/// Steps of the admitted share. It falls faster than it rises, so that it settles below the load at
/// which calls are refused; a switch between all and few would oscillate with the period of the
/// owners' counts.
constexpr Duration AdjustInterval = std::chrono::milliseconds(500);
constexpr double DecreaseFactor = 0.8;
constexpr double IncreaseStep = 0.05;

constexpr Duration MinRetryAfter = std::chrono::milliseconds(500);

/// Value between \a mostUrgent and \a leastUrgent.
double between(double mostUrgent, double leastUrgent, double laxity)
{
    return mostUrgent + (leastUrgent - mostUrgent) * laxity;
}

void updateAverage(double &mean, double sample)
{
    mean += ReportWeight * (sample - mean);
}

void updateAverage(Duration &mean, Duration sample)
{
    mean = mean == Duration::zero()
                   ? sample
                   : mean + std::chrono::duration_cast<Duration>(ReportWeight * (sample - mean));
}

} // namespace

void ParentAdmission::onReport(const std::string &route, const std::vector<CallReport> &calls,
                               TimePoint now)
{
    if (calls.empty() || (m_routes.size() >= MaxRoutes && !m_routes.contains(route)))
        return;
    auto &services = m_routes[route].services;
    for (const CallReport &report : calls) {
        const auto [entry, isNew] = services.try_emplace(report.service);
        Service &service = entry->second;
        if (isNew || now - service.reportedAt >= ReportLifetime) {
            service.calls = report;
        } else {
            updateAverage(service.calls.callsPerRun, report.callsPerRun);
            updateAverage(service.calls.refusedShare, report.refusedShare);
            updateAverage(service.calls.usualTime, report.usualTime);
            updateAverage(service.calls.wait, report.wait);
        }
        service.reportedAt = now;
    }
}

std::optional<ParentRefusal> ParentAdmission::check(const ParentRequest &request,
                                                    const WaitOf &waitOf, TimePoint now)
{
    const auto found = m_routes.find(request.route);
    if (found == m_routes.end() || m_ranks.size() < 2)
        return std::nullopt;
    Route &route = found->second;
    std::optional<ParentRefusal> refusal;
    double share = 1;
    for (auto &[name, service] : route.services) {
        if (now - service.reportedAt >= ReportLifetime
            || service.calls.callsPerRun < MinCallsPerRun)
            continue;
        adjustShares(service, now);
        if (const auto late = checkWait(request, service, waitOf)) {
            refusal = late;
            share = MinAdmittedShare;
        }
        const double admitted = admittedShare(service, positionOf(request.rank));
        if (admitted < share) {
            share = admitted;
            refusal = ParentRefusal {"called-service-short",  name,
                                     MinRetryAfter,           service.calls.wait,
                                     service.calls.usualTime, service.calls.refusedShare};
        }
    }
    route.credit = std::min(route.credit + share, 1.0 + share);
    if (route.credit < 1)
        return refusal;
    route.credit -= 1;
    return std::nullopt;
}

std::optional<ParentRefusal> ParentAdmission::checkWait(const ParentRequest &request,
                                                        const Service &service,
                                                        const WaitOf &waitOf) const
{
    const CallReport &calls = service.calls;
    const Duration reported = waitOf(calls.service).value_or(Duration::zero());
    const double factor = between(1, LeastUrgentWaitFactor, laxity(positionOf(request.rank)));
    // The wait that calls of this route have seen includes the effect of their rank.
    const Duration wait =
            std::max(std::chrono::duration_cast<Duration>(factor * reported), calls.wait);
    if (wait + calls.usualTime <= request.remaining)
        return std::nullopt;
    const Duration excess = wait + calls.usualTime - request.remaining;
    return ParentRefusal {
            "called-service-wait", calls.service,     std::max(excess, MinRetryAfter), wait,
            calls.usualTime,       calls.refusedShare};
}

void ParentAdmission::adjustShares(Service &service, TimePoint now)
{
    if (now - service.adjustedAt < AdjustInterval)
        return;
    service.adjustedAt = now;
    for (std::size_t i = 0; i < m_ranks.size(); ++i) {
        double &share = service.admittedShares.try_emplace(i, 1).first->second;
        const double least = leastShare(service.calls, i);
        share = least < share ? std::max(share * DecreaseFactor, least)
                              : std::min(share + IncreaseStep, least);
    }
}

double ParentAdmission::leastShare(const CallReport &calls, std::size_t position) const
{
    const double slack = laxity(position);
    if (calls.refusedShare > between(MostUrgentLimit, LeastUrgentLimit, slack))
        return MinAdmittedShare;
    const Duration usual = std::max(calls.usualTime, MinUsualTime);
    const bool waitsLong =
            calls.wait > between(MostUrgentWaitRatio, LeastUrgentWaitRatio, slack) * usual;
    return waitsLong ? MinShareWhileServed : 1;
}

double ParentAdmission::admittedShare(const Service &service, std::size_t position) const
{
    const auto found = service.admittedShares.find(position);
    return found == service.admittedShares.end() ? 1 : found->second;
}

std::size_t ParentAdmission::positionOf(std::uint32_t rank) const
{
    const auto found = std::lower_bound(m_ranks.begin(), m_ranks.end(), rank);
    const auto position = static_cast<std::size_t>(found - m_ranks.begin());
    // A customer may have a rank that no route has.
    return std::min(position, m_ranks.size() - 1);
}

double ParentAdmission::laxity(std::size_t position) const
{
    return static_cast<double>(position) / static_cast<double>(m_ranks.size() - 1);
}

void ParentAdmission::expire(TimePoint now)
{
    for (auto &[name, route] : m_routes) {
        std::erase_if(route.services, [now](const auto &service) {
            return now - service.second.reportedAt >= Retention;
        });
    }
    std::erase_if(m_routes, [](const auto &entry) { return entry.second.services.empty(); });
}

} // namespace berylspur
