// HTTP server for POST /announce, and the parser of its JSON body.
#include "announce_server.h"

#include "berylspur/core/enum_table.h"

#include <event2/buffer.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace berylspur {

namespace {

constexpr EnumTable<EndpointReadiness, 3> ReadinessNames {{
        {EndpointReadiness::Ready, "ready"},
        {EndpointReadiness::Cold, "cold"},
        {EndpointReadiness::Draining, "draining"},
}};
constexpr std::size_t MaxAnnouncementBytes = 4096;
constexpr std::uint32_t MaxSlots = 1000;

std::string readBody(evhttp_request *request)
{
    auto *buffer = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, body.data(), body.size());
    return body;
}

} // namespace

Result<Announcement> parseAnnouncement(const std::string &json)
{
    const auto parsed = nlohmann::json::parse(json, nullptr, false);
    if (!parsed.is_object())
        return failure(ErrorCode::RequestMalformed, "announcement is not a JSON object");
    try {
        Announcement announcement;
        announcement.id = parsed.at("id").get<std::string>();
        announcement.service = parsed.at("service").get<std::string>();
        announcement.slots = parsed.at("slots").get<std::uint32_t>();
        const auto readiness = enumValue(ReadinessNames, parsed.at("state").get<std::string>());
        auto address = Address::parse(parsed.at("address").get<std::string>());
        if (!address)
            return failure(address.error().code, address.error().detail);
        if (!readiness || announcement.id.empty() || announcement.slots == 0
            || announcement.slots > MaxSlots)
            return failure(ErrorCode::RequestMalformed, "announcement has a value out of range");
        announcement.address = address.value();
        announcement.readiness = *readiness;
        return announcement;
    } catch (const nlohmann::json::exception &error) {
        return failure(ErrorCode::RequestMalformed, error.what());
    }
}

AnnounceServer::AnnounceServer(event_base *base, std::string node, Handler handler)
    : m_http(evhttp_new(base)), m_node(std::move(node)), m_handler(std::move(handler))
{
    evhttp_set_max_body_size(m_http, MaxAnnouncementBytes);
    evhttp_set_cb(m_http, "/announce", onRequest, this);
}

AnnounceServer::~AnnounceServer()
{
    evhttp_free(m_http);
}

Result<void> AnnounceServer::listen(const Address &address)
{
    if (evhttp_bind_socket(m_http, address.ip.c_str(), address.port) != 0)
        return failure(ErrorCode::AddressUnusable, "announce address " + address.toString());
    return success();
}

void AnnounceServer::onRequest(evhttp_request *request, void *self)
{
    auto *server = static_cast<AnnounceServer *>(self);
    const auto announcement = parseAnnouncement(readBody(request));
    if (!announcement) {
        evhttp_send_error(request, HTTP_BADREQUEST, describe(announcement.error()).c_str());
        return;
    }
    server->m_handler(announcement.value());
    auto *reply = evbuffer_new();
    const auto text = nlohmann::json {{"node", server->m_node}}.dump();
    evbuffer_add(reply, text.data(), text.size());
    evhttp_send_reply(request, HTTP_OK, "OK", reply);
    evbuffer_free(reply);
}

} // namespace berylspur
