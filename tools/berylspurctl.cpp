// Command line for operators: validates and applies manifests, drains endpoints and nodes, shows
// active revisions, dumps node state and explains decisions.
#include "berylspur/config/manifest_check.h"
#include "berylspur/core/ids.h"
#include "berylspur/ctl/explain.h"
#include "berylspur/ctl/manifest_writer.h"
#include "berylspur/ctl/node_state.h"
#include "berylspur/ctl/report.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

using namespace berylspur;

namespace {

constexpr std::int64_t MsPerSecond = 1000;
constexpr std::int64_t MsPerMinute = 60 * MsPerSecond;
constexpr Duration PollInterval = std::chrono::milliseconds(100);
// Above the largest planned fleet.
constexpr std::size_t MaxQueriedNodes = 2000;

struct Options
{
    std::string platform;
    std::vector<std::string> nodes;
    std::string output = "text";
    std::string author;
    std::string file;
    std::string target;
    std::string service;
    std::string dumpTarget;
    std::string endpoint;
    std::string at;
    std::string request;
    std::string logRequestId;
    std::vector<std::string> logFiles;
    std::int64_t windowS = 60;
    std::int64_t maxWriteDelayS = 120;
    std::int64_t waitMs = 0;
    bool undo = false;
    bool isCompared = false; ///< check: with the version in force
};

/// Report of a failed read. A read has no side effect, so its timeout is reported as
/// PlatformUnreachable and not as an unknown outcome.
Report reportReadError(Error error)
{
    if (error.code == ErrorCode::PlatformTimeout)
        error.code = ErrorCode::PlatformUnreachable;
    return reportError(error);
}

/// Runs one command on its own event loop.
class Command
{
public:
    explicit Command(Options options)
        : m_options(std::move(options)), m_base(event_base_new(), &event_base_free)
    {
    }

    Report validate()
    {
        const auto manifest = loadManifest(m_options.file);
        return manifest ? reportValid(manifest.value()) : reportError(manifest.error());
    }

    /// Exit status 2 if the file cannot be read.
    Report check()
    {
        std::ifstream stream(m_options.file, std::ios::binary);
        std::ostringstream text;
        if (!stream.is_open() || !(text << stream.rdbuf()))
            return reportError({ErrorCode::CommandUsage, "cannot read " + m_options.file});
        const auto findings = lintManifest(text.str());
        const auto manifest = loadManifest(m_options.file);
        if (!m_options.isCompared || !manifest)
            return reportFindings(findings, m_options.file);
        const auto inForce = servicesInForce();
        if (!inForce)
            return reportReadError(inForce.error());
        const auto &services = manifest.value().services();
        return reportFindings(findings, m_options.file,
                              compareServices(inForce.value(), {services.begin(), services.end()}));
    }

    Report apply()
    {
        const auto manifest = loadManifest(m_options.file);
        if (!manifest)
            return reportError(manifest.error());
        if (auto checked = check(); checked.code != ErrorCode::Ok) {
            checked.exitStatus.reset(); // that of an invalid manifest, as for other errors
            return checked;
        }
        if (auto opened = openSession(); !opened)
            return reportError(opened.error());
        const auto activeRevisions = queryActiveRevisions(&manifest.value());
        if (!activeRevisions)
            return reportError(activeRevisions.error());
        const auto identity = newIdentity();
        ManifestWriter writer(*m_session);
        return finishWrite(writer.apply(manifest.value(), activeRevisions.value(), identity),
                           identity);
    }

    Report drain()
    {
        if (auto opened = openSession(); !opened)
            return reportError(opened.error());
        const auto activeRevisions = queryActiveRevisions(nullptr);
        if (!activeRevisions)
            return reportError(activeRevisions.error());
        const auto identity = newIdentity();
        ManifestWriter writer(*m_session);
        return finishWrite(writer.drain(m_options.service, m_options.target, m_options.undo,
                                        activeRevisions.value(), identity),
                           identity);
    }

