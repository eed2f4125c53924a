// Starts and stops the processes of a test fleet and sends requests to them.
#include "process_fixture.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <netinet/in.h>
#include <poll.h>
#include <spawn.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char **environ;

namespace berylspur::test {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

bool canBind(std::uint16_t port, int type)
{
    const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    const bool bound = bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    close(fd);
    return bound;
}

std::string local(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// Decodes a chunked body into \a body; returns true if it includes the last chunk.
bool decodeChunks(const std::string &raw, std::string &body)
{
    std::size_t at = 0;
    while (true) {
        const auto end = raw.find("\r\n", at);
        if (end == std::string::npos)
            return false;
        const auto size = std::strtoul(raw.c_str() + at, nullptr, 16);
        if (size == 0)
            return raw.find("\r\n", end + 2) != std::string::npos;
        if (raw.size() < end + 2 + size + 2) {
            body += raw.substr(end + 2);
            return false;
        }
        body += raw.substr(end + 2, size);
        at = end + 2 + size + 2;
    }
}

} // namespace

Response parseResponse(const std::string &raw, bool isHead, bool ended)
{
    Response response;
    const auto end = raw.find("\r\n\r\n");
    if (end == std::string::npos || raw.size() < 12 || raw.rfind("HTTP/1.", 0) != 0)
        return response;
    response.status = std::atoi(raw.c_str() + 9);
    std::istringstream lines(raw.substr(0, end));
    std::string line;
    std::getline(lines, line);
    while (std::getline(lines, line)) {
        const auto colon = line.find(": ");
        if (colon == std::string::npos)
            continue;
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        response.headers[lower(line.substr(0, colon))] = line.substr(colon + 2);
    }
    const std::string rest = raw.substr(end + 4);
    if (isHead) {
        response.isComplete = true;
    } else if (response.headers.count("transfer-encoding")) {
        response.isComplete = decodeChunks(rest, response.body);
    } else if (response.headers.count("content-length")) {
        response.body = rest;
        response.isComplete = rest.size() == std::stoul(response.headers["content-length"]);
    } else {
        response.body = rest;
        response.isComplete = ended;
    }
    return response;
}

Process::Process(const std::string &program, const std::vector<std::string> &arguments,
                 const std::string &logFile)
{
    const std::string path = std::string(BERYLSPUR_BIN_DIR) + "/" + program;
    std::vector<std::string> words = arguments;
    words.insert(words.begin(), path);
    std::vector<char *> argv;
    for (std::string &word : words)
        argv.push_back(word.data());
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 1, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    if (posix_spawn(&m_id, path.c_str(), &actions, nullptr, argv.data(), environ) != 0)
        m_id = -1;
    posix_spawn_file_actions_destroy(&actions);
}

Process::~Process()
{
    if (m_id <= 0 || m_exit)
        return;
    ::kill(m_id, SIGKILL);
    waitpid(m_id, nullptr, 0);
}

void Process::signal(int number) const
{
    if (m_id > 0 && !m_exit)
        ::kill(m_id, number);
}

std::optional<int> Process::waitForExit(milliseconds limit)
{
    waitFor(
            [this] {
                int status = 0;
                if (!m_exit && waitpid(m_id, &status, WNOHANG) == m_id)
                    m_exit = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
                return m_exit.has_value();
            },
            limit);
    return m_exit;
}

std::uint16_t freePorts(int count)
{
    // Below the ephemeral range, so that no outgoing connection can take the port before it is
    // used.
    constexpr int First = 12000;
    constexpr int Range = 20000;
    static std::atomic<int> next(static_cast<int>(getpid() * 97 % Range));
    while (true) {
        const int start = First + next.fetch_add(count) % (Range - count);
        bool isFree = true;
        for (int port = start; port < start + count && isFree; ++port) {
            isFree = canBind(static_cast<std::uint16_t>(port), SOCK_STREAM)
                     && canBind(static_cast<std::uint16_t>(port), SOCK_DGRAM);
        }
        if (isFree)
            return static_cast<std::uint16_t>(start);
    }
}

std::uint16_t freePort()
{
    return freePorts(1);
}

std::string Response::header(const std::string &name) const
{
    const auto found = headers.find(lower(name));
    return found == headers.end() ? std::string() : found->second;
}

Response exchange(std::uint16_t port, const std::string &text, milliseconds limit)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        close(fd);
        return {};
    }
    const bool isHead = text.rfind("HEAD ", 0) == 0;
    const auto end = Clock::now() + limit;
    std::size_t sent = 0;
    std::string raw;
    bool ended = false;
    Response response;
    while (!ended && Clock::now() < end) {
        pollfd entry {fd, static_cast<short>(POLLIN | (sent < text.size() ? POLLOUT : 0)), 0};
        if (poll(&entry, 1, 50) <= 0)
            continue;
        if (entry.revents & POLLOUT) {
            const ssize_t n =
                    ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
            sent = n < 0 ? text.size() : sent + static_cast<std::size_t>(n);
        }
        if (entry.revents & (POLLIN | POLLHUP | POLLERR)) {
            char buffer[65536];
            const ssize_t n = recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
            if (n > 0)
                raw.append(buffer, static_cast<std::size_t>(n));
            ended = n == 0 || (n < 0 && errno != EAGAIN);
        }
        response = parseResponse(raw, isHead, ended);
        if (response.isComplete)
            break;
    }
    close(fd);
    return response;
}

