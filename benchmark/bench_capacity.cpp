// Growth of state, traffic and platform calls with the size of the fleet, measured with the
// product's modules. benchmark/capacity.sh runs all parts; benchmark/capacity_page.py fits lines.
#include "berylspur/config/config_store.h"
#include "berylspur/config/config_task.h"
#include "berylspur/idempotency/key_home.h"
#include "berylspur/limits/rate_limiter.h"
#include "berylspur/membership/gossip_machine.h"
#include "berylspur/owner/request_ledger.h"
#include "berylspur/record/decision_log.h"
#include "berylspur/routing/endpoint_picker.h"
#include "berylspur/routing/path_health.h"
#include "berylspur/routing/route_table.h"
#include "berylspur/transport/peer_pool.h"
#include "gossip_fleet.h"
#include "loop.h"
#include "task_fleet.h"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <functional>
#include <malloc.h>
#include <nlohmann/json.hpp>

using namespace berylspur;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint Start {seconds(1000)};

/// Bytes allocated through malloc, including those of C libraries.
std::size_t allocatedBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

double cpuSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

/// Collects the measured points by series and writes them as JSON.
class Series
{
public:
    explicit Series(std::string part) : m_part(std::move(part)) { }

    void add(const std::string &name, const std::string &per, const std::string &unit, double x,
             double y)
    {
        auto &series = m_series[name];
        series["per"] = per;
        series["unit"] = unit;
        series["command"] = "build/release/bench/bench_capacity --part " + m_part;
        series["points"].push_back({x, y});
        std::printf("%-52s %10.0f %14.2f %s\n", name.c_str(), x, y, unit.c_str());
        std::fflush(stdout);
    }
    void write(const std::string &file) const
    {
        if (!file.empty())
            std::ofstream(file) << m_series.dump(1) << "\n";
    }

private:
    std::string m_part;
    json m_series = json::object();
};

/// Bytes that the state returned by \a make(count) keeps allocated.
template <typename Make>
double bytesOf(const Make &make, std::size_t count)
{
    const auto before = allocatedBytes();
    const auto state = make(count);
    return static_cast<double>(allocatedBytes() - before);
}

template <typename Make>
void measureState(Series &series, const std::string &name, const std::string &per,
                  const std::vector<std::size_t> &counts, const Make &make)
{
    for (const auto count : counts)
        series.add(name, per, "bytes", static_cast<double>(count), bytesOf(make, count));
}

schema::MemberRecord member(std::size_t i, std::size_t endpoints)
{
    schema::MemberRecord record;
    record.set_node(GossipFleet::name(i));
    record.set_incarnation(1 + i);
    record.set_sequence(1);
    record.set_peer_address(GossipFleet::address(i));
    record.set_admin_address("127.0.0.1:7001");
    record.set_region("region-" + std::to_string(i % 2));
    record.set_failure_domain("domain-" + std::to_string(i % 8));
    for (std::size_t e = 0; e < endpoints; ++e) {
        auto &endpoint = *record.add_endpoints();
        endpoint.set_service("service-" + std::to_string((i * 7 + e) % 480));
        endpoint.set_id(endpoint.service() + "/" + record.node() + ":" + std::to_string(9000 + e));
        endpoint.set_slots(4);
        endpoint.mutable_suspicion()->set_ramp_percent(100);
    }
    return record;
}

std::unique_ptr<MemberTable> memberTable(std::size_t members, std::size_t endpoints)
{
    auto table = std::make_unique<MemberTable>(member(0, endpoints));
    for (std::size_t i = 1; i < members; ++i)
        table->merge(member(i, endpoints), Start);
    return table;
}

schema::ServiceConfig serviceConfig(std::size_t i, std::size_t routes)
{
    schema::ServiceConfig config;
    config.set_service("service-" + std::to_string(i));
    config.set_revision(i + 1);
    config.set_customer_header("X-Customer");
    auto &content = *config.mutable_content();
    content.set_name(config.service());
    content.set_endpoints(23);
    content.set_slots(4);
    content.set_floor_percent(50);
    content.mutable_limits()->set_customer_rate(100);
    for (std::size_t r = 0; r < routes; ++r) {
        auto &route = *content.add_routes();
        route.set_host("service-" + std::to_string(i) + ".example");
        route.set_path_prefix("/api/v1/resource-" + std::to_string(r));
        route.add_methods("GET");
        route.add_methods("POST");
        route.set_deadline_ms(5000);
    }
    return config;
}

