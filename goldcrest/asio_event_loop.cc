#include "goldcrest/asio_event_loop.h"

#include "goldcrest/log_fields.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <csignal>
#include <initializer_list>
#include <utility>

namespace goldcrest {

namespace {

// State of a timer, shared by its handle and a pending wait: the Asio timer stays alive until the
// wait has ended, and the task is released when the handle is destroyed.
struct timer_state : std::enable_shared_from_this<timer_state>
{
    timer_state(asio::io_context &context, duration interval, bool repeats,
                std::function<void()> callback)
        : waiter(context)
        , period(interval)
        , periodic(repeats)
        , task(std::move(callback))
    { }

    void start(std::chrono::steady_clock::time_point due)
    {
        waiter.expires_at(due);
        waiter.async_wait([self = shared_from_this()](const asio::error_code &error) {
            if (!error && !self->cancelled)
                self->fire();
        });
    }

    void fire()
    {
        const auto now = std::chrono::steady_clock::now();
        // The task may destroy the handle, so it does not run in place. A timer that runs once
        // releases its task, because that may own the object that has the handle.
        const std::function<void()> running = periodic ? task : std::exchange(task, nullptr);
        if (periodic) {
            // Missed periods, such as during a suspension of the process, result in one call only.
            auto next = waiter.expiry() + period;
            start(next < now ? now + period : next);
        }
        running();
    }

    void cancel()
    {
        cancelled = true;
        task = nullptr;
        waiter.cancel();
    }

    asio::steady_timer waiter;
    duration period;
    bool periodic = false;
    bool cancelled = false;
    std::function<void()> task;
};

class asio_timer final : public timer
{
public:
    explicit asio_timer(std::shared_ptr<timer_state> state)
        : m_state(std::move(state))
    { }
    ~asio_timer() override { m_state->cancel(); }
    asio_timer(const asio_timer &) = delete;
    asio_timer &operator=(const asio_timer &) = delete;

private:
    std::shared_ptr<timer_state> m_state;
};

} // namespace

struct asio_event_loop::state
{
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work
        = asio::make_work_guard(context);
    asio::signal_set signals{context};
    std::function<void()> terminateCallback;
    std::function<void()> reloadCallback;

    void waitForSignal()
    {
        signals.async_wait([this](const asio::error_code &error, int number) {
            if (error)
                return;
            waitForSignal();
            const auto &callback = number == SIGHUP ? reloadCallback : terminateCallback;
            if (callback)
                callback();
        });
    }

    void addSignals(std::initializer_list<int> numbers)
    {
        const bool first = !terminateCallback && !reloadCallback;
        for (const int number : numbers)
            signals.add(number);
        if (first)
            waitForSignal();
    }
};

asio_event_loop::asio_event_loop()
    : m_state(std::make_unique<state>())
{ }

asio_event_loop::~asio_event_loop() = default;

time_point asio_event_loop::now() const
{
    return boot_clock().now();
}

void asio_event_loop::post(std::function<void()> task)
{
    asio::post(m_state->context, std::move(task));
}

timer_handle asio_event_loop::after(duration delay, std::function<void()> task)
{
    auto waiting = std::make_shared<timer_state>(m_state->context, delay, false, std::move(task));
    waiting->start(std::chrono::steady_clock::now() + delay);
    return std::make_unique<asio_timer>(std::move(waiting));
}

timer_handle asio_event_loop::every(duration period, std::function<void()> task)
{
    auto waiting = std::make_shared<timer_state>(m_state->context, period, true, std::move(task));
    waiting->start(std::chrono::steady_clock::now() + period);
    return std::make_unique<asio_timer>(std::move(waiting));
}

void asio_event_loop::run()
{
    m_state->context.restart();
    while (!m_state->context.stopped()) {
        try {
            m_state->context.run();
        } catch (const std::bad_alloc &) {
            throw;
        } catch (const std::exception &error) {
            log_line(log_level::Error, "unexpected error in a callback")
                .field("why", error.what())
                .limit("unexpected error")
                .write();
        }
    }
}

bool asio_event_loop::runUntil(const std::function<bool()> &condition, duration limit)
{
    constexpr duration step = 10ms;
    const auto deadline = std::chrono::steady_clock::now() + limit;
    m_state->context.restart();
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        m_state->context.run_one_for(step);
    }
    return true;
}

void asio_event_loop::stop()
{
    m_state->context.stop();
}

void asio_event_loop::onSignal(std::function<void()> callback)
{
    m_state->addSignals({SIGTERM, SIGINT});
    m_state->terminateCallback = std::move(callback);
}

void asio_event_loop::onReload(std::function<void()> callback)
{
    m_state->addSignals({SIGHUP});
    m_state->reloadCallback = std::move(callback);
}

asio::io_context &asio_event_loop::context()
{
    return m_state->context;
}

} // namespace goldcrest
