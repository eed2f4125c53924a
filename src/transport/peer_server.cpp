// Server side of peer connections.
#include "berylspur/core/log.h"
#include "berylspur/peer.pb.h"
#include "berylspur/transport/peer.h"
#include "envelope.h"
#include "http2_connection.h"
#include "local_payloads.h"
#include "peer_names.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace berylspur {

namespace {

constexpr std::size_t MaxPayloadBytes = 64u << 20;
// Read timeout. A client with open exchanges sends a PING every PingInterval, so its connection is
// dead if nothing arrives for this long.
constexpr timeval ClientReadTimeout {5, 0};
// Clients close idle connections after 60 s. If one is still open after twice that time (24 read
// timeouts), its client is gone and the server drops it.
constexpr std::uint32_t MaxIdleTimeouts = 24;

class ServerConnection;

/// A stream. The handler may hold it longer than the connection exists.
class ServerStream : public PeerRequest
{
public:
    ServerStream(std::weak_ptr<ServerConnection> connection, std::int32_t id)
        : m_connection(std::move(connection)), m_id(id)
    {
    }

    PeerMethod method() const override { return m_method; }
    const std::string &envelope() const override { return m_reader.envelope(); }
    SharedBody takePayload() override
    {
        if (!m_localPayload.empty())
            return std::exchange(m_localPayload, {});
        return {std::move(m_payload), std::move(m_memory)};
    }
    const PeerIdentity &peer() const override { return m_peer; }
    Duration maxTransitTime(std::uint64_t tick, Duration held) const override;
    void reply(std::string envelope) override;
    void write(std::string_view bytes) override;
    std::size_t pendingBytes() const override;
    void onDrained(std::function<void()> callback) override { m_onDrained = std::move(callback); }
    void onClosed(std::function<void()> callback) override { m_onClosed = std::move(callback); }
    void finish() override;
    void abort() override;

private:
    friend class ServerConnection;

    void notifyClosed()
    {
        if (auto callback = std::exchange(m_onClosed, nullptr); callback && !m_finished)
            callback();
    }

    std::weak_ptr<ServerConnection> m_connection;
    std::int32_t m_id;
    PeerMethod m_method = PeerMethod::Hello;
    bool m_methodKnown = false;
    bool m_finished = false;
    EnvelopeReader m_reader;
    std::string m_payload;
    MemoryReservation m_memory; // of m_payload
    std::size_t m_payloadSize = 0; // as announced by the client; 0: not announced
    std::uint64_t m_localNumber = 0; // 0: the payload comes with the stream
    SharedBody m_localPayload;
    PeerIdentity m_peer;
    std::function<void()> m_onDrained;
    std::function<void()> m_onClosed;
};

class ServerImpl;

class ServerConnection : public Http2Listener, public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(ServerImpl *server, event_base *base, bufferevent *buffer,
                     MemoryBudget *memory);

    Http2Connection &http() { return m_http; }
    Duration maxTransitTime(std::uint64_t tick, Duration held) const;
    void sendTick();

    void onStreamOpened(std::int32_t stream) override;
    void onHeader(std::int32_t stream, std::string_view name, std::string_view value) override;
    void onData(std::int32_t stream, std::string_view bytes) override;
    void onEndOfStream(std::int32_t stream) override;
    void onStreamClosed(std::int32_t stream, std::uint32_t error) override;
    void onPing(std::uint64_t opaque, bool acknowledgement) override;
    void onDrained(std::int32_t stream) override;
    void onConnected() override { }
    bool onReadTimeout() override;
    void onConnectionLost() override;

private:
    // Number of ticks whose send times are kept for maxTransitTime(). A client echoes the last tick
    // it received.
    static constexpr std::size_t TickHistorySize = 64;
    // A reply is accompanied by a tick unless one was sent within this time.
    static constexpr Duration MinTickInterval = std::chrono::milliseconds(100);

    friend class ServerStream;

    void handleHello(ServerStream &stream);
    /// Reserves memory for the announced payload. Resets the stream if there is none.
    void reservePayload(ServerStream &stream);
    void appendPayload(ServerStream &stream, std::string_view bytes);
    /// Finds a payload that the client of this process offers. Returns false if it was withdrawn.
    bool takeLocalPayload(ServerStream &stream) const;
    ErrorCode checkHello(const schema::Hello &hello) const;

    ServerImpl *m_server;
    MemoryBudget *m_memory;
    Http2Connection m_http;
    std::unordered_map<std::int32_t, std::shared_ptr<ServerStream>> m_streams;
    PeerIdentity m_peer; // empty until an accepted /hello
    bool m_accepted = false;
    std::uint32_t m_idleTimeouts = 0; // consecutive read timeouts without an open stream
    std::uint64_t m_lastTick = 0;
    std::array<TimePoint, TickHistorySize>
            m_tickSentAt {}; // indexed by tick modulo TickHistorySize
};

class ServerImpl : public PeerServer
{
public:
    ServerImpl(event_base *base, PeerIdentity identity, Handler handler, MemoryBudget *memory)
        : m_base(base), m_identity(std::move(identity)), m_handler(std::move(handler)),
          m_memory(memory)
    {
    }
    ~ServerImpl() override
    {
        if (m_listener)
            evconnlistener_free(m_listener);
    }