Response call(std::uint16_t port, const std::string &method, const std::string &target,
              const std::vector<std::string> &headers, const std::string &body, milliseconds limit)
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: svc.example\r\n";
    for (const std::string &line : headers)
        text += line + "\r\n";
    if (!body.empty() || method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return exchange(port, text + "Connection: close\r\n\r\n" + body, limit);
}

bool waitFor(const std::function<bool()> &condition, milliseconds limit)
{
    const auto end = Clock::now() + limit;
    while (!condition()) {
        if (Clock::now() > end)
            return false;
        std::this_thread::sleep_for(milliseconds(20));
    }
    return true;
}

Fleet::Fleet(const FleetOptions &options) : m_options(options)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "berylspur-XXXXXX").string();
    m_directory = mkdtemp(pattern.data());
    m_platformPort = freePort();
    for (int i = 0; i < options.nodes; ++i) {
        NodePorts ports;
        ports.name = "node-" + std::to_string(i);
        ports.caller = freePort();
        ports.peer = freePort();
        ports.announce = freePort();
        ports.admin = freePort();
        ports.readiness = freePort();
        if (options.links) {
            ports.link = freePort();
            ports.linkAdmin = freePort();
        }
        m_ports.push_back(ports);
        m_endpointPorts.push_back(freePorts(options.endpointsPerNode));
    }
    m_nodes.resize(m_ports.size());
    m_backends.resize(m_ports.size());
    std::cout << "fleet in " << m_directory << "\n";
}

Fleet::~Fleet()
{
    m_nodes.clear();
    m_backends.clear();
    m_links.clear();
    m_platform.reset();
    // BERYLSPUR_KEEP=1 keeps the directory, so that the logs of a failed test can be read.
    if (!std::getenv("BERYLSPUR_KEEP"))
        std::filesystem::remove_all(m_directory);
}

std::uint16_t Fleet::endpointPort(int node, int endpoint) const
{
    return static_cast<std::uint16_t>(m_endpointPorts[static_cast<std::size_t>(node)] + endpoint);
}

std::string Fleet::endpointId(int node, int endpoint) const
{
    const std::string id = "svc-" + std::to_string(node);
    return m_options.endpointsPerNode == 1 ? id : id + "-" + std::to_string(endpoint + 1);
}

std::string Fleet::integrationSettings(int i, bool isRestart) const
{
    return "integration:\n  mode: platform\n  service: svc\n  endpoint: " + local(endpointPort(i))
           + "\n  find-endpoint: " + (isRestart ? "true" : "false")
           + "\n  retry-ratio: 0.2\n  retry-slack: 60\n  floor-share: 0.7\n"
             "  endpoint-lease-ms: 600000\n  grace-period: 6s\n  stop-serving: 500ms\n"
             "policy:\n  detection: sparse\n";
}

