// Response to a request that is refused as invalid.
#include "berylspur/http/request_refusal.h"

#include "berylspur/http/request_status.h"

namespace berylspur {

void refuseInvalidRequest(CallerRequest &request, const Error &error, std::string_view body)
{
    request.closeAfterResponse();
    request.respond(statusOfInvalidRequest(error.code), {}, body);
}

} // namespace berylspur