    Report show()
    {
        if (auto opened = openSession(); !opened)
            return reportError(opened.error());
        const auto head = ManifestWriter(*m_session).readHead();
        if (!head)
            return reportReadError(head.error());
        return reportNodes(queryNodes(*m_session, m_nodes, MaxQueriedNodes), head.value().content);
    }

    Report dump()
    {
        if (auto opened = openSession(); !opened)
            return reportError(opened.error());
        const auto address = findNode(m_options.dumpTarget);
        if (!address)
            return reportError(address.error());
        const auto body = m_session->fetchAll({address.value()}, "/state").front();
        if (!body)
            return reportError(body.error());
        return {ErrorCode::Ok, body.value(), body.value()};
    }

    Report explain()
    {
        if (!m_options.logRequestId.empty())
            return explainFromLogs();
        if (auto opened = openSession(); !opened)
            return reportError(opened.error());
        const auto time = m_options.at.empty() ? wallClockMs() : parseTime(m_options.at);
        if (!time)
            return reportError({ErrorCode::CommandUsage,
                                "--at: expected a time in UTC such as 2026-12-04T10:00:00Z, or "
                                "seconds since 1970"});
        const auto windowMs = m_options.windowS * MsPerSecond;
        ExplainQuery query;
        query.endpoint = m_options.endpoint;
        query.requestId = m_options.request;
        query.fromMs = std::max<std::int64_t>(*time - windowMs, 0);
        query.toMs = *time + windowMs;
        // No record is written in the future. The extra minute allows for clock skew.
        query.writtenUntilMs = std::min(query.toMs + m_options.maxWriteDelayS * MsPerSecond,
                                        wallClockMs() + MsPerMinute);
        const auto explanation = berylspur::explain(*m_session, query);
        return explanation ? reportExplanation(explanation.value())
                           : reportReadError(explanation.error());
    }

private:
    Result<std::vector<schema::Service>> servicesInForce()
    {
        if (auto opened = openSession(); !opened)
            return std::move(opened).as_failure();
        ManifestWriter writer(*m_session);
        const auto head = writer.readHead();
        if (!head)
            return head.as_failure();
        return writer.readServices(head.value().content);
    }

    Report explainFromLogs() const
    {
        RequestTrace trace(m_options.logRequestId);
        for (const auto &name : m_options.logFiles) {
            if (name == "-") {
                trace.read(std::cin);
                continue;
            }
            std::ifstream file(name);
            if (!file)
                return reportError({ErrorCode::CommandUsage, name + ": cannot be read"});
            trace.read(file);
        }
        return reportRequestTrace(trace);
    }

    Result<void> openSession()
    {
        // dump calls nodes only and needs no platform address.
        Address platform;
        if (!m_options.platform.empty()) {
            auto parsed = Address::parse(m_options.platform);
            if (!parsed)
                return std::move(parsed).as_failure();
            platform = parsed.value();
        }
        for (const auto &text : m_options.nodes) {
            auto parsed = Address::parse(text);
            if (!parsed)
                return std::move(parsed).as_failure();
            m_nodes.push_back(parsed.value());
        }
        m_session.emplace(m_base.get(), platform);
        return success();
    }

    /// Admin address of the node that \a text identifies by IP:port or by name.
    Result<Address> findNode(const std::string &text)
    {
        if (auto address = Address::parse(text))
            return address;
        for (const auto &state : queryNodes(*m_session, m_nodes, MaxQueriedNodes)) {
            if (state.node == text)
                return state.admin;
        }
        return failure(ErrorCode::CommandNodeUnreachable,
                       text + " is neither an IP:port nor the name of a node found through --node");
    }

