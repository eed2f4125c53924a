// Picks the endpoint for a request from the rotation, by the load that owners report with their
// replies.
#pragma once

#include "berylspur/core/clock.h"
#include "berylspur/core/ids.h"
#include "berylspur/routing/rotation.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace berylspur {

enum class PickMode {
    OwnerLoad, ///< two random choices, compared by expected queueing time
    TwoRandom, ///< for benchmarks: two random choices, compared by this gate's requests in flight
};

/// Load of an endpoint as its owner last reported it.
struct ReportedLoad
{
    std::uint32_t slots = 0;
    std::uint32_t freeSlots = 0;
    std::uint32_t queued = 0;
    Duration meanServiceTime {};
};

class EndpointPicker
{
public:
    /// Age after which the free slots and queue length of a load report are ignored, and after
    /// which a failure no longer counts.
    static constexpr Duration ReportLifetime = std::chrono::seconds(1);

    EndpointPicker(std::string ownFailureDomain, PickMode mode = PickMode::OwnerLoad);

    /// Index into \a view of the endpoint for the next request, among those admitted by \a rotation
    /// whose ids are not in \a excluded. In mode OwnerLoad, prefers the gate's failure domain
    /// while it has endpoints with more than a fifth of their slots free. Returns nothing if no
    /// endpoint is left.
    std::optional<std::size_t> pick(const std::vector<EndpointView> &view, const Rotation &rotation,
                                    const std::unordered_set<std::string> &excluded, TimePoint now,
                                    Random &random);

    /// As pick(), but only among the healthy endpoints of the gate's failure domain at which the
    /// expected queueing time is at most \a maxWait. An endpoint of \a host goes before the others
    /// while one of its slots is free. For requests whose transfer is expensive.
    std::optional<std::size_t> pickNear(const std::vector<EndpointView> &view,
                                        const Rotation &rotation,
                                        const std::unordered_set<std::string> &excluded,
                                        const std::string &host, Duration maxWait, TimePoint now,
                                        Random &random) const;

    /// Index into \a view of a random endpoint in trial that may admit a request: admitted by \a
    /// rotation, not in \a excluded, without a request of this gate in flight, and without a recent
    /// failure or refusal. Returns nothing if there is none.
    std::optional<std::size_t> pickInTrial(const std::vector<EndpointView> &view,
                                           const Rotation &rotation,
                                           const std::unordered_set<std::string> &excluded,
                                           TimePoint now, Random &random) const;

    /// Index into \a view of the endpoint with the largest free share of its slots, among those
    /// admitted by \a rotation that are healthy, not in \a excluded, and were reported to have more
    /// than a fifth of their slots free within ReportLifetime. Returns nothing if there is none.
    std::optional<std::size_t> pickLeastLoaded(const std::vector<EndpointView> &view,
                                               const Rotation &rotation,
                                               const std::unordered_set<std::string> &excluded,
                                               TimePoint now, Random &random) const;

    /// Expected queueing time of a request at \a endpoint; zero while a slot is free.
    Duration expectedWait(const EndpointView &endpoint, TimePoint now) const
    {
        return estimate(endpoint, now).wait;
    }

    /// The same, if the owner of \a endpoint has reported its load within ReportLifetime.
    std::optional<Duration> reportedWait(const EndpointView &endpoint, TimePoint now) const;

    void onRequestSent(const std::string &endpoint);
    void onRequestEnded(const std::string &endpoint);
    /// Records the load that the owner reported with a reply.
    void onLoadReported(const std::string &endpoint, const ReportedLoad &load, TimePoint now);
    /// Records that the endpoint failed a request or that its owner suspects it, which the member
    /// table may not show yet. In mode OwnerLoad, avoids it for ReportLifetime if another endpoint
    /// can take the request.
    void onRequestFailed(const std::string &endpoint, TimePoint now);
    /// Forgets endpoints that are not in \a known.
    void retain(const std::unordered_set<std::string> &known);
    std::size_t size() const;

private:
    struct Load
    {
        ReportedLoad report;
        TimePoint reportedAt {};
        bool hasReport = false;
        std::optional<TimePoint> failedAt;
        std::uint32_t inFlight = 0; ///< requests from this gate
        /// Requests sent since the report, which therefore does not count them. At most inFlight.
        std::uint32_t sentSinceReport = 0;
    };

    /// Estimated current load of an endpoint.
    struct Estimate
    {
        std::uint32_t slots = 1;
        std::uint32_t free = 0;
        Duration wait {}; ///< expected queueing time; zero while a slot is free
        std::uint32_t inFlight = 0;
    };

    /// The part of \a admitted, which is ordered by failure domain, in that of the gate.
    std::span<const std::uint32_t> ownFailureDomain(const std::vector<EndpointView> &view,
                                                    std::span<const std::uint32_t> admitted) const;
    bool hasInFlight(const std::string &endpoint) const;
    bool hasRecentReport(const std::string &endpoint, TimePoint now) const;
    bool hasRecentFailure(const std::string &endpoint, TimePoint now) const;
    Estimate estimate(const EndpointView &endpoint, TimePoint now) const;
    /// True if more than a fifth of the slots are free.
    static bool isRoomy(const Estimate &load);
    bool isBetter(const Estimate &left, const Estimate &right) const;

    std::string m_ownFailureDomain;
    PickMode m_mode;
    std::unordered_map<std::string, Load> m_loads;
};

} // namespace berylspur
