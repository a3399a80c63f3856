// A tenant's guaranteed accelerators are taken by a job of another tenant that runs until it is
// cancelled. The tenant then hands in a job of priority 0 within its guarantee.

#include "review/stage-3/scene.h"

#include <fmt/format.h>

#include <algorithm>
#include <iostream>

using namespace goldcrest;

namespace {

constexpr int servers = 3;
constexpr int gpusOfServer = 8;
constexpr int guaranteed = 8;
constexpr duration reclaimTime = 2700ms; // reclaim_ms
constexpr duration watchTime = 15s; // after that

int run()
{
    scene_options options;
    options.sidecars = servers;
    options.configuration = smallConfiguration(guaranteed);
    const std::string lasting = "00000000000000b1";
    options.planOf = [lasting](const std::string &task, std::int32_t) {
        run_plan plan;
        plan.lasts = task.rfind(lasting, 0) == 0;
        plan.length = 2500ms;
        return plan;
    };
    review_scene scene("review/11/record.txt", options);
    if (!scene.start())
        return couldNotRun;

    // Without the disruption, tenant b leaves the guarantee of tenant a idle.
    const int taken = servers * gpusOfServer - (hasTrouble() ? 0 : guaranteed);
    review_job borrower;
    borrower.id = lasting;
    borrower.prefix = "/batch/";
    borrower.key = "key-b";
    borrower.steps = {{{"count", taken},
                       {"cpu", 1000},
                       {"mem_mb", 1024},
                       {"gpus", 1},
                       {"estimated_ms", 5000},
                       {"long_running", true},
                       {"max_missing", guaranteed}}};
    if (!scene.submit(borrower)
        || !scene.wait(10s, [&] { return scene.runningTasks(borrower.id) == taken; }))
        return couldNotRun;
    // Calm, and longer than any bound of the deployment.
    scene.pass(8s);

    review_job owner;
    owner.id = "00000000000000a1";
    owner.steps
        = {{{"count", 1}, {"cpu", 7500}, {"mem_mb", 39000}, {"gpus", 4}, {"estimated_ms", 2500}}};
    const std::optional<time_point> acknowledgedAt = scene.submit(owner);
    if (!acknowledgedAt)
        return couldNotRun;
    const auto hasBegun = [&] {
        return std::any_of(scene.seen().begin(), scene.seen().end(), [&](const seen_run &one) {
            return one.event == "start" && one.task.rfind(owner.id, 0) == 0;
        });
    };
    const bool isInTime = scene.wait(reclaimTime, hasBegun);
    const bool isLate = !isInTime && scene.wait(watchTime, hasBegun);
    const std::string state = scene.stateOf(owner);
    scene.note(fmt::format("the job within the guarantee {} (state: {})",
                           isInTime     ? "began in time"
                               : isLate ? "began late"
                                        : "has not begun 15 s after its time",
                           state));
    return isInTime ? ruleHeld : ruleBroken;
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
