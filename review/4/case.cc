// The deregistration of a server that has left arrives late, after its next lifetime has begun
// under the same id. The sidecar takes it for one of the new lifetime, which gets no work from then
// on, though it says that it is ready.

#include "review/stage/stage.h"

#include <fmt/format.h>

#include <vector>

using namespace goldcrest;
using namespace goldcrest::review;

namespace {

constexpr duration drainTime = 2500ms; // drain_ms and a little more
constexpr duration downTime = 1000ms;
constexpr duration lateBy = 3000ms;
constexpr duration finishTime = 14s; // finish_s
constexpr duration watched = 3s; // for which a job has nothing running

int run(const std::string &directory)
{
    stage scene(directory);
    scene.publishConfiguration({{"plans", 1}});
    backend &special = scene.addBackend("side-1", {64'000, 262'144, 0}, {"b", "r1-1"});
    backend &other = scene.addBackend("side-2", {64'000, 262'144, 0}, {"a", "r1-1"});
    scene.startSidecar(special);
    scene.startSidecar(other);
    scene.startFront();
    special.begin({"i-1"});
    other.begin({"i-2"});
    if (!scene.waitUntilServing(25s))
        return scene.finish(verdict::CouldNotRun, "the deployment does not serve");

    special.drain();
    scene.runFor(drainTime);
    special.leave(hasTrouble() ? lateBy : 0ms);
    scene.runFor(downTime);
    special.begin({"i-1"});
    scene.runFor(lateBy + 1s);

    json step = stepOf(1, 1'000, 1'000);
    step["required_label"] = "b";
    const std::string id = scene.newId();
    if (scene.submit("plans", id, 200ms, {step}) != 200)
        return scene.finish(verdict::CouldNotRun, "the job was not accepted");
    scene.runUntil([&] { return scene.hasStarted(id); }, finishTime + watched);
    const std::string state = scene.stateOf("plans", id);
    scene.note(fmt::format("caller: job {} is {}", id, state));
    if (scene.hasStarted(id))
        return scene.finish(verdict::Held, "the job has started");
    return scene.finish(verdict::Broken,
                        fmt::format("{} s after its acceptance the job has not started, and the "
                                    "server that has its label is ready and idle",
                                    (finishTime + watched) / 1s));
}

} // namespace

int main(int, char **argv)
{
    return run(argv[1]);
}
