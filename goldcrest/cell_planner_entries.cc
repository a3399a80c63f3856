// Messages between the planner and entries: submissions, cancellations, explanations and status.

#include "goldcrest/cell_planner_state.h"

#include <utility>

namespace goldcrest {

void cell_planner::entryOpened(link_id link, const std::string &name, time_point)
{
    std::unique_ptr<entry_state> &entry = m_entries[name];
    if (!entry)
        entry = std::make_unique<entry_state>();
    if (entry->link != 0)
        m_entryLinks.erase(entry->link);
    entry->link = link;
    entry->answeredQuerySentAt.reset();
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
            abortGangsOnUnusableWorkers(now);
        }
    }
    applyEngineActions(now);
}

void cell_planner::received(link_id link, const message &content, time_point now)
{
    if (m_steppedDown)
        return;
    std::visit([&](const auto &typed) { handle(link, typed, now); }, content);
    applyEngineActions(now);
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
            syncRecord(*job, now);
        }
        sendUpdate(*job, link, now);
        return;
    }
    planned_job &job = addJob(submit.spec, now);
    job.mustReadRecord = m_finished.contains(key);
    job.watchers.insert(link);
    job.recorded = submit.recorded;
    job.acceptedAtUnixMs = submit.acceptedAtUnixMs;
    markPossibleEarlierRun(job);
    if (job.spec.deadline > 0ms) {
        const std::int64_t left = job.acceptedAtUnixMs + job.spec.deadline.count() - unixNow(now);
        m_deadlines.emplace(now + duration(left), key);
    }
    // An entry may submit a job that an earlier planner has finished, so the record is read first.
    // An idempotent job waits for it only for a limited time.
    syncRecord(job, now);
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
        // Otherwise releaseParked() ends the job once its record has been read.
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
            const bool store = !job->spec.idempotent && m_storeUnresponsive;
            reply.constraint = store ? "store unavailable" : "delay after a refused start";
            reply.detail = store ? "a non-idempotent job starts only after its intent is stored"
                                 : "the job is queued again shortly";
            reply.wouldHelp = store ? "the store answers again" : "nothing is needed";
        } else if (job->gang && job->gang->phase == gang_phase::Waiting) {
            reply.constraint = "configuration not confirmed";
            reply.detail = "the configuration has not been confirmed as current for 3 s";
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
            const member_status *member = job && job->gang ? job->gang->member(id) : nullptr;
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

} // namespace goldcrest