    Result<void> open(const Address &address)
    {
        const auto socket = address.toSockaddr();
        m_listener = evconnlistener_new_bind(
                m_base, onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 1024,
                reinterpret_cast<const sockaddr *>(&socket), sizeof socket);
        if (!m_listener)
            return failure(ErrorCode::AddressUnusable, address.toString());
        return success();
    }

    std::size_t connections() const override { return m_connections.size(); }
    std::size_t connectionsWithUnsentOutput() const override
    {
        return static_cast<std::size_t>(std::count_if(
                m_connections.begin(), m_connections.end(),
                [](const auto &connection) { return connection->http().hasUnsentOutput(); }));
    }
    void drain() override
    {
        for (const auto &connection : m_connections)
            connection->http().goAway();
    }

    const PeerIdentity &identity() const { return m_identity; }
    const Handler &handler() const { return m_handler; }
    void remove(const std::shared_ptr<ServerConnection> &connection)
    {
        m_connections.erase(connection);
    }

private:
    static void onAccept(evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *self)
    {
        auto *server = static_cast<ServerImpl *>(self);
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto *buffer = bufferevent_socket_new(server->m_base, socket, BEV_OPT_CLOSE_ON_FREE);
        server->m_connections.insert(std::make_shared<ServerConnection>(server, server->m_base,
                                                                        buffer, server->m_memory));
    }

    event_base *m_base;
    PeerIdentity m_identity;
    Handler m_handler;
    MemoryBudget *m_memory;
    evconnlistener *m_listener = nullptr;
    std::unordered_set<std::shared_ptr<ServerConnection>> m_connections;
};

Duration ServerStream::maxTransitTime(std::uint64_t tick, Duration held) const
{
    const auto connection = m_connection.lock();
    return connection ? connection->maxTransitTime(tick, held) : Duration::max();
}

void ServerStream::reply(std::string envelope)
{
    const auto connection = m_connection.lock();
    if (!connection)
        return;
    // Control messages are bounded by themselves, and must not be cut for callers.
    const bool isCounted = m_method == PeerMethod::Dispatch || m_method == PeerMethod::Ask;
    connection->http().respond(m_id, isCounted);
    connection->http().write(m_id, frameEnvelope(envelope));
    connection->sendTick();
}

void ServerStream::write(std::string_view bytes)
{
    if (const auto connection = m_connection.lock())
        connection->http().write(m_id, bytes);
}

std::size_t ServerStream::pendingBytes() const
{
    const auto connection = m_connection.lock();
    return connection ? connection->http().pendingBytes(m_id) : 0;
}

void ServerStream::finish()
{
    m_finished = true;
    if (const auto connection = m_connection.lock())
        connection->http().finish(m_id);
}

void ServerStream::abort()
{
    m_finished = true;
    if (const auto connection = m_connection.lock())
        connection->http().reset(m_id);
}

ServerConnection::ServerConnection(ServerImpl *server, event_base *base, bufferevent *buffer,
                                   MemoryBudget *memory)
    : m_server(server), m_memory(memory), m_http(base, buffer, Http2Role::Server, this, memory)
{
    bufferevent_set_timeouts(buffer, &ClientReadTimeout, nullptr);
}

Duration ServerConnection::maxTransitTime(std::uint64_t tick, Duration held) const
{
    if (tick == 0 || tick > m_lastTick || tick + TickHistorySize <= m_lastTick)
        return Duration::max();
    const auto elapsed = BootClock::now() - m_tickSentAt[tick % TickHistorySize];
    return std::max(elapsed - held, Duration::zero());
}

void ServerConnection::sendTick()
{
    const auto now = BootClock::now();
    if (m_lastTick != 0 && now - m_tickSentAt[m_lastTick % TickHistorySize] < MinTickInterval)
        return;
    ++m_lastTick;
    m_tickSentAt[m_lastTick % TickHistorySize] = now;
    m_http.ping(m_lastTick);
}

void ServerConnection::onStreamOpened(std::int32_t stream)
{
    m_idleTimeouts = 0;
    auto request = std::make_shared<ServerStream>(weak_from_this(), stream);
    request->m_peer = m_peer;
    m_streams.emplace(stream, std::move(request));
}

void ServerConnection::onHeader(std::int32_t stream, std::string_view name, std::string_view value)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end())
        return;
    auto &request = *found->second;
    const auto parse = [value](auto &number) {
        std::from_chars(value.data(), value.data() + value.size(), number);
    };
    if (name == PayloadSizeHeader) {
        parse(request.m_payloadSize);
        reservePayload(request);
    } else if (name == LocalPayloadHeader) {
        parse(request.m_localNumber);
    } else if (name == ":path") {
        if (const auto method = enumValue(PeerMethodPaths, value)) {
            request.m_method = *method;
            request.m_methodKnown = true;
        }
    }
}

