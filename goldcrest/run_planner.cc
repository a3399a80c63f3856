#include "goldcrest/run_planner.h"

#include "goldcrest/message_codec.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace goldcrest {

namespace {

// Maximum number of decisions kept between two calls of takeDecisions(); further ones are dropped.
constexpr std::size_t maxDecisions = 1000;

// New starts are added to an orders message while it has fewer bytes of starts than this. A frame
// of a link takes twice as much, so that there is room for the last start and for the stops.
constexpr std::size_t maxStartBytes = maxFrameBytes / 2;

// Removes the entries of those tasks of a job for which `isOver(key)` holds.
template<typename T, typename Condition>
void forgetTasks(std::map<task_key, T> &kept, const std::string &job, Condition isOver)
{
    auto next = kept.lower_bound({job, 0, 0, 0});
    while (next != kept.end() && next->first.job == job)
        next = isOver(next->first) ? kept.erase(next) : std::next(next);
}

} // namespace

run_planner::run_planner(const run_planner_options &options, epoch number, time_point electedAt)
    : m_options(options)
    , m_epoch(number)
    , m_electedAt(electedAt)
    , m_held(options.maxHeldBytes)
{ }

void run_planner::recordDecision(std::string_view event, const task_key &task, std::int32_t run,
                                 const worker_id &worker, std::string reason, std::string inputs)
{
    if (event == "run stopped")
        ++m_stopsByReason[reason];
    if (m_decisions.size() < maxDecisions)
        m_decisions.push_back(
            {std::string(event), task, run, worker, std::move(reason), std::move(inputs)});
}

std::vector<run_decision> run_planner::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

void run_planner::noteChanged(tracked_job &job)
{
    if (job.version() > job.storedVersion()) {
        m_changed.insert(job.id());
        m_changedByCheckpoint.erase(job.id());
    }
    if (job.isFinished()) {
        m_unfinished.erase(job.id());
        m_waitsForRoom.erase(job.id());
        m_failedOn.erase(job.id());
        m_preemption.forgetJob(job.id());
    }
    forgetTasksThatAreOver(job);
}

// A job that is repeated has many occurrences, and drops the tasks of those that are done or set
// aside.
void run_planner::forgetTasksThatAreOver(const tracked_job &job)
{
    const auto isOver = [&](const task_key &task) { return job.isFinished() || !job.find(task); };
    forgetTasks(m_advice, job.id(), isOver);
    m_cleared.forget(job.id(), isOver);
}

// Updates the workers' lists of active tasks to match the job.
void run_planner::syncActive(tracked_job &job)
{
    std::vector<std::pair<task_key, worker_id>> present;
    job.forEachActive([&](const task_key &key, const step_spec &, tracked_task &task) {
        present.emplace_back(key, task.record.worker);
    });
    std::vector<std::pair<task_key, worker_id>> &entered = m_activeRuns[job.id()];
    std::vector<std::pair<task_key, worker_id>> changed;
    std::set_difference(entered.begin(), entered.end(), present.begin(), present.end(),
                        std::back_inserter(changed));
    for (const auto &[key, id] : changed)
        m_pool.at(id).active.erase(key);
    changed.clear();
    std::set_difference(present.begin(), present.end(), entered.begin(), entered.end(),
                        std::back_inserter(changed));
    for (const auto &[key, id] : changed)
        enterActive(m_pool.at(id), key);
    entered = std::move(present);
    if (entered.empty())
        m_activeRuns.erase(job.id());
}

