// Invariant 7 of the design with real processes: races of operators, lost responses to writes, and
// outages of the platform.
#define BOOST_TEST_MODULE process_configuration
#include "process_actions.h"

#include <boost/test/data/test_case.hpp>
#include <iostream>

using namespace berylspur::test;

namespace {

std::string withRate(int rate)
{
    return "    limits:\n      customer-rate: " + std::to_string(rate) + "\n";
}

bool isInForce(const Fleet &fleet, std::uint64_t revision)
{
    for (int i = 0; i < fleet.nodeCount(); ++i) {
        if (fleet.revision(i) != revision)
            return false;
    }
    return true;
}

} // namespace

// Invariant 7. Guards against concurrent applies that both report success, and against nodes that
// end up with different manifests.
BOOST_AUTO_TEST_CASE(of_two_operators_one_wins)
{
    Fleet fleet;
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    // With slow calls, both operators read the same manifest before either one writes.
    fleet.setPlatformFaults({{"delay-ms", 500}});
    for (int round = 0; round < 5; ++round) {
        const std::uint64_t before = fleet.revision(0);
        std::string outputs[2];
        std::future<int> results[2];
        for (int i = 0; i < 2; ++i) {
            results[i] = std::async(std::launch::async, [&, i] {
                return fleet.apply(fleet.manifest(withRate(1000 + 10 * round + i)),
                                   i == 0 ? "operator-ana" : "operator-dan", &outputs[i]);
            });
        }
        const int exits[2] = {results[0].get(), results[1].get()};
        const int winners = (exits[0] == 0 ? 1 : 0) + (exits[1] == 0 ? 1 : 0);
        BOOST_TEST(winners == 1);
        BOOST_TEST(waitFor([&] {
                       return isInForce(fleet, before + static_cast<std::uint64_t>(winners));
                   }),
                   "revision " << before << " winners " << winners);
        for (int i = 0; i < 2; ++i) {
            if (exits[i] == 0)
                continue;
            BOOST_TEST(outputs[i].find("2004") != std::string::npos, outputs[i]);
            BOOST_TEST(outputs[i].find(i == 0 ? "operator-dan" : "operator-ana")
                               != std::string::npos,
                       outputs[i]);
        }
        std::cout << "operators round " << round << " winners " << winners << std::endl;
    }
}

// Invariant 7. Guards against a second write after the platform lost the response to the first.
BOOST_DATA_TEST_CASE(lost_write_response_is_no_second_write,
                     boost::unit_test::data::make({1, 2, 3}))
{
    Fleet fleet;
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    const std::uint64_t before = fleet.revision(0);
    fleet.setPlatformFaults({{"lose-write-responses", sample}});
    std::string output;
    const int exit = fleet.apply(fleet.manifest(withRate(500)), "operator-ana", &output);
    BOOST_TEST(exit == 0, output);
    BOOST_TEST(waitFor([&] { return isInForce(fleet, before + 1); }));
    BOOST_TEST(call(fleet.node(2).caller, "GET", "/read").status == 200);
}

// Invariant 7. Guards against a node that loses its configuration when it restarts during a
// platform outage, and against an older configuration being restored when the platform comes back.
BOOST_AUTO_TEST_CASE(configuration_survives_platform_outage)
{
    Fleet fleet;
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    std::string output;
    BOOST_REQUIRE(fleet.apply(fleet.manifest(withRate(700)), "operator-ana", &output) == 0);
    const std::uint64_t revision = fleet.revision(0);
    BOOST_REQUIRE(waitFor(
            [&] { return isInForce(fleet, fleet.revision(0)) && fleet.revision(0) >= revision; }));
    const std::uint64_t inForce = fleet.revision(0);
    platformDown(fleet);
    killOwner(fleet);
    restartOwner(fleet);
    BOOST_TEST(waitFor([&] { return fleet.revision(2) == inForce; }));
    BOOST_TEST(waitFor([&] { return call(fleet.node(2).caller, "GET", "/read").status == 200; }));
    platformUp(fleet);
    BOOST_TEST(waitFor(
            [&] { return call(fleet.platformPort(), "GET", "/accounting").status == 200; }));
    BOOST_TEST(fleet.apply(fleet.manifest(withRate(701)), "operator-ana", &output) == 0, output);
    BOOST_TEST(waitFor([&] { return isInForce(fleet, inForce + 1); }));
}
