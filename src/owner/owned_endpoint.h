// What the owner holds for one endpoint: lease, slots, suspicion, connections and open requests.
#pragma once

#include "announce_server.h"
#include "berylspur/owner/endpoint_lease.h"
#include "berylspur/owner/gray_detector.h"
#include "berylspur/owner/request_ledger.h"
#include "berylspur/owner/slot_scheduler.h"
#include "berylspur/peer.pb.h"
#include "berylspur/settings.pb.h"
#include "berylspur/transport/peer.h"
#include "endpoint_client.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace berylspur {

/// A request from its admission to the end of its response.
struct OwnedRequest
{
    std::shared_ptr<PeerRequest> peer;
    schema::Dispatch dispatch;
    std::string body;
    WorkClass workClass = WorkClass::Short;
    TimePoint deadline;
    TimePoint admitted; // when it was queued
    TimePoint started; // when it was sent to the endpoint
    std::unique_ptr<EndpointCall> call; // null while queued
    KeptAnswer kept;
    bool keepable = true; // the response fits into the ledger
    bool replied = false; // the envelope went to the gate
    Duration serviceTime {}; // until the endpoint's first byte
    bool callFailed = false; // a call that it made had no success
    bool gateGone = false; // nobody waits for the response any more
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
    EndpointLease lease;
    SlotScheduler scheduler;
    GrayDetector detector;
    std::unique_ptr<EndpointClient> client; // outlives probe and the calls in requests
    std::unique_ptr<EndpointCall> probe;
    TimePoint probeStarted;
    std::unordered_map<RequestId, OwnedRequest> requests;
    bool drainedByManifest = false;
    bool withdrawn = false; // the endpoint said that it will end

    bool isDraining() const
    {
        return drainedByManifest || withdrawn || info.readiness == EndpointReadiness::Draining;
    }
};

} // namespace berylspur
