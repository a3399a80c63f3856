#pragma once

// An entry process. It serves the HTTP API for callers and operators, and connects entry_core
// (jobs), config_publisher (configuration) and cell_directory (planners and agents of cells) to the
// store, the planners, the agents and the other entries.
//
//   entry_daemon entry(loop, settings, entry_daemon_options{historyPath});
//   result<done> started = entry.start();
//   loop.onSignal([&] { entry.shutDown([&] { loop.stop(); }); });
//   loop.run();

#include "goldcrest/asio_event_loop.h"
#include "goldcrest/outcome.h"
#include "goldcrest/settings.h"

#include <functional>
#include <memory>
#include <string>

namespace goldcrest {

struct entry_daemon_options
{
    std::string historyPath; // file of JSON lines for the history checker; empty: no history
};

class entry_daemon
{
public:
    entry_daemon(asio_event_loop &loop, entry_settings settings,
                 const entry_daemon_options &options);
    ~entry_daemon();
    entry_daemon(const entry_daemon &) = delete;
    entry_daemon &operator=(const entry_daemon &) = delete;

    // Binds the link and HTTP addresses and starts to connect to the other entries and the store.
    // Errors: SettingsInvalid if an address can't be bound.
    result<done> start();

    // Shuts down gracefully: refuses new jobs, and calls `done` once all open requests are answered
    // or the drain timeout and a short margin have passed. A second call calls its `done` at once.
    void shutDown(std::function<void()> done);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace goldcrest
