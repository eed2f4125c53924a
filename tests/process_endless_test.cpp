// Responses with a part that has no end, with real processes: memory of the node, what callers get,
// and when the connection to the endpoint is closed.
#define BOOST_TEST_MODULE process_endless
#include "process_fixture.h"

#include <algorithm>
#include <arpa/inet.h>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <fstream>
#include <functional>
#include <future>
#include <iostream>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace berylspur::test;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace data = boost::unit_test::data;

namespace {

using Clock = std::chrono::steady_clock;

constexpr int Connections = 4; ///< endless responses at a time
constexpr long MaxGrowthKiB = 8 << 10; ///< of the node, for all of these connections
/// From the caller's close to that of the endpoint; other requests are answered sooner, too.
constexpr milliseconds MaxClosingTime(500);
constexpr milliseconds ReadTime(500); ///< for which a caller reads a body without end
constexpr seconds RouteTimeout(3); ///< of /read and /write

struct EndlessCase
{
    const char *part; ///< that the endpoint repeats without end
};

std::ostream &operator<<(std::ostream &out, const EndlessCase &sample)
{
    return out << sample.part;
}

const std::vector<EndlessCase> Parts {
        {"garbage"},         {"status-line"},       {"field-value"},
        {"field-list"},      {"interim-responses"}, {"chunk-size"},
        {"chunk-extension"}, {"trailers"},          {"trailer-value"}};
const std::vector<EndlessCase> Bodies {{"body-without-length"}, {"small-chunks"}, {"large-chunk"}};

/// A fleet of one node, so that all requests reach the endpoint of this test.
FleetOptions oneNode()
{
    FleetOptions options;
    options.nodes = 1;
    options.slots = 2 * Connections;
    return options;
}

/// Largest resident memory of the process so far, in KiB.
long peakMemoryKiB(pid_t process)
{
    std::ifstream in("/proc/" + std::to_string(process) + "/status");
    std::string word;
    long size = 0;
    while (in >> word && word != "VmHWM:") {
    }
    in >> size;
    return size;
}

/// What a caller saw that reads as fast as it can and keeps nothing.
struct Drained
{
    std::size_t bytes = 0;
    bool isEndedByPeer = false;
    milliseconds elapsed {};
    std::int64_t closedAtMs = 0; ///< Unix time
};

/// Sends GET \a target and reads until the peer closes, at most for \a limit, then closes.
Drained drain(std::uint16_t port, const std::string &target, milliseconds limit)
{
    const auto start = Clock::now();
    Drained result;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const auto request = "GET " + target + " HTTP/1.1\r\nHost: svc.example\r\n\r\n";
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0
        && send(fd, request.data(), request.size(), MSG_NOSIGNAL) > 0) {
        std::vector<char> buffer(256 << 10);
        while (!result.isEndedByPeer && Clock::now() - start < limit) {
            pollfd entry {fd, POLLIN, 0};
            if (poll(&entry, 1, 20) <= 0)
                continue;
            const auto got = recv(fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
            result.isEndedByPeer = got <= 0;
            result.bytes += got > 0 ? static_cast<std::size_t>(got) : 0;
        }
    }
    result.elapsed = std::chrono::duration_cast<milliseconds>(Clock::now() - start);
    result.closedAtMs = std::chrono::duration_cast<milliseconds>(
                                std::chrono::system_clock::now().time_since_epoch())
                                .count();
    close(fd);
    return result;
}

/// Longest of the response times of requests that need no endpoint, sent one after the other until
/// \a isDone. They wait only for the event loop of the node.
milliseconds longestOtherRequest(const Fleet &fleet, const std::function<bool()> &isDone)
{
    milliseconds longest {};
    while (!isDone()) {
        const auto start = Clock::now();
        BOOST_TEST(call(fleet.node(0).caller, "GET", "/no-route").status == 404);
        longest = std::max(longest, std::chrono::duration_cast<milliseconds>(Clock::now() - start));
    }
    return longest;
}

/// Unix times at which the endpoint saw the end of its endless responses.
std::vector<std::int64_t> endlessEnds(const Fleet &fleet)
{
    std::vector<std::int64_t> times;
    for (const auto &event : fleet.events(0)) {
        if (event.event == "endless-closed")
            times.push_back(event.atMs);
    }
    return times;
}

std::string query(const EndlessCase &sample)
{
    return std::string("/x?work-ms=1&endless=") + sample.part;
}

} // namespace