schema::ConfigDelta manifest(std::size_t services, std::size_t routes)
{
    schema::ConfigDelta delta;
    delta.set_revision(services);
    for (std::size_t i = 0; i < services; ++i)
        *delta.add_services() = serviceConfig(i, routes);
    return delta;
}

std::unique_ptr<ConfigStore> configStore(std::size_t services, std::size_t routes)
{
    auto store = std::make_unique<ConfigStore>();
    for (std::size_t i = 0; i < services; ++i) {
        schema::ConfigDelta delta;
        *delta.add_services() = serviceConfig(i, routes);
        store->merge(delta);
    }
    return store;
}

std::unique_ptr<RouteTable> routeTable(std::size_t services, std::size_t routes)
{
    auto table = std::make_unique<RouteTable>();
    for (std::size_t i = 0; i < services; ++i)
        table->update(serviceConfig(i, routes));
    return table;
}

void measureMemberState(Series &series)
{
    measureState(series, "member table, per member", "member", {64, 200, 400, 710},
                 [](std::size_t n) { return memberTable(n, 0); });
    measureState(series, "member table, per endpoint", "endpoint", {710, 2840, 5680, 11360},
                 [](std::size_t n) { return memberTable(710, n / 710); });
    measureState(series, "endpoint picker, per endpoint", "endpoint", {1000, 4000, 11000},
                 [](std::size_t n) {
                     auto picker = std::make_unique<EndpointPicker>("domain-0");
                     for (std::size_t i = 0; i < n; ++i)
                         picker->onLoadReported("service/node-0000:" + std::to_string(10000 + i),
                                                {4, 4, 0, milliseconds(20)}, Start);
                     return picker;
                 });
    measureState(series, "path health, per node with failures", "node", {64, 200, 710},
                 [](std::size_t n) {
                     auto health = std::make_unique<PathHealth>();
                     for (std::size_t i = 0; i < n; ++i)
                         health->recordFailure(GossipFleet::name(i), Start);
                     return health;
                 });
}

void measureConfigState(Series &series)
{
    measureState(series, "configuration store, per service with 14 routes", "service",
                 {60, 120, 240, 480}, [](std::size_t n) { return configStore(n, 14); });
    measureState(series, "configuration store, per route", "route", {480, 1920, 3840, 6720},
                 [](std::size_t n) { return configStore(480, n / 480); });
    measureState(series, "copy of a service without its routes, per service", "service",
                 {60, 120, 240, 480}, [](std::size_t n) {
                     auto copies = std::make_unique<std::map<std::string, schema::ServiceConfig>>();
                     for (std::size_t i = 0; i < n; ++i) {
                         auto &copy = (*copies)["service-" + std::to_string(i)] =
                                 serviceConfig(i, 14);
                         google::protobuf::RepeatedPtrField<schema::Route>().Swap(
                                 copy.mutable_content()->mutable_routes());
                     }
                     return copies;
                 });
    measureState(series, "route table, per route", "route", {480, 1920, 3840, 6720},
                 [](std::size_t n) { return routeTable(480, n / 480); });
    for (const std::size_t services : {60U, 120U, 240U, 480U})
        series.add("configuration on the wire, per service with 14 routes", "service", "bytes",
                   static_cast<double>(services),
                   static_cast<double>(manifest(services, 14).ByteSizeLong()));
}

