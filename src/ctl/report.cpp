// Formats command results as text and JSON.
#include "berylspur/ctl/report.h"

#include "berylspur/core/text_escape.h"

#include <algorithm>
#include <google/protobuf/util/json_util.h>
#include <nlohmann/json.hpp>
#include <sstream>

namespace berylspur {

namespace {

using Json = nlohmann::json;

Json errorJson(const Error &error)
{
    return {{"ok", error.code == ErrorCode::Ok},
            {"code", static_cast<std::uint32_t>(error.code)},
            {"name", errorName(error.code)},
            {"message", errorMessage(error.code)},
            {"detail", error.detail}};
}

std::string join(const std::vector<std::string> &texts)
{
    std::string line;
    for (const auto &text : texts)
        line.append(line.empty() ? "" : ", ").append(text);
    return line;
}

void appendLine(std::string &text, const std::string &label, const std::vector<std::string> &values)
{
    if (!values.empty())
        text.append(label).append(join(values)).append("\n");
}

std::string formatWinner(const WinningWrite &winner)
{
    return "revision " + std::to_string(winner.revision) + " by " + winner.author + " at "
           + formatTime(winner.timeMs);
}

void appendDifferences(std::string &text, const WriteOutcome &outcome)
{
    appendLine(text, "differing services: ", outcome.differingServices);
    if (outcome.customersDiffer)
        text += "the customers differ\n";
}

std::string formatWriteOutcome(const WriteOutcome &outcome)
{
    const auto revision = std::to_string(outcome.revision);
    std::string text;
    if (outcome.error.code != ErrorCode::Ok) {
        text = describe(outcome.error) + "\n";
        if (outcome.winner)
            text += "winning write: " + formatWinner(*outcome.winner) + "\n";
        appendDifferences(text, outcome);
        return text;
    }
    if (outcome.isUnchanged)
        return "unchanged: revision " + revision + " has this content\n";
    text = "accepted: revision " + revision + "\n";
    if (outcome.isRecovered)
        text += "a response from the platform was lost, but the write took effect\n";
    appendLine(text, "changed: ", outcome.changedServices);
    if (outcome.customersChanged)
        text += "customers changed\n";
    if (outcome.winner) {
        text += "replaced since: " + formatWinner(*outcome.winner) + "\n";
        appendDifferences(text, outcome);
    }
    return text;
}

} // namespace

ExitStatus exitStatusOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::Ok:
        return ExitStatus::Ok;
    case ErrorCode::CommandUsage:
    case ErrorCode::AddressUnusable:
        return ExitStatus::Usage;
    case ErrorCode::ManifestConflict:
        return ExitStatus::Conflict;
    case ErrorCode::PlatformTimeout:
        return ExitStatus::OutcomeUnknown;
    case ErrorCode::CommandNodeUnreachable:
        return ExitStatus::NodeUnreachable;
    case ErrorCode::CommandNotInForce:
        return ExitStatus::NotInForce;
    case ErrorCode::CommandNoRecord:
        return ExitStatus::NoRecord;
    default:
        break;
    }
    constexpr std::uint32_t GroupSize = 1000;
    switch (static_cast<std::uint32_t>(code) / GroupSize) {
    case 1:
    case 2:
        return ExitStatus::Invalid;
    case 7:
        return ExitStatus::PlatformFailed;
    default:
        return ExitStatus::OtherError;
    }
}

std::string exitStatusHelp()
{
    std::string text = "Exit status:\n";
    for (const auto &[status, meaning] : ExitStatuses)
        text.append("  ")
                .append(std::to_string(static_cast<int>(status)))
                .append("  ")
                .append(meaning)
                .append("\n");
    return text;
}

Report reportError(const Error &error)
{
    return {error.code, describe(error) + "\n", jsonText(errorJson(error), 2) + "\n"};
}

Report reportFindings(const std::vector<ManifestFinding> &findings, const std::string &file,
                      const std::vector<ManifestDifference> &differences)
{
    Report report {findings.empty() ? ErrorCode::Ok : ErrorCode::ManifestInvalid, {}, {}};
    Json list = Json::array();
    for (const auto &finding : findings) {
        report.text += describe(finding, file) + "\n";
        list.push_back({{"file", file},
                        {"line", finding.line},
                        {"field", finding.field},
                        {"what", finding.what},
                        {"why", finding.why}});
    }
    Json changes = Json::array();
    for (const auto &difference : differences) {
        report.text += describe(difference) + "\n";
        changes.push_back({{"service", difference.service},
                           {"field", difference.field},
                           {"in-force", difference.inForce},
                           {"next", difference.next},
                           {"cuts-off", difference.cutsOff}});
    }
    report.json =
            jsonText({{"ok", findings.empty()}, {"findings", list}, {"differences", changes}}, 2)
            + "\n";
    report.exitStatus = findings.empty() ? ExitStatus::Ok : ExitStatus::OtherError;
    return report;
}

Report reportValid(const schema::Manifest &manifest)
{
    std::size_t routes = 0;
    for (const auto &service : manifest.services())
        routes += static_cast<std::size_t>(service.routes_size());
    const Json json = {{"ok", true},
                       {"fleet", manifest.fleet()},
                       {"services", manifest.services_size()},
                       {"routes", routes}};
    std::ostringstream text;
    text << "valid: fleet " << manifest.fleet() << ", " << manifest.services_size() << " services, "
         << routes << " routes\n";
    return {ErrorCode::Ok, text.str(), jsonText(json, 2) + "\n"};
}

