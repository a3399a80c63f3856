#pragma once

// A cell in virtual time: planners one after the other, agents, fake backend servers, entries and a
// store, with random faults from one seed. After every event it checks the promises of
// docs/design.md against what the backend servers really did.
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

// Which faults a run injects; all, unless the test looks at one of them.
struct model_faults
{
    bool planners = true; // killed, paused, cut from the store
    bool agents = true; // restarted, paused, cut off
    bool hosts = true; // a worker dies and comes back empty
    bool store = true; // outages, slow and lost answers
    bool messages = true; // lost, late, duplicated and reordered ones
    bool operators = true; // domains out and in, drains
    bool cancellations = true;
    bool stale = true; // messages of replaced planners that arrive much later
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
    std::string violation; // empty: all promises were kept
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

    model_report run();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace goldcrest