void Fleet::startNode(int i, bool isRestart)
{
    const NodePorts &ports = node(i);
    const auto file = m_directory / (ports.name + ".yaml");
    std::ofstream out(file);
    out << "fleet: test\nnode:\n  name: " << ports.name << "\n  region: test\n  failure-domain: fd-"
        << i % 4 << "\naddresses:\n  caller: " << local(ports.caller)
        << "\n  peer: " << local(ports.peer) << "\n  announce: " << local(ports.announce)
        << "\n  admin: " << local(ports.admin) << "\n";
    if (m_options.onPlatform)
        out << "  readiness: " << local(ports.readiness) << "\n";
    if (ports.link != 0)
        out << "  peer-advertised: " << local(ports.link) << "\n";
    out << "platform: " << local(m_platformPort) << "\n";
    // On the platform, nodes discover each other only through its store.
    if (!m_options.onPlatform)
        out << "peers:\n";
    for (const NodePorts &other : m_ports) {
        if (!m_options.onPlatform)
            out << "  - " << local(other.link != 0 ? other.link : other.peer) << "\n";
    }
    out << "limits:\n  stop-limit-ms: " << m_options.stopLimitMs << "\n";
    for (const std::string &line : m_options.limits)
        out << "  " << line << "\n";
    if (m_options.onPlatform)
        out << "  response-buffer-bytes: 1048576\n" << integrationSettings(i, isRestart);
    out.close();
    m_nodes[static_cast<std::size_t>(i)] = std::make_unique<Process>(
            "berylspur-node", std::vector<std::string> {"--settings", file.string()},
            (m_directory / (ports.name + ".log")).string());
}

void Fleet::startBackend(int i)
{
    std::vector<std::string> arguments {
            "--id",        "svc-" + std::to_string(i),
            "--service",   "svc",
            "--listen",    local(endpointPort(i)),
            "--announce",  local(node(i).announce),
            "--endpoints", std::to_string(m_options.endpointsPerNode),
            "--slots",     std::to_string(m_options.slots),
            "--log-file",  (m_directory / ("runs-" + std::to_string(i))).string()};
    if (m_options.onPlatform)
        arguments.insert(arguments.end(), {"--protocol", "platform"});
    arguments.insert(arguments.end(), m_options.backendArguments.begin(),
                     m_options.backendArguments.end());
    m_backends[static_cast<std::size_t>(i)] = std::make_unique<Process>(
            "berylspur-backend", arguments,
            (m_directory / ("backend-" + std::to_string(i) + ".log")).string());
}

std::string Fleet::start()
{
    m_platform = std::make_unique<Process>(
            "berylspur-platform", std::vector<std::string> {"--listen", local(m_platformPort)},
            (m_directory / "platform.log").string());
    if (!waitFor([this] { return call(m_platformPort, "GET", "/accounting").status == 200; }))
        return "the platform does not answer";
    for (const NodePorts &ports : m_ports) {
        if (ports.link == 0)
            continue;
        m_links.push_back(std::make_unique<Process>(
                "berylspur-link",
                std::vector<std::string> {"--admin", local(ports.linkAdmin), "--relay",
                                          local(ports.link) + "=" + local(ports.peer)},
                (m_directory / "links.log").string()));
    }
    for (int i = 0; i < m_options.nodes; ++i) {
        startNode(i);
        startBackend(i);
    }
    if (m_options.onPlatform)
        configure(1);
    else if (const auto failed = startFleet(); !failed.empty())
        return failed;
    std::string missingParts;
    waitFor(
            [this, &missingParts] {
                missingParts = missing();
                return missingParts.empty();
            },
            std::chrono::seconds(40));
    return missingParts;
}

