// Checks of a manifest against the schema and of its entries against each other.
#include "berylspur/ctl/manifest_lint.h"

#include "berylspur/config/manifest_check.h"
#include "berylspur/settings/yaml_loader.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <numeric>
#include <optional>
#include <set>
#include <sstream>
#include <utility>
#include <yaml-cpp/yaml.h>

namespace berylspur {

namespace {

using Findings = std::vector<ManifestFinding>;

/// Number of single-character edits between \a left and \a right.
std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t {0});
    for (std::size_t i = 0; i < left.size(); ++i) {
        std::size_t diagonal = std::exchange(row[0], i + 1);
        for (std::size_t j = 0; j < right.size(); ++j) {
            const auto replaced = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({replaced, row[j] + 1, diagonal + 1});
        }
    }
    return row.back();
}

/// The one of the comma-separated \a known keys that is most like \a key.
std::string nearestKey(std::string_view key, const std::string &known)
{
    std::string nearest;
    std::size_t least = SIZE_MAX;
    std::istringstream keys(known);
    for (std::string candidate; std::getline(keys >> std::ws, candidate, ',');) {
        const auto distance = editDistance(key, candidate);
        if (distance < least) {
            least = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

/// Finding for a detail "manifest:line: path: text" of parseYaml().
ManifestFinding schemaFinding(const std::string &detail)
{
    constexpr std::string_view UnknownKey = "unknown key; expected one of ";
    ManifestFinding finding;
    const auto lineAt = detail.find(':') + 1;
    const auto *end = detail.data() + detail.size();
    const auto *rest =
            std::from_chars(detail.data() + lineAt, end, finding.line).ptr; // at the second ':'
    finding.what = rest + 2 <= end ? std::string(rest + 2, end) : detail;
    if (const auto at = finding.what.find(": "); at != std::string::npos) {
        finding.field = finding.what.substr(0, at);
        finding.what.erase(0, at + 2);
    }
    if (finding.what.starts_with(UnknownKey)) {
        const auto dot = finding.field.rfind('.');
        const auto key = dot == std::string::npos ? finding.field : finding.field.substr(dot + 1);
        finding.why = "did you mean " + nearestKey(key, finding.what.substr(UnknownKey.size()))
                      + "? " + finding.what.substr(finding.what.find("expected"));
        finding.what = "unknown key";
    }
    return finding;
}

/// A place in the document: a path of keys and indices.
class Place
{
public:
    explicit Place(const YAML::Node &root) : m_node(root) { }

    /// The place of \a key, or this place if the document does not have the key.
    Place key(const std::string &key) const
    {
        return child(m_node.IsMap() ? m_node[key] : YAML::Node(),
                     (m_field.empty() ? "" : m_field + ".") + key);
    }
    Place entry(int index) const
    {
        return child(m_node.IsSequence() ? m_node[static_cast<std::size_t>(index)] : YAML::Node(),
                     m_field + "[" + std::to_string(index) + "]");
    }
    ManifestFinding finding(std::string what, std::string why) const
    {
        return {std::max(m_node.Mark().line, 0) + 1, m_field, std::move(what), std::move(why)};
    }

private:
    Place child(const YAML::Node &node, std::string field) const
    {
        Place place(node.IsDefined() && !node.IsNull() ? node : m_node);
        place.m_field = std::move(field);
        return place;
    }

    YAML::Node m_node;
    std::string m_field;
};

std::string number(std::uint64_t value)
{
    return std::to_string(value);
}

/// Collects the findings of one manifest that matches the schema.
class Linter
{
public:
    Linter(const schema::Manifest &manifest, const YAML::Node &root)
        : m_manifest(manifest), m_root(root)
    {
        for (const auto &service : manifest.services())
            m_services.insert(service.name());
        for (const auto &customer : manifest.customers())
            m_customerRates.emplace(customer.name(), customer.rate());
    }

    Findings run()
    {
        std::set<std::string> names;
        for (int i = 0; i < m_manifest.services_size(); ++i) {
            const auto place = m_root.key("services").entry(i);
            const auto &service = m_manifest.services(i);
            if (!names.insert(service.name()).second)
                add(place.key("name"), "a second service " + service.name(),
                    "names of services are unique");
            checkLimits(service, place.key("limits"));
            checkHedging(service, place);
            for (int j = 0; j < service.routes_size(); ++j)
                checkRoute(service.routes(j), place.key("routes").entry(j));
        }
        checkAnyMethodRoutes();
        for (int i = 0; i < m_manifest.customers_size(); ++i)
            checkCustomer(m_manifest.customers(i), m_root.key("customers").entry(i));
        std::stable_sort(
                m_findings.begin(), m_findings.end(),
                [](const auto &left, const auto &right) { return left.line < right.line; });
        return std::move(m_findings);
    }

private:
    /// Host and path prefix.
    using Prefix = std::pair<std::string, std::string>;

    void add(const Place &place, std::string what, std::string why)
    {
        m_findings.push_back(place.finding(std::move(what), std::move(why)));
    }

    void checkBurst(std::uint32_t rate, std::uint32_t burst, const Place &place)
    {
        if (burst > 0 && burst < rate)
            add(place, "burst " + number(burst) + " under the rate " + number(rate),
                "requests at the rate that arrive together are refused");
    }

    void checkLimits(const schema::Service &service, const Place &place)
    {
        const auto &limits = service.limits();
        const auto slots = std::uint64_t(service.endpoints()) * service.slots();
        if (limits.concurrency() > slots)
            add(place.key("concurrency"),
                "concurrency " + number(limits.concurrency()) + " above all " + number(slots)
                        + " slots",
                "the limit has no effect");
        if (limits.concurrency() > 0 && limits.concurrency() < service.endpoints())
            add(place.key("concurrency"),
                "concurrency " + number(limits.concurrency()) + " below the "
                        + number(service.endpoints()) + " endpoints",
                "each endpoint admits at least one request");
        checkBurst(limits.customer_rate(), limits.customer_burst(), place.key("customer-burst"));
        std::set<std::string> names;
        for (int i = 0; i < limits.customers_size(); ++i)
            checkCustomerLimit(limits.customers(i), names, place.key("customers").entry(i));
    }

    void checkCustomerLimit(const schema::CustomerLimit &limit, std::set<std::string> &names,
                            const Place &place)
    {
        if (!names.insert(limit.customer()).second)
            add(place.key("customer"), limit.customer() + " is listed twice",
                "a customer has one limit in a service");
        checkBurst(limit.rate(), limit.burst(), place.key("burst"));
        const auto found = m_customerRates.find(limit.customer());
        if (found != m_customerRates.end() && found->second > 0 && limit.rate() > found->second)
            add(place.key("rate"),
                "rate " + number(limit.rate()) + " above that of the customer, "
                        + number(found->second),
                "the customer's rate over all services is reached first");
    }

    void checkHedging(const schema::Service &service, const Place &place)
    {
        const bool mayHedge = std::any_of(
                service.routes().begin(), service.routes().end(),
                [](const auto &route) { return route.idempotent() && route.attempts() > 1; });
        if (service.hedge_percent() > 0 && !mayHedge)
            add(place.key("hedge-percent"), "no route may be hedged",
                "hedges need an idempotent route with at least two attempts");
    }

    void checkRoute(const schema::Route &route, const Place &place)
    {
        // "*" and an empty host both match any host.
        const Prefix prefix(route.host() == "*" ? "" : route.host(), route.path_prefix());
        auto &methods = m_methods[prefix];
        for (const auto &method : route.methods()) {
            if (!methods.insert(method).second)
                add(place, method + " " + prefix.first + prefix.second + " is routed twice",
                    "only one of the routes can match");
        }
        if (route.methods().empty() && !m_anyMethod.emplace(prefix, place).second)
            add(place, "any method of " + prefix.first + prefix.second + " is routed twice",
                "only one of the routes can match");
        if (route.target_latency_ms() > route.deadline_ms())
            add(place.key("deadline-ms"),
                "deadline of " + number(route.deadline_ms()) + " ms below the target latency of "
                        + number(route.target_latency_ms()) + " ms",
                "requests end before the target");
        for (int i = 0; i < route.split_size(); ++i) {
            if (!m_services.contains(route.split(i).service()))
                add(place.key("split").entry(i).key("service"),
                    "no service " + route.split(i).service(), "its share of requests is refused");
        }
    }

    /// A route for any method takes the methods that no other route of its prefix lists.
    void checkAnyMethodRoutes()
    {
        constexpr std::size_t KnownMethods = 7;
        for (const auto &[prefix, place] : m_anyMethod) {
            if (m_methods[prefix].size() == KnownMethods)
                add(place, "the route can never match",
                    "other routes of the same host and prefix list every method");
        }
    }

    void checkCustomer(const schema::Customer &customer, const Place &place)
    {
        if (!m_customers.insert(customer.name()).second)
            add(place.key("name"), "a second customer " + customer.name(),
                "names of customers are unique");
        checkBurst(customer.rate(), customer.burst(), place.key("burst"));
        for (int i = 0; i < customer.keys_size(); ++i) {
            const auto [holder, isNew] = m_keys.emplace(customer.keys(i), customer.name());
            if (!isNew)
                add(place.key("keys").entry(i), "the key is also held by " + holder->second,
                    "a key belongs to one customer");
        }
    }

    const schema::Manifest &m_manifest;
    Place m_root;
    std::set<std::string> m_services;
    std::map<std::string, std::uint32_t> m_customerRates;
    std::map<Prefix, std::set<std::string>> m_methods; // listed by routes
    std::map<Prefix, Place> m_anyMethod; // routes without methods
    std::set<std::string> m_customers;
    std::map<std::string, std::string> m_keys; // with their holder
    Findings m_findings;
};

} // namespace

std::vector<ManifestFinding> lintManifest(std::string_view text)
{
    schema::Manifest manifest;
    if (const auto parsed = parseYaml(text, "manifest", manifest, manifestErrorCodes()); !parsed)
        return {schemaFinding(parsed.error().detail)};
    auto findings = Linter(manifest, YAML::Load(std::string(text))).run();
    // What only checkManifest() checks, such as the size of a service.
    if (const auto checked = checkManifest(manifest); findings.empty() && !checked)
        findings.push_back({1, "", checked.error().detail, ""});
    return findings;
}

std::string describe(const ManifestFinding &finding, const std::string &file)
{
    std::string text = file + ":" + std::to_string(finding.line) + ": ";
    for (const auto *part : {&finding.field, &finding.what, &finding.why}) {
        if (!part->empty())
            text.append(text.ends_with(": ") ? "" : ": ").append(*part);
    }
    return text;
}

} // namespace berylspur
