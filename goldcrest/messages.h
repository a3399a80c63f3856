#pragma once

// Messages between the system's own processes. message_codec.h turns them into CBOR and back.
//
// Each message that concerns a planner has the planner's epoch; each reply names the attempt that
// it answers.

#include "goldcrest/clock.h"
#include "goldcrest/model.h"
#include "goldcrest/outcome.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace goldcrest {

// Every link starts with a hello from each side.
struct hello_message
{
    std::string role; // "entry", "agent" or "planner"
    std::string name; // unique per process run
    std::string cell; // empty for entries
    std::string token; // shared secret from the settings, empty if none is set
};

// Gang data that every member keeps, also in the task's metadata at its backend server.
struct gang_info
{
    attempt_id attempt;
    std::string cell;
    epoch plannerEpoch = 0;
    std::int32_t tasks = 0; // of the whole gang
    std::int32_t members = 1; // workers of the whole gang
    worker_id leader; // worker of task 0; its agent collects the pulses
    std::string leaderAddress;
    std::vector<gang_part> parts; // all members; only the leader's copy has them
    gang_part own; // the receiver's tasks
    job_spec spec; // without the payload
};

// Planner to agent: reserve resources for a gang.
struct hold_message
{
    gang_info gang;
    duration lifetime = 1500ms; // a start that arrives later is refused
    revision configRevision = 0;
};

// Agent to planner.
struct hold_reply_message
{
    attempt_id attempt;
    worker_id worker;
    epoch plannerEpoch = 0;
    std::optional<failure> refused; // empty: held
};

// Planner to agent: start the held tasks.
struct start_message
{
    attempt_id attempt;
    epoch plannerEpoch = 0;
    std::string payload;
    double resumeFrom = 0; // share of the work kept by a checkpoint, 0 to 1
};

struct task_started_message
{
    attempt_id attempt;
    worker_id worker;
    epoch plannerEpoch = 0;
    std::optional<failure> refused; // empty: all tasks of the worker have started
};

// Planner to agent: drop the hold, or stop the tasks at once if they run. The attempt may never
// start after this.
struct abort_message
{
    attempt_id attempt;
    epoch plannerEpoch = 0;
};

// Agent to planner: the attempt is fenced on this worker.
struct abort_reply_message
{
    attempt_id attempt;
    worker_id worker;
    epoch plannerEpoch = 0;
    bool everStarted = false;
};

// Planner to agent: stop within the job's stop time, with a checkpoint if the job can.
struct stop_message
{
    attempt_id attempt;
    epoch plannerEpoch = 0;
    bool checkpoint = false;
};

struct throttle_message
{
    attempt_id attempt;
    epoch plannerEpoch = 0;
    resources limit; // for each task
};

// Result of one task, or one piece of it if it is large.
struct task_result
{
    std::int32_t task = 0;
    bool succeeded = false;
    std::string output; // this piece
    std::uint64_t totalBytes = 0; // of the whole output
    std::uint64_t offset = 0; // of this piece
    std::string digest; // of the whole output
};

// Agent to planner: all tasks of the attempt on this worker have ended. Sent again until
// result_stored arrives.
struct task_finished_message
{
    attempt_id attempt;
    worker_id worker;
    epoch plannerEpoch = 0;
    std::vector<task_result> results;
    bool stopped = false; // ended by a stop, an abort or a lapsed lease
    double progress = 0; // share of the work that checkpoints keep, 0 to 1
    bool last = true; // more pieces follow otherwise
};

// Planner to agent: the result is durable and the agent may forget the attempt.
struct result_stored_message
{
    attempt_id attempt;
    epoch plannerEpoch = 0;
};

// What one worker runs for an attempt.
struct running_part
{
    gang_info gang;
    duration ranFor = 0ms;
    bool finished = false; // the result is ready but not known to be stored
};

// Agent to planner after it connects.
struct inventory_message
{
    worker_info worker;
    std::vector<running_part> parts;
    std::vector<attempt_id> recentlyEnded; // attempts that started and ended here
    bool draining = false;
    bool backendReachable = false;
    epoch highestEpoch = 0;
};

// Resources that the tasks of one attempt use on the worker, for each task.
struct usage_report
{
    attempt_id attempt;
    resources used;
    double progress = 0; // 0 to 1
};

struct heartbeat_message
{
    worker_id worker;
    epoch plannerEpoch = 0;
    std::uint64_t sequence = 0;
    std::vector<usage_report> usage; // changed since the last heartbeat
    bool draining = false;
    bool backendReachable = true;
    std::int32_t partCount = 0; // attempts on the worker, to find differences
};

