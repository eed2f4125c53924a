// TCP server that answers requests with scripted bytes.
#pragma once

#include "loop.h"

#include <cerrno>
#include <cstddef>
#include <fcntl.h>
#include <ostream>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace berylspur {

enum class ConnectionAction { Keep, Close, Reset };

inline std::ostream &operator<<(std::ostream &out, ConnectionAction action)
{
    return out << static_cast<int>(action);
}

/// Accepts connections and sends the bytes of script for each request that it receives, then those
/// of remainder at the next poll. Repeats the bytes of endless as fast as they are read.
class ScriptedServer
{
public:
    ScriptedServer() : m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        const auto bound = address.toSockaddr();
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        bind(m_listener, reinterpret_cast<const sockaddr *>(&bound), sizeof bound);
        listen(m_listener, 16);
        fcntl(m_listener, F_SETFL, O_NONBLOCK);
    }
    ~ScriptedServer()
    {
        for (const int fd : m_open)
            close(fd);
        close(m_listener);
    }
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    /// Accepts a pending connection and serves received requests.
    void poll()
    {
        const int accepted = accept(m_listener, nullptr, nullptr);
        if (accepted >= 0) {
            fcntl(accepted, F_SETFL, O_NONBLOCK);
            m_open.push_back(accepted);
        }
        for (std::size_t i = 0; i < m_open.size(); ++i) {
            sendRemainder(i);
            sendEndless(i);
            serve(i);
        }
        std::erase(m_open, -1);
    }

    Address address = freeAddress();
    std::string script;
    std::string remainder;
    std::string endless;
    ConnectionAction action = ConnectionAction::Keep;
    int requests = 0;
    std::string received;
    std::size_t openConnections() const { return m_open.size(); }
    /// Bytes of endless that the sockets have taken.
    std::size_t endlessSent() const { return m_endlessSent; }
    /// Sends \a bytes on all open connections.
    void send(const std::string &bytes) const
    {
        for (const int fd : m_open)
            ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

private:
    void serve(std::size_t index)
    {
        char buffer[65536];
        const auto got = recv(m_open[index], buffer, sizeof buffer, 0);
        if (got <= 0)
            return;
        received.assign(buffer, static_cast<std::size_t>(got));
        if (received.find("\r\n\r\n") == std::string::npos)
            return;
        ++requests;
        [[maybe_unused]] const auto sent = write(m_open[index], script.data(), script.size());
        if (!remainder.empty())
            m_remainderDue = m_open[index];
        if (action == ConnectionAction::Keep)
            return;
        const linger resetOnClose {1, 0};
        if (action == ConnectionAction::Reset)
            setsockopt(m_open[index], SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
        close(std::exchange(m_open[index], -1));
    }

    void sendRemainder(std::size_t index)
    {
        if (m_open[index] != m_remainderDue)
            return;
        [[maybe_unused]] const auto sent =
                write(m_remainderDue, remainder.data(), remainder.size());
        m_remainderDue = -1;
    }

    void sendEndless(std::size_t index)
    {
        constexpr std::size_t PieceBytes = 64u << 10;
        if (endless.empty() || requests == 0)
            return;
        std::string piece;
        while (piece.size() < PieceBytes + endless.size())
            piece += endless;
        while (m_open[index] >= 0) {
            const char *next = piece.data() + m_endlessSent % endless.size();
            const auto sent = ::send(m_open[index], next, PieceBytes, MSG_NOSIGNAL);
            if (sent < 0) {
                if (errno != EAGAIN)
                    close(std::exchange(m_open[index], -1));
                return;
            }
            m_endlessSent += static_cast<std::size_t>(sent);
        }
    }

    int m_listener;
    std::vector<int> m_open;
    std::size_t m_endlessSent = 0;
    int m_remainderDue = -1; // connection that remainder is to be sent on
};

} // namespace berylspur
