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
    const std::vector<time_point> times
        = request.onlyNow ? std::vector<time_point>{now} : startTimes(capacities, among, now);
    for (const time_point at : times) {
        if (auto chosen = assign(scratchAt(capacities, among, request, at, estimate), request))
            return placement{at, estimate, *std::move(chosen)};
    }
    return std::nullopt;
}

index_list eligibleIndexes(const std::vector<worker_capacity> &capacities,
                           const placement_request &request)
{
    if (request.eligible)
        return *request.eligible;
    index_list all;
    for (std::size_t i = 0; i < capacities.size(); ++i)
        all.push_back(i);
    return all;
}

std::map<std::string, index_list> indexesByRack(const std::vector<worker_capacity> &capacities,
                                                const index_list &eligible)
{
    std::map<std::string, index_list> racks;
    for (const std::size_t index : eligible)
        racks[capacities[index].rack].push_back(index);
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
    index_list eligible = eligibleIndexes(capacities, request);
    if (keepsTogether || !step.dataRack.empty()) {
        for (auto &[rack, among] : indexesByRack(capacities, eligible)) {
            const bool isNear = step.dataRack.empty() || rack == step.dataRack;
            if (isNear || keepsTogether)
                options.push_back({std::move(among), isNear ? 1 : remote});
        }
    }
    const double apart = (keepsTogether ? remote : 1) * (step.dataRack.empty() ? 1 : remote);
    options.push_back({std::move(eligible), apart});
    return options;
}

bool mayEvict(const placed_run &run, const eviction_rule &rule)
{
    if (run.isStopping || !run.mayStop || (run.isSpared && !rule.alsoSpared))
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

// Searches for the cheapest victims worker by worker, and keeps what it found for a worker until a
// choice affects it.
class victim_search
{
public:
    victim_search(const std::vector<worker_capacity> &capacities, const index_list &among,
                  const placement_request &request, const eviction_rule &rule, time_point now)
        : m_capacities(capacities)
        , m_request(request)
        , m_rule(rule)
        , m_demand(demandOf(*request.step))
        , m_now(now)
    {
        for (const std::size_t index : among) {
            candidate &added = m_candidates.emplace_back();
            added.index = index;
            added.tasks = placedOn(request, capacities[index]);
            update(added);
        }
    }

    // Chooses the worker of the next task. Returns false if the task fits nowhere.
    bool chooseNext(eviction &found)
    {
        candidate *best = nullptr;
        for (candidate &one : m_candidates) {
            const scratch_capacity limit{one.index, {}, one.tasks};
            if (one.victims && takesAnother(m_request, limit)
                && (!best || one.victims->loss < best->victims->loss))
                best = &one;
        }
        if (!best)
            return false;
        const std::set<std::size_t> units = best->victims->units;
        found.loss += best->victims->loss;
        found.where.indexes.push_back(best->index);
        best->taken += m_demand;
        ++best->tasks;
        m_chosen.insert(units.begin(), units.end());
        for (candidate &one : m_candidates) {
            if (&one == best || hasRunOf(one, units))
                update(one);
        }
        return true;
    }

    const std::set<std::size_t> &chosen() const { return m_chosen; }

private:
    struct candidate
    {
        std::size_t index = 0;
        std::int32_t tasks = 0; // of the step
        resources taken;
        std::optional<victim_set> victims;
    };

    void update(candidate &one) const
    {
        one.victims
            = victimsOn(m_capacities[one.index], m_demand, one.taken, m_chosen, m_rule, m_now);
    }

    bool hasRunOf(const candidate &one, const std::set<std::size_t> &units) const
    {
        const std::vector<placed_run> &runs = m_capacities[one.index].runs;
        return !units.empty() && std::any_of(runs.begin(), runs.end(), [&](const placed_run &run) {
            return units.count(run.unit) > 0;
        });
    }

    const std::vector<worker_capacity> &m_capacities;
    const placement_request &m_request;
    const eviction_rule &m_rule;
    resources m_demand;
    time_point m_now;
    std::vector<candidate> m_candidates;
    std::set<std::size_t> m_chosen;
};

std::optional<eviction> evictIn(const std::vector<worker_capacity> &capacities,
                                const index_list &among, const placement_request &request,
                                const eviction_rule &rule, duration estimate, time_point now)
{
    eviction found;
    found.where.start = now;
    found.where.estimate = estimate;
    victim_search search(capacities, among, request, rule, now);
    for (std::int32_t i = 0; i < request.count; ++i) {
        if (!search.chooseNext(found))
            return std::nullopt;
    }
    found.units.assign(search.chosen().begin(), search.chosen().end());
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
    auto chosen = assign(scratchAt(capacities, among, request, now, where.estimate), request);
    if (!chosen)
        return std::nullopt;
    return placement{now, where.estimate, *std::move(chosen)};
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
