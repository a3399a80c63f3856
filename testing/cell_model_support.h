#pragma once

// Simulates a cell in virtual time: successive planners, agents, fake backend servers, entries and
// a store, with random faults derived from one seed. After every event it checks the promises of
// docs/design.md against the actual state of the backend servers.
//
//   cell_model model(model_options{seed});
//   const model_report report = model.run();
//   CHECK(report.violation.empty());

#include "goldcrest/agent_core.h"
#include "goldcrest/cell_planner.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace goldcrest {

// Selects the faults that a run injects; all are enabled by default.
struct model_faults
{
    bool planners = true; // killed, paused, disconnected from the store
    bool agents = true; // restarted, paused, disconnected
    bool hosts = true; // a worker fails and restarts without tasks
    bool store = true; // outages, delayed and lost responses
    bool messages = true; // lost, delayed, duplicated and reordered messages
    bool operators = true; // failure domains taken out of and put back into service, drains
    bool cancellations = true;
    bool stale = true; // long-delayed messages of replaced planners
    bool tasks = true; // tasks that fail or stop late, lost start calls
};

struct model_options
{
    std::uint64_t seed = 1;
    model_faults faults;
    agent_mechanisms agent;
    planner_mechanisms planner;
    bool tracing = false;
    int jobs = 40;
};

struct model_report
{
    std::string violation; // empty if no promise was violated
    std::vector<std::string> trace; // the last events before the violation
    std::uint64_t events = 0;
    int completed = 0;
    int failed = 0;
    int notRun = 0;
    int unknown = 0;
    int epochs = 0;
    int starts = 0;
};

class cell_model
{
public:
    explicit cell_model(model_options options);
    ~cell_model();
    cell_model(const cell_model &) = delete;
    cell_model &operator=(const cell_model &) = delete;

    // Runs until all jobs have ended, a promise is violated or the time limit is reached. Call it
    // once.
    model_report run();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace goldcrest
