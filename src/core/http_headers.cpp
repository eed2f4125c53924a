// HTTP header rules.
#include "berylspur/core/http_headers.h"

#include <algorithm>
#include <boost/algorithm/string.hpp>
#include <iterator>

namespace berylspur {

namespace {

constexpr std::string_view ProjectPrefix = "Berylspur-";

constexpr std::string_view HopByHop[] = {
        "Connection", "Keep-Alive",          "Proxy-Connection", "Proxy-Authenticate",
        "TE",         "Proxy-Authorization", "Trailer",          "Transfer-Encoding",
        "Upgrade",    "Content-Length",
};

} // namespace

std::string_view headerValue(const HeaderList &headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const auto &header) {
        return equalsIgnoreCase(header.first, name);
    });
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

bool equalsIgnoreCase(std::string_view a, std::string_view b)
{
    return boost::algorithm::iequals(a, b);
}

bool isProjectHeader(std::string_view name)
{
    return boost::algorithm::istarts_with(name, ProjectPrefix);
}

bool isHopByHop(std::string_view name, std::string_view connection)
{
    const auto same = [name](std::string_view other) { return equalsIgnoreCase(name, other); };
    if (std::any_of(std::begin(HopByHop), std::end(HopByHop), same))
        return true;
    if (connection.empty())
        return false;
    std::vector<std::string> tokens;
    boost::algorithm::split(tokens, connection, boost::algorithm::is_any_of(", \t"),
                            boost::algorithm::token_compress_on);
    return std::any_of(tokens.begin(), tokens.end(), same);
}

HeaderList forwardableHeaders(const HeaderList &headers)
{
    std::string connection;
    for (const auto &[name, value] : headers) {
        if (equalsIgnoreCase(name, "Connection"))
            connection.append(connection.empty() ? "" : ",").append(value);
    }
    HeaderList passed;
    passed.reserve(headers.size());
    std::copy_if(headers.begin(), headers.end(), std::back_inserter(passed),
                 [&](const auto &header) {
                     return !isHopByHop(header.first, connection) && !isProjectHeader(header.first);
                 });
    return passed;
}

} // namespace berylspur
