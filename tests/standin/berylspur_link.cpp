// Forwards TCP and UDP between two addresses and drops one or both directions on request. Tests use
// it to simulate one-way partitions and connections that stop carrying data.
#include "berylspur/core/address.h"
#include "berylspur/core/enum_table.h"
#include "http_support.h"

#include <CLI/CLI.hpp>
#include <array>
#include <csignal>
#include <event2/listener.h>
#include <iostream>
#include <map>
#include <set>
#include <unistd.h>
#include <vector>

using namespace berylspur;
using namespace berylspur::standin;
using nlohmann::json;

namespace {

/// Directions that a relay drops. Forward is from the connecting side to the target.
enum class Mode { Open, DropForward, DropBackward, DropBoth };

constexpr EnumTable<Mode, 4> ModeNames {{
        {Mode::Open, "open"},
        {Mode::DropForward, "drop-forward"},
        {Mode::DropBackward, "drop-backward"},
        {Mode::DropBoth, "drop-both"},
}};

class Relay;

/// The two TCP connections of one forwarded connection. Data that arrives while its direction is
/// dropped stays unread in the kernel and is forwarded once the direction is restored, like data
/// that TCP retransmits after a packet loss.
struct ConnectionPair
{
    Relay *relay = nullptr;
    bufferevent *client = nullptr;
    bufferevent *target = nullptr;
    bool isSilenced = false;

    ~ConnectionPair()
    {
        bufferevent_free(client);
        bufferevent_free(target);
    }
    ConnectionPair() = default;
    ConnectionPair(const ConnectionPair &) = delete;
    ConnectionPair &operator=(const ConnectionPair &) = delete;
};

/// Forwards one address: a TCP listener and a UDP socket on the same port.
class Relay
{
public:
    Relay(event_base *base, Address listen, Address target)
        : m_base(base), m_listen(std::move(listen)), m_target(std::move(target))
    {
    }
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;
    ~Relay()
    {
        m_pairs.clear();
        if (m_listener)
            evconnlistener_free(m_listener);
        for (const auto &[peer, socket] : m_udpSockets)
            close(event_get_fd(socket.get()));
        if (m_udpFd >= 0)
            close(m_udpFd);
    }

