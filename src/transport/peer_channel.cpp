// Client side of peer connections.
#include "berylspur/peer.pb.h"
#include "berylspur/transport/peer.h"
#include "envelope.h"
#include "http2_connection.h"
#include "local_payloads.h"
#include "peer_names.h"

#include <algorithm>
#include <deque>
#include <netinet/tcp.h>
#include <optional>
#include <unordered_map>
#include <utility>

namespace berylspur {

namespace {

constexpr std::int32_t MaxStreamId = 1 << 30;

class ChannelCore;

/// One stream of a channel. No callback is called after ended() or cancel().
class ClientExchange : public PeerExchange, public std::enable_shared_from_this<ClientExchange>
{
public:
    ClientExchange(std::weak_ptr<ChannelCore> core, PeerMethod method,
                   std::function<std::string(std::uint64_t)> envelope, SharedBody payload,
                   ExchangeHandler handler)
        : m_core(std::move(core)), m_method(method), m_makeEnvelope(std::move(envelope)),
          m_payload(std::move(payload)), m_handler(std::move(handler))
    {
    }

    void consume(std::size_t bytes) override;
    void cancel() override;
    bool wasSent() const override { return m_stream != 0; }

    PeerMethod method() const { return m_method; }
    std::int32_t stream() const { return m_stream; }
    void assignStream(std::int32_t stream) { m_stream = stream; }
    /// The framed envelope.
    std::string makeStart(std::uint64_t lastTick)
    {
        return frameEnvelope(m_makeEnvelope(lastTick));
    }
    std::size_t payloadSize() const { return m_payload.size(); }
    SharedBody takePayload() { return std::exchange(m_payload, {}); }
    /// Offers the payload to the server of this process. Returns its number.
    std::uint64_t offerPayload()
    {
        m_offer = LocalPayloads::instance().offer(takePayload());
        return m_offer->number();
    }
    void receive(std::string_view bytes);
    void markPeerFinished() { m_peerFinished = true; }
    void end(ErrorCode code);
    /// Result code of a stream that was closed with the HTTP/2 error code \a error.
    ErrorCode closeCode(std::uint32_t error) const;

private:
    std::weak_ptr<ChannelCore> m_core;
    PeerMethod m_method;
    std::function<std::string(std::uint64_t)> m_makeEnvelope;
    SharedBody m_payload; // until it is sent
    std::unique_ptr<LocalPayloads::Offer> m_offer; // until the exchange ends
    ExchangeHandler m_handler; // cleared when the exchange ends
    EnvelopeReader m_reader;
    std::int32_t m_stream = 0; // 0: not sent
    bool m_replied = false;
    bool m_peerFinished = false;
    bool m_ended = false;
};

/// The connection and its exchanges. Reference-counted, because a running callback may replace the
/// channel.
class ChannelCore : public Http2Listener, public std::enable_shared_from_this<ChannelCore>
{
public:
    ChannelCore(event_base *base, const Address &peer, PeerIdentity identity)
        : m_base(base), m_peer(peer), m_identity(std::move(identity)),
          m_timer(event_new(base, -1, EV_PERSIST, onTimer, this))
    {
    }
    ~ChannelCore() override { event_free(m_timer); }

    void start(const std::shared_ptr<ClientExchange> &exchange);
    void cancel(ClientExchange &exchange);
    /// Closes the connection without callbacks.
    void close();

    Http2Connection *http() { return m_http.get(); }
    bool isUsable() const { return !m_failed && !m_draining; }
    bool isLive() const
    {
        return m_accepted && BootClock::now() - m_lastRoundTripStart < LivenessTimeout;
    }
    Duration timeSinceLastTick() const { return BootClock::now() - m_lastTickAt; }
    Incarnation peerIncarnation() const { return m_peerIncarnation; }
    std::size_t exchanges() const { return m_pending.size() + m_open.size(); }
    void onFailed(std::function<void(ErrorCode)> callback) { m_onFailed = std::move(callback); }
    void onReply(PeerMethod method);

