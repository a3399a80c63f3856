#include "goldcrest/run_planner.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace goldcrest {

namespace {

// A worker gets no starts for a while if tasks of this many jobs failed on it and none succeeded
// since. Failures of a single job may be the fault of the job.
constexpr std::size_t failedJobsToAvoid = 2;

// If a job failed on this many workers, the failures are attributed to the job.
constexpr std::size_t failedWorkersToBlame = 2;

// A start without an answer may still take effect for this long after it was sent. The platform's
// longest delay is 12 s.
constexpr duration lateOrderLimit = 15s;

// A backend server lists at most this many ends at a time, so a full list may be incomplete.
constexpr std::size_t endsPerView = 500;

// Returns whether the runs that a report shows were read after an order had been carried out.
// @param orderedIn sequence of the first orders message with the order; 0: it was not ordered
bool isCarriedOut(std::int64_t orderedIn, const worker_report_message &report)
{
    return orderedIn != 0 && orderedIn <= report.ordersSeen;
}

// Returns the number up to which ends may be acknowledged. A partial list may lack an end before a
// later one, which would be acknowledged with it and be lost.
std::int64_t lastReadableEnd(const worker_report_message &report, std::int64_t seen)
{
    if (!report.isPartial)
        return std::numeric_limits<std::int64_t>::max();
    for (const ended_task &ended : report.ended) {
        if (ended.number == seen + 1)
            seen = ended.number;
    }
    return seen;
}

} // namespace

bool run_planner::onReport(const worker_report_message &report, unix_ms wall, time_point now)
{
    if (report.plannerEpoch != m_epoch)
        return false;
    pool_worker &worker = m_pool.at(report.worker);
    // A report that was overtaken by a later one would seem to prove that new runs have ended.
    // A final report is the last one, and an agent that was restarted may not know the clock.
    const bool isOvertaken = !report.isFinal && !report.incarnation.empty()
        && report.incarnation == worker.incarnation && report.clock < worker.clock;
    if (isOvertaken)
        return false;
    updateWorker(worker, report, now);
    worker.isDeparted = report.isFinal;
    if (report.incarnation.empty())
        return true;
    processEnds(worker, report, wall, now);
    if (report.isFinal) {
        worker.departedIncarnation = report.incarnation;
        recordDecision("final report of a backend server", {}, 0, worker.id,
                       report.wasAnnounced ? "it had announced that it leaves"
                                           : "another incarnation has taken its place",
                       fmt::format("life={} has_ended_runs={} started={} ended={} unresolved={}",
                                   report.incarnation, report.hasEndedRuns,
                                   report.startedRuns.size(), report.ended.size(),
                                   report.unresolved.size()));
        if (!report.wasAnnounced)
            noteCrash(worker, report, wall);
        if (report.hasEndedRuns)
            endRunsOfDepartedServer(worker, report, wall);
        return true;
    }
    processRunning(worker, report, now);
    stopRunsOfOtherIncarnations(worker, wall);
    processRefusals(worker, report, wall, now);
    endRunsNotListed(worker, report, wall);
    releaseFences(worker, report);
    acknowledgeStoredEnds(worker);
    if (worker.hasDeferredStarts)
        m_changedWorkers.insert(worker.id);
    return true;
}

