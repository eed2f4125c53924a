// HTTP status codes of requests that are refused as invalid.
#pragma once

#include "berylspur/core/error_code.h"

#include <cstdint>

namespace berylspur {

/// HTTP status for a request that is refused with \a code, a 3xxx code; 400 for any other code.
std::uint32_t statusOfInvalidRequest(ErrorCode code);

} // namespace berylspur
