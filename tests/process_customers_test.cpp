// Customers and their keys, with real processes: refusals, headers at endpoints, nested calls, and
// changes of keys while connections are open and nodes restart.
#define BOOST_TEST_MODULE process_customers
#include "process_fixture.h"
#include "raw_caller.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <future>

using namespace berylspur::test;
using berylspur::RawCaller;
using nlohmann::json;
using std::chrono::seconds;

namespace {

const std::string AlphaKey = "alpha-key-5f1c";
const std::string Forged = "x-tenant-id: beta";
const std::string BetaKey = "beta-key-77aa";
const std::vector<std::string> Keys {AlphaKey, BetaKey, "alpha-key-old"};

json tenant(const std::string &name, const std::vector<std::string> &keys)
{
    return {{"typeUrl", "tenants"}, {"metadata", {{"name", name}}}, {"spec", {{"apiKeys", keys}}}};
}

json publicRoute()
{
    return {{"typeUrl", "routes"},
            {"metadata", {{"name", "open"}}},
            {"spec",
             {{"host", "svc.example"},
              {"pathPrefix", "/open/"},
              {"type", "idempotent"},
              {"timeout", "3s"},
              {"service", "svc"},
              {"public", true}}}};
}

const json TwoCustomers = json::array(
        {tenant("alpha", {AlphaKey, "alpha-key-old"}), tenant("beta", {BetaKey}), publicRoute()});

void configure(const Fleet &fleet, std::uint32_t version, const json &resources)
{
    fleet.configure(version, {}, resources);
    BOOST_REQUIRE(waitFor([&] {
        for (int i = 0; i < fleet.nodeCount(); ++i) {
            if (fleet.revision(i) != version)
                return false;
        }
        return true;
    }));
}

FleetOptions platformFleet()
{
    FleetOptions options;
    options.onPlatform = true;
    return options;
}

Response get(const Fleet &fleet, int node, const std::string &id, const std::string &key)
{
    std::vector<std::string> headers {"X-Request-Id: " + id};
    if (!key.empty())
        headers.push_back("X-Key: " + key);
    return call(fleet.node(node).caller, "GET", "/read/x?work-ms=1", headers);
}

struct KeyCase
{
    const char *guards; ///< failure that the case guards against
    const char *target;
    std::vector<std::string> headers;
    int status;
    std::string customer; ///< at the endpoint
};

const std::vector<KeyCase> KeyCases {
        {"a request without a key runs", "/read/x", {}, 401, ""},
        {"an empty key is one", "/read/x", {"X-Key: "}, 401, ""},
        {"the start of a key is enough", "/read/x", {"X-Key: alpha-key"}, 401, ""},
        {"case is ignored", "/read/x", {"X-Key: ALPHA-KEY-5F1C"}, 401, ""},
        {"a name serves as a key", "/read/x", {"X-Tenant-Id: alpha"}, 401, ""},
        {"a key is refused", "/read/x", {"X-Key: " + AlphaKey}, 200, "alpha"},
        {"a second key is refused", "/read/x", {"x-key: alpha-key-old"}, 200, "alpha"},
        {"a caller names its customer",
         "/read/x",
         {Forged, "X-Key: " + AlphaKey, Forged},
         200,
         "alpha"},
        {"a public route needs a key", "/open/x", {}, 200, ""},
        {"a public caller names its customer", "/open/x", {Forged}, 200, ""},
        {"a public route forwards a key", "/open/x", {"X-Key: none"}, 200, ""},
        {"a public route ignores a key", "/open/x", {"X-Key: " + BetaKey}, 200, "beta"},
        {"an unknown route needs a key", "/none/x", {}, 404, ""},
};

/// Decision record of \a kind about request \a id in the log of \a node; empty if there is none.
std::string recordOf(const Fleet &fleet, int node, const char *kind, const std::string &id)
{
    const auto log = fleet.nodeLog(node);
    const auto at = log.find(std::string("kind=") + kind + " request=" + id + " ");
    return at == std::string::npos ? std::string() : log.substr(at, log.find('\n', at) - at);
}

json bodyOf(const Response &response)
{
    const auto body = json::parse(response.body, nullptr, false);
    return body.is_object() ? body : json::object();
}

/// Sends one request on an open connection and returns the status of the response.
int statusOnConnection(RawCaller &caller, const std::string &id, const std::string &key)
{
    caller.received.clear();
    caller.send("GET /read/x?work-ms=1 HTTP/1.1\r\nHost: svc.example\r\nX-Request-Id: " + id
                + "\r\nX-Key: " + key + "\r\n\r\n");
    Response response;
    waitFor([&] {
        caller.read();
        response = parseResponse(caller.received, false, caller.ended);
        return response.isComplete || caller.ended;
    });
    return response.status;
}

} // namespace

