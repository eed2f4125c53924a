// Implementation of the gate: accepts requests, applies configuration, reports state and metrics.
#include "berylspur/gate/gate_task.h"

#include "berylspur/core/duration_text.h"
#include "berylspur/http/caller_server.h"
#include "gate_request.h"

#include <nlohmann/json.hpp>
#include <sys/resource.h>
#include <unordered_map>
#include <vector>

namespace berylspur {

namespace {

constexpr Duration MaintenanceInterval = std::chrono::seconds(1);
constexpr Duration PeerIdleTimeout = std::chrono::seconds(60);
constexpr Duration ForgetInterval = std::chrono::seconds(60);

/// False at the first start of the whole fleet, the only one at which the platform states that no
/// endpoint has been running before its node.
bool mayBeRestart(const schema::NodeSettings &settings)
{
    return settings.integration().find_endpoint();
}

/// Period over which repeats are counted.
Duration retryWindow(const schema::NodeSettings &settings)
{
    constexpr Duration DefaultWindow = std::chrono::seconds(10);
    return parseDuration(settings.integration().retry_window()).value_or(DefaultWindow);
}

/// Limit of the settings, or three quarters of the descriptor limit. The rest is left to endpoints,
/// peers and the node itself.
std::size_t maxConnections(const schema::NodeSettings &settings)
{
    if (settings.limits().max_connections() > 0)
        return settings.limits().max_connections();
    rlimit descriptors {};
    if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0 || descriptors.rlim_cur == RLIM_INFINITY)
        return 0;
    return static_cast<std::size_t>(descriptors.rlim_cur / 4 * 3);
}

} // namespace

