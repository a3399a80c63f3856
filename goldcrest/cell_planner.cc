#include "goldcrest/cell_planner.h"

#include "goldcrest/cell_planner_state.h"
#include "goldcrest/membership.h"

#include <utility>

namespace goldcrest {

namespace {

// First delay and largest delay before a job whose attempt could not start is queued again.
constexpr duration parkDelay = 200ms;
constexpr duration maxParkDelay = 5s;

// Delay between two tries to read or write a record while the store does not answer.
constexpr duration storeRetryDelay = 1s;
constexpr duration maxStoreRetryDelay = 8s;

// Stops and aborts are sent again until they are answered.
constexpr duration stopRepeatInterval = 2s;

// Entries that have been gone for this long are forgotten while the store confirms the
// configuration, since entry hosts may be replaced at any time.
constexpr duration entryMemory = 60s;

// A worker is asked for its inventory at most this often.
constexpr duration inventoryInterval = 1s;

// A longer time between two ticks means that this process was paused.
constexpr duration longestTickGap = 1s;

constexpr duration outageQueryInterval = 500ms;

// The entry that accepted a job during an outage creates its record, since it knows the digest of
// the request. The planner creates it only if that entry seems to be gone.
constexpr duration entryRecordLimit = 60s;

// Wall clocks of two hosts differ by less than this.
constexpr duration wallClockMargin = 10s;

// Larger results are not part of an update; the entry reads them from the store.
constexpr std::size_t maxUpdateBytes = 1024 * 1024;

// Idempotent work waits this long for its record, which may say that it has ended already.
constexpr duration recordReadLimit = 1s;

// An idempotent job whose tasks failed is tried this often.
constexpr std::int32_t maxFailedAttempts = 3;

// Finished jobs remembered to answer late messages; at 17,000 jobs a day and 11 cells this is more
// than a day of one cell.
constexpr std::size_t maxFinishedMemory = 20000;

// The planner asks for an inventory after this many heartbeats with another part count than its
// own; one may differ because a message is under way.
constexpr std::int32_t tolerableDifferences = 2;

duration backoff(duration first, duration most, std::int32_t tries)
{
    constexpr std::int32_t maxDoublings = 6;
    const std::int32_t doublings = std::min(tries, maxDoublings);
    return std::min(most, first * (1 << doublings));
}

failure cancelFailure()
{
    return makeFailure(code::Cancelled, "the caller cancelled the job");
}

failure deadlineFailure()
{
    return makeFailure(code::DeadlinePassed, "the deadline passed before the start");
}

std::size_t resultBytes(const std::vector<task_result> &results)
{
    std::size_t bytes = 0;
    for (const task_result &each : results)
        bytes += each.output.size();
    return bytes;
}

} // namespace

cell_planner::cell_planner(planner_options options, std::unique_ptr<scheduler> engine,
                           std::unique_ptr<outage_policy> policy, time_point now)
    : m_options(std::move(options))
    , m_engine(std::move(engine))
    , m_policy(std::move(policy))
    , m_startedAt(now)
    , m_nextLoad(now)
{ }

cell_planner::~cell_planner() = default;

std::vector<planner_action> cell_planner::takeActions()
{
    return std::exchange(m_actions, {});
}

void cell_planner::send(link_id link, message content)
{
    if (link != 0)
        m_actions.emplace_back(send_message{link, std::move(content)});
}

void cell_planner::sendTo(const worker_id &worker, message content)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end())
        send(found->second->link, std::move(content));
}

std::int64_t cell_planner::unixNow(time_point now) const
{
    return m_options.startUnixMs + (now - m_startedAt).count();
}

void cell_planner::checkEpoch(epoch seen)
{
    if (seen <= m_options.number || m_steppedDown)
        return;
    m_steppedDown = true;
    m_actions.emplace_back(step_down{"an agent has seen a planner with a higher epoch"});
}

// ---- Lease, configuration and the start gate ----

void cell_planner::leaseChanged(bool holds, bool storeSilent, time_point now)
{
    const bool wasSilent = m_storeSilent;
    m_leaseHolds = holds;
    m_storeSilent = storeSilent;
    if (wasSilent && !storeSilent)
        releaseParked(now);
    pump(now);
}

void cell_planner::noteStoreAnswer(bool answered, time_point now)
{
    if (answered && m_storeSilent)
        leaseChanged(m_leaseHolds, false, now);
    if (!answered)
        m_storeSilent = true;
}

bool cell_planner::mayStart(time_point now) const
{
    return !m_handingOver && m_loaded && isEntitled(now);
}

bool cell_planner::isEntitled(time_point now) const
{
    if (m_steppedDown || m_config.current().number == 0)
        return false;
    if (m_leaseHolds && m_config.isFresh(now))
        return true;
    // The lease can't be renewed while the store is silent, so the entries' answers stand in for
    // it.
    return m_storeSilent && m_policy->mayContinue(takeCensus(now));
}

