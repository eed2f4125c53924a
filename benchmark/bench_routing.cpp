// Cost per request of route matching, rotation, endpoint choice, customer keys, rate limiting and
// key claims, cost of a change of customers, and
// memory per item, at the size expected in two years (section 1.4 of docs/design.md). Allocation
// counts are checked against bounds; times are only reported.
#include "bench_report.h"
#include "berylspur/config/config_store.h"
#include "berylspur/customers/customer_table.h"
#include "berylspur/idempotency/key_home.h"
#include "berylspur/limits/rate_limiter.h"
#include "berylspur/routing/endpoint_picker.h"
#include "berylspur/routing/rotation.h"
#include "berylspur/routing/route_table.h"

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

std::uint64_t allocations = 0;
std::int64_t liveBytes = 0;

void *allocate(std::size_t size)
{
    void *memory = std::malloc(size);
    if (memory == nullptr)
        throw std::bad_alloc();
    ++allocations;
    liveBytes += static_cast<std::int64_t>(malloc_usable_size(memory));
    return memory;
}

void release(void *memory)
{
    liveBytes -= static_cast<std::int64_t>(malloc_usable_size(memory));
    std::free(memory);
}

} // namespace

void *operator new(std::size_t size)
{
    return allocate(size);
}
void *operator new[](std::size_t size)
{
    return allocate(size);
}
void operator delete(void *memory) noexcept
{
    release(memory);
}
void operator delete[](void *memory) noexcept
{
    release(memory);
}
void operator delete(void *memory, std::size_t) noexcept
{
    release(memory);
}
void operator delete[](void *memory, std::size_t) noexcept
{
    release(memory);
}

namespace {

using namespace berylspur;
using namespace std::chrono_literals;
using bench::Bound;

constexpr std::size_t Services = 480;
constexpr std::size_t Routes = 6700;
constexpr std::size_t Endpoints = 11000;
constexpr std::size_t Nodes = 710;
constexpr std::size_t Domains = 8;
constexpr std::size_t Customers = 64000;
constexpr std::size_t Keys = 100000;
constexpr std::size_t Requests = 200000;

const TimePoint Start {100000s};

/// Mean cost of a call.
struct Cost
{
    double nanoseconds = 0;
    double allocations = 0;
};

/// Mean cost of \a call(i) over \a count calls.
template <typename Call>
Cost measure(std::size_t count, Call call)
{
    const std::uint64_t before = allocations;
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < count; ++i)
        call(i);
    const std::chrono::duration<double, std::nano> time = std::chrono::steady_clock::now() - start;
    const auto calls = static_cast<double>(count);
    return {time.count() / calls, static_cast<double>(allocations - before) / calls};
}

/// Bytes per item that remain allocated after \a fill.
template <typename Fill>
double bytesPerItem(std::size_t items, Fill fill)
{
    const std::int64_t before = liveBytes;
    fill();
    return static_cast<double>(liveBytes - before) / static_cast<double>(items);
}

/// Collects results so that the compiler does not optimize the calls away.
std::uint64_t resultSink = 0;

std::string serviceName(std::size_t service)
{
    return "service-" + std::to_string(service);
}
std::string hostName(std::size_t service)
{
    return serviceName(service) + ".fleet.example";
}

std::vector<schema::ServiceConfig> makeServices()
{
    std::vector<schema::ServiceConfig> services(Services);
    for (std::size_t i = 0; i < Services; ++i)
        services[i].set_service(serviceName(i));
    for (std::size_t i = 0; i < Routes; ++i) {
        auto *route = services[i % Services].mutable_content()->add_routes();
        route->set_host(hostName(i % Services));
        route->set_path_prefix("/api/part-" + std::to_string(i / Services));
        route->add_methods("GET");
        route->add_methods("POST");
    }
    return services;
}

std::vector<std::vector<EndpointView>> makeViews()
{
    std::vector<std::vector<EndpointView>> views(Services);
    for (std::size_t i = 0; i < Endpoints; ++i) {
        EndpointView endpoint;
        endpoint.id = "10.0." + std::to_string(i / 250) + '.' + std::to_string(i % 250) + ":8080";
        endpoint.node = "node-" + std::to_string(i % Nodes);
        endpoint.failureDomain = "region-domain-" + std::to_string(i / Services % Domains);
        endpoint.slots = 4;
        endpoint.severity = i % 50 == 0 ? 2 : 0;
        views[i % Services].push_back(endpoint);
    }
    return views;
}

