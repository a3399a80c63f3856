#pragma once

// Finds workers for a gang by looking at the index, not at every worker.
//
//   best_fit_placement strategy(cell);
//   std::vector<placed_part> parts = strategy.find({perTask, tasks, closeness}, index, room);

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

// What a job may use on a worker. Never more than the index that is searched with it.
class room_policy
{
public:
    virtual ~room_policy() = default;
    virtual load room(worker_index worker) const = 0;
};

class placement_strategy
{
public:
    virtual ~placement_strategy() = default;

    // Returns the parts of the whole gang, or nothing if no place was found.
    virtual std::vector<placed_part> find(const placement_request &request,
                                          const capacity_index &index, const room_policy &room)
        = 0;

    // Places the gang on a short list of workers.
    virtual std::vector<placed_part> findAmong(const placement_request &request,
                                               const std::vector<worker_index> &workers,
                                               const room_policy &room)
        = 0;

    // Returns how many workers and racks were looked at so far.
    virtual std::uint64_t examined() const = 0;
};

// Takes the tightest worker, rack or failure domain that fits. A gang without adjacency fills
// partly used racks first, so that whole racks stay free for shapes that need them.
class best_fit_placement final : public placement_strategy
{
public:
    explicit best_fit_placement(const topology &cell)
        : m_cell(cell)
    { }

    std::vector<placed_part> find(const placement_request &request, const capacity_index &index,
                                  const room_policy &room) override;
    std::vector<placed_part> findAmong(const placement_request &request,
                                       const std::vector<worker_index> &workers,
                                       const room_policy &room) override;
    std::uint64_t examined() const override { return m_examined; }

private:
    std::vector<placed_part> findWorker(const placement_request &request,
                                        const capacity_index &index, const room_policy &room);
    std::vector<placed_part> findRack(const placement_request &request, const capacity_index &index,
                                      const room_policy &room);
    std::vector<placed_part> findDomain(const placement_request &request,
                                        const capacity_index &index, const room_policy &room);
    std::vector<placed_part> findAnywhere(const placement_request &request,
                                          const capacity_index &index, const room_policy &room);
    std::vector<placed_part> inGroup(const placement_request &request,
                                     const std::vector<worker_index> &workers,
                                     const room_policy &room, std::int64_t &spare);
    bool spread(const placement_request &request, const capacity_index &index,
                const room_policy &room, domain_index domain, bool fullestFirst,
                std::vector<placed_part> &parts, std::int32_t &left);

    const topology &m_cell;
    std::uint64_t m_examined = 0;
};

} // namespace goldcrest