void run_planner::addJob(const graph_job &job, const std::optional<job_progress> &progress,
                         unix_ms wall, time_point now)
{
    if (m_jobs.count(job.id) > 0)
        return;
    // The wall clock may have jumped back since the job was accepted.
    const duration age(std::max<unix_ms>(0, wall - job.acceptedAt));
    tracked_job &added
        = m_jobs.emplace(job.id, tracked_job(job, progress, now - age)).first->second;
    if (!added.isFinished())
        m_unfinished.insert(job.id);
    noteUrgentArrival(added);
    // A job with progress was counted by an earlier planner.
    if (!progress)
        noteArrival(added);
    m_needsPass = true;
    added.forEachActive([&](const task_key &, const step_spec &, tracked_task &task) {
        task.begunAt = now;
        task.percentChangedAt = now;
        pool_worker &worker = m_pool.at(task.record.worker);
        // The predecessor may have extended the worker's lease until its own lease ended.
        worker.leaseEnds = std::max(worker.leaseEnds,
                                    m_electedAt + m_options.predecessorLease + m_options.workerLease
                                        + m_options.leaseSlack);
    });
    syncActive(added);
    for (const task_key &key : added.suspects())
        m_suspects.insert(key);
    recordDecision(progress ? "job restored" : "job queued", {job.id, 0, 0, 0}, 0, {}, {},
                   fmt::format("queue={} priority={} steps={}", job.queue, job.policy.priority,
                               job.steps.size()));
}

void run_planner::cancelJob(const std::string &id, unix_ms wall)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end() || found->second.isFinished())
        return;
    tracked_job &job = found->second;
    job.cancel(wall);
    m_needsPass = true;
    noteChanged(job);
    job.forEachActive([&](const task_key &, const step_spec &, tracked_task &task) {
        m_changedWorkers.insert(task.record.worker);
    });
    recordDecision("job cancelled", {id, 0, 0, 0}, 0, {}, "requested by the caller");
}

void run_planner::abandonRecord(const std::string &id, unix_ms wall)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return;
    tracked_job &job = found->second;
    job.abandonRecord(wall);
    m_needsPass = true;
    noteChanged(job);
    job.forEachActive([&](const task_key &, const step_spec &, tracked_task &task) {
        m_changedWorkers.insert(task.record.worker);
    });
    recordDecision("job ended", {id, 0, 0, 0}, 0, {}, std::string(nameOf(job.state())),
                   "its record is larger than the store accepts");
}

void run_planner::setOptions(const run_planner_options &options)
{
    const duration predecessorLease = m_options.predecessorLease;
    m_options = options;
    m_options.predecessorLease = predecessorLease;
    m_held.setLimit(options.maxHeldBytes);
    if (!m_options.workerSpeeds)
        m_speeds.clear();
    // What was learned before the policies were turned off is too old once they are on again.
    if (!m_options.teamShares)
        m_shares = {};
    if (!m_options.preemptionLimits) {
        m_preemption = {};
        m_refusalsRecorded = {};
    }
    setView(m_view);
}

void run_planner::setView(const operator_view &view)
{
    m_view = view;
    m_queueIndexes.clear();
    if (!m_view.catalogue)
        return;
    for (std::size_t i = 0; i < m_view.catalogue->queues.size(); ++i)
        m_queueIndexes.emplace(m_view.catalogue->queues[i].name, i);
    if (!m_options.teamShares)
        return;
    m_shares.setTeams(m_view.catalogue->teams);
    m_shares.setQueues(m_view.catalogue->queues);
}

// Returns the queue of a job, or nullptr if it is not in the catalogue.
const queue_entry *run_planner::queueOf(const tracked_job &job) const
{
    const auto found = m_queueIndexes.find(job.spec().queue);
    return found == m_queueIndexes.end() ? nullptr : &m_view.catalogue->queues[found->second];
}

const queue_policy &run_planner::policyOf(const tracked_job &job) const
{
    const queue_entry *queue = queueOf(job);
    return queue ? queue->policy : job.spec().policy;
}

// ---- records -------------------------------------------------------------------------------

std::vector<stored_change> run_planner::takeChanges(std::size_t maxCount) const
{
    std::vector<stored_change> changes;
    std::size_t bytes = 0;
    for (const std::set<std::string> *changed : {&m_changed, &m_changedByCheckpoint}) {
        for (const std::string &id : *changed) {
            const tracked_job &job = m_jobs.at(id);
            bytes += largestProgress(job.spec(), job.openOccurrences()).bytes;
            const bool isFull = changes.size() == maxCount || bytes > m_options.maxRecordBytes;
            if (!changes.empty() && isFull)
                return changes;
            changes.push_back({id, job.version(), job.state(), job.progress()});
        }
    }
    return changes;
}