// All cases share one fleet, because they do not modify it.
BOOST_AUTO_TEST_CASE(requests_are_served_by_their_key)
{
    Fleet fleet(platformFleet());
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    // Guards against keys and customers that get a meaning although there are no customers.
    const auto before = call(fleet.node(0).caller, "GET", "/read/x?work-ms=1",
                             {"X-Request-Id: before", "X-Tenant-Id: own", "X-Key: any"});
    BOOST_TEST(bodyOf(before)["customer"] == "own");
    BOOST_TEST(bodyOf(before)["customer-key"] == "any");

    configure(fleet, 0x20, TwoCustomers);
    int number = 0;
    for (const auto &sample : KeyCases) {
        BOOST_TEST_CONTEXT(sample.guards)
        {
            const auto id = "case-" + std::to_string(++number);
            auto headers = sample.headers;
            headers.push_back("X-Request-Id: " + id);
            const auto response = call(fleet.node(number % 3).caller, "GET",
                                       std::string(sample.target) + "?work-ms=1", headers);
            BOOST_TEST(response.status == sample.status);
            BOOST_TEST(fleet.runsOfId(id).started == (sample.status == 200 ? 1 : 0));
            if (sample.status != 200)
                continue;
            BOOST_TEST(bodyOf(response)["customer"] == sample.customer);
            BOOST_TEST(bodyOf(response)["customer-key"] == "");
        }
    }
    const auto refused = get(fleet, 1, "refused", "unknown");
    BOOST_TEST(refused.header("Berylspur-Outcome") == "not-run");
    BOOST_TEST(waitFor([&] {
        return recordOf(fleet, 1, "refuse", "refused").find("RequestUnauthorized")
               != std::string::npos;
    }));
    // Guards against keys in what operators read.
    for (int i = 0; i < fleet.nodeCount(); ++i) {
        std::string text = fleet.nodeLog(i);
        for (const auto *page : {"/state", "/config", "/metrics"})
            text += call(fleet.node(i).admin, "GET", page).body;
        for (const auto &key : Keys)
            BOOST_TEST(text.find(key) == std::string::npos, key);
    }
}

// Guards against nested calls that are refused or lose their customer, and against callers who use
// a running request to be served without a key in force or for another customer.
BOOST_AUTO_TEST_CASE(nested_calls_belong_to_the_customer_of_their_parent)
{
    Fleet fleet(platformFleet());
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    configure(fleet, 0x20, TwoCustomers);
    auto parent = std::async(std::launch::async, [&fleet] {
        return call(fleet.node(0).caller, "POST", "/write/x?work-ms=2500",
                    {"X-Request-Id: parent", "X-Key: " + AlphaKey}, "b");
    });
    BOOST_REQUIRE(waitFor([&fleet] { return fleet.runningOn("parent").has_value(); }));
    const int host = *fleet.runningOn("parent");
    BOOST_TEST(bodyOf(get(fleet, host, "parent.1", ""))["customer"] == "alpha");
    BOOST_TEST(bodyOf(get(fleet, host, "parent.2", BetaKey))["customer"] == "beta");
    BOOST_TEST(get(fleet, host, "parent.3", "unknown").status == 401);
    BOOST_TEST(get(fleet, (host + 1) % 3, "parent.4", "").status == 401);
    BOOST_TEST(get(fleet, host, "other.5", "").status == 401);
    BOOST_TEST(parent.get().status == 200);
    BOOST_TEST(get(fleet, host, "parent.6", "").status == 401);
    BOOST_TEST(waitFor([&] {
        return recordOf(fleet, host, "answer", "parent.1").find("call:1") != std::string::npos;
    }));
    BOOST_TEST(recordOf(fleet, host, "answer", "parent.2").find("call:0") != std::string::npos);
}