void measureRequestState(Series &series)
{
    const auto id = [](std::size_t i) {
        Random random(i);
        return RequestId::generate(random);
    };
    measureState(series, "rate limiter home, per customer bucket", "bucket",
                 {1000, 4000, 16000, 64000}, [](std::size_t n) {
                     auto home = std::make_unique<RateLimiterHome>();
                     for (std::size_t i = 0; i < n; ++i)
                         home->grant(rateKey("service-7", "customer-" + std::to_string(i)),
                                     {100, 100}, 0, 10, Start);
                     return home;
                 });
    measureState(series, "rate limiter at a gate, per customer", "customer",
                 {1000, 4000, 16000, 64000}, [](std::size_t n) {
                     auto client = std::make_unique<RateLimiterClient>();
                     for (std::size_t i = 0; i < n; ++i) {
                         const auto key = rateKey("service-7", "customer-" + std::to_string(i));
                         client->request(key, {100, 100}, Start);
                         client->onGranted(key, {10, Duration::zero()}, Start);
                     }
                     return client;
                 });
    measureState(series, "request ledger, per remembered id", "id", {2000, 8000, 32000},
                 [&](std::size_t n) {
                     auto ledger = std::make_unique<RequestLedger>();
                     for (std::size_t i = 0; i < n; ++i) {
                         ledger->admit(id(i), Start);
                         ledger->dispatch(id(i), Start);
                         ledger->finish(id(i), std::nullopt, Start);
                     }
                     return ledger;
                 });
    measureState(series, "key home, per idempotency key", "key", {2000, 8000, 32000},
                 [&](std::size_t n) {
                     auto home = std::make_unique<KeyHome>(KeyHome::Limits {}, Start, true);
                     for (std::size_t i = 0; i < n; ++i)
                         home->claim("service-7 customer-1 " + id(i).toHex(),
                                     {id(i), GossipFleet::name(i % 710), 1}, std::nullopt, Start);
                     return home;
                 });
    measureState(series, "decision log, per record", "record", {500, 2000, 8000},
                 [](std::size_t n) {
                     auto log = std::make_unique<DecisionLog>("node-0000", 1);
                     for (std::size_t i = 0; i < n; ++i) {
                         schema::DecisionRecord record;
                         record.set_service("service-7");
                         record.set_endpoint("service-7/node-0000:9000");
                         record.set_rule("stall");
                         auto &figure = *record.add_figures();
                         figure.set_name("oldest-ms");
                         figure.set_value(812);
                         log->add(record);
                     }
                     return log;
                 });
}

/// Packets and bytes of the gossip protocol in one fleet.
void measureTraffic(Series &series, std::size_t nodes, bool fullCopies)
{
    GossipFleet::Options options;
    options.nodes = nodes;
    options.endpointsPerNode = 15;
    options.settings.fullRecordCopies = fullCopies ? 12 : 1;
    GossipFleet fleet(options);
    const std::string mode = fullCopies ? "before: every copy whole, " : "";
    const auto n = static_cast<double>(nodes);
    const auto measured = [&](Duration time) {
        const auto packets = fleet.packets;
        const auto bytes = fleet.bytes;
        fleet.run(time);
        return std::make_pair(static_cast<double>(fleet.packets - packets),
                              static_cast<double>(fleet.bytes - bytes));
    };
    fleet.run(seconds(10));
    const auto rest = measured(seconds(20));
    if (!fullCopies) {
        series.add("at rest, packets/s per node", "node", "packets/s", n, rest.first / 20 / n);
        series.add("at rest, bytes/s per node", "node", "bytes/s", n, rest.second / 20 / n);
    }
    constexpr int Changes = 5;
    const auto perChange = [&](const std::string &what, const std::function<void(int)> &change,
                               Duration time) {
        double packets = 0;
        double bytes = 0;
        for (int i = 0; i < Changes; ++i) {
            change(i);
            const auto sent = measured(time);
            const double share = static_cast<double>(time.count()) / 20e6;
            packets += sent.first - rest.first * share;
            bytes += sent.second - rest.second * share;
        }
        series.add(mode + what + ", packets per node", "node", "packets", n, packets / Changes / n);
        series.add(mode + what + ", bytes per node", "node", "bytes", n, bytes / Changes / n);
    };
    perChange(
            "change of an endpoint",
            [&](int i) {
                fleet.machines[0].setOwnEndpoints(
                        fleet.endpoints(0, static_cast<std::uint32_t>(i + 1)));
            },
            seconds(3));
    if (fullCopies)
        return;
    perChange(
            "failure and restart of a node",
            [&](int i) {
                const auto failed = 1 + static_cast<std::size_t>(i) % (nodes - 1);
                fleet.running[failed] = false;
                fleet.run(seconds(8));
                fleet.restart(failed, static_cast<Incarnation>(i) + 10, 0);
            },
            seconds(4));
}

