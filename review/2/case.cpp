// An endpoint leaves, its node is killed and started again, and a check-in that the endpoint sent
// before it left arrives late. The new process takes the endpoint for ready.
#include "stage.h"

using namespace review;

namespace {

constexpr double DrainTimeout = 2.0;
constexpr double StabilityWindow = 3.0;
constexpr int WorkMs = 300;
constexpr int DeadlineMs = 8000;

/// Requests one after the other on a kept connection until \a stop.
void sendRequests(Record &record, std::uint16_t port, const std::string &method,
                  const std::atomic<bool> &stop, std::vector<Answer> &answers, std::mutex &mutex)
{
    while (!stop) {
        const int fd = connectTo(port);
        if (fd < 0) {
            sleepMs(100);
            continue;
        }
        Reader reader(fd);
        for (;;) {
            if (stop)
                break;
            const auto answer = ask(record, fd, reader, method,
                                    method == "POST" ? "/puka111/2f" : "/leny950/2f", DeadlineMs,
                                    method == "POST" ? "tray" : "");
            {
                const std::lock_guard lock(mutex);
                answers.push_back(answer);
            }
            sleepMs(50);
            if (answer.status == 0 || answer.status >= 500)
                break;
        }
        close(fd);
        sleepMs(50);
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3)
        return ExitNotRun;
    startTime();
    const std::string folder = argv[2];
    const char *setting = std::getenv("TROUBLE");
    const bool trouble = !setting || std::string(setting) != "0";
    Record record(argv[1]);
    record.line(trouble ? "with the disruption" : "without the disruption");

    const auto storePort = freePort();
    Store store(storePort);
    store.put("config", "main",
              configuration(7, {route("r-1", "/puka111/", "non_idempotent", "wuno96b", "5000ms", 2),
                                route("r-2", "/leny950/", "idempotent", "wuno96b", "8000ms", 2),
                                service("wuno96b"), callerLimits()}));
    const auto portA = freePort();
    const auto portB = freePort();
    Node nodeA(record, folder, "sidecar-buc-a-1", "buc-a", "wuno96b", storePort, portA);
    Node nodeB(record, folder, "sidecar-buc-a-2", "buc-a", "wuno96b", storePort, portB);
    Endpoint a(record, "i-aaaa0001", "wuno96b", "buc-a", portA, nodeA.admin, WorkMs);
    Endpoint b(record, "i-bbbb0001", "wuno96b", "buc-a", portB, nodeB.admin, WorkMs);
    nodeA.start(true);
    nodeB.start(true);
    a.startCheckIns();
    b.startCheckIns();
    require([&] { return nodeA.isReady() && nodeB.isReady(); }, 15000, "the nodes are not ready");

    // Callers of the machine whose node is left alone.
    std::atomic<bool> stop {false};
    std::vector<Answer> answers;
    std::mutex mutex;
    std::vector<std::thread> callers;
    for (int i = 0; i < 6; ++i) {
        callers.emplace_back([&, i] {
            sendRequests(record, nodeA.caller, i % 2 == 0 ? "POST" : "GET", stop, answers, mutex);
        });
    }
    require([&] { return a.runs().size() > 20 && b.runs().size() > 20; }, 20000,
            "the endpoints get no requests");
    sleepMs(4000);

    // The last check-in is on its way when the endpoint leaves.
    b.stopCheckIns();
    sleepMs(200);
    const auto late = b.takeCheckIn();
    record.line("endpoint " + b.id() + " sends a check-in that arrives late: " + late);
    sleepMs(300);
    if (b.deregister() != 200) {
        std::fprintf(stderr, "not run: the node didn't acknowledge\n");
        finish(ExitNotRun);
    }
    const double acknowledged = now();
    record.line("node " + nodeB.name() + " acknowledged that " + b.id() + " leaves");
    sleepMs(500);
    if (trouble) {
        nodeB.kill();
        sleepMs(500);
        nodeB.start(false);
    } else {
        sleepMs(500);
    }
    const double restarted = nodeB.startedAt;
    sleepMs(2000);
    record.line("the late check-in arrives; the node answers " + std::to_string(b.checkIn(late)));
    // The endpoint serves on for some seconds and ends.
    sleepMs(8000);
    record.line("endpoint " + b.id() + " ends");
    const double ended = now();
    b.end();
    sleepMs(2000);
    stop = true;
    for (auto &caller : callers)
        caller.join();

    const double from =
            std::max(acknowledged + DrainTimeout, trouble ? restarted + StabilityWindow : 0.0);
    int lateRuns = 0;
    std::set<std::string> lost;
    for (const auto &run : b.runs()) {
        if (run.time <= from || run.time >= ended)
            continue;
        ++lateRuns;
        if (!run.isComplete && run.method == "POST")
            lost.insert(run.id);
    }
    int lostAnswers = 0;
    for (const auto &answer : answers)
        lostAnswers += lost.contains(answer.id) && (answer.status == 504 || answer.status == 0);
    char text[256];
    std::snprintf(text, sizeof text,
                  "result: acknowledged at %.3f, requests count from %.3f on: %d reached the "
                  "endpoint; %d of them were cut by its end and answered 504 or not at all",
                  acknowledged, from, lateRuns, lostAnswers);
    record.line(text);
    std::puts(text);
    nodeA.kill();
    nodeB.kill();
    std::fflush(stdout);
    finish(lateRuns > 0 ? ExitBroken : ExitHeld);
}
