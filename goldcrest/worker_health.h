#pragma once

// Finds workers that fail whatever they start, and jobs that fail wherever they start.
//
//   if (health.failed(worker, job, now) == health_change::Quarantine) ...
//   for (worker_index w : health.dueProbes(now)) ...   // let one job run there
//   if (health.healthyFailures(job) >= worker_health::jobFailureLimit) ...

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
    // Different jobs that fail in a row before a worker is quarantined.
    static constexpr std::size_t workerFailureLimit = 3;
    // Healthy workers on which a job may fail.
    static constexpr std::size_t jobFailureLimit = 3;
    static constexpr duration firstProbe = 60s;
    static constexpr duration longestProbe = 2h;
    // In a small cell a job may have no other worker, so it may come back.
    static constexpr duration avoidTime = 5min;

    // A task of the job failed on the worker.
    // @param job identifies the job across its attempts
    health_change failed(worker_index worker, std::uint64_t job, time_point now);

    // A job finished on the worker.
    void succeeded(worker_index worker);

    // Returns the quarantined workers whose probe is due. Their next failure quarantines them
    // again, for twice as long.
    std::vector<worker_index> dueProbes(time_point now);

    // Returns whether the worker is being probed: one job at a time may run there.
    bool isProbing(worker_index worker) const;

    // Returns on how many workers the job failed that do not fail other jobs as well.
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
    std::unordered_map<std::uint64_t, std::vector<job_failure>> m_failedOn;
    std::set<std::pair<time_point, worker_index>> m_probes;
};

} // namespace goldcrest
