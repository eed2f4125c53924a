// The run that makes a nested call.
#pragma once

namespace berylspur {

/// Run, at an endpoint of this host, of the request that makes a nested call.
enum class ParentRun {
    None, ///< not a nested call
    First,
    Repeat, ///< an earlier attempt of the request may have reached an endpoint
};

} // namespace berylspur
