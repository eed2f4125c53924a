// One request of a caller, from its last byte to the end of its response.
#pragma once

#include "berylspur/core/http_headers.h"
#include "berylspur/core/result.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace berylspur {

class CallerConnection;

/// A request whose head and body have arrived. After the caller's connection ended, all calls do
/// nothing. Destroying it before the response is complete ends the connection.
class CallerRequest
{
public:
    CallerRequest(CallerConnection *connection, std::string method, std::string target,
                  HeaderList headers, std::string body, Error error);
    ~CallerRequest();
    CallerRequest(const CallerRequest &) = delete;
    CallerRequest &operator=(const CallerRequest &) = delete;

    const std::string &method() const { return m_method; }
    const std::string &target() const { return m_target; }
    const HeaderList &headers() const { return m_headers; }
    /// Value of the first header \a name, or an empty view.
    std::string_view header(std::string_view name) const;
    std::string takeBody() { return std::move(m_body); }

    /// Fails with a 3xxx code if the request is malformed, its framing ambiguous, or over a limit.
    Result<void> check() const;

    /// Sends a complete response.
    void respond(std::uint32_t status, const HeaderList &headers, std::string_view body);
    /// Starts a streamed response. \a length is that of the body, if it is known.
    void start(std::uint32_t status, const HeaderList &headers,
               std::optional<std::uint64_t> length = std::nullopt);
    /// Sends a part; \a flushed is called once all parts so far went to the socket.
    void write(std::string_view bytes, std::function<void()> flushed);
    /// Ends a complete response.
    void finish();
    /// Ends the connection so that the caller knows the response is not complete.
    void abort();
    /// The connection is closed after the response.
    void closeAfterResponse() { m_closeAfter = true; }
    /// Called once if the caller's connection ends before the response is complete.
    void onClosed(std::function<void()> callback) { m_onClosed = std::move(callback); }

private:
    friend class CallerConnection;

    Result<void> checkFraming() const;

    /// Messages of the connection.
    void connectionFlushed();
    void connectionClosed();
    CallerConnection *release();

    CallerConnection *m_connection; // null once the response is complete or the connection ended
    std::string m_method;
    std::string m_target;
    HeaderList m_headers;
    std::string m_body;
    Error m_error; // found while the request was read
    bool m_closeAfter = false;
    std::function<void()> m_flushed;
    std::function<void()> m_onClosed;
};

} // namespace berylspur