outage_census cell_planner::takeCensus(time_point now) const
{
    outage_census census;
    for (const auto &[name, entry] : m_entries) {
        ++census.known;
        const bool recent
            = entry->answeredAskedAt && now - *entry->answeredAskedAt <= outageAnswerLimit;
        if (entry->link == 0 || !recent)
            continue;
        ++census.answered;
        if (entry->heardFromStore)
            ++census.heardFromStore;
        if (entry->highestRevision > configRevision())
            ++census.newerRevision;
    }
    return census;
}

void cell_planner::askEntries(time_point now)
{
    if (now < m_nextQuery || (m_leaseHolds && m_config.isFresh(now)))
        return;
    m_nextQuery = now + outageQueryInterval;
    const std::optional<duration> age = m_config.confirmedAge(now);
    if (!age)
        return;
    for (auto &[name, entry] : m_entries) {
        if (entry->link == 0)
            continue;
        entry->query = ++m_query;
        entry->askedAt = now;
        send(entry->link, outage_query_message{entry->query, *age});
    }
}

void cell_planner::handle(link_id link, const outage_reply_message &reply, time_point now)
{
    const auto found = m_entryLinks.find(link);
    if (found == m_entryLinks.end())
        return;
    entry_state &entry = *m_entries.at(found->second);
    if (reply.query != entry.query)
        return;
    entry.answeredAskedAt = entry.askedAt;
    entry.heardFromStore = reply.heardFromStore;
    entry.highestRevision = reply.highestRevision;
    reviewTransient(now);
}

void cell_planner::configurationOffered(const configuration &config, std::optional<duration> age,
                                        time_point now)
{
    const bool taken = m_config.offer(config);
    if (age)
        m_config.confirm(config.number, *age, now);
    if (!taken)
        return;
    m_engine->applyConfiguration(m_config.current(), now);
    dropForbiddenHolds(now);
    pump(now);
    for (const auto &[link, name] : m_entryLinks)
        acknowledgeConfiguration(link);
}

void cell_planner::acknowledgeConfiguration(link_id link)
{
    if (!m_steppedDown)
        send(link, config_ack_message{m_options.cell, m_options.number, configRevision()});
}

void cell_planner::configurationConfirmed(revision number, duration age, time_point now)
{
    m_config.confirm(number, age, now);
    reviewTransient(now);
    pump(now);
}

void cell_planner::dropForbiddenHolds(time_point now)
{
    const std::set<job_key> transient = m_transient;
    for (const job_key &key : transient) {
        planned_job *job = find(key);
        if (!job || !job->gang)
            continue;
        const gang_phase phase = job->gang->phase;
        const bool unstarted = phase == gang_phase::Waiting || phase == gang_phase::Holding
            || phase == gang_phase::WritingIntent;
        const std::vector<worker_id> workers = job->gang->workers();
        const bool forbidden = std::any_of(workers.begin(), workers.end(),
                                           [&](const auto &worker) { return !isUsable(worker); });
        if (unstarted && forbidden)
            abortGang(*job, now);
    }
}

bool cell_planner::isUsable(const worker_id &worker) const
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return false;
    const worker_state &state = *found->second;
    const configuration &config = m_config.current();
    return state.link != 0 && state.inventoryRead && !state.draining && state.backendReachable
        && !state.suspect && !state.lost && !isBlocked(worker)
        && config.domainsOut.count(state.info.failureDomain) == 0
        && config.drainedWorkers.count(worker) == 0;
}

// ---- Entries ----

void cell_planner::entryOpened(link_id link, const std::string &name, time_point)
{
    std::unique_ptr<entry_state> &entry = m_entries[name];
    if (!entry)
        entry = std::make_unique<entry_state>();
    if (entry->link != 0)
        m_entryLinks.erase(entry->link);
    entry->link = link;
    entry->answeredAskedAt.reset();
    m_entryLinks[link] = name;
    acknowledgeConfiguration(link);
}

void cell_planner::linkClosed(link_id link, time_point now)
{
    const auto entry = m_entryLinks.find(link);
    if (entry != m_entryLinks.end()) {
        entry_state &state = *m_entries.at(entry->second);
        state.link = 0;
        state.closedAt = now;
        m_entryLinks.erase(entry);
        for (auto &[key, job] : m_jobs)
            job->watchers.erase(link);
    }
    const auto agent = m_agentLinks.find(link);
    if (agent != m_agentLinks.end()) {
        worker_state &worker = *m_workers.at(agent->second);
        m_agentLinks.erase(agent);
        if (worker.link == link) {
            worker.link = 0;
            worker.inventoryRead = false;
            updateWorker(worker, now);
            dropForbiddenHolds(now);
        }
    }
    pump(now);
}

void cell_planner::received(link_id link, const message &content, time_point now)
{
    if (m_steppedDown)
        return;
    std::visit([&](const auto &typed) { handle(link, typed, now); }, content);
    pump(now);
    flushUpdates(now);
}

