// Reads and writes job records in the store.

#include "goldcrest/cell_planner_state.h"

#include <utility>

namespace goldcrest {

namespace {

// The entry that accepted a job during an outage creates its record, since it knows the digest of
// the request. The planner creates the record only if the entry has not done so within this time.
constexpr duration entryRecordTimeout = 60s;

} // namespace

job_record cell_planner::recordOf(const planned_job &job) const
{
    job_record record = job.base.value_or(job_record{});
    record.spec = job.spec;
    record.cell = m_options.cell;
    record.acceptedAtUnixMs = job.acceptedAtUnixMs;
    record.attempt = std::max(record.attempt, job.intentAttempt);
    if (job.intentAttempt > 0) {
        record.intentEpoch = job.intentEpoch;
        record.intentWorkers = job.intentWorkers;
    }
    record.failedAttempts = job.failedAttempts;
    record.progress = job.progress;
    record.phase = job.outcome  ? job_phase::Finished
        : job.intentAttempt > 0 ? job_phase::Starting
                                : job_phase::Accepted;
    record.outcome = job.outcome;
    record.why = job.why;
    record.results.clear();
    record.resultParts = 0;
    return record;
}

void cell_planner::markDirty(planned_job &job, time_point now)
{
    job.dirty = true;
    syncRecord(job, now);
}

void cell_planner::syncRecord(planned_job &job, time_point now)
{
    const job_key &key = job.spec.key;
    if (job.baseRevision && !job.dirty) {
        m_dirty.erase(key);
        return;
    }
    m_dirty.insert(key);
    const bool entryCreates
        = job.baseRevision == store_revision(0) && !job.recorded && now < job.createAfter;
    if (job.storeBusy || now < job.retryAt || entryCreates || m_steppedDown)
        return;
    job.storeBusy = true;
    if (!job.baseRevision) {
        m_actions.emplace_back(read_record{key});
        return;
    }
    write_record write{key, recordOf(job), *job.baseRevision, false, {}};
    write.retire = job.outcome && *job.outcome != job_outcome::Unknown;
    if (resultBytes(job.results) > maxResultPartBytes / 2) {
        write.resultParts = encodeResultParts(job.results);
        write.record.resultParts = static_cast<std::int32_t>(write.resultParts.size());
    } else {
        write.record.results = job.results;
    }
    job.dirty = false;
    job.sentOutcome = job.outcome;
    job.sentIntent = job.intentAttempt;
    job.sentRecord = write.record;
    m_actions.emplace_back(std::move(write));
}

void cell_planner::recordRead(const job_key &key,
                              const result<std::optional<loaded_record>> &answer, time_point now)
{
    if (m_steppedDown)
        return;
    const bool failed = failureOf(answer) != nullptr;
    noteStoreAnswer(!failed, now);
    planned_job *job = find(key);
    const auto parts = m_unknownParts.find(key);
    if (parts != m_unknownParts.end() && !failed) {
        resolveUnknownParts(key, valueOf(answer), now);
        job = find(key);
    } else if (parts != m_unknownParts.end()) {
        m_unknownParts.erase(parts); // the next inventory causes another read
    }
    if (!job || !job->storeBusy) {
        applyEngineActions(now);
        flushUpdates(now);
        return;
    }
    job->storeBusy = false;
    if (failed) {
        job->retryAt = now + backoff(storeRetryDelay, maxStoreRetryDelay, job->storeFailures++);
    } else {
        job->storeFailures = 0;
        const std::optional<loaded_record> &found = valueOf(answer);
        if (found) {
            mergeRecord(*job, *found, now);
        } else {
            job->baseRevision = 0;
            job->createAfter = now + entryRecordTimeout;
            if (job->recorded && !job->spec.idempotent && !job->outcome) {
                if (job->place == job_place::Queued)
                    m_engine->jobCancelled(key, now);
                conclude(
                    *job, job_outcome::Unknown,
                    makeFailure(code::OutcomeUnknown, "the store no longer has the job's record"),
                    now);
            }
        }
        syncRecord(*job, now);
        releaseParked(now);
    }
    applyEngineActions(now);
    flushUpdates(now);
}

void cell_planner::resolveUnknownParts(const job_key &key,
                                       const std::optional<loaded_record> &found, time_point now)
{
    const std::vector<running_part> parts = std::move(m_unknownParts[key]);
    m_unknownParts.erase(key);
    if (parts.empty())
        return;
    if (find(key)) {
        // The entry has submitted the job in the meantime.
    } else if (found) {
        addLoaded(*found, now);
    } else {
        // The job was accepted during a store outage and started by an earlier planner. The entry
        // that waits for it submits it again; until then the payload is unknown.
        planned_job &job = addJob(parts.front().gang.spec, now);
        job.hasPayload = false;
        job.recorded = false;
        job.mayHaveRun = true;
        job.baseRevision = 0;
    }
    for (const running_part &reported : parts) {
        const auto worker = m_workers.find(reported.gang.own.worker);
        if (worker != m_workers.end())
            noteReportedPart(*worker->second, reported, now);
    }
}

void cell_planner::recordWritten(const job_key &key, const write_answer &answer, time_point now)
{
    const bool unresponsive
        = answer.status == write_status::Unavailable || answer.status == write_status::Ambiguous;
    noteStoreAnswer(!unresponsive, now);
    planned_job *job = find(key);
    if (!job || m_steppedDown || !job->storeBusy)
        return;
    job->storeBusy = false;
    const std::int32_t intent = std::exchange(job->sentIntent, 0);
    const std::optional<job_outcome> outcome = std::exchange(job->sentOutcome, std::nullopt);
    const bool awaitsIntent = job->gang && job->gang->phase == gang_phase::WritingIntent
        && job->gang->attempt().number == intent;
    switch (answer.status) {
    case write_status::Applied:
        job->storeFailures = 0;
        job->setBase(std::exchange(job->sentRecord, {}));
        job->baseRevision = answer.modRevision;
        if (awaitsIntent)
            afterIntent(*job, true, now);
        if (outcome && job->outcome == outcome) {
            job->durable = true;
            m_updated.insert(key);
            retire(*job, now);
        }
        break;
    case write_status::NotLeader:
        m_steppedDown = true;
        m_actions.emplace_back(step_down{"the leader key belongs to another epoch"});
        return;
    case write_status::Conflict:
        job->baseRevision.reset();
        job->dirty = true;
        break;
    case write_status::Ambiguous:
        job->baseRevision.reset();
        [[fallthrough]];
    case write_status::Unavailable:
    case write_status::Rejected:
        job->dirty = true;
        job->retryAt = now + backoff(storeRetryDelay, maxStoreRetryDelay, job->storeFailures++);
        if (awaitsIntent)
            afterIntent(*job, false, now);
        answerIfAllowed(*job, now);
        break;
    }
    syncRecord(*job, now);
    applyEngineActions(now);
    flushUpdates(now);
}

} // namespace goldcrest
