// Manifest checks: example files, a table of invalid manifests, and a property test.
#define BOOST_TEST_MODULE manifest
#include "berylspur/config/manifest_check.h"
#include "berylspur/settings/yaml_loader.h"
#include "property_check.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace berylspur;
namespace data = boost::unit_test::data;

namespace {

std::string head(const std::string &name = "a")
{
    return "fleet: f\nservices:\n- {name: " + name + ", endpoints: 4, slots: 2, ";
}

std::string route(const std::string &fields)
{
    return "{idempotent: true, " + fields + "}";
}

/// A manifest with the error code and the message text that its check must return.
struct Row
{
    const char *what;
    std::string text;
    ErrorCode code;
    const char *expected;
};

std::ostream &operator<<(std::ostream &stream, const Row &row)
{
    return stream << row.what;
}

const std::string OneRoute = "routes: [" + route("path-prefix: /") + "]";

const std::vector<Row> Rows = {
        {"smallest", head() + OneRoute + "}", ErrorCode::Ok, ""},
        {"two services of one name",
         head() + OneRoute + "}\n- {name: a, endpoints: 1, slots: 1, routes: ["
                 + route("path-prefix: /b") + "]}",
         ErrorCode::ManifestDuplicateService, "a"},
        {"same route in two services",
         head() + OneRoute + "}\n- {name: b, endpoints: 1, slots: 1, " + OneRoute + "}",
         ErrorCode::ManifestRouteConflict, "any method */ is routed by a and b"},
        {"same method in two routes",
         head() + "routes: [" + route("path-prefix: /, methods: [GET, PUT]") + ", "
                 + route("path-prefix: /, methods: [POST, PUT]") + "]}",
         ErrorCode::ManifestRouteConflict, "PUT */ is routed by a and a"},
        {"any host in two spellings",
         head() + "routes: [" + route("path-prefix: /, host: '*'") + ", " + route("path-prefix: /")
                 + "]}",
         ErrorCode::ManifestRouteConflict, "any method */"},
        {"same path on two hosts",
         head() + "routes: [" + route("path-prefix: /, host: x") + ", "
                 + route("path-prefix: /, host: y") + "]}",
         ErrorCode::Ok, ""},
        {"one route for all other methods",
         head() + "routes: [" + route("path-prefix: /, methods: [GET]") + ", "
                 + route("path-prefix: /") + "]}",
         ErrorCode::Ok, ""},
        {"method named twice in one route",
         head() + "routes: [" + route("path-prefix: /, methods: [GET, GET]") + "]}", ErrorCode::Ok,
         ""},
        {"limit below the endpoints", head() + OneRoute + ", limits: {concurrency: 3}}",
         ErrorCode::ManifestInvalid, "a: limits.concurrency: expected 0 or at least"},
        {"limit at the endpoints", head() + OneRoute + ", limits: {concurrency: 4}}", ErrorCode::Ok,
         ""},
        {"limit of 0", head() + OneRoute + ", limits: {concurrency: 0}}", ErrorCode::Ok, ""},
        {"customer twice",
         head() + OneRoute
                 + ", limits: {customers: [{customer: x, rate: 1, burst: 1}, {customer: x, rate: "
                   "2, burst: 1}]}}",
         ErrorCode::ManifestInvalid, "a: limits.customers: x is listed twice"},
        {"customer with one key twice",
         head() + OneRoute + "}\ncustomers: [{name: x, keys: [k, k]}, {name: y, keys: [l]}]",
         ErrorCode::Ok, ""},
        {"two customers of one name",
         head() + OneRoute + "}\ncustomers: [{name: x, keys: [k]}, {name: x, keys: [l]}]",
         ErrorCode::ManifestCustomerConflict, "customers: x is listed twice"},
        {"key of two customers",
         head() + OneRoute + "}\ncustomers: [{name: x, keys: [k]}, {name: y, keys: [l, k]}]",
         ErrorCode::ManifestCustomerConflict, "customers: x and y hold the same key"},
        {"no route", head() + "drain: []}", ErrorCode::ManifestInvalid,
         "m.yaml:3: services[0].routes: expected this key, it is missing"},
        {"no service", "fleet: f\nservices: []", ErrorCode::ManifestInvalid,
         "m.yaml:2: services: expected at least 1 entries"},
        {"floor above all", head() + OneRoute + ", floor-percent: 101}", ErrorCode::ManifestInvalid,
         "services[0].floor-percent: expected a whole number from 0 to 100"},
        {"long class misspelt",
         head() + "routes: [" + route("path-prefix: /, request-class: longer") + "]}",
         ErrorCode::ManifestInvalid,
         "services[0].routes[0].request-class: expected one of short, long"},
        {"idempotent left open", head() + "routes: [{path-prefix: /}]}", ErrorCode::ManifestInvalid,
         "services[0].routes[0].idempotent: expected this key"},
};

Result<void> check(const std::string &text)
{
    schema::Manifest manifest;
    if (auto result = parseYaml(text, "m.yaml", manifest, manifestErrorCodes()); !result)
        return result;
    return checkManifest(manifest);
}

} // namespace

