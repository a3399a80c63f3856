#pragma once

// Messages between the system's own processes: entries, agents and planners. message_codec.h
// encodes them as CBOR and decodes them.
//
// Most messages from a planner, and the replies to them, carry the planner's epoch, so that the
// receiver can ignore those of a replaced planner. A reply names the attempt, the query or the
// sequence number that it answers.

#include "goldcrest/clock.h"
#include "goldcrest/model.h"
#include "goldcrest/outcome.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace goldcrest {

// The first message of each side on a new link.
struct hello_message
{
    std::string role; // "entry", "agent" or "planner"
    std::string name; // unique per process run
    std::string cell; // empty for entries
    std::string token; // shared secret from the settings, empty if none is set
};

// Data about a gang that each member's agent keeps, also in the metadata of its tasks at the
// backend server.
struct gang_info
{
    attempt_id attempt;
    std::string cell;
    epoch plannerEpoch = 0;
    std::int32_t tasks = 0; // number in the whole gang
    std::int32_t members = 1; // number of workers in the whole gang
    worker_id leader; // worker of task 0; its agent receives the pulses of the other members
    std::string leaderAddress;
    std::vector<gang_part> parts; // of all members; empty in the copies of all but the leader
    gang_part own; // tasks on the receiver's worker
    job_spec spec; // without the payload
};

// Planner to agent: reserve resources for a gang.
struct hold_message
{
    gang_info gang;
    duration lifetime = 1500ms; // a start that arrives later is refused
    revision configRevision = 0;
};

// Agent to planner: the resources are held, or why not.
struct hold_reply_message
{
    attempt_id attempt;
    worker_id worker;
    epoch plannerEpoch = 0;
    std::optional<failure> refused; // empty: the resources are held
};

// Planner to agent: start the held tasks.
struct start_message
{
    attempt_id attempt;
    epoch plannerEpoch = 0;
    std::string payload;
    double resumeFrom = 0; // fraction of the work saved by a checkpoint, 0 to 1
};

// Agent to planner: reply to start_message.
struct task_started_message
{
    attempt_id attempt;
    worker_id worker;
    epoch plannerEpoch = 0;
    std::optional<failure> refused; // empty: all tasks of the worker have started
};

// Planner to agent: drop the hold, or stop the tasks at once if they run. The agent must never
// start the attempt after this.
struct abort_message
{
    attempt_id attempt;
    epoch plannerEpoch = 0;
};

// Agent to planner: reply to abort_message; a later start of the attempt is refused on this worker.
struct abort_reply_message
{
    attempt_id attempt;
    worker_id worker;
    epoch plannerEpoch = 0;
    bool everStarted = false; // also true if the agent can't rule it out
};

// Planner to agent: stop the tasks within the job's stop time, after a checkpoint if `checkpoint`
// is set.
struct stop_message
{
    attempt_id attempt;
    epoch plannerEpoch = 0;
    bool checkpoint = false;
};

// Planner to agent: limit the resources that the tasks may use.
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
    std::string output; // bytes of this piece
    std::uint64_t totalBytes = 0; // size of the whole output
    std::uint64_t offset = 0; // position of this piece in the whole output
    std::string digest; // of the whole output (digest.h)
};

