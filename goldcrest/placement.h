#pragma once

// Finds workers for a gang with a capacity index instead of a scan over all workers.
//
//   best_fit_placement strategy(cell);
//   std::vector<placed_part> parts = strategy.find({perTask, tasks, closeness}, index, policy);

#include "goldcrest/capacity_index.h"

#include <cstdint>
#include <vector>

namespace goldcrest {

struct placement_request
{
    load perTask;
    std::int32_t tasks = 1;
    adjacency closeness = adjacency::None;
};

// Limits what a job may use on a worker. The result never exceeds the capacity in the index that is
// searched with this policy.
class capacity_policy
{
public:
    virtual ~capacity_policy() = default;
    virtual load usable(worker_index worker) const = 0;
};

class placement_strategy
{
public:
    virtual ~placement_strategy() = default;

    // Returns the parts of the whole gang, or nothing if no place was found. The number of probes
    // is limited, so a place can exist all the same.
    virtual std::vector<placed_part> find(const placement_request &request,
                                          const capacity_index &index,
                                          const capacity_policy &policy)
        = 0;

    // Returns the parts of the whole gang on workers of a short list, or nothing if it does not
    // fit.
    virtual std::vector<placed_part> findAmong(const placement_request &request,
                                               const std::vector<worker_index> &workers,
                                               const capacity_policy &policy)
        = 0;

    // Returns how many workers were examined so far.
    virtual std::uint64_t examined() const = 0;
};

// Selects the worker, rack or failure domain with the least capacity that fits. A gang without
// adjacency fills partly used racks first, so that whole racks stay free for shapes that need them.
class best_fit_placement final : public placement_strategy
{
public:
    explicit best_fit_placement(const topology &cell)
        : m_cell(cell)
    { }

    std::vector<placed_part> find(const placement_request &request, const capacity_index &index,
                                  const capacity_policy &policy) override;
    std::vector<placed_part> findAmong(const placement_request &request,
                                       const std::vector<worker_index> &workers,
                                       const capacity_policy &policy) override;
    std::uint64_t examined() const override { return m_examined; }

private:
    std::vector<placed_part> findWorker(const placement_request &request,
                                        const capacity_index &index, const capacity_policy &policy);
    std::vector<placed_part> findRack(const placement_request &request, const capacity_index &index,
                                      const capacity_policy &policy);
    std::vector<placed_part> findDomain(const placement_request &request,
                                        const capacity_index &index, const capacity_policy &policy);
    std::vector<placed_part> findAnywhere(const placement_request &request,
                                          const capacity_index &index,
                                          const capacity_policy &policy);
    std::vector<placed_part> fitInGroup(const placement_request &request,
                                        const std::vector<worker_index> &workers,
                                        const capacity_policy &policy, std::int64_t &spare);
    bool fillRacks(const placement_request &request, const capacity_index &index,
                   const capacity_policy &policy, domain_index domain, bool fullestFirst,
                   std::vector<placed_part> &parts, std::int32_t &left);

    const topology &m_cell;
    std::uint64_t m_examined = 0;
};

} // namespace goldcrest
