// A task crashes each backend server that starts it, before the server has answered the order. The
// server is back after 3 s.

#include "review/stage-3/scene.h"

#include <fmt/format.h>

#include <iostream>

using namespace goldcrest;

namespace {

constexpr int crashesAllowed = 3;
constexpr int startsAfterThem = 3; // that many break the rule
constexpr duration watchTime = 60s;

int run()
{
    scene_options options;
    options.configuration = smallConfiguration(0);
    options.planOf = [](const std::string &, std::int32_t) {
        run_plan plan;
        plan.crashes = hasTrouble();
        return plan;
    };
    review_scene scene("review/12/record.txt", options);
    if (!scene.start())
        return couldNotRun;

    review_job job;
    job.id = "00000000000000f1";
    job.steps = {{{"count", 1}, {"cpu", 1000}, {"mem_mb", 1024}, {"estimated_ms", 1000}}};
    if (!scene.submit(job))
        return couldNotRun;
    int crashes = 0;
    int starts = 0;
    int later = 0; // starts after the allowed crashes
    const auto count = [&] {
        crashes = starts = later = 0;
        for (const seen_run &one : scene.seen()) {
            if (one.event == "crashed")
                ++crashes;
            if (one.event != "start")
                continue;
            ++starts;
            later += crashes >= crashesAllowed ? 1 : 0;
        }
        return later >= startsAfterThem + 2;
    };
    scene.wait(watchTime, count);
    const std::string state = scene.stateOf(job);
    scene.note(fmt::format("{} starts, {} crashes; starts after the third crash: {}; state: {}",
                           starts, crashes, later, state));
    return later >= startsAfterThem ? ruleBroken : ruleHeld;
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
