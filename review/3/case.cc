// Servers crash by turns. A job whose starts were ordered just after each of the crashes, and which
// no server ever ran when it crashed, is given up as one that crashes its servers.

#include "review/stage/stage.h"

#include <fmt/format.h>

#include <vector>

using namespace goldcrest;
using namespace goldcrest::review;

namespace {

constexpr duration downTime = 1300ms;
constexpr int crashes = 3;
constexpr duration untilFirstHeartbeat = 300ms; // of a new lifetime; heartbeat_ms is 1,500
constexpr duration watched = 17s; // finish_s and 3 s

int run(const std::string &directory)
{
    stage scene(directory);
    scene.publishConfiguration({{"plans", 0}, {"forecasts", 2}});
    std::vector<backend *> servers;
    for (const char *name : {"side-1", "side-2"})
        servers.push_back(&scene.addBackend(name, {16'000, 262'144, 0}));
    // The planner is on a machine whose server runs nothing here.
    backend &other = scene.addBackend("side-3", {500, 1'000, 0});
    scene.startSidecar(other);
    scene.runFor(1500ms);
    scene.startFront();
    for (backend *server : servers)
        scene.startSidecar(*server);
    other.begin({"i-side-3"});
    for (backend *server : servers)
        server->begin({"i-" + server->worker()});
    if (!scene.waitUntilServing(25s))
        return scene.finish(verdict::CouldNotRun, "the deployment does not serve");

    // Other work, which leaves room for no more of its kind on each server.
    for (int i = 0; i < 2; ++i)
        scene.submit("forecasts", scene.newId(), 60s, {stepOf(1, 9'000, 1'000)});
    scene.runFor(2s);

    const std::string id = scene.newId();
    for (int i = 0; i < crashes; ++i) {
        backend &next = *servers[static_cast<std::size_t>(i % 2)];
        if (hasTrouble())
            next.crash();
        if (i == 0 && scene.submit("plans", id, 2s, {stepOf(1, 1'000, 1'000)}) != 200)
            return scene.finish(verdict::CouldNotRun, "the job was not accepted");
        scene.runFor(downTime);
        if (!hasTrouble())
            continue;
        lifetime begun{"i-" + next.worker()};
        begun.registersAfter = untilFirstHeartbeat;
        next.begin(begun);
    }
    std::string state;
    const time_point end = scene.loop().now() + watched;
    while (scene.loop().now() < end && state != "failed" && state != "completed") {
        scene.runFor(500ms);
        state = scene.stateOf("plans", id);
    }
    scene.note(fmt::format("caller: job {} is {}", id, state));
    int lost = 0;
    for (const task_run &one : scene.runs())
        lost += one.task.substr(0, id.size()) == id && one.how == "the server ended" ? 1 : 0;
    const std::string seen = fmt::format(
        "the job is {}; {} of its runs were at work when their server crashed", state, lost);
    return scene.finish(state == "failed" && lost < 2 ? verdict::Broken : verdict::Held, seen);
}

} // namespace

int main(int, char **argv)
{
    return run(argv[1]);
}
