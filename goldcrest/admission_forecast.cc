#include "goldcrest/admission_forecast.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace goldcrest {

namespace {

// Bounds of the message, which is a few KB at most. Further queues and teams are accepted always.
constexpr std::size_t maxServices = 8;
constexpr std::size_t maxQueues = 16;
constexpr std::size_t maxTeamsPerQueue = 8;
constexpr std::size_t maxGuarantees = 32;

// Delays are rounded down to this, so that the outlook does not change all the time.
constexpr duration delayStep = 100ms;

// Bounds of the detail: horizons of the targets, entries for these, and teams in each of them.
constexpr std::array<duration, 5> targetHorizons{2s, 4s, 8s, 16s, 32s};
constexpr std::size_t maxTargets = 24;
constexpr std::size_t maxTeamsPerTarget = 4;
constexpr std::size_t maxSizes = 64;

// Run times beyond this are cut off, so that no sum overflows.
constexpr duration longestRun = 1h;

// Work of one kind: the sum of demand times run time, and the run time of its tasks.
struct work_sum
{
    resource_work amount;
    double time = 0; // of all tasks, ms
    double squares = 0; // sum of the squares of the tasks' run times

    void add(const resources &demand, std::int64_t count, duration each)
    {
        const auto length
            = static_cast<double>(std::clamp<duration>(each, 0ms, longestRun).count());
        amount.add(demand, count, each);
        time += static_cast<double>(count) * length;
        squares += static_cast<double>(count) * length * length;
    }
    void add(const work_sum &other)
    {
        amount += other.amount;
        time += other.time;
        squares += other.squares;
    }
    // Returns the mean run time, each task weighted by its run time: long tasks end last.
    duration usualTime() const
    {
        return time > 0 ? duration(static_cast<duration::rep>(squares / time)) : 0ms;
    }
};

// Waiting work of one team of one priority, by the horizon of the target; the last has all of it.
using work_by_target = std::array<work_sum, targetHorizons.size() + 1>;

// Runs that are not stopped for new work of their priority: when they end at least, and what they
// then release.
using run_ends = std::vector<std::pair<duration, std::int64_t>>;

// A waiting gang that fits on no single worker.
struct wide_gang
{
    std::int32_t priority = 0;
    std::int64_t accelerators = 0; // of all members
    work_sum work;
};

// State of one service, from which the delays of its queues follow.
struct service_state
{
    resources capacity;
    resources largestWorker;
    resources freeOnWorker;
    resources freeInAll;
    std::map<std::string, resources> freeInRack;
    std::map<std::int32_t, work_sum> runs; // by priority
    resources unbounded; // used by runs without an end, which are never stopped
    std::map<std::int32_t, work_sum> waiting; // by priority
    std::map<std::int32_t, std::map<std::string, work_by_target>> ahead; // by priority and team
    std::map<std::int32_t, run_ends> ends; // by priority
    std::vector<wide_gang> wideGangs;
};

resources largerOf(const resources &a, const resources &b)
{
    return {std::max(a.cores, b.cores), std::max(a.memory, b.memory),
            std::max(a.accelerators, b.accelerators)};
}

// Runs may exceed a worker's capacity after it has shrunk.
resources withoutNegatives(const resources &one)
{
    return largerOf(one, {});
}

// Adds waiting work. Gangs that fit on no single worker may be passed by what does.
void addWaiting(service_state &service, const forecast_waiting &step)
{
    const resources demand = step.demand * step.count;
    if (step.isGang && !service.largestWorker.covers(demand)) {
        wide_gang &gang = service.wideGangs.emplace_back();
        gang.priority = step.priority;
        gang.accelerators = demand.accelerators;
        gang.work.add(step.demand, step.count, step.estimate);
        return;
    }
    service.waiting[step.priority].add(step.demand, step.count, step.estimate);
    if (!step.isAhead)
        return;
    work_by_target &works = service.ahead[step.priority][step.team];
    for (std::size_t i = 0; i < works.size(); ++i) {
        if (i == targetHorizons.size() || step.toTarget <= targetHorizons[i])
            works[i].add(step.demand, step.count, step.estimate);
    }
}

std::map<std::string, service_state> sumByService(const admission_state &state)
{
    std::map<std::string, service_state> services;
    for (const forecast_worker &worker : state.workers) {
        service_state &service = services[worker.service];
        const resources free = withoutNegatives(worker.free);
        service.capacity += worker.capacity;
        service.largestWorker = largerOf(service.largestWorker, worker.capacity);
        service.freeOnWorker = largerOf(service.freeOnWorker, free);
        service.freeInAll += free;
        service.freeInRack[worker.rack] += free;
    }
    for (const forecast_run &run : state.runs) {
        service_state &service = services[run.service];
        if (run.isUnbounded)
            service.unbounded += run.demand;
        else {
            service.runs[run.priority].add(run.demand, 1, run.left);
            service.ends[run.priority].emplace_back(run.left, run.demand.accelerators);
        }
    }
    for (const forecast_waiting &step : state.waiting) {
        service_state &service = services[step.service];
        // What fits on no worker holds up nothing.
        if (!service.largestWorker.covers(step.demand))
            continue;
        addWaiting(service, step);
    }
    return services;
}

// Returns the capacity that new jobs may use.
resources poolOf(const service_state &service)
{
    resources pool = service.capacity;
    pool -= service.unbounded;
    return withoutNegatives(pool);
}

// Returns the delay because of work that goes first. A new job starts while the last parts of that
// work still run, so that the time of such a part is taken off.
duration delayOf(const work_sum &work, const resources &pool)
{
    return std::max<duration>(0ms, timeForWork(work.amount, pool) - work.usualTime());
}

// Returns the delay because of runs of this or higher priority, which are not stopped for a new
// job, and of waiting work of higher priority. Work of lower priority is stopped if need be.
duration delayOfOtherPriorities(const service_state &service, std::int32_t priority)
{
    work_sum first;
    for (const auto &[other, work] : service.waiting) {
        if (other >= priority)
            break;
        first.add(work);
    }
    // Runs alone end one by one, and the first end may be enough for a new job.
    if (first.time <= 0)
        return 0ms;
    for (const auto &[other, work] : service.runs) {
        if (other <= priority)
            first.add(work);
    }
    return delayOf(first, poolOf(service));
}

duration roundedDown(duration time)
{
    return time / delayStep * delayStep;
}

// Returns the longest delay of a team by its own waiting work: jobs of priority 0 within a
// guarantee go first, so that this work gets the guaranteed accelerators at least.
duration longestDelay(const admission_state &state, const std::string &team, std::int32_t priority,
                      const work_sum &work, resources pool)
{
    const auto guaranteed = state.guarantees.find(team);
    if (priority != 0 || guaranteed == state.guarantees.end() || guaranteed->second <= 0)
        return longestTime;
    pool.accelerators = std::min(pool.accelerators, guaranteed->second);
    return delayOf(work, pool);
}

// Returns the delays because of waiting work of the same priority. Teams share capacity: a job of a
// team with little work does not wait for all the work of a team with much, but for at most as much
// of each other team's as its own team has.
// @param horizon index of the horizon of the targets
std::vector<team_outlook> teamDelays(const admission_state &state, const service_state &service,
                                     std::int32_t priority, std::size_t horizon)
{
    std::vector<team_outlook> delays;
    const auto found = service.ahead.find(priority);
    if (found == service.ahead.end())
        return delays;
    const resources pool = poolOf(service);
    std::vector<std::pair<duration, std::string>> alone;
    for (const auto &[team, works] : found->second)
        alone.emplace_back(delayOf(works[horizon], pool), team);
    std::sort(alone.begin(), alone.end());
    duration ofSmaller = 0ms;
    for (std::size_t i = 0; i < alone.size(); ++i) {
        const auto &[own, team] = alone[i];
        const auto atLeastAsMuch = static_cast<duration::rep>(alone.size() - i);
        const duration shared = std::min<duration>(longestTime, ofSmaller + own * atLeastAsMuch);
        const duration longest
            = longestDelay(state, team, priority, found->second.at(team)[horizon], pool);
        ofSmaller = std::min<duration>(longestTime, ofSmaller + own);
        if (const duration delay = roundedDown(std::min(shared, longest)); delay > 0ms)
            delays.push_back({team, delay});
    }
    std::reverse(delays.begin(), delays.end());
    return delays;
}

// Returns the delay of a gang until enough accelerators are free, if nothing else starts meanwhile.
duration releaseDelay(const service_state &service, std::int32_t priority,
                      std::int64_t accelerators, const run_ends &ends)
{
    std::int64_t free = poolOf(service).accelerators;
    for (const auto &[other, runs] : service.ends) {
        if (other > priority)
            break;
        for (const auto &[left, held] : runs)
            free -= held;
    }
    for (const auto &[left, held] : ends) {
        if (free >= accelerators)
            break;
        free += held;
        if (free >= accelerators)
            return left;
    }
    return 0ms; // now, or never as far as is known
}

// Returns the delay of a gang because of work that goes first. While the last of it runs, the gang
// needs its accelerators free, so that less of that time is taken off than for a small job.
duration gangDelay(const service_state &service, std::int32_t priority, std::int64_t accelerators)
{
    work_sum first;
    for (const auto &[other, work] : service.waiting) {
        if (other < priority)
            first.add(work);
    }
    for (const wide_gang &gang : service.wideGangs) {
        if (gang.priority < priority && gang.accelerators <= accelerators)
            first.add(gang.work);
    }
    if (first.time <= 0)
        return 0ms;
    for (const auto &[other, work] : service.runs) {
        if (other <= priority)
            first.add(work);
    }
    const resources pool = poolOf(service);
    if (pool.accelerators < accelerators)
        return 0ms;
    const double beside
        = 1 - static_cast<double>(accelerators) / static_cast<double>(pool.accelerators);
    return std::max<duration>(0ms,
                              timeForWork(first.amount, pool) - scaled(first.usualTime(), beside));
}

// Returns the delays of gangs of a priority, by size in steps of a factor of 2. A bound holds for
// the smallest gang of its class. Nothing is delayed while nothing waits.
std::vector<size_outlook> sizeDelays(const std::string &name, const service_state &service,
                                     std::int32_t priority)
{
    std::vector<size_outlook> delays;
    const bool hasWaiting = !service.wideGangs.empty() || !service.waiting.empty();
    if (!hasWaiting)
        return delays;
    run_ends ends;
    for (const auto &[other, runs] : service.ends) {
        if (other <= priority)
            ends.insert(ends.end(), runs.begin(), runs.end());
    }
    std::sort(ends.begin(), ends.end());
    const std::int64_t most = poolOf(service).accelerators;
    for (std::int64_t size = 2; size <= most && size <= largestMachine.accelerators; size *= 2) {
        const duration delay = roundedDown(std::max(releaseDelay(service, priority, size, ends),
                                                    gangDelay(service, priority, size)));
        if (delay > (delays.empty() ? 0ms : delays.back().delay))
            delays.push_back({name, priority, size, delay});
    }
    return delays;
}

std::int64_t runTimePercent(const forecast_queue &queue)
{
    constexpr std::int64_t largest = 10'000;
    if (queue.declared <= 0ms)
        return 100;
    return std::clamp<std::int64_t>(queue.expected.count() * 100 / queue.declared.count(), 1,
                                    largest);
}

service_outlook outlookOf(const std::string &name, const service_state &service)
{
    service_outlook outlook;
    outlook.service = name;
    outlook.capacity = poolOf(service);
    outlook.freeOnWorker = service.freeOnWorker;
    outlook.freeInAll = service.freeInAll;
    for (const auto &[rack, free] : service.freeInRack)
        outlook.freeInRack = largerOf(outlook.freeInRack, free);
    return outlook;
}

} // namespace

