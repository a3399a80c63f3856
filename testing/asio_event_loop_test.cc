// Tests of the event loop of daemons. Replaces clock_gettime() for this program, to read the clocks
// of a machine that was suspended.

#include "goldcrest/asio_event_loop.h"
#include "testing/quiet_log.h"

#include <ctime>
#include <memory>
#include <stdexcept>

#include <sys/syscall.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

std::int64_t suspendedSeconds = 0;

} // namespace

// CLOCK_BOOTTIME runs on while a machine is suspended; CLOCK_MONOTONIC stands still.
extern "C" int clock_gettime(clockid_t which, timespec *read) noexcept
{
    const int outcome = static_cast<int>(syscall(SYS_clock_gettime, which, read));
    if (which == CLOCK_BOOTTIME)
        read->tv_sec += suspendedSeconds;
    return outcome;
}

TEST_GROUP(event_loop_of_daemons){};

// Guards against a process that ends because of one message that was not foreseen.
TEST(event_loop_of_daemons, errorOfACallbackEndsOnlyThatCallback)
{
    silenceLog();
    asio_event_loop loop;
    bool wasRun = false;
    loop.post([] { throw std::runtime_error("not foreseen"); });
    loop.post([&] {
        wasRun = true;
        loop.stop();
    });
    loop.run();
    CHECK(wasRun);
}

// Guards leases: a planner that was suspended must see that its own lease is over, and a front that
// its view of the keys is old.
TEST(event_loop_of_daemons, suspensionCountsAsElapsedTime)
{
    const asio_event_loop loop;
    const time_point before = loop.now();
    suspendedSeconds = 7;
    const duration elapsed = loop.now() - before;
    suspendedSeconds = 0;
    CHECK(elapsed >= 7s);
}

// Guards against a memory leak: an object that has the handle of a timer, and that the timer's task
// owns, was kept after the task had run.
TEST(event_loop_of_daemons, timerThatHasRunReleasesItsTask)
{
    struct owner
    {
        timer_handle timer;
    };
    asio_event_loop loop;
    auto object = std::make_shared<owner>();
    const std::weak_ptr<owner> weak = object;
    bool wasRun = false;
    object->timer = loop.after(1ms, [&wasRun, kept = object] { wasRun = true; });
    object.reset();
    CHECK(!weak.expired());
    CHECK(loop.runUntil([&] { return wasRun; }, 5s));
    CHECK(weak.expired());
}
