// Timer, messages and waiting requests of customer quotas.
#include "quota_task.h"

#include "berylspur/core/metrics.h"
#include "peer_reply.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace berylspur {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(100);
// Interval at which a gate without limited customers checks whether there are any.
constexpr Duration InactiveInterval = std::chrono::seconds(1);
constexpr Duration NodesInterval = std::chrono::seconds(1);
constexpr Duration ForgetInterval = std::chrono::seconds(60);
constexpr std::size_t CustomersInMetrics = 10;

/// Value of a Prometheus label.
std::string labelValue(const std::string &text)
{
    std::string value;
    for (const char c : text) {
        if (c == '"' || c == '\\')
            value.push_back('\\');
        value.push_back(c);
    }
    return value;
}

} // namespace

void QuotaTask::Ticket::release()
{
    if (!isWaiting())
        return;
    auto *task = std::exchange(m_task, nullptr);
    task->m_client.leave(m_customer);
    const auto found = task->m_waiting.find(m_customer);
    found->second.remove(this);
    if (found->second.empty())
        task->m_waiting.erase(found);
}

QuotaTask::QuotaTask(event_base *base, const MemberTable &members, PeerPool &peers,
                     const CustomerTable &customers)
    : m_members(members), m_peers(peers), m_customers(customers), m_client(BootClock::now()),
      m_timer(base, [this] { onTimer(); })
{
    m_timer.start(InactiveInterval);
}

void QuotaTask::onTimer()
{
    const bool isActive = m_customers.hasLimits();
    m_timer.start(isActive ? TickInterval : InactiveInterval);
    m_client.expire(BootClock::now());
    forgetDeleted(BootClock::now());
    if (isActive)
        poll();
}

void QuotaTask::forgetDeleted(TimePoint now)
{
    if (now < m_nextForget)
        return;
    m_nextForget = now + ForgetInterval;
    std::erase_if(m_counts, [this](const auto &entry) {
        if (m_customers.byName(entry.first))
            return false;
        m_formerCounts.admitted += entry.second.admitted;
        m_formerCounts.refused += entry.second.refused;
        return true;
    });
}

void QuotaTask::updateNodes()
{
    const auto now = BootClock::now();
    if (std::exchange(m_membersVersion, m_members.version()) == m_members.version()
        && now < m_nextUpdate)
        return;
    m_nextUpdate = now + NodesInterval;
    auto reachable = m_members.reachable();
    const auto hasLeft = [this](const std::string &node) {
        const auto *member = m_members.find(node);
        return member && member->status() == schema::MEMBER_LEFT;
    };
    const auto known = m_fleetSize.update(m_members.known(), hasLeft, now);
    // The version also changes with each endpoint.
    if (reachable == m_reachable && known == m_knownNodes)
        return;
    m_reachable = std::move(reachable);
    m_knownNodes = known;
    m_client.setNodes(m_reachable, known);
}

QuotaTask::Decision QuotaTask::request(const schema::Customer &customer, Ticket &ticket,
                                       Resume resume)
{
    updateNodes();
    const auto decision = m_client.request(customer.name(), {customer.rate(), customer.burst()},
                                           BootClock::now());
    count(customer.name(), decision.verdict);
    if (decision.verdict == Verdict::Wait) {
        ticket.m_task = this;
        ticket.m_customer = customer.name();
        ticket.m_resume = std::move(resume);
        m_waiting[ticket.m_customer].push_back(&ticket);
    }
    if (m_client.isDue())
        poll();
    return decision;
}

void QuotaTask::giveUp(Ticket &ticket)
{
    if (!ticket.isWaiting())
        return;
    count(ticket.m_customer, Verdict::Refuse);
    ticket.release();
}

void QuotaTask::poll()
{
    updateNodes();
    for (const auto &outgoing : m_client.poll(BootClock::now()))
        send(outgoing);
    wake();
}

