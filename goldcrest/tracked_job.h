#pragma once

// The planner's in-memory state of one graph job: which of its tasks are done, running or ready to
// start.
//
//   tracked_job job(spec, progress, now);
//   if (job.isNextDue(wall))
//       job.openNext();
//   for (const step_ref &step : job.readySteps()) ...
//   job.beginRuns(step, {{0, "w1", "i-1/5", 10s}}, now);
//   job.endRun(task, run, run_end::Done, checkpoint, wall);
//   if (job.version() > job.storedVersion())
//       store(job.progress());
//
// It holds data and state transitions only; run_planner.h makes the decisions. Each transition that
// must survive a restart of the planner increments version().

#include "goldcrest/graph_job.h"
#include "goldcrest/messages.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace goldcrest {

// A task is given up once this many backend servers have crashed soon after they started it, or
// while they ran it at all. The second limit is higher, since a task that had been running for a
// while is seldom at fault. A crash after a start without an answer counts towards the first limit
// only beside enough crashes that are certain.
constexpr std::int32_t startCrashesToGiveUp = 3;
constexpr std::int32_t crashesToGiveUp = 5;
constexpr std::int32_t certainCrashesToGiveUp = 2;

// A run that has worked for less than this may have crashed its backend server by starting there.
constexpr duration startupTime = 1s;

// Crashes before a run that worked for this long are no longer held against its task.
constexpr duration harmlessAfter = 60s;

struct tracked_task
{
    task_record record; // durable part
    std::uint64_t recordedIn = 0; // version of the job that first contains the current run
    bool isListed = false; // the backend server has reported the current run
    bool stopWanted = false;
    std::int64_t startOrderedIn = 0; // sequence of the first orders message with the start; 0: none
    std::int64_t stopOrderedIn = 0; // the same for the stop
    time_point begunAt{}; // when the current run was recorded
    time_point listedAt{}; // when the current run was first reported
    std::int32_t percent = 0; // progress of the current run
    std::int32_t listedPercent = 0; // when it was first reported
    time_point percentChangedAt{};
    duration runEstimate = 0ms; // estimated run time of the current run on its worker
    // The last run that was ended because the lease of its worker had ended, and for how long it
    // had been seen to work. Its backend server may have crashed, of which the agent tells later.
    std::int32_t lapsedRun = 0;
    duration lapsedRunWorked = 0ms;
    // The last run that an earlier planner recorded; 0: none. It may have ended that run because
    // the lease of the worker had ended.
    std::int32_t restoredRun = 0;
    // The current run started from the beginning and near its data, so its length tells how long
    // such tasks take.
    bool isTypical = false;
    // Speed that was assumed in runEstimate; for a member of a gang, that of the slowest one.
    double runSpeed = 1;
    bool isSpeedObserved = false; // the progress of the current run was used as an observation

    bool isActive() const { return !record.worker.empty(); }
    // Returns whether the current run has not worked for startupTime yet.
    bool isStarting(time_point now) const
    {
        return isActive() && (!isListed || now - listedAt < startupTime);
    }
    // Returns for how long the current run was seen to work.
    // @param reportedAt last report that listed the runs of its incarnation
    duration workedUntil(time_point reportedAt) const
    {
        return isListed ? std::max<duration>(0ms, reportedAt - listedAt) : 0ms;
    }
    // Returns whether the current run was recorded by an earlier planner.
    bool isRestored() const { return isActive() && recordedIn == 0; }
    // Returns whether the task may crash backend servers that start it.
    bool isSuspect() const { return record.crashes > 0 || record.possibleCrashes > 0; }
};

// How long one task of a step takes at speed 1, from its run on a machine.
struct task_time
{
    std::size_t machine = 0; // hash of its name
    double logTime = 0;
};

struct tracked_step
{
    // Of tasks that run or ran, at most maxTaskTimes: they show the work of the others.
    std::vector<task_time> taskTimes;
    static constexpr std::size_t maxTaskTimes = 64;
    std::vector<tracked_task> tasks;
    std::int32_t failedRuns = 0; // of a gang
    bool isDone() const;
    // Returns the number of the last run that is counted in `failedRuns`, by this planner or an
    // earlier one; 0: none.
    std::int32_t lastFailedRun() const;
    bool hasActive() const;
};

