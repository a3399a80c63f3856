#pragma once

// Distinguishes faulty workers, on which any job fails, from faulty jobs, which fail on any worker.
// Faulty workers are quarantined and probed with single jobs at growing intervals.
//
//   if (health.failed(worker, job, now) == health_change::Quarantine) ...
//   for (worker_index w : health.dueProbes(now)) ...   // allow one job there
//   if (health.healthyFailures(job) >= worker_health::jobFailureLimit) ... // end the job

#include "goldcrest/clock.h"
#include "goldcrest/topology.h"

#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

namespace goldcrest {

enum class health_change { None, Quarantine };

class worker_health
{
public:
    // Number of different jobs that must fail in a row on a worker before it is quarantined.
    static constexpr std::size_t workerFailureLimit = 3;
    // Number of healthy workers on which a job must fail before it counts as faulty.
    static constexpr std::size_t jobFailureLimit = 3;
    // Time from the quarantine to the probe. It doubles with each failed probe up to the maximum.
    static constexpr duration firstProbe = 60s;
    static constexpr duration longestProbe = 2h;
    // A job avoids a worker on which it failed for this long. The time is limited because a small
    // cell may have no other worker for the job.
    static constexpr duration avoidTime = 5min;

    // Records that a task of the job failed on the worker. Returns Quarantine if the worker must be
    // taken out of service now.
    // @param job identifies the job across its attempts
    health_change failed(worker_index worker, std::uint64_t job, time_point now);

    // Records that a job finished on the worker, which clears its failures.
    void succeeded(worker_index worker);

    // Returns the quarantined workers whose probe is due. Their next failure quarantines them
    // again, for twice as long.
    std::vector<worker_index> dueProbes(time_point now);

    // Returns whether the worker is being probed: one job at a time may run there.
    bool isProbing(worker_index worker) const;

    // Returns the number of workers on which this job failed and no other job did.
    std::size_t healthyFailures(std::uint64_t job) const;

    // Returns whether the job failed on this worker within the last `avoidTime`.
    bool failedOn(std::uint64_t job, worker_index worker, time_point now) const;

    void forgetJob(std::uint64_t job) { m_failedOn.erase(job); }

private:
    struct job_failure
    {
        worker_index worker = 0;
        time_point at;
    };

    struct record
    {
        std::set<std::uint64_t> failedJobs; // in a row
        duration probeAfter = firstProbe;
        bool probing = false;
    };

    std::unordered_map<worker_index, record> m_records;
    std::unordered_map<std::uint64_t, std::vector<job_failure>> m_failedOn; // by job
    std::set<std::pair<time_point, worker_index>> m_probes; // by due time
};

} // namespace goldcrest
