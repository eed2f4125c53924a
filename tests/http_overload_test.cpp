// The HTTP server for callers under its limits of memory, connections, header fields and rate.
#define BOOST_TEST_MODULE http_overload
#include "berylspur/http/caller_server.h"
#include "loop.h"
#include "raw_caller.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

using namespace berylspur;
namespace data = boost::unit_test::data;

namespace {

constexpr std::size_t Limit = 1u << 20; // bodies: 896 KiB
constexpr std::size_t BodyBytes = 600u << 10;

/// A server that answers each request with its result code and the size of its body.
struct Fixture
{
    Fixture()
        : server(
                loop.base, [this](std::unique_ptr<CallerRequest> request) { answer(*request); },
                &memory),
          relief(loop.base, [this] { relieve(); })
    {
        BOOST_REQUIRE(server.listen(address).has_value());
        memory.onReliefNeeded([this] { relief.start(Duration::zero()); });
    }

    void relieve()
    {
        if (memory.relieve(BootClock::now()))
            relief.start(std::chrono::milliseconds(20));
    }

    void answer(CallerRequest &request)
    {
        const auto checked = request.check();
        const auto code = checked ? ErrorCode::Ok : checked.error().code;
        if (!checked)
            request.closeAfterResponse();
        const auto body = request.takeBody();
        request.respond(checked ? 200 : 400, {{"Code", std::string(errorName(code))}},
                        "body " + std::to_string(body.size()));
    }

    /// Waits for \a text. Sends the rest of \a unsent meanwhile.
    bool waitFor(RawCaller &caller, const std::string &text, std::string unsent = {})
    {
        return loop.runUntil([&] {
            unsent.erase(0, caller.send(unsent));
            caller.read();
            return caller.received.find(text) != std::string::npos;
        });
    }

    void setLimits(const std::function<void(CallerLimits &)> &change)
    {
        CallerLimits limits;
        limits.maxBodyBytes = 2 * Limit;
        change(limits);
        server.setLimits(limits);
    }

    Loop loop;
    Address address = freeAddress();
    MemoryBudget memory {Limit};
    CallerServer server;
    Timer relief;
};

std::string post(const std::string &target, const std::string &headers)
{
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n";
}

std::string postOf(std::size_t length, const std::string &target = "/a")
{
    return post(target, "Content-Length: " + std::to_string(length) + "\r\n");
}

std::string chunks(std::size_t bytes)
{
    constexpr std::size_t ChunkBytes = 1024;
    std::string text;
    for (std::size_t sent = 0; sent < bytes; sent += ChunkBytes)
        text += "400\r\n" + std::string(ChunkBytes, 'x') + "\r\n";
    return text;
}

std::string fields(std::size_t count)
{
    std::string text;
    for (std::size_t i = 0; i < count; ++i)
        text += "a:\r\n";
    return text;
}

} // namespace

// Guards against heads of legal size whose very many fields take far more memory than their text.
BOOST_FIXTURE_TEST_CASE(too_many_fields_are_refused, Fixture)
{
    RawCaller allowed(address);
    allowed.send(post("/a", fields(254) + "Content-Length: 0\r\n"));
    BOOST_TEST(waitFor(allowed, "Code: Ok"));
    RawCaller refused(address);
    refused.send(post("/a", fields(255) + "Content-Length: 0\r\n"));
    BOOST_TEST(waitFor(refused, "Code: RequestHeadersTooLarge"));
    BOOST_TEST(server.counters().tooManyFields == 1U);
    BOOST_TEST(loop.runUntil([&] { return !refused.read(); }));
}

// Guards against a single large body within the limits that is not served, whatever its framing.
BOOST_FIXTURE_TEST_CASE(one_large_body_is_served, Fixture)
{
    setLimits([](CallerLimits &) {});
    RawCaller withLength(address);
    BOOST_TEST(waitFor(withLength, "body 614400", postOf(BodyBytes) + std::string(BodyBytes, 'x')));
    RawCaller chunked(address);
    BOOST_TEST(waitFor(chunked, "body 307200",
                       post("/a", "Transfer-Encoding: chunked\r\n") + chunks(BodyBytes / 2)
                               + "0\r\n\r\n"));
    BOOST_TEST(memory.counters().waited == 0U);
    BOOST_TEST(loop.runUntil([&] { return memory.used(MemoryUse::Bodies) == 0; }));
}

