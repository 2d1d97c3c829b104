// Main program of the daemon on an entry host: shallotcoved [--settings FILE] [--check].

#include <csignal>
#include <cstdio>
#include <cstdlib>

#include <utility>

#include <boost/asio/io_context.hpp>
#include <gflags/gflags.h>

#include <shallotcove/daemon/event_log.hpp>
#include <shallotcove/daemon/host.hpp>
#include <shallotcove/daemon/settings.hpp>
#include <shallotcove/daemon/tagged_host.hpp>
#include <shallotcove/daemon/tagged_settings.hpp>

#include "signal_shutdown.hpp"

DEFINE_string(settings, "",
    "File with the settings of this host, JSON with comments (docs/settings.md, docs/settings-tagged.md). By "
    "default the one that the environment variable SHALLOTCOVE_CONFIG names.");
DEFINE_bool(check, false, "Validate the settings, print every problem, and exit.");

namespace daemon_ns = shallotcove::daemon;

namespace {

constexpr int exitUsage = 1;
constexpr int exitStartFailed = 2;

int run(const daemon_ns::settings& settings)
{
    const tl::expected<std::unique_ptr<daemon_ns::event_log>, std::string> log
        = daemon_ns::event_log::create(settings.log, settings.name);
    if (!log) {
        std::fprintf(stderr, "shallotcoved: log.file: %s\n", log.error().c_str());
        return exitStartFailed;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const tl::expected<std::unique_ptr<daemon_ns::host>, daemon_ns::start_failure> host
        = daemon_ns::host::create(settings, **log);
    if (!host) {
        (*log)->write<daemon_ns::event::StartFailed>(
            host.error().field, host.error().value, host.error().cause);
        return exitStartFailed;
    }
    boost::asio::io_context context { 1 };
    daemon_ns::signal_shutdown shutdown(context, **host, **log);
    context.run();
    return EXIT_SUCCESS;
}

int runTagged(const daemon_ns::tagged_settings& settings, const std::string& fileName)
{
    daemon_ns::log_settings logSettings;
    logSettings.level = settings.logLevel;
    const tl::expected<std::unique_ptr<daemon_ns::event_log>, std::string> log
        = daemon_ns::event_log::create(logSettings, settings.name);
    if (!log) {
        std::fprintf(stderr, "shallotcoved: log: %s\n", log.error().c_str());
        return exitStartFailed;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const tl::expected<std::unique_ptr<daemon_ns::tagged_host>, daemon_ns::start_failure> host
        = daemon_ns::tagged_host::create(settings, fileName, **log);
    if (!host) {
        (*log)->write<daemon_ns::event::StartFailed>(
            host.error().field, host.error().value, host.error().cause);
        return exitStartFailed;
    }
    (*host)->run();
    // All log output has been written. A normal exit would take seconds, because it waits for the thread pool
    // of the logging library, which is not used.
    std::_Exit(EXIT_SUCCESS);
}

int reportProblems(const daemon_ns::settings_problems& problems, const std::string& fileName)
{
    for (const daemon_ns::settings_problem& problem : problems)
        std::fprintf(stderr, "%s\n", daemon_ns::formatProblem(problem, fileName).c_str());
    return exitUsage;
}

int reportValid(const std::string& fileName)
{
    std::printf("%s: settings are valid\n", fileName.c_str());
    return EXIT_SUCCESS;
}

/// Reads the settings, which may be of either transport, and validates them or runs a host with them.
int start(const std::string& fileName)
{
    const tl::expected<std::string, daemon_ns::settings_problems> text
        = daemon_ns::readSettingsText(fileName);
    if (!text)
        return reportProblems(text.error(), fileName);
    if (daemon_ns::isTaggedTransport(*text)) {
        const tl::expected<daemon_ns::tagged_settings, daemon_ns::settings_problems> settings
            = daemon_ns::parseTaggedSettings(*text);
        if (!settings)
            return reportProblems(settings.error(), fileName);
        return FLAGS_check ? reportValid(fileName) : runTagged(*settings, fileName);
    }
    const tl::expected<daemon_ns::settings, daemon_ns::settings_problems> settings
        = daemon_ns::parseSettings(*text);
    if (!settings)
        return reportProblems(settings.error(), fileName);
    return FLAGS_check ? reportValid(fileName) : run(*settings);
}

} // namespace

int main(int argumentCount, char** arguments)
{
    gflags::SetUsageMessage("[--settings FILE] [--check]");
    gflags::SetVersionString(SHALLOTCOVE_VERSION);
    gflags::ParseCommandLineFlags(&argumentCount, &arguments, true);
    const char* const named = std::getenv("SHALLOTCOVE_CONFIG");
    const std::string fileName = FLAGS_settings.empty() && named != nullptr ? named : FLAGS_settings;
    if (fileName.empty() || argumentCount != 1) {
        std::fprintf(stderr, "usage: shallotcoved [--settings FILE] [--check]\n");
        return exitUsage;
    }
    return start(fileName);
}
