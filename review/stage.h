// Parts that the review scripts share: a store, endpoints and callers as the platform's pages
// describe them, and the node as a separate process. Everything listens on loopback addresses.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <random>
#include <set>
#include <spawn.h>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

extern char **environ;

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitNotRun = 2;

/// Ids of the node processes that run; 0 in unused places.
inline std::atomic<pid_t> (&nodeProcesses())[64]
{
    static std::atomic<pid_t> ids[64];
    return ids;
}

/// Ends all node processes and this one. Safe in a signal handler.
[[noreturn]] inline void finish(int code)
{
    for (const auto &id : nodeProcesses()) {
        if (id > 0)
            ::kill(id, SIGKILL);
    }
    _exit(code);
}

inline const Clock::time_point &startTime()
{
    static const Clock::time_point start = [] {
        for (const int number : {SIGTERM, SIGINT, SIGHUP})
            std::signal(number, [](int) { finish(ExitNotRun); });
        return Clock::now();
    }();
    return start;
}

/// Seconds since the start of the script.
inline double now()
{
    return std::chrono::duration<double>(Clock::now() - startTime()).count();
}

inline void sleepMs(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

/// The file record.txt: one line for each event, with the time in seconds.
class Record
{
public:
    explicit Record(const std::string &file) : m_file(file) { }
    void line(const std::string &text)
    {
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f ", now());
        const std::lock_guard lock(m_mutex);
        m_file << time << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

// ---- sockets ---------------------------------------------------------------------------------

inline sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline bool canBind(std::uint16_t port, int type)
{
    const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    const bool bound = bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    close(fd);
    return bound;
}

inline std::uint16_t freePort()
{
    static std::mutex mutex;
    static int next = 12000 + static_cast<int>(getpid() * 97 % 18000);
    const std::lock_guard lock(mutex);
    for (;;) {
        next = next >= 31000 ? 12000 : next + 1;
        const auto port = static_cast<std::uint16_t>(next);
        if (canBind(port, SOCK_STREAM) && canBind(port, SOCK_DGRAM))
            return port;
    }
}

inline std::string local(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

inline int listenOn(std::uint16_t port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto address = loopback(port);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || listen(fd, 512) != 0) {
        std::perror("listen");
        finish(ExitNotRun);
    }
    return fd;
}

inline int connectTo(std::uint16_t port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool sendAll(int fd, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto n = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

// ---- HTTP ------------------------------------------------------------------------------------

struct Message
{
    std::string first; ///< request or status line
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
    std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const auto from = first.find(' ') + 1;
        return first.substr(from, first.find(' ', from) - from);
    }
};

/// Reads messages from one connection.
class Reader
{
public:
    explicit Reader(int fd) : m_fd(fd) { }

    /// Reads a whole message. Returns false at the end of the connection, or at \a until.
    bool read(Message &message, bool isResponse, Clock::time_point until = Clock::time_point::max())
    {
        message = {};
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until))
                return false;
        }
        std::istringstream lines(m_buffer.substr(0, end));
        m_buffer.erase(0, end + 4);
        std::string line;
        std::getline(lines, line);
        trim(line);
        message.first = line;
        while (std::getline(lines, line)) {
            trim(line);
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            std::string name = line.substr(0, colon);
            for (char &c : name)
                c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.headers[name] = value == std::string::npos ? "" : line.substr(value);
        }
        if (message.headers.count("transfer-encoding"))
            return readChunks(message, until);
        if (message.headers.count("content-length")) {
            const auto length = std::stoull(message.header("content-length"));
            while (m_buffer.size() < length) {
                if (!fill(until))
                    return false;
            }
            message.body = m_buffer.substr(0, length);
            m_buffer.erase(0, length);
            return true;
        }
        if (!isResponse)
            return true;
        while (fill(until)) {
        }
        message.body = std::exchange(m_buffer, {});
        return m_ended;
    }
    bool timedOut() const { return m_timedOut; }

private:
    static void trim(std::string &line)
    {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
    }
    bool readChunks(Message &message, Clock::time_point until)
    {
        for (;;) {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill(until))
                    return false;
            }
            const auto size = std::strtoull(m_buffer.c_str(), nullptr, 16);
            while (m_buffer.size() < end + 2 + size + 2) {
                if (!fill(until))
                    return false;
            }
            message.body += m_buffer.substr(end + 2, size);
            m_buffer.erase(0, end + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }
    bool fill(Clock::time_point until)
    {
        for (;;) {
            int wait = 1000;
            if (until != Clock::time_point::max()) {
                const auto left =
                        std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
                if (left <= 0) {
                    m_timedOut = true;
                    return false;
                }
                wait = static_cast<int>(std::min<long long>(left, 1000));
            }
            pollfd entry {m_fd, POLLIN, 0};
            if (poll(&entry, 1, wait) <= 0)
                continue;
            char bytes[65536];
            const auto n = recv(m_fd, bytes, sizeof bytes, 0);
            if (n <= 0) {
                m_ended = n == 0;
                return false;
            }
            m_buffer.append(bytes, static_cast<std::size_t>(n));
            return true;
        }
    }

    int m_fd;
    std::string m_buffer;
    bool m_ended = false;
    bool m_timedOut = false;
};

inline std::string response(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections and serves each in a thread of its own.
class Server
{
public:
    using Serve = std::function<void(int fd)>;

    Server(std::uint16_t port, Serve serve) : m_fd(listenOn(port)), m_serve(std::move(serve))
    {
        std::thread([this] { accept(); }).detach();
    }
    /// Closes the listener and resets all connections, like a process that ends.
    void end()
    {
        m_ended = true;
        shutdown(m_fd, SHUT_RDWR);
        close(m_fd);
        const std::lock_guard lock(m_mutex);
        for (const int fd : m_open)
            shutdown(fd, SHUT_RDWR);
    }
    bool hasEnded() const { return m_ended; }

private:
    void accept()
    {
        while (!m_ended) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                if (m_ended)
                    return;
                sleepMs(5);
                continue;
            }
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(fd);
            }
            std::thread([this, fd] {
                m_serve(fd);
                const std::lock_guard lock(m_mutex);
                m_open.erase(fd);
                close(fd);
            }).detach();
        }
    }

    int m_fd;
    Serve m_serve;
    std::mutex m_mutex;
    std::set<int> m_open;
    std::atomic<bool> m_ended {false};
};