void run_planner::updateWorker(pool_worker &worker, const worker_report_message &report,
                               time_point now)
{
    if (worker.incarnation != report.incarnation) {
        recordDecision("worker incarnation changed", {}, 0, worker.id,
                       "its backend server started a new incarnation",
                       fmt::format("life={} before={}", report.incarnation, worker.incarnation));
        worker.earlierListedAt = worker.listedAt;
        worker.running.clear();
        worker.missingSince.clear();
        worker.endsSeen = 0;
        worker.endsStored = 0;
        worker.pendingEnds.clear();
        // A backend server that ends for maintenance has not crashed.
        const bool isPlanned = worker.draining || worker.incarnation == worker.drainedIncarnation;
        worker.crashedIncarnation = isPlanned ? std::string() : worker.incarnation;
        worker.failedJobs.clear();
        worker.avoidUntil = {};
        forgetAdviceAbout(worker.incarnation);
        fenceRecentStarts(worker, now);
    }
    if (worker.draining != report.draining)
        recordDecision(report.draining ? "worker draining" : "worker drain ended", {}, 0, worker.id,
                       "reported by its backend server");
    const bool isNewlyUsable = worker.incarnation != report.incarnation
        || worker.service != report.service || worker.capacity != report.capacity
        || worker.draining != report.draining || now - worker.reportedAt > m_options.freshReport;
    m_needsPass = m_needsPass || isNewlyUsable;
    worker.incarnation = report.incarnation;
    worker.machine = report.machine;
    avoidAsLearned(worker, now);
    worker.service = report.service;
    worker.failureDomain = report.failureDomain;
    worker.rack = report.rack;
    worker.labels = report.labels;
    worker.capacity = report.capacity;
    worker.draining = report.draining;
    worker.leavesAt = report.draining ? now + report.drainLeft : time_point::max();
    worker.clock = report.clock;
    worker.isReported = true;
    worker.reportedAt = now;
    if (!report.isFinal) {
        worker.listedAt = now;
        endLeaseExtension(worker);
    }
    worker.unresolved.clear();
    worker.unresolved.insert(report.unresolved.begin(), report.unresolved.end());
}

void run_planner::endRun(const task_key &key, std::int32_t run, run_end how,
                         const std::string &saved, const worker_id &worker, std::string reason,
                         unix_ms wall, std::string inputs)
{
    const auto found = m_jobs.find(key.job);
    if (found == m_jobs.end())
        return;
    tracked_job &job = found->second;
    const graph_job_state before = job.state();
    if (!job.endRun(key, run, how, saved, wall))
        return;
    m_needsPass = true;
    recordDecision("run ended", key, run, worker, std::move(reason), std::move(inputs));
    if (job.state() != before)
        recordDecision("job ended", {key.job, 0, 0, 0}, 0, {}, std::string(nameOf(job.state())));
    noteChanged(job);
    syncActive(job);
    job.forEachActive([&](const task_key &, const step_spec &, tracked_task &task) {
        if (task.stopWanted)
            m_changedWorkers.insert(task.record.worker);
    });
}

// Has starts stopped that were sent to the earlier incarnation, since they may still reach the new
// one.
void run_planner::fenceRecentStarts(pool_worker &worker, time_point now)
{
    for (const auto &[run, orderedAt] : worker.recentStarts) {
        if (now - orderedAt <= lateOrderLimit)
            worker.fenced.insert(run);
    }
    worker.recentStarts.clear();
    worker.fenceOrderedIn = 0;
    if (!worker.fenced.empty())
        m_changedWorkers.insert(worker.id);
}

// The runs of an earlier incarnation of a backend server are gone, but their starts may have
// reached the new incarnation, or still may. They are stopped there too, and count as ended after
// that.
void run_planner::stopRunsOfOtherIncarnations(pool_worker &worker, unix_ms wall)
{
    for (const task_key &key : worker.active) {
        tracked_task &task = *m_jobs.at(key.job).find(key);
        const run_id run{formatTask(key), task.record.lastRun};
        const bool isOther = task.record.workerIncarnation != worker.incarnation;
        if (!isOther || task.stopWanted || worker.running.count(run) > 0)
            continue;
        task.stopWanted = true;
        m_changedWorkers.insert(worker.id);
        recordDecision("run stopped", key, run.number, worker.id, "the backend server restarted");
        noteRunOfEarlierIncarnation(worker, key, wall);
    }
}

