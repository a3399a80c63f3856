// Messages between the planner and agents, and recovery of the gangs of an earlier planner.

#include "goldcrest/cell_planner_state.h"
#include "goldcrest/log_fields.h"

#include <utility>

namespace goldcrest {

namespace {

// Minimum interval between inventory requests to one worker.
constexpr duration inventoryInterval = 1s;

// The planner requests an inventory when more than this many consecutive heartbeats report a part
// count that differs from its own. A single one may differ because a message is in transit.
constexpr std::int32_t maxPartCountMismatches = 2;

// Returns whether a refusal of a start proves that no task was started: the agent sends these codes
// before it calls its backend server.
bool provesNothingStarted(code number)
{
    return number == code::StaleEpoch || number == code::HoldRefused || number == code::HoldExpired
        || number == code::AttemptAborted || number == code::WorkerDraining;
}

} // namespace

void cell_planner::beginRecovery(planned_job &job, const job_record &record, time_point now)
{
    if (job.place == job_place::Queued)
        m_engine->jobCancelled(job.spec.key, now);
    job.place = job_place::Recovering;
    job.intentAttempt = record.attempt;
    job.intentEpoch = record.intentEpoch;
    job.intentWorkers = record.intentWorkers;
    job.gang.emplace(gang_coordinator::recovered({job.spec.key, record.attempt}, record.intentEpoch,
                                                 job.spec, record.intentWorkers));
    job.gang->phaseSince = now;
    m_pendingGangs.insert(job.spec.key);
    m_recovering.insert(job.spec.key);
    for (const worker_id &worker : record.intentWorkers) {
        worker_state &state = workerOf(worker, now);
        state.gangs.insert(job.spec.key);
        if (!state.inventoryRead || !m_options.mechanisms.inventoryFirst)
            continue;
        // The inventory that was read may be older than the record, so a new one is requested.
        state.inventoryRead = false;
        updateWorker(state, now);
        acknowledge(state, 0, true, now);
    }
}

void cell_planner::reviewRecovery(planned_job &job, time_point now)
{
    gang_coordinator &gang = *job.gang;
    if (configRevision() == 0)
        return;
    if (gang.allReportedStarted()) {
        adopt(job, now);
        return;
    }
    // Tasks on workers that have sent no inventory count as running until their task leases have
    // expired.
    const bool waited = now - gang.phaseSince >= workerLostAfter;
    bool decided = true;
    for (const auto &[worker, member] : gang.members()) {
        const auto state = m_workers.find(worker);
        const bool read
            = state != m_workers.end() && state->second->inventoryRead && !state->second->lost;
        decided = decided && ((member.started && member.tasksKnown) || read);
    }
    std::int32_t tasks = 0;
    for (const auto &[worker, member] : gang.members())
        tasks += member.tasksKnown ? member.part.tasks : 1;
    if ((!decided || tasks < job.spec.tasks) && !waited && m_options.mechanisms.inventoryFirst)
        return;
    for (auto &[worker, member] : gang.members()) {
        const auto state = m_workers.find(worker);
        const bool reachable = state != m_workers.end() && state->second->link != 0;
        if (!reachable && !member.finished)
            member.gone = true;
    }
    abortGang(job, now);
}

void cell_planner::adopt(planned_job &job, time_point now)
{
    const job_key &key = job.spec.key;
    gang_coordinator &gang = *job.gang;
    m_recovering.erase(key);
    m_pendingGangs.erase(key);
    for (const worker_id &worker : gang.workers())
        updateWorker(*m_workers.at(worker), now);
    job.place = job_place::Placed;
    gang.phase = gang_phase::Running;
    gang.phaseSince = now;
    m_engine->jobAdopted(job.spec, gang.parts(), gang.ranFor, now);
    m_updated.insert(key);
    if (job.cancelled)
        m_engine->jobCancelled(key, now);
    reviewGang(job, now);
}

// Returns the worker's state. Creates it for a worker that is known only as a member of a gang and
// has not connected, so that the worker is declared lost after the usual time.
cell_planner::worker_state &cell_planner::workerOf(const worker_id &worker, time_point now)
{
    std::unique_ptr<worker_state> &state = m_workers[worker];
    if (!state) {
        state = std::make_unique<worker_state>();
        state->info.id = worker;
        state->lastContactAt = now;
    }
    return *state;
}

bool cell_planner::awaitsRecovery(const worker_id &worker) const
{
    return std::any_of(m_recovering.begin(), m_recovering.end(), [&](const job_key &key) {
        const auto found = m_jobs.find(key);
        return found != m_jobs.end() && found->second->gang
            && found->second->gang->contains(worker);
    });
}

void cell_planner::acknowledge(worker_state &worker, std::uint64_t sequence,
                               bool inventoryRequested, time_point now)
{
    const duration unconfirmed = 1h; // age reported before the first confirmation
    // An agent sends its results again with each inventory, so inventory requests are rate-limited.
    if (inventoryRequested && worker.inventoryRequestedAt
        && now - *worker.inventoryRequestedAt < inventoryInterval) {
        if (sequence == 0)
            return;
        inventoryRequested = false;
    }
    if (inventoryRequested)
        worker.inventoryRequestedAt = now;
    send(worker.link,
         heartbeat_ack_message{m_options.number, sequence, configRevision(),
                               m_config.confirmedAge(now).value_or(unconfirmed),
                               inventoryRequested});
}

void cell_planner::handle(link_id link, const inventory_message &inventory, time_point now)
{
    checkEpoch(inventory.highestEpoch);
    if (m_steppedDown)
        return;
    worker_state &worker = workerOf(inventory.worker.id, now);
    // An agent that has opened another link sends nothing on the earlier one, so what still arrives
    // there is older than what the other one has brought.
    if (link < worker.newestLink) {
        log_line(log_level::Info, "inventory on an earlier link ignored")
            .field("worker", inventory.worker.id)
            .limit(inventory.worker.id)
            .write();
        return;
    }
    worker.newestLink = link;
    const bool newLink = worker.link != link;
    if (newLink && worker.link != 0)
        m_agentLinks.erase(worker.link);
    const bool resized = worker.info.capacity != inventory.worker.capacity;
    worker.info = inventory.worker;
    worker.link = link;
    worker.lastContactAt = now;
    worker.suspect = false;
    worker.lost = false;
    worker.draining = inventory.draining;
    worker.backendReachable = inventory.backendReachable;
    worker.partCountMismatches = 0;
    m_agentLinks[link] = inventory.worker.id;
    if (resized && worker.inEngine == worker_state::engine_view::Up)
        worker.inEngine = worker_state::engine_view::Suspended;
    if (m_loaded) {
        worker.inventoryRead = true;
        if (m_options.mechanisms.inventoryFirst)
            readParts(worker, inventory, newLink, now);
    }
    updateWorker(worker, now);
    acknowledge(worker, 0, false, now);
    reviewPendingGangs(now);
}

void cell_planner::readParts(worker_state &worker, const inventory_message &inventory, bool newLink,
                             time_point now)
{
    std::set<attempt_id> listed;
    for (const running_part &reported : inventory.parts) {
        listed.insert(reported.gang.attempt);
        noteReportedPart(worker, reported, now);
    }
    const std::set<job_key> gangs = worker.gangs;
    for (const job_key &key : gangs) {
        planned_job *job = find(key);
        member_status *member = job && job->gang ? job->gang->member(worker.info.id) : nullptr;
        if (!member || listed.count(job->gang->attempt()) != 0 || member->isOver())
            continue;
        // Without a reply from the member, the start message may still be in transit on this link.
        if (member->started || member->abortAnswered) {
            member->gone = true;
            reviewGang(*job, now);
        } else if (newLink && job->gang->phase == gang_phase::Starting) {
            abortGang(*job, now);
        }
    }
}

void cell_planner::noteReportedPart(worker_state &worker, const running_part &reported,
                                    time_point now)
{
    // The engine may have just placed this job. Its pending actions are applied first, so that the
    // gang of that placement exists; otherwise the job would be removed from the engine while its
    // place_action is still pending.
    applyEngineActions(now);
    const attempt_id &attempt = reported.gang.attempt;
    const auto release = [&] {
        if (reported.finished)
            send(worker.link, result_stored_message{attempt, m_options.number});
        else
            send(worker.link, abort_message{attempt, m_options.number});
    };
    planned_job *job = find(attempt.job);
    if (!job && m_finished.contains(attempt.job)) {
        release();
        return;
    }
    if (!job) {
        std::vector<running_part> &parts = m_unknownParts[attempt.job];
        if (parts.empty())
            m_actions.emplace_back(read_record{attempt.job});
        parts.push_back(reported);
        return;
    }
    job->lastAttempt = std::max(job->lastAttempt, attempt.number);
    const bool unknown = job->outcome && *job->outcome == job_outcome::Unknown;
    const bool ended = job->outcome && !unknown;
    const bool stale = attempt.number < job->intentAttempt;
    const bool ownUnstarted = job->gang && job->place == job_place::Placed
        && !job->gang->anyStartSent() && !(job->gang->attempt() == attempt);
    if (ownUnstarted && !job->outcome && !stale)
        abortGang(*job, now); // the attempt that already runs continues instead
    const bool superseded = job->place == job_place::Recovering && job->gang
        && job->gang->phase == gang_phase::Recovering
        && job->gang->attempt().number < attempt.number;
    if (superseded)
        dropRecovering(*job, now);
    const bool found = !job->gang && !ended && !stale && !job->cancelled;
    if (found) {
        if (job->place == job_place::Queued)
            m_engine->jobCancelled(attempt.job, now);
        job->gang.emplace(attempt, reported.gang.plannerEpoch, job->spec, std::vector<gang_part>{});
        job->gang->phase = gang_phase::Recovering;
        job->gang->phaseSince = now;
        job->place = job_place::Recovering;
        m_pendingGangs.insert(attempt.job);
        m_recovering.insert(attempt.job);
    }
    const bool current = job->gang && job->gang->attempt() == attempt
        && job->gang->attemptEpoch() == reported.gang.plannerEpoch;
    if (!current) {
        const bool pending = ended && !job->durable && reported.finished;
        if (!pending)
            release();
        return;
    }
    job->gang->noteReportedPart(reported);
    for (const worker_id &id : job->gang->workers()) {
        worker_state &other = workerOf(id, now);
        other.gangs.insert(attempt.job);
        // The inventories of the other members may be older than this gang.
        if (found && id != worker.info.id && other.inventoryRead) {
            other.inventoryRead = false;
            updateWorker(other, now);
            acknowledge(other, 0, true, now);
        }
    }
    reviewGang(*job, now);
}

// Drops a recovering gang because an inventory lists a later attempt of the job. The intent of that
// attempt could not be written; only idempotent jobs start without one.
void cell_planner::dropRecovering(planned_job &job, time_point now)
{
    const gang_coordinator gang = std::move(*job.gang);
    job.gang.reset();
    m_recovering.erase(job.spec.key);
    m_pendingGangs.erase(job.spec.key);
    for (const auto &[id, member] : gang.members()) {
        worker_state &worker = workerOf(id, now);
        worker.gangs.erase(job.spec.key);
        if (member.finished)
            send(worker.link, result_stored_message{gang.attempt(), m_options.number});
        else if (member.started)
            send(worker.link, abort_message{gang.attempt(), m_options.number});
    }
}

void cell_planner::handle(link_id link, const heartbeat_message &heartbeat, time_point now)
{
    checkEpoch(heartbeat.plannerEpoch);
    const auto found = m_agentLinks.find(link);
    if (found == m_agentLinks.end() || m_steppedDown) {
        send(link,
             heartbeat_ack_message{m_options.number, heartbeat.sequence, configRevision(), 0ms,
                                   true});
        return;
    }
    worker_state &worker = *m_workers.at(found->second);
    worker.lastContactAt = now;
    worker.suspect = false;
    worker.lost = false;
    worker.draining = heartbeat.draining;
    worker.backendReachable = heartbeat.backendReachable;
    std::int32_t expected = 0;
    for (const job_key &key : worker.gangs) {
        const planned_job *job = find(key);
        if (job && job->gang && job->gang->anyStartSent())
            ++expected;
    }
    worker.partCountMismatches
        = expected == heartbeat.partCount ? 0 : worker.partCountMismatches + 1;
    const bool inventoryRequested
        = !worker.inventoryRead || worker.partCountMismatches > maxPartCountMismatches;
    if (inventoryRequested)
        worker.partCountMismatches = 0;
    updateWorker(worker, now);
    for (const usage_report &usage : heartbeat.usage) {
        const planned_job *job = find(usage.attempt.job);
        const bool placed = job && job->place == job_place::Placed && job->gang
            && job->gang->attempt() == usage.attempt && job->gang->phase == gang_phase::Running;
        if (placed)
            m_engine->usageReported(usage.attempt.job, worker.info.id, usage.used, now);
    }
    acknowledge(worker, heartbeat.sequence, inventoryRequested, now);
}

void cell_planner::handle(link_id link, const drain_notice_message &notice, time_point now)
{
    const auto found = m_agentLinks.find(link);
    if (found == m_agentLinks.end())
        return;
    worker_state &worker = *m_workers.at(found->second);
    worker.draining = notice.draining;
    updateWorker(worker, now);
    abortGangsOnUnusableWorkers(now);
}

void cell_planner::handle(link_id, const hold_reply_message &reply, time_point now)
{
    planned_job *job = find(reply.attempt.job);
    if (!job || !job->gang || !(job->gang->attempt() == reply.attempt)
        || job->gang->phase != gang_phase::Holding || reply.plannerEpoch != m_options.number)
        return;
    member_status *member = job->gang->member(reply.worker);
    if (!member)
        return;
    if (reply.refused) {
        ++m_counters.holdsRefused[reply.refused->number];
        member->refused = reply.refused;
        abortGang(*job, now);
        return;
    }
    member->held = true;
    if (job->gang->allHeld())
        afterHolds(*job, now);
}

void cell_planner::handle(link_id, const task_started_message &started, time_point now)
{
    planned_job *job = find(started.attempt.job);
    if (!job || !job->gang || !(job->gang->attempt() == started.attempt)
        || started.plannerEpoch != job->gang->attemptEpoch())
        return;
    member_status *member = job->gang->member(started.worker);
    if (!member)
        return;
    if (!started.refused) {
        member->started = true;
    } else if (!member->started && !member->finished) {
        member->refused = started.refused;
        if (provesNothingStarted(started.refused->number))
            member->neverStarted = true;
    }
    reviewGang(*job, now);
}

void cell_planner::handle(link_id link, const abort_reply_message &reply, time_point now)
{
    planned_job *job = find(reply.attempt.job);
    if (!job || !job->gang || !(job->gang->attempt() == reply.attempt)
        || reply.plannerEpoch != m_options.number)
        return;
    member_status *member = job->gang->member(reply.worker);
    if (!member)
        return;
    if (!reply.everStarted) {
        member->neverStarted = true;
    } else if (!member->finished) {
        // The next inventory shows whether the tasks still run.
        member->abortAnswered = true;
        const auto worker = m_agentLinks.find(link);
        if (worker != m_agentLinks.end())
            acknowledge(*m_workers.at(worker->second), 0, true, now);
    }
    reviewGang(*job, now);
}

void cell_planner::handle(link_id link, const task_finished_message &finished, time_point now)
{
    const attempt_id &attempt = finished.attempt;
    planned_job *job = find(attempt.job);
    if (job && job->gang && job->gang->noteFinished(finished)) {
        const member_status *member = job->gang->member(finished.worker);
        if (member->finished)
            reviewGang(*job, now);
        return;
    }
    const bool isCurrentResult
        = job && !job->gang && job->outcome && job->resultAttempt == attempt && !job->durable;
    if (isCurrentResult || !m_loaded || !finished.last)
        return;
    const bool unknown = job && job->outcome && *job->outcome == job_outcome::Unknown;
    const bool over = !job ? m_finished.contains(attempt.job) : (job->durable && !unknown);
    const auto worker = m_agentLinks.find(link);
    if (over)
        send(link, result_stored_message{attempt, m_options.number});
    else if (worker != m_agentLinks.end())
        acknowledge(*m_workers.at(worker->second), 0, true, now); // see noteReportedPart()
}

void cell_planner::updateWorker(worker_state &worker, time_point now)
{
    using engine_view = worker_state::engine_view;
    if (worker.lost) {
        if (worker.inEngine == engine_view::Up || worker.inEngine == engine_view::Suspended) {
            worker.inEngine = engine_view::Down;
            m_engine->workerDown(worker.info.id, now);
        }
        return;
    }
    if (!worker.inventoryRead && worker.inEngine == engine_view::Absent)
        return;
    const bool takesWork = worker.link != 0 && worker.inventoryRead && !worker.draining
        && worker.backendReachable && !worker.suspect && !awaitsRecovery(worker.info.id);
    if (takesWork && worker.inEngine != engine_view::Up) {
        worker.inEngine = engine_view::Up;
        m_engine->workerUp(worker.info, now);
    }
    if (takesWork || worker.inEngine == engine_view::Suspended)
        return;
    if (worker.inEngine != engine_view::Up)
        m_engine->workerUp(worker.info, now);
    worker.inEngine = engine_view::Suspended;
    m_engine->workerSuspended(worker.info.id, now);
}

void cell_planner::markWorkerLost(worker_state &worker, time_point now)
{
    worker.lost = true;
    worker.inventoryRead = false;
    const std::set<job_key> gangs = worker.gangs;
    updateWorker(worker, now);
    for (const job_key &key : gangs) {
        planned_job *job = find(key);
        member_status *member = job && job->gang ? job->gang->member(worker.info.id) : nullptr;
        if (!member || member->isOver())
            continue;
        member->gone = true;
        if (!job->stopCause)
            job->stopCause = stop_reason::WorkerLost;
        reviewGang(*job, now);
    }
}

void cell_planner::checkWorkers(time_point now)
{
    for (auto &[id, worker] : m_workers) {
        const duration sinceContact = now - worker->lastContactAt;
        // A replaced planner gets no more heartbeats from any worker and must not stop their tasks.
        if (!worker->lost && sinceContact >= workerLostAfter && isEntitled(now)) {
            markWorkerLost(*worker, now);
        } else if (!worker->suspect && sinceContact >= workerSuspectAfter) {
            worker->suspect = true;
            updateWorker(*worker, now);
        }
    }
}

} // namespace goldcrest
