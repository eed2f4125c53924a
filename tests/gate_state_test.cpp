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

// Guards against a gate that admits parents while the endpoints of the service that they call
// report queues beyond their deadline, and against one that refuses them by outdated reports.
BOOST_AUTO_TEST_CASE(parents_are_refused_by_the_reported_load_of_the_called_service)
{
    const Loop loop;
    MemberTable members(record("self", 1));
    PeerPool peers(loop.base, {"fleet", "self", 1});
    const CustomerTable customers;
    GateContext context(loop.base, members, peers, customers, "domain", PickMode::OwnerLoad, {},
                        "");
    members.merge(owner(0), Start);
    auto config = service(0, false);
    for (const std::uint32_t priority : {0U, 2U}) {
        auto &route = *config.mutable_content()->add_routes();
        route.set_path_prefix("/" + std::to_string(priority));
        route.set_priority(priority);
    }
    context.routes.update(config);
    context.calledServices.setRanks(context.routes.priorities());
    schema::OwnerLoad load;
    auto &call = *load.add_calls();
    call.set_service("service-0");
    call.set_calls_percent(70);
    call.set_usual_us(100000);
    int refused = 0;
    const auto check = [&](TimePoint now) {
        return context.calledServices.check({"route", 2, std::chrono::seconds(2)}, context.routes,
                                            context.serviceViews, context.picker, now);
    };
    for (int i = 0; i < 8; ++i) {
        const auto now = Start + i * std::chrono::milliseconds(10);
        context.calledServices.onReport("route", load, now);
        // 20 requests wait for 4 slots with a mean service time of 1 s.
        context.picker.onLoadReported("endpoint-0", {4, 0, 20, std::chrono::seconds(1)}, now);
        refused += check(now) ? 1 : 0;
    }
    BOOST_TEST(refused == 5); // the first and then one of four are admitted
    const auto later = Start + EndpointPicker::ReportLifetime + std::chrono::milliseconds(100);
    for (int i = 0; i < 8; ++i)
        BOOST_TEST(!check(later));
}
