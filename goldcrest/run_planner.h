#pragma once

// Makes the decisions of the planner of graph jobs: which task runs where, which runs are stopped,
// and which ends are acknowledged. It does no I/O: times and reports are passed in, and the caller
// sends the orders and stores the records.
//
//   run_planner planner(options, epoch, now);
//   planner.addJob(job, progress, wall, now);         // every stored job
//   planner.setView(view);
//   planner.onReport(report, wall, now);              // from an agent
//   planner.plan(wall, now);
//   for (const stored_change &change : planner.takeChanges(100)) ...   // store them
//   planner.onStored(changes);                        // releases the orders
//   planner.ordersFor(worker, now);                   // after each report and each change
//
// Two rules keep a task from running twice. A run is stored before it is ordered. And a run that
// may exist keeps its task and its capacity until one of these holds: its backend server has
// reported its end, does not list it after having carried out the order, has restarted, or has left
// after listing it; or the lease has certainly ended.

#include "goldcrest/admission_forecast.h"
#include "goldcrest/cleared_capacity.h"
#include "goldcrest/clock.h"
#include "goldcrest/graph_job.h"
#include "goldcrest/held_work.h"
#include "goldcrest/interference_model.h"
#include "goldcrest/learned_state.h"
#include "goldcrest/machine_service.h"
#include "goldcrest/messages.h"
#include "goldcrest/placement_advisor.h"
#include "goldcrest/preemption_policy.h"
#include "goldcrest/queue_catalogue.h"
#include "goldcrest/remaining_time.h"
#include "goldcrest/run_placement.h"
#include "goldcrest/run_time_model.h"
#include "goldcrest/team_shares.h"
#include "goldcrest/tracked_job.h"
#include "goldcrest/urgent_demand.h"
#include "goldcrest/worker_pool.h"
#include "goldcrest/worker_speed_model.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace goldcrest {

struct run_planner_options
{
    // Lease of the runs on a worker. It is longer than a planner takeover and most network
    // partitions, so that runs survive them. Tasks of a lost worker start again only after it.
    duration workerLease = 8s;
    // A predecessor whose leader key was removed may still grant worker leases for this long, until
    // its own lease ends.
    duration predecessorLease = 0ms;
    // Margin added to a lease whose end can't be observed, for transport delays and a late timer on
    // the backend server.
    duration leaseSlack = 500ms;
    // Maximum share by which a backend server's clock may run slow (the platform guarantees 2%).
    double clockError = 0.02;
    // A worker with runs is silent if its last report is older than this: three are missing.
    duration silenceLimit = 1500ms;
    // A machine whose agent is down is probed twice a second. A longer time between two answers
    // shows that one was missing, so that the machine may have been suspended in between.
    duration longestProofGap = 800ms;
    // Bound of the time by which suspensions may extend the wait for the end of a lease, so that
    // tasks start elsewhere in the end. A single one is noticed only if it is shorter than that
    // wait, which is 8.7 s.
    duration longestLeaseExtension = 10s;
    // Bound of the extension for the time in which a machine refuses connections to its agent. It
    // may do so while it is suspended, and nothing tells that from a machine that runs. With the
    // wait of 8.7 s, tasks start elsewhere within the 14 s that callers allow.
    duration longestRefusalExtension = 5s;
    // A worker gets no starts if its last report is older than this. Reports come every 0.5 s.
    duration freshReport = 2s;
    // No run is started if the configuration was confirmed longer ago than this, because operators'
    // changes must take effect within 5 s.
    duration freshView = 3s;
    // Maximum time from a stop to the end of a run; must match the setting of the platform.
    duration stopTime = 500ms;
    // The backend servers end a gang that is incomplete for this long.
    duration gangTimeout = 3s;
    // Slowdown of tasks away from their data, and of gangs spread over several racks.
    double remoteFactor = 3;
    // Whether the speeds of the workers are estimated and used. Otherwise all count as equal.
    bool workerSpeeds = false;
    // A worker on which runs fail or stall gets no starts for this long. Such faults last 5 to 7 s
    // on the users' machines.
    duration avoidTime = 8s;
    // Interval at which checkpoints are stored, so that the work survives the loss of all
    // processes. More often than the backend servers save them gains nothing.
    duration checkpointInterval = 1s;
    // A unit within a guarantee that can start within this time waits for capacity; otherwise other
    // units are stopped for it.
    duration guaranteedWaitLimit = 300ms;
    // Units within other guarantees are stopped only for a job that is younger than this. Once a
    // job can no longer start in time, stopping them gains nothing, and two old jobs would stop
    // each other in turn.
    duration lastResortMaxAge = 2s;
    // Finished jobs are kept this long, so that callers can query their state.
    duration retention = 150s;
    // Leaves room for the urgent jobs that are expected, see urgent_demand.h.
    bool urgentRoom = false;
    // Keeps tasks apart that slow each other, see interference_model.h.
    bool interference = false;
    // Expects the ends of runs by quantiles where run times have a heavy tail, see
    // remaining_time.h.
    bool heavyTails = false;
    // Whether scarce work is ordered by the shares of the teams.
    bool teamShares = false;
    // Whether stops of running work are limited.
    bool preemptionLimits = false;
    // A long-running task whose worker has not reported for this long counts as absent.
    duration absenceNotice = 1s;
    // Memory for the tasks of all jobs, in bytes (heldWorkBytes() in memory_shares.h). What is due
    // beyond that waits in the store.
    std::size_t maxHeldBytes = 21'000'000;
    // Size of the largest record that the store accepts.
    std::size_t maxRecordBytes = 1'048'576;
};

