// The run that makes a nested call.
#pragma once

#include <cstdint>
#include <string>

namespace berylspur {

/// Run, at an endpoint of this host, of the request that makes a nested call.
struct ParentRun
{
    enum class Kind {
        None, ///< not a nested call
        First,
        Repeat, ///< an earlier attempt of the request may have reached an endpoint
    };

    Kind kind = Kind::None;
    std::string customer; ///< that the parent was authenticated for; nested calls belong to it
    std::uint32_t priority = 0; ///< of the parent, which its nested calls inherit
};

} // namespace berylspur
