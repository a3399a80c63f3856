#include "goldcrest/call_limits.h"

#include <algorithm>
#include <cmath>

namespace goldcrest {

namespace {

// Shares of the burst that are reserved for calls above this priority.
constexpr double reservedAboveNormal = 0.1;
constexpr double reservedAboveBackground = 0.3;

} // namespace

call_budget::call_budget(double perSecond, double burst)
    : m_tokensPerMs(perSecond / 1000)
    , m_burst(std::max(burst, 2.0))
    , m_tokens(m_burst)
{ }

void call_budget::refill(time_point now)
{
    if (m_started && now > m_refilledAt) {
        const auto passed = static_cast<double>((now - m_refilledAt).count());
        m_tokens = std::min(m_burst, m_tokens + passed * m_tokensPerMs);
    }
    if (!m_started || now > m_refilledAt)
        m_refilledAt = now;
    m_started = true;
}

double call_budget::requiredTokens(call_priority priority) const
{
    switch (priority) {
    case call_priority::Urgent:
        break;
    case call_priority::Normal:
        return 1 + reservedAboveNormal * (m_burst - 1);
    case call_priority::Background:
        return 1 + reservedAboveBackground * (m_burst - 1);
    }
    return 1;
}

bool call_budget::take(call_priority priority, time_point now)
{
    refill(now);
    if (m_tokens < requiredTokens(priority))
        return false;
    m_tokens -= 1;
    return true;
}

void call_budget::force(time_point now)
{
    refill(now);
    m_tokens -= 1;
}

duration call_budget::waitOf(call_priority priority, time_point now)
{
    refill(now);
    const double missing = requiredTokens(priority) - m_tokens;
    if (missing <= 0)
        return 0ms;
    return duration(static_cast<std::int64_t>(std::ceil(missing / m_tokensPerMs)));
}

retry_budget::retry_budget(double share, double maxSaved)
    : m_share(share)
    , m_maxSaved(maxSaved)
    , m_saved(maxSaved)
{ }

void retry_budget::recordCall()
{
    m_saved = std::min(m_maxSaved, m_saved + m_share);
}

bool retry_budget::take()
{
    if (m_saved < 1)
        return false;
    m_saved -= 1;
    return true;
}

jittered_backoff::jittered_backoff(duration initialDelay, duration maxDelay, std::uint64_t seed)
    : m_initialDelay(initialDelay)
    , m_maxDelay(maxDelay)
    , m_random(seed)
{ }

duration jittered_backoff::delayOf(int failures)
{
    constexpr int maxDoublings = 20;
    const int doublings = std::clamp(failures - 1, 0, maxDoublings);
    const duration step = std::min(m_maxDelay, m_initialDelay * (1 << doublings));
    std::uniform_int_distribution<std::int64_t> spread(step.count() / 2, step.count());
    return duration(spread(m_random));
}

circuit_breaker::circuit_breaker(int failuresToOpen, duration initialOpenTime, duration maxOpenTime)
    : m_failuresToOpen(failuresToOpen)
    , m_initialOpenTime(initialOpenTime)
    , m_maxOpenTime(maxOpenTime)
    , m_openTime(initialOpenTime)
{ }

bool circuit_breaker::allows(time_point now)
{
    if (!m_isOpen)
        return true;
    if (now < m_probeAt)
        return false;
    m_isProbing = true;
    m_probeAt = now + m_maxOpenTime * 2;
    return true;
}

void circuit_breaker::succeeded()
{
    m_failures = 0;
    m_isOpen = false;
    m_isProbing = false;
    m_openTime = m_initialOpenTime;
}

void circuit_breaker::failed(time_point now)
{
    ++m_failures;
    if (m_isOpen) {
        // The failure of a call that was in flight when the breaker opened must not extend the open
        // time.
        if (!m_isProbing)
            return;
        m_isProbing = false;
        m_openTime = std::min(m_maxOpenTime, m_openTime * 2);
        m_probeAt = now + m_openTime;
    } else if (m_failures >= m_failuresToOpen) {
        m_isOpen = true;
        m_openTime = m_initialOpenTime;
        m_probeAt = now + m_openTime;
    }
}

} // namespace goldcrest
