// Large bodies at a gate whose configuration changes while they are read.
#define BOOST_TEST_MODULE gate_body
#include "gate_fixture.h"
#include "raw_caller.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

using namespace berylspur;
namespace data = boost::unit_test::data;

namespace {

constexpr std::size_t BodyBytes = 64u << 10; // above the size up to which every body is kept

/// What the gate is configured with.
enum class Configuration { None, OtherService, Service };

struct BodyCase
{
    const char *guards; ///< failure that the case guards against
    Configuration atHead; ///< when the head arrives
    Configuration atEnd; ///< when the rest of the body arrives
    const char *status;
    const char *result;
};

std::ostream &operator<<(std::ostream &out, const BodyCase &sample)
{
    return out << sample.guards;
}

constexpr const char *Placed = "4001 NotRunNoEndpoint"; // the service has no endpoints

const BodyCase BodyCases[] = {
        {"an upload runs without its body, which began before its route came into force",
         Configuration::OtherService, Configuration::Service, "503", "4022 NotRunBodyDiscarded"},
        {"an upload runs without its body, which began before the first configuration",
         Configuration::None, Configuration::Service, "503", "4022 NotRunBodyDiscarded"},
        {"an upload without a route is told to come back", Configuration::OtherService,
         Configuration::OtherService, "404", "3003 RequestUnknownRoute"},
        {"an upload gets 404 before the first configuration", Configuration::None,
         Configuration::None, "503", "4010 NotRunNoConfiguration"},
        {"an upload runs although its route was dropped", Configuration::Service,
         Configuration::OtherService, "404", "3003 RequestUnknownRoute"},
        {"an upload with a route is refused", Configuration::Service, Configuration::Service, "503",
         Placed},
};

/// A gate to which a caller uploads a body in two parts.
struct UploadFixture : GateFixture
{
    UploadFixture() { BOOST_REQUIRE(gate.start().has_value()); }

    void configure(Configuration configuration)
    {
        if (configuration == Configuration::None)
            return;
        auto other = singleRouteConfig("other", ++m_revision);
        auto service = singleRouteConfig("uploads", m_revision);
        service.set_deleted(configuration != Configuration::Service);
        gate.configure({&other, &service});
    }

    /// Sends \a unsent to its end; true once the gate has read all of it.
    bool send(const RawCaller &from, std::string unsent)
    {
        return loop.runUntil([&] {
            unsent.erase(0, from.send(unsent));
            return unsent.empty();
        });
    }

private:
    std::uint64_t m_revision = 0;
};

std::string head(bool isChunked)
{
    const auto framing = isChunked ? "Transfer-Encoding: chunked"
                                   : "Content-Length: " + std::to_string(BodyBytes);
    return "PUT /document HTTP/1.1\r\nHost: uploads\r\n" + framing + "\r\n\r\n";
}

/// A part of the body; chunked, it ends the body if \a isLast.
std::string part(bool isChunked, bool isLast)
{
    constexpr const char *HalfInHex = "8000";
    const std::string bytes(BodyBytes / 2, 'x');
    if (!isChunked)
        return bytes;
    return std::string(HalfInHex) + "\r\n" + bytes + "\r\n" + (isLast ? "0\r\n\r\n" : "");
}

} // namespace

// Guards against a request that runs with another body than its caller sent, because the gate threw
// the body away while no route matched and looked for a route again at its end. Each case names the
// failure it guards against.
BOOST_DATA_TEST_CASE_F(UploadFixture, body_of_a_request_is_whole_or_the_request_is_refused,
                       data::make(BodyCases) * data::make({false, true}), sample, isChunked)
{
    configure(sample.atHead);
    RawCaller upload(caller);
    BOOST_REQUIRE(send(upload, head(isChunked) + part(isChunked, false)));
    // The gate has read the head once it answers a caller that came later.
    RawCaller later(caller);
    BOOST_REQUIRE(send(later, "GET /none HTTP/1.1\r\nHost: none\r\n\r\n"));
    BOOST_REQUIRE(loop.runUntil([&] {
        later.read();
        return !later.received.empty();
    }));
    configure(sample.atEnd);
    BOOST_REQUIRE(send(upload, part(isChunked, true)));
    BOOST_REQUIRE(loop.runUntil([&] {
        upload.read();
        return upload.received.find("\r\n\r\n") != std::string::npos;
    }));
    BOOST_TEST(upload.received.starts_with(std::string("HTTP/1.1 ") + sample.status + " "));
    BOOST_TEST(upload.received.find(sample.result) != std::string::npos);
}
