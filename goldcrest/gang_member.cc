#include "goldcrest/gang_member.h"

#include <algorithm>

namespace goldcrest {

std::string taskIdOf(const gang_info &gang, std::int32_t task)
{
    // Two planners may give the same attempt number to an idempotent job that has no intent
    // record, so the epoch is part of the id.
    return gang.attempt.job.team + "." + gang.attempt.job.requestId + "."
        + std::to_string(gang.attempt.number) + "." + std::to_string(gang.plannerEpoch) + "."
        + std::to_string(task);
}

gang_member::gang_member(gang_info gang, time_point now, duration holdLifetime)
    : m_gang(std::move(gang))
    , m_holdUntil(now + holdLifetime)
{
    addTasks();
}

gang_member gang_member::adopted(gang_info gang, time_point now)
{
    gang_member member(std::move(gang), now, 0ms);
    member.startSent = true;
    member.startedAt = now;
    member.m_state = member_state::Running;
    for (member_task &task : member.tasks)
        task.startAnswered = 0;
    return member;
}

void gang_member::addTasks()
{
    for (std::int32_t index = 0; index < m_gang.own.tasks; ++index) {
        member_task task;
        task.index = m_gang.own.firstTask + index;
        task.id = taskIdOf(m_gang, task.index);
        tasks.push_back(std::move(task));
    }
    for (const gang_part &part : m_gang.parts) {
        if (part.worker != m_gang.own.worker)
            m_peers[part.worker];
    }
}

void gang_member::beginStart(time_point now)
{
    startSent = true;
    startedAt = now;
    m_confirmedAt = now;
    m_state = member_state::Starting;
    for (auto &[worker, entry] : m_peers) {
        // The other members start at about the same time. Each has one gang lease to send its first
        // pulse.
        if (!entry.lastPulseAt)
            entry.lastPulseAt = now;
    }
}

void gang_member::notePulse(const gang_pulse_message &pulse, std::uint64_t link, time_point now)
{
    const auto found = m_peers.find(pulse.worker);
    if (found == m_peers.end())
        return;
    found->second.lastPulseAt = now;
    found->second.link = link;
    found->second.ended = pulse.ended;
    if (pulse.failed)
        m_broken = true;
}

gang_liveness gang_member::liveness(time_point now) const
{
    if (m_broken)
        return gang_liveness::Broken;
    bool allReported = true;
    for (const auto &[worker, entry] : m_peers) {
        if (entry.ended)
            continue;
        if (!entry.lastPulseAt)
            allReported = false;
        else if (now - *entry.lastPulseAt >= gangLease)
            return gang_liveness::Broken;
    }
    return allReported ? gang_liveness::Alive : gang_liveness::Unknown;
}

duration gang_member::remainingLease(time_point now) const
{
    if (!hasPeers())
        return taskLease;
    // A member adopted after a restart still has a lease at the backend server, but no confirmation
    // yet. Its time counts from the restart, so it stops one gang lease later unless confirmed.
    const time_point from = m_confirmedAt.value_or(startedAt);
    return std::max(duration(0), from + gangLease - now);
}

std::vector<std::uint64_t> gang_member::peerLinks() const
{
    std::vector<std::uint64_t> links;
    for (const auto &[worker, entry] : m_peers) {
        if (entry.link != 0)
            links.push_back(entry.link);
    }
    return links;
}

bool gang_member::allEnded() const
{
    return std::all_of(tasks.begin(), tasks.end(),
                       [](const member_task &task) { return task.ended; });
}

bool gang_member::anyIn(task_state state) const
{
    return std::any_of(tasks.begin(), tasks.end(), [state](const member_task &task) {
        return task.ended && task.state == state;
    });
}

member_task *gang_member::findTask(const std::string &id)
{
    for (member_task &task : tasks) {
        if (task.id == id)
            return &task;
    }
    return nullptr;
}

double gang_member::checkpointed() const
{
    double least = tasks.empty() ? 0 : 1;
    for (const member_task &task : tasks)
        least = std::min(least, task.checkpointed);
    return least;
}

} // namespace goldcrest