// Guards against a second body that is read although there is no memory for it, or that is not
// served once there is.
BOOST_FIXTURE_TEST_CASE(body_waits_for_memory, Fixture)
{
    setLimits([](CallerLimits &) {});
    RawCaller first(address);
    RawCaller second(address);
    first.send(postOf(BodyBytes) + std::string(100, 'x'));
    BOOST_REQUIRE(loop.runUntil([&] { return memory.promised() > 0; }));
    second.send(postOf(BodyBytes) + std::string(100, 'x'));
    BOOST_REQUIRE(loop.runUntil([&] { return memory.waiting() == 1; }));
    RawCaller small(address);
    small.send(postOf(3) + "abc");
    BOOST_TEST(waitFor(small, "body 3"));
    BOOST_TEST(waitFor(first, "body 614400", std::string(BodyBytes - 100, 'x')));
    BOOST_TEST(waitFor(second, "body 614400", std::string(BodyBytes - 100, 'x')));
}

// Guards against a caller that is asked for a body for which there is no memory.
BOOST_FIXTURE_TEST_CASE(waiting_body_is_not_asked_for, Fixture)
{
    setLimits([](CallerLimits &) {});
    RawCaller first(address);
    RawCaller second(address);
    first.send(postOf(BodyBytes));
    BOOST_REQUIRE(loop.runUntil([&] { return memory.promised() > 0; }));
    second.send(post("/a", "Expect: 100-continue\r\nContent-Length: 614400\r\n"));
    BOOST_REQUIRE(loop.runUntil([&] { return memory.waiting() == 1; }));
    second.read();
    BOOST_TEST(second.received.empty());
    first.disconnect();
    BOOST_TEST(waitFor(second, "100 Continue"));
}

// Guards against bodies that wait without end, and against one that can never be held.
BOOST_FIXTURE_TEST_CASE(body_without_memory_is_refused, Fixture)
{
    setLimits([](CallerLimits &limits) { limits.headerTimeout = std::chrono::milliseconds(100); });
    RawCaller tooLarge(address);
    tooLarge.send(postOf(Limit));
    BOOST_TEST(waitFor(tooLarge, "Code: NotRunMemory"));
    const MemoryReservation others(&memory, MemoryUse::Bodies, Limit / 2);
    RawCaller waiting(address);
    waiting.send(postOf(BodyBytes));
    BOOST_TEST(waitFor(waiting, "Code: NotRunMemory"));
    BOOST_TEST(loop.runUntil([&] { return !waiting.read(); }));
    BOOST_TEST(server.counters().refusedForMemory == 2U);
    BOOST_TEST(memory.waiting() == 0U);
}

// Guards against bodies that stop short of their end and keep the memory from others.
BOOST_DATA_TEST_CASE_F(Fixture, stalled_body_gives_way, data::make({false, true}), isChunked)
{
    setLimits([](CallerLimits &) {});
    RawCaller stalled(address);
    auto sent = isChunked ? post("/a", "Transfer-Encoding: chunked\r\n") + chunks(300u << 10)
                          : postOf(BodyBytes) + std::string(BodyBytes - 1, 'x');
    BOOST_REQUIRE(loop.runUntil([&] {
        sent.erase(0, stalled.send(sent));
        return sent.empty();
    }));
    RawCaller other(address);
    BOOST_TEST(waitFor(other, "body 614400", postOf(BodyBytes) + std::string(BodyBytes, 'x')));
    BOOST_TEST(loop.runUntil([&] { return !stalled.read(); }));
    BOOST_TEST(stalled.received.empty());
    BOOST_TEST(server.counters().closedForMemory == 1U);
}