void QuotaTask::send(const QuotaClient::Outgoing &outgoing)
{
    ++m_sent;
    const auto &home = outgoing.home;
    const auto sequence = outgoing.request.sequence();
    const auto *member = m_members.find(home);
    const auto address = member ? Address::parse(member->peer_address())
                                : Result<Address>(failure(ErrorCode::PeerUnreachable));
    if (!address) {
        ++m_failed;
        m_client.onFailed(home, sequence, BootClock::now());
        return;
    }
    const auto failed = [this, home, sequence] {
        ++m_failed;
        m_client.onFailed(home, sequence, BootClock::now());
        wake();
        poll();
    };
    const auto replied = [this, home, sequence, failed](const std::string &envelope,
                                                        const std::string &) {
        schema::CustomerQuotaReply reply;
        if (!reply.ParseFromString(envelope)) {
            failed();
            return;
        }
        m_client.onReply(home, sequence, reply, BootClock::now());
        wake();
        poll();
    };
    auto &channel = m_peers.channel(address.value(), TrafficClass::Short);
    const auto composedAt = BootClock::now();
    channel.start(
            PeerMethod::CustomerQuota,
            [request = outgoing.request, composedAt, &channel](std::uint64_t lastTick) mutable {
                request.set_last_tick(lastTick);
                request.set_tick_held_us(
                        static_cast<std::uint64_t>(channel.timeSinceLastTick().count()));
                request.set_waited_us(
                        static_cast<std::uint64_t>((BootClock::now() - composedAt).count()));
                return request.SerializeAsString();
            },
            {}, collectReply(replied, failed));
}

void QuotaTask::wake()
{
    for (const auto &customer : m_client.takeWoken())
        recheck(customer);
}

void QuotaTask::recheck(const std::string &customer)
{
    const auto found = m_waiting.find(customer);
    if (found == m_waiting.end())
        return;
    // Resumed after the loop, because a resumed request may change the lists.
    std::vector<std::pair<Resume, Decision>> resumed;
    auto &tickets = found->second;
    while (!tickets.empty()) {
        const auto decision = m_client.recheck(customer, BootClock::now());
        if (decision.verdict == Verdict::Wait)
            break;
        auto *ticket = tickets.front();
        tickets.pop_front();
        ticket->m_task = nullptr;
        resumed.emplace_back(std::move(ticket->m_resume), decision);
        count(customer, decision.verdict);
    }
    if (tickets.empty())
        m_waiting.erase(found);
    for (const auto &[resume, decision] : resumed)
        resume(decision);
}

void QuotaTask::count(const std::string &customer, Verdict verdict)
{
    if (verdict == Verdict::Wait)
        return;
    auto &counts = m_counts[customer];
    ++(verdict == Verdict::Admit ? counts.admitted : counts.refused);
}

nlohmann::json QuotaTask::dump() const
{
    std::size_t waiting = 0;
    for (const auto &[customer, tickets] : m_waiting)
        waiting += tickets.size();
    return {{"active", m_customers.hasLimits()},
            {"customers", m_client.size()},
            {"waiting", waiting},
            {"known-nodes", m_knownNodes},
            {"oldest-vote-ms", toMs(m_client.oldestVote(BootClock::now()))},
            {"sent", m_sent},
            {"failed", m_failed}};
}

std::string QuotaTask::metrics() const
{
    std::vector<std::pair<std::string, Counts>> customers(m_counts.begin(), m_counts.end());
    const auto largest = std::min(customers.size(), CustomersInMetrics);
    const auto total = [](const Counts &counts) { return counts.admitted + counts.refused; };
    std::partial_sort(customers.begin(), customers.begin() + static_cast<std::ptrdiff_t>(largest),
                      customers.end(), [&](const auto &left, const auto &right) {
                          return total(left.second) > total(right.second);
                      });
    std::string text;
    const auto add = [&text](const std::string &labels, const Counts &counts) {
        text += prometheusSample("berylspur_gate_quota_admitted_total", labels,
                                 static_cast<double>(counts.admitted));
        text += prometheusSample("berylspur_gate_quota_refused_total", labels,
                                 static_cast<double>(counts.refused));
    };
    Counts rest = m_formerCounts;
    for (std::size_t i = 0; i < customers.size(); ++i) {
        const auto &[name, counts] = customers[i];
        if (i < largest) {
            add("customer=\"" + labelValue(name) + "\"", counts);
            continue;
        }
        rest.admitted += counts.admitted;
        rest.refused += counts.refused;
    }
    add("", rest);
    text += prometheusSample("berylspur_gate_quota_requests_sent_total", "",
                             static_cast<double>(m_sent));
    text += prometheusSample("berylspur_gate_quota_requests_failed_total", "",
                             static_cast<double>(m_failed));
    const std::chrono::duration<double> age = m_client.oldestVote(BootClock::now());
    return text + prometheusSample("berylspur_gate_quota_oldest_vote_seconds", "", age.count());
}

} // namespace berylspur
