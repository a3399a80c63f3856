#pragma once

// Decides at a front whether a new job is accepted. A job is refused only if it would certainly be
// of no use: it could not start before its caller has no use for it any more. It does no I/O.
//
//   admission_policy policy;
//   policy.setPlanner(epoch);                       // on a new link to the planner; 0: none
//   policy.onDetail(detail);                        // if the planner sends it; before the outlook
//   policy.onOutlook(outlook, now);
//   const admission_decision decision = policy.decide(job, team, now);
//   if (decision.isRefused) ...                     // not before the store confirms it
//   policy.noteAccepted(job);
//
// Without a fresh outlook of the current planner, every job is accepted. So are the jobs for which
// a promise was made (guarantees) or which have no time of use (schedules, long-running steps).

#include "goldcrest/clock.h"
#include "goldcrest/graph_job.h"
#include "goldcrest/messages.h"
#include "goldcrest/queue_catalogue.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace goldcrest {

struct admission_policy_options
{
    // An outlook that is older says nothing any more. Planners send one every 0.5 s to 1 s.
    duration longestAge = 2s;
    // The expected wait is divided by this before it is compared. Declared run times are off by
    // half and more, and a planner may start later work first.
    double margin = 1.5;
    // Callers have a use for a job that takes up to this many times as long as its target.
    double lateFactor = 3;
    // Bounds of Retry-After. The lower one gives the fronts time to see that a repeated submission
    // follows the refusal (graph_front.h).
    std::chrono::seconds shortestPause{3};
    std::chrono::seconds longestPause{30};
};

struct admission_decision
{
    bool isRefused = false;
    std::string_view reason; // why it is accepted or refused
    duration expectedWait = 0ms; // least time to the start of the job, before the margin
    duration usefulWait = 0ms; // a job that starts later is of no use
    duration gangWait = 0ms; // because of the size of a gang; 0: it is not the longest
    duration ownWork = 0ms; // part of expectedWait that this front has accepted since the outlook
    duration outlookAge = 0ms;
    std::int64_t sequence = 0; // of the outlook
    std::chrono::seconds retryAfter{0}; // if refused
};

class admission_policy
{
public:
    explicit admission_policy(const admission_policy_options &options = {});

    // The front is connected to the planner of this epoch from now on; 0: to none. Outlooks of
    // other planners are forgotten.
    void setPlanner(epoch number);

    // Takes an outlook. One of another epoch, or one that was overtaken, is ignored.
    // @return whether it was taken
    bool onOutlook(const admission_outlook_message &outlook, time_point now);

    // Takes the detail of the next outlook. It is used with the outlook of the same sequence only.
    // Without it, as from planners of an earlier version, jobs of the same priority count as going
    // first whatever their target, and no bound by the size of a gang is known.
    void onDetail(const admission_detail_message &detail);

    // Decides about a job that arrives now.
    // @param team of the job, nullptr if its queue is public
    admission_decision decide(const graph_job &job, const queue_team *team, time_point now) const;

    // This front has stored a job that the last outlook does not contain.
    void noteAccepted(const graph_job &job);

    // Returns the age of the outlook of the current planner, or nothing if there is none.
    std::optional<duration> outlookAge(time_point now) const;

private:
    bool isWithinGuarantee(const graph_job &job, const queue_team *team) const;
    bool mayStartNow(const graph_job &job, const service_outlook &service) const;
    duration acceptedAhead(const graph_job &job, const queue_outlook &queue) const;
    duration leastTarget(const graph_job &job, const queue_outlook &queue) const;
    duration delayOfTeam(const graph_job &job, const queue_outlook &queue) const;
    duration delayOfGang(const graph_job &job) const;
    const queue_outlook *findQueue(std::string_view name) const;
    const service_outlook *findService(std::string_view name) const;
    std::chrono::seconds pauseFor(std::string_view id, duration excess) const;

    admission_policy_options m_options;
    epoch m_epoch = 0;
    std::optional<admission_outlook_message> m_outlook;
    std::optional<admission_detail_message> m_nextDetail; // of an outlook that is yet to arrive
    std::optional<admission_detail_message> m_detail; // of m_outlook
    time_point m_receivedAt{};
    // Work that was accepted since the outlook, as the time that the service needs for it, by
    // service, priority, team, and the class of its target.
    std::map<std::tuple<std::string, std::int32_t, team_id, std::size_t>, duration> m_accepted;
};

} // namespace goldcrest
