#pragma once

// An event loop that passes tasks on to another one, and holds them back while it is paused. For
// models of processes on machines that are suspended.
//
//   pausable_event_loop loop(shared);
//   planner_service service(loop, ...);
//   loop.pause();       // the tasks of the service wait
//   loop.resume();      // each timer runs as late as it would on a clock that stood still
//
// Time passes meanwhile, as on a clock that counts suspensions.

#include "goldcrest/event_loop.h"
#include "standins/one_shot_timers.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace goldcrest {

class pausable_event_loop final : public event_loop
{
public:
    explicit pausable_event_loop(event_loop &shared)
        : m_shared(shared)
        , m_state(std::make_shared<state>(shared))
    { }

    time_point now() const override { return m_shared.now(); }

    void post(std::function<void()> task) override
    {
        m_shared.post(heldBack(std::make_shared<std::function<void()>>(std::move(task))));
    }

    [[nodiscard]] timer_handle after(duration delay, std::function<void()> task) override
    {
        const auto kept = std::make_shared<std::function<void()>>(std::move(task));
        return std::make_unique<handle>(kept, m_shared.after(delay, heldBack(kept)));
    }

    [[nodiscard]] timer_handle every(duration period, std::function<void()> task) override
    {
        const auto kept = std::make_shared<std::function<void()>>(std::move(task));
        return std::make_unique<handle>(kept, m_shared.every(period, heldBack(kept)));
    }

    void pause()
    {
        m_state->isPaused = true;
        m_state->pausedAt = now();
    }

    void resume()
    {
        m_state->isPaused = false;
        for (const auto &[task, rest] : std::exchange(m_state->waiting, {})) {
            m_state->timers.after(rest, [kept = task] { run(kept); });
        }
    }

private:
    using shared_task = std::shared_ptr<std::function<void()>>;

    struct state
    {
        explicit state(event_loop &shared)
            : timers(shared)
        { }

        // Keeps a task that became due while the loop was paused. Missed periods count as one.
        void keep(const shared_task &task, time_point due)
        {
            const auto isSame = [&](const auto &one) { return one.first == task; };
            if (std::none_of(waiting.begin(), waiting.end(), isSame))
                waiting.emplace_back(task, due - pausedAt);
        }

        bool isPaused = false;
        time_point pausedAt{};
        std::vector<std::pair<shared_task, duration>> waiting; // with the time that was left
        one_shot_timers timers;
    };

    // Cancels its task, also one that waits.
    class handle final : public timer
    {
    public:
        handle(shared_task task, timer_handle shared)
            : m_task(std::move(task))
            , m_shared(std::move(shared))
        { }
        ~handle() override { *m_task = nullptr; }
        handle(const handle &) = delete;
        handle &operator=(const handle &) = delete;

    private:
        shared_task m_task;
        timer_handle m_shared;
    };

    // Runs a task unless it was cancelled. The task may destroy its handle, so a copy runs.
    static void run(const shared_task &task)
    {
        const std::function<void()> running = *task;
        if (running)
            running();
    }

    // Returns a task that runs this one, unless it was cancelled, and not before the loop goes on.
    std::function<void()> heldBack(const shared_task &task)
    {
        return [this, weak = std::weak_ptr(m_state), task] {
            const auto owner = weak.lock();
            if (owner && owner->isPaused)
                owner->keep(task, now());
            else if (owner)
                run(task);
        };
    }

    event_loop &m_shared;
    std::shared_ptr<state> m_state;
};

} // namespace goldcrest
