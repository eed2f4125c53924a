// Home of customer quotas on this node: handles the requests of gates.
#pragma once

#include "berylspur/core/timer.h"
#include "berylspur/customers/customer_table.h"
#include "berylspur/limits/quota_home.h"
#include "berylspur/membership/member_table.h"
#include "berylspur/transport/peer.h"

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace berylspur {

class QuotaHomeTask
{
public:
    /// \a extraBurst: tokens that the bucket of a customer holds beyond its burst.
    QuotaHomeTask(event_base *base, const MemberTable &members, const CustomerTable &customers,
                  double extraBurst);

    void handle(const std::shared_ptr<PeerRequest> &request);
    /// Grants no more tokens, so that gates turn to other homes at once.
    void close();
    nlohmann::json dump();
    std::string metrics();

private:
    void tick();

    const MemberTable &m_members;
    const CustomerTable &m_customers;
    QuotaHome m_home;
    Timer m_timer;
};

} // namespace berylspur
