// The check of customer quotas in a gate: which requests take a token, and what a refused one gets.
#define BOOST_TEST_MODULE gate_quota
#include "../src/node/quota_home_task.h"
#include "berylspur/gate/gate_task.h"
#include "loop.h"
#include "platform/platform_client.h"

#include <boost/test/unit_test.hpp>
#include <event2/buffer.h>
#include <event2/http.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

using namespace berylspur;

namespace {

schema::NodeSettings settingsFor(const Address &peer, const Address &caller)
{
    schema::NodeSettings settings;
    settings.set_fleet("fleet");
    settings.mutable_node()->set_name("node");
    settings.mutable_addresses()->set_peer(peer.toString());
    settings.mutable_addresses()->set_caller(caller.toString());
    settings.mutable_limits()->set_max_requests_in_flight(1000);
    settings.mutable_limits()->set_max_header_bytes(16384);
    settings.mutable_limits()->set_max_header_fields(256);
    return settings;
}

/// A gate that is its own home, for a service without endpoints: an admitted request gets 503.
struct GateFixture
{
    explicit GateFixture(bool hasHome = true)
    {
        schema::CustomerShard shard;
        shard.set_number(customerShard("bozi"));
        auto *customer = shard.add_customers();
        customer->set_name("bozi");
        customer->add_keys("key");
        customer->set_rate(1);
        customer->set_burst(2);
        customers.update(shard);

        schema::ServiceConfig config;
        config.set_service("cantar");
        config.set_revision(1);
        config.set_customer_header("X-Customer");
        auto *route = config.mutable_content()->add_routes();
        route->set_path_prefix("/");
        route->set_idempotent(true);
        route->set_deadline_ms(400);
        route->set_attempts(1);
        route->set_anonymous(true);
        gate.configure({&config});
        gate.parentRun.connect([](const std::string &id) {
            ParentRun run;
            if (id == "parent.1")
                run = {ParentRun::Kind::First, "bozi", 0};
            return run;
        });
        gate.decisionMade.connect(
                [this](const schema::DecisionRecord &record) { rules.insert(record.rule()); });
        BOOST_TEST(gate.start().has_value());
        if (!hasHome)
            server.reset();
    }

    /// Status of a request; 0 without a response.
    int statusOf(const std::string &requestId = {})
    {
        auto *connection = evhttp_connection_base_new(loop.base, nullptr, "127.0.0.1", caller.port);
        int status = -1;
        auto *request = evhttp_request_new(
                [](evhttp_request *response, void *result) {
                    auto *code = static_cast<int *>(result);
                    *code = response ? evhttp_request_get_response_code(response) : 0;
                },
                &status);
        auto *headers = evhttp_request_get_output_headers(request);
        evhttp_add_header(headers, "Host", "cantar");
        evhttp_add_header(headers, "X-Customer", "bozi");
        if (requestId.empty())
            evhttp_add_header(headers, names.customerKey.c_str(), "key");
        else
            evhttp_add_header(headers, names.requestId.c_str(), requestId.c_str());
        evhttp_make_request(connection, request, EVHTTP_REQ_GET, "/");
        BOOST_TEST(loop.runUntil([&] { return status >= 0; }));
        evhttp_connection_free(connection);
        return status;
    }
    bool hasVotes() { return !home.dump()["shards"].empty(); }

    Loop loop;
    Address peer = freeAddress();
    Address caller = freeAddress();
    schema::NodeSettings settings = settingsFor(peer, caller);
    PeerIdentity identity {"fleet", "node", 1};
    PlatformClient platform {loop.base, freeAddress()};
    PeerPool peers {loop.base, identity};
    MembershipTask membership {loop.base, settings, 1, platform, peers};
    CustomerTable customers;
    HeaderNames names = [] {
        HeaderNames result;
        result.callerSetsIdAndDeadline = true;
        return result;
    }();
    GateTask gate {loop.base, settings, membership, peers, customers, names};
    QuotaHomeTask home {loop.base, membership.table(), customers, 1};
    std::unique_ptr<PeerServer> server {
            std::move(PeerServer::listen(loop.base, peer, identity,
                                         [this](const std::shared_ptr<PeerRequest> &request) {
                                             home.handle(request);
                                         })
                              .value())};
    std::set<std::string> rules; ///< of all decisions
};

} // namespace

// Guards against requests beyond the quota that are admitted, refused with another code, or without
// a rule that names the quota.
BOOST_AUTO_TEST_CASE(requests_beyond_the_quota_get_429)
{
    GateFixture fixture;
    BOOST_TEST(fixture.loop.runUntil([&] { return fixture.hasVotes(); }));
    const auto filled = BootClock::now() + std::chrono::seconds(3);
    fixture.loop.runUntil([&] { return BootClock::now() >= filled; });
    int refused = 0;
    for (int i = 0; i < 8; ++i)
        refused += fixture.statusOf() == 429 ? 1 : 0;
    // The bucket holds 3 and fills 1/s; an admitted request lasts up to 0.7 s.
    BOOST_TEST(refused >= 1);
    BOOST_TEST(refused <= 5);
    BOOST_TEST(fixture.rules.contains("customer quota"));
}

// Guards against nested calls that count against the quota, and so fail runs that were admitted.
BOOST_AUTO_TEST_CASE(nested_calls_need_no_token)
{
    GateFixture fixture(false);
    BOOST_TEST(fixture.statusOf("parent.1") == 503);
}

// Guards against a gate that admits, or keeps waiting, when no home can be reached.
BOOST_AUTO_TEST_CASE(unreachable_home_refuses)
{
    GateFixture fixture(false);
    BOOST_TEST(fixture.statusOf() == 429);
}