/// One request on a connection of its own. Status 0: no complete response.
inline Message call(std::uint16_t port, const std::string &text, int limitMs)
{
    Message answer;
    const int fd = connectTo(port);
    if (fd < 0)
        return answer;
    Reader reader(fd);
    if (!sendAll(fd, text) || !reader.read(answer, true, Clock::now() + milliseconds(limitMs)))
        answer = {};
    close(fd);
    return answer;
}

// ---- the platform's store ---------------------------------------------------------------------

/// Objects by kind and name with one revision counter, lists and watches. An answer takes 2 to 6
/// ms, 4 ms on average.
class Store
{
public:
    explicit Store(std::uint16_t port) : m_server(port, [this](int fd) { serve(fd); }) { }

    /// From now on answers take \a factor times as long.
    void slowDown(int factor) { m_factor = factor; }

    /// What the operator does: writes an object. Returns once the store has acknowledged it.
    void put(const std::string &kind, const std::string &name, const json &spec)
    {
        const std::lock_guard lock(m_mutex);
        auto &object = m_objects[kind][name];
        object = {{"metadata",
                   {{"name", name},
                    {"revision", ++m_revision},
                    {"createdAt", 1},
                    {"finalizers", json::array()},
                    {"deletionPending", false}}},
                  {"spec", spec},
                  {"status", nullptr}};
        m_history.push_back({m_revision, kind, object});
        m_changed.notify_all();
    }

private:
    struct Change
    {
        std::uint64_t revision;
        std::string kind;
        json object;
    };

    static long answerTimeUs()
    {
        thread_local std::minstd_rand random(std::random_device {}());
        return std::uniform_int_distribution<long>(2000, 6000)(random);
    }