// Guards against bodies that are held although nothing will use them, and against requests that run
// without the body that was not kept.
BOOST_FIXTURE_TEST_CASE(body_without_use_is_not_kept, Fixture)
{
    setLimits([](CallerLimits &) {});
    server.setBodyFilter([](std::string_view, std::string_view, std::string_view target) {
        return target != "/none";
    });
    for (const auto &text :
         {postOf(Limit, "/none") + std::string(Limit, 'x'),
          post("/none", "Transfer-Encoding: chunked\r\n") + chunks(Limit) + "0\r\n\r\n"}) {
        RawCaller caller(address);
        BOOST_TEST(waitFor(caller, "Code: NotRunBodyDiscarded", text));
        BOOST_TEST(caller.received.find("body 0") != std::string::npos);
    }
    BOOST_TEST(memory.peak() < Limit / 4);
    BOOST_TEST(server.counters().discardedBodies == 2U);
}

struct RateCase
{
    const char *guards; ///< failure that the case guards against
    std::uint32_t minRate;
    const char *answer;
};

std::ostream &operator<<(std::ostream &out, const RateCase &sample)
{
    return out << sample.guards;
}

// Guards against bodies that come so slowly that they keep their connection without end. Each case
// names the failure it guards against.
BOOST_DATA_TEST_CASE_F(Fixture, slow_bodies_are_refused,
                       data::make({
                               RateCase {"a slow body is kept", 1000000, "Code: RequestTimeout"},
                               RateCase {"a body above the rate is refused", 10, "body 40"},
                               RateCase {"a body is refused without a limit", 0, "body 40"},
                       }),
                       sample)
{
    setLimits([&sample](CallerLimits &limits) {
        limits.minBodyRate = sample.minRate;
        limits.bodyRateTime = std::chrono::milliseconds(100);
    });
    RawCaller caller(address);
    caller.send(postOf(40));
    auto next = BootClock::now();
    BOOST_TEST(loop.runUntil([&] {
        if (BootClock::now() >= next) {
            caller.send("x");
            next = BootClock::now() + std::chrono::milliseconds(10);
        }
        caller.read();
        return caller.received.find(sample.answer) != std::string::npos;
    }));
    BOOST_TEST(server.counters().slowBodies == (sample.minRate == 1000000 ? 1U : 0U));
}

// Guards against connections that take all descriptors, and against closing the active ones.
BOOST_FIXTURE_TEST_CASE(stalled_connection_gives_way_to_a_new_one, Fixture)
{
    setLimits([](CallerLimits &limits) { limits.maxConnections = 2; });
    RawCaller stalled(address);
    stalled.send("POST /a HTT");
    RawCaller active(address);
    active.send(postOf(1) + "x");
    BOOST_REQUIRE(waitFor(active, "body 1"));
    RawCaller early(address);
    BOOST_TEST(loop.runUntil([&] { return !early.read(); }));
    BOOST_TEST(server.counters().refusedConnections == 1U);
    const auto later = BootClock::now() + std::chrono::milliseconds(1100);
    BOOST_REQUIRE(loop.runUntil([&] { return BootClock::now() > later; }));
    active.received.clear();
    active.send(postOf(2) + "xx");
    BOOST_REQUIRE(waitFor(active, "body 2"));
    RawCaller next(address);
    next.send(postOf(3) + "xxx");
    BOOST_TEST(waitFor(next, "body 3"));
    BOOST_TEST(loop.runUntil([&] { return !stalled.read(); }));
    BOOST_TEST(active.read());
    BOOST_TEST(server.counters().closedForConnections == 1U);
}

// Guards against responses that callers do not read and that are held when memory is needed.
BOOST_FIXTURE_TEST_CASE(unread_response_is_cut_when_memory_is_needed, Fixture)
{
    std::unique_ptr<CallerRequest> open;
    CallerServer large(
            loop.base,
            [&open](std::unique_ptr<CallerRequest> request) {
                open = std::move(request);
                open->start(200, {}, 32u << 20);
                open->write(std::string(32u << 20, 'x'), nullptr);
            },
            &memory);
    const auto at = freeAddress();
    BOOST_REQUIRE(large.listen(at).has_value());
    RawCaller caller(at);
    caller.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(loop.runUntil([&] { return large.counters().closedForMemory == 1; }));
    BOOST_TEST(loop.runUntil([&] { return !caller.read(); }));
    BOOST_TEST(caller.wasReset);
    open.reset();
    BOOST_TEST(loop.runUntil([&] { return memory.used() == 0; }));
}
