// Pipelined requests of one caller connection: side by side where the earlier ones allow it, and
// answered in order.
#define BOOST_TEST_MODULE http_pipelining
#include "berylspur/http/caller_server.h"
#include "loop.h"
#include "raw_caller.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <vector>

using namespace berylspur;
namespace data = boost::unit_test::data;

namespace {

std::string get(const std::string &path, const std::string &headers = {})
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n";
}

/// A server that keeps its requests open until the test answers them.
struct Fixture
{
    Fixture()
        : server(loop.base, [this](std::unique_ptr<CallerRequest> request) {
              const bool allows = request->method() != "POST";
              if (allows)
                  request->allowNextRequest();
              requests.push_back(std::move(request));
              if (onRequest)
                  onRequest(*requests.back());
          })
    {
        BOOST_REQUIRE(server.listen(address).has_value());
    }

    bool waitForRequests(std::size_t count) const
    {
        return loop.runUntil([&] { return requests.size() >= count; });
    }
    /// Runs the loop long enough for input that is already buffered.
    void settle() const
    {
        const auto end = BootClock::now() + std::chrono::milliseconds(30);
        loop.runUntil([&] { return BootClock::now() > end; });
    }
    bool waitFor(RawCaller &caller, const std::string &text) const
    {
        return loop.runUntil([&] {
            caller.read();
            return caller.received.find(text) != std::string::npos;
        });
    }
    bool waitForEnd(RawCaller &caller) const
    {
        return loop.runUntil([&] { return !caller.read(); });
    }
    void answer(std::size_t index) const
    {
        requests[index]->respond(200, {}, "<" + requests[index]->target() + ">");
    }

    Loop loop;
    Address address = freeAddress();
    std::vector<std::unique_ptr<CallerRequest>> requests;
    std::function<void(CallerRequest &)> onRequest;
    CallerServer server;
};

std::size_t count(const std::string &text, const std::string &part)
{
    std::size_t found = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++found;
    return found;
}

/// Orders in which three pipelined requests are answered.
const std::vector<std::vector<std::size_t>> Orders {{0, 1, 2}, {0, 2, 1}, {1, 0, 2},
                                                    {1, 2, 0}, {2, 0, 1}, {2, 1, 0}};

} // namespace

namespace std {
ostream &operator<<(ostream &out, const vector<size_t> &order)
{
    for (const auto index : order)
        out << index;
    return out;
}
} // namespace std

// Guards against a caller that gets the response to another of its requests.
BOOST_DATA_TEST_CASE_F(Fixture, responses_are_sent_in_the_order_of_the_requests, data::make(Orders),
                       order)
{
    RawCaller caller(address);
    caller.send(get("/0") + get("/1") + get("/2"));
    BOOST_REQUIRE(waitForRequests(3));
    BOOST_TEST(caller.received.empty());
    for (const auto index : order)
        answer(index);
    BOOST_TEST(waitFor(caller, "</2>"), caller.received);
    BOOST_TEST(caller.received.find("</0>") < caller.received.find("</1>"));
    BOOST_TEST(caller.received.find("</1>") < caller.received.find("</2>"));
    BOOST_TEST(count(caller.received, "HTTP/1.1 200") == 3U);
}

// Guards against a slow request that keeps the ones behind it from starting, so that they run out
// of time in the input buffer.
BOOST_DATA_TEST_CASE_F(Fixture, requests_wait_only_behind_one_that_requires_it,
                       data::make({"GET", "POST"}), first)
{
    RawCaller caller(address);
    caller.send(std::string(first) + " /0 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
                + get("/1"));
    const bool isAlone = std::string(first) == "POST";
    BOOST_REQUIRE(waitForRequests(isAlone ? 1 : 2));
    settle();
    BOOST_TEST(requests.size() == (isAlone ? 1U : 2U));
    answer(0);
    BOOST_REQUIRE(waitForRequests(2));
    answer(1);
    BOOST_TEST(waitFor(caller, "</1>"));
}

