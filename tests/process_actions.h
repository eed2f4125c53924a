// Actions on a fleet of processes, and evidence about its requests, that several process tests use.
#pragma once

#include "process_fixture.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>
#include <future>

namespace berylspur::test {

inline std::string outcomeText(const Response &response)
{
    return std::to_string(response.status) + " " + response.header("Berylspur-Result") + " "
           + response.body.substr(0, 100);
}

inline std::future<Response> callLater(std::uint16_t port, const std::string &method,
                                       const std::string &target,
                                       const std::vector<std::string> &headers = {})
{
    return std::async(std::launch::async, [=] { return call(port, method, target, headers); });
}

/// Drains the endpoint of node \a i, so that requests through the gate of that node go to another
/// owner.
inline void drainEndpointOf(Fleet &fleet, int i)
{
    call(fleet.endpointPort(i), "POST", "/state", {}, R"({"state":"draining"})");
    BOOST_REQUIRE(waitFor([&] {
        const auto seen = fleet.state(i);
        return seen.is_object() && seen["owner"]["endpoints"][0]["draining"] == true;
    }));
}

inline void killOwner(Fleet &fleet)
{
    fleet.nodeProcess(2).signal(SIGKILL);
    fleet.nodeProcess(2).waitForExit(std::chrono::seconds(10));
}

inline void restartOwner(Fleet &fleet)
{
    fleet.startNode(2);
}

inline void platformDown(Fleet &fleet)
{
    fleet.setPlatformFaults({{"outage", true}});
}

inline void platformUp(Fleet &fleet)
{
    fleet.setPlatformFaults({{"outage", false}});
}

inline std::vector<nlohmann::json> readLines(const std::filesystem::path &file)
{
    std::vector<nlohmann::json> result;
    std::ifstream in(file);
    for (std::string line; std::getline(in, line);)
        result.push_back(nlohmann::json::parse(line));
    return result;
}

inline std::size_t startedRequests(const Fleet &fleet)
{
    return fleet.allRuns("id").size();
}

} // namespace berylspur::test
