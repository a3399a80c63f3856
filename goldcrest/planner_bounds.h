#pragma once

// Derives the planner's times from the bounds of a deployment, so that none of them is the figure
// of one deployment.
//
//   planner_bounds bounds;                       // from the settings
//   bounds.stopTime = 400ms;
//   run_planner_options options = optionsFor(bounds);

#include "goldcrest/clock.h"
#include "goldcrest/run_planner.h"

#include <tuple>

namespace goldcrest {

// What the backend servers of a deployment do, and what its users are promised.
struct planner_bounds
{
    duration stopTime = 500ms; // longest time from a stop order to the end of a run
    duration gangTimeout = 3s; // after which a gang that is incomplete is ended
    duration longestLease = 8s; // that the backend servers accept
    duration checkpointInterval = 1s; // at which they save checkpoints
    duration reclaimTime = 2700ms; // within which a job within a guarantee must start
    duration changeTime = 5s; // within which evacuations must take effect
    duration stateTime = 120s; // for which callers can query a finished job
    duration noticeTime = 1s; // after which a long-running task counts as absent
    double remoteFactor = 3; // slowdown of tasks away from their data
    bool workerSpeeds = false; // whether the planner estimates how fast the workers are
    bool urgentRoom = false; // leaves room for the urgent jobs that are expected
    bool interference = false; // keeps tasks apart that slow each other
    bool heavyTails = false; // quantiles of run times that have a heavy tail (remaining_time.h)
    bool teamShares = false; // order scarce work by the teams' shares (team_shares.h)
    bool preemptionLimits = false; // limit stops of running work (preemption_policy.h)

    friend bool operator==(const planner_bounds &a, const planner_bounds &b)
    {
        const auto fields = [](const planner_bounds &bounds) {
            return std::tie(bounds.stopTime, bounds.gangTimeout, bounds.longestLease,
                            bounds.checkpointInterval, bounds.reclaimTime, bounds.changeTime,
                            bounds.stateTime, bounds.remoteFactor, bounds.workerSpeeds,
                            bounds.urgentRoom, bounds.interference, bounds.teamShares,
                            bounds.preemptionLimits, bounds.heavyTails, bounds.noticeTime);
        };
        return fields(a) == fields(b);
    }
};

// Returns the options of a planner that keeps the bounds.
run_planner_options optionsFor(const planner_bounds &bounds);

} // namespace goldcrest
