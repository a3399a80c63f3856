#include "goldcrest/clock.h"

#include <ctime>

namespace goldcrest {

time_point boot_clock::now() const
{
    timespec read{};
    clock_gettime(CLOCK_BOOTTIME, &read);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(read.tv_sec) + std::chrono::nanoseconds(read.tv_nsec)));
}

} // namespace goldcrest
