#include "goldcrest/run_planner.h"

#include "goldcrest/run_planner_unit.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace goldcrest {

namespace {

// Returns the maximum number of workers in one request. It takes up to half of the lifetime of the
// tickets, so that there is time to use them.
std::size_t maxWorkersPerRequest(const advice_terms &terms)
{
    const duration time = terms.ticketLifetime / 2 - terms.perCall;
    if (terms.ticketLifetime <= 0ms || terms.perWorker <= 0ms)
        return maxAdvisedWorkers;
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::max(0ms, time) / terms.perWorker),
                                   1, maxAdvisedWorkers);
}

} // namespace

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
    const auto found = advice->second.tickets.find(incarnation);
    return found == advice->second.tickets.end() ? std::string() : found->second.ticket;
}

// Returns whether the advice service allows the worker for this unit, or may still allow it.
bool run_planner::isAdvised(const unit &next, const pool_worker &worker) const
{
    if (!advisedQueueOf(*next.job))
        return true;
    const auto advice = m_advice.find(adviceKeyOf(next.job->keyOf(next.step, 0)));
    return advice == m_advice.end() || advice->second.asked.count(worker.incarnation) == 0
        || advice->second.allowed.count(worker.incarnation) > 0;
}

// Returns whether there is a ticket for the unit on this worker that will still be valid when the
// start arrives.
bool run_planner::hasTicket(const unit &next, const pool_worker &worker, time_point now) const
{
    const auto advice = m_advice.find(adviceKeyOf(next.job->keyOf(next.step, 0)));
    if (advice == m_advice.end())
        return false;
    const auto found = advice->second.tickets.find(worker.incarnation);
    return found != advice->second.tickets.end() && now < found->second.usableUntil;
}

// Returns a placement for which the unit has all tickets and that is as near as the one found, if
// there is any. It may be on slower workers, since a start now is worth more than their speed.
std::optional<placement>
run_planner::placementWithTickets(const unit &next, const std::vector<worker_capacity> &capacities,
                                  const placement_request &request, const placement &found,
                                  time_point now) const
{
    if (!advisedQueueOf(*next.job))
        return found;
    std::vector<std::size_t> ready;
    std::copy_if(request.eligible->begin(), request.eligible->end(), std::back_inserter(ready),
                 [&](std::size_t index) {
                     const pool_worker &worker = m_pool.workers().at(capacities[index].worker);
                     return hasTicket(next, worker, now);
                 });
    placement_request narrowed = request;
    narrowed.onlyNow = true;
    narrowed.eligible = &ready;
    constexpr duration rounding = 3ms; // of two conversions between speeds
    const std::optional<placement> where = bestPlacement(capacities, narrowed, now);
    const bool isAsNear = where
        && timeAtUsualSpeed(capacities, *where) <= timeAtUsualSpeed(capacities, found) + rounding;
    return isAsNear ? where : std::nullopt;
}

// Prepares a request for advice on a unit that could start now, unless another one comes first. It
// is about the workers without a ticket: those of the placement found, others with room for a task,
// and others about which the service was not asked yet.
void run_planner::requestAdvice(const unit &next, const std::vector<worker_capacity> &capacities,
                                const placement_request &request, const placement &found,
                                time_point now)
{
    const task_key key = adviceKeyOf(next.job->keyOf(next.step, 0));
    const step_advice &advice = m_advice[key];
    if (m_adviceRequest || m_isAdvicePending || now < advice.retryAt)
        return;
    const advice_terms &terms = *advisedQueueOf(*next.job)->advice;
    // The tasks of a gang need all their tickets at the same time.
    const std::size_t limit
        = std::min(maxAdvisedWorkers, std::max(maxWorkersPerRequest(terms), found.indexes.size()));
    advice_request made;
    made.step = fmt::format("{}.{}.{}", key.job, key.occurrence, key.step);
    std::set<std::size_t> named;
    const auto add = [&](std::size_t index) {
        const pool_worker &worker = m_pool.workers().at(capacities[index].worker);
        if (made.machines.size() == limit || hasTicket(next, worker, now)
            || !named.insert(index).second)
            return;
        made.machines.push_back(worker.machine);
        made.incarnations.push_back(worker.incarnation);
    };
    const resources demand = demandOf(*request.step);
    std::for_each(found.indexes.begin(), found.indexes.end(), add);
    for (const std::size_t index : *request.eligible) {
        if (capacities[index].free.covers(demand))
            add(index);
    }
    for (const std::size_t index : *request.eligible) {
        if (advice.asked.count(m_pool.workers().at(capacities[index].worker).incarnation) == 0)
            add(index);
    }
    if (made.machines.empty())
        return;
    made.expected
        = terms.perCall + terms.perWorker * static_cast<std::int64_t>(made.machines.size());
    m_adviceRequest = std::move(made);
}

