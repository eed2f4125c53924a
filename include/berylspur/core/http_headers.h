// HTTP header rules shared by the gate and the owner.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace berylspur {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// Headers that the fleet adds; values sent by callers are removed. Idempotency-Key is the
/// exception: it is set by callers.
inline constexpr std::string_view RequestIdHeader = "Berylspur-Request-Id";
inline constexpr std::string_view ResultHeader = "Berylspur-Result";
inline constexpr std::string_view OutcomeHeader = "Berylspur-Outcome";
inline constexpr std::string_view DeadlineHeader = "Berylspur-Deadline-Ms";
inline constexpr std::string_view CustomerHeader = "Berylspur-Customer";
inline constexpr std::string_view CustomerKeyHeader = "Berylspur-Key";
inline constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";

/// Names of the request metadata headers between callers, fleet and endpoints. The defaults are the
/// project's own headers; an empty name means that the header is not used.
struct HeaderNames
{
    std::string requestId {RequestIdHeader};
    std::string deadlineMs {DeadlineHeader}; ///< remaining time in whole milliseconds
    std::string customer {CustomerHeader}; ///< to endpoints
    std::string customerKey {CustomerKeyHeader}; ///< from callers, never forwarded
    std::string idempotencyKey {IdempotencyKeyHeader};
    std::string targetEndpoint; ///< id of the endpoint that the request is addressed to
    std::string callerService; ///< service of the host where the request originated
    std::string signature; ///< a success response of an endpoint is invalid without it
    std::string notExecuted; ///< on a response: the endpoint did not run the request
    std::string endpointId; ///< on a health response: id of the endpoint
    std::string
            endpointLoad; ///< on a response: running and queued requests and slots, comma-separated
    /// The caller supplies the request id and the deadline; the id is forwarded unchanged.
    bool callerSetsIdAndDeadline = false;
    /// Retry-After may have a fractional part, which RFC 9110 does not allow.
    bool fractionalRetryAfter = false;
};

/// Returns the value of the first header \a name in \a headers, or an empty view.
std::string_view headerValue(const HeaderList &headers, std::string_view name);

/// Case-insensitive comparison, as header names require.
bool equalsIgnoreCase(std::string_view a, std::string_view b);

/// Returns true for names with the prefix "Berylspur-".
bool isProjectHeader(std::string_view name);

/// Returns true for hop-by-hop headers (RFC 9110, 7.6.1), including those listed in \a connection,
/// the value of the Connection header.
bool isHopByHop(std::string_view name, std::string_view connection);

/// Returns the headers to forward to the next hop: all but hop-by-hop headers, the project's
/// headers and Content-Length, which each hop sets itself.
HeaderList forwardableHeaders(const HeaderList &headers);

} // namespace berylspur
