// Connects the tasks of a node and runs its planned stop.
#include "berylspur/node/node.h"

#include "berylspur/admin/admin_server.h"
#include "berylspur/config/config_task.h"
#include "berylspur/core/duration_text.h"
#include "berylspur/core/enum_table.h"
#include "berylspur/core/log.h"
#include "berylspur/core/metrics.h"
#include "berylspur/core/text_escape.h"
#include "berylspur/core/timer.h"
#include "berylspur/customers/customer_table.h"
#include "berylspur/gate/gate_task.h"
#include "berylspur/membership/membership_task.h"
#include "berylspur/node/planned_stop.h"
#include "berylspur/owner/owner_task.h"
#include "berylspur/record/decision_log.h"
#include "berylspur/record/decision_logging.h"
#include "berylspur/record/record_task.h"
#include "berylspur/settings/node_settings.h"
#include "berylspur/transport/peer_pool.h"
#include "floor_task.h"
#include "home_task.h"
#include "memory_task.h"
#include "platform/configuration.h"
#include "platform/header_names.h"
#include "platform/heartbeat_server.h"
#include "platform/platform_client.h"
#include "quota_home_task.h"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <filesystem>
#include <nlohmann/json.hpp>

namespace berylspur {

namespace {

constexpr Duration StopPollInterval = std::chrono::milliseconds(50);
// Time for a stopping node to send its last gossip packets and write its decision records.
constexpr Duration LeaveDelayWithRecords = std::chrono::milliseconds(500);
// The same if no decision records are written.
constexpr Duration LeaveDelayWithoutRecords = std::chrono::milliseconds(100);
// A planned stop ends this long before the end of the platform's grace period.
constexpr Duration GracePeriodMargin = std::chrono::milliseconds(300);
// Interval at which the settings file is checked for changes made without a signal.
constexpr Duration SettingsCheckInterval = std::chrono::seconds(5);
// Delay after joining before the platform is asked whether the fleet ever had a manifest.
constexpr Duration NewFleetCheckDelay = std::chrono::seconds(1);

constexpr EnumTable<schema::MemberStatus, 4> StatusNames {{
        {schema::MEMBER_ALIVE, "alive"},
        {schema::MEMBER_SUSPECT, "suspect"},
        {schema::MEMBER_DEAD, "dead"},
        {schema::MEMBER_LEFT, "left"},
}};

Address parseChecked(const std::string &text)
{
    return Address::parse(text).value(); // the settings were checked
}

AdminServer::Page jsonPage(const nlohmann::json &value)
{
    return {"application/json", jsonText(value, 2) + "\n"};
}

} // namespace

class Node::Impl
{
public:
    Impl(schema::NodeSettings settings, std::string settingsFile);
    ~Impl();
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    Result<void> start();
    void run() { event_base_dispatch(m_base); }

private:
    void connectTasks();
    void addAdminPages();
    void handlePeerRequest(const std::shared_ptr<PeerRequest> &request);
    void configurationChanged(const ConfigChange &changed);
    void customersChanged(const std::vector<CustomerShardPtr> &shards);
    /// Logs and stores a decision. \a isFinal: the request ends without the endpoint's response.
    void recordDecision(schema::DecisionRecord record, bool isFinal = false);
    bool isIntegrated() const
    {
        return m_settings.integration().mode() != schema::INTEGRATION_NONE;
    }
    std::optional<ExternalConfiguration> externalConfiguration() const;
    Result<void> startHeartbeatServer();
    void checkFleetIsNew();
    /// Reloads the settings that can change at runtime. \a cause is logged.
    void reload(const char *cause);
    void checkSettingsFile();
    StopTimes stopTimes() const;
    void beginStop();
    /// SIGINT begins a planned stop; a second one, from an operator at a terminal, ends it.
    void onInterrupt();
    void pollStop();
    void leave(bool keysHandedOver);
    void endStop();
    UnfinishedWork unfinishedWork() const;
    nlohmann::json state();
    nlohmann::json openRequests();
    void stopAtOnce();

