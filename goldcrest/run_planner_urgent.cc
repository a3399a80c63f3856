#include "goldcrest/run_planner.h"

#include "goldcrest/run_planner_unit.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace goldcrest {

namespace {

// The room changes its class by itself at most every few seconds, as arrivals and waits count for
// urgent_demand::window. This bounds the log if the setting is switched on and off.
constexpr duration leastLogInterval = 1s;

// Returns whether a step takes as much of the held capacity as makes holding it worthwhile: half of
// its accelerators, or of its cores if none are held.
bool isWide(const step_spec &step, const resources &held)
{
    const resources demand = demandOf(step) * step.count;
    return held.accelerators > 0 ? demand.accelerators * 2 >= held.accelerators
                                 : demand.cores * 2 >= held.cores;
}

} // namespace

void run_planner::noteUrgentArrival(const tracked_job &job)
{
    const queue_policy &policy = policyOf(job);
    if (!m_options.urgentRoom || policy.priority > 0)
        return;
    const urgent_job arrived
        = urgentJobOf(job.spec(), [&](const step_spec &step) { return expectedTimeOf(job, step); });
    m_urgentStates[policy.service].demand.noteArrival(arrived, job.acceptedAt());
}

// Records an urgent step that could not start at once. A wait for advice says nothing about
// capacity, nor does a job that waits for much longer than capacity takes to become free: no worker
// may be able to run it.
void run_planner::noteUrgentWait(const unit &next, time_point now)
{
    const auto found = m_urgentStates.find(next.policy->service);
    if (next.policy->priority == 0 && found != m_urgentStates.end() && !advisedQueueOf(*next.job)
        && now - next.job->acceptedAt() <= urgent_demand::window)
        found->second.demand.noteWait(now);
}

// Sets the room for urgent work in the pass over a service.
void run_planner::prepareUrgentRoom(const std::string &service,
                                    const std::vector<worker_capacity> &capacities, time_point now)
{
    m_urgentRoom = {};
    const auto found = m_urgentStates.find(service);
    if (!m_options.urgentRoom || found == m_urgentStates.end()
        || !found->second.demand.forecast(0ms, {}, {}, now).isExpected())
        return;
    resources total;
    resources used;
    for (const worker_capacity &capacity : capacities) {
        total += capacity.free;
        for (const placed_run &run : capacity.runs) {
            total += run.demand;
            if (run.priority == 0 && !run.isStopping)
                used += run.demand;
        }
    }
    m_urgentRoom.forecast = found->second.demand.forecast(m_options.stopTime, total, used, now);
    found->second.last = m_urgentRoom.forecast;
}

// Chooses the workers that are kept free once all urgent steps of the pass were tried: whole
// workers first, then those with the most accelerators, as far as they fit into the room.
void run_planner::chooseKeptWorkers(const std::vector<worker_capacity> &capacities)
{
    const resources &held = m_urgentRoom.forecast.held;
    if (m_urgentRoom.isChosen || held == resources{})
        return;
    m_urgentRoom.isChosen = true;
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < capacities.size(); ++i) {
        const resources &free = capacities[i].free;
        if (held.accelerators > 0 ? free.accelerators > 0 : free.cores > 0)
            order.push_back(i);
    }
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        const auto rank = [&](std::size_t index) {
            const worker_capacity &one = capacities[index];
            return std::make_tuple(!one.runs.empty(), -one.free.accelerators, -one.free.cores,
                                   index);
        };
        return rank(a) < rank(b);
    });
    m_urgentRoom.kept.assign(capacities.size(), false);
    resources left = held;
    for (const std::size_t index : order) {
        const resources &free = capacities[index].free;
        const bool fits = held.accelerators > 0 ? free.accelerators <= left.accelerators
                                                : free.cores <= left.cores;
        if (!fits)
            continue;
        left -= free;
        m_urgentRoom.kept[index] = true;
    }
}

// Returns whether a step must leave the kept workers to urgent work: it is of lower priority, wide,
// and so long that urgent jobs are expected before it ends. A step with data in one rack is exempt,
// since it would run several times as long elsewhere.
bool run_planner::leavesUrgentRoom(const unit &next) const
{
    const step_spec &step = next.job->specOf(next.step);
    return !m_urgentRoom.kept.empty() && next.policy->priority > 0 && step.dataRack.empty()
        && m_urgentRoom.forecast.isExpectedWithin(next.estimate)
        && isWide(step, m_urgentRoom.forecast.held);
}

// Returns the workers on which a step may run besides those that are kept free, unless it has no
// others.
std::vector<std::size_t> run_planner::besideUrgentRoom(const unit &next,
                                                       std::vector<std::size_t> eligible) const
{
    if (!leavesUrgentRoom(next))
        return eligible;
    std::vector<std::size_t> others;
    std::copy_if(eligible.begin(), eligible.end(), std::back_inserter(others),
                 [&](std::size_t index) { return !m_urgentRoom.kept[index]; });
    return others.empty() ? std::move(eligible) : others;
}

// Logs changes of the room, and forgets services without urgent jobs.
void run_planner::logUrgentRoom(time_point now)
{
    for (auto next = m_urgentStates.begin(); next != m_urgentStates.end();) {
        urgent_state &state = next->second;
        const urgent_forecast seen = state.demand.forecast(0ms, {}, {}, now);
        if (!m_options.urgentRoom || !seen.isExpected())
            state.last = {};
        const urgent_room_class room = state.last.roomClass();
        if (room != state.logged && now - state.loggedAt >= leastLogInterval) {
            recordDecision("room for urgent work", {}, 0, {}, std::string(nameOf(room)),
                           fmt::format("service={} before={} per_second={:.2f} horizon_ms={} "
                                       "accelerators={} cores={} held_accelerators={}",
                                       next->first, nameOf(state.logged), state.last.perSecond,
                                       state.last.horizon.count(), state.last.needed.accelerators,
                                       state.last.needed.cores, state.last.held.accelerators));
            state.logged = room;
            state.loggedAt = now;
        }
        const bool isOver = !seen.isExpected() && state.logged == urgent_room_class::None;
        next = isOver ? m_urgentStates.erase(next) : std::next(next);
    }
}

urgent_forecast run_planner::urgentRoom() const
{
    urgent_forecast sum;
    for (const auto &[service, state] : m_urgentStates) {
        sum.needed += state.last.needed;
        sum.held += state.last.held;
        sum.perSecond += state.last.perSecond;
    }
    return sum;
}

} // namespace goldcrest