Report reportWrite(const WriteOutcome &outcome, const std::string &applyId,
                   const std::vector<std::string> &unreachable)
{
    auto json = errorJson(outcome.error);
    json["revision"] = outcome.revision;
    json["unchanged"] = outcome.isUnchanged;
    json["recovered"] = outcome.isRecovered;
    json["changed"] = outcome.changedServices;
    json["customers-changed"] = outcome.customersChanged;
    json["undrained"] = outcome.undrained;
    json["differs"] = outcome.differingServices;
    json["customers-differ"] = outcome.customersDiffer;
    json["unreachable"] = unreachable;
    json["apply-id"] = applyId;
    if (outcome.winner)
        json["winner"] = {{"author", outcome.winner->author},
                          {"revision", outcome.winner->revision},
                          {"time", formatTime(outcome.winner->timeMs)}};
    std::string text = formatWriteOutcome(outcome);
    appendLine(text, "no longer drained: ", outcome.undrained);
    appendLine(text, "did not answer: ", unreachable);
    return {outcome.error.code, text, jsonText(json, 2) + "\n"};
}

Report reportNodes(const std::vector<NodeState> &nodes, const schema::ManifestHead &head)
{
    Report report;
    std::ostringstream text;
    auto list = Json::array();
    std::uint64_t customersRevision = 0; // that last changed a customer
    for (const auto &entry : head.customer_entries())
        customersRevision = std::max(customersRevision, entry.revision());
    text << "manifest: revision " << head.revision() << " by " << head.author() << "\n";
    for (const auto &node : nodes) {
        const auto admin = node.admin.toString();
        if (node.error.code != ErrorCode::Ok) {
            text << admin << ": " << describe(node.error) << "\n";
            list.push_back({{"admin", admin}, {"error", errorJson(node.error)}});
            report.code = ErrorCode::CommandNodeUnreachable;
            continue;
        }
        std::vector<std::string> behind;
        for (const auto &entry : head.entries()) {
            const auto found = node.services.find(entry.service());
            // A node that never had a deleted service needs no tombstone for it.
            const bool isAbsent = found == node.services.end();
            if (isAbsent ? !entry.hash().empty() : found->second < entry.revision())
                behind.push_back(entry.service());
        }
        if (node.revision < customersRevision)
            behind.emplace_back("customers");
        if (!behind.empty() && report.code == ErrorCode::Ok)
            report.code = ErrorCode::CommandNotInForce;
        text << node.node << " " << admin << ": revision " << node.revision
             << (behind.empty() ? ", in force" : ", behind: " + join(behind)) << "\n";
        for (const auto &[name, revision] : node.services)
            text << "  " << name << " " << revision
                 << (node.deleted.contains(name) ? " deleted" : "") << "\n";
        list.push_back({{"node", node.node},
                        {"admin", admin},
                        {"incarnation", std::to_string(node.incarnation)},
                        {"revision", node.revision},
                        {"services", node.services},
                        {"deleted", node.deleted},
                        {"behind", behind}});
    }
    const Json json = {{"ok", report.code == ErrorCode::Ok},
                       {"code", static_cast<std::uint32_t>(report.code)},
                       {"revision", head.revision()},
                       {"author", head.author()},
                       {"nodes", list}};
    report.text = text.str();
    report.json = jsonText(json, 2) + "\n";
    return report;
}

Report reportRequestTrace(const RequestTrace &trace)
{
    Report report;
    auto list = Json::array();
    for (const auto &line : trace.orderedLines()) {
        report.text += describe(line) + "\n";
        Json fields = Json::object();
        for (const auto &[key, value] : line.fields)
            fields[key] = value;
        list.push_back({{"time", formatTime(line.timeMs)},
                        {"node", line.node},
                        {"event", line.event},
                        {"fields", fields}});
    }
    if (list.empty()) {
        report.code = ErrorCode::CommandNoRecord;
        report.text = describe(Error {report.code, {}}) + "\n";
    }
    for (const auto &node : trace.nodesWithSteppedClock())
        report.text += "the clock of " + node + " was set back between these lines\n";
    const Json json = {{"ok", report.code == ErrorCode::Ok},
                       {"code", static_cast<std::uint32_t>(report.code)},
                       {"lines", list},
                       {"lines-read", trace.linesRead()},
                       {"stepped-clocks", trace.nodesWithSteppedClock()}};
    report.json = jsonText(json, 2) + "\n";
    return report;
}

Report reportExplanation(const Explanation &explanation)
{
    Report report;
    auto list = Json::array();
    for (const auto &record : explanation.records) {
        report.text += describe(record) + "\n";
        std::string encoded;
        google::protobuf::util::JsonPrintOptions options;
        options.preserve_proto_field_names = true;
        options.always_print_primitive_fields = true;
        const auto status = google::protobuf::util::MessageToJsonString(record, &encoded, options);
        if (status.ok())
            list.push_back(Json::parse(encoded));
    }
    if (explanation.records.empty()) {
        report.code = ErrorCode::CommandNoRecord;
        report.text = describe(Error {report.code, {}}) + "\n";
    }
    if (explanation.objectsFailed > 0)
        report.text += std::to_string(explanation.objectsFailed) + " of "
                       + std::to_string(explanation.objectsRead) + " objects could not be read\n";
    if (explanation.dropped > 0)
        report.text += "these nodes dropped " + std::to_string(explanation.dropped)
                       + " records since they started\n";
    const Json json = {{"ok", report.code == ErrorCode::Ok},
                       {"code", static_cast<std::uint32_t>(report.code)},
                       {"records", list},
                       {"objects-read", explanation.objectsRead},
                       {"objects-failed", explanation.objectsFailed},
                       {"dropped", explanation.dropped}};
    report.json = jsonText(json, 2) + "\n";
    return report;
}

} // namespace berylspur
