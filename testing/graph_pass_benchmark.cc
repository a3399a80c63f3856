// Measures the processor time of a pass of the planner of graph jobs, under each of the settings
// that place work. The backend servers are simulated and their reports are not counted.
//
//   build/graph_pass_benchmark [workers...]
//
// It is apart from capacity_benchmark, since the headers of the two planners can't be used
// together.

#include "testing/planner_scene_support.h"

#include <fmt/format.h>

#include <cstdlib>
#include <string_view>
#include <vector>

using namespace goldcrest;

namespace {

// Lets two images slow each other for a while, so that interference is known afterwards.
void teachInterference(planner_scene &scene)
{
    scene.setSlowdown([](const std::string &image, const std::string &neighbour) {
        const bool isPair = (image == "image-0" && neighbour == "image-1")
            || (image == "image-1" && neighbour == "image-0");
        return isPair ? 1.8 : 1;
    });
    step_spec task;
    task.perTask = {5000, 1024, 0};
    task.estimated = 5s;
    task.count = 8;
    for (int i = 0; i < 120; ++i) {
        task.image = fmt::format("image-{}", i % 3);
        scene.addJob(fmt::format("mix-{:03}", i), 1, task, 5s);
        scene.advance(700ms);
    }
    scene.advance(20s);
}

// Fills most of the workers with long tasks, 12 on each. Then urgent jobs arrive twice a second,
// some of which have to wait, beside 200 wide steps that wait all the time.
// @return mean processor time of a pass
std::chrono::nanoseconds passTime(const run_planner_options &options, int workers)
{
    constexpr resources machine{64'000, 262'144, 8};
    constexpr int tasksPerWorker = 12;
    constexpr int tasksPerStep = 120;
    constexpr int waitingSteps = 200;
    constexpr duration longTime = 2h;
    planner_scene scene(options, workers, machine);
    if (options.interference) {
        teachInterference(scene);
        if (scene.planner().interferingPairs() == 0)
            fmt::print("no interference was found\n");
    }
    step_spec task;
    task.perTask = {5000, 1024, 0};
    task.estimated = longTime;
    task.count = tasksPerStep;
    for (int i = 0; i * tasksPerStep < workers * tasksPerWorker; ++i) {
        task.image = fmt::format("image-{}", i % 8);
        scene.addJob(fmt::format("long-{:05}", i), 1, task, longTime);
    }
    for (int i = 0; i * 256 < workers * tasksPerWorker * 2; ++i)
        scene.plan();
    step_spec wide = task;
    wide.count = 8;
    wide.perTask = {13'000, 1024, 8};
    wide.estimated = 7s;
    for (int i = 0; i < waitingSteps; ++i)
        scene.addJob(fmt::format("wide-{:03}", i), 2, wide, 7s);
    scene.advance(1s);
    scene.takePassTime();
    step_spec urgent;
    urgent.count = 5;
    urgent.perTask = {3000, 1024, 1};
    urgent.estimated = 2500ms;
    for (int i = 0; i < 24; ++i) {
        if (i % 8 == 0) {
            urgent.count = workers * 2; // cannot start at once
            scene.addJob(fmt::format("wave-{:03}", i), 0, urgent, 2500ms);
        }
        urgent.count = 5;
        scene.addJob(fmt::format("urgent-{:03}", i), 0, urgent, 2500ms);
        scene.advance(500ms);
    }
    return scene.takePassTime();
}

// Compares the cost of a pass under the settings that place work.
void comparePasses(const std::vector<int> &sizes)
{
    run_planner_options without;
    run_planner_options room;
    room.urgentRoom = true;
    run_planner_options interference;
    interference.interference = true;
    run_planner_options both = room;
    both.interference = true;
    fmt::print("processor time of a pass in ms, 12 long tasks a worker\n");
    fmt::print("{:>7} {:>9} {:>12} {:>12} {:>9}\n", "workers", "none", "urgentRoom", "interference",
               "both");
    const auto inMs = [](std::chrono::nanoseconds time) {
        return std::chrono::duration<double, std::milli>(time).count();
    };
    for (const int workers : sizes)
        fmt::print("{:>7} {:>9.2f} {:>12.2f} {:>12.2f} {:>9.2f}\n", workers,
                   inMs(passTime(without, workers)), inMs(passTime(room, workers)),
                   inMs(passTime(interference, workers)), inMs(passTime(both, workers)));
}

} // namespace

int main(int argc, char **argv)
{
    std::vector<int> sizes;
    for (int i = 1; i < argc; ++i)
        sizes.push_back(std::atoi(argv[i]));
    if (sizes.empty())
        sizes = {30, 300, 1000, 4900};
    comparePasses(sizes);
    return EXIT_SUCCESS;
}