void resource_work::add(const resources &demand, std::int64_t count, duration each)
{
    const double time = static_cast<double>(count)
        * static_cast<double>(std::clamp<duration>(each, 0ms, longestRun).count());
    cores += static_cast<double>(demand.cores) * time;
    memory += static_cast<double>(demand.memory) * time;
    accelerators += static_cast<double>(demand.accelerators) * time;
}

resource_work &resource_work::operator+=(const resource_work &other)
{
    cores += other.cores;
    memory += other.memory;
    accelerators += other.accelerators;
    return *this;
}

duration timeForWork(const resource_work &work, const resources &pool)
{
    const auto timeFor = [](double amount, std::int64_t available) {
        // Without any of a resource, work that needs it can't run, and holds up nothing.
        if (amount <= 0 || available <= 0)
            return duration(0);
        const double time = amount / static_cast<double>(available);
        return time < static_cast<double>(duration(longestTime).count())
            ? duration(static_cast<duration::rep>(time))
            : duration(longestTime);
    };
    return std::max({timeFor(work.cores, pool.cores), timeFor(work.memory, pool.memory),
                     timeFor(work.accelerators, pool.accelerators)});
}

admission_outlook_message forecastAdmission(const admission_state &state)
{
    admission_outlook_message outlook;
    const std::map<std::string, service_state> services = sumByService(state);
    std::set<std::string> named;
    for (const forecast_queue &queue : state.queues) {
        const auto service = services.find(queue.service);
        if (service == services.end() || outlook.queues.size() == maxQueues)
            continue;
        queue_outlook next;
        next.queue = queue.name;
        next.service = queue.service;
        next.delay = roundedDown(delayOfOtherPriorities(service->second, queue.priority));
        next.teams = teamDelays(state, service->second, queue.priority, targetHorizons.size());
        next.teams.resize(std::min(next.teams.size(), maxTeamsPerQueue));
        next.runTimePercent = runTimePercent(queue);
        if (next.delay <= 0ms && next.teams.empty()
            && sizeDelays(queue.service, service->second, queue.priority).empty())
            continue;
        if (named.count(queue.service) == 0 && named.size() == maxServices)
            continue;
        if (named.insert(queue.service).second)
            outlook.services.push_back(outlookOf(queue.service, service->second));
        outlook.queues.push_back(std::move(next));
    }
    for (const auto &[team, used] : state.usedGuarantees) {
        if (outlook.guarantees.size() < maxGuarantees)
            outlook.guarantees.push_back({team, used});
    }
    return outlook;
}

admission_detail_message forecastDetail(const admission_state &state)
{
    admission_detail_message detail;
    const std::map<std::string, service_state> services = sumByService(state);
    std::set<std::pair<std::string, std::int32_t>> sized;
    for (const forecast_queue &queue : state.queues) {
        const auto service = services.find(queue.service);
        if (service == services.end())
            continue;
        for (std::size_t i = 0; i < targetHorizons.size(); ++i) {
            target_outlook next{queue.name, targetHorizons[i],
                                teamDelays(state, service->second, queue.priority, i)};
            next.teams.resize(std::min(next.teams.size(), maxTeamsPerTarget));
            if (!next.teams.empty() && detail.targets.size() < maxTargets)
                detail.targets.push_back(std::move(next));
        }
        if (!sized.insert({queue.service, queue.priority}).second)
            continue;
        for (size_outlook &next : sizeDelays(queue.service, service->second, queue.priority)) {
            if (detail.sizes.size() < maxSizes)
                detail.sizes.push_back(std::move(next));
        }
    }
    return detail;
}

} // namespace goldcrest