void measureConfigTraffic(Series &series, std::size_t nodes)
{
    GossipFleet::Options options;
    options.nodes = nodes;
    GossipFleet fleet(options);
    fleet.run(seconds(5));
    constexpr int Changes = 5;
    std::uint64_t packets = 0;
    std::uint64_t bytes = 0;
    double slowest = 0;
    for (int i = 1; i <= Changes; ++i) {
        const auto start = fleet.now;
        const auto packetsBefore = fleet.packets;
        const auto bytesBefore = fleet.bytes;
        fleet.machines[0].setConfigRevision(static_cast<std::uint64_t>(i));
        TimePoint reached = fleet.now + seconds(5);
        fleet.run(seconds(3), [&] {
            std::size_t have = 0;
            for (auto &machine : fleet.machines) {
                for (const auto &notice : machine.takeEvents().revisions)
                    machine.setConfigRevision(notice.revision);
                have += machine.configRevision() == static_cast<std::uint64_t>(i) ? 1 : 0;
            }
            if (have == nodes)
                reached = std::min(reached, fleet.now);
            return false;
        });
        packets += fleet.packets - packetsBefore;
        bytes += fleet.bytes - bytesBefore;
        slowest = std::max(slowest, static_cast<double>(toMs(reached - start)));
    }
    const auto n = static_cast<double>(nodes);
    series.add("configuration change, packets per node (3 s at rest included)", "node", "packets",
               n, static_cast<double>(packets) / Changes / n);
    series.add("configuration change, bytes per node (3 s at rest included)", "node", "bytes", n,
               static_cast<double>(bytes) / Changes / n);
    series.add("configuration change, ms until the last node, slowest of 5", "node", "ms", n,
               slowest);
}

/// Peak traffic in one second and total traffic of an event, per node.
void measureEvent(Series &series, const std::string &event, double affected, std::size_t nodes,
                  GossipFleet &fleet, int secondsLong)
{
    double highest = 0;
    const auto bytes = fleet.bytes;
    for (int i = 0; i < secondsLong; ++i) {
        const auto before = fleet.bytes;
        fleet.run(seconds(1));
        highest = std::max(highest, static_cast<double>(fleet.bytes - before));
    }
    const auto n = static_cast<double>(nodes);
    series.add(event + ", bytes/s per node in the worst second", "node affected", "bytes/s",
               affected, highest / n);
    series.add(event + ", bytes per node in total", "node affected", "bytes", affected,
               static_cast<double>(fleet.bytes - bytes) / n);
}

/// Concurrent endpoint changes, loss of groups of nodes, and network partitions, at 200 nodes.
void measureEvents(Series &series)
{
    constexpr std::size_t Nodes = 200;
    GossipFleet::Options options;
    options.nodes = Nodes;
    options.endpointsPerNode = 15;
    for (const bool bounded : {false, true}) {
        for (const std::size_t changing : {1U, 5U, 25U}) {
            auto changeStorm = options;
            changeStorm.settings.pushBytesPerSecond =
                    bounded ? options.settings.pushBytesPerSecond : 0;
            GossipFleet fleet(changeStorm);
            fleet.run(seconds(2));
            std::uint64_t bytes = 0;
            for (int i = 0; i < 80; ++i) {
                if (i == 40)
                    bytes = fleet.bytes;
                for (std::size_t node = 0; node < changing; ++node)
                    fleet.machines[node].setOwnEndpoints(
                            fleet.endpoints(node, static_cast<std::uint32_t>(i + 1)));
                fleet.run(milliseconds(500));
            }
            const double perSecond = static_cast<double>(fleet.bytes - bytes) / 20 / Nodes;
            series.add(std::string(bounded ? "" : "before: no bound, ")
                               + "nodes that change twice a second, bytes/s per node",
                       "changing node", "bytes/s", static_cast<double>(changing), perSecond);
        }
    }
    for (const std::size_t lost : {1U, 5U, 10U, 25U}) {
        GossipFleet fleet(options);
        fleet.run(seconds(5));
        for (std::size_t i = 0; i < lost; ++i)
            fleet.running[8 * i] = false;
        measureEvent(series, "loss of nodes", static_cast<double>(lost), Nodes, fleet, 12);
        for (std::size_t i = 0; i < lost; ++i)
            fleet.restart(8 * i, 50, 1);
        measureEvent(series, "return of nodes", static_cast<double>(lost), Nodes, fleet, 10);
    }
    for (const std::size_t partitioned : {10U, 25U, 100U}) {
        GossipFleet fleet(options);
        fleet.run(seconds(5));
        for (std::size_t a = 0; a < partitioned; ++a) {
            for (std::size_t b = partitioned; b < Nodes; ++b) {
                fleet.droppedLinks.insert({a, b});
                fleet.droppedLinks.insert({b, a});
            }
        }
        measureEvent(series, "parted from the rest", static_cast<double>(partitioned), Nodes, fleet,
                     120);
        fleet.droppedLinks.clear();
        const auto healed = fleet.now;
        measureEvent(series, "link back", static_cast<double>(partitioned), Nodes, fleet, 60);
        fleet.run(seconds(120), [&] {
            return fleet.countViewsWhere([](const MemberTable &t) { return t.dead().empty(); })
                   == Nodes;
        });
        series.add("link back, s until all are alive in all views (60 or more)", "node affected",
                   "s", static_cast<double>(partitioned),
                   static_cast<double>(toMs(fleet.now - healed)) / 1000);
    }
}

