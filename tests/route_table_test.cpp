// Route table: match of host, path and method, changed and deleted services, conflicts.
#define BOOST_TEST_MODULE route_table
#include "berylspur/routing/route_table.h"
#include "property_check.h"

#include <boost/test/data/test_case.hpp>
#include <set>

using namespace berylspur;
using berylspur::test::checkProperty;
namespace data = boost::unit_test::data;

namespace {

schema::ServiceConfig makeService(
        const std::string &name,
        const std::vector<std::tuple<std::string, std::string, std::vector<std::string>>> &routes)
{
    schema::ServiceConfig config;
    config.set_service(name);
    for (const auto &[host, prefix, methods] : routes) {
        schema::Route *route = config.mutable_content()->add_routes();
        route->set_host(host);
        route->set_path_prefix(prefix);
        for (const std::string &method : methods)
            route->add_methods(method);
    }
    return config;
}

RouteTable makeTable()
{
    RouteTable table;
    table.update(makeService("any", {{"", "/", {}}, {"", "/scan", {"GET"}}, {"", "/long/er", {}}}));
    table.update(makeService("guide", {{"guide.example", "/", {"GET", "HEAD"}},
                                       {"guide.example", "/venue", {"GET"}},
                                       {"guide.example", "/venue/list/", {}}}));
    table.update(makeService(
            "desk", {{"guide.example", "/venue", {"POST"}}, {"desk.example", "/book", {"POST"}}}));
    table.update(makeService("wild", {{"*.wild.example", "/", {}}, {"*", "/star", {}}}));
    return table;
}

/// Key of the matching route, or the name of the error.
std::string matched(const RouteTable &table, std::string_view method, std::string_view host,
                    std::string_view path)
{
    const auto match = table.match(method, host, path);
    return match ? std::string(match.value().key) : std::string(errorName(match.error().code));
}

struct RouteCase
{
    std::string method;
    std::string host;
    std::string path;
    std::string expected;
};

std::ostream &operator<<(std::ostream &out, const RouteCase &row)
{
    return out << row.method << ' ' << row.host << ' ' << row.path;
}

const std::string UnknownRoute = "RequestUnknownRoute";
const std::string NotAllowed = "RequestMethodNotAllowed";

const std::vector<RouteCase> RouteCases {
        // Longest prefix, at a '/' boundary only.
        {"GET", "x.example", "/", "any  /"},
        {"GET", "x.example", "/scan", "any  /scan"},
        {"GET", "x.example", "/scan/", "any  /scan"},
        {"GET", "x.example", "/scan/1/2", "any  /scan"},
        {"GET", "x.example", "/scanner", "any  /"},
        {"GET", "x.example", "/long/er/yet", "any  /long/er"},
        {"GET", "x.example", "/long", "any  /"},
        {"GET", "x.example", "/long/error", "any  /"},
        {"GET", "guide.example", "/venue/list", "guide guide.example /venue"},
        {"GET", "guide.example", "/venue/list/", "guide guide.example /venue/list/"},
        {"GET", "guide.example", "/venue/list/a", "guide guide.example /venue/list/"},
        // Exact host before any host; any host if the exact host has no route for the path.
        {"GET", "guide.example", "/scan", "guide guide.example /"},
        {"POST", "desk.example", "/book/7", "desk desk.example /book"},
        {"GET", "desk.example", "/scan", "any  /scan"},
        // Method.
        {"POST", "guide.example", "/venue/7", "desk guide.example /venue"},
        {"GET", "guide.example", "/venue/7", "guide guide.example /venue"},
        {"PUT", "guide.example", "/venue/7", NotAllowed},
        {"POST", "x.example", "/scan", NotAllowed},
        {"get", "x.example", "/scan", NotAllowed},
        // Port, case and final dot of the host.
        {"POST", "desk.example:8443", "/book", "desk desk.example /book"},
        {"POST", "DESK.Example", "/book", "desk desk.example /book"},
        {"POST", "desk.example.", "/book", "desk desk.example /book"},
        {"POST", "Desk.Example.:80", "/book", "desk desk.example /book"},
        {"GET", "[::1]:80", "/scan", "any  /scan"},
        {"GET", "[broken", "/scan", "any  /scan"},
        {"GET", "", "/scan", "any  /scan"},
        {"GET", std::string(300, 'a'), "/scan", "any  /scan"},
        // Paths are case-sensitive.
        {"POST", "desk.example", "/Book", "any  /"},
        // Query and fragment.
        {"GET", "x.example", "/scan?next=/long/er", "any  /scan"},
        {"GET", "x.example", "/scan/?a=/", "any  /scan"},
        {"GET", "x.example", "/scan#part", "any  /scan"},
        {"GET", "x.example", "/?/scan", "any  /"},
        // Wildcard hosts.
        {"GET", "a.wild.example", "/x", "wild *.wild.example /"},
        {"GET", "a.b.wild.example:1", "/x", "wild *.wild.example /"},
        {"GET", "wild.example", "/x", "any  /"},
        {"GET", "x.example", "/star/1", "wild * /star"},
        // No path.
        {"GET", "x.example", "", UnknownRoute},
        {"OPTIONS", "x.example", "*", UnknownRoute},
};

/// Longest matching prefix of \a host or, if it has none, of any host, by a scan over all routes.
std::string scan(const std::vector<schema::ServiceConfig> &services, const std::string &host,
                 const std::string &path)
{
    for (const std::string &wanted : {host, std::string()}) {
        std::string best;
        std::size_t longest = 0;
        for (const auto &service : services) {
            for (const auto &route : service.content().routes()) {
                const std::string &prefix = route.path_prefix();
                const bool matches = path.rfind(prefix, 0) == 0
                                     && (path.size() == prefix.size() || prefix.back() == '/'
                                         || path[prefix.size()] == '/');
                if (route.host() == wanted && matches && prefix.size() > longest) {
                    longest = prefix.size();
                    best = service.service() + ' ' + wanted + ' ' + prefix;
                }
            }
        }
        if (longest > 0)
            return best;
    }
    return UnknownRoute;
}

std::string drawPath()
{
    std::string path;
    const int parts = *rc::gen::inRange(1, 5);
    for (int i = 0; i < parts; ++i)
        path += "/" + *rc::gen::element<std::string>("", "a", "b", "ab");
    return path;
}

} // namespace

