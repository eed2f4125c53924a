// Matches caller requests to the routes of services.
#pragma once

#include "berylspur/core/result.h"
#include "berylspur/manifest.pb.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace berylspur {

/// The route that matched. Pointers stay valid until the table changes.
struct RouteMatch
{
    const schema::ServiceConfig *config = nullptr;
    const schema::Route *route = nullptr;
    std::string_view
            key; ///< "service host path-prefix"; identifies the route in messages and records
};

/// All routes in force. Routes for an exact host take precedence over "*.suffix", which matches
/// every host below the suffix, and those over "*", which matches any host. Within a host, the
/// longest path prefix that ends at a '/' boundary wins. The method is matched only against the
/// routes of the winning prefix, so that a route that allows fewer methods is not bypassed by a
/// shorter prefix.
class RouteTable
{
public:
    /// Adds, replaces or (if deleted) removes the routes of one service.
    void update(const schema::ServiceConfig &config);

    /// Fails with RequestUnknownRoute, or with RequestMethodNotAllowed if only the method does not
    /// match. \a host may include a port and \a path a query; the host is case-insensitive.
    Result<RouteMatch> match(std::string_view method, std::string_view host,
                             std::string_view path) const;

    std::size_t routes() const;
    std::size_t services() const;
    /// Priorities that the routes have, each once, the most urgent first.
    std::vector<std::uint32_t> priorities() const;
    /// Configuration of \a service, or nullptr.
    const schema::ServiceConfig *service(const std::string &service) const;

private:
    struct TextHash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const;
    };
    template <typename Value>
    using TextMap = std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

    /// Configuration of one service and the keys of its routes, in the order of the routes.
    struct Entry
    {
        schema::ServiceConfig config;
        std::vector<std::string> keys;
    };
    struct Candidate
    {
        const Entry *entry = nullptr;
        int route = 0; ///< index in the configuration
    };
    /// Routes of one host by path prefix.
    struct HostRoutes
    {
        /// Candidates by prefix: those restricted to methods first, then by service and index.
        TextMap<std::vector<Candidate>> prefixes;
        std::size_t longestPrefix =
                0; ///< length of the longest prefix; bounds lookups of long paths
    };

    void insert(const Entry &entry);
    void remove(const Entry &entry);
    const std::vector<Candidate> *find(std::string_view host, std::string_view path) const;
    const std::vector<Candidate> *findHost(std::string_view host, std::string_view path) const;

    std::unordered_map<std::string, std::unique_ptr<Entry>> m_services;
    TextMap<HostRoutes> m_hosts; ///< "" holds the routes for any host
    std::size_t m_wildcardHosts = 0; ///< hosts of the form "*.suffix"
    std::size_t m_routes = 0;
};

} // namespace berylspur
