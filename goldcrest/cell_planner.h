#pragma once

// State machine of a cell's planner. It takes messages from agents and entries and answers from the
// store, carries out the decisions of a decision engine (scheduler.h) and keeps the job records. It
// has no sockets, no store client and no clock: the caller passes events and the current time, and
// carries out the actions.
//
//   cell_planner planner(options, makeGangScheduler("cell-a"), makeUnanimousPolicy(), now);
//   planner.received(link, message, now);
//   for (planner_action &action : planner.takeActions()) ...
//
// An object serves one epoch. It first requests the records of the cell's unfinished jobs, and
// places nothing on a worker before it has read that worker's inventory.

#include "goldcrest/config_view.h"
#include "goldcrest/gang_coordinator.h"
#include "goldcrest/job_record.h"
#include "goldcrest/outage_rule.h"
#include "goldcrest/platform_store.h"
#include "goldcrest/recent_jobs.h"
#include "goldcrest/scheduler.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace goldcrest {

using link_id = std::uint64_t;

// Time since the last contact with a worker after which it is suspect (takes no new tasks) or lost
// (its tasks count as ended).
constexpr duration workerSuspectAfter = 6s;
constexpr duration workerLostAfter = 12s; // task lease plus a margin of 2 s
constexpr duration holdLifetime = 1500ms;

// No start is sent later than this after its hold, so that it arrives within the hold's lifetime.
constexpr duration startSendLimit = 1200ms;

// The planner aborts an attempt if a member has not confirmed its start within this time.
constexpr duration startReplyTimeout = 8s;

// A new planner waits this long for inventories before it queues the first job.
constexpr duration rebuildSettleTime = 2500ms;

// An idempotent job that an earlier planner may have started without an intent waits longer, so
// that it is not started twice if its worker's inventory arrives late.
constexpr duration uncertainSettleTime = 5s;

// An entry's answer to an outage query is valid for this long after the query was sent. Together
// with the hold's lifetime this stays below 5 s.
constexpr duration maxOutageReplyAge = 3s;

// While the outcome is not stored, "not run" because of a deadline is reported only this long after
// the deadline, so that a planner on a host whose wall clock is slow does not start the job after
// the report.
constexpr duration deadlineSkewMargin = 2s;

struct send_message
{
    link_id link = 0;
    message content;
};

// Read the records of all jobs in the cell's index.
struct load_records
{ };

struct read_record
{
    job_key job;
};

// Write a record in a transaction that also requires the leader key of this epoch.
struct write_record
{
    job_key job;
    job_record record;
    store_revision expected = 0; // modification revision of the present record; 0: absent
    bool retire = false; // remove the job from the cell's index
    std::vector<std::string> resultParts; // written before the record
};

// Another planner has replaced this one, which makes no further decisions.
struct step_down
{
    std::string reason;
};

using planner_action
    = std::variant<send_message, load_records, read_record, write_record, step_down>;

struct loaded_record
{
    job_record record;
    store_revision modRevision = 0;
};

// Outcome of a write. No status of a failed write proves that it was not carried out: the condition
// on the record's revision makes the next write of the job find out.
enum class write_status { Applied, Unavailable, Ambiguous, Conflict, NotLeader, Rejected };

struct write_answer
{
    write_status status = write_status::Applied;
    store_revision modRevision = 0; // if applied
};

// Switches that tests use to show that a check fails without the mechanism.
struct planner_mechanisms
{
    bool writeIntent = true; // store an intent before a start
    bool inventoryFirst = true; // read a worker's inventory before placing tasks on it
};

struct planner_options
{
    std::string cell;
    worker_id worker; // where the planner runs
    epoch number = 0;
    std::int64_t startUnixMs = 0; // wall clock at the time of construction
    planner_mechanisms mechanisms;
};

struct planner_counters
{
    std::map<std::string, std::uint64_t> gangsStarted; // by class
    std::map<stop_reason, std::uint64_t> gangsStopped; // gangs that may have run
    std::map<code, std::uint64_t> holdsRefused; // refusals by agents
};

class cell_planner
{
public:
    cell_planner(planner_options options, std::unique_ptr<scheduler> engine,
                 std::unique_ptr<outage_policy> policy, time_point now);
    ~cell_planner();
    cell_planner(const cell_planner &) = delete;
    cell_planner &operator=(const cell_planner &) = delete;

    // Reports the state of this planner's lease. `storeUnresponsive` means that the store has
    // answered no renewal since the last successful one.
    void leaseChanged(bool isLeaseValid, bool storeUnresponsive, time_point now);

