// State of the owner task and the functions of its parts: admission and calls (owner_task.cpp),
// responses (owner_responses.cpp), announcements (owner_announcements.cpp), publication and reports
// (owner_report.cpp).
#pragma once

#include "berylspur/core/metrics.h"
#include "berylspur/core/timer.h"
#include "berylspur/owner/owner_task.h"
#include "berylspur/owner/request_ledger.h"
#include "berylspur/record/decision_event.h"
#include "endpoint_finder.h"
#include "owned_endpoint.h"

#include <algorithm>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace berylspur {

inline double inMs(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

class OwnerTask::Impl
{
public:
    Impl(OwnerTask &task, event_base *base, const schema::NodeSettings &settings,
         Incarnation incarnation, const HttpNames &names);

    Result<void> start();
    bool announced(const Announcement &announcement);
    /// The endpoint answered a health check before it announced itself.
    void found(const Announcement &announcement);
    void withdrawn(const Withdrawal &withdrawal);
    void configure(const std::vector<const schema::ServiceConfig *> &changed);
    void dispatch(const std::shared_ptr<PeerRequest> &peer);
    void ask(const std::shared_ptr<PeerRequest> &peer);
    void heldByFloor(const std::string &name, bool held)
    {
        const auto found = m_endpoints.find(name);
        if (found != m_endpoints.end())
            found->second->detector.heldByFloor(held);
    }
    /// The running request that made the call with this id; null if there is none.
    OwnedRequest *parentOf(const std::string &id) const;
    void nestedCallEnded(const CallEnded &call);
    void stop()
    {
        m_stopping = true;
        publish(BootClock::now());
    }
    std::size_t openRequests() const;
    nlohmann::json dump() const;
    std::string metrics() const;

private:
    struct ServiceState
    {
        schema::ServiceConfig config;
        std::uint32_t open = 0; // requests queued or running at this node
    };

    /// True if \a announcement comes from an earlier incarnation, or late.
    bool isOutdated(const Announcement &announcement) const;
    /// Forgets endpoints that \a announcement shows to have ended.
    void removePredecessors(const Announcement &announcement);
    void beginDrain(OwnedEndpoint &endpoint, const std::string &rule);
    /// Refuses what waits for \a endpoint, so that gates place it elsewhere.
    void refuseQueued(OwnedEndpoint &endpoint, ErrorCode code, TimePoint now);
    /// Ends all requests of \a endpoint, which runs none of them any more.
    void endWork(OwnedEndpoint &endpoint, TimePoint now);
    OwnedEndpoint &endpointFor(const Announcement &announcement);
    void applyDrain(OwnedEndpoint &endpoint);
    std::uint32_t concurrencyOf(const ServiceState &service, const std::string &name) const;

    ErrorCode checkAdmission(const schema::Dispatch &dispatch, const OwnedEndpoint *endpoint,
                             TimePoint now) const;
    void admit(OwnedEndpoint &endpoint, OwnedRequest request, const RequestId &id, TimePoint now);
    void pump(OwnedEndpoint &endpoint, TimePoint now);
    void run(OwnedEndpoint &endpoint, const RequestId &id, OwnedRequest &request, TimePoint now);
    void responseStarted(OwnedEndpoint &endpoint, const RequestId &id, std::uint32_t status,
                         const HeaderList &headers);
    /// Hands the head of the response to the gate. \a length is that of the body, if it is known.
    void reply(OwnedEndpoint &endpoint, OwnedRequest &request, std::optional<std::uint64_t> length);
    void responseData(OwnedEndpoint &endpoint, const RequestId &id, std::string_view bytes);
    /// What a complete response says about the request: Ok for an answer to hand over.
    ErrorCode judge(const OwnedRequest &request) const;
    void streamData(OwnedEndpoint &endpoint, const RequestId &id, OwnedRequest &request,
                    std::string_view bytes);
    void callEnded(OwnedEndpoint &endpoint, const RequestId &id, CallEnd end);
    void gateClosed(const std::string &endpointId, const RequestId &id);
    /// Forgets an open request and frees its slot or queue entry.
    void remove(OwnedEndpoint &endpoint, const RequestId &id, TimePoint now);
    void cancelRunning(OwnedEndpoint &endpoint, const RequestId &id, WorkOutcome outcome,
                       TimePoint now);

    void refuse(PeerRequest &peer, const schema::Dispatch &dispatch, ErrorCode code,
                Duration retryAfter, const OwnedEndpoint *endpoint);
    /// A decision about the request of \a dispatch, under the id that its gate logs too.
    static schema::DecisionRecord decisionOn(const schema::Dispatch &dispatch,
                                             schema::DecisionKind kind, const std::string &rule);
    void fail(OwnedRequest &request, ErrorCode code, const OwnedEndpoint &endpoint);
    void fillLoad(schema::OwnerLoad &load, const OwnedEndpoint &endpoint) const;

    void tick();
    void noticePause(TimePoint now);
    void tickEndpoint(OwnedEndpoint &endpoint, TimePoint now);
    void dropExpired(OwnedEndpoint &endpoint, TimePoint now);
    void cancelOverdue(OwnedEndpoint &endpoint, TimePoint now);
    std::string healthPath(const std::string &service) const;
    void probe(OwnedEndpoint &endpoint, TimePoint now);
    /// Reports changes of the detector's phase; an ejection also clears the queue.
    void recordChanges(OwnedEndpoint &endpoint, TimePoint now);
    void publish(TimePoint now);

    OwnerTask &m_task;
    event_base *m_base;
    std::string m_node;
    std::string m_announceAddress;
    HttpNames m_names;
    bool m_listens; // for announcements; otherwise they come as messages
    Duration m_leaseTerm;
    std::size_t m_bufferBytes; // responses up to this size are handed over when they are complete
    Incarnation m_incarnation;
    SchedulerPolicy m_schedulerPolicy;
    DetectionMode m_detection;
    DetectorPolicy m_detectorPolicy;
    AnnounceServer m_announcements;
    std::unique_ptr<EndpointFinder> m_finder; // null: the endpoint's announcement is awaited
    Timer m_timer;
    PauseDetector m_pause;
    RequestLedger m_ledger;
    std::map<std::string, std::unique_ptr<OwnedEndpoint>> m_endpoints; // by endpoint id
    std::map<std::string, ServiceState> m_services;
    std::map<std::string, TimePoint> m_lastAnnounced; // by endpoint id
    std::string m_published; // serialized records that peers know
    std::map<ErrorCode, std::uint64_t> m_refusals;
    DurationHistogram m_serviceTimes[2]; // by WorkClass
    std::uint64_t m_runs = 0;
    bool m_stopping = false;
};

} // namespace berylspur