    static std::string decode(const std::string &text)
    {
        std::string out;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                out += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                out += text[i];
            }
        }
        return out;
    }
    static std::map<std::string, std::string> query(const std::string &text)
    {
        std::map<std::string, std::string> values;
        std::istringstream parts(text);
        std::string part;
        while (std::getline(parts, part, '&')) {
            const auto equals = part.find('=');
            if (equals != std::string::npos)
                values[part.substr(0, equals)] = decode(part.substr(equals + 1));
        }
        return values;
    }

    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        while (reader.read(request, false)) {
            const auto answer = handle(request);
            std::this_thread::sleep_for(std::chrono::microseconds(answerTimeUs() * m_factor));
            if (!sendAll(fd, answer))
                return;
            if (request.header("connection") == "close")
                return;
        }
    }

    std::string handle(const Message &request)
    {
        const auto target = request.target();
        const auto mark = std::min(target.find('?'), target.size());
        const auto values = query(mark < target.size() ? target.substr(mark + 1) : std::string());
        const std::string prefix = "/v1/objects/";
        if (target.rfind(prefix, 0) != 0)
            return response(404, "", "{}");
        const auto path = target.substr(prefix.size(), mark - prefix.size());
        const auto slash = std::min(path.find('/'), path.size());
        const auto kind = decode(path.substr(0, slash));
        const auto name = slash < path.size() ? decode(path.substr(slash + 1)) : std::string();
        std::unique_lock lock(m_mutex);
        if (request.method() == "GET")
            return name.empty() ? list(kind, values, lock) : read(kind, name);
        return write(request, kind, name);
    }

    std::string read(const std::string &kind, const std::string &name)
    {
        const auto &objects = m_objects[kind];
        const auto found = objects.find(name);
        return found == objects.end() ? response(404, Json, "{}")
                                      : response(200, Json, found->second.dump());
    }

    std::string list(const std::string &kind, const std::map<std::string, std::string> &values,
                     std::unique_lock<std::mutex> &lock)
    {
        json answer;
        if (!values.count("watch")) {
            answer["items"] = json::array();
            const auto after = values.count("after") ? values.at("after") : std::string();
            for (const auto &[name, object] : m_objects[kind]) {
                if (name > after)
                    answer["items"].push_back(object);
            }
            answer["hasMore"] = false;
        } else {
            const auto from = std::stoull(values.at("watch"));
            const auto wait = values.count("waitMs") ? std::stoi(values.at("waitMs")) : 0;
            const auto events = [&] {
                json found = json::array();
                for (const auto &change : m_history) {
                    if (change.kind == kind && change.revision > from)
                        found.push_back({{"object", change.object}, {"deleted", false}});
                }
                return found;
            };
            m_changed.wait_for(lock, milliseconds(wait), [&] { return !events().empty(); });
            answer["events"] = events();
        }
        answer["at"] = m_revision;
        return response(200, Json, answer.dump());
    }

    std::string write(const Message &request, const std::string &kind, const std::string &path)
    {
        auto body = json::parse(request.body, nullptr, false);
        if (body.is_discarded() || !body.is_object())
            return response(400, Json, "{}");
        const auto metadata = body.value("metadata", json::object());
        const bool creates = request.method() == "POST";
        const auto name = creates ? metadata.value("name", "") : path;
        auto &objects = m_objects[kind];
        const auto found = objects.find(name);
        if (creates && found != objects.end())
            return response(409, Json, found->second.dump());
        if (!creates && found == objects.end())
            return response(404, Json, "{}");
        if (!creates && metadata.contains("revision")
            && metadata["revision"] != found->second["metadata"]["revision"])
            return response(409, Json, found->second.dump());
        auto &object = objects[name];
        if (!creates && object["spec"] == body["spec"])
            return response(200, Json, object.dump());
        object = {{"metadata",
                   {{"name", name},
                    {"revision", ++m_revision},
                    {"createdAt", 1},
                    {"finalizers", json::array()},
                    {"deletionPending", false}}},
                  {"spec", body["spec"]},
                  {"status", nullptr}};
        m_history.push_back({m_revision, kind, object});
        m_changed.notify_all();
        return response(creates ? 201 : 200, Json, object.dump());
    }

    static constexpr const char *Json = "Content-Type: application/json\r\n";
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, json>> m_objects;
    std::vector<Change> m_history;
    std::uint64_t m_revision = 10;
    std::atomic<int> m_factor {1};
    Server m_server;
};

// ---- configuration ----------------------------------------------------------------------------

inline json route(const std::string &name, const std::string &prefix, const std::string &type,
                  const std::string &service, const std::string &timeout, int attempts)
{
    return {{"typeUrl", "routes"},
            {"metadata", {{"name", name}}},
            {"spec",
             {{"host", "hulo84.example"},
              {"pathPrefix", prefix},
              {"type", type},
              {"timeout", timeout},
              {"targetLatency", "1500ms"},
              {"priority", 1},
              {"service", service},
              {"attempts", attempts}}}};
}

