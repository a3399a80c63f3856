#include "testing/planner_scene_support.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

constexpr resources machine{32'000, 128'000, 8};

run_planner_options withInterference(bool isOn)
{
    run_planner_options options;
    options.interference = isOn;
    return options;
}

step_spec makeStep(std::int32_t count, std::int64_t accelerators, const std::string &image)
{
    step_spec step;
    step.count = count;
    step.perTask = {2000, 1024, accelerators};
    step.estimated = 5s;
    step.image = image;
    return step;
}

// Tasks of "red" and "blue" take 1.8 times as long beside each other.
double redAndBlue(const std::string &image, const std::string &neighbour)
{
    const std::set<std::string> both{image, neighbour};
    return both == std::set<std::string>{"red", "blue"} ? 1.8 : 1;
}

// Lets jobs of three images come and go for a while, so that there are neighbours of each kind.
void mixImages(planner_scene &scene, duration time)
{
    const char *images[] = {"red", "blue", "green"};
    const time_point end = scene.now() + time;
    for (int i = 0; scene.now() < end; ++i) {
        scene.addJob("mix" + std::to_string(scene.now().time_since_epoch().count()), 1,
                     makeStep(5 + i % 4, 1, images[i % 3]), 5s);
        scene.advance(700ms);
    }
    scene.advance(30s);
}

int countOf(const planner_scene &scene, const std::string &event)
{
    const std::vector<run_decision> &all = scene.decisions();
    return static_cast<int>(std::count_if(
        all.begin(), all.end(), [&](const run_decision &one) { return one.event == event; }));
}

// Returns the number of workers that run jobs of both kinds, whose ids begin with these letters.
int workersWithBoth(const planner_scene &scene, int workers, char a, char b)
{
    int both = 0;
    for (int i = 0; i < workers; ++i) {
        std::set<char> kinds;
        for (const std::string &id : scene.jobsOn(i))
            kinds.insert(id[0]);
        both += kinds.count(a) > 0 && kinds.count(b) > 0 ? 1 : 0;
    }
    return both;
}

} // namespace

TEST_GROUP(run_planner_interference){};

// Load pattern: two images that slow each other. Where there is room they are kept apart.
TEST(run_planner_interference, imagesThatSlowEachOtherAreKeptApartWhereThereIsRoom)
{
    constexpr int workers = 12;
    int together[] = {0, 0};
    for (const bool isOn : {false, true}) {
        planner_scene scene(withInterference(isOn), workers, machine);
        scene.setSlowdown(redAndBlue);
        scene.advance(1s);
        mixImages(scene, 90s);
        LONGS_EQUAL(isOn ? 2 : 0, scene.planner().interferingPairs());
        LONGS_EQUAL(isOn ? 2 : 0, countOf(scene, "interference found"));
        scene.addJob("red", 1, makeStep(4, 1, "red"), 5s);
        scene.advance(200ms);
        scene.addJob("blue", 1, makeStep(4, 1, "blue"), 5s);
        scene.advance(200ms);
        CHECK(scene.results().at("blue").begunAt.has_value());
        together[isOn ? 1 : 0] = workersWithBoth(scene, workers, 'r', 'b');
    }
    CHECK(together[0] > 0);
    LONGS_EQUAL(0, together[1]);
}

// Load pattern: two images that slow each other, and no room. Guards against work that waits
// because of interference alone.
TEST(run_planner_interference, imagesThatSlowEachOtherRunTogetherWhereThereIsNoRoom)
{
    constexpr int workers = 12;
    planner_scene scene(withInterference(true), workers, machine);
    scene.setSlowdown(redAndBlue);
    scene.advance(1s);
    mixImages(scene, 90s);
    LONGS_EQUAL(2, scene.planner().interferingPairs());
    scene.addJob("red", 1, makeStep(workers, 5, "red"), 5s);
    scene.advance(200ms);
    scene.addJob("blue", 1, makeStep(workers, 3, "blue"), 5s);
    scene.advance(200ms);
    LONGS_EQUAL(workers, workersWithBoth(scene, workers, 'r', 'b'));
}

