#pragma once

// Chooses the jobs to stop so that a gang gets its room.
//
//   victim_set found = chooseVictims(shortages, candidates);
//   if (found.isEnough) ...

#include "goldcrest/cell_engine.h"

#include <gsl/span>
#include <vector>

namespace goldcrest {

// Room that is missing on a worker.
struct shortage
{
    worker_index worker = 0;
    load missing;
};

struct victim_candidate
{
    job_index job = 0;
    double cost = 0;
    load perTask;
    gsl::span<const placed_part> parts;
};

struct victim_set
{
    bool isEnough = false;
    double cost = 0;
    std::vector<job_index> jobs;
};

// Returns a cheap set of candidates that covers the shortages: the lowest cost per useful room
// first, then without those that turned out to be superfluous.
victim_set chooseVictims(const std::vector<shortage> &shortages,
                         const std::vector<victim_candidate> &candidates);

// Rates what stopping a job costs.
class victim_cost
{
public:
    virtual ~victim_cost() = default;
    // Returns accelerator-milliseconds that are lost, or comparable.
    virtual double of(const job_entry &entry, time_point now) const = 0;
};

// Work that is lost without a checkpoint, plus the capacity that is idle during the stop.
class lost_work_cost final : public victim_cost
{
public:
    double of(const job_entry &entry, time_point now) const override;
};

} // namespace goldcrest
