// HTTP API for callers and operators.
//
//   goldcrest-entry --settings entry.json
//   goldcrest-entry --settings entry.json --check-settings

#include "goldcrest/asio_event_loop.h"
#include "goldcrest/entry_daemon.h"
#include "goldcrest/log_fields.h"
#include "goldcrest/settings.h"

#include <cxxopts.hpp>

#include <cstdlib>
#include <iostream>

using namespace goldcrest;

namespace {

int run(const std::string &settingsPath, const std::string &historyPath, bool checkOnly)
{
    settings_result<entry_settings> settings = loadEntrySettings(settingsPath);
    for (const failure &error : settings.errors)
        std::cerr << settingsPath << ": " << error.field << ": " << error.reason << '\n';
    if (!settings.errors.empty())
        return EXIT_FAILURE;
    if (checkOnly)
        return EXIT_SUCCESS;
    startLog("goldcrest-entry", settings.value.log.directory, settings.value.log.minLevel);
    asio_event_loop loop;
    entry_daemon entry(loop, settings.value, entry_daemon_options{historyPath});
    const result<done> started = entry.start();
    if (const failure *error = failureOf(started)) {
        std::cerr << error->field << ": " << error->reason << '\n';
        return EXIT_FAILURE;
    }
    loop.onSignal([&] { entry.shutDown([&] { loop.stop(); }); });
    loop.run();
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("goldcrest-entry", "Entry process: HTTP API of goldcrestloft");
    options.add_options()("settings", "settings file", cxxopts::value<std::string>())(
        "check-settings", "validate the settings file and exit")(
        "history", "file for the event history of a test",
        cxxopts::value<std::string>()->default_value(""))("help", "show this text");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0 || parsed.count("settings") == 0) {
            std::cout << options.help();
            return parsed.count("help") > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
        }
        return run(parsed["settings"].as<std::string>(), parsed["history"].as<std::string>(),
                   parsed.count("check-settings") > 0);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
