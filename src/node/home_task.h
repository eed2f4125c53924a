// Home node of idempotency keys and customer rate limits: handles claims and quota requests.
#pragma once

#include "berylspur/core/timer.h"
#include "berylspur/idempotency/key_home.h"
#include "berylspur/limits/rate_limiter.h"
#include "berylspur/membership/membership_task.h"
#include "berylspur/transport/peer_pool.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <vector>

namespace berylspur {

class HomeTask
{
public:
    /// \a grantsKeys: false if no request carries a key. The home then refuses claims, and its
    /// quorum is not gossiped.
    HomeTask(event_base *base, MembershipTask &membership, PeerPool &peers, Duration keyRetention,
             bool grantsKeys = true);

    /// Applies the services whose configuration \a changed.
    void configure(const std::vector<const schema::ServiceConfig *> &changed);
    /// Updates the key home after a member joined, left or changed its status.
    void viewChanged();
    /// Lets the key home grant keys immediately. Requires that the fleet never had a configuration,
    /// so that no key was used yet.
    void startEmpty();
    void handleClaim(const std::shared_ptr<PeerRequest> &request);
    void handleQuota(const std::shared_ptr<PeerRequest> &request);
    void handleKeyHandover(const std::shared_ptr<PeerRequest> &request);
    /// Hands over all key records to their next homes and calls \a done when every transfer has
    /// ended. \a complete is true if the next homes now have records of all live keys of this home.
    /// Only then may the node be published as left.
    void handOver(std::function<void(bool complete)> done);
    nlohmann::json dump() const;

private:
    void tick();
    void updateFleetView(TimePoint now);
    FleetView fleetView(TimePoint now) const;
    bool reachesMostEndpoints() const;

    MembershipTask &m_membership;
    PeerPool &m_peers;
    KeyHome::Limits m_limits;
    bool m_grantsKeys;
    KeyHome m_keys;
    RateLimiterHome m_rates;
    std::map<std::string, schema::ServiceConfig> m_services;
    Timer m_timer;
};

} // namespace berylspur
