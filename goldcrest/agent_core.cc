#include "goldcrest/agent_core.h"

#include "goldcrest/digest.h"

#include <algorithm>
#include <utility>

namespace goldcrest {

namespace {

// Limit on the past attempts kept in memory. At the design target a worker runs a few hundred
// attempts a day.
constexpr std::size_t maxPastAttempts = 1024;

// Limit on the ended attempts listed in an inventory.
constexpr std::size_t maxReportedEnded = 256;

// Timeout of a task list call.
constexpr duration listTimeout = 5s;

// The lease of a task that does not stop ends this long after its stop deadline.
constexpr duration stopLeaseGrace = 1s;

std::vector<std::string> runningIds(const gang_member &member)
{
    std::vector<std::string> ids;
    for (const member_task &task : member.tasks) {
        if (!task.ended)
            ids.push_back(task.id);
    }
    return ids;
}

task_result resultWithoutOutput(const member_task &task)
{
    task_result header;
    header.task = task.index;
    header.succeeded = task.state == task_state::Succeeded;
    header.totalBytes = task.output.size();
    header.digest = digestOf(task.output);
    return header;
}

} // namespace

agent_core::agent_core(agent_options options)
    : m_options(std::move(options))
{ }

void agent_core::begin(time_point now)
{
    requestList(now);
}

void agent_core::backendAnnounced(const resources &capacity, std::int32_t slots, time_point now)
{
    worker_info &worker = m_options.worker;
    const bool changed = worker.capacity != capacity || worker.slots != slots;
    worker.capacity = capacity;
    worker.slots = slots;
    if (!m_listRead || !m_backendReachable)
        requestList(now);
    if (changed && m_listRead)
        sendInventory(now);
}

void agent_core::drainChanged(bool draining, time_point)
{
    if (m_draining == draining)
        return;
    m_draining = draining;
    sendToPlanner(drain_notice_message{m_options.worker.id, draining});
}

void agent_core::plannerLinkOpened(epoch known, time_point now)
{
    m_highestEpoch = std::max(m_highestEpoch, known);
    m_plannerLinkOpen = true;
    if (m_listRead)
        sendInventory(now, true);
}

void agent_core::plannerLinkClosed()
{
    m_plannerLinkOpen = false;
}

void agent_core::plannerMessage(const message &received, time_point now)
{
    std::visit([this, now](const auto &typed) { handle(typed, now); }, received);
}

bool agent_core::acceptEpoch(epoch number)
{
    if (number < m_highestEpoch && m_options.mechanisms.fenceEpochs) {
        ++m_counters.fencedMessages;
        return false;
    }
    m_highestEpoch = std::max(m_highestEpoch, number);
    return true;
}

std::optional<failure> agent_core::checkHold(const hold_message &hold, time_point now)
{
    const gang_info &gang = hold.gang;
    if (!acceptEpoch(gang.plannerEpoch))
        return makeFailure(code::StaleEpoch, "a planner with a higher epoch was seen");
    if (m_draining)
        return makeFailure(code::WorkerDraining, "the worker is draining");
    if (!m_listRead || !m_backendReachable)
        return makeFailure(code::BackendUnavailable, "the backend server does not answer");
    const past_attempt *earlier = findPast(gang.attempt);
    // A new planner may reuse the number of an attempt that never started and was not recorded.
    if (earlier && (earlier->everStarted || earlier->plannerEpoch >= gang.plannerEpoch))
        return makeFailure(code::AttemptAborted,
                           "the attempt has already ended or was aborted on this worker");
    if (gang.own.worker != m_options.worker.id || gang.own.tasks < 1)
        return makeFailure(code::HoldRefused, "the hold names another worker or no tasks");
    resources free = m_options.worker.capacity;
    std::int32_t tasks = gang.own.tasks;
    for (const auto &[attempt, member] : m_members) {
        const bool lapsed = member.state() == member_state::Held && member.holdExpired(now);
        if (!member.usesWorker() || lapsed)
            continue;
        free -= member.reserved();
        tasks += member.gang().own.tasks;
    }
    const std::int32_t slots = m_options.worker.slots;
    if (!free.covers(gang.spec.perTask * gang.own.tasks) || (slots > 0 && tasks > slots))
        return makeFailure(code::HoldRefused, "the worker's free capacity does not cover the hold");
    return std::nullopt;
}

void agent_core::handle(const hold_message &hold, time_point now)
{
    const attempt_id &attempt = hold.gang.attempt;
    hold_reply_message reply{attempt, m_options.worker.id, hold.gang.plannerEpoch, std::nullopt};
    const auto existing = m_members.find(attempt);
    if (existing != m_members.end()) {
        // A repeated hold does not extend the lifetime of the first one.
        const gang_member &member = existing->second;
        if (!acceptEpoch(hold.gang.plannerEpoch))
            reply.refused = makeFailure(code::StaleEpoch, "a planner with a higher epoch was seen");
        else if (member.gang().plannerEpoch != hold.gang.plannerEpoch)
            reply.refused
                = makeFailure(code::HoldRefused, "the attempt is held for another planner");
        else if (member.state() == member_state::Held && member.holdExpired(now))
            reply.refused = makeFailure(code::HoldExpired, "the hold's lifetime has ended");
        sendToPlanner(reply);
        return;
    }
    reply.refused = checkHold(hold, now);
    if (!reply.refused)
        m_members.emplace(attempt, gang_member(hold.gang, now, hold.lifetime));
    sendToPlanner(reply);
}

// Returns whether this process knows that it never started the attempt. A duplicate of a start
// message can arrive after the tasks have ended, or after this process was restarted.
bool agent_core::isKnownUnstarted(const attempt_id &attempt) const
{
    const auto found = m_members.find(attempt);
    if (found != m_members.end())
        return !found->second.startSent;
    const past_attempt *earlier = findPast(attempt);
    return earlier && !earlier->everStarted;
}

std::optional<failure> agent_core::checkStart(const start_message &start, time_point now)
{
    const bool isCurrent = acceptEpoch(start.plannerEpoch);
    if (!isKnownUnstarted(start.attempt))
        return makeFailure(code::OutcomeUnknown,
                           "the attempt may have started on this worker before");
    if (!isCurrent)
        return makeFailure(code::StaleEpoch, "a planner with a higher epoch was seen");
    const auto found = m_members.find(start.attempt);
    if (found == m_members.end() || found->second.state() != member_state::Held) {
        const past_attempt *earlier = findPast(start.attempt);
        const bool aborted = earlier && earlier->aborted;
        return makeFailure(aborted ? code::AttemptAborted : code::HoldExpired,
                           "the attempt has no hold on this worker");
    }
    if (found->second.gang().plannerEpoch != start.plannerEpoch && m_options.mechanisms.fenceEpochs)
        return makeFailure(code::StaleEpoch, "the hold belongs to another planner");
    if (found->second.holdExpired(now) && m_options.mechanisms.limitHolds)
        return makeFailure(code::HoldExpired, "the hold's lifetime has ended");
    if (m_draining)
        return makeFailure(code::WorkerDraining, "the worker is draining");
    return std::nullopt;
}

void agent_core::handle(const start_message &start, time_point now)
{
    const auto found = m_members.find(start.attempt);
    const bool known = found != m_members.end();
    if (known && found->second.startSent
        && found->second.gang().plannerEpoch == start.plannerEpoch) {
        // A repeated start. If the tasks are still starting, the reply is sent once they all have.
        if (found->second.state() == member_state::Running)
            sendToPlanner(
                task_started_message{start.attempt, m_options.worker.id, start.plannerEpoch, {}});
        return;
    }
    std::optional<failure> refused = checkStart(start, now);
    if (!refused) {
        startTasks(found->second, start, now);
        return;
    }
    if (known && found->second.state() == member_state::Held
        && refused->number != code::StaleEpoch) {
        m_members.erase(found);
        recordPast(start.attempt, {true, false, start.plannerEpoch});
    }
    sendToPlanner(task_started_message{start.attempt, m_options.worker.id, start.plannerEpoch,
                                       std::move(refused)});
}

void agent_core::startTasks(gang_member &member, const start_message &start, time_point now)
{
    member.beginStart(now);
    for (const member_task &task : member.tasks)
        m_actions.emplace_back(start_task{task.id, member.gang(), start.payload,
                                          member.gang().spec.perTask, taskLease, start.resumeFrom});
}

void agent_core::taskStartAnswered(const std::string &id, const result<done> &answer,
                                   time_point now)
{
    for (auto &[attempt, member] : m_members) {
        member_task *task = member.findTask(id);
        if (!task)
            continue;
        task->startAnswered = ++m_lastEvent;
        if (!failureOf(answer)) {
            task->started = true;
            if (member.state() == member_state::Stopping)
                requestStop(member, now);
        } else {
            // The task may have started nevertheless; the next task list shows whether it did.
            m_listRequestedAt.reset();
            requestList(now);
        }
        updateMember(member, now);
        return;
    }
}

void agent_core::handle(const abort_message &abort, time_point now)
{
    if (!acceptEpoch(abort.plannerEpoch))
        return;
    abort_reply_message reply{abort.attempt, m_options.worker.id, abort.plannerEpoch, true};
    const auto found = m_members.find(abort.attempt);
    if (found == m_members.end()) {
        // An earlier run of this process may have started the tasks. Only a remembered attempt
        // proves that they were not started.
        const past_attempt *earlier = findPast(abort.attempt);
        reply.everStarted = !earlier || earlier->everStarted;
        recordPast(abort.attempt, {true, reply.everStarted, abort.plannerEpoch});
    } else if (!found->second.startSent) {
        reply.everStarted = false;
        m_members.erase(found);
        recordPast(abort.attempt, {true, false, abort.plannerEpoch});
    } else {
        stopMember(found->second, false, 0ms, now);
    }
    sendToPlanner(reply);
}

void agent_core::handle(const stop_message &stop, time_point now)
{
    if (!acceptEpoch(stop.plannerEpoch))
        return;
    const auto found = m_members.find(stop.attempt);
    if (found == m_members.end() || !found->second.startSent)
        return;
    stopMember(found->second, stop.checkpoint, found->second.gang().spec.stopTime, now);
}

void agent_core::handle(const throttle_message &throttle, time_point)
{
    if (!acceptEpoch(throttle.plannerEpoch))
        return;
    const auto found = m_members.find(throttle.attempt);
    if (found == m_members.end())
        return;
    for (const std::string &id : runningIds(found->second))
        m_actions.emplace_back(throttle_task{id, throttle.limit});
}

void agent_core::handle(const result_stored_message &stored, time_point)
{
    if (!acceptEpoch(stored.plannerEpoch))
        return;
    const auto found = m_members.find(stored.attempt);
    if (found == m_members.end() || found->second.state() != member_state::Ended)
        return;
    for (const member_task &task : found->second.tasks) {
        m_reportedUsage.erase(task.id);
        m_actions.emplace_back(forget_task{task.id});
    }
    recordPast(stored.attempt, {false, true, stored.plannerEpoch});
    m_members.erase(found);
}

void agent_core::handle(const heartbeat_ack_message &ack, time_point now)
{
    if (acceptEpoch(ack.plannerEpoch) && ack.inventoryRequested && m_listRead)
        sendInventory(now);
}

void agent_core::stopMember(gang_member &member, bool checkpoint, duration within, time_point now)
{
    if (member.state() == member_state::Ended)
        return;
    const time_point deadline = now + within;
    const bool sooner = !member.stopRequested || deadline < member.stopDeadline;
    member.stopRequested = true;
    member.markBroken();
    member.enter(member_state::Stopping);
    if (!sooner)
        return;
    member.stopCheckpoint = checkpoint;
    member.stopDeadline = deadline;
    requestStop(member, now);
    updateMember(member, now);
}

void agent_core::requestStop(gang_member &member, time_point now)
{
    member.stopCalledAt = now;
    const duration within = std::max(duration(0), member.stopDeadline - now);
    for (const std::string &id : runningIds(member))
        m_actions.emplace_back(stop_task{id, member.stopCheckpoint, within});
}

void agent_core::requestList(time_point now)
{
    m_nextList = now + taskListInterval;
    if (m_listRequestedAt && now - *m_listRequestedAt < listTimeout)
        return;
    m_listRequestedAt = now;
    m_listCall = ++m_lastEvent;
    m_actions.emplace_back(list_tasks{m_listCall});
}

void agent_core::taskListAnswered(std::uint64_t call,
                                  const result<std::vector<listed_task>> &answer, time_point now)
{
    // The answer to an earlier call may be older than starts that the last call was made after.
    if (call != m_listCall)
        return;
    if (failureOf(answer)) {
        m_listRequestedAt.reset();
        m_backendReachable = false;
        return;
    }
    const std::vector<listed_task> &tasks = valueOf(answer);
    m_backendReachable = true;
    const bool first = !m_listRead;
    m_listRead = true;
    adoptTasks(tasks, now);
    for (const listed_task &listed : tasks)
        updateTask(listed, now);
    for (auto &[attempt, member] : m_members)
        endMissingTasks(member, tasks);
    m_listRequestedAt.reset();
    for (auto &[attempt, member] : m_members)
        updateMember(member, now);
    if (first && m_plannerLinkOpen)
        sendInventory(now);
}

void agent_core::adoptTasks(const std::vector<listed_task> &tasks, time_point now)
{
    for (const listed_task &listed : tasks) {
        const attempt_id &attempt = listed.gang.attempt;
        const auto found = m_members.find(attempt);
        if (found != m_members.end() && found->second.findTask(listed.task.id))
            continue;
        const past_attempt *earlier = findPast(attempt);
        const bool hasMember = found != m_members.end();
        if (earlier || hasMember) {
            // The attempt has ended or does not include this task, so a start call took effect late
            // or a forget call was lost.
            if (listed.task.state == task_state::Running)
                m_actions.emplace_back(stop_task{listed.task.id, false, 0ms});
            else
                m_actions.emplace_back(forget_task{listed.task.id});
            continue;
        }
        m_highestEpoch = std::max(m_highestEpoch, listed.gang.plannerEpoch);
        m_members.emplace(attempt, gang_member::adopted(listed.gang, now));
    }
}

void agent_core::updateTask(const listed_task &listed, time_point)
{
    const auto found = m_members.find(listed.gang.attempt);
    if (found == m_members.end())
        return;
    member_task *task = found->second.findTask(listed.task.id);
    if (!task || task->ended)
        return;
    task->started = true;
    task->used = listed.task.used;
    task->progress = listed.task.progress;
    task->checkpointed = listed.task.checkpointed;
    if (listed.task.state == task_state::Running)
        return;
    task->ended = true;
    task->state = listed.task.state;
    task->output = listed.task.output;
}

void agent_core::endMissingTasks(gang_member &member, const std::vector<listed_task> &tasks)
{
    if (!member.startSent || member.state() == member_state::Ended)
        return;
    for (member_task &task : member.tasks) {
        // Only a list that was requested after the start was answered proves that a task is gone.
        const bool decided = task.startAnswered && *task.startAnswered < m_listCall;
        if (task.ended || !decided)
            continue;
        const bool present
            = std::any_of(tasks.begin(), tasks.end(),
                          [&](const listed_task &listed) { return listed.task.id == task.id; });
        if (present)
            continue;
        task.ended = true;
        task.state = task_state::Stopped;
    }
}

void agent_core::updateMember(gang_member &member, time_point now)
{
    const member_state state = member.state();
    if (state == member_state::Held || state == member_state::Ended)
        return;
    const gang_info &gang = member.gang();
    const bool allStarted
        = std::all_of(member.tasks.begin(), member.tasks.end(),
                      [](const member_task &task) { return task.started || task.ended; });
    const bool anyStopped = member.anyIn(task_state::Stopped);
    const bool anyFailed = member.anyIn(task_state::Failed);
    if (state == member_state::Starting && allStarted) {
        member.enter(member_state::Running);
        task_started_message started{gang.attempt, m_options.worker.id, gang.plannerEpoch, {}};
        const bool lost
            = std::any_of(member.tasks.begin(), member.tasks.end(),
                          [](const member_task &task) { return task.ended && !task.started; });
        if (lost)
            started.refused
                = makeFailure(code::BackendUnavailable, "the backend server did not start a task");
        sendToPlanner(started);
    }
    if ((anyStopped || anyFailed) && !member.stopRequested) {
        // A gang that has lost a task can't complete, so its other tasks are stopped.
        member.markBroken();
        stopMember(member, gang.spec.canCheckpoint, gang.spec.stopTime, now);
        notifyBroken(member);
        sendPulse(member);
    }
    if (member.allEnded() && member.state() != member_state::Ended) {
        member.enter(member_state::Ended);
        if (anyStopped || anyFailed)
            member.markBroken();
        notifyBroken(member);
        sendPulse(member);
        sendResult(member, now);
    }
}

void agent_core::sendPulse(gang_member &member)
{
    if (!m_options.mechanisms.gangPulses || !member.hasPeers() || member.isLeader())
        return;
    const bool ended = member.state() == member_state::Ended;
    const bool failed = member.isBroken() || member.stopRequested;
    m_actions.emplace_back(send_to_agent{
        member.gang().leaderAddress,
        gang_pulse_message{member.gang().attempt, m_options.worker.id, ended, failed}});
}

void agent_core::notifyBroken(const gang_member &member)
{
    if (!m_options.mechanisms.gangPulses || !member.isLeader() || !member.isBroken())
        return;
    for (const std::uint64_t link : member.peerLinks())
        m_actions.emplace_back(
            answer_agent{link, gang_pulse_reply_message{member.gang().attempt, false}});
}

void agent_core::agentMessage(std::uint64_t link, const message &received, time_point now)
{
    if (const auto *pulse = std::get_if<gang_pulse_message>(&received)) {
        if (!m_listRead)
            return;
        const auto found = m_members.find(pulse->attempt);
        const bool isLeader = found != m_members.end() && found->second.isLeader();
        if (!isLeader) {
            if (!pulse->ended)
                m_actions.emplace_back(
                    answer_agent{link, gang_pulse_reply_message{pulse->attempt, false}});
            return;
        }
        gang_member &member = found->second;
        const bool wasBroken = member.isBroken();
        member.notePulse(*pulse, link, now);
        if (!member.startSent)
            return;
        checkGang(member, now);
        if (!wasBroken && member.isBroken())
            notifyBroken(member);
        const gang_liveness state = member.liveness(now);
        if (state != gang_liveness::Unknown && !pulse->ended)
            m_actions.emplace_back(answer_agent{
                link, gang_pulse_reply_message{pulse->attempt, state == gang_liveness::Alive}});
        return;
    }
    const auto *reply = std::get_if<gang_pulse_reply_message>(&received);
    if (!reply)
        return;
    const auto found = m_members.find(reply->attempt);
    if (found == m_members.end() || found->second.isLeader() || !found->second.startSent)
        return;
    if (reply->isAlive)
        found->second.confirm(now);
    else
        found->second.markBroken();
    checkGang(found->second, now);
}

void agent_core::checkGang(gang_member &member, time_point now)
{
    const bool active
        = member.state() == member_state::Starting || member.state() == member_state::Running;
    if (!member.hasPeers() || !m_options.mechanisms.gangPulses)
        return;
    if (member.isLeader()) {
        const gang_liveness state = member.liveness(now);
        if (state == gang_liveness::Alive)
            member.confirm(now);
        if (state == gang_liveness::Broken)
            member.markBroken();
    }
    if (!active)
        return;
    if (member.remainingLease(now) <= 0ms)
        member.markBroken();
    if (!member.isBroken())
        return;
    notifyBroken(member);
    const job_spec &spec = member.gang().spec;
    stopMember(member, spec.canCheckpoint, spec.stopTime, now);
    sendPulse(member);
}

void agent_core::renewLeases(gang_member &member, time_point now)
{
    const member_state state = member.state();
    if (state == member_state::Held || state == member_state::Ended)
        return;
    duration lease = taskLease;
    if (m_options.mechanisms.gangPulses)
        lease = std::min(lease, member.remainingLease(now));
    if (member.stopRequested)
        lease = std::min(taskLease, member.stopDeadline + stopLeaseGrace - now);
    std::vector<std::string> ids = runningIds(member);
    if (lease > 0ms && !ids.empty())
        m_actions.emplace_back(renew_tasks{std::move(ids), lease});
}

void agent_core::sendResult(gang_member &member, time_point now)
{
    const gang_info &gang = member.gang();
    member.resultSentAt = now;
    task_finished_message piece;
    piece.attempt = gang.attempt;
    piece.worker = m_options.worker.id;
    piece.plannerEpoch = gang.plannerEpoch;
    piece.stopped = member.anyIn(task_state::Stopped);
    piece.progress = member.checkpointed();
    piece.last = false;
    std::size_t freeBytes = maxResultPieceBytes;
    for (const member_task &task : member.tasks) {
        const task_result header = resultWithoutOutput(task);
        std::size_t offset = 0;
        do {
            if (freeBytes == 0) {
                sendToPlanner(piece);
                piece.results.clear();
                freeBytes = maxResultPieceBytes;
            }
            task_result part = header;
            part.offset = offset;
            part.output = task.output.substr(offset, freeBytes);
            offset += part.output.size();
            freeBytes -= part.output.size();
            piece.results.push_back(std::move(part));
        } while (offset < task.output.size());
    }
    piece.last = true;
    sendToPlanner(std::move(piece));
}

void agent_core::sendInventory(time_point now, bool newLink)
{
    if (!m_plannerLinkOpen)
        return;
    inventory_message inventory;
    inventory.worker = m_options.worker;
    inventory.draining = m_draining;
    inventory.backendReachable = m_backendReachable;
    inventory.highestEpoch = m_highestEpoch;
    for (const auto &[attempt, member] : m_members) {
        if (!member.startSent)
            continue;
        const duration ranFor = now - member.startedAt;
        inventory.parts.push_back({member.gang(), ranFor, member.state() == member_state::Ended});
    }
    for (auto id = m_pastOrder.rbegin(); id != m_pastOrder.rend(); ++id) {
        if (inventory.recentlyEnded.size() == maxReportedEnded)
            break;
        if (m_past.at(*id).everStarted)
            inventory.recentlyEnded.push_back(*id);
    }
    sendToPlanner(std::move(inventory));
    m_reportedUsage.clear();
    for (auto &[attempt, member] : m_members) {
        const bool recent = member.resultSentAt && now - *member.resultSentAt < taskListInterval;
        if (member.state() == member_state::Ended && (newLink || !recent))
            sendResult(member, now);
    }
    sendHeartbeat(now);
}

void agent_core::sendHeartbeat(time_point now)
{
    m_nextHeartbeat = now + agentHeartbeatInterval;
    if (!m_plannerLinkOpen || !m_listRead)
        return;
    heartbeat_message heartbeat;
    heartbeat.worker = m_options.worker.id;
    heartbeat.plannerEpoch = m_highestEpoch;
    heartbeat.sequence = ++m_heartbeatSequence;
    heartbeat.draining = m_draining;
    heartbeat.backendReachable = m_backendReachable;
    for (const auto &[attempt, member] : m_members) {
        if (!member.startSent)
            continue;
        ++heartbeat.partCount;
        // Reports the largest usage and the least progress of any task, since limits apply to each
        // task.
        resources used;
        double progress = 1;
        bool changed = false;
        for (const member_task &task : member.tasks) {
            resources &reported = m_reportedUsage[task.id];
            changed = changed || reported != task.used;
            reported = task.used;
            used.cores = std::max(used.cores, task.used.cores);
            used.memory = std::max(used.memory, task.used.memory);
            used.accelerators = std::max(used.accelerators, task.used.accelerators);
            progress = std::min(progress, task.progress);
        }
        if (changed)
            heartbeat.usage.push_back({attempt, used, progress});
    }
    sendToPlanner(std::move(heartbeat));
}

void agent_core::tick(time_point now)
{
    for (auto entry = m_members.begin(); entry != m_members.end();) {
        const gang_member &member = entry->second;
        const bool lapsed = member.state() == member_state::Held && member.holdExpired(now)
            && m_options.mechanisms.limitHolds;
        if (!lapsed) {
            ++entry;
            continue;
        }
        recordPast(entry->first, {false, false, member.gang().plannerEpoch});
        entry = m_members.erase(entry);
    }
    for (auto &[attempt, member] : m_members) {
        checkGang(member, now);
        const bool repeatStop = member.state() == member_state::Stopping
            && now - member.stopCalledAt >= taskLeaseRenewal;
        if (repeatStop)
            requestStop(member, now);
        const bool repeatResult = member.state() == member_state::Ended && member.resultSentAt
            && now - *member.resultSentAt >= resultResendInterval;
        if (repeatResult)
            sendResult(member, now);
    }
    if (now >= m_nextPulse) {
        m_nextPulse = now + gangPulseInterval;
        for (auto &[attempt, member] : m_members) {
            if (member.startSent)
                sendPulse(member);
        }
    }
    if (now >= m_nextRenewal) {
        m_nextRenewal = now + taskLeaseRenewal;
        for (auto &[attempt, member] : m_members)
            renewLeases(member, now);
    }
    if (now >= m_nextList)
        requestList(now);
    if (now >= m_nextHeartbeat)
        sendHeartbeat(now);
}

std::vector<agent_action> agent_core::takeActions()
{
    return std::exchange(m_actions, {});
}

void agent_core::recordPast(const attempt_id &attempt, past_attempt past)
{
    const auto [entry, isNew] = m_past.emplace(attempt, past);
    entry->second.aborted = entry->second.aborted || past.aborted;
    entry->second.everStarted = entry->second.everStarted || past.everStarted;
    entry->second.plannerEpoch = std::max(entry->second.plannerEpoch, past.plannerEpoch);
    if (!isNew)
        return;
    m_pastOrder.push_back(attempt);
    if (m_pastOrder.size() <= maxPastAttempts)
        return;
    m_past.erase(m_pastOrder.front());
    m_pastOrder.pop_front();
}

const agent_core::past_attempt *agent_core::findPast(const attempt_id &attempt) const
{
    const auto found = m_past.find(attempt);
    return found == m_past.end() ? nullptr : &found->second;
}

void agent_core::sendToPlanner(message content)
{
    if (m_plannerLinkOpen)
        m_actions.emplace_back(send_to_planner{std::move(content)});
}

} // namespace goldcrest
