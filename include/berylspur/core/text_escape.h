// Text for logs and JSON from bytes that callers and endpoints chose, which may be anything.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace berylspur {

/// \a bytes with each byte that is not printable ASCII as \\xNN, so that the result is valid in a
/// log line, in JSON and in a protobuf string. Printable text is returned as it is.
std::string printableText(std::string_view bytes);

/// True if printableText() changes nothing.
bool isPrintable(std::string_view bytes);

/// \a value as JSON text; \a indent as of nlohmann::json::dump(). Unlike dump() it does not throw
/// for text that is not UTF-8: such bytes become U+FFFD.
std::string jsonText(const nlohmann::json &value, int indent = -1);

} // namespace berylspur
