// Brings configuration to this node: watches the platform if chosen, else pulls from peers.
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

/// A configuration that others write to the platform as one object, in place of the manifest.
struct ForeignConfiguration
{
    std::string object;
    /// All services of the configuration in the object's value, and its revision.
    std::function<Result<schema::ConfigDelta>(const std::string &value)> decode;
};

class ConfigTask
{
public:
    ConfigTask(event_base *base, PlatformClient &platform, PeerPool &peers,
               MembershipTask &membership,
               std::optional<ForeignConfiguration> foreign = std::nullopt);
    ~ConfigTask();
    ConfigTask(const ConfigTask &) = delete;
    ConfigTask &operator=(const ConfigTask &) = delete;

    /// Starts the initial fetch: from 3 peers, and from the platform if this node watches it.
    void start();
    const ConfigStore &store() const;
    /// True once the node may serve: the initial fetch ended with a configuration.
    bool isReady() const;
    /// Response envelope for a peer's PeerMethod::Config.
    std::string handlePull(const std::string &envelope);

    /// Services whose configuration changed.
    sigc::signal<void(const std::vector<const schema::ServiceConfig *> &)> changed;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace berylspur
