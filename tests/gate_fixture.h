// A gate in the event loop of a test, on loopback sockets, without other nodes and endpoints.
#pragma once

#include "berylspur/gate/gate_task.h"
#include "loop.h"
#include "platform/platform_client.h"

#include <string>

namespace berylspur {

inline schema::NodeSettings gateSettings(const Address &peer, const Address &caller)
{
    schema::NodeSettings settings;
    settings.set_fleet("fleet");
    settings.mutable_node()->set_name("node");
    settings.mutable_addresses()->set_peer(peer.toString());
    settings.mutable_addresses()->set_caller(caller.toString());
    settings.mutable_limits()->set_max_requests_in_flight(1000);
    settings.mutable_limits()->set_max_header_bytes(16384);
    settings.mutable_limits()->set_max_header_fields(256);
    settings.mutable_limits()->set_max_body_bytes(1u << 20);
    return settings;
}

/// Configuration of \a service with one route, for all paths of a host of the same name. The
/// service has no endpoints, so a request that the gate places gets 503 and NotRunNoEndpoint.
inline schema::ServiceConfig singleRouteConfig(const std::string &service, std::uint64_t revision)
{
    schema::ServiceConfig config;
    config.set_service(service);
    config.set_revision(revision);
    config.set_customer_header("X-Customer");
    auto *route = config.mutable_content()->add_routes();
    route->set_host(service);
    route->set_path_prefix("/");
    route->set_idempotent(true);
    route->set_deadline_ms(400);
    route->set_attempts(1);
    return config;
}

/// A gate and the parts that it needs; the test configures and starts it.
struct GateFixture
{
    Loop loop;
    Address peer = freeAddress();
    Address caller = freeAddress();
    schema::NodeSettings settings = gateSettings(peer, caller);
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
};

} // namespace berylspur
