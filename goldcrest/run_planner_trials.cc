#include "goldcrest/run_planner.h"

#include "goldcrest/run_planner_unit.h"

#include <algorithm>
#include <iterator>

namespace goldcrest {

// Finds the workers on which suspects must not start now, and those that others should avoid.
void run_planner::findTrials(time_point now)
{
    m_startingOn.clear();
    m_trialsOn.clear();
    for (auto it = m_suspects.begin(); it != m_suspects.end();) {
        const auto job = m_jobs.find(it->job);
        const bool isOpen = job != m_jobs.end() && !job->second.isFinished();
        const tracked_task *task = isOpen ? job->second.find(*it) : nullptr;
        it = task && !task->record.isDone && task->isSuspect() ? std::next(it)
                                                               : m_suspects.erase(it);
    }
    if (m_suspects.empty())
        return;
    for (const auto &[id, worker] : m_pool.workers()) {
        for (const task_key &key : worker.active) {
            const tracked_task &task = *m_jobs.at(key.job).find(key);
            const bool isStarting = task.isStarting(now);
            if (isStarting)
                m_startingOn.insert(id);
            // One that is close to being given up needs to be left alone for longer.
            if (task.record.crashes >= startCrashesToGiveUp || (isStarting && task.isSuspect()))
                m_trialsOn.insert(id);
        }
    }
}

bool run_planner::isSuspect(const unit &next) const
{
    if (m_suspects.empty())
        return false;
    const tracked_step &step = *next.job->find(next.step);
    return std::any_of(next.indexes.begin(), next.indexes.end(), [&](std::int32_t index) {
        return step.tasks[static_cast<std::size_t>(index)].isSuspect();
    });
}

// Returns the workers on which nothing else is starting.
std::vector<std::size_t>
run_planner::apartFromStarts(const std::vector<std::size_t> &eligible,
                             const std::vector<worker_capacity> &capacities) const
{
    std::vector<std::size_t> apart;
    std::copy_if(
        eligible.begin(), eligible.end(), std::back_inserter(apart),
        [&](std::size_t index) { return m_startingOn.count(capacities[index].worker) == 0; });
    return apart;
}

// Returns the workers on which no suspect is starting.
std::vector<std::size_t>
run_planner::apartFromTrials(const std::vector<std::size_t> &eligible,
                             const std::vector<worker_capacity> &capacities) const
{
    std::vector<std::size_t> apart;
    std::copy_if(
        eligible.begin(), eligible.end(), std::back_inserter(apart),
        [&](std::size_t index) { return m_trialsOn.count(capacities[index].worker) == 0; });
    return apart;
}

// Narrows the workers for a gang with a suspect to those on which nothing else is starting, if it
// can start there at once: a gang needs several workers, so it does not wait for that. A gang of
// one task waits as other tasks do.
std::vector<std::size_t>
run_planner::eligibleForGang(const unit &next, std::vector<std::size_t> eligible,
                             const std::vector<worker_capacity> &capacities, time_point now) const
{
    if (!isSuspect(next))
        return eligible;
    std::vector<std::size_t> apart = apartFromStarts(eligible, capacities);
    if (next.indexes.size() == 1)
        return apart;
    const std::optional<placement> found = bestPlacement(capacities, requestFor(next, apart), now);
    return found && found->start <= now ? apart : eligible;
}

// Places the suspects among the waiting tasks of a step, each apart from all other starts. Runs
// that are lost together would otherwise start together again, and a crash would not show which of
// them is at fault.
run_planner::step_outcome run_planner::planSuspects(const unit &next,
                                                    const std::vector<std::size_t> &eligible,
                                                    std::vector<worker_capacity> &capacities,
                                                    std::size_t &unitsLeft, time_point now)
{
    step_outcome outcome = step_outcome::Started;
    if (m_suspects.empty())
        return outcome;
    unit single = next;
    for (const std::int32_t index : next.indexes) {
        single.indexes.assign(1, index);
        if (unitsLeft == 0 || !isSuspect(single))
            continue;
        --unitsLeft;
        const std::vector<std::size_t> apart = apartFromStarts(eligible, capacities);
        const unit_outcome placed
            = apart.empty() ? unit_outcome::NotPlaced : planUnit(single, apart, capacities, now);
        outcome = combined(outcome, placed);
    }
    return outcome;
}

} // namespace goldcrest
