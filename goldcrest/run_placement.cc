#include "goldcrest/run_placement.h"

#include "goldcrest/placement_options.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <set>
#include <tuple>

namespace goldcrest {

namespace {

using placing::eligibleIndexes;
using placing::index_list;
using placing::optionsOf;
using placing::placedOn;
using placing::placement_option;
using placing::slowestOf;
using placing::takesAnother;
using placing::timeAtSpeed;

// Maximum number of candidate start times, which are the expected ends of runs, to bound the time.
constexpr std::size_t maxStartTimes = 24;
// The next ones are all tried.
constexpr std::size_t nextStartTimes = 8;

// Weight of the extra run time at a slow placement, which occupies capacity that others could use.
constexpr double slowPlacementWeight = 0.5;

// Maximum number of sets of workers above some speed that are searched, to bound the time.
constexpr std::size_t maxSpeedSets = 4;

// Returns the capacity available on a worker at a time for a task that ends at `until`.
resources availableAt(const worker_capacity &capacity, time_point at, time_point until)
{
    resources available = capacity.free;
    for (const placed_run &run : capacity.runs) {
        if (run.endsAt <= at)
            available += run.demand;
    }
    if (until > capacity.reservedFrom)
        available -= capacity.reserved;
    return available;
}

// Capacity of one worker while tasks are assigned to it.
struct scratch_capacity
{
    std::size_t index = 0;
    resources available;
    std::int32_t tasks = 0; // of the step
    double speedRank = 0; // the lower one is preferred
    bool hasBadNeighbours = false; // or should be left to others all the same
    bool isSpared = false; // has no runs, and the request prefers others
    std::int64_t mismatch = 0; // of the end of the task and those of the runs there
};

// Sort key: no bad neighbours, no spared worker, then best fit: fewest accelerators left over, then
// by speed, then runs that end at a similar time, then fewest cores left over.
auto leftoverOf(const scratch_capacity &capacity, const resources &demand)
{
    return std::make_tuple(capacity.hasBadNeighbours, capacity.isSpared,
                           capacity.available.accelerators - demand.accelerators,
                           capacity.speedRank, capacity.mismatch,
                           capacity.available.cores - demand.cores, capacity.index);
}

// Sets the preferences of a request that spares free workers. A task that outlasts the runs of a
// worker puts off the time at which the worker is free, so it counts twice as much as one that ends
// earlier.
void spareFree(scratch_capacity &scratch, const worker_capacity &capacity, time_point at,
               time_point until)
{
    constexpr duration unit = 500ms; // estimates are no closer than that
    constexpr std::int64_t largest = 20;
    time_point last = at;
    for (const placed_run &run : capacity.runs)
        last = std::max(last, run.endsAt);
    scratch.isSpared = last == at;
    const std::int64_t outlasts
        = until > last ? (until - last) / unit : (last - until) / (unit * 2);
    scratch.mismatch = scratch.isSpared ? 0 : std::min(outlasts, largest);
}

// Returns how many tasks with this demand fit into the capacity, at most `limit`.
std::int64_t slotsIn(const resources &available, const resources &demand, std::int64_t limit)
{
    std::int64_t slots = limit;
    const auto bound = [&slots](std::int64_t have, std::int64_t need) {
        if (need > 0)
            slots = std::min(slots, std::max<std::int64_t>(0, have / need));
        else if (have < need)
            slots = 0;
    };
    bound(available.accelerators, demand.accelerators);
    bound(available.cores, demand.cores);
    bound(available.memory, demand.memory);
    return slots;
}

// Returns whether the capacities hold enough tasks in total. Cheaper than assigning them.
bool haveSlots(const std::vector<scratch_capacity> &capacities, const resources &demand,
               std::int32_t count)
{
    std::int64_t slots = 0;
    for (const scratch_capacity &capacity : capacities) {
        slots += slotsIn(capacity.available, demand, count);
        if (slots >= count)
            return true;
    }
    return false;
}

// Returns the worker index for each task, or nothing if not all tasks fit.
std::optional<index_list> assign(std::vector<scratch_capacity> capacities,
                                 const placement_request &request)
{
    const resources demand = demandOf(*request.step);
    if (!haveSlots(capacities, demand, request.count))
        return std::nullopt;
    index_list chosen;
    for (std::int32_t i = 0; i < request.count; ++i) {
        scratch_capacity *best = nullptr;
        for (scratch_capacity &capacity : capacities) {
            if (!capacity.available.covers(demand) || !takesAnother(request, capacity.tasks))
                continue;
            if (!best || leftoverOf(capacity, demand) < leftoverOf(*best, demand))
                best = &capacity;
        }
        if (!best)
            return std::nullopt;
        best->available -= demand;
        best->isSpared = false;
        // Tasks of the same image may slow each other.
        best->hasBadNeighbours
            = best->hasBadNeighbours || (request.images & request.avoidedImages) != 0;
        ++best->tasks;
        chosen.push_back(best->index);
    }
    return chosen;
}

// Finds the workers with runs of images that slow the step, or that it slows. Unused workers count
// like them unless there are enough: wide work needs whole ones, and waiting for them costs more
// than a slowdown.
void findBadNeighbours(std::vector<scratch_capacity> &scratch,
                       const std::vector<worker_capacity> &capacities,
                       const placement_request &request)
{
    constexpr std::size_t enoughOf = 8; // one of this many
    std::size_t unused = 0;
    for (scratch_capacity &one : scratch) {
        const worker_capacity &capacity = capacities[one.index];
        one.hasBadNeighbours = (capacity.images & request.avoidedImages) != 0;
        unused += capacity.runs.empty() ? 1 : 0;
    }
    if (unused * enoughOf >= scratch.size())
        return;
    for (scratch_capacity &one : scratch)
        one.hasBadNeighbours = one.hasBadNeighbours || capacities[one.index].runs.empty();
}

// @param estimate run time at speed 1
std::vector<scratch_capacity> scratchAt(const std::vector<worker_capacity> &capacities,
                                        const index_list &among, const placement_request &request,
                                        time_point at, duration estimate)
{
    const resources demand = demandOf(*request.step);
    std::vector<scratch_capacity> scratch;
    scratch.reserve(among.size());
    // It is not known yet which of these is the slowest member of a gang.
    const double slowest = request.count > 1 ? slowestOf(capacities, among) : 0;
    for (const std::size_t index : among) {
        const worker_capacity &capacity = capacities[index];
        const double speed = request.count > 1 ? slowest : capacity.speed;
        const time_point until = at + timeAtSpeed(estimate, speed);
        scratch.push_back({index, availableAt(capacity, at, until), placedOn(request, capacity),
                           request.prefersSlow ? capacity.speed : -capacity.speed});
        if (request.sparesFreeWorkers && scratch.back().available.covers(demand))
            spareFree(scratch.back(), capacity, at, until);
    }
    if (request.avoidedImages != 0)
        findBadNeighbours(scratch, capacities, request);
    return scratch;
}

// Returns the next of some start times, and further ones at growing distances up to the last one,
// when all runs have ended: it shows whether the tasks fit at all. With the next ones alone, 195
// workers are looked at for less than half a second, and work that fits a little later is expected
// to wait for the last run, so that other runs are stopped for it.
std::vector<time_point> spreadTimes(const std::vector<time_point> &times)
{
    if (times.size() <= maxStartTimes)
        return times;
    constexpr std::size_t steps = maxStartTimes - nextStartTimes;
    const std::size_t left = times.size() - nextStartTimes;
    std::vector<time_point> spread(times.begin(), times.begin() + nextStartTimes);
    std::size_t next = nextStartTimes;
    for (std::size_t step = 1; step <= steps; ++step) {
        next = std::max(next, nextStartTimes - 1 + left * step * step / (steps * steps));
        spread.push_back(times[next++]);
    }
    return spread;
}

std::vector<time_point> startTimes(const std::vector<worker_capacity> &capacities,
                                   const index_list &among, time_point now)
{
    std::set<time_point> times{now};
    for (const std::size_t index : among) {
        for (const placed_run &run : capacities[index].runs)
            times.insert(std::max(now, run.endsAt));
    }
    return spreadTimes({times.begin(), times.end()});
}

// Returns the placement on some workers that starts at a time, or nothing if the tasks don't fit.
std::optional<placement> placementAt(const std::vector<worker_capacity> &capacities,
                                     const index_list &among, const placement_request &request,
                                     duration estimate, time_point at)
{
    auto chosen = assign(scratchAt(capacities, among, request, at, estimate), request);
    if (!chosen)
        return std::nullopt;
    const duration there = timeAtSpeed(estimate, slowestOf(capacities, *chosen));
    return placement{at, there, *std::move(chosen)};
}

std::optional<placement> earliestIn(const std::vector<worker_capacity> &capacities,
                                    const index_list &among, const placement_request &request,
                                    duration estimate, time_point now)
{
    const std::vector<time_point> times
        = request.onlyNow ? std::vector<time_point>{now} : startTimes(capacities, among, now);
    for (const time_point at : times) {
        if (auto found = placementAt(capacities, among, request, estimate, at))
            return found;
    }
    return std::nullopt;
}

// Returns the speeds above `above` among some workers, in ascending order. Of more than
// maxSpeedSets, some between the lowest and the highest one are left out.
std::vector<double> speedsAbove(const std::vector<worker_capacity> &capacities,
                                const index_list &among, double above)
{
    std::set<double> distinct;
    for (const std::size_t index : among) {
        if (capacities[index].speed > above)
            distinct.insert(capacities[index].speed);
    }
    std::vector<double> speeds(distinct.begin(), distinct.end());
    if (speeds.size() <= maxSpeedSets)
        return speeds;
    std::vector<double> some;
    for (std::size_t i = 0; i < maxSpeedSets; ++i)
        some.push_back(speeds[i * (speeds.size() - 1) / (maxSpeedSets - 1)]);
    return some;
}

// Returns those of some workers whose speed is within the limits.
index_list withSpeed(const std::vector<worker_capacity> &capacities, const index_list &among,
                     double least, double most)
{
    index_list within;
    std::copy_if(among.begin(), among.end(), std::back_inserter(within), [&](std::size_t index) {
        return capacities[index].speed >= least && capacities[index].speed <= most;
    });
    return within;
}

// Returns the accelerators that stay free on the workers of a placement.
std::int64_t leftoverAccelerators(const std::vector<worker_capacity> &capacities,
                                  const placement_request &request, const placement &where)
{
    const std::set<std::size_t> workers(where.indexes.begin(), where.indexes.end());
    std::int64_t left
        = -demandOf(*request.step).accelerators * static_cast<std::int64_t>(where.indexes.size());
    for (const std::size_t index : workers) {
        const worker_capacity &capacity = capacities[index];
        left += availableAt(capacity, where.start, where.start + where.estimate).accelerators;
    }
    return left;
}

// Returns a placement on faster workers that starts at the same time, if it ends sooner by more
// than the dead band. Tasks don't wait for faster workers: the ends of the runs there are
// uncertain, and a unit within a guarantee would have other runs stopped meanwhile.
placement fasterThan(const std::vector<worker_capacity> &capacities, const index_list &among,
                     const placement_request &request, duration estimate, placement best)
{
    const duration band = scaled(estimate, speedDeadBand);
    const double slowest = slowestSpeed(capacities, best);
    for (const double least : speedsAbove(capacities, among, slowest)) {
        const index_list fast
            = withSpeed(capacities, among, least, std::numeric_limits<double>::max());
        auto found = placementAt(capacities, fast, request, estimate, best.start);
        if (!found)
            break; // they are too few, so that those above the next speed are too
        if (found->estimate + band < best.estimate)
            best = *std::move(found);
    }
    return best;
}

// Returns a placement of a gang on workers of the same speed, if it starts at the same time, is no
// slower, and leaves no more accelerators over. The faster members of a gang of mixed speeds would
// only wait for the slowest one.
placement evenlyFast(const std::vector<worker_capacity> &capacities, const index_list &among,
                     const placement_request &request, duration estimate, placement mixed)
{
    const double slowest = slowestSpeed(capacities, mixed);
    const bool isMixed
        = std::any_of(mixed.indexes.begin(), mixed.indexes.end(),
                      [&](std::size_t index) { return capacities[index].speed > slowest; });
    if (!isMixed)
        return mixed;
    const std::int64_t most = leftoverAccelerators(capacities, request, mixed);
    std::vector<double> speeds = speedsAbove(capacities, among, slowest);
    speeds.insert(speeds.begin(), slowest);
    for (const double speed : speeds) {
        auto found = placementAt(capacities, withSpeed(capacities, among, speed, speed), request,
                                 estimate, mixed.start);
        if (found && leftoverAccelerators(capacities, request, *found) <= most)
            return *std::move(found);
    }
    return mixed;
}

// Returns the earliest placement on some workers, or one that is preferred to it for the speed of
// the workers.
std::optional<placement> placementIn(const std::vector<worker_capacity> &capacities,
                                     const index_list &among, const placement_request &request,
                                     duration estimate, time_point now)
{
    auto found = earliestIn(capacities, among, request, estimate, now);
    const bool areAlike = std::all_of(among.begin(), among.end(), [&](std::size_t index) {
        return capacities[index].speed == capacities[among.front()].speed;
    });
    if (!found || areAlike)
        return found;
    if (!request.prefersSlow)
        found = fasterThan(capacities, among, request, estimate, *std::move(found));
    if (request.count > 1)
        found = evenlyFast(capacities, among, request, estimate, *std::move(found));
    return found;
}

// Chooses among the placements of several options. Those that start now are compared by their
// expected end, and so are those that start later. Between the best of each, the speed does not
// count, since tasks don't wait for faster workers.
class option_choice
{
public:
    // @param cost time until the end, with penalties
    // @param usualCost the same at speed 1
    void add(placement &&found, duration cost, duration usualCost, time_point now)
    {
        std::optional<candidate> &best = found.start <= now ? m_now : m_later;
        if (!best || cost < best->cost)
            best = candidate{std::move(found), cost, usualCost, m_added};
        ++m_added;
    }

