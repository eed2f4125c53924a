// Table of the HTTP status codes of invalid requests.
#include "berylspur/http/request_status.h"

namespace berylspur {

std::uint32_t statusOfInvalidRequest(ErrorCode code)
{
    constexpr std::uint32_t BadRequest = 400;
    switch (code) {
    case ErrorCode::RequestUnauthorized:
        return 401;
    case ErrorCode::RequestUnknownRoute:
        return 404;
    case ErrorCode::RequestMethodNotAllowed:
        return 405;
    case ErrorCode::RequestTimeout:
        return 408;
    case ErrorCode::RequestBodyTooLarge:
        return 413;
    case ErrorCode::RequestHeadersTooLarge:
        return 431;
    case ErrorCode::RequestCodingNotSupported:
        return 501;
    case ErrorCode::NotRunMemory:
        return 503;
    default:
        return BadRequest;
    }
}

} // namespace berylspur
