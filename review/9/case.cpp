// Case 9: all nodes are killed right after one has acknowledged that its endpoint leaves, and start
// while the store is down. A late check-in then brings the endpoint back, though the store has its
// departure all the time.
#include "../harness-2.h"

using namespace harness;

namespace {

constexpr int Machines = 3;
constexpr int DrainMs = 2000; ///< drainTimeout
constexpr int StabilityMs = 3000; ///< stabilityWindow
constexpr int StoreDownMs = 2500; ///< for_s of platform_down is 4.5 s
constexpr int LateMs = 6000; ///< after the ack: delay of the late check-in

} // namespace

int main()
{
    Record::instance().open("review/9/record.txt");
    Directory directory;
    Store store;
    store.put("config", "main",
              configuration(3, json::array({serviceResource("svc-a"), limitsResource(),
                                            routeResource("r-1", "shop.example", "/book/",
                                                          "non_idempotent", "svc-a")})));
    std::vector<Store::Door *> doors;
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < Machines; ++i) {
        const auto name = "sidecar-" + std::to_string(i);
        doors.push_back(&store.addDoor(name));
        endpoints.push_back(std::make_unique<Endpoint>("i-" + std::to_string(i), "svc-a", 4, 20));
        nodes.push_back(
                std::make_unique<Node>(NodeOptions {.name = name,
                                                    .service = "svc-a",
                                                    .endpoint = endpoints.back()->address(),
                                                    .platform = doors.back()->server->address()},
                                       directory.path));
        nodes.back()->start(true);
        if (i > 0)
            endpoints.back()->checkInAt(*nodes.back());
    }
    auto &leaving = *endpoints[0];
    const auto call = [&](const std::string &name, const json &body) {
        const auto status =
                ask("127.0.0.1", nodes[0]->admin, "POST",
                    "/v1/rpc?call=instances." + name + "&of=" + leaving.id,
                    {{"Host", "node"}, {"Content-Type", "application/json"}}, body.dump(), 1000)
                        .status();
        note(name + " of " + leaving.id + ", sequence "
             + (body.contains("sequence") ? body["sequence"].dump() : "none") + ", answered with "
             + std::to_string(status));
        return status;
    };
    const auto stopAll = [&] {
        for (auto &endpoint : endpoints)
            endpoint->stop();
        nodes.clear();
        store.stop();
    };
    const bool allReady = waitFor(
            [&] {
                return std::all_of(nodes.begin(), nodes.end(),
                                   [](const auto &node) { return node->isReady(); });
            },
            15000);
    call("heartbeat", leaving.checkInBody());
    const auto lateCheckIn = leaving.checkInBody(); // sent now, arrives late
    sleepMs(3000);
    for (int i = 0; i < 40; ++i)
        request(*nodes[1 + i % 2], "POST", "shop.example", "/book/x", "calm-" + std::to_string(i));
    const auto calm = leaving.runs().size();

    leaving.state = "draining"; // its health probe says so from now on
    const auto acked = call("deregister", {{"born", leaving.born}});
    const auto ackedAt = nowMs();
    if (!allReady || calm == 0 || acked != 200) {
        std::fprintf(stderr, "no calm start: ready %d, runs %zu, ack %d\n", allReady, calm, acked);
        stopAll();
        return 2;
    }
    if (trouble()) {
        sleepMs(200);
        for (auto *door : doors)
            door->isBusy = true;
        note("disruption: the store is down (503)");
        sleepMs(100);
        for (auto &node : nodes)
            node->signal(SIGKILL);
        for (auto &node : nodes)
            node->waitForEnd(1000);
        note("disruption: all processes are killed");
        sleepMs(200);
        for (auto &node : nodes)
            node->start(false);
        sleepMs(ackedAt + 200 + StoreDownMs - nowMs());
        for (auto *door : doors)
            door->isBusy = false;
        note("the store is back");
    }
    sleepMs(ackedAt + LateMs - nowMs());
    const auto runsBefore = leaving.runs().size();
    call("heartbeat", lateCheckIn);
    int served = 0;
    for (int i = 0; i < 60; ++i) {
        served += request(*nodes[1 + i % 2], "POST", "shop.example", "/book/x",
                          "after-" + std::to_string(i))
                          .status()
                  == 200;
        sleepMs(50);
    }
    int reached = 0;
    const auto runs = leaving.runs();
    for (auto i = runsBefore; i < runs.size(); ++i)
        reached += runs[i].at > ackedAt + DrainMs && runs[i].at > ackedAt + 2700 + StabilityMs;
    note("requests that ran at " + leaving.id + " more than drainTimeout after the ack: "
         + std::to_string(reached) + " of 60, answered with success: " + std::to_string(served));
    stopAll();
    std::printf("case 9: %d requests reached the endpoint that had left\n", reached);
    return reached > 0 ? 1 : 0;
}