// A version of a job's progress record that must be stored.
struct stored_change
{
    std::string job;
    std::uint64_t version = 0;
    graph_job_state state = graph_job_state::Queued;
    job_progress progress;
};

// A decision to be logged, with its reason.
struct run_decision
{
    std::string event; // "run recorded", "run ended", "run stopped", ...
    task_key task;
    std::int32_t run = 0;
    worker_id worker;
    std::string reason;
    std::string inputs; // the values it is based on, as name=value
};

// What completing a job at some time is still worth to its caller. Jobs of the same priority are
// placed in this order.
enum class job_lateness { OnTime, Late, TooLate };

class run_planner
{
public:
    run_planner(const run_planner_options &options, epoch number, time_point electedAt);

    // Adds a stored job. A job that is already known is left unchanged.
    void addJob(const graph_job &job, const std::optional<job_progress> &progress, unix_ms wall,
                time_point now);

    // Cancels a job and stops its runs. Has no effect on unknown and finished jobs.
    void cancelJob(const std::string &id, unix_ms wall);

    // Replaces the options, for changed settings. The lease of the predecessor stays as it was.
    void setOptions(const run_planner_options &options);

    // Replaces the configuration and the operators' requests.
    void setView(const operator_view &view);

    // Sets the backend servers whose machines are due for maintenance, with the times, by id
    // (pool_worker::machine). They get no starts, and their runs are stopped in time.
    void setPlannedDrains(const std::map<std::string, time_point> &dueAt);

    // Returns what runs on the backend servers, by id. Workers that have not reported to this
    // planner count together, under an empty id.
    std::map<std::string, server_use> serverUses() const;

    // Handles a report of an agent. Reports for another epoch are ignored.
    // @return whether the report was accepted
    bool onReport(const worker_report_message &report, unix_ms wall, time_point now);

    // Runs one planning pass: ends runs on workers whose lease has ended, opens due occurrences,
    // stops stalled runs, and places tasks.
    void plan(unix_ms wall, time_point now);

    // Returns whether something has changed since the last pass that may allow a start, so that the
    // next pass should not wait.
    bool needsPass() const { return m_needsPass; }

