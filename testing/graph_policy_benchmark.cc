// Measures team shares and preemption limits of the planner of graph jobs, in virtual time. Usage:
//
//   graph_policy_benchmark contended [workers]
//   graph_policy_benchmark tails [workers]
//   graph_policy_benchmark parts [workers]
//   graph_policy_benchmark cost [workers...]
//
// The first two show the value of the jobs, the stops and the lost work, "tails" with 3% of the
// tasks taking 7 times as long, the last the processor time of a pass, each with the settings on
// and off. "parts" compares the other parts of the planner at a size, with the demand that 24
// workers have in the first.
//
// It is a program of its own since policy_benchmark and capacity_benchmark measure the planner of
// gangs, whose catalogue has types of the same names.

#include "testing/contended_load_support.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <limits>
#include <string>
#include <vector>

using namespace goldcrest;

namespace {

constexpr std::uint32_t defaultSeeds = 10;

run_planner_options optionsOf(bool teamShares, bool preemptionLimits)
{
    run_planner_options options;
    options.stopTime = 200ms;
    options.checkpointInterval = 500ms;
    options.teamShares = teamShares;
    options.preemptionLimits = preemptionLimits;
    return options;
}

void showContended(const char *name, std::size_t workers, const run_planner_options &options,
                   double demand = 1, std::uint32_t seeds = defaultSeeds, double tailShare = 0)
{
    double reserved = 0;
    double unused = 0;
    double milliseconds = 0;
    contended_report sum;
    double onTime[3] = {0, 0, 0};
    double worst = 0;
    double stops = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        planner_cell cell(options);
        cell.setTail(tailShare, 7);
        runContendedLoad(cell, {workers, 60s, seed, demand});
        const contended_report one = contendedReportOf(cell);
        sum.value += one.value / one.possibleValue / seeds;
        stops += static_cast<double>(one.stops) / seeds;
        sum.mostStopsOfAJob = std::max(sum.mostStopsOfAJob, one.mostStopsOfAJob);
        sum.wastedCoreSeconds += one.wastedCoreSeconds / seeds;
        sum.wideServed += one.wideServed / seeds;
        worst += one.worstTeam / seeds;
        reserved += cell.decisions("capacity reserved") / static_cast<double>(seeds);
        unused += cell.decisions("reservation ended") / static_cast<double>(seeds);
        milliseconds += cell.passSeconds() * 1000 / static_cast<double>(cell.passes()) / seeds;
        for (std::size_t i = 0; i < 3; ++i)
            onTime[i] += static_cast<double>(one.onTime[i]) / one.jobs[i] / seeds;
    }
    fmt::print(
        "| {} | {:.3f} | {:.3f} | {:.3f} | {:.3f} | {:.0f} | {} | {:.0f} | {:.3f} | {:.2f} | "
        "{:.0f} | {:.0f} | {:.2f} |\n",
        name, sum.value, onTime[0], onTime[1], onTime[2], stops, sum.mostStopsOfAJob,
        sum.wastedCoreSeconds, worst, sum.wideServed, reserved, unused, milliseconds);
    std::fflush(stdout);
}

void showHeading(std::size_t workers, std::uint32_t seeds)
{
    fmt::print("| {} workers, means of {} seeds | value | on time 0 | 1 | 2 | stops | of a job | "
               "wasted core-s | worst team | wide/rest | reservations | unused | ms a pass |\n"
               "|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
               workers, seeds);
}

void compareTails(std::size_t workers)
{
    showHeading(workers, defaultSeeds);
    for (const double share : {0.0, 0.03}) {
        for (const bool heavyTails : {false, true}) {
            run_planner_options options = optionsOf(false, false);
            options.heavyTails = heavyTails;
            const std::string name
                = fmt::format("{}% long, {}", share * 100, heavyTails ? "heavyTails" : "off");
            showContended(name.c_str(), workers, options, 1, defaultSeeds, share);
        }
    }
}

