#include "goldcrest/topology.h"

namespace goldcrest {

domain_index topology::domainOf(const std::string &name)
{
    const auto [found, isNew] = m_domainByName.emplace(name, domain_index(m_domains.size()));
    if (isNew)
        m_domains.push_back({name, {}});
    return found->second;
}

rack_index topology::rackOf(const worker_info &info)
{
    const auto key = std::make_pair(info.failureDomain, info.rack);
    const auto [found, isNew] = m_rackByName.emplace(key, rack_index(m_racks.size()));
    if (isNew) {
        const domain_index domain = domainOf(info.failureDomain);
        m_racks.push_back({domain, {}});
        m_domains[std::size_t(domain)].racks.push_back(found->second);
    }
    return found->second;
}

worker_index topology::add(const worker_info &info)
{
    const auto [found, isNew] = m_byId.emplace(info.id, worker_index(m_workers.size()));
    const worker_index index = found->second;
    const rack_index rack = rackOf(info);
    if (isNew) {
        m_workers.emplace_back();
        m_workers.back().blocked = unsigned(block_reason::Down);
    }
    worker_state &worker = m_workers[std::size_t(index)];
    if (isNew || worker.rack != rack) {
        if (!isNew) {
            std::vector<worker_index> &old = m_racks[std::size_t(worker.rack)].workers;
            old.erase(std::remove(old.begin(), old.end(), index), old.end());
        }
        m_racks[std::size_t(rack)].workers.push_back(index);
    }
    worker.info = info;
    worker.rack = rack;
    worker.domain = m_racks[std::size_t(rack)].domain;
    worker.capacity = load::ofWorker(info);
    return index;
}

worker_index topology::find(const worker_id &id) const
{
    const auto found = m_byId.find(id);
    return found == m_byId.end() ? none : found->second;
}

bool topology::setBlocked(worker_index worker, block_reason reason, bool on)
{
    worker_state &state = m_workers[std::size_t(worker)];
    const bool before = state.inService();
    state.blocked = on ? state.blocked | unsigned(reason) : state.blocked & ~unsigned(reason);
    return before != state.inService();
}

void topology::charge(worker_index worker, const load &use)
{
    m_workers[std::size_t(worker)].used += use;
}

void topology::release(worker_index worker, const load &use)
{
    m_workers[std::size_t(worker)].used -= use;
}

std::int32_t groupOf(const topology &cell, worker_index worker, adjacency closeness)
{
    switch (closeness) {
    case adjacency::None:
        return 0;
    case adjacency::FailureDomain:
        return cell.at(worker).domain;
    case adjacency::Rack:
        return cell.at(worker).rack;
    case adjacency::Worker:
        return worker;
    }
    return 0;
}

} // namespace goldcrest
