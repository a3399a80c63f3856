#include "testing/virtual_event_loop.h"

#include <algorithm>
#include <cstdint>

namespace goldcrest {

struct virtual_event_loop::timer_table
{
    struct entry
    {
        duration period; // 0 for a timer that runs once
        std::shared_ptr<std::function<void()>> task;
    };
    using due_key = std::pair<time_point, std::uint64_t>; // due time, then order of creation

    std::map<due_key, entry> due;
    std::uint64_t lastId = 0;
};

// Erases its timer from the table. The handle may outlive the loop and its table.
class virtual_event_loop::virtual_timer final : public timer
{
public:
    virtual_timer(std::weak_ptr<timer_table> timers, std::uint64_t id)
        : m_timers(std::move(timers))
        , m_id(id)
    { }

    ~virtual_timer() override
    {
        const std::shared_ptr<timer_table> timers = m_timers.lock();
        if (!timers)
            return;
        const auto found
            = std::find_if(timers->due.begin(), timers->due.end(),
                           [&](const auto &item) { return item.first.second == m_id; });
        if (found == timers->due.end())
            return;
        // The task may own this handle's owner, so it is destroyed after the table is consistent.
        const std::shared_ptr<std::function<void()>> task = std::move(found->second.task);
        timers->due.erase(found);
    }

private:
    std::weak_ptr<timer_table> m_timers;
    std::uint64_t m_id;
};

virtual_event_loop::virtual_event_loop()
    : m_timers(std::make_shared<timer_table>())
{ }

virtual_event_loop::~virtual_event_loop()
{
    // Tasks may own timer handles, which must find the table gone or consistent.
    auto due = std::move(m_timers->due);
    m_timers->due.clear();
    m_timers.reset();
}

void virtual_event_loop::post(std::function<void()> task)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_posted.push_back(std::move(task));
}

timer_handle virtual_event_loop::after(duration delay, std::function<void()> task)
{
    return add(delay, duration(0), std::move(task));
}

timer_handle virtual_event_loop::every(duration period, std::function<void()> task)
{
    return add(period, std::max(period, duration(1)), std::move(task));
}

timer_handle virtual_event_loop::add(duration delay, duration period, std::function<void()> task)
{
    const std::uint64_t id = ++m_timers->lastId;
    m_timers->due.emplace(
        timer_table::due_key{m_now + std::max(delay, duration(0)), id},
        timer_table::entry{period, std::make_shared<std::function<void()>>(std::move(task))});
    return std::make_unique<virtual_timer>(m_timers, id);
}

void virtual_event_loop::runPosted()
{
    for (;;) {
        std::vector<std::function<void()>> batch;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            batch.swap(m_posted);
        }
        if (batch.empty())
            return;
        for (std::function<void()> &task : batch)
            task();
    }
}

void virtual_event_loop::runDueTimer()
{
    const auto first = m_timers->due.begin();
    const timer_table::due_key key = first->first;
    timer_table::entry entry = std::move(first->second);
    m_timers->due.erase(first);
    const std::shared_ptr<std::function<void()>> task = entry.task;
    if (entry.period > duration(0)) {
        // A late timer continues from the present time, as one that was missed during a pause does.
        const time_point next = std::max(key.first, m_now) + entry.period;
        m_timers->due.emplace(timer_table::due_key{next, key.second}, std::move(entry));
    }
    (*task)();
    runPosted();
}

void virtual_event_loop::advance(duration by)
{
    const time_point end = m_now + by;
    runPosted();
    while (!m_timers->due.empty() && m_timers->due.begin()->first.first <= end) {
        m_now = std::max(m_now, m_timers->due.begin()->first.first);
        runDueTimer();
    }
    m_now = end;
    runPosted();
}

void virtual_event_loop::jump(duration by)
{
    m_now += by;
    advance(duration(0));
}

bool virtual_event_loop::advanceUntil(const std::function<bool()> &condition, duration limit,
                                      duration step)
{
    runPosted();
    for (duration passed = 0ms; !condition() && passed < limit; passed += step)
        advance(step);
    return condition();
}

std::size_t virtual_event_loop::timerCount() const
{
    return m_timers->due.size();
}

} // namespace goldcrest
