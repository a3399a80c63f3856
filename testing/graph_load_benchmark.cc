// Runs a planner of graph jobs under a mixed load in virtual time, with each of the settings that
// place work, and shows what they change for callers.
//
//   build/graph_load_benchmark [rate [slowdown [seeds]]]
//
// The load is that of the booking deployment (docs/design/hard-load.md) times `rate`. Two of six
// images make each other's tasks take `slowdown` times as long. Workers are equal and never fail.
// The figures depend on the seeds only, not on the machine.

#include "testing/planner_scene_support.h"

#include <fmt/format.h>

#include <array>
#include <cmath>
#include <cstdlib>
#include <map>
#include <random>
#include <string>

using namespace goldcrest;

namespace {

constexpr int workers = 61;
constexpr resources machine{32'000, 128'000, 8};
constexpr int imageCount = 6;
constexpr duration loadTime = 90s;
constexpr duration drainTime = 60s;

struct queue_load
{
    double perSecond;
    std::int32_t tasks;
    std::int64_t cores;
    double runTime; // s, median
    double slack;
    double target; // s
    double value; // on time
    double lateShare; // of the value up to three times the target
};

constexpr std::array<queue_load, 3> loads{{{1.24, 5, 3700, 2.5, 1.5, 0.3, 4, 0.8},
                                           {0.751, 6, 13'000, 6.8, 3, 1, 3, 0.9},
                                           {0.359, 39, 2800, 6.1, 3, 3, 1, 0.3}}};

struct load_result
{
    std::array<int, 3> jobs{};
    std::array<int, 3> onTime{};
    double value = 0;
    double stretch = 0; // sum over the jobs
    double urgentDelay = 0; // s, sum
    int stopped = 0;
    double wasted = 0;
    std::size_t pairs = 0;
};

class load_run
{
public:
    load_run(const run_planner_options &options, double rate, double slowdown, unsigned seed)
        : m_scene(options, workers, machine)
        , m_random(seed)
        , m_rate(rate)
    {
        m_scene.setSlowdown([slowdown](const std::string &image, const std::string &neighbour) {
            const bool isPair = image != neighbour && (image == "i0" || image == "i1")
                && (neighbour == "i0" || neighbour == "i1");
            return isPair ? slowdown : 1;
        });
    }

    void run()
    {
        constexpr duration tick = 100ms;
        std::array<double, 3> next{};
        for (std::size_t queue = 0; queue < loads.size(); ++queue)
            next[queue] = interval(loads[queue].perSecond * m_rate);
        for (duration passed = 0ms; passed < loadTime; passed += tick) {
            m_scene.advance(tick);
            const double time = std::chrono::duration<double>(passed).count();
            constexpr double period = 14;
            const double swing = 1 + 0.5 * std::sin(time * 2 * M_PI / period);
            for (std::size_t queue = 0; queue < loads.size(); ++queue) {
                for (; next[queue] <= time;
                     next[queue] += interval(loads[queue].perSecond * m_rate * swing))
                    submit(queue);
            }
        }
        m_scene.advance(drainTime);
    }

    void addTo(load_result &result) const
    {
        for (const auto &[id, job] : m_scene.results())
            addJob(result, job, m_queues.at(id), m_runTimes.at(id));
        result.stopped += m_scene.stoppedRuns();
        result.wasted += m_scene.wastedCoreSeconds();
    }

    std::size_t pairs() { return m_scene.planner().interferingPairs(); }

private:
    double interval(double perSecond)
    {
        return std::exponential_distribution<>(perSecond)(m_random);
    }

    double factor(double deviation)
    {
        return std::exp(std::normal_distribution<>(0, deviation)(m_random));
    }

    void submit(std::size_t queue)
    {
        constexpr std::int64_t accelerators[] = {1, 2, 4, 8};
        constexpr double runTimeDeviation = 0.3;
        constexpr double declaredDeviation = 0.5;
        const queue_load &load = loads[queue];
        const double runTime = load.runTime * factor(runTimeDeviation);
        const auto inMs = [](double seconds) { return duration(std::llround(seconds * 1000)); };
        step_spec step;
        step.count = load.tasks;
        step.perTask = {load.cores, 1024, queue == 2 ? 1 : accelerators[m_random() % 4]};
        step.estimated = inMs(runTime * factor(declaredDeviation));
        step.checkpointing = queue > 0;
        step.image = fmt::format("i{}", m_random() % imageCount);
        const std::string id = fmt::format("j{}", m_queues.size());
        m_queues[id] = queue;
        m_runTimes[id] = runTime;
        m_scene.addJob(id, static_cast<std::int32_t>(queue), step, inMs(runTime));
    }

    static void addJob(load_result &result, const scene_job &job, std::size_t queue, double runTime)
    {
        ++result.jobs[queue];
        if (!job.doneAt)
            return;
        const queue_load &load = loads[queue];
        const double took = std::chrono::duration<double>(*job.doneAt - job.addedAt).count();
        const double target = load.slack * runTime + load.target;
        result.stretch += took / runTime;
        if (queue == 0)
            result.urgentDelay += std::chrono::duration<double>(*job.begunAt - job.addedAt).count();
        if (took <= target)
            ++result.onTime[queue];
        if (took <= 3 * target)
            result.value += load.value * (took <= target ? 1 : load.lateShare);
    }

    planner_scene m_scene;
    std::mt19937 m_random;
    double m_rate;
    std::map<std::string, std::size_t> m_queues;
    std::map<std::string, double> m_runTimes; // s
};

load_result measure(bool urgentRoom, bool interference, double rate, double slowdown, int seeds)
{
    run_planner_options options;
    options.stopTime = 200ms;
    options.checkpointInterval = 500ms;
    options.urgentRoom = urgentRoom;
    options.interference = interference;
    load_result result;
    for (int seed = 1; seed <= seeds; ++seed) {
        load_run one(options, rate, slowdown, static_cast<unsigned>(seed));
        one.run();
        one.addTo(result);
        result.pairs += one.pairs();
    }
    return result;
}

} // namespace

int main(int argc, char **argv)
{
    const double rate = argc > 1 ? std::atof(argv[1]) : 1;
    const double slowdown = argc > 2 ? std::atof(argv[2]) : 1;
    const int seeds = argc > 3 ? std::atoi(argv[3]) : 4;
    fmt::print("rate {}, slowdown {}, {} seeds\n", rate, slowdown, seeds);
    fmt::print("{:<13} {:>11} {:>11} {:>11} {:>8} {:>8} {:>9} {:>8} {:>8} {:>6}\n", "settings",
               "q0 on time", "q1 on time", "q2 on time", "value", "stretch", "q0 wait s", "stopped",
               "wasted", "pairs");
    for (const auto &[name, urgentRoom, interference] :
         {std::tuple("none", false, false), std::tuple("urgentRoom", true, false),
          std::tuple("interference", false, true), std::tuple("both", true, true)}) {
        const load_result one = measure(urgentRoom, interference, rate, slowdown, seeds);
        const int jobs = one.jobs[0] + one.jobs[1] + one.jobs[2];
        const auto onTime = [&](std::size_t queue) {
            return fmt::format("{}/{}", one.onTime[queue], one.jobs[queue]);
        };
        fmt::print("{:<13} {:>11} {:>11} {:>11} {:>8.0f} {:>8.3f} {:>9.3f} {:>8} {:>8.0f} {:>6}\n",
                   name, onTime(0), onTime(1), onTime(2), one.value, one.stretch / jobs,
                   one.urgentDelay / one.jobs[0], one.stopped, one.wasted, one.pairs);
    }
    return EXIT_SUCCESS;
}
