// Response parsing with Boost.Beast, and limits of what the endpoint may send.
#include "response_reader.h"

#include "berylspur/http/beast_headers.h"
#include "berylspur/http/transfer_coding.h"

#include <limits>
#include <utility>

namespace berylspur {

namespace http = boost::beast::http;

namespace {

constexpr unsigned FirstStatus = 100;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned LastStatus = 599;
constexpr unsigned FirstHttp11Version = 11;

ResponseError oversizedPart(ResponsePart part)
{
    return {"over the limit", part};
}

ResponseError invalidStatus()
{
    return {"invalid status", std::nullopt, true};
}

} // namespace

ResponseReader::ResponseReader(ExpectedResponse expected) : m_expected(std::move(expected))
{
    resetParser();
}

void ResponseReader::resetParser()
{
    m_parser.emplace();
    m_parser->header_limit(MaxPartBytes);
    // Without a limit, Boost 1.74 rejects every Content-Length as over the limit.
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    // The parser adds trailers to the headers. Without eager parsing it stops after the head, so
    // the headers are taken before that.
    m_parser->eager(false);
    m_parser->skip(m_expected.isToHead);
    m_isHeadTaken = false;
    m_isSkipping = false;
}

ResponseEvent ResponseReader::next(std::string_view &input)
{
    for (;;) {
        if (auto event = takeParsed())
            return std::move(*event);
        // What was parsed before the error comes first.
        if (m_error)
            return *m_error;
        if (input.empty())
            return InputNeeded {};
        const auto step = parseBounded(*m_parser, input, MaxPartBytes);
        input.remove_prefix(step.used);
        m_error = errorOf(step, input);
        if (!m_error && step.used == 0)
            return InputNeeded {};
    }
}

std::optional<ResponseError> ResponseReader::errorOf(const ParseStep &step,
                                                     std::string_view rest) const
{
    if (step.error == http::error::header_limit)
        return oversizedPart(ResponsePart::Head);
    if (step.error == http::error::bad_status)
        return invalidStatus();
    if (step.error)
        return ResponseError {step.error.message(), std::nullopt};
    if (!step.isOverLimit)
        return std::nullopt;
    if (!m_parser->is_header_done())
        return oversizedPart(ResponsePart::Head);
    return oversizedPart(hasCompleteChunkHeader(rest) ? ResponsePart::Trailers
                                                      : ResponsePart::ChunkHeader);
}

std::optional<ResponseEvent> ResponseReader::takeParsed()
{
    if (!m_parser->is_header_done())
        return std::nullopt;
    if (!std::exchange(m_isHeadTaken, true)) {
        m_parser->eager(true);
        if (auto event = takeHead())
            return event;
    }
    if (auto event = takeBody())
        return event;
    if (!m_parser->is_done())
        return std::nullopt;
    if (!m_isSkipping)
        return ResponseEnd {m_parser->get().keep_alive()};
    resetParser();
    return std::nullopt;
}

std::optional<ResponseEvent> ResponseReader::takeHead()
{
    const auto &message = m_parser->get();
    // Also for responses to other requests: an endpoint that sends such a status cannot be relied
    // on for where its responses end.
    if (message.result_int() < FirstStatus || message.result_int() > LastStatus)
        return invalidStatus();
    if (message.result_int() < FirstFinalStatus) {
        m_isSkipping = true;
        if (++m_interimResponses > MaxInterimResponses)
            return oversizedPart(ResponsePart::InterimResponses);
        return std::nullopt;
    }
    auto headers = headersOf(message);
    const auto coding = transferCoding(headers, message.version() >= FirstHttp11Version);
    if (coding != TransferCoding::None && coding != TransferCoding::Chunked)
        return ResponseError {"unsupported transfer coding", std::nullopt};
    if (auto echoValue = otherEchoValue()) {
        m_isSkipping = true;
        if (++m_otherResponses > MaxOtherResponses)
            return oversizedPart(ResponsePart::OtherResponses);
        return OtherResponse {std::move(*echoValue)};
    }
    if (isUnidentified())
        return ResponseError {"no request id on a reused connection", std::nullopt};
    return ResponseHead {message.result_int(), std::move(headers)};
}

std::optional<ResponseEvent> ResponseReader::takeBody()
{
    auto &body = m_parser->get().body();
    if (body.empty())
        return std::nullopt;
    ResponseBody taken {std::exchange(body, {})};
    if (!m_isSkipping)
        return taken;
    m_skippedBytes += taken.bytes.size();
    if (m_skippedBytes > MaxSkippedBytes)
        return oversizedPart(ResponsePart::OtherResponses);
    return std::nullopt;
}

bool ResponseReader::isUnidentified() const
{
    const auto &name = m_expected.echoHeader;
    return m_expected.isConnectionReused && !name.empty()
           && m_parser->get().count(boost::string_view(name.data(), name.size())) == 0;
}

std::optional<std::string> ResponseReader::otherEchoValue() const
{
    if (m_expected.echoHeader.empty())
        return std::nullopt;
    const auto &message = m_parser->get();
    const auto echo = message.find(
            boost::string_view(m_expected.echoHeader.data(), m_expected.echoHeader.size()));
    if (echo == message.end() || std::string(echo->value()) == m_expected.echoValue)
        return std::nullopt;
    return std::string(echo->value());
}

bool ResponseReader::isCompleteAtClose()
{
    if (!m_isHeadTaken || m_isSkipping)
        return false;
    boost::system::error_code error;
    m_parser->put_eof(error);
    return !error && m_parser->is_done();
}

} // namespace berylspur
