#pragma once

// Workers, racks and failure domains of a cell, with the capacity and the use of each worker.
//
//   topology cell;
//   worker_index w = cell.add(info);
//   cell.setBlocked(w, block_reason::Suspended, true);
//   cell.charge(w, need);
//   if (cell.at(w).inService()) ...

#include "goldcrest/load.h"

#include <map>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace goldcrest {

using worker_index = std::int32_t;
using rack_index = std::int32_t;
using domain_index = std::int32_t;

// Reasons why a worker takes no new tasks, as bits; a worker may have several at a time.
enum class block_reason : unsigned {
    Down = 1,
    Suspended = 2,
    Drained = 4,
    DomainOut = 8,
    Quarantined = 16
};

struct worker_state
{
    worker_info info;
    rack_index rack = 0;
    domain_index domain = 0;
    load capacity;
    load used; // of running, stopping and claiming jobs
    unsigned blocked = 0; // bits of block_reason

    bool inService() const { return blocked == 0; }
    // Returns the unused capacity. It is negative while a claim waits for borrowers to stop.
    load free() const { return capacity - used; }
};

struct rack_state
{
    domain_index domain = 0;
    std::vector<worker_index> workers;
};

struct domain_state
{
    std::string name;
    std::vector<rack_index> racks;
};

// Tasks of a gang on one worker, by index.
struct placed_part
{
    worker_index worker = 0;
    std::int32_t tasks = 0;
};

class topology
{
public:
    static constexpr worker_index none = -1;

    // Adds a worker with the reason Down, or updates a known one. A worker that changed its rack or
    // failure domain is moved.
    worker_index add(const worker_info &info);

    // Returns the worker's index, or `none`.
    worker_index find(const worker_id &id) const;

    // Sets or clears a reason. Returns whether the worker went into or out of service.
    bool setBlocked(worker_index worker, block_reason reason, bool on);

    // Adds to the use of a worker, and subtracts from it.
    void charge(worker_index worker, const load &use);
    void release(worker_index worker, const load &use);

    const worker_state &at(worker_index worker) const { return m_workers[std::size_t(worker)]; }
    const std::vector<worker_state> &workers() const { return m_workers; }
    const std::vector<rack_state> &racks() const { return m_racks; }
    const std::vector<domain_state> &domains() const { return m_domains; }

private:
    rack_index rackOf(const worker_info &info);
    domain_index domainOf(const std::string &name);

    std::vector<worker_state> m_workers;
    std::vector<rack_state> m_racks;
    std::vector<domain_state> m_domains;
    std::unordered_map<worker_id, worker_index> m_byId;
    std::map<std::pair<std::string, std::string>, rack_index> m_rackByName;
    std::map<std::string, domain_index> m_domainByName;
};

// Returns the group of the worker at a level of adjacency. Two workers meet that level if their
// groups are equal.
std::int32_t groupOf(const topology &cell, worker_index worker, adjacency closeness);

} // namespace goldcrest
