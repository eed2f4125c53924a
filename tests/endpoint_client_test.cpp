// The endpoint side's HTTP layer against bytes as endpoints may send them.
#define BOOST_TEST_MODULE endpoint_client
#include "../src/owner/endpoint_client.h"
#include "loop.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <optional>
#include <ostream>
#include <utility>

using namespace berylspur;
namespace data = boost::unit_test::data;

namespace {

enum class After { Keep, Close, Reset };

/// Accepts connections and sends one script of bytes for each request head that it reads.
class ScriptedEndpoint
{
public:
    ScriptedEndpoint() : m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        const auto bound = address.toSockaddr();
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        bind(m_listener, reinterpret_cast<const sockaddr *>(&bound), sizeof bound);
        listen(m_listener, 16);
        fcntl(m_listener, F_SETFL, O_NONBLOCK);
    }
    ~ScriptedEndpoint()
    {
        for (const int fd : m_open)
            close(fd);
        close(m_listener);
    }
    ScriptedEndpoint(const ScriptedEndpoint &) = delete;
    ScriptedEndpoint &operator=(const ScriptedEndpoint &) = delete;

    /// Serves what has arrived.
    void poll()
    {
        const int accepted = accept(m_listener, nullptr, nullptr);
        if (accepted >= 0) {
            fcntl(accepted, F_SETFL, O_NONBLOCK);
            m_open.push_back(accepted);
        }
        for (std::size_t i = 0; i < m_open.size(); ++i)
            serve(i);
        std::erase(m_open, -1);
    }

    Address address = freeAddress();
    std::string script;
    After after = After::Keep;
    int requests = 0;
    std::string received;

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
        if (after == After::Keep)
            return;
        const linger hard {1, 0};
        if (after == After::Reset)
            setsockopt(m_open[index], SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        close(std::exchange(m_open[index], -1));
    }

    int m_listener;
    std::vector<int> m_open;
};

struct Outcome
{
    std::uint32_t status = 0;
    std::string body;
    std::optional<CallEnd> end;
};

struct Fixture
{
    Outcome call(const CallRequest &request)
    {
        Outcome outcome;
        CallHandler handler;
        handler.headers = [&](std::uint32_t status, const HeaderList &) {
            outcome.status = status;
        };
        handler.data = [&](std::string_view bytes) { outcome.body.append(bytes); };
        handler.ended = [&](CallEnd end) { outcome.end = end; };
        const auto running = client.start(request, std::move(handler));
        BOOST_TEST(loop.runUntil([&] {
            endpoint.poll();
            return outcome.end.has_value();
        }));
        return outcome;
    }

    static CallRequest get(const std::string &id = "7")
    {
        CallRequest request;
        request.method = "GET";
        request.target = "/a";
        request.echoHeader = "X-Id";
        request.echoValue = id;
        return request;
    }

    Loop loop;
    ScriptedEndpoint endpoint;
    EndpointClient client {loop.base, endpoint.address};
};

struct ResponseCase
{
    const char *name;
    std::string script;
    After after;
    CallEnd end;
    std::string body;
    bool reused; ///< the next call uses the same connection
};

std::ostream &operator<<(std::ostream &out, After after)
{
    return out << static_cast<int>(after);
}

std::ostream &operator<<(std::ostream &out, const ResponseCase &response)
{
    return out << response.name;
}

const std::string Ok = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n";
const std::string Other = "HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 5\r\n\r\nother";

