// Rate limits under arbitrary interleavings of gates and homes, concurrency shares, choice of
// homes.
#define BOOST_TEST_MODULE limits
#include "berylspur/limits/rate_limiter.h"
#include "property_check.h"

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <functional>
#include <map>
#include <queue>
#include <set>

using namespace berylspur;
using namespace std::chrono_literals;
using berylspur::test::checkProperty;
namespace data = boost::unit_test::data;

namespace {

const TimePoint Start {1000s};
const std::string Key = rateKey("cantar", "clare");

struct FleetSetup
{
    RateLimit limit;
    std::size_t gates = 1;
    std::size_t homes = 1; ///< sides of a partition, each with its own home
    double demand = 0; ///< requests/s at all gates together
    double loss = 0; ///< probability that a message is lost, in each direction
    Duration longestDelay = 3ms; ///< one way
    Duration run = 10s;
    bool switches = false; ///< gates change sides at random
};

/// Simulated gates and homes of one customer, with random delay and loss of messages.
class Fleet
{
public:
    Fleet(const FleetSetup &setup, std::uint64_t seed)
        : m_setup(setup), m_random(seed), m_gates(setup.gates), m_homes(setup.homes),
          m_granted(setup.homes, 0)
    {
    }

    /// Runs the schedule; \a check is called after each event.
    void run(const std::function<void()> &check)
    {
        for (std::size_t gate = 0; gate < m_gates.size(); ++gate)
            m_gates[gate].home = gate % m_homes.size();
        arrive();
        const TimePoint end = Start + m_setup.run;
        while (!m_events.empty() && m_events.top().at < end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
            check();
        }
        m_now = end;
    }

    double elapsed() const { return std::chrono::duration<double>(m_now - Start).count(); }
    /// Number of requests that one home may admit up to now.
    double allowance() const { return m_setup.limit.rate * elapsed() + m_setup.limit.burst; }

    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t messages = 0;
    std::uint64_t granted(std::size_t home) const { return m_granted[home]; }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };
    struct Gate
    {
        RateLimiterClient client;
        std::size_t home = 0;
        std::size_t held = 0; ///< requests that wait for the home's reply
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    Duration delay()
    {
        return Duration(static_cast<std::int64_t>(uniform() * m_setup.longestDelay.count()));
    }
    void after(Duration wait, std::function<void()> action)
    {
        m_events.push({m_now + wait, m_order++, std::move(action)});
    }

    void arrive()
    {
        const double gap = std::exponential_distribution<double>(m_setup.demand)(m_random);
        after(Duration(static_cast<std::int64_t>(gap * 1e6)), [this] {
            const auto gate = static_cast<std::size_t>(uniform() * m_gates.size());
            if (m_setup.switches && uniform() < 0.02)
                m_gates[gate].home = static_cast<std::size_t>(uniform() * m_homes.size());
            if (uniform() < 0.01) {
                m_gates[gate].client.expire(m_now);
                m_homes[m_gates[gate].home].expire(m_now);
            }
            request(gate, false);
            arrive();
        });
    }

    void request(std::size_t index, bool isRecheck)
    {
        Gate &gate = m_gates[index];
        const auto decision = gate.client.request(Key, m_setup.limit, m_now, isRecheck);
        if (decision.verdict == RateLimiterClient::Verdict::Admit)
            ++admitted;
        else if (decision.pending && !isRecheck)
            ++gate.held;
        else
            ++refused;
        if (decision.renew)
            renew(index);
    }

    void renew(std::size_t index)
    {
        ++messages;
        const auto renewal = m_gates[index].client.beginRenewal(Key, m_setup.limit);
        const std::size_t home = m_gates[index].home;
        const Duration there = delay();
        const Duration back = delay();
        const bool lostThere = uniform() < m_setup.loss;
        const bool lostBack = uniform() < m_setup.loss;
        if (lostThere || lostBack) {
            after(2 * m_setup.longestDelay, [this, index, renewal] {
                m_gates[index].client.onRenewalFailed(Key, renewal, m_now);
                repeatHeld(index);
            });
        }
        if (lostThere)
            return;
        after(there, [this, index, home, renewal, back, lostBack] {
            const Lease lease =
                    m_homes[home].grant(Key, m_setup.limit, renewal.used, renewal.wanted, m_now);
            m_granted[home] += lease.tokens;
            if (lostBack)
                return;
            after(back, [this, index, lease] {
                m_gates[index].client.onGranted(Key, lease, m_now);
                repeatHeld(index);
            });
        });
    }

