// State that a gate keeps for endpoints, nodes and services, while these come and go.
#define BOOST_TEST_MODULE gate_state
#include "../src/gate/gate_context.h"
#include "loop.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace berylspur;

namespace {

constexpr int Churn = 10000; ///< endpoints, nodes and services in turn
constexpr int Lifetime = 10; ///< number of them that exist at a time
constexpr TimePoint Start {std::chrono::seconds(1000)};

schema::MemberRecord record(const std::string &node, std::uint64_t incarnation)
{
    schema::MemberRecord record;
    record.set_node(node);
    record.set_incarnation(incarnation);
    record.set_sequence(1);
    return record;
}

schema::MemberRecord owner(int number)
{
    const auto suffix = std::to_string(number);
    auto result = record("node-" + suffix, 1);
    auto &endpoint = *result.add_endpoints();
    endpoint.set_id("endpoint-" + suffix);
    endpoint.set_service("service-" + suffix);
    endpoint.set_slots(4);
    return result;
}

schema::ServiceConfig service(int number, bool isDeleted)
{
    schema::ServiceConfig config;
    config.set_service("service-" + std::to_string(number));
    config.set_revision(static_cast<std::uint64_t>(number) + 1);
    config.set_deleted(isDeleted);
    return config;
}

/// Uses \a context as requests to the endpoint do.
void useEndpoint(GateContext &context, int number, TimePoint now)
{
    const auto suffix = std::to_string(number);
    const auto *config = context.routes.service("service-" + suffix);
    BOOST_REQUIRE(config);
    BOOST_TEST(context.serviceViews.current(*config, now).endpoints.size() == 1U);
    context.retryBudgets["service-" + suffix].recordRequest();
    context.picker.onRequestSent("endpoint-" + suffix);
    context.picker.onLoadReported("endpoint-" + suffix, {}, now);
    context.pathHealth.recordFailure("node-" + suffix, now);
}

} // namespace

// Guards against memory that grows with each endpoint, node and service that ever existed.
BOOST_AUTO_TEST_CASE(state_is_bounded_while_endpoints_come_and_go)
{
    const Loop loop;
    MemberTable members(record("self", 1));
    PeerPool peers(loop.base, {"fleet", "self", 1});
    const CustomerTable customers;
    GateContext context(loop.base, members, peers, customers, "domain", PickMode::OwnerLoad, {},
                        "");
    auto now = Start;
    for (int i = 0; i < Churn; ++i) {
        now += std::chrono::seconds(1);
        members.merge(owner(i), now);
        context.routes.update(service(i, false));
        useEndpoint(context, i, now);
        if (i >= Lifetime) {
            auto gone = owner(i - Lifetime);
            gone.set_sequence(2);
            gone.set_status(schema::MEMBER_LEFT);
            gone.clear_endpoints();
            members.merge(gone, now);
            context.routes.update(service(i - Lifetime, true));
        }
        members.expire(now);
        if (i % Lifetime == 0)
            context.forgetAbsent();
    }
    context.forgetAbsent();
    BOOST_TEST(context.picker.size() == Lifetime);
    BOOST_TEST(context.pathHealth.size() == Lifetime);
    BOOST_TEST(context.serviceViews.all().size() == Lifetime);
    BOOST_TEST(context.retryBudgets.size() == Lifetime);
    const auto *config = context.routes.service("service-" + std::to_string(Churn - 1));
    BOOST_REQUIRE(config);
    BOOST_TEST(context.serviceViews.current(*config, now).endpoints.size() == 1U);
}
