// Validates caller requests and passes their responses to the connection.
#include "berylspur/http/caller_request.h"

#include "caller_connection.h"

#include <algorithm>
#include <utility>

namespace berylspur {

namespace {

bool isToken(std::string_view text)
{
    constexpr std::string_view Separators = "()<>@,;:\\\"/[]?={} \t";
    return !text.empty() && std::all_of(text.begin(), text.end(), [&](unsigned char c) {
        return c > 0x20 && c < 0x7f
               && Separators.find(static_cast<char>(c)) == std::string_view::npos;
    });
}

bool hasOnlyVisibleCharacters(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char c) { return c > 0x20 && c != 0x7f; });
}

/// True for methods whose body some servers ignore and then parse as the next request.
bool isBodylessMethod(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "TRACE" || method == "CONNECT";
}

} // namespace

CallerRequest::CallerRequest(CallerConnection *connection, std::string method, std::string target,
                             HeaderList headers, SharedBody body, Error error)
    : m_connection(connection), m_method(std::move(method)), m_target(std::move(target)),
      m_headers(std::move(headers)), m_body(std::move(body)), m_error(std::move(error))
{
}

CallerRequest::~CallerRequest()
{
    abort();
}

std::string_view CallerRequest::header(std::string_view name) const
{
    return headerValue(m_headers, name);
}

Result<void> CallerRequest::check() const
{
    if (auto checked = checkIgnoringHost(); !checked)
        return checked;
    if (auto checked = checkHost(); !checked)
        return checked;
    if (m_isBodyDiscarded)
        return failure(ErrorCode::NotRunBodyDiscarded, "the body was not kept");
    return success();
}

Result<void> CallerRequest::checkIgnoringHost() const
{
    if (m_error.code != ErrorCode::Ok)
        return failure(m_error.code, m_error.detail);
    if (!isToken(m_method) || m_target.empty() || m_target.front() != '/'
        || !hasOnlyVisibleCharacters(m_target))
        return failure(ErrorCode::RequestMalformed, "invalid method or target");
    return checkFraming();
}

Result<void> CallerRequest::checkHost() const
{
    const auto hosts = std::count_if(m_headers.begin(), m_headers.end(), [](const auto &header) {
        return equalsIgnoreCase(header.first, "Host");
    });
    // RFC 9112, 3.2 requires exactly one Host header.
    if (hosts != 1 || header("Host").empty())
        return failure(ErrorCode::RequestMalformed, "expected exactly one Host header");
    return success();
}

Result<void> CallerRequest::checkFraming() const
{
    int lengths = 0;
    bool declaresBody = false;
    for (const auto &[name, value] : m_headers) {
        const bool isLength = equalsIgnoreCase(name, "Content-Length");
        lengths += isLength ? 1 : 0;
        declaresBody = declaresBody || (isLength && value != "0")
                       || equalsIgnoreCase(name, "Transfer-Encoding");
    }
    if (lengths > 1)
        return failure(ErrorCode::RequestAmbiguousFraming, "more than one Content-Length");
    if (declaresBody && isBodylessMethod(m_method))
        return failure(ErrorCode::RequestAmbiguousFraming,
                       "body with a method that does not allow one");
    return success();
}

CallerConnection *CallerRequest::detach()
{
    m_onClosed = nullptr;
    m_onFlushed = nullptr;
    m_onFirst = nullptr;
    return std::exchange(m_connection, nullptr);
}

void CallerRequest::respond(std::uint32_t status, const HeaderList &headers, std::string_view body)
{
    start(status, headers, body.size());
    write(body, nullptr);
    finish();
}

void CallerRequest::start(std::uint32_t status, const HeaderList &headers,
                          std::optional<std::uint64_t> length)
{
    if (m_connection)
        m_connection->startResponse(*this, status, headers, length, m_closeAfter);
}

void CallerRequest::write(std::string_view bytes, std::function<void()> flushed)
{
    if (!m_connection)
        return;
    m_onFlushed = std::move(flushed);
    m_connection->writeBody(*this, bytes);
}

void CallerRequest::finish()
{
    if (auto *connection = detach())
        connection->finishResponse(*this);
}

void CallerRequest::abort()
{
    if (auto *connection = detach())
        connection->abort(*this);
}

void CallerRequest::allowNextRequest()
{
    m_allowsNext = true;
    if (m_connection)
        m_connection->continueReading();
}

bool CallerRequest::isFirst() const
{
    return !m_connection || m_connection->isFirst(*this);
}

void CallerRequest::becameFirst()
{
    if (const auto callback = std::exchange(m_onFirst, nullptr))
        callback();
}

void CallerRequest::connectionFlushed()
{
    if (const auto callback = std::exchange(m_onFlushed, nullptr))
        callback();
}

void CallerRequest::connectionClosed()
{
    m_connection = nullptr;
    m_onFlushed = nullptr;
    m_onFirst = nullptr;
    if (const auto callback = std::exchange(m_onClosed, nullptr))
        callback();
}

} // namespace berylspur
