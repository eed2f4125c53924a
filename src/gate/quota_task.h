// Customer quotas at the gate: sends the requests of QuotaClient and resumes the caller requests
// that wait for tokens.
#pragma once

#include "berylspur/core/timer.h"
#include "berylspur/customers/customer_table.h"
#include "berylspur/limits/fleet_size.h"
#include "berylspur/limits/quota_client.h"
#include "berylspur/membership/member_table.h"
#include "berylspur/transport/peer_pool.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylspur {

/// Sends nothing while no customer has a rate.
class QuotaTask
{
public:
    using Verdict = QuotaClient::Verdict;
    using Decision = QuotaClient::Decision;
    /// Called with the decision on a request that waited; never with Verdict::Wait.
    using Resume = std::function<void(const Decision &)>;

    QuotaTask(event_base *base, const MemberTable &members, PeerPool &peers,
              const CustomerTable &customers);
    QuotaTask(const QuotaTask &) = delete;
    QuotaTask &operator=(const QuotaTask &) = delete;

    /// A request that waits. Destroying it gives the request up.
    class Ticket
    {
    public:
        Ticket() = default;
        ~Ticket() { release(); }
        Ticket(const Ticket &) = delete;
        Ticket &operator=(const Ticket &) = delete;
        bool isWaiting() const { return m_task != nullptr; }
        void release();

    private:
        friend class QuotaTask;
        QuotaTask *m_task = nullptr;
        std::string m_customer;
        Resume m_resume;
    };

    /// Decides on a request of \a customer. If it has to wait, \a ticket is registered and \a
    /// resume is called later.
    Decision request(const schema::Customer &customer, Ticket &ticket, Resume resume);

    /// Refuses a request that waited for too long.
    void giveUp(Ticket &ticket);
    nlohmann::json dump() const;
    std::string metrics() const;

private:
    /// Totals of a customer since the process started.
    struct Counts
    {
        std::uint64_t admitted = 0;
        std::uint64_t refused = 0;
    };

    void onTimer();
    void updateNodes();
    void poll();
    void send(const QuotaClient::Outgoing &outgoing);
    void wake();
    void recheck(const std::string &customer);
    void forgetDeleted(TimePoint now);
    void count(const std::string &customer, Verdict verdict);

    const MemberTable &m_members;
    PeerPool &m_peers;
    const CustomerTable &m_customers;
    QuotaClient m_client;
    Timer m_timer;
    std::vector<std::string> m_reachable;
    FleetSize m_fleetSize;
    std::uint32_t m_knownNodes = 0;
    std::uint64_t m_membersVersion = 0;
    TimePoint m_nextUpdate; ///< of the nodes, if the member table does not change before
    /// Invariant: each ticket in it names this task; the oldest comes first.
    std::unordered_map<std::string, std::list<Ticket *>> m_waiting;
    std::map<std::string, Counts> m_counts; ///< by customer
    Counts m_formerCounts; ///< of customers that were deleted
    TimePoint m_nextForget;
    std::uint64_t m_sent = 0;
    std::uint64_t m_failed = 0;
};

} // namespace berylspur
