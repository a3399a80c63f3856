// Lifecycle of a job in the planner, from submission to outcome, and the updates to entries.

#include "goldcrest/cell_planner_state.h"

#include <utility>

namespace goldcrest {

namespace {

// Maximum assumed difference between the wall clocks of two hosts.
constexpr duration wallClockMargin = 10s;

// Results larger than this are left out of updates; the entry reads them from the store.
constexpr std::size_t maxUpdateBytes = 1024 * 1024;

// An idempotent job waits at most this long for its record to be read, since the record may show
// that the job has already ended.
constexpr duration recordReadTimeout = 1s;

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
        // Inventories that arrived before the records are requested again.
        if (worker->inventoryRead)
            acknowledge(*worker, 0, true, now);
        worker->inventoryRead = worker->inventoryRead && !m_options.mechanisms.inventoryFirst;
        updateWorker(*worker, now);
    }
    applyEngineActions(now);
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
    markPossibleEarlierRun(job);
    if (record.outcome && !job.outcome) {
        if (job.place == job_place::Queued)
            m_engine->jobCancelled(job.spec.key, now);
        if (job.gang && job.place == job_place::Placed) {
            // The job was placed again before its record was read. The stored outcome prevails.
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

// Marks an idempotent job accepted before this planner started: an earlier planner may have started
// it without an intent during a store outage.
void cell_planner::markPossibleEarlierRun(planned_job &job) const
{
    const std::int64_t begin = m_options.startUnixMs + wallClockMargin.count();
    if (job.spec.idempotent && job.acceptedAtUnixMs < begin)
        job.mayHaveRun = true;
}

void cell_planner::park(planned_job &job, duration delay, time_point now)
{
    job.place = job_place::Parked;
    m_parked.emplace(now + delay, job.spec.key);
}

bool cell_planner::mayQueue(const planned_job &job, time_point now) const
{
    if (!job.hasPayload || (job.mustReadRecord && !job.baseRevision))
        return false;
    if (job.mayHaveRun && m_activeTime < uncertainSettleTime)
        return false;
    if (job.spec.idempotent)
        return job.baseRevision || m_storeUnresponsive
            || now - job.queuedSince >= recordReadTimeout;
    // Without the store the intent can't be written, so the job would only occupy capacity.
    return !m_storeUnresponsive && job.baseRevision;
}

void cell_planner::releaseParked(time_point now)
{
    if (!m_loaded || m_activeTime < rebuildSettleTime || m_steppedDown || configRevision() == 0)
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

void cell_planner::removeFromEngine(planned_job &job, const stopped_event &event, time_point now)
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
            m_deadlines.emplace(now + recordReadTimeout, key);
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

// Returns whether this planner knows all earlier attempts of the job: it has read the record, or
// the job was accepted after this planner's election and has not ended since. A delayed duplicate
// submission may name a job that has ended in this epoch and was removed from memory.
bool cell_planner::isHistoryKnown(const planned_job &job) const
{
    const std::int64_t begin = m_options.startUnixMs + wallClockMargin.count();
    if (job.mayHaveRun && m_activeTime < uncertainSettleTime)
        return false;
    return job.baseRevision || job.base || (!job.mustReadRecord && job.acceptedAtUnixMs >= begin);
}

// Returns whether the deadline has passed without a start.
bool cell_planner::isExpired(const planned_job &job, time_point now) const
{
    return job.spec.deadline > 0ms && job.startedAttempts == 0
        && unixNow(now) >= job.acceptedAtUnixMs + job.spec.deadline.count();
}

bool cell_planner::isProvenNotRun(const planned_job &job) const
{
    return isHistoryKnown(job) && job.startedAttempts == 0 && !job.mayHaveRun
        && (!job.gang || !job.gang->anyStartSent());
}

void cell_planner::endWithoutResult(planned_job &job, const failure &why, time_point now)
{
    if (isProvenNotRun(job)) {
        conclude(job, job_outcome::NotRun, why, now);
        return;
    }
    if (job.mayHaveRun && job.startedAttempts == 0) {
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
    answerIfAllowed(job, now);
}

void cell_planner::answerIfAllowed(planned_job &job, time_point now)
{
    if (job.answered || !job.outcome)
        return;
    // A later planner would start a job that it finds unfinished, so "not run" is reported only
    // after it is stored. A passed deadline is the exception: every planner that finds no intent
    // applies it.
    const bool deadline
        = job.why && job.why->number == code::DeadlinePassed && job.intentAttempt == 0;
    const bool fits = resultBytes(job.results) <= maxUpdateBytes;
    const bool mayAnswerEarly = fits && (*job.outcome != job_outcome::NotRun || deadline);
    if (!job.durable && !(m_storeUnresponsive && mayAnswerEarly))
        return;
    if (deadline && *job.outcome == job_outcome::NotRun) {
        const std::int64_t limit
            = job.acceptedAtUnixMs + job.spec.deadline.count() + deadlineSkewMargin.count();
        // If this planner was replaced, its successor may have started the job before the deadline.
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
        m_finished.add(key);
    }
}

void cell_planner::retire(planned_job &job, time_point now)
{
    for (const worker_id &worker : std::exchange(job.resultWorkers, {}))
        sendTo(worker, result_stored_message{job.resultAttempt, m_options.number});
    answerIfAllowed(job, now);
    // A job with outcome Unknown is kept, since its result may still arrive.
    if (job.durable && job.outcome && *job.outcome != job_outcome::Unknown && !job.gang)
        m_retired.insert(job.spec.key);
}

} // namespace goldcrest
