// Customer quotas over real connections: gates and homes of several nodes in one event loop.
#define BOOST_TEST_MODULE quota_task
#include "../src/gate/quota_task.h"
#include "../src/node/quota_home_task.h"
#include "loop.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

using namespace berylspur;
using namespace std::chrono_literals;

namespace {

schema::MemberRecord record(const std::string &node, const Address &address)
{
    schema::MemberRecord record;
    record.set_node(node);
    record.set_incarnation(1);
    record.set_sequence(1);
    record.set_peer_address(address.toString());
    return record;
}

struct QuotaNode
{
    QuotaNode(event_base *base, const std::string &name, const Address &address)
        : identity {"fleet", name, 1}, members(record(name, address)), peers(base, identity),
          gate(base, members, peers, customers), home(base, members, customers, 10),
          server(std::move(PeerServer::listen(base, address, identity,
                                              [this](const std::shared_ptr<PeerRequest> &request) {
                                                  home.handle(request);
                                              })
                                   .value()))
    {
    }

    void setCustomer(std::uint32_t rate)
    {
        schema::CustomerShard shard;
        shard.set_number(customerShard("bozi"));
        auto *customer = shard.add_customers();
        customer->set_name("bozi");
        customer->set_rate(rate);
        customers.update(shard);
    }
    std::uint32_t votes()
    {
        const auto shards = home.dump()["shards"];
        const auto shard = std::to_string(quotaShard("bozi"));
        return shards.contains(shard) ? shards[shard]["votes"].get<std::uint32_t>() : 0;
    }

    PeerIdentity identity;
    MemberTable members;
    PeerPool peers;
    CustomerTable customers;
    QuotaTask gate;
    QuotaHomeTask home;
    std::unique_ptr<PeerServer> server;
};

struct Fixture
{
    explicit Fixture(std::size_t count)
    {
        std::vector<schema::MemberRecord> records;
        for (std::size_t i = 0; i < count; ++i) {
            const auto name = "node-" + std::to_string(i);
            const auto address = freeAddress();
            records.push_back(record(name, address));
            nodes.push_back(std::make_unique<QuotaNode>(loop.base, name, address));
        }
        for (auto &node : nodes) {
            for (const auto &other : records)
                node->members.merge(other, BootClock::now());
        }
    }
    /// The node with the votes of all nodes; nullptr if there is none.
    QuotaNode *home()
    {
        const auto found = std::find_if(nodes.begin(), nodes.end(), [this](const auto &node) {
            return node->votes() == nodes.size();
        });
        return found == nodes.end() ? nullptr : found->get();
    }
    /// Number of \a count requests at \a node that are admitted.
    int admitted(QuotaNode &node, int count)
    {
        int admitted = 0;
        int decided = 0;
        const auto apply = [&](const QuotaTask::Decision &decision) {
            ++decided;
            admitted += decision.verdict == QuotaTask::Verdict::Admit ? 1 : 0;
        };
        std::vector<std::unique_ptr<QuotaTask::Ticket>> tickets;
        for (int i = 0; i < count; ++i) {
            tickets.push_back(std::make_unique<QuotaTask::Ticket>());
            const auto decision =
                    node.gate.request(*node.customers.byName("bozi"), *tickets.back(), apply);
            if (decision.verdict != QuotaTask::Verdict::Wait)
                apply(decision);
        }
        BOOST_TEST(loop.runUntil([&] { return decided == count; }));
        return admitted;
    }

    Loop loop;
    std::vector<std::unique_ptr<QuotaNode>> nodes;
};

} // namespace

// Guards against messages in deployments without customers that have a rate.
BOOST_AUTO_TEST_CASE(nothing_is_sent_without_limits)
{
    Fixture fleet(3);
    for (auto &node : fleet.nodes)
        node->setCustomer(0);
    const auto end = BootClock::now() + 3s;
    fleet.loop.runUntil([&] { return BootClock::now() >= end; });
    for (const auto &node : fleet.nodes) {
        BOOST_TEST(node->gate.dump()["sent"] == 0);
        BOOST_TEST(node->peers.size() == 0U);
    }
}

// Guards against tokens of one customer that are counted per gate, and against a bound of the age
// that makes homes drop requests on real connections.
BOOST_AUTO_TEST_CASE(gates_share_one_bucket)
{
    Fixture fleet(5);
    for (auto &node : fleet.nodes)
        node->setCustomer(1);
    // The bucket holds the burst, equal to the rate, and the extra of 10; it fills 1/s.
    BOOST_TEST(fleet.loop.runUntil([&] { return fleet.home() != nullptr; }));
    const auto filled = BootClock::now() + 2s;
    fleet.loop.runUntil([&] { return BootClock::now() >= filled; });
    int admitted = 0;
    for (auto &node : fleet.nodes)
        admitted += fleet.admitted(*node, 20);
    BOOST_TEST(admitted >= 1);
    BOOST_TEST(admitted <= 11);
}

// Guards against votes that stay with a stopping home until they end.
BOOST_AUTO_TEST_CASE(votes_leave_a_stopping_home_at_once)
{
    Fixture fleet(5);
    for (auto &node : fleet.nodes)
        node->setCustomer(100);
    BOOST_TEST(fleet.loop.runUntil([&] { return fleet.home() != nullptr; }));
    auto *stopping = fleet.home();
    stopping->home.close();
    BOOST_TEST(fleet.loop.runUntil([&] { return fleet.home() != nullptr; }));
    BOOST_TEST(fleet.home() != stopping);
}

// Guards against a ticket of a request that has ended.
BOOST_AUTO_TEST_CASE(abandoned_request_is_not_resumed)
{
    Fixture fleet(2);
    for (auto &node : fleet.nodes)
        node->setCustomer(100);
    auto &gate = fleet.nodes[0]->gate;
    {
        QuotaTask::Ticket ticket;
        const auto decision =
                gate.request(*fleet.nodes[0]->customers.byName("bozi"), ticket,
                             [](const auto &) { BOOST_ERROR("an ended request was resumed"); });
        BOOST_TEST((decision.verdict == QuotaTask::Verdict::Wait));
        BOOST_TEST(gate.dump()["waiting"] == 1);
    }
    BOOST_TEST(gate.dump()["waiting"] == 0);
    BOOST_TEST(fleet.loop.runUntil([&] { return fleet.home() != nullptr; }));
}
