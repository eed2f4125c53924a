// Watches the platform on the chosen watchers, checks it now and then on every node, and pulls from
// peers.
#include "berylspur/config/config_task.h"

#include "berylspur/core/enum_table.h"
#include "berylspur/core/log.h"
#include "berylspur/core/metrics.h"
#include "berylspur/core/timer.h"

#include <algorithm>
#include <array>
#include <random>
#include <set>
#include <variant>

namespace berylspur {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *HeadObject = "manifest/head";
constexpr std::string_view ServicesPrefix = "manifest/services/";
constexpr std::string_view CustomersPrefix = "manifest/customers/";
/// Peers from which a starting node pulls the configuration.
constexpr std::size_t InitialPullPeers = 3;
constexpr Duration WatcherCheckInterval = seconds(1);
constexpr Duration PullRetryInterval = milliseconds(300);
/// Delay after a failed watch; doubles up to MaxWatchRetry while the platform is unavailable.
constexpr Duration MinWatchRetry = milliseconds(100);
constexpr Duration MaxWatchRetry = seconds(1);
constexpr Duration FetchRetryInterval = milliseconds(500);
/// Limits concurrent reads of content objects, so that reading a complete manifest does not starve
/// other clients of the platform.
constexpr std::size_t MaxConcurrentFetches = 8;
/// Watchers of an external configuration in each failure domain. With a second one, the domain
/// still receives changes if the platform rejects the first.
constexpr std::size_t WatchersPerDomain = 2;
/// Reads of the head by all nodes together, beside the watches. A watcher that the platform
/// rejects, or whose watch hangs, learns of no change; the next node that reads the head does.
constexpr double HeadChecksPerSecond = 4;
/// If more content objects than this change at once, one node of the fleet reads them, and the
/// watchers of the other failure domains wait LargeChangeDelay for its revision.
constexpr std::size_t LargeChangeObjects = 16;
constexpr Duration LargeChangeDelay = seconds(2);

/// How a node learned of a configuration.
enum class ConfigSource { Watch, Check, Peer };

constexpr EnumTable<ConfigSource, 3> SourceNames {{
        {ConfigSource::Watch, "watch"},
        {ConfigSource::Check, "check"},
        {ConfigSource::Peer, "peer"},
}};

struct ConfigCounters
{
    std::array<std::uint64_t, SourceNames.size()> changes {}; ///< applied, by source
    std::uint64_t failedWatches = 0;
    std::uint64_t checks = 0;
    std::uint64_t failedChecks = 0;
};

/// Time to the next check of the head by one of \a nodes nodes. It has no lower bound, so that
/// nodes that start together do not leave a period without checks; the upper bound is twice the
/// mean.
Duration headCheckDelay(std::size_t nodes, Random &random)
{
    const auto readers = static_cast<double>(std::max<std::size_t>(nodes, 1));
    const std::chrono::duration<double> mean(readers / HeadChecksPerSecond);
    const auto longest = std::chrono::duration_cast<Duration>(2 * mean);
    return Duration(std::uniform_int_distribution<Duration::rep>(0, longest.count())(random));
}

/// Entry of the head whose content is read from the platform.
using ContentEntry = std::variant<schema::ManifestHead::Entry, schema::ManifestHead::CustomerEntry>;

std::string contentName(const schema::ManifestHead::Entry &entry)
{
    return std::string(ServicesPrefix) + entry.service() + "/" + entry.hash();
}

std::string contentName(const schema::ManifestHead::CustomerEntry &entry)
{
    return std::string(CustomersPrefix) + std::to_string(entry.shard()) + "/" + entry.hash();
}

/// Adds the service of \a entry to \a delta with the \a content that was read for it; an empty hash
/// means that it was deleted. Returns false if the content is malformed.
bool addContent(const schema::ManifestHead::Entry &entry, const std::string &content,
                const schema::ManifestHead &head, schema::ConfigDelta &delta)
{
    schema::ServiceConfig config;
    config.set_service(entry.service());
    config.set_revision(entry.revision());
    config.set_deleted(entry.hash().empty());
    if (!config.deleted()) {
        if (!config.mutable_content()->ParseFromString(content))
            return false;
        config.set_customer_header(head.customer_header());
    }
    *delta.add_services() = std::move(config);
    return true;
}

/// The same for customers; an empty hash means that the shard has none.
bool addContent(const schema::ManifestHead::CustomerEntry &entry, const std::string &content,
                const schema::ManifestHead &, schema::ConfigDelta &delta)
{
    schema::CustomerShard shard;
    if (!entry.hash().empty() && !shard.ParseFromString(content))
        return false;
    shard.set_number(entry.shard());
    shard.set_revision(entry.revision());
    *delta.add_customer_shards() = std::move(shard);
    return true;
}

} // namespace

