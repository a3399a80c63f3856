#pragma once

// Abstract decision engine of one cell. The planner passes it events and carries out its actions.
//
//   std::unique_ptr<scheduler> engine = makeGangScheduler("main");
//   engine->applyConfiguration(config, now);
//   engine->workerUp(worker, now);
//   engine->jobQueued(spec, queued_state{}, now);
//   for (const scheduler_action &action : engine->takeActions()) ...
//
// An engine has no clock, no thread and no random source: the same events give the same actions. It
// assumes that a placement takes effect at once; the planner calls jobStopped() if it did not.

#include "goldcrest/catalogue.h"
#include "goldcrest/model.h"
#include "goldcrest/outcome.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace goldcrest {

// Starts the whole gang on these workers.
struct place_action
{
    job_key job;
    std::vector<gang_part> parts;
    bool borrowed = false; // runs on capacity that is guaranteed to another team
};

enum class stop_reason {
    Reclaim,
    Urgent,
    Move,
    DomainOut,
    Exceeded,
    Cancelled,
    GangBroken,
    WorkerLost
};

// Stops the gang within its stop time. It is queued again unless the reason is final.
struct stop_action
{
    job_key job;
    stop_reason reason = stop_reason::Reclaim;
};

// Ends a job that will not be started, or not be started again.
struct reject_action
{
    job_key job;
    failure why;
};

// Limits the resources of a job on one worker where it uses more than it declared.
struct throttle_action
{
    job_key job;
    worker_id worker;
    resources limit; // for each task
};

using scheduler_action = std::variant<place_action, stop_action, reject_action, throttle_action>;

// State that a job brings from earlier attempts when it is queued.
struct queued_state
{
    duration waited = 0ms; // time spent in the queue before this event
    double progress = 0; // share of the work kept by checkpoints, 0 to 1
    std::int32_t attempts = 0; // attempts that started
};

// How a placed job left its workers.
enum class stop_result {
    Finished, // the job has its result
    Failed, // a task failed; `failedOn` names the worker
    Stopped, // after a stop_action, or because a worker was lost
    NeverStarted, // a hold was refused; `failedOn` names the worker
};

struct stopped_event
{
    stop_result how = stop_result::Finished;
    worker_id failedOn;
    double progress = 0; // share of the work kept by checkpoints, 0 to 1
    bool requeue = false; // the job goes back to the queue
};

// Explains why a queued job has not started.
struct explanation
{
    std::string constraint; // short name of the binding constraint, such as "rack adjacency"
    std::string detail;
    std::string wouldHelp;
    std::int32_t position = 0; // position in the queue, from 1
};

// Capacity figures for metrics and benchmarks.
struct capacity_view
{
    std::int64_t totalAccelerators = 0; // on workers in service
    std::int64_t freeAccelerators = 0;
    std::int64_t borrowedAccelerators = 0;
    std::int64_t largestPlaceableGang = 0; // single-accelerator tasks that fit within one rack
    std::size_t queuedJobs = 0;
    std::size_t runningJobs = 0;
    std::uint64_t examined = 0; // workers and queued jobs that all decisions examined
    // Guarantees that do not fit on the workers in service, as "team/shape".
    std::vector<std::string> unmetGuarantees;
};

class scheduler
{
public:
    virtual ~scheduler() = default;

    // Applies a configuration. The caller passes increasing revisions only.
    virtual void applyConfiguration(const configuration &config, time_point now) = 0;

    // A worker can take tasks: it is new, or available again after workerDown() or
    // workerSuspended().
    virtual void workerUp(const worker_info &worker, time_point now) = 0;

    // A worker takes no new tasks (suspect, draining or quarantined by the planner). Its tasks
    // continue to run.
    virtual void workerSuspended(const worker_id &worker, time_point now) = 0;

    // A worker is lost. The engine emits a stop_action for every gang that has tasks there.
    virtual void workerDown(const worker_id &worker, time_point now) = 0;

    // Adds a job to the queue, or rejects it at once if it can never run.
    virtual void jobQueued(const job_spec &spec, const queued_state &state, time_point now) = 0;

    // A new planner found the job running on these workers; its resources count as used.
    virtual void jobAdopted(const job_spec &spec, const std::vector<gang_part> &parts,
                            duration ranFor, time_point now)
        = 0;

    // The caller cancelled the job. A running job gets a stop_action; a queued one is removed at
    // once.
    virtual void jobCancelled(const job_key &job, time_point now) = 0;

    // All tasks of a placed job have started.
    virtual void jobStarted(const job_key &job, time_point now) = 0;

    // A placed job no longer uses any of its workers.
    virtual void jobStopped(const job_key &job, const stopped_event &event, time_point now) = 0;

    // Reports the measured resource usage of one task of a job on a worker.
    virtual void usageReported(const job_key &job, const worker_id &worker, const resources &used,
                               time_point now)
        = 0;

    // Advances the time. The caller calls it regularly: reservations, ageing and probes of
    // quarantined workers depend on it.
    virtual void tick(time_point now) = 0;

    // Returns the actions decided since the last call, in order.
    virtual std::vector<scheduler_action> takeActions() = 0;

    // Returns why a queued job has not started, or nothing if it is not queued.
    virtual std::optional<explanation> explain(const job_key &job, time_point now) const = 0;

    // Returns the current capacity figures. May scan all workers; not for the decision path.
    virtual capacity_view capacity() const = 0;

    // Returns the first violated invariant, or an empty string. Scans all state; for tests only.
    virtual std::string checkInvariants() const = 0;
};

// Baseline for measurements: first come first served, first fit, no preemption except to reclaim
// guarantees.
std::unique_ptr<scheduler> makeFifoScheduler(std::string_view cell);

// The same, but a job that does not fit does not block later jobs. This is a stronger baseline at
// full load, but large gangs may starve.
std::unique_ptr<scheduler> makeFirstFitScheduler(std::string_view cell);

// The scheduler with the policy of docs/design.md.
std::unique_ptr<scheduler> makeGangScheduler(std::string_view cell);

} // namespace goldcrest
