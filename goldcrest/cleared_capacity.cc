#include "goldcrest/cleared_capacity.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace goldcrest {

bool cleared_capacity::reserve(const task_key &claim, const cleared_claim &made, bool hasStops)
{
    const auto [found, isNew] = m_claims.try_emplace(claim);
    entry &kept = found->second;
    if (kept.isOver && !hasStops)
        return false;
    // Further stops on its workers do not give a claim more time.
    const bool isRenewed = !isNew && !kept.isOver;
    const time_point until = isRenewed ? std::min(kept.made.until, made.until) : made.until;
    kept = {made, hold_state::Passed, false};
    kept.made.until = until;
    return true;
}

const cleared_claim *cleared_capacity::find(const task_key &claim) const
{
    const auto found = m_claims.find(claim);
    return found == m_claims.end() || found->second.isOver ? nullptr : &found->second.made;
}

const char *cleared_capacity::obstacleOf(const task_key &claim,
                                         const std::vector<worker_capacity> &capacities,
                                         time_point now) const
{
    const cleared_claim *made = find(claim);
    if (!made || now > made->until)
        return "its time has passed";
    if (isOfPass(*made) && !canBeCleared(*made, capacities))
        return "its capacity was taken";
    return nullptr;
}

std::optional<cleared_claim> cleared_capacity::end(const task_key &claim, bool isOver)
{
    const auto found = m_claims.find(claim);
    if (found == m_claims.end())
        return std::nullopt;
    std::optional<cleared_claim> ended;
    if (!found->second.isOver)
        ended = found->second.made;
    if (isOver)
        found->second.isOver = true;
    else
        m_claims.erase(found);
    return ended;
}

void cleared_capacity::forget(const std::string &job,
                              const std::function<bool(const task_key &)> &isOver)
{
    auto next = m_claims.lower_bound({job, 0, 0, 0});
    while (next != m_claims.end() && next->first.job == job)
        next = isOver(next->first) ? m_claims.erase(next) : std::next(next);
}

std::vector<task_key> cleared_capacity::beginPass(std::vector<worker_capacity> &capacities,
                                                  time_point now)
{
    m_indexes.clear();
    m_heldPriority = -1;
    std::vector<task_key> impossible;
    if (m_claims.empty())
        return impossible;
    for (std::size_t i = 0; i < capacities.size(); ++i)
        m_indexes.emplace(capacities[i].worker, i);
    for (auto &[key, kept] : m_claims) {
        kept.held = hold_state::Passed;
        const auto isHere = [this](const worker_id &worker) { return m_indexes.count(worker) > 0; };
        const std::vector<worker_id> &workers = kept.made.workers;
        if (kept.isOver || std::none_of(workers.begin(), workers.end(), isHere))
            continue;
        if (!isOfPass(kept.made))
            impossible.push_back(key);
        else if (kept.made.isGuaranteed)
            hold(kept, capacities, now);
        else
            kept.held = hold_state::Waiting;
    }
    return impossible;
}

void cleared_capacity::holdFrom(std::int32_t priority, std::vector<worker_capacity> &capacities,
                                time_point now)
{
    if (priority <= m_heldPriority)
        return;
    m_heldPriority = priority;
    for (auto &[key, kept] : m_claims) {
        if (kept.held == hold_state::Waiting && kept.made.priority <= priority
            && now <= kept.made.until && canBeCleared(kept.made, capacities))
            hold(kept, capacities, now);
    }
}

void cleared_capacity::release(const task_key &claim, std::vector<worker_capacity> &capacities)
{
    const auto found = m_claims.find(claim);
    if (found == m_claims.end())
        return;
    entry &kept = found->second;
    if (std::exchange(kept.held, hold_state::Passed) != hold_state::Held)
        return;
    for (const worker_id &worker : kept.made.workers) {
        worker_capacity &capacity = capacities[m_indexes.at(worker)];
        capacity.reserved -= kept.made.perTask;
        if (capacity.reserved == resources{})
            capacity.reservedFrom = time_point::max();
    }
}

bool cleared_capacity::isOfPass(const cleared_claim &made) const
{
    return std::all_of(made.workers.begin(), made.workers.end(),
                       [this](const worker_id &worker) { return m_indexes.count(worker) > 0; });
}

// Returns whether the capacity of a claim is free, is being cleared, or is expected to become free
// while it is held.
bool cleared_capacity::canBeCleared(const cleared_claim &made,
                                    const std::vector<worker_capacity> &capacities) const
{
    std::map<std::size_t, resources> needed;
    for (const worker_id &worker : made.workers)
        needed[m_indexes.at(worker)] += made.perTask;
    return std::all_of(needed.begin(), needed.end(), [&](const auto &need) {
        const worker_capacity &capacity = capacities[need.first];
        resources available = capacity.free;
        available -= capacity.reserved;
        for (const placed_run &run : capacity.runs) {
            if (run.isStopping || run.endsAt <= made.until)
                available += run.demand;
        }
        return available.covers(need.second);
    });
}

void cleared_capacity::hold(entry &held, std::vector<worker_capacity> &capacities,
                            time_point now) const
{
    held.held = hold_state::Held;
    for (const worker_id &worker : held.made.workers) {
        worker_capacity &capacity = capacities[m_indexes.at(worker)];
        capacity.reserved += held.made.perTask;
        capacity.reservedFrom = now;
    }
}

} // namespace goldcrest
