#pragma once

// Serves callers' requests for graph jobs: finds the queue, checks the API key, stores submissions
// and cancellations, and answers status queries.
//
//   graph_front front(loop, store, options, [&](const message &m) { return finder.send(m); });
//   front.setView(view);                 // each time the configuration is confirmed
//   auto admitted = front.admit(host, path, key);
//   front.submit(job, [](result<done> outcome) { ... });
//
// With admission control, a job that would certainly start too late to be of use is refused
// (admission_policy.h). A fence in the store (admission_fences.h) then keeps earlier submissions of
// the same job from taking effect, and a job that is stored already is not refused.
//
// A submission succeeds once the job is stored. Only the failures that submit() names as such mean
// that the job will never run. Status queries go to the planner first, and to the store if no
// planner answers. The planner is also notified of stored jobs; if the notification is lost, it
// finds the job in the store.

#include "goldcrest/admission_policy.h"
#include "goldcrest/event_loop.h"
#include "goldcrest/graph_job.h"
#include "goldcrest/messages.h"
#include "goldcrest/platform_store.h"
#include "goldcrest/queue_catalogue.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrest {

struct graph_front_options
{
    // Maximum age of the configuration for requests that need a key. A revoked key must stop
    // working within 5 s; the difference covers requests that are already in progress.
    duration keyFreshness = 4s;
    // A front whose configuration is older than this reports itself as not ready, so that callers
    // use another one. The configuration is read every 0.6 s, so two reads have failed by then.
    duration readyFreshness = 1500ms;
    // Upper bounds of store calls made for a caller. If the store is unreachable, the caller gets
    // the error early enough to try another front. A store that is 100 times slower than usual
    // still answers in time.
    duration submitDeadline = 900ms;
    duration readDeadline = 1200ms;
    // These calls may also take at most this share of the caller's remaining time. A failed
    // submission must leave time for a retry elsewhere; a read needs no such reserve.
    double submitShare = 0.4;
    double readShare = 0.8;
    // An answer of the planner that comes this long after the last confirmation of this process's
    // configuration shows that the store serves others: a planner answers for at most 1.3 s after
    // its last contact with the store, and the configuration is read every 0.6 s.
    duration plannerProof = 2s;
    // Such an answer counts for this long.
    duration plannerProofLifetime = 1s;
    // Pause for callers that were refused because of a failure that may concern all processes. By
    // then the load balancer has noticed which ones refuse requests.
    std::chrono::seconds retryPause{1};
    // Size of the largest record of a job that the store accepts.
    std::size_t maxRecordBytes = 1'048'576;
    // Timeout of a query to the planner, which normally answers within milliseconds. After it, the
    // store is read instead.
    duration queryTimeout = 250ms;
    std::string name = "front"; // of this process, unique among the fronts
    // Rate of cancellations of jobs that the store does not have; each leaves a fence for 40 s at
    // most. Further ones are rejected at once.
    double cancelFencesPerSecond = 20;
    bool admission = false; // refuse jobs that would certainly start too late
    // Called with the priority of each job that was refused so; may be empty.
    std::function<void(std::int32_t priority)> onRefused;
};

struct submit_outcome
{
    result<done> stored;
    // Set only if this front has refused the job, with NoTimelyCapacity. No error of the store
    // means that.
    std::optional<std::chrono::seconds> retryAfter = std::nullopt;
};

// The target of a caller's request, as admit() resolved it.
struct admitted_request
{
    const queue_entry *queue = nullptr; // valid until the next setView()
    team_id team; // empty for a public queue
    std::string jobId; // the rest of the path; empty: the queue itself
};

class graph_front
{
public:
    // @param send sends a message to the planner; returns false if no planner is connected
    graph_front(event_loop &loop, platform_store &store, const graph_front_options &options,
                std::function<bool(const message &)> send);
    ~graph_front();
    graph_front(const graph_front &) = delete;
    graph_front &operator=(const graph_front &) = delete;

    // Replaces the configuration that requests are checked against.
    void setView(const operator_view &view);
    const operator_view &view() const;

    // Sets graph_front_options::keyFreshness, for changed settings.
    void setKeyFreshness(duration keyFreshness);

    // Sets graph_front_options::admission, for changed settings.
    void setAdmission(bool isOn);

    // The link to the planner of this epoch has opened; 0: it has closed.
    void onPlanner(epoch number);

    // Handles the planner's outlook.
    void onOutlook(const admission_outlook_message &outlook);

    // Handles the detail of the planner's next outlook.
    void onDetail(const admission_detail_message &detail);

    // Returns whether the planner should be asked for outlooks: admission control is on, and none
    // has arrived lately.
    bool needsOutlook() const;

    // Returns the age of the current planner's last outlook, or nothing if there is none.
    std::optional<duration> outlookAge() const;

    // Handles the planner's reply to a query.
    void onReply(const graph_reply_message &reply);

    // Finds the queue of a request and checks its key.
    // Errors: StaleConfiguration if no configuration is known or it was confirmed too long ago,
    // NotFound if no queue matches, Unauthorized if the key is unknown.
    result<admitted_request> admit(std::string_view host, std::string_view path,
                                   std::string_view key) const;

    // Stores a job. If a job with this id is already stored, it is left unchanged and the call
    // succeeds. Errors: StoreUnavailable, StoreOverBudget: the job was not stored.
    // StoreValueTooLarge: the job's record would grow larger than the store accepts; the job was
    // not stored. NoTimelyCapacity: it is not stored, and no earlier submission of it will be.
    // OutcomeUnknown, and any other: the job may have been stored.
    // @param timeLeft how long the caller still waits, here and below
    void submit(const graph_job &job, duration timeLeft,
                std::function<void(const submit_outcome &)> callback);

    // Gives the state of a job.
    // Errors: UnknownRequest, PlannerUnreachable if neither planner nor store answers.
    void stateOf(const std::string &id, duration timeLeft,
                 std::function<void(result<graph_job_state>)> callback);

    // Stores a request to cancel a job. The planner stops its runs later.
    // Errors: UnknownRequest: there is no such job, and no earlier submission can bring it.
    // OutcomeUnknown if the request may have been stored. StoreUnavailable, StoreOverBudget.
    void cancel(const std::string &id, duration timeLeft,
                std::function<void(result<done>)> callback);

    // Gives the number of accepted jobs of a queue that have not started any task.
    // Errors: PlannerUnreachable.
    void waitingIn(const std::string &queue, duration timeLeft,
                   std::function<void(result<std::int64_t>)> callback);

    // Returns when a caller that was refused should try again. If only this process is in trouble,
    // another one serves the caller at once.
    std::chrono::seconds retryAfter() const;

    // Reports the front as not ready from now on. Requests on open connections are still served.
    // Accepted jobs don't depend on this process.
    void drain();

    // Returns whether callers should use this front: it is not draining and its configuration is
    // fresh.
    bool isReady() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace goldcrest
