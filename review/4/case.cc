// A machine with a running task is suspended for seconds, and its sidecar ends soon after. The
// lease of the task does not count the time of the suspension, but the planner does: it starts the
// task again elsewhere while the first run goes on.

#include "review/stage/stage.h"

#include <vector>

using namespace goldcrest;
using namespace goldcrest::review;

namespace {

constexpr duration suspension = 5000ms; // of node_freeze, where no other time is given
constexpr duration downTime = 3500ms; // for_s of node_kill in the users' site
constexpr duration taskTime = 40s;
constexpr duration watched = 10s;

int run(const std::string &directory)
{
    stage scene(directory);
    scene.publishConfiguration({{"plans", 1}});
    backend &small = scene.addBackend("side-1", {2'000, 8'192, 0});
    backend &large = scene.addBackend("side-2", {64'000, 262'144, 0});
    // The sidecar that starts first is elected, so that the planner is on another machine.
    scene.startSidecar(large);
    scene.startFront();
    large.begin({"i-2"});
    if (!scene.waitUntilServing(25s))
        return scene.finish(verdict::CouldNotRun, "the deployment does not serve");
    scene.startSidecar(small);
    small.begin({"i-1"});
    scene.runFor(2s);

    const std::string id = scene.newId();
    if (scene.submit("plans", id, taskTime, {stepOf(1, 1'000, 1'000)}) != 200)
        return scene.finish(verdict::CouldNotRun, "the job was not accepted");
    scene.runFor(3s);
    if (!scene.hasStarted(id) || scene.runs().back().worker != "side-1")
        return scene.finish(verdict::CouldNotRun, "the task did not start on the first machine");

    if (hasTrouble()) {
        scene.processes().pause("side-1");
        small.suspend();
    }
    scene.runFor(suspension);
    if (hasTrouble())
        small.resume();
    scene.note("side-1: the sidecar is killed");
    scene.processes().kill("side-1");
    scene.runFor(downTime);
    scene.note("side-1: the sidecar starts again");
    scene.startSidecar(small);

    scene.runUntil([&] { return !scene.overlap().empty(); }, watched);
    scene.runFor(2s); // shows in the record for how long both work
    if (scene.overlap().empty())
        return scene.finish(verdict::Held, "no two runs of the task at the same time");
    return scene.finish(verdict::Broken, scene.overlap());
}

} // namespace

int main(int, char **argv)
{
    return run(argv[1]);
}
