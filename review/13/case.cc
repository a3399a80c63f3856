// The store is down for 4.5 s. After that a change of the configuration takes a public route away
// and adds 1,400 other ones. Fronts with a link of 10 Mbit/s are asked for the route that is gone.

#include "review/stage-3/scene.h"

#include <fmt/format.h>

#include <iostream>

using namespace goldcrest;

namespace {

constexpr int fronts = 2;
constexpr int linkMbps = 10; // of the smaller machines
constexpr duration downTime = 4500ms;
constexpr int moreRoutes = 1400;
// A request sent later than 3 s after the acknowledgement (config_apply_ms) counts, if the machine
// is in touch: 4 s after the store's disruption (contact_ms).
constexpr duration applyTime = 4s;
constexpr duration watchTime = 30s; // after that

nlohmann::json routeOf(int number)
{
    return {{"name", fmt::format("r-more{:04}", number)},
            {"host", "more.example"},
            {"prefix", fmt::format("/more{:04}/", number)},
            {"kind", "non_idempotent"},
            {"timeout_ms", 3000},
            {"target_completion_ms", 3000},
            {"priority", 2},
            {"service", "svc"},
            {"max_attempts", 3},
            {"slack_factor", 3.0},
            {"public", false}};
}

int run()
{
    scene_options options;
    options.fronts = fronts;
    options.frontLinkMbps = linkMbps;
    options.configuration = smallConfiguration(0);
    options.planOf = [](const std::string &, std::int32_t) { return run_plan{}; };
    nlohmann::json changed = options.configuration;
    changed["version"] = 8;
    nlohmann::json gone = changed["routes"][1];
    gone["name"] = "gone";
    gone["prefix"] = "/gone/";
    gone["public"] = true;
    options.configuration["routes"].push_back(gone);
    for (int i = 0; hasTrouble() && i < moreRoutes; ++i)
        changed["routes"].push_back(routeOf(i));
    review_scene scene("review/13/record.txt", options);
    if (!scene.start())
        return couldNotRun;
    scene.pass(4s);
    for (int i = 0; i < fronts; ++i) {
        if (scene.callAndWait("GET", "/gone/", "", {}, i).status != 200)
            return couldNotRun;
    }

    if (hasTrouble()) {
        bool isDown = true;
        scene.storeHook = [&](const std::string &, const soak_request &,
                              const review_scene::respond_function &respond) {
            if (isDown)
                respond(503, "{}");
            return isDown;
        };
        scene.note("store: busy");
        scene.pass(downTime);
        isDown = false;
        scene.storeHook = nullptr;
        scene.note("store: serves again");
    }
    scene.configure(changed);
    const time_point end = scene.now() + applyTime + watchTime;
    scene.pass(applyTime + 100ms);
    int served = 0;
    while (scene.now() < end) {
        for (int i = 0; i < fronts; ++i)
            served += scene.callAndWait("GET", "/gone/", "", {}, i).status == 200 ? 1 : 0;
        scene.pass(1s);
    }
    scene.note(fmt::format("{} requests to the route that is gone were served later than 4 s after "
                           "the acknowledgement",
                           served));
    return served > 0 ? ruleBroken : ruleHeld;
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