std::string Fleet::startFleet()
{
    // A node that joins after the first apply grants no keys for the retention time.
    const bool formed = waitFor([this] {
        for (int i = 0; i < m_options.nodes; ++i) {
            const auto seen = state(i);
            if (!seen.is_object() || seen["home"]["grants"] != true)
                return false;
        }
        return true;
    });
    if (!formed)
        return "a node grants no keys in a new fleet";
    std::string output;
    if (apply(manifest(), "test", &output) != 0)
        return "apply failed: " + output;
    return {};
}

void Fleet::configure(std::uint32_t version, const std::string &extraRoute,
                      const nlohmann::json &extraResources) const
{
    std::ostringstream digits;
    digits << std::hex << std::setw(8) << std::setfill('0') << version;
    nlohmann::json resources = nlohmann::json::array();
    const auto addRoute = [&resources](const std::string &prefix, const char *type,
                                       const char *timeout) {
        resources.push_back({{"typeUrl", "routes"},
                             {"metadata", {{"name", "r" + std::to_string(resources.size())}}},
                             {"spec",
                              {{"host", "svc.example"},
                               {"pathPrefix", prefix},
                               {"type", type},
                               {"timeout", timeout},
                               {"targetLatency", "1s"},
                               {"attempts", 3},
                               {"priority", 1},
                               {"service", "svc"}}}});
    };
    addRoute("/read/", "idempotent", "3000ms");
    addRoute("/write/", "non_idempotent", "3s");
    addRoute("/long/", "download", "60s");
    if (!extraRoute.empty())
        addRoute(extraRoute, "idempotent", "3s");
    resources.push_back({{"typeUrl", "services"},
                         {"metadata", {{"name", "svc"}}},
                         {"spec", {{"healthPath", "/healthz"}}}});
    resources.insert(resources.end(), extraResources.begin(), extraResources.end());
    const nlohmann::json object = {{"metadata", {{"name", "main"}}},
                                   {"spec", {{"version", digits.str()}, {"resources", resources}}}};
    const auto created = call(m_platformPort, "POST", "/v1/objects/config", {}, object.dump());
    constexpr int Exists = 409;
    if (created.status == Exists)
        call(m_platformPort, "PUT", "/v1/objects/config/main", {}, object.dump());
}

std::string Fleet::nodeLog(int i) const
{
    std::ostringstream text;
    text << std::ifstream(m_directory / (node(i).name + ".log")).rdbuf();
    return text.str();
}

std::vector<RunEvent> Fleet::events(int i) const
{
    std::vector<RunEvent> result;
    std::ifstream in(m_directory / ("runs-" + std::to_string(i)));
    std::string line;
    while (std::getline(in, line)) {
        const auto entry = nlohmann::json::parse(line, nullptr, false);
        if (entry.is_object())
            result.push_back({entry["event"], entry["id"], entry["at-ms"]});
    }
    return result;
}

std::string Fleet::missing() const
{
    for (int i = 0; i < m_options.nodes; ++i) {
        const auto seen = state(i);
        if (!seen.is_object() || seen.value("revision", 0) == 0)
            return node(i).name + " has no configuration";
        for (int other = 0; other < m_options.nodes; ++other) {
            for (int e = 0; e < m_options.endpointsPerNode; ++e) {
                if (verdict(i, endpointId(other, e)) != "in")
                    return node(i).name + " has " + endpointId(other, e) + " not in rotation";
            }
        }
    }
    return {};
}

nlohmann::json Fleet::state(int i) const
{
    const auto response = call(node(i).admin, "GET", "/state", {}, {}, std::chrono::seconds(3));
    return nlohmann::json::parse(response.body, nullptr, false);
}

std::uint64_t Fleet::revision(int i) const
{
    const auto seen = state(i);
    return seen.is_object() ? seen.value("revision", std::uint64_t {0}) : 0;
}

