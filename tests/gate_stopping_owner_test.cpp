// What a gate learns when an owner refuses a request because its node stops.
#define BOOST_TEST_MODULE gate_stopping_owner
#include "berylspur/core/error_code.h"
#include "gate_fixture.h"
#include "raw_caller.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

using namespace berylspur;
namespace data = boost::unit_test::data;

namespace {

constexpr Incarnation OwnerIncarnation = 7;

struct RefusalCase
{
    const char *name;
    ErrorCode code;
    Incarnation incarnation; ///< of the process that refuses
    bool isUsedAgain; ///< whether later requests are sent to the owner
};

std::ostream &operator<<(std::ostream &out, const RefusalCase &row)
{
    return out << row.name;
}

const std::vector<RefusalCase> RefusalCases {
        {"the node stops", ErrorCode::NotRunStopping, OwnerIncarnation, false},
        {"an earlier process stopped", ErrorCode::NotRunStopping, OwnerIncarnation - 1, true},
        {"the queue is full", ErrorCode::NotRunQueueFull, OwnerIncarnation, true},
};

/// A gate, and an owner with one endpoint that refuses all requests in the same way.
struct RefusingOwnerFixture : GateFixture
{
    explicit RefusingOwnerFixture(const RefusalCase &refusal)
    {
        gate.ownerStopping.connect([this](const std::string &node, Incarnation incarnation) {
            membership.learnStop(node, incarnation);
        });
        owner = std::move(PeerServer::listen(loop.base, ownerAddress,
                                             {"fleet", "owner", OwnerIncarnation},
                                             [this, refusal](const auto &request) {
                                                 ++requests;
                                                 refuse(*request, refusal);
                                             })
                                  .value());
        schema::Digest digest;
        *digest.add_records() = ownerRecord();
        membership.handleSync(digest.SerializeAsString());
        auto config = singleRouteConfig("cantar", 1);
        config.mutable_content()->mutable_routes(0)->set_anonymous(true);
        gate.configure({&config});
        BOOST_REQUIRE(gate.start().has_value());
    }

    schema::MemberRecord ownerRecord() const
    {
        schema::MemberRecord record;
        record.set_node("owner");
        record.set_incarnation(OwnerIncarnation);
        record.set_sequence(1);
        record.set_peer_address(ownerAddress.toString());
        auto *endpoint = record.add_endpoints();
        endpoint->set_id("owner/0");
        endpoint->set_service("cantar");
        endpoint->set_slots(4);
        return record;
    }

    static void refuse(PeerRequest &request, const RefusalCase &refusal)
    {
        schema::DispatchReply reply;
        reply.set_code(static_cast<std::uint32_t>(refusal.code));
        reply.set_incarnation(refusal.incarnation);
        request.reply(reply.SerializeAsString());
        request.finish();
    }

    /// Sends a request and waits for the head of its response.
    void request()
    {
        RawCaller from(caller);
        std::string unsent = "GET / HTTP/1.1\r\nHost: cantar\r\n\r\n";
        BOOST_REQUIRE(loop.runUntil([&] {
            unsent.erase(0, from.send(unsent));
            from.read();
            return from.received.find("\r\n\r\n") != std::string::npos;
        }));
        BOOST_TEST(from.received.starts_with("HTTP/1.1 503"));
    }

    Address ownerAddress = freeAddress();
    int requests = 0; ///< that the owner received
    std::unique_ptr<PeerServer> owner;
};

} // namespace

// Guards against requests that are refused one after another by a node that stops, until gossip
// tells the gate.
BOOST_DATA_TEST_CASE(refusal_of_a_stopping_node_is_the_last_one, data::make(RefusalCases), sample)
{
    RefusingOwnerFixture fixture(sample);
    fixture.request();
    const int first = fixture.requests;
    BOOST_TEST(first > 0);
    fixture.request();
    BOOST_TEST((fixture.requests > first) == sample.isUsedAgain);
}
