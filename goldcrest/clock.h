#pragma once

// Time types and the clock interface. Decision modules take a time_point argument and never read a
// clock.

#include <chrono>

namespace goldcrest {

using duration = std::chrono::milliseconds;

// Monotonic time of one process. It includes the time for which the machine was suspended, since
// leases of others run on meanwhile. Two processes never compare their time points; messages carry
// ages and durations.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""min;
using std::chrono_literals::operator""h;

// Longest time that is accepted from outside. Sums and multiples of such times fit in 64 bits.
constexpr duration longestTime = 24h * 3650;

// Returns a time multiplied by a factor, in whole milliseconds, rounded towards 0.
inline duration scaled(duration time, double factor)
{
    return duration(static_cast<duration::rep>(static_cast<double>(time.count()) * factor));
}

// Source of monotonic time. Tests implement it with virtual time.
class clock
{
public:
    virtual ~clock() = default;

    // Returns the current monotonic time.
    virtual time_point now() const = 0;
};

// The clock of the operating system. It reads CLOCK_BOOTTIME: std::chrono::steady_clock stands
// still while the machine is suspended.
class boot_clock final : public clock
{
public:
    time_point now() const override;
};

} // namespace goldcrest
