#include "testing/planner_scene_support.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

run_planner_options withRoom(bool isOn)
{
    run_planner_options options;
    options.stopTime = 200ms;
    options.urgentRoom = isOn;
    return options;
}

step_spec makeStep(std::int32_t count, std::int64_t accelerators, duration estimated)
{
    step_spec step;
    step.count = count;
    step.perTask = {3700, 1024, accelerators};
    step.estimated = estimated;
    return step;
}

constexpr resources machine{32'000, 128'000, 8};

std::int64_t countOf(const planner_scene &scene, const std::string &event)
{
    const std::vector<run_decision> &all = scene.decisions();
    return std::count_if(all.begin(), all.end(),
                         [&](const run_decision &one) { return one.event == event; });
}

// Load pattern: a wave of urgent jobs under wide ones of 6.8 s. Wide jobs fill the service, and an
// urgent job comes when they have begun.
void fillAndWait(planner_scene &scene)
{
    scene.advance(1s);
    for (int i = 0; i < 32; ++i)
        scene.addJob("wide" + std::to_string(i), 1, makeStep(16, 8, 6800ms), 6800ms);
    scene.advance(2s);
    scene.addJob("first", 0, makeStep(2, 8, 2500ms), 2500ms);
    scene.advance(1s);
}

} // namespace

TEST_GROUP(run_planner_urgent){};

// Load pattern: a wave of urgent jobs under wide ones. Guards against wide jobs that take the last
// free workers while the wave lasts: the next urgent jobs would stop runs, which wastes their work.
TEST(run_planner_urgent, urgentJobsOfAWaveFindFreeWorkersUnderWideOnes)
{
    int stopped[] = {0, 0};
    duration waited[] = {0ms, 0ms};
    for (const bool isOn : {false, true}) {
        planner_scene scene(withRoom(isOn), 64, machine);
        fillAndWait(scene);
        const int before = scene.stoppedRuns();
        CHECK(before > 0);
        for (int i = 0; i < 8; ++i) {
            scene.advance(2s);
            scene.addJob("urgent" + std::to_string(i), 0, makeStep(2, 8, 2500ms), 2500ms);
        }
        scene.advance(10s);
        for (int i = 0; i < 8; ++i) {
            const scene_job &urgent = scene.results().at("urgent" + std::to_string(i));
            CHECK(urgent.doneAt.has_value());
            waited[isOn ? 1 : 0] += *urgent.begunAt - urgent.addedAt;
        }
        stopped[isOn ? 1 : 0] = scene.stoppedRuns() - before;
        LONGS_EQUAL(isOn ? 1 : 0,
                    std::min<std::int64_t>(1, countOf(scene, "room for urgent work")));
    }
    CHECK(stopped[0] > 0);
    LONGS_EQUAL(0, stopped[1]);
    CHECK(waited[1] * 4 < waited[0]);
}

// Guards against idle capacity: the workers that were kept free are used again once nothing urgent
// has arrived lately.
TEST(run_planner_urgent, wideJobsTakeAllWorkersOnceTheWaveIsOver)
{
    planner_scene scene(withRoom(true), 64, machine);
    fillAndWait(scene);
    scene.advance(4s);
    LONGS_EQUAL(2, scene.freeWorkers());
    scene.advance(10s);
    LONGS_EQUAL(0, scene.freeWorkers());
    LONGS_EQUAL(0, scene.planner().urgentRoom().needed.accelerators);
}

// Load pattern: no urgent jobs. Guards the deployments that have none: each run is placed as
// without the setting.
TEST(run_planner_urgent, placementIsTheSameWithoutUrgentJobs)
{
    std::vector<std::string> placed[2];
    for (const bool isOn : {false, true}) {
        planner_scene scene(withRoom(isOn), 16, machine);
        for (int i = 0; i < 120; ++i) {
            const int size = i * 7 % 11;
            scene.addJob("j" + std::to_string(i), 1 + i % 2,
                         makeStep(1 + size, 1 + i * 5 % 8, duration(500) * (1 + size)),
                         duration(400) * (1 + i % 9));
            scene.advance(300ms);
        }
        for (const run_decision &one : scene.decisions()) {
            if (one.event == "run recorded")
                placed[isOn ? 1 : 0].push_back(formatTask(one.task) + " " + one.worker);
        }
        LONGS_EQUAL(0, countOf(scene, "room for urgent work"));
    }
    CHECK(placed[0].size() > 400);
    CHECK(placed[0] == placed[1]);
}