void compareParts(std::size_t workers)
{
    constexpr std::uint32_t seeds = 3;
    constexpr double referenceWorkers = 24;
    const double demand = static_cast<double>(workers) / referenceWorkers;
    const auto show = [&](const char *name, bool room, bool speeds, bool interference) {
        run_planner_options options = optionsOf(false, false);
        options.urgentRoom = room;
        options.workerSpeeds = speeds;
        options.interference = interference;
        showContended(name, workers, options, demand, seeds);
    };
    showHeading(workers, seeds);
    show("none", false, false, false);
    show("urgentRoom", true, false, false);
    show("workerSpeeds", false, true, false);
    show("interference", false, false, true);
    show("all three", true, true, true);
}

void compareContended(std::size_t workers)
{
    showHeading(workers, defaultSeeds);
    showContended("both off", workers, optionsOf(false, false));
    showContended("teamShares", workers, optionsOf(true, false));
    showContended("preemptionLimits", workers, optionsOf(false, true));
    showContended("both on", workers, optionsOf(true, true));
}

// Fills a cell with the running tasks of the design size, has more steps wait than can start, and
// returns the milliseconds of a pass: the least of some, since other programs disturb.
double passMilliseconds(int workers, const run_planner_options &options)
{
    constexpr int tasksPerWorker = 12; // 60,000 on 4,900 workers
    constexpr int tasksPerJob = 8;
    constexpr int teams = 150;
    planner_cell cell(options);
    for (int i = 0; i < teams; ++i)
        cell.addTeam("t" + std::to_string(i), i % 3 == 0 ? 8 : 0);
    cell.addWorkers(static_cast<std::size_t>(workers), {tasksPerWorker * 1000, 65'536, 8});
    step_spec step;
    step.count = tasksPerJob;
    step.perTask = {1000, 1024, 0};
    step.estimated = 10min;
    const int running = workers * tasksPerWorker / tasksPerJob;
    for (int i = 0; i < running; ++i)
        cell.submit("run" + std::to_string(i), 2, "t" + std::to_string(i % teams), step, 10min);
    // A pass starts a bounded number of tasks.
    for (int i = 0; i < 500 && cell.startedTasks() < running * tasksPerJob; ++i)
        cell.run(planner_cell::tick);
    const int waiting = std::min(running, 2000);
    for (int i = 0; i < waiting; ++i) {
        step_spec urgent = step;
        urgent.count = 1 + i % 4;
        urgent.estimated = duration(1000 + i % 1000);
        cell.submit("wait" + std::to_string(i), i % 3, "t" + std::to_string(i % teams), urgent, 2s);
    }
    cell.run(planner_cell::tick);
    double least = std::numeric_limits<double>::max();
    constexpr int passes = 12;
    for (int i = 0; i < passes; ++i) {
        const double before = cell.passSeconds();
        cell.run(planner_cell::tick);
        least = std::min(least, cell.passSeconds() - before);
    }
    return least * 1000;
}

void compareCost(const std::vector<int> &sizes)
{
    fmt::print("| ms a pass, workers | both off | teamShares | preemptionLimits | both on |\n"
               "|---|---|---|---|---|\n");
    for (const int workers : sizes) {
        fmt::print("| {} |", workers);
        for (const auto &[teamShares, preemptionLimits] :
             {std::pair(false, false), {true, false}, {false, true}, {true, true}}) {
            fmt::print(" {:.2f} |",
                       passMilliseconds(workers, optionsOf(teamShares, preemptionLimits)));
            std::fflush(stdout);
        }
        fmt::print("\n");
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::string kind = argc > 1 ? argv[1] : "";
    std::vector<int> sizes;
    for (int i = 2; i < argc; ++i)
        sizes.push_back(std::atoi(argv[i]));
    if (kind == "contended") {
        compareContended(sizes.empty() ? 32 : static_cast<std::size_t>(sizes.front()));
    } else if (kind == "tails") {
        compareTails(sizes.empty() ? 32 : static_cast<std::size_t>(sizes.front()));
    } else if (kind == "parts") {
        compareParts(sizes.empty() ? 195 : static_cast<std::size_t>(sizes.front()));
    } else if (kind == "cost") {
        compareCost(sizes.empty() ? std::vector<int>{30, 300, 1000, 4900} : sizes);
    } else {
        fmt::print("usage: graph_policy_benchmark contended|tails|parts [workers] | cost "
                   "[workers...]\n");
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
