// Caller connections with real processes: invalid input, and responses that are truncated, late or
// in another order than their requests.
#define BOOST_TEST_MODULE process_caller
#include "process_actions.h"

#include <boost/test/data/test_case.hpp>

using namespace berylspur::test;
using nlohmann::json;
using std::chrono::seconds;

// ---- caller input

namespace {

std::string code(const Response &response)
{
    const std::string result = response.header("Berylspur-Result");
    return result.substr(0, result.find(' '));
}

struct InputCase
{
    const char *name;
    std::string text;
    int status;
    const char *code; ///< empty: not checked
};

const std::string Start = " HTTP/1.1\r\nHost: svc.example\r\n";
const InputCase InputCases[] = {
        {"two-lengths",
         "POST /write" + Start + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!", 400,
         "3002"},
        {"two-equal-lengths",
         "POST /write" + Start + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", 400,
         "3002"},
        {"body-on-get", "GET /read" + Start + "Content-Length: 5\r\n\r\nhello", 400, "3002"},
        {"chunked-body-on-get",
         "GET /read" + Start + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 400,
         "3002"},
        {"negative-length", "POST /write" + Start + "Content-Length: -5\r\n\r\nhello", 400, ""},
        {"length-not-a-number", "POST /write" + Start + "Content-Length: 5x\r\n\r\nhello", 400, ""},
        {"body-too-large",
         "POST /write" + Start + "Content-Length: 2097152\r\n\r\n" + std::string(2097152, 'x'), 413,
         "3004"},
        {"headers-too-large",
         "GET /read" + Start + "X-Large: " + std::string(20000, 'x') + "\r\n\r\n", 431, "3005"},
        {"unknown-route", "GET /nowhere" + Start + "\r\n", 404, "3003"},
        {"method-not-allowed", "POST /read" + Start + "Content-Length: 0\r\n\r\n", 405, "3006"},
};

} // namespace

namespace {

/// Sends each input and checks its response. None may reach an endpoint.
void checkRefused(const std::vector<InputCase> &inputs)
{
    FleetOptions options;
    options.nodes = 1;
    Fleet fleet(options);
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    const std::size_t runsBefore = startedRequests(fleet);
    for (const InputCase &sample : inputs) {
        BOOST_TEST_CONTEXT(sample.name)
        {
            const Response response = exchange(fleet.node(0).caller, sample.text, seconds(10));
            BOOST_TEST(response.status == sample.status);
            if (*sample.code)
                BOOST_TEST(code(response) == sample.code);
        }
    }
    BOOST_TEST(startedRequests(fleet) == runsBefore);
    BOOST_TEST(call(fleet.node(0).caller, "GET", "/read").status == 200);
}

} // namespace

// Guards against request smuggling and against invalid requests that run.
BOOST_AUTO_TEST_CASE(caller_input_is_refused)
{
    checkRefused({std::begin(InputCases), std::end(InputCases)});
}

// Guards against request smuggling with both Content-Length and Transfer-Encoding; the response
// must carry the result code.
BOOST_AUTO_TEST_CASE(both_lengths_are_refused)
{
    checkRefused({{"both-lengths",
                   "POST /write" + Start
                           + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                   400, "3002"}});
}

// Guards against a caller that sets its request id or deadline through headers of the project.
BOOST_AUTO_TEST_CASE(project_headers_of_callers_are_removed)
{
    FleetOptions options;
    options.nodes = 1;
    Fleet fleet(options);
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    const std::string chosen = "0123456789abcdef0123456789abcdef";
    for (int i = 0; i < 2; ++i) {
        const Response response =
                call(fleet.node(0).caller, "GET", "/read?work-ms=50",
                     {"Berylspur-Request-Id: " + chosen, "Berylspur-Deadline-Ms: 1"});
        BOOST_TEST(response.status == 200, outcomeText(response));
        BOOST_TEST(response.header("Berylspur-Request-Id") != chosen);
    }
    BOOST_TEST(fleet.runsOfId(chosen).started == 0);
}

// ---- truncated, late and reordered responses

// Invariant 2. Guards against a truncated response that looks complete to the caller. The sizes
// range from responses kept by the owner to ones larger than every buffer on the path.
BOOST_DATA_TEST_CASE(truncated_response_is_not_complete,
                     boost::unit_test::data::make({"64", "4000", "300000", "5000000"}))
{
    FleetOptions options;
    options.nodes = 2;
    Fleet fleet(options);
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    const std::string bytes = sample;
    const std::string target = "/read?token=t&bytes=" + bytes;
    const Response complete = call(fleet.node(0).caller, "GET", target);
    BOOST_TEST(complete.status == 200, outcomeText(complete));
    BOOST_TEST(complete.isComplete);
    BOOST_TEST(complete.body.size() == std::stoul(bytes));
    for (int i = 0; i < fleet.nodeCount(); ++i)
        fleet.setFaults(i, {{"truncate", true}});
    for (int i = 0; i < 4; ++i) {
        const Response truncated = call(fleet.node(i % 2).caller, "GET", target);
        BOOST_TEST((!truncated.isComplete || truncated.status >= 500),
                   "status " << truncated.status);
        BOOST_TEST(truncated.header("Berylspur-Outcome") != "not-run");
    }
}

// Invariant 2. Guards against responses that reach the wrong caller because they arrive in a
// different order from the requests, or late from a stalled endpoint.
BOOST_AUTO_TEST_CASE(reordered_and_late_responses_reach_their_callers)
{
    FleetOptions options;
    options.nodes = 2;
    options.slots = 8;
    Fleet fleet(options);
    BOOST_REQUIRE_EQUAL(fleet.start(), "");
    std::vector<std::future<Response>> responses;
    for (int i = 0; i < 12; ++i) {
        const std::string target = "/read?work-ms=" + std::to_string(300 - 25 * i) + "&token=token-"
                                   + std::to_string(i) + "z";
        responses.push_back(callLater(fleet.node(i % 2).caller, "GET", target));
    }
    int answered = 0;
    for (std::size_t i = 0; i < responses.size(); ++i) {
        const Response response = responses[i].get();
        if (response.status != 200)
            continue;
        ++answered;
        BOOST_TEST(response.body.find("token-" + std::to_string(i) + "z") != std::string::npos);
    }
    BOOST_TEST(answered > 0);

    // A late response, released after the caller's deadline of 3 s.
    for (int i = 0; i < 2; ++i)
        fleet.setFaults(i, {{"stall", true}});
    const Response late = call(fleet.node(0).caller, "GET", "/read?token=latez");
    BOOST_TEST(late.status >= 500);
    for (int i = 0; i < 2; ++i)
        fleet.setFaults(i, json::object());
    std::vector<Response> next;
    BOOST_TEST(waitFor([&] {
        next.push_back(call(fleet.node(0).caller, "GET", "/read?token=nextz"));
        return next.back().status == 200;
    }));
    for (const Response &response : next)
        BOOST_TEST(response.body.find("latez") == std::string::npos);
}
