// One caller request, from its complete arrival to the end of its response.
#pragma once

#include "berylspur/core/clock.h"
#include "berylspur/core/http_headers.h"
#include "berylspur/core/result.h"
#include "berylspur/core/shared_body.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace berylspur {

class CallerConnection;

/// A request whose head and body have arrived. Calls have no effect once the caller's connection is
/// closed. Destroying it before the response is complete aborts the connection.
class CallerRequest
{
public:
    CallerRequest(CallerConnection *connection, std::string method, std::string target,
                  HeaderList headers, SharedBody body, Error error);
    ~CallerRequest();
    CallerRequest(const CallerRequest &) = delete;
    CallerRequest &operator=(const CallerRequest &) = delete;

    const std::string &method() const { return m_method; }
    const std::string &target() const { return m_target; }
    const HeaderList &headers() const { return m_headers; }
    /// Value of the first header \a name, or an empty view if there is none.
    std::string_view header(std::string_view name) const;
    SharedBody takeBody() { return std::exchange(m_body, {}); }
    /// Time at which the last bytes of the request arrived, or later bytes of its connection that
    /// were read together with them.
    TimePoint arrival() const { return m_arrival; }

    /// Fails with a 3xxx code if the request is malformed, its framing ambiguous, or over a limit,
    /// and with NotRunBodyDiscarded if the server's body filter declined the body. The request must
    /// not run then.
    Result<void> check() const;
    /// As check(), but without a rule for Host and without a body filter, for servers whose
    /// responses do not depend on them.
    Result<void> checkIgnoringHost() const;

    /// Sends a complete response.
    void respond(std::uint32_t status, const HeaderList &headers, std::string_view body);
    /// Starts a streamed response. \a length is the body length, if known.
    void start(std::uint32_t status, const HeaderList &headers,
               std::optional<std::uint64_t> length = std::nullopt);
    /// Sends a part of the body; \a flushed is called once all parts so far are written to the
    /// socket.
    void write(std::string_view bytes, std::function<void()> flushed);
    /// Completes a streamed response.
    void finish();
    /// Resets the connection, so that the caller can tell that the response is incomplete.
    void abort();
    /// Requests that the connection be closed after the response, or after those to the requests
    /// that were read behind this one.
    void closeAfterResponse() { m_closeAfter = true; }
    /// Lets the connection read the next request before this one is answered. Responses are sent
    /// in the order of the requests. Without this call pipelined requests wait.
    void allowNextRequest();
    bool allowsNextRequest() const { return m_allowsNext; }
    /// True if no earlier request of the connection waits for its response.
    bool isFirst() const;
    /// Sets a callback that is called once when isFirst() becomes true.
    void onFirst(std::function<void()> callback) { m_onFirst = std::move(callback); }
    /// Sets a callback that is called once if the connection closes before the response is
    /// complete.
    void onClosed(std::function<void()> callback) { m_onClosed = std::move(callback); }

private:
    friend class CallerConnection;

    Result<void> checkHost() const;
    Result<void> checkFraming() const;

    // Called by the connection.
    void setArrival(TimePoint arrival) { m_arrival = arrival; }
    void setBodyDiscarded() { m_isBodyDiscarded = true; }
    void setHeadMemory(MemoryReservation memory) { m_headMemory = std::move(memory); }
    void becameFirst();
    void connectionFlushed();
    void connectionClosed();
    CallerConnection *detach();

    CallerConnection *m_connection; // null once the response is complete or the connection closed
    std::string m_method;
    std::string m_target;
    HeaderList m_headers;
    SharedBody m_body;
    Error m_error; // detected while reading the request
    bool m_isBodyDiscarded = false; // the body filter declined the body; m_body is empty
    TimePoint m_arrival {};
    MemoryReservation m_headMemory; // of the head, counted while the request is open
    bool m_closeAfter = false;
    bool m_allowsNext = false;
    std::function<void()> m_onFirst;
    std::function<void()> m_onFlushed;
    std::function<void()> m_onClosed;
};

} // namespace berylspur
