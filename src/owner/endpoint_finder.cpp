// Health check by which a starting node discovers its endpoint.
#include "endpoint_finder.h"

#include "berylspur/core/log.h"

#include <charconv>
#include <utility>

namespace berylspur {

namespace {

constexpr std::uint32_t StatusOk = 200;
/// The next announcement of the endpoint is due by then.
constexpr Duration HealthCheckTimeout = std::chrono::seconds(2);

/// Returns slots of "running,waiting,slots", or 1 if \a load has another format.
std::uint32_t parseSlots(std::string_view load)
{
    const auto comma = load.rfind(',');
    std::uint32_t slots = 0;
    if (comma == std::string_view::npos)
        return 1;
    const auto text = load.substr(comma + 1);
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), slots);
    const bool isNumber = error == std::errc() && end == text.data() + text.size();
    return isNumber && slots > 0 ? slots : 1;
}

} // namespace

std::optional<Announcement> announcementFromHealthCheck(std::uint32_t status,
                                                        const HeaderList &headers,
                                                        const HeaderNames &names,
                                                        const Address &address,
                                                        const std::string &service)
{
    const auto id =
            names.endpointId.empty() ? std::string_view() : headerValue(headers, names.endpointId);
    if (status != StatusOk || id.empty())
        return std::nullopt;
    Announcement announcement;
    announcement.id = id;
    announcement.service = service;
    announcement.address = address;
    announcement.slots = parseSlots(headerValue(headers, names.endpointLoad));
    return announcement;
}

EndpointFinder::EndpointFinder(event_base *base, const Address &address, std::string service,
                               HeaderNames names, std::function<void(const Announcement &)> found)
    : m_client(base, address), m_service(std::move(service)), m_names(std::move(names)),
      m_found(std::move(found)), m_timeout(base, [this] {
          m_call.reset();
          log::info("endpoint-not-found", {{"reason", "health check timed out"}});
      })
{
}

void EndpointFinder::start(const std::string &healthPath)
{
    if (std::exchange(m_started, true))
        return;
    CallRequest request;
    request.method = "GET";
    request.target = healthPath;
    CallHandler handler;
    handler.headers = [this](std::uint32_t status, const HeaderList &headers) {
        m_status = status;
        m_headers = headers;
    };
    handler.data = [](std::string_view) {};
    handler.ended = [this](CallResult end) { ended(end); };
    m_timeout.start(HealthCheckTimeout);
    m_call = m_client.start(request, std::move(handler));
}

void EndpointFinder::ended(CallResult end)
{
    const auto call = std::move(m_call); // keeps the call alive until this callback returns
    m_timeout.stop();
    const auto found =
            announcementFromHealthCheck(end == CallResult::Complete ? m_status : 0, m_headers,
                                        m_names, m_client.address(), m_service);
    if (found)
        m_found(*found);
    else
        log::info("endpoint-not-found", {{"status", m_status}});
}

} // namespace berylspur
