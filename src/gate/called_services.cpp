// Load of the services that requests of a route call, as one gate knows it.
#include "called_services.h"

#include "berylspur/record/decision_logging.h"
#include "gate_request.h"

namespace berylspur {

namespace {

// A service may have hundreds of endpoints, so their mean is not computed for each request.
constexpr Duration WaitLifetime = std::chrono::milliseconds(50);

std::vector<CallReport> callsOf(const schema::OwnerLoad &load)
{
    constexpr double Percent = 100;
    std::vector<CallReport> calls;
    for (const auto &call : load.calls()) {
        calls.push_back({call.service(), call.calls_percent() / Percent,
                         call.refused_percent() / Percent, Duration(call.usual_us()),
                         Duration(call.wait_us())});
    }
    return calls;
}

} // namespace

void CalledServices::onReport(const std::string &route, const schema::OwnerLoad &load,
                              TimePoint now)
{
    if (load.calls_size() > 0)
        m_admission.onReport(route, callsOf(load), now);
}

std::optional<ParentRefusal> CalledServices::check(const ParentRequest &request,
                                                   const RouteTable &routes, ServiceViews &views,
                                                   const EndpointPicker &picker, TimePoint now)
{
    const auto waitOf = [&](const std::string &service) -> std::optional<Duration> {
        const auto *config = routes.service(service);
        if (!config)
            return std::nullopt;
        auto &cached = m_waits[service];
        if (now - cached.computedAt >= WaitLifetime)
            cached = {now, meanWait(views.current(*config, now), picker, now)};
        return cached.wait;
    };
    return m_admission.check(request, waitOf, now);
}

void CalledServices::expire(TimePoint now)
{
    m_admission.expire(now);
    m_waits.clear();
}

std::optional<Duration> CalledServices::meanWait(const ServiceView &view,
                                                 const EndpointPicker &picker, TimePoint now)
{
    Duration sum {};
    int known = 0;
    for (const auto i : view.rotation.admitted) {
        if (const auto wait = picker.reportedWait(view.endpoints[i], now)) {
            sum += *wait;
            ++known;
        }
    }
    return known == 0 ? std::nullopt : std::optional<Duration>(sum / known);
}

bool GateRequest::areCallsAdmitted()
{
    if (m_isNestedCall)
        return true;
    const auto now = BootClock::now();
    const auto refusal = m_context.calledServices.check({m_routeKey, m_priority, m_deadline - now},
                                                        m_context.routes, m_context.serviceViews,
                                                        m_context.picker, now);
    if (!refusal)
        return true;
    schema::DecisionRecord record;
    record.set_kind(schema::DECISION_SHED);
    record.set_service(m_service);
    record.set_rule(std::string(refusal->rule) + " " + refusal->service);
    record.set_request_id(logId());
    record.set_code(static_cast<std::uint32_t>(ErrorCode::NotRunCalledService));
    record.set_config_revision(m_revision);
    addFigure(record, "rank", m_priority);
    addFigure(record, "expected-wait-ms", static_cast<double>(refusal->wait.count()) / 1000.0);
    addFigure(record, "usual-ms", static_cast<double>(refusal->usualTime.count()) / 1000.0);
    addFigure(record, "refused-share", refusal->refusedShare);
    addFigure(record, "remaining-ms", static_cast<double>(toMs(m_deadline - now)));
    m_context.onDecision(std::move(record));
    m_retryAfter = refusal->retryAfter;
    refuse(ErrorCode::NotRunCalledService);
    return false;
}

} // namespace berylspur
