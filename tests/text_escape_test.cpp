// Text for logs and JSON from bytes that callers chose.
#define BOOST_TEST_MODULE text_escape
#include "berylspur/core/text_escape.h"
#include "gate_fixture.h"
#include "raw_caller.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <set>
#include <string>

using namespace berylspur;
namespace data = boost::unit_test::data;

namespace {

struct EscapeCase
{
    const char *guards; ///< failure that the case guards against
    std::string bytes;
    std::string text;
};

std::ostream &operator<<(std::ostream &out, const EscapeCase &sample)
{
    return out << sample.guards;
}

const EscapeCase EscapeCases[] = {
        {"printable text is changed", "i-7f3a91c2 ~\\", "i-7f3a91c2 ~\\"},
        {"a Latin-1 letter is not UTF-8", "caf\xe9", "caf\\xe9"},
        {"a cut UTF-8 sequence is not UTF-8", "\xe2\x82", "\\xe2\\x82"},
        {"an overlong UTF-8 sequence is not UTF-8", "\xc0\xaf", "\\xc0\\xaf"},
        {"a tab or DEL ends a field of a log line", "\t\x7f", "\\x09\\x7f"},
        {"a NUL ends the text", std::string("a\0b", 3), "a\\x00b"},
};

/// Sends a request with the id \a requestId.
void sendRequest(const RawCaller &caller, const HeaderNames &names, const std::string &requestId)
{
    caller.send("GET /read HTTP/1.1\r\nHost: reads\r\n" + names.requestId + ": " + requestId
                + "\r\n\r\n");
}

} // namespace

// Each case names the failure it guards against.
BOOST_DATA_TEST_CASE(unprintable_bytes_are_escaped, data::make(EscapeCases), sample)
{
    BOOST_TEST(printableText(sample.bytes) == sample.text);
    BOOST_TEST(isPrintable(sample.bytes) == (sample.bytes == sample.text));
}

// Guards against an exception from text that is not UTF-8, which nothing would catch.
BOOST_DATA_TEST_CASE(json_text_never_throws, data::make(EscapeCases), sample)
{
    const auto text = jsonText({{"id", sample.bytes}});
    BOOST_TEST(!nlohmann::json::parse(text, nullptr, false).is_discarded());
}

// Guards against a node that aborts when it logs or shows its open requests, because a caller chose
// a request id that is not UTF-8: all other open requests were lost with it.
BOOST_FIXTURE_TEST_CASE(open_request_with_an_unreadable_id_is_shown, GateFixture)
{
    std::set<std::string> recorded;
    gate.decisionMade.connect([&recorded](const schema::DecisionRecord &record) {
        recorded.insert(record.request_id());
    });
    // A nested call waits for an endpoint, so it stays open until its deadline.
    gate.parentRun.connect([](const std::string &) {
        return ParentRun {ParentRun::Kind::First, "bozi", 0};
    });
    const auto config = singleRouteConfig("reads", 1);
    gate.configure({&config});
    BOOST_REQUIRE(gate.start().has_value());
    RawCaller from(caller);
    sendRequest(from, names, "9c41\xe9");
    BOOST_REQUIRE(loop.runUntil([&] { return gate.openRequests() == 1; }));
    const auto open = gate.dump()["open"];
    BOOST_TEST(open.at(0).at("request") == "9c41\\xe9");
    BOOST_CHECK_NO_THROW(gate.dump().dump());
    BOOST_TEST(loop.runUntil([&] { return gate.openRequests() == 0; }));
    BOOST_TEST(recorded.contains("9c41\\xe9"));
}
