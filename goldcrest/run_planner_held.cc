#include "goldcrest/run_planner.h"

#include "goldcrest/run_planner_unit.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace goldcrest {

namespace {

// Least time between two choices of what is held, while not all of it can be.
constexpr duration choiceInterval = 100ms;

constexpr duration logInterval = 10s;

// Returns the number of tasks of an occurrence that may start first.
std::size_t firstTasks(const graph_job &job)
{
    std::size_t count = 0;
    for (const step_spec &step : job.steps)
        count += step.after.empty() ? static_cast<std::size_t>(step.count) : 0;
    return count;
}

} // namespace

// A choice of what is held: the occurrences that may be held or set aside, and their jobs at the
// same indexes.
struct run_planner::held_pass
{
    std::vector<held_item> items;
    std::vector<tracked_job *> jobs;
    std::map<std::string_view, std::size_t> fixed; // bytes of all others, by team
    std::map<std::string, std::size_t> wanted; // further occurrences, by job
};

// Drops what is left of jobs that have ended.
void run_planner::dropEndedWork()
{
    for (auto &[id, job] : m_jobs) {
        if (job.isFinished() && job.openOccurrences() > 0)
            job.dropEnded();
    }
}

std::size_t run_planner::heldBytes() const
{
    std::size_t bytes = 0;
    for (const auto &[id, job] : m_jobs)
        bytes += job.openBytes();
    return bytes;
}

// Returns how many further occurrences of a job should be held, if memory allows: no more than its
// record has room for, and than it takes until enough of its tasks wait. One is wanted in any case.
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

// Begins the occurrences that are due, as far as their tasks fit into memory and into their record.
// Repeated jobs share the places of a pass: more of their tasks could not start earlier.
void run_planner::holdDueWork(unix_ms wall, time_point now)
{
    m_passWall = wall;
    std::size_t bytes = heldBytes();
    const auto repeated
        = std::count_if(m_unfinished.begin(), m_unfinished.end(), [&](const std::string &id) {
              const tracked_job &job = m_jobs.at(id);
              return job.spec().schedule.occurrences > 0 && job.isNextDue(wall);
          });
    const std::size_t waitingLimit = std::max<std::size_t>(
        1, unitsByRank / std::max<std::size_t>(1, static_cast<std::size_t>(repeated)));
    held_pass pass;
    for (const std::string &id : m_unfinished) {
        const tracked_job &job = m_jobs.at(id);
        if (const std::size_t wanted = wantedOccurrences(job, waitingLimit, wall)) {
            pass.wanted.emplace(id, wanted);
            bytes += wanted * job.bytesPerOccurrence();
        }
    }
    if (m_held.hasRoomForAll(bytes)) {
        for (const auto &[id, wanted] : pass.wanted) {
            for (std::size_t i = 0; i < wanted; ++i)
                m_jobs.at(id).openNext();
        }
        return noteJobsWithoutRoom(wall, now);
    }
    if (now - m_heldChosenAt >= choiceInterval) {
        m_heldChosenAt = now;
        chooseHeldWork(std::move(pass), now);
    }
    noteJobsWithoutRoom(wall, now);
    logHeldWork(now);
}

// Writes one line for a job when it first waits for memory, and one when a run of it is recorded.
// Until then its tasks may be set aside again, in turn with others.
void run_planner::noteJobsWithoutRoom(unix_ms wall, time_point now)
{
    m_withoutRoom = 0;
    for (const std::string &id : m_unfinished) {
        const tracked_job &job = m_jobs.at(id);
        const bool isWaiting = job.openOccurrences() == 0 && job.isNextDue(wall);
        m_withoutRoom += isWaiting ? 1 : 0;
        const auto since = m_waitsForRoom.find(id);
        const bool wasNoted = since != m_waitsForRoom.end();
        if (isWaiting == wasNoted)
            continue;
        if (isWaiting) {
            m_waitsForRoom.emplace(id, now);
            recordDecision("job waits for memory", {id, 0, 0, 0}, 0, {}, {},
                           fmt::format("needs_bytes={} held_bytes={} limit_bytes={}",
                                       job.bytesPerOccurrence(), heldBytes(), m_held.limit()));
        } else if (job.untouchedOccurrences() < job.openOccurrences()) {
            recordDecision("job taken up", {id, 0, 0, 0}, 0, {}, {},
                           fmt::format("waited_ms={}", (now - since->second).count()));
            m_waitsForRoom.erase(since);
        }
    }
}

void run_planner::chooseHeldWork(held_pass pass, time_point now)
{
    for (auto &[id, job] : m_jobs)
        addHeldItems(job, pass);
    const held_changes changes = m_held.choose(pass.items, pass.fixed, now);
    for (const std::size_t index : changes.toClose)
        closeUntouched(*pass.jobs[index]);
    for (const std::size_t index : changes.toOpen)
        pass.jobs[index]->openNext();
}

// Adds the untouched occurrences of a job, and the next one if it is wanted.
void run_planner::addHeldItems(tracked_job &job, held_pass &pass) const
{
    const std::size_t open = job.openOccurrences();
    const std::size_t untouched = job.isFinished() ? 0 : job.untouchedOccurrences();
    const bool isWanted = pass.wanted.count(job.id()) > 0;
    if (open > untouched)
        pass.fixed[job.spec().team] += (open - untouched) * job.bytesPerOccurrence();
    if (untouched == 0 && !isWanted)
        return;
    held_item item;
    item.job = job.id();
    item.team = job.spec().team;
    item.mayStart = mayStartSomewhere(job);
    item.isGuaranteed = m_guaranteed.count(job.id()) > 0;
    item.priority = policyOf(job).priority;
    item.target = targetOf(job);
    item.bytes = job.bytesPerOccurrence();
    for (std::size_t i = 0; i < untouched + (isWanted ? 1 : 0); ++i) {
        item.occurrence = static_cast<std::int32_t>(i);
        item.isHeld = i < untouched;
        item.isFirst = open == untouched && i == 0;
        pass.items.push_back(item);
        pass.jobs.push_back(&job);
    }
}

// Returns whether some worker has the label and the capacity for a task that a job starts with, or
// none of its service is known.
bool run_planner::mayStartSomewhere(const tracked_job &job) const
{
    const std::string &service = policyOf(job).service;
    bool isServiceKnown = false;
    for (const auto &[id, worker] : m_pool.workers()) {
        if (!worker.isReported || worker.service != service)
            continue;
        isServiceKnown = true;
        for (const step_spec &step : job.spec().steps) {
            const bool hasLabel = step.requiredLabel.empty() || worker.hasLabel(step.requiredLabel);
            if (step.after.empty() && hasLabel && worker.capacity.covers(demandOf(step)))
                return true;
        }
    }
    return !isServiceKnown;
}

// Sets the last occurrence of a job aside.
void run_planner::closeUntouched(tracked_job &job)
{
    job.closeLast();
    forgetTasksThatAreOver(job);
}

void run_planner::logHeldWork(time_point now)
{
    if (m_withoutRoom == 0 || now - m_heldLoggedAt < logInterval)
        return;
    m_heldLoggedAt = now;
    recordDecision("work waits for memory", {}, 0, {}, "the tasks of all jobs need more",
                   fmt::format("held_bytes={} limit_bytes={} jobs_waiting={} unfinished={}",
                               heldBytes(), m_held.limit(), m_withoutRoom, m_unfinished.size()));
}

} // namespace goldcrest
