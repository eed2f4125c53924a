// Framing of one response, and its bytes while earlier responses of its connection are incomplete.
#pragma once

#include "berylspur/core/http_headers.h"

#include <cstdint>
#include <event2/buffer.h>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace berylspur {

class CallerRequest;

/// Properties of a request that decide how its response is framed.
struct RequestFraming
{
    bool isHead = false; ///< method HEAD
    bool isHttp10 = false;
    bool keepsAlive = true; ///< the caller lets the connection stay open after the response
};

/// A request of a connection and its response. Output goes to output() until the connection moves
/// it to the socket.
class CallerResponse
{
public:
    CallerResponse(CallerRequest *request, const RequestFraming &framing);

    CallerRequest *request() const { return m_request; }
    /// The request is complete or its connection closed; it must not be called any more.
    CallerRequest *releaseRequest() { return std::exchange(m_request, nullptr); }

    /// Appends the head. \a keepsAlive: the connection may stay open after this response.
    void start(std::uint32_t status, const HeaderList &headers, std::optional<std::uint64_t> length,
               bool keepsAlive);
    /// Appends a part of the body. Bytes beyond the stated length are dropped: the caller would
    /// parse them as the next response.
    void writeBody(std::string_view bytes);
    /// Appends the end of the body.
    void finish();

    /// True if the next request of the connection may be read before this response is sent. The
    /// response to HTTP/1.0 may have to close the connection.
    bool allowsNextRequest() const;
    bool isFinished() const { return m_isFinished; }
    /// After start(): the connection may stay open after this response.
    bool keepsAlive() const { return m_framing.keepsAlive; }
    /// Body bytes that the stated length promises and that have not been written.
    std::uint64_t missingBytes() const { return m_body == Body::Length ? m_remainingLength : 0; }
    evbuffer *output() const { return m_output.get(); }

private:
    enum class Body { Length, Chunked, UntilClose, None };

    void append(std::string_view bytes);

    CallerRequest *m_request; // owned by the server's handler; null once released
    RequestFraming m_framing;
    std::unique_ptr<evbuffer, void (*)(evbuffer *)> m_output;
    Body m_body = Body::None;
    std::uint64_t m_remainingLength = 0; // body bytes left of Content-Length
    bool m_isFinished = false;
};

} // namespace berylspur
