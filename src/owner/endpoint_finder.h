// Asks the endpoint on this host who it is, for a node that starts while the endpoint is at work.
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

/// What the response to a health check says about the endpoint at \a address; nothing if the
/// endpoint is not healthy, is leaving, or does not name itself. The start of the endpoint stays
/// unknown. One slot is assumed where the response states no load.
std::optional<Announcement> announcementOf(std::uint32_t status, const HeaderList &headers,
                                           const HttpNames &names, const Address &address,
                                           const std::string &service);

/// One health check at the endpoint's known address. Without it an endpoint gets no work between
/// the start of its node and its next announcement.
class EndpointFinder
{
public:
    EndpointFinder(event_base *base, const Address &address, std::string service, HttpNames names,
                   std::function<void(const Announcement &)> found);

    /// Sends the health check; calls after the first do nothing.
    void start(const std::string &healthPath);
    const std::string &service() const { return m_service; }

private:
    void ended(CallEnd end);

    EndpointClient m_client;
    std::string m_service;
    HttpNames m_names;
    std::function<void(const Announcement &)> m_found;
    Timer m_limit;
    std::unique_ptr<EndpointCall> m_call;
    std::uint32_t m_status = 0;
    HeaderList m_headers;
    bool m_started = false;
};

} // namespace berylspur
