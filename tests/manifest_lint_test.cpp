// Findings in manifests: a table of faults with their line, field and text.
#define BOOST_TEST_MODULE manifest_lint
#include "berylspur/ctl/manifest_diff.h"
#include "berylspur/ctl/manifest_lint.h"
#include "berylspur/settings/yaml_loader.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <ostream>
#include <sstream>

using namespace berylspur;
namespace data = boost::unit_test::data;

namespace {

/// Lines 1 to 12 of a manifest without findings; the rows append to it.
const std::string Base = R"(fleet: f
services:
- name: a
  endpoints: 4
  slots: 2
  limits: {concurrency: 8, customer-rate: 5, customer-burst: 5}
  routes:
  - {path-prefix: /, idempotent: true, methods: [GET]}
- name: b
  endpoints: 4
  slots: 2
  routes:
)";
const std::string Route = "  - {path-prefix: /b, idempotent: true}\n";

struct Row
{
    const char *guards; ///< fault that must be found
    std::string text;
    std::vector<std::string> findings; ///< as described, without the file
};

std::ostream &operator<<(std::ostream &out, const Row &row)
{
    return out << row.guards;
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

const std::vector<Row> Rows {
        {"none", Base + Route, {}},
        {"misspelt key",
         Base + "  - {path-prefx: /b, idempotent: true}\n",
         {"13: services[1].routes[0].path-prefx: unknown key: did you mean path-prefix? expected "
          "one of host, path-prefix, methods, request-class, idempotent, deadline-ms, attempts, "
          "target-latency-ms, priority, split, anonymous"}},
        {"wrong value",
         replaced(Base + Route, "slots: 2", "slots: two"),
         {"5: services[0].slots: expected a whole number from 1 to 1000"}},
        {"no YAML", "fleet: [", {"1: expected YAML: end of sequence flow not found"}},
        {"two services of one name",
         replaced(Base + Route, "name: b", "name: a"),
         {"9: services[1].name: a second service a: names of services are unique"}},
        {"method routed twice",
         Base + "  - {path-prefix: /, idempotent: true, methods: [PUT, GET]}\n",
         {"13: services[1].routes[0]: GET / is routed twice: only one of the routes can match"}},
        {"any method routed twice",
         Base + Route + "  - {host: '*', path-prefix: /b, idempotent: true}\n",
         {"14: services[1].routes[1]: any method of /b is routed twice: only one of the routes can "
          "match"}},
        {"route shadowed by method lists",
         Base + Route
                 + "  - {path-prefix: /b, idempotent: true, methods: [GET, HEAD, POST, PUT, "
                   "DELETE, "
                   "PATCH, OPTIONS]}\n",
         {"13: services[1].routes[0]: the route can never match: other routes of the same host and "
          "prefix list every method"}},
        {"split to no service",
         Base
                 + "  - path-prefix: /b\n    idempotent: true\n    split:\n    - {service: a, "
                   "weight: 1}\n"
                   "    - {service: c, weight: 1}\n",
         {"17: services[1].routes[0].split[1].service: no service c: its share of requests is "
          "refused"}},
        {"deadline below the target",
         Base
                 + "  - path-prefix: /b\n    idempotent: true\n    target-latency-ms: 200\n"
                   "    deadline-ms: 100\n",
         {"16: services[1].routes[0].deadline-ms: deadline of 100 ms below the target latency of "
          "200 "
          "ms: requests end before the target"}},
        {"concurrency above the slots",
         replaced(Base + Route, "concurrency: 8", "concurrency: 9"),
         {"6: services[0].limits.concurrency: concurrency 9 above all 8 slots: the limit has no "
          "effect"}},
        {"concurrency below the endpoints",
         replaced(Base + Route, "concurrency: 8", "concurrency: 3"),
         {"6: services[0].limits.concurrency: concurrency 3 below the 4 endpoints: each endpoint "
          "admits at least one request"}},
        {"burst under the rate",
         replaced(Base + Route, "customer-burst: 5", "customer-burst: 4"),
         {"6: services[0].limits.customer-burst: burst 4 under the rate 5: requests at the rate "
          "that "
          "arrive together are refused"}},
        {"hedging without effect",
         replaced(Base + Route, "slots: 2", "slots: 2\n  hedge-percent: 2") + "customers: []\n",
         {}},
        {"hedging of nothing",
         Base + "  - {path-prefix: /b, idempotent: false}\n  hedge-percent: 2\n",
         {"14: services[1].hedge-percent: no route may be hedged: hedges need an idempotent route "
          "with at least two attempts"}},
        {"several, by line",
         Base + Route
                 + "customers:\n- {name: x, keys: [k1], rate: 5, burst: 4}\n"
                   "- {name: x, keys: [k2, k1]}\n",
         {"15: customers[0].burst: burst 4 under the rate 5: requests at the rate that arrive "
          "together are refused",
          "16: customers[1].name: a second customer x: names of customers are unique",
          "16: customers[1].keys[1]: the key is also held by x: a key belongs to one customer"}},
        {"customer above its own rate",
         replaced(Base + Route, "customer-burst: 5",
                  "customer-burst: 5, customers: [{customer: x, rate: 9, burst: 9}]")
                 + "customers: [{name: x, rate: 8}]\n",
         {"6: services[0].limits.customers[0].rate: rate 9 above that of the customer, 8: the "
          "customer's rate over all services is reached first"}},
};

} // namespace

