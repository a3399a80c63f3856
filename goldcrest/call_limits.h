#pragma once

// Client-side limits for calls to another process: a rate limit with priorities, a retry budget,
// exponential backoff with jitter, and a circuit breaker. None of them reads a clock; the caller
// passes the time.
//
//   call_budget budget(100, 50);                 // calls per second, burst
//   if (budget.take(call_priority::Normal, now)) send();
//   retry_budget retries;
//   retries.recordCall();                        // each first attempt earns a share of a retry
//   if (retries.take()) retryAfter(backoff.delayOf(failures));

#include "goldcrest/clock.h"
#include "goldcrest/platform_store.h"

#include <cstdint>
#include <random>

namespace goldcrest {

// Token bucket. Part of the burst is reserved for calls of higher priority, so that urgent calls
// get a token even right after a burst of other calls.
class call_budget
{
public:
    // @param perSecond average calls per second
    // @param burst maximum number of calls at once after an idle period; at least 2
    call_budget(double perSecond, double burst);

    // Takes a token. Returns false if none is left for this priority.
    bool take(call_priority priority, time_point now);

    // Takes a token even if none is left; the number of tokens may become negative.
    void force(time_point now);

    // Returns the time until take() can succeed for this priority; 0 if it can succeed now.
    duration waitOf(call_priority priority, time_point now);

private:
    void refill(time_point now);
    double requiredTokens(call_priority priority) const;

    double m_tokensPerMs;
    double m_burst;
    double m_tokens;
    time_point m_refilledAt{};
    bool m_started = false;
};

// Limits retries to a share of the first attempts, so that retries can't multiply the load on a
// failing service.
class retry_budget
{
public:
    // @param share average number of retries per first attempt
    // @param maxSaved maximum number of unused retries that are kept; also the initial number
    explicit retry_budget(double share = 0.2, double maxSaved = 20);

    // Records a first attempt.
    void recordCall();

    // Takes a retry. Returns false if none is left.
    bool take();

private:
    double m_share;
    double m_maxSaved;
    double m_saved;
};

// Exponential backoff with jitter: each delay is uniform between half of the step and the step,
// which doubles with each failure up to the maximum delay.
class jittered_backoff
{
public:
    jittered_backoff(duration initialDelay, duration maxDelay, std::uint64_t seed);

    // Returns the delay before the retry after this many failures (at least 1).
    duration delayOf(int failures);

private:
    duration m_initialDelay;
    duration m_maxDelay;
    std::mt19937_64 m_random;
};

// Rejects calls after several consecutive failures, and after a while lets one call through as a
// probe. The time until the next probe doubles with each failed probe.
class circuit_breaker
{
public:
    circuit_breaker(int failuresToOpen, duration initialOpenTime, duration maxOpenTime);

    // Returns whether allows() would return true now, without starting a probe.
    bool mayAllow(time_point now) const { return !m_isOpen || now >= m_probeAt; }

    // Returns whether a call may be sent now. A call that is allowed while the breaker is open is
    // the probe; if its result is not reported within twice `maxOpenTime`, another probe is
    // allowed.
    bool allows(time_point now);

    void succeeded();
    void failed(time_point now);

    bool isOpen() const { return m_isOpen; }

private:
    int m_failuresToOpen;
    duration m_initialOpenTime;
    duration m_maxOpenTime;
    duration m_openTime;
    int m_failures = 0;
    bool m_isOpen = false;
    bool m_isProbing = false;
    time_point m_probeAt{};
};

} // namespace goldcrest
