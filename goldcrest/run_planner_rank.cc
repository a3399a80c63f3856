#include "goldcrest/run_planner.h"

#include "goldcrest/run_planner_unit.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace goldcrest {

namespace {

// Assumed run time of a task that runs until it is cancelled.
constexpr duration unboundedRunTime = 24h;

// Returns the millicores that a demand is worth.
std::int64_t coreMsOf(const resources &demand)
{
    // The platform prices an accelerator like 8 cores.
    constexpr std::int64_t coresPerAccelerator = 8;
    return demand.cores + demand.accelerators * coresPerAccelerator * 1000;
}

} // namespace

void run_planner::plan(unix_ms wall, time_point now)
{
    m_needsPass = false;
    m_adviceRequest.reset(); // the units that it was about may have changed
    endRunsWithExpiredLeases(wall, now);
    dropEndedWork();
    stopStalledRuns(now);
    findSlowWorkers(now);
    refreshSpeeds(now);
    learnInterference(now);
    stopRunsOnLeavingWorkers(now);
    stopRunsForMaintenance(now);
    stopIncompleteGangs(now);
    storeCheckpoints(now);
    if (!m_view.catalogue || now - m_view.confirmedAt > m_options.freshView)
        return;
    m_unitNumbers.clear();
    m_unitTasks.clear();
    m_tailNotes.runs = 0;
    m_tailNotes.left = 0ms;
    findTrials(now);
    m_guaranteed = guaranteedJobs();
    holdDueWork(wall, now);
    beginPolicies(now);
    std::map<std::string, std::vector<unit>> byService;
    std::vector<unit> waiting = collectUnits(now);
    for (unit &next : waiting)
        byService[next.policy->service].push_back(std::move(next));
    for (auto &[service, units] : byService)
        planService(units, service, now);
    logUrgentRoom(now);
    logTails(now);
    recordPolicyNotes(now);
}

// Ends the runs on workers that have not reported since their lease ended. Before that, a worker
// that does not answer may still be running its tasks.
void run_planner::endRunsWithExpiredLeases(unix_ms wall, time_point now)
{
    for (auto &[id, worker] : m_pool.workers()) {
        if (worker.active.empty() || now <= worker.leaseEnds)
            continue;
        const std::set<task_key> active = worker.active;
        for (const task_key &key : active) {
            tracked_job &job = m_jobs.at(key.job);
            const tracked_task *task = job.find(key);
            if (!task->isActive() || task->record.worker != id)
                continue;
            job.noteLapse(key, task->workedUntil(worker.listedAt));
            endRun(key, task->record.lastRun, run_end::Lapsed, {}, id,
                   "the worker's lease has certainly ended", wall);
        }
    }
}

// Adds new checkpoints to the records of their jobs, all at once to save writes.
void run_planner::storeCheckpoints(time_point now)
{
    if (m_checkpointed.empty() || now - m_checkpointsStoredAt < m_options.checkpointInterval)
        return;
    m_checkpointsStoredAt = now;
    for (const std::string &id : std::exchange(m_checkpointed, {})) {
        const auto job = m_jobs.find(id);
        if (job == m_jobs.end() || job->second.isFinished())
            continue;
        job->second.storeCheckpoints();
        if (m_changed.count(id) == 0)
            m_changedByCheckpoint.insert(id);
    }
}

