#pragma once

// Internal to run_planner: the waiting tasks of a step, and placement units. A placement unit is a
// set of tasks of one step that are placed together: either a whole gang or a single task.

#include "goldcrest/run_planner.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace goldcrest {

// Placement units per pass, to bound its time: those in rank order, and those by turns among the
// remaining steps, so that no number of steps of higher rank that can't start hides one that can.
constexpr std::size_t unitsByRank = 256;
constexpr std::size_t unitsByTurns = 32;

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
    // Whether capacity may be reserved, or other runs stopped, for it if it can't start now.
    bool mayReserve = true;
    share_rank share; // among the steps of the same priority
};

// NotPlaced: can't start now, and nothing is reserved for it.
enum class run_planner::unit_outcome { Started, Waiting, WaitingForStops, NotPlaced };
enum class run_planner::step_outcome { Started, Waiting, NotPlaced };

// What decides whether a step fits into the capacities of a pass. Steps that are alike in this fit
// alike, but for their run time.
struct run_planner::step_shape
{
    std::string step; // empty unless the workers that may be used depend on the step
    std::string requiredLabel;
    std::string dataRack;
    resources demand; // of one task
    std::int32_t count = 1; // tasks to place together
    bool sameRack = false;
    bool leavesUrgentRoom = false;

    bool operator<(const step_shape &other) const
    {
        const auto fields = [](const step_shape &one) {
            return std::tie(one.step, one.requiredLabel, one.dataRack, one.demand.cores,
                            one.demand.memory, one.demand.accelerators, one.count, one.sameRack,
                            one.leavesUrgentRoom);
        };
        return fields(*this) < fields(other);
    }
};

// The state of a pass over the steps of one service.
struct run_planner::service_pass
{
    std::vector<worker_capacity> capacities;
    std::size_t waitingSteps = 0; // for which capacity is reserved
    // Shapes that could not be placed, with the shortest run time that was tried. Free capacity
    // only shrinks during a pass, so that neither can later steps of the same shape.
    std::map<step_shape, duration> notPlaced;
};

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
