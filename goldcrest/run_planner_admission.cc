#include "goldcrest/run_planner.h"

#include <algorithm>
#include <utility>

namespace goldcrest {

namespace {

// Returns whether a step may use some of the workers only. It does not hold up a new job that may
// use others.
bool isRestricted(const step_spec &step)
{
    return !step.requiredLabel.empty() || step.maxPerWorker > 0;
}

std::int64_t waitingTasks(const tracked_step &step)
{
    return std::count_if(step.tasks.begin(), step.tasks.end(), [](const tracked_task &task) {
        return !task.record.isDone && !task.isActive();
    });
}

} // namespace

admission_state run_planner::admissionState(time_point now) const
{
    admission_state state;
    addForecastWorkers(state, now);
    addForecastWaiting(state, now);
    addForecastQueues(state);
    if (m_view.catalogue) {
        for (const queue_team &team : m_view.catalogue->teams)
            state.guarantees[team.name] = team.guaranteedAccelerators;
    }
    for (const std::string &id : m_guaranteed) {
        const auto job = m_jobs.find(id);
        if (job == m_jobs.end() || job->second.isFinished() || job->second.spec().team.empty())
            continue;
        std::int64_t used = 0;
        for (const step_spec &step : job->second.spec().steps)
            used = std::max(used, step.perTask.accelerators * step.count);
        if (used > 0)
            state.usedGuarantees[job->second.spec().team] += used;
    }
    return state;
}

// Adds the workers and their runs. A worker that has not reported for a moment may do so again, and
// counts with its capacity.
void run_planner::addForecastWorkers(admission_state &state, time_point now) const
{
    for (const auto &[id, worker] : m_pool.workers()) {
        const bool mayTakeWork = worker.isReported && !worker.incarnation.empty()
            && !worker.draining && !isPlannedToDrain(worker)
            && m_view.evacuatedDomains.count(worker.failureDomain) == 0;
        if (!mayTakeWork)
            continue;
        forecast_worker next{worker.service, worker.rack, worker.capacity, worker.capacity};
        for (const task_key &key : worker.active) {
            const tracked_job &job = m_jobs.at(key.job);
            const tracked_task &task = *job.find(key);
            const step_spec &step = job.specOf({key.occurrence, key.step});
            forecast_run run;
            run.service = worker.service;
            run.priority = policyOf(job).priority;
            run.demand = demandOf(step);
            run.isUnbounded = step.longRunning && !task.stopWanted;
            run.left = admissionLeft(job, key, now);
            next.free -= run.demand;
            state.runs.push_back(std::move(run));
        }
        state.workers.push_back(std::move(next));
    }
}

void run_planner::addForecastWaiting(admission_state &state, time_point now) const
{
    for (const std::string &id : m_unfinished) {
        const tracked_job &job = m_jobs.at(id);
        if (advisedQueueOf(job))
            continue;
        for (const step_ref &ref : job.readySteps())
            addForecastStep(state, job, job.specOf(ref), waitingTasks(*job.find(ref)), now);
        const std::int64_t due = job.dueOccurrences(m_passWall);
        for (const step_spec &step : job.spec().steps) {
            if (step.after.empty())
                addForecastStep(state, job, step, due * step.count, now);
        }
    }
}

// Adds tasks of a step that wait, whether they are in memory or not.
void run_planner::addForecastStep(admission_state &state, const tracked_job &job,
                                  const step_spec &step, std::int64_t count, time_point now) const
{
    if (count == 0 || isRestricted(step) || step.longRunning)
        return;
    forecast_waiting next;
    next.service = policyOf(job).service;
    next.team = job.spec().team;
    next.priority = policyOf(job).priority;
    next.demand = demandOf(step);
    next.count = count;
    next.estimate = expectedTimeOf(job, step);
    next.isGang = step.gang && step.count > 1;
    next.toTarget = std::max<duration>(0ms, targetOf(job) - now);
    next.isAhead = latenessOf(job, now + next.estimate) == job_lateness::OnTime;
    state.waiting.push_back(std::move(next));
}

// Adds the queues with the run times of the work that they have now.
void run_planner::addForecastQueues(admission_state &state) const
{
    if (!m_view.catalogue)
        return;
    for (const queue_entry &queue : m_view.catalogue->queues)
        state.queues.push_back({queue.name, queue.policy.service, queue.policy.priority, 0ms, 0ms});
    for (const std::string &id : m_unfinished) {
        const tracked_job &job = m_jobs.at(id);
        const auto index = m_queueIndexes.find(job.spec().queue);
        if (index == m_queueIndexes.end())
            continue;
        forecast_queue &queue = state.queues[index->second];
        for (const step_spec &step : job.spec().steps) {
            queue.declared += std::min<duration>(step.estimated, 1h);
            queue.expected += std::min<duration>(expectedTimeOf(job, step), 1h);
        }
    }
}

} // namespace goldcrest