    // Returns records whose current version is not stored: at most `maxCount`, and no more than are
    // together as large as the largest single one may be, but at least one. Those that only have
    // new checkpoints come last, because no order waits for them.
    std::vector<stored_change> takeChanges(std::size_t maxCount) const;
    bool hasChanges() const { return !m_changed.empty() || !m_changedByCheckpoint.empty(); }
    // The changes are stored. Releases the orders and acknowledgements that depend on them.
    void onStored(const std::vector<stored_change> &changes);

    // The store does not accept the record of this job because of its size. The job ends as failed,
    // so that it holds up no others, and its record becomes small.
    void abandonRecord(const std::string &id, unix_ms wall);

    // Returns the next orders message for a worker, or nothing if the worker has not reported in
    // this epoch. The caller must send it: the planner treats the orders as given.
    std::optional<worker_orders_message> ordersFor(const worker_id &worker, time_point now);

    // Returns the workers whose orders have changed since the last call.
    std::set<worker_id> takeChangedWorkers();

    // Returns the workers with runs whose agent has not reported for a while, or is known to be
    // down, and whose lease may not have ended. The caller probes their machines.
    std::vector<worker_id> silentWorkers(time_point now) const;

    // Returns whether runs may exist on a worker.
    bool hasRunsOn(const worker_id &worker) const;

    // The machine of a worker refuses connections, since the agent there is down. It may have been
    // suspended since its last report or refusal, and its lease may end later by that time. Between
    // refusals that follow each other closely this is less likely, so that less of it is counted.
    void noteProcessDown(const worker_id &worker, time_point now);

    // The machine of a worker accepts connections, but the agent there answers none. The machine
    // may have been suspended since it last showed that it ran.
    void noteProcessPaused(const worker_id &worker, time_point now);

    // Returns the pending request to the advice service, if any. It concerns the unit of highest
    // rank that needs advice.
    std::optional<advice_request> takeAdviceRequest();

    // Handles the advice service's answer to a request.
    void onAdvice(const advice_request &request, const result<placement_advice> &advice,
                  time_point now);

    // Returns the stored state of a job, or nothing if the job is unknown.
    std::optional<graph_job_state> stateOf(const std::string &id) const;

    // Returns the number of jobs of a queue that have not started any task.
    std::int64_t waitingIn(const std::string &queue) const;

    // Returns what delays new jobs, for the admission control.
    admission_state admissionState(time_point now) const;

    // Returns finished jobs whose retention time has passed, at most `maxCount`.
    std::vector<std::string> expiredJobs(unix_ms wall, std::size_t maxCount) const;

    // Removes jobs whose records were deleted from the store.
    void forgetJobs(const std::vector<std::string> &ids);

    // Returns the decisions since the last call, for the log.
    std::vector<run_decision> takeDecisions();

    // Returns the number of machines by their class of speed, and of the observations.
    speed_counts machinesBySpeed() const;
    std::uint64_t speedObservations() const;

    // Returns what was learned in this term, for the record of the next planner.
    learned_state learnedState(time_point now) const;

    // Merges what an earlier planner has learned. To be called once, after setView(); models that
    // are turned off ignore it.
    // @param state weakened by its age, see learned_state.h
    void restoreLearned(const learned_state &state, time_point now);

