#include "goldcrest/daemon_program.h"

#include <cxxopts.hpp>

#include <fstream>
#include <iterator>

namespace goldcrest {

std::variant<program_options, int> parseProgramOptions(const program_description &program, int argc,
                                                       char **argv)
{
    cxxopts::Options options(program.name, program.purpose);
    options.add_options()("settings", "settings file", cxxopts::value<std::string>())(
        "check-settings", "validate the settings file and exit")(
        "history", "file for the event history of a test",
        cxxopts::value<std::string>()->default_value(""))("help", "show this text");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return EXIT_SUCCESS;
        }
        if (parsed.count("settings") == 0) {
            std::cerr << program.name << ": --settings FILE is required\n" << options.help();
            return EXIT_FAILURE;
        }
        return program_options{parsed["settings"].as<std::string>(),
                               parsed["history"].as<std::string>(),
                               parsed.count("check-settings") > 0};
    } catch (const std::exception &error) {
        std::cerr << program.name << ": " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}

std::optional<std::string> settingsText(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(file), {});
}

void printSettingsErrors(const std::string &path, const std::vector<failure> &errors)
{
    for (const failure &error : errors)
        std::cerr << path << ": " << error.field << ": " << error.reason << '\n';
}

} // namespace goldcrest
