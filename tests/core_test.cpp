// Result codes, ids and addresses.
#define BOOST_TEST_MODULE core
#include "berylspur/core/address.h"
#include "berylspur/core/error_code.h"
#include "berylspur/core/ids.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <regex>

using namespace berylspur;

// Guards against result codes that the operator documentation lacks or describes differently.
BOOST_AUTO_TEST_CASE(result_code_page_lists_the_table)
{
    std::ifstream page(BERYLSPUR_SOURCE_DIR "/docs/result-codes.md");
    const std::regex row(R"(\| (\d+) \| (\w+) \| (.+) \|)");
    std::string line;
    int rows = 0;
    while (std::getline(page, line)) {
        std::smatch match;
        if (!std::regex_match(line, match, row))
            continue;
        const auto code = errorFromNumber(static_cast<std::uint32_t>(std::stoul(match[1])));
        BOOST_TEST(errorName(code) == match[2].str());
        BOOST_TEST(errorMessage(code) == match[3].str());
        ++rows;
    }
    BOOST_TEST(rows > 50);
}

// Guards against a request id that changes when it is encoded in a header or an envelope.
BOOST_AUTO_TEST_CASE(request_id_survives_both_encodings)
{
    Random random(7);
    const auto id = RequestId::generate(random);
    BOOST_TEST((RequestId::fromHex(id.toHex()) == id));
    BOOST_TEST((RequestId::fromBytes(id.toBytes()) == id));
    BOOST_TEST(!RequestId::fromHex("zz").has_value());
    BOOST_TEST(!RequestId::fromBytes("short").has_value());
}

// Guards against accepting an address that the node cannot use.
BOOST_DATA_TEST_CASE(address_rejects,
                     boost::unit_test::data::make({"", "host:1", "1.2.3.4", "1.2.3.4:x",
                                                   "1.2.3.4:70000", "1.2.3:1"}))
{
    BOOST_TEST(!Address::parse(sample).has_value());
}

// Guards against an address that changes when it is parsed and formatted.
BOOST_AUTO_TEST_CASE(address_accepts)
{
    BOOST_TEST(Address::parse("127.0.0.1:80").value().toString() == "127.0.0.1:80");
}
