#pragma once

// Abstract decision engine of one cell. The planner feeds it events and carries out its actions.
//
//   std::unique_ptr<scheduler> engine = makeGangScheduler(options);
//   engine->applyConfiguration(config, now);
//   engine->workerUp(worker, now);
//   engine->jobQueued(spec, queued_state{}, now);
//   for (const scheduler_action &action : engine->takeActions()) ...
//
// An engine has no clock, no thread and no random source: the same events give the same actions. It
// assumes that a placement takes effect at once and is told by jobStopped() if it did not.

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

// Start the whole gang on these workers.
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

// Stop the gang within its stop time; it is queued again unless the reason is final.
struct stop_action
{
    job_key job;
    stop_reason reason = stop_reason::Reclaim;
};

// The job ends without a (further) start.
struct reject_action
{
    job_key job;
    failure why;
};

// Bound a task that uses more than it declared.
struct throttle_action
{
    job_key job;
    worker_id worker;
    resources limit; // for each task
};

using scheduler_action = std::variant<place_action, stop_action, reject_action, throttle_action>;

// Progress of a job that was stopped and waits again.
struct queued_state
{
    duration waited = 0ms; // time spent in the queue before this event
    double progress = 0; // share of the work kept by checkpoints, 0 to 1
    std::int32_t attempts = 0; // attempts that started
};

// How a placed job left its workers.
enum class stop_result {
    Finished, // it has its result
    Failed, // a task failed; `failedOn` names the worker
    Stopped, // after a stop_action, or because a worker was lost
    NeverStarted, // a hold was refused; `failedOn` names the worker
};

struct stopped_event
{
    stop_result how = stop_result::Finished;
    worker_id failedOn;
    double progress = 0; // share of the work kept, 0 to 1
    bool requeue = false; // the job goes back to the queue
};

// What a waiting job waits for.
struct explanation
{
    std::string constraint; // short name of the binding constraint, such as "rack adjacency"
    std::string detail;
    std::string wouldHelp;
    std::int32_t position = 0; // place in the queue's order, from 1
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
    std::uint64_t examined = 0; // workers, racks and queued jobs that all decisions looked at
    std::vector<std::string>
        unmetGuarantees; // "team/shape" that do not fit on the workers in service
};

class scheduler
{
public:
    virtual ~scheduler() = default;

    // Applies a configuration. The caller passes growing revisions only.
    virtual void applyConfiguration(const configuration &config, time_point now) = 0;

    // A worker can take tasks, either new or back after workerDown().
    virtual void workerUp(const worker_info &worker, time_point now) = 0;

    // A worker takes no new tasks (suspect, draining or quarantined by the planner); its tasks
    // still run.
    virtual void workerSuspended(const worker_id &worker, time_point now) = 0;

    // A worker is gone. The engine emits a stop_action for every gang that has tasks there.
    virtual void workerDown(const worker_id &worker, time_point now) = 0;

    // A job waits. Rejected at once if it can never run.
    virtual void jobQueued(const job_spec &spec, const queued_state &state, time_point now) = 0;

    // A job was found running by a new planner and takes these resources.
    virtual void jobAdopted(const job_spec &spec, const std::vector<gang_part> &parts,
                            duration ranFor, time_point now)
        = 0;

    // The caller withdrew the job. A running job gets a stop_action; a queued one is dropped at
    // once.
    virtual void jobCancelled(const job_key &job, time_point now) = 0;

    // All tasks of a placed job have started.
    virtual void jobStarted(const job_key &job, time_point now) = 0;

    // A placed job left all its workers.
    virtual void jobStopped(const job_key &job, const stopped_event &event, time_point now) = 0;

    // Resources that one task of a job was seen to use on a worker.
    virtual void usageReported(const job_key &job, const worker_id &worker, const resources &used,
                               time_point now)
        = 0;

    // Time passed. Reservations, ageing and probes of quarantined workers depend on it.
    virtual void tick(time_point now) = 0;

    // Returns the actions decided since the last call, in order.
    virtual std::vector<scheduler_action> takeActions() = 0;

    // Returns what a queued job waits for, or nothing if it is not queued.
    virtual std::optional<explanation> explain(const job_key &job, time_point now) const = 0;

    // Returns the current capacity figures. May scan all workers; not for the decision path.
    virtual capacity_view capacity() const = 0;

    // Returns an empty string, or the first broken invariant. For tests: scans everything.
    virtual std::string checkInvariants() const = 0;
};

// First come first served, first fit, no preemption but to reclaim guarantees. The baseline for
// measurements.
std::unique_ptr<scheduler> makeFifoScheduler(std::string_view cell);

// The same, but a job that does not fit holds back no other. A stronger baseline at full load;
// large gangs may wait for ever.
std::unique_ptr<scheduler> makeFirstFitScheduler(std::string_view cell);

// The policy of docs/design.md.
std::unique_ptr<scheduler> makeGangScheduler(std::string_view cell);

} // namespace goldcrest