    void onStreamOpened(std::int32_t) override { }
    void onHeader(std::int32_t, std::string_view, std::string_view) override { }
    void onData(std::int32_t stream, std::string_view bytes) override;
    void onEndOfStream(std::int32_t stream) override;
    void onStreamClosed(std::int32_t stream, std::uint32_t error) override;
    void onPing(std::uint64_t opaque, bool acknowledgement) override;
    void onDrained(std::int32_t) override { }
    void onConnected() override { }
    bool onReadTimeout() override { return true; }
    void onConnectionLost() override;

private:
    static void onTimer(evutil_socket_t, short, void *self)
    {
        const auto core = static_cast<ChannelCore *>(self)->shared_from_this();
        core->checkLiveness();
    }

    void open();
    void sendHello();
    void onHelloReply(const std::string &envelope);
    void checkLiveness();
    void sendPing(TimePoint now);
    void sendPending();
    void send(const std::shared_ptr<ClientExchange> &exchange);
    std::int32_t submit(const std::string &path, ClientExchange &exchange);
    void fail(ErrorCode code);
    std::shared_ptr<ClientExchange> find(std::int32_t stream) const;

    event_base *m_base;
    Address m_peer;
    PeerIdentity m_identity;
    event *m_timer;
    std::unique_ptr<Http2Connection> m_http;
    std::deque<std::shared_ptr<ClientExchange>> m_pending; // not yet sent
    std::unordered_map<std::int32_t, std::shared_ptr<ClientExchange>> m_open;
    bool m_accepted = false; // the peer accepted /hello
    bool m_isOwnProcess = false; // the peer is the server of this process
    bool m_failed = false;
    bool m_draining = false; // open exchanges continue; new ones need a new channel
    std::uint64_t m_lastTick = 0;
    TimePoint m_lastTickAt {};
    TimePoint m_lastRoundTripStart {}; // start of the last completed round trip
    std::optional<TimePoint> m_pingSentAt; // time of the unanswered PING, or of the connect
    TimePoint m_lastDataAt {}; // last arrival of response bytes
    Incarnation m_peerIncarnation = 0;
    std::function<void(ErrorCode)> m_onFailed;
};

void ClientExchange::consume(std::size_t bytes)
{
    const auto core = m_core.lock();
    if (core && core->http() && !m_ended)
        core->http()->consume(m_stream, bytes);
}

void ClientExchange::cancel()
{
    if (std::exchange(m_ended, true))
        return;
    m_handler = {};
    m_offer.reset();
    if (const auto core = m_core.lock())
        core->cancel(*this);
}

void ClientExchange::receive(std::string_view bytes)
{
    const auto self = shared_from_this();
    if (m_ended)
        return;
    const auto before = bytes.size();
    const auto payload = m_reader.feed(bytes);
    consume(before - payload.size());
    if (m_reader.state() == EnvelopeReader::State::Malformed) {
        end(ErrorCode::PeerMalformedMessage);
        return;
    }
    if (m_reader.state() == EnvelopeReader::State::Complete && !std::exchange(m_replied, true)) {
        if (const auto core = m_core.lock())
            core->onReply(m_method);
        if (m_handler.reply)
            m_handler.reply(m_reader.takeEnvelope());
    }
    if (!payload.empty() && !m_ended && m_handler.data)
        m_handler.data(payload);
}

void ClientExchange::end(ErrorCode code)
{
    if (std::exchange(m_ended, true))
        return;
    m_offer.reset();
    const auto handler = std::exchange(m_handler, {});
    if (handler.ended)
        handler.ended(code);
}

ErrorCode ClientExchange::closeCode(std::uint32_t error) const
{
    // RFC 9113, 8.7: a stream with REFUSED_STREAM was not processed by the peer.
    if (error == NGHTTP2_REFUSED_STREAM)
        return ErrorCode::NotRunStopping;
    // Sent only before the request is passed to its handler.
    if (error == NGHTTP2_ENHANCE_YOUR_CALM)
        return ErrorCode::NotRunMemory;
    const bool complete = error == 0 && m_peerFinished && m_replied;
    return complete ? ErrorCode::Ok : ErrorCode::AnswerTruncated;
}

void ChannelCore::start(const std::shared_ptr<ClientExchange> &exchange)
{
    if (!m_http)
        open();
    if (isLive()) {
        send(exchange);
        return;
    }
    m_pending.push_back(exchange);
    if (m_accepted && !m_pingSentAt)
        sendPing(BootClock::now());
}

void ChannelCore::open()
{
    auto *buffer = bufferevent_socket_new(m_base, -1, BEV_OPT_CLOSE_ON_FREE);
    const auto socket = m_peer.toSockaddr();
    m_http = std::make_unique<Http2Connection>(m_base, buffer, Http2Role::Client, this);
    bufferevent_socket_connect(buffer, reinterpret_cast<const sockaddr *>(&socket), sizeof socket);
    const int on = 1;
    setsockopt(bufferevent_getfd(buffer), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    m_pingSentAt = BootClock::now();
    sendHello();
    const timeval interval {0, static_cast<suseconds_t>(PingInterval.count())};
    event_add(m_timer, &interval);
}

void ChannelCore::sendHello()
{
    schema::Hello hello;
    hello.set_fleet(m_identity.fleet);
    hello.set_schema_version(SchemaVersion);
    hello.set_node(m_identity.node);
    hello.set_incarnation(m_identity.incarnation);
    ExchangeHandler handler;
    handler.reply = [this](const std::string &envelope) { onHelloReply(envelope); };
    const auto exchange = std::make_shared<ClientExchange>(
            weak_from_this(), PeerMethod::Hello,
            [text = hello.SerializeAsString()](std::uint64_t) { return text; }, SharedBody(),
            std::move(handler));
    send(exchange);
}

void ChannelCore::onHelloReply(const std::string &envelope)
{
    schema::HelloReply reply;
    if (!reply.ParseFromString(envelope)) {
        fail(ErrorCode::PeerMalformedMessage);
        return;
    }
    if (reply.code() != 0) {
        fail(errorFromNumber(reply.code()));
        return;
    }
    m_peerIncarnation = reply.incarnation();
    m_accepted = true;
    m_isOwnProcess =
            reply.node() == m_identity.node && reply.incarnation() == m_identity.incarnation;
    m_lastRoundTripStart = m_pingSentAt.value_or(BootClock::now());
    m_pingSentAt.reset();
    // Exchanges echo a tick. The server sends the first one with this reply; it may arrive before
    // or after it.
    if (m_lastTick != 0)
        sendPending();
}

void ChannelCore::onReply(PeerMethod method)
{
    // A reply completes a round trip, but its start is not known. If no PING is outstanding, the
    // round trip is recent.
    if (method != PeerMethod::Hello && m_accepted && !m_pingSentAt)
        m_lastRoundTripStart = BootClock::now();
}

void ChannelCore::onPing(std::uint64_t opaque, bool acknowledgement)
{
    const auto now = BootClock::now();
    if (acknowledgement) {
        if (m_pingSentAt)
            m_lastRoundTripStart = *std::exchange(m_pingSentAt, std::nullopt);
        sendPending();
        return;
    }
    m_lastTick = opaque;
    m_lastTickAt = now;
    sendPending();
}

void ChannelCore::sendPing(TimePoint now)
{
    m_pingSentAt = now;
    m_http->ping(0);
}

void ChannelCore::checkLiveness()
{
    const auto now = BootClock::now();
    // On a slow link the acknowledgement of a PING waits behind response bytes, so a connection on
    // which these arrive is not silent.
    if (m_pingSentAt && now - std::max(*m_pingSentAt, m_lastDataAt) > LivenessTimeout) {
        fail(m_accepted ? ErrorCode::PeerSilent : ErrorCode::PeerUnreachable);
        return;
    }
    if (m_accepted && !m_pingSentAt && exchanges() > 0
        && now - m_lastRoundTripStart >= PingInterval)
        sendPing(now);
}

void ChannelCore::sendPending()
{
    if (!isLive())
        return;
    for (const auto &exchange : std::exchange(m_pending, {}))
        send(exchange);
}

void ChannelCore::send(const std::shared_ptr<ClientExchange> &exchange)
{
    const std::string path(enumName(PeerMethodPaths, exchange->method()));
    const auto stream = submit(path, *exchange);
    if (stream < 0) {
        exchange->end(ErrorCode::PeerConnectionLost);
        return;
    }
    // Stream ids are not reused within a connection, so a new connection replaces this one before
    // they run out.
    m_draining = m_draining || stream >= MaxStreamId;
    exchange->assignStream(stream);
    m_open.emplace(stream, exchange);
}

std::int32_t ChannelCore::submit(const std::string &path, ClientExchange &exchange)
{
    auto start = exchange.makeStart(m_lastTick);
    const auto size = exchange.payloadSize();
    if (size < MinAnnouncedPayloadBytes)
        return m_http->request(path, std::move(start), exchange.takePayload());
    if (m_isOwnProcess)
        return m_http->request(path, std::move(start), {}, std::string(LocalPayloadHeader),
                               std::to_string(exchange.offerPayload()));
    return m_http->request(path, std::move(start), exchange.takePayload(),
                           std::string(PayloadSizeHeader), std::to_string(size));
}

void ChannelCore::cancel(ClientExchange &exchange)
{
    std::erase_if(m_pending, [&](const auto &other) { return other.get() == &exchange; });
    if (exchange.stream() != 0 && m_http && !m_failed)
        m_http->reset(exchange.stream());
}

std::shared_ptr<ClientExchange> ChannelCore::find(std::int32_t stream) const
{
    const auto found = m_open.find(stream);
    return found == m_open.end() ? nullptr : found->second;
}

void ChannelCore::onData(std::int32_t stream, std::string_view bytes)
{
    m_lastDataAt = BootClock::now();
    if (const auto exchange = find(stream))
        exchange->receive(bytes);
}

void ChannelCore::onEndOfStream(std::int32_t stream)
{
    if (const auto exchange = find(stream))
        exchange->markPeerFinished();
}

void ChannelCore::onStreamClosed(std::int32_t stream, std::uint32_t error)
{
    const auto exchange = find(stream);
    if (!exchange)
        return;
    m_open.erase(stream);
    exchange->end(exchange->closeCode(error));
}

void ChannelCore::onConnectionLost()
{
    fail(m_accepted ? ErrorCode::PeerConnectionLost : ErrorCode::PeerUnreachable);
}

void ChannelCore::fail(ErrorCode code)
{
    if (std::exchange(m_failed, true))
        return;
    const auto self = shared_from_this();
    event_del(m_timer);
    if (m_http)
        bufferevent_disable(m_http->buffer(), EV_READ | EV_WRITE);
    for (const auto &exchange : std::exchange(m_pending, {}))
        exchange->end(code);
    for (const auto &[stream, exchange] : std::exchange(m_open, {}))
        exchange->end(code);
    if (const auto callback = std::exchange(m_onFailed, nullptr))
        callback(code);
}

void ChannelCore::close()
{
    m_failed = true;
    event_del(m_timer);
    if (m_http)
        bufferevent_disable(m_http->buffer(), EV_READ | EV_WRITE);
    m_pending.clear();
    m_open.clear();
    m_onFailed = nullptr;
}

class ChannelImpl : public PeerChannel
{
public:
    ChannelImpl(event_base *base, const Address &peer, PeerIdentity identity)
        : m_base(base), m_core(std::make_shared<ChannelCore>(base, peer, std::move(identity)))
    {
    }
    ~ChannelImpl() override
    {
        m_core->close();
        // A callback of the connection itself may destroy the channel, so the core must outlive the
        // current iteration of the event loop.
        event_base_once(
                m_base, -1, EV_TIMEOUT,
                [](evutil_socket_t, short, void *core) {
                    delete static_cast<std::shared_ptr<ChannelCore> *>(core);
                },
                new std::shared_ptr<ChannelCore>(m_core), nullptr);
    }

    std::shared_ptr<PeerExchange> start(PeerMethod method,
                                        const std::function<std::string(std::uint64_t)> &envelope,
                                        SharedBody payload, ExchangeHandler handler) override
    {
        auto exchange = std::make_shared<ClientExchange>(m_core, method, envelope,
                                                         std::move(payload), std::move(handler));
        m_core->start(exchange);
        return exchange;
    }
    bool isUsable() const override { return m_core->isUsable(); }
    bool isLive() const override { return m_core->isLive(); }
    Duration timeSinceLastTick() const override { return m_core->timeSinceLastTick(); }
    Incarnation peerIncarnation() const override { return m_core->peerIncarnation(); }
    std::size_t exchanges() const override { return m_core->exchanges(); }
    void onFailed(std::function<void(ErrorCode)> callback) override
    {
        m_core->onFailed(std::move(callback));
    }

private:
    event_base *m_base;
    std::shared_ptr<ChannelCore> m_core;
};

} // namespace

std::unique_ptr<PeerChannel> PeerChannel::connect(event_base *base, const Address &peer,
                                                  PeerIdentity identity)
{
    return std::make_unique<ChannelImpl>(base, peer, std::move(identity));
}

} // namespace berylspur
