// Callers that do not keep the limits, with real processes: each kind of misuse at each place must
// leave the node alive, under fixed bounds of memory and descriptors, and able to serve. The bounds
// do not depend on the speed of the machine; no time and no share of served requests is checked.
#define BOOST_TEST_MODULE process_overload
#include "process_fixture.h"

#include <algorithm>
#include <arpa/inet.h>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <future>
#include <iostream>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace berylspur::test;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace data = boost::unit_test::data;

namespace {

using Clock = std::chrono::steady_clock;

// Settings of the node. All bodies of a crowd together are larger than MaxMemoryKiB.
constexpr std::size_t MaxBodyBytes = 4u << 20;
constexpr std::size_t MaxHeadBytes = 256u << 10;
constexpr std::size_t MemoryBytes = 32u << 20;
constexpr std::size_t MaxConnections = 64;
// Limits of the readiness address, which are not settings.
constexpr std::size_t MaxReadinessBodyBytes = 16u << 10;
constexpr std::size_t MaxReadinessHeadBytes = 16u << 10;

// Bounds that every case is held to.
constexpr long MaxMemoryKiB = 100 << 10; ///< peak of the resident memory
/// MaxConnections, the connections to the endpoint (48 long slots), and those of the node itself.
constexpr std::size_t MaxDescriptors = 150;

constexpr long MaxKeptKiB = 30 << 10; ///< above the idle size, after the misuse

constexpr std::size_t Crowd = 48; ///< connections of kinds that send or take many bytes
constexpr std::size_t LargeCrowd = 160; ///< connections of kinds that only stay open
constexpr std::size_t ResponseBytes = 900000; ///< below the node's response-buffer-bytes
constexpr std::size_t RequestsAhead = 64; ///< sent on one connection

/// Where the requests go.
enum class Place { Route, NoRoute, Readiness };

enum class Misuse {
    BodyInOnePiece,
    BodyInSmallPieces,
    BodyInChunks,
    BodyOverLimit,
    ChunksOverLimit,
    ManyFields,
    RequestsAhead,
    SlowSender,
    SlowReader,
    HalfHead,
};

struct OverloadCase
{
    const char *guards; ///< failure that the case guards against
    Misuse misuse;
};

std::ostream &operator<<(std::ostream &out, const OverloadCase &sample)
{
    return out << sample.guards;
}

std::ostream &operator<<(std::ostream &out, Place place)
{
    return out << (place == Place::Route     ? "a path with a route"
                   : place == Place::NoRoute ? "a path without a route"
                                             : "the readiness address");
}

const std::vector<OverloadCase> Cases {
        {"bodies that stop short are held without bound", Misuse::BodyInOnePiece},
        {"bodies in small pieces are held without bound", Misuse::BodyInSmallPieces},
        {"chunked bodies are held without bound", Misuse::BodyInChunks},
        {"bodies over the limit are held", Misuse::BodyOverLimit},
        {"chunked bodies over the limit are held", Misuse::ChunksOverLimit},
        {"heads with very many fields are held", Misuse::ManyFields},
        {"responses to requests sent ahead are held without bound", Misuse::RequestsAhead},
        {"slow senders take all descriptors", Misuse::SlowSender},
        {"slow readers take all descriptors and memory", Misuse::SlowReader},
        {"heads that stop half-way take all descriptors", Misuse::HalfHead},
};
const std::vector<Place> Places {Place::Route, Place::NoRoute, Place::Readiness};

/// What each connection of a crowd does.
struct Behaviour
{
    std::string head; ///< sent first
    std::string part; ///< repeated after the head
    std::size_t repeats = 0;
    std::size_t pieceBytes = 64u << 10; ///< sent at a time
    bool reads = false; ///< a byte at a time; otherwise never
    std::size_t connections = Crowd;
};

std::string target(Place place, bool isRead)
{
    if (place == Place::Readiness)
        return "/v1/readyz";
    if (place == Place::NoRoute)
        return "/no-route/x";
    return isRead ? "/long/x?work-ms=1&bytes=" + std::to_string(ResponseBytes)
                  : "/write/x?work-ms=1";
}

std::string requestHead(Place place, const std::string &method, const std::string &headers)
{
    return method + " " + target(place, method == "GET")
           + " HTTP/1.1\r\nHost: svc.example\r\nX-Request-Id: misuse\r\n" + headers;
}

/// A head of \a bytes bytes made up of the shortest fields, without its end.
std::string headOfShortFields(std::string head, std::size_t bytes)
{
    while (head.size() + 5 < bytes)
        head += "a:\r\n";
    return head;
}

Behaviour behaviour(Misuse misuse, Place place)
{
    constexpr std::size_t ChunkBytes = 1024;
    const bool isReadiness = place == Place::Readiness;
    const auto bodyBytes = isReadiness ? MaxReadinessBodyBytes : MaxBodyBytes;
    const auto headBytes = isReadiness ? MaxReadinessHeadBytes : MaxHeadBytes;
    const auto withLength = [place](std::size_t length) {
        return requestHead(place, "POST", "Content-Length: " + std::to_string(length) + "\r\n\r\n");
    };
    const auto chunkedHead = requestHead(place, "POST", "Transfer-Encoding: chunked\r\n\r\n");
    const auto chunk = "400\r\n" + std::string(ChunkBytes, 'x') + "\r\n";
    switch (misuse) {
    case Misuse::BodyInOnePiece:
        return {withLength(bodyBytes), "x", bodyBytes - 1};
    case Misuse::BodyInSmallPieces:
        return {withLength(bodyBytes), "x", bodyBytes - 1, 1024};
    case Misuse::BodyInChunks:
        return {chunkedHead, chunk, bodyBytes / ChunkBytes - 1};
    case Misuse::BodyOverLimit:
        return {withLength(16 * bodyBytes), "x", 4 * bodyBytes};
    case Misuse::ChunksOverLimit:
        return {chunkedHead, chunk, 4 * bodyBytes / ChunkBytes};
    case Misuse::ManyFields:
        return {headOfShortFields(requestHead(place, "POST", "Content-Length: 2\r\n"), headBytes)
                        + "\r\n",
                "x", 1};
    case Misuse::RequestsAhead:
        return {{}, requestHead(place, "GET", "\r\n"), RequestsAhead};
    case Misuse::SlowSender:
        return {withLength(bodyBytes), "x", 40, 1, false, LargeCrowd};
    case Misuse::SlowReader:
        return {requestHead(place, "GET", "\r\n"), {}, 0, 64u << 10, true, LargeCrowd};
    case Misuse::HalfHead:
        return {headOfShortFields(requestHead(place, "GET", ""), headBytes / 8),
                {},
                0,
                64u << 10,
                false,
                LargeCrowd};
    }
    return {};
}

/// One connection of a crowd. Sends and reads without blocking.
class Misuser
{
public:
    Misuser(std::uint16_t port, const Behaviour &does)
        : m_does(does), m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        // A small window, so that unread responses stay at the node.
        const int window = 16 << 10;
        setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_isOpen = connect(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        m_unsent = m_does.head;
        m_repeatsLeft = m_does.repeats;
    }
    ~Misuser() { close(m_fd); }
    Misuser(const Misuser &) = delete;
    Misuser &operator=(const Misuser &) = delete;

