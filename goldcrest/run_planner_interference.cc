#include "goldcrest/run_planner.h"

#include "goldcrest/run_planner_unit.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace goldcrest {

namespace {

// Progress is compared once a second, of so many steps and tasks that the cost does not grow with
// the number of running tasks.
constexpr duration comparisonInterval = 1s;
constexpr std::size_t stepsPerComparison = 16;
constexpr std::size_t tasksPerStep = 16;
constexpr std::size_t jobsPerComparison = 64;
// Fewer tasks leave too few beside the image, or without it.
constexpr std::size_t leastTasks = 4;
// Progress is reported in whole percents, so that less of it is too inexact.
constexpr std::int32_t leastPercent = 5;
// Slow steps are compared after a longer time, up to this one.
constexpr duration longestComparison = 10s;

// Images of interfering pairs are numbered in a bit set. Pairs of further images are ignored.
constexpr std::size_t maxImageBits = 64;

// Returns whether tasks of a step take part. Those that serve requests or run for as long as they
// are wanted have no progress, and best-effort tasks are slowed by the pace control.
bool takesPart(const step_spec &step)
{
    return !step.longRunning && !step.bestEffort && step.latencyTarget <= 0ms;
}

constexpr std::string_view imagePrefix = "image/";
constexpr std::string_view queuePrefix = "queue/";

// Returns what identifies tasks that behave alike.
std::string imageOf(const graph_job &job, const step_spec &step)
{
    return step.image.empty() ? std::string(queuePrefix) + job.queue
                              : std::string(imagePrefix) + step.image;
}

} // namespace

// Learns from the progress of runs which images slow each other.
void run_planner::learnInterference(time_point now)
{
    if (!m_options.interference) {
        m_interference = {};
        return;
    }
    if (now - m_interference.comparedAt < comparisonInterval)
        return;
    m_interference.comparedAt = now;
    std::vector<marked_step> kept;
    for (marked_step &marked : std::exchange(m_interference.marked, {})) {
        if (!compareProgress(marked) && now - marked.at < longestComparison)
            kept.push_back(std::move(marked));
    }
    m_interference.marked = std::move(kept);
    markSteps(now);
    for (const interfering_pair &pair : m_interference.model.takeFound())
        recordDecision("interference found", {}, 0, {},
                       "tasks of an image progress more slowly beside those of another",
                       fmt::format("image={} beside={} slowdown={:.2f} weight={:.1f}", pair.image,
                                   pair.neighbour, pair.slowdown, pair.weight));
    numberImages();
}

// Returns the images that run on a worker beside a task.
std::set<std::string> run_planner::imagesBeside(const pool_worker &worker,
                                                const task_key &key) const
{
    std::set<std::string> images;
    for (const task_key &other : worker.active) {
        if (other == key)
            continue;
        const tracked_job &job = m_jobs.at(other.job);
        const step_spec &step = job.specOf({other.occurrence, other.step});
        if (takesPart(step) && job.find(other)->isListed)
            images.insert(imageOf(job.spec(), step));
    }
    return images;
}

// Marks the progress of tasks of further steps, in the order of the jobs' ids.
void run_planner::markSteps(time_point now)
{
    auto next = m_activeRuns.upper_bound(m_interference.markedUpTo);
    const std::size_t jobs = std::min(jobsPerComparison, m_activeRuns.size());
    for (std::size_t i = 0; i < jobs && m_interference.marked.size() < stepsPerComparison; ++i) {
        if (next == m_activeRuns.end())
            next = m_activeRuns.begin();
        m_interference.markedUpTo = next->first;
        if (next->second.size() >= leastTasks)
            markStepOf(next->first, next->second, now);
        ++next;
    }
}

