// Picks the endpoint for a request from the rotation, by the load that owners reported on their
// answers.
#pragma once

#include "berylspur/core/clock.h"
#include "berylspur/core/ids.h"
#include "berylspur/routing/rotation.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace berylspur {

enum class PickMode {
    OwnerLoad, ///< two random choices, compared by expected wait
    TwoRandom, ///< baseline: two random choices, compared by this gate's own requests in flight
};

/// Load of an endpoint as its owner last reported it.
struct ReportedLoad
{
    std::uint32_t slots = 0;
    std::uint32_t freeSlots = 0;
    std::uint32_t queued = 0;
    Duration meanService {};
};

class EndpointPicker
{
public:
    /// Age after which a report says nothing about the load any more.
    static constexpr Duration ReportTerm = std::chrono::seconds(1);

    EndpointPicker(std::string ownFailureDomain, PickMode mode = PickMode::OwnerLoad);

    /// Index into \a view of the endpoint for the next request, among those \a rotation lets in and
    /// \a excluded (ids) does not name. Own failure domain first while it has free capacity.
    /// Nothing if no endpoint is left.
    std::optional<std::size_t> pick(const std::vector<EndpointView> &view, const Rotation &rotation,
                                    const std::unordered_set<std::string> &excluded, TimePoint now,
                                    Random &random);

    void sent(const std::string &endpoint);
    void ended(const std::string &endpoint);
    /// The owner's figures as they came with an answer.
    void reported(const std::string &endpoint, const ReportedLoad &load, TimePoint now);
    /// The endpoint just failed a request or its owner suspects it; other gates may not know yet.
    /// It is left out for ReportTerm while others can take the request.
    void failed(const std::string &endpoint, TimePoint now);
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
        std::uint32_t inFlight = 0; ///< own requests
        /// Own requests sent since the report, which its figures do not contain. At most inFlight.
        std::uint32_t sentSince = 0;
    };

    /// What the picker assumes about an endpoint now.
    struct Estimate
    {
        std::uint32_t slots = 1;
        std::uint32_t free = 0;
        Duration wait {}; ///< zero while a slot is free
        std::uint32_t inFlight = 0;
    };

    bool hasFailedLately(const std::string &endpoint, TimePoint now) const;
    Estimate estimate(const EndpointView &endpoint, TimePoint now) const;
    bool isBetter(const Estimate &left, const Estimate &right) const;

    std::string m_ownFailureDomain;
    PickMode m_mode;
    std::unordered_map<std::string, Load> m_loads;
};

} // namespace berylspur
