// Differences between the services in force and those of a manifest.
#pragma once

#include "berylspur/manifest.pb.h"

#include <string>
#include <vector>

namespace berylspur {

/// One field that differs. Lists are compared by the identity of their entries, not by position.
struct ManifestDifference
{
    std::string service;
    std::string field; ///< such as "routes[GET host/path].deadline-ms"; empty: the whole service
    std::string inForce; ///< empty: absent
    std::string next; ///< empty: absent
    std::string cutsOff; ///< running work that ends early; empty: none
};

/// Differences from \a inForce to \a next, by service and field.
std::vector<ManifestDifference> compareServices(const std::vector<schema::Service> &inForce,
                                                const std::vector<schema::Service> &next);

/// "service: field: value in force -> next value".
std::string describe(const ManifestDifference &difference);

} // namespace berylspur
