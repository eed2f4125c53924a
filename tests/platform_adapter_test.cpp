// Decoding of the operator's configuration and of the requests of endpoints.
#define BOOST_TEST_MODULE platform_adapter
#include "berylspur/core/duration_text.h"
#include "berylspur/customers/customer_table.h"
#include "platform/configuration.h"
#include "platform/heartbeat_server.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <nlohmann/json.hpp>
#include <ostream>

using namespace berylspur;
using nlohmann::json;
namespace data = boost::unit_test::data;

namespace {

json configuration()
{
    return json::parse(R"({"version":"0000001c","baseVersion":"00000005","resources":[
        {"typeUrl":"routes","metadata":{"name":"r-1"},"spec":{"host":"a.example","pathPrefix":"/p/",
         "type":"non_idempotent","timeout":"5000ms","targetLatency":"1.5s","priority":1,
         "service":"one","attempts":2}},
        {"typeUrl":"routes","metadata":{"name":"r-2"},"spec":{"host":"b.example","pathPrefix":"/q/",
         "type":"download","timeout":"8s","targetLatency":"1500ms","priority":2,
         "weightedServices":[{"service":"two","weight":90},{"service":"one","weight":10}],
         "attempts":3}},
        {"typeUrl":"services","metadata":{"name":"one"},"spec":{"healthPath":"/healthz",
         "maxConnections":360,"protocol":"h1","tlsEnabled":false}},
        {"typeUrl":"services","metadata":{"name":"idle"},"spec":{"healthPath":"/h"}},
        {"typeUrl":"later","metadata":{"name":"x"},"spec":{}},
        {"typeUrl":"limits","metadata":{},"spec":{"headerBytes":16384,"maxBodyBytes":67108864,
         "headerTimeout":"3000ms","idleTimeout":"15000ms"}}]})");
}

const schema::ServiceConfig *find(const schema::ConfigDelta &delta, const std::string &name)
{
    for (const auto &config : delta.services()) {
        if (config.service() == name)
            return &config;
    }
    return nullptr;
}

struct BadHeartbeat
{
    const char *field;
    json value; ///< null: the field is removed
};

std::ostream &operator<<(std::ostream &out, const BadHeartbeat &bad)
{
    return out << bad.field << "=" << bad.value.dump();
}

json heartbeat()
{
    return {{"service", "one"},     {"address", "10.0.0.1:80"}, {"zone", "z"},    {"version", "v1"},
            {"slots", 4},           {"state", "ready"},         {"cold", "2.5s"}, {"sequence", 7},
            {"born", 1700000000000}};
}

const std::vector<BadHeartbeat> BadHeartbeats {
        {"service", nullptr},  {"service", 3},        {"service", ""},
        {"address", nullptr},  {"address", "host:1"}, {"slots", "4"},
        {"slots", 0},          {"slots", -1},         {"slots", 4.5},
        {"state", "asleep"},   {"state", nullptr},    {"cold", 5},
        {"cold", "5m"},        {"sequence", "7"},     {"sequence", nullptr},
        {"born", "x"},         {"born", 1.5},         {"sequence", -1},
        {"slots", 4294967300}, {"slots", 10001},      {"born", 18446744073709551615U},
};

/// A value of the configuration that is replaced, and whether the result is still valid.
struct NumberCase
{
    const char *field; ///< JSON pointer
    json value;
    bool isValid;
};

std::ostream &operator<<(std::ostream &out, const NumberCase &sample)
{
    return out << sample.field << "=" << sample.value.dump();
}

const std::vector<NumberCase> Numbers {
        {"/resources/0/spec/attempts", 0, true},
        {"/resources/0/spec/attempts", -1, false},
        {"/resources/0/spec/attempts", 4294967298, false},
        {"/resources/0/spec/attempts", "2", false},
        {"/resources/0/spec/priority", 4294967295, true},
        {"/resources/0/spec/priority", 4294967296, false},
        {"/resources/0/spec/priority", 1.5, false},
        {"/resources/0/spec/timeout", "5000000s", true},
        {"/resources/1/spec/weightedServices/0/weight", -90, false},
        {"/resources/1/spec/weightedServices/0/weight", 4294967386, false},
        {"/resources/5/spec/headerBytes", -1, false},
        {"/resources/5/spec/headerBytes", "16384", false},
        {"/resources/5/spec/maxBodyBytes", 4294967297, true},
        {"/resources/5/spec/maxBodyBytes", 1e300, false},
};

} // namespace

