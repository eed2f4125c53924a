// One request or probe at an endpoint of the backend stand-in.
#pragma once

#include "endless_response.h"
#include "http_support.h"

#include <cstddef>
#include <optional>
#include <string>

namespace berylspur::standin {

class Endpoint;

enum class WorkKind { Request, Probe };
enum class WorkPhase { Queued, Running, Sending };

/// A request or probe, from its arrival to the end of its response.
struct Work
{
    Endpoint *endpoint = nullptr;
    evhttp_request *request = nullptr;
    evhttp_connection *connection = nullptr;
    WorkKind kind = WorkKind::Request;
    WorkPhase phase = WorkPhase::Queued;
    std::string id;
    std::string key;
    std::string token;
    double workMs = 0;
    std::optional<std::size_t> bytes;
    std::optional<EndlessPart> endless;
    std::string endlessBytes; ///< written each time the previous bytes are sent
    std::size_t sent = 0;
    bool truncate = false;
    EventPtr timer;
    EventPtr deadlineTimer;
    EventPtr closeEvent;
};

} // namespace berylspur::standin
