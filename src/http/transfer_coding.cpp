// Evaluates Transfer-Encoding.
#include "berylspur/http/transfer_coding.h"

#include <algorithm>
#include <boost/algorithm/string.hpp>
#include <string>
#include <vector>

namespace berylspur {

namespace {

/// Codings in the order in which they were applied, over all Transfer-Encoding headers.
std::vector<std::string> codingsOf(const HeaderList &headers)
{
    std::vector<std::string> codings;
    for (const auto &[name, value] : headers) {
        if (!equalsIgnoreCase(name, "Transfer-Encoding"))
            continue;
        std::vector<std::string> listed;
        boost::algorithm::split(listed, value, boost::algorithm::is_any_of(","));
        for (std::string &coding : listed) {
            boost::algorithm::trim_if(coding, boost::algorithm::is_any_of(" \t"));
            codings.push_back(std::move(coding));
        }
    }
    return codings;
}

bool isChunked(const std::string &coding)
{
    return equalsIgnoreCase(coding, "chunked");
}

} // namespace

TransferCoding transferCoding(const HeaderList &headers, bool isHttp11)
{
    const auto codings = codingsOf(headers);
    if (codings.empty())
        return TransferCoding::None;
    const bool hasLength = std::any_of(headers.begin(), headers.end(), [](const auto &header) {
        return equalsIgnoreCase(header.first, "Content-Length");
    });
    const auto chunked = std::count_if(codings.begin(), codings.end(), isChunked);
    if (!isHttp11 || hasLength || chunked != 1 || !isChunked(codings.back()))
        return TransferCoding::Ambiguous;
    return codings.size() == 1 ? TransferCoding::Chunked : TransferCoding::Unsupported;
}

} // namespace berylspur
