// Tests of EndpointClient against valid and invalid responses.
#define BOOST_TEST_MODULE endpoint_client
#include "../src/owner/endpoint_client.h"
#include "loop.h"
#include "scripted_server.h"

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <ostream>
#include <utility>

using namespace berylspur;
namespace data = boost::unit_test::data;

namespace {

struct Outcome
{
    std::uint32_t status = 0;
    std::string body;
    std::optional<CallResult> end;
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
        handler.ended = [&](CallResult end) { outcome.end = end; };
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
    ScriptedServer endpoint;
    EndpointClient client {loop.base, endpoint.address};
};

struct ResponseCase
{
    const char *name;
    std::string script;
    ConnectionAction action;
    CallResult end;
    std::string body;
    bool isReused; ///< whether the next call reuses the connection
};

std::ostream &operator<<(std::ostream &out, const ResponseCase &response)
{
    return out << response.name;
}

const std::string Ok = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n";
const std::string OtherResponse = "HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 5\r\n\r\nother";

std::string withStatus(const std::string &status)
{
    return "HTTP/1.1 " + status + " x\r\nX-Id: 7\r\nContent-Length: 3\r\n\r\nabc";
}

const std::vector<ResponseCase> Responses {
        {"length", Ok + "Content-Length: 3\r\n\r\nabc", ConnectionAction::Keep,
         CallResult::Complete, "abc", true},
        {"chunks", Ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
         ConnectionAction::Keep, CallResult::Complete, "abc", true},
        {"close is announced", Ok + "Connection: close\r\nContent-Length: 3\r\n\r\nabc",
         ConnectionAction::Keep, CallResult::Complete, "abc", false},
        {"ends with the connection", Ok + "\r\nabc", ConnectionAction::Close, CallResult::Complete,
         "abc", false},
        {"reset without a length", Ok + "\r\nabc", ConnectionAction::Reset, CallResult::Broken,
         "abc", false},
        {"cut within its length", Ok + "Content-Length: 9\r\n\r\nabc", ConnectionAction::Close,
         CallResult::Broken, "abc", false},
        {"cut within a chunk", Ok + "Transfer-Encoding: chunked\r\n\r\n9\r\nabc",
         ConnectionAction::Close, CallResult::Broken, "abc", false},
        {"no response", "", ConnectionAction::Close, CallResult::Broken, "", false},
        {"malformed response", "\x01\x02garbage\r\n\r\n", ConnectionAction::Keep,
         CallResult::Broken, "", false},
        {"surplus bytes", Ok + "Content-Length: 3\r\n\r\nabcHTTP/1.1 200", ConnectionAction::Keep,
         CallResult::Complete, "abc", false},
        {"second response", Ok + "Content-Length: 3\r\n\r\nabc" + OtherResponse,
         ConnectionAction::Keep, CallResult::Complete, "abc", false},
        {"late response of an earlier request", OtherResponse + Ok + "Content-Length: 3\r\n\r\nabc",
         ConnectionAction::Keep, CallResult::Complete, "abc", true},
        {"only a late response", OtherResponse, ConnectionAction::Close, CallResult::Broken, "",
         false},
        {"unknown coding", Ok + "Transfer-Encoding: xchunked\r\n\r\nabc", ConnectionAction::Close,
         CallResult::Broken, "", false},
        {"coding before chunked",
         Ok + "Transfer-Encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
         ConnectionAction::Keep, CallResult::Broken, "", false},
        {"status 000", withStatus("000"), ConnectionAction::Keep, CallResult::InvalidStatus, "",
         false},
        {"status 099", withStatus("099"), ConnectionAction::Keep, CallResult::InvalidStatus, "",
         false},
        {"status 0", withStatus("0"), ConnectionAction::Keep, CallResult::InvalidStatus, "", false},
        {"status 600", withStatus("600"), ConnectionAction::Keep, CallResult::InvalidStatus, "",
         false},
        {"status 999", withStatus("999"), ConnectionAction::Keep, CallResult::InvalidStatus, "",
         false},
        {"invalid status of another response",
         "HTTP/1.1 600 x\r\nX-Id: 6\r\nContent-Length: 0\r\n\r\n" + Ok
                 + "Content-Length: 3\r\n\r\nabc",
         ConnectionAction::Keep, CallResult::InvalidStatus, "", false},
        {"valid response after one with status 000",
         "HTTP/1.1 000 x\r\n\r\n" + Ok + "Content-Length: 3\r\n\r\nabc", ConnectionAction::Keep,
         CallResult::InvalidStatus, "", false},
        {"valid response after an empty one with status 000",
         "HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n" + Ok + "Content-Length: 3\r\n\r\nabc",
         ConnectionAction::Keep, CallResult::InvalidStatus, "", false},
        {"highest status", withStatus("599"), ConnectionAction::Keep, CallResult::Complete, "abc",
         true},
        {"interim response", "HTTP/1.1 103 Hints\r\n\r\n" + Ok + "Content-Length: 3\r\n\r\nabc",
         ConnectionAction::Keep, CallResult::Complete, "abc", true},
};

} // namespace