    const worker_pool &workers() const { return m_pool; }
    std::size_t jobCount() const { return m_jobs.size(); }
    std::size_t unfinishedJobs() const { return m_unfinished.size(); }
    // Returns the bytes of memory that the tasks of all jobs use.
    std::size_t heldBytes() const;
    // Returns the number of jobs with work that is due and waits for memory.
    std::size_t jobsWithoutRoom() const { return m_withoutRoom; }
    const team_shares &shares() const { return m_shares; }
    const preemption_policy &preemption() const { return m_preemption; }
    // Returns the number of runs that were stopped, by reason.
    const std::map<std::string, std::uint64_t> &stopsByReason() const { return m_stopsByReason; }
    // Returns the number of entries that are kept for jobs and their tasks beside the jobs
    // themselves. It does not grow with the number of jobs that have ended.
    std::size_t entriesBesideJobs() const;
    // Returns the room that is left for urgent work, over all services. Its horizon is not set.
    urgent_forecast urgentRoom() const;
    // Returns the number of pairs of images that are taken for interfering.
    std::size_t interferingPairs() const;
    // Returns the number of runs whose end the last pass expected by a quantile.
    std::size_t longTailRuns() const { return m_tailNotes.runs; }

private:
    struct unit;
    struct speed_evidence;
    enum class unit_outcome;
    enum class step_outcome;
    struct step_shape;
    struct service_pass;

    struct advice_ticket
    {
        std::string ticket;
        time_point usableUntil{}; // a start that is sent by then arrives before it expires
    };

    // Answers of the advice service for one step.
    struct step_advice
    {
        std::map<std::string, advice_ticket> tickets; // by incarnation of the backend server
        // Incarnations of the backend servers that an answer was about, and of those that may run
        // the step. Others may still be allowed: the next incarnation of a server that was refused
        // may be of another kind.
        std::set<std::string> asked;
        std::set<std::string> allowed;
        time_point retryAt{}; // after a failed request
    };

    // What is known of the urgent jobs of a service.
    struct urgent_state
    {
        urgent_demand demand;
        urgent_forecast last; // of the last pass
        urgent_room_class logged = urgent_room_class::None;
        time_point loggedAt{};
    };

    // Room for urgent work in the current pass over a service.
    struct urgent_room
    {
        urgent_forecast forecast;
        bool isChosen = false;
        std::vector<bool> kept; // workers to be kept free, by index of their capacity
    };

    // Progress of a run when its step was marked.
    struct marked_task
    {
        task_key key;
        std::int32_t run = 0;
        std::int32_t percent = 0;
        time_point at{};
        std::set<std::string> neighbours; // images
    };

    // Tasks of a step whose progress will be compared.
    struct marked_step
    {
        time_point at{};
        std::string image;
        std::vector<marked_task> tasks;
    };

    struct interference_state
    {
        interference_model model;
        time_point comparedAt{};
        std::vector<marked_step> marked;
        std::string markedUpTo; // last job that was looked at
        // Images of interfering pairs: their numbers, and by number the bits of those that they
        // should not run beside.
        std::uint64_t numbered = 0; // version of the model
        std::unordered_map<std::string, std::size_t> numbers;
        std::vector<std::uint64_t> avoided;
    };

    // Runs whose expected end came from a quantile in the current or last pass.
    struct tail_notes
    {
        std::size_t runs = 0;
        task_key longest; // the run whose end was put off most
        run_in_progress run;
        duration left = 0ms;
        time_point loggedAt{};
    };

    struct image_bits
    {
        std::uint64_t own = 0;
        std::uint64_t avoided = 0;
    };

    void extendLease(pool_worker &worker, duration extension) const;
    static void endLeaseExtension(pool_worker &worker);
    time_point lastListed(const pool_worker &worker) const;
    void noteChanged(tracked_job &job);
    void forgetTasksThatAreOver(const tracked_job &job);
    void recordDecision(std::string_view event, const task_key &task, std::int32_t run,
                        const worker_id &worker, std::string reason, std::string inputs = {});

    std::size_t addStart(pool_worker &worker, const task_key &key, worker_orders_message &orders,
                         time_point now);

