// Customer quotas: the limit holds over the whole fleet under any faults, and requests within it
// are served.
#define BOOST_TEST_MODULE quota
#include "berylspur/limits/fleet_size.h"
#include "property_check.h"
#include "quota_fleet.h"

#include <boost/test/data/test_case.hpp>

using namespace berylspur;
using namespace berylspur::test;
namespace data = boost::unit_test::data;

namespace {

const TimePoint Start {1000s};

enum class Fault { None, Split, KillHome, KillMany, KillAll, Views, Messages, Pause, All };

struct FaultCase
{
    const char *name;
    Fault fault;
};
std::ostream &operator<<(std::ostream &out, const FaultCase &row)
{
    return out << row.name;
}
const std::vector<FaultCase> FaultCases {{"none", Fault::None},
                                         {"partition", Fault::Split},
                                         {"home killed", Fault::KillHome},
                                         {"many killed", Fault::KillMany},
                                         {"all killed", Fault::KillAll},
                                         {"homes move", Fault::Views},
                                         {"messages", Fault::Messages},
                                         {"pauses", Fault::Pause},
                                         {"all faults", Fault::All}};

constexpr int SchedulesPerCase = 150;

QuotaSetup drawSetup(Random &random, Fault fault)
{
    const auto below = [&random](std::uint32_t limit) {
        return static_cast<std::uint32_t>(random() % limit);
    };
    QuotaSetup setup;
    setup.nodes = 2 + below(12);
    for (int i = 0; i < 3; ++i) {
        const RateLimit limit {1 + below(120), 1 + below(150)};
        const double load = below(2) == 0 ? 1.0 : 7.0;
        setup.customers.push_back(
                {"customer-" + std::to_string(below(1000)) + '-' + std::to_string(i), limit,
                 load * limit.rate, below(2) == 0 ? 0.0 : 0.9});
    }
    setup.longestDelay = below(2) == 0 ? Duration(5ms) : Duration(200ms);
    if (fault == Fault::Messages || fault == Fault::All) {
        setup.loss = 0.05 * below(5);
        setup.doubled = 0.1;
        setup.late = 0.1;
    }
    return setup;
}

void inject(QuotaFleet &fleet, Fault fault, std::size_t nodes)
{
    const auto time = [&fleet](double longest) {
        return Duration(static_cast<std::int64_t>(fleet.uniform() * longest * 1e6));
    };
    switch (fault) {
    case Fault::None:
    case Fault::Messages:
        break;
    case Fault::Split:
        fleet.split(1 + static_cast<std::size_t>(fleet.uniform() * 4));
        break;
    case Fault::KillHome:
        fleet.kill(fleet.homeOf(0), time(3));
        break;
    case Fault::KillMany:
        for (std::size_t i = 0; i < nodes / 2; ++i)
            fleet.kill(fleet.pickNode(), time(4));
        break;
    case Fault::KillAll:
        for (std::size_t i = 0; i < nodes; ++i)
            fleet.kill(i, time(1));
        break;
    case Fault::Views:
        fleet.disturbViews();
        break;
    case Fault::Pause:
        fleet.pause(fleet.pickNode(), time(6));
        fleet.pause(fleet.homeOf(0), time(6));
        break;
    case Fault::All:
        inject(fleet, static_cast<Fault>(1 + static_cast<int>(fleet.uniform() * 7)), nodes);
        break;
    }
}

constexpr std::uint32_t AllShards = (1U << QuotaShards) - 1;

schema::CustomerQuotaRequest vote(std::uint64_t sequence, std::uint32_t fleetSize)
{
    schema::CustomerQuotaRequest request;
    request.set_sequence(sequence);
    request.set_fleet_size(fleetSize);
    request.set_votes(AllShards);
    return request;
}

/// Request for tokens of a customer with the limit 100/s and a burst of 90, without a vote.
schema::CustomerQuotaRequest ask(std::uint64_t sequence, std::uint32_t wanted)
{
    schema::CustomerQuotaRequest request;
    request.set_sequence(sequence);
    request.set_fleet_size(2);
    auto *entry = request.add_entries();
    entry->set_customer("customer");
    entry->set_wanted(wanted);
    entry->set_rate(100);
    entry->set_burst(90);
    return request;
}

/// A home in a fleet of two nodes, with a bucket of at most 100 tokens.
struct HomeFixture
{
    HomeFixture() { home.setFleetSize(2, Start); }
    schema::CustomerQuotaReply handle(const std::string &voter,
                                      const schema::CustomerQuotaRequest &request, Duration after,
                                      Duration age = {})
    {
        const auto unknown = [](const std::string &) { return std::optional<RateLimit>(); };
        return home.handle(voter, 1, request, age, unknown, Start + after);
    }
    std::uint32_t granted(const std::string &voter, std::uint64_t sequence, Duration after)
    {
        const auto reply = handle(voter, ask(sequence, 1000), after);
        return reply.entries_size() == 1 ? reply.entries(0).granted() : 0;
    }

