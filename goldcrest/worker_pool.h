#pragma once

// The planner's in-memory state of its workers: what their agents reported, the leases that were
// granted, and the runs that were assigned to them.
//
//   worker_pool pool;
//   pool_worker &worker = pool.at("w3"); // adds the worker if it is new
//   if (worker.hasLabel("gpu")) ...
//
// It holds data only; run_planner.h makes the decisions.

#include "goldcrest/clock.h"
#include "goldcrest/graph_job.h"
#include "goldcrest/messages.h"
#include "goldcrest/model.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace goldcrest {

// An ended run whose end may be acknowledged once `version` of its job is stored.
struct pending_end
{
    std::int64_t number = 0; // as numbered by the backend server
    std::string job; // empty: the job is not known
    std::uint64_t version = 0;
    std::optional<task_key> completed; // the task that the run completed
};

// A worker with the backend server that its agent last reported.
struct pool_worker
{
    worker_id id;
    std::string incarnation; // of the backend server; empty: none is known
    std::string machine; // id of the backend server
    std::string service;
    std::string failureDomain;
    std::string rack;
    std::vector<std::string> labels;
    resources capacity;
    bool draining = false;
    time_point leavesAt = time_point::max(); // while draining: it does not leave earlier

    std::string drainedIncarnation; // last one that was drained for maintenance

    bool isReported = false; // has reported in this planner's epoch
    time_point reportedAt{};
    time_point listedAt{}; // last report that listed the runs
    time_point earlierListedAt{}; // the same of the incarnation before the current one
    // Incarnation before the current one, if its backend server left without an announcement.
    std::string crashedIncarnation;
    std::string departedIncarnation; // of the last final report
    bool isDeparted = false; // the last report was a final one
    std::int64_t clock = 0; // of the backend server at the last report, ms
    time_point leaseEnds{}; // no granted lease ends later
    time_point provenAt{}; // last time at which its machine refused connections to its agent
    duration leaseExtension = 0ms; // part of leaseEnds, for suspensions since the last report
    duration provenExtension = 0ms; // part of leaseExtension, for those that ended before provenAt
    duration refusedTime = 0ms; // between refusals that followed each other closely
    std::map<run_id, running_task> running; // as reported
    // Tasks of the reported runs; without a value: the name could not be parsed.
    std::vector<std::optional<task_key>> runningTasks;
    std::set<run_id> unresolved; // calls without an answer, as reported
    // Runs that were reported once and are missing from the lists since this time of `clock`.
    std::map<run_id, std::int64_t> missingSince;
    // Reported runs that are not the current run of a task on this worker; they are to be stopped.
    std::set<run_id> unassignedRuns;

    std::int64_t endsSeen = 0; // highest number of an end that was handled
    std::int64_t endsStored = 0; // ends up to this number are stored and acknowledged
    std::deque<pending_end> pendingEnds;
    std::int64_t sequence = 0; // of the last orders message

    // Recently ordered starts. After a restart of the backend server they may still reach its new
    // incarnation, which does not know them, so they are all stopped there first.
    std::map<run_id, time_point> recentStarts;
    bool hasDeferredStarts = false; // the last orders had no room for some
    std::set<run_id> fenced; // starts that are being stopped for that reason
    std::int64_t fenceOrderedIn = 0; // first orders message with these stops; 0: none

    std::set<task_key> active; // tasks whose current run is assigned to this worker

    std::set<std::string> failedJobs; // jobs whose tasks failed here; cleared when a task succeeds
    time_point avoidUntil{}; // no starts until then
    time_point slowUntil{}; // the same, since its tasks progress slowly

    std::int32_t bestEffortPercent = 100; // speed allowed for best-effort tasks
    time_point bestEffortChangedAt{};

    bool hasLabel(const std::string &label) const;
};

class worker_pool
{
public:
    std::map<worker_id, pool_worker> &workers() { return m_workers; }
    const std::map<worker_id, pool_worker> &workers() const { return m_workers; }

    // Returns the worker, adding it if it is new.
    pool_worker &at(const worker_id &id);
    // Returns the worker, or nullptr if it is not known.
    pool_worker *find(const worker_id &id);

private:
    std::map<worker_id, pool_worker> m_workers;
};

} // namespace goldcrest
