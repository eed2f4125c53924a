// Fixture that runs real processes on loopback: nodes, endpoints, the platform and links. They are
// started with posix_spawn and killed by process id, also if a test fails.
#pragma once

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace berylspur::test {

/// A child process. The destructor kills it with SIGKILL.
class Process
{
public:
    /// Starts BERYLSPUR_BIN_DIR/\a program; its output goes to \a logFile.
    Process(const std::string &program, const std::vector<std::string> &arguments,
            const std::string &logFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;
    /// Waits for the process to exit. Returns the exit status, 128 + signal, or nothing after \a
    /// limit.
    std::optional<int> waitForExit(std::chrono::milliseconds limit);
    pid_t id() const { return m_id; }

private:
    pid_t m_id = -1;
    std::optional<int> m_exit;
};

/// A loopback port below the ephemeral range that is unused for TCP and UDP.
std::uint16_t freePort();
/// First of \a count consecutive free ports.
std::uint16_t freePorts(int count);

/// Response as received by a caller.
struct Response
{
    int status = 0; ///< 0: no response
    std::map<std::string, std::string> headers; ///< names in lower case
    std::string body;
    bool isComplete = false; ///< all bytes announced by the framing arrived
    std::string header(const std::string &name) const;
};

/// Parses the bytes that a caller received. \a ended: the connection is closed.
Response parseResponse(const std::string &raw, bool isHead, bool ended);

/// Sends \a text to 127.0.0.1:\a port and reads one response. Gives up after \a limit.
Response exchange(std::uint16_t port, const std::string &text,
                  std::chrono::milliseconds limit = std::chrono::seconds(30));

/// Sends a request with Connection: close; \a headers are header lines without CRLF.
Response call(std::uint16_t port, const std::string &method, const std::string &target,
              const std::vector<std::string> &headers = {}, const std::string &body = {},
              std::chrono::milliseconds limit = std::chrono::seconds(30));

/// Waits until \a condition holds. Returns false after \a limit, which only guards against a hang.
bool waitFor(const std::function<bool()> &condition,
             std::chrono::milliseconds limit = std::chrono::seconds(20));

/// Ports of one node; 0: unused.
struct NodePorts
{
    std::string name;
    std::uint16_t caller = 0;
    std::uint16_t peer = 0;
    std::uint16_t announce = 0;
    std::uint16_t admin = 0;
    std::uint16_t readiness = 0;
    std::uint16_t link = 0; ///< peer port that other nodes use; 0: no link
    std::uint16_t linkAdmin = 0;
};

struct FleetOptions
{
    int nodes = 3;
    int endpointsPerNode = 1;
    int slots = 2;
    bool links = false; ///< nodes reach each other through links
    int stopLimitMs = 20000;
    std::vector<std::string> limits; ///< further lines of the section "limits" of each node
    std::vector<std::string> backendArguments; ///< of every endpoint
    /// Nodes, endpoints and configuration use the protocols of the users' platform. The service is
    /// also named "svc".
    bool onPlatform = false;
};

/// An entry in the execution log of an endpoint.
struct RunEvent
{
    std::string event;
    std::string id;
    std::int64_t atMs = 0;
};

/// Actual runs of one request id or key at all endpoints.
struct Runs
{
    int started = 0;
    int finished = 0;
};

/// A fleet with one service "svc": GET /read (idempotent, 3 s), POST /write (not idempotent, 3 s),
/// GET /long (long, 60 s).
class Fleet
{
public:
    explicit Fleet(const FleetOptions &options = {});
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Starts all processes, applies the manifest and waits until each node has all members, the
    /// configuration and all endpoints in rotation. Returns what is missing, or an empty string.
    std::string start();

    const NodePorts &node(int i) const { return m_ports[static_cast<std::size_t>(i)]; }
    Process &nodeProcess(int i) { return *m_nodes[static_cast<std::size_t>(i)]; }
    Process &backendProcess(int i) { return *m_backends[static_cast<std::size_t>(i)]; }
    std::uint16_t endpointPort(int node, int endpoint = 0) const;
    std::string endpointId(int node, int endpoint = 0) const;
    std::uint16_t platformPort() const { return m_platformPort; }
    int nodeCount() const { return m_options.nodes; }

    /// \a isRestart: the endpoint may be running already.
    void startNode(int i, bool isRestart = false);
    void startBackend(int i);
    /// Index of the node whose endpoint has started the request, if any.
    std::optional<int> runningOn(const std::string &idOrKey);

    void setFaults(int node, const nlohmann::json &faults, int endpoint = 0) const;
    void setPlatformFaults(const nlohmann::json &faults) const;
    void link(int node, const std::string &command) const;
    nlohmann::json state(int node) const;
    /// Rotation verdict for the endpoint at the gate of \a node, after a HEAD request that
    /// refreshes it.
    std::optional<std::string> verdict(int node, const std::string &endpointId) const;
    std::uint64_t revision(int node) const;

    /// Runs counted in the execution log files, which also cover endpoints that were killed.
    Runs runsOfKey(const std::string &key) const;
    Runs runsOfId(const std::string &id) const;
    /// All runs, grouped by the \a field ("id" or "key") of the execution log.
    std::map<std::string, Runs> allRuns(const char *field) const;
    /// The execution log of the endpoints of \a node, in order.
    std::vector<RunEvent> events(int node) const;
    /// With onPlatform: writes the configuration with \a version to the platform. \a extraRoute is
    /// the path prefix of an additional idempotent route, \a extraResources is added as it is.
    void configure(std::uint32_t version, const std::string &extraRoute = {},
                   const nlohmann::json &extraResources = nlohmann::json::array()) const;
    /// Contents of the log file of a node's process.
    std::string nodeLog(int i) const;

    std::string manifest(const std::string &change = {}) const;
    /// Runs berylspurctl with \a arguments; its output goes to \a output.
    int control(const std::vector<std::string> &arguments, std::string *output = nullptr) const;
    int apply(const std::string &manifestText, const std::string &author,
              std::string *output = nullptr) const;
    std::filesystem::path directory() const { return m_directory; }

private:
    std::string missing() const;
    std::string startFleet();
    std::string integrationSettings(int i, bool isRestart) const;

    FleetOptions m_options;
    std::filesystem::path m_directory;
    std::uint16_t m_platformPort = 0;
    std::vector<NodePorts> m_ports;
    std::vector<std::uint16_t> m_endpointPorts;
    std::unique_ptr<Process> m_platform;
    std::vector<std::unique_ptr<Process>> m_links;
    std::vector<std::unique_ptr<Process>> m_nodes;
    std::vector<std::unique_ptr<Process>> m_backends;
};

} // namespace berylspur::test
