// ResponseReader against responses of any form, cut anywhere.
#define BOOST_TEST_MODULE response_reader
#include "../src/owner/response_reader.h"

#include <algorithm>
#include <array>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <random>
#include <string>
#include <vector>

using namespace berylspur;
namespace data = boost::unit_test::data;

namespace {

/// What a reader made of its input.
struct Reading
{
    std::vector<std::string> events; ///< all but the body
    std::string body;
    bool isComplete = false;
    bool isAtEnd = false; ///< after ResponseEnd or ResponseError
    std::optional<ResponsePart> oversizedPart;
    std::size_t mostBuffered = 0;
    /// An invalid head may be noticed before it has arrived completely, so an error is the same as
    /// a response that does not end.
    bool hasSameResult(const Reading &other) const
    {
        return events == other.events && body == other.body && isComplete == other.isComplete;
    }
};

/// Feeds a reader as a connection does: unused bytes stay in front of those that arrive next.
class Driver
{
public:
    Reading reading;

    void feed(std::string_view bytes)
    {
        m_buffer.append(bytes);
        while (!reading.isAtEnd) {
            auto rest = std::string_view(m_buffer).substr(0, ResponseReader::MaxPartBytes);
            const auto offered = rest.size();
            const auto event = m_reader.next(rest);
            const auto used = offered - rest.size();
            m_buffer.erase(0, used);
            if (std::holds_alternative<InputNeeded>(event) && used == 0)
                break;
            std::visit([this](const auto &part) { add(part); }, event);
        }
        reading.mostBuffered = std::max(reading.mostBuffered, m_buffer.size());
    }

private:
    void add(const InputNeeded &) { }
    void add(const ResponseHead &head)
    {
        std::string text = "head " + std::to_string(head.status);
        for (const auto &[name, value] : head.headers)
            text.append("|").append(name).append("=").append(value);
        reading.events.push_back(text);
    }
    void add(const ResponseBody &body) { reading.body.append(body.bytes); }
    void add(const OtherResponse &response)
    {
        reading.events.push_back("other " + response.echoValue);
    }
    void add(const ResponseEnd &end)
    {
        reading.events.push_back(end.keepAlive ? "end, open" : "end, closed");
        reading.isComplete = true;
        reading.isAtEnd = true;
    }
    void add(const ResponseError &error)
    {
        reading.oversizedPart = error.oversizedPart;
        reading.isAtEnd = true;
    }

