#include "goldcrest/capacity_index.h"

namespace goldcrest {

void capacity_index::count(rack_index rack, worker_index worker, const load &capacity, int sign)
{
    domain_capacity &domain = m_domains[std::size_t(m_cell.racks()[std::size_t(rack)].domain)];
    for (std::size_t size = 1; size <= maxCountedSize; ++size)
        domain.fitsBySize[size] += sign * (capacity.accelerators() / std::int64_t(size));
    domain.total += capacity * sign;
    std::int64_t &total = m_rackAccelerators[std::size_t(rack)];
    std::int32_t &workers = m_rackWorkers[std::size_t(rack)];
    if (workers > 0)
        domain.racks.erase({total, rack});
    total += sign * capacity.accelerators();
    workers += sign;
    if (workers > 0)
        domain.racks.insert({total, rack});
    if (sign > 0)
        m_workers.insert({capacity.accelerators(), worker});
    else
        m_workers.erase({capacity.accelerators(), worker});
}

void capacity_index::set(worker_index worker, const load &capacity)
{
    const std::size_t w = std::size_t(worker);
    if (m_capacity.size() <= w) {
        m_capacity.resize(w + 1);
        m_rackOf.resize(w + 1, -1);
    }
    if (m_domains.size() < m_cell.domains().size())
        m_domains.resize(m_cell.domains().size());
    if (m_rackAccelerators.size() < m_cell.racks().size()) {
        m_rackAccelerators.resize(m_cell.racks().size());
        m_rackWorkers.resize(m_cell.racks().size());
    }
    const load now = maxOf(capacity, load{});
    const rack_index rack = now == load{} ? -1 : m_cell.at(worker).rack;
    if (now == m_capacity[w] && rack == m_rackOf[w])
        return;
    if (m_rackOf[w] >= 0)
        count(m_rackOf[w], worker, m_capacity[w], -1);
    if (rack >= 0)
        count(rack, worker, now, 1);
    m_capacity[w] = now;
    m_rackOf[w] = rack;
}

std::int64_t capacity_index::mayFitIn(domain_index domain, const load &perTask) const
{
    const domain_capacity &here = m_domains[std::size_t(domain)];
    const std::size_t size = std::min(maxCountedSize, std::size_t(perTask.accelerators()));
    const std::int64_t fits = fitCount(here.total, perTask);
    return size > 0 ? std::min(fits, here.fitsBySize[size]) : fits;
}

bool capacity_index::mayFit(const load &perTask, std::int32_t tasks, adjacency closeness) const
{
    if (m_workers.empty())
        return false;
    const std::int64_t most = m_workers.rbegin()->first;
    if (closeness == adjacency::Worker || tasks == 1)
        return most >= perTask.accelerators() * tasks;
    if (most < perTask.accelerators())
        return false;
    std::int64_t total = 0;
    for (domain_index d = 0; std::size_t(d) < m_domains.size(); ++d) {
        const std::int64_t here = mayFitIn(d, perTask);
        total += here;
        if (closeness == adjacency::FailureDomain && here >= tasks)
            return true;
        const std::set<rack_key> &racks = m_domains[std::size_t(d)].racks;
        if (closeness == adjacency::Rack && !racks.empty()
            && racks.rbegin()->first >= perTask.accelerators() * tasks)
            return true;
    }
    return closeness == adjacency::None && total >= tasks;
}

} // namespace goldcrest