// Guards against accepting a manifest that is ambiguous or that the fleet cannot satisfy.
BOOST_DATA_TEST_CASE(manifest_is_checked, data::make(Rows))
{
    const auto result = check(sample.text);
    const auto code = result ? ErrorCode::Ok : result.error().code;
    BOOST_TEST(errorName(code) == errorName(sample.code));
    if (!result)
        BOOST_TEST(result.error().detail.find(sample.expected) != std::string::npos,
                   result.error().detail);
}

// Guards against examples that no longer load, or whose POST routes are idempotent, so that a
// retried request could run twice.
BOOST_DATA_TEST_CASE(example_manifest_is_valid, data::make({"resturi-clare.yaml", "midlands.yaml"}))
{
    const auto manifest = loadManifest(std::string(BERYLSPUR_SOURCE_DIR "/examples/") + sample);
    BOOST_REQUIRE_MESSAGE(manifest.has_value(), (manifest ? "" : describe(manifest.error())));
    BOOST_TEST(manifest.value().services_size() == 4);
    int longRoutes = 0;
    int postRoutes = 0;
    for (const auto &service : manifest.value().services()) {
        for (const auto &entry : service.routes()) {
            longRoutes += entry.request_class() == schema::CLASS_LONG ? 1 : 0;
            for (const auto &method : entry.methods()) {
                postRoutes += method == "POST" ? 1 : 0;
                BOOST_TEST((method != "POST" || !entry.idempotent()));
            }
        }
    }
    BOOST_TEST(longRoutes == 1);
    BOOST_TEST(postRoutes == 2);
}

namespace {

/// A random manifest with few distinct names, so that duplicates and conflicts are frequent.
schema::Manifest smallManifest()
{
    schema::Manifest manifest;
    manifest.set_fleet("f");
    const std::vector<std::string> methods = {"GET", "POST"};
    const int services = *rc::gen::inRange(1, 5);
    for (int i = 0; i < services; ++i) {
        auto &service = *manifest.add_services();
        service.set_name("s" + std::to_string(*rc::gen::inRange(0, 12)));
        service.set_endpoints(4);
        service.mutable_limits()->set_concurrency(
                *rc::gen::elementOf(std::vector<std::uint32_t> {0, 0, 0, 1, 3, 4, 5}));
        const int routes = *rc::gen::inRange(1, 4);
        for (int j = 0; j < routes; ++j) {
            auto &added = *service.add_routes();
            added.set_host(*rc::gen::elementOf(std::vector<std::string> {"", "*", "h", "i"}));
            added.set_path_prefix("/" + std::to_string(*rc::gen::inRange(0, 6)));
            for (const auto &method : methods) {
                if (*rc::gen::arbitrary<bool>())
                    added.add_methods(method);
            }
        }
        const int customers = *rc::gen::inRange(0, 3);
        for (int j = 0; j < customers; ++j)
            service.mutable_limits()->add_customers()->set_customer(
                    "c" + std::to_string(*rc::gen::inRange(0, 9)));
    }
    return manifest;
}

/// True if \a left and \a right conflict, that is, both match the same request.
bool overlap(const schema::Route &left, const schema::Route &right)
{
    const auto host = [](const schema::Route &r) { return r.host() == "*" ? "" : r.host(); };
    if (host(left) != host(right) || left.path_prefix() != right.path_prefix())
        return false;
    if (left.methods().empty() || right.methods().empty())
        return left.methods().empty() && right.methods().empty();
    for (const auto &a : left.methods()) {
        for (const auto &b : right.methods()) {
            if (a == b)
                return true;
        }
    }
    return false;
}

bool isValid(const schema::Manifest &manifest)
{
    std::vector<const schema::Route *> routes;
    for (int i = 0; i < manifest.services_size(); ++i) {
        const auto &service = manifest.services(i);
        for (int j = 0; j < i; ++j) {
            if (manifest.services(j).name() == service.name())
                return false;
        }
        const auto limit = service.limits().concurrency();
        if (limit != 0 && limit < service.endpoints())
            return false;
        const auto &customers = service.limits().customers();
        for (int j = 0; j < customers.size(); ++j) {
            for (int k = 0; k < j; ++k) {
                if (customers[j].customer() == customers[k].customer())
                    return false;
            }
        }
        for (const auto &entry : service.routes())
            routes.push_back(&entry);
    }
    for (std::size_t i = 0; i < routes.size(); ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            if (overlap(*routes[i], *routes[j]))
                return false;
        }
    }
    return true;
}

} // namespace

// Guards against a check whose result depends on the position or the order of entries.
BOOST_AUTO_TEST_CASE(check_agrees_with_pairwise_comparison)
{
    int valid = 0;
    test::checkProperty(3000, [&valid] {
        auto manifest = smallManifest();
        const bool expected = isValid(manifest);
        valid += expected ? 1 : 0;
        RC_ASSERT(checkManifest(manifest).has_value() == expected);
        std::reverse(manifest.mutable_services()->begin(), manifest.mutable_services()->end());
        RC_ASSERT(checkManifest(manifest).has_value() == expected);
    });
    // The comparison is only meaningful if both results occur often.
    BOOST_TEST(valid > 300);
    BOOST_TEST(valid < 2700);
}
