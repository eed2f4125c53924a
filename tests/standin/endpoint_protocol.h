// Protocols of the backend stand-in: the project's own headers and announcements, or those of the
// platform as it documents them. The names are repeated here and not shared with the product, so
// that a wrong name in the product fails a test.
#pragma once

#include "http_support.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace berylspur::standin {

enum class ProtocolKind { Own, Platform };

inline constexpr int StatusMisdirected = 421;

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}

/// State that an endpoint announces.
struct EndpointInfo
{
    std::string id;
    std::string service;
    std::string address;
    int slots = 0;
    bool isDraining = false;
    double coldMs = 0; ///< remaining time of the cold start
    std::int64_t startedAtMs = 0;
    std::uint64_t sequence = 0;
};

/// Header names (null if the protocol has no such header) and call targets.
struct EndpointProtocol
{
    const char *requestId;
    const char *idempotencyKey;
    const char *deadlineMs;
    const char *targetEndpoint;
    const char *callerService;
    const char *customer;
    const char *customerKey;
    const char *signature;
    const char *notExecuted;
    const char *endpointId;
    const char *endpointLoad;
    std::string healthPath;
    std::string announceTarget;
    bool idInTarget;
    std::string deregisterTarget; ///< empty if the protocol has no such call
    bool servesWhileDraining;
    nlohmann::json (*announcement)(const EndpointInfo &);
};

inline nlohmann::json ownAnnouncement(const EndpointInfo &self)
{
    const char *state = self.isDraining ? "draining" : self.coldMs > 0 ? "cold" : "ready";
    return {{"id", self.id},
            {"service", self.service},
            {"address", self.address},
            {"slots", self.slots},
            {"state", state}};
}

inline nlohmann::json platformHeartbeat(const EndpointInfo &self)
{
    return {{"service", self.service},
            {"address", self.address},
            {"zone", "fd-0"},
            {"version", "v1"},
            {"slots", self.slots},
            {"state", self.isDraining ? "draining" : "ready"},
            {"cold", std::to_string(static_cast<int>(self.coldMs)) + "ms"},
            {"sequence", self.sequence},
            {"born", self.startedAtMs}};
}

inline const EndpointProtocol &protocolOf(ProtocolKind kind)
{
    static const EndpointProtocol own {"Berylspur-Request-Id",
                                       "Idempotency-Key",
                                       "Berylspur-Deadline-Ms",
                                       nullptr,
                                       nullptr,
                                       "Berylspur-Customer",
                                       "Berylspur-Key",
                                       nullptr,
                                       nullptr,
                                       nullptr,
                                       nullptr,
                                       "/health",
                                       "/announce",
                                       false,
                                       "",
                                       false,
                                       ownAnnouncement};
    static const EndpointProtocol platform {"X-Request-Id",
                                            nullptr,
                                            "X-Deadline-Ms",
                                            "X-Target-Instance",
                                            "X-Caller-Service",
                                            "X-Tenant-Id",
                                            "X-Key",
                                            "X-Server-Signature",
                                            "X-Not-Executed",
                                            "X-Instance-Id",
                                            "X-Server-Load",
                                            "/healthz",
                                            "/v1/rpc?call=instances.heartbeat&of=",
                                            true,
                                            "/v1/rpc?call=instances.deregister&of=",
                                            true,
                                            platformHeartbeat};
    return kind == ProtocolKind::Platform ? platform : own;
}

} // namespace berylspur::standin
