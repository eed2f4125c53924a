// Stand-ins for the cases of the second review: the platform's store, endpoints, requesters and the
// launcher of nodes. One header, without dependencies beyond those of the project (nlohmann-json).
// Everything listens on loopback addresses with free ports.
#pragma once

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace harness {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point Began = Clock::now();

inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - Began).count();
}

inline std::int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// True unless TROUBLE=0: the disruption of the case is left out then.
inline bool trouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/// record.txt of the case: one line for each thing sent, answered and run.
class Record
{
public:
    static Record &instance()
    {
        static Record record;
        return record;
    }
    void open(const std::string &path) { m_file.open(path, std::ios::trunc); }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_file << nowMs() << " ms  " << text << "\n" << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline void note(const std::string &text)
{
    Record::instance().line(text);
}

using Headers = std::vector<std::pair<std::string, std::string>>;

inline bool sameName(const std::string &a, const std::string &b)
{
    return strcasecmp(a.c_str(), b.c_str()) == 0;
}

struct Message
{
    std::string first; ///< request line or status line
    Headers headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (sameName(key, name))
                return value;
        }
        return {};
    }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const auto from = first.find(' ') + 1;
        return first.substr(from, first.find(' ', from) - from);
    }
    int status() const { return first.size() < 12 ? 0 : std::atoi(first.c_str() + 9); }
};

inline sockaddr_in toSockaddr(const std::string &ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Blocking socket with a deadline for each operation.
class Socket
{
public:
    explicit Socket(int fd = -1) : m_fd(fd) { }
    Socket(Socket &&other) noexcept
        : m_fd(std::exchange(other.m_fd, -1)), m_input(other.m_input) { }
    ~Socket() { close(); }
    int fd() const { return m_fd; }
    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
    }
    bool connect(const std::string &ip, int port, int limitMs)
    {
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const auto address = toSockaddr(ip, port);
        if (::connect(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0)
            return true;
        pollfd entry {m_fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        return errno == EINPROGRESS && poll(&entry, 1, limitMs) == 1
               && getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
    }
    bool write(const std::string &text, int limitMs = 5000)
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            pollfd entry {m_fd, POLLOUT, 0};
            if (poll(&entry, 1, limitMs) != 1)
                return false;
            const auto n = send(m_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (n < 0 && errno != EAGAIN)
                return false;
            sent += n > 0 ? static_cast<std::size_t>(n) : 0;
        }
        return true;
    }
    /// Reads one HTTP message. Returns nothing at the deadline or when the connection ended.
    std::optional<Message> read(Clock::time_point until, const std::atomic<bool> *stop = nullptr)
    {
        while (true) {
            if (auto message = parse())
                return message;
            if (Clock::now() >= until || (stop && *stop))
                return std::nullopt;
            pollfd entry {m_fd, POLLIN, 0};
            if (poll(&entry, 1, 50) <= 0)
                continue;
            char buffer[65536];
            const auto n = recv(m_fd, buffer, sizeof buffer, MSG_DONTWAIT);
            if (n == 0 || (n < 0 && errno != EAGAIN))
                return std::nullopt;
            m_input.append(buffer, n > 0 ? static_cast<std::size_t>(n) : 0);
        }
    }
    /// True once the peer has closed or reset the connection.
    bool isEnded() const
    {
        pollfd entry {m_fd, POLLIN, 0};
        if (poll(&entry, 1, 0) <= 0)
            return false;
        char byte = 0;
        const auto n = recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN);
    }

private:
    std::optional<Message> parse()
    {
        const auto end = m_input.find("\r\n\r\n");
        if (end == std::string::npos)
            return std::nullopt;
        Message message;
        std::istringstream lines(m_input.substr(0, end));
        std::string line;
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            const auto colon = line.find(':');
            if (message.first.empty())
                message.first = line;
            else if (colon != std::string::npos)
                message.headers.emplace_back(
                        line.substr(0, colon),
                        line.substr(std::min(line.find_first_not_of(' ', colon + 1), line.size())));
        }
        std::size_t used = end + 4;
        if (sameName(message.header("Transfer-Encoding"), "chunked")) {
            while (true) {
                const auto eol = m_input.find("\r\n", used);
                if (eol == std::string::npos)
                    return std::nullopt;
                const auto size = std::strtoul(m_input.c_str() + used, nullptr, 16);
                if (m_input.size() < eol + 2 + size + 2)
                    return std::nullopt;
                message.body += m_input.substr(eol + 2, size);
                used = eol + 2 + size + 2;
                if (size == 0)
                    break;
            }
        } else {
            const auto size = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
            if (m_input.size() < used + size)
                return std::nullopt;
            message.body = m_input.substr(used, size);
            used += size;
        }
        m_input.erase(0, used);
        return message;
    }

    int m_fd;
    std::string m_input;
};