    void repeatHeld(std::size_t index)
    {
        const std::size_t held = std::exchange(m_gates[index].held, 0);
        for (std::size_t i = 0; i < held; ++i) {
            // Still no reply: the request waits for the next one.
            if (m_gates[index].client.request(Key, m_setup.limit, m_now, true).verdict
                == RateLimiterClient::Verdict::Admit)
                ++admitted;
            else
                ++refused;
        }
    }

    FleetSetup m_setup;
    Random m_random;
    TimePoint m_now = Start;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    std::vector<Gate> m_gates;
    std::vector<RateLimiterHome> m_homes;
    std::vector<std::uint64_t> m_granted;
};

FleetSetup drawSetup()
{
    FleetSetup setup;
    setup.limit.rate = *rc::gen::inRange(1U, 60U);
    setup.limit.burst = *rc::gen::inRange(1U, 60U);
    setup.gates = *rc::gen::inRange<std::size_t>(1, 20);
    setup.demand = *rc::gen::inRange(1, 400);
    setup.loss = *rc::gen::element(0.0, 0.05, 0.5);
    setup.longestDelay = *rc::gen::element<Duration>(1ms, 20ms, 400ms);
    return setup;
}

} // namespace

BOOST_AUTO_TEST_SUITE(rate)

// Guards against gates that together admit more than the rate of a customer (invariant 9).
BOOST_AUTO_TEST_CASE(one_home_bounds_all_gates)
{
    checkProperty(1000, [] {
        const FleetSetup setup = drawSetup();
        Fleet fleet(setup, *rc::gen::arbitrary<std::uint64_t>());
        fleet.run([&] {
            RC_ASSERT(fleet.granted(0) <= fleet.allowance());
            RC_ASSERT(fleet.admitted
                      <= fleet.allowance() + setup.gates * RateLimiterClient::Credit);
        });
    });
}

// Guards against a larger overshoot during a partition than specified: k sides may admit k times
// the rate plus one credit per gate, also when gates change sides.
BOOST_AUTO_TEST_CASE(partition_admits_at_most_once_per_side)
{
    checkProperty(1000, [] {
        FleetSetup setup = drawSetup();
        setup.homes = *rc::gen::inRange<std::size_t>(2, 5);
        setup.switches = *rc::gen::arbitrary<bool>();
        Fleet fleet(setup, *rc::gen::arbitrary<std::uint64_t>());
        fleet.run([&] {
            for (std::size_t home = 0; home < setup.homes; ++home)
                RC_ASSERT(fleet.granted(home) <= fleet.allowance());
            RC_ASSERT(fleet.admitted
                      <= setup.homes * fleet.allowance() + setup.gates * RateLimiterClient::Credit);
        });
    });
}

// Guards against unlimited admission while the home is unreachable.
BOOST_AUTO_TEST_CASE(unreachable_home_leaves_one_credit_per_gate)
{
    FleetSetup setup;
    setup.limit = {50, 50};
    setup.gates = 10;
    setup.demand = 500;
    setup.loss = 1;
    Fleet fleet(setup, 1);
    fleet.run([] {});
    BOOST_TEST(fleet.admitted == 10U);
}

// Guards against tokens that expire unused in leases, which would reduce the customer's rate.
BOOST_DATA_TEST_CASE(demand_above_the_rate_is_served_at_the_rate,
                     data::make({1, 4, 20, 100}) * data::make({20, 200, 1000}), gates, rate)
{
    FleetSetup setup;
    setup.limit = {static_cast<std::uint32_t>(rate), static_cast<std::uint32_t>(rate)};
    setup.gates = static_cast<std::size_t>(gates);
    setup.demand = 3.0 * rate;
    Fleet fleet(setup, 7);
    fleet.run([] {});
    const double share = static_cast<double>(fleet.admitted) / fleet.allowance();
    BOOST_TEST_MESSAGE("gates " << gates << " rate " << rate << ": " << share << " of the rate, "
                                << fleet.messages << " messages");
    BOOST_TEST(share >= 0.9);
}