// A backend server has crashed: finds the runs that it had started, or may have started.
void run_planner::noteCrash(pool_worker &worker, const worker_report_message &report, unix_ms wall)
{
    const std::set<run_id> started(report.startedRuns.begin(), report.startedRuns.end());
    std::vector<std::pair<task_key, std::optional<duration>>> lost;
    for (const task_key &key : worker.active) {
        const tracked_task &task = *m_jobs.at(key.job).find(key);
        const run_id run{formatTask(key), task.record.lastRun};
        if (task.record.workerIncarnation != report.incarnation)
            continue;
        if (task.isListed || started.count(run) > 0)
            lost.emplace_back(key, task.workedUntil(worker.listedAt));
        else if (worker.unresolved.count(run) > 0)
            lost.emplace_back(key, std::nullopt);
    }
    recordDecision("backend server crashed", {}, 0, worker.id,
                   "it had not announced that it leaves",
                   fmt::format("life={} runs={}", report.incarnation, lost.size()));
    for (const auto &[key, worked] : lost)
        noteCrashedRun(worker, key, worked, wall);
    noteCrashOfLapsedRuns(worker, report, wall);
}

// Counts the crash for the runs that had started there and were ended with the lease, because the
// agent was out of reach until now.
void run_planner::noteCrashOfLapsedRuns(const pool_worker &worker,
                                        const worker_report_message &report, unix_ms wall)
{
    std::set<run_id> ended;
    for (const ended_task &end : report.ended)
        ended.insert(end.run);
    for (const run_id &run : report.startedRuns) {
        const result<task_key> key = parseTask(run.task);
        const auto job = failureOf(key) ? m_jobs.end() : m_jobs.find(valueOf(key).job);
        if (job == m_jobs.end() || ended.count(run) > 0)
            continue;
        const graph_job_state before = job->second.state();
        if (job->second.noteCrashOfLapsedRun(valueOf(key), run.number, wall))
            onCrashCounted(worker, valueOf(key), run.number,
                           job->second.find(valueOf(key))->lapsedRunWorked, before);
    }
}

// Counts a crash of which the agent no longer knew, because its own process ended too.
void run_planner::noteRunOfEarlierIncarnation(pool_worker &worker, const task_key &key,
                                              unix_ms wall)
{
    const tracked_task &task = *m_jobs.at(key.job).find(key);
    if (task.record.workerIncarnation == worker.crashedIncarnation) {
        if (task.isListed)
            noteCrashedRun(worker, key, task.workedUntil(worker.earlierListedAt), wall);
    } else if (task.isRestored() && worker.departedIncarnation != task.record.workerIncarnation) {
        // An earlier planner may have started it, and it is not known when the crash came.
        noteCrashedRun(worker, key, startupTime, wall);
    }
}

// Counts a crash against a task that ran on the crashed backend server, whose fault it may be.
void run_planner::noteCrashedRun(const pool_worker &worker, const task_key &key,
                                 std::optional<duration> worked, unix_ms wall)
{
    tracked_job &job = m_jobs.at(key.job);
    const graph_job_state before = job.state();
    const std::int32_t run = job.find(key)->record.lastRun;
    if (job.noteCrash(key, worked, wall))
        onCrashCounted(worker, key, run, worked, before);
}

