#pragma once

// Chooses which jobs to preempt so that a gang gets the capacity it needs.
//
//   victim_set found = chooseVictims(shortages, candidates);
//   if (found.isEnough) ...

#include "goldcrest/cell_engine.h"

#include <gsl/span>
#include <vector>

namespace goldcrest {

// Capacity that is missing on a worker.
struct shortage
{
    worker_index worker = 0;
    load missing;
};

// A job that may be stopped.
struct victim_candidate
{
    job_index job = 0;
    double cost = 0; // of stopping it, see victim_cost
    load perTask;
    gsl::span<const placed_part> parts;
};

struct victim_set
{
    bool isEnough = false; // the jobs cover all shortages; otherwise the set is empty
    double cost = 0;
    std::vector<job_index> jobs;
};

// Returns a set of candidates that covers the shortages at low cost. Greedy: picks the candidate
// with the lowest cost per useful capacity until all is covered, then removes those that are
// redundant.
victim_set chooseVictims(const std::vector<shortage> &shortages,
                         const std::vector<victim_candidate> &candidates);

// Interface of a cost model for stopping a job.
class victim_cost
{
public:
    virtual ~victim_cost() = default;
    // Returns the cost in accelerator-milliseconds of lost capacity, or a comparable unit.
    virtual double of(const job_entry &entry, time_point now) const = 0;
};

// Charges the work that is lost if the job cannot checkpoint, plus the capacity that is idle while
// the job stops.
class lost_work_cost final : public victim_cost
{
public:
    double of(const job_entry &entry, time_point now) const override;
};

} // namespace goldcrest