class GateTask::Impl
{
public:
    Impl(GateTask &task, event_base *base, const schema::NodeSettings &settings,
         const MembershipTask &membership, PeerPool &peers, const CustomerTable &customers,
         const HeaderNames &names, MemoryBudget *memory)
        : m_address(settings.addresses().caller()),
          m_maxOpenRequests(settings.limits().max_requests_in_flight()),
          m_retrySlack(settings.integration().retry_slack()),
          m_dividesRetryBurst(settings.integration().mode() != schema::INTEGRATION_NONE),
          m_withholdsRetryBurst(m_dividesRetryBurst && mayBeRestart(settings)),
          m_retryBurstFrom(BootClock::now() + retryWindow(settings)),
          m_ordersByPriority(settings.policy().order() == schema::ORDER_PRIORITY),
          m_context(base, membership.table(), peers, customers, settings.node().failure_domain(),
                    settings.policy().pick() == schema::PICK_TWO_RANDOM ? PickMode::TwoRandom
                                                                        : PickMode::OwnerLoad,
                    names, settings.integration().service()),
          m_callers(
                  base,
                  [this](std::unique_ptr<CallerRequest> request) { accept(std::move(request)); },
                  memory),
          m_maintenanceTimer(base, [this] { runMaintenance(); }),
          m_releaseTimer(base, [this] { m_finishedRequests.clear(); })
    {
        m_context.onDecision = [&task](const schema::DecisionRecord &record) {
            task.decisionMade.emit(record);
        };
        m_context.onNestedCallEnd = [&task](const NestedCallEnded &call) {
            task.nestedCallEnded.emit(call);
        };
        m_context.onOwnerStopping = [&task](const std::string &node, Incarnation incarnation) {
            task.ownerStopping.emit(node, incarnation);
        };
        m_context.parentRun = [&task](const std::string &id) { return task.parentRun.emit(id); };
        m_limits.maxBodyBytes = settings.limits().max_body_bytes();
        m_limits.maxHeaderBytes = settings.limits().max_header_bytes();
        m_limits.maxHeaderFields = settings.limits().max_header_fields();
        m_limits.maxConnections = maxConnections(settings);
        m_limits.minBodyRate = settings.limits().min_body_rate();
        m_callers.setLimits(m_limits);
        // Without a route the request is refused whatever its body.
        m_callers.setBodyFilter(
                [this](std::string_view method, std::string_view host, std::string_view target) {
                    return m_hasConfiguration && m_context.routes.match(method, host, target);
                });
    }
    ~Impl()
    {
        m_openRequests.clear();
        m_finishedRequests.clear();
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    Result<void> start();
    void configure(const std::vector<const schema::ServiceConfig *> &changed);
    void onPeerConnectionFailed(const Address &peer);
    void stop(const GateStop &stop)
    {
        m_stopping = true;
        m_context.stop = stop;
        m_callers.closeAfterResponses();
    }
    void finishOpenRequests()
    {
        const auto open = m_openRequests; // copied: requests remove themselves from m_openRequests
                                          // as they finish
        for (const auto &[key, request] : open)
            request->finishForShutdown();
    }
    std::size_t openRequests() const { return m_openRequests.size(); }
    std::size_t connectionsWithUnsentOutput() const
    {
        return m_callers.connectionsWithUnsentOutput();
    }
    nlohmann::json dump();
    std::string metrics() const;

private:
    nlohmann::json dumpCallers() const;
    std::string callerMetrics() const;
    void accept(std::unique_ptr<CallerRequest> caller);
    void applyCallerLimits(const schema::CallerBounds &bounds);
    /// Divides the fleet's retry burst by the number of reachable nodes, each of which is a gate,
    /// and grants it once the retry window of an earlier process is over.
    void divideRetryBurst();
    void release(GateRequest *request);
    void runMaintenance();

    std::string m_address;
    CallerLimits m_limits;
    std::size_t m_maxOpenRequests;
    double m_retrySlack; // retry burst of the whole fleet per service
    bool m_dividesRetryBurst;
    bool m_withholdsRetryBurst; // an earlier process of the node may have used it
    TimePoint m_retryBurstFrom;
    bool m_ordersByPriority; // otherwise requests are admitted whatever room their calls find
    GateContext m_context;
    CallerServer m_callers;
    Timer m_maintenanceTimer;
    TimePoint m_nextForget = BootClock::now() + ForgetInterval;
    Timer m_releaseTimer;
    std::unordered_map<GateRequest *, std::shared_ptr<GateRequest>> m_openRequests;
    // Requests finish inside their own callbacks, so their destruction is deferred to the next
    // iteration of the event loop.
    std::vector<std::shared_ptr<GateRequest>> m_finishedRequests;
    bool m_hasConfiguration = false;
    bool m_stopping = false;
};

Result<void> GateTask::Impl::start()
{
    auto address = Address::parse(m_address);
    if (!address)
        return failure(address.error().code, address.error().detail);
    if (auto listening = m_callers.listen(address.value()); !listening)
        return listening;
    m_maintenanceTimer.start(MaintenanceInterval);
    return success();
}

void GateTask::Impl::accept(std::unique_ptr<CallerRequest> caller)
{
    auto gateRequest = std::make_shared<GateRequest>(
            m_context, std::move(caller), [this](GateRequest *ended) { release(ended); });
    m_openRequests.emplace(gateRequest.get(), gateRequest);
    if (!m_hasConfiguration) {
        gateRequest->refuse(ErrorCode::NotRunNoConfiguration);
    } else if (m_openRequests.size() > m_maxOpenRequests) {
        gateRequest->refuse(ErrorCode::NotRunGateBusy);
    } else {
        gateRequest->begin();
    }
}

void GateTask::Impl::release(GateRequest *request)
{
    const auto found = m_openRequests.find(request);
    if (found == m_openRequests.end())
        return;
    if (m_finishedRequests.empty())
        m_releaseTimer.start(Duration::zero());
    m_finishedRequests.push_back(std::move(found->second));
    m_openRequests.erase(found);
}

void GateTask::Impl::configure(const std::vector<const schema::ServiceConfig *> &changed)
{
    for (const auto *config : changed) {
        m_context.routes.update(*config);
        const auto [budget, isNew] = m_context.retryBudgets.try_emplace(config->service());
        budget->second.setPercent(config->content().retry_percent());
        if (isNew && m_withholdsRetryBurst)
            budget->second.withholdBurst();
        m_context.hedging[config->service()].setPercent(config->content().hedge_percent());
        m_context.serviceViews.invalidate(config->service());
        if (!config->deleted())
            applyCallerLimits(config->caller_bounds());
    }
    if (m_ordersByPriority)
        m_context.calledServices.setRanks(m_context.routes.priorities());
    divideRetryBurst();
    m_hasConfiguration = true;
}

void GateTask::Impl::applyCallerLimits(const schema::CallerBounds &bounds)
{
    auto limits = m_limits;
    if (bounds.header_bytes() > 0)
        limits.maxHeaderBytes = bounds.header_bytes();
    if (bounds.body_bytes() > 0)
        limits.maxBodyBytes = bounds.body_bytes();
    if (bounds.header_timeout_ms() > 0)
        limits.headerTimeout = std::chrono::milliseconds(bounds.header_timeout_ms());
    if (bounds.idle_timeout_ms() > 0)
        limits.idleTimeout = std::chrono::milliseconds(bounds.idle_timeout_ms());
    m_callers.setLimits(limits);
}

void GateTask::Impl::divideRetryBurst()
{
    if (!m_dividesRetryBurst)
        return;
    const auto gates = std::max<std::size_t>(m_context.reachableNodes().size(), 1);
    for (auto &[service, budget] : m_context.retryBudgets)
        budget.setBurst(m_retrySlack / static_cast<double>(gates));
    for (auto &[service, hedging] : m_context.hedging)
        hedging.setBurst(HedgeBudget::Burst / static_cast<double>(gates));
    if (!m_withholdsRetryBurst || BootClock::now() < m_retryBurstFrom)
        return;
    m_withholdsRetryBurst = false;
    for (auto &[service, budget] : m_context.retryBudgets)
        budget.grantBurst();
}

void GateTask::Impl::onPeerConnectionFailed(const Address &peer)
{
    const auto now = BootClock::now();
    for (const auto &node : m_context.reachableNodes()) {
        const auto *member = m_context.members.find(node);
        if (member && member->peer_address() == peer.toString())
            m_context.pathHealth.recordFailure(node, now);
    }
}

void GateTask::Impl::runMaintenance()
{
    m_maintenanceTimer.start(MaintenanceInterval);
    const auto now = BootClock::now();
    m_context.rateLimiter.expire(now);
    m_context.calledServices.expire(now);
    divideRetryBurst();
    m_context.peers.closeIdle(now - PeerIdleTimeout);
    if (now >= m_nextForget) {
        m_context.forgetAbsent();
        m_nextForget = now + ForgetInterval;
    }
}

nlohmann::json GateTask::Impl::dump()
{
    nlohmann::json open = nlohmann::json::array();
    for (const auto &[key, request] : m_openRequests) {
        open.push_back({{"request", request->logId()},
                        {"service", request->service()},
                        {"endpoint", request->endpoint()},
                        {"age-ms", toMs(request->age())}});
    }
    nlohmann::json services = nlohmann::json::object();
    for (const auto &[name, view] : m_context.serviceViews.all()) {
        nlohmann::json endpoints = nlohmann::json::array();
        for (const auto &entry : view.rotation.entries) {
            const auto &endpoint = view.endpoints[entry.endpoint];
            endpoints.push_back({{"id", endpoint.id},
                                 {"node", endpoint.node},
                                 {"severity", endpoint.severity},
                                 {"rule", endpoint.rule},
                                 {"verdict", enumName(RotationVerdictNames, entry.verdict)}});
        }
        services[name] = {{"slots-in-rotation", view.rotation.slotsInRotation},
                          {"endpoints", endpoints}};
    }
    const auto &counters = m_context.counters;
    return {{"open", open},
            {"services", services},
            {"routes", m_context.routes.routes()},
            {"customers-with-lease", m_context.rateLimiter.size()},
            {"quota", m_context.quota.dump()},
            {"peer-connections", m_context.peers.size()},
            {"answered", counters.answered},
            {"not-run", counters.notRun},
            {"unknown", counters.unknown},
            {"aborted", counters.aborted},
            {"abandoned", counters.abandoned},
            {"retries", counters.retries},
            {"hedges", counters.hedges.sent},
            {"callers", dumpCallers()},
            {"stopping", m_stopping}};
}

nlohmann::json GateTask::Impl::dumpCallers() const
{
    const auto &counters = m_callers.counters();
    return {{"connections", m_callers.connections()},
            {"max-connections", m_limits.maxConnections},
            {"too-many-fields", counters.tooManyFields},
            {"slow-bodies", counters.slowBodies},
            {"discarded-bodies", counters.discardedBodies},
            {"refused-for-memory", counters.refusedForMemory},
            {"closed-for-memory", counters.closedForMemory},
            {"closed-for-connections", counters.closedForConnections},
            {"refused-connections", counters.refusedConnections}};
}

std::string GateTask::Impl::callerMetrics() const
{
    const auto &counters = m_callers.counters();
    const auto sample = [](const char *reason, std::uint64_t value) {
        return prometheusSample("berylspur_gate_caller_limits_total",
                                "reason=\"" + std::string(reason) + "\"",
                                static_cast<double>(value));
    };
    return prometheusSample("berylspur_gate_connections", "",
                            static_cast<double>(m_callers.connections()))
           + sample("too-many-fields", counters.tooManyFields)
           + sample("slow-body", counters.slowBodies)
           + sample("discarded-body", counters.discardedBodies)
           + sample("refused-for-memory", counters.refusedForMemory)
           + sample("closed-for-memory", counters.closedForMemory)
           + sample("closed-for-connections", counters.closedForConnections)
           + sample("refused-connection", counters.refusedConnections);
}

std::string GateTask::Impl::metrics() const
{
    const auto &counters = m_context.counters;
    const auto sample = [](const char *name, std::uint64_t value) {
        return prometheusSample(name, "", static_cast<double>(value));
    };
    std::string text = sample("berylspur_gate_answered_total", counters.answered);
    text += sample("berylspur_gate_not_run_total", counters.notRun);
    text += sample("berylspur_gate_unknown_total", counters.unknown);
    text += sample("berylspur_gate_aborted_total", counters.aborted);
    text += sample("berylspur_gate_abandoned_total", counters.abandoned);
    text += sample("berylspur_gate_retries_total", counters.retries);
    text += sample("berylspur_gate_calls_of_repeats_total", counters.callsOfRepeats);
    text += counters.hedges.prometheus();
    text += sample("berylspur_gate_open_requests", m_openRequests.size());
    for (const auto &[code, count] : counters.failures) {
        text += prometheusSample("berylspur_gate_failures_total",
                                 "code=\"" + std::string(errorName(code)) + "\"",
                                 static_cast<double>(count));
    }
    if (m_context.customers.hasLimits())
        text += m_context.quota.metrics();
    text += callerMetrics();
    text += counters.latency[0].prometheus("berylspur_gate_seconds", "class=\"short\"");
    text += counters.latency[1].prometheus("berylspur_gate_seconds", "class=\"long\"");
    return text;
}

GateTask::GateTask(event_base *base, const schema::NodeSettings &settings,
                   const MembershipTask &membership, PeerPool &peers,
                   const CustomerTable &customers, const HeaderNames &names, MemoryBudget *memory)
    : m_impl(std::make_unique<Impl>(*this, base, settings, membership, peers, customers, names,
                                    memory))
{
}

GateTask::~GateTask() = default;

Result<void> GateTask::start()
{
    return m_impl->start();
}

void GateTask::configure(const std::vector<const schema::ServiceConfig *> &changed)
{
    m_impl->configure(changed);
}

void GateTask::onPeerConnectionFailed(const Address &peer)
{
    m_impl->onPeerConnectionFailed(peer);
}

void GateTask::stop(const GateStop &stop)
{
    m_impl->stop(stop);
}

void GateTask::finishOpenRequests()
{
    m_impl->finishOpenRequests();
}

std::size_t GateTask::openRequests() const
{
    return m_impl->openRequests();
}

std::size_t GateTask::connectionsWithUnsentOutput() const
{
    return m_impl->connectionsWithUnsentOutput();
}

nlohmann::json GateTask::dump() const
{
    return m_impl->dump();
}

std::string GateTask::metrics() const
{
    return m_impl->metrics();
}

} // namespace berylspur
