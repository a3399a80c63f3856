#pragma once

// Finds where and when tasks of one step can run. The functions work on a scratch copy of the
// workers' capacity.
//
//   std::vector<worker_capacity> capacities = ...;          // usable workers only
//   std::optional<placement> found = bestPlacement(capacities, request, now);
//   if (found && found->start <= now)
//       occupy(capacities, request, *found, run);
//   else if (found)
//       reserveCapacity(capacities, request, *found);       // keeps it from units of lower rank
//
// A step that runs slower away from its data, or over several racks, is placed where it ends first:
// immediately on slower workers, or later on faster ones.
//
// Workers may differ in speed. A gang runs at the speed of its slowest member. Of the workers with
// the same number of accelerators left over, the faster one is chosen, or the slower one for a
// request that leaves the fast workers to others. A worker with more accelerators left over is
// chosen for its speed only if the tasks end sooner by more than speedDeadBand. Without differences
// in speed, placement only depends on the fit.

#include "goldcrest/clock.h"
#include "goldcrest/graph_job.h"
#include "goldcrest/model.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace goldcrest {

// A run that occupies capacity, with the cost of stopping it.
struct placed_run
{
    std::size_t unit = 0; // number of the placement unit; runs of one gang share it
    resources demand;
    time_point endsAt{}; // expected
    bool isStopping = false;
    std::int32_t priority = 0;
    bool isGuaranteed = false;
    bool mayStop = true;
    bool isSpared = false; // was stopped recently
    double lossOnStop = 0; // cost of stopping the whole unit, in core-seconds
};

// Free capacity of one worker, now and once its runs end.
struct worker_capacity
{
    worker_id worker;
    double speed = 1; // relative to the usual worker; a task takes its estimate divided by this
    std::string incarnation;
    std::string rack;
    resources free;
    std::vector<placed_run> runs;
    std::uint64_t images = 0; // of the runs there, as bits; those of no interfering pair have none
    resources reserved; // for waiting units of higher rank
    time_point reservedFrom = time_point::max(); // earliest start of those units
};

struct placement_request
{
    const step_spec *step = nullptr;
    std::int32_t count = 1; // tasks to place together
    duration estimate = 0ms; // run time of one task near its data, at speed 1
    // Leaves the fast workers to others if there is a choice.
    bool prefersSlow = false;
    double remoteFactor = 3; // slowdown away from the data, or over several racks
    std::map<worker_id, std::int32_t> placedBefore; // number of tasks of the step already running
    bool onlyNow = false; // later starts are of no use
    // Prefers workers in use to free ones, and those whose runs end at a similar time.
    bool sparesFreeWorkers = false;
    // Bit of the step's image, and those of the images that it should not run beside.
    std::uint64_t images = 0;
    std::uint64_t avoidedImages = 0;
    // Indexes of the workers that may be used; nullptr: all of them.
    const std::vector<std::size_t> *eligible = nullptr;
};

struct placement
{
    time_point start{};
    duration estimate = 0ms; // run time there, of the task on the slowest worker
    std::vector<std::size_t> indexes; // index in the list of capacities, for each task
};

// Share of the run time by which a placement must end sooner to be preferred for its speed over one
// that leaves fewer accelerators. Smaller differences are within the errors of the speeds.
constexpr double speedDeadBand = 0.1;

// Returns the resources that one task takes from a worker's capacity.
resources demandOf(const step_spec &step);

// Returns the speed of the slowest worker of a placement.
double slowestSpeed(const std::vector<worker_capacity> &capacities, const placement &where);

// Returns the run time of a placement as it would be on workers of speed 1, for comparisons with
// run times that don't take the speed into account.
duration timeAtUsualSpeed(const std::vector<worker_capacity> &capacities, const placement &where);

// Returns the placement that ends first, or nothing if the tasks would not fit even after all
// current runs have ended. Slow placements are penalized beyond their run time.
std::optional<placement> bestPlacement(const std::vector<worker_capacity> &capacities,
                                       const placement_request &request, time_point now);

// Returns a placement on the workers of another one that can start now, or nothing if the tasks do
// not fit there now.
std::optional<placement> placementNowOn(const std::vector<worker_capacity> &capacities,
                                        const placement_request &request, const placement &where,
                                        time_point now);

// A placement that becomes possible by stopping other units.
struct eviction
{
    placement where; // can start once the units have stopped
    std::vector<std::size_t> units; // to be stopped
    double loss = 0; // cost of stopping them, in core-seconds
};

// Which units may be stopped for another one.
struct eviction_rule
{
    std::int32_t belowPriority = 0; // units with a priority number above this
    bool alsoUnguaranteed = false; // also all units that run outside a guarantee
    bool anyUnit = false; // also units within guarantees; last resort
    bool alsoSpared = true; // also units that were stopped recently
    double maxLoss = 0; // total cost limit in core-seconds
    // Runs that are expected to end within this time are not stopped, because stopping them takes
    // almost as long.
    duration imminentEnd = 700ms;
};

// Returns a cheap set of units to stop so that the request fits, or nothing if there is none within
// the rule. The set is found greedily, task by task.
std::optional<eviction> cheapestEviction(const std::vector<worker_capacity> &capacities,
                                         const placement_request &request,
                                         const eviction_rule &rule, time_point now);

// Subtracts the capacity of a placement that starts now and records its runs.
void occupy(std::vector<worker_capacity> &capacities, const placement_request &request,
            const placement &where, const placed_run &run);

// Reserves capacity for a placement that starts later.
void reserveCapacity(std::vector<worker_capacity> &capacities, const placement_request &request,
                     const placement &where);

} // namespace goldcrest
