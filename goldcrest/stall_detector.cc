#include "goldcrest/stall_detector.h"

namespace goldcrest {

namespace {

constexpr duration tickInterval = 200ms;
constexpr duration longestGap = 300ms; // between two ticks; timers fire slightly late

} // namespace

stall_detector::stall_detector(event_loop &loop)
    : m_loop(loop)
    , m_tickedAt(loop.now())
{
    m_timer = loop.every(tickInterval, [this] {
        const time_point now = m_loop.now();
        if (isOverdue(now))
            m_stallEndedAt = now;
        m_tickedAt = now;
    });
}

bool stall_detector::hasStalledSince(time_point from) const
{
    return m_stallEndedAt >= from || isOverdue(m_loop.now());
}

bool stall_detector::isOverdue(time_point now) const
{
    return now - m_tickedAt > longestGap;
}

} // namespace goldcrest
