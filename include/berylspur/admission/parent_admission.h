// Decides at the gate whether a request is admitted whose run will call services that are short of
// capacity. Handles overload of a called service: a parent whose call is refused has used a slot
// for nothing. Does no I/O; time is passed in.
#pragma once

#include "berylspur/admission/call_statistics.h"
#include "berylspur/core/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace berylspur {

/// A request that is not a nested call itself.
struct ParentRequest
{
    std::string route;
    std::uint32_t rank = 0;
    Duration remaining {}; ///< until its deadline
};

/// Refusal of a parent with NotRunCalledService, and the figures that it is based on.
struct ParentRefusal
{
    const char *rule = ""; ///< "called-service-wait" or "called-service-short"
    std::string service; ///< the called one
    Duration retryAfter {};
    Duration wait {}; ///< expected at the called service
    Duration usualTime {}; ///< of the call
    double refusedShare = 0; ///< of the calls
};

/// Calls by route and service, as owners reported them, and the share of the parents that is
/// admitted. A parent is refused if the expected wait at a service that it calls, plus the usual
/// time of the call, exceeds what its deadline leaves. If the service refuses more than a quarter
/// of the calls, or they wait for longer than they run, the share of the parents that is admitted
/// is lowered until it does not: to a quarter for refusals, and to a half for waits, since calls
/// that wait are served. The least urgent rank is refused first. A few parents are always admitted,
/// since their calls show whether the service has recovered. Where all routes have one rank, all
/// parents are admitted.
class ParentAdmission
{
public:
    /// Age after which the report about a route counts as none.
    static constexpr Duration ReportLifetime = std::chrono::seconds(1);

    /// Time for which the admitted shares of a route are kept without reports. A gate that gets a
    /// few requests of the route in a second has gaps of some seconds between them.
    static constexpr Duration Retention = std::chrono::seconds(10);

    /// Expected queueing time at a service, or nothing if its load is not known.
    using WaitOf = std::function<std::optional<Duration>(const std::string &service)>;

    /// Sets the ranks that the routes have, the most urgent first.
    void setRanks(std::vector<std::uint32_t> ranks) { m_ranks = std::move(ranks); }
    /// Records what an owner reported about the calls of \a route.
    void onReport(const std::string &route, const std::vector<CallReport> &calls, TimePoint now);

    /// Reason for refusing \a request, or nothing if it is admitted.
    std::optional<ParentRefusal> check(const ParentRequest &request, const WaitOf &waitOf,
                                       TimePoint now);

    /// Forgets the routes without a report within Retention.
    void expire(TimePoint now);
    std::size_t size() const { return m_routes.size(); }

private:
    struct Service
    {
        CallReport calls; ///< averages of the reports
        TimePoint reportedAt {};
        /// Share of the parents of each position of rank that is admitted; by index in m_ranks.
        std::map<std::size_t, double> admittedShares;
        TimePoint adjustedAt {};
    };
    struct Route
    {
        std::map<std::string, Service> services; ///< bounded by the owners' reports
        double credit = 1; ///< of admissions that are due; a parent needs a whole one
    };

    std::size_t positionOf(std::uint32_t rank) const;
    /// 0 for the most urgent rank, 1 for the least urgent.
    double laxity(std::size_t position) const;
    std::optional<ParentRefusal> checkWait(const ParentRequest &request, const Service &service,
                                           const WaitOf &waitOf) const;
    /// Adapts the admitted shares of \a service to the refusals of its calls.
    void adjustShares(Service &service, TimePoint now);
    /// Share to which the admitted parents of the rank at \a position are lowered or raised.
    double leastShare(const CallReport &calls, std::size_t position) const;
    double admittedShare(const Service &service, std::size_t position) const;

    std::vector<std::uint32_t> m_ranks;
    std::map<std::string, Route> m_routes; ///< bounded by MaxRoutes
};

} // namespace berylspur
