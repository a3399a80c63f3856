#include "goldcrest/planner_bounds.h"

#include <algorithm>

namespace goldcrest {

namespace {

// A view is confirmed by a read that may itself be this old, and a start takes effect a little
// later.
constexpr duration viewMargin = 2s;
// Time that a start needs besides the stop of other runs: the record, the orders and the reports.
constexpr duration startMargin = 500ms;
// A job within a guarantee waits for capacity for at most this share of the time it has.
constexpr double waitShare = 0.11;
// The records of finished jobs are kept longer than callers may query them, since clocks differ.
constexpr duration retentionMargin = 30s;
// A longer lease would only delay the tasks of lost workers: this one survives a takeover and most
// network partitions.
constexpr duration sufficientLease = 8s;

} // namespace

run_planner_options optionsFor(const planner_bounds &bounds)
{
    run_planner_options options;
    options.stopTime = bounds.stopTime;
    options.gangTimeout = bounds.gangTimeout;
    options.workerLease = std::min(sufficientLease, bounds.longestLease);
    options.checkpointInterval = bounds.checkpointInterval;
    options.guaranteedWaitLimit = scaled(bounds.reclaimTime, waitShare);
    options.lastResortMaxAge
        = std::max<duration>(0ms, bounds.reclaimTime - bounds.stopTime - startMargin);
    options.freshView = std::max(bounds.changeTime - viewMargin, bounds.changeTime / 2);
    options.retention = bounds.stateTime + retentionMargin;
    options.remoteFactor = bounds.remoteFactor;
    options.absenceNotice = bounds.noticeTime;
    options.workerSpeeds = bounds.workerSpeeds;
    options.urgentRoom = bounds.urgentRoom;
    options.interference = bounds.interference;
    options.heavyTails = bounds.heavyTails;
    options.teamShares = bounds.teamShares;
    options.preemptionLimits = bounds.preemptionLimits;
    return options;
}

} // namespace goldcrest
