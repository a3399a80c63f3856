#pragma once

// The decisions of an agent, the sole gateway to its backend server: fencing by epoch, holds, task
// leases, gang liveness, drain and delivery of results. No sockets and no clock.
//
//   agent_core core(options);
//   core.begin(now);                                // asks for the backend server's task list
//   core.plannerMessage(received, now);
//   for (agent_action &action : core.takeActions()) ...
//
// tick() runs at least every 500 ms. No inventory is sent and nothing is held before the backend
// server's task list was read, so that a restarted agent reports what runs.

#include "goldcrest/gang_member.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace goldcrest {

constexpr duration agentHeartbeatInterval = 2s;
constexpr duration agentTickInterval = 250ms;
constexpr duration taskLeaseRenewal = 2s;
constexpr duration taskListInterval = 1s;

// A result without an answer is sent again after this time.
constexpr duration resultRepeatInterval = 5s;

// Output bytes in one message; well below maxFrameBytes so that other messages are not delayed.
constexpr std::size_t resultPieceBytes = 256 * 1024;

struct send_to_planner
{
    message content;
};

struct send_to_agent
{
    std::string address;
    message content;
};

// Answers on the link on which another agent's pulse came.
struct answer_agent
{
    std::uint64_t link = 0;
    message content;
};

struct start_task
{
    std::string id;
    gang_info gang;
    std::string payload;
    resources reserved;
    duration lease = taskLease;
    double resumeFrom = 0;
};

struct stop_task
{
    std::string id;
    bool checkpoint = false;
    duration within = 0ms;
};

struct renew_tasks
{
    std::vector<std::string> ids;
    duration lease = taskLease;
};

struct throttle_task
{
    std::string id;
    resources limit;
};

struct list_tasks
{ };

struct forget_task
{
    std::string id;
};

using agent_action = std::variant<send_to_planner, send_to_agent, answer_agent, start_task,
                                  stop_task, renew_tasks, throttle_task, list_tasks, forget_task>;

// A task of the backend server with its decoded metadata.
struct listed_task
{
    backend_task task;
    gang_info gang;
};

// Switches that tests use to show that a check fails without the mechanism.
struct agent_mechanisms
{
    bool fenceEpochs = true;
    bool limitHolds = true;
    bool gangPulses = true;
};

struct agent_options
{
    worker_info worker;
    std::string cell;
    agent_mechanisms mechanisms;
};

struct agent_counters
{
    std::uint64_t fencedMessages = 0; // refused since their epoch was below the highest seen
};

class agent_core
{
public:
    explicit agent_core(agent_options options);

    void begin(time_point now);

    // The backend server announced itself; it repeats this.
    void backendAnnounced(const resources &capacity, std::int32_t slots, time_point now);

    // The backend server's graceful shutdown, or the agent's own, began or ended.
    void drainChanged(bool draining, time_point now);

    // Answers of the backend server.
    void backendStarted(const std::string &id, const result<done> &answer, time_point now);
    void backendListed(const result<std::vector<listed_task>> &answer, time_point now);

    // The link to the planner opened or closed. `known` is the epoch that the entry named.
    void plannerOpened(epoch known, time_point now);
    void plannerClosed();
    void plannerMessage(const message &received, time_point now);

    // A message of another agent, on an incoming link or as an answer (then `link` is 0).
    void agentMessage(std::uint64_t link, const message &received, time_point now);

    void tick(time_point now);

    std::vector<agent_action> takeActions();

    // Returns whether no attempt is held, runs or has a result that is not stored.
    bool isIdle() const { return m_members.empty(); }
    bool isBackendReachable() const { return m_backendReachable; }
    const agent_counters &counters() const { return m_counters; }
    epoch highestEpoch() const { return m_highestEpoch; }
    const std::map<attempt_id, gang_member> &members() const { return m_members; }
    const worker_info &worker() const { return m_options.worker; }

private:
    // Memory of an attempt that has left the worker.
    struct past_attempt
    {
        bool aborted = false;
        bool everStarted = false;
        epoch plannerEpoch = 0; // highest that named the attempt
    };

    void handle(const hold_message &hold, time_point now);
    void handle(const start_message &start, time_point now);
    void handle(const abort_message &abort, time_point now);
    void handle(const stop_message &stop, time_point now);
    void handle(const throttle_message &throttle, time_point now);
    void handle(const result_stored_message &stored, time_point now);
    void handle(const heartbeat_ack_message &ack, time_point now);
    template<typename other>
    void handle(const other &, time_point)
    { }

    bool acceptEpoch(epoch number);
    std::optional<failure> refusalOfHold(const hold_message &hold, time_point now);
    bool isProvenUnstarted(const attempt_id &attempt) const;
    std::optional<failure> refusalOfStart(const start_message &start, time_point now);
    void startTasks(gang_member &member, const start_message &start, time_point now);
    void stopMember(gang_member &member, bool checkpoint, duration within, time_point now);
    void callStop(gang_member &member, time_point now);
    void updateTask(const listed_task &listed, time_point now);
    void adopt(const std::vector<listed_task> &tasks, time_point now);
    void noteMissing(gang_member &member, const std::vector<listed_task> &tasks);
    void settle(gang_member &member, time_point now);
    void checkGang(gang_member &member, time_point now);
    void sendPulse(gang_member &member);
    void tellBroken(const gang_member &member);
    void renew(gang_member &member, time_point now);
    void sendResult(gang_member &member, time_point now);
    void sendInventory(time_point now, bool newLink = false);
    void sendHeartbeat(time_point now);
    void requestList(time_point now);
    void remember(const attempt_id &attempt, past_attempt past);
    const past_attempt *past(const attempt_id &attempt) const;
    void toPlanner(message content);

    agent_options m_options;
    std::map<attempt_id, gang_member> m_members;
    std::map<attempt_id, past_attempt> m_past;
    std::deque<attempt_id> m_pastOrder;
    std::map<std::string, resources> m_reportedUsage; // by task id
    std::vector<agent_action> m_actions;
    epoch m_highestEpoch = 0;
    agent_counters m_counters;
    bool m_plannerOpen = false;
    bool m_draining = false;
    bool m_listed = false; // the task list was read at least once
    bool m_backendReachable = false;
    std::uint64_t m_heartbeatSequence = 0;
    std::optional<time_point> m_listIssued; // set while a list call is open
    time_point m_nextList;
    time_point m_nextHeartbeat;
    time_point m_nextPulse;
    time_point m_nextRenewal;
};

} // namespace goldcrest
