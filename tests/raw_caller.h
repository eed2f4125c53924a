// Connection to an HTTP server that sends and receives raw bytes.
#pragma once

#include "berylspur/core/address.h"

#include <cerrno>
#include <cstddef>
#include <fcntl.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace berylspur {

/// Client connection that sends and receives raw bytes.
class RawCaller
{
public:
    explicit RawCaller(const Address &server) : m_fd(socket(AF_INET, SOCK_STREAM, 0))
    {
        const auto address = server.toSockaddr();
        connect(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof address);
        fcntl(m_fd, F_SETFL, O_NONBLOCK);
    }
    ~RawCaller() { disconnect(); }
    RawCaller(const RawCaller &) = delete;
    RawCaller &operator=(const RawCaller &) = delete;

    /// Sends as much of \a bytes as the socket takes at once; returns the number of bytes.
    std::size_t send(const std::string &bytes) const
    {
        const auto sent = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        return sent < 0 ? 0 : static_cast<std::size_t>(sent);
    }
    void disconnect()
    {
        if (m_fd >= 0)
            close(m_fd);
        m_fd = -1;
    }
    /// Reads available input. Returns false once the connection is closed.
    bool read()
    {
        char buffer[4096];
        const auto got = recv(m_fd, buffer, sizeof buffer, 0);
        if (got > 0)
            received.append(buffer, static_cast<std::size_t>(got));
        wasReset = wasReset || (got < 0 && errno == ECONNRESET);
        ended = ended || got == 0 || wasReset;
        return !ended;
    }

    std::string received;
    bool ended = false;
    bool wasReset = false;

private:
    int m_fd;
};

} // namespace berylspur