inline json service(const std::string &name)
{
    return {{"typeUrl", "services"},
            {"metadata", {{"name", name}}},
            {"spec",
             {{"healthPath", "/healthz"},
              {"maxConnections", 360},
              {"protocol", "h1"},
              {"tlsEnabled", false}}}};
}

/// The limits that the pages show.
inline json callerLimits()
{
    return {{"typeUrl", "limits"},
            {"metadata", json::object()},
            {"spec",
             {{"headerBytes", 16384},
              {"maxBodyBytes", 67108864},
              {"headerTimeout", "3000ms"},
              {"idleTimeout", "15000ms"}}}};
}

inline json configuration(unsigned version, std::vector<json> resources)
{
    char text[16];
    std::snprintf(text, sizeof text, "%08x", version);
    return {{"version", text}, {"resources", std::move(resources)}};
}

// ---- endpoint ---------------------------------------------------------------------------------

struct Arrival
{
    double time = 0;
    std::string id;
    std::string method;
    bool isComplete = false; ///< the run ended and its response was written
};

/// An application endpoint: runs requests, sends check-ins to the node on its machine.
class Endpoint
{
public:
    Endpoint(Record &record, std::string id, std::string service, std::string zone,
             std::uint16_t port, std::uint16_t admin, int workMs)
        : m_record(record), m_id(std::move(id)), m_service(std::move(service)),
          m_zone(std::move(zone)), m_port(port), m_admin(admin), m_workMs(workMs),
          m_born(std::chrono::duration_cast<milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count()),
          m_server(port, [this](int fd) { serve(fd); })
    {
    }

    /// Sends check-ins every 1.5 s until stopCheckIns().
    void startCheckIns()
    {
        std::thread([this] {
            while (!m_silent) {
                checkIn(takeCheckIn());
                for (int i = 0; i < 30 && !m_silent; ++i)
                    sleepMs(50);
            }
        }).detach();
    }
    void stopCheckIns() { m_silent = true; }
    void setSlots(int slots) { m_slots = slots; }

    /// Body of the next check-in.
    std::string takeCheckIn()
    {
        return json({{"service", m_service},
                     {"address", local(m_port)},
                     {"zone", m_zone},
                     {"version", "v1"},
                     {"slots", m_slots},
                     {"state", "ready"},
                     {"cold", "0ms"},
                     {"sequence", m_sequence.fetch_add(1) + 1},
                     {"born", m_born}})
                .dump();
    }
    std::uint64_t checkInsSent() const { return m_sequence; }
    /// Sends a check-in and returns the status of the answer.
    int checkIn(const std::string &body) { return rpc("instances.heartbeat", body); }
    /// Tells the node that this endpoint leaves. Its health path answers 503 from now on.
    int deregister()
    {
        m_leaving = true;
        return rpc("instances.deregister", json({{"born", m_born}}).dump());
    }
    void end()
    {
        m_silent = true;
        m_server.end();
    }
    const std::string &id() const { return m_id; }
    std::vector<Arrival> runs()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    int rpc(const std::string &name, const std::string &body)
    {
        const auto answer = call(m_admin,
                                 "POST /v1/rpc?call=" + name + "&of=" + m_id
                                         + " HTTP/1.1\r\nHost: " + local(m_admin)
                                         + "\r\nContent-Type: application/json\r\n"
                                           "Connection: close\r\nContent-Length: "
                                         + std::to_string(body.size()) + "\r\n\r\n" + body,
                                 1000);
        return answer.status();
    }

    /// Length of the body that a request of the form /PREFIX/bNUMBER asks for.
    static std::size_t bodyBytes(const Message &request)
    {
        const auto target = request.target();
        const auto at = target.find("/b");
        return at == std::string::npos ? 0 : std::strtoull(target.c_str() + at + 2, nullptr, 10);
    }

