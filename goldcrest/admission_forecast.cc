#include "goldcrest/admission_forecast.h"

#include <algorithm>
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
    std::map<std::int32_t, std::map<std::string, work_sum>> ahead; // by priority and team
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
        else
            service.runs[run.priority].add(run.demand, 1, run.left);
    }
    for (const forecast_waiting &step : state.waiting) {
        service_state &service = services[step.service];
        // What fits on no worker holds up nothing.
        if (!service.largestWorker.covers(step.demand))
            continue;
        service.waiting[step.priority].add(step.demand, step.count, step.estimate);
        if (step.isAhead)
            service.ahead[step.priority][step.team].add(step.demand, step.count, step.estimate);
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

// Returns the delays because of waiting work of the same priority. Teams share capacity: a job of a
// team with little work does not wait for all the work of a team with much, but for at most as much
// of each other team's as its own team has.
std::vector<team_outlook> teamDelays(const service_state &service, std::int32_t priority)
{
    std::vector<team_outlook> delays;
    const auto found = service.ahead.find(priority);
    if (found == service.ahead.end())
        return delays;
    std::vector<std::pair<duration, std::string>> alone;
    for (const auto &[team, work] : found->second)
        alone.emplace_back(delayOf(work, poolOf(service)), team);
    std::sort(alone.begin(), alone.end());
    duration ofSmaller = 0ms;
    for (std::size_t i = 0; i < alone.size(); ++i) {
        const auto atLeastAsMuch = static_cast<duration::rep>(alone.size() - i);
        const duration delay = roundedDown(
            std::min<duration>(longestTime, ofSmaller + alone[i].first * atLeastAsMuch));
        ofSmaller = std::min<duration>(longestTime, ofSmaller + alone[i].first);
        if (delay > 0ms)
            delays.push_back({alone[i].second, delay});
    }
    std::reverse(delays.begin(), delays.end());
    delays.resize(std::min(delays.size(), maxTeamsPerQueue));
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
        next.teams = teamDelays(service->second, queue.priority);
        next.runTimePercent = runTimePercent(queue);
        if (next.delay <= 0ms && next.teams.empty())
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

} // namespace goldcrest
