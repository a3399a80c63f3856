// Life of a job in the planner, from its submission to its outcome and the answers to entries.

#include "goldcrest/cell_planner_state.h"

#include <utility>

namespace goldcrest {

namespace {

// Wall clocks of two hosts differ by less than this.
constexpr duration wallClockMargin = 10s;

// Larger results are not part of an update; the entry reads them from the store.
constexpr std::size_t maxUpdateBytes = 1024 * 1024;

// Idempotent work waits this long for its record, which may say that it has ended already.
constexpr duration recordReadLimit = 1s;

// Finished jobs remembered to answer late messages; at 17,000 jobs a day and 11 cells this is more
// than a day of one cell.
constexpr std::size_t maxFinishedMemory = 20000;

failure deadlineFailure()
{
    return makeFailure(code::DeadlinePassed, "the deadline passed before the start");
}

} // namespace

cell_planner::planned_job *cell_planner::find(const job_key &key)
{
    const auto found = m_jobs.find(key);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

cell_planner::planned_job &cell_planner::addJob(const job_spec &spec, time_point now)
{
    auto job = std::make_unique<planned_job>();
    job->spec = spec;
    job->queuedSince = now;
    planned_job &added = *job;
    m_jobs[spec.key] = std::move(job);
    return added;
}

void cell_planner::recordsLoaded(const result<std::vector<loaded_record>> &answer, time_point now)
{
    if (m_steppedDown || m_loaded)
        return;
    if (failureOf(answer)) {
        m_nextLoad = now + storeRetryDelay;
        return;
    }
    m_loaded = true;
    for (const loaded_record &loaded : valueOf(answer))
        addLoaded(loaded, now);
    for (auto &[id, worker] : m_workers) {
        // Inventories that arrived before the records are read again.
        if (worker->inventoryRead)
            acknowledge(*worker, 0, true, now);
        worker->inventoryRead = worker->inventoryRead && !m_options.mechanisms.inventoryFirst;
        updateWorker(*worker, now);
    }
    pump(now);
    flushUpdates(now);
}

void cell_planner::addLoaded(const loaded_record &loaded, time_point now)
{
    const job_record &record = loaded.record;
    planned_job *job = find(record.spec.key);
    if (!job) {
        job = &addJob(record.spec, now);
        job->acceptedAtUnixMs = record.acceptedAtUnixMs;
        if (record.spec.deadline > 0ms && !record.outcome) {
            const std::int64_t left
                = record.acceptedAtUnixMs + record.spec.deadline.count() - unixNow(now);
            m_deadlines.emplace(now + duration(left), record.spec.key);
        }
    }
    mergeRecord(*job, loaded, now);
    if (job->place == job_place::Parked && !job->gang)
        park(*job, 0ms, now);
}

void cell_planner::mergeRecord(planned_job &job, const loaded_record &loaded, time_point now)
{
    const job_record &record = loaded.record;
    const bool first = !job.base;
    job.setBase(record);
    job.baseRevision = loaded.modRevision;
    job.recorded = true;
    if (!job.hasPayload) {
        job.spec = record.spec;
        job.hasPayload = true;
    }
    if (!first)
        return;
    job.lastAttempt = std::max(job.lastAttempt, record.attempt);
    job.failedAttempts = std::max(job.failedAttempts, record.failedAttempts);
    job.progress = std::max(job.progress, record.progress);
    if (record.progress > 0)
        job.startedAttempts = std::max(job.startedAttempts, 1);
    const bool earlierPlanner = record.intentEpoch != m_options.number;
    noteEarlierPlanners(job);
    if (record.outcome && !job.outcome) {
        if (job.place == job_place::Queued)
            m_engine->jobCancelled(job.spec.key, now);
        if (job.gang && job.place == job_place::Placed) {
            // Started again before the record could be read; the stored outcome stands.
            job.outcome = record.outcome;
            abortGang(job, now);
        }
        job.outcome = record.outcome;
        job.why = record.why;
        job.results = record.results;
        job.durable = true;
        job.intentAttempt = record.attempt;
        job.intentEpoch = record.intentEpoch;
        job.intentWorkers = record.intentWorkers;
        if (!job.gang)
            job.place = job_place::Ended;
        retire(job, now);
        return;
    }
    if (record.attempt > 0 && earlierPlanner && !job.gang && !record.outcome)
        beginRecovery(job, record, now);
}

// An idempotent job can have been started by an earlier planner during a store outage, without an
// intent.
void cell_planner::noteEarlierPlanners(planned_job &job) const
{
    const std::int64_t begin = m_options.startUnixMs + wallClockMargin.count();
    if (job.spec.idempotent && job.acceptedAtUnixMs < begin)
        job.runUncertain = true;
}

void cell_planner::park(planned_job &job, duration delay, time_point now)
{
    job.place = job_place::Parked;
    m_parked.emplace(now + delay, job.spec.key);
}

bool cell_planner::mayQueue(const planned_job &job, time_point now) const
{
    if (!job.hasPayload || (job.mustRead && !job.baseRevision))
        return false;
    if (job.runUncertain && m_awake < uncertainSettleTime)
        return false;
    if (job.spec.idempotent)
        return job.baseRevision || m_storeSilent || now - job.queuedSince >= recordReadLimit;
    // Without the store the intent can't be written, and the job would only occupy capacity.
    return !m_storeSilent && job.baseRevision;
}

void cell_planner::releaseParked(time_point now)
{
    if (!m_loaded || m_awake < rebuildSettleTime || m_steppedDown || configRevision() == 0)
        return;
    std::vector<job_key> due;
    while (!m_parked.empty() && m_parked.begin()->first <= now) {
        due.push_back(m_parked.begin()->second);
        m_parked.erase(m_parked.begin());
    }
    for (const job_key &key : due) {
        planned_job *job = find(key);
        if (!job || job->place != job_place::Parked || job->outcome)
            continue;
        const bool known = isHistoryKnown(*job);
        if (known && job->cancelled)
            endWithoutResult(*job, cancelFailure(), now);
        else if (known && isExpired(*job, now))
            endWithoutResult(*job, deadlineFailure(), now);
        else if (!job->cancelled && mayQueue(*job, now))
            enqueue(*job, now);
        else
            m_parked.emplace(now + parkDelay, key);
    }
}

void cell_planner::enqueue(planned_job &job, time_point now)
{
    job.place = job_place::Queued;
    queued_state state;
    state.waited = now - job.queuedSince;
    state.progress = job.progress;
    state.attempts = job.startedAttempts;
    m_engine->jobQueued(job.spec, state, now);
}

void cell_planner::leaveEngine(planned_job &job, const stopped_event &event, time_point now)
{
    if (job.place == job_place::Placed)
        m_engine->jobStopped(job.spec.key, event, now);
}

void cell_planner::expireDeadlines(time_point now)
{
    const failure why = deadlineFailure();
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const job_key key = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        planned_job *job = find(key);
        if (!job || job->outcome)
            continue;
        if (!isHistoryKnown(*job)) {
            m_deadlines.emplace(now + recordReadLimit, key);
        } else if (job->place == job_place::Queued) {
            m_engine->jobCancelled(key, now);
            endWithoutResult(*job, why, now);
        } else if (job->place == job_place::Parked) {
            endWithoutResult(*job, why, now);
        } else if (job->gang && job->gang->phase == gang_phase::Waiting) {
            job->why = why;
            abortGang(*job, now);
        }
    }
}

// Whether this planner knows what happened to the job before: it has read the record, or the job
// was accepted after its own election and has not ended since. A late copy of a submission can name
// a job that ended here and left the memory.
bool cell_planner::isHistoryKnown(const planned_job &job) const
{
    const std::int64_t begin = m_options.startUnixMs + wallClockMargin.count();
    if (job.runUncertain && m_awake < uncertainSettleTime)
        return false;
    return job.baseRevision || job.base || (!job.mustRead && job.acceptedAtUnixMs >= begin);
}

// Whether the job missed its deadline without a start.
bool cell_planner::isExpired(const planned_job &job, time_point now) const
{
    return job.spec.deadline > 0ms && job.startedAttempts == 0
        && unixNow(now) >= job.acceptedAtUnixMs + job.spec.deadline.count();
}

bool cell_planner::isProvenNotRun(const planned_job &job) const
{
    return isHistoryKnown(job) && job.startedAttempts == 0 && !job.runUncertain
        && (!job.gang || !job.gang->anyStartSent());
}

void cell_planner::endWithoutResult(planned_job &job, const failure &why, time_point now)
{
    if (isProvenNotRun(job)) {
        conclude(job, job_outcome::NotRun, why, now);
        return;
    }
    if (job.runUncertain && job.startedAttempts == 0) {
        conclude(job, job_outcome::Unknown,
                 makeFailure(code::OutcomeUnknown,
                             "an earlier planner may have started the job; " + why.reason),
                 now);
        return;
    }
    const bool cancelled = why.number == code::Cancelled;
    conclude(job, job_outcome::Failed,
             cancelled ? makeFailure(code::StoppedByCaller, "the job was stopped after its start")
                       : why,
             now);
}

void cell_planner::conclude(planned_job &job, job_outcome outcome, std::optional<failure> why,
                            time_point now)
{
    job.outcome = outcome;
    job.why = std::move(why);
    job.place = job_place::Ended;
    job.durable = false;
    job.answered = false;
    markDirty(job, now);
    answerOrWait(job, now);
}

void cell_planner::answerOrWait(planned_job &job, time_point now)
{
    if (job.answered || !job.outcome)
        return;
    // A later planner would start a job again that it finds unfinished, so "not run" waits for its
    // record, except after the deadline, which binds every planner that finds no intent.
    const bool deadline
        = job.why && job.why->number == code::DeadlinePassed && job.intentAttempt == 0;
    const bool fits = resultBytes(job.results) <= maxUpdateBytes;
    const bool mayAnswerEarly = fits && (*job.outcome != job_outcome::NotRun || deadline);
    if (!job.durable && !(m_storeSilent && mayAnswerEarly))
        return;
    if (deadline && *job.outcome == job_outcome::NotRun) {
        const std::int64_t limit
            = job.acceptedAtUnixMs + job.spec.deadline.count() + deadlineSkewMargin.count();
        // Another planner may have started the job in time if this one was replaced.
        if (!job.durable && (unixNow(now) < limit || !isEntitled(now)))
            return;
    }
    job.answered = true;
    m_updated.insert(job.spec.key);
}

void cell_planner::sendUpdates(const planned_job &job, time_point now)
{
    for (const link_id link : job.watchers)
        sendUpdate(job, link, now);
}

void cell_planner::sendUpdate(const planned_job &job, link_id link, time_point)
{
    job_update_message update;
    update.job = job.spec.key;
    update.plannerEpoch = m_options.number;
    update.attempt = job.gang ? job.gang->attempt().number : job.lastAttempt;
    update.startDelay = job.startDelay;
    if (job.outcome && (job.answered || job.durable)) {
        update.phase = job_phase::Finished;
        update.outcome = job.outcome;
        update.why = job.why;
        update.recorded = job.durable;
        if (resultBytes(job.results) <= maxUpdateBytes)
            update.results = job.results;
    } else if (job.outcome) {
        update.phase = job_phase::Stopping;
    } else if (job.gang) {
        switch (job.gang->phase) {
        case gang_phase::Running:
            update.phase = job_phase::Running;
            break;
        case gang_phase::Stopping:
        case gang_phase::Aborting:
            update.phase = job_phase::Stopping;
            break;
        default:
            update.phase = job_phase::Starting;
        }
    }
    send(link, std::move(update));
}

void cell_planner::flushUpdates(time_point now)
{
    for (const job_key &key : std::exchange(m_updated, {})) {
        if (const planned_job *job = find(key))
            sendUpdates(*job, now);
    }
    for (const job_key &key : std::exchange(m_orphans, {}))
        m_jobs.erase(key);
    for (const job_key &key : std::exchange(m_retired, {})) {
        const planned_job *job = find(key);
        if (!job || job->gang || !job->durable)
            continue;
        m_jobs.erase(key);
        if (m_finished.size() >= maxFinishedMemory)
            m_finished.erase(m_finished.begin());
        m_finished.insert(key);
    }
}

void cell_planner::retire(planned_job &job, time_point now)
{
    for (const worker_id &worker : std::exchange(job.resultWorkers, {}))
        sendTo(worker, result_stored_message{job.resultAttempt, m_options.number});
    answerOrWait(job, now);
    // An unknown job may still get its real result.
    if (job.durable && job.outcome && *job.outcome != job_outcome::Unknown && !job.gang)
        m_retired.insert(job.spec.key);
}

} // namespace goldcrest
