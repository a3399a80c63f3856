#pragma once

// Request life cycle of an entry, without sockets: duplicate check, durable acceptance, routing to
// the planner of a cell, waiting callers and their answers.
//
//   entry_core core(store, loop, planners, options);
//   core.setConfiguration(view.share());
//   core.submit(body, 30s, [](const job_answer &answer) { ... });
//   core.plannerUp("main", epoch);           // a link to the cell's planner is open
//   core.received("main", job_update);       // messages of that planner
//
// Rules that the answers keep:
//   - A job is accepted once its record is in the store. An idempotent job may instead be accepted
//     by the cell's planner while the store is down.
//   - A refusal with notRun means that this submission started nothing and never will. It is given
//     only while no write of this entry for the job may have taken effect. After acceptance only
//     the planner's recorded outcome says "not run".
//   - A submission whose write may have taken effect is answered with OutcomeUnknown when its time
//     ends. The entry goes on to settle it: it creates a finished record with the outcome "not run"
//     unless the job's record turns out to exist.

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

// State of a job as callers see it.
struct job_view
{
    job_key key;
    std::string cell;
    std::string className;
    std::string shape;
    job_phase phase = job_phase::Accepted;
    std::int32_t attempt = 0;
    std::optional<job_outcome> outcome;
    std::optional<failure> why;
    std::vector<task_result> results; // whole and checked
    bool recorded = false; // the record, and the outcome if there is one, is in the store
    std::int64_t acceptedAtUnixMs = 0;
    duration startDelay = 0ms; // 0 until started
};

struct job_answer
{
    std::optional<failure> error; // empty: `view` is valid
    bool notRun = false; // with an error: this submission started nothing and never will
    bool created = false; // this submission created the job; false: it existed
    job_view view;
};

using answer_callback = std::function<void(const job_answer &)>;

struct explain_answer
{
    std::optional<failure> error;
    job_view view;
    explain_reply_message reply; // valid while the job is queued
};

// What the history and the metrics record.
struct entry_event
{
    enum class kind { Accepted, Refused, Finished };
    kind what = kind::Accepted;
    const job_view &view;
    bool submittedHere = false; // else another entry accepted the job and measures it
    std::optional<failure> error; // of a refusal
};

struct entry_options
{
    std::string name; // unique per process run; part of the writer tokens
    std::size_t maxOpenJobs = 8192;
    std::size_t maxOpenBytes = 64 * 1024 * 1024; // payloads of open jobs
    std::int64_t maxQueuedPerCell = 20'000;
    duration acceptLimit = 20s; // of jobs that have no earlier deadline
    duration storeCallDeadline = 2s;
    duration settleLimit = 10min; // how long an ambiguous write is followed up
    duration pollAfterSilence = 5s; // a waited-for job without news is read from the store
    std::size_t pollsPerSecond = 5; // bounds the reads that the line above causes
    request_limits limits;
    std::function<std::int64_t()> unixTimeMs; // wall clock, stored with accepted jobs
    std::function<void(const entry_event &)> onEvent; // may be empty
};

struct entry_counters
{
    std::uint64_t accepted = 0;
    std::uint64_t attached = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t finished = 0;
    std::uint64_t droppedUpdates = 0; // late, reordered, or for a job that is not open here
    std::uint64_t resubmitted = 0;
    std::uint64_t acceptedUnrecorded = 0;
};

// Longer than a worker that is not lost can take to find a new planner.
constexpr duration fleetSettleTime = 15s;
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

    // Submits a job, or attaches to the one with the same request id and body. Answers when the job
    // has finished, or `wait` after it was accepted.
    void submit(std::string_view body, duration wait, answer_callback callback);

    // Answers with the state of a job when it has finished, or after `wait`.
    void find(const job_key &job, duration wait, answer_callback callback);

    // Cancels a job. Answers like find().
    void cancel(const job_key &job, duration wait, answer_callback callback);

    // Lists records of a team in the order of request ids.
    void list(const team_id &team, std::size_t limit,
              std::function<void(result<std::vector<job_view>>)> callback);

    void explain(const job_key &job, std::function<void(const explain_answer &)> callback);

    // A link to the cell's planner is open. Open jobs are submitted to it.
    void plannerUp(const std::string &cell, epoch plannerEpoch);

    // Takes a message of the cell's planner.
    void received(const std::string &cell, const job_update_message &update);
    void received(const std::string &cell, const explain_reply_message &reply);
    void received(const cell_status_message &status);

    // Refuses new jobs from now on and answers waiting callers within `limit` of now.
    void drain(duration limit);

    // Returns whether no caller waits and no open job depends on this process.
    bool isIdle() const;

    std::size_t openJobs() const;
    const entry_counters &counters() const;

    // Workers of the cells whose fleet is known whole. A planner that was just elected reports the
    // workers whose agents have found it so far, so a cell counts only once its planners have
    // reported for fleetSettleTime, and a worker that is no longer reported is kept for a while.
    const cell_workers &knownWorkers() const;

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace goldcrest
