// RPC between nodes over HTTP/2 (nghttp2 on libevent). Requests and responses each consist of one
// length-prefixed envelope and a payload.
#pragma once

#include "berylspur/core/address.h"
#include "berylspur/core/clock.h"
#include "berylspur/core/ids.h"
#include "berylspur/core/result.h"
#include "berylspur/core/shared_body.h"

#include <cstddef>
#include <cstdint>
#include <event2/event.h>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace berylspur {

/// Version of the protobuf messages in schema/. Peers with a different version are rejected.
inline constexpr std::uint32_t SchemaVersion = 1;
/// Initial HTTP/2 flow-control window of a stream.
inline constexpr std::size_t StreamWindowBytes = 64u << 10;
/// Interval at which a client sends PING while exchanges are open. The server responds with a tick:
/// a PING of its own whose opaque data is a sequence number.
inline constexpr Duration PingInterval = std::chrono::milliseconds(250);
/// A connection without a completed round trip in this time sends no new exchange until one
/// completes. It fails if a PING stays unanswered for this long and no response bytes arrive.
inline constexpr Duration LivenessTimeout = std::chrono::seconds(1);

enum class PeerMethod {
    Hello,
    Dispatch,
    Offer,
    Ask,
    Claim,
    Quota,
    Sync,
    Config,
    KeyHandover,
    CustomerQuota
};

/// Identity that a node presents in /hello.
struct PeerIdentity
{
    std::string fleet;
    std::string node;
    Incarnation incarnation = 0;
};

/// Server side of one stream. The handler holds it and sends the response through it. All calls are
/// made on the event loop's thread.
class PeerRequest
{
public:
    virtual ~PeerRequest() = default;
    virtual PeerMethod method() const = 0;
    virtual const std::string &envelope() const = 0;
    /// Payload that follows the envelope; complete when the handler is called.
    virtual SharedBody takePayload() = 0;
    /// Identity that the peer presented in /hello.
    virtual const PeerIdentity &peer() const = 0;
    /// Upper bound on the transit time of a message that echoes \a tick, which the peer held for
    /// \a held before sending; Duration::max() if \a tick is not one of the most recent ticks sent
    /// on this connection.
    virtual Duration maxTransitTime(std::uint64_t tick, Duration held) const = 0;

    /// Sends the response envelope. Must be called exactly once, before write().
    virtual void reply(std::string envelope) = 0;
    /// Appends \a bytes to the response payload.
    virtual void write(std::string_view bytes) = 0;
    /// Bytes accepted by write() and not yet sent to the peer.
    virtual std::size_t pendingBytes() const = 0;
    /// Sets a callback for when pendingBytes() falls below half a stream window.
    virtual void onDrained(std::function<void()> callback) = 0;
    /// Sets a callback that is invoked once if the stream is reset or the connection is closed
    /// before finish().
    virtual void onClosed(std::function<void()> callback) = 0;
    /// Completes the response.
    virtual void finish() = 0;
    /// Resets the stream, so that the peer sees a truncated response.
    virtual void abort() = 0;
};

/// Accepts connections from peers and passes their requests to the handler.
class PeerServer
{
public:
    using Handler = std::function<void(std::shared_ptr<PeerRequest>)>;

    virtual ~PeerServer() = default;
    virtual std::size_t connections() const = 0;
    /// Number of connections with response bytes that are not yet written to the socket.
    virtual std::size_t connectionsWithUnsentOutput() const = 0;
    /// Sends GOAWAY on all connections, so that peers open no new streams.
    virtual void drain() = 0;

    /// Listens on \a address. Fails with AddressUnusable.
    /// \a memory counts the payloads and the responses that peers have not read; null: they are
    /// not counted.
    static Result<std::unique_ptr<PeerServer>> listen(event_base *base, const Address &address,
                                                      PeerIdentity identity, Handler handler,
                                                      MemoryBudget *memory = nullptr);
};

/// Callbacks of one client stream. None is called after ended().
struct ExchangeHandler
{
    /// The response envelope arrived.
    std::function<void(std::string envelope)> reply;
    /// Response payload bytes arrived. Call PeerExchange::consume() once they have left this node.
    std::function<void(std::string_view bytes)> data;
    /// The stream ended: Ok for a complete response; AnswerTruncated, PeerConnectionLost,
    /// PeerSilent, PeerUnreachable, PeerWrongFleet, PeerUnknownSchema or PeerMalformedMessage
    /// otherwise.
    std::function<void(ErrorCode code)> ended;
};

/// Client side of one stream.
class PeerExchange
{
public:
    virtual ~PeerExchange() = default;
    /// Returns \a bytes to the flow-control window.
    virtual void consume(std::size_t bytes) = 0;
    /// Resets the stream; no callback is called afterwards.
    virtual void cancel() = 0;
    /// True once any byte of the request may have reached the peer.
    virtual bool wasSent() const = 0;
};

/// One connection to a peer, opened by the first exchange. A failed channel is not reopened; create
/// a new one. Destroying a channel ends its exchanges without callbacks.
class PeerChannel
{
public:
    virtual ~PeerChannel() = default;

    /// Starts an exchange. It is queued until the connection is live (see isLive()) and then sent;
    /// \a envelope is called at that time with the last tick received on this connection (see
    /// timeSinceLastTick()).
    virtual std::shared_ptr<PeerExchange>
    start(PeerMethod method, const std::function<std::string(std::uint64_t lastTick)> &envelope,
          SharedBody payload, ExchangeHandler handler) = 0;
    /// False once the connection has failed, timed out or used up its stream ids; create a new
    /// channel then.
    virtual bool isUsable() const = 0;
    /// True if a round trip that started within the last LivenessTimeout has completed.
    virtual bool isLive() const = 0;
    /// Time since the last tick was received.
    virtual Duration timeSinceLastTick() const = 0;
    /// Incarnation that the peer presented in its /hello reply; 0 before that reply.
    virtual Incarnation peerIncarnation() const = 0;
    virtual std::size_t exchanges() const = 0;
    /// Sets a callback that is invoked once when the channel fails.
    virtual void onFailed(std::function<void(ErrorCode)> callback) = 0;

    static std::unique_ptr<PeerChannel> connect(event_base *base, const Address &peer,
                                                PeerIdentity identity);
};

} // namespace berylspur
