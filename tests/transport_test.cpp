// Peer connections over loopback: framing, rejected peers, truncation, timeouts and the bound on
// transit time.
#define BOOST_TEST_MODULE transport
#include "berylspur/core/ids.h"
#include "berylspur/transport/peer.h"
#include "berylspur/transport/peer_pool.h"
#include "loop.h"
#include "slow_link.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <event2/listener.h>
#include <memory>
#include <ostream>
#include <utility>
#include <vector>

using namespace berylspur;

namespace {

/// Collects the callbacks of one exchange.
struct ReceivedResponse
{
    std::string envelope;
    std::string payload;
    std::optional<ErrorCode> ended;

    ExchangeHandler handler(PeerExchange *const *exchange = nullptr)
    {
        ExchangeHandler result;
        result.reply = [this](std::string text) { envelope = std::move(text); };
        result.data = [this, exchange](std::string_view bytes) {
            payload.append(bytes);
            if (exchange)
                (*exchange)->consume(bytes.size());
        };
        result.ended = [this](ErrorCode code) { ended = code; };
        return result;
    }
};

std::string emptyEnvelope(std::uint64_t)
{
    return "ask";
}

const PeerIdentity ServerIdentity {"fleet", "server", 7};
const PeerIdentity ClientIdentity {"fleet", "client", 8};

} // namespace

// Guards against responses that lose bytes or are reported as ended before they are complete.
BOOST_DATA_TEST_CASE(response_arrives_complete,
                     boost::unit_test::data::make({0, 1, 4096, 70000, 3000000}), size)
{
    Loop loop;
    const auto address = freeAddress();
    const std::string body(static_cast<std::size_t>(size), 'x');
    auto server = PeerServer::listen(loop.base, address, ServerIdentity,
                                     [&](const std::shared_ptr<PeerRequest> &request) {
                                         request->reply("reply to " + request->envelope());
                                         request->write(body);
                                         request->finish();
                                     });
    BOOST_REQUIRE(server.has_value());
    const auto channel = PeerChannel::connect(loop.base, address, ClientIdentity);
    ReceivedResponse response;
    PeerExchange *pending = nullptr;
    const auto exchange =
            channel->start(PeerMethod::Ask, emptyEnvelope, "", response.handler(&pending));
    pending = exchange.get();
    BOOST_TEST(loop.runUntil([&] { return response.ended.has_value(); }));
    BOOST_TEST((response.ended == ErrorCode::Ok));
    BOOST_TEST(response.envelope == "reply to ask");
    BOOST_TEST(response.payload.size() == body.size());
    BOOST_TEST(channel->peerIncarnation() == 7U);
}

// Guards against a planned stop that takes a response for sent while flow control still holds its
// end back.
BOOST_AUTO_TEST_CASE(unsent_output_is_reported_until_the_peer_consumes_it)
{
    Loop loop;
    const auto address = freeAddress();
    const std::string body(2 * StreamWindowBytes, 'x');
    auto server = PeerServer::listen(loop.base, address, ServerIdentity,
                                     [&](const std::shared_ptr<PeerRequest> &request) {
                                         request->reply("reply");
                                         request->write(body);
                                         request->finish();
                                     });
    BOOST_REQUIRE(server.has_value());
    const auto channel = PeerChannel::connect(loop.base, address, ClientIdentity);
    ReceivedResponse response;
    const auto exchange =
            channel->start(PeerMethod::Ask, emptyEnvelope, "", response.handler(nullptr));
    const auto hasReceivedWindow = [&] {
        return response.payload.size() + StreamWindowBytes / 2 > StreamWindowBytes;
    };
    BOOST_REQUIRE(loop.runUntil(hasReceivedWindow));
    BOOST_TEST(server.value()->connectionsWithUnsentOutput() == 1U);
    std::size_t consumed = 0;
    const auto hasConsumedAll = [&] {
        exchange->consume(response.payload.size()
                          - std::exchange(consumed, response.payload.size()));
        return response.ended.has_value();
    };
    BOOST_TEST(loop.runUntil(hasConsumedAll));
    BOOST_TEST(server.value()->connectionsWithUnsentOutput() == 0U);
}

// Guards against a response that is cut although its bytes arrive: on a slow link the
// acknowledgement of a PING waits behind them.
BOOST_AUTO_TEST_CASE(slow_response_does_not_make_a_connection_silent)
{
    constexpr std::size_t BytesPerSecond = 40000;
    constexpr std::size_t BodyBytes = 160000;
    Loop loop;
    const auto address = freeAddress();
    auto server = PeerServer::listen(loop.base, address, ServerIdentity,
                                     [&](const std::shared_ptr<PeerRequest> &request) {
                                         request->reply("reply");
                                         request->write(std::string(BodyBytes, 'x'));
                                         request->finish();
                                     });
    BOOST_REQUIRE(server.has_value());
    const SlowLink link(loop.base, address, BytesPerSecond);
    const auto channel = PeerChannel::connect(loop.base, link.address(), ClientIdentity);
    ReceivedResponse response;
    PeerExchange *pending = nullptr;
    const auto exchange =
            channel->start(PeerMethod::Ask, emptyEnvelope, "", response.handler(&pending));
    pending = exchange.get();
    BOOST_TEST(loop.runUntil([&] { return response.ended.has_value(); }));
    BOOST_TEST((response.ended == ErrorCode::Ok));
    BOOST_TEST(response.payload.size() == BodyBytes);
}

