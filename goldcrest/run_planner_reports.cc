#include "goldcrest/run_planner.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace goldcrest {

namespace {

// A worker on which tasks of this many jobs failed, with none done since, gets no starts for a
// while. One job's failures may be its own fault.
constexpr std::size_t failedJobsToAvoid = 2;

// A job that failed on this many workers is at fault itself.
constexpr std::size_t failedWorkersToBlame = 2;

// An order without an answer may be carried out this long after it was sent. The platform's longest
// delay is 12 s.
constexpr duration lateOrderLimit = 15s;

// A backend server lists this many ends at a time; a full list may lack some.
constexpr std::size_t endsPerView = 500;

} // namespace

bool run_planner::onReport(const worker_report_message &report, unix_ms wall, time_point now)
{
    if (report.plannerEpoch != m_epoch)
        return false;
    pool_worker &worker = m_pool.at(report.worker);
    updateWorker(worker, report, now);
    if (report.life.empty())
        return true;
    takeEnds(worker, report, wall, now);
    takeRunning(worker, report, now);
    stopRunsOfOtherLives(worker);
    takeRefusals(worker, report, wall, now);
    endRunsNotListed(worker, report, wall);
    releaseFences(worker, report);
    releaseEnds(worker);
    return true;
}

void run_planner::updateWorker(pool_worker &worker, const worker_report_message &report,
                               time_point now)
{
    if (worker.life != report.life) {
        decide("worker known", {}, 0, worker.id, "its backend server has a new life",
               fmt::format("life={} before={}", report.life, worker.life));
        worker.endsSeen = 0;
        worker.endsStored = 0;
        worker.pendingEnds.clear();
        worker.failedJobs.clear();
        worker.avoidUntil = {};
        fenceRecentStarts(worker, now);
    }
    if (worker.draining != report.draining)
        decide(report.draining ? "worker draining" : "worker back", {}, 0, worker.id,
               "told by its backend server");
    worker.life = report.life;
    worker.machine = report.machine;
    worker.service = report.service;
    worker.failureDomain = report.failureDomain;
    worker.rack = report.rack;
    worker.labels = report.labels;
    worker.capacity = report.capacity;
    worker.draining = report.draining;
    worker.clock = report.clock;
    worker.isReported = true;
    worker.reportedAt = now;
    worker.unresolved.clear();
    worker.unresolved.insert(report.unresolved.begin(), report.unresolved.end());
}

void run_planner::endRun(const task_key &key, std::int32_t run, run_end how,
                         const std::string &saved, const worker_id &worker, std::string reason,
                         unix_ms wall)
{
    const auto found = m_jobs.find(key.job);
    if (found == m_jobs.end())
        return;
    tracked_job &job = found->second;
    const graph_job_state before = job.state();
    if (!job.endRun(key, run, how, saved, wall))
        return;
    decide("run ended", key, run, worker, std::move(reason));
    if (job.state() != before)
        decide("job ended", {key.job, 0, 0, 0}, 0, {}, std::string(nameOf(job.state())));
    noteChanged(job);
    syncActive(job);
    job.forEachActive([&](const task_key &, const step_spec &, tracked_task &task) {
        if (task.stopWanted)
            m_news.insert(task.record.worker);
    });
}

void run_planner::fenceRecentStarts(pool_worker &worker, time_point now)
{
    for (const auto &[run, orderedAt] : worker.recentStarts) {
        if (now - orderedAt <= lateOrderLimit)
            worker.fenced.insert(run);
    }
    worker.recentStarts.clear();
    worker.fenceListed = 0;
    if (!worker.fenced.empty())
        m_news.insert(worker.id);
}

// What ran in an earlier life of a backend server is gone, except calls that reached the new one,
// or still may. It is stopped here too, and counts as ended once that was done.
void run_planner::stopRunsOfOtherLives(pool_worker &worker)
{
    for (const task_key &key : worker.active) {
        tracked_task &task = *m_jobs.at(key.job).find(key);
        const run_id run{formatTask(key), task.record.lastRun};
        const bool isOther = task.record.workerLife != worker.life;
        if (!isOther || task.stopWanted || worker.running.count(run) > 0)
            continue;
        task.stopWanted = true;
        m_news.insert(worker.id);
        decide("run stopped", key, run.number, worker.id, "the backend server started anew");
    }
}

void run_planner::noteHealth(pool_worker &worker, const task_key &task, run_end how, time_point now)
{
    if (how == run_end::Done) {
        worker.failedJobs.clear();
        worker.avoidUntil = {};
    } else if (how == run_end::Failed) {
        noteFailure(worker, task.job, now);
    }
}

void run_planner::noteFailure(pool_worker &worker, const std::string &job, time_point now)
{
    std::set<worker_id> &failedOn = m_failedOn[job];
    failedOn.insert(worker.id);
    if (failedOn.size() >= failedWorkersToBlame) {
        for (auto &[id, other] : m_pool.workers())
            other.failedJobs.erase(job);
        return;
    }
    worker.failedJobs.insert(job);
    if (worker.failedJobs.size() < failedJobsToAvoid)
        return;
    worker.avoidUntil = now + m_options.avoidTime;
    decide("worker avoided", {}, 0, worker.id, "it fails what it starts",
           fmt::format("failed_jobs={}", worker.failedJobs.size()));
}

