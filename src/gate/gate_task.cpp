// The gate's caller side and its shared state.
#include "berylspur/gate/gate_task.h"

#include "berylspur/core/enum_table.h"
#include "berylspur/http/caller_server.h"
#include "gate_request.h"

#include <nlohmann/json.hpp>
#include <unordered_map>
#include <vector>

namespace berylspur {

namespace {

constexpr Duration ExpireInterval = std::chrono::seconds(1);

constexpr EnumTable<RotationVerdict, 5> VerdictNames {{
        {RotationVerdict::In, "in"},
        {RotationVerdict::Ejected, "ejected"},
        {RotationVerdict::HeldByFloor, "held-by-floor"},
        {RotationVerdict::NotReady, "not-ready"},
        {RotationVerdict::OwnerGone, "owner-gone"},
}};

} // namespace

class GateTask::Impl
{
public:
    Impl(GateTask &task, event_base *base, const schema::NodeSettings &settings,
         const MembershipTask &membership, PeerPool &peers, const HttpNames &names)
        : m_address(settings.addresses().caller()),
          m_maxOpen(settings.limits().max_requests_in_flight()),
          m_retrySlack(settings.integration().retry_slack()),
          m_sharesBudget(settings.integration().mode() != schema::INTEGRATION_NONE),
          m_context(base, membership.table(), peers, settings.node().failure_domain(),
                    settings.policy().pick() == schema::PICK_TWO_RANDOM ? PickMode::TwoRandom
                                                                        : PickMode::OwnerLoad,
                    names, settings.integration().service()),
          m_callers(base,
                    [this](std::unique_ptr<CallerRequest> request) { accept(std::move(request)); }),
          m_expireTimer(base, [this] { expire(); }),
          m_releaseTimer(base, [this] { m_ended.clear(); })
    {
        m_context.decided = [&task](const schema::DecisionRecord &record) {
            task.decided.emit(record);
        };
        m_context.callEnded = [&task](const CallEnded &call) { task.callEnded.emit(call); };
        m_context.isCall = [&task](const std::string &id) { return task.isCall.emit(id); };
        m_limits.maxBodyBytes = settings.limits().max_body_bytes();
        m_limits.maxHeaderBytes = settings.limits().max_header_bytes();
        m_callers.setLimits(m_limits);
    }
    ~Impl()
    {
        m_open.clear();
        m_ended.clear();
    }
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    Result<void> start();
    void configure(const std::vector<const schema::ServiceConfig *> &changed);
    void peerFailed(const Address &peer);
    void stop(bool refuse)
    {
        m_stopping = true;
        m_refusing = m_refusing || refuse;
        m_callers.closeAfterResponses();
    }
    void endOpen()
    {
        const auto open = m_open; // requests leave it as they end
        for (const auto &[key, request] : open)
            request->endOpen();
    }
    std::size_t openRequests() const { return m_open.size(); }
    nlohmann::json dump();
    std::string metrics() const;

private:
    void accept(std::unique_ptr<CallerRequest> caller);
    void applyBounds(const schema::CallerBounds &bounds);
    /// Divides the fleet's burst of retries by the gates that this node can reach.
    void shareBudgets();
    void release(GateRequest *request);
    void expire();