/// Share of the members that a node has evidence of within 150 s, and CPU time of gossip.
void measureHeard(Series &series, std::size_t nodes, bool shareContacts)
{
    GossipFleet::Options options;
    options.nodes = nodes;
    options.settings.shareContacts = shareContacts;
    GossipFleet fleet(options);
    fleet.run(seconds(10));
    const auto start = fleet.now;
    const double cpu = cpuSeconds();
    fleet.run(seconds(150));
    const double used = cpuSeconds() - cpu;
    double lowest = 1;
    for (const auto &machine : fleet.machines) {
        const auto heard = machine.table().contactCountSince(start);
        lowest = std::min(lowest, static_cast<double>(heard) / static_cast<double>(nodes));
    }
    const std::string mode = shareContacts ? "" : "before: own evidence only, ";
    series.add(mode + "members heard from within 150 s, lowest share", "node", "percent",
               static_cast<double>(nodes), 100 * lowest);
    if (shareContacts)
        series.add("CPU of gossip per node (queue of the test included)", "node",
                   "percent of a core", static_cast<double>(nodes),
                   100 * used / 150 / static_cast<double>(nodes));
}

/// Idle traffic of large fleets, and sizes of the anti-entropy messages.
void measureRest(Series &series)
{
    for (const std::size_t nodes : {200U, 400U, 710U}) {
        GossipFleet::Options options;
        options.nodes = nodes;
        GossipFleet fleet(options);
        fleet.run(seconds(16)); // window of the evidence that packets carry
        const auto bytes = fleet.bytes;
        fleet.run(seconds(4));
        const auto n = static_cast<double>(nodes);
        series.add("large fleet at rest, bytes/s per node", "node", "bytes/s", n,
                   static_cast<double>(fleet.bytes - bytes) / 4 / n);
    }
    for (const std::size_t members : {200U, 400U, 710U}) {
        const auto table = memberTable(members, 15);
        const auto digest = table->digest();
        series.add("anti-entropy digest, per member", "member", "bytes",
                   static_cast<double>(members), static_cast<double>(digest.ByteSizeLong()));
        std::size_t whole = 0;
        for (const auto &node : table->known())
            whole += table->exportRecord(node, true, Start)->ByteSizeLong();
        series.add("member records on the wire, per member with 15 endpoints", "member", "bytes",
                   static_cast<double>(members), static_cast<double>(whole));
    }
}

/// Memory of idle peer connections at both ends, excluding kernel memory.
void measureConnections(Series &series)
{
    for (const std::size_t count : {10U, 50U, 100U, 200U}) {
        const Loop loop;
        const auto address = freeAddress();
        const auto server =
                std::move(PeerServer::listen(loop.base, address, {"test", "server", 1},
                                             [](const std::shared_ptr<PeerRequest> &request) {
                                                 request->reply("x");
                                                 request->finish();
                                             })
                                  .value());
        const auto before = allocatedBytes();
        std::vector<std::unique_ptr<PeerChannel>> channels;
        std::vector<std::shared_ptr<PeerExchange>> exchanges;
        std::size_t ended = 0;
        for (std::size_t i = 0; i < count; ++i) {
            channels.push_back(PeerChannel::connect(loop.base, address, {"test", "client", 2}));
            ExchangeHandler handler;
            handler.ended = [&](ErrorCode) { ++ended; };
            exchanges.push_back(channels.back()->start(
                    PeerMethod::Ask, [](std::uint64_t) { return std::string("x"); }, {}, handler));
        }
        loop.runUntil([&] { return ended == count; });
        exchanges.clear();
        loop.runUntil(
                [&, end = BootClock::now() + milliseconds(300)] { return BootClock::now() > end; });
        series.add("idle peer connection, both ends", "connection", "bytes",
                   static_cast<double>(count), static_cast<double>(allocatedBytes() - before));
    }
}

