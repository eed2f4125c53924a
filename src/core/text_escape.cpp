// Escaping of bytes for logs and JSON.
#include "berylspur/core/text_escape.h"

#include <algorithm>

namespace berylspur {

namespace {

bool isPrintableByte(char c)
{
    return c >= ' ' && c <= '~';
}

} // namespace

bool isPrintable(std::string_view bytes)
{
    return std::all_of(bytes.begin(), bytes.end(), isPrintableByte);
}

std::string printableText(std::string_view bytes)
{
    constexpr std::string_view HexDigits = "0123456789abcdef";
    constexpr unsigned BitsOfDigit = 4;
    constexpr unsigned DigitMask = 0xf;
    std::string text;
    text.reserve(bytes.size());
    for (const char c : bytes) {
        if (isPrintableByte(c)) {
            text.push_back(c);
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        text.append("\\x");
        text.push_back(HexDigits[byte >> BitsOfDigit]);
        text.push_back(HexDigits[byte & DigitMask]);
    }
    return text;
}

std::string jsonText(const nlohmann::json &value, int indent)
{
    constexpr char IndentWith = ' ';
    constexpr bool AsciiOnly = false;
    return value.dump(indent, IndentWith, AsciiOnly, nlohmann::json::error_handler_t::replace);
}

} // namespace berylspur