void cell_planner::handle(link_id link, const submit_job_message &submit, time_point now)
{
    const job_key &key = submit.spec.key;
    if (planned_job *job = find(key)) {
        job->watchers.insert(link);
        if (!job->hasPayload) {
            job->spec = submit.spec;
            job->hasPayload = true;
        }
        if (submit.recorded && !job->recorded) {
            job->recorded = true;
            if (!job->storeBusy)
                job->baseRevision.reset();
            pumpRecord(*job, now);
        }
        sendUpdate(*job, link, now);
        return;
    }
    planned_job &job = addJob(submit.spec, now);
    job.mustRead = m_finished.count(key) != 0;
    job.watchers.insert(link);
    job.recorded = submit.recorded;
    job.acceptedAtUnixMs = submit.acceptedAtUnixMs;
    noteEarlierPlanners(job);
    if (job.spec.deadline > 0ms) {
        const std::int64_t left = job.acceptedAtUnixMs + job.spec.deadline.count() - unixNow(now);
        m_deadlines.emplace(now + duration(left), key);
    }
    // An entry may submit a job that an earlier planner has finished, so the record is read first.
    // Idempotent work does not wait for it.
    pumpRecord(job, now);
    park(job, 0ms, now);
    releaseParked(now);
    sendUpdate(job, link, now);
}

void cell_planner::handle(link_id link, const cancel_job_message &cancel, time_point now)
{
    planned_job *job = find(cancel.job);
    if (!job)
        return;
    job->watchers.insert(link);
    if (job->outcome || job->cancelled)
        return;
    job->cancelled = true;
    const failure why = cancelFailure();
    switch (job->place) {
    case job_place::Parked:
        // Otherwise releaseParked() ends it once its record was read.
        if (isHistoryKnown(*job))
            endWithoutResult(*job, why, now);
        break;
    case job_place::Queued:
        m_engine->jobCancelled(cancel.job, now);
        endWithoutResult(*job, why, now);
        break;
    case job_place::Placed:
        m_engine->jobCancelled(cancel.job, now);
        break;
    case job_place::Recovering:
        abortGang(*job, now);
        break;
    case job_place::Ended:
        break;
    }
}

void cell_planner::handle(link_id link, const explain_job_message &query, time_point now)
{
    explain_reply_message reply;
    reply.query = query.query;
    const planned_job *job = find(query.job);
    if (job && !job->outcome) {
        reply.found = true;
        const std::optional<explanation> text = m_engine->explain(query.job, now);
        if (text) {
            reply.constraint = text->constraint;
            reply.detail = text->detail;
            reply.wouldHelp = text->wouldHelp;
            reply.position = text->position;
        } else if (job->place == job_place::Parked) {
            const bool store = !job->spec.idempotent && m_storeSilent;
            reply.constraint = store ? "store unavailable" : "delay after a refused start";
            reply.detail = store ? "a non-idempotent job starts only after its intent is stored"
                                 : "the job is queued again shortly";
            reply.wouldHelp = store ? "the store answers again" : "nothing is needed";
        } else if (job->gang && job->gang->phase == gang_phase::Waiting) {
            reply.constraint = "configuration not confirmed";
            reply.detail = "the planner has not heard for 3 s that its configuration is current";
            reply.wouldHelp = "the store answers again";
        }
    }
    send(link, std::move(reply));
}

std::string_view cell_planner::stateNameOf(const worker_state &worker) const
{
    const configuration &config = m_config.current();
    if (worker.lost)
        return "lost";
    if (worker.suspect || worker.link == 0)
        return "suspect";
    if (config.domainsOut.count(worker.info.failureDomain) != 0)
        return "out of service";
    if (worker.draining || config.drainedWorkers.count(worker.info.id) != 0)
        return "draining";
    return worker.backendReachable ? "in service" : "suspect";
}

std::map<std::string_view, std::size_t> cell_planner::workersByState() const
{
    std::map<std::string_view, std::size_t> counts
        = {{"in service", 0}, {"draining", 0}, {"out of service", 0}, {"suspect", 0}, {"lost", 0}};
    for (const auto &[id, worker] : m_workers)
        ++counts[stateNameOf(*worker)];
    return counts;
}

void cell_planner::handle(link_id link, const cell_status_request_message &query, time_point)
{
    cell_status_message status;
    status.query = query.query;
    status.cell = m_options.cell;
    status.plannerEpoch = m_options.number;
    status.configRevision = configRevision();
    status.plannerWorker = m_options.worker;
    for (const auto &[id, worker] : m_workers) {
        worker_status entry;
        entry.worker = id;
        entry.failureDomain = worker->info.failureDomain;
        entry.rack = worker->info.rack;
        entry.state = stateNameOf(*worker);
        entry.capacity = worker->info.capacity;
        for (const job_key &key : worker->gangs) {
            planned_job *job = find(key);
            const member_view *member = job && job->gang ? job->gang->member(id) : nullptr;
            if (!member || member->isOver())
                continue;
            entry.tasks += member->part.tasks;
            entry.used += job->spec.perTask * member->part.tasks;
        }
        status.workers.push_back(std::move(entry));
    }
    const capacity_view capacity = m_engine->capacity();
    status.queuedJobs = static_cast<std::int64_t>(capacity.queuedJobs + m_parked.size());
    status.runningJobs = static_cast<std::int64_t>(capacity.runningJobs);
    status.freeAccelerators = capacity.freeAccelerators;
    status.borrowedAccelerators = capacity.borrowedAccelerators;
    status.unmetGuarantees = capacity.unmetGuarantees;
    send(link, std::move(status));
}

