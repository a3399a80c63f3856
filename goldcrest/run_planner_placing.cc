#include "goldcrest/run_planner.h"

#include "goldcrest/run_planner_unit.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace goldcrest {

namespace {

// Added to the stop time until missed stops are ordered. Covers the delivery of stops and reports,
// and runs that end soon and were not stopped.
constexpr duration preemptionSlack = 500ms;

} // namespace

// Returns the request for capacity for a unit. It keeps a pointer to `eligible`.
placement_request run_planner::requestFor(const unit &next,
                                          const std::vector<std::size_t> &eligible) const
{
    const step_spec &step = next.job->specOf(next.step);
    placement_request request;
    request.step = &step;
    request.count = static_cast<std::int32_t>(next.indexes.size());
    request.estimate = next.estimate;
    request.remoteFactor = m_options.remoteFactor;
    if (step.maxPerWorker > 0) {
        for (const tracked_task &task : next.job->find(next.step)->tasks) {
            if (task.isActive())
                ++request.placedBefore[task.record.worker];
        }
    }
    request.onlyNow = !next.mayReserve;
    request.sparesFreeWorkers = next.policy->priority > 0 && m_urgentRoom.forecast.isExpected();
    const image_bits images = imageBitsOf(*next.job, step);
    request.images = images.own;
    request.avoidedImages = images.avoided;
    request.eligible = &eligible;
    return request;
}

run_planner::unit_outcome run_planner::planUnit(const unit &next,
                                                const std::vector<std::size_t> &eligible,
                                                std::vector<worker_capacity> &capacities,
                                                time_point now)
{
    placement_request request = requestFor(next, eligible);
    request.prefersSlow = leavesFastWorkers(next, now);
    m_cleared.release(next.job->keyOf(next.step, next.indexes.front()), capacities);
    const std::optional<placement> found = bestPlacement(capacities, request, now);
    if (found && found->start <= now)
        return startOrReserve(next, capacities, request, *found, now);
    if (const std::optional<placement> where = reservedPlacement(next, capacities, now)) {
        stopMissedRuns(next, capacities, request, found, *where, now);
        return startOnReserved(next, capacities, request, *where, now);
    }
    if (!next.mayReserve)
        return unit_outcome::NotPlaced;
    if (const std::optional<eviction> evicted
        = findEviction(next, capacities, request, found, now)) {
        stopUnits(evicted->units, capacities, next, now);
        makePreemptionReservation(next, capacities, *evicted, now);
        return startOnReserved(next, capacities, request, evicted->where, now);
    }
    endReservation(next.job->keyOf(next.step, next.indexes.front()), "no stops help");
    if (!found)
        return unit_outcome::NotPlaced;
    reserveCapacity(capacities, request, *found);
    return unit_outcome::Waiting;
}

// Starts a unit where it can start now. Without tickets it waits for advice with its capacity
// reserved, unless the advice service fails: then nobody knows when the unit can start.
run_planner::unit_outcome run_planner::startOrReserve(const unit &next,
                                                      std::vector<worker_capacity> &capacities,
                                                      const placement_request &request,
                                                      const placement &where, time_point now)
{
    if (const auto allowed = placementWithTickets(next, capacities, request, where, now)) {
        startUnit(next, capacities, *allowed, now);
        return unit_outcome::Started;
    }
    requestAdvice(next, capacities, request, where, now);
    if (!next.mayReserve || m_isAdviceFailing)
        return unit_outcome::NotPlaced;
    reserveCapacity(capacities, request, where);
    return unit_outcome::Waiting;
}

// Reserves the workers on which others are being stopped for a unit. It starts there once it can,
// though it may be faster elsewhere later: the estimates of when that will be are uncertain, and
// the stops would have been in vain.
run_planner::unit_outcome run_planner::startOnReserved(const unit &next,
                                                       std::vector<worker_capacity> &capacities,
                                                       const placement_request &request,
                                                       const placement &where, time_point now)
{
    if (const auto free = placementNowOn(capacities, request, where, now))
        return startOrReserve(next, capacities, request, *free, now);
    reserveCapacity(capacities, request, where);
    return unit_outcome::WaitingForStops;
}

