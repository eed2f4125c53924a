// Exit statuses of berylspurctl and its output as text and JSON.
#pragma once

#include "berylspur/core/error_code.h"
#include "berylspur/core/result.h"
#include "berylspur/ctl/explain.h"
#include "berylspur/ctl/manifest_diff.h"
#include "berylspur/ctl/manifest_lint.h"
#include "berylspur/ctl/manifest_writer.h"
#include "berylspur/ctl/node_state.h"
#include "berylspur/ctl/request_trace.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace berylspur {

/// Exit statuses. ctl_test checks that docs/result-codes.md lists the same ones.
enum class ExitStatus : int {
    Ok = 0,
    OtherError = 1,
    Usage = 2,
    Invalid = 3,
    Conflict = 4,
    PlatformFailed = 5,
    NodeUnreachable = 6,
    NotInForce = 7,
    NoRecord = 8,
    OutcomeUnknown = 9,
};

inline constexpr std::array<std::pair<ExitStatus, std::string_view>, 10> ExitStatuses {{
        {ExitStatus::Ok, "success"},
        {ExitStatus::OtherError, "another error; the result code says which"},
        {ExitStatus::Usage, "the command line is wrong"},
        {ExitStatus::Invalid, "the manifest is invalid or cannot be read"},
        {ExitStatus::Conflict, "another manifest was accepted first; nothing was changed"},
        {ExitStatus::PlatformFailed, "the platform failed; nothing was changed"},
        {ExitStatus::NodeUnreachable, "a node could not be reached"},
        {ExitStatus::NotInForce, "the configuration is not in force on every node asked"},
        {ExitStatus::NoRecord, "no decision record matches"},
        {ExitStatus::OutcomeUnknown, "it is not known whether the write took effect"},
}};

/// Exit status of a command that ended with \a code.
ExitStatus exitStatusOf(ErrorCode code);

/// Section of --help that lists the exit statuses.
std::string exitStatusHelp();

/// Output of a command as text and as JSON, and the code that determines the exit status.
struct Report
{
    ErrorCode code = ErrorCode::Ok;
    std::string text;
    std::string json;
    /// Replaces the exit status of the code. The text then goes to standard output.
    std::optional<ExitStatus> exitStatus {};
};

Report reportError(const Error &error);
Report reportValid(const schema::Manifest &manifest);
/// Findings in the manifest \a file, one a line; exit status 0 without findings, otherwise 1.
/// \a differences from the version in force follow; they do not change the exit status.
Report reportFindings(const std::vector<ManifestFinding> &findings, const std::string &file,
                      const std::vector<ManifestDifference> &differences = {});
/// Outcome of apply or drain. \a unreachable lists the admin addresses that did not respond.
Report reportWrite(const WriteOutcome &outcome, const std::string &applyId,
                   const std::vector<std::string> &unreachable);
/// Active revisions of each node compared with \a head. The code is CommandNotInForce if a node is
/// behind and CommandNodeUnreachable if one did not respond.
Report reportNodes(const std::vector<NodeState> &nodes, const schema::ManifestHead &head);
/// Log lines of a request. The code is CommandNoRecord if there are none.
Report reportRequestTrace(const RequestTrace &trace);
/// Matching decision records. The code is CommandNoRecord if there are none.
Report reportExplanation(const Explanation &explanation);

} // namespace berylspur
