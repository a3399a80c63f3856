#pragma once

// An agent process: connects agent_core to its backend server, to the other processes and to the
// store, and runs the cell's planner while this process is elected.
//
//   agent_daemon agent(loop, settings, agent_daemon_options{historyPath});
//   result<done> started = agent.start();
//   loop.onSignal([&] { agent.shutDown([&] { loop.stop(); }); });
//   loop.run();

#include "goldcrest/asio_event_loop.h"
#include "goldcrest/outcome.h"
#include "goldcrest/settings.h"

#include <functional>
#include <memory>
#include <string>

namespace goldcrest {

struct agent_daemon_options
{
    std::string historyPath; // file for events as JSON lines, for a history checker; empty: none
    bool baselineScheduler = false; // first come first served, for comparisons
};

class agent_daemon
{
public:
    agent_daemon(asio_event_loop &loop, agent_settings settings, agent_daemon_options options);
    ~agent_daemon();
    agent_daemon(const agent_daemon &) = delete;
    agent_daemon &operator=(const agent_daemon &) = delete;

    // Listens and connects.
    // Errors: SettingsInvalid if an address can't be bound.
    result<done> start();

    // Graceful shutdown: takes no new work, hands the planner role over, and calls `done` once the
    // last task has ended and its result is stored. A second call does not wait: it calls its
    // `done` at once. Tasks that still run then keep their leases, which a new agent process can
    // renew.
    void shutDown(std::function<void()> done);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace goldcrest