class ConfigTask::Impl
{
public:
    Impl(ConfigTask &task, event_base *base, PlatformClient &platform, PeerPool &peers,
         MembershipTask &membership, std::optional<ExternalConfiguration> external)
        : m_task(task), m_base(base), m_platform(platform), m_peers(peers),
          m_membership(membership), m_external(std::move(external)), m_random(seededRandom()),
          m_watcherCheckTimer(base, [this] { onWatcherCheck(); }),
          m_watchTimer(base, [this] { readHead(); }), m_checkTimer(base, [this] { checkHead(); }),
          m_pullTimer(base, [this] { pullNewest(); }),
          m_initialTimer(base, [this] { pullInitial(); }),
          m_fetchTimer(base, [this] { fetchMore(); }),
          m_revisionSeenConnection(membership.revisionSeen.connect(
                  [this](const std::string &, const Address &address, std::uint64_t revision) {
                      onRevisionSeen(address, revision);
                  })),
          m_joinedConnection(membership.joined.connect([this] { onJoined(); }))
    {
    }
    ~Impl()
    {
        m_revisionSeenConnection.disconnect();
        m_joinedConnection.disconnect();
        for (auto &[number, exchange] : m_exchanges)
            exchange->cancel();
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    void start()
    {
        m_started = true;
        // An external configuration is a single object; reading it immediately is faster than
        // joining first.
        if (m_external)
            readHead();
        if (m_membership.isJoined())
            onJoined();
    }
    const ConfigStore &store() const { return m_store; }
    bool isReady() const { return m_store.revision() > 0 && (m_external || m_initialDone); }
    std::string handlePull(const std::string &envelope) const;
    std::string metrics() const;

private:
    void onJoined();
    void onWatcherCheck();
    bool isWatcher() const;
    /// True if this node has one of the \a count highest rendezvous weights among \a nodes.
    bool isAmongHighestRanked(const std::vector<std::string> &nodes, std::size_t count) const;
    bool isLargeChangeReader() const;

    // Platform.
    void readHead();
    void watchHead();
    void requestHead(std::function<void(const Result<PlatformObject> &)> done);
    void scheduleHeadCheck();
    void checkHead();
    const char *headObject() const { return m_external ? m_external->object.c_str() : HeadObject; }
    void onObject(const PlatformObject &object, ConfigSource source);
    void onExternalObject(const PlatformObject &object, ConfigSource source);
    void onHead(const PlatformObject &object, ConfigSource source);
    void onWatchFailed(const Error &error);
    void fetchMore();
    void fetch(const ContentEntry &entry);
    void onFetched(const ContentEntry &entry, std::uint64_t headRevision,
                   const Result<PlatformObject> &object);
    /// Adds \a entry to m_fetched. Returns false if \a content is malformed.
    bool addFetched(const ContentEntry &entry, const std::string &content);
    void finishFetch();

    // Peers.
    void pullInitial();
    void onRevisionSeen(const Address &address, std::uint64_t revision);
    void pullNewest();
    void pull(const Address &address, const std::function<void(bool)> &done);

    /// Applies the \a delta that a peer sent for a pull from \a revision.
    void onPulled(const schema::ConfigDelta &delta, std::uint64_t revision);
    void apply(const schema::ConfigDelta &delta, ConfigSource source);

    ConfigTask &m_task;
    event_base *m_base;
    PlatformClient &m_platform;
    PeerPool &m_peers;
    MembershipTask &m_membership;
    std::optional<ExternalConfiguration> m_external;
    Random m_random;
    ConfigStore m_store;
    Timer m_watcherCheckTimer;
    Timer m_watchTimer;
    Timer m_checkTimer;
    Timer m_pullTimer;
    Timer m_initialTimer;
    Timer m_fetchTimer;
    /// Callbacks hold a weak pointer to it, because platform and peer calls may outlive this
    /// object.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::map<std::uint64_t, std::shared_ptr<PeerExchange>> m_exchanges;
    std::uint64_t m_exchangeNumber = 0;
    sigc::connection m_revisionSeenConnection;
    sigc::connection m_joinedConnection;
    bool m_started = false;
    ConfigCounters m_counters;

    bool m_watching = false;
    Duration m_watchRetry = MinWatchRetry;
    ObjectVersion m_headVersion;
    /// Head whose content is being fetched. Applied in one step, so that a change of several
    /// services or customers takes effect together.
    schema::ManifestHead m_head;
    ConfigSource m_headSource = ConfigSource::Watch;
    std::vector<ContentEntry> m_entriesToFetch;
    std::size_t m_fetchesInFlight = 0;
    schema::ConfigDelta m_fetched;
    bool m_headPending = false;

    bool m_initialDone = false;
    std::set<std::string> m_initialPulled;
    std::size_t m_initialAnswers = 0;
    std::uint64_t m_newestRevision = 0;
    Address m_newestAddress;
    bool m_pulling = false;
};

void ConfigTask::Impl::onJoined()
{
    if (!m_started)
        return;
    m_watcherCheckTimer.start(Duration::zero());
    scheduleHeadCheck();
    pullInitial();
}

bool ConfigTask::Impl::isWatcher() const
{
    const auto &table = m_membership.table();
    const auto &self = table.self();
    if (self.status() == schema::MEMBER_LEFT)
        return false;
    auto nodes = table.reachable();
    std::erase_if(nodes, [&](const std::string &node) {
        return table.find(node)->failure_domain() != self.failure_domain();
    });
    return isAmongHighestRanked(nodes, m_external ? WatchersPerDomain : 1);
}

bool ConfigTask::Impl::isLargeChangeReader() const
{
    return isAmongHighestRanked(m_membership.table().reachable(), 1);
}

bool ConfigTask::Impl::isAmongHighestRanked(const std::vector<std::string> &nodes,
                                            std::size_t count) const
{
    const auto &self = m_membership.table().self().node();
    const auto own = std::make_pair(rendezvousWeight(HeadObject, self), self);
    const auto before = std::count_if(nodes.begin(), nodes.end(), [&](const std::string &node) {
        return std::make_pair(rendezvousWeight(HeadObject, node), node) > own;
    });
    return static_cast<std::size_t>(before) < count;
}

void ConfigTask::Impl::onWatcherCheck()
{
    m_watcherCheckTimer.start(WatcherCheckInterval);
    if (m_watching || !isWatcher())
        return;
    m_watching = true;
    log::info("config-watch-started");
    readHead();
}

void ConfigTask::Impl::readHead()
{
    const bool needed = m_external && m_store.revision() == 0;
    if (!needed && !isWatcher()) {
        m_watching = false;
        return;
    }
    m_watching = true;
    requestHead([this](const Result<PlatformObject> &object) {
        if (!object && object.error().code != ErrorCode::PlatformNotFound)
            return onWatchFailed(object.error());
        // A platform that lost its data restarts its version numbers, so the watch continues from
        // the version read now.
        m_headVersion = object ? object.value().version : NoObject;
        if (object)
            onObject(object.value(), ConfigSource::Watch);
        watchHead();
    });
}

/// Calls \a done with the head that the platform holds now, unless this object is gone by then.
void ConfigTask::Impl::requestHead(std::function<void(const Result<PlatformObject> &)> done)
{
    const auto checked = [alive = std::weak_ptr(m_alive),
                          done = std::move(done)](const Result<PlatformObject> &object) {
        if (!alive.expired())
            done(object);
    };
    if (m_external)
        m_platform.readJson(headObject(), checked);
    else
        m_platform.read(headObject(), checked);
}

void ConfigTask::Impl::scheduleHeadCheck()
{
    m_checkTimer.start(headCheckDelay(m_membership.table().reachable().size(), m_random));
}

void ConfigTask::Impl::checkHead()
{
    ++m_counters.checks;
    requestHead([this](const Result<PlatformObject> &object) {
        scheduleHeadCheck();
        if (object)
            return onObject(object.value(), ConfigSource::Check);
        if (object.error().code == ErrorCode::PlatformNotFound)
            return;
        ++m_counters.failedChecks;
        log::info("config-check-failed", {{"reason", describe(object.error())}});
    });
}

void ConfigTask::Impl::watchHead()
{
    const bool needed = m_external && m_store.revision() == 0;
    if (!needed && !isWatcher()) {
        m_watching = false;
        return;
    }
    const auto done = [this, alive = std::weak_ptr(m_alive)](const Result<PlatformObject> &object) {
        if (alive.expired())
            return;
        if (!object && object.error().code != ErrorCode::PlatformTimeout)
            return onWatchFailed(object.error());
        m_watchRetry = MinWatchRetry;
        if (object) {
            m_headVersion = object.value().version;
            onObject(object.value(), ConfigSource::Watch);
        }
        watchHead();
    };
    if (m_external)
        m_platform.watchJson(headObject(), m_headVersion, done);
    else
        m_platform.watch(headObject(), m_headVersion, done);
}

void ConfigTask::Impl::onWatchFailed(const Error &error)
{
    ++m_counters.failedWatches;
    log::info("config-watch-failed",
              {{"reason", describe(error)}, {"retry-ms", toMs(m_watchRetry)}});
    m_watchTimer.start(m_watchRetry + Duration(m_random() % m_watchRetry.count()));
    m_watchRetry = std::min(2 * m_watchRetry, MaxWatchRetry);
}

void ConfigTask::Impl::onObject(const PlatformObject &object, ConfigSource source)
{
    if (m_external)
        onExternalObject(object, source);
    else
        onHead(object, source);
}

void ConfigTask::Impl::onExternalObject(const PlatformObject &object, ConfigSource source)
{
    const auto complete = m_external->decode(object.value);
    if (!complete) {
        log::error("config-malformed",
                   {{"version", object.version.revision}, {"reason", describe(complete.error())}});
        return;
    }
    if (complete.value().revision() <= m_store.revision())
        return;
    apply(m_store.difference(complete.value()), source);
}

void ConfigTask::Impl::onHead(const PlatformObject &object, ConfigSource source)
{
    schema::ManifestHead head;
    if (!head.ParseFromString(object.value)) {
        log::error("config-head-malformed", {{"version", object.version.revision}});
        return;
    }
    if (m_headPending && head.revision() <= m_head.revision())
        return;
    if (head.revision() < m_store.revision()) {
        m_store.newerEntries(head);
        log::warn("config-head-older",
                  {{"revision", head.revision()}, {"in-force", m_store.revision()}});
        return;
    }
    m_entriesToFetch.clear();
    for (auto &entry : m_store.newerEntries(head))
        m_entriesToFetch.emplace_back(std::move(entry));
    for (auto &entry : m_store.newerCustomerEntries(head))
        m_entriesToFetch.emplace_back(std::move(entry));
    m_head = std::move(head);
    m_headSource = source;
    m_fetched.Clear();
    m_headPending = true;
    if (m_entriesToFetch.size() > LargeChangeObjects && !isLargeChangeReader())
        m_fetchTimer.start(LargeChangeDelay);
    else
        fetchMore();
}

void ConfigTask::Impl::fetchMore()
{
    if (!m_headPending)
        return;
    // The revision may have been pulled from a peer in the meantime.
    if (m_store.revision() >= m_head.revision()) {
        m_headPending = false;
        return;
    }
    while (!m_entriesToFetch.empty() && m_fetchesInFlight < MaxConcurrentFetches) {
        const auto entry = m_entriesToFetch.back();
        m_entriesToFetch.pop_back();
        fetch(entry);
    }
    if (m_entriesToFetch.empty() && m_fetchesInFlight == 0)
        finishFetch();
}

void ConfigTask::Impl::fetch(const ContentEntry &entry)
{
    const bool hasContent =
            !std::visit([](const auto &content) { return content.hash().empty(); }, entry);
    if (!hasContent) {
        addFetched(entry, {});
        return;
    }
    ++m_fetchesInFlight;
    const auto name = std::visit([](const auto &content) { return contentName(content); }, entry);
    m_platform.read(name, [this, alive = std::weak_ptr(m_alive), entry,
                           headRevision = m_head.revision()](const auto &object) {
        if (!alive.expired())
            onFetched(entry, headRevision, object);
    });
}

bool ConfigTask::Impl::addFetched(const ContentEntry &entry, const std::string &content)
{
    return std::visit(
            [&](const auto &part) { return addContent(part, content, m_head, m_fetched); }, entry);
}

void ConfigTask::Impl::onFetched(const ContentEntry &entry, std::uint64_t headRevision,
                                 const Result<PlatformObject> &object)
{
    --m_fetchesInFlight;
    if (headRevision != m_head.revision()) {
        fetchMore(); // a newer head replaced the one that this object was read for
        return;
    }
    if (!object || !addFetched(entry, object.value().value)) {
        // Content is written before the head, so if it is missing, the platform served older data.
        m_entriesToFetch.push_back(entry);
        m_fetchTimer.start(FetchRetryInterval);
        return;
    }
    fetchMore();
}

void ConfigTask::Impl::finishFetch()
{
    m_headPending = false;
    m_fetched.set_revision(m_head.revision());
    apply(m_fetched, m_headSource);
    m_fetched.Clear();
}

void ConfigTask::Impl::apply(const schema::ConfigDelta &delta, ConfigSource source)
{
    const auto changed = m_store.merge(delta);
    m_membership.setConfigRevision(m_store.revision());
    if (changed.empty())
        return;
    ++m_counters.changes[static_cast<std::size_t>(source)];
    log::info("config-changed", {{"revision", m_store.revision()},
                                 {"source", enumName(SourceNames, source)},
                                 {"services", changed.services.size()},
                                 {"customer-shards", changed.customerShards.size()}});
    m_task.changed.emit(changed);
}

void ConfigTask::Impl::pullInitial()
{
    if (m_initialDone)
        return;
    const auto &table = m_membership.table();
    auto nodes = table.reachable();
    std::erase(nodes, table.self().node());
    const auto needed = std::min(InitialPullPeers, nodes.size());
    if (m_initialAnswers >= needed) {
        // A node without peers gets the configuration from its watch.
        m_initialDone = true;
        return;
    }
    std::erase_if(nodes, [&](const std::string &n) { return m_initialPulled.contains(n); });
    if (nodes.empty()) {
        m_initialPulled.clear();
        m_initialTimer.start(PullRetryInterval);
        return;
    }
    const auto node = nodes[m_random() % nodes.size()];
    m_initialPulled.insert(node);
    const auto address = Address::parse(table.find(node)->peer_address());
    if (!address) {
        m_initialTimer.start(Duration::zero());
        return;
    }
    pull(address.value(), [this](bool answered) {
        m_initialAnswers += answered ? 1 : 0;
        m_initialTimer.start(Duration::zero());
    });
}

void ConfigTask::Impl::onRevisionSeen(const Address &address, std::uint64_t revision)
{
    if (!m_started || revision <= m_store.revision())
        return;
    if (revision >= m_newestRevision) {
        m_newestRevision = revision;
        m_newestAddress = address;
    }
    pullNewest();
}

void ConfigTask::Impl::pullNewest()
{
    if (m_pulling || m_newestRevision <= m_store.revision())
        return;
    m_pulling = true;
    pull(m_newestAddress, [this](bool answered) {
        m_pulling = false;
        // After a failure, the next packet of another peer provides a new source.
        m_pullTimer.start(answered ? Duration::zero() : PullRetryInterval);
    });
}

void ConfigTask::Impl::onPulled(const schema::ConfigDelta &delta, std::uint64_t revision)
{
    if (!delta.complete()) {
        apply(delta, ConfigSource::Peer);
        return;
    }
    // Its parts without content refer to the configuration that this node had when it asked. If
    // that has been replaced since, the peer's next packet starts another pull.
    if (m_store.revision() == revision && delta.revision() > revision)
        apply(m_store.difference(delta), ConfigSource::Peer);
}

void ConfigTask::Impl::pull(const Address &address, const std::function<void(bool)> &done)
{
    schema::ConfigPull request;
    request.set_revision(m_store.revision());
    if (m_external) {
        for (const auto hash : m_store.contentHashes())
            request.add_held(hash);
    }
    const auto number = ++m_exchangeNumber;
    const auto received = std::make_shared<std::optional<std::string>>();
    const auto alive = std::weak_ptr(m_alive);
    ExchangeHandler handler;
    handler.reply = [received](std::string reply) { *received = std::move(reply); };
    handler.data = [](std::string_view) {};
    handler.ended = [this, alive, number, received, done,
                     revision = request.revision()](ErrorCode code) {
        if (alive.expired())
            return;
        schema::ConfigDelta delta;
        const bool answered =
                code == ErrorCode::Ok && *received && delta.ParseFromString(**received);
        const auto exchange = m_exchanges.extract(number);
        if (answered)
            onPulled(delta, revision);
        done(answered); // only starts a timer, so no channel is replaced in its own callback
    };
    m_exchanges[number] = m_peers.channel(address, TrafficClass::Control)
                                  .start(
                                          PeerMethod::Config,
                                          [envelope = request.SerializeAsString()](std::uint64_t) {
                                              return envelope;
                                          },
                                          {}, std::move(handler));
}

std::string ConfigTask::Impl::handlePull(const std::string &envelope) const
{
    schema::ConfigPull request;
    if (!request.ParseFromString(envelope))
        return {};
    if (!m_external)
        return m_store.deltaSince(request.revision()).SerializeAsString();
    return m_store.deltaFor(request.revision(), {request.held().begin(), request.held().end()})
            .SerializeAsString();
}

std::string ConfigTask::Impl::metrics() const
{
    std::string text;
    for (const auto &[source, name] : SourceNames) {
        text += prometheusSample(
                "berylspur_config_changes_total", "source=\"" + std::string(name) + "\"",
                static_cast<double>(m_counters.changes[static_cast<std::size_t>(source)]));
    }
    const auto sample = [](const char *name, std::uint64_t value) {
        return prometheusSample(name, "", static_cast<double>(value));
    };
    text += sample("berylspur_config_failed_watches_total", m_counters.failedWatches);
    text += sample("berylspur_config_checks_total", m_counters.checks);
    text += sample("berylspur_config_failed_checks_total", m_counters.failedChecks);
    return text;
}

ConfigTask::ConfigTask(event_base *base, PlatformClient &platform, PeerPool &peers,
                       MembershipTask &membership, std::optional<ExternalConfiguration> external)
    : m_impl(std::make_unique<Impl>(*this, base, platform, peers, membership, std::move(external)))
{
}

ConfigTask::~ConfigTask() = default;

void ConfigTask::start()
{
    m_impl->start();
}

const ConfigStore &ConfigTask::store() const
{
    return m_impl->store();
}

bool ConfigTask::isReady() const
{
    return m_impl->isReady();
}

std::string ConfigTask::metrics() const
{
    return m_impl->metrics();
}

std::string ConfigTask::handlePull(const std::string &envelope)
{
    return m_impl->handlePull(envelope);
}

} // namespace berylspur