struct Answer
{
    int status = 200;
    Headers headers;
    std::string body;
    bool isSilent = false; ///< nothing is sent on this connection any more
    bool isReset = false;
};

/// HTTP/1.1 server with a thread for each connection.
class Server
{
public:
    /// Serves one request. The socket may be asked whether the caller has left.
    using Handler = std::function<Answer(const Message &, const Socket &)>;

    Server(std::string ip, Handler handler, int backlog = 512)
        : m_ip(std::move(ip)), m_handler(std::move(handler))
    {
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto address = toSockaddr(m_ip, 0);
        if (bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
            || listen(m_listener, backlog) != 0) {
            std::perror("stand-in cannot listen");
            std::exit(2);
        }
        sockaddr_in bound {};
        socklen_t size = sizeof bound;
        getsockname(m_listener, reinterpret_cast<sockaddr *>(&bound), &size);
        m_port = ntohs(bound.sin_port);
        m_thread = std::thread([this] { accept(); });
    }
    ~Server() { stop(); }
    void stop()
    {
        if (m_stop.exchange(true))
            return;
        m_thread.join();
        ::close(m_listener);
        while (m_open > 0)
            sleepMs(5);
    }
    const std::string &ip() const { return m_ip; }
    int port() const { return m_port; }
    std::string address() const { return m_ip + ":" + std::to_string(m_port); }
    const std::atomic<bool> &stopping() const { return m_stop; }
    /// While paused, new connections wait in the queue of the socket.
    void pauseAccepting(bool paused) { m_isPaused = paused; }

private:
    void accept()
    {
        while (!m_stop) {
            pollfd entry {m_listener, POLLIN, 0};
            if (m_isPaused) {
                sleepMs(1);
                continue;
            }
            if (poll(&entry, 1, 5) <= 0)
                continue;
            const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
            if (fd < 0)
                continue;
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            ++m_open;
            std::thread([this, fd] {
                serve(fd);
                --m_open;
            }).detach();
        }
    }
    void serve(int fd)
    {
        Socket socket(fd);
        while (!m_stop) {
            const auto request = socket.read(Clock::now() + std::chrono::hours(1), &m_stop);
            if (!request)
                return;
            const auto answer = m_handler(*request, socket);
            if (answer.isReset) {
                const linger reset {1, 0};
                setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
                return;
            }
            if (answer.isSilent) {
                while (!m_stop && !socket.isEnded())
                    sleepMs(20);
                return;
            }
            std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " Status\r\n";
            for (const auto &[name, value] : answer.headers)
                text += name + ": " + value + "\r\n";
            text += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n";
            if (request->method() != "HEAD")
                text += answer.body;
            if (!socket.write(text) || sameName(request->header("Connection"), "close"))
                return;
        }
    }

    std::string m_ip;
    Handler m_handler;
    int m_listener = -1;
    int m_port = 0;
    std::atomic<bool> m_stop = false;
    std::atomic<bool> m_isPaused = false;
    std::atomic<int> m_open = 0;
    std::thread m_thread;
};

/// Sends one request on a new connection. Status 0: no complete answer.
inline Message ask(const std::string &ip, int port, const std::string &method,
                   const std::string &target, const Headers &headers, const std::string &body = {},
                   int limitMs = 10000)
{
    Socket socket;
    if (!socket.connect(ip, port, 1000))
        return {};
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    if (!body.empty() || method == "POST" || method == "PUT")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "Connection: close\r\n\r\n" + body;
    if (!socket.write(text))
        return {};
    const auto answer = socket.read(Clock::now() + std::chrono::milliseconds(limitMs));
    return answer ? *answer : Message {};
}