/// Baseline: finds the route by a linear scan.
const schema::Route *scanRoutes(const std::vector<schema::ServiceConfig> &services,
                                std::string_view method, std::string_view host,
                                std::string_view path)
{
    const schema::Route *best = nullptr;
    for (const auto &service : services) {
        for (const auto &route : service.content().routes()) {
            const std::string &prefix = route.path_prefix();
            const bool isMatch = route.host() == host && path.starts_with(prefix)
                                 && (path.size() == prefix.size() || path[prefix.size()] == '/');
            if (!isMatch || (best != nullptr && best->path_prefix().size() >= prefix.size()))
                continue;
            for (const auto &allowed : route.methods()) {
                if (allowed == method)
                    best = &route;
            }
        }
    }
    return best;
}

void addCost(bench::Report &report, const std::string &name, const Cost &baseline,
             const Cost &figure, double maxAllocations)
{
    report.add({name + ": time", "ns", baseline.nanoseconds, figure.nanoseconds});
    report.add({name + ": allocations", "count", baseline.allocations, figure.allocations,
                Bound::AtMost, maxAllocations});
}

void benchRoutes(bench::Report &report)
{
    const auto services = makeServices();
    RouteTable table;
    const double bytes = bytesPerItem(Routes, [&] {
        for (const auto &service : services)
            table.update(service);
    });
    struct Request
    {
        std::string host, path;
    };
    std::vector<Request> requests;
    for (std::size_t i = 0; i < 4096; ++i) {
        const std::size_t route = i * 7919 % Routes;
        requests.push_back(
                {hostName(route % Services) + ":8443",
                 "/api/part-" + std::to_string(route / Services) + "/items/12345?page=2"});
    }
    const Cost figure = measure(Requests, [&](std::size_t i) {
        const Request &request = requests[i % requests.size()];
        resultSink += table.match("POST", request.host, request.path).value().key.size();
    });
    const Cost baseline = measure(2000, [&](std::size_t i) {
        const Request &request = requests[i % requests.size()];
        const std::string_view host(request.host);
        const std::string_view path(request.path);
        resultSink += scanRoutes(services, "POST", host.substr(0, host.find(':')),
                                 path.substr(0, path.find('?')))
                              ->deadline_ms();
    });
    addCost(report, "match of 6,700 routes (baseline: scan)", baseline, figure, 0);
    report.add({"memory per route, configuration included", "bytes", 0, bytes});
}

void benchEndpoints(bench::Report &report)
{
    const auto views = makeViews();
    struct Cached
    {
        std::uint64_t version = 0;
        Rotation rotation;
    };
    std::unordered_map<std::string, Cached> cache;
    std::vector<std::string> names;
    for (std::size_t i = 0; i < Services; ++i)
        names.push_back(serviceName(i));
    const RotationConfig config {46};
    const auto cached = [&](std::size_t service) -> const Rotation & {
        Cached &entry = cache[names[service]];
        if (entry.version != 1)
            entry = {1, rotation(views[service], config)};
        return entry.rotation;
    };
    const double rotationBytes = bytesPerItem(Endpoints, [&] {
        for (std::size_t i = 0; i < Services; ++i)
            cached(i);
    });
    const Cost cacheHit = measure(Requests, [&](std::size_t i) {
        resultSink += cached(i * 31 % Services).slotsInRotation;
    });
    const Cost computed = measure(Requests / 20, [&](std::size_t i) {
        resultSink += rotation(views[i * 31 % Services], config).slotsInRotation;
    });
    addCost(report, "rotation with cache (baseline: computed per request)", computed, cacheHit, 0);

    EndpointPicker picker("region-domain-3");
    const double loadBytes = bytesPerItem(Endpoints, [&] {
        for (const auto &view : views) {
            for (const auto &endpoint : view)
                picker.onLoadReported(endpoint.id, {4, 2, 0, 5ms}, Start);
        }
    });
    const std::unordered_set<std::string> none;
    Random random(1);
    const Cost pick = measure(Requests, [&](std::size_t i) {
        const std::size_t service = i * 31 % Services;
        const auto &view = views[service];
        const auto choice = picker.pick(view, cached(service), none, Start, random);
        picker.onRequestSent(view[*choice].id);
        picker.onLoadReported(view[*choice].id, {4, static_cast<std::uint32_t>(i % 4), 0, 5ms},
                              Start);
        picker.onRequestEnded(view[*choice].id);
    });
    const Cost scan = measure(Requests / 20, [&](std::size_t i) {
        const std::size_t service = i * 31 % Services;
        std::vector<EndpointView> candidates;
        for (const auto &entry : rotation(views[service], config).entries) {
            if (entry.verdict == RotationVerdict::InRotation
                || entry.verdict == RotationVerdict::HeldByFloor)
                candidates.push_back(views[service][entry.endpoint]);
        }
        resultSink += candidates[random() % candidates.size()].slots;
    });
    addCost(report, "pick, sent, reported, ended (baseline: copy of candidates)", scan, pick, 0);
    report.add({"memory per endpoint: cached rotation and load", "bytes", 0,
                rotationBytes + loadBytes});
}

