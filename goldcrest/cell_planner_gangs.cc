// Applies the decision engine's actions and drives gangs through hold, intent, start, stop and end.

#include "goldcrest/cell_planner_state.h"

#include <utility>

namespace goldcrest {

namespace {

// Interval at which stops and aborts are sent again until each member has ended.
constexpr duration stopRepeatInterval = 2s;

// Number of failed attempts after which an idempotent job fails.
constexpr std::int32_t maxFailedAttempts = 3;

} // namespace

void cell_planner::applyEngineActions(time_point now)
{
    if (m_applyingActions || m_steppedDown)
        return;
    m_applyingActions = true;
    // Applying actions causes new events, on which the engine may decide again. The limit keeps a
    // faulty engine from blocking the process.
    constexpr int maxRounds = 1000;
    for (int round = 0; round < maxRounds; ++round) {
        const std::vector<scheduler_action> decided = m_engine->takeActions();
        if (decided.empty())
            break;
        for (const scheduler_action &action : decided)
            std::visit([&](const auto &typed) { apply(typed, now); }, action);
    }
    m_applyingActions = false;
    flushUpdates(now);
}

void cell_planner::apply(const place_action &place, time_point now)
{
    planned_job *job = find(place.job);
    if (!job || job->place != job_place::Queued) {
        m_engine->jobStopped(place.job, {stop_result::NeverStarted, {}, 0, false}, now);
        return;
    }
    job->place = job_place::Placed;
    job->stopCause.reset();
    job->gang.emplace(attempt_id{place.job, ++job->lastAttempt}, m_options.number, job->spec,
                      place.parts);
    job->gang->phaseSince = now;
    m_pendingGangs.insert(place.job);
    for (const gang_part &part : place.parts) {
        const auto worker = m_workers.find(part.worker);
        if (worker != m_workers.end())
            worker->second->gangs.insert(place.job);
    }
    if (mayStart(now))
        hold(*job, now);
}

void cell_planner::apply(const stop_action &stop, time_point now)
{
    planned_job *job = find(stop.job);
    if (!job || !job->gang || job->place != job_place::Placed)
        return;
    const bool isPolicyStop = stop.reason == stop_reason::Reclaim
        || stop.reason == stop_reason::Urgent || stop.reason == stop_reason::Move
        || stop.reason == stop_reason::DomainOut;
    if (isPolicyStop && !job->spec.preemptible() && job->gang->anyStartSent())
        return;
    if (!job->stopCause)
        job->stopCause = stop.reason;
    stopGang(*job, now);
}

void cell_planner::apply(const reject_action &reject, time_point now)
{
    planned_job *job = find(reject.job);
    if (job && job->place == job_place::Queued)
        endWithoutResult(*job, reject.why, now);
}

void cell_planner::apply(const throttle_action &throttle, time_point)
{
    const planned_job *job = find(throttle.job);
    if (job && job->gang)
        sendTo(throttle.worker,
               throttle_message{job->gang->attempt(), m_options.number, throttle.limit});
}

void cell_planner::hold(planned_job &job, time_point now)
{
    gang_coordinator &gang = *job.gang;
    for (auto &[worker, member] : gang.members()) {
        if (isUsable(worker))
            continue;
        member.refused = makeFailure(code::HoldRefused, "the worker does not accept new tasks");
        abortGang(job, now);
        return;
    }
    gang.phase = gang_phase::Holding;
    gang.holdSentAt = now;
    const std::string leaderAddress = m_workers.at(gang.leader())->info.address;
    for (auto &[worker, member] : gang.members()) {
        member.holdRequested = true;
        sendTo(worker,
               hold_message{gang.infoFor(worker, m_options.cell, leaderAddress), holdLifetime,
                            configRevision()});
    }
}

void cell_planner::afterHolds(planned_job &job, time_point now)
{
    gang_coordinator &gang = *job.gang;
    const bool absent = !job.recorded && job.baseRevision.value_or(0) == 0;
    const bool needsIntent = !job.spec.idempotent || (!m_storeUnresponsive && !absent);
    gang.phase = gang_phase::WritingIntent;
    job.intentAttempt = gang.attempt().number;
    job.intentEpoch = m_options.number;
    job.intentWorkers = gang.workers();
    if (!needsIntent || !m_options.mechanisms.writeIntent) {
        afterIntent(job, true, now);
        return;
    }
    markDirty(job, now);
}

void cell_planner::afterIntent(planned_job &job, bool written, time_point now)
{
    gang_coordinator &gang = *job.gang;
    const std::vector<worker_id> workers = gang.workers();
    const bool usable = std::all_of(workers.begin(), workers.end(),
                                    [&](const worker_id &worker) { return isUsable(worker); });
    const bool inTime = now - gang.holdSentAt <= startSendLimit;
    const bool allowed = written || job.spec.idempotent;
    const bool wanted = !job.cancelled && !isExpired(job, now);
    if (allowed && inTime && usable && wanted && mayStart(now))
        startGang(job, now);
    else
        abortGang(job, now);
}

void cell_planner::startGang(planned_job &job, time_point now)
{
    gang_coordinator &gang = *job.gang;
    gang.phase = gang_phase::Starting;
    gang.phaseSince = now;
    for (auto &[worker, member] : gang.members()) {
        member.startSent = true;
        sendTo(worker,
               start_message{gang.attempt(), m_options.number, job.spec.payload, job.progress});
    }
}

void cell_planner::abortGang(planned_job &job, time_point now)
{
    gang_coordinator &gang = *job.gang;
    if (gang.phase == gang_phase::Aborting)
        return;
    gang.phase = gang_phase::Aborting;
    gang.phaseSince = now;
    m_pendingGangs.insert(job.spec.key);
    m_recovering.erase(job.spec.key);
    if (!gang.anyStartSent()) {
        for (const auto &[worker, member] : gang.members()) {
            if (member.holdRequested && !member.refused)
                sendTo(worker, abort_message{gang.attempt(), m_options.number});
        }
        finishGang(job, now);
        return;
    }
    sendStops(job, now);
    reviewGang(job, now);
}

void cell_planner::stopGang(planned_job &job, time_point now)
{
    gang_coordinator &gang = *job.gang;
    if (gang.phase == gang_phase::Stopping || gang.phase == gang_phase::Aborting)
        return;
    if (!gang.anyStartSent()) {
        abortGang(job, now);
        return;
    }
    gang.phase = gang_phase::Stopping;
    gang.phaseSince = now;
    m_pendingGangs.insert(job.spec.key);
    sendStops(job, now);
    m_updated.insert(job.spec.key);
    reviewGang(job, now);
}

void cell_planner::sendStops(planned_job &job, time_point now)
{
    gang_coordinator &gang = *job.gang;
    gang.lastSentAt = now;
    for (const auto &[worker, member] : gang.members()) {
        if (member.isOver())
            continue;
        if (gang.phase == gang_phase::Aborting)
            sendTo(worker, abort_message{gang.attempt(), m_options.number});
        else
            sendTo(worker, stop_message{gang.attempt(), m_options.number, job.spec.canCheckpoint});
    }
}

void cell_planner::reviewGang(planned_job &job, time_point now)
{
    gang_coordinator &gang = *job.gang;
    const bool begun = gang.phase == gang_phase::Starting || gang.phase == gang_phase::Running
        || gang.phase == gang_phase::Stopping || gang.phase == gang_phase::Aborting;
    if (!begun)
        return;
    if (gang.allOver()) {
        finishGang(job, now);
        return;
    }
    if (gang.phase == gang_phase::Starting && !gang.refusingMember().empty()) {
        abortGang(job, now);
        return;
    }
    if (gang.phase == gang_phase::Starting && gang.allStarted()) {
        gang.phase = gang_phase::Running;
        m_pendingGangs.erase(job.spec.key);
        job.startDelay = duration(std::max<std::int64_t>(0, unixNow(now) - job.acceptedAtUnixMs));
        job.parkCount = 0;
        ++m_counters.gangsStarted[job.spec.className];
        m_engine->jobStarted(job.spec.key, now);
        m_updated.insert(job.spec.key);
    }
    if (gang.phase != gang_phase::Running)
        return;
    const bool broken
        = std::any_of(gang.members().begin(), gang.members().end(), [](const auto &entry) {
              const member_status &member = entry.second;
              return (member.gone && !member.finished) || (member.finished && member.stopped);
          });
    if (broken || !gang.failedMember().empty()) {
        if (!job.stopCause)
            job.stopCause = stop_reason::GangBroken;
        stopGang(job, now);
    }
}

void cell_planner::finishGang(planned_job &job, time_point now)
{
    const job_key key = job.spec.key;
    const gang_coordinator gang = std::move(*job.gang);
    job.gang.reset();
    m_pendingGangs.erase(key);
    m_recovering.erase(key);
    std::vector<worker_id> reporters;
    for (const auto &[worker, member] : gang.members()) {
        if (member.finished)
            reporters.push_back(worker);
        const auto state = m_workers.find(worker);
        if (state != m_workers.end())
            state->second->gangs.erase(key);
    }
    const bool neverStarted = gang.provenNeverStarted();
    if (!neverStarted)
        ++job.startedAttempts;
    if (!neverStarted && job.stopCause && !gang.allSucceeded())
        ++m_counters.gangsStopped[*job.stopCause];
    const worker_id failedOn = gang.failedMember();
    const bool hasResult = gang.allSucceeded() || !failedOn.empty();
    job.resultAttempt = gang.attempt();
    job.resultWorkers = reporters;
    const bool unknownBefore = job.outcome && *job.outcome == job_outcome::Unknown;

    if (job.mustReadRecord && !job.baseRevision) {
        // The job was found in an inventory after it had ended in this epoch. Its record has the
        // outcome. The agents keep their results until they are notified that the result is stored.
        removeFromEngine(job, {stop_result::Stopped, {}, 0, false}, now);
        park(job, parkDelay, now);
    } else if (gang.allSucceeded() && (!job.outcome || unknownBefore)) {
        removeFromEngine(job, {stop_result::Finished, {}, 1, false}, now);
        job.results = gang.collectResults();
        conclude(job, job_outcome::Completed, std::nullopt, now);
    } else if (job.outcome) {
        removeFromEngine(job, {stop_result::Stopped, {}, 0, false}, now);
        job.place = job_place::Ended;
        if (unknownBefore && hasResult) {
            job.results = gang.collectResults();
            conclude(job, job_outcome::Failed, makeFailure(code::TaskFailed, "a task failed"), now);
        } else {
            retire(job, now);
        }
    } else if (job.cancelled) {
        removeFromEngine(job, {stop_result::Stopped, {}, 0, false}, now);
        endWithoutResult(job, cancelFailure(), now);
    } else if (neverStarted) {
        const bool known = job.place == job_place::Placed;
        removeFromEngine(job, {stop_result::NeverStarted, gang.refusingMember(), 0, false}, now);
        if (job.why && job.why->number == code::DeadlinePassed) {
            endWithoutResult(job, *job.why, now);
        } else {
            const duration delay = known ? backoff(parkDelay, maxParkDelay, job.parkCount++) : 0ms;
            park(job, delay, now);
        }
    } else if (!failedOn.empty()) {
        ++job.failedAttempts;
        const bool retry = job.spec.idempotent && job.failedAttempts < maxFailedAttempts;
        if (retry) {
            requeueOrEnd(job, {stop_result::Failed, failedOn, 0, true}, now);
        } else {
            removeFromEngine(job, {stop_result::Failed, failedOn, 0, false}, now);
            job.results = gang.collectResults();
            const code number
                = job.spec.idempotent ? code::FailedOnSeveralWorkers : code::TaskFailed;
            conclude(job, job_outcome::Failed, makeFailure(number, "a task failed"), now);
        }
    } else if (job.stopCause == stop_reason::Exceeded) {
        removeFromEngine(job, {stop_result::Stopped, {}, 0, false}, now);
        conclude(
            job, job_outcome::Failed,
            makeFailure(code::ExceededDeclaration, "a task used more resources than it declared"),
            now);
    } else if (job.spec.idempotent || (job.spec.canCheckpoint && gang.allCheckpointed())) {
        if (gang.allCheckpointed() && job.spec.canCheckpoint)
            job.progress = std::max(job.progress, gang.progress());
        requeueOrEnd(job, {stop_result::Stopped, {}, job.progress, true}, now);
    } else {
        removeFromEngine(job, {stop_result::Stopped, {}, 0, false}, now);
        conclude(job, job_outcome::Unknown,
                 makeFailure(code::OutcomeUnknown,
                             "the job may have run, and a second start is not allowed"),
                 now);
    }
    for (const worker_id &worker : gang.workers()) {
        const auto state = m_workers.find(worker);
        if (state != m_workers.end())
            updateWorker(*state->second, now);
    }
}

void cell_planner::requeueOrEnd(planned_job &job, stopped_event event, time_point now)
{
    for (const worker_id &worker : std::exchange(job.resultWorkers, {}))
        sendTo(worker, result_stored_message{job.resultAttempt, m_options.number});
    job.queuedSince = now;
    m_updated.insert(job.spec.key);
    if (!job.hasPayload) {
        event.requeue = false;
        removeFromEngine(job, event, now);
        job.place = job_place::Ended;
        m_orphans.insert(job.spec.key); // the entry submits the job again
        return;
    }
    if (job.place == job_place::Placed) {
        job.place = job_place::Queued;
        m_engine->jobStopped(job.spec.key, event, now);
        return;
    }
    park(job, 0ms, now);
}

void cell_planner::reviewPendingGangs(time_point now)
{
    const std::vector<job_key> keys(m_pendingGangs.begin(), m_pendingGangs.end());
    for (const job_key &key : keys) {
        planned_job *job = find(key);
        if (!job || !job->gang) {
            m_pendingGangs.erase(key);
            continue;
        }
        gang_coordinator &gang = *job->gang;
        const duration inPhase = now - gang.phaseSince;
        const duration sinceHold = now - gang.holdSentAt;
        constexpr duration stopGrace = 3s;
        switch (gang.phase) {
        case gang_phase::Waiting:
            if (mayStart(now))
                hold(*job, now);
            break;
        case gang_phase::Holding:
            if (sinceHold < startSendLimit)
                break;
            for (auto &[worker, member] : gang.members()) {
                if (!member.held && !member.refused)
                    member.refused
                        = makeFailure(code::HoldExpired, "the worker did not reply to the hold");
            }
            abortGang(*job, now);
            break;
        case gang_phase::WritingIntent:
            // An idempotent job starts without a stored intent rather than let its holds expire.
            if (sinceHold >= startSendLimit - parkDelay)
                afterIntent(*job, false, now);
            break;
        case gang_phase::Starting:
            if (inPhase >= startReplyTimeout)
                abortGang(*job, now);
            break;
        case gang_phase::Stopping:
            if (inPhase >= job->spec.stopTime + stopGrace)
                abortGang(*job, now);
            else if (now - gang.lastSentAt >= stopRepeatInterval)
                sendStops(*job, now);
            break;
        case gang_phase::Aborting:
            if (now - gang.lastSentAt >= stopRepeatInterval)
                sendStops(*job, now);
            break;
        case gang_phase::Recovering:
            reviewRecovery(*job, now);
            break;
        case gang_phase::Running:
            m_pendingGangs.erase(key);
            break;
        }
    }
}

} // namespace goldcrest
