#pragma once

// Checks the merged event histories of a run against the nine promises of docs/design.md.
//
//   run_history history;
//   history.addFile("agent-w1", path);          // JSON lines of a process or a stand-in
//   history.add("client", {{"event", "submit"}, ...});
//   for (const violation &broken : checkHistory(history))
//       FAIL(broken.text().c_str());
//
// Events by source; each has "event" and "unixMs", jobs have "team" and "request":
//   test       worker {worker, domain}, submit {idempotent, tasks, digest}, answered {outcome,
//              notRun, digests}, claim {boundMs}, domainOut {domain, revision}, domainIn {domain},
//              killed {worker} (its backend server), shutDown {process}, broken {process} (a call
//              that was open when the process was asked to shut down got no answer)
//   backend    taskStart {attempt, worker, task}, taskEnd {worker, task, state},
//              stopRequest {task}, drain {worker}, drainEnd {worker}
//   agent      stop {task}
//   planner    epoch {epoch}, hold {attempt, worker, epoch, revision}, configuration {revision}
//   entry      accept, refuse, answer, configuration {revision}, inForce {cell, epoch, revision}
//
// All processes run on one host, so their wall clocks agree.

#include "goldcrest/clock.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace goldcrest {

struct run_event
{
    std::string source; // process or stand-in, one for each run of it
    std::string name;
    std::int64_t unixMs = 0;
    nlohmann::json fields;

    // Return the value of a field, or an empty string or 0 if it is missing or of another type.
    std::string text(const char *field) const;
    std::int64_t number(const char *field) const;
    std::string job() const; // team/request; empty if the event has none
    std::string attempt() const; // team/request#attempt
};

class run_history
{
public:
    // Reads JSON lines. Skips lines that are not JSON objects, such as one that is incomplete
    // because its process ended. A file that cannot be opened adds no events.
    void addFile(const std::string &source, const std::string &path);
    void add(const std::string &source, nlohmann::json fields);

    // Returns all events sorted by time.
    std::vector<run_event> sorted() const;

private:
    std::vector<run_event> m_events;
};

struct violation
{
    int promise = 0; // 1 to 9
    std::string what;
    std::string source;
    std::int64_t unixMs = 0;

    std::string text() const;
};

// Time bounds of the promises, and the slack for delays on a loaded machine.
struct promise_bounds
{
    duration outOfService = 5s; // promises 3 and 7
    duration partialGang = 25s; // promise 2, before the stop time
    duration stopTime = 5s;
    duration slack = 5s;
};

// Returns all violations of the promises, sorted by time; empty if there are none.
std::vector<violation> checkHistory(const run_history &history,
                                    const promise_bounds &bounds = promise_bounds{});

} // namespace goldcrest