constexpr std::size_t KeysPerCustomer = 2;

std::string customerKey(std::size_t customer, std::size_t number)
{
    // As long as a UUID in text.
    const auto digits = std::to_string(customer * KeysPerCustomer + number);
    return "key-" + std::string(32 - digits.size(), '0') + digits;
}

/// All customers, of which one has \a rate.
schema::ConfigDelta makeCustomers(std::uint64_t revision, std::uint32_t rate)
{
    std::vector<schema::Customer> customers(Customers);
    for (std::size_t i = 0; i < Customers; ++i) {
        customers[i].set_name("customer-" + std::to_string(i));
        customers[i].set_rate(i == 0 ? rate : 100);
        customers[i].set_burst(100);
        for (std::size_t number = 0; number < KeysPerCustomer; ++number)
            customers[i].add_keys(customerKey(i, number));
    }
    schema::ConfigDelta delta;
    delta.set_revision(revision);
    for (auto &shard : shardCustomers(std::move(customers))) {
        shard.set_revision(revision);
        *delta.add_customer_shards() = std::move(shard);
    }
    return delta;
}

void benchCustomers(bench::Report &report)
{
    constexpr double NanosecondsPerMs = 1e6;
    ConfigStore store;
    CustomerTable table;
    const auto apply = [&](const schema::ConfigDelta &delta) {
        for (const auto &shard : store.merge(delta).customerShards)
            table.update(shard);
    };
    Cost all;
    // The text of a delta is what a node receives; the parsed message is released.
    const auto text = makeCustomers(1, 100).SerializeAsString();
    const double bytes = bytesPerItem(Customers, [&] {
        all = measure(1, [&](std::size_t) {
            schema::ConfigDelta delta;
            delta.ParseFromString(text);
            apply(delta);
        });
    });
    const auto changed = makeCustomers(2, 50);
    schema::ConfigDelta difference;
    const Cost compared = measure(1, [&](std::size_t) { difference = store.difference(changed); });
    const Cost one = measure(1, [&](std::size_t) { apply(difference); });
    std::vector<std::string> keys;
    for (std::size_t i = 0; i < 4096; ++i)
        keys.push_back(customerKey(i * 7919 % Customers, i % KeysPerCustomer));
    const Cost lookup = measure(Requests, [&](std::size_t i) {
        resultSink += table.find(keys[i % keys.size()])->rate();
    });
    const Cost scan = measure(100, [&](std::size_t i) {
        for (const auto &shard : changed.customer_shards()) {
            for (const auto &customer : shard.customers()) {
                if (customer.keys(0) == keys[i] || customer.keys(1) == keys[i])
                    resultSink += customer.rate();
            }
        }
    });
    addCost(report, "customer of a key among 128,000 (baseline: scan)", scan, lookup, 0);
    report.add({"customers: apply all", "ms", 0, all.nanoseconds / NanosecondsPerMs});
    report.add({"customers: compare all on a watcher, one changed", "ms", 0,
                compared.nanoseconds / NanosecondsPerMs});
    report.add({"customers: apply a change of one", "ms", 0, one.nanoseconds / NanosecondsPerMs});
    report.add({"customers: delta of all", "KB", 0, static_cast<double>(text.size()) / 1000});
    report.add({"customers: delta of a change of one", "KB", 0,
                static_cast<double>(difference.ByteSizeLong()) / 1000});
    report.add({"memory per customer with two keys: configuration and table", "bytes", 0, bytes});
}

