#pragma once

// Interface of a daemon's single-threaded event loop and its timers.
//
//   timer_handle timer = loop.every(1s, [&] { renew(); });   // ends when the handle is destroyed
//   loop.post([&] { ... });                                  // from any thread
//
// asio_event_loop.h implements it for daemons. Tests use a loop that controls a virtual time.

#include "goldcrest/clock.h"

#include <functional>
#include <memory>

namespace goldcrest {

class timer
{
public:
    virtual ~timer() = default;
};

// Destroying the handle cancels the timer.
using timer_handle = std::unique_ptr<timer>;

class event_loop : public clock
{
public:
    // Runs `task` on the loop's thread, after the current callback. May be called from any thread.
    virtual void post(std::function<void()> task) = 0;

    // Runs `task` once after `delay`.
    [[nodiscard]] virtual timer_handle after(duration delay, std::function<void()> task) = 0;

    // Runs `task` once per `period`, the first time after one period.
    [[nodiscard]] virtual timer_handle every(duration period, std::function<void()> task) = 0;
};

} // namespace goldcrest
