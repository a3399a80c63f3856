#pragma once

// Computes how long a new job waits at least before it can start, for the admission control of the
// fronts (admission_policy.h). It does no I/O.
//
//   admission_outlook_message outlook = forecastAdmission(planner.admissionState(now));
//
// Work that needs more than a worker may be passed by work that fits on one. So it only delays
// gangs that are at least as large, in admission_detail_message.
//
// The forecast is a lower bound: it leaves out everything that may not hold up a new job, since a
// refusal must be certain. Each resource is treated as one pool per service. Work that the workers
// can't have finished before a new job starts delays it by that work divided by the pool.

#include "goldcrest/clock.h"
#include "goldcrest/messages.h"
#include "goldcrest/model.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace goldcrest {

// A worker that takes work, or may take it again soon.
struct forecast_worker
{
    std::string service;
    std::string rack;
    resources capacity;
    resources free;
};

// Tasks of one step that wait for capacity.
struct forecast_waiting
{
    std::string service;
    std::string team;
    std::int32_t priority = 0;
    resources demand; // of one task
    std::int64_t count = 1; // tasks
    duration estimate = 0ms; // expected run time of one task
    // It goes before new jobs of the same priority: it can still be done on time.
    bool isAhead = true;
    bool isGang = false; // its tasks only start together
    duration toTarget = 0ms; // until its job's target
};

// A run that occupies capacity.
struct forecast_run
{
    std::string service;
    std::int32_t priority = 0;
    resources demand;
    duration left = 0ms; // least expected time to its end
    bool isUnbounded = false; // runs until it is cancelled
};

// A queue, with the declared and the expected run time of its recent work.
struct forecast_queue
{
    std::string name;
    std::string service;
    std::int32_t priority = 0;
    duration declared = 0ms;
    duration expected = 0ms;
};

// The planner's state after a pass, as far as it delays new jobs.
struct admission_state
{
    std::vector<forecast_worker> workers;
    std::vector<forecast_waiting> waiting;
    std::vector<forecast_run> runs;
    std::vector<forecast_queue> queues;
    // By team: accelerators of its guarantee that its jobs use or wait for.
    std::map<std::string, std::int64_t> usedGuarantees;
    // By team: accelerators that are guaranteed to its jobs of priority 0.
    std::map<std::string, std::int64_t> guarantees;
};

// A sum of demands times run times, in milliseconds. The largest inputs would overflow integers.
struct resource_work
{
    double cores = 0;
    double memory = 0;
    double accelerators = 0;

    // Adds tasks. Run times beyond an hour are cut off.
    void add(const resources &demand, std::int64_t count, duration each);
    resource_work &operator+=(const resource_work &other);
};

// Returns how long a pool needs for work, in the resource that it has least of; at most
// longestTime.
duration timeForWork(const resource_work &work, const resources &pool);

// Returns the outlook of a state. Its epoch and numbers are left at 0.
// The cost is linear in the size of the state, times the number of priorities of a service.
admission_outlook_message forecastAdmission(const admission_state &state);

// Returns what the outlook leaves out: the waits of gangs by their size, and those of jobs by their
// target. Epoch and number are left at 0. The cost is as above, and sorts the runs.
admission_detail_message forecastDetail(const admission_state &state);

} // namespace goldcrest