inline std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> values;
    const auto at = target.find('?');
    if (at == std::string::npos)
        return values;
    std::istringstream parts(target.substr(at + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
        const auto equal = std::min(part.find('='), part.size());
        values[part.substr(0, equal)] = part.substr(std::min(equal + 1, part.size()));
    }
    return values;
}

/// The platform's store. Each machine reaches it over its own door, whose path can be cut.
class Store
{
public:
    /// A machine's path to the store.
    struct Door
    {
        std::atomic<bool> isCut = false; ///< nothing passes in either direction
        std::atomic<bool> isBusy = false; ///< every call gets 503
        std::unique_ptr<Server> server;
        std::string name;
    };

    Door &addDoor(const std::string &name)
    {
        auto door = std::make_unique<Door>();
        auto *raw = door.get();
        raw->name = name;
        raw->server = std::make_unique<Server>(
                "127.0.0.1", [this, raw](const Message &request, const Socket &socket) {
                    return serve(*raw, request, socket);
                });
        m_doors.push_back(std::move(door));
        return *raw;
    }
    void stop()
    {
        m_isStopping = true;
        m_changed.notify_all();
        for (auto &door : m_doors)
            door->server->stop();
    }
    /// The operator's write; the return is the ack.
    void put(const std::string &kind, const std::string &name, const json &spec)
    {
        const std::lock_guard lock(m_mutex);
        auto &object = m_kinds[kind][name];
        store(kind, name, object, spec, json::array());
    }
    /// True if a watch of \a door is open.
    bool isWatching(const std::string &door) const
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_watches.find(door);
        return found != m_watches.end() && found->second > 0;
    }

