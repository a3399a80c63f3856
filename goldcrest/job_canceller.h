#pragma once

// Cancels jobs in the store. Either the cancellation is stored with the job, or a fence
// (admission_fences.h) keeps submissions of it that are still on their way from taking effect.
//
//   job_canceller canceller(loop, store, fences, 20);
//   canceller.cancel(id, 900ms, [](const result<cancel_outcome> &outcome) { ... });
//
// That the store has no such job does not prove that there will be none: it may carry a write out
// up to 15 s after it was sent. So no job is reported as unknown without a fence.
//
// A cancellation is stored only for the job that was read. If the store carries it out late, it
// does not apply to another job that has the same id.

#include "goldcrest/admission_fences.h"
#include "goldcrest/clock.h"
#include "goldcrest/event_loop.h"
#include "goldcrest/outcome.h"
#include "goldcrest/platform_store.h"

#include <functional>
#include <memory>
#include <string>

namespace goldcrest {

struct cancel_outcome
{
    bool isKnown = false; // false: there is no such job, and no earlier submission can bring it
    store_revision at = 0;
};

class job_canceller
{
public:
    /// @param loop, store, fences must outlive the canceller
    /// @param fencesPerSecond rate of cancellations of unknown jobs; twice as many may come at
    ///        once. Each leaves a key in the store until its lease ends, 40 s later at most.
    job_canceller(event_loop &loop, platform_store &store, admission_fences &fences,
                  double fencesPerSecond);
    ~job_canceller();
    job_canceller(const job_canceller &) = delete;
    job_canceller &operator=(const job_canceller &) = delete;

    /// Cancels a job, or makes sure that there is none.
    /// @param callTime bound of each call to the store, in milliseconds; the whole takes at most
    ///        twice as long
    /// @param callback gets the outcome, or a failure that says nothing about the job:
    ///        StoreUnavailable, StoreOverBudget: nothing was written.
    ///        OutcomeUnknown: the cancellation may have been stored.
    void cancel(const std::string &id, duration callTime,
                std::function<void(const result<cancel_outcome> &)> callback);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace goldcrest
