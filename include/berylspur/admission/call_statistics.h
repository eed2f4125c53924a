// Which services the runs of each route call, counted by the owner on their host. Handles no load
// itself: gates admit the parents of calls by these counts. Does no I/O; time is passed in.
#pragma once

#include "berylspur/core/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace berylspur {

/// Nested calls of a route to one service in the last seconds.
struct CallReport
{
    std::string service;
    double callsPerRun = 0;
    double refusedShare = 0; ///< share of the calls that were refused and did not run
    Duration usualTime {}; ///< mean time to the first byte at the called endpoint; zero: unknown
    Duration wait {}; ///< mean rest of the time of the calls that ran
};

/// End of a nested call.
struct EndedCall
{
    std::string service;
    bool isRefused = false;
    Duration serviceTime {}; ///< zero: unknown
    Duration wait {};
};

/// Runs and calls by route. Counts lose their weight with age.
class CallStatistics
{
public:
    /// Counts lose 1 - 1/e of their weight in this time. An endpoint runs a few requests of a route
    /// in a second, and gates need to learn within seconds that a called service has recovered.
    static constexpr Duration Window = std::chrono::seconds(3);

    void onRun(const std::string &route, TimePoint now);
    void onCallEnded(const std::string &route, const EndedCall &call, TimePoint now);

    /// Services that runs of \a route have called. Empty until a few runs were counted.
    std::vector<CallReport> calls(const std::string &route, TimePoint now) const;

    /// Forgets the routes without recent runs.
    void expire(TimePoint now);
    std::size_t size() const { return m_routes.size(); }

private:
    struct Service
    {
        double calls = 0;
        double refused = 0;
        double timed = 0; ///< calls with a known service time
        double serviceUs = 0; ///< sum over the timed ones
        double waitUs = 0; ///< sum over the timed ones
    };
    struct Route
    {
        double runs = 0;
        TimePoint decayedAt {};
        std::map<std::string, Service> services; ///< bounded by MaxServices
    };

    static void decay(Route &route, TimePoint now);

    std::map<std::string, Route> m_routes; ///< bounded by MaxRoutes
};

} // namespace berylspur