// Returns the jobs of priority 0 that fit into their team's guarantee, in order of acceptance.
std::set<std::string> run_planner::guaranteedJobs() const
{
    std::map<std::string, std::vector<const tracked_job *>> byTeam;
    for (const std::string &id : m_unfinished) {
        const tracked_job &job = m_jobs.at(id);
        if (policyOf(job).priority == 0)
            byTeam[job.spec().team].push_back(&job);
    }
    std::set<std::string> guaranteed;
    for (auto &[name, jobs] : byTeam) {
        const queue_team *team = m_view.catalogue ? findTeam(*m_view.catalogue, name) : nullptr;
        std::int64_t left = team ? team->guaranteedAccelerators : 0;
        std::sort(jobs.begin(), jobs.end(), [](const tracked_job *a, const tracked_job *b) {
            return std::make_pair(a->acceptedAt(), a->id())
                < std::make_pair(b->acceptedAt(), b->id());
        });
        for (const tracked_job *job : jobs) {
            std::int64_t need = 0;
            for (const step_spec &step : job->spec().steps)
                need = std::max(need, step.perTask.accelerators * step.count);
            if (need > left)
                continue;
            left -= need;
            guaranteed.insert(job->id());
        }
    }
    return guaranteed;
}

time_point run_planner::targetOf(const tracked_job &job) const
{
    const queue_policy &policy = policyOf(job);
    const duration chain = criticalPathTime(
        job.spec(), [&](const step_spec &step) { return expectedTimeOf(job, step); });
    // Written so that no product out of range is converted, which would be undefined behaviour.
    const double slack = static_cast<double>(chain.count()) * policy.slackFactor;
    const bool isInRange = slack < static_cast<double>(longestTime.count());
    return job.acceptedAt() + (isInRange ? scaled(chain, policy.slackFactor) : longestTime)
        + policy.completionTarget;
}

job_lateness run_planner::latenessOf(const tracked_job &job, time_point end) const
{
    const time_point target = targetOf(job);
    if (end <= target)
        return job_lateness::OnTime;
    return end <= valuableUntil(job, target) ? job_lateness::Late : job_lateness::TooLate;
}

// Returns until when callers have a use for a job.
time_point run_planner::valuableUntil(const tracked_job &job, time_point target)
{
    constexpr int lateFactor = 3; // they have one for up to this many times the target
    return job.acceptedAt() + (target - job.acceptedAt()) * lateFactor;
}

duration run_planner::expectedTimeOf(const tracked_job &job, const step_spec &step) const
{
    return m_runTimes.expected(job.spec().queue, step.estimated);
}

// Returns the value lost if stopping the job, with `rest` of its work left, makes it miss its
// target.
// @param endIfLeft when the run ends without a stop; only used where run times have a heavy tail
double run_planner::latenessCost(const tracked_job &job, duration rest, time_point endIfLeft,
                                 time_point now) const
{
    // A job that was stopped usually gets capacity again within a few seconds.
    constexpr duration usualPause = 3s;
    const time_point target = targetOf(job);
    if (hasHeavyTail(job))
        return valueLostByStop({onTimeValueOf(policyOf(job).priority), target,
                                valuableUntil(job, target), endIfLeft, now + usualPause + rest});
    const bool wouldBeLate = now + usualPause + rest > target;
    return wouldBeLate && now <= target ? onTimeValueOf(policyOf(job).priority) : 0;
}

std::vector<run_planner::unit> run_planner::collectUnits(time_point now)
{
    std::vector<unit> units;
    for (const std::string &id : m_unfinished) {
        tracked_job &job = m_jobs.at(id);
        unit next;
        next.job = &job;
        next.policy = &policyOf(job);
        next.isGuaranteed = m_guaranteed.count(id) > 0;
        next.target = targetOf(job);
        for (const step_ref &step : job.readySteps()) {
            const step_spec &spec = job.specOf(step);
            next.step = step;
            next.estimate = expectedTimeOf(job, spec);
            next.lateness = latenessOf(job, now + next.estimate);
            next.indexes.clear();
            const tracked_step &tracked = *job.find(step);
            for (std::size_t i = 0; i < tracked.tasks.size(); ++i) {
                if (!tracked.tasks[i].record.isDone && !tracked.tasks[i].isActive())
                    next.indexes.push_back(static_cast<std::int32_t>(i));
            }
            units.push_back(next);
        }
    }
    std::stable_sort(units.begin(), units.end(), [](const unit &a, const unit &b) {
        const auto rank = [](const unit &one) {
            return std::make_tuple(!one.isGuaranteed, one.policy->priority, one.lateness,
                                   one.target, std::string_view(one.job->id()), one.step.occurrence,
                                   one.step.step);
        };
        return rank(a) < rank(b);
    });
    return units;
}