// Guards against a withdrawn key that is still served on an open connection or after a restart, and
// against a customer's last key that stays because nothing replaces it.
BOOST_AUTO_TEST_CASE(withdrawn_keys_are_refused)
{
    Fleet fleet(platformFleet());
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    configure(fleet, 0x20, TwoCustomers);
    RawCaller alpha(berylspur::Address {"127.0.0.1", fleet.node(0).caller});
    RawCaller beta(berylspur::Address {"127.0.0.1", fleet.node(1).caller});
    BOOST_TEST(statusOnConnection(alpha, "a-1", "alpha-key-old") == 200);
    BOOST_TEST(statusOnConnection(beta, "b-1", BetaKey) == 200);
    configure(fleet, 0x30, json::array({tenant("alpha", {AlphaKey})}));
    BOOST_TEST(statusOnConnection(alpha, "a-2", "alpha-key-old") == 401);
    BOOST_TEST(statusOnConnection(alpha, "a-3", AlphaKey) == 200);
    BOOST_TEST(statusOnConnection(beta, "b-2", BetaKey) == 401);
    BOOST_TEST(!alpha.ended);
    // The restarted node cannot read the store, so it must learn the keys from its peers.
    fleet.setPlatformFaults({{"outage", true}});
    fleet.nodeProcess(2).signal(SIGKILL);
    fleet.nodeProcess(2).waitForExit(seconds(10));
    fleet.startNode(2, true);
    BOOST_REQUIRE(waitFor([&] { return get(fleet, 2, "again", AlphaKey).status == 200; }));
    BOOST_TEST(get(fleet, 2, "b-3", BetaKey).status == 401);
    BOOST_TEST(get(fleet, 0, "a-4", AlphaKey).status == 200);
    fleet.setPlatformFaults({{"outage", false}});
    // Without customers no key is needed.
    configure(fleet, 0x40, json::array());
    BOOST_TEST(get(fleet, 0, "open", "").status == 200);
}

// Guards against customers of a manifest that the nodes do not read, or keep after it lost them.
BOOST_AUTO_TEST_CASE(customers_of_a_manifest_are_in_force)
{
    Fleet fleet;
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    const auto request = [&fleet](int node, const std::string &key) {
        return call(fleet.node(node).caller, "GET", "/read/x?work-ms=1",
                    {"Berylspur-Key: " + key, "Berylspur-Customer: beta", "X-Customer: beta"});
    };
    const auto applyAndWait = [&fleet](const std::string &customers) {
        const auto revision = fleet.revision(0);
        BOOST_REQUIRE(fleet.apply(fleet.manifest() + customers, "test") == 0);
        BOOST_REQUIRE(waitFor([&] {
            return fleet.revision(0) > revision && fleet.revision(0) == fleet.revision(1)
                   && fleet.revision(1) == fleet.revision(2);
        }));
    };
    applyAndWait("customers:\n  - {name: alpha, keys: [" + AlphaKey + ", old]}\n");
    BOOST_TEST(bodyOf(request(1, AlphaKey))["customer"] == "alpha");
    BOOST_TEST(request(2, "old").status == 200);
    BOOST_TEST(request(2, "none").status == 401);
    applyAndWait("customers:\n  - {name: alpha, keys: [" + AlphaKey + "]}\n");
    for (int i = 0; i < fleet.nodeCount(); ++i) {
        BOOST_TEST(request(i, "old").status == 401);
        BOOST_TEST(request(i, AlphaKey).status == 200);
    }
    applyAndWait("");
    BOOST_TEST(request(2, "none").status == 200);
}