    QuotaHome home {10, Start};
};

QuotaSetup calm(std::uint32_t rate, std::uint32_t burst, double load, double skew)
{
    QuotaSetup setup;
    setup.nodes = 104;
    setup.customers.push_back({"customer", {rate, burst}, load * rate, skew});
    return setup;
}

} // namespace

// Guards against a customer that gets more than (rate x 5 s + burst) x 1.1 + 20 requests in any 5
// s, counted after each admission.
BOOST_DATA_TEST_CASE(limit_holds_under_faults, data::make(FaultCases), row)
{
    double worst = 0;
    std::uint64_t admitted = 0;
    for (int seed = 1; seed <= SchedulesPerCase; ++seed) {
        Random random(static_cast<std::uint64_t>(seed));
        const auto setup = drawSetup(random, row.fault);
        QuotaFleet fleet(setup, static_cast<std::uint64_t>(seed));
        fleet.run(Duration(static_cast<std::int64_t>(fleet.uniform() * 3e6)));
        fleet.startRequests();
        for (int step = 0; step < 6; ++step) {
            fleet.run(Duration(static_cast<std::int64_t>(fleet.uniform() * 4e6)));
            inject(fleet, row.fault, setup.nodes);
        }
        fleet.run(6s);
        BOOST_TEST(fleet.largestShareSum() <= 1 + 1e-9, "seed " << seed << ": homes together have "
                                                                << fleet.largestShareSum()
                                                                << " of the limit");
        for (std::size_t i = 0; i < setup.customers.size(); ++i) {
            const auto &totals = fleet.totals(i);
            BOOST_TEST(totals.worst <= 1,
                       "seed " << seed << ": " << totals.worst << " of the allowed requests");
            BOOST_TEST(totals.worstOfProof <= 1,
                       "seed " << seed << ": " << totals.worstOfProof << " of the proved bound");
            worst = std::max(worst, totals.worst);
            admitted += totals.admitted;
        }
    }
    BOOST_TEST_MESSAGE(row.name << ": at most " << worst << " of the allowed requests; " << admitted
                                << " admitted");
    BOOST_TEST(admitted > 0U);
}

struct RateCase
{
    std::uint32_t rate;
    double skew;
};
std::ostream &operator<<(std::ostream &out, const RateCase &row)
{
    return out << "rate " << row.rate << ", skew " << row.skew;
}
const std::vector<RateCase> RateCases {{5, 0}, {5, 0.9}, {20, 0}, {20, 0.9}, {118, 0}, {118, 0.9}};

// Guards against refusals of a customer at its rate, whose requests arrive at 104 gates. Arrivals
// are random (Poisson): even one bucket of the whole limit refuses some of them, 3% at a rate of 5.
// The fleet may refuse 1% more than that bucket does for the same arrivals.
BOOST_DATA_TEST_CASE(customer_at_its_rate_is_served, data::make(RateCases), row)
{
    QuotaFleet fleet(calm(row.rate, row.rate, 1, row.skew), 7);
    fleet.run(10s);
    fleet.startRequests();
    fleet.run(300s);
    const auto &totals = fleet.totals(0);
    const auto all = static_cast<double>(totals.admitted + totals.refused);
    const double refused = static_cast<double>(totals.refused) / all;
    const double ideal = static_cast<double>(totals.idealRefused) / all;
    BOOST_TEST_MESSAGE(row << ": refused " << refused << ", one bucket " << ideal
                           << ", waited at most " << toMs(totals.longestWait) << " ms");
    BOOST_TEST(refused <= ideal + 0.01);
    BOOST_TEST(totals.longestWait <= 50ms);
}

