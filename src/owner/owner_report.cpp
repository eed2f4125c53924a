// Publication and reports of the owner: endpoint records, decision records, state dump, metrics.
#include "berylspur/core/enum_table.h"
#include "berylspur/core/log.h"
#include "owner_task_impl.h"
#include "suspicion_record.h"

#include <algorithm>

namespace berylspur {

namespace {

constexpr EnumTable<DetectorPhase, 4> PhaseNames {{
        {DetectorPhase::Trusted, "trusted"},
        {DetectorPhase::Suspect, "suspect"},
        {DetectorPhase::Trial, "trial"},
        {DetectorPhase::Ramp, "ramp"},
}};

schema::EndpointState toSchema(EndpointReadiness readiness)
{
    switch (readiness) {
    case EndpointReadiness::Ready:
        return schema::ENDPOINT_READY;
    case EndpointReadiness::Cold:
        return schema::ENDPOINT_COLD;
    case EndpointReadiness::Draining:
        break;
    }
    return schema::ENDPOINT_DRAINING;
}

} // namespace

void OwnerTask::Impl::recordChanges(OwnedEndpoint &endpoint, TimePoint now)
{
    bool failsRequests = false;
    for (const auto &change : endpoint.detector.takeChanges()) {
        schema::DecisionRecord record;
        const bool ejected = change.to == DetectorPhase::Suspect;
        record.set_kind(ejected ? schema::DECISION_EJECT : schema::DECISION_RETURN);
        record.set_service(endpoint.info.service);
        record.set_endpoint(endpoint.info.id);
        record.set_rule(change.rule);
        for (const auto &figure : change.figures)
            addFigure(record, figure.name, figure.value);
        m_task.decisionMade.emit(record);
        log::info("endpoint-phase", {{"endpoint", endpoint.info.id},
                                     {"from", enumName(PhaseNames, change.from)},
                                     {"to", enumName(PhaseNames, change.to)},
                                     {"rule", change.rule}});
        failsRequests = failsRequests || (ejected && change.isCausedByErrors);
    }
    // Queued requests would probably fail too. A slow endpoint still serves them.
    if (failsRequests && !m_detectorPolicy.admitsWhileSuspect)
        refuseQueued(endpoint, ErrorCode::NotRunEjected, now);
}

void OwnerTask::Impl::publish(TimePoint now)
{
    std::vector<schema::EndpointRecord> records;
    for (const auto &[id, endpoint] : m_endpoints) {
        schema::EndpointRecord record;
        record.set_id(id);
        record.set_service(endpoint->info.service);
        record.set_slots(endpoint->info.slots);
        const bool leaving = endpoint->isDraining() || !endpoint->lease.isValid(now);
        record.set_state(leaving ? schema::ENDPOINT_DRAINING : toSchema(endpoint->info.readiness));
        fillSuspicion(record, endpoint->detector);
        record.set_started_at_ms(endpoint->info.startedAtMs);
        record.set_has_left(m_incarnations.hasLeft(id));
        records.push_back(std::move(record));
    }
    for (const auto &incarnation : m_incarnations.departures()) {
        if (m_endpoints.contains(incarnation.id))
            continue;
        schema::EndpointRecord record;
        record.set_id(incarnation.id);
        record.set_state(schema::ENDPOINT_DRAINING);
        record.set_started_at_ms(incarnation.startedAtMs);
        record.set_has_left(true);
        records.push_back(std::move(record));
    }
    std::string serialized;
    for (const auto &record : records)
        serialized += record.SerializeAsString();
    if (serialized == m_publishedRecords)
        return;
    m_publishedRecords = std::move(serialized);
    m_task.endpointsChanged.emit(records);
}

std::size_t OwnerTask::Impl::openRequests() const
{
    std::size_t open = 0;
    for (const auto &[id, endpoint] : m_endpoints)
        open += endpoint->requests.size();
    return open;
}

nlohmann::json OwnerTask::Impl::dump() const
{
    const auto now = BootClock::now();
    nlohmann::json endpoints = nlohmann::json::array();
    for (const auto &[id, endpoint] : m_endpoints) {
        const auto load = endpoint->scheduler.load();
        nlohmann::json open = nlohmann::json::array();
        for (const auto &[request, state] : endpoint->requests) {
            open.push_back({{"request", request.toHex()},
                            {"running", state.call != nullptr},
                            {"remaining-ms", toMs(state.deadline - now)}});
        }
        endpoints.push_back({{"id", id},
                             {"service", endpoint->info.service},
                             {"address", endpoint->info.address.toString()},
                             {"lease-valid", endpoint->lease.isValid(now)},
                             {"draining", endpoint->isDraining()},
                             {"slots", load.slots},
                             {"free-slots", load.freeSlots},
                             {"queued", load.queued},
                             {"mean-service-ms", toFractionalMs(load.meanServiceTime)},
                             {"phase", enumName(PhaseNames, endpoint->detector.phase())},
                             {"rule", endpoint->detector.rule()},
                             {"open", open}});
    }
    return {{"endpoints", endpoints},
            {"ledger",
             {{"records", m_ledger.size()}, {"answer-bytes", m_ledger.storedResponseBytes()}}},
            {"stopping", m_stopping}};
}

std::string OwnerTask::Impl::metrics() const
{
    std::string text = prometheusSample("berylspur_owner_runs_total", "",
                                        static_cast<double>(m_dispatchedCount));
    for (const auto &[code, count] : m_refusalCounts) {
        text += prometheusSample("berylspur_owner_refusals_total",
                                 "code=\"" + std::string(errorName(code)) + "\"",
                                 static_cast<double>(count));
    }
    for (std::size_t i = 0; i < RankGroups; ++i) {
        const auto rank = "rank=\"" + std::to_string(i) + (i + 1 == RankGroups ? "+\"" : "\"");
        const auto add = [&](const char *name, std::uint64_t count) {
            text += prometheusSample(name, rank, static_cast<double>(count));
        };
        add("berylspur_owner_rank_started_total", m_rankCounts[i].started);
        add("berylspur_owner_rank_refused_total", m_rankCounts[i].refused);
        add("berylspur_owner_rank_displaced_total", m_rankCounts[i].displaced);
    }
    text += m_serviceTimes[0].prometheus("berylspur_owner_service_seconds", "class=\"short\"");
    text += m_serviceTimes[1].prometheus("berylspur_owner_service_seconds", "class=\"long\"");
    return text;
}

} // namespace berylspur