    bool listen()
    {
        const sockaddr_in address = m_listen.toSockaddr();
        m_listener = evconnlistener_new_bind(
                m_base, &Relay::onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 512,
                reinterpret_cast<const sockaddr *>(&address), sizeof address);
        m_udpFd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (!m_listener || m_udpFd < 0
            || bind(m_udpFd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
            return false;
        m_udpEvent.reset(event_new(m_base, m_udpFd, EV_READ | EV_PERSIST, &Relay::onUdp, this));
        event_add(m_udpEvent.get(), nullptr);
        return true;
    }

    void setMode(Mode mode)
    {
        m_mode = mode;
        for (const auto &pair : m_pairs)
            applyMode(*pair);
    }

    /// Stops forwarding on the open TCP connections. Later connections work.
    void silenceOpenConnections()
    {
        for (const auto &pair : m_pairs) {
            pair->isSilenced = true;
            applyMode(*pair);
        }
    }

    void restore()
    {
        for (const auto &pair : m_pairs)
            pair->isSilenced = false;
        setMode(Mode::Open);
    }

    json toJson() const
    {
        return {{"listen", m_listen.toString()},
                {"target", m_target.toString()},
                {"mode", enumName(ModeNames, m_mode)},
                {"connections", m_pairs.size()},
                {"dropped-datagrams", m_droppedDatagrams}};
    }

private:
    bool isDropped(bool forward) const
    {
        return m_mode == Mode::DropBoth
               || m_mode == (forward ? Mode::DropForward : Mode::DropBackward);
    }

    void applyMode(ConnectionPair &pair)
    {
        const auto setReadEnabled = [&pair](bufferevent *side, bool enabled) {
            if (enabled && !pair.isSilenced)
                bufferevent_enable(side, EV_READ);
            else
                bufferevent_disable(side, EV_READ);
        };
        setReadEnabled(pair.client, !isDropped(true));
        setReadEnabled(pair.target, !isDropped(false));
    }

    static void onAccept(evconnlistener *, evutil_socket_t fd, sockaddr *, int, void *context)
    {
        auto *self = static_cast<Relay *>(context);
        auto pair = std::make_unique<ConnectionPair>();
        pair->relay = self;
        pair->client = bufferevent_socket_new(self->m_base, fd, BEV_OPT_CLOSE_ON_FREE);
        pair->target = bufferevent_socket_new(self->m_base, -1, BEV_OPT_CLOSE_ON_FREE);
        // Limits the data buffered in this process; the rest stays in the socket buffers.
        constexpr std::size_t BufferBytes = 256 << 10;
        for (bufferevent *side : {pair->client, pair->target}) {
            bufferevent_setcb(side, &Relay::onData, &Relay::onWritten, &Relay::onEvent, pair.get());
            bufferevent_setwatermark(side, EV_READ, 0, BufferBytes);
        }
        const sockaddr_in address = self->m_target.toSockaddr();
        bufferevent_socket_connect(pair->target, reinterpret_cast<const sockaddr *>(&address),
                                   sizeof address);
        bufferevent_enable(pair->client, EV_WRITE);
        bufferevent_enable(pair->target, EV_WRITE);
        self->applyMode(*pair);
        self->m_pairs.insert(std::move(pair));
    }

    static void onData(bufferevent *from, void *context)
    {
        const auto *pair = static_cast<ConnectionPair *>(context);
        bufferevent *to = from == pair->client ? pair->target : pair->client;
        constexpr std::size_t BufferBytes = 256 << 10;
        if (evbuffer_get_length(bufferevent_get_output(to)) < BufferBytes)
            bufferevent_write_buffer(to, bufferevent_get_input(from));
    }

    /// Forwards data that was held back because the receiver was slow.
    static void onWritten(bufferevent *to, void *context)
    {
        const auto *pair = static_cast<ConnectionPair *>(context);
        bufferevent *from = to == pair->client ? pair->target : pair->client;
        bufferevent_write_buffer(to, bufferevent_get_input(from));
    }

    static void onEvent(bufferevent *, short what, void *context)
    {
        auto *pair = static_cast<ConnectionPair *>(context);
        if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
            return;
        auto &pairs = pair->relay->m_pairs;
        const auto found = std::find_if(pairs.begin(), pairs.end(),
                                        [pair](const auto &entry) { return entry.get() == pair; });
        // If all packets are lost, so is the end of the connection.
        if (pair->isSilenced || pair->relay->m_mode == Mode::DropBoth || found == pairs.end())
            return;
        pairs.erase(found);
    }

    static void onUdp(evutil_socket_t fd, short, void *context)
    {
        auto *self = static_cast<Relay *>(context);
        std::array<char, 65536> packet;
        sockaddr_in from {};
        socklen_t size = sizeof from;
        const ssize_t length = recvfrom(fd, packet.data(), packet.size(), 0,
                                        reinterpret_cast<sockaddr *>(&from), &size);
        if (length < 0)
            return;
        if (self->isDropped(true)) {
            ++self->m_droppedDatagrams;
            return;
        }
        const int out = self->udpSocketFor(Address::fromSockaddr(from));
        if (send(out, packet.data(), static_cast<std::size_t>(length), 0) < 0)
            ++self->m_droppedDatagrams;
    }

    int udpSocketFor(const Address &peer)
    {
        auto &entry = m_udpSockets[peer.toString()];
        if (!entry) {
            const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            const sockaddr_in target = m_target.toSockaddr();
            if (connect(fd, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0)
                std::cerr << "cannot connect to " << m_target.toString() << "\n";
            entry.reset(event_new(m_base, fd, EV_READ | EV_PERSIST, &Relay::onUdpReply, this));
            event_add(entry.get(), nullptr);
        }
        return event_get_fd(entry.get());
    }

    static void onUdpReply(evutil_socket_t fd, short, void *context)
    {
        auto *self = static_cast<Relay *>(context);
        std::array<char, 65536> packet;
        const ssize_t length = recv(fd, packet.data(), packet.size(), 0);
        if (length < 0)
            return;
        if (self->isDropped(false)) {
            ++self->m_droppedDatagrams;
            return;
        }
        for (const auto &[peer, socket] : self->m_udpSockets) {
            if (event_get_fd(socket.get()) != fd)
                continue;
            const sockaddr_in to = Address::parse(peer).value().toSockaddr();
            sendto(self->m_udpFd, packet.data(), static_cast<std::size_t>(length), 0,
                   reinterpret_cast<const sockaddr *>(&to), sizeof to);
        }
    }

    event_base *m_base;
    Address m_listen;
    Address m_target;
    Mode m_mode = Mode::Open;
    evconnlistener *m_listener = nullptr;
    std::set<std::unique_ptr<ConnectionPair>> m_pairs;
    int m_udpFd = -1;
    EventPtr m_udpEvent;
    std::map<std::string, EventPtr> m_udpSockets; ///< by the peer's IP:port
    std::uint64_t m_droppedDatagrams = 0;
};

/// Runs the relays and their admin server: GET /state, POST /mode?set=open|drop-..., /silence and
/// /restore. Each takes ?relay=N (default: all relays).
class RelayServer
{
public:
    RelayServer() : m_base(event_base_new()), m_admin(evhttp_new(m_base.get())) { }

    int run(const std::string &admin, const std::vector<std::string> &relays)
    {
        const auto adminAddress = Address::parse(admin);
        if (!adminAddress
            || evhttp_bind_socket(m_admin.get(), adminAddress.value().ip.c_str(),
                                  adminAddress.value().port)
                       != 0)
            return reportError("cannot listen on " + admin);
        evhttp_set_gencb(m_admin.get(), &RelayServer::onRequest, this);
        for (const std::string &text : relays) {
            const auto separator = text.find('=');
            const auto listen = Address::parse(text.substr(0, separator));
            const auto target = Address::parse(
                    separator == std::string::npos ? "" : text.substr(separator + 1));
            if (!listen || !target)
                return reportError("expected IP:port=IP:port as the relay, not " + text);
            m_relays.push_back(
                    std::make_unique<Relay>(m_base.get(), listen.value(), target.value()));
            if (!m_relays.back()->listen())
                return reportError("cannot listen on " + listen.value().toString());
        }
        const EventPtr onTerm(evsignal_new(
                m_base.get(), SIGTERM,
                [](evutil_socket_t, short, void *base) {
                    event_base_loopbreak(static_cast<event_base *>(base));
                },
                m_base.get()));
        event_add(onTerm.get(), nullptr);
        event_base_dispatch(m_base.get());
        m_relays.clear();
        return 0;
    }

private:
    static int reportError(const std::string &text)
    {
        std::cerr << text << "\n";
        return 1;
    }

    static void onRequest(evhttp_request *request, void *context)
    {
        auto *self = static_cast<RelayServer *>(context);
        const auto selected = query(request, "relay");
        const std::string command = path(request);
        const auto mode = enumValue(ModeNames, query(request, "set").value_or("open"));
        if (!mode
            || (command != "/mode" && command != "/silence" && command != "/restore"
                && command != "/state"))
            return replyJson(request, 400, {{"error", "unknown command or mode"}});
        json states = json::array();
        for (std::size_t i = 0; i < self->m_relays.size(); ++i) {
            Relay &relay = *self->m_relays[i];
            if (selected && *selected != std::to_string(i))
                continue;
            if (command == "/mode")
                relay.setMode(*mode);
            else if (command == "/silence")
                relay.silenceOpenConnections();
            else if (command == "/restore")
                relay.restore();
            states.push_back(relay.toJson());
        }
        replyJson(request, 200, states);
    }

    BasePtr m_base;
    ServerPtr m_admin;
    std::vector<std::unique_ptr<Relay>> m_relays;
};

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::string admin;
    std::vector<std::string> relays;
    CLI::App app("Forwards TCP and UDP and drops either direction on request (tests only)");
    app.add_option("--admin", admin, "IP:port of the control server")->required();
    app.add_option("--relay", relays, "LISTEN=TARGET, both IP:port; may be repeated")->required();
    CLI11_PARSE(app, argc, argv);
    return RelayServer().run(admin, relays);
}