// Guards against a customer far over its rate that takes the quota of others, or gets less than its
// own.
BOOST_AUTO_TEST_CASE(customer_over_its_rate_costs_others_nothing)
{
    auto setup = calm(118, 118, 7, 0.5);
    for (int i = 0; i < 20; ++i)
        setup.customers.push_back({"other-" + std::to_string(i), {20, 20}, 10, 0});
    QuotaFleet fleet(setup, 7);
    fleet.run(10s);
    fleet.startRequests();
    fleet.run(30s);
    BOOST_TEST(static_cast<double>(fleet.totals(0).admitted) >= 0.98 * 118 * 30);
    std::uint64_t refused = 0;
    for (std::size_t i = 1; i < setup.customers.size(); ++i)
        refused += fleet.totals(i).refused;
    BOOST_TEST(refused == 0U);
}

// Guards against a lowered limit that binds only after more than one window.
BOOST_AUTO_TEST_CASE(lowered_limit_binds_within_a_window)
{
    QuotaFleet fleet(calm(200, 200, 3, 0.5), 7);
    fleet.run(10s);
    fleet.startRequests();
    fleet.run(10s);
    fleet.setLimit(0, {10, 10});
    fleet.run(QuotaLeaseTerm);
    fleet.forgetAdmitted();
    fleet.resetTotals();
    fleet.run(5s);
    BOOST_TEST(fleet.totals(0).worst <= 1);
    BOOST_TEST(fleet.totals(0).admitted >= 50U);
}

// Guards against a quota that stays lost after a home was killed or the fleet was separated. The
// customer leaves room for the share of the dead node and for the unequal sides.
BOOST_AUTO_TEST_CASE(quota_returns_after_a_fault)
{
    QuotaFleet fleet(calm(118, 118, 0.8, 0), 7);
    fleet.run(10s);
    fleet.startRequests();
    fleet.run(10s);
    fleet.kill(fleet.homeOf(0), 60s);
    fleet.run(4s);
    fleet.resetTotals();
    fleet.run(20s);
    BOOST_TEST(fleet.totals(0).admitted > 1500U);
    BOOST_TEST(fleet.totals(0).refused == 0U);
    fleet.split(2);
    fleet.run(5s);
    fleet.resetTotals();
    fleet.run(20s);
    BOOST_TEST(fleet.totals(0).admitted > 1500U);
    BOOST_TEST(fleet.totals(0).refused <= 0.01 * 2000);
}

// Guards against a home whose bucket holds tokens when its first votes, or further ones, arrive.
BOOST_AUTO_TEST_CASE(votes_bring_no_tokens)
{
    HomeFixture fixture;
    BOOST_TEST(fixture.granted("c", 1, 0s) == 0U);
    fixture.handle("a", vote(1, 2), 10s);
    BOOST_TEST(fixture.granted("c", 2, 10100ms) == 5U); // half of the rate
    fixture.handle("a", vote(2, 2), 11s);
    fixture.handle("a", vote(3, 2), 12s);
    fixture.handle("b", vote(1, 2), 12s); // the half bucket is full
    BOOST_TEST(fixture.granted("c", 3, 12s) == 50U);
    BOOST_TEST(fixture.granted("c", 4, 12100ms) == 10U);

    HomeFixture unused; // without a request of the customer before the votes
    unused.handle("a", vote(1, 2), 0s);
    unused.handle("b", vote(1, 2), 0s);
    BOOST_TEST(unused.granted("c", 1, 100ms) == 10U);
}

// Guards against a bucket that keeps the size of votes that have ended, and against votes that fill
// it after their end.
BOOST_AUTO_TEST_CASE(bucket_shrinks_with_its_votes)
{
    HomeFixture fixture;
    fixture.handle("a", vote(1, 2), 0s);
    fixture.handle("b", vote(1, 2), 0s);
    fixture.handle("a", vote(2, 2), 1500ms);
    BOOST_TEST(fixture.granted("c", 1, 3s) == 50U);
    fixture.handle("a", vote(3, 2), 3s);
    BOOST_TEST(fixture.granted("c", 2, 10s) == 0U);
    fixture.handle("a", vote(4, 2), 10s);
    fixture.handle("b", vote(2, 9), 10s); // knows a larger fleet
    BOOST_TEST(fixture.home.shards(Start + 10s)[0].share == 2.0 / 9);
}

