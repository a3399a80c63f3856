#pragma once

// Life cycle of job requests in an entry, the process that takes jobs from callers: detects
// duplicates, records accepted jobs in the store, routes them to the planner of a cell, and answers
// waiting callers. Has no sockets; HTTP and planner links are handled by entry_http and
// entry_daemon.
//
//   entry_core core(store, loop, planners, options);
//   core.setConfiguration(view.share());
//   core.submit(body, 30s, [](const job_answer &answer) { ... });
//   core.plannerConnected("main", epoch);           // a link to the cell's planner is open
//   core.received("main", jobUpdate);        // a message from that planner
//
// Guarantees of the answers:
//   - A job is accepted once its record is in the store. An idempotent job may instead be accepted
//     by the cell's planner while the store is down.
//   - A refusal with notRun means that this submission started nothing and never will. It is sent
//     only while no write of this entry for the job may have taken effect. After acceptance, only
//     the outcome that the planner records can be "not run".
//   - A submission whose write has an unknown outcome is answered with OutcomeUnknown when its
//     acceptance times out. The entry then settles the job: it creates a finished record with the
//     outcome "not run", unless the job's record turns out to exist.

#include "goldcrest/catalogue.h"
#include "goldcrest/event_loop.h"
#include "goldcrest/job_record.h"
#include "goldcrest/job_request.h"
#include "goldcrest/messages.h"
#include "goldcrest/platform_store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

// Sends messages to the planners that this entry is connected to.
class planner_links
{
public:
    virtual ~planner_links() = default;

    // Returns false if there is no open link to the cell's planner, or its buffer is full.
    virtual bool send(const std::string &cell, const message &value) = 0;
};

// State of a job as reported to callers.
struct job_view
{
    job_key key;
    std::string cell;
    std::string className;
    std::string shape;
    job_phase phase = job_phase::Accepted;
    std::int32_t attempt = 0;
    std::optional<job_outcome> outcome;
    std::optional<failure> why; // reason of the outcome
    std::vector<task_result> results; // complete, checked against their digests
    bool recorded = false; // the record, and the outcome if there is one, is in the store
    std::int64_t acceptedAtUnixMs = 0;
    duration startDelay = 0ms; // 0 until the job has started
};

struct job_answer
{
    std::optional<failure> error; // if empty, `view` is valid
    bool notRun = false; // with an error: this submission started nothing and never will
    bool created = false; // true if this submission created the job, false if the job existed
    job_view view;
};

using answer_callback = std::function<void(const job_answer &)>;

struct explain_answer
{
    std::optional<failure> error;
    job_view view;
    explain_reply_message reply; // the planner's explanation, valid while the job is queued
};

// An event in the life of a job, reported to the history log and the metrics.
struct entry_event
{
    enum class kind { Accepted, Refused, Finished };
    kind what = kind::Accepted;
    const job_view &view;
    bool submittedHere = false; // false if another entry accepted the job and records its metrics
    std::optional<failure> error; // reason of a refusal
};

struct entry_options
{
    std::string name; // unique for each start of the process; part of the writer tokens
    std::size_t maxOpenJobs = 8192;
    std::size_t maxOpenBytes = 64 * 1024 * 1024; // payloads of open jobs
    std::int64_t maxQueuedPerCell = 20'000;
    duration acceptTimeout = 20s; // shorter for jobs with an earlier deadline
    duration storeCallDeadline = 2s;
    duration settleTimeout = 10min; // how long a write with unknown outcome is followed up
    // A job with waiting callers is read from the store if its planner sent no update for this
    // long.
    duration updateTimeout = 5s;
    std::size_t maxPollsPerSecond = 5; // bounds the store reads caused by updateTimeout
    request_limits limits;
    std::function<std::int64_t()> unixTimeMs; // wall clock, stored with accepted jobs
    std::function<void(const entry_event &)> onEvent; // may be empty
};

struct entry_counters
{
    std::uint64_t accepted = 0;
    std::uint64_t attached = 0; // submissions of a job that existed
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0; // jobs whose submission was answered with OutcomeUnknown
    std::uint64_t finished = 0;
    std::uint64_t droppedUpdates = 0; // late, reordered, or for a job that is not open here
    std::uint64_t resubmitted = 0; // jobs sent again to a planner whose link opened
    std::uint64_t acceptedUnrecorded = 0; // accepted by the planner before they had a record
};

// How long the planners of a cell must have reported before its list of workers counts as complete.
// Longer than a worker that is not lost can take to find a new planner.
constexpr duration fleetSettleTime = 15s;

// How long a worker that planners no longer report stays in the list.
constexpr duration unreportedWorkerRetention = 10min;

class entry_core
{
public:
    entry_core(platform_store &store, event_loop &loop, planner_links &planners,
               entry_options options);
    ~entry_core();
    entry_core(const entry_core &) = delete;
    entry_core &operator=(const entry_core &) = delete;

    void setConfiguration(std::shared_ptr<const configuration> config);

    // Submits the job in the request body, or attaches to the existing job with the same request id
    // and body. Answers when the job has finished, or `wait` after it was accepted.
    void submit(std::string_view body, duration wait, answer_callback callback);

    // Answers with the state of a job when it has finished, or after `wait`. Without a wait,
    // answers with the current state; if this entry does not track the job, it first waits briefly
    // for an update from the planner.
    // Errors: UnknownRequest if the job has no record; AnswerPending while it is being accepted;
    // OutcomeUnknown while it is being settled; the error of a failed store read.
    void find(const job_key &job, duration wait, answer_callback callback);

    // Requests the cancellation of a job. Answers when the job has finished, or after `wait`.
    // Errors: as find(); Cancelled if the job was cancelled before it was accepted.
    void cancel(const job_key &job, duration wait, answer_callback callback);

    // Lists at most `limit` recorded jobs of a team in the order of request ids, without results.
    void list(const team_id &team, std::size_t limit,
              std::function<void(result<std::vector<job_view>>)> callback);

    // Asks the planner of the job's cell why the job is still queued.
    // Errors: as find(); PlannerUnreachable.
    void explain(const job_key &job, std::function<void(const explain_answer &)> callback);

    // Must be called when a link to the cell's planner has opened. Submits the cell's open jobs to
    // that planner.
    void plannerConnected(const std::string &cell, epoch plannerEpoch);

    // Processes a message from the cell's planner.
    void received(const std::string &cell, const job_update_message &update);
    void received(const std::string &cell, const explain_reply_message &reply);
    void received(const cell_status_message &status);

    // Refuses new jobs from now on and answers waiting callers within `limit`.
    void drain(duration limit);

    // Returns whether no caller waits and no open job depends on state that only this process has.
    bool isIdle() const;

    std::size_t openJobs() const;
    const entry_counters &counters() const;

    // Returns the workers of the cells whose list of workers is complete. A planner that was just
    // elected reports only the workers whose agents have found it so far. Therefore a cell is
    // included only once its planners have reported for fleetSettleTime, and a worker that is no
    // longer reported is kept for unreportedWorkerRetention.
    const cell_workers &knownWorkers() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace goldcrest
