// State of one endpoint at its owner: lease, slots, failure detector, connections and open
// requests.
#pragma once

#include "announce_server.h"
#include "berylspur/admission/slot_scheduler.h"
#include "berylspur/core/shared_body.h"
#include "berylspur/owner/endpoint_lease.h"
#include "berylspur/owner/gray_detector.h"
#include "berylspur/owner/request_ledger.h"
#include "berylspur/peer.pb.h"
#include "berylspur/settings.pb.h"
#include "berylspur/transport/peer.h"
#include "endpoint_client.h"
#include "offered_requests.h"

#include <algorithm>
#include <memory>
#include <string>
#include <unordered_map>

namespace berylspur {

/// A request between its admission and the end of its response.
struct OwnedRequest
{
    std::shared_ptr<PeerRequest> peer;
    schema::Dispatch dispatch;
    SharedBody body;
    RequestClass requestClass = RequestClass::Short;
    TimePoint deadline;
    TimePoint admitted; // when it was queued
    TimePoint started; // when it was sent to the endpoint
    /// Null while queued. Shared, because the stream to the gate outlives the request and may only
    /// hold a weak reference to it.
    std::shared_ptr<EndpointCall> call;
    MemoryReservation responseMemory; // of response.body
    StoredResponse response;
    bool isStorable = true; // the response may be stored in the ledger
    bool replied = false; // the reply envelope was sent to the gate
    Duration serviceTime {}; // until the first byte from the endpoint
    bool hasFailedNestedCall = false; // a nested call of the request failed
    bool isGateDisconnected = false; // the gate no longer waits for the response
};

struct OwnedEndpoint
{
    OwnedEndpoint(event_base *base, const Announcement &announcement, SchedulerPolicy policy,
                  DetectionMode detection, const DetectorPolicy &detectorPolicy)
        : info(announcement), scheduler(announcement.slots, policy),
          detector(detection, detectorPolicy),
          client(std::make_unique<EndpointClient>(base, announcement.address))
    {
    }

    Announcement info;
    TimePoint lastAnnounced;
    EndpointLease lease;
    SlotScheduler scheduler;
    GrayDetector detector;
    std::unique_ptr<EndpointClient> client; // must outlive probe and the calls in requests
    std::unique_ptr<EndpointCall> probe;
    TimePoint probeStarted;
    std::unordered_map<RequestId, OwnedRequest> requests;
    OfferedRequests offered; // their bodies are on the way
    bool drainedByManifest = false;
    bool withdrawn = false; // the endpoint announced its shutdown
    bool isStartUnconfirmed = false; // found by a health check; info.startedAtMs may be too early

    bool isDraining() const
    {
        return drainedByManifest || withdrawn || info.readiness == EndpointReadiness::Draining;
    }

    /// Open requests that were admitted since the current phase of the detector began.
    TrialLoad trialLoad() const
    {
        TrialLoad load;
        for (const auto &[id, request] : requests) {
            if (request.admitted < detector.phaseSince())
                continue;
            ++load.open;
            load.lastAdmitted = std::max(load.lastAdmitted, request.admitted);
        }
        return load;
    }

    /// Time since the oldest open request was admitted; zero without open requests.
    Duration oldestRequestAge(TimePoint now) const
    {
        Duration oldest {};
        for (const auto &[id, request] : requests)
            oldest = std::max(oldest, now - request.admitted);
        return oldest;
    }
};

} // namespace berylspur
