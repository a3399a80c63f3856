// goldcrestctl: the command-line client for operators.
//
//   goldcrestctl --help

#include "goldcrest/asio_event_loop.h"
#include "goldcrest/ctl_commands.h"
#include "platform/configuration_text.h"

#include <chrono>
#include <cstdlib>
#include <iostream>

using namespace goldcrest;

int main(int argc, char **argv)
{
    asio_event_loop loop;
    const std::unique_ptr<http_client> client = makeCurlClient(loop);
    const auto runUntil = [&](const std::function<bool()> &condition, duration limit) {
        return loop.runUntil(condition, limit);
    };
    const auto now = [&] { return loop.now(); };
    const auto unixTimeMs = [] {
        return std::chrono::duration_cast<duration>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    };
    const auto variable = [](const std::string &name) {
        const char *value = std::getenv(name.c_str());
        return std::string(value ? value : "");
    };
    platform::configuration_text configurations(*client, loop, runUntil);
    ctl_environment environment{
        {*client, runUntil, now}, unixTimeMs, std::cout, std::cerr, variable, &configurations};
    return static_cast<int>(runCtl({argv + 1, argv + argc}, environment));
}
