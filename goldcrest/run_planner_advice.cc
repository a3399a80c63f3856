#include "goldcrest/run_planner.h"

#include "goldcrest/run_planner_unit.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace goldcrest {

const queue_entry *run_planner::advisedQueueOf(const tracked_job &job) const
{
    const queue_entry *queue = queueOf(job);
    return queue && queue->advice ? queue : nullptr;
}

task_key run_planner::adviceKeyOf(const task_key &task)
{
    return {task.job, task.occurrence, task.step, 0};
}

std::string run_planner::ticketOf(const task_key &task, const std::string &incarnation) const
{
    const auto advice = m_advice.find(adviceKeyOf(task));
    if (advice == m_advice.end())
        return {};
    const auto ticket = advice->second.tickets.find(incarnation);
    return ticket == advice->second.tickets.end() ? std::string() : ticket->second;
}

// Returns whether the advice service allows the worker for this unit, or may still allow it.
bool run_planner::isAdvised(const unit &next, const pool_worker &worker) const
{
    if (!advisedQueueOf(*next.job))
        return true;
    const auto advice = m_advice.find(adviceKeyOf(next.job->keyOf(next.step, 0)));
    return advice == m_advice.end() || !advice->second.isKnown
        || advice->second.allowed.count(worker.id) > 0;
}

// Returns whether there is a ticket for the unit on this worker that will still be valid when the
// start arrives.
bool run_planner::hasTicket(const unit &next, const pool_worker &worker, time_point now) const
{
    // A start takes a few milliseconds; the rest leaves time to repeat it if it is not answered.
    constexpr duration startTime = 500ms;
    const auto advice = m_advice.find(adviceKeyOf(next.job->keyOf(next.step, 0)));
    return advice != m_advice.end() && now + startTime < advice->second.until
        && advice->second.tickets.count(worker.incarnation) > 0;
}

// Returns whether the unit has the tickets to start there. Requests advice if it does not.
bool run_planner::mayStart(const unit &next, const std::vector<worker_capacity> &capacities,
                           const placement &where, time_point now)
{
    if (!advisedQueueOf(*next.job))
        return true;
    const bool hasAll
        = std::all_of(where.indexes.begin(), where.indexes.end(), [&](std::size_t index) {
              return hasTicket(next, *m_pool.find(capacities[index].worker), now);
          });
    if (!hasAll)
        requestAdvice(next, now);
    return hasAll;
}

// Prepares a request for advice on a unit that could start now, unless one is already pending.
void run_planner::requestAdvice(const unit &next, time_point now)
{
    const task_key key = adviceKeyOf(next.job->keyOf(next.step, 0));
    const step_advice &advice = m_advice[key];
    if (m_adviceRequest || now < advice.retryAt)
        return;
    const queue_entry *queue = advisedQueueOf(*next.job);
    advice_request request;
    request.step = fmt::format("{}.{}.{}", key.job, key.occurrence, key.step);
    for (const auto &[id, worker] : m_pool.workers()) {
        const bool isCandidate = worker.service == next.policy->service && isUsable(worker, now)
            && (!advice.isKnown || advice.allowed.count(id) > 0);
        if (isCandidate && request.machines.size() < maxAdvisedWorkers)
            request.machines.push_back(worker.machine);
    }
    if (request.machines.empty())
        return;
    request.expected = queue->advice->perCall
        + queue->advice->perWorker * static_cast<std::int64_t>(request.machines.size());
    m_adviceRequest = std::move(request);
}

std::optional<advice_request> run_planner::takeAdviceRequest()
{
    return std::exchange(m_adviceRequest, std::nullopt);
}

void run_planner::onAdvice(const advice_request &request, const result<placement_advice> &answer,
                           time_point now)
{
    // Pause after a failed request, for example because the queue of the service was full.
    constexpr duration retryPause = 300ms;
    const result<task_key> key = parseTask(request.step + ".0");
    if (failureOf(key) || m_jobs.count(valueOf(key).job) == 0)
        return;
    step_advice &advice = m_advice[valueOf(key)];
    if (const failure *error = failureOf(answer)) {
        advice.retryAt = now + retryPause;
        recordDecision("advice request failed", valueOf(key), 0, {}, error->reason);
        return;
    }
    advice.isKnown = true;
    // The lifetime of the tickets starts at the service's decision, which may be as early as the
    // request.
    advice.until = now - request.expected + valueOf(answer).lifetime;
    for (const auto &[id, worker] : m_pool.workers()) {
        const auto ticket = valueOf(answer).tickets.find(worker.machine);
        if (ticket == valueOf(answer).tickets.end())
            continue;
        advice.tickets[worker.incarnation] = ticket->second;
        advice.allowed.insert(id);
    }
    recordDecision("advice received", valueOf(key), 0, {}, {},
                   fmt::format("asked={} allowed={} lifetime_ms={}", request.machines.size(),
                               valueOf(answer).tickets.size(), valueOf(answer).lifetime.count()));
}

// Throttles best-effort tasks according to the latency of the serving tasks on the same worker. The
// users accept a latency above its target for 4 s; throttling must take effect earlier. The speed
// is raised again in steps.
void run_planner::updatePace(pool_worker &worker, time_point now)
{
    constexpr double nearTarget = 0.85;
    constexpr double wellBelowTarget = 0.6;
    constexpr duration slowDownInterval = 300ms; // reported latencies cover 0.5 s
    constexpr duration speedUpInterval = 1s;
    constexpr std::int32_t speedUpStep = 20;
    double worst = 0;
    for (const task_key &key : worker.active) {
        const tracked_job &job = m_jobs.at(key.job);
        const step_spec &step = job.specOf({key.occurrence, key.step});
        if (step.latencyTarget <= 0ms)
            continue;
        const auto found = worker.running.find({formatTask(key), job.find(key)->record.lastRun});
        if (found != worker.running.end())
            worst = std::max(worst,
                             static_cast<double>(found->second.load)
                                 / static_cast<double>(step.latencyTarget.count()));
    }
    const duration since = now - worker.bestEffortChangedAt;
    std::int32_t percent = worker.bestEffortPercent;
    if (worst > 1)
        percent = 0;
    else if (worst > nearTarget && since >= slowDownInterval)
        percent /= 2;
    else if (worst < wellBelowTarget && since >= speedUpInterval)
        percent = std::min(100, percent + speedUpStep);
    if (percent == worker.bestEffortPercent)
        return;
    recordDecision("pace changed", {}, 0, worker.id,
                   "latency of a serving task next to best-effort tasks",
                   fmt::format("of_target={:.2f} percent={}", worst, percent));
    worker.bestEffortPercent = percent;
    worker.bestEffortChangedAt = now;
    m_changedWorkers.insert(worker.id);
}

void run_planner::addPaces(const pool_worker &worker, worker_orders_message &orders) const
{
    if (worker.bestEffortPercent == 100)
        return;
    for (const task_key &key : worker.active) {
        const tracked_job &job = m_jobs.at(key.job);
        if (job.specOf({key.occurrence, key.step}).bestEffort)
            orders.paces.push_back(
                {{formatTask(key), job.find(key)->record.lastRun}, worker.bestEffortPercent});
    }
}

} // namespace goldcrest