bool run_planner::isUsable(const pool_worker &worker, time_point now) const
{
    return worker.isReported && !worker.incarnation.empty() && !worker.draining
        && now - worker.reportedAt <= m_options.freshReport && !isPlannedToDrain(worker)
        && m_view.evacuatedDomains.count(worker.failureDomain) == 0;
}

// Returns whether the progress of a run shows how long it takes.
bool run_planner::showsItsLength(const tracked_task &task, time_point now)
{
    // Below this progress an extrapolation is unreliable, so the caller's estimate is used.
    constexpr std::int32_t leastPercent = 5;
    const std::int32_t least = task.begunAt + task.runEstimate > now ? leastPercent : 1;
    // A run that was resumed starts with the progress of its checkpoint.
    return task.isListed && task.percent - task.listedPercent >= least;
}

time_point run_planner::expectedEnd(const tracked_task &task, time_point now) const
{
    if (task.stopWanted)
        return now + m_options.stopTime;
    const time_point estimated = task.begunAt + task.runEstimate;
    if (showsItsLength(task, now)) {
        const std::int32_t progress = task.percent - task.listedPercent;
        const duration elapsed = task.percentChangedAt - task.listedAt;
        const time_point end = task.percentChangedAt + elapsed * (100 - task.percent) / progress;
        // Run times have long tails: a run that is past its end by some time takes as long again.
        return now + std::max<duration>(50ms, end > now ? end - now : now - end);
    }
    // Once the estimate has passed, assume that the run takes as long again.
    return estimated > now ? estimated : now + (now - task.begunAt);
}

double run_planner::lostWork(const tracked_task &task, const step_spec &step, time_point now) const
{
    if (!task.isListed)
        return 0;
    const duration ran = now - task.listedAt;
    const duration lost = step.checkpointing ? std::min(ran, m_options.checkpointInterval) : ran;
    return static_cast<double>(coreMsOf(step.perTask)) / 1000 * static_cast<double>(lost.count())
        / 1000;
}

std::size_t run_planner::unitNumberOf(const task_key &task, const step_spec &step)
{
    task_key unitKey = task;
    if (step.gang)
        unitKey.index = 0;
    const auto [found, isNew] = m_unitNumbers.emplace(unitKey, m_unitTasks.size());
    if (isNew)
        m_unitTasks.push_back(unitKey);
    return found->second;
}

std::vector<worker_capacity> run_planner::makeCapacities(const std::string &service, time_point now)
{
    std::vector<worker_capacity> capacities;
    std::map<std::size_t, double> losses;
    // The members of a gang that have done their share wait for the others, so all runs of a unit
    // end with the last of them.
    std::map<std::size_t, time_point> ends;
    use_sample sample;
    for (auto &[id, worker] : m_pool.workers()) {
        if (worker.service != service || !isUsable(worker, now))
            continue;
        worker_capacity capacity;
        capacity.worker = id;
        capacity.speed = speedOf(worker);
        capacity.incarnation = worker.incarnation;
        capacity.rack = worker.rack;
        capacity.free = worker.capacity;
        for (const task_key &key : worker.active) {
            tracked_job &job = m_jobs.at(key.job);
            const tracked_task &task = *job.find(key);
            const step_spec &step = job.specOf({key.occurrence, key.step});
            placed_run run;
            run.unit = unitNumberOf(key, step);
            run.demand = demandOf(step);
            run.endsAt = step.longRunning && !task.stopWanted ? now + unboundedRunTime
                                                              : plannedEnd(job, key, now);
            run.isStopping = task.stopWanted;
            run.priority = policyOf(job).priority;
            run.isGuaranteed = m_guaranteed.count(key.job) > 0;
            run.mayStop = !step.longRunning;
            run.isSpared = m_options.preemptionLimits && m_preemption.isSpared(key.job, now);
            if (losses.count(run.unit) == 0)
                losses[run.unit] = stopCost(job, step, run, victimEnd(job, key, run, now), now);
            losses[run.unit] += lostWork(task, step, now);
            time_point &end = ends[run.unit];
            end = std::max(end, run.endsAt);
            capacity.free -= run.demand;
            capacity.images |= imageBitsOf(job, step).own;
            capacity.runs.push_back(run);
            if (m_options.teamShares)
                sample.addRun(job.spec().team, run.demand, task.runEstimate);
        }
        sample.addWorker(worker.capacity);
        if (const std::optional<resources> untracked = untrackedDemandOn(worker))
            capacity.free -= *untracked;
        else
            capacity.free = {}; // the size of a run is not known
        capacities.push_back(std::move(capacity));
    }
    for (worker_capacity &capacity : capacities) {
        for (placed_run &run : capacity.runs) {
            run.lossOnStop = losses[run.unit];
            run.endsAt = ends[run.unit];
        }
    }
    if (m_options.teamShares)
        m_shares.update(service, sample, now);
    return capacities;
}