    // Passes a configuration from the store or from an entry. It was confirmed as current `age`
    // ago, or is unconfirmed if `age` is empty. It replaces only a configuration with a lower
    // revision.
    void configurationOffered(const configuration &config, std::optional<duration> age,
                              time_point now);
    // Reports that revision `number` was current `age` ago.
    void configurationConfirmed(revision number, duration age, time_point now);

    // Answers to store actions.
    void recordsLoaded(const result<std::vector<loaded_record>> &answer, time_point now);
    void recordRead(const job_key &key, const result<std::optional<loaded_record>> &answer,
                    time_point now);
    void recordWritten(const job_key &key, const write_answer &answer, time_point now);

    // Links of agents and entries. An agent counts as connected once its inventory has arrived.
    void entryOpened(link_id link, const std::string &name, time_point now);
    void linkClosed(link_id link, time_point now);
    void received(link_id link, const message &content, time_point now);

    // Sends the present configuration revision to an entry. Called after the entry sent a
    // configuration, which the caller has parsed and passed to configurationOffered().
    void acknowledgeConfiguration(link_id link);

    void tick(time_point now);

    // Prepares to hand the planner role over: starts nothing more and aborts attempts that have not
    // been started.
    void beginHandover(time_point now);
    // Returns whether no start waits for confirmation and no outcome waits to be written.
    bool isHandoverReady() const;

    // Returns the actions since the last call, in order.
    std::vector<planner_action> takeActions();

    bool isActive() const { return !m_steppedDown; }
    // Returns whether the planner may start gangs now.
    bool mayStart(time_point now) const;

    // Returns whether this is certainly still the cell's planner and its configuration is current:
    // it has a valid lease and a recent confirmation, or the outage rule allows it to continue.
    bool isEntitled(time_point now) const;
    epoch number() const { return m_options.number; }
    revision configRevision() const { return m_config.current().number; }
    // Returns the time since the configuration was last confirmed as current, if it ever was.
    std::optional<duration> configAge(time_point now) const { return m_config.confirmedAge(now); }
    const planner_counters &counters() const { return m_counters; }
    // Returns the number of jobs that wait to be passed to the engine.
    std::size_t parkedJobs() const { return m_parked.size(); }

    // Returns the number of workers in each state; states are named as in cell_status_message.
    std::map<std::string_view, std::size_t> workersByState() const;
    std::size_t jobCount() const { return m_jobs.size(); }
    const scheduler &engine() const { return *m_engine; }

private:
    struct planned_job;
    struct worker_state;
    struct entry_state;
    using job_map = std::unordered_map<job_key, std::unique_ptr<planned_job>, job_key_hash>;

    // Messages.
    void handle(link_id link, const submit_job_message &submit, time_point now);
    void handle(link_id link, const cancel_job_message &cancel, time_point now);
    void handle(link_id link, const explain_job_message &query, time_point now);
    void handle(link_id link, const cell_status_request_message &query, time_point now);
    void handle(link_id link, const outage_reply_message &reply, time_point now);
    void handle(link_id link, const inventory_message &inventory, time_point now);
    void handle(link_id link, const heartbeat_message &heartbeat, time_point now);
    void handle(link_id link, const drain_notice_message &notice, time_point now);
    void handle(link_id link, const hold_reply_message &reply, time_point now);
    void handle(link_id link, const task_started_message &started, time_point now);
    void handle(link_id link, const abort_reply_message &reply, time_point now);
    void handle(link_id link, const task_finished_message &finished, time_point now);
    template<typename other>
    void handle(link_id, const other &, time_point)
    { }

    // Jobs.
    planned_job *find(const job_key &key);
    planned_job &addJob(const job_spec &spec, time_point now);
    void addLoaded(const loaded_record &loaded, time_point now);
    void mergeRecord(planned_job &job, const loaded_record &loaded, time_point now);
    void markPossibleEarlierRun(planned_job &job) const;
    void park(planned_job &job, duration delay, time_point now);
    void releaseParked(time_point now);
    bool mayQueue(const planned_job &job, time_point now) const;
    void enqueue(planned_job &job, time_point now);
    void removeFromEngine(planned_job &job, const stopped_event &event, time_point now);
    void expireDeadlines(time_point now);
    bool isHistoryKnown(const planned_job &job) const;
    bool isExpired(const planned_job &job, time_point now) const;
    bool isProvenNotRun(const planned_job &job) const;
    void endWithoutResult(planned_job &job, const failure &why, time_point now);
    void conclude(planned_job &job, job_outcome outcome, std::optional<failure> why,
                  time_point now);
    void sendUpdate(const planned_job &job, link_id link, time_point now);
    void sendUpdates(const planned_job &job, time_point now);
    void answerIfAllowed(planned_job &job, time_point now);
    void retire(planned_job &job, time_point now);
    void flushUpdates(time_point now);