// Makes a reservation where runs are being stopped, for this unit or another one. Where a unit
// outside a guarantee only waits for runs that end soon, nothing was thrown away for it, and its
// rank decides.
void run_planner::makePreemptionReservation(const unit &next,
                                            const std::vector<worker_capacity> &capacities,
                                            const eviction &evicted, time_point now)
{
    const bool hasStops = std::any_of(
        evicted.where.indexes.begin(), evicted.where.indexes.end(), [&](std::size_t index) {
            const std::vector<placed_run> &runs = capacities[index].runs;
            return std::any_of(runs.begin(), runs.end(),
                               [](const placed_run &run) { return run.isStopping; });
        });
    if (!hasStops && !next.isGuaranteed)
        return;
    const task_key key = next.job->keyOf(next.step, next.indexes.front());
    const duration stops = m_options.stopTime + preemptionSlack;
    cleared_claim made;
    made.retryAt = now + stops;
    // It is of no use to start the job later.
    const time_point lastStart = valuableUntil(*next.job, next.target) - evicted.where.estimate;
    made.until = std::min(now + stops * cleared_capacity::longestStops, lastStart);
    made.estimate = evicted.where.estimate;
    made.perTask = demandOf(next.job->specOf(next.step));
    made.priority = next.policy->priority;
    made.isGuaranteed = next.isGuaranteed;
    for (const std::size_t index : evicted.where.indexes)
        made.workers.push_back(capacities[index].worker);
    if (m_cleared.reserve(key, made, !evicted.units.empty()))
        recordDecision("capacity reserved", key, 0, made.workers.front(),
                       "other runs are being stopped",
                       fmt::format("workers={} guaranteed={} for_ms={}", made.workers.size(),
                                   made.isGuaranteed, (made.until - now).count()));
}

void run_planner::endReservation(const task_key &unitKey, std::string_view reason, bool isOver)
{
    if (const std::optional<cleared_claim> ended = m_cleared.end(unitKey, isOver))
        recordDecision(
            "reservation ended", unitKey, 0, ended->workers.front(), std::string(reason),
            fmt::format("workers={} guaranteed={}", ended->workers.size(), ended->isGuaranteed));
}

// Holds what was cleared within guarantees, and ends the claims with a worker that is no longer
// usable.
void run_planner::holdClearedCapacity(std::vector<worker_capacity> &capacities, time_point now)
{
    for (const task_key &key : m_cleared.beginPass(capacities, now))
        endReservation(key, "a worker is no longer usable");
}

// Returns whether others are being stopped for some of the tasks of a unit.
bool run_planner::hasReservation(const unit &next) const
{
    return m_cleared.entryCount() > 0
        && std::any_of(next.indexes.begin(), next.indexes.end(), [&](std::int32_t index) {
               return m_cleared.find(next.job->keyOf(next.step, index)) != nullptr;
           });
}

// Stops what else runs on the workers of a claim outside a guarantee, once it should have ended.
// Other workers are not considered, since what was stopped here would have been stopped in vain.
void run_planner::stopMissedRuns(const unit &next, std::vector<worker_capacity> &capacities,
                                 const placement_request &request,
                                 const std::optional<placement> &found, const placement &where,
                                 time_point now)
{
    const cleared_claim *made = m_cleared.find(next.job->keyOf(next.step, next.indexes.front()));
    if (next.isGuaranteed || now <= made->retryAt
        || placementNowOn(capacities, request, where, now))
        return;
    std::vector<std::size_t> there = where.indexes;
    std::sort(there.begin(), there.end());
    there.erase(std::unique(there.begin(), there.end()), there.end());
    placement_request onlyThere = request;
    onlyThere.eligible = &there;
    const std::optional<eviction> evicted = findEviction(next, capacities, onlyThere, found, now);
    if (!evicted || evicted->units.empty())
        return;
    stopUnits(evicted->units, capacities, next, now);
    makePreemptionReservation(next, capacities, *evicted, now);
}

// Returns where others are being stopped for a unit, or nothing if it has no claim there.
std::optional<placement>
run_planner::reservedPlacement(const unit &next, const std::vector<worker_capacity> &capacities,
                               time_point now)
{
    const task_key key = next.job->keyOf(next.step, next.indexes.front());
    const cleared_claim *made = m_cleared.find(key);
    if (!made)
        return std::nullopt;
    // Stops that take longer than expected don't end a reservation within a guarantee. Those that
    // were missed are ordered when the unit looks for capacity again, which finds these workers
    // first, since they need the fewest stops.
    if (next.isGuaranteed && now > made->retryAt)
        return std::nullopt;
    if (const char *obstacle
        = next.isGuaranteed ? nullptr : m_cleared.obstacleOf(key, capacities, now)) {
        endReservation(key, obstacle, now > made->until);
        return std::nullopt;
    }
    placement where;
    where.start = now;
    where.estimate = made->estimate;
    for (const worker_id &worker : made->workers) {
        for (std::size_t i = 0; i < capacities.size(); ++i) {
            if (capacities[i].worker == worker)
                where.indexes.push_back(i);
        }
    }
    return where;
}

