#pragma once

// An event_loop with virtual time for tests. Time advances only when the test calls advance(),
// advanceUntil() or jump().
//
//   virtual_event_loop loop;
//   timer_handle timer = loop.after(5s, [&] { ... });
//   loop.advance(5s);            // runs all timers due by then, in order of their due time
//   loop.runPosted();            // runs posted tasks without advancing time

#include "goldcrest/event_loop.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace goldcrest {

class virtual_event_loop final : public event_loop
{
public:
    virtual_event_loop();
    ~virtual_event_loop() override;

    time_point now() const override { return m_now; }
    void post(std::function<void()> task) override;
    [[nodiscard]] timer_handle after(duration delay, std::function<void()> task) override;
    [[nodiscard]] timer_handle every(duration period, std::function<void()> task) override;

    // Runs posted tasks, and those that they post, until none is left.
    void runPosted();

    // Moves time forward and runs timers in order of their due time. Posted tasks run before each
    // of them.
    void advance(duration by);

    // Moves time forward in one jump, as for a process that was paused; timers that became due run
    // afterwards, late, at the new time.
    void jump(duration by);

    // Advances in steps of `step` until `condition` holds or `limit` has passed.
    // Returns whether the condition holds.
    bool advanceUntil(const std::function<bool()> &condition, duration limit, duration step = 10ms);

    // Number of timers that are set.
    std::size_t timerCount() const;

private:
    struct timer_table;
    class virtual_timer;

    timer_handle add(duration delay, duration period, std::function<void()> task);
    void runDueTimer();

    std::shared_ptr<timer_table> m_timers;
    time_point m_now{};
    std::mutex m_mutex; // guards m_posted; transports post from their threads
    std::vector<std::function<void()>> m_posted;
};

} // namespace goldcrest
