// The HTTP server for callers, tested with raw bytes over a socket.
#define BOOST_TEST_MODULE http_caller
#include "berylspur/core/ids.h"
#include "berylspur/http/caller_server.h"
#include "loop.h"
#include "raw_caller.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>

using namespace berylspur;
namespace data = boost::unit_test::data;

namespace {

struct Fixture
{
    Fixture()
        : server(loop.base, [this](std::unique_ptr<CallerRequest> request) {
              requests.push_back(std::move(request));
              if (answer)
                  answer(*requests.back());
          })
    {
        BOOST_REQUIRE(server.listen(address).has_value());
        answer = [](CallerRequest &request) {
            const auto checked = request.check();
            const auto status = checked ? 200U : 400U;
            const auto code = checked ? ErrorCode::Ok : checked.error().code;
            if (!checked)
                request.closeAfterResponse();
            request.respond(status, {{"Code", std::string(errorName(code))}}, request.target());
        };
    }

    bool waitFor(RawCaller &caller, const std::string &text) const
    {
        return loop.runUntil([&] {
            caller.read();
            return caller.received.find(text) != std::string::npos;
        });
    }

    Loop loop;
    Address address = freeAddress();
    std::vector<std::unique_ptr<CallerRequest>> requests;
    std::function<void(CallerRequest &)> answer;
    CallerServer server;
};

/// Reads until no input is available.
void readAvailable(RawCaller &caller)
{
    for (auto before = caller.received.size(); caller.read(); before = caller.received.size()) {
        if (caller.received.size() == before)
            return;
    }
}

struct InputCase
{
    const char *name;
    std::string bytes;
    ErrorCode code;
};

std::ostream &operator<<(std::ostream &out, const InputCase &input)
{
    return out << input.name;
}

const std::string Get = "GET /a HTTP/1.1\r\nHost: h\r\n";
const std::string Post = "POST /a HTTP/1.1\r\nHost: h\r\n";

const std::vector<InputCase> Inputs {
        {"plain", Get + "\r\n", ErrorCode::Ok},
        {"http 1.0", "GET /a HTTP/1.0\r\nHost: h\r\n\r\n", ErrorCode::Ok},
        {"body with a length", Post + "Content-Length: 3\r\n\r\nabc", ErrorCode::Ok},
        {"body in chunks", Post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
         ErrorCode::Ok},
        {"both lengths", Post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
         ErrorCode::RequestAmbiguousFraming},
        {"two lengths", Post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
         ErrorCode::RequestAmbiguousFraming},
        {"two equal lengths", Post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
         ErrorCode::RequestAmbiguousFraming},
        {"body with GET", Get + "Content-Length: 3\r\n\r\nabc", ErrorCode::RequestAmbiguousFraming},
        {"length with letters", Post + "Content-Length: 3x\r\n\r\nabc",
         ErrorCode::RequestAmbiguousFraming},
        {"negative length", Post + "Content-Length: -1\r\n\r\n",
         ErrorCode::RequestAmbiguousFraming},
        {"bad chunk size", Post + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
         ErrorCode::RequestAmbiguousFraming},
        {"two hosts", Get + "Host: other\r\n\r\n", ErrorCode::RequestMalformed},
        {"no host", "GET /a HTTP/1.1\r\n\r\n", ErrorCode::RequestMalformed},
        {"folded line", Get + "X-A: b\r\n c\r\n\r\n", ErrorCode::RequestMalformed},
        {"zero byte in a value", Get + std::string("X-A: b\0c\r\n\r\n", 12),
         ErrorCode::RequestMalformed},
        {"no HTTP", "hello\r\n\r\n", ErrorCode::RequestMalformed},
        {"head over the limit", Get + "X-A: " + std::string(20000, 'a') + "\r\n\r\n",
         ErrorCode::RequestHeadersTooLarge},
        {"head without an end", Get + "X-A: " + std::string(20000, 'a'),
         ErrorCode::RequestHeadersTooLarge},
        {"body over the limit", Post + "Content-Length: 3000000\r\n\r\n",
         ErrorCode::RequestBodyTooLarge},
        {"chunk size without an end",
         Post + "Transfer-Encoding: chunked\r\n\r\n" + std::string(100000, '0'),
         ErrorCode::RequestAmbiguousFraming},
        {"chunk extension without an end",
         Post + "Transfer-Encoding: chunked\r\n\r\n3;a=" + std::string(100000, 'b'),
         ErrorCode::RequestAmbiguousFraming},
        {"trailer without an end",
         Post + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-A: " + std::string(100000, 'b'),
         ErrorCode::RequestHeadersTooLarge},
        {"bare line feeds", "GET /a HTTP/1.1\nHost: h\n\n", ErrorCode::RequestMalformed},
        {"bare line feeds in a head", "GET /a HTTP/1.1\r\nHost: h\nX-A: b\r\n\r\n",
         ErrorCode::RequestMalformed},
        {"unknown coding", Post + "Transfer-Encoding: xchunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
         ErrorCode::RequestAmbiguousFraming},
        {"chunked is not the final coding",
         Post + "Transfer-Encoding: chunked, gzip\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
         ErrorCode::RequestAmbiguousFraming},
        {"chunked twice", Post + "Transfer-Encoding: chunked, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
         ErrorCode::RequestAmbiguousFraming},
        {"two codings in two headers",
         Post + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         ErrorCode::RequestCodingNotSupported},
        {"another coding before chunked",
         Post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
         ErrorCode::RequestCodingNotSupported},
        {"empty coding", Post + "Transfer-Encoding:\r\n\r\n", ErrorCode::RequestAmbiguousFraming},
        {"coding beside a length",
         Post + "Transfer-Encoding: xchunked\r\nContent-Length: 3\r\n\r\nabc",
         ErrorCode::RequestAmbiguousFraming},
        {"coding before HTTP/1.1",
         "POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         ErrorCode::RequestAmbiguousFraming},
        {"chunked in capitals", Post + "Transfer-Encoding: CHUNKED\r\n\r\n0\r\n\r\n",
         ErrorCode::Ok},
        {"length in a trailer",
         Post + "Transfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 3\r\n\r\n",
         ErrorCode::RequestAmbiguousFraming},
        {"trailer with a host",
         "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nHost: h\r\n\r\n",
         ErrorCode::RequestMalformed},
};

/// Headers that the gate acts on.
const std::vector<std::string> GateHeaders {"Host",
                                            "Connection",
                                            "Berylspur-Deadline-Ms",
                                            "Berylspur-Customer",
                                            "Berylspur-Request-Id",
                                            "Idempotency-Key",
                                            "X-Request-Id",
                                            "X-Deadline-Ms",
                                            "X-Caller-Service",
                                            "X-Target-Instance"};

} // namespace

// Guards against malformed or ambiguous requests that reach an endpoint, and against valid ones
// that are rejected.
BOOST_DATA_TEST_CASE_F(Fixture, only_valid_input_is_accepted, data::make(Inputs), input)
{
    RawCaller caller(address);
    caller.send(input.bytes);
    BOOST_TEST(waitFor(caller, "Code: " + std::string(errorName(input.code)) + "\r\n"),
               caller.received);
    BOOST_TEST(requests.size() == 1U);
    if (input.code != ErrorCode::Ok)
        BOOST_TEST(loop.runUntil([&] { return !caller.read(); }));
}

// Guards against a verdict that depends on how the network cuts the bytes of a request.
BOOST_DATA_TEST_CASE_F(Fixture, verdict_does_not_depend_on_cuts,
                       data::make(Inputs) * data::xrange(12), input, seed)
{
    constexpr std::size_t MaxCuts = 8;
    Random random(static_cast<std::uint64_t>(seed));
    RawCaller caller(address);
    std::string_view rest = input.bytes;
    for (std::size_t cuts = 1 + random() % MaxCuts; cuts > 0 && !rest.empty(); --cuts) {
        const auto size = random() % rest.size();
        caller.send(std::string(rest.substr(0, size)));
        rest.remove_prefix(size);
        event_base_loop(loop.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
    }
    caller.send(std::string(rest));
    BOOST_TEST(waitFor(caller, "Code: " + std::string(errorName(input.code)) + "\r\n"),
               caller.received);
    BOOST_TEST(requests.size() == 1U);
}

// Guards against a trailer that poses as a header which a hop in front has removed.
BOOST_DATA_TEST_CASE_F(Fixture, trailers_are_not_headers, data::make(GateHeaders), name)
{
    RawCaller caller(address);
    caller.send(Post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n" + name
                + ": forged\r\n\r\n");
    BOOST_TEST(waitFor(caller, "Code: Ok\r\n"), caller.received);
    BOOST_TEST(requests.size() == 1U);
    BOOST_TEST(requests.front()->header(name) == (name == "Host" ? "h" : ""));
    BOOST_TEST(std::string(requests.front()->takeBody().bytes()) == "abc");
}

// Guards against responses in the wrong order when requests are pipelined.
BOOST_FIXTURE_TEST_CASE(pipelined_requests_are_answered_in_order, Fixture)
{
    RawCaller caller(address);
    caller.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(waitFor(caller, "/2"));
    BOOST_TEST(caller.received.find("/1") < caller.received.find("/2"));
}

// Guards against a caller that holds a connection open with an incomplete request head.
BOOST_FIXTURE_TEST_CASE(incomplete_head_times_out, Fixture)
{
    CallerLimits limits;
    limits.headerTimeout = std::chrono::milliseconds(50);
    server.setLimits(limits);
    RawCaller caller(address);
    caller.send("GET /a HTTP/1.1\r\nHo");
    BOOST_TEST(waitFor(caller, "Code: RequestTimeout"));
    BOOST_TEST(loop.runUntil([&] { return !caller.read(); }));
}

// Guards against idle keep-alive connections that are never closed.
BOOST_FIXTURE_TEST_CASE(idle_connection_is_closed, Fixture)
{
    CallerLimits limits;
    limits.idleTimeout = std::chrono::milliseconds(50);
    server.setLimits(limits);
    RawCaller caller(address);
    caller.send(Get + "\r\n");
    BOOST_TEST(waitFor(caller, "/a"));
    BOOST_TEST(loop.runUntil([&] { return !caller.read(); }));
    BOOST_TEST(!caller.wasReset);
    BOOST_TEST(loop.runUntil([&] { return server.connections() == 0; }));
}

// Guards against work that continues after the caller has disconnected.
BOOST_FIXTURE_TEST_CASE(caller_disconnect_is_detected, Fixture)
{
    answer = nullptr;
    RawCaller caller(address);
    caller.send(Get + "\r\n");
    BOOST_REQUIRE(loop.runUntil([&] { return requests.size() == 1; }));
    bool closed = false;
    requests[0]->onClosed([&closed] { closed = true; });
    caller.disconnect();
    BOOST_TEST(loop.runUntil([&] { return closed; }));
    requests[0]->respond(200, {}, "nobody reads this");
}

// Guards against a truncated response that looks complete.
BOOST_DATA_TEST_CASE_F(Fixture, aborted_response_is_not_complete,
                       data::make({"HTTP/1.0", "HTTP/1.1"}) * data::make({false, true}), version,
                       lengthIsKnown)
{
    answer = [lengthIsKnown](CallerRequest &request) {
        request.start(200, {}, lengthIsKnown ? std::optional<std::uint64_t>(10) : std::nullopt);
        request.write("abc", nullptr);
    };
    RawCaller caller(address);
    caller.send("GET /a " + std::string(version) + "\r\nHost: h\r\n\r\n");
    BOOST_TEST(waitFor(caller, "abc"));
    requests[0]->abort();
    BOOST_TEST(loop.runUntil([&] { return !caller.read(); }));
    BOOST_TEST(caller.wasReset);
}

// Guards against a body longer than Content-Length, whose excess the caller would parse as the next
// response.
BOOST_FIXTURE_TEST_CASE(body_does_not_exceed_its_length, Fixture)
{
    answer = [](CallerRequest &request) {
        request.start(200, {}, 3);
        request.write("abcdef", nullptr);
        request.finish();
    };
    RawCaller caller(address);
    caller.send(Get + "\r\n");
    BOOST_TEST(waitFor(caller, "\r\n\r\nabc"));
    BOOST_TEST(caller.received.ends_with("abc"));
}

// Guards against a body in a response to HEAD.
BOOST_FIXTURE_TEST_CASE(head_has_no_body, Fixture)
{
    RawCaller caller(address);
    caller.send("HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n" + Get + "\r\n");
    BOOST_TEST(waitFor(caller, "\r\n\r\n/a"));
    BOOST_TEST(caller.received.find("\r\n\r\nHTTP/1.1 200") != std::string::npos);
    BOOST_TEST(caller.received.find("Content-Length: 2") != std::string::npos);
}

// Guards against keep-alive connections that delay a planned stop.
BOOST_FIXTURE_TEST_CASE(closing_server_ends_connections_after_a_response, Fixture)
{
    RawCaller caller(address);
    caller.send(Get + "\r\n");
    BOOST_TEST(waitFor(caller, "/a"));
    server.closeAfterResponses();
    caller.received.clear();
    caller.send(Get + "\r\n");
    BOOST_TEST(waitFor(caller, "Connection: close"));
    BOOST_TEST(loop.runUntil([&] { return !caller.read(); }));
    BOOST_TEST(!caller.wasReset);
}

// Guards against a closing connection that drops the end of its response while the caller still
// reads slowly or pauses.
BOOST_FIXTURE_TEST_CASE(closing_connection_sends_its_whole_response, Fixture)
{
    constexpr std::size_t BodyBytes = 32u << 20; // more than the kernel's buffers take
    constexpr Duration Pause = std::chrono::milliseconds(1500); // longer than the linger timeout
    answer = [](CallerRequest &request) { request.respond(200, {}, std::string(BodyBytes, 'x')); };
    RawCaller caller(address);
    caller.send(Get + "Connection: close\r\n\r\n");
    const auto resumed = BootClock::now() + Pause;
    BOOST_REQUIRE(loop.runUntil([&] { return BootClock::now() > resumed; }));
    BOOST_TEST(loop.runUntil([&] {
        readAvailable(caller);
        return caller.ended;
    }));
    BOOST_TEST(caller.received.size() > BodyBytes);
    BOOST_TEST(!caller.wasReset);
}

// Guards against a connection that stays open after its response because the caller, who read it
// slowly, does not close its side.
BOOST_FIXTURE_TEST_CASE(closing_connection_ends_after_a_response_that_was_read_slowly, Fixture)
{
    constexpr std::size_t BodyBytes = 32u << 20;
    answer = [](CallerRequest &request) { request.respond(200, {}, std::string(BodyBytes, 'x')); };
    RawCaller caller(address);
    caller.send(Get + "Connection: close\r\n\r\n");
    BOOST_REQUIRE(loop.runUntil([&] { return server.connectionsWithUnsentOutput() == 1; }));
    BOOST_REQUIRE(loop.runUntil([&] {
        readAvailable(caller);
        return caller.ended;
    }));
    BOOST_TEST(loop.runUntil([&] { return server.connections() == 0; }));
}

// Guards against a connection that waits forever for a caller that reads nothing.
BOOST_FIXTURE_TEST_CASE(closing_connection_does_not_wait_for_a_caller_that_reads_nothing, Fixture)
{
    constexpr std::size_t BodyBytes = 32u << 20;
    CallerLimits limits;
    limits.idleTimeout = std::chrono::milliseconds(100);
    server.setLimits(limits);
    answer = [](CallerRequest &request) { request.respond(200, {}, std::string(BodyBytes, 'x')); };
    RawCaller caller(address);
    caller.send(Get + "Connection: close\r\n\r\n");
    BOOST_TEST(loop.runUntil([&] { return requests.size() == 1 && server.connections() == 0; }));
}

// Guards against a planned stop that takes a response for sent while its end is still in the output
// buffer of the connection.
BOOST_FIXTURE_TEST_CASE(unsent_output_is_reported_until_the_caller_reads, Fixture)
{
    constexpr std::size_t BodyBytes = 32u << 20; // more than the kernel's buffers take
    answer = [](CallerRequest &request) { request.respond(200, {}, std::string(BodyBytes, 'x')); };
    RawCaller caller(address);
    BOOST_TEST(server.connectionsWithUnsentOutput() == 0U);
    caller.send(Get + "\r\n");
    BOOST_REQUIRE(loop.runUntil([&] { return requests.size() == 1; }));
    BOOST_TEST(server.connectionsWithUnsentOutput() == 1U);
    BOOST_TEST(loop.runUntil([&] {
        readAvailable(caller);
        const auto bodyBegin = caller.received.find("\r\n\r\n") + 4;
        return caller.received.size() == bodyBegin + BodyBytes;
    }));
    BOOST_TEST(server.connectionsWithUnsentOutput() == 0U);
}
