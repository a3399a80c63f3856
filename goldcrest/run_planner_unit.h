#pragma once

// Internal to run_planner: the waiting tasks of a step, and placement units. A placement unit is a
// set of tasks of one step that are placed together: either a whole gang or a single task.

#include "goldcrest/run_planner.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <vector>

namespace goldcrest {

struct run_planner::unit
{
    tracked_job *job = nullptr;
    step_ref step;
    std::vector<std::int32_t> indexes; // tasks to start
    const queue_policy *policy = nullptr;
    bool isGuaranteed = false;
    time_point target{}; // when the job should be done
    job_lateness lateness = job_lateness::OnTime; // if it starts now
    duration estimate = 0ms;
};

enum class run_planner::unit_outcome { Started, Waiting, WaitingForStops };
enum class run_planner::step_outcome { Started, Waiting };

// Value of completing a job on time rather than late, by priority, as the core-seconds of other
// work that may be discarded for it. The users value their classes at 4, 3 and 1 units, and a
// core-second costs about 1/400 of a unit. More than half is held back to allow for errors of the
// estimates.
constexpr double onTimeValue[] = {600, 400, 140};

inline double onTimeValueOf(std::int32_t priority)
{
    constexpr std::int32_t last = std::size(onTimeValue) - 1;
    return onTimeValue[std::clamp(priority, 0, last)];
}

} // namespace goldcrest