    ResponseReader m_reader {ExpectedResponse {false, "X-Id", "7"}};
    std::string m_buffer;
};

Reading readWhole(const std::string &input)
{
    Driver driver;
    driver.feed(input);
    return driver.reading;
}

const std::string Ok = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n";
const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";

struct EndlessCase
{
    const char *name;
    std::string begin;
    std::string repeated;
    ResponsePart part;
};

std::ostream &operator<<(std::ostream &out, const EndlessCase &endless)
{
    return out << endless.name;
}

const std::vector<EndlessCase> EndlessCases {
        {"status line", "HTTP/1.1 200 ", "O", ResponsePart::Head},
        {"field value", Ok + "X-A: ", "a", ResponsePart::Head},
        {"fields", Ok, "X-A: b\r\n", ResponsePart::Head},
        {"chunk size", Chunked, "0", ResponsePart::ChunkHeader},
        {"chunk extension", Chunked + "3\r\nabc\r\n3;a=", "b", ResponsePart::ChunkHeader},
        {"trailers", Chunked + "0\r\n", "X-A: b\r\n", ResponsePart::Trailers},
        {"trailer value", Chunked + "3\r\nabc\r\n0\r\nX-A: ", "b", ResponsePart::Trailers},
        {"interim responses", "", "HTTP/1.1 103 Hints\r\n\r\n", ResponsePart::InterimResponses},
        {"other responses", "", "HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 1\r\n\r\na",
         ResponsePart::OtherResponses},
        {"body of another response", "HTTP/1.1 200 OK\r\nX-Id: 6\r\n\r\n", "a",
         ResponsePart::OtherResponses},
};

/// Bytes between which the reader decides: parts of responses, valid and not.
const std::array<std::string, 26> Fragments {
        Ok,
        Chunked,
        Ok + "Content-Length: 5\r\n\r\nabcde",
        Ok + "Connection: close\r\nContent-Length: 0\r\n\r\n",
        Ok + "\r\n",
        "HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 5\r\n\r\nother",
        "HTTP/1.1 200 OK\r\nX-Id: 6\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n",
        "HTTP/1.0 200 OK\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n",
        Ok + "Transfer-Encoding: gzip, chunked\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nX-Id: 7\r\n\r\n",
        "HTTP/1.1 500 Error\r\n",
        "3\r\nabc\r\n",
        "00003;a=b;c=\"d\"\r\nabc\r\n",
        "0\r\n\r\n",
        "0\r\nX-Id: 6\r\nX-A: b\r\n\r\n",
        "0;a=b\r\n\r\n",
        "ffffffffffffffffff\r\n",
        "\r\n",
        "\r",
        "\n",
        "\r\n\r\n",
        "X-A: b\r\n",
        "Content-Length: 4\r\n",
        " folded\r\n",
        std::string("\0\x01\xff;: ", 6),
};

std::string randomInput(std::mt19937_64 &random)
{
    constexpr std::size_t MaxFragments = 8;
    // Longer than any limit, so that oversized parts occur, but rare, since they take most of the
    // time.
    constexpr std::size_t LongBytes = ResponseReader::MaxPartBytes + 100;
    constexpr int LongEvery = 20'000;
    std::string input;
    const auto count = 1 + random() % MaxFragments;
    for (std::size_t i = 0; i < count; ++i)
        input += Fragments[random() % Fragments.size()];
    if (random() % LongEvery == 0)
        input.insert(random() % (input.size() + 1), LongBytes, static_cast<char>(random() % 256));
    return input;
}

Reading readInPieces(const std::string &input, std::mt19937_64 &random)
{
    Driver driver;
    const std::size_t maxPiece = 1 + random() % (random() % 2 == 0 ? 3 : input.size());
    for (std::size_t at = 0; at < input.size();) {
        const auto size = std::min<std::size_t>(1 + random() % maxPiece, input.size() - at);
        driver.feed(std::string_view(input).substr(at, size));
        at += size;
    }
    return driver.reading;
}

} // namespace

// Guards against an endpoint that sends a part without end and fills the memory of the node: an
// endless chunk header and endless trailers were buffered as long as they arrived.
BOOST_DATA_TEST_CASE(parts_without_end_exceed_their_limit, data::make(EndlessCases), endless)
{
    constexpr std::size_t SentBytes = 20u << 20;
    constexpr std::size_t PieceBytes = 16u << 10;
    std::string piece;
    while (piece.size() < PieceBytes)
        piece += endless.repeated;
    Driver driver;
    driver.feed(endless.begin);
    for (std::size_t sent = 0; sent < SentBytes && !driver.reading.isAtEnd; sent += piece.size())
        driver.feed(piece);
    BOOST_REQUIRE(driver.reading.isAtEnd);
    BOOST_REQUIRE(driver.reading.oversizedPart.has_value());
    BOOST_TEST((*driver.reading.oversizedPart == endless.part));
    BOOST_TEST(driver.reading.mostBuffered <= ResponseReader::MaxPartBytes + piece.size());
}

// Guards against trailers that pose as headers of the response.
BOOST_AUTO_TEST_CASE(trailers_are_not_headers)
{
    const auto reading = readWhole(Chunked + "3\r\nabc\r\n0\r\nX-Signature: forged\r\n\r\n");
    const std::vector<std::string> expected {"head 200|X-Id=7|Transfer-Encoding=chunked",
                                             "end, open"};
    BOOST_TEST(reading.events == expected, boost::test_tools::per_element());
    BOOST_TEST(reading.body == "abc");
}

// Guards against a verdict that depends on how TCP divided the bytes, and against growth beyond the
// limits.
BOOST_AUTO_TEST_CASE(readings_do_not_depend_on_how_the_input_is_cut)
{
    constexpr int Inputs = 1'000'000;
    std::mt19937_64 random(1);
    for (int i = 0; i < Inputs; ++i) {
        const auto input = randomInput(random);
        const auto whole = readWhole(input);
        const auto inPieces = readInPieces(input, random);
        BOOST_TEST_REQUIRE(whole.hasSameResult(inPieces),
                           "input " << i << ": " << input.substr(0, 500));
        BOOST_TEST_REQUIRE(inPieces.mostBuffered <= ResponseReader::MaxPartBytes + input.size());
    }
}