    void serve(int fd)
    {
        Reader reader(fd);
        Message request;
        while (reader.read(request, false)) {
            const auto id = request.header("x-request-id");
            if (request.target() == "/healthz") {
                if (!sendAll(fd, response(m_leaving ? 503 : 200,
                                          "X-Instance-Id: " + m_id + "\r\nX-Server-Load: 0,0,4\r\n",
                                          "")))
                    return;
                continue;
            }
            const auto wanted = request.header("x-target-instance");
            if (!wanted.empty() && wanted != m_id) {
                sendAll(fd, response(421, "X-Instance-Id: " + m_id + "\r\n", ""));
                continue;
            }
            if (id.empty()) {
                sendAll(fd, response(400, "X-Not-Executed: 1\r\n", ""));
                continue;
            }
            std::size_t index = 0;
            {
                const std::lock_guard lock(m_mutex);
                index = m_runs.size();
                m_runs.push_back({now(), id, request.method(), false});
            }
            m_record.line("endpoint " + m_id + " runs " + request.method() + " " + id);
            sleepMs(m_workMs);
            const std::string headers = "X-Request-Id: " + id + "\r\nX-Server-Signature: 3e1b." + id
                                        + "\r\nKeep-Alive: timeout=10\r\n"
                                          "X-Server-Load: 1,0,4\r\n";
            if (m_server.hasEnded()
                || !sendAll(fd, response(200, headers,
                                         "done " + id + std::string(bodyBytes(request), 'x'))))
                return;
            const std::lock_guard lock(m_mutex);
            m_runs[index].isComplete = true;
        }
    }

    Record &m_record;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::uint16_t m_port;
    std::uint16_t m_admin;
    std::atomic<int> m_workMs;
    std::int64_t m_born;
    int m_slots = 4;
    std::atomic<std::uint64_t> m_sequence {0};
    std::atomic<bool> m_silent {false};
    std::atomic<bool> m_leaving {false};
    std::mutex m_mutex;
    std::vector<Arrival> m_runs;
    Server m_server;
};

// ---- node -------------------------------------------------------------------------------------

/// The node of one machine, started with the command of the deploy file.
class Node
{
public:
    Node(Record &record, const std::string &folder, std::string name, std::string zone,
         std::string service, std::uint16_t store, std::uint16_t upstream)
        : m_record(record), m_folder(folder), m_name(std::move(name))
    {
        m_values = {{"node", m_name},
                    {"region", "ro-buc"},
                    {"zone", std::move(zone)},
                    {"ip", "127.0.0.1"},
                    {"service", std::move(service)},
                    {"upstreamAddr", local(upstream)},
                    {"platform.address", local(store)},
                    {"bounds.retryBudgetRatio", "0.2"},
                    {"bounds.budgetSlack", "60"},
                    {"bounds.floorShare", "0.7"},
                    {"bounds.gracePeriod", "6s"}};
        caller = freePort();
        admin = freePort();
        readiness = freePort();
        m_values["listen.outbound"] = local(caller);
        m_values["listen.admin"] = local(admin);
        m_values["listen.readinessAddr"] = local(readiness);
        m_values["portRange.0"] = std::to_string(freePort());
        m_values["portRange.1"] = std::to_string(freePort());
    }
    ~Node() { kill(); }

    void start(bool bootstrap)
    {
        const auto file = m_folder + "/" + m_name + ".yaml";
        std::ofstream(file) << render(bootstrap);
        const auto log = m_folder + "/" + m_name + ".log";
        const std::string program = "target/bin/berylspur-node";
        std::vector<std::string> words {program, "--settings", file};
        std::vector<char *> argv;
        for (auto &word : words)
            argv.push_back(word.data());
        argv.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                         0644);
        posix_spawn_file_actions_adddup2(&actions, 1, 2);
        if (posix_spawn(&m_id, program.c_str(), &actions, nullptr, argv.data(), environ) != 0) {
            std::fprintf(stderr, "cannot start %s\n", program.c_str());
            finish(ExitNotRun);
        }
        posix_spawn_file_actions_destroy(&actions);
        track(0, m_id);
        startedAt = now();
        m_record.line("node " + m_name + " started");
    }
    void kill()
    {
        if (m_id <= 0)
            return;
        ::kill(m_id, SIGKILL);
        waitpid(m_id, nullptr, 0);
        track(m_id, 0);
        m_id = -1;
        m_record.line("node " + m_name + " killed");
    }
    void signal(int number) const
    {
        if (m_id > 0)
            ::kill(m_id, number);
    }
    /// Resident memory now, in bytes; 0 if the process has ended.
    std::size_t residentBytes() const
    {
        std::ifstream file("/proc/" + std::to_string(m_id) + "/statm");
        std::size_t total = 0;
        std::size_t resident = 0;
        file >> total >> resident;
        return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    }
    bool hasEnded()
    {
        int status = 0;
        if (m_id <= 0 || waitpid(m_id, &status, WNOHANG) != m_id)
            return m_id <= 0;
        track(m_id, 0);
        m_id = -1;
        m_record.line("node " + m_name + " ended by itself, status " + std::to_string(status));
        return true;
    }
    bool isReady() const
    {
        return call(readiness,
                    "GET /v1/readyz HTTP/1.1\r\nHost: " + local(readiness)
                            + "\r\nConnection: close\r\n\r\n",
                    500)
                       .status()
               == 200;
    }
    const std::string &name() const { return m_name; }

    std::uint16_t caller = 0;
    std::uint16_t admin = 0;
    std::uint16_t readiness = 0;
    double startedAt = 0;

