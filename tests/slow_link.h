// Link to a server that limits the rate of what the server sends.
#pragma once

#include "berylspur/core/address.h"
#include "loop.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

namespace berylspur {

/// Forwards one connection.
class SlowLink
{
public:
    SlowLink(event_base *base, const Address &server, std::size_t bytesPerSecond)
        : m_base(base), m_server(server)
    {
        // Ten refills a second; a burst is one refill.
        constexpr std::size_t RefillsPerSecond = 10;
        const timeval refillInterval {0, 1000000 / RefillsPerSecond};
        const auto refill = bytesPerSecond / RefillsPerSecond;
        m_rate = ev_token_bucket_cfg_new(refill, refill, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX,
                                         &refillInterval);
        const auto socket = m_address.toSockaddr();
        m_listener =
                evconnlistener_new_bind(base, onAccept, this, LEV_OPT_CLOSE_ON_FREE, 1,
                                        reinterpret_cast<const sockaddr *>(&socket), sizeof socket);
    }
    ~SlowLink()
    {
        for (auto *side : {m_client, m_upstream}) {
            if (side)
                bufferevent_free(side);
        }
        evconnlistener_free(m_listener);
        ev_token_bucket_cfg_free(m_rate);
    }
    SlowLink(const SlowLink &) = delete;
    SlowLink &operator=(const SlowLink &) = delete;

    const Address &address() const { return m_address; }

private:
    static void onAccept(evconnlistener *, evutil_socket_t fd, sockaddr *, int, void *self)
    {
        static_cast<SlowLink *>(self)->open(fd);
    }
    static void onClientRead(bufferevent *client, void *self)
    {
        bufferevent_write_buffer(static_cast<SlowLink *>(self)->m_upstream,
                                 bufferevent_get_input(client));
    }
    static void onUpstreamRead(bufferevent *upstream, void *self)
    {
        bufferevent_write_buffer(static_cast<SlowLink *>(self)->m_client,
                                 bufferevent_get_input(upstream));
    }

    void open(evutil_socket_t fd)
    {
        m_client = bufferevent_socket_new(m_base, fd, BEV_OPT_CLOSE_ON_FREE);
        m_upstream = bufferevent_socket_new(m_base, -1, BEV_OPT_CLOSE_ON_FREE);
        const auto socket = m_server.toSockaddr();
        bufferevent_socket_connect(m_upstream, reinterpret_cast<const sockaddr *>(&socket),
                                   sizeof socket);
        bufferevent_set_rate_limit(m_upstream, m_rate);
        bufferevent_setcb(m_client, onClientRead, nullptr, nullptr, this);
        bufferevent_setcb(m_upstream, onUpstreamRead, nullptr, nullptr, this);
        bufferevent_enable(m_client, EV_READ | EV_WRITE);
        bufferevent_enable(m_upstream, EV_READ | EV_WRITE);
    }

    event_base *m_base;
    Address m_server;
    Address m_address = freeAddress();
    ev_token_bucket_cfg *m_rate = nullptr;
    evconnlistener *m_listener = nullptr;
    bufferevent *m_client = nullptr;
    bufferevent *m_upstream = nullptr;
};

} // namespace berylspur