    schema::NodeSettings m_settings;
    std::string m_settingsFile; // not reloaded if empty
    std::filesystem::file_time_type m_settingsModifiedAt;
    event_base *m_base;
    MemoryTask m_memory; // before all that holds memory, which it must outlive
    Incarnation m_incarnation = newIncarnation();
    PeerIdentity m_identity;
    HeaderNames m_names;
    DecisionLog m_decisions;
    PlatformClient m_platform;
    PeerPool m_peers;
    MembershipTask m_membership;
    ConfigTask m_config;
    CustomerTable m_customers; // read by gate and quota home
    OwnerTask m_owner;
    FloorTask m_floor;
    GateTask m_gate;
    HomeTask m_home;
    QuotaHomeTask m_quotaHome;
    RecordTask m_records;
    AdminServer m_admin;
    std::unique_ptr<platform::HeartbeatServer> m_heartbeatServer;
    std::unique_ptr<PeerServer> m_server;
    Timer m_newFleetCheckTimer;
    Timer m_settingsTimer;
    Timer m_stopTimer;
    Timer m_leaveTimer;
    event *m_signals[3] = {};
    std::optional<PlannedStop> m_stop; // set once a planned stop has begun
};

Node::Impl::Impl(schema::NodeSettings settings, std::string settingsFile)
    : m_settings(std::move(settings)), m_settingsFile(std::move(settingsFile)),
      m_base(event_base_new()),
      m_memory(m_base, m_settings.limits().memory_bytes()), m_identity {m_settings.fleet(),
                                                                        m_settings.node().name(),
                                                                        m_incarnation},
      m_names(isIntegrated() ? platform::headerNames() : HeaderNames {}),
      m_decisions(m_settings.node().name(), m_incarnation),
      m_platform(m_base, parseChecked(m_settings.platform())), m_peers(m_base, m_identity),
      m_membership(m_base, m_settings, m_incarnation, m_platform, m_peers),
      m_config(m_base, m_platform, m_peers, m_membership, externalConfiguration()),
      m_owner(m_base, m_settings, m_incarnation, m_names, &m_memory.budget()),
      m_floor(m_membership.table(), m_config.store(), m_owner),
      m_gate(m_base, m_settings, m_membership, m_peers, m_customers, m_names, &m_memory.budget()),
      m_home(m_base, m_membership, m_peers,
             std::chrono::seconds(m_settings.limits().key_retention_s()), !isIntegrated()),
      m_quotaHome(m_base, m_membership.table(), m_customers,
                  m_settings.integration().quota_slack() / 2),
      m_records(m_base, m_decisions, m_platform), m_admin(m_base),
      m_newFleetCheckTimer(m_base, [this] { checkFleetIsNew(); }),
      m_settingsTimer(m_base, [this] { checkSettingsFile(); }),
      m_stopTimer(m_base, [this] { pollStop(); }), m_leaveTimer(m_base, [this] { endStop(); })
{
    log::attach(m_base);
    connectTasks();
    addAdminPages();
}

Node::Impl::~Impl()
{
    for (auto *signal : m_signals) {
        if (signal)
            event_free(signal);
    }
    log::detach();
}

void Node::Impl::connectTasks()
{
    m_owner.endpointsChanged.connect([this](const std::vector<schema::EndpointRecord> &endpoints) {
        m_membership.setOwnEndpoints(endpoints);
    });
    m_membership.earlierEndpointsFound.connect(
            [this](const std::vector<schema::EndpointRecord> &endpoints) {
                m_owner.learnIncarnations(endpoints);
            });
    m_membership.earlierEndpointsKnown.connect([this] { m_owner.endWaitForHistory(); });
    m_owner.decisionMade.connect(
            [this](const schema::DecisionRecord &decision) { recordDecision(decision); });
    m_gate.decisionMade.connect([this](const schema::DecisionRecord &decision) {
        recordDecision(decision, decision.kind() == schema::DECISION_REFUSE);
    });
    m_gate.ownerStopping.connect([this](const std::string &node, Incarnation incarnation) {
        m_membership.learnStop(node, incarnation);
    });
    m_gate.parentRun.connect([this](const std::string &id) { return m_owner.parentRun(id); });
    m_gate.nestedCallEnded.connect(
            [this](const NestedCallEnded &call) { m_owner.onNestedCallEnded(call); });
    m_config.changed.connect(
            [this](const ConfigChange &changed) { configurationChanged(changed); });
    m_membership.viewChanged.connect([this] {
        m_floor.update();
        m_home.viewChanged();
        m_records.setNodes(m_membership.table().reachable().size());
    });
    m_membership.joined.connect([this] { m_newFleetCheckTimer.start(NewFleetCheckDelay); });
    m_peers.channelFailed.connect([this](const Address &peer, TrafficClass, ErrorCode code) {
        log::info("peer-channel-failed", {{"peer", peer.toString()}, {"code", errorName(code)}});
        m_gate.onPeerConnectionFailed(peer);
    });
}

Result<void> Node::Impl::start()
{
    const auto &addresses = m_settings.addresses();
    auto server = PeerServer::listen(
            m_base, parseChecked(addresses.peer()), m_identity,
            [this](const std::shared_ptr<PeerRequest> &request) { handlePeerRequest(request); },
            &m_memory.budget());
    if (!server)
        return failure(server.error().code, "peer address " + server.error().detail);
    m_server = std::move(server.value());
    for (auto started : {m_admin.listen(parseChecked(addresses.admin())), m_owner.start(),
                         m_gate.start(), m_membership.start()}) {
        if (!started)
            return started;
    }
    if (auto started = startHeartbeatServer(); !started)
        return started;
    m_config.start();
    if (!isIntegrated())
        m_records.start();
    m_signals[0] = evsignal_new(
            m_base, SIGTERM,
            [](evutil_socket_t, short, void *self) { static_cast<Impl *>(self)->beginStop(); },
            this);
    m_signals[1] = evsignal_new(
            m_base, SIGINT,
            [](evutil_socket_t, short, void *self) { static_cast<Impl *>(self)->onInterrupt(); },
            this);
    m_signals[2] = evsignal_new(
            m_base, SIGHUP,
            [](evutil_socket_t, short, void *self) { static_cast<Impl *>(self)->reload("signal"); },
            this);
    checkSettingsFile();
    for (auto *signal : m_signals)
        event_add(signal, nullptr);
    log::info("node-started", {{"incarnation", m_incarnation},
                               {"caller", addresses.caller()},
                               {"peer", addresses.peer()},
                               {"admin", addresses.admin()}});
    return success();
}

std::optional<ExternalConfiguration> Node::Impl::externalConfiguration() const
{
    if (!isIntegrated())
        return std::nullopt;
    // Rounded to the safe side. Tolerance: 100 x 0.29 is slightly less than 29.
    constexpr double Percent = 100;
    constexpr double Tolerance = 1e-6;
    const auto &integration = m_settings.integration();
    const platform::ConfigurationDefaults defaults {
            static_cast<std::uint32_t>(std::floor(Percent * integration.retry_ratio() + Tolerance)),
            static_cast<std::uint32_t>(std::ceil(Percent * integration.floor_share() - Tolerance)),
            integration.hedge_percent()};
    return ExternalConfiguration {platform::ConfigurationObject,
                                  [defaults](const std::string &value) {
                                      return platform::decodeConfiguration(value, defaults);
                                  }};
}

Result<void> Node::Impl::startHeartbeatServer()
{
    if (!isIntegrated())
        return success();
    m_owner.waitForHistory();
    platform::HeartbeatHandlers handlers;
    handlers.onAnnouncement = [this](const Announcement &announcement) {
        return m_owner.announce(announcement);
    };
    handlers.onWithdrawal = [this](const Withdrawal &withdrawal) { m_owner.withdraw(withdrawal); };
    handlers.saveDepartures = [this](std::function<void()> done) {
        m_membership.saveDepartures(std::move(done));
    };
    handlers.isReady = [this] { return !m_stop && m_config.isReady() && m_membership.isJoined(); };
    m_heartbeatServer = std::make_unique<platform::HeartbeatServer>(m_base, std::move(handlers));
    if (auto listening = m_heartbeatServer->listen(parseChecked(m_settings.addresses().announce()));
        !listening)
        return listening;
    return m_heartbeatServer->listenReadiness(parseChecked(m_settings.addresses().readiness()));
}

void Node::Impl::handlePeerRequest(const std::shared_ptr<PeerRequest> &request)
{
    const auto respond = [&request](const std::string &envelope) {
        request->reply(envelope);
        request->finish();
    };
    switch (request->method()) {
    case PeerMethod::Dispatch:
        m_owner.dispatch(request);
        return;
    case PeerMethod::Offer:
        m_owner.offer(request);
        return;
    case PeerMethod::Ask:
        m_owner.ask(request);
        return;
    case PeerMethod::Claim:
        m_home.handleClaim(request);
        return;
    case PeerMethod::Quota:
        m_home.handleQuota(request);
        return;
    case PeerMethod::CustomerQuota:
        m_quotaHome.handle(request);
        return;
    case PeerMethod::KeyHandover:
        m_home.handleKeyHandover(request);
        return;
    case PeerMethod::Sync:
        respond(m_membership.handleSync(request->envelope()));
        return;
    case PeerMethod::Config:
        respond(m_config.handlePull(request->envelope()));
        return;
    case PeerMethod::Hello:
        break;
    }
    request->abort();
}

void Node::Impl::customersChanged(const std::vector<CustomerShardPtr> &shards)
{
    if (shards.empty())
        return;
    for (const auto &shard : shards)
        m_customers.update(shard);
    const auto revision = m_config.store().revision();
    schema::DecisionRecord decision;
    decision.set_kind(schema::DECISION_CONFIG);
    decision.set_rule("customers in force");
    decision.set_config_revision(revision);
    recordDecision(decision);
    log::info("customers-in-force", {{"shards-changed", shards.size()},
                                     {"customers", m_customers.size()},
                                     {"revision", revision}});
}

void Node::Impl::configurationChanged(const ConfigChange &changed)
{
    // Customers first: with its first services the gate starts to serve requests.
    customersChanged(changed.customerShards);
    m_gate.configure(changed.services);
    m_owner.configure(changed.services);
    m_home.configure(changed.services);
    m_membership.setConfigRevision(m_config.store().revision());
    for (const auto *config : changed.services) {
        schema::DecisionRecord decision;
        decision.set_kind(schema::DECISION_CONFIG);
        decision.set_service(config->service());
        decision.set_rule(config->deleted() ? "service deleted" : "configuration in force");
        decision.set_config_revision(config->revision());
        recordDecision(decision);
        log::info("configuration-in-force",
                  {{"service", config->service()}, {"revision", config->revision()}});
    }
}

void Node::Impl::recordDecision(schema::DecisionRecord record, bool isFinal)
{
    if (record.config_revision() == 0) {
        const auto *config = m_config.store().find(record.service());
        record.set_config_revision(config ? config->revision() : 0);
    }
    logDecision(record, isFinal);
    if (!isIntegrated() && !isLogOnly(record.kind()))
        m_decisions.add(std::move(record));
}

void Node::Impl::checkFleetIsNew()
{
    // Without a configuration no requests are served, so a fleet that never had one used no keys.
    if (isIntegrated() || m_config.store().revision() != 0)
        return;
    m_platform.read("manifest/head", [this](const Result<PlatformObject> &head) {
        const bool neverApplied = !head && head.error().code == ErrorCode::PlatformNotFound;
        if (neverApplied && m_config.store().revision() == 0)
            m_home.startEmpty();
        else if (!neverApplied && !head)
            m_newFleetCheckTimer.start(NewFleetCheckDelay);
    });
}

StopTimes Node::Impl::stopTimes() const
{
    const auto &integration = m_settings.integration();
    StopTimes times;
    times.serving = parseDuration(integration.stop_serving()).value_or(Duration::zero());
    times.limit = std::chrono::milliseconds(m_settings.limits().stop_limit_ms());
    if (!isIntegrated())
        return times;
    const auto grace = parseDuration(integration.grace_period()).value_or(times.limit);
    times.limit = std::min(times.limit, grace - std::min(grace, GracePeriodMargin));
    return times;
}

void Node::Impl::checkSettingsFile()
{
    if (m_settingsFile.empty())
        return;
    m_settingsTimer.start(SettingsCheckInterval);
    std::error_code error;
    const auto time = std::filesystem::last_write_time(m_settingsFile, error);
    if (error) {
        log::warn("settings-unreadable", {{"file", m_settingsFile}, {"reason", error.message()}});
        return;
    }
    const bool isFirst = m_settingsModifiedAt == std::filesystem::file_time_type();
    if (std::exchange(m_settingsModifiedAt, time) != time && !isFirst)
        reload("file changed");
}

void Node::Impl::reload(const char *cause)
{
    std::vector<std::string> warnings;
    const auto loaded = loadNodeSettings(m_settingsFile, warnings);
    for (const auto &warning : warnings)
        log::warn("setting-unusable", {{"detail", warning}});
    if (!loaded) {
        log::error("reload-failed", {{"cause", cause}, {"reason", describe(loaded.error())}});
        return;
    }
    const auto &next = loaded.value();
    const bool changed = next.SerializeAsString() != m_settings.SerializeAsString();
    // All other settings are read only at start.
    auto startOnly = next;
    *startOnly.mutable_log() = m_settings.log();
    *startOnly.mutable_integration() = m_settings.integration();
    startOnly.mutable_limits()->set_stop_limit_ms(m_settings.limits().stop_limit_ms());
    const bool needsRestart = startOnly.SerializeAsString() != m_settings.SerializeAsString();
    *m_settings.mutable_log() = next.log();
    *m_settings.mutable_integration() = next.integration();
    m_settings.mutable_limits()->set_stop_limit_ms(next.limits().stop_limit_ms());
    log::setLevel(log::levelFromName(m_settings.log().level()));
    if (m_stop)
        m_stop->setTimes(stopTimes());
    log::info("reloaded", {{"cause", cause},
                           {"changed", changed ? "yes" : "no"},
                           {"needs-restart", needsRestart ? "yes" : "no"}});
}

void Node::Impl::beginStop()
{
    if (m_stop) {
        log::info("stop-already-began");
        return;
    }
    log::info("stop-began", {{"gate", m_gate.openRequests()}, {"owner", m_owner.openRequests()}});
    m_stop.emplace(stopTimes(), BootClock::now());
    m_membership.beginStop();
    m_owner.stop();
    m_quotaHome.close();
    pollStop();
}

void Node::Impl::onInterrupt()
{
    if (m_stop)
        stopAtOnce();
    else
        beginStop();
}

void Node::Impl::stopAtOnce()
{
    log::warn("stopped-at-once", {{"open", jsonText(openRequests())}});
    event_base_loopbreak(m_base);
}

void Node::Impl::pollStop()
{
    const auto now = BootClock::now();
    const auto work = unfinishedWork();
    m_gate.stop(m_stop->gateStop(now));
    if (!m_stop->mayLeave(work, now)) {
        m_stopTimer.start(StopPollInterval);
        return;
    }
    if (work.openRequests > 0) {
        log::warn("stop-limit-reached", {{"open", jsonText(openRequests())}});
        m_owner.refuseQueuedRequests();
        m_gate.finishOpenRequests();
    }
    // A request that is accepted from here on would be dropped when the process ends.
    m_gate.stop({StopAdmission::None, now});
    // With an integration no request carries a key, so there is nothing to hand over.
    if (isIntegrated())
        leave(true);
    else
        m_home.handOver([this](bool complete) { leave(complete); });
}

void Node::Impl::leave(bool keysHandedOver)
{
    // A node that is not published as left stays known as dead until its keys have expired.
    if (keysHandedOver)
        m_membership.leave();
    else
        log::info("stopping-without-leave", {{"reason", "key record handover incomplete"}});
    if (!isIntegrated()) {
        m_records.stop([](bool written) {
            if (!written)
                log::warn("decision-records-lost");
        });
    }
    m_leaveTimer.start(isIntegrated() ? LeaveDelayWithoutRecords : LeaveDelayWithRecords);
}

UnfinishedWork Node::Impl::unfinishedWork() const
{
    return {m_owner.openRequests() + m_gate.openRequests(),
            m_gate.connectionsWithUnsentOutput() + m_server->connectionsWithUnsentOutput()};
}

void Node::Impl::endStop()
{
    if (!m_stop->mayEnd(unfinishedWork(), BootClock::now())) {
        m_leaveTimer.start(StopPollInterval);
        return;
    }
    log::info("stopped", {{"unsent-to-callers", m_gate.connectionsWithUnsentOutput()},
                          {"unsent-to-peers", m_server->connectionsWithUnsentOutput()}});
    event_base_loopbreak(m_base);
}

nlohmann::json Node::Impl::openRequests()
{
    nlohmann::json ids = nlohmann::json::array();
    const auto owner = m_owner.dump();
    for (const auto &endpoint : owner["endpoints"]) {
        for (const auto &request : endpoint["open"])
            ids.push_back(request["request"]);
    }
    const auto gate = m_gate.dump();
    for (const auto &request : gate["open"])
        ids.push_back(request["request"]);
    return {{"owner", m_owner.openRequests()}, {"gate", m_gate.openRequests()}, {"requests", ids}};
}

nlohmann::json Node::Impl::state()
{
    nlohmann::json services = nlohmann::json::array();
    for (const auto *config : m_config.store().all()) {
        services.push_back({{"name", config->service()},
                            {"revision", config->revision()},
                            {"deleted", config->deleted()}});
    }
    nlohmann::json members = nlohmann::json::array();
    const auto &table = m_membership.table();
    for (const auto &name : table.known()) {
        const auto *member = table.find(name);
        members.push_back({{"node", name},
                           {"incarnation", member->incarnation()},
                           {"status", enumName(StatusNames, member->status())},
                           {"failure-domain", member->failure_domain()},
                           {"peer", member->peer_address()},
                           {"admin", member->admin_address()}});
    }
    return {{"node", m_settings.node().name()},
            {"fleet", m_settings.fleet()},
            {"region", m_settings.node().region()},
            {"failure-domain", m_settings.node().failure_domain()},
            {"incarnation", m_incarnation},
            {"revision", m_config.store().revision()},
            {"ready", m_config.isReady()},
            {"stopping", m_stop.has_value()},
            {"open", openRequests()},
            {"services", services},
            {"members", members},
            {"owner", m_owner.dump()},
            {"gate", m_gate.dump()},
            {"home", m_home.dump()},
            {"quota-home", m_quotaHome.dump()},
            {"memory", m_memory.dump()},
            {"decision-log",
             {{"records", m_decisions.size()},
              {"bytes", m_decisions.bytes()},
              {"dropped", m_decisions.dropped()}}},
            {"configuration",
             {{"bytes", m_config.store().bytes()},
              {"ignored-older", m_config.store().ignoredOlder()},
              {"customers", m_customers.size()},
              {"customer-keys", m_customers.keys()}}},
            {"platform-calls", m_platform.calls()}};
}

void Node::Impl::addAdminPages()
{
    m_admin.add("/state", [this] { return jsonPage(state()); });
    m_admin.add("/config", [this] {
        nlohmann::json services = nlohmann::json::array();
        for (const auto *config : m_config.store().all()) {
            services.push_back({{"name", config->service()},
                                {"revision", config->revision()},
                                {"deleted", config->deleted()},
                                {"content", config->content().ShortDebugString()}});
        }
        return jsonPage({{"revision", m_config.store().revision()}, {"services", services}});
    });
    m_admin.add("/metrics", [this] {
        return AdminServer::Page {
                "text/plain; version=0.0.4",
                m_gate.metrics() + m_owner.metrics() + m_membership.metrics()
                        + m_quotaHome.metrics() + m_memory.metrics() + m_config.metrics()
                        + prometheusSample("berylspur_platform_calls_total", "",
                                           static_cast<double>(m_platform.calls()))};
    });
}

Node::Node(schema::NodeSettings settings, std::string settingsFile)
    : m_impl(std::make_unique<Impl>(std::move(settings), std::move(settingsFile)))
{
}

Node::~Node() = default;

Result<void> Node::start()
{
    return m_impl->start();
}

void Node::run()
{
    m_impl->run();
}

} // namespace berylspur
