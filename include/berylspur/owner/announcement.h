// What endpoints tell the node on their host.
#pragma once

#include "berylspur/core/address.h"
#include "berylspur/core/clock.h"
#include "berylspur/routing/rotation.h"

#include <cstdint>
#include <string>

namespace berylspur {

/// What an endpoint says about itself, repeated at a steady interval.
struct Announcement
{
    std::string id;
    std::string service;
    Address address;
    std::uint32_t slots = 0;
    EndpointReadiness readiness = EndpointReadiness::Ready;
    /// Time for which the endpoint expects to stay cold.
    Duration coldFor {};
    /// Start of the endpoint, Unix milliseconds; tells incarnations of one id or address apart. 0:
    /// not stated.
    std::int64_t startedAtMs = 0;
    /// Rises with each announcement of one incarnation; 0: not stated.
    std::uint64_t sequence = 0;
};

/// An endpoint's notice that it takes no new work and will end.
struct Withdrawal
{
    std::string id;
    std::int64_t startedAtMs = 0; ///< as in Announcement
};

} // namespace berylspur