// Load pattern: the same image alone. It has no control, and must be packed as before.
TEST(run_planner_interference, sameImageAloneIsPlacedAsBefore)
{
    std::vector<std::string> placed[2];
    for (const bool isOn : {false, true}) {
        planner_scene scene(withInterference(isOn), 12, machine);
        scene.setSlowdown([](const std::string &, const std::string &) { return 1.5; });
        for (int i = 0; i < 60; ++i) {
            scene.addJob("j" + std::to_string(i), 1 + i % 2, makeStep(1 + i % 7, 8, "red"),
                         duration(1000) * (1 + i % 5));
            scene.advance(700ms);
        }
        for (const run_decision &one : scene.decisions()) {
            if (one.event == "run recorded")
                placed[isOn ? 1 : 0].push_back(formatTask(one.task) + " " + one.worker);
        }
        LONGS_EQUAL(0, scene.planner().interferingPairs());
    }
    CHECK(placed[0].size() > 100);
    CHECK(placed[0] == placed[1]);
}

// Guards against pairs that are found in noise: declared and real run times differ, no task slows
// another.
TEST(run_planner_interference, imagesThatDoNotSlowEachOtherGiveNoPair)
{
    planner_scene scene(withInterference(true), 12, machine);
    scene.advance(1s);
    mixImages(scene, 180s);
    LONGS_EQUAL(0, countOf(scene, "interference found"));
}

// Guards against worker speeds that are taken for interference: the same images may meet on slow
// workers again and again.
TEST(run_planner_interference, workersOfDifferentSpeedGiveNoPair)
{
    planner_scene scene(withInterference(true), 12, machine);
    scene.setSpeeds({0.8, 1.25, 1, 1, 0.8, 1.25, 1.25});
    scene.advance(1s);
    mixImages(scene, 180s);
    LONGS_EQUAL(0, countOf(scene, "interference found"));
}

// Failure: the planner is lost, and with it what it has learned. Guards against work that waits for
// it; it is learned again.
TEST(run_planner_interference, successorPlacesAsBeforeAndLearnsAgain)
{
    planner_scene scene(withInterference(true), 12, machine);
    scene.setSlowdown(redAndBlue);
    scene.advance(1s);
    mixImages(scene, 90s);
    LONGS_EQUAL(2, scene.planner().interferingPairs());
    scene.addJob("late", 1, makeStep(6, 1, "red"), 5s);
    scene.advance(1s);
    scene.replacePlanner();
    LONGS_EQUAL(0, scene.planner().interferingPairs());
    mixImages(scene, 90s);
    LONGS_EQUAL(2, scene.planner().interferingPairs());
    for (const auto &[id, job] : scene.results())
        CHECK(job.doneAt.has_value());
}

// Guards against a setting that needs a restart.
TEST(run_planner_interference, changedSettingAppliesInTheCurrentTerm)
{
    planner_scene scene(withInterference(true), 12, machine);
    scene.setSlowdown(redAndBlue);
    scene.advance(1s);
    mixImages(scene, 90s);
    LONGS_EQUAL(2, scene.planner().interferingPairs());
    scene.setOptions(withInterference(false));
    scene.advance(200ms);
    LONGS_EQUAL(0, scene.planner().interferingPairs());
}

// The pace control decides on serving and best-effort tasks, so neither is learned from or kept
// apart. Tasks without an image are known by their queue.
TEST(run_planner_interference, leavesServingAndBestEffortTasksToThePaceControl)
{
    planner_scene scene(withInterference(true), 12, machine);
    scene.setSlowdown([](const std::string &image, const std::string &neighbour) {
        return image != neighbour ? 1.8 : 1;
    });
    scene.advance(1s);
    step_spec serving = makeStep(4, 1, "serving");
    serving.longRunning = true;
    serving.latencyTarget = 100ms;
    scene.addJob("serving", 1, serving, 24h);
    for (int i = 0; i < 60; ++i) {
        step_spec spare = makeStep(6, 0, "spare");
        spare.bestEffort = true;
        scene.addJob("spare" + std::to_string(i), 2, spare, 5s);
        scene.addJob("plain" + std::to_string(i), 1, makeStep(6, 1, {}), 5s);
        scene.advance(1500ms);
    }
    LONGS_EQUAL(0, scene.planner().interferingPairs());
}