private:
    /// Replaces \a from by \a to in the list of running processes.
    static void track(pid_t from, pid_t to)
    {
        for (auto &id : nodeProcesses()) {
            pid_t expected = from;
            if (id.compare_exchange_strong(expected, to))
                return;
        }
    }
    /// Fills in deploy/node.yaml.template as the platform does.
    std::string render(bool bootstrap) const
    {
        std::ifstream file("deploy/node.yaml.template");
        std::stringstream text;
        text << file.rdbuf();
        std::string out = text.str();
        const std::string open = "{{^bootstrap}}";
        const std::string close = "{{/bootstrap}}";
        for (auto at = out.find(open); at != std::string::npos; at = out.find(open)) {
            const auto end = out.find(close, at);
            const auto inner = out.substr(at + open.size(), end - at - open.size());
            out.replace(at, end + close.size() - at, bootstrap ? "" : inner);
        }
        for (const auto &[name, value] : m_values) {
            const auto mark = "{{" + name + "}}";
            for (auto at = out.find(mark); at != std::string::npos; at = out.find(mark))
                out.replace(at, mark.size(), value);
        }
        if (out.find("{{") != std::string::npos) {
            std::fprintf(stderr, "the template has an unknown field\n");
            finish(ExitNotRun);
        }
        return out;
    }

    Record &m_record;
    std::string m_folder;
    std::string m_name;
    std::map<std::string, std::string> m_values;
    pid_t m_id = -1;
};

/// Waits until \a condition holds, or ends the script as one that couldn't run.
inline void require(const std::function<bool()> &condition, int limitMs, const char *what)
{
    const auto end = Clock::now() + milliseconds(limitMs);
    while (!condition()) {
        if (Clock::now() > end) {
            std::fprintf(stderr, "not run: %s\n", what);
            finish(ExitNotRun);
        }
        sleepMs(20);
    }
}

// ---- callers ----------------------------------------------------------------------------------

/// Id of a request, unique in a script.
inline std::string newRequestId()
{
    static std::atomic<unsigned> next {0};
    char text[32];
    std::snprintf(text, sizeof text, "%08x%08x", ++next * 2654435761U, next.load());
    return text;
}

struct Answer
{
    std::string id;
    int status = 0; ///< 0: the connection ended without a complete response
    bool timedOut = false;
    double sent = 0;
    double ended = 0;
};

inline std::string requestText(const std::string &method, const std::string &target,
                               const std::string &id, int deadlineMs, const std::string &body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: hulo84.example\r\nX-Request-Id: "
                       + id + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

/// Sends one request on \a fd and waits for its answer.
inline Answer ask(Record &record, int fd, Reader &reader, const std::string &method,
                  const std::string &target, int deadlineMs, const std::string &body)
{
    Answer answer;
    answer.id = newRequestId();
    answer.sent = now();
    record.line("caller sends " + method + " " + target + " " + answer.id + " with "
                + std::to_string(body.size()) + " body bytes");
    Message message;
    const bool isSent = sendAll(fd, requestText(method, target, answer.id, deadlineMs, body));
    if (isSent && reader.read(message, true, Clock::now() + milliseconds(deadlineMs + 1000)))
        answer.status = message.status();
    answer.timedOut = reader.timedOut();
    answer.ended = now();
    record.line("caller gets " + std::to_string(answer.status) + " for " + answer.id);
    return answer;
}

} // namespace review
