// Exit statuses of berylspurctl and its output for people and programs.
#pragma once

#include "berylspur/core/error_code.h"
#include "berylspur/core/result.h"
#include "berylspur/ctl/explain.h"
#include "berylspur/ctl/log_trail.h"
#include "berylspur/ctl/manifest_writer.h"
#include "berylspur/ctl/node_state.h"

#include <array>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace berylspur {

/// Exit statuses; docs/result-codes.md lists them, and a test keeps the two equal.
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

/// Exit status for \a code as the result of a command.
ExitStatus exitStatusOf(ErrorCode code);

/// Text for --help: one line per exit status.
std::string exitStatusHelp();

/// Text for a person or a JSON object, and the code that decides the exit status.
struct Report
{
    ErrorCode code = ErrorCode::Ok;
    std::string text;
    std::string json;
};

Report reportError(const Error &error);
Report reportValid(const schema::Manifest &manifest);
/// Outcome of apply or drain. \a unreachable: admin addresses that did not answer.
Report reportWrite(const WriteOutcome &outcome, const std::string &applyId,
                   const std::vector<std::string> &unreachable);
/// What is in force on each node, compared with \a head. CommandNotInForce if a node is behind,
/// CommandNodeUnreachable if one did not answer.
Report reportNodes(const std::vector<NodeState> &nodes, const schema::ManifestHead &head);
/// The way of a request through logs. CommandNoRecord if no line names it.
Report reportTrail(const LogTrail &trail);
/// CommandNoRecord if nothing matched.
Report reportExplanation(const Explanation &explanation);

} // namespace berylspur
