// HTTP server that receives announcements from endpoints on this host.
#pragma once

#include "berylspur/core/address.h"
#include "berylspur/core/result.h"
#include "berylspur/http/caller_server.h"
#include "berylspur/owner/announcement.h"

#include <event2/event.h>
#include <functional>
#include <string>

namespace berylspur {

/// Parses the JSON body of POST /announce. Fails with RequestMalformed.
Result<Announcement> parseAnnouncement(const std::string &json);

class AnnounceServer
{
public:
    using Handler = std::function<void(const Announcement &)>;

    AnnounceServer(event_base *base, std::string node, Handler handler);
    AnnounceServer(const AnnounceServer &) = delete;
    AnnounceServer &operator=(const AnnounceServer &) = delete;

    /// Fails with AddressUnusable.
    Result<void> listen(const Address &address);

private:
    void handle(CallerRequest &request) const;

    std::string m_node;
    Handler m_handler;
    CallerServer m_http;
};

} // namespace berylspur
