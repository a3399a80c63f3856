#include "goldcrest/placement.h"

namespace goldcrest {

namespace {

// Limits on the number of workers and racks that a search probes. A worker with enough accelerators
// may lack cores, memory or slots. After maxProbesPerSize such workers with the same number of
// accelerators, the search continues with workers that have more.
constexpr int maxProbesPerSize = 24;
constexpr int maxProbes = 96;
constexpr int maxRackProbes = 32;

} // namespace

std::vector<placed_part> best_fit_placement::find(const placement_request &request,
                                                  const capacity_index &index,
                                                  const capacity_policy &policy)
{
    if (!index.mayFit(request.perTask, request.tasks, request.closeness))
        return {};
    if (request.tasks == 1)
        return findWorker(request, index, policy);
    switch (request.closeness) {
    case adjacency::Worker:
        return findWorker(request, index, policy);
    case adjacency::Rack:
        return findRack(request, index, policy);
    case adjacency::FailureDomain:
        return findDomain(request, index, policy);
    case adjacency::None:
        return findAnywhere(request, index, policy);
    }
    return {};
}

std::vector<placed_part> best_fit_placement::findWorker(const placement_request &request,
                                                        const capacity_index &index,
                                                        const capacity_policy &policy)
{
    const load need = request.perTask * request.tasks;
    auto it = index.workersFrom(need.accelerators());
    std::int64_t size = -1;
    int probesOfSize = 0;
    for (int probes = 0; probes < maxProbes && it != index.workersEnd(); ++probes) {
        ++m_examined;
        if (policy.usable(it->second).covers(need))
            return {{it->second, request.tasks}};
        probesOfSize = it->first == size ? probesOfSize + 1 : 1;
        size = it->first;
        if (probesOfSize < maxProbesPerSize)
            ++it;
        else
            it = index.workersFrom(size + 1);
    }
    return {};
}

std::vector<placed_part> best_fit_placement::fitInGroup(const placement_request &request,
                                                        const std::vector<worker_index> &workers,
                                                        const capacity_policy &policy,
                                                        std::int64_t &spare)
{
    std::vector<std::pair<std::int64_t, worker_index>> fits;
    std::int64_t total = 0;
    for (const worker_index w : workers) {
        ++m_examined;
        const std::int64_t count = fitCount(policy.usable(w), request.perTask);
        if (count > 0)
            fits.emplace_back(-count, w);
        total += count;
    }
    if (total < request.tasks)
        return {};
    spare = total - request.tasks;
    std::sort(fits.begin(), fits.end());
    std::vector<placed_part> parts;
    std::int32_t left = request.tasks;
    while (left > 0) {
        // The worker with the least capacity that fits all remaining tasks, else the one that fits
        // most.
        auto chosen = fits.begin();
        for (auto it = fits.begin(); it != fits.end() && -it->first >= left; ++it)
            chosen = it;
        const std::int32_t taken = std::int32_t(std::min<std::int64_t>(left, -chosen->first));
        parts.push_back({chosen->second, taken});
        left -= taken;
        fits.erase(chosen);
    }
    return parts;
}

std::vector<placed_part> best_fit_placement::findRack(const placement_request &request,
                                                      const capacity_index &index,
                                                      const capacity_policy &policy)
{
    std::vector<placed_part> best;
    std::int64_t bestSpare = std::numeric_limits<std::int64_t>::max();
    const std::int64_t wanted = request.perTask.accelerators() * request.tasks;
    for (domain_index d = 0; std::size_t(d) < index.domainCount(); ++d) {
        const auto &racks = index.racksOf(d);
        int probes = 0;
        for (auto it = racks.lower_bound({wanted, 0}); it != racks.end(); ++it) {
            if (++probes > maxRackProbes)
                break;
            std::int64_t spare = 0;
            std::vector<placed_part> parts = fitInGroup(
                request, m_cell.racks()[std::size_t(it->second)].workers, policy, spare);
            if (parts.empty())
                continue;
            if (spare < bestSpare) {
                best = std::move(parts);
                bestSpare = spare;
            }
            break;
        }
    }
    return best;
}

// Assigns tasks to the racks of a domain, those with the least capacity first, or those with the
// most capacity first. Returns whether none is left.
bool best_fit_placement::fillRacks(const placement_request &request, const capacity_index &index,
                                   const capacity_policy &policy, domain_index domain,
                                   bool fullestFirst, std::vector<placed_part> &parts,
                                   std::int32_t &left)
{
    const auto &racks = index.racksOf(domain);
    int misses = 0;
    const auto visit = [&](rack_index rack) {
        bool used = false;
        for (const worker_index w : m_cell.racks()[std::size_t(rack)].workers) {
            ++m_examined;
            const std::int64_t count = fitCount(policy.usable(w), request.perTask);
            const std::int32_t taken = std::int32_t(std::min<std::int64_t>(left, count));
            if (taken == 0)
                continue;
            parts.push_back({w, taken});
            left -= taken;
            used = true;
            if (left == 0)
                return false;
        }
        misses += used ? 0 : 1;
        return misses <= maxRackProbes;
    };
    if (fullestFirst) {
        for (auto it = racks.rbegin(); it != racks.rend() && visit(it->second); ++it) { }
    } else {
        auto it = racks.lower_bound({request.perTask.accelerators(), 0});
        while (it != racks.end() && visit(it->second))
            ++it;
    }
    return left == 0;
}

std::vector<placed_part> best_fit_placement::findDomain(const placement_request &request,
                                                        const capacity_index &index,
                                                        const capacity_policy &policy)
{
    std::vector<std::pair<std::int64_t, domain_index>> order;
    for (domain_index d = 0; std::size_t(d) < index.domainCount(); ++d) {
        const std::int64_t fits = index.mayFitIn(d, request.perTask);
        if (fits >= request.tasks)
            order.emplace_back(fits, d);
    }
    std::sort(order.begin(), order.end());
    for (const auto &[fits, domain] : order) {
        for (const bool fullestFirst : {false, true}) {
            std::vector<placed_part> parts;
            std::int32_t left = request.tasks;
            if (fillRacks(request, index, policy, domain, fullestFirst, parts, left))
                return parts;
        }
    }
    return {};
}

std::vector<placed_part> best_fit_placement::findAnywhere(const placement_request &request,
                                                          const capacity_index &index,
                                                          const capacity_policy &policy)
{
    for (const bool fullestFirst : {false, true}) {
        std::vector<placed_part> parts;
        std::int32_t left = request.tasks;
        for (domain_index d = 0; std::size_t(d) < index.domainCount(); ++d) {
            if (fillRacks(request, index, policy, d, fullestFirst, parts, left))
                return parts;
        }
    }
    return {};
}

std::vector<placed_part> best_fit_placement::findAmong(const placement_request &request,
                                                       const std::vector<worker_index> &workers,
                                                       const capacity_policy &policy)
{
    std::map<std::int32_t, std::vector<worker_index>> groups;
    for (const worker_index w : workers) {
        groups[groupOf(m_cell, w, request.closeness)].push_back(w);
    }
    std::vector<placed_part> best;
    std::int64_t bestSpare = std::numeric_limits<std::int64_t>::max();
    for (const auto &[group, members] : groups) {
        std::int64_t spare = 0;
        std::vector<placed_part> parts = fitInGroup(request, members, policy, spare);
        if (!parts.empty() && spare < bestSpare) {
            best = std::move(parts);
            bestSpare = spare;
        }
    }
    return best;
}

} // namespace goldcrest
