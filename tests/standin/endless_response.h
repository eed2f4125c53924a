// Responses with a part that has no end, as a faulty backend server may send them.
#pragma once

#include "berylspur/core/enum_table.h"

#include <string>
#include <string_view>

namespace berylspur::standin {

/// The part of the response that is repeated without end.
enum class EndlessPart {
    Garbage,
    StatusLine,
    FieldValue,
    FieldList,
    InterimResponses,
    ChunkSize,
    ChunkExtension,
    Trailers,
    TrailerValue,
    BodyWithoutLength,
    SmallChunks,
    LargeChunk,
};

constexpr EnumTable<EndlessPart, 12> EndlessPartNames {{
        {EndlessPart::Garbage, "garbage"},
        {EndlessPart::StatusLine, "status-line"},
        {EndlessPart::FieldValue, "field-value"},
        {EndlessPart::FieldList, "field-list"},
        {EndlessPart::InterimResponses, "interim-responses"},
        {EndlessPart::ChunkSize, "chunk-size"},
        {EndlessPart::ChunkExtension, "chunk-extension"},
        {EndlessPart::Trailers, "trailers"},
        {EndlessPart::TrailerValue, "trailer-value"},
        {EndlessPart::BodyWithoutLength, "body-without-length"},
        {EndlessPart::SmallChunks, "small-chunks"},
        {EndlessPart::LargeChunk, "large-chunk"},
}};

/// Bytes of a response: \a start once, then \a repeated without end.
struct EndlessResponse
{
    std::string start;
    std::string_view repeated;
};

inline EndlessResponse endlessResponse(EndlessPart part)
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    switch (part) {
    case EndlessPart::Garbage:
        return {"", "x"};
    case EndlessPart::StatusLine:
        return {"HTTP/1.1 200 ", "x"};
    case EndlessPart::FieldValue:
        return {head + "A: ", "x"};
    case EndlessPart::FieldList:
        return {head, "A: b\r\n"};
    case EndlessPart::InterimResponses:
        return {"", "HTTP/1.1 103 Early Hints\r\n\r\n"};
    case EndlessPart::ChunkSize:
        return {chunked, "0"};
    case EndlessPart::ChunkExtension:
        return {chunked + "1;", "x"};
    case EndlessPart::Trailers:
        return {chunked + "0\r\n", "A: b\r\n"};
    case EndlessPart::TrailerValue:
        return {chunked + "0\r\nA: ", "x"};
    case EndlessPart::BodyWithoutLength:
        return {head + "\r\n", "x"};
    case EndlessPart::SmallChunks:
        return {chunked, "1\r\nx\r\n"};
    case EndlessPart::LargeChunk:
        return {chunked + "7fffffffffffffff\r\n", "x"};
    }
    return {};
}

} // namespace berylspur::standin