private:
    struct Event
    {
        std::uint64_t revision = 0;
        std::string kind;
        json object;
        bool isDeleted = false;
    };

    void store(const std::string &kind, const std::string &name, json &object, const json &spec,
               const json &finalizers)
    {
        if (!object.is_null() && object["spec"] == spec
            && object["metadata"]["finalizers"] == finalizers)
            return;
        ++m_revision;
        if (object.is_null())
            object = {{"metadata",
                       {{"name", name}, {"createdAt", wallMs()}, {"deletionPending", false}}},
                      {"status", nullptr}};
        object["metadata"]["revision"] = m_revision;
        object["metadata"]["finalizers"] = finalizers;
        object["spec"] = spec;
        m_history.push_back({m_revision, kind, object, false});
        m_changed.notify_all();
    }
    static Answer jsonAnswer(int status, const json &body)
    {
        return {status, {{"Content-Type", "application/json"}}, body.dump()};
    }
    Answer serve(Door &door, const Message &request, const Socket &socket)
    {
        // What a cut holds up passes once it has healed, as on a link that drops packets.
        waitWhileCut(door);
        sleepMs(4);
        if (door.isBusy)
            return {503, {}, "{}"};
        auto answer = handle(door, request, socket);
        waitWhileCut(door);
        if (door.isBusy)
            return {503, {}, "{}"};
        return answer;
    }
    void waitWhileCut(const Door &door) const
    {
        while (door.isCut && !m_isStopping)
            sleepMs(5);
    }
    Answer handle(Door &door, const Message &request, const Socket &socket)
    {
        const auto target = request.target();
        auto path = target.substr(0, target.find('?'));
        const std::string prefix = "/v1/objects/";
        if (path.rfind(prefix, 0) != 0)
            return {404, {}, "{}"};
        path.erase(0, prefix.size());
        const auto slash = path.find('/');
        const auto kind = path.substr(0, slash);
        const auto name = slash == std::string::npos ? std::string() : path.substr(slash + 1);
        auto query = queryOf(target);
        const auto method = request.method();
        std::unique_lock lock(m_mutex);
        if (method == "GET" && name.empty())
            return query.count("watch") ? watch(door, kind, query, lock, socket)
                                        : list(kind, query);
        auto &objects = m_kinds[kind];
        if (method == "POST") {
            const auto body = json::parse(request.body);
            const auto created = body["metadata"]["name"].get<std::string>();
            if (objects.count(created))
                return jsonAnswer(409, objects[created]);
            store(kind, created, objects[created], body["spec"], json::array());
            return jsonAnswer(201, objects[created]);
        }
        const auto found = objects.find(name);
        if (found == objects.end())
            return {404, {}, "{}"};
        if (method == "GET")
            return jsonAnswer(200, found->second);
        if (method == "PUT") {
            const auto body = json::parse(request.body);
            if (body["metadata"].contains("revision")
                && body["metadata"]["revision"] != found->second["metadata"]["revision"])
                return jsonAnswer(409, found->second);
            store(kind, name, found->second, body["spec"],
                  body["metadata"].value("finalizers", json::array()));
            return jsonAnswer(200, found->second);
        }
        if (method == "DELETE") {
            ++m_revision;
            m_history.push_back({m_revision, kind, found->second, true});
            objects.erase(found);
            m_changed.notify_all();
            return jsonAnswer(200, json::object());
        }
        return {405, {}, "{}"};
    }
    Answer list(const std::string &kind, std::map<std::string, std::string> &query)
    {
        json items = json::array();
        for (const auto &[name, object] : m_kinds[kind]) {
            if (name > query["after"])
                items.push_back(object);
        }
        return jsonAnswer(200, {{"items", items}, {"hasMore", false}, {"at", m_revision}});
    }
    Answer watch(Door &door, const std::string &kind, std::map<std::string, std::string> &query,
                 std::unique_lock<std::mutex> &lock, const Socket &socket)
    {
        const auto from = std::stoull(query["watch"]);
        const auto until = Clock::now() + std::chrono::milliseconds(std::stol(query["waitMs"]));
        json events = json::array();
        ++m_watches[door.name];
        while (!m_isStopping) {
            for (const auto &event : m_history) {
                if (event.kind == kind && event.revision > from)
                    events.push_back({{"object", event.object}, {"deleted", event.isDeleted}});
            }
            if (!events.empty() || Clock::now() >= until || socket.isEnded())
                break;
            m_changed.wait_for(lock, std::chrono::milliseconds(20));
        }
        --m_watches[door.name];
        return jsonAnswer(200, {{"events", events}, {"at", m_revision}});
    }

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::atomic<bool> m_isStopping = false;
    std::uint64_t m_revision = 100;
    std::map<std::string, std::map<std::string, json>> m_kinds;
    std::vector<Event> m_history;
    std::map<std::string, int> m_watches;
    std::vector<std::unique_ptr<Door>> m_doors;
};

/// Ports on which a node listens; free when they were chosen.
inline int freePort()
{
    static int next = 21000 + static_cast<int>(getpid() * 37 % 9000);
    while (true) {
        const int port = ++next;
        bool isFree = true;
        for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
            const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
            const auto address = toSockaddr("127.0.0.1", port);
            isFree = isFree
                     && bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
            ::close(fd);
        }
        if (isFree)
            return port;
    }
}

/// Fields of the settings file that a deployment chooses.
struct NodeOptions
{
    std::string name;
    std::string zone = "zone-a";
    std::string service;
    std::string endpoint; ///< address
    std::string platform; ///< address
    bool hasQuotas = false;
    double retryRatio = 0.2;
    int retrySlack = 60;
    double floorShare = 0.7;
    std::string gracePeriod = "6s";
    int peerAdvertised = 0; ///< port by which other nodes reach this one; 0: its own peer port
};

/// A machine's node, started as deploy/system.toml says, with settings that have the layout of
/// deploy/node.yaml.template.
class Node
{
public:
    Node(NodeOptions options, std::string directory)
        : m_options(std::move(options)), m_directory(std::move(directory)), outbound(freePort()),
          peer(freePort()), admin(freePort()), status(freePort()), readiness(freePort())
    {
    }
    ~Node()
    {
        if (isRunning()) {
            ::kill(m_pid, SIGKILL);
            waitpid(m_pid, nullptr, 0);
        }
    }
    const std::string &name() const { return m_options.name; }
    const std::string &service() const { return m_options.service; }
    pid_t pid() const { return m_pid; }

