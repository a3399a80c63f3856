// Replaces clock_gettime() for this program, to read the clocks of a machine that was suspended.

#include "goldcrest/asio_event_loop.h"

#include <ctime>

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

TEST_GROUP(boot_clock){};

// Guards leases: a planner that was suspended must see that its own lease is over, and a front that
// its view of the keys is old.
TEST(boot_clock, suspensionCountsAsElapsedTime)
{
    const asio_event_loop loop;
    const time_point before = loop.now();
    suspendedSeconds = 7;
    const duration elapsed = loop.now() - before;
    suspendedSeconds = 0;
    CHECK(elapsed >= 7s);
}