    /// Highest active revisions of the nodes. Records nodes that do not respond in m_unreachable.
    /// Fails with ManifestWrongFleet if a node belongs to another fleet than \a manifest.
    Result<ActiveRevisions> queryActiveRevisions(const schema::Manifest *manifest)
    {
        ActiveRevisions activeRevisions;
        for (const auto &state : queryNodes(*m_session, m_nodes, MaxQueriedNodes)) {
            if (state.error.code != ErrorCode::Ok) {
                m_unreachable.push_back(state.admin.toString());
                continue;
            }
            if (manifest && !state.fleet.empty() && state.fleet != manifest->fleet())
                return failure(ErrorCode::ManifestWrongFleet,
                               state.node + " belongs to " + state.fleet);
            activeRevisions.revision = std::max(activeRevisions.revision, state.revision);
            for (const auto &[name, revision] : state.services) {
                activeRevisions.services[name] = std::max(activeRevisions.services[name], revision);
                activeRevisions.revision = std::max(activeRevisions.revision, revision);
            }
        }
        return activeRevisions;
    }

    WriteIdentity newIdentity() const
    {
        auto random = seededRandom();
        return {m_options.author, RequestId::generate(random).toHex(), wallClockMs()};
    }

    Report finishWrite(const WriteOutcome &outcome, const WriteIdentity &identity)
    {
        auto report = reportWrite(outcome, identity.applyId, m_unreachable);
        if (outcome.revision == 1 && m_nodes.empty())
            report.text += "no node was queried: if the platform lost its data, nodes with higher "
                           "revisions ignore this one; apply with --node\n";
        if (outcome.error.code != ErrorCode::Ok || m_options.waitMs == 0)
            return report;
        const auto head = ManifestWriter(*m_session).readHead();
        if (!head)
            return reportReadError(head.error());
        const auto deadline = BootClock::now() + std::chrono::milliseconds(m_options.waitMs);
        const auto queryReport = [&] {
            return reportNodes(queryNodes(*m_session, m_nodes, MaxQueriedNodes),
                               head.value().content);
        };
        auto nodes = queryReport();
        while (nodes.code != ErrorCode::Ok && BootClock::now() < deadline) {
            m_session->sleep(PollInterval);
            nodes = queryReport();
        }
        report.code = nodes.code;
        report.text += nodes.text;
        return report;
    }