    // Handling of reports.
    void updateWorker(pool_worker &worker, const worker_report_message &report, time_point now);
    void fenceRecentStarts(pool_worker &worker, time_point now);
    void stopRunsOfOtherIncarnations(pool_worker &worker, unix_ms wall);
    void noteCrash(pool_worker &worker, const worker_report_message &report, unix_ms wall);
    void noteRunOfEarlierIncarnation(pool_worker &worker, const task_key &key, unix_ms wall);
    void noteCrashedRun(const pool_worker &worker, const task_key &key,
                        std::optional<duration> worked, unix_ms wall);
    void noteCrashOfLapsedRuns(const pool_worker &worker, const worker_report_message &report,
                               unix_ms wall);
    void onCrashCounted(const pool_worker &worker, const task_key &key, std::int32_t run,
                        std::optional<duration> worked, graph_job_state before);
    void releaseFences(pool_worker &worker, const worker_report_message &report);
    static void forgetOldStarts(pool_worker &worker, time_point now);
    void processEnds(pool_worker &worker, const worker_report_message &report, unix_ms wall,
                     time_point now);
    static std::vector<running_task> presentRuns(const pool_worker &worker,
                                                 const worker_report_message &report);
    void processRunning(pool_worker &worker, const worker_report_message &report, time_point now);
    void processRefusals(pool_worker &worker, const worker_report_message &report, unix_ms wall,
                         time_point now);
    void endRunsOfDepartedServer(pool_worker &worker, const worker_report_message &report,
                                 unix_ms wall);
    void endRunsNotListed(pool_worker &worker, const worker_report_message &report, unix_ms wall);
    bool isGone(const tracked_task &task, std::int64_t missingSince,
                const worker_report_message &report) const;
    void endRun(const task_key &task, std::int32_t run, run_end how, const std::string &saved,
                const worker_id &worker, std::string reason, unix_ms wall, std::string inputs = {});
    void noteHealth(pool_worker &worker, const task_key &task, run_end how, time_point now);
    void noteFailure(pool_worker &worker, const std::string &job, time_point now);
    void acknowledgeStoredEnds(pool_worker &worker);
    void syncActive(tracked_job &job);
    std::optional<resources> untrackedDemandOn(const pool_worker &worker) const;
    bool hasCapacityForItsRuns(const pool_worker &worker) const;
    void stopOpenStarts(pool_worker &worker);

    // Learned state (run_planner_learned.cc).
    void avoidAsLearned(pool_worker &worker, time_point now);

    // Input of the admission forecast.
    void addForecastWorkers(admission_state &state, time_point now) const;
    void addForecastWaiting(admission_state &state, time_point now) const;
    void addForecastStep(admission_state &state, const tracked_job &job, const step_spec &step,
                         std::int64_t count, time_point now) const;
    void addForecastQueues(admission_state &state) const;

    // Held work (run_planner_held.cc).
    struct held_pass;
    void dropEndedWork();
    void holdDueWork(unix_ms wall, time_point now);
    std::size_t wantedOccurrences(const tracked_job &job, std::size_t waitingLimit,
                                  unix_ms wall) const;
    void chooseHeldWork(held_pass pass, time_point now);
    void addHeldItems(tracked_job &job, held_pass &pass) const;
    bool mayStartSomewhere(const tracked_job &job) const;
    void closeUntouched(tracked_job &job);
    void noteJobsWithoutRoom(unix_ms wall, time_point now);
    void logHeldWork(time_point now);

    // Planning.
    void endRunsWithExpiredLeases(unix_ms wall, time_point now);
    void stopStalledRuns(time_point now);
    void findTrials(time_point now);
    bool isSuspect(const unit &next) const;
    std::vector<std::size_t> apartFromStarts(const std::vector<std::size_t> &eligible,
                                             const std::vector<worker_capacity> &capacities) const;
    std::vector<std::size_t> apartFromTrials(const std::vector<std::size_t> &eligible,
                                             const std::vector<worker_capacity> &capacities) const;
    std::vector<std::size_t> eligibleForGang(const unit &next, std::vector<std::size_t> eligible,
                                             const std::vector<worker_capacity> &capacities,
                                             time_point now) const;
    step_outcome planSuspects(const unit &next, const std::vector<std::size_t> &eligible,
                              std::vector<worker_capacity> &capacities, std::size_t &unitsLeft,
                              time_point now);
    void findSlowWorkers(time_point now);
    void compareSpeeds(tracked_job &job, std::map<worker_id, speed_evidence> &evidence);
    void stopSlowRuns(pool_worker &worker);
    void stopRunsOnLeavingWorkers(time_point now);
    void stopIncompleteGangs(time_point now);

