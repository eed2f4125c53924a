// Loading and validation of the berylspur-node settings.
#pragma once

#include "berylspur/core/result.h"
#include "berylspur/settings.pb.h"

#include <string>
#include <vector>

namespace berylspur {

/// Loads and validates the settings in \a file. Fails as loadYaml() does, with AddressUnusable for
/// an invalid address, and with SettingsAdminNotLoopback if the admin or announce address is not
/// loopback and admin-remote is not set, because neither interface authenticates its callers. Each
/// unusable value that was replaced by its default is described in \a warnings.
Result<schema::NodeSettings> loadNodeSettings(const std::string &file,
                                              std::vector<std::string> &warnings);

/// The checks of loadNodeSettings() that the schema cannot express. Error messages name \a file.
Result<void> checkNodeSettings(const schema::NodeSettings &settings, const std::string &file);

} // namespace berylspur
