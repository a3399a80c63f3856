#pragma once

// Owns the handles of one-shot timers. Each timer is removed once it has run; clear() and the
// destructor cancel those that are pending.
//
//   one_shot_timers timers(loop);
//   timers.after(2ms, [&] { ... });

#include "goldcrest/event_loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace goldcrest {

class one_shot_timers
{
public:
    explicit one_shot_timers(event_loop &loop)
        : m_loop(loop)
    { }

    // Runs `task` once after `delay`.
    void after(duration delay, std::function<void()> task)
    {
        const std::uint64_t id = ++m_lastId;
        m_timers[id] = m_loop.after(delay, [this, id, task = std::move(task)] {
            const timer_handle running = std::move(m_timers[id]);
            m_timers.erase(id);
            task();
        });
    }

    // Destroys a handle in a later iteration of the loop. For a timer whose task is running now:
    // the task must not be destroyed before it returns.
    void destroyLater(timer_handle handle)
    {
        if (handle)
            after(0ms, [kept = std::make_shared<timer_handle>(std::move(handle))] {});
    }

    void clear() { m_timers.clear(); }

private:
    event_loop &m_loop;
    std::map<std::uint64_t, timer_handle> m_timers;
    std::uint64_t m_lastId = 0;
};

} // namespace goldcrest
