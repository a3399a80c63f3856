#include "goldcrest/run_planner.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace goldcrest {

namespace {

// Time for a stop order to reach the backend server, and for its report.
constexpr duration stopMargin = 300ms;

// Speeds are compared once a run has been observed this long, and if its progress must show.
constexpr duration leastObserved = 1s;
constexpr double leastProgress = 6; // percent
// Fewer tasks of a step say too little about its usual speed.
constexpr std::size_t leastCompared = 4;
// Tasks of one step differ in their work, and healthy workers in their speed, by up to 2.5 times in
// all. Workers that have turned slow take five times as long or more.
constexpr double slowFactor = 3.5;
constexpr double fineFactor = 2;
// Known speeds explain differences between workers up to these limits only, so that a worker that
// has turned several times slower is found whatever its known speed.
constexpr double leastUsualSpeed = 0.75;
constexpr double mostUsualSpeed = 1.33;

struct speed_sample
{
    worker_id worker;
    double speed = 0; // percent in the estimated run time
    double elapsed = 0; // as a share of the estimated run time
};

double medianOf(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

// What the runs on a worker show about its speed.
struct run_planner::speed_evidence
{
    bool isSlow = false;
    bool isFine = false;
};

// Stops runs without progress. The timeout is a share of the estimated run time, because the
// progress of long tasks rarely advances by a whole percent.
void run_planner::stopStalledRuns(time_point now)
{
    constexpr duration shortestStall = 2500ms;
    constexpr double stallShare = 0.35;
    for (auto &[id, worker] : m_pool.workers()) {
        if (now - worker.reportedAt > m_options.freshReport)
            continue;
        for (const task_key &key : worker.active) {
            tracked_job &job = m_jobs.at(key.job);
            tracked_task &task = *job.find(key);
            const step_spec &step = job.specOf({key.occurrence, key.step});
            if (!task.isListed || task.stopWanted || step.longRunning || task.percent >= 100)
                continue;
            const duration stallTimeout
                = std::max({shortestStall, scaled(task.runEstimate, stallShare),
                            longTaskStall(job, step, task)});
            // Measured up to the last report, since time without reports does not prove anything
            // about the task.
            const duration stalled = worker.reportedAt - task.percentChangedAt;
            if (stalled < stallTimeout)
                continue;
            task.stopWanted = true;
            worker.avoidUntil = now + m_options.avoidTime;
            m_changedWorkers.insert(id);
            recordDecision("run stopped", key, task.record.lastRun, id, "no progress",
                           fmt::format("percent={} for_ms={}", task.percent, stalled.count()));
        }
    }
}

// Finds workers on which tasks progress much more slowly than tasks of the same steps on others.
// They get no starts for a while.
void run_planner::findSlowWorkers(time_point now)
{
    std::map<worker_id, speed_evidence> evidence;
    for (const auto &[id, runs] : m_activeRuns) {
        if (runs.size() >= leastCompared)
            compareSpeeds(m_jobs.at(id), evidence);
    }
    for (const auto &[id, found] : evidence) {
        pool_worker &worker = m_pool.at(id);
        if (!found.isSlow || found.isFine)
            continue;
        if (now >= worker.slowUntil)
            recordDecision("worker avoided", {}, 0, id,
                           "its tasks progress more slowly than tasks of the same steps elsewhere");
        worker.slowUntil = now + m_options.avoidTime;
        stopSlowRuns(worker);
    }
}

void run_planner::compareSpeeds(tracked_job &job, std::map<worker_id, speed_evidence> &evidence)
{
    std::map<std::pair<std::int32_t, std::int32_t>, std::vector<speed_sample>> steps;
    job.forEachActive([&](const task_key &key, const step_spec &step, tracked_task &task) {
        if (!task.isListed || task.stopWanted || step.gang || step.longRunning || step.bestEffort
            || task.runEstimate <= 0ms)
            return;
        const pool_worker &worker = m_pool.at(task.record.worker);
        const duration observed = worker.reportedAt - task.listedAt;
        if (observed < leastObserved)
            return;
        // The estimated run time includes the speed as it was known when the run was placed.
        const double speed = std::clamp(speedOf(worker), leastUsualSpeed, mostUsualSpeed);
        const double elapsed = static_cast<double>(observed.count()) * speed
            / (static_cast<double>(task.runEstimate.count()) * task.runSpeed);
        steps[{key.occurrence, key.step}].push_back(
            {task.record.worker, (task.percent - task.listedPercent) / elapsed, elapsed});
    });
    for (const auto &[step, samples] : steps) {
        if (samples.size() < leastCompared)
            continue;
        std::vector<double> speeds;
        for (const speed_sample &sample : samples)
            speeds.push_back(sample.speed);
        const double usual = medianOf(std::move(speeds));
        for (const speed_sample &sample : samples) {
            if (usual * sample.elapsed < leastProgress)
                continue;
            speed_evidence &found = evidence[sample.worker];
            found.isSlow = found.isSlow || sample.speed * slowFactor < usual;
            found.isFine = found.isFine || sample.speed * fineFactor > usual;
        }
    }
}

// Stops the runs on a slow worker that would end sooner if they began again elsewhere.
void run_planner::stopSlowRuns(pool_worker &worker)
{
    const std::set<task_key> active = worker.active;
    for (const task_key &key : active) {
        tracked_job &job = m_jobs.at(key.job);
        const tracked_task &task = *job.find(key);
        const step_spec &step = job.specOf({key.occurrence, key.step});
        const duration observed = worker.reportedAt - task.listedAt;
        if (task.stopWanted || !task.isListed || step.longRunning || observed < leastObserved)
            continue;
        const std::int32_t progress = std::max(1, task.percent - task.listedPercent);
        const duration left = observed * (100 - task.percent) / progress;
        const duration again = expectedTimeOf(job, step) + m_options.stopTime + stopMargin;
        if (left > 2 * again)
            stopRun(job, key, "its worker has turned slow",
                    fmt::format("percent={} expected_ms={}", task.percent, left.count()));
    }
}

// Stops the runs that a leaving worker would end before they are done: at once, or, if they save
// checkpoints, as late as they can still save one. A gang is stopped as a whole.
void run_planner::stopRunsOnLeavingWorkers(time_point now)
{
    for (auto &[id, worker] : m_pool.workers()) {
        if (!worker.draining || worker.active.empty())
            continue;
        const std::set<task_key> active = worker.active;
        for (const task_key &key : active) {
            tracked_job &job = m_jobs.at(key.job);
            const tracked_task &task = *job.find(key);
            const step_spec &step = job.specOf({key.occurrence, key.step});
            if (task.stopWanted || !task.isListed || step.longRunning
                || expectedEnd(task, now) <= worker.leavesAt)
                continue;
            const duration lead = m_options.stopTime + stopMargin;
            if (step.checkpointing && now + lead < worker.leavesAt)
                continue;
            stopRun(job, key, "the worker leaves before the run can end",
                    fmt::format("leaves_in_ms={} expected_ms={} percent={}",
                                (worker.leavesAt - now).count(),
                                (expectedEnd(task, now) - now).count(), task.percent));
        }
    }
}

// Stops gangs of which some members wait for others that have not started, before the backend
// servers give up. A gang that makes progress is complete, even if a worker is silent.
void run_planner::stopIncompleteGangs(time_point now)
{
    constexpr double waitShare = 0.4; // of the time after which the backend servers give up
    const duration limit = scaled(m_options.gangTimeout, waitShare);
    struct gang_state
    {
        bool isWaiting = true;
        bool isIncomplete = false;
        time_point firstListedAt = time_point::max();
        task_key member;
    };
    std::vector<task_key> incomplete;
    for (const auto &[id, runs] : m_activeRuns) {
        tracked_job &job = m_jobs.at(id);
        std::map<std::pair<std::int32_t, std::int32_t>, gang_state> gangs;
        job.forEachActive([&](const task_key &key, const step_spec &step, tracked_task &task) {
            // Progress of longer tasks takes too long to show.
            if (!step.gang || task.runEstimate > limit * 50)
                return;
            gang_state &gang = gangs[{key.occurrence, key.step}];
            gang.member = key;
            if (task.stopWanted || (task.isListed && task.percentChangedAt > task.listedAt))
                gang.isWaiting = false;
            if (task.isListed)
                gang.firstListedAt = std::min(gang.firstListedAt, task.listedAt);
            else
                gang.isIncomplete = true;
        });
        for (const auto &[step, gang] : gangs) {
            if (gang.isWaiting && gang.isIncomplete && gang.firstListedAt < now - limit)
                incomplete.push_back(gang.member);
        }
    }
    for (const task_key &member : incomplete)
        stopRun(m_jobs.at(member.job), member, "members of its gang have not started", {});
}

// Stops a run, and the whole gang if it belongs to one.
void run_planner::stopRun(tracked_job &job, const task_key &key, std::string_view reason,
                          const std::string &inputs)
{
    const step_ref ref{key.occurrence, key.step};
    const bool isGang = job.specOf(ref).gang;
    tracked_step &step = *job.find(ref);
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        tracked_task &task = step.tasks[i];
        const auto index = static_cast<std::int32_t>(i);
        if (!task.isActive() || task.stopWanted || (!isGang && index != key.index))
            continue;
        task.stopWanted = true;
        m_changedWorkers.insert(task.record.worker);
        recordDecision("run stopped", job.keyOf(ref, index), task.record.lastRun,
                       task.record.worker, std::string(reason), inputs);
    }
}

} // namespace goldcrest
