#include "goldcrest/run_planner.h"

#include "goldcrest/run_planner_unit.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace goldcrest {

namespace {

// Added to the stop time for a preemption reservation. Covers the delivery of stops and reports,
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
    releaseClearedCapacity(next, capacities);
    const std::optional<placement> found = bestPlacement(capacities, request, now);
    if (found && found->start <= now)
        return startOrReserve(next, capacities, request, *found, now);
    if (const std::optional<placement> where = reservedPlacement(next, capacities, now))
        return startOnReserved(next, capacities, request, *where, now);
    if (!next.mayReserve)
        return unit_outcome::NotPlaced;
    if (const std::optional<eviction> evicted
        = findEviction(next, capacities, request, found, now)) {
        stopUnits(evicted->units, capacities, next, now);
        makePreemptionReservation(next, capacities, evicted->where, now);
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

// Reserves the workers on which others are being stopped for a unit. A unit within a guarantee
// starts there once it can, though it may be faster elsewhere later: it has little time, and the
// estimates of when that will be are uncertain.
run_planner::unit_outcome run_planner::startOnReserved(const unit &next,
                                                       std::vector<worker_capacity> &capacities,
                                                       const placement_request &request,
                                                       const placement &where, time_point now)
{
    if (next.isGuaranteed) {
        if (const auto free = placementNowOn(capacities, request, where, now))
            return startOrReserve(next, capacities, request, *free, now);
    }
    reserveCapacity(capacities, request, where);
    return unit_outcome::WaitingForStops;
}

void run_planner::makePreemptionReservation(const unit &next,
                                            const std::vector<worker_capacity> &capacities,
                                            const placement &where, time_point now)
{
    const task_key key = next.job->keyOf(next.step, next.indexes.front());
    preemption_reservation &made = m_preemptionReservations[key];
    made.until = now + m_options.stopTime + preemptionSlack;
    made.estimate = where.estimate;
    made.perTask = demandOf(next.job->specOf(next.step));
    made.isGuaranteed = next.isGuaranteed;
    made.workers.clear();
    for (const std::size_t index : where.indexes)
        made.workers.push_back(capacities[index].worker);
    recordDecision("capacity reserved", key, 0, made.workers.front(),
                   "other runs are being stopped",
                   fmt::format("workers={} guaranteed={} for_ms={}", made.workers.size(),
                               made.isGuaranteed, (made.until - now).count()));
}

void run_planner::endReservation(const task_key &unitKey, std::string_view reason)
{
    const auto ended = m_preemptionReservations.find(unitKey);
    if (ended == m_preemptionReservations.end())
        return;
    recordDecision("reservation ended", unitKey, 0, ended->second.workers.front(),
                   std::string(reason),
                   fmt::format("workers={} guaranteed={}", ended->second.workers.size(),
                               ended->second.isGuaranteed));
    m_preemptionReservations.erase(ended);
}

// Keeps the capacity that was cleared for units within guarantees from all other units, also from
// those of higher rank: they would take it as soon as the first of several workers is free, and the
// runs there would have been stopped in vain. Reservations with a worker that is no longer usable
// end, since the unit can't start there.
void run_planner::holdClearedCapacity(std::vector<worker_capacity> &capacities, time_point now)
{
    std::map<worker_id, std::size_t> indexes;
    for (std::size_t i = 0; i < capacities.size(); ++i)
        indexes.emplace(capacities[i].worker, i);
    std::vector<task_key> impossible;
    for (const auto &[key, made] : m_preemptionReservations) {
        if (!made.isGuaranteed)
            continue;
        const bool isPossible
            = std::all_of(made.workers.begin(), made.workers.end(),
                          [&](const worker_id &worker) { return indexes.count(worker) > 0; });
        if (!isPossible) {
            // Of another service, or one of its workers has left.
            if (std::any_of(made.workers.begin(), made.workers.end(),
                            [&](const worker_id &worker) { return indexes.count(worker) > 0; }))
                impossible.push_back(key);
            continue;
        }
        for (const worker_id &worker : made.workers) {
            worker_capacity &capacity = capacities[indexes.at(worker)];
            capacity.reserved += made.perTask;
            capacity.reservedFrom = now;
        }
    }
    for (const task_key &key : impossible)
        endReservation(key, "a worker is no longer usable");
}

// Undoes holdClearedCapacity() for one unit, whose turn it is.
void run_planner::releaseClearedCapacity(const unit &next,
                                         std::vector<worker_capacity> &capacities) const
{
    const auto made
        = m_preemptionReservations.find(next.job->keyOf(next.step, next.indexes.front()));
    if (made == m_preemptionReservations.end() || !made->second.isGuaranteed)
        return;
    for (const worker_id &worker : made->second.workers) {
        for (worker_capacity &capacity : capacities) {
            if (capacity.worker != worker)
                continue;
            capacity.reserved -= made->second.perTask;
            if (capacity.reserved == resources{})
                capacity.reservedFrom = time_point::max();
        }
    }
}

// Returns where others are being stopped for a unit, or nothing if it has no preemption reservation
// or if that has expired.
std::optional<placement>
run_planner::reservedPlacement(const unit &next, const std::vector<worker_capacity> &capacities,
                               time_point now)
{
    const auto made
        = m_preemptionReservations.find(next.job->keyOf(next.step, next.indexes.front()));
    if (made == m_preemptionReservations.end())
        return std::nullopt;
    // Stops that take longer than expected don't end a reservation within a guarantee. Those that
    // were missed are ordered when the unit looks for capacity again, which finds these workers
    // first, since they need the fewest stops.
    if (now > made->second.until) {
        if (!next.isGuaranteed)
            endReservation(made->first, "its time has passed");
        return std::nullopt;
    }
    placement where;
    where.start = now;
    where.estimate = made->second.estimate;
    for (const worker_id &worker : made->second.workers) {
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
    m_preemptionReservations.erase(next.job->keyOf(next.step, next.indexes.front()));
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
