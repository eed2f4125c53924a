// Connects to an endpoint that succeed only after they were reported as failed.
#define BOOST_TEST_MODULE endpoint_connect
#include "../src/owner/endpoint_client.h"
#include "loop.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <netinet/in.h>
#include <optional>
#include <ostream>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace berylspur;
namespace data = boost::unit_test::data;

namespace {

/// The kernel sends a lost opening packet again after 1 s and 3 s.
constexpr int ResendMs = 5000;

/// A listener whose queue of connections is full until drain().
class FullListener
{
public:
    FullListener() : m_listener(newSocket())
    {
        const auto bound = address.toSockaddr();
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        BOOST_REQUIRE(bind(m_listener, reinterpret_cast<const sockaddr *>(&bound), sizeof bound)
                      == 0);
        BOOST_REQUIRE(listen(m_listener, 0) == 0);
        for (int i = 0; i < Fillers; ++i) {
            m_open.push_back(newSocket());
            connect(m_open.back(), reinterpret_cast<const sockaddr *>(&bound), sizeof bound);
        }
    }
    ~FullListener()
    {
        for (const int fd : m_open)
            close(fd);
        close(m_listener);
    }
    FullListener(const FullListener &) = delete;
    FullListener &operator=(const FullListener &) = delete;

    /// Accepts all connections of the queue, and then waits for those whose opening packet was
    /// lost.
    void drain()
    {
        for (;;) {
            pollfd entry {m_listener, POLLIN, 0};
            if (poll(&entry, 1, ResendMs) <= 0)
                return;
            m_open.push_back(accept(m_listener, nullptr, nullptr));
            fcntl(m_open.back(), F_SETFL, O_NONBLOCK);
        }
    }
    /// All bytes that arrived on accepted connections.
    std::string received()
    {
        for (const int fd : m_open) {
            char bytes[4096];
            for (auto n = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT); n > 0;
                 n = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT))
                m_received.append(bytes, static_cast<std::size_t>(n));
        }
        return m_received;
    }

    Address address = freeAddress();

private:
    static constexpr int Fillers = 3; // more than a queue of length 0 takes

    static int newSocket() { return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0); }

    int m_listener;
    std::vector<int> m_open;
    std::string m_received;
};

/// How a call ends while its connect is under way.
enum class CallEnd { ConnectTimeout, Cancelled };

std::ostream &operator<<(std::ostream &out, CallEnd end)
{
    return out << (end == CallEnd::Cancelled ? "cancelled" : "connect timeout");
}

CallRequest booking(std::size_t bodyBytes)
{
    CallRequest request;
    request.method = "POST";
    request.target = "/booking";
    request.body = SharedBody(std::string(bodyBytes, 'x'), {});
    return request;
}

} // namespace

// Guards against a request that was reported as not run, and was placed elsewhere, and that the
// endpoint gets after all, because its connect succeeds in the turn of the event loop in which it
// was given up. Small and large bodies are written in different ways.
BOOST_DATA_TEST_CASE(request_of_a_failed_connect_is_never_sent,
                     data::make({CallEnd::ConnectTimeout, CallEnd::Cancelled})
                             * data::make({10, 100000}),
                     callEnd, bodyBytes)
{
    constexpr Duration AfterwardsTime = std::chrono::milliseconds(200);
    Loop loop;
    FullListener endpoint;
    EndpointClient client(loop.base, endpoint.address);
    std::optional<CallResult> ended;
    CallHandler handler;
    handler.ended = [&](CallResult end) {
        endpoint.drain(); // this turn lasts until the connect has succeeded
        ended = end;
    };
    auto call = client.start(booking(static_cast<std::size_t>(bodyBytes)), std::move(handler));
    if (callEnd == CallEnd::Cancelled) {
        event_base_loop(loop.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
        endpoint.drain();
        call.reset();
    } else {
        BOOST_REQUIRE(loop.runUntil([&] { return ended.has_value(); }));
        BOOST_TEST((ended == CallResult::ConnectFailed));
    }
    const auto until = BootClock::now() + AfterwardsTime;
    loop.runUntil([&] { return BootClock::now() >= until; });
    BOOST_TEST(endpoint.received().empty());
}