/// Platform calls of the product's tasks over loopback, at rest and at one change per second.
void measureTasks(Series &series, std::size_t nodes)
{
    constexpr int RestSeconds = 65; // two watch periods
    constexpr int Changes = 20;
    TaskFleet fleet;
    for (std::size_t i = 0; i < nodes; ++i) {
        fleet.add("domain-" + std::to_string(i % 4), true);
        fleet.loop.runUntil([&] { return fleet.nodes.back()->membership.isJoined(); });
    }
    const auto n = static_cast<double>(nodes);
    series.add("platform calls until all nodes joined", "node", "calls", n,
               static_cast<double>(fleet.platform->calls()));
    fleet.apply(1, {"scan"});
    fleet.allHaveRevision(1);
    const auto pause = [&](Duration time) {
        for (const auto end = BootClock::now() + time; BootClock::now() < end;)
            fleet.loop.runUntil([&, slice = BootClock::now() + milliseconds(500)] {
                return BootClock::now() >= slice;
            });
    };
    pause(seconds(5));
    const auto atRest = fleet.platform->calls();
    const double cpu = cpuSeconds();
    pause(seconds(RestSeconds));
    const double restCalls = static_cast<double>(fleet.platform->calls() - atRest) / RestSeconds;
    series.add("platform calls/s at rest", "node", "calls/s", n, restCalls);
    series.add("CPU of membership and configuration tasks at rest, per node", "node",
               "percent of a core", n, 100 * (cpuSeconds() - cpu) / RestSeconds / n);
    const auto before = fleet.platform->calls();
    double slowest = 0;
    const auto start = BootClock::now();
    for (int i = 0; i < Changes; ++i) {
        const auto applied = BootClock::now();
        fleet.apply(static_cast<std::uint64_t>(i) + 2, {"scan"});
        fleet.allHaveRevision(static_cast<std::uint64_t>(i) + 2);
        slowest = std::max(slowest, static_cast<double>(toMs(BootClock::now() - applied)));
        pause(milliseconds(500));
    }
    const double time = static_cast<double>((BootClock::now() - start).count()) / 1e6;
    series.add("platform calls per configuration change", "node", "calls", n,
               (static_cast<double>(fleet.platform->calls() - before) - restCalls * time)
                       / Changes);
    series.add("ms until a change is in force on all, slowest of 20", "node", "ms", n, slowest);
    std::size_t connections = 0;
    for (const auto &node : fleet.nodes)
        connections += node->peers.size();
    series.add("open control connections per node after 20 changes", "node", "connections", n,
               static_cast<double>(connections) / n);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app {"Measures the growth of state, traffic and platform calls with the fleet size"};
    std::string part;
    std::string file;
    app.add_option("--part", part, "state, traffic, rest, events, heard, connections or tasks")
            ->required()
            ->check(CLI::IsMember(
                    {"state", "traffic", "rest", "events", "heard", "connections", "tasks"}));
    app.add_option("--json", file, "file for the series");
    CLI11_PARSE(app, argc, argv);

    Series series(part);
    if (part == "state") {
        measureMemberState(series);
        measureConfigState(series);
        measureRequestState(series);
    } else if (part == "traffic") {
        for (const std::size_t nodes : {4U, 16U, 64U, 200U}) {
            measureTraffic(series, nodes, true);
            measureTraffic(series, nodes, false);
            measureConfigTraffic(series, nodes);
        }
    } else if (part == "rest") {
        measureRest(series);
    } else if (part == "events") {
        measureEvents(series);
    } else if (part == "heard") {
        for (const std::size_t nodes : {64U, 200U, 710U}) {
            measureHeard(series, nodes, false);
            measureHeard(series, nodes, true);
        }
    } else if (part == "connections") {
        measureConnections(series);
    } else {
        for (const std::size_t nodes : {4U, 16U, 64U})
            measureTasks(series, nodes);
    }
    series.write(file);
    return 0;
}