// Guards against a truncated response that is reported as complete.
BOOST_AUTO_TEST_CASE(aborted_response_is_reported_as_truncated)
{
    Loop loop;
    const auto address = freeAddress();
    auto server = PeerServer::listen(loop.base, address, ServerIdentity,
                                     [&](const std::shared_ptr<PeerRequest> &request) {
                                         request->reply("part");
                                         request->write("some");
                                         request->abort();
                                     });
    const auto channel = PeerChannel::connect(loop.base, address, ClientIdentity);
    ReceivedResponse response;
    channel->start(PeerMethod::Ask, emptyEnvelope, "", response.handler());
    BOOST_TEST(loop.runUntil([&] { return response.ended.has_value(); }));
    BOOST_TEST((response.ended == ErrorCode::AnswerTruncated));
}

// Guards against serving a node of another fleet.
BOOST_AUTO_TEST_CASE(peer_of_another_fleet_is_refused)
{
    Loop loop;
    const auto address = freeAddress();
    int handled = 0;
    auto server = PeerServer::listen(loop.base, address, ServerIdentity,
                                     [&](const std::shared_ptr<PeerRequest> &) { ++handled; });
    const auto channel = PeerChannel::connect(loop.base, address, {"other", "client", 8});
    ReceivedResponse response;
    const auto exchange =
            channel->start(PeerMethod::Dispatch, emptyEnvelope, "", response.handler());
    BOOST_TEST(loop.runUntil([&] { return response.ended.has_value(); }));
    BOOST_TEST((response.ended == ErrorCode::PeerWrongFleet));
    BOOST_TEST(!exchange->wasSent());
    BOOST_TEST(handled == 0);
    BOOST_TEST(!channel->isUsable());
}

// Guards against reporting an unknown outcome for a request that was never sent.
BOOST_AUTO_TEST_CASE(unreachable_peer_reports_that_nothing_was_sent)
{
    Loop loop;
    const auto channel = PeerChannel::connect(loop.base, freeAddress(), ClientIdentity);
    ReceivedResponse response;
    const auto exchange =
            channel->start(PeerMethod::Dispatch, emptyEnvelope, "", response.handler());
    BOOST_TEST(loop.runUntil([&] { return response.ended.has_value(); }));
    BOOST_TEST((response.ended == ErrorCode::PeerUnreachable));
    BOOST_TEST(!exchange->wasSent());
}

// Guards against an exchange that never ends because the peer accepts the connection and never
// responds.
BOOST_AUTO_TEST_CASE(unresponsive_peer_ends_the_exchange)
{
    Loop loop;
    const auto address = freeAddress();
    const auto socket = address.toSockaddr();
    auto *listener = evconnlistener_new_bind(
            loop.base, [](evconnlistener *, evutil_socket_t, sockaddr *, int, void *) {}, nullptr,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 8,
            reinterpret_cast<const sockaddr *>(&socket), sizeof socket);
    const auto channel = PeerChannel::connect(loop.base, address, ClientIdentity);
    ReceivedResponse response;
    const auto exchange =
            channel->start(PeerMethod::Dispatch, emptyEnvelope, "", response.handler());
    BOOST_TEST(loop.runUntil([&] { return response.ended.has_value(); }));
    BOOST_TEST((response.ended == ErrorCode::PeerUnreachable));
    BOOST_TEST(!exchange->wasSent());
    evconnlistener_free(listener);
}

// Guards against an owner that executes a request which it read long after it was sent, for example
// because the process was paused.
BOOST_AUTO_TEST_CASE(known_tick_bounds_the_transit_time)
{
    Loop loop;
    const auto address = freeAddress();
    Duration fresh = Duration::max();
    Duration unknownTick {};
    auto server = PeerServer::listen(
            loop.base, address, ServerIdentity, [&](const std::shared_ptr<PeerRequest> &request) {
                const auto tick = std::stoull(request->envelope());
                fresh = request->maxTransitTime(tick, Duration::zero());
                unknownTick = request->maxTransitTime(tick + 1000, Duration::zero());
                request->reply("");
                request->finish();
            });
    const auto channel = PeerChannel::connect(loop.base, address, ClientIdentity);
    ReceivedResponse response;
    channel->start(
            PeerMethod::Dispatch, [](std::uint64_t tick) { return std::to_string(tick); }, "",
            response.handler());
    BOOST_TEST(loop.runUntil([&] { return response.ended.has_value(); }));
    BOOST_TEST((fresh < std::chrono::seconds(20)));
    BOOST_TEST((unknownTick == Duration::max()));
}