// Guards against truncated, mismatched or invalid data that is accepted as the response to a
// request, and against the reuse of a connection with pending data.
BOOST_DATA_TEST_CASE_F(Fixture, responses_are_validated, data::make(Responses), response)
{
    endpoint.script = response.script;
    endpoint.action = response.action;
    const auto outcome = call(get());
    BOOST_TEST((outcome.end == response.end));
    BOOST_TEST(outcome.body == response.body);
    endpoint.script = Ok + "Content-Length: 0\r\n\r\n";
    endpoint.action = ConnectionAction::Keep;
    BOOST_TEST((call(get()).end == CallResult::Complete));
    BOOST_TEST(client.opened() == (response.isReused ? 1U : 2U));
}

// Guards against a response that fails because its head arrives before its body.
BOOST_DATA_TEST_CASE_F(Fixture, responses_may_arrive_in_parts,
                       data::make({"Content-Length: 3\r\n\r\n", "Content-Length: 3\r\n\r\na",
                                   "Content-Length: 3\r\n\r"}),
                       firstPart)
{
    const std::string whole = "Content-Length: 3\r\n\r\nabc";
    endpoint.script = Ok + firstPart;
    endpoint.remainder = whole.substr(std::string(firstPart).size());
    const auto outcome = call(get());
    BOOST_TEST((outcome.end == CallResult::Complete));
    BOOST_TEST(outcome.body == "abc");
}

// Guards against a failed connect that is not reported as ConnectFailed, the only result that
// implies that no request was sent.
BOOST_FIXTURE_TEST_CASE(refused_connection_is_reported_as_connect_failed, Fixture)
{
    EndpointClient unreachable(loop.base, Address {"127.0.0.1", 1});
    std::optional<CallResult> ended;
    CallHandler handler;
    handler.ended = [&](CallResult end) { ended = end; };
    const auto running = unreachable.start(get(), std::move(handler));
    BOOST_TEST(loop.runUntil([&] { return ended.has_value(); }));
    BOOST_TEST((ended == CallResult::ConnectFailed));
}

// Guards against the reuse of an idle connection that the endpoint closed or sent data on.
BOOST_DATA_TEST_CASE_F(Fixture, idle_connection_with_unexpected_data_is_not_reused,
                       data::make({ConnectionAction::Close, ConnectionAction::Keep}), action)
{
    endpoint.script = Ok + "Content-Length: 0\r\n\r\n";
    endpoint.action = action;
    call(get());
    if (action == ConnectionAction::Keep) {
        endpoint.script += "HTTP/1.1 200 OK\r\n";
        call(get()); // the surplus bytes arrive with the response or shortly after
    }
    endpoint.script = Ok + "Content-Length: 0\r\n\r\n";
    endpoint.action = ConnectionAction::Keep;
    BOOST_TEST((call(get()).end == CallResult::Complete));
    BOOST_TEST(client.opened() == 2U);
}

// Guards against a non-idempotent request on a connection that the endpoint may be closing.
BOOST_FIXTURE_TEST_CASE(keep_alive_timeout_limits_reuse, Fixture)
{
    endpoint.script = Ok + "Keep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n";
    call(get());
    auto request = get();
    request.freshConnection = true;
    call(request);
    BOOST_TEST(client.opened() == 2U);
}

namespace {

const std::string Unidentified = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";

} // namespace

// Guards against a second copy of an earlier response that arrives late, on a connection in use
// again, and does not say which request it belongs to: the next caller would get it as its own.
BOOST_FIXTURE_TEST_CASE(unidentified_response_on_a_reused_connection_is_not_accepted, Fixture)
{
    endpoint.script = Ok + "Content-Length: 0\r\n\r\n";
    BOOST_REQUIRE((call(get()).end == CallResult::Complete));
    endpoint.script = Unidentified + Ok + "Content-Length: 3\r\n\r\nabc";
    const auto outcome = call(get());
    BOOST_TEST((outcome.end == CallResult::Broken));
    BOOST_TEST(outcome.body.empty());
    endpoint.script = Ok + "Content-Length: 0\r\n\r\n";
    BOOST_TEST((call(get()).end == CallResult::Complete));
    BOOST_TEST(client.opened() == 2U);
}

// Guards against a response without a valid status on a connection in use again, which an earlier
// request may have left behind.
BOOST_FIXTURE_TEST_CASE(invalid_status_on_a_reused_connection_ends_the_call, Fixture)
{
    endpoint.script = Ok + "Content-Length: 0\r\n\r\n";
    BOOST_REQUIRE((call(get()).end == CallResult::Complete));
    endpoint.script = withStatus("000") + Ok + "Content-Length: 3\r\n\r\nabc";
    const auto outcome = call(get());
    BOOST_TEST((outcome.end == CallResult::InvalidStatus));
    BOOST_TEST(outcome.body.empty());
    BOOST_TEST(client.idleConnections() == 0U);
}

