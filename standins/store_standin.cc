// Simulated key-value service with fault injection, for tests with real processes.
//
//   goldcrest-store-standin --listen 127.0.0.1:7400

#include "standins/store_server.h"

#include <cxxopts.hpp>

#include <cstdlib>
#include <iostream>

int main(int argc, char **argv)
{
    cxxopts::Options options("goldcrest-store-standin", "Key-value service for tests");
    options.add_options()("listen", "host:port", cxxopts::value<std::string>())("help", "usage");
    std::string address;
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0 || parsed.count("listen") == 0) {
            std::cout << options.help();
            return parsed.count("help") > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
        }
        address = parsed["listen"].as<std::string>();
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return EXIT_FAILURE;
    }

    goldcrest::asio_event_loop loop;
    goldcrest::store_server server(loop);
    const auto started = server.listen(address);
    if (const goldcrest::failure *error = goldcrest::failureOf(started)) {
        std::cerr << error->reason << '\n';
        return EXIT_FAILURE;
    }
    loop.onSignal([&] { loop.stop(); });
    loop.run();
    return EXIT_SUCCESS;
}
