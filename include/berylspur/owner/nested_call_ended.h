// Message between the gate and the owner of one host about nested calls: requests that an endpoint
// makes while it processes another request.
#pragma once

#include "berylspur/core/clock.h"

#include <string>

namespace berylspur {

/// A nested call ended at the gate on the host of its parent request.
struct NestedCallEnded
{
    std::string id; ///< set by the endpoint; the id of the parent request is a prefix of it
    bool isSuccess = false; ///< response with a status below 500
    std::string service = {}; ///< that was called
    bool isRefused = false; ///< refused by full queues, and did not run
    Duration serviceTime {}; ///< time to the first byte at the endpoint; zero: unknown
    Duration wait {}; ///< rest of the time until the response or the refusal
};

} // namespace berylspur
