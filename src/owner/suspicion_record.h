// The suspicion of an endpoint as its owner publishes it to the fleet.
#pragma once

#include "berylspur/owner/gray_detector.h"
#include "berylspur/peer.pb.h"

namespace berylspur {

/// Sets the suspicion of \a record; a trusted endpoint has none. A recovering endpoint has no
/// severity, but a reduced share of requests. A trial that begins after a fixed delay changes
/// nothing in the record: the peers know the delay, and each update costs every node a few hundred
/// bytes.
void fillSuspicion(schema::EndpointRecord &record, const GrayDetector &detector);

} // namespace berylspur
