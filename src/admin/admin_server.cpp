// Request routing of the admin HTTP server.
#include "berylspur/admin/admin_server.h"

#include <event2/buffer.h>
#include <event2/event.h>

namespace berylspur {

namespace {

constexpr ev_ssize_t MaxHeadBytes = 16 << 10;
constexpr ev_ssize_t MaxBodyBytes = 16 << 10;

} // namespace

AdminServer::AdminServer(event_base *base) : m_http(evhttp_new(base))
{
    evhttp_set_max_headers_size(m_http, MaxHeadBytes);
    evhttp_set_max_body_size(m_http, MaxBodyBytes);
    evhttp_set_allowed_methods(m_http, EVHTTP_REQ_GET);
    evhttp_set_gencb(m_http, onRequest, this);
}

AdminServer::~AdminServer()
{
    evhttp_free(m_http);
}

void AdminServer::add(const std::string &path, std::function<Page()> makePage)
{
    m_pages[path] = std::move(makePage);
}

Result<void> AdminServer::listen(const Address &address)
{
    if (evhttp_bind_socket(m_http, address.ip.c_str(), address.port) != 0)
        return failure(ErrorCode::AddressUnusable, "admin address " + address.toString());
    return success();
}

void AdminServer::onRequest(evhttp_request *request, void *self)
{
    auto *server = static_cast<AdminServer *>(self);
    const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
    const auto found = server->m_pages.find(path ? path : "");
    if (found == server->m_pages.end()) {
        evhttp_send_error(request, HTTP_NOTFOUND, nullptr);
        return;
    }
    const auto page = found->second();
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                      page.contentType.c_str());
    auto *buffer = evbuffer_new();
    evbuffer_add(buffer, page.body.data(), page.body.size());
    evhttp_send_reply(request, HTTP_OK, "OK", buffer);
    evbuffer_free(buffer);
}

} // namespace berylspur