// ---- Jobs ----

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

// ---- Records ----

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
    pumpRecord(job, now);
}

void cell_planner::pumpRecord(planned_job &job, time_point now)
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
        m_unknownParts.erase(parts); // the next inventory asks again
    }
    if (!job || !job->storeBusy) {
        pump(now);
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
            job->createAfter = now + entryRecordLimit;
            if (job->recorded && !job->spec.idempotent && !job->outcome) {
                if (job->place == job_place::Queued)
                    m_engine->jobCancelled(key, now);
                conclude(*job, job_outcome::Unknown,
                         makeFailure(code::OutcomeUnknown, "the job's record is gone"), now);
            }
        }
        pumpRecord(*job, now);
        releaseParked(now);
    }
    pump(now);
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
        // Its entry submitted it in the meantime.
    } else if (found) {
        addLoaded(*found, now);
    } else {
        // Accepted during a store outage and started by an earlier planner. The entry that waits
        // for it submits it again; until then its payload is not known.
        planned_job &job = addJob(parts.front().gang.spec, now);
        job.hasPayload = false;
        job.recorded = false;
        job.runUncertain = true;
        job.baseRevision = 0;
    }
    for (const running_part &seen : parts) {
        const auto worker = m_workers.find(seen.gang.own.worker);
        if (worker != m_workers.end())
            noteSeenPart(*worker->second, seen, now);
    }
}

void cell_planner::recordWritten(const job_key &key, const write_answer &answer, time_point now)
{
    const bool silent
        = answer.status == write_status::Unavailable || answer.status == write_status::Ambiguous;
    noteStoreAnswer(!silent, now);
    planned_job *job = find(key);
    if (!job || m_steppedDown || !job->storeBusy)
        return;
    job->storeBusy = false;
    const std::int32_t intent = std::exchange(job->sentIntent, 0);
    const std::optional<job_outcome> outcome = std::exchange(job->sentOutcome, std::nullopt);
    const bool waits = job->gang && job->gang->phase == gang_phase::WritingIntent
        && job->gang->attempt().number == intent;
    switch (answer.status) {
    case write_status::Applied:
        job->storeFailures = 0;
        job->setBase(std::exchange(job->sentRecord, {}));
        job->baseRevision = answer.modRevision;
        if (waits)
            afterIntent(*job, true, now);
        if (outcome && job->outcome == outcome) {
            job->durable = true;
            m_updated.insert(key);
            retire(*job, now);
        }
        break;
    case write_status::NotLeader:
        m_steppedDown = true;
        m_actions.emplace_back(step_down{"the leader key is not of this epoch"});
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
        if (waits)
            afterIntent(*job, false, now);
        answerOrWait(*job, now);
        break;
    }
    pumpRecord(*job, now);
    pump(now);
    flushUpdates(now);
}

// ---- Decisions of the engine ----