    /// Other nodes reach this one at \a port.
    void advertise(int port) { m_options.peerAdvertised = port; }
    void start(bool isFirst)
    {
        const auto file = m_directory + "/" + m_options.name + ".yaml";
        std::ofstream(file) << settings(isFirst);
        const auto log = m_directory + "/" + m_options.name + ".log";
        const char *root = std::getenv("REPOSITORY");
        const std::string program = std::string(root ? root : ".") + "/target/bin/berylspur-node";
        if (access(program.c_str(), X_OK) != 0) {
            std::fprintf(stderr, "target/bin/berylspur-node is not built\n");
            std::exit(2);
        }
        m_exit.reset();
        m_pid = fork();
        if (m_pid == 0) {
            const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, 1);
            dup2(fd, 2);
            execl(program.c_str(), program.c_str(), "--settings", file.c_str(), nullptr);
            _exit(127);
        }
    }
    void signal(int number) const { ::kill(m_pid, number); }
    /// False once the process has ended; exit() is its wait status then.
    bool isRunning()
    {
        int status = 0;
        if (m_pid > 0 && !m_exit && waitpid(m_pid, &status, WNOHANG) == m_pid)
            m_exit = status;
        return m_pid > 0 && !m_exit;
    }
    std::optional<int> exit() const { return m_exit; }
    bool waitForEnd(int limitMs)
    {
        for (int i = 0; i < limitMs / 5 && isRunning(); ++i)
            sleepMs(5);
        return !isRunning();
    }
    bool isReady() const
    {
        return ask("127.0.0.1", readiness, "GET", "/v1/readyz", {{"Host", "node"}}, {}, 1000)
                       .status()
               == 200;
    }

private:
    std::string settings(bool isFirst) const
    {
        const auto at = [](int port) { return "127.0.0.1:" + std::to_string(port); };
        std::ostringstream text;
        text << "fleet: berylspur\nnode:\n  name: " << m_options.name
             << "\n  region: region-1\n  failure-domain: " << m_options.zone
             << "\naddresses:\n  caller: " << at(outbound) << "\n  peer: " << at(peer)
             << (m_options.peerAdvertised == 0
                         ? std::string()
                         : "\n  peer-advertised: " + at(m_options.peerAdvertised))
             << "\n  announce: " << at(admin) << "\n  admin: " << at(status)
             << "\n  admin-remote: true\n  readiness: " << at(readiness)
             << "\nplatform: " << m_options.platform
             << "\nlimits:\n  response-buffer-bytes: 1048576\nintegration:\n  mode: platform\n"
             << "  service: " << m_options.service << "\n  endpoint: " << m_options.endpoint << "\n"
             << (isFirst ? "" : "  find-endpoint: true\n")
             << "  retry-ratio: " << m_options.retryRatio
             << "\n  retry-slack: " << m_options.retrySlack
             << "\n  floor-share: " << m_options.floorShare << "\n"
             << (m_options.hasQuotas ? "  quota-slack: 20\n" : "")
             << "  endpoint-lease-ms: 20000\n  grace-period: " << m_options.gracePeriod
             << "\n  stop-serving: 2500ms\npolicy:\n  detection: sparse\n"
             << (m_options.hasQuotas ? "  order: priority\n" : "") << "log:\n  level: info\n";
        return text.str();
    }

    NodeOptions m_options;
    std::string m_directory;
    pid_t m_pid = -1;
    std::optional<int> m_exit;

public:
    const int outbound;
    const int peer;
    const int admin; ///< for check-ins
    const int status; ///< the project's own admin pages
    const int readiness;
};

