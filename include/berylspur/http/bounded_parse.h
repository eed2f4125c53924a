// Parsing of HTTP messages in which the peer decides how long each part is.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <string_view>

namespace berylspur {

/// Result of one step of a parser.
struct ParseStep
{
    std::size_t used = 0; ///< bytes taken from the front of the input
    boost::system::error_code error; ///< unset if the parser only needs more input
    bool isOverLimit = false; ///< the next part of the message is longer than the limit
};

/// Passes the first bytes of \a input, at most \a limit, to \a parser, which must not be done. The
/// parser takes a head, a chunk header, and the last chunk with its trailers only as a whole; one
/// that does not fit into \a limit bytes would be buffered without end. The result does not depend
/// on how the input was cut.
template <typename Parser>
ParseStep parseBounded(Parser &parser, std::string_view input, std::size_t limit)
{
    const auto window = input.substr(0, limit);
    ParseStep step;
    step.used = parser.put(boost::asio::buffer(window.data(), window.size()), step.error);
    if (step.error == boost::beast::http::error::need_more)
        step.error = {};
    step.isOverLimit = !step.error && step.used == 0 && window.size() == limit;
    return step;
}

/// True if \a input, which begins where a chunk header does, contains its end. An oversized part
/// of the message is then not the chunk header, but the trailers that follow it.
inline bool hasCompleteChunkHeader(std::string_view input)
{
    constexpr std::string_view LineEnd = "\r\n";
    // The line end of the previous chunk is parsed with the chunk header that follows it.
    const auto begin = input.starts_with(LineEnd) ? LineEnd.size() : 0;
    return input.find(LineEnd, begin) != std::string_view::npos;
}

} // namespace berylspur
