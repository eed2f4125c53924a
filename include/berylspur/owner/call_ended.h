// What gate and owner of one host tell each other about calls: requests that a request makes while
// it runs at the host's endpoint.
#pragma once

#include <string>

namespace berylspur {

/// A call has ended at the gate of its parent's host.
struct CallEnded
{
    std::string id; ///< as the endpoint gave it: it begins with the id of the parent
    bool isSuccess = false; ///< answered with a status below 500
};

} // namespace berylspur
