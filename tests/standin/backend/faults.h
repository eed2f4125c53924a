// Faults of an endpoint of the backend stand-in.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>

namespace berylspur::standin {

/// Faults set by POST /faults. A field that the request omits is reset to its default.
struct Faults
{
    bool stall = false; ///< every request stalls once it holds a slot
    double stallShare = 0;
    double slowFactor = 1;
    double errorShare = 0;
    double resetShare = 0;
    bool truncate = false;
    double flapMs = 0; ///< stalls in every other period of this length
    bool ignoreDrain = false; ///< accepts requests while draining
    bool stallProbes = false; ///< stalls also affect health probes
    bool failProbes = false;
    bool silent = false; ///< sends no announcements
    int status = 200; ///< of responses without another fault
    bool dropResponses = false; ///< runs requests, then closes the connection without a response
    std::optional<int> reportedBusy; ///< overrides the values in /load
    std::optional<int> reportedQueued;

    /// Throws json::exception if a value has the wrong type.
    static Faults fromJson(const nlohmann::json &value);
};

} // namespace berylspur::standin
