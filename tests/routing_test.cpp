// Rotation and its floor, endpoint choice, route table, retry budget, path health.
#define BOOST_TEST_MODULE routing
#include "berylspur/routing/endpoint_picker.h"
#include "berylspur/routing/path_health.h"
#include "berylspur/routing/retry_budget.h"
#include "berylspur/routing/rotation.h"
#include "berylspur/routing/route_table.h"
#include "property_check.h"

#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <map>
#include <set>

using namespace berylspur;
using namespace std::chrono_literals;
using berylspur::test::checkProperty;
namespace data = boost::unit_test::data;

namespace {

const TimePoint Start {1000s};

bool isReady(const EndpointView &endpoint)
{
    return endpoint.ownerAlive && endpoint.readiness == EndpointReadiness::Ready;
}

std::uint32_t readySlots(const std::vector<EndpointView> &view)
{
    std::uint32_t slots = 0;
    for (const EndpointView &endpoint : view)
        slots += isReady(endpoint) ? endpoint.slots : 0;
    return slots;
}

bool isIn(RotationVerdict verdict)
{
    return verdict == RotationVerdict::InRotation || verdict == RotationVerdict::HeldByFloor;
}

/// Ready slots of \a view that \a rotation leaves in rotation.
std::uint32_t slotsLeft(const std::vector<EndpointView> &view, const Rotation &rotation)
{
    std::uint32_t slots = 0;
    for (const RotationEntry &entry : rotation.entries) {
        if (isIn(entry.verdict) && isReady(view[entry.endpoint]))
            slots += view[entry.endpoint].slots;
    }
    return slots;
}

std::map<std::string, RotationVerdict> verdictsById(const std::vector<EndpointView> &view,
                                                    const RotationConfig &config)
{
    std::map<std::string, RotationVerdict> verdicts;
    for (const RotationEntry &entry : rotation(view, config).entries)
        verdicts[view[entry.endpoint].id] = entry.verdict;
    return verdicts;
}

std::vector<EndpointView> drawView()
{
    const auto size = *rc::gen::inRange<std::size_t>(0, 40);
    std::vector<EndpointView> view(size);
    for (std::size_t i = 0; i < size; ++i) {
        view[i].id = "endpoint-" + std::to_string(i);
        view[i].node = "node-" + std::to_string(i);
        view[i].failureDomain = "domain-" + std::to_string(*rc::gen::inRange(0, 4));
        view[i].slots = *rc::gen::inRange<std::uint32_t>(0, 9);
        view[i].readiness =
                *rc::gen::weightedElement<EndpointReadiness>({{6, EndpointReadiness::Ready},
                                                              {1, EndpointReadiness::Cold},
                                                              {1, EndpointReadiness::Draining}});
        view[i].severity = *rc::gen::weightedOneOf<std::uint32_t>(
                {{1, rc::gen::just(0U)}, {1, rc::gen::inRange(1U, 5U)}});
        view[i].ownerAlive = *rc::gen::weightedElement<bool>({{6, true}, {1, false}});
    }
    return view;
}

/// View of a node on one side of a partition: some owners unreachable, different suspicions.
std::vector<EndpointView> drawOtherView(std::vector<EndpointView> view)
{
    for (EndpointView &endpoint : view) {
        endpoint.ownerAlive = endpoint.ownerAlive && *rc::gen::arbitrary<bool>();
        endpoint.severity = *rc::gen::inRange(0U, 5U);
    }
    return view;
}

std::vector<EndpointView> makeView(const std::vector<std::string> &domains)
{
    std::vector<EndpointView> view;
    for (const std::string &domain : domains) {
        EndpointView endpoint;
        endpoint.id = "e" + std::to_string(view.size());
        endpoint.failureDomain = domain;
        endpoint.slots = 4;
        view.push_back(endpoint);
    }
    return view;
}

/// Counts of 400 picks by index.
std::map<std::size_t, int> pickCounts(EndpointPicker &picker, const std::vector<EndpointView> &view,
                                      const std::unordered_set<std::string> &excluded,
                                      TimePoint now)
{
    Random random(11);
    std::map<std::size_t, int> counts;
    const Rotation all = rotation(view, {});
    for (int i = 0; i < 400; ++i) {
        if (const auto pick = picker.pick(view, all, excluded, now, random))
            ++counts[*pick];
    }
    return counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(rotation_floor)

// Guards against ejection below the floor (invariant 1), and against endpoints that serve no
// requests being counted as capacity.
BOOST_AUTO_TEST_CASE(floor_holds_for_any_view)
{
    checkProperty(2000, [] {
        const auto view = drawView();
        const auto floor = *rc::gen::inRange<std::uint32_t>(0, 200);
        const Rotation result = rotation(view, {floor});
        RC_ASSERT(slotsLeft(view, result) >= std::min(floor, readySlots(view)));
        RC_ASSERT(slotsLeft(view, result) == result.slotsInRotation);
        RC_ASSERT(result.entries.size() == view.size());
        std::set<std::uint32_t> admitted(result.admitted.begin(), result.admitted.end());
        RC_ASSERT(admitted.size() == result.admitted.size());
        for (std::size_t i = 0; i < view.size(); ++i) {
            const RotationVerdict verdict = result.entries[i].verdict;
            RC_ASSERT(result.entries[i].endpoint == i);
            RC_ASSERT(isIn(verdict) == (admitted.count(static_cast<std::uint32_t>(i)) == 1));
            RC_ASSERT(!isIn(verdict) || isReady(view[i]));
            RC_ASSERT(verdict != RotationVerdict::Ejected || view[i].severity > 0);
        }
    });
}

// Guards against ejecting a suspect while a more severe one of the same size stays in rotation.
BOOST_AUTO_TEST_CASE(most_severe_suspect_is_ejected_first)
{
    checkProperty(2000, [] {
        const auto view = drawView();
        const Rotation result = rotation(view, {*rc::gen::inRange<std::uint32_t>(0, 120)});
        for (std::size_t held = 0; held < view.size(); ++held) {
            if (result.entries[held].verdict != RotationVerdict::HeldByFloor)
                continue;
            for (std::size_t gone = 0; gone < view.size(); ++gone) {
                if (result.entries[gone].verdict == RotationVerdict::Ejected
                    && view[gone].slots >= view[held].slots)
                    RC_ASSERT(view[gone].severity >= view[held].severity);
            }
        }
    });
}

// Guards against nodes with the same view that eject different endpoints and so go below the floor
// together.
BOOST_AUTO_TEST_CASE(order_of_the_view_does_not_matter)
{
    checkProperty(1000, [] {
        auto view = drawView();
        const RotationConfig config {*rc::gen::inRange<std::uint32_t>(0, 120)};
        const auto before = verdictsById(view, config);
        Random random(*rc::gen::arbitrary<std::uint64_t>());
        std::shuffle(view.begin(), view.end(), random);
        RC_ASSERT(verdictsById(view, config) == before);
    });
}

// Guards against a self-inflicted outage when a common cause makes all endpoints look faulty at
// once.
BOOST_AUTO_TEST_CASE(all_suspect_ejects_down_to_the_floor_only)
{
    checkProperty(1000, [] {
        auto view = drawView();
        for (EndpointView &endpoint : view) {
            endpoint.slots = 4;
            endpoint.severity = *rc::gen::inRange(1U, 5U);
        }
        const std::uint32_t ready = readySlots(view);
        const auto floor = *rc::gen::inRange<std::uint32_t>(0, 160);
        const std::uint32_t roundedUp = (floor + 3) / 4 * 4;
        RC_ASSERT(slotsLeft(view, rotation(view, {floor})) == std::min(roundedUp, ready));
    });
}

// Guards against ejections on one side of a partition that count on capacity of the other side.
BOOST_AUTO_TEST_CASE(both_sides_of_a_partition_keep_the_floor)
{
    checkProperty(1000, [] {
        const auto left = drawView();
        const auto right = drawOtherView(left);
        const auto floor = *rc::gen::inRange<std::uint32_t>(0, 120);
        for (const auto &view : {left, right})
            RC_ASSERT(slotsLeft(view, rotation(view, {floor}))
                      >= std::min(floor, readySlots(view)));
    });
}

// Guards against draining, cold or unreachable endpoints being counted as capacity that allows
// further ejections.
BOOST_AUTO_TEST_CASE(endpoints_without_capacity_allow_no_ejections)
{
    auto view = makeView({"a", "a", "a", "a"});
    view[0].severity = 3;
    view[1].readiness = EndpointReadiness::Draining;
    view[2].readiness = EndpointReadiness::Cold;
    view[3].ownerAlive = false;
    const Rotation held = rotation(view, {4});
    BOOST_TEST((held.entries[0].verdict == RotationVerdict::HeldByFloor));
    BOOST_TEST((held.entries[1].verdict == RotationVerdict::NotReady));
    BOOST_TEST((held.entries[2].verdict == RotationVerdict::NotReady));
    BOOST_TEST((held.entries[3].verdict == RotationVerdict::OwnerGone));
    BOOST_TEST(held.slotsInRotation == 4U);
    view[1].readiness = EndpointReadiness::Ready;
    BOOST_TEST((rotation(view, {4}).entries[0].verdict == RotationVerdict::Ejected));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(picker)

// Guards against traffic to other failure domains while the gate's own has free slots.
BOOST_AUTO_TEST_CASE(own_failure_domain_goes_first)
{
    const auto view = makeView({"a", "b", "b", "c"});
    EndpointPicker picker("b");
    auto counts = pickCounts(picker, view, {}, Start);
    BOOST_TEST(counts.size() == 2U);
    BOOST_TEST((counts[1] > 0 && counts[2] > 0));

    picker.onLoadReported("e1", {4, 0, 3, 10ms}, Start);
    counts = pickCounts(picker, view, {}, Start);
    BOOST_TEST(counts[2] == 400);

    picker.onLoadReported("e2", {4, 0, 1, 10ms}, Start);
    counts = pickCounts(picker, view, {}, Start);
    BOOST_TEST(counts[1] + counts[2] < 200);
    BOOST_TEST((counts[0] > 0 && counts[3] > 0));
}

// Guards against a retry at the endpoint that refused the request, and against ejected endpoints
// being picked.
BOOST_AUTO_TEST_CASE(excluded_and_ejected_are_not_picked)
{
    checkProperty(1000, [] {
        const auto view = drawView();
        const Rotation in = rotation(view, {*rc::gen::inRange<std::uint32_t>(0, 120)});
        std::unordered_set<std::string> excluded;
        std::size_t left = 0;
        for (std::size_t i = 0; i < view.size(); ++i) {
            if (*rc::gen::arbitrary<bool>())
                excluded.insert(view[i].id);
            else if (isIn(in.entries[i].verdict))
                ++left;
        }
        Random random(*rc::gen::arbitrary<std::uint64_t>());
        for (const PickMode mode : {PickMode::OwnerLoad, PickMode::TwoRandom}) {
            EndpointPicker picker("domain-1", mode);
            for (int i = 0; i < 20; ++i) {
                const auto pick = picker.pick(view, in, excluded, Start, random);
                RC_ASSERT(pick.has_value() == (left > 0));
                if (!pick)
                    break;
                RC_ASSERT(excluded.count(view[*pick].id) == 0);
                RC_ASSERT(isIn(in.entries[*pick].verdict));
                picker.onRequestSent(view[*pick].id);
            }
        }
    });
}

// Guards against a biased choice that leaves endpoints idle, in small and large services.
BOOST_DATA_TEST_CASE(idle_endpoints_share_evenly, data::make({2, 5, 8, 40}), size)
{
    const auto view = makeView(std::vector<std::string>(static_cast<std::size_t>(size), "a"));
    EndpointPicker picker("a");
    const Rotation all = rotation(view, {});
    Random random(5);
    std::map<std::size_t, int> counts;
    for (int i = 0; i < 1000 * size; ++i)
        ++counts[*picker.pick(view, all, {}, Start, random)];
    for (int i = 0; i < size; ++i) {
        BOOST_TEST(counts[static_cast<std::size_t>(i)] > 850);
        BOOST_TEST(counts[static_cast<std::size_t>(i)] < 1150);
    }
}

// Guards against an endpoint that is avoided forever: its last report showed a long queue, and
// without requests no new report arrives.
BOOST_AUTO_TEST_CASE(stale_report_ages_out)
{
    const auto view = makeView({"a", "a"});
    EndpointPicker picker("a");
    picker.onLoadReported("e0", {4, 0, 50, 100ms}, Start);
    BOOST_TEST(pickCounts(picker, view, {}, Start)[0] == 0);
    const auto later = pickCounts(picker, view, {}, Start + EndpointPicker::ReportLifetime);
    BOOST_TEST(later.at(0) > 100);
}

// Guards against a burst within one round trip that goes entirely to the endpoint last reported
// free.
BOOST_AUTO_TEST_CASE(own_requests_since_the_report_count)
{
    const auto view = makeView({"a", "a"});
    EndpointPicker picker("a");
    picker.onLoadReported("e0", {4, 4, 0, 10ms}, Start);
    picker.onLoadReported("e1", {4, 4, 0, 10ms}, Start);
    Random random(3);
    const Rotation all = rotation(view, {});
    std::map<std::size_t, int> sent;
    for (int i = 0; i < 8; ++i) {
        const auto pick = picker.pick(view, all, {}, Start, random);
        picker.onRequestSent(view[*pick].id);
        ++sent[*pick];
    }
    BOOST_TEST(sent[0] == 4);
    BOOST_TEST(sent[1] == 4);
    for (int i = 0; i < 4; ++i)
        picker.onRequestEnded("e0");
    BOOST_TEST(pickCounts(picker, view, {}, Start)[0] == 400);
}

// Guards against memory growth with each endpoint that ever existed.
BOOST_AUTO_TEST_CASE(retain_forgets)
{
    EndpointPicker picker("a");
    picker.onRequestSent("e0");
    picker.onLoadReported("e1", {}, Start);
    picker.onRequestEnded("unknown");
    BOOST_TEST(picker.size() == 2U);
    picker.retain({"e1"});
    BOOST_TEST(picker.size() == 1U);
    picker.onRequestEnded("e0");
    BOOST_TEST(picker.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

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

BOOST_AUTO_TEST_SUITE(retries)

// Guards against retry storms (invariant 8): the bound must hold over every period, also
// from the start.
BOOST_AUTO_TEST_CASE(bound_by_count)
{
    checkProperty(1000, [] {
        const auto percent = *rc::gen::inRange<std::uint32_t>(0, 101);
        RetryBudget budget(percent);
        // Largest value of 100 x retries - percent x requests over all periods that end now.
        std::int64_t worst = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 4));
        for (const int step : steps) {
            if (step == 0) {
                budget.recordRequest();
                worst = std::max<std::int64_t>(worst - percent, 0);
            } else if (budget.tryRetry()) {
                worst += 100;
            }
            RC_ASSERT(worst <= 100 * RetryBudget::Burst);
        }
    });
}

// Guards against a budget that refuses retries that the manifest allows.
BOOST_DATA_TEST_CASE(steady_share_is_granted, data::make({1, 10, 50, 100}), percent)
{
    RetryBudget budget(static_cast<std::uint32_t>(percent));
    int retries = 0;
    for (int i = 0; i < 10000; ++i) {
        budget.recordRequest();
        retries += budget.tryRetry() ? 1 : 0;
    }
    BOOST_TEST(retries >= percent * 100);
    BOOST_TEST(retries <= percent * 100 + 10);
}

// Guards against retries where the manifest allows none.
BOOST_AUTO_TEST_CASE(zero_percent_allows_none)
{
    RetryBudget budget(0);
    budget.recordRequest();
    BOOST_TEST(!budget.tryRetry());
    budget.setPercent(10);
    BOOST_TEST(budget.tryRetry());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(paths)

// Guards against a failing path that is tried at the full rate, and against a path that stays
// avoided after it has recovered.
BOOST_AUTO_TEST_CASE(avoidance_doubles_and_ends)
{
    PathHealth health;
    TimePoint now = Start;
    for (const Duration expected : std::vector<Duration> {250ms, 500ms, 1s, 2s, 4s, 8s, 8s}) {
        health.recordFailure("n", now);
        BOOST_TEST(!health.isUsable("n", now + expected - 1us));
        BOOST_TEST(health.isUsable("n", now + expected));
        now += expected;
    }
    health.recordSuccess("n");
    health.recordFailure("n", now);
    BOOST_TEST(health.isUsable("n", now + 250ms));
    BOOST_TEST(health.isUsable("other", now));
    health.retain({"n"});
    BOOST_TEST(health.size() == 1U);
    health.retain({"other"});
    BOOST_TEST(health.size() == 0U);
}

// Guards against the maximum backoff of 8 s after a single broken connection with many requests.
BOOST_AUTO_TEST_CASE(failures_together_count_once)
{
    PathHealth health;
    for (int i = 0; i < 50; ++i)
        health.recordFailure("n", Start + i * 1ms);
    BOOST_TEST(health.isUsable("n", Start + 250ms));
}

BOOST_AUTO_TEST_SUITE_END()