    std::optional<placement> takeBest()
    {
        if (!m_now && !m_later)
            return std::nullopt;
        const auto rank
            = [](const candidate &one) { return std::make_tuple(one.usualCost, one.order); };
        const bool isNow = m_now && (!m_later || rank(*m_now) < rank(*m_later));
        return std::move((isNow ? m_now : m_later)->found);
    }

private:
    struct candidate
    {
        placement found;
        duration cost = 0ms;
        duration usualCost = 0ms;
        std::size_t order = 0;
    };

    std::optional<candidate> m_now;
    std::optional<candidate> m_later;
    std::size_t m_added = 0;
};

} // namespace

double slowestSpeed(const std::vector<worker_capacity> &capacities, const placement &where)
{
    return slowestOf(capacities, where.indexes);
}

duration timeAtUsualSpeed(const std::vector<worker_capacity> &capacities, const placement &where)
{
    // Covers what the conversion to the time at another speed and back rounds.
    constexpr duration rounding = 2ms;
    const double speed = slowestSpeed(capacities, where);
    return speed == 1 ? where.estimate : scaled(where.estimate, speed) - rounding;
}

std::optional<placement> bestPlacement(const std::vector<worker_capacity> &capacities,
                                       const placement_request &request, time_point now)
{
    option_choice choice;
    for (const placement_option &option : optionsOf(capacities, request)) {
        const duration estimate = scaled(request.estimate, option.factor);
        auto found = placementIn(capacities, option.among, request, estimate, now);
        if (!found)
            continue;
        const duration waits = found->start - now
            + scaled(request.estimate, (option.factor - 1) * slowPlacementWeight);
        const duration there = request.prefersSlow ? estimate : found->estimate;
        choice.add(*std::move(found), waits + there, waits + estimate, now);
    }
    return choice.takeBest();
}

std::optional<placement> placementNowOn(const std::vector<worker_capacity> &capacities,
                                        const placement_request &request, const placement &where,
                                        time_point now)
{
    index_list among = eligibleIndexes(capacities, request);
    among.erase(std::remove_if(among.begin(), among.end(),
                               [&where](std::size_t index) {
                                   return std::find(where.indexes.begin(), where.indexes.end(),
                                                    index)
                                       == where.indexes.end();
                               }),
                among.end());
    return placementAt(capacities, among, request, timeAtUsualSpeed(capacities, where), now);
}

void occupy(std::vector<worker_capacity> &capacities, const placement_request &request,
            const placement &where, const placed_run &run)
{
    for (const std::size_t index : where.indexes) {
        capacities[index].free -= demandOf(*request.step);
        capacities[index].runs.push_back(run);
    }
}

void reserveCapacity(std::vector<worker_capacity> &capacities, const placement_request &request,
                     const placement &where)
{
    for (const std::size_t index : where.indexes) {
        capacities[index].reserved += demandOf(*request.step);
        capacities[index].reservedFrom = std::min(capacities[index].reservedFrom, where.start);
    }
}

} // namespace goldcrest
