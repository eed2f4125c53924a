// State that nodes report on their admin address.
#pragma once

#include "berylspur/ctl/platform_session.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace berylspur {

/// State of a node from GET /state, or the error of the call.
struct NodeState
{
    Address admin;
    Error error; ///< Ok if the other members are set
    std::string node;
    std::string fleet; ///< empty if the node does not report it
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0;
    std::map<std::string, std::uint64_t> services; ///< active revision by service
    std::set<std::string> deleted; ///< names in services whose active revision is a deletion
    std::vector<Address> members; ///< admin addresses of the live members
};

/// Parses the body of GET /state. Fails with CommandNodeUnreachable if it is malformed.
Result<NodeState> parseNodeState(const std::string &body);

/// Queries \a nodes, then the members that they report and that were not queried yet, up to
/// \a maxNodes in total. Members must have admin addresses that this host can reach; those that
/// listen on loopback on another host are reported as unreachable. Results are sorted by address
/// within each round.
std::vector<NodeState> queryNodes(PlatformSession &session, const std::vector<Address> &nodes,
                                  std::size_t maxNodes);

} // namespace berylspur