// Marks tasks of one step of a job, spread over its runs.
void run_planner::markStepOf(const std::string &id,
                             const std::vector<std::pair<task_key, worker_id>> &runs,
                             time_point now)
{
    const bool isMarked
        = std::any_of(m_interference.marked.begin(), m_interference.marked.end(),
                      [&](const marked_step &one) { return one.tasks.front().key.job == id; });
    if (isMarked)
        return;
    const tracked_job &job = m_jobs.at(id);
    const task_key &first = runs.front().first;
    const step_spec &step = job.specOf({first.occurrence, first.step});
    if (!takesPart(step) || step.gang)
        return; // the members of a gang progress together
    marked_step marked;
    marked.at = now;
    marked.image = imageOf(job.spec(), step);
    const std::size_t stride = (runs.size() + tasksPerStep - 1) / tasksPerStep;
    for (std::size_t i = 0; i < runs.size(); i += stride) {
        const task_key &key = runs[i].first;
        const tracked_task &task = *job.find(key);
        const bool isOther = key.occurrence != first.occurrence || key.step != first.step;
        if (isOther || !task.isListed || task.stopWanted)
            continue;
        marked.tasks.push_back({key, task.record.lastRun, task.percent,
                                std::max(task.percentChangedAt, task.listedAt),
                                imagesBeside(m_pool.at(runs[i].second), key)});
    }
    if (marked.tasks.size() >= leastTasks)
        m_interference.marked.push_back(std::move(marked));
}

// Observes the progress of a step since it was marked, of the tasks whose neighbours are the same.
// Returns false if it is too early.
bool run_planner::compareProgress(const marked_step &marked)
{
    std::vector<interference_sample> samples;
    std::int32_t progress = 0;
    for (const marked_task &before : marked.tasks) {
        const auto job = m_jobs.find(before.key.job);
        const tracked_task *task = job == m_jobs.end() ? nullptr : job->second.find(before.key);
        if (!task || !task->isActive() || task->record.lastRun != before.run || task->stopWanted)
            continue;
        const duration time = task->percentChangedAt - before.at;
        const std::int32_t percent = task->percent - before.percent;
        if (time <= 0ms || percent <= 0
            || imagesBeside(m_pool.at(task->record.worker), before.key) != before.neighbours)
            continue;
        progress = std::max(progress, percent);
        // Without its machine's speed, so that slow machines are not taken for bad neighbours.
        const double speed = speedOf(m_pool.at(task->record.worker));
        samples.push_back({task->record.worker,
                           static_cast<double>(percent) / static_cast<double>(time.count()) / speed,
                           before.neighbours});
    }
    if (progress < leastPercent)
        return false;
    if (samples.size() >= leastTasks)
        m_interference.model.observe(marked.image, samples);
    return true;
}

// Numbers the images of interfering pairs for placement, if they have changed.
void run_planner::numberImages()
{
    interference_state &state = m_interference;
    if (state.numbered == state.model.version())
        return;
    state.numbered = state.model.version();
    state.numbers.clear();
    state.avoided.clear();
    const auto numberOf = [&](const std::string &image) {
        const auto [found, isNew] = state.numbers.emplace(image, state.avoided.size());
        if (isNew)
            state.avoided.push_back(0);
        return found->second;
    };
    for (const interfering_pair &pair : state.model.interfering()) {
        const std::size_t image = numberOf(pair.image);
        const std::size_t neighbour = numberOf(pair.neighbour);
        if (std::max(image, neighbour) >= maxImageBits)
            continue;
        state.avoided[image] |= std::uint64_t(1) << neighbour;
        state.avoided[neighbour] |= std::uint64_t(1) << image;
    }
}

// Returns the number of the image of a step as a bit, and the bits of those that should not run
// beside it. Both are 0 if the image interferes with none.
run_planner::image_bits run_planner::imageBitsOf(const tracked_job &job,
                                                 const step_spec &step) const
{
    if (m_interference.numbers.empty() || !takesPart(step))
        return {};
    const auto found = m_interference.numbers.find(imageOf(job.spec(), step));
    if (found == m_interference.numbers.end() || found->second >= maxImageBits)
        return {};
    return {std::uint64_t(1) << found->second, m_interference.avoided[found->second]};
}

std::size_t run_planner::interferingPairs() const
{
    return m_interference.model.interfering().size();
}

} // namespace goldcrest
