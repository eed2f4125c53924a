// Messages between nodes with bytes that callers and endpoints chose.
#define BOOST_TEST_MODULE peer_message
#include "berylspur/peer.pb.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <ostream>
#include <string>

using namespace berylspur;
namespace data = boost::unit_test::data;

namespace {

const std::string Unreadable = "caf\xe9\x80\xff";

struct MessageCase
{
    const char *guards; ///< failure that the case guards against
    std::function<std::string()> make; ///< a message that holds Unreadable
    std::function<std::string(const std::string &)> read; ///< Unreadable of the message
};

std::ostream &operator<<(std::ostream &out, const MessageCase &sample)
{
    return out << sample.guards;
}

/// Serializes a message of type \a Message that \a fill completes.
template <typename Message>
std::function<std::string()> messageWith(std::function<void(Message &)> fill)
{
    return [fill = std::move(fill)] {
        Message message;
        fill(message);
        return message.SerializeAsString();
    };
}

/// Parses a message of type \a Message; an empty text if that fails.
template <typename Message>
std::function<std::string(const std::string &)>
fieldOf(std::function<std::string(const Message &)> field)
{
    return [field = std::move(field)](const std::string &bytes) {
        Message message;
        return message.ParseFromString(bytes) ? field(message) : std::string();
    };
}

using schema::AskReply;
using schema::Claim;
using schema::CustomerQuotaRequest;
using schema::Dispatch;
using schema::DispatchReply;
using schema::KeyHandover;
using schema::QuotaRequest;

const MessageCase MessageCases[] = {
        {"a request with such a header is not dispatched",
         messageWith<Dispatch>([](Dispatch &m) { m.add_headers()->set_value(Unreadable); }),
         fieldOf<Dispatch>([](const Dispatch &m) { return m.headers(0).value(); })},
        {"a request with such a target is not dispatched",
         messageWith<Dispatch>([](Dispatch &m) { m.set_target(Unreadable); }),
         fieldOf<Dispatch>([](const Dispatch &m) { return m.target(); })},
        {"a request with such an id is not dispatched",
         messageWith<Dispatch>([](Dispatch &m) { m.set_caller_request_id(Unreadable); }),
         fieldOf<Dispatch>([](const Dispatch &m) { return m.caller_request_id(); })},
        {"a request of such a customer is not dispatched",
         messageWith<Dispatch>([](Dispatch &m) { m.set_customer(Unreadable); }),
         fieldOf<Dispatch>([](const Dispatch &m) { return m.customer(); })},
        {"a response with such a header is lost", messageWith<DispatchReply>([](DispatchReply &m) {
             m.add_headers()->set_value(Unreadable);
         }),
         fieldOf<DispatchReply>([](const DispatchReply &m) { return m.headers(0).value(); })},
        {"a kept response with such a header is lost",
         messageWith<AskReply>([](AskReply &m) { m.add_headers()->set_value(Unreadable); }),
         fieldOf<AskReply>([](const AskReply &m) { return m.headers(0).value(); })},
        {"a request with such an idempotency key is not claimed",
         messageWith<Claim>([](Claim &m) { m.set_key(Unreadable); }),
         fieldOf<Claim>([](const Claim &m) { return m.key(); })},
        {"such an idempotency key is not handed over",
         messageWith<KeyHandover>([](KeyHandover &m) { m.add_records()->set_key(Unreadable); }),
         fieldOf<KeyHandover>([](const KeyHandover &m) { return m.records(0).key(); })},
        {"a rate limit of such a customer is not leased",
         messageWith<QuotaRequest>(
                 [](QuotaRequest &m) { m.add_entries()->set_customer(Unreadable); }),
         fieldOf<QuotaRequest>([](const QuotaRequest &m) { return m.entries(0).customer(); })},
        {"a quota of such a customer is not leased",
         messageWith<CustomerQuotaRequest>(
                 [](CustomerQuotaRequest &m) { m.add_entries()->set_customer(Unreadable); }),
         fieldOf<CustomerQuotaRequest>(
                 [](const CustomerQuotaRequest &m) { return m.entries(0).customer(); })},
};

} // namespace

// Guards against requests and responses that never arrive because a caller or an endpoint chose
// bytes that are not UTF-8. Each case names the failure it guards against.
BOOST_DATA_TEST_CASE(messages_keep_bytes_that_are_not_utf8, data::make(MessageCases), sample)
{
    BOOST_TEST(sample.read(sample.make()) == Unreadable);
}