void benchRates(bench::Report &report)
{
    const RateLimit limit {100, 100};
    RateLimiterHome home;
    RateLimiterClient client;
    std::vector<std::string> customers;
    for (std::size_t i = 0; i < Customers; ++i)
        customers.push_back("customer-" + std::to_string(i * 2654435761U % 1000000007U));
    std::string key;
    const auto renew = [&](TimePoint now) {
        const auto renewal = client.beginRenewal(key, limit);
        client.onGranted(key, home.grant(key, limit, renewal.used, renewal.wanted, now), now);
    };
    std::uint64_t messages = 0;
    const auto request = [&](std::size_t customer, TimePoint now) {
        rateKey("service-7", customers[customer], key);
        const auto decision = client.request(key, limit, now);
        if (decision.renew) {
            renew(now);
            ++messages;
        }
    };
    const double bytes = bytesPerItem(Customers, [&] {
        for (std::size_t i = 0; i < Customers; ++i)
            request(i, Start);
    });
    messages = 0;
    // 20,000 requests/s in total, all from a tenth of the customers.
    const Cost figure = measure(Requests, [&](std::size_t i) {
        request(i * 7919 % (Customers / 10), Start + Duration(50 * i));
    });
    const Cost baseline = measure(Requests, [&](std::size_t i) {
        key = rateKey("service-7", customers[i * 7919 % (Customers / 10)]);
        resultSink += home.grant(key, limit, 0, 1, Start + Duration(50 * i)).tokens;
    });
    addCost(report, "rate limit at 3 requests/s per customer (baseline: home asked each time)",
            baseline, figure, 0);
    report.add({"rate limit: messages to homes per 100 requests", "count", 100,
                100.0 * static_cast<double>(messages) / Requests});
    report.add({"memory per customer: gate's account and home's bucket", "bytes", 0, bytes});
}

void benchKeys(bench::Report &report)
{
    FleetView fleet;
    std::vector<std::string> names;
    for (std::size_t i = 0; i < Nodes; ++i)
        names.push_back("node-" + std::to_string(i));
    for (const std::string &name : names)
        fleet.known.push_back({name, Start, KeyQuorum::Held});
    fleet.lastHeardByPeer = Start;
    KeyHome home({}, Start, true, "node-3");
    home.updateView(fleet, Start);
    std::vector<std::string> keys;
    for (std::size_t i = 0; keys.size() < 1000; ++i) {
        std::string key = "service-7/customer-1/" + std::to_string(i * 2654435761U);
        if (keyHomeOf(key, names) == "node-3")
            keys.push_back(std::move(key));
    }
    const KeyClaim claim {{}, "node-44", 5};
    const Cost checked = measure(keys.size(), [&](std::size_t i) {
        resultSink +=
                static_cast<std::uint64_t>(home.claim(keys[i], claim, std::nullopt, Start).verdict);
    });
    KeyHome plain({}, Start, true);
    std::vector<std::string> many;
    for (std::size_t i = 0; i < Keys; ++i)
        many.push_back("service-7/customer-1/" + std::to_string(i * 2654435761U));
    Cost unchecked;
    const double bytes = bytesPerItem(Keys, [&] {
        unchecked = measure(Keys, [&](std::size_t i) {
            resultSink += static_cast<std::uint64_t>(
                    plain.claim(many[i], claim, std::nullopt, Start).verdict);
        });
    });
    const Cost repeat = measure(Keys, [&](std::size_t i) {
        resultSink += plain.claim(many[i], {RequestId {{1}}, "node-44", 5}, std::nullopt, Start)
                              .first.owner.size();
    });
    const Cost update = measure(
            100, [&](std::size_t i) { home.updateView(fleet, Start + std::chrono::seconds(i)); });
    // Allocations for the record, its key and growth of the index.
    addCost(report, "claim at the home of 710 nodes (baseline: own view not checked)", unchecked,
            checked, 4);
    addCost(report, "repeat of a claim", unchecked, repeat, 0);
    report.add({"contact(), once per second", "ns", 0, update.nanoseconds});
    report.add({"memory per key", "bytes", 0, bytes, Bound::AtMost, 320});
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Cost of routing, limits and keys per request");
    bool check = false;
    std::string json;
    app.add_flag("--check", check, "fail if a bound is not met");
    app.add_option("--json", json, "file for the rows");
    CLI11_PARSE(app, argc, argv);
    bench::Report report;
    benchRoutes(report);
    benchEndpoints(report);
    benchCustomers(report);
    benchRates(report);
    benchKeys(report);
    return report.finish(json, check) + (resultSink == 0 ? 1 : 0);
}
