// Checks of the service names, routes, limits and customers of a manifest.
#include "berylspur/config/manifest_check.h"

#include "berylspur/customers/customer_table.h"
#include "berylspur/settings/yaml_loader.h"

#include <map>
#include <set>
#include <string_view>
#include <tuple>

namespace berylspur {

namespace {

/// Size limit of a platform value.
constexpr std::size_t MaxValueBytes = 1000000;

/// Host, path prefix and method ("" for a route without methods).
using RouteKey = std::tuple<std::string, std::string, std::string>;

std::string describeRoute(const RouteKey &key)
{
    const auto &[host, prefix, method] = key;
    return (method.empty() ? "any method" : method) + " " + (host.empty() ? "*" : host) + prefix;
}

/// Routes added so far, with the service they belong to.
class RouteSet
{
public:
    Result<void> add(const schema::Service &service, const schema::Route &route)
    {
        // "*" and an empty host both match any host.
        const std::string host = route.host() == "*" ? "" : route.host();
        std::set<std::string> methods(route.methods().begin(), route.methods().end());
        if (methods.empty())
            methods.insert("");
        for (const auto &method : methods) {
            const RouteKey key(host, route.path_prefix(), method);
            const auto [found, isNew] = m_routes.emplace(key, service.name());
            if (!isNew)
                return failure(ErrorCode::ManifestRouteConflict,
                               describeRoute(key) + " is routed by " + found->second + " and "
                                       + service.name());
        }
        return success();
    }

private:
    std::map<RouteKey, std::string> m_routes;
};

Result<void> checkLimits(const schema::Service &service)
{
    const auto &limits = service.limits();
    if (limits.concurrency() > 0 && limits.concurrency() < service.endpoints())
        return failure(ErrorCode::ManifestInvalid,
                       service.name()
                               + ": limits.concurrency: expected 0 or at least the number of "
                                 "endpoints, "
                               + std::to_string(service.endpoints()));
    std::set<std::string> customers;
    for (const auto &limit : limits.customers()) {
        if (!customers.insert(limit.customer()).second)
            return failure(ErrorCode::ManifestInvalid,
                           service.name() + ": limits.customers: " + limit.customer()
                                   + " is listed twice");
    }
    return success();
}

Result<void> checkService(const schema::Service &service, RouteSet &routes)
{
    if (auto result = checkLimits(service); !result)
        return result;
    for (const auto &route : service.routes()) {
        if (auto result = routes.add(service, route); !result)
            return result;
    }
    if (service.ByteSizeLong() > MaxValueBytes)
        return failure(ErrorCode::ManifestInvalid,
                       service.name() + ": exceeds the platform's value limit of "
                               + std::to_string(MaxValueBytes) + " bytes");
    return success();
}

/// Messages name customers only, because keys must not appear in error messages.
Result<void> checkCustomers(const schema::Manifest &manifest)
{
    std::set<std::string_view> names;
    std::map<std::string_view, std::string_view> holders; // by key
    for (const auto &customer : manifest.customers()) {
        if (!names.insert(customer.name()).second)
            return failure(ErrorCode::ManifestCustomerConflict,
                           "customers: " + customer.name() + " is listed twice");
        for (const auto &key : customer.keys()) {
            const auto [holder, isNew] = holders.emplace(key, customer.name());
            if (!isNew && holder->second != customer.name())
                return failure(ErrorCode::ManifestCustomerConflict,
                               "customers: " + std::string(holder->second) + " and "
                                       + customer.name() + " hold the same key");
        }
    }
    for (const auto &shard :
         shardCustomers({manifest.customers().begin(), manifest.customers().end()})) {
        if (shard.ByteSizeLong() > MaxValueBytes)
            return failure(ErrorCode::ManifestInvalid,
                           "customers: shard " + std::to_string(shard.number())
                                   + " exceeds the platform's value limit of "
                                   + std::to_string(MaxValueBytes) + " bytes");
    }
    return success();
}

} // namespace

Result<void> checkManifest(const schema::Manifest &manifest)
{
    std::set<std::string> names;
    RouteSet routes;
    for (const auto &service : manifest.services()) {
        if (!names.insert(service.name()).second)
            return failure(ErrorCode::ManifestDuplicateService, service.name());
        if (auto result = checkService(service, routes); !result)
            return result;
    }
    return checkCustomers(manifest);
}

Result<schema::Manifest> loadManifest(const std::string &file)
{
    schema::Manifest manifest;
    if (auto result = loadYaml(file, manifest, manifestErrorCodes()); !result)
        return std::move(result).as_failure();
    if (auto result = checkManifest(manifest); !result)
        return std::move(result).as_failure();
    return manifest;
}

} // namespace berylspur
