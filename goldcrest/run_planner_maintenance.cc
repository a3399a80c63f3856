#include "goldcrest/run_planner.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace goldcrest {

namespace {

// Time for a stop order to reach the backend server, and for its report.
constexpr duration stopMargin = 300ms;

} // namespace

void run_planner::setPlannedDrains(const std::map<std::string, time_point> &dueAt)
{
    const bool isSame
        = std::equal(dueAt.begin(), dueAt.end(), m_plannedDrains.begin(), m_plannedDrains.end(),
                     [](const auto &a, const auto &b) { return a.first == b.first; });
    m_plannedDrains = dueAt;
    m_needsPass = m_needsPass || !isSame;
    if (m_plannedDrains.empty())
        return;
    for (auto &[id, worker] : m_pool.workers()) {
        if (isPlannedToDrain(worker))
            worker.drainedIncarnation = worker.incarnation;
    }
}

bool run_planner::isPlannedToDrain(const pool_worker &worker) const
{
    return m_plannedDrains.count(worker.machine) > 0;
}

// Enters a run of a worker. Work on a worker that is not drained shows that its drain was
// withdrawn, so that an end of its backend server is a crash again.
void run_planner::enterActive(pool_worker &worker, const task_key &key) const
{
    worker.active.insert(key);
    if (!isPlannedToDrain(worker))
        worker.drainedIncarnation.clear();
}

std::map<std::string, server_use> run_planner::serverUses() const
{
    std::map<std::string, server_use> uses;
    for (const auto &[id, worker] : m_pool.workers()) {
        server_use &use = uses[worker.machine];
        use.hasRuns = use.hasRuns || !worker.active.empty() || !worker.running.empty();
        for (const task_key &key : worker.active) {
            if (use.hasLongRunning)
                break;
            use.hasLongRunning = m_jobs.at(key.job).specOf({key.occurrence, key.step}).longRunning;
        }
    }
    return uses;
}

// Stops the runs on machines that are due for maintenance. Work that ends in time is awaited, and
// other work is stopped as late as it can still save a checkpoint.
void run_planner::stopRunsForMaintenance(time_point now)
{
    if (m_plannedDrains.empty())
        return;
    for (auto &[id, worker] : m_pool.workers()) {
        const auto due = m_plannedDrains.find(worker.machine);
        if (due == m_plannedDrains.end())
            continue;
        const std::set<task_key> active = worker.active;
        for (const task_key &key : active) {
            tracked_job &job = m_jobs.at(key.job);
            const tracked_task &task = *job.find(key);
            if (task.stopWanted || !task.isListed)
                continue;
            const bool isLongRunning = job.specOf({key.occurrence, key.step}).longRunning;
            const bool isToStop = isLongRunning ? mayEndLongRunning(job, key, now)
                                                : mustStopBefore(job, key, due->second, now);
            if (isToStop)
                stopRun(job, key, "maintenance of its machine",
                        fmt::format("due_in_ms={} expected_ms={} percent={}",
                                    (due->second - now).count(),
                                    (expectedEnd(task, now) - now).count(), task.percent));
        }
    }
}

// Returns whether a run is to be stopped now, since it would not end before its machine is due.
bool run_planner::mustStopBefore(const tracked_job &job, const task_key &key, time_point due,
                                 time_point now) const
{
    const tracked_task &task = *job.find(key);
    if (expectedEnd(task, now) <= due)
        return false;
    const bool isGuaranteed = m_guaranteed.count(job.id()) > 0;
    const bool isSaved = job.specOf({key.occurrence, key.step}).checkpointing;
    // What it did is lost in any case, and it ends sooner elsewhere the sooner it begins there.
    if (!isSaved && !isGuaranteed)
        return true;
    const duration lead = m_options.stopTime + stopMargin;
    return now >= due - lead - (isGuaranteed ? 0ms : m_options.checkpointInterval);
}

// Returns whether a long-running task may be ended by an order of ours: fewer of the other tasks of
// its step than the declared number are absent. A number of 0 permits none.
bool run_planner::mayEndLongRunning(const tracked_job &job, const task_key &key,
                                    time_point now) const
{
    const step_ref ref{key.occurrence, key.step};
    const step_spec &step = job.specOf(ref);
    // A gang is stopped as a whole.
    if (step.gang)
        return step.maxMissing >= step.count;
    const tracked_step &tracked = *job.find(ref);
    std::int32_t absent = 0;
    for (std::size_t i = 0; i < tracked.tasks.size(); ++i) {
        const bool isOther = static_cast<std::int32_t>(i) != key.index;
        absent += isOther && !isAtWork(tracked.tasks[i], now) ? 1 : 0;
    }
    return absent < step.maxMissing;
}

bool run_planner::isAtWork(const tracked_task &task, time_point now) const
{
    if (!task.isActive() || !task.isListed || task.stopWanted)
        return false;
    const auto worker = m_pool.workers().find(task.record.worker);
    return worker != m_pool.workers().end()
        && now - worker->second.reportedAt <= m_options.absenceNotice;
}

} // namespace goldcrest
