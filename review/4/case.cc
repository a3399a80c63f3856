// A server hangs, crashes, and starts again under the same id. Its sidecar has repeated a start all
// the while, and the new lifetime carries it out, though the planner has counted the lease of the
// worker as over and started the task elsewhere.

#include "review/stage/stage.h"

#include <vector>

using namespace goldcrest;
using namespace goldcrest::review;

namespace {

constexpr duration hangTime = 5500ms; // for_s of srv_grey (hang) in the users' site
constexpr duration downTime = 4500ms; // for_s of srv_crash in the users' site
constexpr duration untilFirstHeartbeat = 1000ms; // of a new lifetime; heartbeat_ms is 1,500
constexpr duration taskTime = 20s;
constexpr duration watched = 5s;

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
    scene.runFor(2s);

    if (hasTrouble())
        small.hang();
    scene.runFor(200ms);
    const std::string id = scene.newId();
    if (scene.submit("plans", id, taskTime, {stepOf(1, 1'000, 1'000)}) != 200)
        return scene.finish(verdict::CouldNotRun, "the job was not accepted");
    scene.runFor(hangTime - 200ms);
    if (hasTrouble())
        small.crash();
    scene.runFor(downTime);
    if (hasTrouble()) {
        lifetime next{"i-1"};
        next.registersAfter = untilFirstHeartbeat;
        small.begin(next);
    }
    scene.runUntil([&] { return !scene.overlap().empty(); }, watched);
    scene.runFor(2s); // shows in the record for how long both work
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