// Guards against refusals of a customer that stays below its rate.
BOOST_DATA_TEST_CASE(demand_below_the_rate_is_served,
                     data::make({1, 4, 20, 100}) * data::make({20, 200, 1000}), gates, rate)
{
    FleetSetup setup;
    setup.limit = {static_cast<std::uint32_t>(rate), static_cast<std::uint32_t>(rate)};
    setup.gates = static_cast<std::size_t>(gates);
    setup.demand = 0.5 * rate;
    Fleet fleet(setup, 7);
    fleet.run([] {});
    BOOST_TEST_MESSAGE("gates " << gates << " rate " << rate << ": refused " << fleet.refused
                                << " of " << fleet.refused + fleet.admitted << ", "
                                << fleet.messages << " messages");
    BOOST_TEST(fleet.refused <= 0.01 * static_cast<double>(fleet.admitted));
}

// Guards against credit that is never charged to the bucket.
BOOST_AUTO_TEST_CASE(credit_is_repaid)
{
    RateLimiterHome home;
    const RateLimit limit {10, 5};
    BOOST_TEST(home.grant(Key, limit, 1, 10, Start).tokens == 4U);
    // Three gates admitted one request each on credit: 300 ms worth of tokens are owed.
    for (int i = 0; i < 3; ++i)
        BOOST_TEST(home.grant(Key, limit, 1, 10, Start).tokens == 0U);
    const Lease empty = home.grant(Key, limit, 0, 10, Start);
    BOOST_TEST(empty.tokens == 0U);
    BOOST_TEST(empty.retryAfter.count() == 400000);
    BOOST_TEST(home.grant(Key, limit, 0, 1, Start + 400ms - 1us).tokens == 0U);
    BOOST_TEST(home.grant(Key, limit, 0, 2, Start + 400ms).tokens == 1U);
}

// Guards against a second request on credit before the home replies, and against credit that is
// charged twice.
BOOST_AUTO_TEST_CASE(one_credit_until_the_answer)
{
    RateLimiterClient client;
    const RateLimit limit {10, 10};
    const auto first = client.request(Key, limit, Start);
    BOOST_TEST((first.verdict == RateLimiterClient::Verdict::Admit && first.renew));
    const auto renewal = client.beginRenewal(Key, limit);
    BOOST_TEST(renewal.used == 1U);
    const auto second = client.request(Key, limit, Start + 1ms);
    BOOST_TEST((second.verdict == RateLimiterClient::Verdict::Refuse && second.pending));
    BOOST_TEST(!second.renew);
    client.onRenewalFailed(Key, renewal, Start + 2ms);
    const auto third = client.request(Key, limit, Start + 200ms);
    BOOST_TEST((third.verdict == RateLimiterClient::Verdict::Refuse && third.renew));
    BOOST_TEST(client.beginRenewal(Key, limit).used == 1U);
    client.onGranted(Key, {0, 0s}, Start + 201ms);
    BOOST_TEST(client.beginRenewal(Key, limit).used == 0U);
}

// Guards against a gate that uses tokens after their lease has expired, when the home counts them
// as lost.
BOOST_AUTO_TEST_CASE(lease_ends)
{
    RateLimiterClient client;
    const RateLimit limit {10, 10};
    client.request(Key, limit, Start);
    client.beginRenewal(Key, limit);
    client.onGranted(Key, {5, 2s}, Start);
    BOOST_TEST((client.request(Key, limit, Start + 999ms).verdict
                == RateLimiterClient::Verdict::Admit));
    const auto late = client.request(Key, limit, Start + 1s);
    BOOST_TEST((late.verdict == RateLimiterClient::Verdict::Refuse));
    BOOST_TEST(late.retryAfter.count() == 1000000);
}

// Guards against a limit where the manifest sets none.
BOOST_AUTO_TEST_CASE(no_rate_is_no_limit)
{
    RateLimiterClient client;
    for (int i = 0; i < 1000; ++i)
        BOOST_TEST((client.request(Key, {}, Start).verdict == RateLimiterClient::Verdict::Admit));
    BOOST_TEST(client.size() == 0U);
    BOOST_TEST(RateLimiterHome().grant(Key, {}, 0, 7, Start).tokens == 7U);
}

// Guards against an integer overflow after days without a request, and against tokens kept from an
// earlier, larger limit.
BOOST_AUTO_TEST_CASE(long_idle_and_changed_limit)
{
    RateLimiterHome home;
    BOOST_TEST(home.grant(Key, {1000000, 1000000}, 0, 2000000, Start).tokens == 1000000U);
    const TimePoint later = Start + std::chrono::hours(24 * 400);
    BOOST_TEST(home.grant(Key, {1000000, 1000000}, 0, 2000000, later).tokens == 1000000U);
    BOOST_TEST(home.grant(Key, {10, 10}, 0, 100, later + 1s).tokens == 10U);
}