const std::vector<ResponseCase> Responses {
        {"length", Ok + "Content-Length: 3\r\n\r\nabc", After::Keep, CallEnd::Complete, "abc",
         true},
        {"chunks", Ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", After::Keep,
         CallEnd::Complete, "abc", true},
        {"close is announced", Ok + "Connection: close\r\nContent-Length: 3\r\n\r\nabc",
         After::Keep, CallEnd::Complete, "abc", false},
        {"ends with the connection", Ok + "\r\nabc", After::Close, CallEnd::Complete, "abc", false},
        {"reset without a length", Ok + "\r\nabc", After::Reset, CallEnd::Broken, "abc", false},
        {"cut within its length", Ok + "Content-Length: 9\r\n\r\nabc", After::Close,
         CallEnd::Broken, "abc", false},
        {"cut within a chunk", Ok + "Transfer-Encoding: chunked\r\n\r\n9\r\nabc", After::Close,
         CallEnd::Broken, "abc", false},
        {"no response", "", After::Close, CallEnd::Broken, "", false},
        {"bytes that are none", "\x01\x02garbage\r\n\r\n", After::Keep, CallEnd::Broken, "", false},
        {"surplus bytes", Ok + "Content-Length: 3\r\n\r\nabcHTTP/1.1 200", After::Keep,
         CallEnd::Complete, "abc", false},
        {"second response", Ok + "Content-Length: 3\r\n\r\nabc" + Other, After::Keep,
         CallEnd::Complete, "abc", false},
        {"late response of an earlier request", Other + Ok + "Content-Length: 3\r\n\r\nabc",
         After::Keep, CallEnd::Complete, "abc", true},
        {"only a late response", Other, After::Close, CallEnd::Broken, "", false},
        {"interim response", "HTTP/1.1 103 Hints\r\n\r\n" + Ok + "Content-Length: 3\r\n\r\nabc",
         After::Keep, CallEnd::Complete, "abc", true},
};

} // namespace

// Guards against cut, foreign or invalid bytes that pass as the response to a request, and against
// a connection that is used again although something else may still arrive on it.
BOOST_DATA_TEST_CASE_F(Fixture, response_is_judged, data::make(Responses), response)
{
    endpoint.script = response.script;
    endpoint.after = response.after;
    const auto outcome = call(get());
    BOOST_TEST((outcome.end == response.end));
    BOOST_TEST(outcome.body == response.body);
    endpoint.script = Ok + "Content-Length: 0\r\n\r\n";
    endpoint.after = After::Keep;
    BOOST_TEST((call(get()).end == CallEnd::Complete));
    BOOST_TEST(client.opened() == (response.reused ? 1U : 2U));
}

// Guards against "nothing was sent" for an endpoint that may have received the request.
BOOST_FIXTURE_TEST_CASE(refused_connection_sends_nothing, Fixture)
{
    EndpointClient nobody(loop.base, Address {"127.0.0.1", 1});
    std::optional<CallEnd> ended;
    CallHandler handler;
    handler.ended = [&](CallEnd end) { ended = end; };
    const auto running = nobody.start(get(), std::move(handler));
    BOOST_TEST(loop.runUntil([&] { return ended.has_value(); }));
    BOOST_TEST((ended == CallEnd::ConnectFailed));
}

// Guards against a request that is sent on a connection which the endpoint closed or wrote to while
// it was idle.
BOOST_DATA_TEST_CASE_F(Fixture, disturbed_idle_connection_is_not_used,
                       data::make({After::Close, After::Keep}), after)
{
    endpoint.script = Ok + "Content-Length: 0\r\n\r\n";
    endpoint.after = after;
    call(get());
    if (after == After::Keep) {
        endpoint.script += "HTTP/1.1 200 OK\r\n";
        call(get()); // its surplus arrives with the response or right after it
    }
    endpoint.script = Ok + "Content-Length: 0\r\n\r\n";
    endpoint.after = After::Keep;
    BOOST_TEST((call(get()).end == CallEnd::Complete));
    BOOST_TEST(client.opened() == 2U);
}

// Guards against a request that may run once on a connection that the endpoint may just be closing.
BOOST_FIXTURE_TEST_CASE(stated_keep_alive_time_bounds_reuse, Fixture)
{
    endpoint.script = Ok + "Keep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n";
    call(get());
    auto request = get();
    request.freshConnection = true;
    call(request);
    BOOST_TEST(client.opened() == 2U);
}

// Guards against a cancelled call whose response is taken for the next one's.
BOOST_FIXTURE_TEST_CASE(cancelled_call_closes_its_connection, Fixture)
{
    endpoint.script = "";
    CallHandler handler;
    handler.ended = [](CallEnd) { BOOST_ERROR("called after the cancellation"); };
    auto running = client.start(get(), std::move(handler));
    BOOST_TEST(loop.runUntil([&] {
        endpoint.poll();
        return endpoint.requests == 1;
    }));
    running.reset();
    endpoint.script = Ok + "Content-Length: 0\r\n\r\n";
    BOOST_TEST((call(get()).end == CallEnd::Complete));
    BOOST_TEST(client.opened() == 2U);
}
