// Options of the backend stand-in, set on the command line.
#pragma once

#include "endpoint_protocol.h"

#include <cstdint>
#include <string>

namespace berylspur::standin {

struct BackendOptions
{
    std::string id;
    std::string service;
    std::string listen;
    std::string announce;
    std::string logFile;
    ProtocolKind protocol = ProtocolKind::Own;
    int announceMs = 500;
    double serveAfterDrainMs = 0; ///< minimum time to keep serving after SIGTERM
    int endpoints = 1;
    int slots = 4;
    int queue = 64;
    double serviceTimeMs = 10;
    double longTimeMs = 1000;
    double jitter = 0;
    double probeMs = 25;
    double connectionMs = 1;
    double coldMs = 0;
    double coldFactor = 5;
    double stopLimitMs = 300000;
    std::uint64_t seed = 1;
};

} // namespace berylspur::standin
