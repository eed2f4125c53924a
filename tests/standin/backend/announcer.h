// Announcements of an endpoint to the node on its host.
#pragma once

#include "backend_options.h"
#include "berylspur/core/address.h"
#include "execution_log.h"

#include <functional>

namespace berylspur::standin {

/// State of the endpoint that decides whether and what it announces.
struct AnnouncedState
{
    bool isSilent = false; ///< nothing is announced
    bool isDraining = false;
    double coldMs = 0; ///< remaining time of the cold start
};

/// Announces one endpoint periodically and after each change of its state.
class Announcer
{
public:
    using StateSource = std::function<AnnouncedState()>;

    Announcer(event_base *base, const BackendOptions &options, std::string id,
              const Address &listen, ExecutionLog &log, StateSource state);
    Announcer(const Announcer &) = delete;
    Announcer &operator=(const Announcer &) = delete;
    ~Announcer();

    /// Sends the first announcement and starts the periodic ones, if the options name a node.
    void start();
    /// Sends an announcement now, unless the options name no node.
    void announce();
    /// Deregisters the endpoint, if the protocol has such a call. Nothing is announced afterwards.
    void deregister();

private:
    static void onTimer(evutil_socket_t, short, void *self);
    /// Posts \a message to the node. A 2xx response adds \a event to the execution log.
    void postToNode(const std::string &target, const nlohmann::json &message, const char *event);
    void onAcknowledged(const char *event);

    event_base *m_base;
    const BackendOptions &m_options;
    std::string m_id;
    Address m_listen;
    ExecutionLog &m_log;
    StateSource m_state;
    const EndpointProtocol &m_protocol;
    std::int64_t m_startedAtMs;
    std::uint64_t m_sequence = 0;
    bool m_isDeregistered = false;
    bool m_acknowledged = false; ///< a node has acknowledged at least one announcement
    evhttp_connection *m_nodeConnection = nullptr;
    EventPtr m_timer;
    int m_callsInFlight = 0;
};

} // namespace berylspur::standin
