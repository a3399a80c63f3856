// The cases of the review that are scripts.
//
//   target/review-2/stage NAME RECORD
//
// The variable TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case couldn't run.

#include "review/stage-2/stage.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

using namespace goldcrest;
using namespace goldcrest::review;
using nlohmann::json;

namespace {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int notRun = 2;

constexpr duration contactTime = 3s; // contact_ms
constexpr duration finishTime = 14s; // finish_s
constexpr duration idleTime = 3s; // of a job whose turn has come, in LOST

int verdict(stage &scene, bool isBroken, const std::string &what)
{
    scene.write(std::string(isBroken ? "BROKEN: " : "HELD: ") + what);
    std::cout << (isBroken ? "broken: " : "held: ") << what << std::endl;
    return isBroken ? broken : held;
}

json jobOf(const std::string &spec, const json &step)
{
    return {{"spec", spec}, {"steps", json::array({step})}};
}

// RECLAIM: another tenant's tasks that last use idle capacity when the owner of a guarantee claims
// it. Without the trouble they are tasks that end.
int reclaimFromLasting(stage &scene, bool hasTrouble)
{
    constexpr duration reclaimTime = 2700ms; // reclaim_ms
    const std::string borrower = "00000000000000b1";
    const std::string owner = "00000000000000a1";
    json step = {{"count", 32}, // as many as there are accelerators
                 {"cpu", 1000},
                 {"mem_mb", 1024},
                 {"gpus", 1},
                 {"estimated_ms", 60'000}};
    if (hasTrouble)
        step.update({{"long_running", true}, {"max_missing", 16}});
    if (scene.submit(0, "q2", borrower, jobOf(hasTrouble ? "lasts" : "work_ms=60000", step)).status
            != 200
        || !scene.waitUntil([&] { return scene.runningOf(borrower) == 32; }, 10s))
        return notRun;
    scene.wait(4s);
    const json claim = jobOf(
        "work_ms=2000",
        {{"count", 2}, {"cpu", 1000}, {"mem_mb", 1024}, {"gpus", 4}, {"estimated_ms", 2000}});
    if (scene.submit(1, "q0", owner, claim).status != 200)
        return notRun;
    const time_point accepted = scene.now();
    const auto hasBegun = [&] { return scene.startsOf(owner) == 2; };
    const bool isInTime = scene.waitUntil(hasBegun, reclaimTime);
    if (!isInTime)
        scene.waitUntil(hasBegun, 30s);
    scene.ask(0, "q0", owner);
    return verdict(scene, !isInTime,
                   fmt::format("{} ms after its acceptance, the job within the guarantee has begun "
                               "{} of 2 tasks; {} tasks of the other tenant run",
                               (scene.now() - accepted).count(), scene.startsOf(owner),
                               scene.runningOf(borrower)));
}

// BUDGET: a task crashes each server that starts it, before the answer to the start.
int deadlyStart(stage &scene, bool hasTrouble)
{
    constexpr std::size_t crashesBefore = 3;
    constexpr std::size_t startsAfter = 3;
    const std::string deadly = "00000000000000e1";
    const json job = jobOf(hasTrouble ? "crashes" : "work_ms=1000",
                           {{"count", 1}, {"cpu", 4000}, {"mem_mb", 4096}, {"estimated_ms", 1000}});
    if (scene.submit(0, "q2", deadly, job).status != 200)
        return notRun;
    scene.waitUntil([&] { return scene.startsOf(deadly) >= 3 * (crashesBefore + startsAfter); },
                    80s);
    scene.ask(1, "q2", deadly);
    const std::size_t starts = scene.startsOf(deadly);
    return verdict(scene, starts >= crashesBefore + startsAfter,
                   fmt::format("the task was started {} times, {} servers have crashed under it",
                               starts, scene.endsOf(deadly, "lost")));
}

// LOST: one accepted job has very many occurrences that are due. Without the trouble it has few.
int repeatedTooOften(stage &scene, bool hasTrouble)
{
    const std::string repeated = "00000000000000c1";
    const std::string other = "00000000000000a1";
    json job = jobOf("work_ms=1000",
                     {{"count", 1}, {"cpu", 2000}, {"mem_mb", 512}, {"estimated_ms", 1000}});
    job["repeat_count"] = hasTrouble ? 1'000'000 : 10;
    job["interval_ms"] = 60'000;
    if (scene.submit(0, "q2", repeated, job).status != 200)
        return notRun;
    scene.wait(3s);
    const json ordinary
        = jobOf("work_ms=500",
                {{"count", 1}, {"cpu", 1000}, {"mem_mb", 512}, {"gpus", 1}, {"estimated_ms", 500}});
    if (scene.submit(1, "q0", other, ordinary).status != 200)
        return notRun;
    const auto hasBegun = [&] { return scene.startsOf(other) > 0; };
    const bool isInTime = scene.waitUntil(hasBegun, finishTime + idleTime);
    if (!isInTime)
        scene.waitUntil(hasBegun, 40s);
    scene.ask(0, "q0", other);
    scene.ask(0, "q2", repeated);
    return verdict(scene, !isInTime,
                   fmt::format("the other job has {}begun; processes were killed {} times for "
                               "their memory, {} ended by themselves; {} tasks of the repeated "
                               "job have started",
                               hasBegun() ? "" : "not ", scene.killsForMemory(),
                               scene.endsByThemselves(), scene.startsOf(repeated)));
}

// LOST: a repeated job has many occurrences that are due, and the planner's process is killed.
int repeatedAndKilled(stage &scene, bool hasTrouble)
{
    const std::string repeated = "00000000000000c1";
    json job = jobOf("work_ms=1000",
                     {{"count", 10}, {"cpu", 2000}, {"mem_mb", 512}, {"estimated_ms", 1000}});
    job["repeat_count"] = 2500;
    if (scene.submit(0, "q2", repeated, job).status != 200
        || !scene.waitUntil([&] { return scene.endsOf(repeated, "done") > 200; }, 20s))
        return notRun;
    scene.ask(1, "q2", repeated);
    if (hasTrouble)
        scene.kill(scene.planner(), 3500ms);
    scene.wait(3500ms + contactTime + finishTime);
    const std::size_t before = scene.startsOf(repeated);
    int unanswered = 0;
    constexpr int questions = 10;
    for (int i = 0; i < questions; ++i) {
        unanswered += scene.ask(i % 2, "q2", repeated).status == 200 ? 0 : 1;
        scene.wait(1s);
    }
    const std::size_t started = scene.startsOf(repeated) - before;
    return verdict(scene,
                   unanswered == questions || (started == 0 && scene.runningOf(repeated) == 0),
                   fmt::format("{} of {} questions about the accepted job got no answer; meanwhile "
                               "{} of its tasks have started, and {} run",
                               unanswered, questions, started, scene.runningOf(repeated)));
}

// LOST: the server of a task that lasts crashes, while small tasks start on all servers.
int lastingAfterCrash(stage &scene, bool hasTrouble)
{
    constexpr duration downTime = 2s;
    constexpr duration calmBefore = 4s; // in LOST
    const std::string lasting = "00000000000000d1";
    const json serving = jobOf("lasts",
                               {{"count", 1},
                                {"cpu", 4000},
                                {"mem_mb", 4096},
                                {"estimated_ms", 60'000},
                                {"long_running", true}});
    if (scene.submit(0, "q0", lasting, serving).status != 200
        || !scene.waitUntil([&] { return scene.runningOf(lasting) == 1; }, 10s))
        return notRun;
    const json small = jobOf("work_ms=1200",
                             {{"count", 8},
                              {"cpu", 1000},
                              {"mem_mb", 512},
                              {"estimated_ms", 1200},
                              {"max_per_server", 1}});
    int sent = 0;
    const timer_handle traffic = scene.loop().every(800ms, [&] {
        constexpr int firstId = 4096;
        scene.submitLater(sent % 2, "q2", fmt::format("{:016x}", firstId + sent), small);
        ++sent;
    });
    scene.wait(5s);
    if (hasTrouble)
        scene.crashServerOf(lasting, downTime);
    scene.wait(downTime);
    // Both the 6 s after the last run and the calm 4 s end here.
    const time_point countedFrom = scene.now() + calmBefore;
    time_point idleSince = countedFrom;
    duration longest = 0ms;
    scene.waitUntil(
        [&] {
            if (scene.runningOf(lasting) > 0)
                idleSince = std::max(countedFrom, scene.now());
            longest = std::max(longest, scene.now() - idleSince);
            return false;
        },
        40s);
    return verdict(scene, longest > idleTime,
                   fmt::format("the task that lasts did not run for {} ms of calm time; {} other "
                               "tasks started in all",
                               longest.count(), scene.starts().size() - scene.startsOf(lasting)));
}

struct script
{
    const char *name;
    int (*run)(stage &scene, bool hasTrouble);
    int sidecars;
};

constexpr script scripts[] = {{"reclaim-from-lasting", &reclaimFromLasting, 4},
                              {"deadly-start", &deadlyStart, 8},
                              {"repeated-too-often", &repeatedTooOften, 4},
                              {"repeated-and-killed", &repeatedAndKilled, 4},
                              {"lasting-after-crash", &lastingAfterCrash, 8}};

int runCase(const std::string &name, const std::string &recordPath)
{
    const char *trouble = std::getenv("TROUBLE");
    const bool hasTrouble = trouble == nullptr || std::string(trouble) != "0";
    for (const script &one : scripts) {
        if (name != one.name)
            continue;
        stage_options options;
        options.sidecars = one.sidecars;
        stage scene(options, recordPath);
        return scene.start() ? one.run(scene, hasTrouble) : notRun;
    }
    return notRun;
}

} // namespace

int main(int count, char **arguments)
{
    if (count != 3)
        return notRun;
    try {
        return runCase(arguments[1], arguments[2]);
    } catch (const std::exception &error) {
        std::cerr << error.what() << std::endl;
        return notRun;
    }
}
