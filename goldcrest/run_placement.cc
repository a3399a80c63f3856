#include "goldcrest/run_placement.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace goldcrest {

namespace {

// Maximum number of candidate start times, which are the expected ends of runs. Estimates further
// ahead are too unreliable.
constexpr std::size_t maxStartTimes = 24;

// Weight of the extra run time at a slow placement, which occupies capacity that others could use.
constexpr double slowPlacementWeight = 0.5;

using index_list = std::vector<std::size_t>; // indexes of worker capacities

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
};

std::int32_t placedOn(const placement_request &request, const worker_capacity &capacity)
{
    const auto found = request.placedBefore.find(capacity.worker);
    return found == request.placedBefore.end() ? 0 : found->second;
}

bool takesAnother(const placement_request &request, const scratch_capacity &capacity)
{
    return request.step->maxPerWorker == 0 || capacity.tasks < request.step->maxPerWorker;
}

// Sort key for best fit: fewest accelerators, then fewest cores, left over.
auto leftoverOf(const scratch_capacity &capacity, const resources &demand)
{
    return std::make_tuple(capacity.available.accelerators - demand.accelerators,
                           capacity.available.cores - demand.cores, capacity.index);
}

// Returns the worker index for each task, or nothing if not all tasks fit.
std::optional<index_list> assign(std::vector<scratch_capacity> capacities,
                                 const placement_request &request)
{
    const resources demand = demandOf(*request.step);
    index_list chosen;
    for (std::int32_t i = 0; i < request.count; ++i) {
        scratch_capacity *best = nullptr;
        for (scratch_capacity &capacity : capacities) {
            if (!capacity.available.covers(demand) || !takesAnother(request, capacity))
                continue;
            if (!best || leftoverOf(capacity, demand) < leftoverOf(*best, demand))
                best = &capacity;
        }
        if (!best)
            return std::nullopt;
        best->available -= demand;
        ++best->tasks;
        chosen.push_back(best->index);
    }
    return chosen;
}

std::vector<scratch_capacity> scratchAt(const std::vector<worker_capacity> &capacities,
                                        const index_list &among, const placement_request &request,
                                        time_point at, duration estimate)
{
    std::vector<scratch_capacity> scratch;
    for (const std::size_t index : among) {
        const worker_capacity &capacity = capacities[index];
        scratch.push_back(
            {index, availableAt(capacity, at, at + estimate), placedOn(request, capacity)});
    }
    return scratch;
}

std::vector<time_point> startTimes(const std::vector<worker_capacity> &capacities,
                                   const index_list &among, time_point now)
{
    std::set<time_point> times{now};
    for (const std::size_t index : among) {
        for (const placed_run &run : capacities[index].runs)
            times.insert(std::max(now, run.endsAt));
    }
    std::vector<time_point> ordered(times.begin(), times.end());
    if (ordered.size() > maxStartTimes) {
        // Keep the last time, when all runs have ended: it shows whether the tasks fit at all.
        ordered[maxStartTimes - 1] = ordered.back();
        ordered.resize(maxStartTimes);
    }
    return ordered;
}

std::optional<placement> earliestIn(const std::vector<worker_capacity> &capacities,
                                    const index_list &among, const placement_request &request,
                                    duration estimate, time_point now)
{
    for (const time_point at : startTimes(capacities, among, now)) {
        if (auto chosen = assign(scratchAt(capacities, among, request, at, estimate), request))
            return placement{at, estimate, *std::move(chosen)};
    }
    return std::nullopt;
}

index_list allIndexes(const std::vector<worker_capacity> &capacities)
{
    index_list all;
    for (std::size_t i = 0; i < capacities.size(); ++i)
        all.push_back(i);
    return all;
}

std::map<std::string, index_list> indexesByRack(const std::vector<worker_capacity> &capacities)
{
    std::map<std::string, index_list> racks;
    for (std::size_t i = 0; i < capacities.size(); ++i)
        racks[capacities[i].rack].push_back(i);
    return racks;
}

// A set of workers with the factor by which the step runs slower there.
struct placement_option
{
    index_list among;
    double factor = 1;
};

std::vector<placement_option> optionsOf(const std::vector<worker_capacity> &capacities,
                                        const placement_request &request)
{
    const step_spec &step = *request.step;
    const bool keepsTogether = step.sameRack && request.count > 1;
    std::vector<placement_option> options;
    const double remote = request.remoteFactor;
    if (keepsTogether || !step.dataRack.empty()) {
        for (auto &[rack, among] : indexesByRack(capacities)) {
            const bool isNear = step.dataRack.empty() || rack == step.dataRack;
            if (isNear || keepsTogether)
                options.push_back({std::move(among), isNear ? 1 : remote});
        }
    }
    const double apart = (keepsTogether ? remote : 1) * (step.dataRack.empty() ? 1 : remote);
    options.push_back({allIndexes(capacities), apart});
    return options;
}

bool mayEvict(const placed_run &run, const eviction_rule &rule)
{
    if (run.isStopping || !run.mayStop)
        return false;
    if (rule.anyUnit)
        return true;
    if (run.isGuaranteed)
        return false;
    return run.priority > rule.belowPriority || rule.alsoUnguaranteed;
}

