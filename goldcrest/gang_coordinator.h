#pragma once

// The planner's view of one attempt of a job: what each member's agent was asked and answered, and
// the collected results. cell_planner.h sends the messages.
//
//   gang_coordinator gang(attempt, plannerEpoch, spec, parts);
//   gang.noteHold("w1", refused);
//   if (gang.allHeld()) ...
//   if (gang.noteFinished(received) && gang.allOver()) finish(gang.collectResults());

#include "goldcrest/messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace goldcrest {

enum class gang_phase {
    Waiting, // placed, but the planner may not start anything now
    Holding,
    WritingIntent,
    Starting,
    Running,
    Stopping, // asked to stop within the job's stop time
    Aborting, // asked to stop at once, or to never start
    Recovering, // found in a record or an inventory by a new planner
};

// Puts the pieces of one task's output together, in any order and with duplicates.
class output_assembly
{
public:
    // Takes a piece. A whole output whose digest differs is dropped and collected again.
    void add(const task_result &piece);
    bool isComplete() const { return m_complete; }
    bool succeeded() const { return m_whole.succeeded; }
    const task_result &whole() const { return m_whole; }

private:
    void finish();

    task_result m_whole;
    std::map<std::uint64_t, std::string> m_early; // pieces after a gap, by offset
    bool m_begun = false;
    bool m_complete = false;
};

struct member_view
{
    gang_part part;
    bool rangeKnown = true; // false while only the worker is known, from an intent
    bool holdAsked = false;
    bool held = false;
    std::optional<failure> refused; // of a hold or a start
    bool startSent = false; // a start was sent, by this planner or perhaps by an earlier one
    bool started = false;
    bool neverStarted = false; // its agent proved that nothing started and nothing will
    bool abortAnswered = false; // its agent refuses the attempt from now on
    bool finished = false; // all its results have arrived
    bool stopped = false; // finished by a stop
    bool gone = false; // its worker is lost, or has lost the tasks
    double progress = 0;
    std::map<std::int32_t, output_assembly> outputs; // by task

    // Nothing of the attempt runs on the worker any more, or ever will.
    bool isOver() const { return neverStarted || finished || gone || !startSent; }
};

class gang_coordinator
{
public:
    gang_coordinator(attempt_id attempt, epoch birthEpoch, const job_spec &spec,
                     const std::vector<gang_part> &parts);

    // An attempt of an earlier planner, of which only the workers are known.
    static gang_coordinator recovered(attempt_id attempt, epoch birthEpoch, const job_spec &spec,
                                      const std::vector<worker_id> &workers);

    const attempt_id &attempt() const { return m_attempt; }
    epoch birthEpoch() const { return m_birthEpoch; }
    std::vector<gang_part> parts() const;
    std::vector<worker_id> workers() const;
    bool contains(const worker_id &worker) const;
    member_view *member(const worker_id &worker);
    const std::map<worker_id, member_view> &members() const { return m_members; }
    std::map<worker_id, member_view> &members() { return m_members; }

    // Returns the gang data for one member. `addressOf` gives the address of the leader.
    gang_info infoFor(const worker_id &worker, std::string_view cell,
                      const std::string &leaderAddress) const;
    worker_id leader() const;

    // Notes a running or finished part that an inventory reported.
    void noteSeen(const running_part &seen);

    // Takes a piece of results. Returns false if it does not belong to this attempt.
    bool noteFinished(const task_finished_message &received);

    bool allHeld() const;
    bool allStarted() const;
    bool allOver() const;
    bool allSeen() const; // every member was started, with known tasks, and none is gone
    bool allSucceeded() const;
    bool anyStartSent() const;

    // No member can have run anything: no start was sent, or every agent proved it.
    bool provenNeverStarted() const;

    // Every member stopped with a checkpoint.
    bool allCheckpointed() const;

    // Returns a member whose task failed, or one that refused; empty if there is none.
    worker_id failedMember() const;
    worker_id refusingMember() const;

    // Share of the work that checkpoints keep.
    double progress() const;

    // Returns the results of all tasks in task order.
    std::vector<task_result> collectResults() const;

    gang_phase phase = gang_phase::Waiting;
    time_point phaseSince;
    time_point holdSentAt;
    time_point lastSentAt; // of the last message that is repeated until it is answered
    bool startWanted = false; // set while the intent is written for a start
    duration ranFor = 0ms;

private:
    attempt_id m_attempt;
    epoch m_birthEpoch;
    job_spec m_spec; // without the payload
    std::map<worker_id, member_view> m_members;
};

} // namespace goldcrest
