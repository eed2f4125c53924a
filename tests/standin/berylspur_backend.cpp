// Stand-in for backend servers: endpoints with slots, cold start, drain, cancellation, deadlines,
// load shedding and injected faults. It logs every start and end of a request by id; tests use this
// log as ground truth. Its parts are in backend/.
#include "backend/backend.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <map>

using namespace berylspur::standin;

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    BackendOptions options;
    CLI::App app("Stand-in for backend servers (tests and demo only)");
    app.add_option("--id", options.id, "Endpoint id, unique in the fleet")->required();
    app.add_option("--service", options.service, "Service of the endpoints")->required();
    app.add_option("--listen", options.listen, "IP:port of the first endpoint")->required();
    app.add_option("--announce", options.announce, "Announce address of the node on this host");
    app.add_option("--protocol", options.protocol, "Protocol of the endpoints: own or platform")
            ->transform(CLI::CheckedTransformer(std::map<std::string, ProtocolKind> {
                    {"own", ProtocolKind::Own}, {"platform", ProtocolKind::Platform}}));
    app.add_option("--announce-ms", options.announceMs, "Interval between announcements")
            ->check(CLI::Range(50, 600000));
    app.add_option("--serve-after-drain-ms", options.serveAfterDrainMs,
                   "Minimum time to keep serving after SIGTERM");
    app.add_option("--endpoints", options.endpoints, "Endpoints on consecutive ports, ids ID-1..")
            ->check(CLI::Range(1, 1000));
    app.add_option("--slots", options.slots, "Slots per endpoint")->check(CLI::Range(1, 1000));
    app.add_option("--queue", options.queue, "Queue length at which the endpoint sheds load");
    app.add_option("--service-time-ms", options.serviceTimeMs, "Service time of a short request");
    app.add_option("--long-time-ms", options.longTimeMs, "Service time of a long request");
    app.add_option("--jitter", options.jitter, "Random variation of the service time, as a share")
            ->check(CLI::Range(0.0, 1.0));
    app.add_option("--probe-ms", options.probeMs, "Service time of a probe");
    app.add_option("--connection-ms", options.connectionMs,
                   "Service time added by a new connection");
    app.add_option("--cold-ms", options.coldMs, "Duration of the cold start");
    app.add_option("--cold-factor", options.coldFactor,
                   "Service time factor during the cold start");
    app.add_option("--stop-limit-ms", options.stopLimitMs,
                   "Maximum time to wait for requests after SIGTERM");
    app.add_option("--seed", options.seed, "Seed of the random decisions");
    app.add_option("--log-file", options.logFile, "Append the execution log to this file");
    CLI11_PARSE(app, argc, argv);
    return Backend(std::move(options)).run();
}
