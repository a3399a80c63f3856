#include "goldcrest/gang_coordinator.h"

#include "goldcrest/digest.h"

#include <algorithm>

namespace goldcrest {

void output_assembly::add(const task_result &piece)
{
    if (m_complete)
        return;
    const bool other = m_hasPieces
        && (piece.digest != m_result.digest || piece.totalBytes != m_result.totalBytes);
    if (!m_hasPieces || other) {
        m_outOfOrder.clear();
        m_result = piece;
        m_result.output.clear();
        m_result.offset = 0;
        m_hasPieces = true;
    }
    m_outOfOrder[piece.offset] = piece.output;
    while (!m_outOfOrder.empty()) {
        const auto next = m_outOfOrder.begin();
        const std::uint64_t have = m_result.output.size();
        if (next->first > have)
            break;
        if (next->first + next->second.size() > have)
            m_result.output += next->second.substr(have - next->first);
        m_outOfOrder.erase(next);
    }
    if (m_result.output.size() >= m_result.totalBytes)
        finish();
}

void output_assembly::finish()
{
    m_complete = m_result.output.size() == m_result.totalBytes
        && digestOf(m_result.output) == m_result.digest;
    if (m_complete)
        return;
    m_hasPieces = false;
    m_outOfOrder.clear();
}

gang_coordinator::gang_coordinator(attempt_id attempt, epoch attemptEpoch, const job_spec &spec,
                                   const std::vector<gang_part> &parts)
    : m_attempt(std::move(attempt))
    , m_attemptEpoch(attemptEpoch)
    , m_spec(spec)
{
    m_spec.payload.clear();
    for (const gang_part &part : parts)
        m_members[part.worker].part = part;
}

gang_coordinator gang_coordinator::recovered(attempt_id attempt, epoch attemptEpoch,
                                             const job_spec &spec,
                                             const std::vector<worker_id> &workers)
{
    gang_coordinator gang(std::move(attempt), attemptEpoch, spec, {});
    gang.phase = gang_phase::Recovering;
    for (const worker_id &worker : workers) {
        member_status &member = gang.m_members[worker];
        member.part.worker = worker;
        member.tasksKnown = false;
        member.startSent = true;
    }
    return gang;
}

std::vector<gang_part> gang_coordinator::parts() const
{
    std::vector<gang_part> all;
    all.reserve(m_members.size());
    for (const auto &[worker, member] : m_members)
        all.push_back(member.part);
    std::sort(all.begin(), all.end(),
              [](const gang_part &a, const gang_part &b) { return a.firstTask < b.firstTask; });
    return all;
}

std::vector<worker_id> gang_coordinator::workers() const
{
    std::vector<worker_id> all;
    all.reserve(m_members.size());
    for (const auto &[worker, member] : m_members)
        all.push_back(worker);
    return all;
}

bool gang_coordinator::contains(const worker_id &worker) const
{
    return m_members.count(worker) != 0;
}

member_status *gang_coordinator::member(const worker_id &worker)
{
    const auto found = m_members.find(worker);
    return found == m_members.end() ? nullptr : &found->second;
}

worker_id gang_coordinator::leader() const
{
    for (const auto &[worker, member] : m_members) {
        if (member.part.firstTask == 0)
            return worker;
    }
    return {};
}

gang_info gang_coordinator::infoFor(const worker_id &worker, std::string_view cell,
                                    const std::string &leaderAddress) const
{
    gang_info info;
    info.attempt = m_attempt;
    info.cell = cell;
    info.plannerEpoch = m_attemptEpoch;
    info.tasks = m_spec.tasks;
    info.members = static_cast<std::int32_t>(m_members.size());
    info.leader = leader();
    info.leaderAddress = leaderAddress;
    if (worker == info.leader)
        info.parts = parts();
    info.own = m_members.at(worker).part;
    info.spec = m_spec;
    return info;
}

void gang_coordinator::noteReportedPart(const running_part &reported)
{
    member_status &member = m_members[reported.gang.own.worker];
    member.part = reported.gang.own;
    member.tasksKnown = true;
    member.startSent = true;
    member.started = true;
    member.gone = false;
    ranFor = std::max(ranFor, reported.ranFor);
    for (const gang_part &part : reported.gang.parts) {
        // The leader lists all members. Those that have not reported may be running.
        member_status &other = m_members[part.worker];
        if (other.tasksKnown && other.startSent)
            continue;
        other.part = part;
        other.tasksKnown = true;
        other.startSent = true;
    }
}

bool gang_coordinator::noteFinished(const task_finished_message &received)
{
    member_status *member = this->member(received.worker);
    if (!member || !(received.attempt == m_attempt) || received.plannerEpoch != m_attemptEpoch
        || !member->tasksKnown)
        return false;
    if (member->finished)
        return true;
    member->startSent = true;
    member->started = true;
    for (const task_result &piece : received.results) {
        const std::int32_t relative = piece.task - member->part.firstTask;
        if (relative >= 0 && relative < member->part.tasks)
            member->outputs[piece.task].add(piece);
    }
    const auto count = static_cast<std::size_t>(member->part.tasks);
    member->finished = member->outputs.size() == count
        && std::all_of(member->outputs.begin(), member->outputs.end(),
                       [](const auto &entry) { return entry.second.isComplete(); });
    member->stopped = received.stopped;
    member->progress = received.progress;
    return true;
}

namespace {

template<typename predicate>
bool allOf(const std::map<worker_id, member_status> &members, predicate holds)
{
    return std::all_of(members.begin(), members.end(),
                       [&](const auto &entry) { return holds(entry.second); });
}

bool succeeded(const member_status &member)
{
    return member.finished
        && std::all_of(member.outputs.begin(), member.outputs.end(),
                       [](const auto &entry) { return entry.second.succeeded(); });
}

} // namespace

bool gang_coordinator::allHeld() const
{
    return allOf(m_members, [](const member_status &member) { return member.held; });
}

bool gang_coordinator::allStarted() const
{
    return allOf(m_members,
                 [](const member_status &member) { return member.started || member.finished; });
}

bool gang_coordinator::allOver() const
{
    return allOf(m_members, [](const member_status &member) { return member.isOver(); });
}

bool gang_coordinator::allReportedStarted() const
{
    std::int32_t tasks = 0;
    for (const auto &[worker, member] : m_members) {
        if (!member.started || !member.tasksKnown || member.gone || member.neverStarted)
            return false;
        tasks += member.part.tasks;
    }
    return tasks == m_spec.tasks;
}

bool gang_coordinator::allSucceeded() const
{
    // A gang recovered from inventories may lack members that have not reported.
    std::int32_t tasks = 0;
    for (const auto &[worker, member] : m_members)
        tasks += member.part.tasks;
    return tasks == m_spec.tasks && allOf(m_members, succeeded);
}

bool gang_coordinator::anyStartSent() const
{
    return !allOf(m_members, [](const member_status &member) { return !member.startSent; });
}

bool gang_coordinator::provenNeverStarted() const
{
    return allOf(m_members, [](const member_status &member) {
        return !member.startSent || member.neverStarted;
    });
}

bool gang_coordinator::allCheckpointed() const
{
    return allOf(m_members, [](const member_status &member) {
        return member.finished && member.stopped && member.progress > 0;
    });
}

worker_id gang_coordinator::failedMember() const
{
    for (const auto &[worker, member] : m_members) {
        if (member.finished && !member.stopped && !succeeded(member))
            return worker;
    }
    return {};
}

worker_id gang_coordinator::refusingMember() const
{
    for (const auto &[worker, member] : m_members) {
        if (member.refused)
            return worker;
    }
    return {};
}

double gang_coordinator::progress() const
{
    double least = m_members.empty() ? 0 : 1;
    for (const auto &[worker, member] : m_members)
        least = std::min(least, member.finished ? member.progress : 0);
    return least;
}

std::vector<task_result> gang_coordinator::collectResults() const
{
    std::map<std::int32_t, task_result> byTask;
    for (const auto &[worker, member] : m_members) {
        for (const auto &[task, output] : member.outputs) {
            if (output.isComplete())
                byTask[task] = output.whole();
        }
    }
    std::vector<task_result> results;
    results.reserve(byTask.size());
    for (auto &[task, whole] : byTask)
        results.push_back(std::move(whole));
    return results;
}

} // namespace goldcrest
