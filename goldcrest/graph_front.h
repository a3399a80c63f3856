#pragma once

// The callers' side of graph jobs: routing, keys, durable acceptance, state, cancelling.
//
//   graph_front front(loop, store, options, [&](const message &m) { return finder.send(m); });
//   front.setView(view);                        // each time the configuration was confirmed
//   auto admitted = front.admit(host, path, key);
//   front.submit(job, [](result<done> outcome) { ... });
//
// A submission succeeds once the job is stored; all failures but OutcomeUnknown mean that it never
// runs. The planner is asked for states, and the store if no planner answers. It is also told of
// what was stored; if that is lost, it finds it in the store.

#include "goldcrest/event_loop.h"
#include "goldcrest/graph_job.h"
#include "goldcrest/messages.h"
#include "goldcrest/platform_store.h"
#include "goldcrest/queue_catalogue.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace goldcrest {

struct graph_front_options
{
    // A key that was taken away must stop working within 5 s; a view that was confirmed longer ago
    // than this admits no request with a key. The rest covers a request that is under way.
    duration keyFreshness = 4s;
    // A front whose view is older reports itself as not ready, so that callers go elsewhere.
    // Reads come each 0.6 s, so two of them have failed by then.
    duration readyFreshness = 1500ms;
    // Bounds of calls to the store for a caller. A caller whose front is cut off is told so while
    // it has time for a try at another one; a store that is 100 times slower still answers in it.
    duration submitDeadline = 900ms;
    duration readDeadline = 1200ms;
    // Shares of the time that a caller still waits, which bound these calls too. A submission that
    // fails must leave time for another try; a read has no use for it.
    double submitShare = 0.4;
    double readShare = 0.8;
    // A planner answers within milliseconds; then the store is asked.
    duration queryTimeout = 250ms;
};

// What a request of a caller is about.
struct admitted_request
{
    const queue_entry *queue = nullptr; // valid until the next setView()
    team_id team; // empty for a public queue
    std::string jobId; // the path after the prefix; empty: the queue itself
};

class graph_front
{
public:
    // @param send gives a message to the planner; returns false if none is connected
    graph_front(event_loop &loop, platform_store &store, const graph_front_options &options,
                std::function<bool(const message &)> send);
    ~graph_front();
    graph_front(const graph_front &) = delete;
    graph_front &operator=(const graph_front &) = delete;

    void setView(const operator_view &view);
    const operator_view &view() const;

    // Takes the planner's answer to a question.
    void onReply(const graph_reply_message &reply);

    // Finds the queue and checks the key.
    // Errors: StaleConfiguration if no configuration is known or its confirmation is too old,
    // NotFound, Unauthorized.
    result<admitted_request> admit(std::string_view host, std::string_view path,
                                   std::string_view key) const;

    // Stores a job. A job with this id that is stored already stays as it is, and the call
    // succeeds. Errors: StoreUnavailable, StoreOverBudget: not stored. OutcomeUnknown: it
    // may be.
    // @param timeLeft how long the caller still waits, here and below
    void submit(const graph_job &job, duration timeLeft,
                std::function<void(result<done>)> callback);

    // Errors: UnknownRequest, PlannerUnreachable if neither planner nor store answers.
    void stateOf(const std::string &id, duration timeLeft,
                 std::function<void(result<graph_job_state>)> callback);

    // Errors: UnknownRequest, OutcomeUnknown, StoreUnavailable.
    void cancel(const std::string &id, duration timeLeft,
                std::function<void(result<done>)> callback);

    // Gives the number of accepted jobs of a queue of which no task has started.
    // Errors: PlannerUnreachable.
    void waitingIn(const std::string &queue, duration timeLeft,
                   std::function<void(result<std::int64_t>)> callback);

    // Reports itself as not ready from now on. Requests on open connections are still served: an
    // accepted job needs nothing of this process.
    void drain();

    bool isReady() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace goldcrest
