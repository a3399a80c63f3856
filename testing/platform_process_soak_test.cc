// Randomized runs of the real sidecars and fronts under faults, judged by what callers and backend
// servers see. GOLDCREST_SOAK_FIRST, GOLDCREST_SOAK_SEEDS, GOLDCREST_SOAK_SECONDS and
// GOLDCREST_SOAK_SIDECARS choose other seeds, another length of each and another size;
// GOLDCREST_SOAK_SUSPEND=1 adds suspended machines, which are known to break TWICE.

#include "testing/soak_judge_support.h"
#include "testing/soak_scene_support.h"

#include <cstdio>
#include <cstdlib>
#include <string>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace goldcrest;

namespace {

// The library's leak check is not safe with threads, and the HTTP client has one.
struct leak_check_off
{
    leak_check_off() { MemoryLeakWarningPlugin::turnOffNewDeleteOverloads(); }
};
[[gnu::init_priority(101)]] leak_check_off leakCheckOff;

constexpr std::uint64_t seedsInCi = 3;
constexpr int secondsInCi = 12;

std::int64_t numberFrom(const char *name, std::int64_t otherwise)
{
    const char *text = std::getenv(name);
    return text == nullptr ? otherwise : std::atoll(text);
}

soak_options optionsOf(std::uint64_t seed)
{
    soak_options options;
    options.seed = seed;
    options.sidecars = static_cast<int>(numberFrom("GOLDCREST_SOAK_SIDECARS", options.sidecars));
    options.length = std::chrono::seconds(numberFrom("GOLDCREST_SOAK_SECONDS", secondsInCi));
    options.hasSuspensions = numberFrom("GOLDCREST_SOAK_SUSPEND", 0) != 0;
    // Every fourth seed has no faults from outside, so that more tasks start.
    options.hasOutsideFaults = seed % 4 != 0;
    return options;
}

// Returns whether a seed holds.
bool holds(std::uint64_t seed)
{
    const soak_options options = optionsOf(seed);
    const soak_result result = runSoak(options);
    std::printf(
        "soak, seed %llu: %zu problems, %zu jobs (%zu accepted, %zu completed), %zu starts, "
        "%zu faults\n",
        static_cast<unsigned long long>(seed), result.problems.size(), result.jobs, result.accepted,
        result.completed, result.starts, result.faults);
    std::fflush(stdout);
    return result.problems.empty();
}

} // namespace

TEST_GROUP(platform_soak){};

TEST(platform_soak, randomFaultsBreakNoRule)
{
    const auto first = static_cast<std::uint64_t>(numberFrom("GOLDCREST_SOAK_FIRST", 1));
    const auto seeds = static_cast<std::uint64_t>(numberFrom("GOLDCREST_SOAK_SEEDS", seedsInCi));
    std::uint64_t failed = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed)
        failed += holds(seed) ? 0 : 1;
    UNSIGNED_LONGS_EQUAL(0, failed);
}
