// A gang of two fails once, on both servers at the same moment, while the sidecars are restarted in
// turn: first that of one member, then the planner's. Its second run would succeed.

#include "review/stage-3/scene.h"

#include <fmt/format.h>

#include <algorithm>
#include <iostream>

using namespace goldcrest;

namespace {

constexpr int servers = 4;
constexpr int maxAttempts = 2;
constexpr duration runTime = 4s;
constexpr duration turnGap = 1300ms; // between two restarts
constexpr duration downTime = 1s; // from SIGTERM to the next start
constexpr duration failureAfter = 600ms; // from the first SIGTERM
constexpr duration heartbeatSlack = 100ms;
constexpr duration watchTime = 25s;

int run()
{
    scene_options options;
    options.sidecars = servers;
    options.configuration = smallConfiguration(0);
    options.configuration["routes"][1]["max_attempts"] = maxAttempts;
    options.planOf = [](const std::string &, std::int32_t number) {
        run_plan plan;
        plan.length = runTime;
        plan.how = number == 1 ? "failed" : "done";
        return plan;
    };
    review_scene scene("review/11/record.txt", options);
    if (!scene.start())
        return couldNotRun;

    review_job gang;
    gang.id = "00000000000000d1";
    gang.prefix = "/batch/";
    gang.key = "key-b";
    gang.steps = {{{"count", 2},
                   {"cpu", 26000},
                   {"mem_mb", 110000},
                   {"gpus", 8},
                   {"estimated_ms", runTime.count()},
                   {"gang", true}}};
    if (!scene.submit(gang) || !scene.wait(5s, [&] { return scene.runningTasks(gang.id) == 2; }))
        return couldNotRun;
    const time_point failsAt = scene.now() + runTime;

    const std::string planner = scene.planner();
    // The member whose sidecar is not the planner, and its server.
    int member = -1;
    for (int i = 0; i < servers; ++i) {
        if (scene.backend(i).runningOf(gang.id) > 0 && fmt::format("side-{}", i + 1) != planner)
            member = i;
    }
    if (member < 0 || planner.empty())
        return couldNotRun;
    const std::string sidecar = fmt::format("side-{}", member + 1);

    const auto restart = [&](const std::string &name) {
        scene.note(name + ": SIGTERM");
        scene.processes().terminate(name);
    };
    const auto waitUntil
        = [&](time_point at) { scene.wait(20s, [&] { return scene.now() >= at; }); };
    waitUntil(failsAt - failureAfter - heartbeatInterval);
    // The next check-in of the member's server comes after both restarts have begun.
    scene.wait(heartbeatInterval, [&] {
        const duration age = scene.now() - scene.backend(member).heartbeatAt();
        return age >= 50ms && age <= heartbeatSlack && scene.now() >= failsAt - heartbeatInterval;
    });
    const time_point begin = scene.now();
    if (hasTrouble()) {
        std::vector<std::string> turns{sidecar, planner};
        for (int i = 0; i < servers; ++i) {
            const std::string name = fmt::format("side-{}", i + 1);
            if (name != sidecar && name != planner)
                turns.push_back(name);
        }
        for (std::size_t i = 0; i < turns.size(); ++i) {
            waitUntil(begin + turnGap * static_cast<std::int64_t>(i));
            restart(turns[i]);
            waitUntil(begin + turnGap * static_cast<std::int64_t>(i) + downTime);
            scene.processes().waitForExit(turns[i], 5s);
            scene.startProcess(turns[i]);
        }
    }
    std::string state;
    scene.wait(watchTime, [] { return false; });
    state = scene.stateOf(gang);
    const auto count = [&](const char *event, std::int32_t number) {
        return std::count_if(scene.seen().begin(), scene.seen().end(), [&](const seen_run &one) {
            return one.event == event && one.run == number;
        });
    };
    scene.note(fmt::format("failed ends of run 1: {}, of run 2: {}; starts of run 2: {}; "
                           "max_attempts: {}; state: {}",
                           count("failed", 1), count("failed", 2), count("start", 2), maxAttempts,
                           state));
    if (count("failed", 1) != 2 || state.empty())
        return couldNotRun;
    return state == "failed" ? ruleBroken : ruleHeld;
}

} // namespace

int main()
{
    try {
        return run();
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return couldNotRun;
    }
}