// Guards against the failure of all requests to an endpoint that never identifies its responses.
BOOST_FIXTURE_TEST_CASE(connection_with_an_unidentified_response_is_not_reused, Fixture)
{
    endpoint.script = Unidentified;
    for (unsigned i = 1; i <= 3; ++i) {
        const auto outcome = call(get());
        BOOST_TEST((outcome.end == CallResult::Complete));
        BOOST_TEST(outcome.body == "other");
        BOOST_TEST(client.opened() == i);
    }
}

// Guards against the response of a cancelled call being used for the next call.
BOOST_FIXTURE_TEST_CASE(cancelled_call_closes_its_connection, Fixture)
{
    endpoint.script = "";
    CallHandler handler;
    handler.ended = [](CallResult) { BOOST_ERROR("called after the cancellation"); };
    auto running = client.start(get(), std::move(handler));
    BOOST_TEST(loop.runUntil([&] {
        endpoint.poll();
        return endpoint.requests == 1;
    }));
    running.reset();
    endpoint.script = Ok + "Content-Length: 0\r\n\r\n";
    BOOST_TEST((call(get()).end == CallResult::Complete));
    BOOST_TEST(client.opened() == 2U);
}

namespace {

struct EndlessCase
{
    const char *name;
    std::string script;
    std::string endless;
};

std::ostream &operator<<(std::ostream &out, const EndlessCase &endless)
{
    return out << endless.name;
}

const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";

const std::vector<EndlessCase> EndlessParts {
        {"field value", Ok + "X-A: ", "a"},
        {"chunk size", Chunked, "0"},
        {"chunk extension", Chunked + "3;a=", "b"},
        {"trailer value", Chunked + "0\r\nX-A: ", "b"},
};

const std::vector<EndlessCase> EndlessBodies {
        {"no length", Ok + "\r\n", "a"},
        {"chunks", Chunked, "1\r\na\r\n"},
};

} // namespace

// Guards against a call that never ends, and memory that is filled, by a part without end.
BOOST_DATA_TEST_CASE_F(Fixture, part_without_end_breaks_the_call, data::make(EndlessParts), endless)
{
    endpoint.script = endless.script;
    endpoint.endless = endless.endless;
    BOOST_TEST((call(get()).end == CallResult::Broken));
    BOOST_TEST(loop.runUntil([&] {
        endpoint.poll();
        return endpoint.openConnections() == 0;
    }));
}

// Guards against a connection that stays open after its call was cancelled, while bytes arrive as
// fast as they are read.
BOOST_DATA_TEST_CASE_F(Fixture, cancelled_call_ends_a_body_without_end, data::make(EndlessBodies),
                       endless)
{
    constexpr std::size_t ReadBytes = 4u << 20;
    constexpr Duration CloseTime = std::chrono::milliseconds(500);
    endpoint.script = endless.script;
    endpoint.endless = endless.endless;
    std::size_t read = 0;
    CallHandler handler;
    handler.data = [&read](std::string_view bytes) { read += bytes.size(); };
    auto running = client.start(get(), std::move(handler));
    BOOST_TEST(loop.runUntil([&] {
        endpoint.poll();
        return read >= ReadBytes;
    }));
    running.reset();
    const auto cancelled = BootClock::now();
    BOOST_TEST(loop.runUntil([&] {
        endpoint.poll();
        return endpoint.openConnections() == 0;
    }));
    BOOST_TEST(toMs(BootClock::now() - cancelled) < toMs(CloseTime));
}

// Guards against an endpoint whose response without an end takes the event loop of the node.
BOOST_DATA_TEST_CASE_F(Fixture, turn_of_the_loop_is_bounded_while_bytes_come_without_end,
                       data::make(EndlessBodies), endless)
{
    constexpr std::size_t ReadBytes = 4u << 20;
    constexpr std::size_t MaxTurnBytes = 256u << 10;
    endpoint.script = endless.script;
    endpoint.endless = endless.endless;
    std::size_t read = 0;
    CallHandler handler;
    handler.data = [&read](std::string_view bytes) { read += bytes.size(); };
    const auto running = client.start(get(), std::move(handler));
    std::size_t longestTurn = 0;
    const auto limit = BootClock::now() + std::chrono::seconds(20);
    while (read < ReadBytes && BootClock::now() < limit) {
        endpoint.poll();
        const auto before = read;
        event_base_loop(loop.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
        longestTurn = std::max(longestTurn, read - before);
    }
    BOOST_TEST(read >= ReadBytes);
    BOOST_TEST(longestTurn <= MaxTurnBytes);
}
