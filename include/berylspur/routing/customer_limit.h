// The rate limit of one customer at one service.
#pragma once

#include "berylspur/limits/rate_limiter.h"
#include "berylspur/manifest.pb.h"

#include <string_view>

namespace berylspur {

/// Limit of \a customer in \a config: its own entry, else the service's default.
RateLimit rateLimitFor(const schema::ServiceConfig &config, std::string_view customer);

} // namespace berylspur
