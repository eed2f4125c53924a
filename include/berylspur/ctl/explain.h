// Searches the decision records that nodes stored on the platform.
#pragma once

#include "berylspur/ctl/platform_session.h"
#include "berylspur/record.pb.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylspur {

/// Filter for decision records. Empty strings match every record.
struct ExplainQuery
{
    std::string endpoint;
    std::string requestId; ///< hexadecimal
    std::int64_t fromMs = 0;
    std::int64_t toMs = 0;
    /// End of the search by write time. Records are written after the decision: by one flush
    /// interval, or by the length of a platform outage.
    std::int64_t writtenUntilMs = 0;
};

/// Records that match a query, and what is missing from the result.
struct Explanation
{
    std::vector<schema::DecisionRecord> records; ///< sorted by time, then node
    std::size_t objectsRead = 0;
    std::size_t objectsFailed = 0; ///< unreadable or malformed; matching records may be missing
    std::uint64_t dropped = 0; ///< records that these nodes dropped since they started
};

/// Reads the decision objects written in the minutes from query.fromMs to query.writtenUntilMs and
/// returns the matching records. Fails with the errors of PlatformSession::list().
Result<Explanation> explain(PlatformSession &session, const ExplainQuery &query);

/// Parses "2026-12-04T10:00:00Z" (always UTC, the 'Z' is optional) or seconds since 1970 into
/// Unix milliseconds. Returns std::nullopt for any other input.
std::optional<std::int64_t> parseTime(std::string_view text);
/// Formats Unix milliseconds as "2026-12-04T10:00:00.123Z".
std::string formatTime(std::int64_t timeMs);

/// Formats \a record as one line: time, node, decision, service, endpoint, rule, figures, request,
/// result code, revision.
std::string describe(const schema::DecisionRecord &record);

} // namespace berylspur