// An occurrence that has begun: its tasks are in memory and in the record.
struct tracked_occurrence
{
    std::int32_t number = 0;
    bool isDone = false;
    std::vector<tracked_step> steps;
    bool hasActive() const;
    // Returns whether no run of it was ever recorded.
    bool isUntouched() const;
};

struct step_ref
{
    std::int32_t occurrence = 0; // number of the occurrence
    std::int32_t step = 0;

    friend bool operator<(const step_ref &a, const step_ref &b)
    {
        return std::tie(a.occurrence, a.step) < std::tie(b.occurrence, b.step);
    }
};

struct run_assignment
{
    std::int32_t index = 0; // of the task
    worker_id worker;
    std::string incarnation; // of the worker's backend server
    duration estimate = 0ms; // expected time on that worker
    bool isNear = true; // not slowed by its distance to its data or to the other tasks
    double speed = 1; // that is assumed in the estimate
};

class tracked_job
{
public:
    // No occurrence is open except those in `progress`.
    // @param acceptedAt time of acceptance on the planner's clock
    tracked_job(graph_job spec, const std::optional<job_progress> &progress, time_point acceptedAt);

    const graph_job &spec() const { return m_spec; }
    const std::string &id() const { return m_spec.id; }
    time_point acceptedAt() const { return m_acceptedAt; }

    graph_job_state state() const { return m_state; }
    bool isFinished() const;
    unix_ms finishedAt() const { return m_finishedAt; }

    // Number of the last transition that must be stored; grows with each.
    std::uint64_t version() const { return m_version; }

    // State in the stored version. Callers see this one, since it survives a restart.
    graph_job_state storedState() const { return m_storedState; }
    std::uint64_t storedVersion() const { return m_storedVersion; }

    // Records that a version with this state was stored.
    void noteStored(std::uint64_t version, graph_job_state state);

    // Returns the record of the current version, without a writer token.
    job_progress progress() const;

    // Returns whether the next occurrence that has not begun is due. A job without a schedule has
    // one, which is due at once.
    bool isNextDue(unix_ms wall) const;
    // Returns the number of occurrences that are due and have not begun.
    std::int64_t dueOccurrences(unix_ms wall) const;
    // Begins the next occurrence, so that its tasks are in memory and may start.
    void openNext();
    // Returns the number of occurrences at the end of those that have begun, of which no run was
    // ever recorded.
    std::size_t untouchedOccurrences() const;
    // Takes back openNext() for the last occurrence, which must be untouched.
    void closeLast();
    // Returns whether there are occurrences that have not begun.
    bool hasScheduleLeft() const;

    // Returns the number of occurrences in memory: those that have begun and have not ended.
    std::size_t openOccurrences() const { return m_occurrences.size(); }
    // Returns the number of tasks that may start now.
    std::size_t waitingTasks() const;
    // Returns the bytes of memory that one occurrence needs while all of its tasks run.
    std::size_t bytesPerOccurrence() const { return m_bytesPerOccurrence; }
    // Returns the bytes of memory of all open occurrences.
    std::size_t openBytes() const { return m_occurrences.size() * m_bytesPerOccurrence; }
    // Drops the occurrences of a job that has ended, except those with runs that may exist.
    void dropEnded();

    // Returns the steps with tasks that may start now: all preceding steps are done, and no member
    // of a gang is active.
    std::vector<step_ref> readySteps() const;

    tracked_step *find(const step_ref &step);
    const tracked_step *find(const step_ref &step) const;
    const step_spec &specOf(const step_ref &step) const;
    tracked_task *find(const task_key &task);
    const tracked_task *find(const task_key &task) const;
    task_key keyOf(const step_ref &step, std::int32_t index) const;

    // Records new runs of tasks of one step. Members of a gang get the same run number.
    void beginRuns(const step_ref &step, const std::vector<run_assignment> &runs, time_point now);

