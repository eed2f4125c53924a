// Implementation class of the owner task. Its functions are in owner_task.cpp (admission and
// requests to endpoints), owner_responses.cpp (responses), owner_announcements.cpp (announcements)
// and owner_report.cpp (publication and reports).
#pragma once

#include "berylspur/admission/call_statistics.h"
#include "berylspur/core/metrics.h"
#include "berylspur/core/timer.h"
#include "berylspur/owner/incarnation_history.h"
#include "berylspur/owner/owner_task.h"
#include "berylspur/owner/request_ledger.h"
#include "berylspur/record/decision_logging.h"
#include "endpoint_finder.h"
#include "owned_endpoint.h"

#include <algorithm>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace berylspur {

inline double toFractionalMs(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

inline RequestClass requestClassFrom(schema::RequestClass requestClass)
{
    return requestClass == schema::CLASS_LONG ? RequestClass::Long : RequestClass::Short;
}

/// What the scheduler needs to know of the request of \a dispatch.
QueuedRequest queuedRequest(const schema::Dispatch &dispatch, const RequestId &id,
                            RequestClass requestClass, TimePoint deadline);

class OwnerTask::Impl
{
public:
    Impl(OwnerTask &task, event_base *base, const schema::NodeSettings &settings,
         Incarnation incarnation, const HeaderNames &names, MemoryBudget *memory);

    Result<void> start();
    bool handleAnnouncement(const Announcement &announcement);
    /// Registers the endpoint from its response to the health check, unless one is already known.
    void handleDiscoveredEndpoint(const Announcement &announcement);
    void handleWithdrawal(const Withdrawal &withdrawal);
    void waitForHistory() { m_awaitsHistory = true; }
    void learnIncarnations(const std::vector<schema::EndpointRecord> &records);
    void endWaitForHistory();
    void configure(const std::vector<const schema::ServiceConfig *> &changed);
    void dispatch(const std::shared_ptr<PeerRequest> &peer);
    void offer(const std::shared_ptr<PeerRequest> &peer);
    void ask(const std::shared_ptr<PeerRequest> &peer);
    void setHeldByFloor(const std::string &name, bool held)
    {
        const auto found = m_endpoints.find(name);
        if (found != m_endpoints.end())
            found->second->detector.setHeldByFloor(held);
    }
    /// Running request that made the nested call with this id; null if there is none.
    OwnedRequest *parentOf(const std::string &id) const;
    void onNestedCallEnded(const NestedCallEnded &call);
    void stop() { m_stopping = true; }
    void refuseQueuedRequests();
    std::size_t openRequests() const;
    nlohmann::json dump() const;
    std::string metrics() const;

private:
    /// Requests of a group of ranks since the process started.
    struct RankCounts
    {
        std::uint64_t started = 0;
        std::uint64_t refused = 0; // for overload; includes the displaced ones
        std::uint64_t displaced = 0;
    };
    struct ServiceState
    {
        schema::ServiceConfig config;
        std::uint32_t openRequests = 0; // queued or running at this node
    };

    /// Adds the endpoint of \a announcement, which is current, or updates it.
    OwnedEndpoint &registerEndpoint(const Announcement &announcement, TimePoint now);
    /// Withdraws other endpoints at the same address, which the announced endpoint replaces, and
    /// removes those without open requests. Does nothing if the start time of the announced
    /// endpoint is unknown.
    void removePredecessors(const Announcement &announcement);
    void beginDrain(OwnedEndpoint &endpoint, const std::string &rule);
    /// Refuses the queued requests of \a endpoint, so that gates send them to other endpoints.
    void refuseQueued(OwnedEndpoint &endpoint, ErrorCode code, TimePoint now);
    /// Fails all requests of \a endpoint after it restarted.
    void abortAllRequests(OwnedEndpoint &endpoint, TimePoint now);
    OwnedEndpoint &endpointFor(const Announcement &announcement);
    void applyDrain(OwnedEndpoint &endpoint);
    std::uint32_t localConcurrencyLimit(const ServiceState &service, const std::string &name) const;

    ErrorCode checkAdmission(const schema::Dispatch &dispatch, const OwnedEndpoint *endpoint,
                             TimePoint now) const;
    void admit(OwnedEndpoint &endpoint, OwnedRequest request, const RequestId &id, TimePoint now);
    void startQueuedRequests(OwnedEndpoint &endpoint, TimePoint now);
    void sendToEndpoint(OwnedEndpoint &endpoint, const RequestId &id, OwnedRequest &request,
                        TimePoint now);
    void onResponseHeaders(OwnedEndpoint &endpoint, const RequestId &id, std::uint32_t status,
                           const HeaderList &headers);
    /// Sends status and headers to the gate. \a length is the body length, if known.
    void sendResponseHeaders(OwnedEndpoint &endpoint, OwnedRequest &request,
                             std::optional<std::uint64_t> length);
    void onResponseData(OwnedEndpoint &endpoint, const RequestId &id, std::string_view bytes);
    /// Checks a response. Returns Ok if it may be forwarded to the gate.
    ErrorCode validateResponse(const OwnedRequest &request) const;
    static void streamData(OwnedRequest &request, std::string_view bytes);
    void onEndpointResponseEnd(OwnedEndpoint &endpoint, const RequestId &id, CallResult end);
    void onGateDisconnected(const std::string &endpointId, const RequestId &id);
    /// Removes an open request and frees its slot.
    void removeRequest(OwnedEndpoint &endpoint, const RequestId &id, TimePoint now);
    void cancelRunning(OwnedEndpoint &endpoint, const RequestId &id, RequestOutcome outcome,
                       TimePoint now);

    void refuse(PeerRequest &peer, const schema::Dispatch &dispatch, ErrorCode code,
                Duration retryAfter, const OwnedEndpoint *endpoint);
    /// Decision record for the request of \a dispatch, with the request id that its gate logs.
    static schema::DecisionRecord decisionOn(const schema::Dispatch &dispatch,
                                             schema::DecisionKind kind, const std::string &rule);
    void failRequest(OwnedRequest &request, ErrorCode code, const OwnedEndpoint &endpoint);
    /// \a route: of the request that is replied to.
    void fillLoad(schema::OwnerLoad &load, const OwnedEndpoint &endpoint,
                  const std::string &route) const;

    void tick();
    void checkForPause(TimePoint now);
    void tickEndpoint(OwnedEndpoint &endpoint, TimePoint now);
    void dropExpired(OwnedEndpoint &endpoint, TimePoint now);
    /// Answers the queued requests that more urgent ones displaced.
    void answerDisplaced(OwnedEndpoint &endpoint, TimePoint now);
    /// Refuses a request that the scheduler has removed from its queue.
    void dropQueued(OwnedEndpoint &endpoint, const RequestId &id, ErrorCode code,
                    Duration retryAfter, TimePoint now);
    void cancelPastDeadline(OwnedEndpoint &endpoint, TimePoint now);
    std::string healthPath(const std::string &service) const;
    void probe(OwnedEndpoint &endpoint, TimePoint now);
    /// Records phase changes of the detector. If failed requests made the endpoint suspect and
    /// admitsWhileSuspect is off, its queued requests are refused.
    void recordChanges(OwnedEndpoint &endpoint, TimePoint now);
    void publish(TimePoint now);

    OwnerTask &m_task;
    event_base *m_base;
    MemoryBudget *m_memory; // null: nothing is counted
    std::string m_node;
    std::string m_announceAddress;
    HeaderNames m_names;
    bool m_listensForAnnouncements; // otherwise the integration passes them to announce()
    Duration m_leaseTerm;
    std::size_t m_bufferBytes; // responses up to this size are buffered until complete
    Incarnation m_incarnation;
    SchedulerPolicy m_schedulerPolicy;
    DetectionMode m_detection;
    DetectorPolicy m_detectorPolicy;
    AnnounceServer m_announceServer;
    std::unique_ptr<EndpointFinder> m_endpointFinder; // null if discovery is disabled
    Timer m_timer;
    PauseDetector m_pauseDetector;
    RequestLedger m_ledger;
    std::map<std::string, std::unique_ptr<OwnedEndpoint>> m_endpoints; // by endpoint id
    IncarnationHistory m_incarnations;
    bool m_awaitsHistory = false; // what earlier processes of the node knew is not known yet
    std::map<std::string, Announcement> m_heldAnnouncements; // until then, by endpoint id
    std::optional<Announcement> m_heldDiscovery; // the same, from the health check
    std::map<std::string, ServiceState> m_services;
    std::string m_publishedRecords; // serialized, as last sent to peers
    CallStatistics m_calls;
    std::map<ErrorCode, std::uint64_t> m_refusalCounts;
    RankCounts m_rankCounts[RankGroups]; // by rankGroup()
    DurationHistogram m_serviceTimes[2]; // by RequestClass
    std::uint64_t m_dispatchedCount = 0;
    bool m_stopping = false;
};

} // namespace berylspur
