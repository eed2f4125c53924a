// Findings in a manifest: errors, entries without effect, and limits that contradict each other.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace berylspur {

struct ManifestFinding
{
    int line = 1;
    std::string field; ///< path such as "services[0].routes[1].host"; empty: the whole file
    std::string what;
    std::string why; ///< consequence or expectation; may be empty
};

/// Checks the manifest in \a text. A manifest that does not match the schema gives one finding, the
/// first error; any other gives all findings, ordered by line. Findings do not contain keys.
std::vector<ManifestFinding> lintManifest(std::string_view text);

/// "file:line: field: what: why".
std::string describe(const ManifestFinding &finding, const std::string &file);

} // namespace berylspur