    // Planned maintenance (run_planner_maintenance.cc).
    bool isPlannedToDrain(const pool_worker &worker) const;
    void enterActive(pool_worker &worker, const task_key &key) const;
    void stopRunsForMaintenance(time_point now);
    bool mustStopBefore(const tracked_job &job, const task_key &key, time_point due,
                        time_point now) const;
    bool mayEndLongRunning(const tracked_job &job, const task_key &key, time_point now) const;
    bool isAtWork(const tracked_task &task, time_point now) const;

    void stopRun(tracked_job &job, const task_key &key, std::string_view reason,
                 const std::string &inputs);
    void storeCheckpoints(time_point now);
    std::vector<unit> collectUnits(time_point now);
    std::vector<worker_capacity> makeCapacities(const std::string &service, time_point now);
    bool isUsable(const pool_worker &worker, time_point now) const;
    std::vector<std::size_t> eligibleCapacities(const unit &next,
                                                const std::vector<worker_capacity> &capacities,
                                                time_point now) const;
    double latenessCost(const tracked_job &job, duration rest, time_point endIfLeft,
                        time_point now) const;
    time_point targetOf(const tracked_job &job) const;
    static time_point valuableUntil(const tracked_job &job, time_point target);

    // Hooks of the policies (run_planner_policies.cc). They do nothing while these are turned off.
    void beginPolicies(time_point now);
    void recordPolicyNotes(time_point now);
    void noteArrival(const tracked_job &job);
    void noteStart(const unit &started, time_point now);
    static bool isAtRisk(const unit &next, time_point now);
    void rankByShares(std::vector<unit> &units, const std::string &service, time_point now);
    share_request shareRequestOf(const unit &next, time_point now) const;
    double stopCost(const tracked_job &job, const step_spec &step, const placed_run &run,
                    time_point endIfLeft, time_point now) const;
    std::optional<eviction> findLimitedEviction(const unit &next,
                                                const std::vector<worker_capacity> &capacities,
                                                const placement_request &request,
                                                const std::optional<placement> &found,
                                                time_point now);
    void noteStops(const std::vector<std::size_t> &units, std::vector<worker_capacity> &capacities,
                   const unit &beneficiary, time_point now);
    // Hooks of remaining_time (run_planner_tails.cc).
    bool hasHeavyTail(const tracked_job &job) const;
    run_in_progress progressOf(const tracked_job &job, const step_spec &step,
                               const tracked_task &task, time_point now) const;
    time_point plannedEnd(const tracked_job &job, const task_key &key, time_point now);
    time_point victimEnd(const tracked_job &job, const task_key &key, const placed_run &run,
                         time_point now) const;
    duration admissionLeft(const tracked_job &job, const task_key &key, time_point now) const;
    void logTails(time_point now);
    job_lateness latenessOf(const tracked_job &job, time_point end) const;
    duration expectedTimeOf(const tracked_job &job, const step_spec &step) const;
    void observeRunTime(const task_key &key, std::int32_t run, time_point now);
    double speedOf(const pool_worker &worker) const;
    void refreshSpeeds(time_point now);
    void observeSpeed(tracked_job &job, const task_key &key, duration ran, double share,
                      time_point now);
    void observeProgress(tracked_job &job, const task_key &key, time_point now);
    bool leavesFastWorkers(const unit &next, time_point now) const;
    duration longTaskStall(const tracked_job &job, const step_spec &step,
                           const tracked_task &task) const;
    void planService(std::vector<unit> &units, const std::string &service, time_point now);
    void tryStep(unit &next, service_pass &pass, std::size_t &unitsLeft, time_point now);
    step_shape shapeOf(const unit &next) const;
    static step_outcome combined(step_outcome step, unit_outcome placed);
    step_outcome planStep(const unit &next, std::vector<worker_capacity> &capacities,
                          std::size_t &unitsLeft, time_point now);
    bool isAdvised(const unit &next, const pool_worker &worker) const;
    std::optional<placement> placementWithTickets(const unit &next,
                                                  const std::vector<worker_capacity> &capacities,
                                                  const placement_request &request,
                                                  const placement &found, time_point now) const;
    bool hasTicket(const unit &next, const pool_worker &worker, time_point now) const;
    static task_key adviceKeyOf(const task_key &task);
    std::string ticketOf(const task_key &task, const std::string &incarnation) const;
    const queue_entry *advisedQueueOf(const tracked_job &job) const;
    void requestAdvice(const unit &next, const std::vector<worker_capacity> &capacities,
                       const placement_request &request, const placement &found, time_point now);
    bool isReported(const std::string &incarnation) const;
    void forgetAdviceAbout(const std::string &incarnation);
    void updatePace(pool_worker &worker, time_point now);
    void addPaces(const pool_worker &worker, worker_orders_message &orders) const;
    placement_request requestFor(const unit &next, const std::vector<std::size_t> &eligible) const;
    unit_outcome planUnit(const unit &next, const std::vector<std::size_t> &eligible,
                          std::vector<worker_capacity> &capacities, time_point now);
    std::optional<eviction> findEviction(const unit &next,
                                         const std::vector<worker_capacity> &capacities,
                                         const placement_request &request,
                                         const std::optional<placement> &found, time_point now);
    void startUnit(const unit &next, std::vector<worker_capacity> &capacities,
                   const placement &where, time_point now);
    unit_outcome startOrReserve(const unit &next, std::vector<worker_capacity> &capacities,
                                const placement_request &request, const placement &where,
                                time_point now);
    unit_outcome startOnReserved(const unit &next, std::vector<worker_capacity> &capacities,
                                 const placement_request &request, const placement &where,
                                 time_point now);
    void makePreemptionReservation(const unit &next, const std::vector<worker_capacity> &capacities,
                                   const eviction &evicted, time_point now);
    void holdClearedCapacity(std::vector<worker_capacity> &capacities, time_point now);
    void stopMissedRuns(const unit &next, std::vector<worker_capacity> &capacities,
                        const placement_request &request, const std::optional<placement> &found,
                        const placement &where, time_point now);
    bool hasReservation(const unit &next) const;
    void endReservation(const task_key &unitKey, std::string_view reason, bool isOver = false);
    std::optional<placement> reservedPlacement(const unit &next,
                                               const std::vector<worker_capacity> &capacities,
                                               time_point now);
    void stopUnits(const std::vector<std::size_t> &units, std::vector<worker_capacity> &capacities,
                   const unit &beneficiary, time_point now);
    void learnInterference(time_point now);
    std::set<std::string> imagesBeside(const pool_worker &worker, const task_key &key) const;
    void markSteps(time_point now);
    void markStepOf(const std::string &id, const std::vector<std::pair<task_key, worker_id>> &runs,
                    time_point now);
    bool compareProgress(const marked_step &marked);
    void numberImages();
    image_bits imageBitsOf(const tracked_job &job, const step_spec &step) const;
    void noteUrgentArrival(const tracked_job &job);
    void noteUrgentWait(const unit &next, time_point now);
    void prepareUrgentRoom(const std::string &service,
                           const std::vector<worker_capacity> &capacities, time_point now);
    void chooseKeptWorkers(const std::vector<worker_capacity> &capacities);
    bool leavesUrgentRoom(const unit &next) const;
    std::vector<std::size_t> besideUrgentRoom(const unit &next,
                                              std::vector<std::size_t> eligible) const;
    void logUrgentRoom(time_point now);
    std::set<std::string> guaranteedJobs() const;
    const queue_entry *queueOf(const tracked_job &job) const;
    const queue_policy &policyOf(const tracked_job &job) const;
    std::size_t unitNumberOf(const task_key &task, const step_spec &step);
    time_point expectedEnd(const tracked_task &task, time_point now) const;
    static bool showsItsLength(const tracked_task &task, time_point now);
    double lostWork(const tracked_task &task, const step_spec &step, time_point now) const;

