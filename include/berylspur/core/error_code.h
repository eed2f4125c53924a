// Numbered result codes with names and messages. docs/result-codes.md holds the same table for
// operators; core_test checks that the two match.
#pragma once

#include <cstdint>
#include <string_view>

namespace berylspur {

/// All failures that a process of the fleet reports. Numbers are stable, because they appear in
/// logs, decision records, response headers and exit messages.
enum class ErrorCode : std::uint32_t {
    Ok = 0,

    SettingsUnreadable = 1001,
    SettingsSyntax = 1002,
    SettingsUnknownKey = 1003,
    SettingsWrongType = 1004,
    SettingsOutOfRange = 1005,
    SettingsMissingKey = 1006,
    SettingsAdminNotLoopback = 1007,
    AddressUnusable = 1008,

    ManifestInvalid = 2001,
    ManifestDuplicateService = 2002,
    ManifestRouteConflict = 2003,
    ManifestConflict = 2004,
    ManifestWrongFleet = 2005,
    ManifestCustomerConflict = 2006,

    RequestMalformed = 3001,
    RequestAmbiguousFraming = 3002,
    RequestUnknownRoute = 3003,
    RequestBodyTooLarge = 3004,
    RequestHeadersTooLarge = 3005,
    RequestMethodNotAllowed = 3006,
    RequestTimeout = 3007,
    RequestCodingNotSupported = 3008,
    RequestUnauthorized = 3009,

    NotRunNoEndpoint = 4001,
    NotRunQueueFull = 4002,
    NotRunDeadline = 4003,
    NotRunDraining = 4004,
    NotRunCustomerLimit = 4005,
    NotRunConcurrencyLimit = 4006,
    NotRunRevoked = 4007,
    NotRunOwnerUnreachable = 4008,
    NotRunStopping = 4009,
    NotRunNoConfiguration = 4010,
    NotRunExpiredInTransit = 4011,
    NotRunWrongOwner = 4012,
    NotRunDuplicateId = 4013,
    NotRunLeaseLapsed = 4014,
    NotRunEjected = 4015,
    NotRunGateBusy = 4016,
    NotRunEndpointUnreachable = 4017,
    NotRunEndpointRefused = 4018,
    NotRunDisplaced = 4019,
    NotRunMemory = 4020,
    NotRunCalledService = 4021,
    NotRunBodyDiscarded = 4022,

    OutcomeUnknown = 5001,
    OutcomeUnknownKeyHome = 5002,
    AnswerLost = 5003,
    AnswerTruncated = 5004,
    KeyInProgress = 5005,
    EndpointFailed = 5006,
    EndpointResponseInvalid = 5007,

    PeerWrongFleet = 6001,
    PeerUnknownSchema = 6002,
    PeerMalformedMessage = 6003,
    PeerConnectionLost = 6004,
    PeerSilent = 6005,
    PeerUnknownMethod = 6006,
    PeerUnreachable = 6007,

    PlatformUnreachable = 7001,
    PlatformConflict = 7002,
    PlatformNotFound = 7003,
    PlatformTimeout = 7004,
    PlatformBadAnswer = 7005,
    PlatformOlderData = 7006,

    CommandUsage = 8001,
    CommandNodeUnreachable = 8002,
    CommandNotInForce = 8003,
    CommandNoRecord = 8004,
};

/// Returns the enumerator name of \a code, for example "NotRunQueueFull", or "Unlisted" for a code
/// that is not in the table.
std::string_view errorName(ErrorCode code);

/// Returns a one-sentence description of \a code.
std::string_view errorMessage(ErrorCode code);

/// Returns the code with the number \a number, or PeerMalformedMessage if no such code is listed.
ErrorCode errorFromNumber(std::uint32_t number);

/// Returns true if \a code guarantees that the request did not run and will not run.
constexpr bool isNotRun(ErrorCode code)
{
    const auto number = static_cast<std::uint32_t>(code);
    return number >= 3000 && number < 5000;
}

/// Returns true if \a code is the refusal of a request by the queue of an endpoint.
constexpr bool isOverloadRefusal(ErrorCode code)
{
    return code == ErrorCode::NotRunQueueFull || code == ErrorCode::NotRunDeadline
           || code == ErrorCode::NotRunDisplaced;
}

} // namespace berylspur
