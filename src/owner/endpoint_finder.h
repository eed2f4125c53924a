// Discovers the endpoint on this host when a node starts while the endpoint is already running.
#pragma once

#include "berylspur/core/http_headers.h"
#include "berylspur/core/timer.h"
#include "berylspur/owner/announcement.h"
#include "endpoint_client.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace berylspur {

/// Builds an announcement from the response to a health check of the endpoint at \a address.
/// Returns nullopt if the status is not 200 or the response has no endpoint id. The start time is
/// unknown. Assumes one slot if the response contains no load.
std::optional<Announcement> announcementFromHealthCheck(std::uint32_t status,
                                                        const HeaderList &headers,
                                                        const HeaderNames &names,
                                                        const Address &address,
                                                        const std::string &service);

/// Sends one health check to the configured address of the endpoint. Without it an endpoint
/// receives no requests between the start of its node and its next announcement.
class EndpointFinder
{
public:
    EndpointFinder(event_base *base, const Address &address, std::string service, HeaderNames names,
                   std::function<void(const Announcement &)> found);

    /// Sends the health check. Only the first call has an effect.
    void start(const std::string &healthPath);
    const std::string &service() const { return m_service; }

private:
    void ended(CallResult end);

    EndpointClient m_client;
    std::string m_service;
    HeaderNames m_names;
    std::function<void(const Announcement &)> m_found;
    Timer m_timeout;
    std::unique_ptr<EndpointCall> m_call;
    std::uint32_t m_status = 0;
    HeaderList m_headers;
    bool m_started = false;
};

} // namespace berylspur
