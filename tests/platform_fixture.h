// The platform stand-in and a client of it on one event loop.
#pragma once

#include "platform/platform_client.h"
#include "standin/platform_server.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <event2/event.h>
#include <event2/http.h>
#include <functional>
#include <memory>
#include <optional>

namespace berylspur::test {

class PlatformFixture
{
public:
    PlatformFixture()
        : m_base(event_base_new(), &event_base_free),
          m_http(evhttp_new(m_base.get()), &evhttp_free), m_address(listen()),
          server(m_base.get(), m_http.get()), client(m_base.get(), m_address)
    {
    }

    event_base *base() const { return m_base.get(); }
    const Address &address() const { return m_address; }

    /// Runs the event loop until \a isDone returns true. Fails the test after 60 s.
    void runUntil(const std::function<bool()> &isDone)
    {
        const auto limit = BootClock::now() + std::chrono::seconds(60);
        while (!isDone()) {
            BOOST_REQUIRE(BootClock::now() < limit);
            event_base_loop(m_base.get(), EVLOOP_ONCE);
        }
    }

    /// Runs the event loop until the call started by \a start has invoked its callback.
    template <typename T>
    Result<T> wait(const std::function<void(std::function<void(Result<T>)>)> &start)
    {
        std::optional<Result<T>> result;
        start([&result](Result<T> outcome) { result.emplace(std::move(outcome)); });
        runUntil([&result] { return result.has_value(); });
        return std::move(*result);
    }

    Result<PlatformObject> read(const std::string &name)
    {
        return wait<PlatformObject>([&](auto done) { client.read(name, std::move(done)); });
    }
    Result<ObjectVersion> write(const std::string &name, const std::string &value,
                                std::optional<ObjectVersion> expected = std::nullopt)
    {
        return wait<ObjectVersion>(
                [&](auto done) { client.write(name, value, expected, std::move(done)); });
    }

private:
    Address listen()
    {
        auto *socket = evhttp_bind_socket_with_handle(m_http.get(), "127.0.0.1", 0);
        BOOST_REQUIRE(socket != nullptr);
        sockaddr_in bound {};
        socklen_t size = sizeof bound;
        getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr *>(&bound),
                    &size);
        return Address::fromSockaddr(bound);
    }

    std::unique_ptr<event_base, decltype(&event_base_free)> m_base;
    std::unique_ptr<evhttp, decltype(&evhttp_free)> m_http;
    Address m_address;

public:
    standin::PlatformServer server;
    PlatformClient client;
};

/// Error code of \a result; Ok for a value.
template <typename T>
ErrorCode codeOf(const Result<T> &result)
{
    return result ? ErrorCode::Ok : result.error().code;
}

} // namespace berylspur::test

namespace berylspur {

inline std::ostream &boost_test_print_type(std::ostream &stream, ErrorCode code)
{
    return stream << errorName(code);
}

inline std::ostream &boost_test_print_type(std::ostream &stream, const ObjectVersion &version)
{
    return stream << version.era << ":" << version.revision;
}

} // namespace berylspur
