// Fleet of membership and configuration tasks in one event loop, over loopback sockets.
#pragma once

#include "berylspur/config/config_task.h"
#include "berylspur/membership/membership_task.h"
#include "loop.h"
#include "standin/platform_server.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace berylspur {

/// A node reduced to its membership and configuration tasks.
struct TaskNode
{
    TaskNode(event_base *base, const schema::NodeSettings &settings, Incarnation incarnation,
             const std::optional<ExternalConfiguration> &external)
        : platform(base, Address::parse(settings.platform()).value()),
          identity {settings.fleet(), settings.node().name(), incarnation}, peers(base, identity),
          membership(base, settings, incarnation, platform, peers),
          config(base, platform, peers, membership, external)
    {
        server = std::move(
                PeerServer::listen(
                        base, Address::parse(settings.addresses().peer()).value(), identity,
                        [this](const std::shared_ptr<PeerRequest> &request) {
                            request->reply(request->method() == PeerMethod::Sync
                                                   ? membership.handleSync(request->envelope())
                                                   : config.handlePull(request->envelope()));
                            request->finish();
                        })
                        .value());
        config.start();
        isStarted = membership.start().has_value();
    }

    PlatformClient platform;
    PeerIdentity identity;
    PeerPool peers;
    MembershipTask membership;
    ConfigTask config;
    std::unique_ptr<PeerServer> server;
    bool isStarted = false;
};

/// The address of the platform for one node.
struct PlatformAddress
{
    explicit PlatformAddress(event_base *base) : http(evhttp_new(base), &evhttp_free)
    {
        evhttp_bind_socket(http.get(), address.ip.c_str(), address.port);
    }

    Address address = freeAddress();
    standin::ClientAddress client;
    std::unique_ptr<evhttp, decltype(&evhttp_free)> http;
};

struct TaskFleet
{
    Loop loop;
    Address platformAddress = freeAddress();
    std::unique_ptr<evhttp, decltype(&evhttp_free)> platformHttp {evhttp_new(loop.base),
                                                                  &evhttp_free};
    /// Of each node, so that the platform can reject single ones.
    std::vector<std::unique_ptr<PlatformAddress>> platformAddresses;
    std::unique_ptr<standin::PlatformServer> platform {startPlatform()};
    /// Set before add(): the nodes take their configuration from this object.
    std::optional<ExternalConfiguration> external;
    std::vector<std::string> addresses;
    std::vector<std::unique_ptr<TaskNode>> nodes;

    std::unique_ptr<standin::PlatformServer> startPlatform()
    {
        evhttp_bind_socket(platformHttp.get(), platformAddress.ip.c_str(), platformAddress.port);
        return std::make_unique<standin::PlatformServer>(loop.base, platformHttp.get());
    }

    void add(const std::string &domain, bool knowsPeers)
    {
        schema::NodeSettings settings;
        settings.set_fleet("test");
        platformAddresses.push_back(std::make_unique<PlatformAddress>(loop.base));
        platform->listen(platformAddresses.back()->http.get(), platformAddresses.back()->client);
        settings.set_platform(platformAddresses.back()->address.toString());
        settings.mutable_node()->set_name("node-" + std::to_string(nodes.size()));
        settings.mutable_node()->set_region("region");
        settings.mutable_node()->set_failure_domain(domain);
        for (const auto &peer : addresses) {
            if (knowsPeers)
                settings.add_peers(peer);
        }
        addresses.push_back(freeAddress().toString());
        settings.mutable_addresses()->set_peer(addresses.back());
        nodes.push_back(
                std::make_unique<TaskNode>(loop.base, settings, nodes.size() + 1, external));
    }

    bool allSee(std::size_t members)
    {
        return loop.runUntil([&] {
            return std::all_of(nodes.begin(), nodes.end(), [&](const auto &node) {
                return node->membership.isJoined()
                       && node->membership.table().reachable().size() == members;
            });
        });
    }

    bool allHaveRevision(std::uint64_t revision)
    {
        return loop.runUntil([&] {
            return std::all_of(nodes.begin(), nodes.end(), [&](const auto &node) {
                return node->config.isReady() && node->config.store().revision() == revision;
            });
        });
    }

    void apply(std::uint64_t revision, const std::vector<std::string> &services)
    {
        schema::ManifestHead head;
        head.set_revision(revision);
        head.set_customer_header("X-Customer");
        for (const auto &name : services) {
            schema::Service service;
            service.set_name(name);
            service.set_slots(static_cast<std::uint32_t>(revision));
            const auto hash = "h" + std::to_string(revision);
            platform->put("manifest/services/" + name + "/" + hash, service.SerializeAsString());
            auto &entry = *head.add_entries();
            entry.set_service(name);
            entry.set_hash(hash);
            entry.set_revision(revision);
        }
        platform->put("manifest/head", head.SerializeAsString());
    }
};

} // namespace berylspur