/// Links between the nodes. Each node is reached at a port of its link, for TCP and UDP. A node
/// that is cut off exchanges nothing with the others; it still reaches itself and the store. Cuts
/// are silent: what is sent meanwhile is held (TCP) or lost (UDP).
class Links
{
public:
    /// Adds the link to the node \a name, which listens at \a peerPort. Returns its port.
    int add(const std::string &name, int peerPort)
    {
        auto link = std::make_unique<Link>();
        auto *raw = link.get();
        raw->name = name;
        raw->target = peerPort;
        raw->port = freePort();
        const auto address = toSockaddr("127.0.0.1", raw->port);
        raw->tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        raw->udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(raw->tcp, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        if (bind(raw->tcp, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
            || bind(raw->udp, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
            || listen(raw->tcp, 512) != 0) {
            std::perror("link cannot listen");
            std::exit(2);
        }
        m_nodeOfPort[peerPort] = name;
        m_links.push_back(std::move(link));
        m_threads.emplace_back([this, raw] { forwardPackets(*raw); });
        m_threads.emplace_back([this, raw] { acceptConnections(*raw); });
        return raw->port;
    }
    void cutOff(const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        m_cut = name;
    }
    void heal() { cutOff({}); }
    void stop()
    {
        m_stop = true;
        for (auto &thread : m_threads)
            thread.join();
        m_threads.clear();
        while (m_open > 0)
            sleepMs(5);
        for (auto &link : m_links) {
            ::close(link->tcp);
            ::close(link->udp);
        }
    }

private:
    struct Link
    {
        std::string name; ///< of the node behind it
        int target = 0;
        int port = 0;
        int tcp = -1;
        int udp = -1;
    };

    bool isCut(const std::string &from, const std::string &to)
    {
        const std::lock_guard lock(m_mutex);
        return !m_cut.empty() && (from == m_cut) != (to == m_cut);
    }
    void forwardPackets(Link &link)
    {
        const auto target = toSockaddr("127.0.0.1", link.target);
        while (!m_stop) {
            pollfd entry {link.udp, POLLIN, 0};
            if (poll(&entry, 1, 50) <= 0)
                continue;
            char buffer[65536];
            sockaddr_in from {};
            socklen_t size = sizeof from;
            const auto n = recvfrom(link.udp, buffer, sizeof buffer, 0,
                                    reinterpret_cast<sockaddr *>(&from), &size);
            const auto source = m_nodeOfPort.find(ntohs(from.sin_port));
            if (n > 0 && source != m_nodeOfPort.end() && !isCut(source->second, link.name))
                sendto(link.udp, buffer, static_cast<std::size_t>(n), 0,
                       reinterpret_cast<const sockaddr *>(&target), sizeof target);
        }
    }
    void acceptConnections(Link &link)
    {
        while (!m_stop) {
            pollfd entry {link.tcp, POLLIN, 0};
            if (poll(&entry, 1, 50) <= 0)
                continue;
            const int fd = accept4(link.tcp, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
            if (fd < 0)
                continue;
            ++m_open;
            std::thread([this, &link, fd] {
                forward(link, fd);
                --m_open;
            }).detach();
        }
    }
    /// The first bytes of a connection between nodes hold the name of the node that opened it.
    std::string sourceOf(const std::string &bytes)
    {
        for (const auto &[port, name] : m_nodeOfPort) {
            if (bytes.find(name) != std::string::npos)
                return name;
        }
        return {};
    }
    void forward(Link &link, int fd)
    {
        Socket caller(fd);
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::string first;
        std::string source;
        char buffer[65536];
        while (!m_stop && source.empty()) {
            pollfd entry {fd, POLLIN, 0};
            if (poll(&entry, 1, 50) <= 0)
                continue;
            const auto n = recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
            if (n == 0 || (n < 0 && errno != EAGAIN))
                return;
            first.append(buffer, n > 0 ? static_cast<std::size_t>(n) : 0);
            source = sourceOf(first);
        }
        const auto waitWhileCut = [&] {
            while (!m_stop && isCut(source, link.name) && !caller.isEnded())
                sleepMs(5);
        };
        waitWhileCut();
        Socket node;
        if (m_stop || !node.connect("127.0.0.1", link.target, 1000) || !node.write(first))
            return;
        setsockopt(node.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const int ends[] = {fd, node.fd()};
        while (!m_stop) {
            waitWhileCut();
            pollfd entries[] = {{ends[0], POLLIN, 0}, {ends[1], POLLIN, 0}};
            if (poll(entries, 2, 50) <= 0)
                continue;
            for (int i = 0; i < 2; ++i) {
                if (entries[i].revents == 0)
                    continue;
                const auto n = recv(ends[i], buffer, sizeof buffer, MSG_DONTWAIT);
                if (n == 0 || (n < 0 && errno != EAGAIN))
                    return;
                auto &other = i == 0 ? node : caller;
                if (n > 0 && !other.write({buffer, static_cast<std::size_t>(n)}))
                    return;
            }
        }
    }

    std::mutex m_mutex;
    std::string m_cut; ///< node that is cut off; empty: none
    std::map<int, std::string> m_nodeOfPort;
    std::vector<std::unique_ptr<Link>> m_links;
    std::vector<std::thread> m_threads;
    std::atomic<bool> m_stop = false;
    std::atomic<int> m_open = 0;
};

/// One run of a request at an endpoint.
struct Run
{
    std::int64_t at = 0;
    std::string endpoint;
    std::string service;
    std::string id;
    std::string tenant;
};

/// Application endpoint beside a node: serves requests, answers health probes, checks in.
class Endpoint
{
public:
    using Work = std::function<Answer(const Message &, const Socket &)>;

    /// \a work runs a request; without it an endpoint answers after \a workMs.
    Endpoint(std::string id, std::string service, int slots, int workMs = 20, Work work = {},
             int backlog = 512)
        : id(std::move(id)), service(std::move(service)), slots(slots), workMs(workMs),
          m_work(std::move(work)), m_server(
                                           "127.0.0.1",
                                           [this](const Message &request, const Socket &socket) {
                                               return serve(request, socket);
                                           },
                                           backlog)
    {
    }
    ~Endpoint() { stop(); }
    /// While paused, the endpoint accepts no connection; its queue of them fills up.
    void pauseAccepting(bool paused) { m_server.pauseAccepting(paused); }
    std::string address() const { return m_server.address(); }
    std::vector<Run> runs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }
    int running() const { return m_running; }
    /// Checks in at \a node about every 1.5 s.
    void checkInAt(const Node &node)
    {
        m_node = &node;
        m_thread = std::thread([this] {
            for (int i = 0; !m_stop; ++i) {
                if (i % 30 == 0)
                    checkIn();
                sleepMs(50);
            }
        });
    }
    json checkInBody()
    {
        return {{"service", service}, {"address", address()}, {"zone", "zone-a"},
                {"version", "v1"},    {"slots", slots},       {"state", state},
                {"cold", "0ms"},      {"born", born},         {"sequence", ++m_sequence}};
    }
    int checkIn()
    {
        return ask("127.0.0.1", m_node->admin, "POST", "/v1/rpc?call=instances.heartbeat&of=" + id,
                   {{"Host", "node"}, {"Content-Type", "application/json"}}, checkInBody().dump(),
                   1000)
                .status();
    }
    void stop()
    {
        m_stop = true;
        if (m_thread.joinable())
            m_thread.join();
        m_server.stop();
    }
    const std::atomic<bool> &stopping() const { return m_stop; }

    const std::string id;
    const std::string service;
    const int slots;
    std::atomic<int> workMs;
    std::int64_t born = wallMs();
    std::string state = "ready";
    /// True if the runs of a path go into the record; unset: all do.
    std::function<bool(const std::string &path)> isNoted;

private:
    Answer serve(const Message &request, const Socket &socket)
    {
        const Headers identity {{"X-Instance-Id", id}};
        if (request.target() == "/healthz")
            return {state == "ready" ? 200 : 503, identity, "ok"};
        const auto requestId = request.header("X-Request-Id");
        const auto wanted = request.header("X-Target-Instance");
        if (requestId.empty())
            return {400, {{"X-Not-Executed", "1"}}, ""};
        if (!wanted.empty() && wanted != id)
            return {421, {{"X-Instance-Id", id}, {"X-Not-Executed", "1"}}, ""};
        if (++m_running > slots) {
            --m_running;
            return {503, {{"X-Not-Executed", "1"}, {"X-Request-Id", requestId}}, ""};
        }
        {
            const std::lock_guard lock(m_mutex);
            m_runs.push_back({nowMs(), id, service, requestId, request.header("X-Tenant-Id")});
        }
        if (!isNoted || isNoted(request.target()))
            note("run       " + requestId + " at " + id + " of " + service + ", path "
                 + request.target() + ", tenant " + request.header("X-Tenant-Id"));
        Answer answer;
        if (m_work) {
            answer = m_work(request, socket);
        } else {
            sleepMs(workMs);
            answer.body = "answer of " + service + " to " + requestId;
        }
        answer.headers.emplace_back("X-Request-Id", requestId);
        answer.headers.emplace_back("X-Server-Signature", "sig." + id + "." + requestId);
        answer.headers.emplace_back("X-Server-Load", std::to_string(m_running.load()) + ",0,"
                                                             + std::to_string(slots));
        --m_running;
        return answer;
    }

    Work m_work;
    mutable std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::atomic<int> m_running = 0;
    std::atomic<bool> m_stop = false;
    std::atomic<std::uint64_t> m_sequence = 0;
    const Node *m_node = nullptr;
    std::thread m_thread;
    Server m_server;
};

/// A requester on the machine of \a node. Returns the answer; status 0: none.
inline Message request(const Node &node, const std::string &method, const std::string &host,
                       const std::string &path, const std::string &id, Headers extra = {},
                       int deadlineMs = 6000)
{
    Headers headers {
            {"Host", host}, {"X-Request-Id", id}, {"X-Deadline-Ms", std::to_string(deadlineMs)}};
    headers.insert(headers.end(), extra.begin(), extra.end());
    note("sent      " + id + " at " + node.name() + ": " + method + " " + host + path);
    const auto answer = ask("127.0.0.1", node.outbound, method, path, headers, {}, deadlineMs);
    note("answered  " + id + " with " + std::to_string(answer.status()) + " "
         + answer.header("Berylspur-Result"));
    return answer;
}

inline bool waitFor(const std::function<bool()> &condition, int limitMs)
{
    const auto until = Clock::now() + std::chrono::milliseconds(limitMs);
    while (!condition()) {
        if (Clock::now() > until)
            return false;
        sleepMs(20);
    }
    return true;
}

inline json routeResource(const std::string &name, const std::string &host,
                          const std::string &prefix, const std::string &type,
                          const std::string &service, bool isPublic = true)
{
    return {{"typeUrl", "routes"},
            {"metadata", {{"name", name}}},
            {"spec",
             {{"host", host},
              {"pathPrefix", prefix},
              {"type", type},
              {"timeout", "6000ms"},
              {"targetLatency", "1500ms"},
              {"priority", 0},
              {"service", service},
              {"attempts", 2},
              {"public", isPublic}}}};
}

inline json serviceResource(const std::string &name)
{
    return {{"typeUrl", "services"},
            {"metadata", {{"name", name}}},
            {"spec", {{"healthPath", "/healthz"}, {"maxConnections", 360}}}};
}

inline json tenantResource(const std::string &name, const std::vector<std::string> &keys)
{
    return {{"typeUrl", "tenants"},
            {"metadata", {{"name", name}}},
            {"spec", {{"apiKeys", keys}, {"priority", 0}, {"ratePerS", 0}, {"burst", 0}}}};
}

inline json limitsResource()
{
    return {{"typeUrl", "limits"},
            {"metadata", json::object()},
            {"spec",
             {{"headerBytes", 16384},
              {"maxBodyBytes", 1048576},
              {"headerTimeout", "3000ms"},
              {"idleTimeout", "15000ms"}}}};
}

inline json configuration(int version, const json &resources)
{
    char text[16];
    std::snprintf(text, sizeof text, "%08x", version);
    return {{"version", text}, {"resources", resources}};
}

/// Directory for settings and logs, removed at the end unless KEEP is set.
class Directory
{
public:
    Directory()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        path = mkdtemp(pattern.data());
    }
    ~Directory()
    {
        if (std::getenv("KEEP"))
            std::fprintf(stderr, "kept: %s\n", path.c_str());
        else
            std::system(("rm -rf '" + path + "'").c_str());
    }
    std::string path;
};

} // namespace harness