// @param before state of the job before the crash was counted, which may have ended it
void run_planner::onCrashCounted(const pool_worker &worker, const task_key &key, std::int32_t run,
                                 std::optional<duration> worked, graph_job_state before)
{
    tracked_job &job = m_jobs.at(key.job);
    const task_record &record = job.find(key)->record;
    const std::string counts = fmt::format("crashes={} at_start={} possible={}", record.crashes,
                                           record.startCrashes, record.possibleCrashes);
    recordDecision("run lost in a crash", key, run, worker.id, "its backend server crashed",
                   fmt::format("worked_ms={} {}",
                               worked ? std::to_string(worked->count()) : "unknown", counts));
    m_suspects.insert(key);
    noteChanged(job);
    if (job.state() == before)
        return;
    recordDecision("job ended", {key.job, 0, 0, 0}, 0, {}, std::string(nameOf(job.state())),
                   fmt::format("crashing_task={} {}", formatTask(key), counts));
    job.forEachActive([&](const task_key &, const step_spec &, tracked_task &other) {
        m_changedWorkers.insert(other.record.worker);
    });
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

// Learns from a run that has completed its task how long such tasks take. A gang counts once, and
// the tasks of another step count as one together.
void run_planner::observeRunTime(const task_key &key, std::int32_t run, time_point now)
{
    const auto found = m_jobs.find(key.job);
    const tracked_task *task = found == m_jobs.end() ? nullptr : found->second.find(key);
    if (!task || task->record.isDone || !task->isActive() || task->record.lastRun != run
        || !task->isTypical)
        return;
    tracked_job &job = found->second;
    const step_spec &step = job.specOf({key.occurrence, key.step});
    const duration ran = now - (task->isListed ? task->listedAt : task->begunAt);
    const bool isSingle = !step.gang || step.count == 1;
    const pool_worker *worker = isSingle ? m_pool.find(task->record.worker) : nullptr;
    observeSpeed(job, key, ran, task->isSpeedObserved ? 0.5 : 1, now);
    m_runTimes.observe(job.spec().queue, step.estimated,
                       scaled(ran, worker ? speedOf(*worker) : task->runSpeed),
                       step.gang ? 1.0 : 1.0 / step.count);
}

void run_planner::noteFailure(pool_worker &worker, const std::string &job, time_point now)
{
    // A job that has ended is not placed again, so nothing would remove the entries.
    const auto known = m_jobs.find(job);
    if (known == m_jobs.end() || known->second.isFinished())
        return;
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
    recordDecision("worker avoided", {}, 0, worker.id, "tasks of several jobs failed there",
                   fmt::format("failed_jobs={}", worker.failedJobs.size()));
}

void run_planner::processEnds(pool_worker &worker, const worker_report_message &report,
                              unix_ms wall, time_point now)
{
    static constexpr std::string_view names[]
        = {"done", "failed", "stopped", "lease ended", "gang member ended", "gang incomplete"};
    const std::int64_t readable = lastReadableEnd(report, worker.endsSeen);
    for (const ended_task &ended : report.ended) {
        if (ended.number <= worker.endsSeen)
            continue;
        pending_end pending{ended.number, {}, 0, {}};
        const result<task_key> key = parseTask(ended.run.task);
        if (!failureOf(key)) {
            const auto begun = m_jobs.find(valueOf(key).job);
            if (begun != m_jobs.end())
                begun->second.noteBegun();
            noteHealth(worker, valueOf(key), ended.how, now);
            if (ended.how == run_end::Done)
                observeRunTime(valueOf(key), ended.run.number, now);
            endRun(valueOf(key), ended.run.number, ended.how, ended.saved, worker.id,
                   std::string(names[static_cast<std::size_t>(ended.how)]), wall);
            const auto job = m_jobs.find(valueOf(key).job);
            if (job != m_jobs.end())
                pending = {ended.number, job->first, job->second.version(),
                           ended.how == run_end::Done ? std::optional(valueOf(key)) : std::nullopt};
        } else {
            recordDecision("end ignored", {}, ended.run.number, worker.id,
                           "the task name is malformed");
        }
        if (ended.number > readable)
            continue;
        worker.endsSeen = ended.number;
        worker.pendingEnds.push_back(std::move(pending));
    }
}

// Returns the reported runs, and those that were reported before and may still be there: the list
// is short of some runs, or the outcome of their stop is not known yet.
std::vector<running_task> run_planner::presentRuns(const pool_worker &worker,
                                                   const worker_report_message &report)
{
    std::vector<running_task> present = report.running;
    std::set<run_id> known;
    for (const running_task &running : report.running)
        known.insert(running.run);
    for (const ended_task &ended : report.ended)
        known.insert(ended.run);
    for (const auto &[run, running] : worker.running) {
        const bool mayExist = report.isPartial || worker.unresolved.count(run) > 0;
        if (mayExist && known.count(run) == 0)
            present.push_back(running);
    }
    return present;
}

void run_planner::processRunning(pool_worker &worker, const worker_report_message &report,
                                 time_point now)
{
    const std::vector<running_task> present = presentRuns(worker, report);
    worker.running.clear();
    worker.runningTasks.clear();
    worker.unassignedRuns.clear();
    for (const running_task &running : present) {
        worker.running[running.run] = running;
        const result<task_key> key = parseTask(running.run.task);
        worker.runningTasks.push_back(failureOf(key) ? std::nullopt : std::optional(valueOf(key)));
        const auto job = failureOf(key) ? m_jobs.end() : m_jobs.find(valueOf(key).job);
        tracked_task *task = job == m_jobs.end() ? nullptr : job->second.find(valueOf(key));
        if (!task || !task->isActive() || task->record.worker != worker.id
            || task->record.lastRun != running.run.number) {
            worker.unassignedRuns.insert(running.run);
            continue;
        }
        if (!task->isListed) {
            job->second.noteBegun();
            task->isListed = true;
            task->listedAt = now;
            task->percentChangedAt = now;
            task->listedPercent = running.percent;
        }
        if (running.percent != task->percent) {
            task->percent = running.percent;
            task->percentChangedAt = now;
            observeProgress(job->second, valueOf(key), now);
        }
        if (!running.saved.empty() && running.saved != task->record.saved) {
            job->second.noteCheckpoint(valueOf(key), running.saved);
            m_checkpointed.insert(job->first);
        }
    }
    updatePace(worker, now);
}

void run_planner::processRefusals(pool_worker &worker, const worker_report_message &report,
                                  unix_ms wall, time_point now)
{
    static constexpr std::string_view names[] = {
        "superseded", "no capacity", "lease ended", "ticket not accepted", "unhealthy", "invalid"};
    for (const refused_start &refused : report.refused) {
        const result<task_key> key = parseTask(refused.run.task);
        if (failureOf(key) || worker.unresolved.count(refused.run) > 0)
            continue;
        const auto advice = m_advice.find(adviceKeyOf(valueOf(key)));
        if (refused.why == start_refusal::TicketRejected && advice != m_advice.end())
            advice->second.tickets.clear(); // the others are in doubt too
        if (refused.why == start_refusal::Unhealthy || refused.why == start_refusal::NoCapacity)
            worker.avoidUntil = std::max(worker.avoidUntil, now + 1s);
        endRun(valueOf(key), refused.run.number, run_end::Stopped, {}, worker.id,
               fmt::format("start refused: {}", names[static_cast<std::size_t>(refused.why)]),
               wall);
    }
}

// Ends the runs that a backend server has taken with it. A run whose start may still take effect,
// or that was never listed, is left: its start may have reached the next incarnation, which may
// have the same id.
void run_planner::endRunsOfDepartedServer(pool_worker &worker, const worker_report_message &report,
                                          unix_ms wall)
{
    worker.running.clear();
    worker.runningTasks.clear();
    worker.unassignedRuns.clear();
    const std::set<task_key> active = worker.active;
    for (const task_key &key : active) {
        const tracked_task *task = m_jobs.at(key.job).find(key);
        if (!task->isActive() || !task->isListed || task->record.worker != worker.id
            || task->record.workerIncarnation != report.incarnation)
            continue;
        const run_id run{formatTask(key), task->record.lastRun};
        if (worker.unresolved.count(run) == 0)
            endRun(key, run.number, run_end::Lapsed, {}, worker.id, "its backend server has left",
                   wall, fmt::format("life={}", report.incarnation));
    }
}

// Ends runs that the report does not list although it was made after their orders were carried out.
// Such a run does not exist and can no longer start. A partial list, or one that is full of ends,
// proves nothing.
void run_planner::endRunsNotListed(pool_worker &worker, const worker_report_message &report,
                                   unix_ms wall)
{
    if (report.isPartial)
        return;
    const bool mayLackEnds = report.ended.size() >= endsPerView;
    std::map<run_id, std::int64_t> missingSince;
    const std::set<task_key> active = worker.active;
    for (const task_key &key : active) {
        const tracked_task *task = m_jobs.at(key.job).find(key);
        if (!task->isActive() || task->record.worker != worker.id)
            continue;
        const run_id run{formatTask(key), task->record.lastRun};
        if (worker.running.count(run) > 0 || worker.unresolved.count(run) > 0)
            continue;
        // The end of a task that is done needs no proof, and the acknowledgement of the ends that
        // fill the list may wait for it.
        if (mayLackEnds && !task->record.isDone)
            continue;
        const bool hasStarted = task->isListed || isCarriedOut(task->startOrderedIn, report);
        if (!hasStarted && !isCarriedOut(task->stopOrderedIn, report))
            continue;
        const auto known = worker.missingSince.find(run);
        missingSince[run] = known == worker.missingSince.end() ? report.clock : known->second;
        if (!isGone(*task, missingSince[run], report))
            continue;
        endRun(key, run.number, run_end::Lapsed, {}, worker.id, "no longer listed", wall,
               fmt::format("life={} was_listed={} stop_ordered={} start_in={} stop_in={} "
                           "orders_seen={} clock_ms={} missing_since_ms={} running={} ended={}",
                           report.incarnation, task->isListed, task->stopWanted,
                           task->startOrderedIn, task->stopOrderedIn, report.ordersSeen,
                           report.clock, missingSince[run], report.running.size(),
                           report.ended.size()));
    }
    worker.missingSince = std::move(missingSince);
}

// Returns whether a run that is missing from complete lists does not exist. The agent waits until a
// stop has ended its run before it reports it as carried out. Another run may be missing for as
// long while the backend server ends it for another reason.
bool run_planner::isGone(const tracked_task &task, std::int64_t missingSince,
                         const worker_report_message &report) const
{
    if (task.stopWanted && isCarriedOut(task.stopOrderedIn, report))
        return true;
    return duration(report.clock - missingSince) > m_options.stopTime;
}

// Forgets fenced starts once the orders to stop them have been carried out.
void run_planner::releaseFences(pool_worker &worker, const worker_report_message &report)
{
    if (worker.fenceOrderedIn == 0 || report.ordersSeen < worker.fenceOrderedIn)
        return;
    for (auto it = worker.fenced.begin(); it != worker.fenced.end();)
        it = worker.unresolved.count(*it) == 0 ? worker.fenced.erase(it) : std::next(it);
    if (worker.fenced.empty())
        worker.fenceOrderedIn = 0;
}

// Acknowledges ends in order, up to the first one whose job version is not stored yet, or whose
// task has a later run that may still start: an acknowledged task must not start again.
void run_planner::acknowledgeStoredEnds(pool_worker &worker)
{
    const std::int64_t before = worker.endsStored;
    while (!worker.pendingEnds.empty()) {
        const pending_end &first = worker.pendingEnds.front();
        const auto job = m_jobs.find(first.job);
        if (job != m_jobs.end() && job->second.storedVersion() < first.version)
            break;
        const tracked_task *completed
            = first.completed && job != m_jobs.end() ? job->second.find(*first.completed) : nullptr;
        if (completed && completed->isActive() && !completed->isListed)
            break;
        worker.endsStored = first.number;
        worker.pendingEnds.pop_front();
    }
    if (worker.endsStored != before)
        m_changedWorkers.insert(worker.id);
}

void run_planner::forgetOldStarts(pool_worker &worker, time_point now)
{
    for (auto it = worker.recentStarts.begin(); it != worker.recentStarts.end();)
        it = now - it->second > lateOrderLimit ? worker.recentStarts.erase(it) : std::next(it);
}

} // namespace goldcrest
