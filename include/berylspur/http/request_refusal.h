// Refusal of invalid requests by the servers for announcements and for the platform.
#pragma once

#include "berylspur/core/result.h"
#include "berylspur/http/caller_request.h"

#include <string_view>

namespace berylspur {

/// Responds to the invalid \a request with the status of \a error and \a body, and closes its
/// connection after the response.
void refuseInvalidRequest(CallerRequest &request, const Error &error, std::string_view body);

} // namespace berylspur