// Returns which units to stop for a unit that would otherwise wait too long, if any.
std::optional<eviction> run_planner::findEviction(const unit &next,
                                                  const std::vector<worker_capacity> &capacities,
                                                  const placement_request &request,
                                                  const std::optional<placement> &found,
                                                  time_point now)
{
    if (m_options.preemptionLimits && !next.isGuaranteed)
        return findLimitedEviction(next, capacities, request, found, now);
    eviction_rule rule;
    rule.belowPriority = next.policy->priority;
    if (!next.isGuaranteed) {
        const time_point end = now + m_options.stopTime + next.estimate;
        const bool isOnTime = found && found->start + found->estimate <= next.target;
        if (isOnTime || end > next.target)
            return std::nullopt;
        rule.maxLoss = onTimeValueOf(next.policy->priority);
        return cheapestEviction(capacities, request, rule, now);
    }
    // Forecasts are only relied on while there is time to stop others if they prove wrong.
    const bool isLate = now - next.job->acceptedAt() > m_options.lastResortMaxAge;
    if (found && !isLate && found->start - now <= m_options.guaranteedWaitLimit)
        return std::nullopt;
    if (isLate)
        rule.imminentEnd = 0ms;
    rule.alsoUnguaranteed = true;
    rule.maxLoss = std::numeric_limits<double>::max();
    std::optional<eviction> evicted = cheapestEviction(capacities, request, rule, now);
    if (evicted || isLate)
        return evicted;
    rule.anyUnit = true;
    return cheapestEviction(capacities, request, rule, now);
}

void run_planner::startUnit(const unit &next, std::vector<worker_capacity> &capacities,
                            const placement &where, time_point now)
{
    noteStart(next, now);
    const step_spec &step = next.job->specOf(next.step);
    const double speed = slowestSpeed(capacities, where);
    const bool isNear = timeAtUsualSpeed(capacities, where) <= next.estimate;
    std::vector<run_assignment> runs;
    for (std::size_t i = 0; i < next.indexes.size(); ++i) {
        const worker_capacity &capacity = capacities[where.indexes[i]];
        runs.push_back({next.indexes[i], capacity.worker, capacity.incarnation, where.estimate,
                        isNear, speed});
    }
    next.job->beginRuns(next.step, runs, now);
    noteChanged(*next.job);
    syncActive(*next.job);
    m_cleared.end(next.job->keyOf(next.step, next.indexes.front()));
    placement_request request;
    request.step = &step;
    request.images = imageBitsOf(*next.job, step).own;
    placed_run run;
    run.unit = unitNumberOf(next.job->keyOf(next.step, next.indexes.front()), step);
    run.demand = demandOf(step);
    run.endsAt = now + where.estimate;
    run.priority = next.policy->priority;
    run.isGuaranteed = next.isGuaranteed;
    run.mayStop = !step.longRunning;
    occupy(capacities, request, where, run);
    for (const run_assignment &assigned : runs) {
        const task_key key = next.job->keyOf(next.step, assigned.index);
        m_startingOn.insert(assigned.worker);
        if (next.job->find(key)->isSuspect())
            m_trialsOn.insert(assigned.worker);
        recordDecision("run recorded", key, next.job->find(key)->record.lastRun, assigned.worker,
                       {},
                       fmt::format("queue={} priority={} guaranteed={} rack={} estimate_ms={} "
                                   "speed={:.2f} view_age_ms={} waited_ms={}",
                                   next.job->spec().queue, next.policy->priority, next.isGuaranteed,
                                   m_pool.find(assigned.worker)->rack, where.estimate.count(),
                                   speed, (now - m_view.confirmedAt).count(),
                                   (now - next.job->acceptedAt()).count()));
    }
}

void run_planner::stopUnits(const std::vector<std::size_t> &units,
                            std::vector<worker_capacity> &capacities, const unit &beneficiary,
                            time_point now)
{
    for (const std::size_t number : units) {
        const task_key &first = m_unitTasks[number];
        tracked_job &job = m_jobs.at(first.job);
        stopRun(
            job, first, "preempted by work of higher rank",
            fmt::format("for={} guaranteed={}", beneficiary.job->id(), beneficiary.isGuaranteed));
    }
    for (worker_capacity &capacity : capacities) {
        for (placed_run &run : capacity.runs) {
            if (std::find(units.begin(), units.end(), run.unit) == units.end())
                continue;
            run.isStopping = true;
            run.endsAt = now + m_options.stopTime;
        }
    }
    noteStops(units, capacities, beneficiary, now);
}

} // namespace goldcrest