void run_planner::onStored(const std::vector<stored_change> &changes)
{
    for (const stored_change &change : changes) {
        const auto found = m_jobs.find(change.job);
        if (found == m_jobs.end())
            continue;
        tracked_job &job = found->second;
        job.noteStored(change.version, change.state);
        if (job.storedVersion() >= job.version()) {
            m_changed.erase(change.job);
            m_changedByCheckpoint.erase(change.job);
        }
        job.forEachActive([&](const task_key &, const step_spec &, tracked_task &task) {
            if (task.startOrderedIn == 0)
                m_changedWorkers.insert(task.record.worker);
        });
    }
    for (auto &[id, worker] : m_pool.workers())
        acknowledgeStoredEnds(worker);
}

// Returns what the listed runs need that are not the current run of a task, or nothing if the size
// of one of them is not known. They keep their capacity until they have ended.
std::optional<resources> run_planner::untrackedDemandOn(const pool_worker &worker) const
{
    resources demand;
    for (const std::optional<task_key> &key : worker.runningTasks) {
        if (key && worker.active.count(*key) > 0)
            continue;
        const auto job = key ? m_jobs.find(key->job) : m_jobs.end();
        if (job == m_jobs.end())
            return std::nullopt;
        if (key->step < static_cast<std::int32_t>(job->second.spec().steps.size()))
            demand += demandOf(job->second.specOf({key->occurrence, key->step}));
    }
    return demand;
}

// Returns whether a worker has the capacity for all runs that may exist there, those that are being
// stopped included.
bool run_planner::hasCapacityForItsRuns(const pool_worker &worker) const
{
    std::optional<resources> demand = untrackedDemandOn(worker);
    if (!demand)
        return false;
    for (const task_key &key : worker.active)
        *demand += demandOf(m_jobs.at(key.job).specOf({key.occurrence, key.step}));
    return worker.capacity.covers(*demand);
}

// Stops the runs that are not known to have started. Since they were placed, the capacity of their
// worker has shrunk, or runs have been listed there that are not the current run of a task.
void run_planner::stopOpenStarts(pool_worker &worker)
{
    const std::set<task_key> active = worker.active;
    for (const task_key &key : active) {
        tracked_job &job = m_jobs.at(key.job);
        if (!job.find(key)->isListed)
            stopRun(job, key, "its worker no longer has the capacity",
                    fmt::format("cores={} accelerators={}", worker.capacity.cores,
                                worker.capacity.accelerators));
    }
}

// ---- orders --------------------------------------------------------------------------------

std::optional<worker_orders_message> run_planner::ordersFor(const worker_id &id, time_point now)
{
    pool_worker *worker = m_pool.find(id);
    if (!worker || !worker->isReported || worker->incarnation.empty())
        return std::nullopt;
    worker_orders_message orders;
    orders.plannerEpoch = m_epoch;
    orders.sequence = ++worker->sequence;
    orders.incarnation = worker->incarnation;
    orders.endsStored = worker->endsStored;
    orders.capacity = worker->capacity;
    if (worker->isDeparted)
        orders.departedIncarnation = worker->departedIncarnation;
    // The lease is relative to the backend server's clock at its last report, so that a delayed
    // orders message can't extend it.
    orders.holdUntil = worker->clock + m_options.workerLease.count();
    const duration longest = scaled(m_options.workerLease, 1 + m_options.clockError);
    worker->leaseEnds
        = std::max(worker->leaseEnds, worker->reportedAt + longest + m_options.leaseSlack);
    if (!hasCapacityForItsRuns(*worker))
        stopOpenStarts(*worker);
    std::vector<task_key> newStarts;
    std::size_t startBytes = 0;
    for (const task_key &key : worker->active) {
        tracked_job &job = m_jobs.at(key.job);
        tracked_task &task = *job.find(key);
        const run_id run{formatTask(key), task.record.lastRun};
        const bool isStored = task.recordedIn <= job.storedVersion();
        if (task.stopWanted) {
            orders.stops.push_back(run);
            if (task.stopOrderedIn == 0)
                task.stopOrderedIn = orders.sequence;
        } else if (!task.isListed && isStored
                   && task.record.workerIncarnation == worker->incarnation) {
            if (task.startOrderedIn == 0)
                newStarts.push_back(key);
            else
                startBytes += addStart(*worker, key, orders, now);
        }
    }
    // A start that was ordered stays in the orders until it is listed, since the agent stops what
    // they no longer contain. So it is the new ones that wait.
    worker->hasDeferredStarts = false;
    for (const task_key &key : newStarts) {
        if (startBytes < maxStartBytes)
            startBytes += addStart(*worker, key, orders, now);
        else
            worker->hasDeferredStarts = true;
    }
    orders.stops.insert(orders.stops.end(), worker->unassignedRuns.begin(),
                        worker->unassignedRuns.end());
    addPaces(*worker, orders);
    if (!worker->fenced.empty() && worker->fenceOrderedIn == 0)
        worker->fenceOrderedIn = orders.sequence;
    orders.stops.insert(orders.stops.end(), worker->fenced.begin(), worker->fenced.end());
    forgetOldStarts(*worker, now);
    return orders;
}