// Guards against idle capacity: short work, and work that needs little, uses the workers that are
// kept from long wide work.
TEST(run_planner_urgent, shortAndNarrowWorkUsesTheRoom)
{
    planner_scene scene(withRoom(true), 64, machine);
    fillAndWait(scene);
    scene.advance(4s);
    const int room = scene.freeWorkers();
    CHECK(room > 0);
    scene.addJob("short", 2, makeStep(8, 8, 1s), 1s);
    scene.addJob("narrow", 2, makeStep(1, 2, 6800ms), 6800ms);
    scene.advance(200ms);
    CHECK(scene.results().at("short").begunAt.has_value()
          || scene.results().at("narrow").begunAt.has_value());
    CHECK(scene.freeWorkers() < room);
}

// Guards against capacity that is held for as long as an urgent job waits that no worker can run.
TEST(run_planner_urgent, jobThatCanNotRunHoldsNoRoom)
{
    planner_scene scene(withRoom(true), 64, machine);
    scene.advance(1s);
    step_spec impossible = makeStep(1, 1, 2500ms);
    impossible.requiredLabel = "missing";
    scene.addJob("impossible", 0, impossible, 2500ms);
    for (int i = 0; i < 30; ++i) {
        scene.addJob("urgent" + std::to_string(i), 0, makeStep(2, 1, 2500ms), 2500ms);
        scene.advance(1s);
    }
    CHECK(scene.planner().urgentRoom().roomClass() == urgent_room_class::Preferred);
}

// Failure: the planner is lost. Guards against a successor that waits for what it has not learned,
// or takes old jobs for new ones.
TEST(run_planner_urgent, successorLearnsFromStoredJobs)
{
    planner_scene scene(withRoom(true), 64, machine);
    fillAndWait(scene);
    CHECK(scene.planner().urgentRoom().needed.accelerators > 0);
    scene.replacePlanner();
    scene.advance(1s);
    CHECK(scene.planner().urgentRoom().needed.accelerators > 0);
    scene.advance(20s);
    LONGS_EQUAL(0, scene.planner().urgentRoom().needed.accelerators);
    scene.replacePlanner();
    scene.advance(1s);
    LONGS_EQUAL(0, scene.planner().urgentRoom().needed.accelerators);
    scene.advance(40s);
    CHECK(scene.results().at("first").doneAt.has_value());
}

// Guards against a setting that needs a restart.
TEST(run_planner_urgent, changedSettingAppliesInTheCurrentTerm)
{
    planner_scene scene(withRoom(true), 64, machine);
    fillAndWait(scene);
    scene.advance(4s);
    CHECK(scene.freeWorkers() > 0);
    scene.setOptions(withRoom(false));
    scene.advance(1s);
    LONGS_EQUAL(0, scene.freeWorkers());
    LONGS_EQUAL(0, scene.planner().urgentRoom().needed.accelerators);
}

// Guards the log: the room changes its class a few times in a minute at most.
TEST(run_planner_urgent, logsFewChangesOfTheRoom)
{
    planner_scene scene(withRoom(true), 8, machine);
    for (int i = 0; i < 120; ++i) {
        scene.addJob("u" + std::to_string(i), 0, makeStep(5, 1 + i % 8, 2500ms), 2500ms);
        scene.addJob("w" + std::to_string(i), 1, makeStep(6, 1 + i % 8, 6800ms), 6800ms);
        scene.advance(1s);
    }
    CHECK(countOf(scene, "room for urgent work") >= 1);
    CHECK(countOf(scene, "room for urgent work") <= 20);
}
