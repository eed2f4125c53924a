// Loads YAML into a protobuf message and validates it against the field rules of the schema.
#pragma once

#include "berylspur/core/result.h"

#include <google/protobuf/message.h>
#include <string>
#include <string_view>
#include <vector>

namespace berylspur {

/// Result codes for one type of document. The defaults are the 1xxx codes of settings.
struct YamlErrorCodes
{
    ErrorCode syntax = ErrorCode::SettingsSyntax;
    ErrorCode unknownKey = ErrorCode::SettingsUnknownKey;
    ErrorCode wrongType = ErrorCode::SettingsWrongType;
    ErrorCode outOfRange = ErrorCode::SettingsOutOfRange;
    ErrorCode missingKey = ErrorCode::SettingsMissingKey;
};

/// Result codes for manifests: ManifestInvalid for every error.
YamlErrorCodes manifestErrorCodes();

/// Parses \a text into \a message. Keys are field names with '-' in place of '_'. Enumeration
/// values are the schema's names without their common prefix, in lower case and with '-'. Absent
/// keys get their default value. Fails at the first unknown key, wrong type, value out of range or
/// missing key, with the detail "file:line: path: what was expected".
///
/// An unusable value of a field that the schema marks as lenient is replaced by its default and
/// described in \a warnings; without \a warnings it is an error too.
Result<void> parseYaml(std::string_view text, const std::string &file,
                       google::protobuf::Message &message, const YamlErrorCodes &codes = {},
                       std::vector<std::string> *warnings = nullptr);

/// Reads \a file and calls parseYaml(). Fails with SettingsUnreadable if it cannot be read.
Result<void> loadYaml(const std::string &file, google::protobuf::Message &message,
                      const YamlErrorCodes &codes = {},
                      std::vector<std::string> *warnings = nullptr);

} // namespace berylspur
