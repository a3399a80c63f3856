#pragma once

// Implementation of event_loop on standalone Asio, with signal handling, for daemons and tools.
//
//   asio_event_loop loop;
//   loop.onSignal([&] { loop.stop(); });
//   loop.run();   // until stop()

#include "goldcrest/event_loop.h"

#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace goldcrest {

class asio_event_loop final : public event_loop
{
public:
    asio_event_loop();
    ~asio_event_loop() override;
    asio_event_loop(const asio_event_loop &) = delete;
    asio_event_loop &operator=(const asio_event_loop &) = delete;

    time_point now() const override;
    void post(std::function<void()> task) override;
    [[nodiscard]] timer_handle after(duration delay, std::function<void()> task) override;
    [[nodiscard]] timer_handle every(duration period, std::function<void()> task) override;

    // Runs callbacks on the calling thread until stop(). An exception of a callback is logged and
    // ends that callback only, so that one message that was not foreseen does not end the process.
    // std::bad_alloc is passed on.
    void run();

    // Runs callbacks until `condition` holds or `limit` has passed. For tests and command-line
    // tools.
    // Returns whether the condition holds.
    bool runUntil(const std::function<bool()> &condition, duration limit);

    // Makes run() return after the current callback. May be called from any thread.
    void stop();

    // Runs `callback` on the loop at each SIGTERM and SIGINT.
    void onSignal(std::function<void()> callback);

    // Runs `callback` on the loop at each SIGHUP. Without it the signal ends the process.
    void onReload(std::function<void()> callback);

    // The context on which the transports run.
    asio::io_context &context();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace goldcrest