// Guards against a route to the wrong service, and against retries of a non-idempotent route.
BOOST_AUTO_TEST_CASE(configuration_is_decoded)
{
    const auto decoded = platform::decodeConfiguration(configuration().dump(), {20, 40, 3});
    BOOST_REQUIRE(decoded.has_value());
    const auto &delta = decoded.value();
    BOOST_TEST(delta.revision() == 0x1cU);
    BOOST_REQUIRE(delta.services_size() == 3);
    const auto *one = find(delta, "one");
    BOOST_REQUIRE(one);
    BOOST_TEST(one->revision() == 0x1cU);
    BOOST_TEST(one->content().health_path() == "/healthz");
    BOOST_TEST(one->content().retry_percent() == 20U);
    BOOST_TEST(one->content().floor_percent() == 40U);
    BOOST_TEST(one->content().hedge_percent() == 3U);
    BOOST_TEST(one->content().endpoints() == 0U);
    BOOST_TEST(one->caller_bounds().idle_timeout_ms() == 15000U);
    BOOST_REQUIRE(one->content().routes_size() == 1);
    const auto &route = one->content().routes(0);
    BOOST_TEST(!route.idempotent());
    BOOST_TEST(route.deadline_ms() == 5000U);
    BOOST_TEST(route.target_latency_ms() == 1500U);
    BOOST_TEST(route.attempts() == 2U);
    BOOST_TEST(route.priority() == 1U);
    const auto *two = find(delta, "two");
    BOOST_REQUIRE(two);
    const auto &split = two->content().routes(0);
    BOOST_TEST(split.idempotent());
    BOOST_TEST((split.request_class() == schema::CLASS_LONG));
    BOOST_REQUIRE(split.split_size() == 2);
    BOOST_TEST(split.split(1).service() == "one");
    BOOST_TEST(split.split(1).weight() == 10U);
    BOOST_TEST(find(delta, "idle") != nullptr);
}

// Guards against applying a part of a malformed configuration.
BOOST_DATA_TEST_CASE(malformed_configuration_is_rejected,
                     data::make({"", "[]", "{}", "{\"version\":\"0000001c\"}",
                                 "{\"version\":\"xyz\",\"resources\":[]}",
                                 "{\"version\":\"0000001c\",\"resources\":[{\"typeUrl\":\"routes\","
                                 "\"metadata\":{},\"spec\":{}}]}"}),
                     text)
{
    const auto decoded = platform::decodeConfiguration(text, {});
    BOOST_REQUIRE(!decoded.has_value());
    BOOST_TEST((decoded.error().code == ErrorCode::ManifestInvalid));
}

// Guards against a number that is read as another one because it does not fit.
BOOST_DATA_TEST_CASE(numbers_out_of_range_are_rejected, data::make(Numbers), sample)
{
    auto text = configuration();
    text[json::json_pointer(sample.field)] = sample.value;
    const auto decoded = platform::decodeConfiguration(text.dump(), {});
    BOOST_TEST(decoded.has_value() == sample.isValid);
    if (!sample.isValid)
        BOOST_TEST((decoded.error().code == ErrorCode::ManifestInvalid));
}

// Guards against a limit of the operator that becomes a small one because it does not fit.
BOOST_AUTO_TEST_CASE(limits_beyond_the_range_are_the_largest)
{
    auto text = configuration();
    text[json::json_pointer("/resources/5/spec/maxBodyBytes")] = 4294967297;
    text[json::json_pointer("/resources/0/spec/timeout")] = "5000000s";
    const auto decoded = platform::decodeConfiguration(text.dump(), {});
    BOOST_REQUIRE(decoded.has_value());
    const auto *one = find(decoded.value(), "one");
    BOOST_REQUIRE(one);
    BOOST_TEST(one->caller_bounds().body_bytes() == 4294967295U);
    BOOST_TEST(one->content().routes(0).deadline_ms() == 4294967295U);
}

// Guards against heartbeat fields that are ignored or converted to the wrong unit.
BOOST_AUTO_TEST_CASE(heartbeat_is_decoded)
{
    const auto parsed = platform::parseHeartbeat("i-1", heartbeat().dump());
    BOOST_REQUIRE(parsed.has_value());
    const auto &announcement = parsed.value();
    BOOST_TEST(announcement.id == "i-1");
    BOOST_TEST(announcement.service == "one");
    BOOST_TEST(announcement.address.toString() == "10.0.0.1:80");
    BOOST_TEST(announcement.slots == 4U);
    BOOST_TEST((announcement.readiness == EndpointReadiness::Ready));
    BOOST_TEST(announcement.coldFor.count() == 2500000);
    BOOST_TEST(announcement.sequence == 7U);
    BOOST_TEST(announcement.startedAtMs == 1700000000000);
}

