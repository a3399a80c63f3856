// Tests of the event loop of daemons. Replaces clock_gettime() for this program, to read the clocks
// of a machine that was suspended.

#include "goldcrest/asio_event_loop.h"
#include "testing/quiet_log.h"

#include <ctime>
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
