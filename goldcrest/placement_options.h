#pragma once

// The sets of workers on which a step may be placed, with the slowdown there. The search for free
// capacity (run_placement.cc) and the search for work to stop (run_eviction.cc) both use them.
//
//   for (const placement_option &option : optionsOf(capacities, request))
//       search(option.among, scaled(request.estimate, option.factor));

#include "goldcrest/run_placement.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace goldcrest::placing {

using index_list = std::vector<std::size_t>; // indexes of worker capacities

// A set of workers with the factor by which the step runs slower there.
struct placement_option
{
    index_list among;
    double factor = 1;
};

// Returns each rack by itself if the step should stay in one, and all eligible workers.
std::vector<placement_option> optionsOf(const std::vector<worker_capacity> &capacities,
                                        const placement_request &request);

// Returns the indexes of the workers that the request may use.
index_list eligibleIndexes(const std::vector<worker_capacity> &capacities,
                           const placement_request &request);

// Returns the number of tasks of the step that already run on a worker.
std::int32_t placedOn(const placement_request &request, const worker_capacity &capacity);

// Returns whether a worker with so many tasks of the step may take another one.
bool takesAnother(const placement_request &request, std::int32_t tasks);

// Returns the time that a task takes on a worker of some speed.
duration timeAtSpeed(duration estimate, double speed);

// Returns the speed of the slowest of some workers, or 1 if there are none.
double slowestOf(const std::vector<worker_capacity> &capacities, const index_list &among);

} // namespace goldcrest::placing
