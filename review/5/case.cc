// The time of day of a machine jumps back between two starts of its server. The sidecar then takes
// the heartbeats of the second lifetime for late ones of an earlier lifetime, while a start that it
// repeats runs in it. The planner counts the lease of the worker as over and starts the task again.

#include "review/stage/stage.h"

#include <vector>

using namespace goldcrest;
using namespace goldcrest::review;

namespace {

constexpr duration clockJump = 2400ms; // the size of a jump in the users' sites
constexpr duration upBeforeCrash = 1000ms;
constexpr duration downTime = 800ms;
constexpr duration taskTime = 30s;
constexpr duration watched = 20s;

int run(const std::string &directory)
{
    stage scene(directory);
    scene.publishConfiguration({{"plans", 1}});
    backend &small = scene.addBackend("side-1", {2'000, 8'192, 0});
    backend &large = scene.addBackend("side-2", {64'000, 262'144, 0});
    scene.startSidecar(small);
    scene.startSidecar(large);
    scene.startFront();
    large.begin({"i-2"});
    if (!scene.waitUntilServing(25s))
        return scene.finish(verdict::CouldNotRun, "the deployment does not serve");

    // A server comes up while the clock of its machine is ahead, and crashes. The clock is right
    // again when it starts under the same id.
    lifetime first{"i-1"};
    first.clockError = hasTrouble() ? clockJump : 0ms;
    small.begin(first);
    scene.runFor(upBeforeCrash);
    small.crash();
    const std::string id = scene.newId();
    if (scene.submit("plans", id, taskTime, {stepOf(1, 1'000, 1'000)}) != 200)
        return scene.finish(verdict::CouldNotRun, "the job was not accepted");
    scene.runFor(downTime);
    small.begin({"i-1"});

    scene.runUntil([&] { return !scene.overlap().empty(); }, watched);
    scene.runFor(1s); // shows in the record for how long both work
    if (!scene.hasStarted(id))
        return scene.finish(verdict::CouldNotRun, "the task never started");
    if (scene.overlap().empty())
        return scene.finish(verdict::Held, "no two runs of the task at the same time");
    return scene.finish(verdict::Broken, scene.overlap());
}

} // namespace

int main(int, char **argv)
{
    return run(argv[1]);
}
