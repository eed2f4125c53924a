// Reads the responses on one connection to an endpoint. Does no I/O.
#pragma once

#include "berylspur/core/http_headers.h"
#include "berylspur/http/bounded_parse.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace berylspur {

/// Parts of a response whose length only the endpoint decides. The body is not one of them: it is
/// passed on as it arrives.
enum class ResponsePart {
    Head,
    ChunkHeader,
    Trailers,
    InterimResponses, ///< responses with a status below 200
    OtherResponses, ///< responses to other requests, which precede the expected one
};

/// Which response is expected.
struct ExpectedResponse
{
    bool isToHead = false; ///< the request was HEAD, so the response has no body
    /// Header by which responses identify their request, and its value; empty: not used.
    std::string echoHeader;
    std::string echoValue;
    /// The connection has served an earlier request. A response without the header may then be a
    /// late one to that request, and is an error.
    bool isConnectionReused = false;
};

/// The reader has used the input as far as possible.
struct InputNeeded
{
};
struct ResponseHead
{
    std::uint32_t status = 0;
    HeaderList headers; ///< without trailers
};
struct ResponseBody
{
    std::string bytes;
};
/// A response to another request, which is skipped.
struct OtherResponse
{
    std::string echoValue;
};
struct ResponseEnd
{
    bool keepAlive = false; ///< the endpoint keeps the connection open
};
struct ResponseError
{
    std::string reason;
    std::optional<ResponsePart> oversizedPart; ///< set if the part exceeds its limit
    bool isStatusInvalid = false;
};
using ResponseEvent = std::variant<InputNeeded, ResponseHead, ResponseBody, OtherResponse,
                                   ResponseEnd, ResponseError>;

/// Splits the bytes of a connection into the parts of the expected response. Interim responses and
/// responses to other requests are skipped. Holds at most one part, so its memory is bounded
/// whatever the endpoint sends. The events do not depend on how the input was cut, except that a
/// body is divided in other places.
class ResponseReader
{
public:
    /// Limit of the head, of a chunk header, and of the last chunk with its trailers.
    static constexpr std::size_t MaxPartBytes = 64u << 10;
    static constexpr std::uint32_t MaxInterimResponses = 16;
    static constexpr std::uint32_t MaxOtherResponses = 16;
    /// Limit of the bodies of skipped responses.
    static constexpr std::size_t MaxSkippedBytes = 16u << 20;

    explicit ResponseReader(ExpectedResponse expected);

    /// Uses bytes from the front of \a input and returns the next event. Must not be called after
    /// ResponseEnd or ResponseError.
    ResponseEvent next(std::string_view &input);
    /// True if the response is complete because the endpoint closed the connection in order.
    bool isCompleteAtClose();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void resetParser();
    std::optional<ResponseEvent> takeParsed();
    std::optional<ResponseEvent> takeHead();
    std::optional<ResponseEvent> takeBody();
    /// True if the parsed head does not say which request it belongs to, and it may be an earlier
    /// one.
    bool isUnidentified() const;
    /// Value by which the parsed head says that it belongs to another request.
    std::optional<std::string> otherEchoValue() const;
    /// Error of a parsing step that left \a rest, or nothing.
    std::optional<ResponseError> errorOf(const ParseStep &step, std::string_view rest) const;

    ExpectedResponse m_expected;
    std::optional<Parser> m_parser;
    bool m_isHeadTaken = false;
    bool m_isSkipping = false; // interim response, or response to another request
    std::uint32_t m_interimResponses = 0;
    std::uint32_t m_otherResponses = 0;
    std::size_t m_skippedBytes = 0;
    std::optional<ResponseError> m_error; // reported after what was parsed before it
};

} // namespace berylspur