// Guards against memory growth with each customer ever seen, and against owed credit that is lost
// when the bucket or the account expires.
BOOST_AUTO_TEST_CASE(expire_removes_settled_entries_only)
{
    RateLimiterHome home;
    home.grant(Key, {10, 10}, 0, 5, Start);
    home.expire(Start + 499ms);
    BOOST_TEST(home.size() == 1U);
    home.expire(Start + 500ms);
    BOOST_TEST(home.size() == 0U);

    RateLimiterClient client;
    client.request("settled", {10, 10}, Start);
    client.beginRenewal("settled", {10, 10});
    client.onGranted("settled", {}, Start);
    client.request("owing", {10, 10}, Start);
    client.expire(Start + 10s);
    BOOST_TEST(client.size() == 1U);
    client.expire(Start + 300s);
    BOOST_TEST(client.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(concurrency)

// Guards against owners that together exceed the concurrency limit, whatever their number of
// endpoints.
BOOST_AUTO_TEST_CASE(shares_add_up_to_the_limit)
{
    checkProperty(2000, [] {
        const auto limit = *rc::gen::inRange(1U, 500U);
        const auto owners =
                *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(0U, 6U));
        std::uint32_t declared = *rc::gen::inRange(0U, 10U);
        for (const std::uint32_t own : owners)
            declared += own;
        std::uint64_t sum = 0;
        for (const std::uint32_t own : owners) {
            const std::uint32_t share = concurrencyShare(limit, own, declared);
            RC_ASSERT(share >= own);
            sum += share;
        }
        RC_ASSERT(sum <= std::max(limit, declared));
    });
}

struct ShareCase
{
    std::uint32_t limit, own, declared, share;
};
std::ostream &operator<<(std::ostream &out, const ShareCase &row)
{
    return out << row.limit << ' ' << row.own << ' ' << row.declared;
}
const std::vector<ShareCase> ShareCases {{0, 1, 8, 4294967295U}, {32, 1, 8, 4}, {33, 1, 8, 4},
                                         {33, 2, 8, 8},          {3, 1, 8, 1},  {3, 2, 8, 2},
                                         {8, 0, 8, 0},           {8, 0, 0, 0},  {8, 3, 0, 8}};

BOOST_DATA_TEST_CASE(share_table, data::make(ShareCases), row)
{
    BOOST_TEST(concurrencyShare(row.limit, row.own, row.declared) == row.share);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(placement)

// Guards against gates with the same view that choose different homes, and against a change of the
// node set that moves customers between the remaining nodes.
BOOST_AUTO_TEST_CASE(only_customers_of_a_lost_node_move)
{
    checkProperty(500, [] {
        std::vector<std::string> nodes;
        const int count = *rc::gen::inRange(1, 30);
        for (int i = 0; i < count; ++i)
            nodes.push_back("node-" + std::to_string(i));
        const auto key = *rc::gen::arbitrary<std::string>();
        const std::string home = rendezvousNode(key, nodes);
        Random random(*rc::gen::arbitrary<std::uint64_t>());
        std::shuffle(nodes.begin(), nodes.end(), random);
        RC_ASSERT(rendezvousNode(key, nodes) == home);
        const std::string lost = nodes.back();
        nodes.pop_back();
        RC_ASSERT(lost == home || rendezvousNode(key, nodes) == home);
    });
    BOOST_TEST(rendezvousNode("key", {}).empty());
}

// Guards against a difference between the optimized computation and rendezvousWeight().
BOOST_AUTO_TEST_CASE(node_with_the_highest_weight_wins)
{
    checkProperty(500, [] {
        const auto nodes = *rc::gen::nonEmpty<std::vector<std::string>>();
        const auto key = *rc::gen::arbitrary<std::string>();
        const auto weight = rendezvousWeight(key, rendezvousNode(key, nodes));
        for (const std::string &node : nodes)
            RC_ASSERT(rendezvousWeight(key, node) <= weight);
    });
}

// Guards against key collisions, by which one customer would spend the tokens of another.
BOOST_AUTO_TEST_CASE(keys_differ)
{
    BOOST_TEST(rateKey("a", "b/c") != rateKey("a-b", "c"));
    BOOST_TEST(rateKey("a", "") != rateKey("", "a"));
    std::string reused;
    rateKey("s", "c", reused);
    BOOST_TEST(reused == rateKey("s", "c"));
}

BOOST_AUTO_TEST_SUITE_END()