    /// Returns true if bytes were sent or read.
    bool proceed()
    {
        const bool hasSent = sendPiece();
        if (m_does.reads && m_isOpen) {
            char byte = 0;
            return recv(m_fd, &byte, 1, MSG_DONTWAIT) > 0 || hasSent;
        }
        return hasSent;
    }

    bool hasInput() const
    {
        char byte = 0;
        return recv(m_fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK) > 0;
    }
    /// Appends what has arrived to \a text. Returns false once the connection has ended.
    bool read(std::string &text) const
    {
        char buffer[4096];
        const auto got = recv(m_fd, buffer, sizeof buffer, MSG_DONTWAIT);
        text.append(buffer, got > 0 ? static_cast<std::size_t>(got) : 0);
        return got > 0 || (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
    }

private:
    bool sendPiece()
    {
        fill();
        const auto length = std::min(m_unsent.size() - m_offset, m_does.pieceBytes);
        if (!m_isOpen || length == 0)
            return false;
        const auto sent =
                send(m_fd, m_unsent.data() + m_offset, length, MSG_DONTWAIT | MSG_NOSIGNAL);
        m_isOpen = sent >= 0 || errno == EAGAIN || errno == EWOULDBLOCK;
        m_offset += sent > 0 ? static_cast<std::size_t>(sent) : 0;
        return sent > 0;
    }

    /// Keeps at least one piece ready to be sent, as long as there are repeats left.
    void fill()
    {
        if (m_unsent.size() - m_offset >= m_does.pieceBytes || m_repeatsLeft == 0)
            return;
        m_unsent.erase(0, m_offset);
        m_offset = 0;
        while (m_unsent.size() < m_does.pieceBytes && m_repeatsLeft > 0) {
            m_unsent += m_does.part;
            --m_repeatsLeft;
        }
    }

    const Behaviour &m_does;
    int m_fd;
    bool m_isOpen = false;
    std::string m_unsent;
    std::size_t m_offset = 0;
    std::size_t m_repeatsLeft = 0;
};

/// The value of \a field in the status file of the process, in KiB.
long statusKiB(pid_t process, const std::string &field)
{
    std::ifstream in("/proc/" + std::to_string(process) + "/status");
    std::string word;
    long size = 0;
    while (in >> word && word != field) {
    }
    in >> size;
    return size;
}

std::size_t openDescriptors(pid_t process)
{
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(process) + "/fd",
                                                      error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

/// Lets the crowd send and read until nothing moves any more. Returns the largest number of
/// descriptors of \a process meanwhile.
std::size_t runCrowd(std::vector<std::unique_ptr<Misuser>> &crowd, bool isSlow, pid_t process)
{
    // Both only end the crowd. A node that is still reading then has the same bounds.
    constexpr milliseconds QuietTime(1500);
    constexpr seconds Limit(20);
    const auto start = Clock::now();
    auto lastMoved = start;
    std::size_t descriptors = 0;
    auto nextSample = start;
    while (Clock::now() - lastMoved < QuietTime && Clock::now() - start < Limit) {
        for (auto &caller : crowd) {
            if (caller->proceed())
                lastMoved = Clock::now();
        }
        if (Clock::now() >= nextSample) {
            descriptors = std::max(descriptors, openDescriptors(process));
            nextSample = Clock::now() + milliseconds(50);
        }
        const bool isIdle = Clock::now() - lastMoved > milliseconds(5);
        if (isSlow || isIdle)
            std::this_thread::sleep_for(milliseconds(isSlow ? 50 : 2));
    }
    return descriptors;
}

FleetOptions fleetWithLowLimits()
{
    FleetOptions options;
    options.nodes = 1;
    options.slots = static_cast<int>(MaxConnections);
    options.onPlatform = true;
    options.limits = {"max-body-bytes: " + std::to_string(MaxBodyBytes),
                      "max-header-bytes: " + std::to_string(MaxHeadBytes),
                      "memory-bytes: " + std::to_string(MemoryBytes),
                      "max-connections: " + std::to_string(MaxConnections)};
    return options;
}

} // namespace

// The kinds of misuse at each place. Each case names the failure it guards against.
BOOST_DATA_TEST_CASE(misuse_stays_within_the_bounds, data::make(Cases) * data::make(Places), sample,
                     place)
{
    Fleet fleet(fleetWithLowLimits());
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    auto &node = fleet.nodeProcess(0);
    const auto idleKiB = statusKiB(node.id(), "VmRSS:");
    const auto port = place == Place::Readiness ? fleet.node(0).readiness : fleet.node(0).caller;
    const auto does = behaviour(sample.misuse, place);
    std::size_t descriptors = 0;
    {
        std::vector<std::unique_ptr<Misuser>> crowd;
        while (crowd.size() < does.connections)
            crowd.push_back(std::make_unique<Misuser>(port, does));
        const bool isSlow =
                sample.misuse == Misuse::SlowSender || sample.misuse == Misuse::SlowReader;
        descriptors = runCrowd(crowd, isSlow, node.id());
    }
    const auto peakKiB = statusKiB(node.id(), "VmHWM:");
    std::cout << sample << " at " << place << ": idle " << idleKiB << " KiB, peak " << peakKiB
              << " KiB, " << descriptors << " descriptors\n";
    BOOST_TEST(!node.waitForExit(milliseconds(0)).has_value());
    BOOST_TEST(peakKiB > 0);
    BOOST_TEST(peakKiB < MaxMemoryKiB);
    BOOST_TEST(descriptors < MaxDescriptors);
    // Freed memory must return to the system; the time limit only guards against a hang.
    BOOST_TEST(waitFor([&] { return statusKiB(node.id(), "VmRSS:") < idleKiB + MaxKeptKiB; }));
    BOOST_TEST(waitFor([&fleet] {
        return call(fleet.node(0).caller, "GET", "/read/after?work-ms=1", {"X-Request-Id: after"})
                       .status
               == 200;
    }));
}

// Guards against uploads within the limits that together exceed the memory of the host, and against
// one that is not served although it is alone.
BOOST_DATA_TEST_CASE(large_uploads_stay_within_the_memory, data::make({1, 8}), uploads)
{
    constexpr std::size_t UploadBytes = 60u << 20;
    constexpr long MaxUploadKiB = 200 << 10;
    FleetOptions options;
    options.nodes = 1;
    options.onPlatform = true;
    options.limits = {"max-body-bytes: 67108864"};
    Fleet fleet(options);
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    auto &node = fleet.nodeProcess(0);
    const auto idleKiB = statusKiB(node.id(), "VmRSS:");
    const std::string body(UploadBytes, 'x');
    std::vector<std::future<Response>> calls;
    for (int i = 0; i < uploads; ++i) {
        calls.push_back(std::async(std::launch::async, [&] {
            return call(fleet.node(0).caller, "POST", "/write/x?work-ms=1",
                        {"X-Request-Id: upload"}, body);
        }));
    }
    int served = 0;
    for (auto &sent : calls)
        served += sent.get().status == 200 ? 1 : 0;
    const auto peakKiB = statusKiB(node.id(), "VmHWM:");
    std::cout << uploads << " uploads: " << served << " served, idle " << idleKiB << " KiB, peak "
              << peakKiB << " KiB\n";
    BOOST_TEST(!node.waitForExit(milliseconds(0)).has_value());
    BOOST_TEST(peakKiB < MaxUploadKiB);
    BOOST_TEST((uploads > 1 || served == 1));
    BOOST_TEST(waitFor([&] { return statusKiB(node.id(), "VmRSS:") < idleKiB + MaxKeptKiB; }));
}

// Guards against an unread response that looks complete after its endpoint has ended.
BOOST_AUTO_TEST_CASE(unread_response_that_is_cut_does_not_look_complete)
{
    constexpr std::size_t DownloadBytes = 20u << 20;
    Fleet fleet(fleetWithLowLimits());
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    const Behaviour does {"GET /long/x?work-ms=1&bytes=" + std::to_string(DownloadBytes)
                          + " HTTP/1.1\r\nHost: svc.example\r\nX-Request-Id: slow\r\n\r\n"};
    Misuser caller(fleet.node(0).caller, does);
    BOOST_REQUIRE(waitFor([&] {
        caller.proceed();
        return caller.hasInput();
    }));
    fleet.backendProcess(0).signal(SIGKILL);
    std::string received;
    BOOST_TEST(waitFor([&] { return !caller.read(received); }));
    BOOST_TEST(received.starts_with("HTTP/1.1 200"));
    BOOST_TEST(received.size() < DownloadBytes);
    BOOST_TEST(!parseResponse(received, false, true).isComplete);
}