void cell_planner::pump(time_point now)
{
    if (m_pumping || m_steppedDown)
        return;
    m_pumping = true;
    // Each round handles what the engine decided on the events of the round before. The bound
    // keeps a faulty engine from occupying the process.
    constexpr int maxRounds = 1000;
    for (int round = 0; round < maxRounds; ++round) {
        const std::vector<scheduler_action> decided = m_engine->takeActions();
        if (decided.empty())
            break;
        for (const scheduler_action &action : decided)
            std::visit([&](const auto &typed) { apply(typed, now); }, action);
    }
    m_pumping = false;
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
    m_transient.insert(place.job);
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
    const bool policy = stop.reason == stop_reason::Reclaim || stop.reason == stop_reason::Urgent
        || stop.reason == stop_reason::Move || stop.reason == stop_reason::DomainOut;
    if (policy && !job->spec.preemptible() && job->gang->anyStartSent())
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

// ---- Life of a gang ----

void cell_planner::hold(planned_job &job, time_point now)
{
    gang_coordinator &gang = *job.gang;
    for (auto &[worker, member] : gang.members()) {
        if (isUsable(worker))
            continue;
        member.refused = makeFailure(code::HoldRefused, "the worker takes no work now");
        abortGang(job, now);
        return;
    }
    gang.phase = gang_phase::Holding;
    gang.holdSentAt = now;
    const std::string leaderAddress = m_workers.at(gang.leader())->info.address;
    for (auto &[worker, member] : gang.members()) {
        member.holdAsked = true;
        sendTo(worker,
               hold_message{gang.infoFor(worker, m_options.cell, leaderAddress), holdLifetime,
                            configRevision()});
    }
}

void cell_planner::afterHolds(planned_job &job, time_point now)
{
    gang_coordinator &gang = *job.gang;
    const bool absent = !job.recorded && job.baseRevision.value_or(0) == 0;
    const bool needsIntent = !job.spec.idempotent || (!m_storeSilent && !absent);
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
    m_transient.insert(job.spec.key);
    m_recovering.erase(job.spec.key);
    if (!gang.anyStartSent()) {
        for (const auto &[worker, member] : gang.members()) {
            if (member.holdAsked && !member.refused)
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
    m_transient.insert(job.spec.key);
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
        m_transient.erase(job.spec.key);
        job.startDelay = duration(std::max<std::int64_t>(0, unixNow(now) - job.acceptedAtUnixMs));
        job.parkings = 0;
        ++m_counters.gangsStarted[job.spec.className];
        m_engine->jobStarted(job.spec.key, now);
        m_updated.insert(job.spec.key);
    }
    if (gang.phase != gang_phase::Running)
        return;
    const bool broken
        = std::any_of(gang.members().begin(), gang.members().end(), [](const auto &entry) {
              const member_view &member = entry.second;
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
    m_transient.erase(key);
    m_recovering.erase(key);
    std::vector<worker_id> reporters;
    for (const auto &[worker, member] : gang.members()) {
        if (member.finished)
            reporters.push_back(worker);
        const auto state = m_workers.find(worker);
        if (state != m_workers.end())
            state->second->gangs.erase(key);
    }
    const bool never = gang.provenNeverStarted();
    if (!never)
        ++job.startedAttempts;
    if (!never && job.stopCause && !gang.allSucceeded())
        ++m_counters.gangsStopped[*job.stopCause];
    const worker_id failedOn = gang.failedMember();
    const bool hasResult = gang.allSucceeded() || !failedOn.empty();
    job.resultAttempt = gang.attempt();
    job.resultWorkers = reporters;
    const bool unknownBefore = job.outcome && *job.outcome == job_outcome::Unknown;

    if (job.mustRead && !job.baseRevision) {
        // Found in an inventory after it had ended here; its record says how. The agents keep their
        // results until they are told that it is stored.
        leaveEngine(job, {stop_result::Stopped, {}, 0, false}, now);
        park(job, parkDelay, now);
    } else if (gang.allSucceeded() && (!job.outcome || unknownBefore)) {
        leaveEngine(job, {stop_result::Finished, {}, 1, false}, now);
        job.results = gang.collectResults();
        conclude(job, job_outcome::Completed, std::nullopt, now);
    } else if (job.outcome) {
        leaveEngine(job, {stop_result::Stopped, {}, 0, false}, now);
        job.place = job_place::Ended;
        if (unknownBefore && hasResult) {
            job.results = gang.collectResults();
            conclude(job, job_outcome::Failed, makeFailure(code::TaskFailed, "a task failed"), now);
        } else {
            retire(job, now);
        }
    } else if (job.cancelled) {
        leaveEngine(job, {stop_result::Stopped, {}, 0, false}, now);
        endWithoutResult(job, cancelFailure(), now);
    } else if (never) {
        const bool known = job.place == job_place::Placed;
        leaveEngine(job, {stop_result::NeverStarted, gang.refusingMember(), 0, false}, now);
        if (job.why && job.why->number == code::DeadlinePassed) {
            endWithoutResult(job, *job.why, now);
        } else {
            const duration delay = known ? backoff(parkDelay, maxParkDelay, job.parkings++) : 0ms;
            park(job, delay, now);
        }
    } else if (!failedOn.empty()) {
        ++job.failedAttempts;
        const bool again = job.spec.idempotent && job.failedAttempts < maxFailedAttempts;
        if (again) {
            requeueOrEnd(job, {stop_result::Failed, failedOn, 0, true}, now);
        } else {
            leaveEngine(job, {stop_result::Failed, failedOn, 0, false}, now);
            job.results = gang.collectResults();
            const code number
                = job.spec.idempotent ? code::FailedOnSeveralWorkers : code::TaskFailed;
            conclude(job, job_outcome::Failed, makeFailure(number, "a task failed"), now);
        }
    } else if (job.stopCause == stop_reason::Exceeded) {
        leaveEngine(job, {stop_result::Stopped, {}, 0, false}, now);
        conclude(job, job_outcome::Failed,
                 makeFailure(code::ExceededDeclaration, "a task used more than it declared"), now);
    } else if (job.spec.idempotent || (job.spec.canCheckpoint && gang.allCheckpointed())) {
        if (gang.allCheckpointed() && job.spec.canCheckpoint)
            job.progress = std::max(job.progress, gang.progress());
        requeueOrEnd(job, {stop_result::Stopped, {}, job.progress, true}, now);
    } else {
        leaveEngine(job, {stop_result::Stopped, {}, 0, false}, now);
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
        leaveEngine(job, event, now);
        job.place = job_place::Ended;
        m_orphans.insert(job.spec.key); // its entry submits it again
        return;
    }
    if (job.place == job_place::Placed) {
        job.place = job_place::Queued;
        m_engine->jobStopped(job.spec.key, event, now);
        return;
    }
    park(job, 0ms, now);
}

void cell_planner::reviewTransient(time_point now)
{
    const std::vector<job_key> keys(m_transient.begin(), m_transient.end());
    for (const job_key &key : keys) {
        planned_job *job = find(key);
        if (!job || !job->gang) {
            m_transient.erase(key);
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
                    member.refused = makeFailure(code::HoldExpired, "no answer to the hold");
            }
            abortGang(*job, now);
            break;
        case gang_phase::WritingIntent:
            // Idempotent work does not wait for a slow store longer than its holds last.
            if (sinceHold >= startSendLimit - parkDelay)
                afterIntent(*job, false, now);
            break;
        case gang_phase::Starting:
            if (inPhase >= startAnswerLimit)
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
            m_transient.erase(key);
            break;
        }
    }
}

// ---- Rebuilding ----

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
    m_transient.insert(job.spec.key);
    m_recovering.insert(job.spec.key);
    for (const worker_id &worker : record.intentWorkers) {
        worker_state &state = workerOf(worker, now);
        state.gangs.insert(job.spec.key);
        if (!state.inventoryRead || !m_options.mechanisms.inventoryFirst)
            continue;
        // The inventory that was read may be older than the record; the next one decides.
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
    if (gang.allSeen()) {
        adopt(job, now);
        return;
    }
    // Attempts on workers that were not seen count as alive until their task leases have ended.
    const bool waited = now - gang.phaseSince >= workerLostAfter;
    bool decided = true;
    for (const auto &[worker, member] : gang.members()) {
        const auto state = m_workers.find(worker);
        const bool read
            = state != m_workers.end() && state->second->inventoryRead && !state->second->lost;
        decided = decided && ((member.started && member.rangeKnown) || read);
    }
    std::int32_t tasks = 0;
    for (const auto &[worker, member] : gang.members())
        tasks += member.rangeKnown ? member.part.tasks : 1;
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
    m_transient.erase(key);
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

// A worker that a gang names and that was never seen gets an entry, and is lost like any other.
cell_planner::worker_state &cell_planner::workerOf(const worker_id &worker, time_point now)
{
    std::unique_ptr<worker_state> &state = m_workers[worker];
    if (!state) {
        state = std::make_unique<worker_state>();
        state->info.id = worker;
        state->heardAt = now;
    }
    return *state;
}

bool cell_planner::isBlocked(const worker_id &worker) const
{
    return std::any_of(m_recovering.begin(), m_recovering.end(), [&](const job_key &key) {
        const auto found = m_jobs.find(key);
        return found != m_jobs.end() && found->second->gang
            && found->second->gang->contains(worker);
    });
}

// ---- Agents ----

void cell_planner::acknowledge(worker_state &worker, std::uint64_t sequence, bool inventoryWanted,
                               time_point now)
{
    const duration unconfirmed = 1h;
    // Each inventory comes with results, so asking on every message would multiply them.
    if (inventoryWanted && worker.inventoryAskedAt
        && now - *worker.inventoryAskedAt < inventoryInterval) {
        if (sequence == 0)
            return;
        inventoryWanted = false;
    }
    if (inventoryWanted)
        worker.inventoryAskedAt = now;
    send(worker.link,
         heartbeat_ack_message{m_options.number, sequence, configRevision(),
                               m_config.confirmedAge(now).value_or(unconfirmed), inventoryWanted});
}

void cell_planner::handle(link_id link, const inventory_message &inventory, time_point now)
{
    checkEpoch(inventory.highestEpoch);
    if (m_steppedDown)
        return;
    worker_state &worker = workerOf(inventory.worker.id, now);
    const bool newLink = worker.link != link;
    if (newLink && worker.link != 0)
        m_agentLinks.erase(worker.link);
    const bool resized = worker.info.capacity != inventory.worker.capacity;
    worker.info = inventory.worker;
    worker.link = link;
    worker.heardAt = now;
    worker.suspect = false;
    worker.lost = false;
    worker.draining = inventory.draining;
    worker.backendReachable = inventory.backendReachable;
    worker.differences = 0;
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
    reviewTransient(now);
}

void cell_planner::readParts(worker_state &worker, const inventory_message &inventory, bool newLink,
                             time_point now)
{
    std::set<attempt_id> listed;
    for (const running_part &seen : inventory.parts) {
        listed.insert(seen.gang.attempt);
        noteSeenPart(worker, seen, now);
    }
    const std::set<job_key> gangs = worker.gangs;
    for (const job_key &key : gangs) {
        planned_job *job = find(key);
        member_view *member = job && job->gang ? job->gang->member(worker.info.id) : nullptr;
        if (!member || listed.count(job->gang->attempt()) != 0 || member->isOver())
            continue;
        // Before an answer, the start may be under way on the same link.
        if (member->started || member->abortAnswered) {
            member->gone = true;
            reviewGang(*job, now);
        } else if (newLink && job->gang->phase == gang_phase::Starting) {
            abortGang(*job, now);
        }
    }
}

void cell_planner::noteSeenPart(worker_state &worker, const running_part &seen, time_point now)
{
    // The engine may just have placed this job on the worker that reported; without the gang of
    // that placement the job would be taken from the engine while the action is still to come.
    pump(now);
    const attempt_id &attempt = seen.gang.attempt;
    const auto release = [&] {
        if (seen.finished)
            send(worker.link, result_stored_message{attempt, m_options.number});
        else
            send(worker.link, abort_message{attempt, m_options.number});
    };
    planned_job *job = find(attempt.job);
    if (!job && m_finished.count(attempt.job) != 0) {
        release();
        return;
    }
    if (!job) {
        std::vector<running_part> &parts = m_unknownParts[attempt.job];
        if (parts.empty())
            m_actions.emplace_back(read_record{attempt.job});
        parts.push_back(seen);
        return;
    }
    job->lastAttempt = std::max(job->lastAttempt, attempt.number);
    const bool unknown = job->outcome && *job->outcome == job_outcome::Unknown;
    const bool ended = job->outcome && !unknown;
    const bool stale = attempt.number < job->intentAttempt;
    const bool ownUnstarted = job->gang && job->place == job_place::Placed
        && !job->gang->anyStartSent() && !(job->gang->attempt() == attempt);
    if (ownUnstarted && !job->outcome && !stale)
        abortGang(*job, now); // the attempt that runs goes on instead
    const bool superseded = job->place == job_place::Recovering && job->gang
        && job->gang->phase == gang_phase::Recovering
        && job->gang->attempt().number < attempt.number;
    if (superseded)
        dropRecovering(*job, now);
    const bool found = !job->gang && !ended && !stale && !job->cancelled;
    if (found) {
        if (job->place == job_place::Queued)
            m_engine->jobCancelled(attempt.job, now);
        job->gang.emplace(attempt, seen.gang.plannerEpoch, job->spec, std::vector<gang_part>{});
        job->gang->phase = gang_phase::Recovering;
        job->gang->phaseSince = now;
        job->place = job_place::Recovering;
        m_transient.insert(attempt.job);
        m_recovering.insert(attempt.job);
    }
    const bool current = job->gang && job->gang->attempt() == attempt
        && job->gang->birthEpoch() == seen.gang.plannerEpoch;
    if (!current) {
        const bool pending = ended && !job->durable && seen.finished;
        if (!pending)
            release();
        return;
    }
    job->gang->noteSeen(seen);
    for (const worker_id &id : job->gang->workers()) {
        worker_state &other = workerOf(id, now);
        other.gangs.insert(attempt.job);
        // What was read of the other members may be older than this gang.
        if (found && id != worker.info.id && other.inventoryRead) {
            other.inventoryRead = false;
            updateWorker(other, now);
            acknowledge(other, 0, true, now);
        }
    }
    reviewGang(*job, now);
}

// A later attempt was found, whose intent could not be written; only idempotent work has such.
void cell_planner::dropRecovering(planned_job &job, time_point now)
{
    const gang_coordinator gang = std::move(*job.gang);
    job.gang.reset();
    m_recovering.erase(job.spec.key);
    m_transient.erase(job.spec.key);
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
    worker.heardAt = now;
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
    worker.differences = expected == heartbeat.partCount ? 0 : worker.differences + 1;
    const bool wanted = !worker.inventoryRead || worker.differences > tolerableDifferences;
    if (wanted)
        worker.differences = 0;
    updateWorker(worker, now);
    for (const usage_report &usage : heartbeat.usage) {
        const planned_job *job = find(usage.attempt.job);
        const bool placed = job && job->place == job_place::Placed && job->gang
            && job->gang->attempt() == usage.attempt && job->gang->phase == gang_phase::Running;
        if (placed)
            m_engine->usageReported(usage.attempt.job, worker.info.id, usage.used, now);
    }
    acknowledge(worker, heartbeat.sequence, wanted, now);
}

void cell_planner::handle(link_id link, const drain_notice_message &notice, time_point now)
{
    const auto found = m_agentLinks.find(link);
    if (found == m_agentLinks.end())
        return;
    worker_state &worker = *m_workers.at(found->second);
    worker.draining = notice.draining;
    updateWorker(worker, now);
    dropForbiddenHolds(now);
}

void cell_planner::handle(link_id, const hold_reply_message &reply, time_point now)
{
    planned_job *job = find(reply.attempt.job);
    if (!job || !job->gang || !(job->gang->attempt() == reply.attempt)
        || job->gang->phase != gang_phase::Holding || reply.plannerEpoch != m_options.number)
        return;
    member_view *member = job->gang->member(reply.worker);
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
        || started.plannerEpoch != job->gang->birthEpoch())
        return;
    member_view *member = job->gang->member(started.worker);
    if (!member)
        return;
    if (!started.refused) {
        member->started = true;
    } else if (!member->started && !member->finished) {
        member->refused = started.refused;
        // Any other refusal is proof: it comes before the agent calls its backend server.
        const code number = started.refused->number;
        if (number != code::BackendUnavailable && number != code::OutcomeUnknown)
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
    member_view *member = job->gang->member(reply.worker);
    if (!member)
        return;
    if (!reply.everStarted) {
        member->neverStarted = true;
    } else if (!member->finished) {
        // The inventory tells whether the tasks are still there.
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
        const member_view *member = job->gang->member(finished.worker);
        if (member->finished)
            reviewGang(*job, now);
        return;
    }
    const bool isCurrentResult
        = job && !job->gang && job->outcome && job->resultAttempt == attempt && !job->durable;
    if (isCurrentResult || !m_loaded || !finished.last)
        return;
    const bool unknown = job && job->outcome && *job->outcome == job_outcome::Unknown;
    const bool over = !job ? m_finished.count(attempt.job) != 0 : (job->durable && !unknown);
    const auto worker = m_agentLinks.find(link);
    if (over)
        send(link, result_stored_message{attempt, m_options.number});
    else if (worker != m_agentLinks.end())
        acknowledge(*m_workers.at(worker->second), 0, true, now); // see noteSeenPart()
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
        && worker.backendReachable && !worker.suspect && !isBlocked(worker.info.id);
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

void cell_planner::loseWorker(worker_state &worker, time_point now)
{
    worker.lost = true;
    worker.inventoryRead = false;
    const std::set<job_key> gangs = worker.gangs;
    updateWorker(worker, now);
    for (const job_key &key : gangs) {
        planned_job *job = find(key);
        member_view *member = job && job->gang ? job->gang->member(worker.info.id) : nullptr;
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
        const duration silent = now - worker->heardAt;
        // A planner that was replaced loses all its workers, and must not stop what they run.
        if (!worker->lost && silent >= workerLostAfter && isEntitled(now)) {
            loseWorker(*worker, now);
        } else if (!worker->suspect && silent >= workerSuspectAfter) {
            worker->suspect = true;
            updateWorker(*worker, now);
        }
    }
}

// ---- Time and handover ----

// Time in which this process did not run counts neither as silence of the workers nor as time in
// which their inventories could have been read.
void cell_planner::noteOwnPause(time_point now)
{
    const duration since = now - m_lastTick.value_or(now);
    m_lastTick = now;
    m_awake += std::min(since, longestTickGap);
    if (since <= longestTickGap)
        return;
    for (auto &[id, worker] : m_workers)
        worker->heardAt += since - longestTickGap;
    for (const job_key &key : m_recovering) {
        planned_job *job = find(key);
        if (job && job->gang)
            job->gang->phaseSince += since - longestTickGap;
    }
}

void cell_planner::tick(time_point now)
{
    if (m_steppedDown)
        return;
    noteOwnPause(now);
    if (!m_loaded && now >= m_nextLoad) {
        constexpr duration loadTimeout = 10s;
        m_nextLoad = now + loadTimeout;
        m_actions.emplace_back(load_records{});
    }
    checkWorkers(now);
    expireDeadlines(now);
    askEntries(now);
    reviewTransient(now);
    releaseParked(now);
    const std::set<job_key> dirty = m_dirty;
    for (const job_key &key : dirty) {
        if (planned_job *job = find(key)) {
            pumpRecord(*job, now);
            answerOrWait(*job, now);
        } else {
            m_dirty.erase(key);
        }
    }
    if (m_leaseHolds && m_config.isFresh(now)) {
        for (auto entry = m_entries.begin(); entry != m_entries.end();) {
            const entry_state &state = *entry->second;
            const bool forgotten = state.link == 0 && now - state.closedAt >= entryMemory;
            entry = forgotten ? m_entries.erase(entry) : std::next(entry);
        }
    }
    if (m_loaded)
        m_engine->tick(now);
    pump(now);
    flushUpdates(now);
}

void cell_planner::beginHandover(time_point now)
{
    m_handingOver = true;
    const std::set<job_key> transient = m_transient;
    for (const job_key &key : transient) {
        planned_job *job = find(key);
        if (!job || !job->gang)
            continue;
        const gang_phase phase = job->gang->phase;
        if (phase == gang_phase::Holding || phase == gang_phase::WritingIntent)
            abortGang(*job, now);
    }
    pump(now);
}

bool cell_planner::isHandoverReady() const
{
    const bool starting
        = std::any_of(m_transient.begin(), m_transient.end(), [this](const job_key &key) {
              const auto found = m_jobs.find(key);
              return found != m_jobs.end() && found->second->gang
                  && found->second->gang->phase == gang_phase::Starting;
          });
    const bool writing = std::any_of(m_dirty.begin(), m_dirty.end(), [this](const job_key &key) {
        const auto found = m_jobs.find(key);
        return found != m_jobs.end() && found->second->outcome;
    });
    return !starting && !writing;
}

} // namespace goldcrest