// Guards against late and doubled messages that vote or take tokens again.
BOOST_AUTO_TEST_CASE(late_and_doubled_requests_have_no_effect)
{
    HomeFixture fixture;
    BOOST_TEST(fixture.handle("a", vote(1, 2), 0s, 1001ms).dropped());
    BOOST_TEST(!fixture.handle("a", vote(2, 2), 0s, 1s).dropped());
    BOOST_TEST(fixture.handle("a", vote(2, 2), 100ms).dropped());
    BOOST_TEST(fixture.handle("a", vote(1, 2), 100ms).dropped());
    // The vote counts from the time at which it was composed.
    BOOST_TEST(fixture.home.shards(Start + 999ms)[0].votes == 1U);
    BOOST_TEST(fixture.home.shards(Start + 1s)[0].votes == 0U);
}

// Guards against returned tokens that get a new term (docs/proofs.md), or that are granted twice.
BOOST_AUTO_TEST_CASE(returned_tokens_keep_their_expiry)
{
    HomeFixture fixture;
    fixture.handle("a", vote(1, 2), 0s);
    BOOST_TEST(fixture.granted("a", 2, 1s) == 50U);
    auto back = ask(3, 0);
    back.mutable_entries(0)->set_returned(40);
    back.mutable_entries(0)->set_returned_term_ms(300);
    fixture.handle("a", back, 1s);
    const auto reply = fixture.handle("b", ask(1, 30), 1100ms);
    BOOST_TEST(reply.entries(0).granted() == 30U);
    BOOST_TEST(reply.entries(0).term_ms() == 200U);
    BOOST_TEST(fixture.granted("b", 2, 1100ms) == 10U + 5U); // 5: filled since
    fixture.handle("a", back, 1100ms);
    BOOST_TEST(fixture.granted("b", 3, 1100ms) == 0U);
}

// Guards against sides of a partition that forget each other and take the whole limit, and against
// nodes that left and keep their share.
BOOST_AUTO_TEST_CASE(forgotten_nodes_are_counted)
{
    FleetSize size;
    const auto left = [](const std::string &node) { return node == "left"; };
    BOOST_TEST(size.update({"a", "b", "left"}, left, Start) == 3U);
    BOOST_TEST(size.update({"a"}, left, Start + 1s) == 2U);
    BOOST_TEST(size.update({"a"}, left, Start + 3599s) == 2U);
    BOOST_TEST(size.update({"a"}, left, Start + 3600s) == 1U);
}

// Guards against tokens that are spent after their lease, counted from the composition of the
// request, and against a second vote while the first may still count.
BOOST_AUTO_TEST_CASE(gate_counts_terms_from_its_request)
{
    const RateLimit limit {100, 90};
    QuotaClient client(Start - QuotaVoteTerm);
    client.setNodes({"a", "b"}, 2);
    BOOST_TEST((client.request("customer", limit, Start).verdict == QuotaClient::Verdict::Wait));
    const auto sent = client.poll(Start);
    const auto asked = std::find_if(sent.begin(), sent.end(), [](const auto &outgoing) {
        return outgoing.request.entries_size() == 1;
    });
    BOOST_REQUIRE((asked != sent.end()));
    const auto shard = 1U << quotaShard("customer");
    BOOST_TEST((asked->request.votes() & shard) == shard);
    for (const auto &outgoing : sent) {
        if (outgoing.home != asked->home)
            client.onReply(outgoing.home, outgoing.request.sequence(), {}, Start);
    }
    schema::CustomerQuotaReply reply;
    auto *entry = reply.add_entries();
    entry->set_granted(3);
    entry->set_term_ms(500);
    client.onReply(asked->home, asked->request.sequence(), reply, Start + 400ms);
    const auto verdict = [&](Duration after) {
        return client.request("customer", limit, Start + after).verdict;
    };
    BOOST_TEST((verdict(400ms) == QuotaClient::Verdict::Admit));
    BOOST_TEST((verdict(499ms) == QuotaClient::Verdict::Admit));
    BOOST_TEST((verdict(500ms) == QuotaClient::Verdict::Wait));

    client.setNodes({asked->home == "a" ? "b" : "a"}, 2); // the home is gone
    const auto votes = [&](Duration after) {
        std::uint32_t given = 0;
        for (const auto &outgoing : client.poll(Start + after)) {
            given |= outgoing.request.votes();
            client.onReply(outgoing.home, outgoing.request.sequence(), {}, Start + after);
        }
        return given & shard;
    };
    BOOST_TEST(votes(600ms) == 0U);
    BOOST_TEST(votes(1999ms) == 0U);
    BOOST_TEST(votes(2s) == shard);
}