struct heartbeat_ack_message
{
    epoch plannerEpoch = 0;
    std::uint64_t sequence = 0;
    revision configRevision = 0;
    duration confirmedAge = 0ms; // since the configuration was last confirmed as current
    bool inventoryWanted = false;
};

// Agent to planner: the backend server announced its graceful shutdown, or ended it.
struct drain_notice_message
{
    worker_id worker;
    bool draining = true;
};

// Member's agent to the leader's agent.
struct gang_pulse_message
{
    attempt_id attempt;
    worker_id worker;
    bool ended = false; // the member's tasks have ended or failed
    bool failed = false;
};

// Leader's agent to the member's agent.
struct gang_pulse_reply_message
{
    attempt_id attempt;
    bool whole = false;
};

// Agent to entry.
struct find_planner_message
{
    std::string cell;
    worker_id worker;
    std::string address;
    bool eligible = true; // may be nominated as planner
};

// Entry to agent. An epoch of 0 means that the cell has no planner now.
struct planner_info_message
{
    std::string cell;
    std::string address;
    epoch plannerEpoch = 0;
};

// Entry to agent: try to become the planner of the cell.
struct nominate_message
{
    std::string cell;
};

// Entry to planner: an accepted job. `recorded` is false for idempotent jobs accepted during a
// store outage.
struct submit_job_message
{
    job_spec spec;
    bool recorded = true;
    std::int64_t acceptedAtUnixMs = 0;
};

struct cancel_job_message
{
    job_key job;
};

struct explain_job_message
{
    std::uint64_t query = 0;
    job_key job;
};

struct explain_reply_message
{
    std::uint64_t query = 0;
    bool found = false;
    std::string constraint;
    std::string detail;
    std::string wouldHelp;
    std::int32_t position = 0;
};

// Planner to entry: state of a job. Sent on each change to the entries that submitted or watch it.
struct job_update_message
{
    job_key job;
    epoch plannerEpoch = 0;
    std::int32_t attempt = 0;
    job_phase phase = job_phase::Queued;
    std::optional<job_outcome> outcome;
    std::optional<failure> why;
    std::vector<task_result> results; // of a completed or failed job, in task order
    bool recorded = false; // the outcome is durable in the store
    duration startDelay = 0ms; // acceptance to start; 0 until started
};

// Entry to planner, and entry to entry: the configuration document at second hand.
struct config_push_message
{
    revision number = 0;
    std::string document; // JSON as stored; empty if only the age is confirmed
    duration confirmedAge = 0ms;
};

// Planner to entry: the planner applies this revision.
struct config_ack_message
{
    std::string cell;
    epoch plannerEpoch = 0;
    revision number = 0;
};

// Planner to entry: has the entry heard from the store within the last `within`?
struct outage_query_message
{
    std::uint64_t query = 0;
    duration within = 0ms;
};

struct outage_reply_message
{
    std::uint64_t query = 0;
    bool heardFromStore = false;
    revision highestRevision = 0;
};

struct cell_status_request_message
{
    std::uint64_t query = 0;
};

struct worker_status
{
    worker_id worker;
    std::string failureDomain;
    std::string rack;
    std::string
        state; // "in service", "suspect", "draining", "out of service", "quarantined", "lost"
    resources capacity;
    resources used;
    std::int32_t tasks = 0;
};

struct cell_status_message
{
    std::uint64_t query = 0;
    std::string cell;
    epoch plannerEpoch = 0;
    revision configRevision = 0;
    std::string plannerWorker;
    std::vector<worker_status> workers;
    std::int64_t queuedJobs = 0;
    std::int64_t runningJobs = 0;
    std::int64_t freeAccelerators = 0;
    std::int64_t borrowedAccelerators = 0;
    std::vector<std::string> unmetGuarantees;
};

// One run of a task of a graph job (graph_job.h). Run numbers of a task grow with each start.
struct run_id
{
    std::string task; // "ID.OCCURRENCE.STEP.INDEX"
    std::int32_t number = 0;

    friend bool operator==(const run_id &a, const run_id &b)
    {
        return a.number == b.number && a.task == b.task;
    }
    friend bool operator<(const run_id &a, const run_id &b)
    {
        return std::tie(a.task, a.number) < std::tie(b.task, b.number);
    }
};

