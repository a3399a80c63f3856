#include "testing/contended_load_support.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace goldcrest {

namespace {

constexpr resources workerCapacity{32'000, 131'072, 8};
constexpr int teams = 10;
constexpr int largeTeams = 2;
constexpr double largeTeamShare = 0.6; // of the jobs

struct queue_load
{
    double jobsPerSecond;
    std::int32_t tasks;
    double seconds;
    std::int64_t cores; // thousandths
    bool variesAccelerators;
    double gangShare;
    double slackFactor;
    duration target;
};

// The booking deployment of docs/design/hard-load.md.
constexpr queue_load queues[] = {{1.24, 5, 2.5, 3700, true, 0.2, 1.5, 300ms},
                                 {0.751, 6, 6.8, 13'000, true, 0.4, 3, 1s},
                                 {0.359, 39, 6.1, 2800, false, 0, 3, 3s}};

class load_source
{
public:
    load_source(planner_cell &cell, const contended_load &load)
        : m_cell(cell)
        , m_random(load.seed)
        , m_demand(load.demand)
    { }

    // Hands in the jobs of one tick.
    void submitTick(duration passed)
    {
        constexpr double period = 13; // of the demand, in seconds
        constexpr double swing = 0.5;
        constexpr double fullTurn = 6.2831853;
        const double seconds = static_cast<double>(passed.count()) / 1000;
        const double demand = m_demand * (1 + swing * std::sin(fullTurn * seconds / period));
        constexpr double tickSeconds = static_cast<double>(planner_cell::tick.count()) / 1000;
        for (std::int32_t priority = 0; priority < 3; ++priority) {
            const double mean = queues[priority].jobsPerSecond * demand * tickSeconds;
            const int count = std::poisson_distribution<int>(mean)(m_random);
            for (int i = 0; i < count; ++i)
                submit(priority);
        }
    }

private:
    double fraction() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    std::string team()
    {
        const bool isLarge = fraction() < largeTeamShare;
        const int index = isLarge
            ? std::uniform_int_distribution<int>(0, largeTeams - 1)(m_random)
            : std::uniform_int_distribution<int>(largeTeams, teams - 1)(m_random);
        return "t" + std::to_string(index);
    }

    void submit(std::int32_t priority)
    {
        constexpr double medianRunTime = 0.85; // of the mean
        constexpr double spread = 0.5;
        constexpr double declaredSpread = 0.4;
        constexpr double checkpointingShare = 0.7;
        const queue_load &queue = queues[priority];
        std::lognormal_distribution<double> varied(0, spread);
        std::lognormal_distribution<double> declared(0, declaredSpread);
        step_spec step;
        // A job in ten is three times as wide.
        step.count = fraction() < 0.1 ? queue.tasks * 3 : queue.tasks;
        std::geometric_distribution<int> more(0.45);
        step.perTask
            = {queue.cores, 2048, queue.variesAccelerators ? std::min(8, 1 + more(m_random)) : 1};
        step.gang = fraction() < queue.gangShare;
        step.checkpointing = fraction() < checkpointingShare;
        const double seconds = queue.seconds * medianRunTime * varied(m_random);
        const auto runTime = duration(static_cast<std::int64_t>(seconds * 1000) + 100);
        step.estimated = scaled(runTime, declared(m_random));
        m_cell.submit("j" + std::to_string(m_next++), priority, team(), step, runTime);
    }

    planner_cell &m_cell;
    std::mt19937 m_random;
    double m_demand;
    int m_next = 0;
};

} // namespace

void runContendedLoad(planner_cell &cell, const contended_load &load)
{
    constexpr std::int64_t guaranteed = 8;
    for (int i = 0; i < teams; ++i)
        cell.addTeam("t" + std::to_string(i), i % 3 == 0 ? guaranteed : 0);
    for (std::int32_t priority = 0; priority < 3; ++priority) {
        cell.policyOf(priority).slackFactor = queues[priority].slackFactor;
        cell.policyOf(priority).completionTarget = queues[priority].target;
    }
    cell.addWorkers(load.workers, workerCapacity);
    load_source source(cell, load);
    for (duration passed = 0ms; passed < load.time; passed += planner_cell::tick) {
        source.submitTick(passed);
        cell.run(planner_cell::tick);
    }
    cell.run(3s);
}

contended_report contendedReportOf(const planner_cell &cell)
{
    contended_report report;
    report.stops = cell.stops();
    report.wastedCoreSeconds = cell.wastedCoreSeconds();
    std::map<std::string, std::pair<double, double>> byTeam;
    double served[2] = {0, 0};
    double arrived[2] = {0, 0};
    for (const auto &[id, outcome] : cell.outcomes()) {
        constexpr double fullValue[] = {4, 3, 1};
        const auto priority = static_cast<std::size_t>(outcome.queue.back() - '0');
        const double value = valueOf(outcome);
        report.value += value;
        report.possibleValue += fullValue[priority];
        byTeam[outcome.team].first += value;
        byTeam[outcome.team].second += fullValue[priority];
        ++report.jobs[priority];
        report.onTime[priority] += value == fullValue[priority] ? 1 : 0;
        report.mostStopsOfAJob = std::max(report.mostStopsOfAJob, outcome.stops);
        const std::size_t kind = outcome.tasks > queues[priority].tasks ? 1 : 0;
        arrived[kind] += 1;
        served[kind] += outcome.startedAt ? 1 : 0;
    }
    for (const auto &[team, values] : byTeam)
        report.worstTeam = std::min(report.worstTeam, values.first / values.second);
    if (arrived[1] > 0 && served[0] > 0)
        report.wideServed = served[1] / arrived[1] / (served[0] / arrived[0]);
    return report;
}

} // namespace goldcrest
