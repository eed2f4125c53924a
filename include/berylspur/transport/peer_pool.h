// Pool of connections to peers: one channel per peer address and traffic class.
#pragma once

#include "berylspur/transport/peer.h"

#include <map>
#include <memory>
#include <sigc++/sigc++.h>
#include <utility>
#include <vector>

namespace berylspur {

/// Each class has its own connection, so that long responses and control traffic cannot delay short
/// requests by head-of-line blocking.
enum class TrafficClass { Short, Long, Control };

class PeerPool
{
public:
    PeerPool(event_base *base, PeerIdentity identity);

    /// Returns a usable channel to \a peer and replaces one that has failed.
    PeerChannel &channel(const Address &peer, TrafficClass trafficClass);
    /// Closes channels that have no open exchanges and were last used before \a limit.
    void closeIdle(TimePoint limit);
    std::size_t size() const;

    /// Emitted when a channel fails.
    sigc::signal<void(const Address &, TrafficClass, ErrorCode)> channelFailed;

private:
    struct Entry
    {
        std::unique_ptr<PeerChannel> channel;
        TimePoint lastUsed;
    };

    event_base *m_base;
    PeerIdentity m_identity;
    std::map<std::pair<Address, TrafficClass>, Entry> m_channels;
    // Replaced channels, kept because they may be inside their own callback or have open exchanges.
    std::vector<std::unique_ptr<PeerChannel>> m_retired;
};

} // namespace berylspur