struct running_task
{
    run_id run;
    std::string saved; // last checkpoint; empty: none
    std::int32_t percent = 0; // of the work
    std::int64_t load = 0; // tail latency in ms of a task that serves, else millicores in use
};

// How a run ended, as its backend server tells.
enum class run_end {
    Done = 0,
    Failed = 1, // through its own fault or the backend server's
    Stopped = 2,
    Lapsed = 3, // the lease ended
    Broken = 4, // another member of the gang ended
    Alone = 5 // the other members of the gang did not come in time
};

struct ended_task
{
    std::int64_t number = 0; // grows within one life of the backend server
    run_id run;
    run_end how = run_end::Done;
    std::string saved;
};

// Why a backend server did not start a run. It was told to stop the run afterwards, so that an
// earlier call without an answer can't start it late.
enum class start_refusal {
    Superseded = 0, // this or a later run of the task was stopped or has ended there
    NoRoom = 1,
    Late = 2, // the time of the lease had passed
    NoTicket = 3, // the placement ticket was not accepted
    Unhealthy = 4,
    Invalid = 5
};

struct refused_start
{
    run_id run;
    start_refusal why = start_refusal::NoRoom;
};

// Agent to planner: the backend server beside the agent and all that runs on it. The view was taken
// after all orders up to `ordersSeen` were given, under the fencing token of `plannerEpoch`.
struct worker_report_message
{
    epoch plannerEpoch = 0;
    std::int64_t ordersSeen = 0;
    worker_id worker;
    std::string life; // changes when the backend server starts again; empty: none is known
    std::string machine; // id of the backend server
    std::string service;
    std::string failureDomain;
    std::string rack;
    std::vector<std::string> labels;
    resources capacity;
    bool draining = false;
    std::int64_t clock = 0; // of the backend server, ms
    std::vector<running_task> running;
    std::vector<ended_task> ended;
    std::vector<refused_start> refused;
    std::vector<run_id> unresolved; // calls without an answer, which may still take effect
};

struct start_order
{
    run_id run;
    std::string payload;
    std::string saved; // checkpoint to go on from; empty: none
    std::string ticket; // of the placement advice; empty: none
};

// Share of its speed at which a run may work, and disturb others.
struct pace_order
{
    run_id run;
    std::int32_t percent = 100;
};

// Planner to agent: all starts that are not confirmed, and all stops that have not ended.
struct worker_orders_message
{
    epoch plannerEpoch = 0;
    std::int64_t sequence = 0;
    std::string life; // the orders are for this life of the backend server
    std::int64_t holdUntil = 0; // lease of all that runs, on the backend server's clock, ms
    std::int64_t endsStored = 0; // ends up to this number are durable
    std::vector<start_order> starts;
    std::vector<run_id> stops;
    std::vector<pace_order> paces; // of runs that must leave others alone
};

// Entry to planner: state of a job, or, with an empty job, the waiting jobs of a queue.
struct graph_query_message
{
    std::uint64_t query = 0;
    std::string job;
    std::string queue;
};

struct graph_reply_message
{
    std::uint64_t query = 0;
    bool isKnown = false;
    std::int32_t state = 0; // a graph_job_state
    std::int64_t waiting = 0; // accepted jobs of the queue of which no task has started
};

// Entry to planner: what it has just stored, so that the planner need not wait for its watch of the
// store. Answered with the job's state.
struct graph_intake_message
{
    std::string job; // id
    std::string accepted; // the job as stored; empty if it was cancelled
};

// Planner to agent: the planner can't reach the store, and an agent that can is to remove its
// leader key. Agent to planner: that was done, so another planner may lead from now on.
struct takeover_message
{
    epoch plannerEpoch = 0;
};

// The position in the variant is the kind number on the wire: append only.
using message = std::variant<
    hello_message, hold_message, hold_reply_message, start_message, task_started_message,
    abort_message, abort_reply_message, stop_message, throttle_message, task_finished_message,
    result_stored_message, inventory_message, heartbeat_message, heartbeat_ack_message,
    drain_notice_message, gang_pulse_message, gang_pulse_reply_message, find_planner_message,
    planner_info_message, nominate_message, submit_job_message, cancel_job_message,
    explain_job_message, explain_reply_message, job_update_message, config_push_message,
    config_ack_message, outage_query_message, outage_reply_message, cell_status_request_message,
    cell_status_message, worker_report_message, worker_orders_message, graph_query_message,
    graph_reply_message, graph_intake_message, takeover_message>;

} // namespace goldcrest
