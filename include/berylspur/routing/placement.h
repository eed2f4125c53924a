// Chooses the endpoint for one placement of a request.
#pragma once

#include "berylspur/core/clock.h"
#include "berylspur/core/ids.h"
#include "berylspur/routing/endpoint_picker.h"
#include "berylspur/routing/path_health.h"
#include "berylspur/routing/rotation.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace berylspur {

/// Properties of a request that its placement depends on.
struct PlacementRequest
{
    bool isIdempotent = false;
    bool isFirstPlacement = true; ///< no endpoint has been tried yet
    bool wasRefusedForOverload = false; ///< by at least one owner
    std::unordered_set<std::string> triedEndpoints; ///< by id
    /// Longest queueing time for which an endpoint of the own failure domain, or host, goes before
    /// others, because the body of the request is large; zero for small ones.
    Duration maxNearWait {};
    std::string host {}; ///< node of the gate
};

/// Index into \a view of the endpoint for the next placement, or nothing if none is left.
///
/// Endpoints in trial get the first placements of idempotent requests, whatever their load and
/// failure domain. At random they would wait for seconds: many endpoints are in trial when many
/// fail a part of their requests, and most requests of such a service may not be idempotent.
/// Otherwise endpoints in trial or with a reduced share, and those on a failed path, are chosen
/// only if no other endpoint is left. A suspect that the floor holds is not chosen while the
/// healthy endpoints are merely overloaded: the caller retries later.
std::optional<std::size_t> placeRequest(const PlacementRequest &request,
                                        const std::vector<EndpointView> &view,
                                        const Rotation &rotation, EndpointPicker &picker,
                                        const PathHealth &paths, TimePoint now, Random &random);

/// Index into \a view of the endpoint for a hedge of a request that is open at \a tried: the least
/// loaded one that is known to have room, or nothing. Never one that is recovering, since its
/// requests are a measurement of its health.
std::optional<std::size_t> placeHedge(const std::unordered_set<std::string> &tried,
                                      const std::vector<EndpointView> &view,
                                      const Rotation &rotation, const EndpointPicker &picker,
                                      const PathHealth &paths, TimePoint now, Random &random);

} // namespace berylspur
