// Tests of the state of nodes as berylspurctl reads and reports it, and of its exit statuses.
#define BOOST_TEST_MODULE ctl
#include "berylspur/ctl/node_state.h"
#include "berylspur/ctl/report.h"
#include "platform_fixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <regex>

using namespace berylspur;
using test::PlatformFixture;
namespace data = boost::unit_test::data;

namespace {

const char *const State = R"({"node": "n1", "incarnation": 5, "revision": 3, "fleet": "f",
  "services": [{"name": "a", "revision": 3}, {"name": "b", "revision": 1, "deleted": true}],
  "members": [{"node": "n2", "status": "alive", "admin": "127.0.0.2:1"},
              {"node": "n3", "status": "dead", "admin": "127.0.0.3:1"},
              {"node": "n4", "status": "alive", "admin": ""}]})";

} // namespace

BOOST_AUTO_TEST_CASE(node_state_is_parsed)
{
    const auto state = parseNodeState(State);
    BOOST_REQUIRE(state.has_value());
    BOOST_TEST(state.value().node == "n1");
    BOOST_TEST(state.value().services.at("a") == 3u);
    BOOST_REQUIRE(state.value().members.size() == 1u);
    BOOST_TEST(state.value().members[0].toString() == "127.0.0.2:1");
}

// Guards against a crash on a malformed response from a node or from another program on its port.
BOOST_DATA_TEST_CASE(malformed_node_state_is_an_error,
                     data::make({"", "{", "[]", "3", "{}", R"({"node": 1})",
                                 R"({"node": "n", "incarnation": "x", "revision": 1,
                                     "services": [], "members": []})",
                                 R"({"node": "n", "incarnation": 1, "revision": -1.5,
                                     "services": {}, "members": [1]})"}))
{
    BOOST_TEST(test::codeOf(parseNodeState(sample)) == ErrorCode::CommandNodeUnreachable);
}

// Guards against a node that is behind or unreachable being reported as up to date.
BOOST_AUTO_TEST_CASE(show_tells_nodes_that_are_behind)
{
    schema::ManifestHead head;
    head.set_revision(4);
    const auto add = [&head](const std::string &name, const std::string &hash,
                             std::uint64_t revision) {
        auto &entry = *head.add_entries();
        entry.set_service(name);
        entry.set_hash(hash);
        entry.set_revision(revision);
    };
    auto node = parseNodeState(State).value();
    add("a", "x", 3);
    add("deleted", "", 4);
    BOOST_TEST(reportNodes({node}, head).code == ErrorCode::Ok);
    add("b", "x", 2);
    const auto behind = reportNodes({node}, head);
    BOOST_TEST(behind.code == ErrorCode::CommandNotInForce);
    BOOST_TEST(behind.text.find("behind: b") != std::string::npos);
    BOOST_TEST(behind.text.find("  a 3\n  b 1 deleted\n") != std::string::npos);
    NodeState unreachable;
    unreachable.error = {ErrorCode::CommandNodeUnreachable, "127.0.0.9:1"};
    BOOST_TEST(reportNodes({node, unreachable}, head).code == ErrorCode::CommandNodeUnreachable);
    BOOST_TEST(nlohmann::json::parse(behind.json)["nodes"][0]["behind"][0] == "b");
}

// Guards against members that are never queried, and against endless queries.
BOOST_FIXTURE_TEST_CASE(members_of_a_node_are_asked_once, PlatformFixture)
{
    std::unique_ptr<evhttp, decltype(&evhttp_free)> http(evhttp_new(base()), &evhttp_free);
    auto *socket = evhttp_bind_socket_with_handle(http.get(), "127.0.0.1", 0);
    sockaddr_in bound {};
    socklen_t size = sizeof bound;
    getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr *>(&bound), &size);
    const auto node = Address::fromSockaddr(bound);
    std::string body = R"({"node": "n1", "incarnation": 5, "revision": 3, "services": [],
        "members": [{"node": "n1", "status": "alive", "admin": ")"
                       + node.toString()
                       + R"("}, {"node": "n2", "status": "alive", "admin": "127.0.0.1:1"}]})";
    evhttp_set_gencb(
            http.get(),
            [](evhttp_request *request, void *text) {
                const auto &answer = *static_cast<std::string *>(text);
                evbuffer_add(evhttp_request_get_output_buffer(request), answer.data(),
                             answer.size());
                evhttp_send_reply(request, HTTP_OK, nullptr, nullptr);
            },
            &body);
    PlatformSession session(base(), address());
    const auto states = queryNodes(session, {node, node}, 100);
    BOOST_REQUIRE(states.size() == 2u);
    BOOST_TEST(states[0].node == "n1");
    BOOST_TEST(states[1].error.code == ErrorCode::CommandNodeUnreachable);
    BOOST_TEST(queryNodes(session, {node}, 1).size() == 1u);
}

// Guards against a documentation page whose exit statuses differ from --help and the program.
BOOST_AUTO_TEST_CASE(exit_statuses_are_on_the_page)
{
    std::ifstream page(BERYLSPUR_SOURCE_DIR "/docs/result-codes.md");
    const std::regex row(R"(\| (\d+) \| ([^|]+) \|)");
    std::vector<std::pair<int, std::string>> listed;
    std::string line;
    while (std::getline(page, line)) {
        std::smatch match;
        if (std::regex_match(line, match, row))
            listed.emplace_back(std::stoi(match[1]), match[2]);
    }
    BOOST_REQUIRE(listed.size() == ExitStatuses.size());
    for (std::size_t i = 0; i < listed.size(); ++i) {
        BOOST_TEST(listed[i].first == static_cast<int>(ExitStatuses[i].first));
        BOOST_TEST(listed[i].second == ExitStatuses[i].second);
        BOOST_TEST(exitStatusHelp().find(listed[i].second) != std::string::npos);
    }
}
