// Manifest checks that involve more than one key.
#pragma once

#include "berylspur/core/result.h"
#include "berylspur/manifest.pb.h"

#include <string>

namespace berylspur {

/// Checks the constraints that the field rules of the schema cannot express. Fails with
/// - ManifestDuplicateService for two services with the same name,
/// - ManifestRouteConflict for two routes with the same host, path prefix and method; a route
///   without methods matches all methods that no other route lists, so at most one is allowed,
/// - ManifestCustomerConflict for two customers with the same name or the same key,
/// - ManifestInvalid for a customer listed twice in a service, for a concurrency limit above 0 and
///   below the number of declared endpoints (each owner admits at least one request per endpoint,
///   so the fleet would exceed the limit), and for content that exceeds the platform's value size.
Result<void> checkManifest(const schema::Manifest &manifest);

/// Reads and checks the manifest in \a file. Fails with the errors of checkManifest(), with
/// SettingsUnreadable, and with ManifestInvalid if loadYaml() rejects the file.
Result<schema::Manifest> loadManifest(const std::string &file);

} // namespace berylspur