void run_planner::planService(std::vector<unit> &units, const std::string &service, time_point now)
{
    service_pass pass;
    pass.capacities = makeCapacities(service, now);
    holdClearedCapacity(pass.capacities, now);
    prepareUrgentRoom(service, pass.capacities, now);
    rankByShares(units, service, now);
    std::size_t unitsLeft = unitsByRank;
    std::size_t tried = 0;
    for (; tried < units.size() && unitsLeft > 0; ++tried)
        tryStep(units[tried], pass, unitsLeft, now);
    std::size_t &triedByTurns = m_stepsTriedByTurns[service];
    const std::size_t remaining = units.size() - tried;
    if (remaining == 0) {
        triedByTurns = 0;
        return;
    }
    unitsLeft = unitsByTurns;
    for (std::size_t i = 0; i < remaining && unitsLeft > 0; ++i) {
        tryStep(units[tried + triedByTurns % remaining], pass, unitsLeft, now);
        ++triedByTurns;
    }
}

// Plans a step, unless an earlier one of the same shape could not be placed in this pass. One for
// which others were stopped is planned in any case, since its capacity is free for it only.
void run_planner::tryStep(unit &next, service_pass &pass, std::size_t &unitsLeft, time_point now)
{
    // Capacity is reserved for this many steps. Reservations for more would hold back work for
    // starts that the estimates can't predict. Further steps may only start now.
    constexpr std::size_t maxWaitingSteps = 32;
    next.mayReserve = pass.waitingSteps < maxWaitingSteps;
    if (next.policy->priority > 0)
        chooseKeptWorkers(pass.capacities);
    if (!next.isGuaranteed)
        m_cleared.holdFrom(next.policy->priority, pass.capacities, now);
    const auto [found, isNew] = pass.notPlaced.emplace(shapeOf(next), duration::max());
    if (next.estimate >= found->second && !hasReservation(next))
        return;
    const step_outcome outcome = planStep(next, pass.capacities, unitsLeft, now);
    if (outcome != step_outcome::Started)
        noteUrgentWait(next, now);
    switch (outcome) {
    case step_outcome::Started:
        break;
    case step_outcome::Waiting:
        ++pass.waitingSteps;
        break;
    case step_outcome::NotPlaced:
        found->second = next.estimate;
        break;
    }
}

