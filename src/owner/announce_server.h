// HTTP server that receives announcements from endpoints on this host.
#pragma once

#include "berylspur/core/address.h"
#include "berylspur/core/result.h"
#include "berylspur/owner/announcement.h"

#include <event2/http.h>
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
    ~AnnounceServer();
    AnnounceServer(const AnnounceServer &) = delete;
    AnnounceServer &operator=(const AnnounceServer &) = delete;

    /// Fails with AddressUnusable.
    Result<void> listen(const Address &address);

private:
    static void onRequest(evhttp_request *request, void *self);

    evhttp *m_http;
    std::string m_node;
    Handler m_handler;
};

} // namespace berylspur
