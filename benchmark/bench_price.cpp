// Overhead of the fleet: latency added to a request and CPU time per request, compared with the
// direct path in the same run. Closed-loop load over loopback; price.sh starts all processes.
#include "bench_report.h"
#include "berylspur/core/clock.h"
#include "berylspur/core/timer.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <event2/buffer.h>
#include <event2/http.h>
#include <fstream>
#include <memory>
#include <sstream>
#include <unistd.h>

using namespace berylspur;

namespace {

/// A path to the endpoint and its measurements.
struct Path
{
    std::string name;
    std::string ip;
    std::uint16_t port = 0;
    std::vector<double> latenciesUs;
    int failures = 0;
};

/// Closed-loop client: sends requests back to back on each of several connections.
class ClosedLoop
{
public:
    ClosedLoop(event_base *base, Path &path, std::string target, int connections, int requests)
        : m_base(base), m_path(path), m_target(std::move(target)), m_left(requests)
    {
        for (int i = 0; i < connections; ++i) {
            auto *connection =
                    evhttp_connection_base_new(base, nullptr, path.ip.c_str(), path.port);
            m_slots.push_back(std::make_unique<Slot>(Slot {this, connection, {}}));
        }
    }
    ~ClosedLoop()
    {
        for (const auto &slot : m_slots)
            evhttp_connection_free(slot->connection);
    }
    ClosedLoop(const ClosedLoop &) = delete;
    ClosedLoop &operator=(const ClosedLoop &) = delete;

    void run()
    {
        for (const auto &slot : m_slots)
            send(*slot);
        event_base_dispatch(m_base);
    }

private:
    struct Slot
    {
        ClosedLoop *loop;
        evhttp_connection *connection;
        TimePoint sent;
    };

    void send(Slot &slot)
    {
        if (m_left == 0)
            return;
        --m_left;
        ++m_open;
        auto *request = evhttp_request_new(answered, &slot);
        evhttp_add_header(evhttp_request_get_output_headers(request), "Host", "bench");
        slot.sent = BootClock::now();
        evhttp_make_request(slot.connection, request, EVHTTP_REQ_GET, m_target.c_str());
    }

    static void answered(evhttp_request *request, void *self)
    {
        auto &slot = *static_cast<Slot *>(self);
        auto &loop = *slot.loop;
        const auto took = BootClock::now() - slot.sent;
        if (request && evhttp_request_get_response_code(request) == HTTP_OK)
            loop.m_path.latenciesUs.push_back(static_cast<double>(took.count()));
        else
            ++loop.m_path.failures;
        --loop.m_open;
        loop.send(slot);
        if (loop.m_open == 0)
            event_base_loopbreak(loop.m_base);
    }

    event_base *m_base;
    Path &m_path;
    std::string m_target;
    int m_left;
    int m_open = 0;
    std::vector<std::unique_ptr<Slot>> m_slots;
};

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

/// CPU time that process \a pid has used, in seconds.
double processorSeconds(int pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    double user = 0;
    double system = 0;
    for (int i = 0; i < 11; ++i)
        fields >> skipped;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

Path parsePath(const std::string &name, const std::string &address)
{
    const auto colon = address.rfind(':');
    return {name,
            address.substr(0, colon),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))),
            {},
            0};
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app {"Latency and CPU time that the fleet adds to a request."};
    std::string direct;
    std::string local;
    std::string remote;
    std::string target = "/price/x";
    std::string json;
    int localPid = 0;
    int remotePid = 0;
    int requests = 4000;
    int rounds = 6;
    int connections = 4;
    bool check = false;
    app.add_option("--direct", direct, "Address of the endpoint");
    app.add_option("--local", local, "Caller address of the node on the endpoint's host");
    app.add_option("--remote", remote, "Caller address of another node");
    app.add_option("--local-pid", localPid, "Process id of the node on the endpoint's host");
    app.add_option("--gate-pid", remotePid, "Process id of the other node");
    app.add_option("--requests", requests, "Requests per path and round");
    app.add_option("--rounds", rounds, "Rounds; paths alternate within a round");
    app.add_option("--connections", connections, "Connections per path");
    app.add_option("--json", json, "File for the rows");
    app.add_flag("--check", check, "Fail when a bound is not met");
    CLI11_PARSE(app, argc, argv);
    if (direct.empty()) {
        std::printf("no address given; run benchmark/price.sh\n");
        std::ofstream(json.empty() ? "/dev/null" : json) << "[]\n";
        return check ? 1 : 0;
    }

    auto *base = event_base_new();
    Path paths[] = {parsePath("direct", direct), parsePath("local owner", local),
                    parsePath("remote owner", remote)};
    double localSeconds = 0;
    double remoteSeconds = 0;
    for (int round = 0; round <= rounds; ++round) {
        // The first round warms up connections and caches and is not measured.
        const bool warmUp = round == 0;
        for (auto &path : paths) {
            const auto before = processorSeconds(localPid) + processorSeconds(remotePid);
            ClosedLoop(base, path, target, connections, warmUp ? requests / 4 : requests).run();
            const auto used = processorSeconds(localPid) + processorSeconds(remotePid) - before;
            if (warmUp)
                path.latenciesUs.clear();
            else if (path.name == "local owner")
                localSeconds += used;
            else if (path.name == "remote owner")
                remoteSeconds += used;
        }
    }
    event_base_free(base);

    using bench::Bound;
    bench::Report report;
    const auto total = static_cast<double>(requests) * rounds;
    for (int i = 1; i < 3; ++i) {
        for (const double share : {0.5, 0.99}) {
            const auto baseline = quantile(paths[0].latenciesUs, share);
            const auto added = quantile(paths[i].latenciesUs, share) - baseline;
            report.add({"price: added at p" + std::to_string(static_cast<int>(share * 100)) + ", "
                                + paths[i].name,
                        "us", baseline, added, share > 0.9 ? Bound::AtMost : Bound::Report, 500,
                        1});
        }
        const auto seconds = i == 1 ? localSeconds : remoteSeconds;
        report.add({"price: requests per core second of nodes, " + paths[i].name, "1/s", 0,
                    total / seconds, Bound::AtLeast, 20000, 1});
    }
    for (const auto &path : paths)
        report.add({"price: failures, " + path.name, "count", 0, static_cast<double>(path.failures),
                    Bound::AtMost, 0, 1});
    return report.finish(json, check);
}
