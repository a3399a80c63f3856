#pragma once

// Decisions of the planner of graph jobs: which task runs where, what is stopped, and which ends
// are acknowledged. Pure: time is an argument, and nothing is sent or stored here.
//
//   run_planner planner(options, epoch, now);
//   planner.addJob(job, progress, wall, now);         // every stored job, at the start
//   planner.setView(view);
//   planner.onReport(report, wall, now);              // from an agent
//   planner.plan(wall, now);
//   for (const stored_change &change : planner.takeChanges(most)) ...   // write them
//   planner.onStored(changes);                        // now the orders may go out
//   planner.ordersFor(worker, now)                    // answer of each report, and when it changes
//
// What keeps a task from running twice: a run is stored before it is ordered; a run that may exist
// keeps its task and its room until its backend server has listed its end, does not know it after
// the order, has started anew, or its lease has certainly ended.

#include "goldcrest/clock.h"
#include "goldcrest/graph_job.h"
#include "goldcrest/messages.h"
#include "goldcrest/placement_advisor.h"
#include "goldcrest/queue_catalogue.h"
#include "goldcrest/run_placement.h"
#include "goldcrest/tracked_job.h"
#include "goldcrest/worker_pool.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace goldcrest {

struct run_planner_options
{
    // Lease of what runs on a worker. Longer than a takeover and most partitions, so that work
    // survives them; tasks of a worker that is lost start again after it.
    duration workerLease = 8s;
    // A predecessor whose key was removed may go on granting for this long, until its own lease is
    // over.
    duration predecessorLease = 0ms;
    // Added to a lease whose end can't be observed: transport and a late timer of the backend
    // server.
    duration leaseSlack = 500ms;
    // A backend server's clock may run slow by this share (the platform's bound is 2%).
    double clockError = 0.02;
    // A worker without a report for this long gets no starts. Reports come each half second.
    duration freshReport = 2s;
    // Operators' orders must be in force within 5 s; an older view starts nothing.
    duration freshView = 3s;
    // Bound of a backend server from a stop to the end (the platform's settings have the value).
    duration stopTime = 500ms;
    // Tasks away from their data, or gangs over several racks, take this many times as long.
    double remoteFactor = 3;
    // A worker that fails what it starts, or on which tasks stand still, gets no starts for this
    // long; such faults last 5 to 7 s on the users' machines.
    duration avoidTime = 8s;
    // Checkpoints are stored this often, so that the work before them survives the loss of all
    // processes. The platform's backend servers save once a second.
    duration checkpointInterval = 1s;
    // Finished jobs are kept this long for callers that ask for their state.
    duration retention = 150s;
};

// One job's record that must be written.
struct stored_change
{
    std::string job;
    std::uint64_t version = 0;
    graph_job_state state = graph_job_state::Queued;
    job_progress progress;
};

// A decision for the log: what was decided of which run, and why.
struct run_decision
{
    std::string event; // "run recorded", "run ended", "run stopped", ...
    task_key task;
    std::int32_t run = 0;
    worker_id worker;
    std::string reason;
    std::string inputs; // the figures that decided it, as name=value
};

class run_planner
{
public:
    run_planner(const run_planner_options &options, epoch number, time_point electedAt);

    // Adds a stored job; one that is known stays as it is.
    void addJob(const graph_job &job, const std::optional<job_progress> &progress, unix_ms wall,
                time_point now);
    void cancelJob(const std::string &id, unix_ms wall);

    void setView(const operator_view &view);

    // Takes a report. Reports of another epoch are ignored.
    // @return whether the report was taken
    bool onReport(const worker_report_message &report, unix_ms wall, time_point now);

    // Ends runs on workers whose leases are over, opens due occurrences, and places tasks.
    void plan(unix_ms wall, time_point now);

    // Returns records that are not stored in their present version, at most `most`.
    std::vector<stored_change> takeChanges(std::size_t most) const;
    bool hasChanges() const { return !m_changed.empty(); }
    void onStored(const std::vector<stored_change> &changes);

    // Returns the orders for a worker that has reported, and counts them as given.
    std::optional<worker_orders_message> ordersFor(const worker_id &worker, time_point now);

    // Returns the workers whose orders have changed since the last call.
    std::set<worker_id> takeNews();

    // Returns the next question for the advice service, of the unit of highest rank that waits for
    // it.
    std::optional<advice_question> takeQuestion();
    void onAdvice(const advice_question &question, const result<placement_advice> &advice,
                  time_point now);

    std::optional<graph_job_state> stateOf(const std::string &id) const;
    std::int64_t waitingIn(const std::string &queue) const;

    // Returns finished jobs whose time of retention is over, at most `most`.
    std::vector<std::string> expiredJobs(unix_ms wall, std::size_t most) const;

    // Forgets jobs whose records were removed.
    void forgetJobs(const std::vector<std::string> &ids);

    std::vector<run_decision> takeDecisions();

    const worker_pool &workers() const { return m_pool; }
    std::size_t jobCount() const { return m_jobs.size(); }
    std::size_t unfinishedJobs() const { return m_unfinished.size(); }

private:
    struct unit;

