#pragma once

// One attempt on one worker, from its hold until its result is stored, and on the leader's worker
// the collection of the gang's pulses. agent_core.h owns the members and acts on their state.
//
//   gang_member member(hold.gang, now, hold.lifetime);
//   if (member.holdExpired(now)) ...
//   member.notePulse("w2", pulse, link, now);
//   if (member.wholeness(now) == gang_wholeness::Broken) ...

#include "goldcrest/backend_server.h"
#include "goldcrest/messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace goldcrest {

constexpr duration gangLease = 10s;
constexpr duration gangPulseInterval = 2s;
constexpr duration taskLease = 10s;

enum class member_state { Held, Starting, Running, Stopping, Ended };

// What the leader's agent knows about its gang. Unknown: not all members were heard since this
// process started, and none of them failed.
enum class gang_wholeness { Unknown, Whole, Broken };

struct member_task
{
    std::string id;
    std::int32_t index = 0; // within the gang
    bool started = false; // the backend server is known to have it
    bool ended = false;
    std::optional<time_point> startAnswered;
    task_state state = task_state::Running;
    std::string output;
    double progress = 0;
    double checkpointed = 0;
    resources used;
};

class gang_member
{
public:
    // A member that waits for its start.
    gang_member(gang_info gang, time_point now, duration holdLifetime);

    // A member whose tasks were found at the backend server.
    static gang_member adopted(gang_info gang, time_point now);

    bool holdExpired(time_point now) const { return now >= m_holdUntil; }
    bool isLeader() const { return m_gang.leader == m_gang.own.worker; }
    bool hasPeers() const { return m_gang.members > 1; }
    bool usesWorker() const { return m_state != member_state::Ended; }
    const gang_info &gang() const { return m_gang; }
    resources reserved() const { return m_gang.spec.perTask * m_gang.own.tasks; }

    // Notes that the start calls go out; the gang counts as confirmed from now.
    void beginStart(time_point now);

    // Leader only: a member's pulse arrived.
    void notePulse(const gang_pulse_message &pulse, std::uint64_t link, time_point now);

    // Leader only: what the pulses say.
    gang_wholeness wholeness(time_point now) const;

    // The gang was whole at `now`.
    void confirm(time_point now) { m_confirmedAt = now; }

    // Returns how long the tasks may run without another confirmation.
    duration confirmedFor(time_point now) const;

    // Marks the gang as broken for good.
    void markBroken() { m_broken = true; }
    bool isBroken() const { return m_broken; }

    // Links on which members' pulses came, to tell them that the gang is broken.
    std::vector<std::uint64_t> peerLinks() const;

    bool allEnded() const;
    bool anyIn(task_state state) const;
    member_task *findTask(const std::string &id);

    // Share of the work that the checkpoints of all tasks keep.
    double checkpointed() const;

    std::vector<member_task> tasks;
    bool startSent = false; // a start call went to the backend server
    bool stopWanted = false;
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
        std::optional<time_point> heardAt;
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