// Agent to planner: all tasks of the attempt on this worker have ended. The agent repeats the
// message until result_stored_message arrives.
struct task_finished_message
{
    attempt_id attempt;
    worker_id worker;
    epoch plannerEpoch = 0;
    std::vector<task_result> results;
    bool stopped = false; // ended by a stop, an abort or a lapsed lease
    double progress = 0; // fraction of the work that checkpoints saved, 0 to 1
    bool last = true; // false: more messages with pieces of the results follow
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

// Agent to planner: what the worker runs. Sent after the link opens and when the planner requests
// it.
struct inventory_message
{
    worker_info worker;
    std::vector<running_part> parts;
    std::vector<attempt_id> recentlyEnded; // attempts that started and ended here
    bool draining = false;
    bool backendReachable = false;
    epoch highestEpoch = 0;
};

// Resource usage and progress of one attempt on the worker.
struct usage_report
{
    attempt_id attempt;
    resources used; // for each resource, the largest usage of any task
    double progress = 0; // fraction of the work done, least of any task, 0 to 1
};

// Agent to planner: state and usage of the worker, sent every agentHeartbeatInterval.
struct heartbeat_message
{
    worker_id worker;
    epoch plannerEpoch = 0;
    std::uint64_t sequence = 0;
    std::vector<usage_report> usage; // attempts whose usage changed since the last heartbeat
    bool draining = false;
    bool backendReachable = true;
    std::int32_t partCount = 0; // started attempts; the planner compares the number with its own
};

// Planner to agent: reply to heartbeat_message.
struct heartbeat_ack_message
{
    epoch plannerEpoch = 0;
    std::uint64_t sequence = 0;
    revision configRevision = 0;
    duration confirmedAge = 0ms; // since the configuration was last confirmed as current
    bool inventoryRequested = false; // the agent must send an inventory
};

// Agent to planner: the graceful shutdown of the worker began or ended.
struct drain_notice_message
{
    worker_id worker;
    bool draining = true;
};

// Member's agent to the leader's agent: heartbeat of the member's part of a gang.
struct gang_pulse_message
{
    attempt_id attempt;
    worker_id worker;
    bool ended = false; // all tasks of the member have ended
    bool failed = false; // a task of the member failed, or the member is being stopped
};

// Leader's agent to the member's agent: reply to a pulse, and notice that the gang is broken.
struct gang_pulse_reply_message
{
    attempt_id attempt;
    bool isAlive = false; // false: a member failed or was lost, and the receiver stops its tasks
};

// Agent to entry: query for the planner of a cell.
struct find_planner_message
{
    std::string cell;
    worker_id worker;
    std::string address;
    bool eligible = true; // may be nominated as planner
};

// Entry to agent: the planner of a cell. An epoch of 0 means that the cell has no planner now.
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

// Entry to planner: cancel a job.
struct cancel_job_message
{
    job_key job;
};

// Entry to planner: query why a job waits.
struct explain_job_message
{
    std::uint64_t query = 0;
    job_key job;
};

// Planner to entry: reply to explain_job_message.
struct explain_reply_message
{
    std::uint64_t query = 0;
    bool found = false;
    std::string constraint; // what prevents the start
    std::string detail;
    std::string wouldHelp; // what would let the job start
    std::int32_t position = 0; // in the queue
};

// Planner to entry: state of a job. Sent on each change to the entries that submitted or watch the
// job.
struct job_update_message
{
    job_key job;
    epoch plannerEpoch = 0;
    std::int32_t attempt = 0;
    job_phase phase = job_phase::Queued;
    std::optional<job_outcome> outcome;
    std::optional<failure> why; // cause of an outcome other than Completed
    std::vector<task_result> results; // of a completed or failed job, in task order
    bool recorded = false; // the outcome is durable in the store
    duration startDelay = 0ms; // time from acceptance to start; 0 until started
};

// Entry to planner, and entry to entry: the configuration document as the sender read it from the
// store, or the confirmation that it is still current.
struct config_push_message
{
    revision number = 0;
    std::string document; // JSON as stored; empty if the message only confirms the revision
    duration confirmedAge = 0ms; // since the configuration was last confirmed as current
};

// Planner to entry: the planner applies this revision.
struct config_ack_message
{
    std::string cell;
    epoch plannerEpoch = 0;
    revision number = 0;
};

// Planner to entry: query whether the entry had contact with the store within the last `within`.
struct outage_query_message
{
    std::uint64_t query = 0;
    duration within = 0ms;
};

// Entry to planner: reply to outage_query_message.
struct outage_reply_message
{
    std::uint64_t query = 0;
    bool reachedStore = false; // the store answered the entry within the queried time
    revision highestRevision = 0; // of the configuration that the entry knows
};

// Entry to planner: query for the state of the cell.
struct cell_status_request_message
{
    std::uint64_t query = 0;
};

// State of one worker in a cell_status_message.
struct worker_status
{
    worker_id worker;
    std::string failureDomain;
    std::string rack;
    // "in service", "suspect", "draining", "out of service", "quarantined" or "lost".
    std::string state;
    resources capacity;
    resources used;
    std::int32_t tasks = 0;
};

// Planner to entry: reply to cell_status_request_message.
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

// One run of a task of a graph job (graph_job.h). Each start of a task has a higher run number.
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

// A run that has not ended, as its backend server reports it.
struct running_task
{
    run_id run;
    std::string saved; // last checkpoint; empty: none
    std::int32_t percent = 0; // share of the work that is done, 0 to 100
    // Tail latency in ms of a task that serves requests, millicores in use of other tasks.
    std::int64_t load = 0;
};

// How a run ended, as its backend server reports.
enum class run_end {
    Done = 0,
    Failed = 1, // the task or the backend server failed
    Stopped = 2,
    Lapsed = 3, // the lease expired
    GangMemberEnded = 4, // another member of the gang ended
    GangIncomplete = 5 // the other members of the gang did not start in time
};

// A run that has ended, as its backend server reports it.
struct ended_task
{
    std::int64_t number = 0; // grows within one incarnation of the backend server
    run_id run;
    run_end how = run_end::Done;
    std::string saved; // last checkpoint; empty: none
};

// Why a backend server did not start a run. The agent stops the run afterwards, so that an earlier
// start call with unknown outcome can't take effect later.
enum class start_refusal {
    Superseded = 0, // this or a later run of the task was stopped or has ended there
    NoCapacity = 1, // the free capacity is too small
    Late = 2, // the lease had expired when the call arrived
    TicketRejected = 3, // the placement ticket was not accepted
    Unhealthy = 4, // the backend server takes no work at present
    Invalid = 5 // the call itself was refused
};

// A start that the backend server refused.
struct refused_start
{
    run_id run;
    start_refusal why = start_refusal::NoCapacity;
};

// Agent to planner: state of the agent's backend server and of all runs on it. The state was read
// after all orders for this incarnation up to `ordersSeen` had been received, with `plannerEpoch`
// as the fencing token.
struct worker_report_message
{
    epoch plannerEpoch = 0;
    std::int64_t ordersSeen = 0;
    worker_id worker;
    std::string
        incarnation; // incarnation of the backend server, new after each start; empty: none known
    std::string machine; // id of the backend server
    std::string service;
    std::string failureDomain;
    std::string rack;
    std::vector<std::string> labels;
    resources capacity;
    bool draining = false;
    std::int64_t clock = 0; // time of the backend server's clock, ms
    std::vector<running_task> running;
    std::vector<ended_task> ended;
    std::vector<refused_start> refused;
    // Runs with a start or stop call of unknown outcome, which may still take effect.
    std::vector<run_id> unresolved;
    duration drainLeft = 0ms; // while draining: minimum time until the backend server leaves
    // This incarnation of the backend server is gone. The report only completes its ends.
    bool isFinal = false;
    // In a final report: all runs have ended with it but for those in `unresolved`. Otherwise the
    // agent does not know which starts may still take effect.
    bool hasEndedRuns = false;
    // In a final report: the backend server had announced that it leaves. Otherwise it crashed.
    bool wasAnnounced = false;
    // In a final report: runs whose start the backend server had confirmed, ended ones included.
    std::vector<run_id> startedRuns;
    // Entries of the backend server's lists are missing, so that a run that is not listed may
    // exist.
    bool isPartial = false;
};

// Order to start a run.
struct start_order
{
    run_id run;
    std::string payload;
    std::string saved; // checkpoint to resume from; empty: none
    std::string ticket; // placement ticket from the placement advice; empty: none
};

// Order to limit a run to a percentage of its full speed, so that it slows other runs less.
struct pace_order
{
    run_id run;
    std::int32_t percent = 100;
};

// Planner to agent: all starts that are not yet confirmed, and all stops whose runs have not ended.
struct worker_orders_message
{
    epoch plannerEpoch = 0;
    std::int64_t sequence = 0;
    std::string incarnation; // incarnation of the backend server that the orders are for
    std::int64_t holdUntil = 0; // end of the lease of all runs, on the backend server's clock, ms
    std::int64_t endsStored = 0; // ended_task numbers up to this one are durable in the store
    std::vector<start_order> starts;
    std::vector<run_id> stops;
    std::vector<pace_order> paces; // for runs that would slow others
    // Incarnation whose final report the planner has taken, if none was reported after it.
    std::string departedIncarnation;
    resources capacity; // of the backend server, as the planner knew it when it made the orders
};

// Entry to planner: query for the state of a job, or, if `job` is empty, for the number of waiting
// jobs of a queue.
struct graph_query_message
{
    std::uint64_t query = 0;
    std::string job;
    std::string queue;
};

// Planner to entry: reply to graph_query_message.
struct graph_reply_message
{
    std::uint64_t query = 0;
    bool isKnown = false;
    std::int32_t state = 0; // a graph_job_state
    std::int64_t waiting = 0; // accepted jobs of the queue of which no task has started
};

// Entry to planner: a job or a cancellation that the entry has just stored, so that the planner
// need not wait for its watch event. The planner replies with an empty graph_reply_message.
struct graph_intake_message
{
    std::string job; // id
    std::string accepted; // the job as stored; empty if it was cancelled
};

// Planner to agent: the planner can't reach the store, and an agent that can must remove the
// planner's leader key. Agent to planner: the key was removed, so another planner may be elected
// from now on.
struct takeover_message
{
    epoch plannerEpoch = 0;
};

// Free capacity and run times of one service, for the fronts' admission control.
struct service_outlook
{
    std::string service;
    resources capacity; // sum of the workers that take work
    resources freeOnWorker; // largest of any worker, each resource by itself
    resources freeInRack; // largest sum of any rack, each resource by itself
    resources freeInAll;
};

// Least wait of a new job because of the work of its own team in its queue's priority.
struct team_outlook
{
    std::string team;
    duration delay = 0ms;
};

// Least wait of a new job of one queue before it starts. Queues without a wait are left out.
struct queue_outlook
{
    std::string queue;
    std::string service;
    // Because of runs that can't be stopped for it, and of waiting work of higher priority.
    duration delay = 0ms;
    // Because of waiting work of the same priority that can still be on time, by team. Teams with
    // less are left out if there are many.
    std::vector<team_outlook> teams;
    std::int64_t runTimePercent = 100; // expected run time as a percentage of the declared one
};

// Accelerators of a team's guarantee that its jobs use or wait for.
struct guarantee_outlook
{
    std::string team;
    std::int64_t used = 0;
};

// Planner to entry: how long new jobs wait at least. Sent only on links on which the entry has
// asked for it with a graph_query_message for the queue admissionOutlookQueue, because a process
// that does not know this message closes the link on which it arrives.
struct admission_outlook_message
{
    epoch plannerEpoch = 0;
    std::int64_t sequence = 0; // grows within an epoch
    // Last revision of the store at which this planner wrote. What was written at it or before had
    // been written when this message was sent.
    std::int64_t storeRevision = 0;
    std::vector<service_outlook> services;
    std::vector<queue_outlook> queues;
    std::vector<guarantee_outlook> guarantees;
};

// A planner that does not know admission_outlook_message answers a query for this queue like one
// for any queue without jobs. Queues of the configuration have other names.
constexpr std::string_view admissionOutlookQueue = "#admission-outlook";

// Least wait of a new gang until enough accelerators are free at a time, however the rest is
// shared.
struct size_outlook
{
    std::string service;
    std::int32_t priority = 0; // of the gang
    std::int64_t accelerators = 0; // of all its members together, at least
    duration delay = 0ms;
};

// Least wait of a new job because of waiting work of the same priority whose target is not later
// than `within` from now. Work with a later target may be passed.
struct target_outlook
{
    std::string queue;
    duration within = 0ms;
    std::vector<team_outlook> teams;
};

// Planner to entry: what an admission_outlook_message of the same epoch and sequence leaves out. It
// is sent before that one, on links on which the entry has asked for it with a graph_query_message
// for the queue admissionDetailQueue.
struct admission_detail_message
{
    epoch plannerEpoch = 0;
    std::int64_t sequence = 0;
    std::vector<size_outlook> sizes;
    std::vector<target_outlook> targets;
};

// As admissionOutlookQueue, for admission_detail_message.
constexpr std::string_view admissionDetailQueue = "#admission-detail";

// The position in the variant is the kind number on the wire, so new messages must be appended.
using message = std::variant<
    hello_message, hold_message, hold_reply_message, start_message, task_started_message,
    abort_message, abort_reply_message, stop_message, throttle_message, task_finished_message,
    result_stored_message, inventory_message, heartbeat_message, heartbeat_ack_message,
    drain_notice_message, gang_pulse_message, gang_pulse_reply_message, find_planner_message,
    planner_info_message, nominate_message, submit_job_message, cancel_job_message,
    explain_job_message, explain_reply_message, job_update_message, config_push_message,
    config_ack_message, outage_query_message, outage_reply_message, cell_status_request_message,
    cell_status_message, worker_report_message, worker_orders_message, graph_query_message,
    graph_reply_message, graph_intake_message, takeover_message, admission_outlook_message,
    admission_detail_message>;

} // namespace goldcrest