    // Workers on which others were stopped for a unit.
    struct promise
    {
        std::vector<worker_id> workers;
        time_point until{};
    };

    // What is known of the workers that may run a step.
    struct step_advice
    {
        std::map<std::string, std::string> tickets; // by life of the backend server
        std::set<worker_id> allowed; // does not change; empty until the first answer
        bool isKnown = false;
        time_point until{}; // of the tickets
        time_point askAgainAt{}; // after a failure
    };

    void noteChanged(tracked_job &job);
    void decide(std::string_view event, const task_key &task, std::int32_t run,
                const worker_id &worker, std::string reason, std::string inputs = {});

    // Reports.
    void updateWorker(pool_worker &worker, const worker_report_message &report, time_point now);
    void fenceRecentStarts(pool_worker &worker, time_point now);
    void stopRunsOfOtherLives(pool_worker &worker);
    void releaseFences(pool_worker &worker, const worker_report_message &report);
    static void forgetOldStarts(pool_worker &worker, time_point now);
    void takeEnds(pool_worker &worker, const worker_report_message &report, unix_ms wall,
                  time_point now);
    void takeRunning(pool_worker &worker, const worker_report_message &report, time_point now);
    void takeRefusals(pool_worker &worker, const worker_report_message &report, unix_ms wall,
                      time_point now);
    void endRunsNotListed(pool_worker &worker, const worker_report_message &report, unix_ms wall);
    void endRun(const task_key &task, std::int32_t run, run_end how, const std::string &saved,
                const worker_id &worker, std::string reason, unix_ms wall);
    void noteHealth(pool_worker &worker, const task_key &task, run_end how, time_point now);
    void noteFailure(pool_worker &worker, const std::string &job, time_point now);
    void releaseEnds(pool_worker &worker);
    void syncActive(tracked_job &job);

    // Planning.
    void endLapsedWorkers(unix_ms wall, time_point now);
    void stopStalledRuns(time_point now);
    void storeCheckpoints(time_point now);
    std::vector<unit> collectUnits(time_point now);
    std::vector<worker_room> makeRooms(const std::string &service, time_point now);
    bool isUsable(const pool_worker &worker, time_point now) const;
    std::vector<std::size_t> eligibleRooms(const unit &next, const std::vector<worker_room> &rooms,
                                           time_point now) const;
    double lateCost(const tracked_job &job, duration rest, time_point now) const;
    time_point targetOf(const tracked_job &job) const;
    void planService(std::vector<unit> &units, const std::string &service, time_point now);
    bool isAdvised(const unit &next, const pool_worker &worker) const;
    bool mayStart(const unit &next, const std::vector<worker_room> &rooms, const placement &where,
                  time_point now);
    bool hasTicket(const unit &next, const pool_worker &worker, time_point now) const;
    static task_key adviceKeyOf(const task_key &task);
    std::string ticketOf(const task_key &task, const std::string &life) const;
    const queue_entry *advisedQueueOf(const tracked_job &job) const;
    void wantAdvice(const unit &next, time_point now);
    void updatePace(pool_worker &worker, time_point now);
    void addPaces(const pool_worker &worker, worker_orders_message &orders) const;
    bool planUnit(unit &next, std::vector<worker_room> &rooms, time_point now);
    std::optional<eviction> findEviction(const unit &next, const std::vector<worker_room> &eligible,
                                         const placement_request &request,
                                         const std::optional<placement> &found,
                                         time_point now) const;
    void startUnit(unit &next, std::vector<worker_room> &rooms, const placement &where,
                   time_point now);
    bool keepPromise(const unit &next, std::vector<worker_room> &rooms,
                     const placement_request &request, time_point now);
    void stopUnits(const std::vector<std::size_t> &units, std::vector<worker_room> &rooms,
                   const unit &beneficiary, time_point now);
    std::set<std::string> guaranteedJobs() const;
    queue_policy policyOf(const tracked_job &job) const;
    std::size_t unitNumberOf(const task_key &task, const step_spec &step);
    time_point expectedEnd(const tracked_task &task, time_point now) const;
    double lossOf(const tracked_task &task, const step_spec &step, time_point now) const;

    run_planner_options m_options;
    epoch m_epoch;
    time_point m_electedAt;
    worker_pool m_pool;
    operator_view m_view;
    std::map<std::string, tracked_job> m_jobs;
    std::set<std::string> m_unfinished;
    std::set<std::string> m_changed; // jobs with a version that is not stored
    std::set<std::string> m_checkpointed; // jobs with checkpoints that are in no version
    time_point m_checkpointsStoredAt{};
    std::map<std::string, std::set<worker_id>> m_failedOn; // workers on which tasks of a job failed
    std::set<worker_id> m_news;
    std::vector<run_decision> m_decisions;
    std::set<std::string> m_guaranteed; // jobs, in the present pass
    std::map<task_key, std::size_t> m_unitNumbers; // of the present pass
    std::vector<task_key> m_unitTasks;
    std::map<task_key, step_advice> m_advice; // by the first task of the step
    std::optional<advice_question> m_question;
    std::map<task_key, promise> m_promises; // by the first task of the unit
};

} // namespace goldcrest
