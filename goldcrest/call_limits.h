#pragma once

// Limits of calls to another process: a budget with priorities, a retry budget, a jittered backoff
// and a circuit breaker. All of them take the time as an argument.
//
//   call_budget budget(100, 50);                 // calls per second, burst
//   if (budget.take(call_priority::Normal, now)) send();
//   retry_budget retries;
//   retries.noteCall();                          // each first attempt earns a share of a retry
//   if (retries.take()) retryAfter(backoff.delayOf(attempt));

#include "goldcrest/clock.h"
#include "goldcrest/platform_store.h"

#include <cstdint>
#include <random>

namespace goldcrest {

// Token bucket. The last tokens are kept for calls of higher priority, so that urgent calls find
// one also when a burst of others has just used up the rest.
class call_budget
{
public:
    // @param perSecond calls per second in the long run
    // @param burst calls at once after a pause
    call_budget(double perSecond, double burst);

    // Takes a token. Returns false if none is left for this priority.
    bool take(call_priority priority, time_point now);

    // Takes a token without asking; the budget may go below zero.
    void force(time_point now);

    // Returns how long until take() can succeed.
    duration waitOf(call_priority priority, time_point now);

private:
    void refill(time_point now);
    double neededFor(call_priority priority) const;

    double m_perMs;
    double m_burst;
    double m_tokens;
    time_point m_refilledAt{};
    bool m_started = false;
};

// Allows retries as a share of first attempts, so that retries can't multiply the load of a service
// that is in trouble.
class retry_budget
{
public:
    // @param share retries per first attempt in the long run
    // @param most retries that can be saved up
    explicit retry_budget(double share = 0.2, double most = 20);

    void noteCall();
    bool take();

private:
    double m_share;
    double m_most;
    double m_saved;
};

// Exponential delays with jitter: uniform between half of the step and the step.
class jittered_backoff
{
public:
    jittered_backoff(duration first, duration longest, std::uint64_t seed);

    // Returns the delay before the retry that follows `failures` failures, from 1.
    duration delayOf(int failures);

private:
    duration m_first;
    duration m_longest;
    std::mt19937_64 m_random;
};

// Stops calls after several failures in a row, and lets one through as a probe after a pause that
// doubles while probes fail.
class circuit_breaker
{
public:
    circuit_breaker(int failuresToOpen, duration firstPause, duration longestPause);

    // Returns whether a call that is made now has a chance to be allowed.
    bool mayAllow(time_point now) const { return !m_isOpen || now >= m_probeAt; }

    // Returns whether a call may go out now. A call that is allowed while the breaker is open is
    // the probe; if its end is not reported within twice the longest pause, another one is allowed.
    bool allows(time_point now);

    void succeeded();
    void failed(time_point now);

    bool isOpen() const { return m_isOpen; }

private:
    int m_failuresToOpen;
    duration m_firstPause;
    duration m_longestPause;
    duration m_pause;
    int m_failures = 0;
    bool m_isOpen = false;
    bool m_isProbing = false;
    time_point m_probeAt{};
};

} // namespace goldcrest
