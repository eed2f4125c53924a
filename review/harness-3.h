// Stand-ins and helpers of the cases 6, 7, 9 and 10: the platform's store, endpoints, callers and
// nodes as processes. All of it runs on loopback addresses. One thread serves each connection.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
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
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int Held = 0; ///< exit statuses of a case
constexpr int Broken = 1;
constexpr int CannotRun = 2;

inline const Clock::time_point Start = Clock::now();

inline double seconds()
{
    return std::chrono::duration<double>(Clock::now() - Start).count();
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

inline void pause(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/// record.txt in the folder of the case: what was sent, answered and run.
class Record
{
public:
    static Record &instance()
    {
        static Record record;
        return record;
    }
    void open(const std::string &file) { m_file.open(file, std::ios::trunc); }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f ", seconds());
        m_file << time << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// Bytes outside printable ASCII as \xNN.
inline std::string printable(const std::string &text)
{
    std::string out;
    for (const unsigned char c : text) {
        char hex[8];
        std::snprintf(hex, sizeof hex, "\\x%02x", c);
        out += c >= 0x20 && c < 0x7f ? std::string(1, static_cast<char>(c)) : std::string(hex);
    }
    return out;
}

inline void note(const std::string &text)
{
    Record::instance().line(printable(text));
}

inline sockaddr_in socketAddress(const std::string &ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// First of \a count consecutive ports that are free on all loopback addresses, below the
/// ephemeral range.
inline int freePorts(int count)
{
    static int next = 12000 + static_cast<int>(getpid()) * 61 % 18000;
    for (;; next = next > 30000 ? 12000 : next + 1) {
        bool isFree = true;
        for (int port = next; port < next + count && isFree; ++port) {
            for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
                const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
                auto address = socketAddress("0.0.0.0", port);
                isFree = isFree
                         && bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
                close(fd);
            }
        }
        if (isFree) {
            const int found = next;
            next += count;
            return found;
        }
    }
}

inline std::string lower(std::string text)
{
    for (auto &c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

/// A request or a response.
struct Message
{
    std::string first; ///< request line or status line
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
    bool isComplete = false;
    std::string header(const std::string &name) const
    {
        const auto found = headers.find(lower(name));
        return found == headers.end() ? std::string() : found->second;
    }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const auto from = first.find(' ') + 1;
        return first.substr(from, first.find(' ', from) - from);
    }
    int status() const { return first.size() > 9 ? std::atoi(first.c_str() + 9) : 0; }
};

/// A TCP connection.
class Connection
{
public:
    explicit Connection(int fd) : m_fd(fd)
    {
        const int on = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    Connection(const std::string &ip, int port)
        : Connection(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const auto address = socketAddress(ip, port);
        if (connect(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
            m_isClosed = true;
    }
    ~Connection() { close(m_fd); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }
    /// True if the peer has closed the connection and everything it sent was read.
    bool isClosedByPeer()
    {
        char byte = 0;
        const auto n = recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN);
    }
    /// Reads one message. first is empty if nothing came before \a limit or the close.
    Message read(milliseconds limit, bool isResponse)
    {
        const auto end = Clock::now() + limit;
        Message message;
        auto headEnd = std::string::npos;
        while ((headEnd = m_input.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(end))
                return message;
        }
        std::istringstream head(m_input.substr(0, headEnd));
        m_input.erase(0, headEnd + 4);
        std::string line;
        std::getline(head, line);
        message.first = line.substr(0, line.find('\r'));
        while (std::getline(head, line)) {
            line = line.substr(0, line.find('\r'));
            const auto colon = line.find(':');
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            message.headers[lower(line.substr(0, colon))] = value;
        }
        const auto length = message.header("Content-Length");
        if (lower(message.header("Transfer-Encoding")) == "chunked") {
            message.isComplete = readChunks(message.body, end);
        } else if (!length.empty() || !isResponse) {
            const auto size = static_cast<std::size_t>(std::atoll(length.c_str()));
            while (m_input.size() < size && fill(end)) {
            }
            message.isComplete = m_input.size() >= size;
            message.body = m_input.substr(0, size);
            m_input.erase(0, size);
        } else {
            while (fill(end)) {
            }
            message.isComplete = m_wasClosedInOrder;
            message.body = std::exchange(m_input, {});
        }
        return message;
    }
    bool isClosed() const { return m_isClosed; }
    void shutdownNow() { ::shutdown(m_fd, SHUT_RDWR); }

private:
    bool fill(Clock::time_point end)
    {
        for (;;) {
            if (m_isClosed)
                return false;
            const auto left = std::chrono::duration_cast<milliseconds>(end - Clock::now()).count();
            if (left <= 0)
                return false;
            pollfd entry {m_fd, POLLIN, 0};
            if (poll(&entry, 1, static_cast<int>(std::min<std::int64_t>(left, 200))) <= 0)
                continue;
            char buffer[65536];
            const auto n = recv(m_fd, buffer, sizeof buffer, 0);
            if (n <= 0) {
                m_isClosed = true;
                m_wasClosedInOrder = n == 0;
                return false;
            }
            m_input.append(buffer, static_cast<std::size_t>(n));
            return true;
        }
    }
    bool readChunks(std::string &body, Clock::time_point end)
    {
        for (;;) {
            std::size_t lineEnd = 0;
            while ((lineEnd = m_input.find("\r\n")) == std::string::npos) {
                if (!fill(end))
                    return false;
            }
            const auto size = std::strtoull(m_input.c_str(), nullptr, 16);
            m_input.erase(0, lineEnd + 2);
            while (m_input.size() < size + 2) {
                if (!fill(end))
                    return false;
            }
            body += m_input.substr(0, size);
            m_input.erase(0, size + 2);
            if (size == 0)
                return true;
        }
    }

    int m_fd;
    std::string m_input;
    bool m_isClosed = false;
    bool m_wasClosedInOrder = false;
};

/// Accepts connections and serves each in a thread of its own, until the process ends.
class Listener
{
public:
    using Serve = std::function<void(const std::shared_ptr<Connection> &)>;
    Listener(const std::string &ip, int port, Serve serve)
        : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), m_serve(std::move(serve))
    {
        const int on = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto address = socketAddress(ip, port);
        if (bind(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
            || listen(m_fd, 512) != 0) {
            std::cerr << "cannot listen on " << ip << ":" << port << "\n";
            std::_Exit(CannotRun);
        }
        std::thread([this] {
            for (;;) {
                const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    continue;
                std::thread([serve = m_serve, connection = std::make_shared<Connection>(fd)] {
                    serve(connection);
                }).detach();
            }
        }).detach();
    }

private:
    int m_fd;
    Serve m_serve;
};

inline std::string responseText(int status, const std::vector<std::string> &headers,
                                const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto &header : headers)
        text += header + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's store of objects (PROTOCOL, "The platform's metadata store").
class Store
{
public:
    Store(std::string ip, int port)
        : m_listener(std::move(ip), port, [this](const auto &connection) { serve(connection); })
    {
    }
    /// What the operator writes. Returns once the store has acknowledged it.
    void configure(const std::string &version, const json &resources)
    {
        put("config", "main", {{"version", version}, {"resources", resources}});
        note("operator: configuration " + version + " acknowledged");
    }
    std::atomic<int> delayMs {4};

    /// An address of its own for one machine, at which the store may turn that machine away.
    class Door
    {
    public:
        Door(Store &store, const std::string &ip, int port)
            : m_store(store), m_listener(ip, port, [this](const auto &connection) {
                  {
                      const std::lock_guard lock(m_mutex);
                      m_open.push_back(connection);
                  }
                  m_store.serve(connection, this);
              })
        {
        }
        /// From now on calls get 503, and those that wait are cut off. The store stays the same for
        /// all other machines.
        void refuse(bool refuses)
        {
            m_refuses = refuses;
            const std::lock_guard lock(m_mutex);
            for (const auto &connection : m_open) {
                if (const auto open = connection.lock(); open && refuses)
                    open->shutdownNow();
            }
        }
        bool refuses() const { return m_refuses; }
        std::atomic<int> watches {0}; ///< waiting now

    private:
        Store &m_store;
        std::mutex m_mutex;
        std::atomic<bool> m_refuses {false};
        std::vector<std::weak_ptr<Connection>> m_open;
        Listener m_listener;
    };

private:
    struct Object
    {
        json value;
        std::uint64_t revision = 0;
    };
    struct Event
    {
        std::string kind;
        std::uint64_t revision = 0;
        json value;
    };

    json put(const std::string &kind, const std::string &name, const json &spec)
    {
        const std::lock_guard lock(m_mutex);
        auto &object = m_objects[kind][name];
        if (object.revision != 0 && object.value["spec"] == spec)
            return object.value;
        object.revision = ++m_revision;
        const auto created = object.value.is_null()
                                     ? unixMs()
                                     : object.value["metadata"]["createdAt"].get<std::int64_t>();
        object.value = {{"metadata",
                         {{"name", name},
                          {"revision", m_revision},
                          {"createdAt", created},
                          {"finalizers", json::array()},
                          {"deletionPending", false}}},
                        {"spec", spec},
                        {"status", nullptr}};
        m_events.push_back({kind, m_revision, {{"object", object.value}, {"deleted", false}}});
        m_changed.notify_all();
        return object.value;
    }
    void serve(const std::shared_ptr<Connection> &connection, Door *door = nullptr)
    {
        for (;;) {
            const auto request = connection->read(milliseconds(60000), false);
            if (request.first.empty())
                return;
            const bool waits = door && request.target().find("watch=") != std::string::npos;
            if (waits)
                ++door->watches;
            const auto [status, body] =
                    door && door->refuses() ? std::pair {503, json::object()} : handle(request);
            if (waits)
                --door->watches;
            pause(delayMs);
            if (!connection->send(
                        responseText(status, {"Content-Type: application/json"}, body.dump()))
                || lower(request.header("Connection")) == "close")
                return;
        }
    }
    std::pair<int, json> handle(const Message &request)
    {
        auto target = request.target();
        std::map<std::string, std::string> query;
        if (const auto mark = target.find('?'); mark != std::string::npos) {
            std::istringstream items(target.substr(mark + 1));
            std::string item;
            while (std::getline(items, item, '&'))
                query[item.substr(0, item.find('='))] = item.substr(item.find('=') + 1);
            target.erase(mark);
        }
        const std::string prefix = "/v1/objects/";
        if (!target.starts_with(prefix))
            return {404, json::object()};
        const auto path = target.substr(prefix.size());
        const auto kind = path.substr(0, path.find('/'));
        const auto name =
                path.find('/') == std::string::npos ? "" : path.substr(path.find('/') + 1);
        if (request.method() == "GET" && query.contains("watch"))
            return watch(kind, std::stoull(query["watch"]), std::stoi(query["waitMs"]));
        std::unique_lock lock(m_mutex);
        auto &objects = m_objects[kind];
        if (request.method() == "GET" && name.empty()) {
            json items = json::array();
            for (const auto &[key, object] : objects) {
                if (key > query["after"])
                    items.push_back(object.value);
            }
            return {200, {{"items", items}, {"hasMore", false}, {"at", m_revision}}};
        }
        const auto found = objects.find(name);
        if (request.method() == "GET")
            return found == objects.end() ? std::pair {404, json::object()}
                                          : std::pair {200, found->second.value};
        if (request.method() == "DELETE") {
            objects.erase(name);
            return {200, json::object()};
        }
        const auto body = json::parse(request.body);
        const auto &metadata = body.at("metadata");
        if (request.method() == "POST") {
            const auto created = metadata.at("name").get<std::string>();
            if (objects.contains(created))
                return {409, objects[created].value};
            lock.unlock();
            return {201, put(kind, created, body.at("spec"))};
        }
        if (found == objects.end())
            return {404, json::object()};
        if (metadata.contains("revision") && metadata["revision"] != found->second.revision)
            return {409, found->second.value};
        lock.unlock();
        return {200, put(kind, name, body.at("spec"))};
    }
    std::pair<int, json> watch(const std::string &kind, std::uint64_t after, int waitMs)
    {
        std::unique_lock lock(m_mutex);
        json events = json::array();
        m_changed.wait_for(lock, milliseconds(waitMs), [&] {
            for (const auto &event : m_events) {
                if (event.kind == kind && event.revision > after)
                    events.push_back(event.value);
            }
            return !events.empty();
        });
        return {200, {{"events", events}, {"at", m_revision}}};
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 1;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Event> m_events;
    Listener m_listener;
};

struct Reply
{
    int status = 200;
    std::vector<std::string> headers;
    std::string body = "done\n";
};

/// An endpoint with \a slots slots and a queue (PROTOCOL, "Endpoints"). It announces itself to the
/// node on its machine.
class Endpoint
{
public:
    /// Does the work of a request that runs. \a isGone tells whether its connection was closed.
    using Work = std::function<Reply(const Message &, const std::function<bool()> &isGone)>;
    Endpoint(std::string id, std::string service, std::string ip, int port, int slots, Work work)
        : m_id(std::move(id)), m_service(std::move(service)), m_ip(ip), m_port(port),
          m_slots(slots), m_work(std::move(work)), m_born(unixMs()),
          m_listener(ip, port, [this](const auto &connection) { serve(connection); })
    {
    }
    const std::string &id() const { return m_id; }
    const std::string &service() const { return m_service; }
    std::string address() const { return m_ip + ":" + std::to_string(m_port); }
    /// Sends heartbeats to the node's admin address from now on.
    void announceTo(const std::string &ip, int port)
    {
        std::thread([this, ip, port] {
            for (;;) {
                heartbeat(ip, port, "ready");
                pause(1500);
            }
        }).detach();
    }
    int heartbeat(const std::string &ip, int port, const std::string &state)
    {
        const std::lock_guard lock(m_beatMutex);
        const json body = {{"service", m_service}, {"address", address()},     {"zone", "zone-a"},
                           {"version", "v1"},      {"slots", m_slots},         {"state", state},
                           {"cold", "0ms"},        {"sequence", ++m_sequence}, {"born", m_born}};
        Connection connection(ip, port);
        const auto text = body.dump();
        connection.send("POST /v1/rpc?call=instances.heartbeat&of=" + m_id
                        + " HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n"
                          "Content-Length: "
                        + std::to_string(text.size()) + "\r\nConnection: close\r\n\r\n" + text);
        return connection.read(milliseconds(1000), true).status();
    }
    /// Requests that ran, in order.
    std::vector<Message> runs()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    void serve(const std::shared_ptr<Connection> &connection)
    {
        for (;;) {
            const auto request = connection->read(milliseconds(10000), false);
            if (request.first.empty() || !request.isComplete)
                return;
            if (!connection->send(answer(request, *connection)))
                return;
        }
    }
    std::string answer(const Message &request, Connection &connection)
    {
        const auto id = request.header("X-Request-Id");
        const std::string echo = "X-Request-Id: " + id;
        if (request.target() == "/healthz")
            return responseText(200, {"X-Instance-Id: " + m_id, load()}, "");
        const auto wanted = request.header("X-Target-Instance");
        if (!wanted.empty() && wanted != m_id)
            return responseText(421, {"X-Not-Executed: 1", "X-Instance-Id: " + m_id, echo}, "");
        if (id.empty())
            return responseText(400, {"X-Not-Executed: 1"}, "");
        std::unique_lock lock(m_mutex);
        if (m_running >= m_slots && m_waiting >= MaxQueue)
            return responseText(503, {"X-Not-Executed: 1", load(), echo}, "");
        ++m_waiting;
        m_free.wait(lock, [this] { return m_running < m_slots; });
        --m_waiting;
        ++m_running;
        m_runs.push_back(request);
        lock.unlock();
        note("endpoint " + m_id + " runs " + id + " " + request.first
             + " tenant=" + request.header("X-Tenant-Id"));
        auto reply = m_work(request, [&connection] { return connection.isClosedByPeer(); });
        lock.lock();
        --m_running;
        m_free.notify_one();
        lock.unlock();
        reply.headers.push_back(echo);
        reply.headers.push_back("X-Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1");
        reply.headers.push_back(load());
        note("endpoint " + m_id + " answers " + id + " with " + std::to_string(reply.status));
        return responseText(reply.status, reply.headers, reply.body);
    }
    std::string load() const
    {
        return "X-Server-Load: " + std::to_string(m_running.load()) + ","
               + std::to_string(m_waiting.load()) + "," + std::to_string(m_slots);
    }

    static constexpr int MaxQueue = 24;
    std::string m_id;
    std::string m_service;
    std::string m_ip;
    int m_port;
    int m_slots;
    Work m_work;
    std::int64_t m_born;
    std::mutex m_mutex;
    std::mutex m_beatMutex;
    std::condition_variable m_free;
    std::atomic<int> m_running {0};
    std::atomic<int> m_waiting {0};
    std::uint64_t m_sequence = 0;
    std::vector<Message> m_runs;
    Listener m_listener;
};

/// The template of the deploy file, filled in as DEPLOY says.
inline std::string fillTemplate(const std::string &text, const json &fields, const json &scope)
{
    const auto lookUp = [&](const std::string &name) -> json {
        if (name == ".")
            return scope;
        for (const json *root : {&scope, &fields}) {
            const json *value = root;
            std::istringstream parts(name);
            std::string part;
            while (value && std::getline(parts, part, '.')) {
                if (value->is_object() && value->contains(part))
                    value = &(*value)[part];
                else if (value->is_array() && std::stoul(part) < value->size())
                    value = &(*value)[std::stoul(part)];
                else
                    value = nullptr;
            }
            if (value)
                return *value;
        }
        return nullptr;
    };
    std::string out;
    std::size_t at = 0;
    for (;;) {
        const auto open = text.find("{{", at);
        out += text.substr(at, open - at);
        if (open == std::string::npos)
            return out;
        const auto end = text.find("}}", open);
        auto name = text.substr(open + 2, end - open - 2);
        at = end + 2;
        if (name[0] != '#' && name[0] != '^') {
            const auto value = lookUp(name);
            out += value.is_null()     ? ""
                   : value.is_string() ? value.get<std::string>()
                                       : value.dump();
            continue;
        }
        const bool isNegated = name[0] == '^';
        name.erase(0, 1);
        const std::string closing = "{{/" + name + "}}";
        const auto close = text.find(closing, at);
        const auto value = lookUp(name);
        const bool isSet = !value.is_null() && value != json(false);
        if (isSet != isNegated)
            out += fillTemplate(text.substr(at, close - at), fields, value);
        at = close + closing.size();
    }
}

/// A node, started with the command of the deploy file and settings made from its template.
class Node
{
public:
    std::string name;
    std::string ip;
    int caller = 0;
    int admin = 0; ///< for the heartbeats of its endpoint
    int readiness = 0;
    int dump = 0; ///< the node's own admin page

    Node(std::string nodeName, std::string address, const Endpoint &endpoint, int storePort,
         json bounds, std::filesystem::path folder)
        : name(std::move(nodeName)), ip(std::move(address)), m_folder(std::move(folder))
    {
        const int ports = freePorts(6);
        caller = ports;
        admin = ports + 1;
        readiness = ports + 2;
        dump = ports + 4;
        const auto at = [this](int port) { return ip + ":" + std::to_string(port); };
        m_fields = {{"node", name},
                    {"ip", ip},
                    {"zone", "zone-a"},
                    {"region", "region-a"},
                    {"portRange", {ports + 3, ports + 4}},
                    {"bootstrap", true},
                    {"service", endpoint.service()},
                    {"upstreamAddr", endpoint.address()},
                    {"listen",
                     {{"outbound", at(caller)},
                      {"admin", at(admin)},
                      {"readinessAddr", at(readiness)},
                      {"inbound", at(ports + 5)}}},
                    {"platform", {{"address", "127.0.0.1:" + std::to_string(storePort)}}},
                    {"bounds", std::move(bounds)}};
    }
    ~Node() { kill(SIGKILL); }
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Whoever collects the node's log stops reading it.
    void stopReadingLog() { *m_readsLog = false; }

    void start(bool isBootstrap)
    {
        m_fields["bootstrap"] = isBootstrap;
        std::ifstream file("deploy/node.yaml.template");
        std::stringstream text;
        text << file.rdbuf();
        const auto settings = m_folder / (name + ".yaml");
        std::ofstream(settings) << fillTemplate(text.str(), m_fields, m_fields);
        const auto log = (m_folder / (name + ".log")).string();
        int ends[2];
        if (pipe2(ends, O_CLOEXEC) != 0)
            throw CannotRun;
        m_pid = fork();
        if (m_pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            dup2(ends[1], 1);
            dup2(ends[1], 2);
            execl("target/bin/berylspur-node", "target/bin/berylspur-node", "--settings",
                  settings.c_str(), static_cast<char *>(nullptr));
            _exit(127);
        }
        close(ends[1]);
        std::thread([reads = m_readsLog, log, fd = ends[0]] {
            std::ofstream file(log, std::ios::app);
            char buffer[4096];
            while (*reads) {
                pollfd entry {fd, POLLIN, 0};
                if (poll(&entry, 1, 20) <= 0 || !*reads)
                    continue;
                const auto n = read(fd, buffer, sizeof buffer);
                if (n <= 0)
                    return;
                file << std::string_view(buffer, static_cast<std::size_t>(n)) << std::flush;
            }
        }).detach();
        note("platform: " + name + " started");
    }
    void kill(int signal)
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, signal);
        if (signal == SIGKILL) {
            waitpid(m_pid, nullptr, 0);
            m_pid = -1;
        }
    }
    /// How the process ended, or nothing if it still runs after \a limit.
    std::optional<std::string> waitForEnd(milliseconds limit)
    {
        const auto end = Clock::now() + limit;
        while (m_pid > 0 && Clock::now() < end) {
            int status = 0;
            if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
                m_pid = -1;
                return WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status))
                                           : "with status " + std::to_string(WEXITSTATUS(status));
            }
            pause(10);
        }
        return std::nullopt;
    }
    /// Asks as the platform does.
    bool isReady() const
    {
        Connection connection(ip, readiness);
        connection.send("GET /v1/readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
        return connection.read(milliseconds(1000), true).status() == 200;
    }
    std::string state() const
    {
        Connection connection("127.0.0.1", dump);
        connection.send("GET /state HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
        return connection.read(milliseconds(2000), true).body;
    }
    std::string log() const
    {
        std::ifstream file(m_folder / (name + ".log"));
        std::stringstream text;
        text << file.rdbuf();
        return text.str();
    }

private:
    std::filesystem::path m_folder;
    json m_fields;
    pid_t m_pid = -1;
    std::shared_ptr<std::atomic<bool>> m_readsLog = std::make_shared<std::atomic<bool>>(true);
};

inline std::string requestText(const std::string &method, const std::string &target,
                               const std::string &id, int timeLimitMs,
                               const std::vector<std::string> &headers = {},
                               const std::string &body = {})
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: "
                       + id + "\r\nX-Deadline-Ms: " + std::to_string(timeLimitMs) + "\r\n";
    for (const auto &header : headers)
        text += header + "\r\n";
    if (method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

inline std::string describe(const Message &response)
{
    if (response.first.empty())
        return "closed without an answer";
    return std::to_string(response.status()) + (response.isComplete ? "" : " incomplete")
           + (response.header("X-Server-Signature").empty() ? " without a signature"
                                                            : " with a signature");
}

inline json route(const std::string &name, const std::string &prefix, const std::string &type,
                  const std::string &service, const std::string &timeout)
{
    return {{"typeUrl", "routes"},
            {"metadata", {{"name", name}}},
            {"spec",
             {{"host", "site.example"},
              {"pathPrefix", prefix},
              {"type", type},
              {"timeout", timeout},
              {"targetLatency", "1500ms"},
              {"priority", 1},
              {"service", service},
              {"attempts", 2}}}};
}

inline json service(const std::string &name)
{
    return {{"typeUrl", "services"},
            {"metadata", {{"name", name}}},
            {"spec", {{"healthPath", "/healthz"}, {"maxConnections", 360}, {"protocol", "h1"}}}};
}

inline json limits()
{
    return {{"typeUrl", "limits"},
            {"metadata", json::object()},
            {"spec",
             {{"headerBytes", 16384},
              {"maxBodyBytes", 67108864},
              {"headerTimeout", "3000ms"},
              {"idleTimeout", "15000ms"}}}};
}

inline json tenant(const std::string &name, const std::string &key, int rate, int burst)
{
    return {{"typeUrl", "tenants"},
            {"metadata", {{"name", name}}},
            {"spec", {{"apiKeys", {key}}, {"ratePerS", rate}, {"burst", burst}}}};
}

/// Bounds as on the sheets of the deployments.
inline json bounds()
{
    return {{"retryBudgetRatio", 0.2},
            {"budgetSlack", 60},
            {"floorShare", 0.7},
            {"gracePeriod", "6s"},
            {"drainTimeout", "2500ms"}};
}

/// Waits until \a condition holds. Ends the case with CannotRun after \a limit.
inline void require(const std::string &what, milliseconds limit,
                    const std::function<bool()> &condition)
{
    const auto end = Clock::now() + limit;
    while (!condition()) {
        if (Clock::now() > end) {
            note("cannot run: " + what);
            std::cerr << "cannot run: " << what << "\n";
            throw CannotRun;
        }
        pause(50);
    }
}

/// Runs \a body in a temporary folder, with record.txt in \a caseFolder. The body returns Held or
/// Broken.
inline int runCase(const std::string &caseFolder,
                   const std::function<int(const std::filesystem::path &)> &body)
{
    std::signal(SIGPIPE, SIG_IGN);
    Record::instance().open(caseFolder + "/record.txt");
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    const std::filesystem::path folder = mkdtemp(pattern.data());
    int result = CannotRun;
    try {
        note(hasTrouble() ? "with the disruption" : "without the disruption");
        result = body(folder);
    } catch (const int status) {
        result = status;
    }
    note("result " + std::to_string(result));
    std::cout << "result " << result << std::endl;
    if (!std::getenv("REVIEW_KEEP"))
        std::filesystem::remove_all(folder);
    else
        std::cout << folder << std::endl;
    std::_Exit(result);
}

} // namespace review
