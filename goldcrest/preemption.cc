#include "goldcrest/preemption.h"

namespace goldcrest {

namespace {

// Returns the share of `missing` that `freed` covers, taken from the dimension where it is largest.
double usefulShare(const load &missing, const load &freed)
{
    double share = 0;
    for (std::size_t i = 0; i < load::dimensions; ++i) {
        if (missing.v[i] > 0)
            share = std::max(share,
                             double(std::min(missing.v[i], freed.v[i])) / double(missing.v[i]));
    }
    return share;
}

using shortage_index = std::unordered_map<worker_index, std::size_t>;

// Returns the sum over workers of the share of the remaining shortage that the candidate would
// free.
double usefulness(const std::vector<shortage> &remaining, const shortage_index &byWorker,
                  const victim_candidate &candidate)
{
    double useful = 0;
    for (const placed_part &part : candidate.parts) {
        const auto found = byWorker.find(part.worker);
        if (found != byWorker.end())
            useful += usefulShare(remaining[found->second].missing, candidate.perTask * part.tasks);
    }
    return useful;
}

void subtract(std::vector<shortage> &remaining, const shortage_index &byWorker,
              const victim_candidate &candidate, std::int64_t sign)
{
    for (const placed_part &part : candidate.parts) {
        const auto found = byWorker.find(part.worker);
        if (found != byWorker.end())
            remaining[found->second].missing -= candidate.perTask * (sign * part.tasks);
    }
}

bool isCovered(const std::vector<shortage> &remaining)
{
    return std::all_of(remaining.begin(), remaining.end(),
                       [](const shortage &s) { return load{}.covers(s.missing); });
}

} // namespace

victim_set chooseVictims(const std::vector<shortage> &shortages,
                         const std::vector<victim_candidate> &candidates)
{
    std::vector<shortage> remaining = shortages;
    shortage_index byWorker;
    for (std::size_t i = 0; i < remaining.size(); ++i)
        byWorker[remaining[i].worker] = i;
    std::vector<bool> taken(candidates.size());
    std::vector<std::size_t> order;
    while (!isCovered(remaining)) {
        std::size_t best = candidates.size();
        double bestRate = 0;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (taken[i])
                continue;
            const double useful = usefulness(remaining, byWorker, candidates[i]);
            // Adding 1 keeps the rate finite for jobs that are already stopping and cost nothing.
            const double rate = useful / (candidates[i].cost + 1);
            if (rate > bestRate) {
                best = i;
                bestRate = rate;
            }
        }
        if (best == candidates.size())
            return {};
        taken[best] = true;
        order.push_back(best);
        subtract(remaining, byWorker, candidates[best], 1);
    }
    victim_set result;
    result.isEnough = true;
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return candidates[a].cost > candidates[b].cost;
    });
    for (const std::size_t i : order) {
        subtract(remaining, byWorker, candidates[i], -1);
        if (isCovered(remaining))
            continue;
        subtract(remaining, byWorker, candidates[i], 1);
        result.jobs.push_back(candidates[i].job);
        result.cost += candidates[i].cost;
    }
    return result;
}

double lost_work_cost::of(const job_entry &entry, time_point now) const
{
    const double width = double(std::max<std::int64_t>(1, entry.total().accelerators()));
    const duration lost = entry.spec.canCheckpoint ? 0ms : now - entry.placedAt;
    return width * double((lost + entry.spec.stopTime).count());
}

} // namespace goldcrest