std::optional<advice_request> run_planner::takeAdviceRequest()
{
    m_isAdvicePending = m_isAdvicePending || m_adviceRequest.has_value();
    return std::exchange(m_adviceRequest, std::nullopt);
}

void run_planner::onAdvice(const advice_request &request, const result<placement_advice> &answer,
                           time_point now)
{
    // Pause after a failed request, for example because the queue of the service was full.
    constexpr duration retryPause = 300ms;
    // A start takes a few milliseconds; the rest leaves time to repeat it if it is not answered. Of
    // tickets that are valid for less than twice as long, half of the time is left.
    constexpr duration startTime = 500ms;
    m_isAdvicePending = false;
    m_isAdviceFailing = failureOf(answer) != nullptr;
    const result<task_key> key = parseTask(request.step + ".0");
    const auto job = failureOf(key) ? m_jobs.end() : m_jobs.find(valueOf(key).job);
    const bool isOpen = job != m_jobs.end() && !job->second.isFinished();
    if (!isOpen || !job->second.find(valueOf(key)))
        return;
    step_advice &advice = m_advice[valueOf(key)];
    if (const failure *error = failureOf(answer)) {
        advice.retryAt = now + retryPause;
        recordDecision("advice request failed", valueOf(key), 0, {}, error->reason);
        return;
    }
    // The lifetime of the tickets starts at the service's decision, which may be as early as the
    // request.
    const duration left = valueOf(answer).lifetime - request.expected;
    const time_point usableUntil = now + left - std::min(startTime, left / 2);
    if (valueOf(answer).isPartial)
        advice.retryAt = now + retryPause;
    for (std::size_t i = 0; i < request.machines.size(); ++i) {
        if (!isReported(request.incarnations[i]))
            continue;
        const auto found = valueOf(answer).tickets.find(request.machines[i]);
        const bool isAllowed = found != valueOf(answer).tickets.end();
        // A partial answer may lack a machine that may run the step.
        if (isAllowed || !valueOf(answer).isPartial)
            advice.asked.insert(request.incarnations[i]);
        if (!isAllowed)
            continue;
        advice.allowed.insert(request.incarnations[i]);
        advice.tickets[request.incarnations[i]] = {found->second, usableUntil};
    }
    recordDecision("advice received", valueOf(key), 0, {}, {},
                   fmt::format("asked={} allowed={} lifetime_ms={}", request.machines.size(),
                               valueOf(answer).tickets.size(), valueOf(answer).lifetime.count()));
}

// Returns whether an incarnation is the one that a worker reported last.
bool run_planner::isReported(const std::string &incarnation) const
{
    const auto &workers = m_pool.workers();
    return std::any_of(workers.begin(), workers.end(),
                       [&](const auto &item) { return item.second.incarnation == incarnation; });
}

// Forgets the answers about an incarnation that is gone. Jobs may wait while there are many.
void run_planner::forgetAdviceAbout(const std::string &incarnation)
{
    for (auto &[step, advice] : m_advice) {
        advice.tickets.erase(incarnation);
        advice.asked.erase(incarnation);
        advice.allowed.erase(incarnation);
    }
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
