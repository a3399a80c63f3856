#pragma once

// Index of the capacity on each worker, ordered by accelerators, so that a placement searches few
// workers instead of the whole cell.
//
//   capacity_index index(cell);
//   index.set(worker, capacity);
//   for (auto it = index.workersFrom(accelerators); it != index.workersEnd(); ++it) ...

#include "goldcrest/topology.h"

#include <array>
#include <set>
#include <utility>
#include <vector>

namespace goldcrest {

class capacity_index
{
public:
    using worker_key = std::pair<std::int64_t, worker_index>; // accelerators, worker
    using rack_key = std::pair<std::int64_t, rack_index>;

    explicit capacity_index(const topology &cell)
        : m_cell(cell)
    { }

    // Sets the capacity on a worker; negative amounts count as zero. The caller passes an empty
    // load for a worker that is out of service.
    void set(worker_index worker, const load &capacity);

    load capacity(worker_index worker) const
    {
        return std::size_t(worker) < m_capacity.size() ? m_capacity[std::size_t(worker)] : load{};
    }

    // Returns false if the totals prove that the gang does not fit. True is no proof that it fits.
    bool mayFit(const load &perTask, std::int32_t tasks, adjacency closeness) const;

    // Returns an upper bound of the number of tasks that fit into the domain.
    std::int64_t mayFitIn(domain_index domain, const load &perTask) const;

    // Returns the sum of the indexed accelerators over all workers.
    std::int64_t totalAccelerators() const
    {
        std::int64_t total = 0;
        for (const domain_capacity &domain : m_domains)
            total += domain.fitsBySize[1];
        return total;
    }

    // Returns the first worker with at least this many accelerators, in ascending order; iterate up
    // to workersEnd().
    std::set<worker_key>::const_iterator workersFrom(std::int64_t accelerators) const
    {
        return m_workers.lower_bound({accelerators, 0});
    }
    std::set<worker_key>::const_iterator workersEnd() const { return m_workers.end(); }

    // Returns the racks of a domain that have capacity, fewest accelerators first.
    const std::set<rack_key> &racksOf(domain_index domain) const
    {
        return m_domains[std::size_t(domain)].racks;
    }
    std::size_t domainCount() const { return m_domains.size(); }

private:
    // Tasks with more accelerators than this are counted as if they needed only this many, which
    // keeps the counts an upper bound.
    static constexpr std::size_t maxCountedSize = 16;

    struct domain_capacity
    {
        std::set<rack_key> racks;
        // [s]: number of tasks of s accelerators that fit.
        std::array<std::int64_t, maxCountedSize + 1> fitsBySize{};
        load total;
    };

    void count(rack_index rack, worker_index worker, const load &capacity, int sign);

    const topology &m_cell;
    std::vector<load> m_capacity;
    std::vector<rack_index> m_rackOf; // -1: the worker has no capacity
    std::vector<std::int64_t> m_rackAccelerators;
    std::vector<std::int32_t> m_rackWorkers; // workers with capacity
    std::vector<domain_capacity> m_domains;
    std::set<worker_key> m_workers;
};

} // namespace goldcrest