// Adds the start of the current run of a task. Returns its size.
std::size_t run_planner::addStart(pool_worker &worker, const task_key &key,
                                  worker_orders_message &orders, time_point now)
{
    tracked_job &job = m_jobs.at(key.job);
    tracked_task &task = *job.find(key);
    const run_id run{formatTask(key), task.record.lastRun};
    orders.starts.push_back(
        {run, job.spec().payload, task.record.saved, ticketOf(key, worker.incarnation)});
    worker.recentStarts[run] = now;
    if (task.startOrderedIn == 0) {
        task.startOrderedIn = orders.sequence;
        recordDecision(
            "run ordered", key, run.number, worker.id, {},
            fmt::format("epoch={} report_age_ms={}", m_epoch, (now - worker.reportedAt).count()));
    }
    const start_order &added = orders.starts.back();
    return run.task.size() + added.payload.size() + added.saved.size() + added.ticket.size();
}

std::set<worker_id> run_planner::takeChangedWorkers()
{
    return std::exchange(m_changedWorkers, {});
}

// ---- queries -------------------------------------------------------------------------------

std::optional<graph_job_state> run_planner::stateOf(const std::string &id) const
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return std::nullopt;
    return found->second.storedState();
}

std::int64_t run_planner::waitingIn(const std::string &queue) const
{
    return std::count_if(m_unfinished.begin(), m_unfinished.end(), [&](const std::string &id) {
        const tracked_job &job = m_jobs.at(id);
        return job.spec().queue == queue && !job.hasBegun();
    });
}

std::vector<std::string> run_planner::expiredJobs(unix_ms wall, std::size_t maxCount) const
{
    std::vector<std::string> expired;
    for (const auto &[id, job] : m_jobs) {
        if (expired.size() == maxCount)
            break;
        const bool isStored = job.storedVersion() >= job.version();
        const bool isOver = wall - job.finishedAt() > m_options.retention.count();
        if (job.isFinished() && isStored && isOver && !job.hasActive())
            expired.push_back(id);
    }
    return expired;
}

std::size_t run_planner::entriesBesideJobs() const
{
    std::size_t count = m_failedOn.size() + m_suspects.size() + m_changed.size()
        + m_changedByCheckpoint.size() + m_checkpointed.size() + m_cleared.entryCount()
        + m_activeRuns.size() + m_preemption.entryCount() + m_waitsForRoom.size();
    for (const auto &[step, advice] : m_advice)
        count += 1 + advice.tickets.size() + advice.asked.size() + advice.allowed.size();
    for (const auto &[id, worker] : m_pool.workers())
        count += worker.failedJobs.size();
    return count;
}

void run_planner::forgetJobs(const std::vector<std::string> &ids)
{
    for (const std::string &id : ids) {
        m_jobs.erase(id);
        // A late report may have changed the job while its records were being removed.
        m_changed.erase(id);
        m_changedByCheckpoint.erase(id);
        m_checkpointed.erase(id);
        for (auto &[name, worker] : m_pool.workers())
            worker.failedJobs.erase(id);
    }
}

} // namespace goldcrest
