// Command line for operators: validates and applies manifests, shows what is in force, drains,
// dumps and explains.
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

using namespace berylspur;

namespace {

constexpr std::int64_t MsPerSecond = 1000;
constexpr std::int64_t MsPerMinute = 60 * MsPerSecond;
constexpr Duration PollInterval = std::chrono::milliseconds(100);
// Enough for every node of the largest fleet planned for.
constexpr std::size_t MostNodes = 2000;

struct Options
{
    std::string platform;
    std::vector<std::string> nodes;
    std::string output = "text";
    std::string author;
    std::string file;
    std::string target;
    std::string service;
    std::string dumped;
    std::string endpoint;
    std::string at;
    std::string request;
    std::string loggedRequest;
    std::vector<std::string> logs;
    std::int64_t withinS = 60;
    std::int64_t lagS = 120;
    std::int64_t waitMs = 0;
    bool undo = false;
};

/// Report of a failed read. A read has no effect, so that its timeout is no unknown outcome.
Report reportReadError(Error error)
{
    if (error.code == ErrorCode::PlatformTimeout)
        error.code = ErrorCode::PlatformUnreachable;
    return reportError(error);
}

/// The event loop and the calls of one command.
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

    Report apply()
    {
        const auto manifest = loadManifest(m_options.file);
        if (!manifest)
            return reportError(manifest.error());
        if (auto opened = open(); !opened)
            return reportError(opened.error());
        const auto asked = askNodes(&manifest.value());
        if (!asked)
            return reportError(asked.error());
        const auto identity = newIdentity();
        ManifestWriter writer(*m_session);
        return finishWrite(writer.apply(manifest.value(), asked.value(), identity), identity);
    }

    Report drain()
    {
        if (auto opened = open(); !opened)
            return reportError(opened.error());
        const auto asked = askNodes(nullptr);
        if (!asked)
            return reportError(asked.error());
        const auto identity = newIdentity();
        ManifestWriter writer(*m_session);
        return finishWrite(writer.drain(m_options.service, m_options.target, m_options.undo,
                                        asked.value(), identity),
                           identity);
    }

    Report show()
    {
        if (auto opened = open(); !opened)
            return reportError(opened.error());
        const auto head = ManifestWriter(*m_session).readHead();
        if (!head)
            return reportReadError(head.error());
        return reportNodes(queryNodes(*m_session, m_nodes, MostNodes), head.value().content);
    }

    Report dump()
    {
        if (auto opened = open(); !opened)
            return reportError(opened.error());
        const auto address = findNode(m_options.dumped);
        if (!address)
            return reportError(address.error());
        const auto body = m_session->fetchAll({address.value()}, "/state").front();
        if (!body)
            return reportError(body.error());
        return {ErrorCode::Ok, body.value(), body.value()};
    }

    Report explain()
    {
        if (!m_options.loggedRequest.empty())
            return explainFromLogs();
        if (auto opened = open(); !opened)
            return reportError(opened.error());
        const auto time = m_options.at.empty() ? wallClockMs() : parseTime(m_options.at);
        if (!time)
            return reportError({ErrorCode::CommandUsage,
                                "--at: expected a time in UTC such as 2026-12-04T10:00:00Z, or "
                                "seconds since 1970"});
        const auto within = m_options.withinS * MsPerSecond;
        ExplainQuery query;
        query.endpoint = m_options.endpoint;
        query.requestId = m_options.request;
        query.fromMs = std::max<std::int64_t>(*time - within, 0);
        query.toMs = *time + within;
        // No record is written in the future; the minute allows for clocks that differ.
        query.writtenUntilMs =
                std::min(query.toMs + m_options.lagS * MsPerSecond, wallClockMs() + MsPerMinute);
        const auto explanation = berylspur::explain(*m_session, query);
        return explanation ? reportExplanation(explanation.value())
                           : reportReadError(explanation.error());
    }

private:
    Report explainFromLogs() const
    {
        LogTrail trail(m_options.loggedRequest);
        for (const auto &name : m_options.logs) {
            if (name == "-") {
                trail.read(std::cin);
                continue;
            }
            std::ifstream file(name);
            if (!file)
                return reportError({ErrorCode::CommandUsage, name + ": cannot be read"});
            trail.read(file);
        }
        return reportTrail(trail);
    }

