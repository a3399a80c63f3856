#include "goldcrest/run_planner.h"

#include <algorithm>

namespace goldcrest {

namespace {

// Waiting tasks of repeated jobs that are in memory: as many as a pass places in order of rank
// (planService). More could not start earlier.
constexpr std::size_t repeatedTasksHeld = 256;

// Returns the number of tasks of an occurrence that may start first.
std::size_t firstTasks(const graph_job &job)
{
    std::size_t count = 0;
    for (const step_spec &step : job.steps)
        count += step.after.empty() ? static_cast<std::size_t>(step.count) : 0;
    return count;
}

} // namespace

// Returns how many further occurrences of a job should begin.
// @param waitingLimit tasks of a repeated job that may wait
std::size_t run_planner::wantedOccurrences(const tracked_job &job, std::size_t waitingLimit,
                                           unix_ms wall) const
{
    const auto due = static_cast<std::size_t>(job.dueOccurrences(wall));
    if (due == 0)
        return 0;
    const std::size_t waiting = job.waitingTasks();
    const std::size_t first = firstTasks(job.spec());
    const std::size_t wanted
        = waiting < waitingLimit ? (waitingLimit - waiting + first - 1) / first : 0;
    const std::size_t open = job.openOccurrences();
    const std::size_t most = maxOverlappingOccurrences(job.spec(), m_options.maxRecordBytes);
    const std::size_t allowed = most > open ? most - open : 0;
    return std::min({due, allowed, std::max<std::size_t>(wanted, open == 0 ? 1 : 0)});
}

// Begins the occurrences that are due, as far as they fit into their record and may start soon.
void run_planner::openDueOccurrences(unix_ms wall)
{
    m_passWall = wall;
    const auto repeated
        = std::count_if(m_unfinished.begin(), m_unfinished.end(), [&](const std::string &id) {
              const tracked_job &job = m_jobs.at(id);
              return job.spec().schedule.occurrences > 0 && job.isNextDue(wall);
          });
    const std::size_t waitingLimit = std::max<std::size_t>(
        1, repeatedTasksHeld / std::max<std::size_t>(1, static_cast<std::size_t>(repeated)));
    for (const std::string &id : m_unfinished) {
        tracked_job &job = m_jobs.at(id);
        for (std::size_t i = wantedOccurrences(job, waitingLimit, wall); i > 0; --i)
            job.openNext();
    }
}

} // namespace goldcrest
