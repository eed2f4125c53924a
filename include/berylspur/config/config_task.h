// Obtains the configuration of this node: the chosen watchers watch the platform, all other nodes
// pull from peers. Every node also reads the platform's version now and then, so that a change is
// noticed while the platform rejects all watchers.
#pragma once

#include "berylspur/config/config_store.h"
#include "berylspur/membership/membership_task.h"
#include "berylspur/transport/peer_pool.h"
#include "platform/platform_client.h"

#include <event2/event.h>
#include <functional>
#include <memory>
#include <optional>
#include <sigc++/sigc++.h>
#include <string>

namespace berylspur {

/// A configuration that an external system writes to the platform as one object instead of the
/// manifest.
struct ExternalConfiguration
{
    std::string object;
    /// Decodes the object's value into all services of the configuration and its revision.
    std::function<Result<schema::ConfigDelta>(const std::string &value)> decode;
};

class ConfigTask
{
public:
    ConfigTask(event_base *base, PlatformClient &platform, PeerPool &peers,
               MembershipTask &membership,
               std::optional<ExternalConfiguration> external = std::nullopt);
    ~ConfigTask();
    ConfigTask(const ConfigTask &) = delete;
    ConfigTask &operator=(const ConfigTask &) = delete;

    /// Counters in the Prometheus text format.
    std::string metrics() const;
    /// Starts the initial fetch from 3 peers, and from the platform if this node is a watcher.
    void start();
    const ConfigStore &store() const;
    /// True once the node may serve requests: the initial fetch is complete and gave a
    /// configuration.
    bool isReady() const;
    /// Handles PeerMethod::Config and returns the response envelope.
    std::string handlePull(const std::string &envelope);

    /// Emitted with the services and customer shards that changed together.
    sigc::signal<void(const ConfigChange &)> changed;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace berylspur