run_planner::step_shape run_planner::shapeOf(const unit &next) const
{
    const step_spec &step = next.job->specOf(next.step);
    step_shape shape;
    const bool dependsOnStep = step.maxPerWorker > 0 || m_failedOn.count(next.job->id()) > 0
        || advisedQueueOf(*next.job) || isSuspect(next);
    if (dependsOnStep)
        shape.step = fmt::format("{}.{}.{}", next.job->id(), next.step.occurrence, next.step.step);
    shape.requiredLabel = step.requiredLabel;
    shape.dataRack = step.dataRack;
    shape.demand = demandOf(step);
    shape.count = step.gang ? static_cast<std::int32_t>(next.indexes.size()) : 1;
    shape.sameRack = step.sameRack;
    shape.leavesUrgentRoom = leavesUrgentRoom(next);
    return shape;
}

// Returns the outcome of a step after another of its units was planned.
run_planner::step_outcome run_planner::combined(step_outcome step, unit_outcome placed)
{
    switch (placed) {
    case unit_outcome::Started:
        return step;
    case unit_outcome::NotPlaced:
        return step == step_outcome::Waiting ? step : step_outcome::NotPlaced;
    case unit_outcome::Waiting:
    case unit_outcome::WaitingForStops:
        break;
    }
    return step_outcome::Waiting;
}

// Places the waiting tasks of a step: a gang as a whole, other tasks one by one. The tasks of a
// step are alike, so once one of them has to wait, only those are tried for which others were
// stopped.
run_planner::step_outcome run_planner::planStep(const unit &next,
                                                std::vector<worker_capacity> &capacities,
                                                std::size_t &unitsLeft, time_point now)
{
    const std::vector<std::size_t> eligible
        = besideUrgentRoom(next, eligibleCapacities(next, capacities, now));
    if (next.job->specOf(next.step).gang) {
        --unitsLeft;
        return combined(
            step_outcome::Started,
            planUnit(next, eligibleForGang(next, eligible, capacities, now), capacities, now));
    }
    step_outcome outcome = planSuspects(next, eligible, capacities, unitsLeft, now);
    unit single = next;
    bool hasToWait = false;
    for (const std::int32_t index : next.indexes) {
        if (unitsLeft == 0)
            break;
        single.indexes.assign(1, index);
        if (isSuspect(single) || (hasToWait && !hasReservation(single)))
            continue;
        --unitsLeft;
        const unit_outcome placed = planUnit(single, eligible, capacities, now);
        outcome = combined(outcome, placed);
        hasToWait
            = hasToWait || placed == unit_outcome::Waiting || placed == unit_outcome::NotPlaced;
    }
    return outcome;
}

// Returns the indexes of the workers on which the unit may run and that can hold one of its tasks.
// Leaves out workers on which runs fail or on which this job failed, unless too few would remain,
// and those where a suspect is starting, unless none would remain.
std::vector<std::size_t>
run_planner::eligibleCapacities(const unit &next, const std::vector<worker_capacity> &capacities,
                                time_point now) const
{
    const step_spec &step = next.job->specOf(next.step);
    const resources demand = demandOf(step);
    const auto failed = m_failedOn.find(next.job->id());
    std::vector<std::size_t> allowed;
    std::vector<std::size_t> healthy;
    for (std::size_t i = 0; i < capacities.size(); ++i) {
        const pool_worker &worker = m_pool.workers().at(capacities[i].worker);
        if (!step.requiredLabel.empty() && !worker.hasLabel(step.requiredLabel))
            continue;
        if (!worker.capacity.covers(demand) || !isAdvised(next, worker))
            continue;
        allowed.push_back(i);
        const bool hasFailed = failed != m_failedOn.end() && failed->second.count(worker.id) > 0;
        const bool isAvoided = now < std::max(worker.avoidUntil, worker.slowUntil);
        if (!isAvoided && !hasFailed)
            healthy.push_back(i);
    }
    // If half of the workers or more appear faulty, the fault is probably elsewhere.
    const std::vector<std::size_t> &chosen
        = healthy.size() * 2 > allowed.size() ? healthy : allowed;
    const std::vector<std::size_t> apart = apartFromTrials(chosen, capacities);
    return apart.empty() ? chosen : apart;
}

} // namespace goldcrest
