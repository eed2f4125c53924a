// Serializes response heads and bodies.
#include "caller_response.h"

#include "berylspur/http/caller_request.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <charconv>

namespace berylspur {

namespace http = boost::beast::http;

namespace {

std::string chunkHeader(std::size_t size)
{
    std::array<char, 2 * sizeof size> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), size, 16).ptr;
    return std::string(digits.data(), end) + "\r\n";
}

} // namespace

CallerResponse::CallerResponse(CallerRequest *request, const RequestFraming &framing)
    : m_request(request), m_framing(framing), m_output(evbuffer_new(), evbuffer_free)
{
}

void CallerResponse::start(std::uint32_t status, const HeaderList &headers,
                           std::optional<std::uint64_t> length, bool keepsAlive)
{
    constexpr std::uint32_t NoContent = 204;
    constexpr std::uint32_t NotModified = 304;
    if (m_framing.isHead || status == NoContent || status == NotModified)
        m_body = Body::None;
    else if (length)
        m_body = Body::Length;
    else
        m_body = m_framing.isHttp10 ? Body::UntilClose : Body::Chunked;
    m_framing.keepsAlive = m_framing.keepsAlive && keepsAlive && m_body != Body::UntilClose;
    m_remainingLength = length.value_or(0);

    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    const auto reason = http::obsolete_reason(static_cast<http::status>(status));
    head.append(reason.data(), reason.size()).append("\r\n");
    for (const auto &[name, value] : headers)
        head.append(name).append(": ").append(value).append("\r\n");
    // The response to HEAD has the Content-Length of the response to GET.
    if (length && status != NoContent && status != NotModified)
        head.append("Content-Length: ").append(std::to_string(*length)).append("\r\n");
    if (m_body == Body::Chunked)
        head.append("Transfer-Encoding: chunked\r\n");
    if (!m_framing.keepsAlive)
        head.append("Connection: close\r\n");
    else if (m_framing.isHttp10)
        head.append("Connection: keep-alive\r\n");
    head.append("\r\n");
    append(head);
}

void CallerResponse::writeBody(std::string_view bytes)
{
    switch (m_body) {
    case Body::None:
        break;
    case Body::Length:
        bytes = bytes.substr(0, static_cast<std::size_t>(
                                        std::min<std::uint64_t>(bytes.size(), m_remainingLength)));
        m_remainingLength -= bytes.size();
        append(bytes);
        break;
    case Body::Chunked:
        if (bytes.empty())
            break;
        append(chunkHeader(bytes.size()));
        append(bytes);
        append("\r\n");
        break;
    case Body::UntilClose:
        append(bytes);
        break;
    }
}

bool CallerResponse::allowsNextRequest() const
{
    return !m_framing.isHttp10 && (!m_request || m_request->allowsNextRequest());
}

void CallerResponse::finish()
{
    m_isFinished = true;
    if (m_body == Body::Chunked)
        append("0\r\n\r\n");
}

void CallerResponse::append(std::string_view bytes)
{
    evbuffer_add(m_output.get(), bytes.data(), bytes.size());
}

} // namespace berylspur
