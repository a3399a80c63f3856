// A job whose record outgrows the largest value of the store is accepted. Its record can never be
// stored, nor can those that are written in the same transaction: other jobs never start.

#include "review/stage/stage.h"

#include <fmt/format.h>

#include <vector>

using namespace goldcrest;
using namespace goldcrest::review;

namespace {

// The largest steps that are accepted. The submission has 900 bytes.
constexpr std::int32_t tasksPerStep = 10'000;
constexpr std::size_t stepCount = 12;
constexpr int laterJobs = 5;
constexpr duration finishTime = 14s; // finish_s
constexpr duration watched = 3s; // for which a job has nothing running

int run(const std::string &directory)
{
    stage scene(directory);
    scene.publishConfiguration({{"plans", 1}, {"forecasts", 2}});
    for (const char *name : {"side-1", "side-2", "side-3"}) {
        backend &server = scene.addBackend(name, {64'000, 262'144, 8});
        scene.startSidecar(server);
        server.begin({});
    }
    scene.startFront();
    if (!scene.waitUntilServing(25s))
        return scene.finish(verdict::CouldNotRun, "the deployment does not serve");

    const std::size_t steps = hasTrouble() ? stepCount : 1;
    const std::string large = scene.newId();
    const int answered = scene.submit("forecasts", large, 200ms,
                                      std::vector<json>(steps, stepOf(tasksPerStep, 1000, 1000)));
    scene.runFor(1s);
    std::vector<std::string> ids;
    for (int i = 0; i < laterJobs; ++i) {
        ids.push_back(scene.newId());
        if (scene.submit("plans", ids.back(), 200ms, {stepOf(1, 1000, 1000)}) != 200)
            return scene.finish(verdict::CouldNotRun, "a job was not accepted");
    }
    scene.runFor(finishTime + watched);
    int waiting = 0;
    for (const std::string &id : ids) {
        scene.note(fmt::format("caller: job {} is {}", id, scene.stateOf("plans", id)));
        waiting += scene.hasStarted(id) ? 0 : 1;
    }
    const bool isLargeLost = answered == 200 && !scene.hasStarted(large);
    return scene.finish(waiting > 0 || isLargeLost ? verdict::Broken : verdict::Held,
                        fmt::format("{} s after the last of {} jobs, {} of them have not started; "
                                    "the large job was answered {} and has {}started",
                                    (finishTime + watched) / 1s, laterJobs, waiting, answered,
                                    isLargeLost ? "not " : ""));
}

} // namespace

int main(int, char **argv)
{
    return run(argv[1]);
}
