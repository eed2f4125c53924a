// Process of the backend stand-in: its endpoints and its graceful shutdown.
#pragma once

#include "backend_options.h"
#include "endpoint.h"

#include <chrono>
#include <memory>
#include <vector>

namespace berylspur::standin {

/// Runs the endpoints of the process and its graceful shutdown.
class Backend
{
public:
    explicit Backend(BackendOptions options);

    /// Serves until SIGTERM or SIGINT. Returns the exit status of the process.
    int run();

private:
    static void onStop(evutil_socket_t, short, void *context);
    /// Keeps serving for at least 1 s after the drain, so that the announcement arrives and
    /// requests already in flight are refused with a response.
    static void onStopTimer(evutil_socket_t, short, void *context);

    BackendOptions m_options;
    BasePtr m_base;
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
    EventPtr m_stopTimer;
    std::chrono::steady_clock::time_point m_stopping;
};

} // namespace berylspur::standin
