// Connection pool for one endpoint.
#include "endpoint_client.h"

#include "endpoint_connection.h"

#include <algorithm>
#include <utility>

namespace berylspur {

EndpointCall::EndpointCall(const CallRequest &request, CallHandler handler)
    : m_handler(std::move(handler)), m_echoHeader(request.echoHeader),
      m_echoValue(request.echoValue), m_isHead(request.method == "HEAD")
{
}

EndpointCall::~EndpointCall()
{
    if (m_connection)
        m_connection->cancel();
}

void EndpointCall::pause()
{
    if (m_connection)
        m_connection->setReading(false);
}

void EndpointCall::resume()
{
    if (m_connection)
        m_connection->setReading(true);
}

EndpointClient::EndpointClient(event_base *base, Address address)
    : m_base(base), m_address(std::move(address)),
      m_discardTimer(base, [this] { m_discarded.clear(); })
{
}

EndpointClient::~EndpointClient() = default;

std::unique_ptr<EndpointCall> EndpointClient::start(const CallRequest &request, CallHandler handler)
{
    auto call = std::unique_ptr<EndpointCall>(new EndpointCall(request, std::move(handler)));
    call->m_connection = acquire(request.freshConnection);
    call->m_connection->begin(*call, request);
    return call;
}

EndpointConnection *EndpointClient::acquire(bool fresh)
{
    const auto now = BootClock::now();
    while (!m_idle.empty()) {
        auto *connection = m_idle.back();
        m_idle.pop_back();
        if (connection->isUsable(fresh, now) && connection->isIdleAndOpen())
            return connection;
        discard(connection);
    }
    ++m_opened;
    auto opened = std::make_unique<EndpointConnection>(*this, m_base, m_address);
    auto *connection = opened.get();
    m_connections.emplace(connection, std::move(opened));
    return connection;
}

void EndpointClient::release(EndpointConnection *connection)
{
    m_idle.push_back(connection);
}

void EndpointClient::discard(EndpointConnection *connection)
{
    std::erase(m_idle, connection);
    auto found = m_connections.extract(connection);
    if (found.empty())
        return;
    m_discarded.push_back(std::move(found.mapped()));
    m_discardTimer.start(Duration::zero());
}

} // namespace berylspur