// Guards against creating an endpoint from a malformed heartbeat.
BOOST_DATA_TEST_CASE(malformed_heartbeat_is_rejected, data::make(BadHeartbeats), bad)
{
    auto body = heartbeat();
    if (bad.value.is_null())
        body.erase(bad.field);
    else
        body[bad.field] = bad.value;
    BOOST_TEST(!platform::parseHeartbeat("i-1", body.dump()).has_value());
}

// Guards against an uncaught exception on a body that is not a JSON object.
BOOST_DATA_TEST_CASE(bytes_that_are_not_a_heartbeat_are_rejected,
                     data::make({"", "\xff\xfe", "[1]", "null", "{"}), text)
{
    BOOST_TEST(!platform::parseHeartbeat("i-1", text).has_value());
}

// Guards against an endpoint id that peers could not read in gossip, that a request could not name
// in a header, and that ended the process when it was shown.
BOOST_DATA_TEST_CASE(unreadable_endpoint_id_is_rejected, data::make({"i-\xe9", "i\n1", "\xc3"}), id)
{
    BOOST_TEST(!platform::parseHeartbeat(id, heartbeat().dump()).has_value());
    BOOST_TEST(!platform::parseWithdrawal(id, "").has_value());
}

// Guards against a deregistration that removes a newer incarnation of the endpoint.
BOOST_AUTO_TEST_CASE(withdrawal_is_decoded)
{
    BOOST_TEST(platform::parseWithdrawal("i-1", "").value().startedAtMs == 0);
    BOOST_TEST(platform::parseWithdrawal("i-1", "{\"born\":5}").value().startedAtMs == 5);
    BOOST_TEST(!platform::parseWithdrawal("i-1", "{\"born\":\"x\"}").has_value());
    BOOST_TEST(!platform::parseWithdrawal("", "").has_value());
}

struct DurationCase
{
    const char *text;
    std::optional<std::int64_t> us;
};

// Guards against durations in the wrong unit, and against accepting text without a known unit.
BOOST_AUTO_TEST_CASE(durations)
{
    const std::vector<DurationCase> cases {
            {"1500ms", 1500000},   {"2.5s", 2500000},     {"0ms", 0},
            {"3s", 3000000},       {"", std::nullopt},    {"5", std::nullopt},
            {"ms", std::nullopt},  {"-1s", std::nullopt}, {"1m", std::nullopt},
            {"1 s", std::nullopt},
    };
    for (const auto &[text, us] : cases) {
        const auto parsed = parseDuration(text);
        BOOST_TEST(parsed.has_value() == us.has_value(), text);
        if (parsed && us)
            BOOST_TEST(parsed->count() == *us, text);
    }
}

namespace {

/// Weights of two parts as the operator writes them, and the share of the first part.
struct WeightCase
{
    json first;
    json second;
    double share;
};

std::ostream &operator<<(std::ostream &out, const WeightCase &row)
{
    return out << row.first.dump() << " " << row.second.dump();
}

const std::vector<WeightCase> WeightCases {
        {90, 10, 0.9},      {0.9, 0.1, 0.9}, {0.25, 0.75, 0.25},    {1, 0.5, 2.0 / 3},
        {1e-3, 3e-3, 0.25}, {0, 1.0, 0},     {4294967295U, 0.0, 1},
};

} // namespace

// Guards against a configuration that is refused as a whole because weights are fractions.
BOOST_DATA_TEST_CASE(weights_may_be_fractions, data::make(WeightCases), row)
{
    auto text = configuration();
    auto &parts = text["resources"][1]["spec"]["weightedServices"];
    parts[0]["weight"] = row.first;
    parts[1]["weight"] = row.second;
    const auto decoded = platform::decodeConfiguration(text.dump(), {20, 70});
    BOOST_REQUIRE(decoded.has_value());
    const auto &split = find(decoded.value(), "two")->content().routes(0).split();
    const double first = split.Get(0).weight();
    const double all = first + split.Get(1).weight();
    BOOST_TEST(std::abs(first / all - row.share) < 1e-5);
}