// Guards against a node whose memory one endpoint fills, against a response that looks complete,
// and against "not run" for a request that ran.
BOOST_DATA_TEST_CASE(parts_without_end_neither_fill_the_node_nor_look_complete, data::make(Parts),
                     sample)
{
    Fleet fleet(oneNode());
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    const auto before = peakMemoryKiB(fleet.nodeProcess(0).id());
    std::vector<std::future<Response>> calls;
    for (int i = 0; i < Connections; ++i) {
        calls.push_back(std::async(std::launch::async, [&] {
            return call(fleet.node(0).caller, "POST", "/write" + query(sample), {}, "b");
        }));
    }
    for (auto &sent : calls) {
        const auto response = sent.get();
        BOOST_TEST(!(response.isComplete && response.status == 200));
        BOOST_TEST(response.header("Berylspur-Outcome") != "not-run");
    }
    BOOST_TEST(waitFor([&] { return endlessEnds(fleet).size() == Connections; }));
    const auto growth = peakMemoryKiB(fleet.nodeProcess(0).id()) - before;
    std::cout << sample << ": " << growth << " KiB\n";
    BOOST_TEST(growth < MaxGrowthKiB);
}

// Guards against a node that buffers a body without end, reads on after the caller has left, or
// lets other requests wait meanwhile.
BOOST_DATA_TEST_CASE(bodies_without_end_are_passed_on_until_the_caller_leaves, data::make(Bodies),
                     sample)
{
    Fleet fleet(oneNode());
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    const auto before = peakMemoryKiB(fleet.nodeProcess(0).id());
    std::vector<std::future<Drained>> calls;
    for (int i = 0; i < Connections; ++i) {
        calls.push_back(std::async(std::launch::async, [&] {
            return drain(fleet.node(0).caller, "/long" + query(sample), ReadTime);
        }));
    }
    const auto longest = longestOtherRequest(fleet, [&calls] {
        return std::all_of(calls.begin(), calls.end(), [](const auto &sent) {
            return sent.wait_for(seconds::zero()) == std::future_status::ready;
        });
    });
    std::int64_t closedAtMs = 0;
    for (auto &sent : calls) {
        const auto drained = sent.get();
        BOOST_TEST(!drained.isEndedByPeer);
        BOOST_TEST(drained.bytes > 0U);
        closedAtMs = std::max(closedAtMs, drained.closedAtMs);
    }
    BOOST_REQUIRE(waitFor([&] { return endlessEnds(fleet).size() == Connections; }));
    const auto closingMs = endlessEnds(fleet).back() - closedAtMs;
    const auto growth = peakMemoryKiB(fleet.nodeProcess(0).id()) - before;
    std::cout << sample << ": " << growth << " KiB, closed after " << closingMs
              << " ms, longest other request " << longest.count() << " ms\n";
    BOOST_TEST(growth < MaxGrowthKiB);
    BOOST_TEST(longest.count() <= MaxClosingTime.count());
    BOOST_TEST(closingMs <= MaxClosingTime.count());
}

// Guards against a body without end that outlasts the timeout of its route.
BOOST_DATA_TEST_CASE(bodies_without_end_are_cut_at_the_timeout_of_the_route, data::make(Bodies),
                     sample)
{
    Fleet fleet(oneNode());
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    const auto drained =
            drain(fleet.node(0).caller, "/read" + query(sample), RouteTimeout + seconds(10));
    BOOST_TEST(drained.isEndedByPeer);
    std::cout << sample << ": cut after " << drained.elapsed.count() << " ms\n";
    BOOST_TEST(drained.elapsed.count() <= milliseconds(RouteTimeout + MaxClosingTime).count());
}
