#pragma once

// One job in a planner's memory: which of its tasks are done, run or may start.
//
//   tracked_job job(spec, progress, now);
//   for (const step_ref &step : job.readySteps()) ...
//   job.beginRuns(step, {{0, "w1", "life-1"}}, now);
//   job.endRun(task, run, run_end::Done, saved);
//   store(job.progress());            // job.version() grew: there is something to store
//
// It holds data and transitions only; run_planner.h decides. Each transition that must survive the
// planner raises version().

#include "goldcrest/graph_job.h"
#include "goldcrest/messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace goldcrest {

struct tracked_task
{
    task_record record; // durable part
    std::uint64_t recordedIn = 0; // version of the job that recorded the present run
    bool seen = false; // the backend server has listed the present run
    bool stopWanted = false;
    std::int64_t startListed = 0; // orders message that first had the start; 0: none
    std::int64_t stopListed = 0;
    time_point begunAt{}; // of the present run, when it was recorded
    time_point seenAt{};
    std::int32_t percent = 0;
    time_point percentChangedAt{};
    duration runEstimate = 0ms; // of the present run, on its worker

    bool isActive() const { return !record.worker.empty(); }
};

struct tracked_step
{
    std::vector<tracked_task> tasks;
    std::int32_t failedRuns = 0; // of a gang
    std::int32_t lastFailedRun = 0; // members of one gang run count as one failure
    bool isDone() const;
    bool hasActive() const;
};

struct tracked_occurrence
{
    std::int32_t number = 0;
    bool isDone = false;
    std::vector<tracked_step> steps;
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
    std::string life; // of the worker's backend server
    duration estimate = 0ms; // expected time on that worker
};

class tracked_job
{
public:
    // @param acceptedAt time of acceptance on the planner's clock
    tracked_job(graph_job spec, const std::optional<job_progress> &progress, time_point acceptedAt);

    const graph_job &spec() const { return m_spec; }
    const std::string &id() const { return m_spec.id; }
    time_point acceptedAt() const { return m_acceptedAt; }

    graph_job_state state() const { return m_state; }
    bool isFinished() const;
    unix_ms finishedAt() const { return m_finishedAt; }

    // Number of the last transition that must be stored.
    std::uint64_t version() const { return m_version; }

    // State as of the stored version, which is what callers may see.
    graph_job_state storedState() const { return m_storedState; }
    std::uint64_t storedVersion() const { return m_storedVersion; }
    void noteStored(std::uint64_t version, graph_job_state state);

    // The durable form of the present version.
    job_progress progress() const;

    // Opens the occurrences that are due. Returns whether there are new ones.
    bool openDue(unix_ms wall);
    bool hasScheduleLeft() const;

    // Steps with tasks that may start now: their predecessors are done, and no member of a gang is
    // active.
    std::vector<step_ref> readySteps() const;

    tracked_step *find(const step_ref &step);
    const step_spec &specOf(const step_ref &step) const;
    tracked_task *find(const task_key &task);
    const tracked_task *find(const task_key &task) const;
    task_key keyOf(const step_ref &step, std::int32_t index) const;

    // Records runs of tasks of one step. Members of a gang get the same run number.
    void beginRuns(const step_ref &step, const std::vector<run_assignment> &runs, time_point now);

    // Takes the end of a run. The job may end by it.
    // Returns whether it concerned the task's present run, or was the end of the work.
    bool endRun(const task_key &task, std::int32_t run, run_end how, const std::string &saved,
                unix_ms wall);

    // Takes a checkpoint of a running task. It is part of the next version.
    void noteCheckpoint(const task_key &task, const std::string &saved);

    // Raises version(), so that the checkpoints taken so far are stored.
    void storeCheckpoints() { ++m_version; }

    // Ends the job as cancelled unless it has ended. Runs that are active get stopWanted.
    void cancel(unix_ms wall);

    bool hasActive() const;

    // Calls `use(key, step spec, task)` for each active run.
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
    void openOccurrence(std::int32_t number);
    void finish(graph_job_state state, unix_ms wall);
    void finishOccurrenceIfDone(std::int32_t number, unix_ms wall);
    static void completeTask(tracked_task &task, std::int32_t run);
    static void dropIdleSteps(tracked_occurrence &occurrence);
    bool endNeedlessRun(const task_key &key, tracked_task &task, std::int32_t run);
    void noteFailedRun(tracked_step &step, tracked_task &task, std::int32_t run, bool isGang);
    tracked_occurrence *findOccurrence(std::int32_t number);

    graph_job m_spec;
    time_point m_acceptedAt;
    graph_job_state m_state = graph_job_state::Queued;
    graph_job_state m_storedState = graph_job_state::Queued;
    unix_ms m_finishedAt = 0;
    std::uint64_t m_version = 0;
    std::uint64_t m_storedVersion = 0;
    std::int32_t m_begun = 0; // occurrences opened so far
    std::vector<tracked_occurrence> m_occurrences;
};

} // namespace goldcrest
