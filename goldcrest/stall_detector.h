#pragma once

// Tells whether the event loop of this process has lately been held up: by a suspension of the
// machine, a paused process, too little processor time, or a long task.
//
//   stall_detector stalls(loop);
//   if (stalls.hasStalledSince(arrivedAt - 1s)) ...   // arrivedAt may be too late
//
// What is read from a socket after a stall may have been sent long before.

#include "goldcrest/clock.h"
#include "goldcrest/event_loop.h"

namespace goldcrest {

class stall_detector
{
public:
    /// Observes the loop from now on.
    /// @param loop must outlive the detector
    explicit stall_detector(event_loop &loop);

    /// @param from a time of the loop's clock, in milliseconds
    /// @return whether the loop was held up for more than 300 ms at any time from `from` until now
    bool hasStalledSince(time_point from) const;

private:
    bool isOverdue(time_point now) const;

    event_loop &m_loop;
    time_point m_tickedAt{};
    time_point m_stallEndedAt = time_point::min();
    timer_handle m_timer;
};

} // namespace goldcrest
