// Planned stops of nodes on the platform, with real processes: requests that arrive during a stop,
// responses that are still being sent, and repeated signals.
#define BOOST_TEST_MODULE process_platform_stop
#include "process_fixture.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <future>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace berylspur::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The fixture's stop-serving time, and the polls and scheduling of a loaded machine.
constexpr milliseconds RefusalDelay(1000);

FleetOptions platformFleet()
{
    FleetOptions options;
    options.onPlatform = true;
    return options;
}

std::string idHeader(const std::string &id)
{
    return "X-Request-Id: " + id;
}

/// A caller that does not read its response until it is told to. Small segments and a small receive
/// buffer keep most of the response at the node's side.
class SlowCaller
{
public:
    SlowCaller(std::uint16_t port, const std::string &target, const std::string &id)
        : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int receiveBufferBytes = 4096;
        const int segmentBytes = 536;
        setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
        setsockopt(m_fd, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof segmentBytes);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        connect(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof address);
        const auto text =
                "GET " + target + " HTTP/1.1\r\nHost: svc.example\r\n" + idHeader(id) + "\r\n\r\n";
        send(m_fd, text.data(), text.size(), MSG_NOSIGNAL);
    }
    ~SlowCaller() { close(m_fd); }
    SlowCaller(const SlowCaller &) = delete;
    SlowCaller &operator=(const SlowCaller &) = delete;

    /// Reads once. Returns false at the end of the connection.
    bool readStep()
    {
        char buffer[2048];
        const auto size = recv(m_fd, buffer, sizeof buffer, 0);
        if (size > 0)
            m_received.append(buffer, static_cast<std::size_t>(size));
        m_hasEnded = size <= 0;
        return !m_hasEnded;
    }
    /// Reads the rest of the response.
    Response readAll()
    {
        while (!response().isComplete && readStep()) {
        }
        return response();
    }

private:
    Response response() const { return parseResponse(m_received, false, m_hasEnded); }

    int m_fd;
    std::string m_received;
    bool m_hasEnded = false;
};

std::string longTarget(int bytes)
{
    return "/long/x?work-ms=1&bytes=" + std::to_string(bytes);
}

/// True if the gate of node 0 forgets its only request while the caller reads nothing.
bool isForgottenUnread(const Fleet &fleet)
{
    return waitFor([&fleet] { return fleet.state(0)["open"]["gate"] == 0; }, milliseconds(400));
}

/// The smallest response, to within a quarter of a stream window, that the gate of node 0 still
/// holds while the caller reads nothing. The ends of slightly smaller ones are in the output buffer
/// of the connection, because the kernel's buffers are full.
int smallestHeldResponse(const Fleet &fleet)
{
    constexpr int Resolution = 16 << 10;
    int forgotten = 0;
    int held = 16 << 20;
    while (held - forgotten > Resolution) {
        const int bytes = (forgotten + held) / 2;
        SlowCaller caller(fleet.node(0).caller, longTarget(bytes), "size-" + std::to_string(bytes));
        if (caller.readStep() && isForgottenUnread(fleet))
            forgotten = bytes;
        else
            held = bytes;
    }
    return held;
}

/// Callers that read nothing and whose requests the gate of node 0 has forgotten, with responses
/// just below the size that it holds. Sizes that it still holds are passed over: the kernel's
/// buffers differ between connections.
std::vector<std::unique_ptr<SlowCaller>> forgottenCallers(const Fleet &fleet, std::size_t count)
{
    constexpr int QuarterWindowBytes = 16 << 10;
    std::vector<std::unique_ptr<SlowCaller>> callers;
    for (int bytes = smallestHeldResponse(fleet); callers.size() < count && bytes > 0;
         bytes -= QuarterWindowBytes) {
        auto caller = std::make_unique<SlowCaller>(fleet.node(0).caller, longTarget(bytes),
                                                   "slow-" + std::to_string(bytes));
        if (caller->readStep() && isForgottenUnread(fleet))
            callers.push_back(std::move(caller));
    }
    return callers;
}

} // namespace

// Guards against a stopping node with an open request that accepts new requests after the time in
// which callers learn that it is not ready, and gives them up at its stop limit.
BOOST_AUTO_TEST_CASE(open_requests_do_not_extend_the_time_in_which_a_stopping_node_accepts_requests)
{
    Fleet fleet(platformFleet());
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    auto open = std::async(std::launch::async, [&fleet] {
        return call(fleet.node(0).caller, "GET", "/long/x?work-ms=3500", {idHeader("open")});
    });
    BOOST_REQUIRE(waitFor([&fleet] { return fleet.runningOn("open").has_value(); }));
    fleet.nodeProcess(0).signal(SIGTERM);
    std::this_thread::sleep_for(RefusalDelay);
    int refused = 0;
    for (int i = 0; i < 5; ++i) {
        const auto id = "late-" + std::to_string(i);
        const auto response =
                call(fleet.node(0).caller, "POST", "/write/x?work-ms=1", {idHeader(id)}, "b");
        refused += response.status == 503 && fleet.runsOfId(id).started == 0 ? 1 : 0;
        std::this_thread::sleep_for(milliseconds(100));
    }
    BOOST_TEST(refused == 5);
    BOOST_TEST(open.get().status == 200);
    BOOST_TEST(fleet.nodeProcess(0).waitForExit(seconds(10)).value_or(-1) == 0);
}

