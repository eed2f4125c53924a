// Pool of connections to peers.
#include "berylspur/transport/peer_pool.h"

namespace berylspur {

PeerPool::PeerPool(event_base *base, PeerIdentity identity)
    : m_base(base), m_identity(std::move(identity))
{
}

PeerChannel &PeerPool::channel(const Address &peer, TrafficClass trafficClass)
{
    auto &entry = m_channels[{peer, trafficClass}];
    if (!entry.channel || !entry.channel->isUsable()) {
        if (entry.channel)
            m_retired.push_back(std::move(entry.channel));
        entry.channel = PeerChannel::connect(m_base, peer, m_identity);
        entry.channel->onFailed([this, peer, trafficClass](ErrorCode code) {
            channelFailed.emit(peer, trafficClass, code);
        });
    }
    entry.lastUsed = BootClock::now();
    return *entry.channel;
}

void PeerPool::closeIdle(TimePoint limit)
{
    std::erase_if(m_retired, [](const auto &channel) { return channel->exchanges() == 0; });
    std::erase_if(m_channels, [limit](const auto &item) {
        const auto &entry = item.second;
        return entry.lastUsed < limit && entry.channel->exchanges() == 0;
    });
}

std::size_t PeerPool::size() const
{
    return m_channels.size();
}

} // namespace berylspur
