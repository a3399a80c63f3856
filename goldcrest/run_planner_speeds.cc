#include "goldcrest/run_planner.h"

#include "goldcrest/run_planner_unit.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <string>

namespace goldcrest {

namespace {

// The progress of a run is an observation once it has advanced by this many percent, so that the
// rounding of the percents matters little, or by the second value if it takes longer than expected.
// Otherwise those on slow workers would be observed last.
constexpr std::int32_t leastProgress = 30;
constexpr std::int32_t leastProgressIfLate = 5;
constexpr duration leastElapsed = 1s;
// Share of a run's weight that the observation of its progress has. Its end has the rest.
constexpr double progressShare = 0.5;

// A task is compared to tasks of the same step if this many of them are known on other machines.
// Their run times differ less than those of a queue.
constexpr std::size_t leastPeers = 2;

// The name of the machine outlives restarts of its backend server.
const std::string &machineOf(const pool_worker &worker)
{
    return worker.machine.empty() ? worker.id : worker.machine;
}

double logOf(duration time)
{
    return std::log(static_cast<double>(std::max<duration::rep>(1, time.count())));
}

// Returns the run time at speed 1 that tasks of the step on other machines show, if enough are
// known.
std::optional<duration> timeOfPeers(const tracked_step &step, std::size_t machine)
{
    double sum = 0;
    std::size_t count = 0;
    for (const task_time &one : step.taskTimes) {
        if (one.machine == machine)
            continue;
        sum += one.logTime;
        ++count;
    }
    if (count < leastPeers)
        return std::nullopt;
    return duration(std::llround(std::exp(sum / static_cast<double>(count))));
}

} // namespace

double run_planner::speedOf(const pool_worker &worker) const
{
    if (!m_options.workerSpeeds)
        return 1;
    const auto model = m_speeds.find(worker.service);
    return model == m_speeds.end() ? 1 : model->second.speedOf(machineOf(worker));
}

// Updates the speeds, once per pass.
void run_planner::refreshSpeeds(time_point now)
{
    for (auto &[service, model] : m_speeds) {
        for (const speed_change &change : model.refresh(now))
            recordDecision("machine speed changed", {}, 0, {},
                           "its tasks take another time than those of the usual machine",
                           fmt::format("machine={} service={} before={} after={} speed={:.2f} "
                                       "estimate={:.2f} uncertainty={:.2f} observations={:.1f}",
                                       change.machine, service, nameOf(change.before),
                                       nameOf(change.after), change.known.speed,
                                       change.known.estimate, change.known.uncertainty,
                                       change.known.weight));
    }
}

// Learns about the speed of a worker from one of its runs. Gangs say nothing about a single worker,
// and throttled or disturbed runs nothing about its usual speed.
// @param ran run time of the whole task, as measured or as its progress predicts
// @param share of the run's weight
void run_planner::observeSpeed(tracked_job &job, const task_key &key, duration ran, double share,
                               time_point now)
{
    const step_spec &step = job.specOf({key.occurrence, key.step});
    const bool isOfGang = step.gang && step.count > 1;
    if (!m_options.workerSpeeds || isOfGang || step.longRunning || step.bestEffort || ran <= 0ms)
        return;
    const tracked_task &task = *job.find(key);
    const pool_worker *worker = m_pool.find(task.record.worker);
    if (!worker || now < worker->slowUntil)
        return;
    tracked_step &tracked = *job.find(step_ref{key.occurrence, key.step});
    const std::size_t machine = std::hash<std::string>{}(machineOf(*worker));
    const std::optional<duration> peers = timeOfPeers(tracked, machine);
    // The tasks of a step share the error of what the caller declared, so that they count as one.
    const double weight = peers ? share : share / std::max(1, step.count);
    m_speeds[worker->service].observe(machineOf(*worker),
                                      peers ? *peers : expectedTimeOf(job, step), ran, weight, now);
    if (!task.isSpeedObserved && tracked.taskTimes.size() < tracked_step::maxTaskTimes)
        tracked.taskTimes.push_back({machine, logOf(ran) + std::log(speedOf(*worker))});
}

// Learns about the speed of a worker from the progress of a run, before the run has ended.
void run_planner::observeProgress(tracked_job &job, const task_key &key, time_point now)
{
    tracked_task &task = *job.find(key);
    const std::int32_t progress = task.percent - task.listedPercent;
    const duration elapsed = now - task.listedAt;
    const std::int32_t least = elapsed > task.runEstimate ? leastProgressIfLate : leastProgress;
    if (!m_options.workerSpeeds || task.isSpeedObserved || !task.isTypical || task.stopWanted
        || elapsed < leastElapsed || progress < least || task.percent >= 100)
        return;
    observeSpeed(job, key, elapsed * 100 / progress, progressShare, now);
    task.isSpeedObserved = true;
}

// Returns whether a unit leaves the fast workers to others: it is not urgent, and would be on time
// on a worker of half the usual speed.
bool run_planner::leavesFastWorkers(const unit &next, time_point now) const
{
    return m_options.workerSpeeds && next.policy->priority > 0
        && now + 2 * next.estimate <= next.target;
}

// Returns the time without progress after which even one of the longest tasks of the queue is
// considered stuck. Such a task advances by one percent in a hundredth of its run time; the limit
// is several times that.
duration run_planner::longTaskStall(const tracked_job &job, const step_spec &step,
                                    const tracked_task &task) const
{
    constexpr double longTask = 0.99;
    constexpr double stallShare = 0.1;
    const duration expected = expectedTimeOf(job, step);
    if ((!m_options.workerSpeeds && !hasHeavyTail(job)) || expected <= 0ms)
        return 0ms;
    // The run may be slower than expected because of its worker or its distance to its data.
    const double slowdown
        = static_cast<double>(task.runEstimate.count()) / static_cast<double>(expected.count());
    const duration longest = m_runTimes.quantile(job.spec().queue, step.estimated, longTask);
    return scaled(longest, stallShare * std::max(1.0, slowdown));
}

speed_counts run_planner::machinesBySpeed() const
{
    speed_counts counts;
    for (const auto &[service, model] : m_speeds) {
        counts.slow += model.counts().slow;
        counts.usual += model.counts().usual;
        counts.fast += model.counts().fast;
    }
    return counts;
}

std::uint64_t run_planner::speedObservations() const
{
    std::uint64_t count = 0;
    for (const auto &[service, model] : m_speeds)
        count += model.observations();
    return count;
}

} // namespace goldcrest
