#pragma once

// Decision logic of an agent, the only process that calls its backend server: fencing of planners
// by epoch, holds, task leases, gang liveness, drain and delivery of results. It opens no sockets
// and reads no clock; the owner passes in events with the current time and executes the actions.
//
//   agent_core core(options);
//   core.begin(now);                                // requests the backend server's task list
//   core.plannerMessage(received, now);
//   for (const agent_action &action : core.takeActions()) ...
//
// The owner must call tick() at least every 500 ms. Until the backend server's task list has been
// read once, the agent sends no inventory and refuses holds, so that a restarted agent first finds
// the tasks that already run.

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
constexpr duration taskLeaseRenewal = 2s; // also the interval at which stop calls are repeated
constexpr duration taskListInterval = 1s;

// Time after which a result that the planner has not acknowledged is sent again.
constexpr duration resultResendInterval = 5s;

// Limit on the output bytes in one message. It is well below maxFrameBytes, so that a large result
// does not delay other messages on the link.
constexpr std::size_t maxResultPieceBytes = 256 * 1024;

struct send_to_planner
{
    message content;
};

struct send_to_agent
{
    std::string address;
    message content;
};

// Replies on the link on which another agent's pulse arrived.
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
{
    std::uint64_t call = 0; // to be passed on with the answer
};

struct forget_task
{
    std::string id;
};

// An action for the owner to execute: a message to send or a call to the backend server.
using agent_action = std::variant<send_to_planner, send_to_agent, answer_agent, start_task,
                                  stop_task, renew_tasks, throttle_task, list_tasks, forget_task>;

// A task of the backend server with its decoded metadata.
struct listed_task
{
    backend_task task;
    gang_info gang;
};

// Safety mechanisms. A test switches one off to show that its check detects the missing mechanism.
struct agent_mechanisms
{
    bool fenceEpochs = true; // refuse messages from a planner with an outdated epoch
    bool limitHolds = true; // drop a hold when its lifetime has ended
    bool gangPulses = true; // stop a gang when contact with one of its members is lost
};

struct agent_options
{
    worker_info worker;
    std::string cell;
    agent_mechanisms mechanisms;
};

struct agent_counters
{
    std::uint64_t fencedMessages = 0; // refused because their epoch was below the highest seen
};

class agent_core
{
public:
    explicit agent_core(agent_options options);

    // Requests the backend server's task list. Called once, before all other functions.
    void begin(time_point now);

    // The backend server announced its capacity and slots. It repeats the announcement.
    void backendAnnounced(const resources &capacity, std::int32_t slots, time_point now);

    // The graceful shutdown of the backend server, or of the agent itself, began or ended.
    void drainChanged(bool draining, time_point now);

    // The backend server answered a start call or a list call, or the call failed.
    void taskStartAnswered(const std::string &id, const result<done> &answer, time_point now);
    // @param call number of the list_tasks action that is answered
    void taskListAnswered(std::uint64_t call, const result<std::vector<listed_task>> &answer,
                          time_point now);

    // The link to the planner opened or closed. `known` is the epoch that the entry reported.
    void plannerLinkOpened(epoch known, time_point now);
    void plannerLinkClosed();
    void plannerMessage(const message &received, time_point now);

    // A message from another agent arrived, on an incoming link or as a reply on a link that this
    // agent opened (then `link` is 0).
    void agentMessage(std::uint64_t link, const message &received, time_point now);

    // Does the periodic work: expires holds, checks gangs, renews leases and repeats messages.
    void tick(time_point now);

    // Returns the actions since the last call, in the order in which to execute them.
    std::vector<agent_action> takeActions();

    // Returns whether no attempt is held or running and no result waits to be stored.
    bool isIdle() const { return m_members.empty(); }
    bool isBackendReachable() const { return m_backendReachable; }
    const agent_counters &counters() const { return m_counters; }
    epoch highestEpoch() const { return m_highestEpoch; }
    const std::map<attempt_id, gang_member> &members() const { return m_members; }
    const worker_info &worker() const { return m_options.worker; }

private:
    // What is remembered of an attempt that is no longer on the worker.
    struct past_attempt
    {
        bool aborted = false;
        bool everStarted = false;
        epoch plannerEpoch = 0; // highest epoch in a message about the attempt
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
    std::optional<failure> checkHold(const hold_message &hold, time_point now);
    bool isKnownUnstarted(const attempt_id &attempt) const;
    std::optional<failure> checkStart(const start_message &start, time_point now);
    void startTasks(gang_member &member, const start_message &start, time_point now);
    void stopMember(gang_member &member, bool checkpoint, duration within, time_point now);
    void requestStop(gang_member &member, time_point now);
    void updateTask(const listed_task &listed, time_point now);
    void adoptTasks(const std::vector<listed_task> &tasks, time_point now);
    void endMissingTasks(gang_member &member, const std::vector<listed_task> &tasks);
    void updateMember(gang_member &member, time_point now);
    void checkGang(gang_member &member, time_point now);
    void sendPulse(gang_member &member);
    void notifyBroken(const gang_member &member);
    void renewLeases(gang_member &member, time_point now);
    void sendResult(gang_member &member, time_point now);
    void sendInventory(time_point now, bool newLink = false);
    void sendHeartbeat(time_point now);
    void requestList(time_point now);
    void recordPast(const attempt_id &attempt, past_attempt past);
    const past_attempt *findPast(const attempt_id &attempt) const;
    void sendToPlanner(message content);

    agent_options m_options;
    std::map<attempt_id, gang_member> m_members;
    std::map<attempt_id, past_attempt> m_past;
    std::deque<attempt_id> m_pastOrder;
    std::map<std::string, resources> m_reportedUsage; // by task id
    std::vector<agent_action> m_actions;
    epoch m_highestEpoch = 0;
    agent_counters m_counters;
    bool m_plannerLinkOpen = false;
    bool m_draining = false;
    bool m_listRead = false; // the backend server's task list was read at least once
    bool m_backendReachable = false;
    std::uint64_t m_heartbeatSequence = 0;
    std::optional<time_point> m_listRequestedAt; // set while a list call is open
    std::uint64_t m_listCall = 0; // number of the last list call
    // Numbers list calls when they are made and starts when they are answered, in their order.
    std::uint64_t m_lastEvent = 0;
    time_point m_nextList;
    time_point m_nextHeartbeat;
    time_point m_nextPulse;
    time_point m_nextRenewal;
};

} // namespace goldcrest