// Guards against manifests that are applied although an entry cannot do what it says, and against
// findings that do not lead to the place.
BOOST_DATA_TEST_CASE(findings_name_place_and_reason, data::make(Rows), row)
{
    std::vector<std::string> findings;
    for (const auto &finding : lintManifest(row.text))
        findings.push_back(describe(finding, "m").substr(2));
    BOOST_TEST(findings == row.findings, boost::test_tools::per_element());
}

// Guards against findings in the manifests that are given as examples.
BOOST_DATA_TEST_CASE(examples_have_no_findings, data::make({"midlands", "resturi-clare"}), name)
{
    std::ifstream file(std::string(BERYLSPUR_SOURCE_DIR) + "/examples/" + name + ".yaml");
    std::ostringstream text;
    BOOST_REQUIRE(text << file.rdbuf());
    for (const auto &finding : lintManifest(text.str()))
        BOOST_ERROR(describe(finding, name));
}

namespace {

std::vector<schema::Service> servicesOf(const std::string &text)
{
    schema::Manifest manifest;
    BOOST_REQUIRE(parseYaml(text, "m", manifest).has_value());
    return {manifest.services().begin(), manifest.services().end()};
}

const std::string Other = "- {name: c, endpoints: 1, slots: 1, routes: [{path-prefix: /c, "
                          "idempotent: true}]}\n";

const std::vector<Row> Changes {
        {"none", Base + Route, {}},
        {"order of lists", replaced(Base + Route, "[GET]", "[GET, GET]"), {}},
        {"scalar",
         replaced(Base + Route, "endpoints: 4", "endpoints: 6"),
         {"a: endpoints: 4 -> 6"}},
        {"limit",
         replaced(Base + Route, "concurrency: 8, ", ""),
         {"a: limits.concurrency: 8 -> 0"}},
        {"field of a route",
         replaced(Base + Route, "[GET]}", "[GET], deadline-ms: 100}"),
         {"a: routes[GET /].deadline-ms: 5000 -> 100"}},
        {"another route",
         Base + Route + "  - {path-prefix: /d, idempotent: true}\n",
         {"b: routes[any /d]: absent -> present"}},
        {"another service", Base + Route + Other, {"c: absent -> present"}},
};

} // namespace

// Guards against a difference that is not shown, and against one that is only of order.
BOOST_DATA_TEST_CASE(differences_name_service_and_field, data::make(Changes), row)
{
    std::vector<std::string> texts;
    for (const auto &difference : compareServices(servicesOf(Base + Route), servicesOf(row.text)))
        texts.push_back(describe(difference));
    BOOST_TEST(texts == row.findings, boost::test_tools::per_element());
}

// Guards against a service whose removal looks harmless.
BOOST_AUTO_TEST_CASE(removed_service_cuts_off_work)
{
    const auto differences =
            compareServices(servicesOf(Base + Route + Other), servicesOf(Base + Route));
    BOOST_REQUIRE(differences.size() == 1U);
    BOOST_TEST(differences.front().service == "c");
    BOOST_TEST(!differences.front().cutsOff.empty());
}
