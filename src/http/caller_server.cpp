// Listening socket for caller connections.
#include "berylspur/http/caller_server.h"

#include "caller_connection.h"

#include <algorithm>
#include <utility>

namespace berylspur {

namespace {

constexpr int ListenBacklog = 1024;

} // namespace

CallerServer::CallerServer(event_base *base, Handler handler)
    : m_base(base), m_handler(std::move(handler)),
      m_cleanupTimer(base, [this] { m_closedConnections.clear(); })
{
}

CallerServer::~CallerServer()
{
    if (m_listener)
        evconnlistener_free(m_listener);
}

Result<void> CallerServer::listen(const Address &address)
{
    const auto bound = address.toSockaddr();
    m_listener = evconnlistener_new_bind(
            m_base, onAccept, this,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, ListenBacklog,
            reinterpret_cast<const sockaddr *>(&bound), sizeof bound);
    if (!m_listener)
        return failure(ErrorCode::AddressUnusable, "caller address " + address.toString());
    return success();
}

std::size_t CallerServer::connectionsWithUnsentOutput() const
{
    return static_cast<std::size_t>(
            std::count_if(m_connections.begin(), m_connections.end(),
                          [](const auto &item) { return item.first->hasUnsentOutput(); }));
}

void CallerServer::onAccept(evconnlistener *, evutil_socket_t fd, sockaddr *, int, void *self)
{
    auto *server = static_cast<CallerServer *>(self);
    auto connection = std::make_unique<CallerConnection>(*server, fd);
    auto *key = connection.get();
    server->m_connections.emplace(key, std::move(connection));
}

void CallerServer::release(CallerConnection *connection)
{
    auto found = m_connections.extract(connection);
    if (found.empty())
        return;
    m_closedConnections.push_back(std::move(found.mapped()));
    m_cleanupTimer.start(Duration::zero());
}

} // namespace berylspur