// Guards against a stopping node that refuses the nested calls of requests which still run at its
// endpoint, so that these requests fail.
BOOST_AUTO_TEST_CASE(a_stopping_node_serves_nested_calls_of_running_requests)
{
    Fleet fleet(platformFleet());
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    auto parent = std::async(std::launch::async, [&fleet] {
        return call(fleet.node(0).caller, "GET", "/long/x?work-ms=3000", {idHeader("parent")});
    });
    BOOST_REQUIRE(waitFor([&fleet] { return fleet.runningOn("parent").has_value(); }));
    const int host = *fleet.runningOn("parent");
    fleet.nodeProcess(host).signal(SIGTERM);
    std::this_thread::sleep_for(RefusalDelay);
    const auto nested = call(fleet.node(host).caller, "GET", "/read/x?work-ms=1",
                             {idHeader("parent.1"), "X-Deadline-Ms: 1000"});
    BOOST_TEST(nested.status == 200);
    BOOST_TEST(parent.get().status == 200);
}

// Guards against a stopping node that ends while the last bytes of a response are still in its
// output buffer: the gate forgets a request once the connection has taken its response.
BOOST_AUTO_TEST_CASE(a_stopping_node_sends_complete_responses_to_slow_callers)
{
    Fleet fleet(platformFleet());
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    const auto callers = forgottenCallers(fleet, 3);
    BOOST_REQUIRE(callers.size() == 3U);
    fleet.nodeProcess(0).signal(SIGTERM);
    std::this_thread::sleep_for(seconds(2));
    for (const auto &caller : callers)
        BOOST_TEST(caller->readAll().isComplete);
    BOOST_TEST(fleet.nodeProcess(0).waitForExit(seconds(10)).value_or(-1) == 0);
}

// Guards against a stopping owner that ends while response bytes are still in its peer transport:
// the owner forgets a request once the transport has taken its response.
BOOST_AUTO_TEST_CASE(a_stopping_owner_sends_complete_responses_to_its_peers)
{
    auto options = platformFleet();
    options.nodes = 2;
    Fleet fleet(options);
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    fleet.backendProcess(0).signal(SIGTERM);
    BOOST_REQUIRE(waitFor([&fleet] { return fleet.verdict(0, fleet.endpointId(0)) != "in"; }));
    SlowCaller caller(fleet.node(0).caller, longTarget(1000000), "slow");
    BOOST_REQUIRE(caller.readStep());
    BOOST_REQUIRE(waitFor([&fleet] { return fleet.state(1)["open"]["owner"] == 0; }));
    fleet.nodeProcess(1).signal(SIGTERM);
    std::this_thread::sleep_for(seconds(2));
    BOOST_TEST(caller.readAll().isComplete);
    BOOST_TEST(fleet.nodeProcess(1).waitForExit(seconds(10)).value_or(-1) == 0);
}

// Guards against requests in the queue of an owner that reaches its stop limit: nothing ran, so the
// outcome must not be unknown.
BOOST_AUTO_TEST_CASE(queued_requests_of_a_stopping_owner_are_refused_as_not_run)
{
    auto options = platformFleet();
    options.nodes = 2;
    options.slots = 1;
    options.stopLimitMs = 700;
    Fleet fleet(options);
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    fleet.backendProcess(0).signal(SIGTERM);
    BOOST_REQUIRE(waitFor([&fleet] { return fleet.verdict(0, fleet.endpointId(0)) != "in"; }));
    const auto postLater = [&fleet](const std::string &id) {
        return std::async(std::launch::async, [&fleet, id] {
            return call(fleet.node(0).caller, "POST", "/write/x?work-ms=2500", {idHeader(id)}, "b");
        });
    };
    auto running = postLater("running");
    BOOST_REQUIRE(waitFor([&fleet] { return fleet.runningOn("running").has_value(); }));
    auto queued = postLater("queued");
    BOOST_REQUIRE(waitFor([&fleet] { return fleet.state(1)["open"]["owner"] == 2; }));
    fleet.nodeProcess(1).signal(SIGTERM);
    BOOST_TEST(queued.get().status == 503);
    BOOST_TEST(fleet.runsOfId("queued").started == 0);
    BOOST_TEST(running.get().status != 503);
}

// Guards against a second SIGTERM, as overlapping maintenance sends it, that interrupts the
// requests of a planned stop.
BOOST_AUTO_TEST_CASE(a_second_sigterm_does_not_interrupt_a_planned_stop)
{
    Fleet fleet(platformFleet());
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    auto open = std::async(std::launch::async, [&fleet] {
        return call(fleet.node(0).caller, "POST", "/write/x?work-ms=1500", {idHeader("open")}, "b");
    });
    BOOST_REQUIRE(waitFor([&fleet] { return fleet.runningOn("open").has_value(); }));
    fleet.nodeProcess(0).signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(200));
    fleet.nodeProcess(0).signal(SIGTERM);
    BOOST_TEST(open.get().status == 200);
    BOOST_TEST(fleet.nodeProcess(0).waitForExit(seconds(10)).value_or(-1) == 0);
}
