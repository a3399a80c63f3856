// A job of a queue with advice is asked for while the only server that may run it restarts. The
// planner takes the answer, which names none of the other servers, as final, and never asks about
// the server that is back.

#include "review/stage/stage.h"

#include <fmt/format.h>

#include <vector>

using namespace goldcrest;
using namespace goldcrest::review;

namespace {

constexpr duration downTime = 4500ms; // for_s of srv_crash in the users' sites
constexpr duration untilSubmission = 3000ms; // after the crash
constexpr duration finishTime = 14s; // finish_s
constexpr duration watched = 3s; // for which a job has nothing running

int run(const std::string &directory)
{
    stage scene(directory);
    scene.publishConfiguration({{"plans", 1}, {"approved", 1, true}});
    scene.startAdvice({"i-1"});
    backend &allowed = scene.addBackend("side-1", {64'000, 262'144, 8});
    backend &other = scene.addBackend("side-2", {64'000, 262'144, 8});
    scene.startSidecar(allowed);
    scene.startSidecar(other);
    allowed.begin({"i-1"});
    other.begin({"i-2"});
    scene.startFront();
    if (!scene.waitUntilServing(25s))
        return scene.finish(verdict::CouldNotRun, "the deployment does not serve");

    if (hasTrouble())
        allowed.crash();
    scene.runFor(untilSubmission);
    const std::string id = scene.newId();
    if (scene.submit("approved", id, 200ms, {stepOf(1, 1'000, 1'000)}) != 200)
        return scene.finish(verdict::CouldNotRun, "the job was not accepted");
    scene.runFor(downTime - untilSubmission);
    if (hasTrouble())
        allowed.begin({"i-1"});
    scene.runUntil([&] { return scene.hasStarted(id); }, finishTime + watched);
    scene.note(fmt::format("caller: job {} is {}", id, scene.stateOf("approved", id)));
    if (scene.hasStarted(id))
        return scene.finish(verdict::Held, "the job has started");
    return scene.finish(verdict::Broken,
                        fmt::format("{} s after the server is back the job has not started, and "
                                    "the server is idle",
                                    (finishTime + watched) / 1s));
}

} // namespace

int main(int, char **argv)
{
    return run(argv[1]);
}
