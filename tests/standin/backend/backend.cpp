// Starts the endpoints and stops them on SIGTERM or SIGINT.
#include "backend.h"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <iostream>

namespace berylspur::standin {

Backend::Backend(BackendOptions options) : m_options(std::move(options)), m_base(event_base_new())
{
}

int Backend::run()
{
    const auto first = Address::parse(m_options.listen);
    if (!first || (!m_options.announce.empty() && !Address::parse(m_options.announce))) {
        std::cerr << "addresses must be IP:port\n";
        return 2;
    }
    int logFile = -1;
    if (!m_options.logFile.empty()) {
        logFile = open(m_options.logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    }
    for (int i = 0; i < m_options.endpoints; ++i) {
        Address listen = first.value();
        listen.port = static_cast<std::uint16_t>(listen.port + i);
        const std::string id = m_options.endpoints == 1
                                       ? m_options.id
                                       : m_options.id + "-" + std::to_string(i + 1);
        m_endpoints.push_back(
                std::make_unique<Endpoint>(m_base.get(), m_options, id, listen, logFile,
                                           m_options.seed + static_cast<std::uint64_t>(i)));
        if (!m_endpoints.back()->listen()) {
            std::cerr << "cannot listen on " << listen.toString() << "\n";
            return 1;
        }
    }
    const EventPtr onTerm(evsignal_new(m_base.get(), SIGTERM, &Backend::onStop, this));
    const EventPtr onInt(evsignal_new(m_base.get(), SIGINT, &Backend::onStop, this));
    event_add(onTerm.get(), nullptr);
    event_add(onInt.get(), nullptr);
    event_base_dispatch(m_base.get());
    m_endpoints.clear();
    return 0;
}

void Backend::onStop(evutil_socket_t, short, void *context)
{
    auto *self = static_cast<Backend *>(context);
    for (const auto &endpoint : self->m_endpoints)
        endpoint->drain();
    self->m_stopping = std::chrono::steady_clock::now();
    self->m_stopTimer.reset(
            event_new(self->m_base.get(), -1, EV_PERSIST, &Backend::onStopTimer, self));
    const timeval interval = toTimeval(50);
    event_add(self->m_stopTimer.get(), &interval);
}

void Backend::onStopTimer(evutil_socket_t, short, void *context)
{
    auto *self = static_cast<Backend *>(context);
    const double ms = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now()
                                                                - self->m_stopping)
                              .count();
    const bool allIdle = std::all_of(self->m_endpoints.begin(), self->m_endpoints.end(),
                                     [](const auto &endpoint) { return endpoint->isIdle(); });
    constexpr double DeregisterWaitMs = 300; // for the response to the deregister call
    const double minServeMs = std::max(1000.0, self->m_options.serveAfterDrainMs);
    if (ms >= minServeMs) {
        for (const auto &endpoint : self->m_endpoints)
            endpoint->deregister();
    }
    const double deregisterMs =
            protocolOf(self->m_options.protocol).deregisterTarget.empty() ? 0 : DeregisterWaitMs;
    if ((allIdle && ms >= minServeMs + deregisterMs) || ms >= self->m_options.stopLimitMs)
        event_base_loopbreak(self->m_base.get());
}

} // namespace berylspur::standin
