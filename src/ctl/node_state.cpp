// Fetches and parses the state of nodes.
#include "berylspur/ctl/node_state.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace berylspur {

namespace {

using Json = nlohmann::json;

NodeState fromJson(const Json &json)
{
    NodeState state;
    state.node = json.at("node").get<std::string>();
    state.fleet = json.value("fleet", std::string());
    // Accepts a string too: some JSON writers lose precision above 2^53.
    const auto &incarnation = json.at("incarnation");
    state.incarnation = incarnation.is_string() ? std::stoull(incarnation.get<std::string>())
                                                : incarnation.get<std::uint64_t>();
    state.revision = json.at("revision").get<std::uint64_t>();
    for (const auto &service : json.at("services")) {
        const auto name = service.at("name").get<std::string>();
        state.services[name] = service.at("revision").get<std::uint64_t>();
        if (service.value("deleted", false))
            state.deleted.insert(name);
    }
    for (const auto &member : json.at("members")) {
        const auto admin = Address::parse(member.value("admin", std::string()));
        if (admin && member.at("status").get<std::string>() == "alive")
            state.members.push_back(admin.value());
    }
    return state;
}

} // namespace

Result<NodeState> parseNodeState(const std::string &body)
{
    try {
        return fromJson(Json::parse(body));
    } catch (const std::exception &error) {
        return failure(ErrorCode::CommandNodeUnreachable,
                       std::string("malformed state: ") + error.what());
    }
}

std::vector<NodeState> queryNodes(PlatformSession &session, const std::vector<Address> &nodes,
                                  std::size_t maxNodes)
{
    std::vector<NodeState> states;
    std::map<std::string, Address> pending;
    for (const auto &node : nodes)
        pending.emplace(node.toString(), node);
    std::set<std::string> visited;
    while (!pending.empty()) {
        std::vector<Address> queried;
        for (const auto &[text, address] : pending) {
            visited.insert(text);
            queried.push_back(address);
        }
        pending.clear();
        const auto bodies = session.fetchAll(queried, "/state");
        for (std::size_t i = 0; i < queried.size(); ++i) {
            auto state = bodies[i] ? parseNodeState(bodies[i].value()) : bodies[i].as_failure();
            NodeState entry = state ? std::move(state.value()) : NodeState {};
            if (!state)
                entry.error = state.error();
            entry.admin = queried[i];
            for (const auto &member : entry.members) {
                const auto text = member.toString();
                if (!visited.contains(text) && visited.size() + pending.size() < maxNodes)
                    pending.emplace(text, member);
            }
            states.push_back(std::move(entry));
        }
    }
    return states;
}

} // namespace berylspur
