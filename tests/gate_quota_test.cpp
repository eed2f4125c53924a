// The check of customer quotas in a gate: which requests take a token, and what a refused one gets.
#define BOOST_TEST_MODULE gate_quota
#include "../src/node/quota_home_task.h"
#include "gate_fixture.h"

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

/// A gate that is its own home, for a service without endpoints: an admitted request gets 503.
struct QuotaFixture : GateFixture
{
    explicit QuotaFixture(bool hasHome = true)
    {
        schema::CustomerShard shard;
        shard.set_number(customerShard("bozi"));
        auto *customer = shard.add_customers();
        customer->set_name("bozi");
        customer->add_keys("key");
        customer->set_rate(1);
        customer->set_burst(2);
        customers.update(shard);

        auto config = singleRouteConfig("cantar", 1);
        config.mutable_content()->mutable_routes(0)->set_anonymous(true);
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
    QuotaFixture fixture;
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
    QuotaFixture fixture(false);
    BOOST_TEST(fixture.statusOf("parent.1") == 503);
}

// Guards against a gate that admits, or keeps waiting, when no home can be reached.
BOOST_AUTO_TEST_CASE(unreachable_home_refuses)
{
    QuotaFixture fixture(false);
    BOOST_TEST(fixture.statusOf() == 429);
}
