#pragma once

// The common part of the daemons' main functions: command line, settings check, log, event loop and
// signals.
//
//   int main(int argc, char **argv)
//   {
//       return runDaemonProgram<agent_daemon, agent_daemon_options>(
//           {"goldcrest-agent", "Agent beside a backend server"}, loadAgentSettings, argc, argv);
//   }

#include "goldcrest/asio_event_loop.h"
#include "goldcrest/log_fields.h"
#include "goldcrest/settings.h"

#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>

namespace goldcrest {

struct program_description
{
    std::string name;
    std::string purpose; // one line for the help text
};

struct program_options
{
    std::string settingsPath;
    std::string historyPath; // file for events as JSON lines, for a history checker; empty: none
    bool checkSettings = false;
};

// Parses the command line.
// Returns the options, or the exit status if the program must exit now (the help was shown, or the
// arguments are invalid).
std::variant<program_options, int> parseProgramOptions(const program_description &program, int argc,
                                                       char **argv);

// The platform may change a settings file without a signal.
constexpr duration settingsCheckInterval = 2s;

// Returns the content of a settings file; nothing if it can't be read.
std::optional<std::string> settingsText(const std::string &path);

// Prints every error of a settings file to standard error, one per line with the path of its field.
void printSettingsErrors(const std::string &path, const std::vector<failure> &errors);

// True if the daemon has a reload() function, which applies settings that were read again on
// SIGHUP.
template<typename daemon, typename settings, typename = void>
struct reloads_settings : std::false_type
{ };
template<typename daemon, typename settings>
struct reloads_settings<
    daemon, settings,
    std::void_t<decltype(std::declval<daemon &>().reload(std::declval<const settings &>()))>>
    : std::true_type
{ };

// Runs a daemon until its graceful shutdown has ended.
// Returns the exit status.
template<typename daemon, typename daemon_options, typename settings>
int runDaemonProgram(const program_description &program,
                     settings_result<settings> (*loadSettings)(const std::string &), int argc,
                     char **argv)
{
    const std::variant<program_options, int> parsed = parseProgramOptions(program, argc, argv);
    if (const int *status = std::get_if<int>(&parsed))
        return *status;
    const program_options &options = std::get<program_options>(parsed);
    const settings_result<settings> loaded = loadSettings(options.settingsPath);
    printSettingsErrors(options.settingsPath, loaded.errors);
    if (!loaded.errors.empty())
        return EXIT_FAILURE;
    if (options.checkSettings)
        return EXIT_SUCCESS;
    startLog(program.name, loaded.value.log.directory, loaded.value.log.minLevel);
    asio_event_loop loop;
    daemon_options daemonOptions;
    daemonOptions.historyPath = options.historyPath;
    daemon process(loop, loaded.value, daemonOptions);
    const result<done> started = process.start();
    if (const failure *error = failureOf(started)) {
        std::cerr << error->field << ": " << error->reason << '\n';
        return EXIT_FAILURE;
    }
    loop.onSignal([&] { process.shutDown([&] { loop.stop(); }); });
    timer_handle check;
    if constexpr (reloads_settings<daemon, settings>::value) {
        std::string known = settingsText(options.settingsPath).value_or("");
        const auto reload = [&] {
            const settings_result<settings> reloaded = loadSettings(options.settingsPath);
            for (const failure &error : reloaded.errors)
                log_line(log_level::Error, "settings kept").error(error).write();
            if (reloaded.errors.empty())
                process.reload(reloaded.value);
        };
        loop.onReload(reload);
        check = loop.every(settingsCheckInterval, [&options, reload, known]() mutable {
            const std::optional<std::string> text = settingsText(options.settingsPath);
            if (!text || *text == known)
                return;
            known = *text;
            reload();
        });
    }
    loop.run();
    return EXIT_SUCCESS;
}

} // namespace goldcrest
