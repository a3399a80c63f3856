// The choice of running work to stop for a claim.

#include "goldcrest/placement_options.h"
#include "goldcrest/run_placement.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <set>
#include <tuple>

namespace goldcrest {

namespace {

using placing::index_list;
using placing::optionsOf;
using placing::placedOn;
using placing::placement_option;
using placing::slowestOf;
using placing::takesAnother;
using placing::timeAtSpeed;

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

// Returns the capacity that is free now, becomes free soon, or is freed by the units chosen so far.
resources capacityAfterStops(const worker_capacity &capacity, const std::set<std::size_t> &chosen,
                             const eviction_rule &rule, time_point now)
{
    resources available = capacity.free;
    available -= capacity.reserved;
    for (const placed_run &run : capacity.runs) {
        if (run.isStopping || run.endsAt <= now + rule.imminentEnd || chosen.count(run.unit) > 0)
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
    resources available = capacityAfterStops(capacity, chosen, rule, now);
    available -= taken;
    std::vector<const placed_run *> candidates;
    for (const placed_run &run : capacity.runs) {
        const bool isCounted = run.endsAt <= now + rule.imminentEnd || chosen.count(run.unit) > 0;
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
            if (one.victims && takesAnother(m_request, one.tasks)
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
    victim_search search(capacities, among, request, rule, now);
    for (std::int32_t i = 0; i < request.count; ++i) {
        if (!search.chooseNext(found))
            return std::nullopt;
    }
    found.where.estimate = timeAtSpeed(estimate, slowestOf(capacities, found.where.indexes));
    found.units.assign(search.chosen().begin(), search.chosen().end());
    return found;
}

} // namespace

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

} // namespace goldcrest
