#pragma once

// Plain data types for jobs, workers and resources. They hold data only; the modules that use them
// validate it.

#include "goldcrest/clock.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace goldcrest {

using worker_id = std::string;
using team_id = std::string;
using epoch = std::int64_t; // creation revision of a cell's leader key; higher after each election
using revision = std::int64_t; // configuration revision; 0 means none seen

// Resources of one task, or of one worker.
struct resources
{
    std::int64_t cores = 0; // thousandths of a core
    std::int64_t memory = 0; // MiB
    std::int64_t accelerators = 0; // whole devices

    friend bool operator==(const resources &a, const resources &b)
    {
        return std::tie(a.cores, a.memory, a.accelerators)
            == std::tie(b.cores, b.memory, b.accelerators);
    }
    friend bool operator!=(const resources &a, const resources &b) { return !(a == b); }
    resources &operator+=(const resources &other)
    {
        cores += other.cores;
        memory += other.memory;
        accelerators += other.accelerators;
        return *this;
    }
    resources &operator-=(const resources &other)
    {
        cores -= other.cores;
        memory -= other.memory;
        accelerators -= other.accelerators;
        return *this;
    }
    // Returns whether `need` is available within these resources.
    bool covers(const resources &need) const
    {
        return cores >= need.cores && memory >= need.memory && accelerators >= need.accelerators;
    }
};

// Largest resources of one machine that are accepted from outside: a million cores, 10^9 MiB and
// 10,000 accelerators, far more than any machine has. Sums over all machines or tasks fit in 64
// bits.
constexpr resources largestMachine{1'000'000'000, 1'000'000'000, 10'000};

inline resources operator*(const resources &one, std::int64_t count)
{
    return {one.cores * count, one.memory * count, one.accelerators * count};
}

// How close the tasks of a gang must be to each other.
enum class adjacency { None, FailureDomain, Rack, Worker };

// Identifies a caller's request to run a job. A second request with the same key is a duplicate.
struct job_key
{
    team_id team;
    std::string requestId;

    friend bool operator==(const job_key &a, const job_key &b)
    {
        return a.requestId == b.requestId && a.team == b.team;
    }
    friend bool operator!=(const job_key &a, const job_key &b) { return !(a == b); }
    friend bool operator<(const job_key &a, const job_key &b)
    {
        return std::tie(a.team, a.requestId) < std::tie(b.team, b.requestId);
    }
};

struct job_key_hash
{
    std::size_t operator()(const job_key &key) const
    {
        const std::hash<std::string> hash;
        return hash(key.team) * 31 + hash(key.requestId);
    }
};

// Identifies one attempt to run a job. The numbers of a job increase, also from one planner to the
// next.
struct attempt_id
{
    job_key job;
    std::int32_t number = 0;

    friend bool operator==(const attempt_id &a, const attempt_id &b)
    {
        return a.number == b.number && a.job == b.job;
    }
    friend bool operator<(const attempt_id &a, const attempt_id &b)
    {
        return std::tie(a.job, a.number) < std::tie(b.job, b.number);
    }
};

// A caller's request to run a job.
struct job_spec
{
    job_key key;
    std::string className;
    // Job shape in the catalogue; empty if the request states its resources itself.
    std::string shape;
    std::int32_t tasks = 1;
    resources perTask;
    adjacency closeness = adjacency::None;
    bool idempotent = false; // may run more than once
    bool canCheckpoint = false; // can save its progress when it is stopped
    duration deadline = 0ms; // counted from acceptance; 0 means none
    duration declaredRunTime = 0ms;
    duration stopTime = 5s; // longest time from a stop message to the end of the tasks
    std::string payload;

    // Returns whether the job may be stopped and started again later.
    bool preemptible() const { return canCheckpoint || idempotent; }
};

// A worker as its agent registers it.
struct worker_info
{
    worker_id id;
    std::string failureDomain;
    std::string rack;
    std::string address; // host:port where the agent accepts links
    resources capacity;
    std::int32_t slots = 0; // tasks that may run at the same time; 0 means no limit
};

// A gang's tasks on one worker: `tasks` consecutive indexes from `firstTask`.
struct gang_part
{
    worker_id worker;
    std::int32_t firstTask = 0;
    std::int32_t tasks = 0;
};

// Final state of a job. The numbers are stored in job records.
enum class job_outcome { Completed = 1, Failed = 2, NotRun = 3, Unknown = 4 };

// Phase of a job that has no outcome yet.
enum class job_phase {
    Accepted = 0,
    Queued = 1,
    Starting = 2,
    Running = 3,
    Stopping = 4,
    Finished = 5
};

} // namespace goldcrest