void ServerConnection::reservePayload(ServerStream &stream)
{
    const auto size = stream.m_payloadSize;
    if (size > MaxPayloadBytes || (m_memory && !m_memory->fits(size))) {
        if (m_memory)
            m_memory->countRefusal();
        stream.m_payloadSize = 0;
        m_http.reset(stream.m_id, NGHTTP2_ENHANCE_YOUR_CALM);
        return;
    }
    stream.m_memory = MemoryReservation(m_memory, MemoryUse::PeerBodies, size);
}

void ServerConnection::appendPayload(ServerStream &stream, std::string_view bytes)
{
    auto &payload = stream.m_payload;
    if (payload.empty() && stream.m_payloadSize > 0)
        payload.reserve(stream.m_payloadSize);
    payload.append(bytes);
    if (payload.size() <= stream.m_payloadSize)
        return;
    stream.m_payloadSize = 0;
    stream.m_memory = MemoryReservation(m_memory, MemoryUse::PeerBodies, payload.capacity());
    if (payload.size() > MaxPayloadBytes)
        m_http.reset(stream.m_id);
}

bool ServerConnection::takeLocalPayload(ServerStream &stream) const
{
    // Numbers of other processes mean nothing here.
    const auto &own = m_server->identity();
    if (m_peer.node == own.node && m_peer.incarnation == own.incarnation)
        stream.m_localPayload = LocalPayloads::instance().find(stream.m_localNumber);
    return !stream.m_localPayload.empty();
}

void ServerConnection::onData(std::int32_t stream, std::string_view bytes)
{
    m_http.consume(stream, bytes.size());
    const auto found = m_streams.find(stream);
    if (found == m_streams.end())
        return;
    auto &request = *found->second;
    if (const auto payload = request.m_reader.feed(bytes); !payload.empty())
        appendPayload(request, payload);
}

void ServerConnection::onEndOfStream(std::int32_t stream)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end())
        return;
    const auto request = found->second;
    const bool complete = request->m_reader.state() == EnvelopeReader::State::Complete;
    const bool allowed = request->m_methodKnown && complete
                         && (m_accepted || request->m_method == PeerMethod::Hello);
    if (!allowed || !m_server) {
        m_http.reset(stream);
        return;
    }
    if (request->m_localNumber != 0 && !takeLocalPayload(*request)) {
        // The client ended the exchange. Without its payload the request must not run.
        m_http.reset(stream, NGHTTP2_REFUSED_STREAM);
        return;
    }
    if (request->m_method == PeerMethod::Hello)
        handleHello(*request);
    else
        m_server->handler()(request);
}

void ServerConnection::handleHello(ServerStream &stream)
{
    schema::Hello hello;
    ErrorCode code = ErrorCode::PeerMalformedMessage;
    if (hello.ParseFromString(stream.envelope()))
        code = checkHello(hello);
    m_accepted = code == ErrorCode::Ok;
    if (m_accepted)
        m_peer = {hello.fleet(), hello.node(), hello.incarnation()};
    else
        log::warn("peer-refused",
                  {{"code", static_cast<std::uint32_t>(code)}, {"peer", hello.node()}});
    schema::HelloReply reply;
    reply.set_code(static_cast<std::uint32_t>(code));
    reply.set_node(m_server->identity().node);
    reply.set_incarnation(m_server->identity().incarnation);
    stream.reply(reply.SerializeAsString());
    stream.finish();
}

ErrorCode ServerConnection::checkHello(const schema::Hello &hello) const
{
    if (hello.fleet() != m_server->identity().fleet)
        return ErrorCode::PeerWrongFleet;
    if (hello.schema_version() != SchemaVersion)
        return ErrorCode::PeerUnknownSchema;
    return ErrorCode::Ok;
}

void ServerConnection::onStreamClosed(std::int32_t stream, std::uint32_t)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end())
        return;
    const auto request = found->second;
    m_streams.erase(found);
    request->notifyClosed();
}

void ServerConnection::onPing(std::uint64_t, bool acknowledgement)
{
    if (!acknowledgement)
        sendTick();
}

void ServerConnection::onDrained(std::int32_t stream)
{
    const auto found = m_streams.find(stream);
    if (found != m_streams.end() && found->second->m_onDrained)
        found->second->m_onDrained();
}

bool ServerConnection::onReadTimeout()
{
    return m_streams.empty() && ++m_idleTimeouts < MaxIdleTimeouts;
}

void ServerConnection::onConnectionLost()
{
    const auto self = shared_from_this();
    for (const auto &[id, stream] : std::exchange(m_streams, {}))
        stream->notifyClosed();
    if (m_server)
        m_server->remove(self);
}

} // namespace

Result<std::unique_ptr<PeerServer>> PeerServer::listen(event_base *base, const Address &address,
                                                       PeerIdentity identity, Handler handler,
                                                       MemoryBudget *memory)
{
    auto server =
            std::make_unique<ServerImpl>(base, std::move(identity), std::move(handler), memory);
    if (auto opened = server->open(address); !opened)
        return failure(opened.error().code, opened.error().detail);
    return std::unique_ptr<PeerServer>(std::move(server));
}

} // namespace berylspur
