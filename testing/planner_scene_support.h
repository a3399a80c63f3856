#pragma once

// Runs a planner of graph jobs against simulated backend servers in virtual time, without a
// network. Records are stored at once.
//
//   planner_scene scene(options, 16, {64'000, 100'000, 8});
//   scene.addJob("a", 1, step, 6800ms);     // tasks that take 6.8 s on a worker of their own
//   scene.advance(10s);
//   CHECK(scene.results().at("a").isDone);

#include "goldcrest/run_planner.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace goldcrest {

// Outcome of a job in a scene.
struct scene_job
{
    time_point addedAt{};
    std::optional<time_point> begunAt; // of its first run
    std::optional<time_point> doneAt;
    duration runTime = 0ms; // of one task that is not slowed
    std::string image;
    std::int32_t left = 0; // tasks that are not done
};

class planner_scene
{
public:
    // Returns the factor by which a task of an image is slowed by one neighbour of another.
    using slowdown_function
        = std::function<double(const std::string &image, const std::string &neighbour)>;

    planner_scene(const run_planner_options &options, int workers, const resources &capacity);

    // Sets how tasks slow each other; by default they do not.
    void setSlowdown(slowdown_function slowdown) { m_slowdown = std::move(slowdown); }

    // Sets the speeds of the workers in turn; by default they are equal.
    void setSpeeds(const std::vector<double> &speeds);

    // Adds a job of one step to the queue of a priority.
    void addJob(const std::string &id, std::int32_t priority, const step_spec &step,
                duration runTime);

    // Replaces the planner by one that knows the stored records only.
    void replacePlanner();
    void setOptions(const run_planner_options &options);

    // Lets time pass: reports every 0.5 s, passes every 0.1 s.
    void advance(duration time);
    // Runs one pass now, and delivers its orders.
    void plan();

    run_planner &planner() { return *m_planner; }
    time_point now() const { return m_now; }
    const std::map<std::string, scene_job> &results() const { return m_jobs; }
    int stoppedRuns() const { return m_stopped; }
    double wastedCoreSeconds() const { return m_wasted; }
    // Returns the ids of the jobs with runs on a worker, one for each run.
    std::vector<std::string> jobsOn(int worker) const;
    // Returns the mean processor time of a pass of the planner since the last call.
    std::chrono::nanoseconds takePassTime();
    // Returns the number of workers without runs.
    int freeWorkers() const;
    // Returns the events of the decisions so far, with their inputs.
    const std::vector<run_decision> &decisions() const { return m_decisions; }

private:
    struct scene_run
    {
        std::string job;
        double done = 0; // share
        double cores = 0;
        time_point begunAt{};
        time_point stopsAt = time_point::max();
    };
    struct backend
    {
        worker_report_message report; // constant parts
        std::map<run_id, scene_run> running;
        std::vector<ended_task> ended;
        std::int64_t ends = 0;
        double speed = 1;
        std::int64_t ordersSeen = 0;
    };

    void work(backend &on, duration time);
    void end(backend &on, const run_id &run, run_end how);
    void sendReport(backend &on);
    void deliverOrders(backend &on);
    double slowdownOf(const backend &on, const run_id &run) const;

    run_planner_options m_options;
    time_point m_now{std::chrono::hours(1)};
    epoch m_epoch = 1;
    unix_ms m_wall = 1'000'000;
    std::shared_ptr<queue_catalogue> m_catalogue = std::make_shared<queue_catalogue>();
    std::unique_ptr<run_planner> m_planner;
    std::vector<backend> m_backends;
    std::map<std::string, graph_job> m_specs;
    std::map<std::string, job_progress> m_stored;
    std::map<std::string, scene_job> m_jobs;
    std::map<std::string, resources> m_demands; // of one task, by job
    slowdown_function m_slowdown;
    std::vector<run_decision> m_decisions;
    int m_stopped = 0;
    double m_wasted = 0;
    std::chrono::nanoseconds m_passTime{};
    int m_passes = 0;
};

} // namespace goldcrest