    // Handles the end of a run, which may end the job.
    // Returns whether anything changed: the end of a superseded run matters only if it completed
    // the task.
    bool endRun(const task_key &task, std::int32_t run, run_end how, const std::string &saved,
                unix_ms wall);

    // The backend server of the current run of a task has crashed. A task that crashes backend
    // servers again and again is given up, which ends the job as failed.
    // @param worked for how long the run had been seen to work; empty: it is not known whether it
    // had started
    // @return false if that was recorded before, or if the task has no current run
    bool noteCrash(const task_key &task, std::optional<duration> worked, unix_ms wall);

    // The same for a run that had ended with the lease of its worker before the crash was known.
    // For a run of an earlier planner it is not known for how long it had worked.
    // @param run that its agent had not seen to end before the crash
    // @return false if that was recorded before, or if the run did not end so
    bool noteCrashOfLapsedRun(const task_key &task, std::int32_t run, unix_ms wall);

    // Records that the current run of a task ends because the lease of its worker has ended.
    void noteLapse(const task_key &task, duration worked);

    // Returns the tasks that may crash backend servers that start them.
    std::vector<task_key> suspects() const;

    // Records a checkpoint of a running task. It becomes part of the next version.
    void noteCheckpoint(const task_key &task, const std::string &saved);

    // Increments version(), so that the checkpoints recorded so far get stored.
    void storeCheckpoints() { ++m_version; }

    // Ends the job as cancelled unless it has already ended. Sets stopWanted on its active runs.
    void cancel(unix_ms wall);

    // Ends the job as failed unless it has already ended, because its record is larger than the
    // store accepts. Its record has no tasks from now on. Sets stopWanted on its active runs, which
    // no later planner would know: it stops them as runs of no task.
    void abandonRecord(unix_ms wall);

    // A backend server has listed a run of the job, as running or ended.
    void noteBegun() { m_hasBegun = true; }

    // Returns whether a run of the job is known to have started. A run that is recorded may not
    // have been ordered yet, or not have reached its worker.
    bool hasBegun() const { return m_hasBegun; }

    // Returns whether any run may still exist.
    bool hasActive() const;

    // Calls `use(task key, step spec, task)` for each active run.
    template<typename Use>
    void forEachActive(Use use)
    {
        for (tracked_occurrence &occurrence : m_occurrences) {
            for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
                const step_ref step{occurrence.number, static_cast<std::int32_t>(s)};
                for (std::size_t i = 0; i < occurrence.steps[s].tasks.size(); ++i) {
                    tracked_task &task = occurrence.steps[s].tasks[i];
                    if (task.isActive())
                        use(keyOf(step, static_cast<std::int32_t>(i)), m_spec.steps[s], task);
                }
            }
        }
    }

private:
    std::int32_t occurrenceCount() const;
    void finish(graph_job_state state, unix_ms wall);
    void finishOccurrenceIfDone(std::int32_t number, unix_ms wall);
    static void completeTask(tracked_task &task, std::int32_t run);
    void dropIfOver(std::int32_t number);
    bool endRedundantRun(const task_key &key, tracked_task &task, std::int32_t run);
    void countCrash(task_record &record, std::int32_t run, std::optional<duration> worked,
                    unix_ms wall);
    void noteFailedRun(tracked_step &step, tracked_task &task, std::int32_t run, bool isGang);
    tracked_occurrence *findOccurrence(std::int32_t number);

    graph_job m_spec;
    std::size_t m_bytesPerOccurrence;
    time_point m_acceptedAt;
    graph_job_state m_state = graph_job_state::Queued;
    graph_job_state m_storedState = graph_job_state::Queued;
    unix_ms m_finishedAt = 0;
    std::uint64_t m_version = 0;
    std::uint64_t m_storedVersion = 0;
    std::int32_t m_occurrencesOpened = 0;
    std::vector<tracked_occurrence> m_occurrences;
    bool m_hasBegun = false;
    bool m_hasAbandonedRecord = false;
};

} // namespace goldcrest
