// HTTP server for operators on a local address: state dump, configuration and metrics.
#pragma once

#include "berylspur/core/address.h"
#include "berylspur/core/result.h"

#include <event2/http.h>
#include <functional>
#include <map>
#include <string>

namespace berylspur {

class AdminServer
{
public:
    /// Response body and its content type.
    struct Page
    {
        std::string contentType;
        std::string body;
    };

    explicit AdminServer(event_base *base);
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    /// Registers \a makePage as handler for GET \a path.
    void add(const std::string &path, std::function<Page()> makePage);
    /// Fails with AddressUnusable.
    Result<void> listen(const Address &address);

private:
    static void onRequest(evhttp_request *request, void *self);

    evhttp *m_http;
    std::map<std::string, std::function<Page()>> m_pages;
};

} // namespace berylspur
