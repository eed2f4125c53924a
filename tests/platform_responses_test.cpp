// Client of the platform's object API against a store that answers with scripted bytes.
#define BOOST_TEST_MODULE platform_responses
#include "loop.h"
#include "platform/platform_client.h"
#include "scripted_server.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <functional>
#include <optional>
#include <ostream>

using namespace berylspur;
namespace data = boost::unit_test::data;

namespace {

std::string response(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\nConnection: close\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

enum class Call { Read, Create, Replace, List, Watch };

std::ostream &operator<<(std::ostream &out, Call call)
{
    constexpr const char *Names[] = {"read", "create", "replace", "list", "watch"};
    return out << Names[static_cast<int>(call)];
}

const std::vector<Call> Calls {Call::Read, Call::Create, Call::Replace, Call::List, Call::Watch};

struct Fixture
{
    /// Error code of \a call once it has ended; Ok if it succeeded.
    ErrorCode codeOf(Call call)
    {
        std::optional<ErrorCode> code;
        const auto ended = [&code](const auto &result) {
            code = result ? ErrorCode::Ok : result.error().code;
        };
        switch (call) {
        case Call::Read:
            client.read("k/n", ended);
            break;
        case Call::Create:
            client.write("k/n", "v", NoObject, ended);
            break;
        case Call::Replace:
            client.write("k/n", "v", ObjectVersion {0, 4}, ended);
            break;
        case Call::List:
            client.list("k/", ended);
            break;
        case Call::Watch:
            client.watch("k/n", ObjectVersion {0, 4}, ended);
            break;
        }
        BOOST_TEST(loop.runUntil([&] {
            store.poll();
            return code.has_value();
        }));
        return code.value_or(ErrorCode::Ok);
    }

    /// The parameter waitMs of the last request.
    long waitMs() const
    {
        constexpr std::string_view Name = "waitMs=";
        const auto at = store.received.find(Name);
        return at == std::string::npos
                       ? -1
                       : std::strtol(store.received.c_str() + at + Name.size(), nullptr, 10);
    }

    Loop loop;
    ScriptedServer store;
    PlatformClient client {loop.base, store.address};
};

struct EndlessCase
{
    const char *name;
    std::string start;
    std::string repeated;
    std::size_t maxTakenBytes;
};

std::ostream &operator<<(std::ostream &out, const EndlessCase &sample)
{
    return out << sample.name;
}

constexpr std::size_t SocketBytes = 12u << 20; ///< that the sockets of both sides may hold
constexpr std::size_t MaxHead = SocketBytes + (64u << 10);
constexpr std::size_t MaxBody = SocketBytes + (33u << 20);
const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";

const std::vector<EndlessCase> EndlessCases {
        {"garbage", "", "x", MaxHead},
        {"status line", "HTTP/1.1 200 ", "x", MaxHead},
        {"field value", Ok + "A: ", "x", MaxHead},
        {"fields", Ok, "A: b\r\n", MaxHead},
        {"interim responses", "", "HTTP/1.1 103 E\r\n\r\n", MaxBody},
        {"body without a length", Ok + "\r\n", "x", MaxBody},
        {"small chunks", Chunked, "1\r\nx\r\n", MaxBody},
        {"chunk size", Chunked, "0", MaxBody},
        {"chunk extension", Chunked + "1;", "x", MaxBody},
        {"trailers", Chunked + "0\r\n", "A: b\r\n", MaxBody},
        {"trailer value", Chunked + "0\r\nA: ", "x", MaxBody},
};

} // namespace

// Guards against an exception in a callback of the event loop, which ends the process, and against
// a malformed response that passes for a success.
BOOST_DATA_TEST_CASE_F(
        Fixture, malformed_response_is_a_bad_answer,
        data::make(Calls)
                * data::make({"", "5", "[]", "{}", "null", "x", R"({"metadata":5,"at":"x"})",
                              R"({"metadata":"m","at":-1})", R"({"metadata":[],"at":[]})",
                              R"({"metadata":{"revision":-1},"at":null})",
                              R"({"metadata":{"revision":"7"},"at":{}})",
                              R"({"at":7,"hasMore":"x"})", R"({"at":7,"items":5})",
                              R"({"at":7,"items":[5]})", R"({"at":7,"items":[{"metadata":7}]})"}),
        call, body)
{
    store.script = response(200, body);
    store.action = ConnectionAction::Close;
    BOOST_TEST((codeOf(call) == ErrorCode::PlatformBadAnswer));
}

// Guards against a node whose memory a response without an end fills.
BOOST_DATA_TEST_CASE_F(Fixture, parts_without_end_are_bounded, data::make(EndlessCases), sample)
{
    store.script = sample.start;
    store.endless = sample.repeated;
    const auto code = codeOf(Call::Read);
    BOOST_TEST((code == ErrorCode::PlatformUnreachable || code == ErrorCode::PlatformTimeout
                || code == ErrorCode::PlatformBadAnswer));
    BOOST_TEST(store.endlessSent() <= sample.maxTakenBytes);
    BOOST_TEST(loop.runUntil([&] {
        store.poll();
        return store.openConnections() == 0;
    }));
}

// Guards against a watch that outlasts its wait, because it begins again when the store has
// compacted its history.
BOOST_FIXTURE_TEST_CASE(watch_does_not_wait_longer_after_compaction, Fixture)
{
    constexpr auto Pause = std::chrono::milliseconds(300);
    const auto receive = [this](int count) {
        return loop.runUntil([&] {
            store.poll();
            return store.requests == count;
        });
    };
    client.watch("k/n", ObjectVersion {0, 4}, [](const Result<PlatformObject> &) {});
    store.script = response(200, R"({"at":5,"items":[]})");
    BOOST_REQUIRE(receive(1));
    store.script.clear();
    BOOST_REQUIRE(receive(2));
    const auto wait = waitMs();
    BOOST_TEST(wait > 0);
    const auto start = BootClock::now();
    BOOST_TEST(loop.runUntil([&] { return BootClock::now() - start >= Pause; }));
    store.script = response(200, R"({"at":9,"items":[]})");
    store.send(response(410, ""));
    BOOST_REQUIRE(receive(3));
    store.script.clear();
    BOOST_REQUIRE(receive(4));
    BOOST_TEST(waitMs() > 0);
    BOOST_TEST(waitMs() <= wait - Pause.count());
}