    Options m_options;
    std::unique_ptr<event_base, decltype(&event_base_free)> m_base;
    std::optional<PlatformSession> m_session;
    std::vector<Address> m_nodes;
    std::vector<std::string> m_unreachable;
};

using CommandMethod = Report (Command::*)();

CLI::App *addCommand(CLI::App &app, const char *name, const char *help, CommandMethod &selected,
                     CommandMethod run)
{
    auto *command = app.add_subcommand(name, help);
    command->callback([&selected, run] { selected = run; });
    return command;
}

void addOutputOption(CLI::App *command, Options &options)
{
    command->add_option("--output", options.output, "text or json")
            ->check(CLI::IsMember({"text", "json"}));
}

CLI::Option *addPlatformOption(CLI::App *command, Options &options)
{
    return command
            ->add_option("--platform", options.platform, "IP:port of the platform's object API")
            ->required();
}

CLI::Option *addNodeOption(CLI::App *command, Options &options)
{
    return command->add_option("--node", options.nodes,
                               "IP:port of a node's admin address (repeatable); the members that "
                               "it reports are queried too");
}

void addWriteOptions(CLI::App *command, Options &options, CLI::Option *nodes)
{
    command->add_option("--author", options.author,
                        "author recorded with the write (default: $USER)");
    command->add_option("--wait", options.waitMs,
                        "ms to wait until the manifest is in force on the nodes")
            ->check(CLI::Range(0, 600000))
            ->needs(nodes);
}

void addWriteCommands(CLI::App &app, Options &options, CommandMethod &run)
{
    auto *validate = addCommand(app, "validate", "Check a manifest file", run, &Command::validate);
    validate->add_option("file", options.file, "manifest")->required();
    addOutputOption(validate, options);

    auto *check = addCommand(app, "check",
                             "List errors, entries without effect and contradicting limits of a "
                             "manifest file, one a line (exit status 1 if there are any)",
                             run, &Command::check);
    check->add_option("file", options.file, "manifest")->required();
    addOutputOption(check, options);
    addPlatformOption(check, options)->required(false)->each([&options](const std::string &) {
        options.isCompared = true;
    });

    auto *apply = addCommand(app, "apply", "Apply a manifest", run, &Command::apply);
    apply->add_option("file", options.file, "manifest")->required();

    auto *drain = addCommand(app, "drain", "Stop sending new requests to an endpoint or a node",
                             run, &Command::drain);
    drain->add_option("target", options.target, "endpoint id or node name")->required();
    drain->add_option("--service", options.service, "service")->required();
    drain->add_flag("--undo", options.undo, "send requests to it again");

    for (auto *command : {apply, drain}) {
        addOutputOption(command, options);
        addPlatformOption(command, options);
        addWriteOptions(command, options, addNodeOption(command, options));
    }
}

void addExplain(CLI::App &app, Options &options, CommandMethod &run)
{
    auto *explain =
            addCommand(app, "explain", "Print the log lines of a request, or decision records", run,
                       &Command::explain);
    auto *id = explain->add_option("id", options.logRequestId,
                                   "request id to search for in the logs of nodes");
    explain->add_option("--log", options.logFiles, "log to read (repeatable; '-': standard input)")
            ->needs(id);
    auto *at = explain->add_option("--at", options.at, "time in UTC (default: now)");
    auto *endpoint = explain->add_option("--endpoint", options.endpoint, "endpoint id");
    auto *request = explain->add_option("--request", options.request, "request id");
    endpoint->needs(at)->excludes(request);
    id->excludes(endpoint)->excludes(request);
    request->check(CLI::Validator(
            [](const std::string &text) {
                return RequestId::fromHex(text) ? std::string() : "expected 32 hexadecimal digits";
            },
            "ID"));
    explain->add_option("--within", options.windowS, "seconds before and after the time")
            ->check(CLI::Range(0, 86400))
            ->capture_default_str();
    explain->add_option("--lag", options.maxWriteDelayS,
                        "seconds by which records may have been written late; raise it after an "
                        "outage of the platform")
            ->check(CLI::Range(0, 604800))
            ->capture_default_str();
    explain->parse_complete_callback([&options] {
        if (!options.logRequestId.empty()) {
            if (options.logFiles.empty())
                options.logFiles.emplace_back("-");
            return;
        }
        if (options.endpoint.empty() && options.request.empty())
            throw CLI::RequiredError("id, --endpoint or --request");
        if (options.platform.empty())
            throw CLI::RequiredError("--platform");
    });
    addOutputOption(explain, options);
    addPlatformOption(explain, options)->required(false);
}

void addReadCommands(CLI::App &app, Options &options, CommandMethod &run)
{
    auto *show = addCommand(app, "show", "Show what is in force per node", run, &Command::show);
    addOutputOption(show, options);
    addPlatformOption(show, options);
    addNodeOption(show, options)->required();

    auto *dump = addCommand(app, "dump", "Print the state of a node", run, &Command::dump);
    dump->add_option("node", options.dumpTarget, "IP:port of the admin address, or a node name")
            ->required();
    addOutputOption(dump, options);
    addNodeOption(dump, options);
    addExplain(app, options, run);
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Options options;
    const char *user = std::getenv("USER");
    options.author = user ? user : "unknown";
    CLI::App app("Controls a berylspur fleet.");
    app.require_subcommand(1);
    app.footer(exitStatusHelp());
    CommandMethod run = nullptr;
    addWriteCommands(app, options, run);
    addReadCommands(app, options, run);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        return app.exit(error) == 0 ? 0 : static_cast<int>(ExitStatus::Usage);
    }
    const bool json = options.output == "json";
    Command command(std::move(options));
    const auto report = (command.*run)();
    auto *stream = report.code == ErrorCode::Ok || report.exitStatus || json ? stdout : stderr;
    std::fputs((json ? report.json : report.text).c_str(), stream);
    return static_cast<int>(report.exitStatus.value_or(exitStatusOf(report.code)));
}
