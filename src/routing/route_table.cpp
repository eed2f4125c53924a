// Routes in hash tables by host and path prefix. Lookups do not allocate.
#include "berylspur/routing/route_table.h"

#include "berylspur/core/ids.h"

#include <algorithm>
#include <array>
#include <set>
#include <tuple>

namespace berylspur {

namespace {

constexpr std::size_t MaxHostLength = 253;

char lowerCase(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

/// \a host without its port and the final dot of a fully qualified name.
std::string_view withoutPortAndFinalDot(std::string_view host)
{
    const std::size_t from = host.starts_with('[') ? host.find(']') : 0;
    if (from != std::string_view::npos)
        host = host.substr(0, host.find(':', from));
    if (host.ends_with('.'))
        host.remove_suffix(1);
    return host;
}

std::string_view hostKey(const schema::Route &route)
{
    return route.host() == "*" ? std::string_view() : std::string_view(route.host());
}

bool isWildcard(std::string_view host)
{
    return host.starts_with("*.");
}

bool allowsMethod(const schema::Route &route, std::string_view method)
{
    return route.methods().empty()
           || std::find(route.methods().begin(), route.methods().end(), method)
                      != route.methods().end();
}

} // namespace

std::size_t RouteTable::TextHash::operator()(std::string_view text) const
{
    return hash64(text);
}

void RouteTable::update(const schema::ServiceConfig &config)
{
    const auto old = m_services.find(config.service());
    if (old != m_services.end()) {
        remove(*old->second);
        m_services.erase(old);
    }
    if (config.deleted())
        return;
    auto entry = std::make_unique<Entry>();
    entry->config = config;
    for (const schema::Route &route : entry->config.content().routes())
        entry->keys.push_back(config.service() + ' ' + route.host() + ' ' + route.path_prefix());
    insert(*entry);
    m_services.emplace(config.service(), std::move(entry));
}

void RouteTable::insert(const Entry &entry)
{
    const auto order = [](const Candidate &candidate) {
        const schema::Route &route = candidate.entry->config.content().routes(candidate.route);
        return std::tuple(route.methods().empty(),
                          std::string_view(candidate.entry->config.service()), candidate.route);
    };
    const auto &routes = entry.config.content().routes();
    for (int i = 0; i < routes.size(); ++i) {
        const auto [host, isNew] = m_hosts.try_emplace(std::string(hostKey(routes[i])));
        if (isNew && isWildcard(host->first))
            ++m_wildcardHosts;
        const std::string &prefix = routes[i].path_prefix();
        std::vector<Candidate> &candidates = host->second.prefixes[prefix];
        const Candidate candidate {&entry, i};
        candidates.insert(std::ranges::upper_bound(candidates, order(candidate), {}, order),
                          candidate);
        host->second.longestPrefix = std::max(host->second.longestPrefix, prefix.size());
        ++m_routes;
    }
}

void RouteTable::remove(const Entry &entry)
{
    for (const schema::Route &route : entry.config.content().routes()) {
        const auto host = m_hosts.find(hostKey(route));
        if (host == m_hosts.end())
            continue;
        const auto prefix = host->second.prefixes.find(route.path_prefix());
        if (prefix == host->second.prefixes.end())
            continue;
        m_routes -= std::erase_if(prefix->second, [&entry](const Candidate &candidate) {
            return candidate.entry == &entry;
        });
        if (prefix->second.empty())
            host->second.prefixes.erase(prefix);
        if (host->second.prefixes.empty()) {
            if (isWildcard(host->first))
                --m_wildcardHosts;
            m_hosts.erase(host);
        }
    }
}

const std::vector<RouteTable::Candidate> *RouteTable::findHost(std::string_view host,
                                                               std::string_view path) const
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        return nullptr;
    const HostRoutes &routes = found->second;
    const auto lookUpPrefix = [&](std::size_t length) -> const std::vector<Candidate> * {
        const auto prefix = routes.prefixes.find(path.substr(0, length));
        return prefix == routes.prefixes.end() ? nullptr : &prefix->second;
    };
    if (path.size() <= routes.longestPrefix) {
        if (const auto *candidates = lookUpPrefix(path.size()))
            return candidates;
    }
    // Each '/' ends two candidate prefixes: one that includes it and one that does not.
    std::size_t from = std::min(path.size(), routes.longestPrefix);
    while (true) {
        const std::size_t slash = path.rfind('/', from);
        if (slash == std::string_view::npos)
            return nullptr;
        if (slash + 1 < path.size() && slash + 1 <= routes.longestPrefix) {
            if (const auto *candidates = lookUpPrefix(slash + 1))
                return candidates;
        }
        if (slash == 0)
            return nullptr;
        if (const auto *candidates = lookUpPrefix(slash))
            return candidates;
        from = slash - 1;
    }
}

const std::vector<RouteTable::Candidate> *RouteTable::find(std::string_view host,
                                                           std::string_view path) const
{
    if (!host.empty()) {
        if (const auto *candidates = findHost(host, path))
            return candidates;
    }
    if (m_wildcardHosts > 0) {
        // Builds the key "*.suffix" in the buffer for each suffix of the host.
        std::array<char, MaxHostLength + 1> buffer {};
        for (std::size_t dot = host.find('.'); dot != std::string_view::npos;
             dot = host.find('.', dot + 1)) {
            const std::string_view suffix = host.substr(dot);
            buffer[0] = '*';
            std::ranges::copy(suffix, buffer.begin() + 1);
            if (const auto *candidates =
                        findHost(std::string_view(buffer.data(), suffix.size() + 1), path))
                return candidates;
        }
    }
    return findHost({}, path);
}

Result<RouteMatch> RouteTable::match(std::string_view method, std::string_view host,
                                     std::string_view path) const
{
    std::array<char, MaxHostLength> buffer {};
    host = withoutPortAndFinalDot(host);
    if (host.size() > buffer.size())
        host = {};
    std::ranges::transform(host, buffer.begin(), lowerCase);
    const std::string_view lowerHost(buffer.data(), host.size());

    const auto *candidates = find(lowerHost, path.substr(0, path.find_first_of("?#")));
    if (candidates == nullptr)
        return failure(ErrorCode::RequestUnknownRoute);
    for (const Candidate &candidate : *candidates) {
        const schema::ServiceConfig &config = candidate.entry->config;
        const schema::Route &route = config.content().routes(candidate.route);
        if (allowsMethod(route, method)) {
            return RouteMatch {&config, &route,
                               candidate.entry->keys[static_cast<std::size_t>(candidate.route)]};
        }
    }
    return failure(ErrorCode::RequestMethodNotAllowed);
}

std::size_t RouteTable::routes() const
{
    return m_routes;
}

std::size_t RouteTable::services() const
{
    return m_services.size();
}

std::vector<std::uint32_t> RouteTable::priorities() const
{
    std::set<std::uint32_t> found;
    for (const auto &[name, entry] : m_services) {
        for (const auto &route : entry->config.content().routes())
            found.insert(route.priority());
    }
    return {found.begin(), found.end()};
}

const schema::ServiceConfig *RouteTable::service(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second->config;
}

} // namespace berylspur
