// The store turns away two of six machines, and a key is taken away meanwhile. The other machines,
// which the store serves, must not accept it for longer than the bound.
#include "../harness-3.h"

using namespace review;

namespace {

constexpr int Machines = 6;
constexpr double ConfigApplyS = 2.5;
constexpr double MaxSkewS = 5;
constexpr double RefusedS = 9;
const std::string Withdrawn = "cruddedev3nax7u27gxp";
const std::string Kept = "rymh2rrytapjsujqurty";

json resources(const json &keys)
{
    auto customer = tenant("bozi300", Kept, 118, 118);
    customer["spec"]["apiKeys"] = keys;
    return {route("reads", "/read/", "idempotent", "dziennik", "2500ms"), service("dziennik"),
            customer, limits()};
}

int body(const std::filesystem::path &folder)
{
    auto &store = *new Store("127.0.0.1", freePorts(1)); // its threads use it to the end
    const auto work = [](const Message &, const std::function<bool()> &) {
        pause(20);
        return Reply {};
    };
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<Endpoint *> endpoints;
    std::vector<Store::Door *> doors;
    for (int i = 0; i < Machines; ++i) {
        const auto number = std::to_string(i + 1);
        const auto ip = "127.0.0." + std::to_string(i + 2);
        const int port = freePorts(1);
        doors.push_back(new Store::Door(store, "127.0.0.1", port));
        endpoints.push_back(new Endpoint("i-" + number, "dziennik", ip, freePorts(1), 5, work));
        nodes.push_back(std::make_unique<Node>("node-" + number, ip, *endpoints[i], port, bounds(),
                                               folder));
    }
    store.configure("00000005", resources({Withdrawn, Kept}));
    for (int i = 0; i < Machines; ++i) {
        nodes[i]->start(true);
        endpoints[i]->announceTo(nodes[i]->ip, nodes[i]->admin);
    }
    require("nodes are ready", milliseconds(20000), [&] {
        return std::all_of(nodes.begin(), nodes.end(), [](auto &node) { return node->isReady(); });
    });
    // The machines that have a call waiting at the store are those that it turns away. Right after
    // the start all of them have one.
    std::vector<int> refused;
    const auto findWatchers = [&] {
        refused.clear();
        for (int i = 0; i < Machines; ++i) {
            if (doors[i]->watches > 0)
                refused.push_back(i);
        }
        return refused.size() == 2;
    };
    require("two machines watch the store", milliseconds(45000), findWatchers);
    pause(3000);
    require("two machines watch the store", milliseconds(5000), findWatchers);
    const double from = seconds();
    for (const int i : refused) {
        note("store: " + std::string(hasTrouble() ? "turns away " : "serves ") + nodes[i]->name);
        if (hasTrouble())
            doors[i]->refuse(true);
    }
    pause(200);
    store.configure("00000009", resources({Kept}));
    const double acknowledged = seconds();

    int sent = 0;
    int broken = 0;
    while (seconds() < from + RefusedS - 0.2) {
        for (int i = 0; i < Machines; ++i) {
            if (std::find(refused.begin(), refused.end(), i) != refused.end())
                continue;
            const auto id = "r" + std::to_string(sent++) + ".";
            const double age = seconds() - acknowledged;
            Connection connection(nodes[i]->ip, nodes[i]->caller);
            connection.send(requestText("GET", "/read/x", id, 2000, {"X-Key: " + Withdrawn}));
            const auto answer = connection.read(milliseconds(3000), true);
            const bool isLate = age > ConfigApplyS + MaxSkewS;
            const bool isBroken = isLate && answer.status() == 200;
            broken += isBroken ? 1 : 0;
            char text[160];
            std::snprintf(text, sizeof text,
                          "%s with the key taken away, %.1f s after the ack: %s%s",
                          nodes[i]->name.c_str(), age, describe(answer).c_str(),
                          isBroken ? ", broken" : "");
            note(text);
        }
        pause(200);
    }
    for (auto *door : doors)
        door->refuse(false);
    note("store: serves all machines");
    note("requests that ran with the key later than " + std::to_string(ConfigApplyS + MaxSkewS)
         + " s after the ack: " + std::to_string(broken));
    return broken > 0 ? Broken : Held;
}

} // namespace

int main()
{
    return runCase("review/9", body);
}
