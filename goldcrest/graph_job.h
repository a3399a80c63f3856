#pragma once

// Defines graph jobs, which are directed acyclic graphs of steps, and the records that store them
// and their progress.
//
//   graph_job job = ...;                       // decoded from a caller's request
//   std::string value = encodeGraphJob(job);   // the form in the store
//   result<graph_job> again = decodeGraphJob(value);
//
// A step consists of identical tasks and may start once all tasks of the steps in `after` are done.
// A gang step runs all its tasks at the same time. A scheduled job runs its steps once for each
// occurrence.

#include "goldcrest/clock.h"
#include "goldcrest/model.h"
#include "goldcrest/outcome.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrest {

// Wall-clock time in milliseconds since 1970. It may jump, so it is used only for times that
// callers state or see, such as the due times of occurrences; everything else uses time_point.
using unix_ms = std::int64_t;

// A step of a job, as declared by the caller.
struct step_spec
{
    std::int32_t count = 1; // tasks
    resources perTask;
    duration estimated = 0ms; // run time of one task, as declared by the caller
    std::vector<std::int32_t> after; // indexes of earlier steps that must be done first
    bool checkpointing = false; // the tasks save checkpoints while they run
    bool gang = false; // all tasks must run at the same time
    bool sameRack = false; // the tasks run slower if spread over several racks
    bool speculative = false; // several copies of a task may run in parallel
    bool longRunning = false; // runs until the job is cancelled; restarted whenever it ends
    bool bestEffort = false; // uses spare cores, which do not count against a worker's capacity
    std::string requiredLabel; // of the worker; empty: none
    std::string dataRack; // rack of the input data; tasks run slower elsewhere; empty: none
    std::int32_t maxPerWorker = 0; // tasks of one occurrence; 0: no limit
    std::int32_t maxMissing = 0; // tasks of a long-running step that we may have down at once
    std::string image; // tasks with the same image behave alike
    duration latencyTarget = 0ms; // of a long-running task that serves requests; 0: none
};

// Occurrence n of a scheduled job is due at firstDue + n * interval.
struct job_schedule
{
    std::int32_t occurrences = 0; // 0: the job runs once, immediately
    unix_ms firstDue = 0;
    duration interval = 0ms;
};

// Scheduling settings of a queue. A job stores a copy made when it was accepted, which applies if
// its queue is removed later.
struct queue_policy
{
    std::string service; // service whose backend servers run the queue's tasks
    std::int32_t priority = 0; // 0 is the highest
    std::int32_t maxAttempts = 1; // the job fails after this many failed runs of one task
    // A job should complete within slackFactor times its critical path, plus completionTarget.
    double slackFactor = 1;
    duration completionTarget = 0ms;
};

// A job as it was submitted and accepted.
struct graph_job
{
    std::string id;
    std::string queue;
    team_id team; // empty if the queue is public
    std::string payload;
    std::vector<step_spec> steps;
    job_schedule schedule;
    queue_policy policy;
    unix_ms acceptedAt = 0;
};

// Identifies one task of a job. Its text form is "ID.OCCURRENCE.STEP.INDEX".
struct task_key
{
    std::string job;
    std::int32_t occurrence = 0;
    std::int32_t step = 0;
    std::int32_t index = 0;

    friend bool operator<(const task_key &a, const task_key &b)
    {
        return std::tie(a.job, a.occurrence, a.step, a.index)
            < std::tie(b.job, b.occurrence, b.step, b.index);
    }
    friend bool operator==(const task_key &a, const task_key &b)
    {
        return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step
            && a.index == b.index;
    }
};

// Returns the text form of a task key.
std::string formatTask(const task_key &task);

// Parses the text form of a task key. Errors: MalformedMessage.
result<task_key> parseTask(std::string_view text);

// State of a job as reported to callers.
enum class graph_job_state { Queued = 0, Running = 1, Completed = 2, Failed = 3, Cancelled = 4 };

// Returns the lower-case name that callers see.
std::string_view nameOf(graph_job_state state);