BOOST_AUTO_TEST_SUITE(route_table)

// Guards against a request that reaches a service other than the one in the manifest.
BOOST_DATA_TEST_CASE(match, data::make(RouteCases), row)
{
    BOOST_TEST(matched(makeTable(), row.method, row.host, row.path) == row.expected);
}

// Guards against hash lookups that differ from a linear scan over all routes, also after services
// changed or were deleted.
BOOST_AUTO_TEST_CASE(match_equals_a_scan)
{
    checkProperty(1000, [] {
        RouteTable table;
        std::vector<schema::ServiceConfig> services;
        std::set<std::pair<std::string, std::string>> taken;
        const int updates = *rc::gen::inRange(1, 12);
        for (int i = 0; i < updates; ++i) {
            const std::string name = "s" + std::to_string(*rc::gen::inRange(0, 5));
            std::erase_if(services, [&](const auto &old) {
                for (const auto &route : old.content().routes())
                    if (old.service() == name)
                        taken.erase({route.host(), route.path_prefix()});
                return old.service() == name;
            });
            std::vector<std::tuple<std::string, std::string, std::vector<std::string>>> routes;
            const int count = *rc::gen::inRange(0, 5);
            for (int j = 0; j < count; ++j) {
                const auto host = *rc::gen::element<std::string>("", "h1", "h2");
                const auto prefix = drawPath();
                if (taken.emplace(host, prefix).second)
                    routes.emplace_back(host, prefix, std::vector<std::string>());
            }
            schema::ServiceConfig config = makeService(name, routes);
            if (routes.empty())
                config.set_deleted(true);
            else
                services.push_back(config);
            table.update(config);
        }
        std::size_t routes = 0;
        for (const auto &service : services)
            routes += static_cast<std::size_t>(service.content().routes_size());
        RC_ASSERT(table.routes() == routes);
        RC_ASSERT(table.services() == services.size());
        for (int i = 0; i < 10; ++i) {
            const auto host = *rc::gen::element<std::string>("h1", "h2", "h3");
            const auto path = drawPath();
            RC_ASSERT(matched(table, "GET", host, path) == scan(services, host, path));
        }
    });
}

// Guards against routes that stay in force after their service was changed or deleted.
BOOST_AUTO_TEST_CASE(deleted_service_has_no_routes)
{
    RouteTable table = makeTable();
    schema::ServiceConfig gone = makeService("guide", {});
    gone.set_deleted(true);
    table.update(gone);
    BOOST_TEST(table.service("guide") == nullptr);
    BOOST_TEST(matched(table, "GET", "guide.example", "/venue") == NotAllowed);
    BOOST_TEST(matched(table, "GET", "guide.example", "/scan") == "any  /scan");
    table.update(makeService("any", {{"", "/only", {}}}));
    BOOST_TEST(matched(table, "GET", "x.example", "/scan") == UnknownRoute);
    BOOST_TEST(table.services() == 3U);
    BOOST_TEST(table.routes() == 5U);
}

// Guards against route conflicts whose result depends on the order in which services arrived.
BOOST_AUTO_TEST_CASE(conflict_is_decided_by_name)
{
    const auto first = makeService("a", {{"", "/", {}}});
    const auto second = makeService("b", {{"", "/", {}}, {"", "/", {"GET"}}});
    RouteTable one;
    one.update(first);
    one.update(second);
    RouteTable other;
    other.update(second);
    other.update(first);
    for (const RouteTable *table : {&one, &other}) {
        BOOST_TEST(matched(*table, "POST", "x", "/") == "a  /");
        BOOST_TEST(matched(*table, "GET", "x", "/") == "b  /");
    }
}

BOOST_AUTO_TEST_SUITE_END()