    run_planner_options m_options;
    epoch m_epoch;
    time_point m_electedAt;
    worker_pool m_pool;
    operator_view m_view;
    std::map<std::string, time_point> m_plannedDrains; // by id of the backend server
    std::unordered_map<std::string, std::size_t> m_queueIndexes; // in the catalogue, by name
    run_time_model m_runTimes;
    tail_notes m_tailNotes;
    std::map<std::string, worker_speed_model> m_speeds; // by service
    std::map<std::string, tracked_job> m_jobs;
    // By job: the worker of each task with an active run, in key order, as entered in the pool.
    std::map<std::string, std::vector<std::pair<task_key, worker_id>>> m_activeRuns;
    std::set<std::string> m_unfinished;
    held_work m_held;
    time_point m_heldChosenAt{};
    time_point m_heldLoggedAt{};
    std::size_t m_withoutRoom = 0; // jobs, in the last pass
    std::map<std::string, time_point> m_waitsForRoom; // since when, until a run of the job begins
    unix_ms m_passWall = 0; // wall-clock time of the last pass
    bool m_needsPass = true;
    std::set<std::string> m_changed; // jobs whose current version is not stored
    std::set<std::string> m_changedByCheckpoint; // the same, with new checkpoints only
    // Jobs with checkpoints that are not part of a version yet.
    std::set<std::string> m_checkpointed;
    time_point m_checkpointsStoredAt{};
    // By job: workers on which its tasks failed.
    std::map<std::string, std::set<worker_id>> m_failedOn;
    // Tasks whose backend server crashed under them. They are started apart from other starts, so
    // that another crash shows which of them is at fault.
    std::set<task_key> m_suspects;
    // In the current pass: workers with runs that are starting, and those where one is a suspect.
    std::set<worker_id> m_startingOn;
    std::set<worker_id> m_trialsOn;
    std::set<worker_id> m_changedWorkers;
    std::vector<run_decision> m_decisions;
    std::set<std::string> m_guaranteed; // jobs within a guarantee, in the current pass
    std::map<task_key, std::size_t> m_unitNumbers; // of the current pass
    std::vector<task_key> m_unitTasks; // first task of each unit, by unit number
    std::map<task_key, step_advice> m_advice; // by the first task of the step
    std::optional<advice_request> m_adviceRequest; // made in the last pass
    bool m_isAdvicePending = false; // a request was taken and has no answer yet
    bool m_isAdviceFailing = false; // the last request failed
    cleared_capacity m_cleared;
    // By service: how many of the steps after those that a pass tries in rank order were tried by
    // turns.
    std::map<std::string, std::size_t> m_stepsTriedByTurns;
    std::map<std::string, urgent_state> m_urgentStates; // by service
    urgent_room m_urgentRoom; // in the current pass
    interference_state m_interference;
    // By incarnation of backend servers that an earlier planner avoided and that have not reported.
    std::map<std::string, time_point> m_learnedAvoidance;
    team_shares m_shares;
    preemption_policy m_preemption;
    std::map<std::string, std::uint64_t> m_stopsByReason;
    std::array<std::uint64_t, stopRefusals> m_refusalsRecorded{};
    time_point m_refusalsRecordedAt{};
};

} // namespace goldcrest
