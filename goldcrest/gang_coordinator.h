#pragma once

// The planner's state of one attempt of a job: the requests sent to each member's agent, the
// answers, and the collected results. It sends nothing itself; cell_planner.h sends the messages.
//
//   gang_coordinator gang(attempt, plannerEpoch, spec, parts);
//   gang.member("w1")->held = true;
//   if (gang.allHeld()) ...
//   if (gang.noteFinished(received) && gang.allOver()) finish(gang.collectResults());

#include "goldcrest/messages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace goldcrest {

enum class gang_phase {
    Waiting, // placed, but the planner may not start work at the moment
    Holding,
    WritingIntent,
    Starting,
    Running,
    Stopping, // asked to stop within the job's stop time
    Aborting, // asked to stop at once, or to never start
    Recovering, // found by a new planner in a job record or an agent's inventory
};

// Reassembles the output of one task from pieces that arrive in any order and more than once.
class output_assembly
{
public:
    // Adds a piece. A complete output whose size or digest does not match is discarded and
    // collected again.
    void add(const task_result &piece);
    bool isComplete() const { return m_complete; }
    bool succeeded() const { return m_result.succeeded; }
    // Returns the result with the output assembled so far; complete only if isComplete().
    const task_result &whole() const { return m_result; }

private:
    void finish();

    task_result m_result;
    std::map<std::uint64_t, std::string> m_outOfOrder; // pieces after a gap, by offset
    bool m_hasPieces = false;
    bool m_complete = false;
};

struct member_status
{
    gang_part part;
    bool tasksKnown = true; // whether part's tasks are known; an intent names only the worker
    bool holdRequested = false;
    bool held = false;
    std::optional<failure> refused; // of a hold or a start
    bool startSent = false; // this planner, or possibly an earlier one, sent a start
    bool started = false;
    bool neverStarted = false; // its agent proved that no task started or will start
    bool abortAnswered = false; // its agent confirmed the abort and refuses the attempt from now on
    bool finished = false; // all its results have arrived
    bool stopped = false; // finished by a stop
    bool gone = false; // the worker is lost, or no longer has the tasks
    double progress = 0;
    std::map<std::int32_t, output_assembly> outputs; // by task

    // Returns whether no task of the attempt runs on the worker, now or later.
    bool isOver() const { return neverStarted || finished || gone || !startSent; }
};

class gang_coordinator
{
public:
    // @param attemptEpoch epoch of the planner that placed the attempt
    gang_coordinator(attempt_id attempt, epoch attemptEpoch, const job_spec &spec,
                     const std::vector<gang_part> &parts);

    // Returns an attempt of an earlier planner, of which only the workers are known, in the phase
    // Recovering.
    static gang_coordinator recovered(attempt_id attempt, epoch attemptEpoch, const job_spec &spec,
                                      const std::vector<worker_id> &workers);

    const attempt_id &attempt() const { return m_attempt; }
    epoch attemptEpoch() const { return m_attemptEpoch; }
    std::vector<gang_part> parts() const;
    std::vector<worker_id> workers() const;
    bool contains(const worker_id &worker) const;

    // Returns the member on the worker, or nullptr.
    member_status *member(const worker_id &worker);
    const std::map<worker_id, member_status> &members() const { return m_members; }
    std::map<worker_id, member_status> &members() { return m_members; }

    // Returns the gang data to send to one member, which must be part of the gang.
    // @param leaderAddress address of the agent on the leader's worker
    gang_info infoFor(const worker_id &worker, std::string_view cell,
                      const std::string &leaderAddress) const;

    // Returns the worker that runs task 0, or an empty id.
    worker_id leader() const;

    // Records a running or finished part that an agent's inventory reported.
    void noteReportedPart(const running_part &reported);

    // Records pieces of results. Returns false if they do not belong to this attempt.
    bool noteFinished(const task_finished_message &received);

    bool allHeld() const;
    bool allStarted() const;
    bool allOver() const;
    bool
    allReportedStarted() const; // all tasks of the job are known, were started and are not lost
    bool allSucceeded() const;
    bool anyStartSent() const;

    // Returns whether no member can have run a task: it was sent no start, or its agent proved that
    // nothing started.
    bool provenNeverStarted() const;

    // Returns whether every member stopped with a checkpoint.
    bool allCheckpointed() const;

    // Return a member whose task failed, and one that refused a hold or a start; empty if there is
    // none.
    worker_id failedMember() const;
    worker_id refusingMember() const;

    // Returns the share of the work that checkpoints keep, 0 to 1: the least over all members.
    double progress() const;

    // Returns the complete results, in task order.
    std::vector<task_result> collectResults() const;

    gang_phase phase = gang_phase::Waiting;
    time_point phaseSince;
    time_point holdSentAt;
    time_point lastSentAt; // time of the last message that is repeated until it is answered
    bool startWanted = false; // true while the intent for a start is being written
    duration ranFor = 0ms; // longest run time that an inventory reported

private:
    attempt_id m_attempt;
    epoch m_attemptEpoch;
    job_spec m_spec; // without the payload
    std::map<worker_id, member_status> m_members;
};

} // namespace goldcrest
