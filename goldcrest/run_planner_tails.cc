// Connects run_planner with remaining_time.

#include "goldcrest/run_planner.h"

#include <fmt/format.h>

#include <algorithm>

namespace goldcrest {

namespace {

// The longest run whose end was put off is logged at this interval.
constexpr duration tailLogInterval = 1s;
// Smaller changes are within the errors of the estimates.
constexpr duration leastChange = 500ms;

} // namespace

bool run_planner::hasHeavyTail(const tracked_job &job) const
{
    return m_options.heavyTails && m_runTimes.isHeavyTailed(job.spec().queue);
}

run_in_progress run_planner::progressOf(const tracked_job &job, const step_spec &step,
                                        const tracked_task &task, time_point now) const
{
    run_in_progress run;
    run.queue = job.spec().queue;
    run.declared = step.estimated;
    run.estimate = task.runEstimate;
    run.age = now - task.begunAt;
    run.usual = expectedEnd(task, now) - now;
    run.measured = run.usual;
    run.isMeasured = showsItsLength(task, now);
    run.members = step.gang ? step.count : 1;
    // The reported progress is rounded down.
    const std::int32_t progress = task.percent - task.listedPercent;
    if (task.isListed && progress > 0)
        run.atLeast = (task.percentChangedAt - task.listedAt) * 100 / (progress + 1);
    return run;
}

// Returns when the capacity of a run is expected to be free.
time_point run_planner::plannedEnd(const tracked_job &job, const task_key &key, time_point now)
{
    const tracked_task &task = *job.find(key);
    if (task.stopWanted || !hasHeavyTail(job))
        return expectedEnd(task, now);
    const step_spec &step = job.specOf({key.occurrence, key.step});
    run_in_progress run = progressOf(job, step, task, now);
    const duration left = remaining_time(m_runTimes).left(run, tail_use::Reservation);
    if (left - run.usual < leastChange)
        return now + left;
    ++m_tailNotes.runs;
    if (left > m_tailNotes.left) {
        m_tailNotes.longest = key;
        m_tailNotes.run = std::move(run);
        m_tailNotes.left = left;
    }
    return now + left;
}

// Returns when a unit can end if it is not stopped: with the last of its members.
// @param run one of its members
time_point run_planner::victimEnd(const tracked_job &job, const task_key &key,
                                  const placed_run &run, time_point now) const
{
    if (!hasHeavyTail(job) || !run.mayStop)
        return run.endsAt;
    const step_ref ref{key.occurrence, key.step};
    const step_spec &step = job.specOf(ref);
    const remaining_time remaining(m_runTimes);
    const auto endOf = [&](const tracked_task &task) {
        return now + remaining.left(progressOf(job, step, task, now), tail_use::Victim);
    };
    if (!step.gang)
        return endOf(*job.find(key));
    time_point last = now;
    for (const tracked_task &task : job.find(ref)->tasks) {
        if (task.isActive())
            last = std::max(last, endOf(task));
    }
    return last;
}

// Returns for how long a run certainly keeps its capacity.
duration run_planner::admissionLeft(const tracked_job &job, const task_key &key,
                                    time_point now) const
{
    const tracked_task &task = *job.find(key);
    if (task.stopWanted)
        return 0ms;
    // Without a heavy tail, a run past its estimate may end at any moment.
    const duration left
        = std::min(expectedEnd(task, now) - now, task.begunAt + task.runEstimate - now);
    if (!hasHeavyTail(job))
        return std::max<duration>(0ms, left);
    run_in_progress run = progressOf(job, job.specOf({key.occurrence, key.step}), task, now);
    run.usual = std::max<duration>(0ms, left);
    return remaining_time(m_runTimes).left(run, tail_use::Admission);
}

void run_planner::logTails(time_point now)
{
    if (m_tailNotes.runs == 0 || now - m_tailNotes.loggedAt < tailLogInterval)
        return;
    m_tailNotes.loggedAt = now;
    const run_in_progress &run = m_tailNotes.run;
    const tracked_task *task = m_jobs.at(m_tailNotes.longest.job).find(m_tailNotes.longest);
    recordDecision("run ends put off", m_tailNotes.longest, task ? task->record.lastRun : 0, {},
                   "tasks of its queue have a heavy tail",
                   fmt::format("runs={} queue={} estimate_ms={} age_ms={} usual_ms={} left_ms={}",
                               m_tailNotes.runs, run.queue, run.estimate.count(), run.age.count(),
                               run.usual.count(), m_tailNotes.left.count()));
}

} // namespace goldcrest
