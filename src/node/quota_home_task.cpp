// Translation between peer messages and the home of customer quotas.
#include "quota_home_task.h"

#include "berylspur/core/metrics.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace berylspur {

namespace {

constexpr Duration TickInterval = std::chrono::seconds(1);

} // namespace

QuotaHomeTask::QuotaHomeTask(event_base *base, const MemberTable &members,
                             const CustomerTable &customers, double extraBurst)
    : m_members(members), m_customers(customers), m_home(extraBurst, BootClock::now()),
      m_timer(base, [this] { tick(); })
{
    m_timer.start(TickInterval);
}

void QuotaHomeTask::tick()
{
    m_timer.start(TickInterval);
    const auto now = BootClock::now();
    m_home.setFleetSize(static_cast<std::uint32_t>(m_members.known().size()), now);
    m_home.expire(now);
}

void QuotaHomeTask::handle(const std::shared_ptr<PeerRequest> &request)
{
    schema::CustomerQuotaRequest message;
    if (!message.ParseFromString(request->envelope())) {
        request->abort();
        return;
    }
    auto age = request->maxTransitTime(message.last_tick(), Duration(message.tick_held_us()));
    // The bound is Duration::max() if it is not known.
    if (age < QuotaVoteTerm)
        age += Duration(std::min<std::uint64_t>(message.waited_us(), QuotaVoteTerm.count()));
    const auto limitOf = [this](const std::string &name) -> std::optional<RateLimit> {
        const auto *customer = m_customers.byName(name);
        if (!customer)
            return std::nullopt;
        return RateLimit {customer->rate(), customer->burst()};
    };
    const auto &gate = request->peer();
    const auto reply =
            m_home.handle(gate.node, gate.incarnation, message, age, limitOf, BootClock::now());
    request->reply(reply.SerializeAsString());
    request->finish();
}

void QuotaHomeTask::close()
{
    m_home.close(BootClock::now());
}

nlohmann::json QuotaHomeTask::dump()
{
    nlohmann::json shards = nlohmann::json::object();
    std::size_t number = 0;
    for (const auto &shard : m_home.shards(BootClock::now())) {
        const auto key = std::to_string(number++);
        if (shard.votes > 0)
            shards[key] = {
                    {"votes", shard.votes}, {"share", shard.share}, {"customers", shard.buckets}};
    }
    return {{"fleet-size", m_home.fleetSize()}, {"shards", shards}};
}

std::string QuotaHomeTask::metrics()
{
    std::string text;
    std::size_t number = 0;
    for (const auto &shard : m_home.shards(BootClock::now())) {
        const auto label = "shard=\"" + std::to_string(number++) + "\"";
        if (shard.votes == 0)
            continue;
        text += prometheusSample("berylspur_home_quota_votes", label, shard.votes);
        text += prometheusSample("berylspur_home_quota_share", label, shard.share);
    }
    return text;
}

} // namespace berylspur
