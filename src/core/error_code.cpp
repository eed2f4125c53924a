// Table of result codes.
#include "berylspur/core/error_code.h"

#include "berylspur/core/result.h"

#include <algorithm>
#include <iterator>

namespace berylspur {

namespace {

struct CodeEntry
{
    ErrorCode code;
    std::string_view name;
    std::string_view message;
};

constexpr CodeEntry CodeTable[] = {
        {ErrorCode::Ok, "Ok", "success"},
        {ErrorCode::SettingsUnreadable, "SettingsUnreadable", "the settings file cannot be read"},
        {ErrorCode::SettingsSyntax, "SettingsSyntax", "the settings file is not valid YAML"},
        {ErrorCode::SettingsUnknownKey, "SettingsUnknownKey",
         "the settings contain a key that the schema does not have"},
        {ErrorCode::SettingsWrongType, "SettingsWrongType", "a setting has the wrong type or form"},
        {ErrorCode::SettingsOutOfRange, "SettingsOutOfRange", "a setting is out of range"},
        {ErrorCode::SettingsMissingKey, "SettingsMissingKey", "a required setting is missing"},
        {ErrorCode::SettingsAdminNotLoopback, "SettingsAdminNotLoopback",
         "the admin address is not loopback and admin-remote is not set"},
        {ErrorCode::AddressUnusable, "AddressUnusable",
         "an address cannot be parsed or listened on"},
        {ErrorCode::ManifestInvalid, "ManifestInvalid", "the manifest does not match the schema"},
        {ErrorCode::ManifestDuplicateService, "ManifestDuplicateService",
         "two services in the manifest have the same name"},
        {ErrorCode::ManifestRouteConflict, "ManifestRouteConflict",
         "two routes match the same host, path prefix and method"},
        {ErrorCode::ManifestConflict, "ManifestConflict", "another manifest was accepted first"},
        {ErrorCode::ManifestWrongFleet, "ManifestWrongFleet", "the manifest names another fleet"},
        {ErrorCode::ManifestCustomerConflict, "ManifestCustomerConflict",
         "two customers in the manifest have the same name or the same key"},
        {ErrorCode::RequestMalformed, "RequestMalformed", "the request is not valid HTTP"},
        {ErrorCode::RequestAmbiguousFraming, "RequestAmbiguousFraming",
         "the length of the request body is ambiguous"},
        {ErrorCode::RequestUnknownRoute, "RequestUnknownRoute", "no route matches the request"},
        {ErrorCode::RequestBodyTooLarge, "RequestBodyTooLarge",
         "the request body is larger than the limit"},
        {ErrorCode::RequestHeadersTooLarge, "RequestHeadersTooLarge",
         "the request headers are larger than the limit"},
        {ErrorCode::RequestMethodNotAllowed, "RequestMethodNotAllowed",
         "the route does not allow the method"},
        {ErrorCode::RequestTimeout, "RequestTimeout", "the request did not arrive in time"},
        {ErrorCode::RequestCodingNotSupported, "RequestCodingNotSupported",
         "the request body has a transfer coding other than chunked"},
        {ErrorCode::RequestUnauthorized, "RequestUnauthorized",
         "the request has no key, or an unknown one"},
        {ErrorCode::NotRunNoEndpoint, "NotRunNoEndpoint",
         "no endpoint of the service is in rotation"},
        {ErrorCode::NotRunQueueFull, "NotRunQueueFull", "the queue of the endpoint is full"},
        {ErrorCode::NotRunDeadline, "NotRunDeadline", "the request could not meet its deadline"},
        {ErrorCode::NotRunDraining, "NotRunDraining", "the endpoint is draining"},
        {ErrorCode::NotRunCustomerLimit, "NotRunCustomerLimit", "the customer exceeded its rate"},
        {ErrorCode::NotRunConcurrencyLimit, "NotRunConcurrencyLimit",
         "the service is at its concurrency limit"},
        {ErrorCode::NotRunRevoked, "NotRunRevoked", "the request was revoked before it ran"},
        {ErrorCode::NotRunOwnerUnreachable, "NotRunOwnerUnreachable",
         "the owner could not be reached and nothing was sent"},
        {ErrorCode::NotRunStopping, "NotRunStopping", "the node is stopping"},
        {ErrorCode::NotRunNoConfiguration, "NotRunNoConfiguration",
         "the node has no configuration yet"},
        {ErrorCode::NotRunExpiredInTransit, "NotRunExpiredInTransit",
         "the deadline may have passed before the owner read the request"},
        {ErrorCode::NotRunWrongOwner, "NotRunWrongOwner", "the node does not own the endpoint"},
        {ErrorCode::NotRunDuplicateId, "NotRunDuplicateId",
         "the owner already knows the request id"},
        {ErrorCode::NotRunLeaseLapsed, "NotRunLeaseLapsed", "the endpoint did not renew its lease"},
        {ErrorCode::NotRunEjected, "NotRunEjected", "the endpoint is out of rotation"},
        {ErrorCode::NotRunGateBusy, "NotRunGateBusy",
         "the gate is at its limit of requests in flight"},
        {ErrorCode::NotRunEndpointUnreachable, "NotRunEndpointUnreachable",
         "no connection to the endpoint could be opened"},
        {ErrorCode::NotRunEndpointRefused, "NotRunEndpointRefused",
         "the endpoint stated that it did not run the request"},
        {ErrorCode::NotRunDisplaced, "NotRunDisplaced",
         "a more urgent request took the place in the queue"},
        {ErrorCode::NotRunMemory, "NotRunMemory", "the node is at its memory limit"},
        {ErrorCode::NotRunCalledService, "NotRunCalledService",
         "a service that the request calls has no room"},
        {ErrorCode::NotRunBodyDiscarded, "NotRunBodyDiscarded",
         "no route matched when the body began to arrive, so it was not kept"},
        {ErrorCode::OutcomeUnknown, "OutcomeUnknown", "it is not known whether the request ran"},
        {ErrorCode::OutcomeUnknownKeyHome, "OutcomeUnknownKeyHome",
         "it is not known whether the idempotency key was used"},
        {ErrorCode::AnswerLost, "AnswerLost", "the request ran and its response was lost"},
        {ErrorCode::AnswerTruncated, "AnswerTruncated", "the response was cut short"},
        {ErrorCode::KeyInProgress, "KeyInProgress",
         "a request with the same idempotency key is running"},
        {ErrorCode::EndpointFailed, "EndpointFailed",
         "the endpoint failed while it ran the request"},
        {ErrorCode::EndpointResponseInvalid, "EndpointResponseInvalid",
         "the endpoint's response has no valid status, or its success lacks its signature or is "
         "encoded"},
        {ErrorCode::PeerWrongFleet, "PeerWrongFleet", "the peer belongs to another fleet"},
        {ErrorCode::PeerUnknownSchema, "PeerUnknownSchema",
         "the peer uses an unknown schema version"},
        {ErrorCode::PeerMalformedMessage, "PeerMalformedMessage",
         "a message of the peer cannot be decoded"},
        {ErrorCode::PeerConnectionLost, "PeerConnectionLost", "the connection to the peer ended"},
        {ErrorCode::PeerSilent, "PeerSilent", "the connection to the peer went silent"},
        {ErrorCode::PeerUnknownMethod, "PeerUnknownMethod", "the peer asked for an unknown method"},
        {ErrorCode::PeerUnreachable, "PeerUnreachable",
         "no connection to the peer could be opened"},
        {ErrorCode::PlatformUnreachable, "PlatformUnreachable", "the platform cannot be reached"},
        {ErrorCode::PlatformConflict, "PlatformConflict",
         "the object has another version than expected"},
        {ErrorCode::PlatformNotFound, "PlatformNotFound", "the object does not exist"},
        {ErrorCode::PlatformTimeout, "PlatformTimeout", "the platform did not answer in time"},
        {ErrorCode::PlatformBadAnswer, "PlatformBadAnswer",
         "the response of the platform cannot be understood"},
        {ErrorCode::PlatformOlderData, "PlatformOlderData",
         "the platform returned older data than before"},
        {ErrorCode::CommandUsage, "CommandUsage", "the command line is wrong"},
        {ErrorCode::CommandNodeUnreachable, "CommandNodeUnreachable",
         "a node could not be reached"},
        {ErrorCode::CommandNotInForce, "CommandNotInForce",
         "the configuration is not in force on every node"},
        {ErrorCode::CommandNoRecord, "CommandNoRecord", "no decision record matches"},
};

const CodeEntry *find(ErrorCode code)
{
    const auto *entry = std::find_if(std::begin(CodeTable), std::end(CodeTable),
                                     [code](const CodeEntry &e) { return e.code == code; });
    return entry == std::end(CodeTable) ? nullptr : entry;
}

} // namespace

std::string_view errorName(ErrorCode code)
{
    const auto *entry = find(code);
    return entry ? entry->name : "Unlisted";
}

std::string_view errorMessage(ErrorCode code)
{
    const auto *entry = find(code);
    return entry ? entry->message : "unlisted result code";
}

ErrorCode errorFromNumber(std::uint32_t number)
{
    const auto code = static_cast<ErrorCode>(number);
    return find(code) ? code : ErrorCode::PeerMalformedMessage;
}

std::string describe(const Error &error)
{
    std::string text = std::to_string(static_cast<std::uint32_t>(error.code));
    text.append(" ").append(errorName(error.code)).append(": ");
    text.append(error.detail.empty() ? errorMessage(error.code) : std::string_view(error.detail));
    return text;
}

} // namespace berylspur
