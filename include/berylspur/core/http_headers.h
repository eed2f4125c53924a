// Header rules shared by the caller side and the endpoint side.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace berylspur {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// Headers that the fleet adds. Callers cannot set them.
inline constexpr std::string_view RequestIdHeader = "Berylspur-Request-Id";
inline constexpr std::string_view ResultHeader = "Berylspur-Result";
inline constexpr std::string_view OutcomeHeader = "Berylspur-Outcome";
inline constexpr std::string_view DeadlineHeader = "Berylspur-Deadline-Ms";
inline constexpr std::string_view CustomerHeader = "Berylspur-Customer";
inline constexpr std::string_view KeyHeader = "Idempotency-Key";

/// Names of the headers by which callers, fleet and endpoints tell each other about a request. The
/// defaults are the project's own; an empty name stands for a header that is not used.
struct HttpNames
{
    std::string requestId {RequestIdHeader};
    std::string deadlineMs {DeadlineHeader}; ///< time that is left, whole milliseconds
    std::string customer {CustomerHeader};
    std::string idempotencyKey {KeyHeader};
    std::string targetEndpoint; ///< id of the endpoint that a request is meant for
    std::string callerService; ///< service of the host where the request began
    std::string signature; ///< an endpoint's success without it is none
    std::string notExecuted; ///< on a response: the endpoint did not run the request
    std::string endpointId; ///< on a health response: who answers
    std::string endpointLoad; ///< on a response: running, waiting and slots, separated by commas
    /// Request id and deadline come from the caller; the id is passed on as it is.
    bool fromCaller = false;
    /// Retry-After may have a fraction, which RFC 9110 does not know.
    bool fractionalRetryAfter = false;
};

/// Value of the first header  name in  headers, or an empty view.
std::string_view headerValue(const HeaderList &headers, std::string_view name);

/// Equality of header names, which ignores case.
bool equalsIgnoreCase(std::string_view a, std::string_view b);

/// True for "Berylspur-...".
bool isProjectHeader(std::string_view name);

/// True for headers that end at each hop (RFC 9110, 7.6.1), including those that \a connection, the
/// value of the Connection header, names.
bool isHopByHop(std::string_view name, std::string_view connection);

/// Headers of a message that may be passed to the next hop: without hop-by-hop headers, those of
/// the project, and Content-Length, which each hop writes itself.
HeaderList forwardable(const HeaderList &headers);

} // namespace berylspur