// Guards against a request that may only start alone and learns too late, or never, that it is the
// first one.
BOOST_FIXTURE_TEST_CASE(request_learns_when_the_earlier_ones_are_answered, Fixture)
{
    RawCaller caller(address);
    caller.send(get("/0") + get("/1") + "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
    BOOST_REQUIRE(waitForRequests(3));
    int became = 0;
    requests[2]->onFirst([&] { ++became; });
    BOOST_TEST(requests[0]->isFirst());
    BOOST_TEST(!requests[2]->isFirst());
    answer(1);
    BOOST_TEST(became == 0);
    answer(0);
    BOOST_TEST(became == 1);
    BOOST_TEST(requests[2]->isFirst());
    answer(2);
    BOOST_TEST(waitFor(caller, "</2>"));
    BOOST_TEST(became == 1);
}

// Guards against memory that a caller can fill with requests that are never answered.
BOOST_FIXTURE_TEST_CASE(open_requests_of_a_connection_are_bounded, Fixture)
{
    constexpr std::size_t MaxOpenRequests = 8;
    RawCaller caller(address);
    std::string input;
    for (int i = 0; i < 30; ++i)
        input += get("/" + std::to_string(i));
    caller.send(input);
    BOOST_REQUIRE(waitForRequests(MaxOpenRequests));
    settle();
    BOOST_TEST(requests.size() == MaxOpenRequests);
    for (std::size_t i = 0; i < 30; ++i) {
        BOOST_REQUIRE(waitForRequests(i + 1));
        answer(i);
    }
    BOOST_TEST(waitFor(caller, "</29>"));
}

// Guards against requests that continue after their caller has disconnected.
BOOST_FIXTURE_TEST_CASE(disconnect_ends_all_open_requests, Fixture)
{
    RawCaller caller(address);
    caller.send(get("/0") + get("/1") + get("/2"));
    BOOST_REQUIRE(waitForRequests(3));
    answer(1);
    int closed = 0;
    requests[0]->onClosed([&] { ++closed; });
    requests[2]->onClosed([&] { ++closed; });
    caller.disconnect();
    BOOST_TEST(loop.runUntil([&] { return closed == 2; }));
    answer(0);
    answer(2);
    BOOST_TEST(loop.runUntil([&] { return server.connections() == 0; }));
}

// Guards against a truncated response that is followed by the next one, which the caller would take
// for its rest.
BOOST_DATA_TEST_CASE_F(Fixture, nothing_follows_a_truncated_response, data::make({false, true}),
                       lengthIsKnown)
{
    RawCaller caller(address);
    caller.send(get("/0") + get("/1"));
    BOOST_REQUIRE(waitForRequests(2));
    answer(1);
    requests[0]->start(200, {}, lengthIsKnown ? std::optional<std::uint64_t>(9) : std::nullopt);
    requests[0]->write("abc", nullptr);
    BOOST_REQUIRE(waitFor(caller, "abc"));
    requests[0]->abort();
    BOOST_TEST(waitForEnd(caller));
    BOOST_TEST(caller.wasReset);
    BOOST_TEST(caller.received.find("</1>") == std::string::npos);
}

// Guards against a planned stop that cuts off requests behind the first response.
BOOST_FIXTURE_TEST_CASE(closing_server_answers_all_requests_that_it_has_read, Fixture)
{
    RawCaller caller(address);
    caller.send(get("/0") + get("/1") + get("/2"));
    BOOST_REQUIRE(waitForRequests(3));
    server.closeAfterResponses();
    for (std::size_t i = 0; i < 3; ++i)
        answer(i);
    BOOST_TEST(waitForEnd(caller));
    BOOST_TEST(!caller.wasReset);
    BOOST_TEST(count(caller.received, "HTTP/1.1 200") == 3U);
    BOOST_TEST(count(caller.received, "Connection: close") == 1U);
    BOOST_TEST(caller.received.find("Connection: close") > caller.received.find("</1>"));
}

// Guards against a response that is sent behind one with "Connection: close", and against a request
// that runs although its response cannot be sent.
BOOST_FIXTURE_TEST_CASE(nothing_is_read_behind_the_last_request, Fixture)
{
    RawCaller caller(address);
    caller.send(get("/0") + get("/1", "Connection: close\r\n") + get("/2"));
    BOOST_REQUIRE(waitForRequests(2));
    settle();
    BOOST_TEST(requests.size() == 2U);
    answer(1);
    answer(0);
    BOOST_TEST(waitForEnd(caller));
    BOOST_TEST(!caller.wasReset);
    BOOST_TEST(caller.received.ends_with("</1>"));
}

// Guards against an error response that overtakes the responses to valid requests before it.
BOOST_DATA_TEST_CASE_F(Fixture, invalid_request_is_refused_after_the_valid_ones,
                       data::make({"GET /1 HTTP/1.1\nHost: h\n\n", "hello\r\n\r\n",
                                   "GET /1 HTTP/1.1\r\nHost: h\r\nX-A: b\r\n c\r\n\r\n"}))
{
    onRequest = [](CallerRequest &request) {
        if (request.check())
            return;
        request.closeAfterResponse();
        request.respond(400, {}, "bad");
    };
    RawCaller caller(address);
    caller.send(get("/0") + sample + get("/2"));
    BOOST_REQUIRE(waitForRequests(2));
    settle();
    BOOST_TEST(requests.size() == 2U);
    BOOST_TEST(caller.read());
    BOOST_TEST(caller.received.empty());
    answer(0);
    BOOST_TEST(waitForEnd(caller));
    BOOST_TEST(caller.received.find("</0>") < caller.received.find("HTTP/1.1 400"));
    BOOST_TEST(caller.received.ends_with("bad"));
}

// Guards against an interim response that the caller takes for one to an earlier request.
BOOST_FIXTURE_TEST_CASE(interim_response_waits_for_the_earlier_responses, Fixture)
{
    RawCaller caller(address);
    caller.send(
            get("/0")
            + "PUT /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n");
    BOOST_REQUIRE(waitForRequests(1));
    settle();
    caller.read();
    BOOST_TEST(caller.received.empty());
    answer(0);
    BOOST_REQUIRE(waitFor(caller, "100 Continue"));
    BOOST_TEST(caller.received.find("</0>") < caller.received.find("100 Continue"));
    caller.send("abc");
    BOOST_REQUIRE(waitForRequests(2));
    BOOST_TEST(std::string(requests[1]->takeBody().bytes()) == "abc");
    answer(1);
    BOOST_TEST(waitFor(caller, "</1>"));
}

// Guards against responses to HTTP/1.0, which may end with the connection, that cut off later ones.
BOOST_FIXTURE_TEST_CASE(http_1_0_requests_run_one_at_a_time, Fixture)
{
    const std::string old = " HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n";
    RawCaller caller(address);
    caller.send("GET /0" + old + "GET /1" + old);
    BOOST_REQUIRE(waitForRequests(1));
    settle();
    BOOST_TEST(requests.size() == 1U);
    answer(0);
    BOOST_REQUIRE(waitForRequests(2));
    answer(1);
    BOOST_TEST(waitFor(caller, "</1>"));
}

// Guards against a body after the response to HEAD, and against framing taken from another request.
BOOST_FIXTURE_TEST_CASE(framing_belongs_to_its_request, Fixture)
{
    RawCaller caller(address);
    caller.send("HEAD /0 HTTP/1.1\r\nHost: h\r\n\r\n" + get("/1"));
    BOOST_REQUIRE(waitForRequests(2));
    answer(1);
    answer(0);
    BOOST_TEST(waitFor(caller, "</1>"));
    BOOST_TEST(caller.received.find("</0>") == std::string::npos);
}

// Guards against a slow caller for which later responses pile up without flow control, and against
// a stop that takes a response for sent while it waits for an earlier one.
BOOST_FIXTURE_TEST_CASE(later_response_waits_with_its_flow_control, Fixture)
{
    RawCaller caller(address);
    caller.send(get("/0") + get("/1"));
    BOOST_REQUIRE(waitForRequests(2));
    bool flushed = false;
    requests[1]->start(200, {}, 3);
    requests[1]->write("abc", [&] { flushed = true; });
    settle();
    BOOST_TEST(!flushed);
    BOOST_TEST(server.connectionsWithUnsentOutput() == 1U);
    answer(0);
    BOOST_TEST(loop.runUntil([&] { return flushed; }));
    requests[1]->finish();
    BOOST_TEST(waitFor(caller, "abc"));
    BOOST_TEST(server.connectionsWithUnsentOutput() == 0U);
}

// Guards against a deadline that begins only when the earlier responses have been sent.
BOOST_FIXTURE_TEST_CASE(time_of_arrival_is_that_of_the_bytes, Fixture)
{
    RawCaller caller(address);
    caller.send("POST /0 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n" + get("/1"));
    BOOST_REQUIRE(waitForRequests(1));
    const auto arrival = requests[0]->arrival();
    settle();
    answer(0);
    BOOST_REQUIRE(waitForRequests(2));
    BOOST_TEST((requests[1]->arrival() == arrival));
}

// Guards against a kept connection without a timeout after pipelined requests.
BOOST_FIXTURE_TEST_CASE(idle_connection_is_closed_after_the_last_response, Fixture)
{
    CallerLimits limits;
    limits.idleTimeout = std::chrono::milliseconds(50);
    server.setLimits(limits);
    RawCaller caller(address);
    caller.send(get("/0") + get("/1"));
    BOOST_REQUIRE(waitForRequests(2));
    answer(0);
    const auto end = BootClock::now() + 3 * limits.idleTimeout;
    loop.runUntil([&] { return BootClock::now() > end; });
    BOOST_TEST(server.connections() == 1U);
    answer(1);
    BOOST_TEST(waitForEnd(caller));
    BOOST_TEST(caller.received.ends_with("</1>"));
}
