// Connects run_planner with team_shares and preemption_policy.

#include "goldcrest/run_planner.h"

#include "goldcrest/run_planner_unit.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <tuple>
#include <unordered_map>

namespace goldcrest {

namespace {

// A run that saves checkpoints is left alone for this many of them after a stop: then another stop
// loses a small part of what was done since.
constexpr int checkpointsUndisturbed = 4;

// Refused stops are logged together at this interval.
constexpr duration refusalLogInterval = 1s;

// Returns the demand of all tasks of a step as one number, in millicores: the platform prices an
// accelerator like 8 cores.
std::int64_t widthOf(const step_spec &step)
{
    constexpr std::int64_t millicoresPerAccelerator = 8000;
    const resources demand = demandOf(step) * step.count;
    return demand.cores + demand.accelerators * millicoresPerAccelerator;
}

// Returns the largest width of a step of a job.
std::int64_t widthOf(const graph_job &job)
{
    std::int64_t width = 0;
    for (const step_spec &step : job.steps)
        width = std::max(width, widthOf(step));
    return width;
}

} // namespace

void run_planner::beginPolicies(time_point now)
{
    if (!m_options.preemptionLimits)
        return;
    m_preemption.setStopTime(m_options.stopTime);
    const auto usable
        = std::count_if(m_pool.workers().begin(), m_pool.workers().end(),
                        [&](const auto &worker) { return isUsable(worker.second, now); });
    m_preemption.beginPass(static_cast<std::size_t>(usable), now);
}

// Records what the policies decided in a pass. Both bound the number of lines.
void run_planner::recordPolicyNotes(time_point now)
{
    for (share_note &note : m_shares.takeNotes())
        recordDecision(note.event, {note.job, 0, 0, 0}, 0, {}, {}, std::move(note.inputs));
    std::string refused;
    std::array<std::uint64_t, stopRefusals> counts{};
    for (std::size_t i = 0; i < stopRefusals; ++i) {
        const auto why = static_cast<stop_refusal>(i);
        counts[i] = m_preemption.refused(why);
        if (counts[i] > m_refusalsRecorded[i])
            refused += fmt::format("{}={} ", nameOf(why), counts[i] - m_refusalsRecorded[i]);
    }
    if (refused.empty() || now - m_refusalsRecordedAt < refusalLogInterval)
        return;
    m_refusalsRecorded = counts;
    m_refusalsRecordedAt = now;
    recordDecision("stops refused", {}, 0, {}, {},
                   fmt::format("{}stops_per_s={:.1f} remembered_jobs={}", refused,
                               m_preemption.stopsPerSecond(), m_preemption.entryCount()));
}

// ---- team shares ---------------------------------------------------------------------------

void run_planner::noteArrival(const tracked_job &job)
{
    if (m_options.teamShares && !job.isFinished())
        m_shares.noteArrival(job.spec().queue, widthOf(job.spec()));
}

// Records the start of a unit. A job counts as served when its widest step first starts.
void run_planner::noteStart(const unit &started, time_point now)
{
    if (m_options.preemptionLimits)
        m_preemption.noteRestart(started.job->id(), now);
    if (!m_options.teamShares)
        return;
    const std::int64_t width = widthOf(started.job->specOf(started.step));
    if (width < widthOf(started.job->spec()))
        return;
    const std::vector<tracked_task> &tasks = started.job->find(started.step)->tasks;
    const bool hasStarted = std::any_of(tasks.begin(), tasks.end(), [](const tracked_task &task) {
        return task.record.lastRun > 0;
    });
    if (!hasStarted)
        m_shares.noteServed(started.job->spec().queue, width);
}

share_request run_planner::shareRequestOf(const unit &next, time_point now) const
{
    const graph_job &job = next.job->spec();
    const step_spec &step = next.job->specOf(next.step);
    share_request request;
    request.team = job.team;
    request.queue = job.queue;
    request.job = job.id;
    request.isGuaranteed = next.isGuaranteed;
    request.mayAge = !step.longRunning;
    request.demand = demandOf(step) * static_cast<std::int64_t>(next.indexes.size());
    request.width = widthOf(step);
    request.waited = now - next.job->acceptedAt();
    request.usefulTime = next.target - next.job->acceptedAt();
    return request;
}

// Returns whether waiting for others may make a unit late, or of no use if it is late already. Then
// the share of its team does not count: what it loses would be more than what others gain.
bool run_planner::isAtRisk(const unit &next, time_point now)
{
    // Two run times cover the wait for a run of the same length and the errors of the estimates.
    // With half of that, the order by shares cost 0.008 of the value in graph_policy_benchmark.
    constexpr int sparedRunTimes = 2;
    if (next.lateness == job_lateness::TooLate)
        return false;
    const time_point latest = next.lateness == job_lateness::OnTime
        ? next.target
        : valuableUntil(*next.job, next.target);
    return now + next.estimate + sparedRunTimes * next.estimate > latest;
}

// Orders the waiting steps of a service by the shares of their teams. Steps of equal rank keep
// their order.
void run_planner::rankByShares(std::vector<unit> &units, const std::string &service, time_point now)
{
    if (!m_options.teamShares)
        return;
    std::vector<share_request> requests;
    requests.reserve(units.size());
    for (const unit &next : units)
        requests.push_back(shareRequestOf(next, now));
    const std::vector<share_rank> ranks = m_shares.rank(service, requests, now);
    bool isAsBefore = true;
    for (std::size_t i = 0; i < units.size(); ++i) {
        units[i].share = ranks[i];
        if (isAtRisk(units[i], now))
            units[i].share.overShare = 0;
        isAsBefore = isAsBefore && !units[i].share.isAged && units[i].share.overShare == 0;
    }
    if (isAsBefore)
        return;
    const auto rank = [](const unit &one) {
        return std::make_tuple(!one.isGuaranteed, one.policy->priority, !one.share.isAged,
                               one.lateness, one.share.overShare);
    };
    std::stable_sort(units.begin(), units.end(),
                     [&rank](const unit &a, const unit &b) { return rank(a) < rank(b); });
}

// ---- preemption ----------------------------------------------------------------------------

// Returns the cost of stopping a unit, but for the work that its members lose.
// @param run one of its members
// @param endIfLeft when the unit can end without a stop
double run_planner::stopCost(const tracked_job &job, const step_spec &step, const placed_run &run,
                             time_point endIfLeft, time_point now) const
{
    const duration estimate = expectedTimeOf(job, step);
    if (!m_options.preemptionLimits)
        return latenessCost(job, estimate, endIfLeft, now);
    stop_victim victim;
    victim.priority = run.priority;
    victim.value = onTimeValueOf(run.priority);
    victim.endsAt = endIfLeft;
    const duration left = std::max<duration>(0ms, endIfLeft - now) + m_options.checkpointInterval;
    victim.rest = step.checkpointing ? std::min(estimate, left) : estimate;
    victim.target = targetOf(job);
    victim.valuableUntil = valuableUntil(job, victim.target);
    return m_preemption.costOf(victim, now);
}

// Returns which units to stop for a unit outside a guarantee, if that pays and the limits allow it.
std::optional<eviction>
run_planner::findLimitedEviction(const unit &next, const std::vector<worker_capacity> &capacities,
                                 const placement_request &request,
                                 const std::optional<placement> &found, time_point now)
{
    stop_claim claim;
    claim.value = onTimeValueOf(next.policy->priority);
    claim.estimate = next.estimate;
    claim.target = next.target;
    if (found) {
        claim.startsByItself = true;
        claim.start = found->start;
        claim.end = found->start + found->estimate;
    }
    eviction_rule rule;
    rule.belowPriority = next.policy->priority;
    const bool isUrgent = next.policy->priority == 0;
    rule.alsoSpared = isUrgent;
    rule.maxLoss = m_preemption.worthOf(claim, now);
    if (rule.maxLoss <= 0 || !m_preemption.admitsClaim(isUrgent))
        return std::nullopt;
    std::optional<eviction> evicted = cheapestEviction(capacities, request, rule, now);
    if (!evicted && !isUrgent)
        m_preemption.noteNoVictim(now);
    return evicted;
}

// Records the stops for a unit, and spares what else runs of the stopped jobs.
void run_planner::noteStops(const std::vector<std::size_t> &units,
                            std::vector<worker_capacity> &capacities, const unit &beneficiary,
                            time_point now)
{
    if (!m_options.preemptionLimits)
        return;
    std::unordered_map<std::size_t, stop_record> stops;
    std::set<std::string_view> jobs;
    for (const std::size_t number : units) {
        stops[number].runs = 0;
        jobs.insert(m_unitTasks[number].job);
    }
    for (worker_capacity &capacity : capacities) {
        for (placed_run &run : capacity.runs) {
            const auto found = stops.find(run.unit);
            if (found != stops.end())
                ++found->second.runs;
            run.isSpared = run.isSpared || jobs.count(m_unitTasks[run.unit].job) > 0;
        }
    }
    for (auto &[number, stop] : stops) {
        const task_key &first = m_unitTasks[number];
        const tracked_job &job = m_jobs.at(first.job);
        stop.priority = policyOf(job).priority;
        const step_spec &step = job.specOf({first.occurrence, first.step});
        const duration estimate = expectedTimeOf(job, step);
        stop.undisturbed = step.checkpointing
            ? std::min(estimate, m_options.checkpointInterval * checkpointsUndisturbed)
            : estimate;
        stop.isForGuarantee = beneficiary.isGuaranteed;
        m_preemption.noteStop(first.job, stop, now);
    }
}

} // namespace goldcrest
