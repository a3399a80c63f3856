#pragma once

// An agent's state of one attempt on its worker, from the hold until the result is stored. On the
// leader's worker it also collects the pulses (heartbeats) of the gang's other members.
// agent_core.h owns the members and acts on their state.
//
//   gang_member member(hold.gang, now, hold.lifetime);
//   if (member.holdExpired(now)) ...
//   member.notePulse("w2", pulse, link, now);
//   if (member.liveness(now) == gang_liveness::Broken) ...

#include "goldcrest/backend_server.h"
#include "goldcrest/messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace goldcrest {

// Time that a gang may run without a confirmation, and after which the leader treats a member that
// sends no pulse as failed.
constexpr duration gangLease = 10s;
constexpr duration gangPulseInterval = 2s;
constexpr duration taskLease = 10s;

enum class member_state { Held, Starting, Running, Stopping, Ended };

// The leader's knowledge about its gang. Unknown: no member has failed, but some have sent no pulse
// since this process started.
enum class gang_liveness { Unknown, Alive, Broken };

struct member_task
{
    std::string id;
    std::int32_t index = 0; // within the gang
    bool started = false; // the backend server is known to have the task
    bool ended = false;
    // Number of the event in which its start was answered; 0: before this process.
    std::optional<std::uint64_t> startAnswered;
    task_state state = task_state::Running;
    std::string output;
    double progress = 0;
    double checkpointed = 0; // share of the work that the last checkpoint keeps
    resources used;
};

class gang_member
{
public:
    // Creates a member in state Held, which waits for its start until the hold expires.
    gang_member(gang_info gang, time_point now, duration holdLifetime);

    // Returns a running member whose tasks were found at the backend server after a restart.
    static gang_member adopted(gang_info gang, time_point now);

    bool holdExpired(time_point now) const { return now >= m_holdUntil; }
    bool isLeader() const { return m_gang.leader == m_gang.own.worker; }
    bool hasPeers() const { return m_gang.members > 1; }
    bool usesWorker() const { return m_state != member_state::Ended; }
    const gang_info &gang() const { return m_gang; }
    resources reserved() const { return m_gang.spec.perTask * m_gang.own.tasks; }

    // Enters state Starting before the start calls are sent. The gang counts as confirmed at `now`.
    void beginStart(time_point now);

    // Leader only: records a member's pulse and the link that it arrived on.
    void notePulse(const gang_pulse_message &pulse, std::uint64_t link, time_point now);

    // Leader only: evaluates the pulses. Broken if a member reported a failure, or has not ended
    // and sent no pulse for gangLease.
    gang_liveness liveness(time_point now) const;

    // Records that all members were alive at `now`.
    void confirm(time_point now) { m_confirmedAt = now; }

    // Returns how long the tasks may run without another confirmation; zero if the lease is over.
    duration remainingLease(time_point now) const;

    // Marks the gang as broken permanently.
    void markBroken() { m_broken = true; }
    bool isBroken() const { return m_broken; }

    // Returns the links that members' pulses arrived on, to notify them that the gang is broken.
    std::vector<std::uint64_t> peerLinks() const;

    bool allEnded() const;

    // Returns whether any task ended in the state.
    bool anyIn(task_state state) const;

    // Returns the task with the id, or nullptr.
    member_task *findTask(const std::string &id);

    // Returns the share of the work that the checkpoints of all tasks keep, 0 to 1.
    double checkpointed() const;

    std::vector<member_task> tasks;
    bool startSent = false; // a start call went to the backend server
    bool stopRequested = false;
    bool stopCheckpoint = false;
    time_point stopDeadline;
    time_point stopCalledAt;
    time_point startedAt;
    std::optional<time_point> resultSentAt;

    member_state state() const { return m_state; }
    void enter(member_state state) { m_state = state; }

private:
    struct peer
    {
        std::optional<time_point> lastPulseAt;
        bool ended = false;
        std::uint64_t link = 0;
    };

    void addTasks();

    gang_info m_gang;
    member_state m_state = member_state::Held;
    time_point m_holdUntil;
    std::optional<time_point> m_confirmedAt;
    bool m_broken = false;
    std::map<worker_id, peer> m_peers;
};

// Returns the id of a task at the backend server, unique per attempt, epoch and task.
std::string taskIdOf(const gang_info &gang, std::int32_t task);

} // namespace goldcrest