    // Records.
    job_record recordOf(const planned_job &job) const;
    void resolveUnknownParts(const job_key &key, const std::optional<loaded_record> &found,
                             time_point now);
    void markDirty(planned_job &job, time_point now);
    void syncRecord(planned_job &job, time_point now);
    void noteStoreAnswer(bool answered, time_point now);

    // Gangs.
    void applyEngineActions(time_point now);
    void apply(const place_action &place, time_point now);
    void apply(const stop_action &stop, time_point now);
    void apply(const reject_action &reject, time_point now);
    void apply(const throttle_action &throttle, time_point now);
    bool isUsable(const worker_id &worker) const;
    void hold(planned_job &job, time_point now);
    void afterHolds(planned_job &job, time_point now);
    void afterIntent(planned_job &job, bool written, time_point now);
    void startGang(planned_job &job, time_point now);
    void abortGang(planned_job &job, time_point now);
    void stopGang(planned_job &job, time_point now);
    void sendStops(planned_job &job, time_point now);
    void reviewGang(planned_job &job, time_point now);
    void finishGang(planned_job &job, time_point now);
    void requeueOrEnd(planned_job &job, stopped_event event, time_point now);
    void reviewRecovery(planned_job &job, time_point now);
    void adopt(planned_job &job, time_point now);
    void reviewPendingGangs(time_point now);
    void beginRecovery(planned_job &job, const job_record &record, time_point now);
    void abortGangsOnUnusableWorkers(time_point now);

    // Workers.
    void readParts(worker_state &worker, const inventory_message &inventory, bool newLink,
                   time_point now);
    void noteReportedPart(worker_state &worker, const running_part &reported, time_point now);
    void dropRecovering(planned_job &job, time_point now);
    void updateWorker(worker_state &worker, time_point now);
    void checkWorkers(time_point now);
    void markWorkerLost(worker_state &worker, time_point now);
    worker_state &workerOf(const worker_id &worker, time_point now);
    bool awaitsRecovery(const worker_id &worker) const;
    void sendTo(const worker_id &worker, message content);
    void acknowledge(worker_state &worker, std::uint64_t sequence, bool inventoryRequested,
                     time_point now);
    std::string_view stateNameOf(const worker_state &worker) const;

    void compensateForPause(time_point now);
    void queryEntries(time_point now);
    entry_answers countAnswers(time_point now) const;
    void checkEpoch(epoch seen);
    void send(link_id link, message content);
    std::int64_t unixNow(time_point now) const;

    planner_options m_options;
    std::unique_ptr<scheduler> m_engine;
    std::unique_ptr<outage_policy> m_policy;
    time_point m_startedAt;
    config_view m_config;
    job_map m_jobs;
    std::map<worker_id, std::unique_ptr<worker_state>> m_workers;
    std::map<link_id, worker_id> m_agentLinks;
    std::map<std::string, std::unique_ptr<entry_state>> m_entries; // by name
    std::map<link_id, std::string> m_entryLinks;
    std::multimap<time_point, job_key> m_parked; // by release time
    std::multimap<time_point, job_key> m_deadlines;
    std::set<job_key> m_pendingGangs; // jobs whose gang waits for a reply or may not start yet
    std::set<job_key> m_recovering;
    std::set<job_key> m_dirty; // jobs whose record must be read or written
    // Number of finished jobs kept to answer late messages. At 17,000 jobs a day over 11 cells,
    // this is more than one cell finishes in a day.
    static constexpr std::size_t maxFinishedJobs = 20000;
    // Ended in this epoch; answers late messages without the store.
    recent_jobs m_finished{maxFinishedJobs};
    // Reported parts of jobs that are not in memory, until the job's record is read.
    std::map<job_key, std::vector<running_part>> m_unknownParts;
    std::set<job_key> m_updated; // jobs whose entries get an update
    std::set<job_key> m_retired; // ended jobs to be removed from memory
    std::set<job_key> m_orphans; // unfinished jobs without a payload, to be removed from memory
    std::vector<planner_action> m_actions;
    planner_counters m_counters;
    bool m_isLeaseValid = false;
    bool m_storeUnresponsive = false;
    bool m_loaded = false;
    bool m_handingOver = false;
    bool m_steppedDown = false;
    bool m_applyingActions = false;
    std::uint64_t m_query = 0;
    duration m_activeTime = 0ms; // time since the start, without pauses of this process
    std::optional<time_point> m_lastTick;
    time_point m_nextLoad;
    time_point m_nextQuery;
};

} // namespace goldcrest
