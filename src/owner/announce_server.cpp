// HTTP server for POST /announce, and the parser of its JSON body.
#include "announce_server.h"

#include "berylspur/core/enum_table.h"
#include "berylspur/core/json_number.h"
#include "berylspur/core/log.h"
#include "berylspur/core/text_escape.h"
#include "berylspur/http/request_refusal.h"

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

constexpr std::string_view AnnouncePath = "/announce";

void refuse(CallerRequest &request, const Error &error)
{
    const auto reason = describe(error);
    log::warn("announcement-refused", {{"reason", reason}});
    refuseInvalidRequest(request, error, reason);
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
        const auto slots = unsignedNumber(parsed.at("slots"), MaxSlots);
        const auto readiness = enumValue(ReadinessNames, parsed.at("state").get<std::string>());
        auto address = Address::parse(parsed.at("address").get<std::string>());
        if (!address)
            return failure(address.error().code, address.error().detail);
        if (!readiness || announcement.id.empty() || slots.value_or(0) == 0)
            return failure(ErrorCode::RequestMalformed, "announcement has a value out of range");
        announcement.slots = static_cast<std::uint32_t>(*slots);
        announcement.address = address.value();
        announcement.readiness = *readiness;
        return announcement;
    } catch (const nlohmann::json::exception &error) {
        return failure(ErrorCode::RequestMalformed, error.what());
    }
}

AnnounceServer::AnnounceServer(event_base *base, std::string node, Handler handler)
    : m_node(std::move(node)), m_handler(std::move(handler)),
      m_http(base, [this](const auto &request) { handle(*request); })
{
    CallerLimits limits;
    limits.maxBodyBytes = MaxAnnouncementBytes;
    m_http.setLimits(limits);
}

Result<void> AnnounceServer::listen(const Address &address)
{
    return m_http.listen(address);
}

void AnnounceServer::handle(CallerRequest &request) const
{
    constexpr std::uint32_t StatusOk = 200;
    if (const auto checked = request.checkIgnoringHost(); !checked)
        return refuse(request, checked.error());
    if (request.target() != AnnouncePath)
        return refuse(request,
                      {ErrorCode::RequestUnknownRoute, "expected " + std::string(AnnouncePath)});
    const auto announcement = parseAnnouncement(std::string(request.takeBody().bytes()));
    if (!announcement)
        return refuse(request, announcement.error());
    m_handler(announcement.value());
    request.respond(StatusOk, {{"Content-Type", "application/json"}}, jsonText({{"node", m_node}}));
}

} // namespace berylspur
