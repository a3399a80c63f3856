#pragma once

// Index of the room on each worker, so that a placement looks at few workers.
//
//   capacity_index index(cell);
//   index.set(worker, room);
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

    // Sets the room on a worker; a worker out of service has none.
    void set(worker_index worker, const load &room);

    load room(worker_index worker) const
    {
        return std::size_t(worker) < m_room.size() ? m_room[std::size_t(worker)] : load{};
    }

    // Returns false if totals rule it out.
    bool mayFit(const load &perTask, std::int32_t tasks, adjacency closeness) const;

    // Returns an upper bound of the tasks that fit into the domain.
    std::int64_t mayFitIn(domain_index domain, const load &perTask) const;

    // Returns the accelerators on all workers.
    std::int64_t totalAccelerators() const
    {
        std::int64_t total = 0;
        for (const domain_room &domain : m_domains)
            total += domain.fitsBySize[1];
        return total;
    }

    // Workers with at least this many accelerators free, fewest first.
    std::set<worker_key>::const_iterator workersFrom(std::int64_t accelerators) const
    {
        return m_workers.lower_bound({accelerators, 0});
    }
    std::set<worker_key>::const_iterator workersEnd() const { return m_workers.end(); }

    // Racks of a domain that have room, fewest accelerators first.
    const std::set<rack_key> &racksOf(domain_index domain) const
    {
        return m_domains[std::size_t(domain)].racks;
    }
    std::size_t domainCount() const { return m_domains.size(); }

private:
    // Tasks with more accelerators than this are counted as if they needed this many.
    static constexpr std::size_t maxSize = 16;

    struct domain_room
    {
        std::set<rack_key> racks;
        std::array<std::int64_t, maxSize + 1> fitsBySize{}; // [s]: tasks of s accelerators
        load total;
    };

    void count(rack_index rack, worker_index worker, const load &room, int sign);

    const topology &m_cell;
    std::vector<load> m_room;
    std::vector<rack_index> m_rackOf; // -1: no room counted
    std::vector<std::int64_t> m_rackAccelerators;
    std::vector<std::int32_t> m_rackWorkers; // workers with room
    std::vector<domain_room> m_domains;
    std::set<worker_key> m_workers;
};

} // namespace goldcrest
