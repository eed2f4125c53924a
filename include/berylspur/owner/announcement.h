// Messages that an endpoint sends to the node on its host.
#pragma once

#include "berylspur/core/address.h"
#include "berylspur/core/clock.h"
#include "berylspur/routing/rotation.h"

#include <cstdint>
#include <string>

namespace berylspur {

/// State that an endpoint reports about itself at a regular interval.
struct Announcement
{
    std::string id;
    std::string service;
    Address address;
    std::uint32_t slots = 0;
    EndpointReadiness readiness = EndpointReadiness::Ready;
    /// Expected remaining duration of the cold start.
    Duration coldFor {};
    /// Start time of the endpoint in Unix milliseconds. Distinguishes incarnations that share an id
    /// or address. 0 if unknown.
    std::int64_t startedAtMs = 0;
    /// Increases with each announcement of an incarnation. 0 if unknown.
    std::uint64_t sequence = 0;
};

/// Notice from an endpoint that it accepts no new requests and is about to shut down.
struct Withdrawal
{
    std::string id;
    std::int64_t startedAtMs = 0; ///< as in Announcement
};

} // namespace berylspur