    Result<void> open()
    {
        // dump needs no platform; its calls go to nodes only.
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

    /// Admin address of the node that \a text gives as IP:port or by name.
    Result<Address> findNode(const std::string &text)
    {
        if (auto address = Address::parse(text))
            return address;
        for (const auto &state : queryNodes(*m_session, m_nodes, MostNodes)) {
            if (state.node == text)
                return state.admin;
        }
        return failure(ErrorCode::CommandNodeUnreachable,
                       text + " is no IP:port and no node found by --node");
    }

    /// Highest revisions on the nodes; nodes that do not answer are noted. Fails with
    /// ManifestWrongFleet if a node belongs to another fleet than \a manifest.
    Result<InForce> askNodes(const schema::Manifest *manifest)
    {
        InForce inForce;
        for (const auto &state : queryNodes(*m_session, m_nodes, MostNodes)) {
            if (state.error.code != ErrorCode::Ok) {
                m_unreachable.push_back(state.admin.toString());
                continue;
            }
            if (manifest && !state.fleet.empty() && state.fleet != manifest->fleet())
                return failure(ErrorCode::ManifestWrongFleet,
                               state.node + " belongs to " + state.fleet);
            inForce.revision = std::max(inForce.revision, state.revision);
            for (const auto &[name, revision] : state.services) {
                inForce.services[name] = std::max(inForce.services[name], revision);
                inForce.revision = std::max(inForce.revision, revision);
            }
        }
        return inForce;
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
            report.text += "no node was asked: if the platform lost its data, nodes with higher "
                           "revisions ignore this one; apply with --node\n";
        if (outcome.error.code != ErrorCode::Ok || m_options.waitMs == 0)
            return report;
        const auto head = ManifestWriter(*m_session).readHead();
        if (!head)
            return reportReadError(head.error());
        const auto limit = BootClock::now() + std::chrono::milliseconds(m_options.waitMs);
        const auto ask = [&] {
            return reportNodes(queryNodes(*m_session, m_nodes, MostNodes), head.value().content);
        };
        auto nodes = ask();
        while (nodes.code != ErrorCode::Ok && BootClock::now() < limit) {
            m_session->sleep(PollInterval);
            nodes = ask();
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

using Run = Report (Command::*)();

CLI::App *addCommand(CLI::App &app, const char *name, const char *help, Run &chosen, Run run)
{
    auto *command = app.add_subcommand(name, help);
    command->callback([&chosen, run] { chosen = run; });
    return command;
}

void addOutput(CLI::App *command, Options &options)
{
    command->add_option("--output", options.output, "text or json")
            ->check(CLI::IsMember({"text", "json"}));
}

CLI::Option *addPlatform(CLI::App *command, Options &options)
{
    return command
            ->add_option("--platform", options.platform, "IP:port of the platform's object API")
            ->required();
}

CLI::Option *addNodes(CLI::App *command, Options &options)
{
    return command->add_option("--node", options.nodes,
                               "IP:port of a node's admin address (repeatable); the members that "
                               "it reports are asked as well");
}

void addWrite(CLI::App *command, Options &options, CLI::Option *nodes)
{
    command->add_option("--author", options.author, "who writes (default: $USER)");
    command->add_option("--wait", options.waitMs,
                        "wait up to so many ms until the nodes have it in force")
            ->check(CLI::Range(0, 600000))
            ->needs(nodes);
}

void addWriteCommands(CLI::App &app, Options &options, Run &run)
{
    auto *validate = addCommand(app, "validate", "Check a manifest file", run, &Command::validate);
    validate->add_option("file", options.file, "manifest")->required();
    addOutput(validate, options);

    auto *apply = addCommand(app, "apply", "Bring a manifest into force", run, &Command::apply);
    apply->add_option("file", options.file, "manifest")->required();

    auto *drain = addCommand(app, "drain", "Give an endpoint or a node no new work", run,
                             &Command::drain);
    drain->add_option("target", options.target, "endpoint id or node name")->required();
    drain->add_option("--service", options.service, "service")->required();
    drain->add_flag("--undo", options.undo, "give it work again");

    for (auto *command : {apply, drain}) {
        addOutput(command, options);
        addPlatform(command, options);
        addWrite(command, options, addNodes(command, options));
    }
}

void addExplain(CLI::App &app, Options &options, Run &run)
{
    auto *explain =
            addCommand(app, "explain", "Print the way of a request from logs, or decision records",
                       run, &Command::explain);
    auto *id = explain->add_option("id", options.loggedRequest,
                                   "request id; its way is read from the logs of nodes");
    explain->add_option("--log", options.logs, "log to read (repeatable; '-': standard input)")
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
    explain->add_option("--within", options.withinS, "seconds before and after the time")
            ->check(CLI::Range(0, 86400))
            ->capture_default_str();
    explain->add_option("--lag", options.lagS,
                        "seconds that records may have waited to be written; raise it after an "
                        "outage of the platform")
            ->check(CLI::Range(0, 604800))
            ->capture_default_str();
    explain->parse_complete_callback([&options] {
        if (!options.loggedRequest.empty()) {
            if (options.logs.empty())
                options.logs.emplace_back("-");
            return;
        }
        if (options.endpoint.empty() && options.request.empty())
            throw CLI::RequiredError("id, --endpoint or --request");
        if (options.platform.empty())
            throw CLI::RequiredError("--platform");
    });
    addOutput(explain, options);
    addPlatform(explain, options)->required(false);
}

void addReadCommands(CLI::App &app, Options &options, Run &run)
{
    auto *show = addCommand(app, "show", "Show what is in force per node", run, &Command::show);
    addOutput(show, options);
    addPlatform(show, options);
    addNodes(show, options)->required();

    auto *dump = addCommand(app, "dump", "Print the state of a node", run, &Command::dump);
    dump->add_option("node", options.dumped, "IP:port of the admin address, or a node name")
            ->required();
    addOutput(dump, options);
    addNodes(dump, options);
    addExplain(app, options, run);
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Options options;
    const char *user = std::getenv("USER");
    options.author = user ? user : "unknown";
    CLI::App app("Control of a berylspur fleet.");
    app.require_subcommand(1);
    app.footer(exitStatusHelp());
    Run run = nullptr;
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
    auto *stream = report.code == ErrorCode::Ok || json ? stdout : stderr;
    std::fputs((json ? report.json : report.text).c_str(), stream);
    return static_cast<int>(exitStatusOf(report.code));
}
