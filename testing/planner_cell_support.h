#pragma once

// Drives a run_planner in virtual time with simulated workers, to test which work it starts and
// stops under load. Messages are not delayed and the store never fails.
//
//   planner_cell cell(options);
//   cell.addWorkers(8, {32'000, 131'072, 8});
//   cell.submit("a", "q1", "t1", step, 6s);     // runs for 6 s, whatever the step declares
//   cell.run(60s);
//   CHECK(cell.outcomeOf("a").isDone);

#include "goldcrest/run_planner.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace goldcrest {

struct cell_job_outcome
{
    std::string queue;
    std::string team;
    std::int32_t tasks = 0;
    time_point submittedAt{};
    duration target = 0ms; // from the submission, by the true run time
    std::optional<time_point> startedAt; // of the first run
    std::optional<time_point> doneAt;
    std::int32_t stops = 0; // runs that were stopped
    bool isDone() const { return doneAt.has_value(); }
};

// Returns what a job was worth to its caller: 4, 3 or 1 by priority until its target, a part of it
// until three times its target, and nothing later.
double valueOf(const cell_job_outcome &outcome);

class planner_cell
{
public:
    static constexpr duration tick = 100ms;

    // Creates a cell with the queues q0, q1 and q2, of these priorities, and one service.
    explicit planner_cell(const run_planner_options &options);

    queue_policy &policyOf(std::int32_t priority);
    void addTeam(const std::string &name, std::int64_t guaranteedAccelerators);
    void addWorkers(std::size_t count, const resources &capacity);

    // Lets a share of the tasks, chosen by their names, take several times as long as their job
    // says.
    void setTail(double share, double factor);

    // Hands in a job of one step.
    // @param runTime of each task, from its beginning
    void submit(const std::string &id, std::int32_t priority, const std::string &team,
                const step_spec &step, duration runTime);

    // Lets time pass in ticks. The planner plans once each tick.
    void run(duration time);

    // Lets the stops of runs on a worker take longer than the planner expects.
    void delayStops(const std::string &worker, duration by) { m_stopDelays[worker] = by; }

    // Replaces the planner by a successor that only knows what is stored.
    void replacePlanner();

    // Applies settings as a reload does.
    void setOptions(const run_planner_options &options);

    run_planner &planner() { return *m_planner; }
    time_point now() const { return m_now; }
    const cell_job_outcome &outcomeOf(const std::string &id) const { return m_outcomes.at(id); }
    const std::map<std::string, cell_job_outcome> &outcomes() const { return m_outcomes; }

    // Returns the number of runs that were started.
    std::int32_t startedTasks() const { return m_started; }
    // Returns the number of runs that were stopped.
    std::int32_t stops() const { return m_stops; }
    // Returns the work that was lost to stops, in core-seconds without accelerators.
    double wastedCoreSeconds() const { return m_wasted; }
    // Returns the number of decisions with this name so far.
    std::int32_t decisions(const std::string &event) const;
    // Returns the processor time of the planning passes.
    double passSeconds() const { return m_passSeconds; }
    std::size_t passes() const { return m_passes; }

private:
    struct cell_run
    {
        run_id id;
        std::string job;
        time_point startedAt{};
        duration skipped = 0ms; // work saved by the checkpoint that it began with
        std::optional<time_point> stopsAt;
    };

    struct cell_worker
    {
        std::string name;
        std::string rack;
        resources capacity;
        std::int64_t ordersSeen = 0;
        std::vector<cell_run> runs;
        std::vector<ended_task> ended;
        std::int64_t lastEnd = 0;
    };

    struct cell_job
    {
        graph_job spec;
        duration runTime = 0ms;
    };

    void confirm();
    void store();
    void report(cell_worker &worker);
    void carryOut(cell_worker &worker);
    void endRuns(cell_worker &worker);
    void startRun(cell_worker &worker, const start_order &order);
    duration workOf(const cell_run &run) const;

    run_planner_options m_options;
    epoch m_epoch = 1;
    time_point m_now{1h};
    std::int64_t m_wall = 1'000'000'000;
    std::shared_ptr<queue_catalogue> m_catalogue;
    std::unique_ptr<run_planner> m_planner;
    std::map<std::string, cell_job> m_jobs;
    std::map<std::string, job_progress> m_stored;
    std::vector<cell_worker> m_workers;
    std::map<std::string, cell_job_outcome> m_outcomes;
    std::map<std::string, duration> m_stopDelays; // by worker
    std::map<std::string, std::int32_t> m_decisions;
    double m_tailShare = 0;
    double m_tailFactor = 1;
    std::int32_t m_started = 0;
    std::int32_t m_stops = 0;
    double m_wasted = 0;
    double m_passSeconds = 0;
    std::size_t m_passes = 0;
};

} // namespace goldcrest
