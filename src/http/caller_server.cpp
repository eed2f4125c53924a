// Listening socket for caller connections.
#include "berylspur/http/caller_server.h"

#include "caller_connection.h"

#include <algorithm>
#include <utility>

namespace berylspur {

namespace {

constexpr int ListenBacklog = 1024;
/// Pause after a failed accept(). Without it the event loop would try again all the time while the
/// process has no free descriptor.
constexpr Duration AcceptPause = std::chrono::milliseconds(100);
/// A connection is closed in favour of a new one only after this time without progress.
constexpr Duration MinStall = std::chrono::seconds(1);

} // namespace

CallerServer::CallerServer(event_base *base, Handler handler, MemoryBudget *memory)
    : m_base(base), m_handler(std::move(handler)), m_memory(memory),
      m_cleanupTimer(base, [this] { m_closedConnections.clear(); }),
      m_acceptTimer(base, [this] { evconnlistener_enable(m_listener); })
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
    evconnlistener_set_error_cb(m_listener, onAcceptError);
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
    if (!server->makeRoom()) {
        ++server->m_counters.refusedConnections;
        evutil_closesocket(fd);
        return;
    }
    auto connection = std::make_unique<CallerConnection>(*server, fd);
    auto *key = connection.get();
    server->m_connections.emplace(key, std::move(connection));
}

void CallerServer::onAcceptError(evconnlistener *listener, void *self)
{
    evconnlistener_disable(listener);
    static_cast<CallerServer *>(self)->m_acceptTimer.start(AcceptPause);
}

bool CallerServer::makeRoom()
{
    if (m_limits.maxConnections == 0 || m_connections.size() < m_limits.maxConnections)
        return true;
    const auto now = BootClock::now();
    CallerConnection *oldest = nullptr;
    for (const auto &[connection, owner] : m_connections) {
        const bool mayClose =
                connection->isReplaceable() && now - connection->lastProgress() >= MinStall;
        if (mayClose && (!oldest || connection->lastProgress() < oldest->lastProgress()))
            oldest = connection;
    }
    if (!oldest)
        return false;
    ++m_counters.closedForConnections;
    oldest->closeForLimit();
    return true;
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
