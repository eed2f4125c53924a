// Case 9: one check-in of another writer, whose id cannot be read, ends the process when its state
// page is read. The requests that it has passed on are never answered.
#include "../stand-2/harness.h"

using namespace harness;

namespace {

constexpr int Requesters = 8;
constexpr int WorkMs = 2000;
constexpr int LostLimit = 3; ///< LOST: "more than three times"

/// One requester that keeps its connection.
struct Requester
{
    Socket socket;
    std::string tag;
    int first = 0;
    int second = 0;

    int send(const Node &node, const std::string &id, int limitMs)
    {
        note("sent      " + id + " at " + node.name() + " on the kept connection " + tag);
        socket.write("POST /book/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id
                     + "\r\nX-Deadline-Ms: 6000\r\nContent-Length: 4\r\n\r\nbody");
        const auto answer = socket.read(Clock::now() + std::chrono::milliseconds(limitMs));
        note(answer ? "answered  " + id + " with " + std::to_string(answer->status())
                    : "no answer " + id + ": the connection "
                              + (socket.isEnded() ? "was closed" : "is silent"));
        return answer ? answer->status() : 0;
    }
};

} // namespace

int main()
{
    Record::instance().open("review/9/record.txt");
    Directory directory;
    Store store;
    store.put("config", "main",
              configuration(3, json::array({serviceResource("svc-a"), serviceResource("svc-b"),
                                            routeResource("r-1", "shop.example", "/book/",
                                                          "non_idempotent", "svc-a"),
                                            limitsResource()})));
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < 3; ++i) {
        const auto name = "sidecar-" + std::to_string(i);
        const std::string service = i == 0 ? "svc-b" : "svc-a";
        auto &door = store.addDoor(name);
        endpoints.push_back(std::make_unique<Endpoint>("i-" + std::to_string(i), service, 5, 20));
        nodes.push_back(std::make_unique<Node>(NodeOptions {.name = name,
                                                            .service = service,
                                                            .endpoint = endpoints.back()->address(),
                                                            .platform = door.server->address()},
                                               directory.path));
        nodes.back()->start(true);
        endpoints.back()->checkInAt(*nodes.back());
    }
    auto &gate = *nodes[0];
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
    sleepMs(4000);
    std::vector<Requester> requesters(Requesters);
    int calm = 0;
    for (int i = 0; i < Requesters; ++i) {
        requesters[i].tag = "c" + std::to_string(i);
        requesters[i].socket.connect("127.0.0.1", gate.outbound, 1000);
        requesters[i].first = requesters[i].send(gate, "first-" + std::to_string(i), 5000);
        calm += requesters[i].first == 200;
    }
    if (!allReady || calm < Requesters) {
        std::fprintf(stderr, "no calm start: ready %d, served %d\n", allReady, calm);
        stopAll();
        return 2;
    }

    if (trouble()) {
        auto body = endpoints[0]->checkInBody();
        body["address"] = "127.0.0.1:" + std::to_string(freePort()); // nothing listens there
        const auto status = ask("127.0.0.1", gate.admin, "POST",
                                "/v1/rpc?call=instances.heartbeat&of=i-%ff%fe",
                                {{"Host", "node"}, {"Content-Type", "application/json"}},
                                body.dump(), 1000)
                                    .status();
        note("disruption: a check-in whose id is the bytes 69 2d ff fe, answered with "
             + std::to_string(status));
    }
    sleepMs(6000); // longer than stabilityWindow
    for (auto &endpoint : endpoints)
        endpoint->workMs = WorkMs;
    std::vector<std::thread> threads;
    for (int i = 0; i < Requesters; ++i) {
        threads.emplace_back([&, i] {
            requesters[i].second = requesters[i].send(gate, "second-" + std::to_string(i), 6000);
        });
    }
    sleepMs(WorkMs / 2);
    std::size_t running = 0;
    for (const auto &endpoint : endpoints)
        running += static_cast<std::size_t>(endpoint->running());
    note("at work at the endpoints: " + std::to_string(running));
    const auto state = ask("127.0.0.1", gate.status, "GET", "/state", {{"Host", "node"}}, {}, 2000);
    note("GET /state at " + gate.name() + " (docs/OPERATIONS.md): "
         + std::to_string(state.status()));
    for (auto &thread : threads)
        thread.join();
    const bool hasEnded = !gate.isRunning();
    int lost = 0;
    for (const auto &requester : requesters)
        lost += requester.second == 0;
    note("requests on kept connections that were closed without an answer: " + std::to_string(lost));
    if (hasEnded)
        note("the process of " + gate.name() + " has ended by itself, wait status "
             + std::to_string(gate.exit().value_or(0)));
    stopAll();
    std::printf("case 9: process ended %d, requests lost %d of %d\n", hasEnded, lost, Requesters);
    return lost > LostLimit ? 1 : 0;
}