    std::string m_address;
    CallerLimits m_limits;
    std::size_t m_maxOpen;
    double m_retrySlack; // retries of the fleet that may be saved up, by service
    bool m_sharesBudget;
    GateContext m_context;
    CallerServer m_callers;
    Timer m_expireTimer;
    Timer m_releaseTimer;
    std::unordered_map<GateRequest *, std::shared_ptr<GateRequest>> m_open;
    // Requests end inside their own callbacks, so they are destroyed in the next turn of the loop.
    std::vector<std::shared_ptr<GateRequest>> m_ended;
    bool m_configured = false;
    bool m_stopping = false;
    bool m_refusing = false;
};

Result<void> GateTask::Impl::start()
{
    auto address = Address::parse(m_address);
    if (!address)
        return failure(address.error().code, address.error().detail);
    if (auto listening = m_callers.listen(address.value()); !listening)
        return listening;
    m_expireTimer.start(ExpireInterval);
    return success();
}

void GateTask::Impl::accept(std::unique_ptr<CallerRequest> caller)
{
    auto gateRequest = std::make_shared<GateRequest>(
            m_context, std::move(caller), [this](GateRequest *ended) { release(ended); });
    m_open.emplace(gateRequest.get(), gateRequest);
    if (m_refusing) {
        gateRequest->refuse(ErrorCode::NotRunStopping);
    } else if (!m_configured) {
        gateRequest->refuse(ErrorCode::NotRunNoConfiguration);
    } else if (m_open.size() > m_maxOpen) {
        gateRequest->refuse(ErrorCode::NotRunGateBusy);
    } else {
        gateRequest->begin();
    }
}

void GateTask::Impl::release(GateRequest *request)
{
    const auto found = m_open.find(request);
    if (found == m_open.end())
        return;
    if (m_ended.empty())
        m_releaseTimer.start(Duration::zero());
    m_ended.push_back(std::move(found->second));
    m_open.erase(found);
}

void GateTask::Impl::configure(const std::vector<const schema::ServiceConfig *> &changed)
{
    for (const auto *config : changed) {
        m_context.routes.update(*config);
        m_context.budgets[config->service()].setPercent(config->content().retry_percent());
        m_context.views.invalidate(config->service());
        if (!config->deleted())
            applyBounds(config->caller_bounds());
    }
    shareBudgets();
    m_configured = true;
}

void GateTask::Impl::applyBounds(const schema::CallerBounds &bounds)
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

void GateTask::Impl::shareBudgets()
{
    if (!m_sharesBudget)
        return;
    const auto gates = std::max<std::size_t>(m_context.reachableNodes().size(), 1);
    for (auto &[service, budget] : m_context.budgets)
        budget.setBurst(m_retrySlack / static_cast<double>(gates));
}

void GateTask::Impl::peerFailed(const Address &peer)
{
    const auto now = BootClock::now();
    for (const auto &node : m_context.reachableNodes()) {
        const auto *member = m_context.table.find(node);
        if (member && member->peer_address() == peer.toString())
            m_context.paths.failed(node, now);
    }
}

void GateTask::Impl::expire()
{
    m_expireTimer.start(ExpireInterval);
    const auto now = BootClock::now();
    m_context.rates.expire(now);
    shareBudgets();
    m_context.peers.closeIdle(now - std::chrono::seconds(60));
}

nlohmann::json GateTask::Impl::dump()
{
    nlohmann::json open = nlohmann::json::array();
    for (const auto &[key, request] : m_open) {
        open.push_back({{"request", request->label()},
                        {"service", request->service()},
                        {"endpoint", request->endpoint()},
                        {"age-ms", toMs(request->age())}});
    }
    nlohmann::json services = nlohmann::json::object();
    for (const auto &[name, view] : m_context.views.all()) {
        nlohmann::json endpoints = nlohmann::json::array();
        for (const auto &entry : view.rotation.entries) {
            const auto &endpoint = view.endpoints[entry.endpoint];
            endpoints.push_back({{"id", endpoint.id},
                                 {"node", endpoint.node},
                                 {"severity", endpoint.severity},
                                 {"rule", endpoint.rule},
                                 {"verdict", enumName(VerdictNames, entry.verdict)}});
        }
        services[name] = {{"slots-in-rotation", view.rotation.slotsIn}, {"endpoints", endpoints}};
    }
    const auto &counters = m_context.counters;
    return {{"open", open},
            {"services", services},
            {"routes", m_context.routes.routes()},
            {"customers-with-lease", m_context.rates.size()},
            {"peer-connections", m_context.peers.size()},
            {"answered", counters.answered},
            {"not-run", counters.notRun},
            {"unknown", counters.unknown},
            {"aborted", counters.aborted},
            {"abandoned", counters.abandoned},
            {"retries", counters.retries},
            {"stopping", m_stopping}};
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
    text += sample("berylspur_gate_open_requests", m_open.size());
    for (const auto &[code, count] : counters.failures) {
        text += prometheusSample("berylspur_gate_failures_total",
                                 "code=\"" + std::string(errorName(code)) + "\"",
                                 static_cast<double>(count));
    }
    text += counters.latency[0].prometheus("berylspur_gate_seconds", "class=\"short\"");
    text += counters.latency[1].prometheus("berylspur_gate_seconds", "class=\"long\"");
    return text;
}

GateTask::GateTask(event_base *base, const schema::NodeSettings &settings,
                   const MembershipTask &membership, PeerPool &peers, const HttpNames &names)
    : m_impl(std::make_unique<Impl>(*this, base, settings, membership, peers, names))
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

void GateTask::peerFailed(const Address &peer)
{
    m_impl->peerFailed(peer);
}

void GateTask::stop(bool refuse)
{
    m_impl->stop(refuse);
}

void GateTask::endOpen()
{
    m_impl->endOpen();
}

std::size_t GateTask::openRequests() const
{
    return m_impl->openRequests();
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