// A run that is expected to end within this time is not stopped, because stopping it takes almost
// as long.
constexpr duration imminentEnd = 700ms;

// Returns the capacity that is free now, becomes free soon, or is freed by the units chosen so far.
resources capacityAfterStops(const worker_capacity &capacity, const std::set<std::size_t> &chosen,
                             time_point now)
{
    resources available = capacity.free;
    available -= capacity.reserved;
    for (const placed_run &run : capacity.runs) {
        if (run.isStopping || run.endsAt <= now + imminentEnd || chosen.count(run.unit) > 0)
            available += run.demand;
    }
    return available;
}

struct victim_set
{
    std::set<std::size_t> units;
    double loss = 0;
};

// Returns the units to stop on one worker, cheapest first, so that the demand fits in addition to
// `taken`.
std::optional<victim_set> victimsOn(const worker_capacity &capacity, const resources &demand,
                                    const resources &taken, const std::set<std::size_t> &chosen,
                                    const eviction_rule &rule, time_point now)
{
    resources available = capacityAfterStops(capacity, chosen, now);
    available -= taken;
    std::vector<const placed_run *> candidates;
    for (const placed_run &run : capacity.runs) {
        const bool isCounted = run.endsAt <= now + imminentEnd || chosen.count(run.unit) > 0;
        if (!isCounted && mayEvict(run, rule))
            candidates.push_back(&run);
    }
    std::sort(candidates.begin(), candidates.end(), [](const placed_run *a, const placed_run *b) {
        return std::make_tuple(a->isGuaranteed, a->lossOnStop, a->unit)
            < std::make_tuple(b->isGuaranteed, b->lossOnStop, b->unit);
    });
    victim_set victims;
    for (const placed_run *run : candidates) {
        if (available.covers(demand))
            break;
        available += run->demand;
        if (victims.units.insert(run->unit).second)
            victims.loss += run->lossOnStop;
    }
    if (!available.covers(demand))
        return std::nullopt;
    return victims;
}

std::optional<eviction> evictIn(const std::vector<worker_capacity> &capacities,
                                const index_list &among, const placement_request &request,
                                const eviction_rule &rule, duration estimate, time_point now)
{
    const resources demand = demandOf(*request.step);
    std::set<std::size_t> chosen;
    std::map<std::size_t, resources> taken;
    std::map<std::size_t, std::int32_t> tasks;
    eviction found;
    found.where.start = now;
    found.where.estimate = estimate;
    for (std::int32_t i = 0; i < request.count; ++i) {
        std::optional<victim_set> best;
        std::size_t bestIndex = 0;
        for (const std::size_t index : among) {
            const scratch_capacity limit{
                index, {}, placedOn(request, capacities[index]) + tasks[index]};
            if (!takesAnother(request, limit))
                continue;
            auto victims = victimsOn(capacities[index], demand, taken[index], chosen, rule, now);
            if (victims && (!best || victims->loss < best->loss)) {
                best = std::move(victims);
                bestIndex = index;
            }
        }
        if (!best)
            return std::nullopt;
        chosen.insert(best->units.begin(), best->units.end());
        found.loss += best->loss;
        taken[bestIndex] += demand;
        ++tasks[bestIndex];
        found.where.indexes.push_back(bestIndex);
    }
    found.units.assign(chosen.begin(), chosen.end());
    return found;
}

} // namespace

resources demandOf(const step_spec &step)
{
    resources demand = step.perTask;
    if (step.bestEffort)
        demand.cores = 0;
    return demand;
}

std::optional<placement> bestPlacement(const std::vector<worker_capacity> &capacities,
                                       const placement_request &request, time_point now)
{
    std::optional<placement> best;
    duration bestCost = duration::max();
    for (const placement_option &option : optionsOf(capacities, request)) {
        const duration estimate = scaled(request.estimate, option.factor);
        auto found = earliestIn(capacities, option.among, request, estimate, now);
        if (!found)
            continue;
        const duration cost = found->start - now + estimate
            + scaled(request.estimate, (option.factor - 1) * slowPlacementWeight);
        if (cost < bestCost) {
            bestCost = cost;
            best = std::move(found);
        }
    }
    return best;
}

std::optional<eviction> cheapestEviction(const std::vector<worker_capacity> &capacities,
                                         const placement_request &request,
                                         const eviction_rule &rule, time_point now)
{
    std::optional<eviction> best;
    double bestCost = 0;
    const resources demand = demandOf(*request.step) * request.count;
    for (const placement_option &option : optionsOf(capacities, request)) {
        const duration estimate = scaled(request.estimate, option.factor);
        auto found = evictIn(capacities, option.among, request, rule, estimate, now);
        if (!found || found->loss > rule.maxLoss)
            continue;
        const double extra = static_cast<double>(demand.cores) / 1000
            * static_cast<double>(request.estimate.count()) / 1000 * (option.factor - 1);
        const double cost = found->loss + extra;
        if (!best || cost < bestCost) {
            bestCost = cost;
            best = std::move(found);
        }
    }
    return best;
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
