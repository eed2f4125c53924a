// The servers that receive announcements and heartbeats of endpoints, tested with raw bytes.
#define BOOST_TEST_MODULE endpoint_calls
#include "../src/owner/announce_server.h"
#include "loop.h"
#include "platform/heartbeat_server.h"
#include "raw_caller.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <ostream>

using namespace berylspur;
namespace data = boost::unit_test::data;

namespace {

constexpr std::size_t MaxTakenBytes = 8u << 20; ///< of a part without end, socket buffers included

struct Fixture
{
    Fixture()
        : announcements(loop.base, "node-1", [this](const Announcement &) { ++announced; }),
          heartbeats(loop.base, {.onAnnouncement =
                                         [this](const Announcement &) {
                                             ++announced;
                                             return true;
                                         },
                                 .onWithdrawal = [this](const Withdrawal &) { ++withdrawn; },
                                 .saveDepartures = [](const auto &done) { done(); },
                                 .isReady = [this] { return isReady; }})
    {
        BOOST_REQUIRE(announcements.listen(announceAddress).has_value());
        BOOST_REQUIRE(heartbeats.listen(heartbeatAddress).has_value());
        BOOST_REQUIRE(heartbeats.listenReadiness(readinessAddress).has_value());
    }

    Loop loop;
    Address announceAddress = freeAddress();
    Address heartbeatAddress = freeAddress();
    Address readinessAddress = freeAddress();
    int announced = 0;
    int withdrawn = 0;
    bool isReady = true;
    AnnounceServer announcements;
    platform::HeartbeatServer heartbeats;
};

enum class Server { Announcements, Heartbeats, Readiness };

std::ostream &operator<<(std::ostream &out, Server server)
{
    constexpr const char *Names[] = {"announcements", "heartbeats", "readiness"};
    return out << Names[static_cast<int>(server)];
}

struct CallCase
{
    const char *name;
    Server server;
    std::string bytes;
    const char *status;
    int announced;
    int withdrawn;
};

std::ostream &operator<<(std::ostream &out, const CallCase &sample)
{
    return out << sample.name;
}

std::string post(const std::string &target, const std::string &body)
{
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string get(const std::string &target)
{
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

std::string withoutHost(std::string request)
{
    constexpr std::string_view Host = "Host: h\r\n";
    return request.erase(request.find(Host), Host.size());
}

const std::string Announced = R"({"id":"e","service":"one","address":"10.0.0.1:80","slots":4,)"
                              R"("state":"ready"})";
const std::string Heartbeat = R"({"service":"one","address":"10.0.0.1:80","slots":4,)"
                              R"("state":"ready","sequence":1})";
const std::string HeartbeatTarget = "/v1/rpc?call=instances.heartbeat&of=i%2d1";
const std::string WithdrawalTarget = "/v1/rpc?of=i-1&call=instances.deregister";

const std::vector<CallCase> Calls {
        {"announcement", Server::Announcements, post("/announce", Announced), "200", 1, 0},
        {"announcement, bad body", Server::Announcements, post("/announce", "{}"), "400", 0, 0},
        {"announcement, slots out of range", Server::Announcements,
         post("/announce", R"({"id":"e","service":"one","address":"10.0.0.1:80",)"
                           R"("slots":4294967300,"state":"ready"})"),
         "400", 0, 0},
        {"announcement, other path", Server::Announcements, post("/a", Announced), "404", 0, 0},
        {"heartbeat", Server::Heartbeats, post(HeartbeatTarget, Heartbeat), "200", 1, 0},
        {"heartbeat, bad body", Server::Heartbeats, post(HeartbeatTarget, "[]"), "400", 0, 0},
        {"heartbeat, other path", Server::Heartbeats, post("/v1/other", Heartbeat), "404", 0, 0},
        {"heartbeat, other method", Server::Heartbeats, get(HeartbeatTarget), "405", 0, 0},
        {"unknown call", Server::Heartbeats, post("/v1/rpc?call=x", "{}"), "404", 0, 0},
        {"withdrawal", Server::Heartbeats, post(WithdrawalTarget, ""), "200", 0, 1},
        {"readiness", Server::Readiness, get("/v1/readyz"), "200", 0, 0},
        {"announcement without a host", Server::Announcements,
         withoutHost(post("/announce", Announced)), "200", 1, 0},
        {"heartbeat without a host", Server::Heartbeats,
         withoutHost(post(HeartbeatTarget, Heartbeat)), "200", 1, 0},
        {"readiness without a host", Server::Readiness, withoutHost(get("/v1/readyz")), "200", 0,
         0},
        {"readiness, other path", Server::Readiness, get("/other"), "404", 0, 0},
};

struct EndlessCase
{
    const char *name;
    std::string start;
    std::string repeated;
    const char *status;
};

std::ostream &operator<<(std::ostream &out, const EndlessCase &sample)
{
    return out << sample.name;
}

const std::string Chunked = "Host: h\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The request line precedes the start.
const std::vector<EndlessCase> EndlessCases {
        {"head", "Host: h\r\nX-A: ", "a", "431"},
        {"fields", "Host: h\r\n", "A: b\r\n", "431"},
        {"body", Chunked, "1\r\na\r\n", "413"},
        {"chunk size", Chunked, "0", "400"},
        {"chunk extension", Chunked + "1;", "a", "400"},
        {"trailers", Chunked + "0\r\n", "A: b\r\n", "431"},
        {"trailer value", Chunked + "0\r\nA: ", "a", "431"},
};

const Address &addressOf(const Fixture &fixture, Server server)
{
    switch (server) {
    case Server::Announcements:
        return fixture.announceAddress;
    case Server::Heartbeats:
        return fixture.heartbeatAddress;
    case Server::Readiness:
        break;
    }
    return fixture.readinessAddress;
}

std::string requestLine(Server server)
{
    const auto target = server == Server::Announcements ? "/announce"
                        : server == Server::Heartbeats  ? HeartbeatTarget
                                                        : "/v1/readyz";
    return "POST " + target + " HTTP/1.1\r\n";
}

} // namespace

// Guards against calls of endpoints and of the platform that are answered by other rules than
// theirs, and against a connection that does not serve the next call.
BOOST_DATA_TEST_CASE_F(Fixture, calls_are_answered, data::make(Calls), sample)
{
    RawCaller caller(addressOf(*this, sample.server));
    const auto status = "HTTP/1.1 " + std::string(sample.status) + " ";
    for (int i = 1; i <= 2; ++i) {
        caller.received.clear();
        caller.send(sample.bytes);
        BOOST_TEST(loop.runUntil([&] {
            caller.read();
            return caller.received.find("\r\n\r\n") != std::string::npos;
        }));
        BOOST_TEST(caller.received.starts_with(status), caller.received);
        BOOST_TEST(announced == i * sample.announced);
        BOOST_TEST(withdrawn == i * sample.withdrawn);
        if (caller.received.find("Connection: close") != std::string::npos)
            break;
    }
}

// Guards against readiness that is reported before the node is ready.
BOOST_FIXTURE_TEST_CASE(readiness_follows_the_node, Fixture)
{
    isReady = false;
    RawCaller caller(readinessAddress);
    caller.send(get("/v1/readyz"));
    BOOST_TEST(loop.runUntil([&] {
        caller.read();
        return caller.received.starts_with("HTTP/1.1 503 ");
    }));
}

// Guards against an endpoint that fills the memory of the node, or holds a connection, with a call
// that has no end.
BOOST_DATA_TEST_CASE_F(Fixture, parts_without_end_are_refused,
                       data::make({Server::Announcements, Server::Heartbeats, Server::Readiness})
                               * data::make(EndlessCases),
                       server, sample)
{
    RawCaller caller(addressOf(*this, server));
    caller.send(requestLine(server) + sample.start);
    std::string bytes;
    while (bytes.size() < (64u << 10))
        bytes += sample.repeated;
    std::size_t taken = 0;
    std::size_t offset = 0;
    BOOST_TEST(loop.runUntil([&] {
        const auto sent = caller.send(bytes.substr(offset));
        offset = (offset + sent) % bytes.size();
        taken += sent;
        return !caller.read() || taken > MaxTakenBytes;
    }));
    BOOST_TEST(taken <= MaxTakenBytes);
    const auto status = "HTTP/1.1 " + std::string(sample.status) + " ";
    BOOST_TEST(caller.received.starts_with(status), caller.received);
    BOOST_TEST(announced == 0);
}