namespace {

constexpr const char *Secret = "key-of-a-customer";

/// Specification of a customer, and what is read from it.
struct CustomerCase
{
    const char *spec;
    int keys;
    std::uint32_t rate;
    std::uint32_t burst;
    int priority; ///< -1: that of the route
};

std::ostream &operator<<(std::ostream &out, const CustomerCase &sample)
{
    return out << sample.spec;
}

const std::vector<CustomerCase> CustomerCases {
        {R"({"apiKeys":["k","l"],"priority":1,"ratePerS":118,"burst":120})", 2, 118, 120, 1},
        {R"({"priority":0})", 0, 0, 0, 0},
        {R"({"apiKeys":["k"]})", 1, 0, 0, -1},
        {R"({"apiKeys":null,"ratePerS":null})", 0, 0, 0, -1},
        {R"({"ratePerS":118.6,"burst":2.4})", 0, 119, 2, -1},
        {R"({"ratePerS":0.2,"burst":0.01})", 0, 1, 1, -1},
        {R"({"ratePerS":1e12})", 0, 4294967295U, 0, -1},
        {R"({"apiKeys":["k"],"ratePerS":"fast","burst":-3,"priority":"high"})", 1, 0, 0, -1},
        {R"({"apiKeys":["k","",7,"l\r\nm"," n"]})", 1, 0, 0, -1},
        {R"({"apiKeys":"k"})", 1, 0, 0, -1},
};

json tenant(const std::string &name, const json &spec)
{
    return {{"typeUrl", "tenants"}, {"metadata", {{"name", name}}}, {"spec", spec}};
}

const json SecretKey {{"apiKeys", {Secret}}};

/// Customers that make a configuration invalid: a key of two, a name listed twice, names that no
/// header can carry.
const std::vector<std::vector<json>> CustomerConflicts {
        {tenant("a", SecretKey), tenant("b", SecretKey)},
        {tenant("a", SecretKey), tenant("a", json::object())},
        {tenant("a\r\nX: y", SecretKey)},
        {tenant("", SecretKey)},
};

Result<schema::ConfigDelta> decodeWith(const std::vector<json> &resources)
{
    auto text = configuration();
    for (const auto &resource : resources)
        text["resources"].push_back(resource);
    return platform::decodeConfiguration(text.dump(), {});
}

} // namespace

// Guards against limits that become none or too small, and against an unusable value that keeps
// withdrawn keys in force because it makes the configuration invalid.
BOOST_DATA_TEST_CASE(customers_are_decoded, data::make(CustomerCases))
{
    const auto decoded = decodeWith({tenant("bozi300", json::parse(sample.spec))});
    BOOST_REQUIRE(decoded.has_value());
    BOOST_REQUIRE(decoded.value().customer_shards_size() == 1);
    const auto &shard = decoded.value().customer_shards(0);
    BOOST_TEST(shard.revision() == 0x1cU);
    BOOST_TEST(shard.number() == customerShard("bozi300"));
    const auto &customer = shard.customers(0);
    BOOST_TEST(customer.name() == "bozi300");
    BOOST_TEST(customer.keys_size() == sample.keys);
    BOOST_TEST(customer.rate() == sample.rate);
    BOOST_TEST(customer.burst() == sample.burst);
    BOOST_TEST((customer.has_priority() ? static_cast<int>(customer.priority()) : -1)
               == sample.priority);
}

// Guards against a customer that depends on the order of resources, against headers that a name
// adds to requests, and against messages that contain keys; the parser quotes the text before an
// error.
BOOST_AUTO_TEST_CASE(customers_in_conflict_are_rejected)
{
    BOOST_TEST(decodeWith({tenant("a", SecretKey)}).value().customer_shards(0).customers(0).keys(0)
               == Secret);
    std::vector<Result<schema::ConfigDelta>> results;
    for (const auto &resources : CustomerConflicts)
        results.push_back(decodeWith(resources));
    results.push_back(platform::decodeConfiguration(configuration().dump() + "\"" + Secret, {}));
    for (const auto &decoded : results) {
        BOOST_REQUIRE(!decoded.has_value());
        BOOST_TEST((decoded.error().code == ErrorCode::ManifestInvalid));
        BOOST_TEST(decoded.error().detail.find(Secret) == std::string::npos);
    }
}

// Guards against a route that needs no key because its flag is unusable, and against uploads that
// are repeated.
BOOST_AUTO_TEST_CASE(public_routes_and_uploads_are_decoded)
{
    auto text = configuration();
    auto &specs = text["resources"];
    specs[0]["spec"]["type"] = "upload";
    specs[0]["spec"]["public"] = "yes";
    specs[1]["spec"]["public"] = true;
    const auto decoded = platform::decodeConfiguration(text.dump(), {});
    BOOST_REQUIRE(decoded.has_value());
    const auto &upload = find(decoded.value(), "one")->content().routes(0);
    BOOST_TEST(!upload.idempotent());
    BOOST_TEST((upload.request_class() == schema::CLASS_SHORT));
    BOOST_TEST(!upload.anonymous());
    BOOST_TEST(find(decoded.value(), "two")->content().routes(0).anonymous());
    BOOST_TEST(decoded.value().customer_shards_size() == 0);
}
