// Constants that gates and homes of customer quotas share. docs/design/quota.md describes the
// protocol, docs/proofs.md its bound.
#pragma once

#include "berylspur/core/clock.h"

#include <cstdint>
#include <string_view>

namespace berylspur {

/// Customers are divided into this many shards, each with a home of its own. All nodes must use the
/// same number. A home costs one message per gate and second; fewer shards make busier homes.
inline constexpr std::uint32_t QuotaShards = 8;
/// A gate gives the vote of a shard to one home for this time.
inline constexpr Duration QuotaVoteTerm = std::chrono::seconds(2);
/// A token expires this long after the gate asked for it.
inline constexpr Duration QuotaLeaseTerm = std::chrono::milliseconds(500);

/// Shard of the customer \a name.
std::uint32_t quotaShard(std::string_view name);

} // namespace berylspur
