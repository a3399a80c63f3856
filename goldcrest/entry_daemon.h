#pragma once

// An entry process: connects entry_core, config_publisher and cell_directory to the store, the
// planners, the agents, the other entries and the HTTP interface.
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
    std::string historyPath; // JSON lines for a history checker; empty: none
};

class entry_daemon
{
public:
    entry_daemon(asio_event_loop &loop, entry_settings settings,
                 const entry_daemon_options &options);
    ~entry_daemon();
    entry_daemon(const entry_daemon &) = delete;
    entry_daemon &operator=(const entry_daemon &) = delete;

    // Listens and connects.
    // Errors: SettingsInvalid if an address can't be bound.
    result<done> start();

    // Graceful shutdown: takes no new work, and calls `done` once all open requests are answered,
    // or after the drain timeout. A second call ends at once.
    void shutDown(std::function<void()> done);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace goldcrest
