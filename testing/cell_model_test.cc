#include "testing/cell_model_support.h"

#include <cstdlib>
#include <iostream>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

constexpr std::uint64_t seedsInCi = 300;
constexpr std::uint64_t plannerFaultSeedsInCi = 60;

std::uint64_t numberFrom(const char *name, std::uint64_t otherwise)
{
    const char *text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

// Disables one mechanism, to count the seeds that fail without it.
void disableMechanism(model_options &options, const std::string &mechanism)
{
    if (mechanism == "fencing")
        options.agent.fenceEpochs = false;
    else if (mechanism == "holds")
        options.agent.limitHolds = false;
    else if (mechanism == "pulses")
        options.agent.gangPulses = false;
    else if (mechanism == "intent")
        options.planner.writeIntent = false;
    else if (mechanism == "inventory")
        options.planner.inventoryFirst = false;
}

void print(std::uint64_t seed, const model_report &report)
{
    std::cout << "seed " << seed << ": " << report.violation << '\n';
    for (const std::string &line : report.trace)
        std::cout << "  " << line << '\n';
    std::cout << "repeat: GOLDCREST_MODEL_FIRST=" << seed
              << " GOLDCREST_MODEL_SEEDS=1 build/cell_model_test\n";
}

// Runs seeds and returns how many violated a promise; prints the first of them with its trace.
std::uint64_t countFailing(model_options options, std::uint64_t first, std::uint64_t count)
{
    const char *off = std::getenv("GOLDCREST_MODEL_OFF");
    disableMechanism(options, off ? off : "");
    std::uint64_t failing = 0;
    model_report total;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        options.seed = seed;
        options.tracing = false;
        const model_report report = cell_model(options).run();
        total.events += report.events;
        total.starts += report.starts;
        total.epochs += report.epochs;
        total.completed += report.completed;
        total.failed += report.failed;
        total.notRun += report.notRun;
        total.unknown += report.unknown;
        if (report.violation.empty())
            continue;
        if (failing++ == 0) {
            options.tracing = true;
            print(seed, cell_model(options).run());
        } else {
            std::cout << "seed " << seed << ": " << report.violation << '\n';
        }
    }
    std::cout << failing << " of " << count << " seeds failed; " << total.events << " events, "
              << total.epochs << " epochs, " << total.starts << " task starts, " << total.completed
              << " completed, " << total.failed << " failed, " << total.notRun << " not run, "
              << total.unknown << " unknown\n";
    return failing;
}

} // namespace

TEST_GROUP(cell_model){};

// Guards against violations of any promise while all kinds of faults are injected together.
TEST(cell_model, keepsItsPromisesUnderAllFaults)
{
    const std::uint64_t first = numberFrom("GOLDCREST_MODEL_FIRST", 1);
    const std::uint64_t count = numberFrom("GOLDCREST_MODEL_SEEDS", seedsInCi);
    LONGS_EQUAL(0, countFailing({}, first, count));
}

// Guards against a planner change that stops running tasks or loses a job. Only planners and the
// store fail here, so every started task must end by itself.
TEST(cell_model, interruptsNothingWhenPlannersChange)
{
    model_options options;
    options.faults = {true, false, false, true, false, false, false, true, false};
    const std::uint64_t first = numberFrom("GOLDCREST_MODEL_FIRST", 1);
    const std::uint64_t count = numberFrom("GOLDCREST_MODEL_SEEDS", plannerFaultSeedsInCi);
    LONGS_EQUAL(0, countFailing(options, first, count));
    // Regression seeds: a repeated attempt of a job whose result is stored (289), and a planner
    // that fails between two task starts (1376).
    for (const std::uint64_t seed : {289, 1376})
        LONGS_EQUAL(0, countFailing(options, seed, 1));
}

// Guards against faults that these seeds found: a delayed duplicate of a start or of a submission
// treated as a new one (586, 1644, 2170, 3478, 3552, 4383, 6312, 6556, 8710), a "not run" without a
// stored record (4222), an ended job that ended again (5423), a placement lost between engine and
// planner (2384), and errors of the model itself (1658, 4425, 9414, 4358).
TEST(cell_model, keepsItsPromisesOnSeedsThatFailedOnce)
{
    for (const std::uint64_t seed : {586, 1644, 1658, 2170, 2384, 3478, 3552, 4222, 4358, 4383,
                                     4425, 5423, 6312, 6556, 8710, 9414})
        LONGS_EQUAL(0, countFailing({}, seed, 1));
}
