// A server crashes and starts again under the same id. A start that its sidecar repeats is carried
// out by the new lifetime, which completes the task before its first check-in. The sidecar
// acknowledges that end without having seen it, and the task runs once more.

#include "review/stage/stage.h"

#include <fmt/format.h>

#include <vector>

using namespace goldcrest;
using namespace goldcrest::review;

namespace {

constexpr duration downTime = 1000ms;
constexpr duration untilFirstHeartbeat = 1000ms; // of a new lifetime; heartbeat_ms is 1,500
constexpr duration taskTime = 200ms;
constexpr duration watched = 10s;
constexpr int earlierJobs = 3;

int run(const std::string &directory)
{
    stage scene(directory);
    scene.publishConfiguration({{"plans", 1}});
    backend &small = scene.addBackend("side-1", {2'000, 8'192, 0});
    backend &large = scene.addBackend("side-2", {64'000, 262'144, 0});
    scene.startSidecar(small);
    scene.startSidecar(large);
    scene.startFront();
    small.begin({"i-1"});
    large.begin({"i-2"});
    if (!scene.waitUntilServing(25s))
        return scene.finish(verdict::CouldNotRun, "the deployment does not serve");
    for (int i = 0; i < earlierJobs; ++i) {
        if (scene.submit("plans", scene.newId(), taskTime, {stepOf(1, 1'000, 1'000)}) != 200)
            return scene.finish(verdict::CouldNotRun, "a job was not accepted");
        scene.runFor(taskTime * 3);
    }

    if (hasTrouble())
        small.crash();
    const std::string id = scene.newId();
    if (scene.submit("plans", id, taskTime, {stepOf(1, 1'000, 1'000)}) != 200)
        return scene.finish(verdict::CouldNotRun, "the job was not accepted");
    scene.runFor(downTime);
    if (hasTrouble()) {
        lifetime next{"i-1"};
        next.registersAfter = untilFirstHeartbeat;
        small.begin(next);
    }
    scene.runUntil([&] { return !scene.startAfterDone().empty(); }, watched);
    scene.runFor(1s);
    const std::string state = scene.stateOf("plans", id);
    scene.note(fmt::format("caller: job {} is {}", id, state));
    if (!scene.hasStarted(id))
        return scene.finish(verdict::CouldNotRun, "the task never started");
    if (scene.startAfterDone().empty())
        return scene.finish(verdict::Held, "no task started after it was done");
    return scene.finish(verdict::Broken, scene.startAfterDone());
}

} // namespace

int main(int, char **argv)
{
    return run(argv[1]);
}
