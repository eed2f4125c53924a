// Posts announcements and deregistrations to the node on the host of the endpoint.
#include "announcer.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace berylspur::standin {

Announcer::Announcer(event_base *base, const BackendOptions &options, std::string id,
                     const Address &listen, ExecutionLog &log, StateSource state)
    : m_base(base), m_options(options), m_id(std::move(id)), m_listen(listen), m_log(log),
      m_state(std::move(state)), m_protocol(protocolOf(options.protocol)), m_startedAtMs(unixMs())
{
}

Announcer::~Announcer()
{
    if (m_nodeConnection)
        evhttp_connection_free(m_nodeConnection);
}

void Announcer::start()
{
    if (m_options.announce.empty())
        return;
    m_timer.reset(event_new(m_base, -1, EV_PERSIST, &Announcer::onTimer, this));
    constexpr int UnacknowledgedIntervalMs = 500; // until a node acknowledges the endpoint
    const timeval interval = toTimeval(std::min(UnacknowledgedIntervalMs, m_options.announceMs));
    event_add(m_timer.get(), &interval);
    announce();
}

void Announcer::deregister()
{
    if (!m_protocol.deregisterTarget.empty() && !std::exchange(m_isDeregistered, true))
        postToNode(m_protocol.deregisterTarget + m_id, {{"born", m_startedAtMs}}, "withdraw-acked");
}

void Announcer::onTimer(evutil_socket_t, short, void *self)
{
    static_cast<Announcer *>(self)->announce();
}

void Announcer::announce()
{
    // Keeps announcements from accumulating while the node is paused.
    constexpr int MaxCallsInFlight = 2;
    const auto state = m_state();
    if (m_options.announce.empty() || state.isSilent || m_isDeregistered
        || m_callsInFlight >= MaxCallsInFlight)
        return;
    const EndpointInfo self {
            m_id,         m_options.service, m_listen.toString(), m_options.slots, state.isDraining,
            state.coldMs, m_startedAtMs,     ++m_sequence};
    postToNode(m_protocol.announceTarget + (m_protocol.idInTarget ? m_id : std::string()),
               m_protocol.announcement(self), state.isDraining ? "drain-acked" : nullptr);
}

void Announcer::postToNode(const std::string &target, const nlohmann::json &message,
                           const char *event)
{
    struct Call
    {
        Announcer *announcer;
        const char *event;
    };
    ++m_callsInFlight;
    const auto node = Address::parse(m_options.announce).value();
    if (!m_nodeConnection) {
        m_nodeConnection = evhttp_connection_base_new(m_base, nullptr, node.ip.c_str(), node.port);
        evhttp_connection_set_timeout(m_nodeConnection, 2);
    }
    evhttp_request *request = evhttp_request_new(
            [](evhttp_request *response, void *context) {
                const std::unique_ptr<Call> call(static_cast<Call *>(context));
                --call->announcer->m_callsInFlight;
                if (response && evhttp_request_get_response_code(response) / 100 == 2)
                    call->announcer->onAcknowledged(call->event);
            },
            new Call {this, event});
    evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", m_options.announce.c_str());
    evhttp_add_header(headers, "Content-Type", "application/json");
    const std::string text = message.dump();
    evbuffer_add(evhttp_request_get_output_buffer(request), text.data(), text.size());
    evhttp_make_request(m_nodeConnection, request, EVHTTP_REQ_POST, target.c_str());
}

void Announcer::onAcknowledged(const char *event)
{
    // Only the platform protocol promises that no new work arrives after the acknowledgement.
    if (event && !m_protocol.deregisterTarget.empty())
        m_log.recordEvent(event, "", "");
    if (std::exchange(m_acknowledged, true))
        return;
    const timeval interval = toTimeval(m_options.announceMs);
    event_add(m_timer.get(), &interval);
}

} // namespace berylspur::standin
