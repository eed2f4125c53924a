// Implementation class of MembershipTask. Socket and anti-entropy are in membership_task.cpp, the
// bootstrap in membership_bootstrap.cpp.
#pragma once

#include "berylspur/core/timer.h"
#include "berylspur/membership/gossip_machine.h"
#include "berylspur/membership/membership_task.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylspur {

inline constexpr Duration SyncInterval = std::chrono::seconds(30);
inline constexpr std::string_view PeersPrefix = "peers/";
/// A starting node waits this long for its object on the platform.
inline constexpr Duration OwnObjectWait = std::chrono::seconds(1);

inline const std::string &advertised(const schema::NodeAddresses &addresses)
{
    return addresses.peer_advertised().empty() ? addresses.peer() : addresses.peer_advertised();
}

class MembershipTask::Impl
{
public:
    Impl(MembershipTask &task, event_base *base, const schema::NodeSettings &settings,
         Incarnation incarnation, PlatformClient &platform, PeerPool &peers);
    ~Impl()
    {
        m_restoredConnection.disconnect();
        if (m_readable)
            event_free(m_readable);
        if (m_socket >= 0)
            evutil_closesocket(m_socket);
        for (auto &[number, exchange] : m_exchanges)
            exchange->cancel();
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    Result<void> start();
    std::string handleSync(const std::string &envelope);

    void setOwnEndpoints(const std::vector<schema::EndpointRecord> &endpoints)
    {
        if (m_machine.setOwnEndpoints(endpoints))
            pushNow();
    }
    void setConfigRevision(std::uint64_t revision)
    {
        m_machine.setConfigRevision(revision);
        pushNow();
    }
    void setKeyQuorum(schema::KeyQuorum quorum)
    {
        if (m_machine.setKeyQuorum(quorum))
            pushNow();
    }
    void saveDepartures(std::function<void()> done);
    void beginStop()
    {
        m_machine.beginStop();
        pushNow();
    }
    void learnStop(const std::string &node, Incarnation incarnation)
    {
        m_machine.learnStop(node, incarnation);
    }
    void leave()
    {
        m_machine.leave();
        pushNow();
    }
    const MemberTable &table() const { return m_machine.table(); }
    const GossipCounters &counters() const { return m_machine.counters(); }
    bool isFleetNew() const { return m_isFleetNew; }
    bool isJoined() const { return m_joined; }

private:
    struct EndedExchange
    {
        std::uint64_t number = 0;
        std::function<void(std::optional<std::string>)> done;
        std::optional<std::string> envelope;
    };

    enum class BootstrapPhase { ConfiguredPeers, Platform, Done };

    /// A save of the own object in progress.
    struct Save
    {
        std::uint64_t number = 0; ///< tells late confirmations of an earlier save
        std::string object;
        bool isOnPlatform = false;
        bool isPlatformLate = false; ///< or its call failed
        bool isAtPeer = false;
        bool isOverdue = false;
    };

    // Socket.
    void onTick();
    void onReadable();
    void discardReceived();
    void transmit(const std::vector<OutgoingPacket> &packets);
    void pushNow();
    void processEvents();

    // Bootstrap.
    void onBootstrapTimer();
    void pingCandidates();
    void nextBootstrapPhase();
    void listPeerObjects();
    void addCandidate(const PlatformObject &object);
    void onPlatformUnavailable();
    void joinVia(const std::string &address);
    void finishBootstrap();
    void decideFleetIsNew();
    void setJoined(bool fleetIsNew);

    // Anti-entropy.
    void onSyncTimer();
    /// Members with which a digest may be exchanged next.
    std::vector<std::string> syncCandidates();
    void sync(const std::string &address, const schema::Digest &digest, int page,
              const std::function<void(bool)> &done);
    void handleSyncReply(const std::string &address, const schema::SyncReply &reply, int page,
                         const std::function<void(bool)> &done);
    void exchange(const std::string &address, std::string envelope,
                  const std::function<void(std::optional<std::string>)> &done);
    void finishExchanges();
    void pingNextConfiguredPeer();

    // Peer objects on the platform, and pings to members that are gone or unknown.
    void publishSelf();
    void onPublished(const Result<ObjectVersion> &result);
    void replaceOwnObject();
    void onOwnObjectWritten();
    void onStoreRestored();
    void checkPeerObjects();
    void checkOwnObject(const std::vector<PlatformObject> &objects);
    void queueMissingObjects(const std::vector<PlatformObject> &objects);
    void writeNextMissingObject();
    void onMissingObjectWritten(const std::string &node, const Result<ObjectVersion> &result);
    static std::string peerObject(const schema::MemberRecord &member);
    std::string ownPeerObject() const;
    void onRediscoveryTimer();
    void pingUnknownOrDeadMembers(const std::vector<PlatformObject> &objects);
    void pingDeadMember();

    // Departures of own endpoints, which must outlast this process.
    void startSave();
    void copyToPeer(std::uint64_t save);
    void onSaveTimer();
    /// Ends the save if the platform confirmed it, or a peer did and the platform is late.
    void checkSave();
    void finishSave();
    void onEarlierEndpoints(const std::vector<schema::EndpointRecord> &endpoints);
    void onOwnObjectRead();
    void checkEarlierEndpointsKnown();

    Duration jitter(Duration max)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(0, max.count())(m_random));
    }
    static std::string objectName(const std::string &node)
    {
        return std::string(PeersPrefix) + node;
    }
    std::string objectName() const { return objectName(m_settings.node().name()); }
    bool isOwnAddress(const std::string &address) const
    {
        return address == m_settings.addresses().peer()
               || address == advertised(m_settings.addresses());
    }

    MembershipTask &m_task;
    event_base *m_base;
    schema::NodeSettings m_settings;
    PlatformClient &m_platform;
    PeerPool &m_peers;
    Random m_random;
    GossipMachine m_machine;
    evutil_socket_t m_socket = -1;
    event *m_readable = nullptr;
    TimePoint m_lastTick;
    Timer m_tickTimer;
    Timer m_bootstrapTimer;
    Timer m_syncTimer;
    Timer m_publishTimer;
    Timer m_rediscoveryTimer;
    Timer m_deadPingTimer;
    Timer m_finishTimer;
    Timer m_restoredTimer;
    Timer m_missingObjectTimer;
    Timer m_saveTimer;
    Timer m_ownObjectTimer;
    sigc::connection m_restoredConnection;
    /// Callbacks hold a weak pointer to it, because platform and peer calls may outlive this
    /// object.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::map<std::uint64_t, std::shared_ptr<PeerExchange>> m_exchanges;
    std::uint64_t m_exchangeNumber = 0;
    std::vector<EndedExchange> m_endedExchanges;

    BootstrapPhase m_phase = BootstrapPhase::ConfiguredPeers;
    std::vector<std::string> m_candidates; ///< possible addresses of members
    int m_joinPingsSent = 0;
    bool m_joining = false;
    bool m_joined = false;
    bool m_isFleetNew = false;
    std::uint64_t m_highestRevision = 0; ///< highest configuration revision reported by peers
    std::size_t m_nextConfiguredPeer = 0;
    std::size_t m_nextDead = 0;
    Duration m_publishRetry {};
    bool m_firstPublishEnded = false; ///< with any result
    bool m_publishFailed = false; ///< since the own object was written last
    std::optional<Save> m_save;
    std::uint64_t m_saveNumber = 0;
    std::string m_savedObject; ///< own object as last saved
    std::vector<std::function<void()>> m_saveWaiters;
    bool m_ownObjectRead = false; ///< or given up
    bool m_earlierEndpointsKnown = false;
    /// Reachable members whose objects the store has lost, in the order in which they are written.
    std::vector<std::string> m_missingObjects;
};

} // namespace berylspur