// Validates counts, resources, the references between steps, and the schedule.
// Errors: InvalidValue with the path of the field.
result<done> checkGraphJob(const graph_job &job);

// Returns the length of the critical path: the largest sum of declared run times along
// dependent steps.
duration criticalPathTime(const graph_job &job);

// Returns the length of the critical path, with run times that `timeOf` gives for each step.
duration criticalPathTime(const graph_job &job,
                          const std::function<duration(const step_spec &)> &timeOf);

// Returns the stored form (CBOR).
std::string encodeGraphJob(const graph_job &job);

// Errors: MalformedMessage and UnsupportedVersion with the field, and those of checkGraphJob().
result<graph_job> decodeGraphJob(std::string_view value);

// Durable progress of one task.
struct task_record
{
    bool isDone = false;
    // Of a member of a gang: number of the last run of which its failure was counted, in
    // step_record::failedRuns. Earlier versions ignore it there, but would refuse another field.
    std::int32_t failedRuns = 0;
    std::int32_t lastRun = 0; // highest run number assigned so far
    worker_id worker; // where a run may exist now; empty: none
    std::string workerIncarnation; // incarnation of the backend server that the run was assigned to
    std::string saved; // latest checkpoint; empty: none
    std::int32_t crashes = 0; // backend servers that crashed while they ran the task
    std::int32_t startCrashes = 0; // of these, soon after they had started it
    std::int32_t possibleCrashes = 0; // backend servers that crashed and may have started it
    // Last run whose crash is counted. The crash may be reported again to a later planner, before
    // the run has ended here.
    std::int32_t countedCrash = 0;
};

struct step_record
{
    std::vector<task_record> tasks;
    std::int32_t failedRuns = 0; // of a gang
};

struct occurrence_record
{
    std::int32_t number = 0;
    bool isDone = false;
    std::vector<step_record> steps; // empty once done
};

// Durable progress of a job. Only the cell's planner writes it.
struct job_progress
{
    std::string writer; // unique per write; shows whether a write with unknown outcome was applied
    graph_job_state state = graph_job_state::Queued;
    unix_ms finishedAt = 0;
    std::int32_t occurrencesBegun = 0;
    // Those that have begun and have not ended, so that the size does not grow with the others.
    std::vector<occurrence_record> occurrences;

    bool isFinished() const
    {
        return state != graph_job_state::Queued && state != graph_job_state::Running;
    }
};

std::string encodeJobProgress(const job_progress &progress);

// Size of the encoded progress of a job.
struct progress_size
{
    std::size_t bytes = 0;
    std::size_t items = 0; // of CBOR, arrays included
};

// Most items of a record that decodeJobProgress() accepts.
extern const std::size_t maxProgressItems;

// Returns the size that the encoded progress of a job may grow to while all tasks of an occurrence
// have a run and a checkpoint, with names of the usual lengths.
// @param occurrences number of those that overlap
progress_size largestProgress(const graph_job &job, std::size_t occurrences = 1);

// Returns largestProgress().bytes of one occurrence.
std::size_t largestProgressBytes(const graph_job &job);

// Returns the most occurrences that may overlap so that the record of a job is neither larger than
// the store accepts nor than decodeJobProgress() does; at least 1.
// @param maxRecordBytes size of the largest value that the store accepts
std::size_t maxOverlappingOccurrences(const graph_job &job, std::size_t maxRecordBytes);

// Errors: MalformedMessage, UnsupportedVersion.
result<job_progress> decodeJobProgress(std::string_view value);

// Keys in the store: submitted jobs and cancellations, and the progress of jobs.
constexpr std::string_view graphIntakePrefix = "gc/in/";
constexpr std::string_view graphProgressPrefix = "gc/run/";
constexpr std::string_view agentAddressPrefix = "gc/agent/"; // link addresses of workers with runs
std::string graphJobKey(std::string_view id);
std::string graphCancelKey(std::string_view id);
std::string graphProgressKey(std::string_view id);
// Fence of a job that was refused (admission_fences.h).
std::string graphFenceKey(std::string_view id);

} // namespace goldcrest
