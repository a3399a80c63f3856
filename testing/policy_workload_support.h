#pragma once

// Runs workloads in virtual time against the scheduler interface, for the policy benchmark and its
// bounds.
//
//   run_report report = runWorkload(makeGangScheduler, deploymentOf("regie"), workload::Burst, 1);

#include "goldcrest/scheduler.h"

#include <map>
#include <string>
#include <vector>

namespace goldcrest {

using engine_maker = std::unique_ptr<scheduler> (*)(std::string_view);

enum class workload { Burst, Borrowing, Fragmented, DomainOut, Faulty };

const char *nameOf(workload kind);

struct deployment
{
    std::string name;
    int domains = 0;
    int teams = 0;
    std::vector<worker_info> workers;
    std::vector<int> gangSizes; // accelerators
    std::vector<int> gangWeights;
    int jobs = 0; // in the burst
};

// Returns the deployment with this name.
//
// @param name "regie", "water" or "target"
// @param domains replaces the usual number of failure domains; 0 keeps it
deployment deploymentOf(const std::string &name, int domains = 0);

// Returns the "target" deployment scaled to this number of workers, for cost measurements.
deployment scaledCell(int workers);

struct distribution
{
    double mean = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
    double max = 0;
    std::size_t count = 0;
};

distribution distributionOf(std::vector<double> values);

// All times in seconds.
struct run_report
{
    distribution completion;
    std::map<std::string, distribution> completionByClass;
    std::map<int, distribution> completionBySize; // key: accelerators, rounded up to a power of 2
    double lowerBound = 0; // of the mean completion time
    // Mean share of the accelerators in service that are free while the largest waiting shape does
    // not fit.
    double unusableShare = 0;
    double largestGangShare = 0; // largest rack-adjacent gang / free accelerators
    double domainChangeShare = 0; // useful work / work that the capacity in service allowed
    distribution reclaim;
    std::size_t lateReclaims = 0; // later than the stop bound of the slowest borrower, 5 s
    distribution urgentDelay;
    std::size_t lateUrgent = 0; // later than 3 s though stopping borrowers could free capacity
    double lostShare = 0; // accelerator time lost to stops / accelerator time run
    double starvation = 0; // longest wait / job length
    std::size_t unfinished = 0;
    std::size_t rejected = 0;
    std::size_t stops = 0;
    std::size_t events = 0;
    std::uint64_t examined = 0;
};

// Heap use of the process; the benchmark replaces operator new to count it.
struct heap_use
{
    std::uint64_t allocations = 0;
    std::uint64_t allocatedBytes = 0;
    std::int64_t liveBytes = 0;
};

enum class cost_kind { Queued, Stopped, Cancelled, Tick };

struct event_cost
{
    double examined = 0; // workers, racks and queued jobs examined per event
    double allocations = 0;
    double bytes = 0;
    double nanoseconds = 0;
    std::uint64_t events = 0;
};

struct cost_report
{
    std::map<cost_kind, event_cost> events;
    double bytesPerWorker = 0;
    double bytesPerTask = 0;
    double bytesPerQueuedJob = 0;
};

// Runs a full cell with a queue of five jobs per worker, with events at the rate of the design
// target.
cost_report measureCost(engine_maker make, int workers, unsigned seed, heap_use (*heap)());

// Returns the slope of log(cost) over log(size), by least squares.
double growthExponent(const std::vector<std::pair<double, double>> &costBySize);

// Simulates 24 hours of a workload and returns the measurements.
run_report runWorkload(engine_maker make, const deployment &where, workload kind, unsigned seed);

} // namespace goldcrest
