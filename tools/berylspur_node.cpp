// berylspur-node: the proxy process that runs on each backend server host.
#include "berylspur/core/library_messages.h"
#include "berylspur/core/log.h"
#include "berylspur/node/node.h"
#include "berylspur/settings/node_settings.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <string>
#include <vector>

int main(int argc, char **argv)
{
    using namespace berylspur;
    CLI::App app {"Proxy process for a backend server host."};
    std::string file;
    bool checkOnly = false;
    app.add_option("--settings", file, "Settings file (YAML)")->required();
    app.add_flag("--check", checkOnly, "Check the settings and exit");
    CLI11_PARSE(app, argc, argv);

    constexpr int ExitBadSettings = 2;
    constexpr int ExitNotStarted = 3;
    std::vector<std::string> warnings;
    const auto settings = loadNodeSettings(file, warnings);
    if (!settings) {
        std::fprintf(stderr, "%s\n", describe(settings.error()).c_str());
        return ExitBadSettings;
    }
    if (checkOnly) {
        for (const auto &warning : warnings)
            std::fprintf(stderr, "%s\n", warning.c_str());
        return warnings.empty() ? 0 : ExitBadSettings;
    }
    // A write to a connection that the peer closed then fails with EPIPE.
    std::signal(SIGPIPE, SIG_IGN);
    log::configure(settings.value().node().name(),
                   log::levelFromName(settings.value().log().level()));
    log::captureLibraryMessages();
    for (const auto &warning : warnings)
        log::warn("setting-unusable", {{"detail", warning}});
    Node node(settings.value(), file);
    if (const auto started = node.start(); !started) {
        std::fprintf(stderr, "%s\n", describe(started.error()).c_str());
        return ExitNotStarted;
    }
    node.run();
    return 0;
}
