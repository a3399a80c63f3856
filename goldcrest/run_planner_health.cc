#include "goldcrest/run_planner.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <utility>

namespace goldcrest {

namespace {

// Time for a stop order to reach the backend server, and for its report.
constexpr duration stopMargin = 300ms;

} // namespace

// Stops runs without progress. The timeout is a share of the estimated run time, because the
// progress of long tasks rarely advances by a whole percent.
void run_planner::stopStalledRuns(time_point now)
{
    constexpr duration shortestStall = 2500ms;
    constexpr double stallShare = 0.35;
    for (auto &[id, worker] : m_pool.workers()) {
        if (now - worker.reportedAt > m_options.freshReport)
            continue;
        for (const task_key &key : worker.active) {
            tracked_job &job = m_jobs.at(key.job);
            tracked_task &task = *job.find(key);
            const step_spec &step = job.specOf({key.occurrence, key.step});
            if (!task.isListed || task.stopWanted || step.longRunning || task.percent >= 100)
                continue;
            const duration stallTimeout
                = std::max(shortestStall, scaled(task.runEstimate, stallShare));
            // Measured up to the last report, since time without reports does not prove anything
            // about the task.
            const duration stalled = worker.reportedAt - task.percentChangedAt;
            if (stalled < stallTimeout)
                continue;
            task.stopWanted = true;
            worker.avoidUntil = now + m_options.avoidTime;
            m_changedWorkers.insert(id);
            recordDecision("run stopped", key, task.record.lastRun, id, "no progress",
                           fmt::format("percent={} for_ms={}", task.percent, stalled.count()));
        }
    }
}

// Stops the runs that a leaving worker would end before they are done: at once, or, if they save
// checkpoints, as late as they can still save one. A gang is stopped as a whole.
void run_planner::stopRunsOnLeavingWorkers(time_point now)
{
    for (auto &[id, worker] : m_pool.workers()) {
        if (!worker.draining || worker.active.empty())
            continue;
        const std::set<task_key> active = worker.active;
        for (const task_key &key : active) {
            tracked_job &job = m_jobs.at(key.job);
            const tracked_task &task = *job.find(key);
            const step_spec &step = job.specOf({key.occurrence, key.step});
            if (task.stopWanted || !task.isListed || step.longRunning
                || expectedEnd(task, now) <= worker.leavesAt)
                continue;
            const duration lead = m_options.stopTime + stopMargin;
            if (step.checkpointing && now + lead < worker.leavesAt)
                continue;
            stopRun(job, key, "the worker leaves before the run can end",
                    fmt::format("leaves_in_ms={} expected_ms={} percent={}",
                                (worker.leavesAt - now).count(),
                                (expectedEnd(task, now) - now).count(), task.percent));
        }
    }
}

// Stops gangs of which some members wait for others that have not started, before the backend
// servers give up. A gang that makes progress is complete, even if a worker is silent.
void run_planner::stopIncompleteGangs(time_point now)
{
    constexpr double waitShare = 0.4; // of the time after which the backend servers give up
    const duration limit = scaled(m_options.gangTimeout, waitShare);
    struct gang_state
    {
        bool isWaiting = true;
        bool isIncomplete = false;
        time_point firstListedAt = time_point::max();
        task_key member;
    };
    std::vector<task_key> incomplete;
    for (const auto &[id, runs] : m_activeRuns) {
        tracked_job &job = m_jobs.at(id);
        std::map<std::pair<std::int32_t, std::int32_t>, gang_state> gangs;
        job.forEachActive([&](const task_key &key, const step_spec &step, tracked_task &task) {
            // Progress of longer tasks takes too long to show.
            if (!step.gang || task.runEstimate > limit * 50)
                return;
            gang_state &gang = gangs[{key.occurrence, key.step}];
            gang.member = key;
            if (task.stopWanted || (task.isListed && task.percentChangedAt > task.listedAt))
                gang.isWaiting = false;
            if (task.isListed)
                gang.firstListedAt = std::min(gang.firstListedAt, task.listedAt);
            else
                gang.isIncomplete = true;
        });
        for (const auto &[step, gang] : gangs) {
            if (gang.isWaiting && gang.isIncomplete && gang.firstListedAt < now - limit)
                incomplete.push_back(gang.member);
        }
    }
    for (const task_key &member : incomplete)
        stopRun(m_jobs.at(member.job), member, "members of its gang have not started", {});
}

// Stops a run, and the whole gang if it belongs to one.
void run_planner::stopRun(tracked_job &job, const task_key &key, std::string_view reason,
                          const std::string &inputs)
{
    const step_ref ref{key.occurrence, key.step};
    const bool isGang = job.specOf(ref).gang;
    tracked_step &step = *job.find(ref);
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        tracked_task &task = step.tasks[i];
        const auto index = static_cast<std::int32_t>(i);
        if (!task.isActive() || task.stopWanted || (!isGang && index != key.index))
            continue;
        task.stopWanted = true;
        m_changedWorkers.insert(task.record.worker);
        recordDecision("run stopped", job.keyOf(ref, index), task.record.lastRun,
                       task.record.worker, std::string(reason), inputs);
    }
}

} // namespace goldcrest
