// A route is dropped and put back a second later, while callers upload documents to it.
#include "../harness-3.h"

using namespace review;

namespace {

constexpr int Uploads = 4;
constexpr std::size_t BodyBytes = 1 << 20;
constexpr int Parts = 32;
constexpr int PartMs = 60; ///< an upload takes about 2 s

json resources(bool hasUploads)
{
    json list = {route("reads", "/read/", "idempotent", "archivio", "8000ms"), service("archivio"),
                 limits()};
    if (hasUploads)
        list.push_back(route("uploads", "/upload/", "upload", "archivio", "8000ms"));
    return list;
}

std::string document(int number)
{
    return std::string(BodyBytes, static_cast<char>('a' + number));
}

int body(const std::filesystem::path &folder)
{
    const int storePort = freePorts(1);
    auto &store = *new Store("127.0.0.1", storePort); // its threads use it to the end
    const auto work = [](const Message &request, const std::function<bool()> &) {
        note("endpoint got " + request.header("X-Request-Id") + " with a body of "
             + std::to_string(request.body.size()) + " bytes");
        pause(50);
        return Reply {};
    };
    auto &endpoint = *new Endpoint("i-1", "archivio", "127.0.0.2", freePorts(1), 10, work);
    Node node("node-1", "127.0.0.2", endpoint, storePort, bounds(), folder);
    store.configure("00000005", resources(true));
    node.start(true);
    endpoint.announceTo(node.ip, node.admin);
    require("the node is ready", milliseconds(20000), [&] { return node.isReady(); });
    pause(4000);

    if (hasTrouble()) {
        store.configure("00000009", resources(false));
        pause(500);
    }
    std::vector<std::thread> callers;
    for (int i = 0; i < Uploads; ++i) {
        callers.emplace_back([&, i] {
            const auto id = "doc-" + std::to_string(i) + ".";
            const auto text = document(i);
            Connection connection(node.ip, node.caller);
            note("caller sends " + id + " with a body of " + std::to_string(text.size())
                 + " bytes");
            connection.send("PUT /upload/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: " + id
                            + "\r\nX-Deadline-Ms: 10000\r\nContent-Length: "
                            + std::to_string(text.size()) + "\r\n\r\n");
            for (int part = 0; part < Parts; ++part) {
                connection.send(text.substr(part * (BodyBytes / Parts), BodyBytes / Parts));
                pause(PartMs);
            }
            const auto answer = connection.read(milliseconds(10000), true);
            note("caller of " + id + " gets: " + describe(answer));
        });
    }
    pause(500);
    if (hasTrouble())
        store.configure("0000000a", resources(true));
    for (auto &caller : callers)
        caller.join();
    int changed = 0;
    for (const auto &run : endpoint.runs()) {
        const int number = std::atoi(run.header("X-Request-Id").substr(4).c_str());
        changed += run.body == document(number) ? 0 : 1;
    }
    note("requests that ran with another body than was sent: " + std::to_string(changed));
    return changed > 0 ? Broken : Held;
}

} // namespace

int main()
{
    return runCase("review/6", body);
}