std::optional<std::string> Fleet::verdict(int i, const std::string &endpointId) const
{
    // A gate updates its view of a service only when a request arrives.
    call(node(i).caller, "HEAD", "/read/x?work-ms=0", {"X-Request-Id: verdict"}, {},
         std::chrono::seconds(4));
    const auto seen = state(i);
    if (!seen.is_object() || !seen["gate"]["services"].contains("svc"))
        return std::nullopt;
    for (const auto &endpoint : seen["gate"]["services"]["svc"]["endpoints"]) {
        if (endpoint["id"] == endpointId)
            return endpoint["verdict"].get<std::string>();
    }
    return std::nullopt;
}

void Fleet::setFaults(int i, const nlohmann::json &faults, int endpoint) const
{
    call(endpointPort(i, endpoint), "POST", "/faults", {}, faults.dump());
}

void Fleet::setPlatformFaults(const nlohmann::json &faults) const
{
    call(m_platformPort, "POST", "/faults", {}, faults.dump());
}

void Fleet::link(int i, const std::string &command) const
{
    call(node(i).linkAdmin, "POST", command);
}

std::map<std::string, Runs> Fleet::allRuns(const char *field) const
{
    std::map<std::string, Runs> result;
    for (int i = 0; i < m_options.nodes; ++i) {
        std::ifstream in(m_directory / ("runs-" + std::to_string(i)));
        std::string line;
        while (std::getline(in, line)) {
            const auto entry = nlohmann::json::parse(line, nullptr, false);
            if (!entry.is_object())
                continue;
            Runs &runs = result[entry[field].get<std::string>()];
            runs.started += entry["event"] == "start" ? 1 : 0;
            runs.finished += entry["event"] == "finish" ? 1 : 0;
        }
    }
    return result;
}

Runs Fleet::runsOfKey(const std::string &key) const
{
    return allRuns("key")[key];
}

Runs Fleet::runsOfId(const std::string &id) const
{
    return allRuns("id")[id];
}

std::optional<int> Fleet::runningOn(const std::string &idOrKey)
{
    for (int i = 0; i < m_options.nodes; ++i) {
        std::ifstream in(m_directory / ("runs-" + std::to_string(i)));
        std::string line;
        while (std::getline(in, line)) {
            const auto entry = nlohmann::json::parse(line, nullptr, false);
            if (entry.is_object() && entry["event"] == "start"
                && (entry["id"] == idOrKey || entry["key"] == idOrKey))
                return i;
        }
    }
    return std::nullopt;
}

std::string Fleet::manifest(const std::string &change) const
{
    return "fleet: test\ncustomer-header: X-Customer\nservices:\n  - name: svc\n    endpoints: "
           + std::to_string(m_options.nodes * m_options.endpointsPerNode) + "\n    slots: "
           + std::to_string(m_options.slots) + "\n    floor-percent: 30\n" + change
           + "    routes:\n"
             "      - path-prefix: /read\n        methods: [GET, HEAD]\n"
             "        idempotent: true\n        deadline-ms: 3000\n"
             "      - path-prefix: /write\n        methods: [POST]\n"
             "        idempotent: false\n        deadline-ms: 3000\n"
             "      - path-prefix: /long\n        methods: [GET]\n"
             "        request-class: long\n        idempotent: true\n"
             "        deadline-ms: 60000\n";
}

int Fleet::control(const std::vector<std::string> &arguments, std::string *output) const
{
    static std::atomic<int> number(0);
    const auto log = m_directory / ("control-" + std::to_string(++number) + ".log");
    Process process("berylspurctl", arguments, log.string());
    const auto status = process.waitForExit(std::chrono::seconds(60));
    if (output) {
        std::ostringstream text;
        text << std::ifstream(log).rdbuf();
        *output = text.str();
    }
    return status.value_or(-1);
}

int Fleet::apply(const std::string &manifestText, const std::string &author,
                 std::string *output) const
{
    static std::atomic<int> number(0);
    const auto file = m_directory / ("manifest-" + std::to_string(++number) + ".yaml");
    std::ofstream(file) << manifestText;
    return control({"apply", file.string(), "--platform", local(m_platformPort), "--node",
                    local(node(0).admin), "--author", author},
                   output);
}

} // namespace berylspur::test