// Guards against a use after free when a channel is replaced in its own callback.
BOOST_AUTO_TEST_CASE(pool_replaces_a_failed_channel_inside_its_callback)
{
    Loop loop;
    PeerPool pool(loop.base, ClientIdentity);
    const auto address = freeAddress();
    int failures = 0;
    std::function<void()> attempt = [&] {
        ExchangeHandler handler;
        handler.ended = [&](ErrorCode) {
            if (++failures < 3)
                attempt();
        };
        pool.channel(address, TrafficClass::Short)
                .start(PeerMethod::Ask, emptyEnvelope, "", std::move(handler));
    };
    attempt();
    BOOST_TEST(loop.runUntil([&] { return failures == 3; }));
    BOOST_TEST(pool.size() == 1U);
}

struct PayloadCase
{
    const char *guards; ///< failure that the case guards against
    std::size_t bytes;
    PeerIdentity client;
    bool isShared; ///< both ends hold the same bytes
};

std::ostream &operator<<(std::ostream &out, const PayloadCase &sample)
{
    return out << sample.guards;
}

const std::vector<PayloadCase> Payloads {
        {"a small payload is lost", 100, ClientIdentity, false},
        {"a large payload is cut", 3000000, ClientIdentity, false},
        {"a large payload within a process is copied", 3000000, ServerIdentity, true},
        {"a small payload within a process is lost", 100, ServerIdentity, false},
        {"another incarnation of the node is taken for the same process",
         3000000,
         {"fleet", "server", 6},
         false},
};

// Guards against payloads that are lost, cut, or held more often than needed. Each case names the
// failure it guards against.
BOOST_DATA_TEST_CASE(payload_arrives_complete, boost::unit_test::data::make(Payloads), sample)
{
    Loop loop;
    MemoryBudget memory(8u << 20);
    const auto address = freeAddress();
    SharedBody received;
    auto server = PeerServer::listen(
            loop.base, address, ServerIdentity,
            [&](const std::shared_ptr<PeerRequest> &request) {
                received = request->takePayload();
                request->reply("done");
                request->finish();
            },
            &memory);
    BOOST_REQUIRE(server.has_value());
    const auto channel = PeerChannel::connect(loop.base, address, sample.client);
    const SharedBody sent(std::string(sample.bytes, 'x'));
    ReceivedResponse response;
    const auto exchange = channel->start(PeerMethod::Ask, emptyEnvelope, sent, response.handler());
    BOOST_TEST(loop.runUntil([&] { return response.ended.has_value(); }));
    BOOST_TEST((response.ended == ErrorCode::Ok));
    BOOST_TEST((received.bytes() == sent.bytes()));
    BOOST_TEST((received.bytes().data() == sent.bytes().data()) == sample.isShared);
    BOOST_TEST(memory.used() == (sample.isShared ? 0U : memory.used(MemoryUse::PeerBodies)));
    received = {};
    BOOST_TEST(memory.used() == 0U);
}

// Guards against a payload that takes memory which the node does not have, and against a refusal
// that leaves open whether the request has run.
BOOST_AUTO_TEST_CASE(payload_over_the_memory_is_refused_before_it_is_handled)
{
    Loop loop;
    MemoryBudget memory(1u << 20);
    const auto address = freeAddress();
    int handled = 0;
    auto server = PeerServer::listen(
            loop.base, address, ServerIdentity,
            [&](const std::shared_ptr<PeerRequest> &) { ++handled; }, &memory);
    BOOST_REQUIRE(server.has_value());
    const auto channel = PeerChannel::connect(loop.base, address, ClientIdentity);
    ReceivedResponse response;
    const auto exchange = channel->start(PeerMethod::Ask, emptyEnvelope, std::string(2u << 20, 'x'),
                                         response.handler());
    BOOST_TEST(loop.runUntil([&] { return response.ended.has_value(); }));
    BOOST_TEST((response.ended == ErrorCode::NotRunMemory));
    BOOST_TEST(handled == 0);
    BOOST_TEST(memory.used() == 0U);
}

// Guards against responses that a peer does not read and that are held when their memory is needed,
// and against such a response that looks complete.
BOOST_AUTO_TEST_CASE(unread_response_is_cut_when_memory_is_needed)
{
    Loop loop;
    MemoryBudget memory(1u << 20);
    const auto address = freeAddress();
    auto server = PeerServer::listen(
            loop.base, address, ServerIdentity,
            [&](const std::shared_ptr<PeerRequest> &request) {
                request->reply("reply");
                request->write(std::string(3u << 20, 'x'));
                request->finish();
            },
            &memory);
    BOOST_REQUIRE(server.has_value());
    const auto channel = PeerChannel::connect(loop.base, address, ClientIdentity);
    ReceivedResponse response;
    const auto exchange =
            channel->start(PeerMethod::Ask, emptyEnvelope, "", response.handler(nullptr));
    BOOST_REQUIRE(loop.runUntil([&] { return !response.payload.empty(); }));
    BOOST_TEST(memory.used(MemoryUse::Responses) > memory.limit());
    memory.relieve(BootClock::now());
    BOOST_TEST(loop.runUntil([&] { return response.ended.has_value(); }));
    BOOST_TEST((response.ended == ErrorCode::AnswerTruncated));
    BOOST_TEST(memory.used() == 0U);
}