void run_planner::takeEnds(pool_worker &worker, const worker_report_message &report, unix_ms wall,
                           time_point now)
{
    static constexpr std::string_view names[]
        = {"done", "failed", "stopped", "lapsed", "broken", "alone"};
    for (const ended_task &ended : report.ended) {
        if (ended.number <= worker.endsSeen)
            continue;
        worker.endsSeen = ended.number;
        pending_end pending{ended.number, {}, 0};
        const result<task_key> key = parseTask(ended.run.task);
        if (!failureOf(key)) {
            noteHealth(worker, valueOf(key), ended.how, now);
            endRun(valueOf(key), ended.run.number, ended.how, ended.saved, worker.id,
                   std::string(names[static_cast<std::size_t>(ended.how)]), wall);
            const auto job = m_jobs.find(valueOf(key).job);
            if (job != m_jobs.end())
                pending = {ended.number, job->first, job->second.version()};
        } else {
            decide("end ignored", {}, ended.run.number, worker.id, "the task's name is unknown");
        }
        worker.pendingEnds.push_back(std::move(pending));
    }
}

void run_planner::takeRunning(pool_worker &worker, const worker_report_message &report,
                              time_point now)
{
    worker.running.clear();
    worker.foreign.clear();
    for (const running_task &running : report.running) {
        worker.running[running.run] = running;
        const result<task_key> key = parseTask(running.run.task);
        const auto job = failureOf(key) ? m_jobs.end() : m_jobs.find(valueOf(key).job);
        tracked_task *task = job == m_jobs.end() ? nullptr : job->second.find(valueOf(key));
        if (!task || !task->isActive() || task->record.worker != worker.id
            || task->record.lastRun != running.run.number) {
            worker.foreign.insert(running.run);
            continue;
        }
        if (!task->seen) {
            task->seen = true;
            task->seenAt = now;
            task->percentChangedAt = now;
        }
        if (running.percent != task->percent) {
            task->percent = running.percent;
            task->percentChangedAt = now;
        }
        if (!running.saved.empty() && running.saved != task->record.saved) {
            job->second.noteCheckpoint(valueOf(key), running.saved);
            m_checkpointed.insert(job->first);
        }
    }
    updatePace(worker, now);
}

void run_planner::takeRefusals(pool_worker &worker, const worker_report_message &report,
                               unix_ms wall, time_point now)
{
    static constexpr std::string_view names[]
        = {"superseded", "no room", "late", "no ticket", "unhealthy", "invalid"};
    for (const refused_start &refused : report.refused) {
        const result<task_key> key = parseTask(refused.run.task);
        if (failureOf(key) || worker.unresolved.count(refused.run) > 0)
            continue;
        if (refused.why == start_refusal::NoTicket)
            m_advice[adviceKeyOf(valueOf(key))].until = {};
        if (refused.why == start_refusal::Unhealthy || refused.why == start_refusal::NoRoom)
            worker.avoidUntil = std::max(worker.avoidUntil, now + 1s);
        endRun(valueOf(key), refused.run.number, run_end::Stopped, {}, worker.id,
               fmt::format("start refused: {}", names[static_cast<std::size_t>(refused.why)]),
               wall);
    }
}

// A run whose order was carried out before the view was taken, and that the view does not have, is
// not there and can't come.
void run_planner::endRunsNotListed(pool_worker &worker, const worker_report_message &report,
                                   unix_ms wall)
{
    const std::set<task_key> active = worker.active;
    for (const task_key &key : active) {
        tracked_task *task = m_jobs.at(key.job).find(key);
        if (!task->isActive() || task->record.worker != worker.id)
            continue;
        const run_id run{formatTask(key), task->record.lastRun};
        if (worker.running.count(run) > 0 || worker.unresolved.count(run) > 0)
            continue;
        const std::int64_t listed = task->stopWanted ? task->stopListed : task->startListed;
        const bool isCarriedOut = listed != 0 && listed <= report.ordersSeen;
        const bool hasAllEnds = report.ended.size() < endsPerView;
        if (isCarriedOut || (task->seen && hasAllEnds))
            endRun(key, run.number, run_end::Lapsed, {}, worker.id, "no longer listed", wall);
    }
}

void run_planner::releaseFences(pool_worker &worker, const worker_report_message &report)
{
    if (worker.fenceListed == 0 || report.ordersSeen < worker.fenceListed)
        return;
    for (auto it = worker.fenced.begin(); it != worker.fenced.end();)
        it = worker.unresolved.count(*it) == 0 ? worker.fenced.erase(it) : std::next(it);
    if (worker.fenced.empty())
        worker.fenceListed = 0;
}

void run_planner::releaseEnds(pool_worker &worker)
{
    const std::int64_t before = worker.endsStored;
    while (!worker.pendingEnds.empty()) {
        const pending_end &first = worker.pendingEnds.front();
        const auto job = m_jobs.find(first.job);
        if (job != m_jobs.end() && job->second.storedVersion() < first.version)
            break;
        worker.endsStored = first.number;
        worker.pendingEnds.pop_front();
    }
    if (worker.endsStored != before)
        m_news.insert(worker.id);
}

void run_planner::forgetOldStarts(pool_worker &worker, time_point now)
{
    for (auto it = worker.recentStarts.begin(); it != worker.recentStarts.end();)
        it = now - it->second > lateOrderLimit ? worker.recentStarts.erase(it) : std::next(it);
}

} // namespace goldcrest
