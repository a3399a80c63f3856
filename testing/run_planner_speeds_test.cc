#include "goldcrest/run_planner.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

constexpr epoch someEpoch = 5;
constexpr duration reportInterval = 500ms;

struct simulated_run
{
    double work = 0; // run time at speed 1, ms
    double done = 0;
};

// A worker that runs what it is told to run, at its own speed.
struct simulated_worker
{
    double speed = 1;
    std::string incarnation = "l1";
    std::map<run_id, simulated_run> running;
    std::vector<ended_task> ended;
    std::int64_t ordersSeen = 0;
    std::int64_t lastEnd = 0;
};

// Outcome of a job, and where its first run was placed.
struct simulated_job
{
    time_point addedAt{};
    time_point endedAt{};
    double work = 0; // run time of each task at speed 1, ms
};

} // namespace

// A planner with simulated workers and a store that replies at once.
TEST_GROUP(run_planner_speeds)
{
    time_point now{std::chrono::hours(1)};
    std::shared_ptr<queue_catalogue> catalogue = std::make_shared<queue_catalogue>();
    std::unique_ptr<run_planner> planner;
    std::map<std::string, simulated_worker> workers;
    std::map<std::string, simulated_job> jobs;
    std::map<std::string, graph_job> specs;
    std::map<std::string, job_progress> records; // as stored
    std::vector<std::pair<std::string, std::string>> placed; // task and worker, in order
    std::map<std::string, int> decisions; // by reason, or else by event
    std::string lastSpeedOf; // inputs of the last recorded run
    std::mt19937_64 random{3};

    void setup() override
    {
        catalogue->at = 1;
        for (std::int32_t priority = 0; priority < 3; ++priority) {
            queue_entry queue;
            queue.name = "q" + std::to_string(priority);
            queue.policy.service = "s";
            queue.policy.priority = priority;
            queue.policy.maxAttempts = 3;
            queue.policy.slackFactor = 3;
            queue.policy.completionTarget = 3s;
            catalogue->queues.push_back(queue);
        }
        catalogue->teams.push_back({"t", {}, 0});
        begin(true);
    }

    // Begins with a new planner, and without workers and jobs.
    void begin(bool useSpeeds)
    {
        run_planner_options options;
        options.workerSpeeds = useSpeeds;
        planner = std::make_unique<run_planner>(options, someEpoch, now);
        workers.clear();
        jobs.clear();
        specs.clear();
        records.clear();
        placed.clear();
        decisions.clear();
        random.seed(3);
    }

    void addWorkers(std::size_t count, double speed)
    {
        for (std::size_t i = 0; i < count; ++i)
            workers["w" + std::to_string(10 + workers.size())].speed = speed;
    }

    // @param work run time of each task at speed 1
    void addJob(const std::string &id, std::int32_t priority, const step_spec &step, duration work)
    {
        graph_job job;
        job.id = id;
        job.queue = "q" + std::to_string(priority);
        job.team = "t";
        job.policy = catalogue->queues[static_cast<std::size_t>(priority)].policy;
        job.steps.push_back(step);
        job.acceptedAt = wall();
        planner->addJob(job, std::nullopt, wall(), now);
        jobs[id] = {now, {}, static_cast<double>(work.count())};
        specs[id] = job;
    }

    static step_spec makeStep(std::int32_t count, std::int64_t accelerators, duration estimated)
    {
        step_spec step;
        step.count = count;
        step.perTask = {1000, 1024, accelerators};
        step.estimated = estimated;
        return step;
    }

    unix_ms wall() const
    {
        return now.time_since_epoch().count();
    }

    worker_report_message reportOf(const std::string &name, const simulated_worker &worker) const
    {
        worker_report_message report;
        report.plannerEpoch = someEpoch;
        report.worker = name;
        report.incarnation = name + worker.incarnation;
        report.machine = name + "-machine";
        report.service = "s";
        report.failureDomain = "north";
        report.rack = "r1";
        report.capacity = {64'000, 100'000, 8};
        report.clock = wall();
        report.ordersSeen = worker.ordersSeen;
        report.ended = worker.ended;
        for (const auto &[run, state] : worker.running)
            report.running.push_back(
                {run, {}, static_cast<std::int32_t>(state.done / state.work * 100), 0});
        return report;
    }

    static std::string jobOf(const run_id &run)
    {
        return run.task.substr(0, run.task.find('.'));
    }

    // Returns the speed of the slowest member of each gang that runs.
    std::map<std::string, double> speedsOfGangs() const
    {
        std::map<std::string, double> speeds;
        for (const auto &[name, worker] : workers) {
            for (const auto &[run, state] : worker.running) {
                const std::string job = jobOf(run);
                if (!specs.at(job).steps[0].gang)
                    continue;
                const auto found = speeds.emplace(job, worker.speed).first;
                found->second = std::min(found->second, worker.speed);
            }
        }
        return speeds;
    }

    // Lets the runs of a worker progress, those of gangs at the speed of the slowest member. Those
    // that are done end.
    static void work(simulated_worker & worker, const std::map<std::string, double> &gangs)
    {
        for (auto it = worker.running.begin(); it != worker.running.end();) {
            const auto gang = gangs.find(jobOf(it->first));
            const double speed = gang == gangs.end() ? worker.speed : gang->second;
            it->second.done += static_cast<double>(reportInterval.count()) * speed;
            if (it->second.done < it->second.work) {
                ++it;
                continue;
            }
            worker.ended.push_back({++worker.lastEnd, it->first, run_end::Done, {}});
            it = worker.running.erase(it);
        }
    }

    void carryOut(const std::string &name, simulated_worker &worker)
    {
        const auto orders = planner->ordersFor(name, now);
        if (!orders)
            return;
        worker.ordersSeen = orders->sequence;
        for (const run_id &run : orders->stops) {
            if (worker.running.erase(run) > 0)
                worker.ended.push_back({++worker.lastEnd, run, run_end::Stopped, {}});
        }
        for (const start_order &start : orders->starts) {
            worker.running.insert({start.run, {jobs.at(jobOf(start.run)).work, 0}});
        }
        const auto isStored
            = [&](const ended_task &end) { return end.number <= orders->endsStored; };
        worker.ended.erase(std::remove_if(worker.ended.begin(), worker.ended.end(), isStored),
                           worker.ended.end());
    }

    void noteDecisions()
    {
        for (const run_decision &decision : planner->takeDecisions()) {
            ++decisions[decision.reason.empty() ? decision.event : decision.reason];
            if (decision.event != "run recorded")
                continue;
            placed.emplace_back(formatTask(decision.task), decision.worker);
            lastSpeedOf = decision.inputs;
        }
    }

    void planAndStore()
    {
        operator_view view;
        view.catalogue = catalogue;
        view.confirmedAt = now;
        planner->setView(view);
        planner->plan(wall(), now);
        for (const stored_change &change : planner->takeChanges(10000)) {
            records[change.job] = change.progress;
            if (change.state == graph_job_state::Completed
                && jobs[change.job].endedAt == time_point{})
                jobs[change.job].endedAt = now;
        }
        planner->onStored(planner->takeChanges(10000));
        noteDecisions();
    }

    void step()
    {
        now += reportInterval;
        const std::map<std::string, double> gangs = speedsOfGangs();
        for (auto &[name, worker] : workers) {
            work(worker, gangs);
            planner->onReport(reportOf(name, worker), wall(), now);
        }
        planAndStore();
        for (auto &[name, worker] : workers)
            carryOut(name, worker);
    }

    void run(duration time)
    {
        for (duration passed = 0ms; passed < time; passed += reportInterval)
            step();
    }

    duration noisy(duration usual, double spread)
    {
        std::normal_distribution<double> normal;
        return duration(
            std::llround(static_cast<double>(usual.count()) * std::exp(spread * normal(random))));
    }

    // Short single tasks that keep about half of the accelerators busy, so that all machines are
    // observed.
    // @param tailShare share of the tasks that take 7 times as long
    void runBackground(int rounds, double spread, double tailShare = 0)
    {
        std::uniform_real_distribution<double> share;
        for (int round = 0; round < rounds; ++round) {
            for (std::size_t i = 0; i < workers.size(); ++i) {
                const duration usual = 3s * (share(random) < tailShare ? 7 : 1);
                addJob("b" + std::to_string(jobs.size()), 2, makeStep(1, 5, 3s),
                       noisy(usual, spread));
            }
            run(4s);
        }
    }

    std::string workerOf(const std::string &task) const
    {
        for (auto it = placed.rbegin(); it != placed.rend(); ++it) {
            if (it->first == task)
                return it->second;
        }
        return {};
    }

    // Urgent jobs beside background work. Returns the mean time from their submission to their end.
    double meanUrgentTime(bool useSpeeds)
    {
        begin(useSpeeds);
        addWorkers(6, 0.8);
        addWorkers(6, 1.25);
        runBackground(20, 0.15);
        std::vector<std::string> urgent;
        for (int i = 0; i < 30; ++i) {
            for (int j = 0; j < 3; ++j)
                addJob("b" + std::to_string(jobs.size()), 2, makeStep(1, 5, 3s), noisy(3s, 0.15));
            run(500ms);
            urgent.push_back("u" + std::to_string(i));
            addJob(urgent.back(), 0, makeStep(2, 8, 5s), 5s);
            run(8s);
        }
        run(30s);
        double sum = 0;
        for (const std::string &id : urgent) {
            CHECK(jobs[id].endedAt != time_point{});
            sum += static_cast<double>((jobs[id].endedAt - jobs[id].addedAt).count());
        }
        return sum / static_cast<double>(urgent.size());
    }
};

// Load pattern: half of the workers run at 0.8 and half at 1.25 times the usual speed, beside low
// work that could use either. Urgent jobs must end sooner than without regard to the speeds.
TEST(run_planner_speeds, urgentJobsEndSoonerOnWorkersOfTwoSpeeds)
{
    const double blind = meanUrgentTime(false);
    const double aware = meanUrgentTime(true);
    CHECK_TEXT(aware < 0.85 * blind,
               (std::to_string(aware) + " and " + std::to_string(blind)).c_str());
}

// Load pattern: two speeds, and gangs of whole workers. A gang must not wait for one slow member
// while workers of one speed are free.
TEST(run_planner_speeds, gangsAreNotSpreadOverTwoSpeeds)
{
    addWorkers(1, 0.8);
    addWorkers(3, 1.25);
    addWorkers(4, 0.8);
    runBackground(30, 0.15);
    run(20s);
    LONGS_EQUAL(8,
                planner->machinesBySpeed().slow + planner->machinesBySpeed().fast
                    + planner->machinesBySpeed().usual);
    for (const std::int32_t members : {3, 4}) {
        step_spec step = makeStep(members, 8, 3s);
        step.gang = true;
        const std::string id = "g" + std::to_string(members);
        addJob(id, 0, step, 3s);
        run(1s);
        double slowest = 10;
        double fastest = 0;
        for (std::int32_t i = 0; i < members; ++i) {
            const double speed = workers.at(workerOf(id + ".0.0." + std::to_string(i))).speed;
            slowest = std::min(slowest, speed);
            fastest = std::max(fastest, speed);
        }
        DOUBLES_EQUAL(slowest, fastest, 0);
        run(20s);
    }
}

// Load pattern: equal workers and tasks whose length is uncertain. Every task must be placed where
// it is placed without speeds.
TEST(run_planner_speeds, equalWorkersGetTheSamePlacement)
{
    std::vector<std::pair<std::string, std::string>> blind;
    for (const bool useSpeeds : {false, true}) {
        begin(useSpeeds);
        addWorkers(10, 1);
        for (int i = 0; i < 40; ++i) {
            runBackground(1, 0.4, 0.03);
            step_spec gang = makeStep(3, 4, 3s);
            gang.gang = true;
            addJob("g" + std::to_string(i), 1, gang, noisy(3s, 0.4));
            addJob("u" + std::to_string(i), 0, makeStep(2, 3, 2s), noisy(2s, 0.4));
            run(1s);
        }
        if (!useSpeeds)
            blind = placed;
    }
    CHECK(planner->speedObservations() > 100);
    LONGS_EQUAL(0, planner->machinesBySpeed().slow + planner->machinesBySpeed().fast);
    CHECK(blind == placed);
}

// Load pattern: 3% of the tasks take 7 times as long. They make progress, so that none may be
// stopped as stuck, nor a worker be avoided for them.
TEST(run_planner_speeds, longTasksAreNotTakenForStuckOnes)
{
    addWorkers(10, 1);
    runBackground(60, 0.2, 0.03);
    run(60s);
    for (const auto &[id, job] : jobs)
        CHECK(job.endedAt != time_point{});
    LONGS_EQUAL(0, decisions["no progress"]);
    LONGS_EQUAL(0, decisions["run stopped"]);
    LONGS_EQUAL(0, decisions["worker avoided"]);
    LONGS_EQUAL(0,
                decisions["its tasks progress more slowly than tasks of the same steps elsewhere"]);
    LONGS_EQUAL(0, planner->machinesBySpeed().slow + planner->machinesBySpeed().fast);
}

// Load pattern: as above, with tasks of 30 s whose progress advances in steps. The stall limit
// follows the longest tasks of the queue, but a task that is stuck is still stopped.
TEST(run_planner_speeds, stallLimitFollowsTheLongTasksOfTheQueue)
{
    for (const bool useSpeeds : {false, true}) {
        begin(useSpeeds);
        addWorkers(4, 1);
        for (int i = 0; i < 150; ++i) {
            addJob("b" + std::to_string(i), 2, makeStep(1, 1, 30s), i % 20 == 7 ? 210s : 30s);
            run(5s);
        }
        run(250s);
        LONGS_EQUAL(0, decisions["no progress"]);
        addJob("stuck", 2, makeStep(1, 8, 30s), 10h);
        run(14s);
        LONGS_EQUAL(useSpeeds ? 0 : 1, decisions["no progress"]);
        run(14s);
        CHECK(decisions["no progress"] >= 1);
    }
}

// A backend server that restarts keeps the name of its machine, and with it the speed.
TEST(run_planner_speeds, restartOfABackendServerKeepsItsSpeed)
{
    addWorkers(5, 0.8);
    addWorkers(5, 1.25);
    runBackground(30, 0.15);
    run(20s);
    const speed_counts before = planner->machinesBySpeed();
    CHECK(before.slow >= 4 && before.fast >= 4);
    for (auto &[name, worker] : workers) {
        worker = simulated_worker{worker.speed, "l2", {}, {}, 0, 0};
    }
    run(5s);
    addJob("urgent", 0, makeStep(1, 8, 3s), 3s);
    run(1s);
    LONGS_EQUAL(before.slow, planner->machinesBySpeed().slow);
    LONGS_EQUAL(before.fast, planner->machinesBySpeed().fast);
    DOUBLES_EQUAL(1.25, workers.at(workerOf("urgent.0.0.0")).speed, 0);
    CHECK(lastSpeedOf.find("speed=1.00") == std::string::npos);
}

// A new planner knows no speeds. It takes over the runs, completes all jobs, and learns again.
TEST(run_planner_speeds, newPlannerLearnsTheSpeedsAgain)
{
    addWorkers(5, 0.8);
    addWorkers(5, 1.25);
    runBackground(30, 0.15);
    CHECK(planner->machinesBySpeed().fast >= 4);
    run_planner_options options;
    options.workerSpeeds = true;
    planner = std::make_unique<run_planner>(options, someEpoch, now);
    for (const auto &[id, spec] : specs) {
        const auto record = records.find(id);
        planner->addJob(spec,
                        record == records.end() ? std::nullopt : std::optional(record->second),
                        wall(), now);
    }
    for (auto &[name, worker] : workers)
        worker.ordersSeen = 0;
    LONGS_EQUAL(0, planner->machinesBySpeed().fast + planner->machinesBySpeed().usual);
    runBackground(30, 0.15);
    run(30s);
    for (const auto &[id, job] : jobs)
        CHECK(job.endedAt != time_point{});
    CHECK(planner->machinesBySpeed().fast >= 4);
}

// A reload that disables the setting applies at once: what was learned is dropped.
TEST(run_planner_speeds, disablingTheSettingDropsTheSpeeds)
{
    addWorkers(5, 0.8);
    addWorkers(5, 1.25);
    runBackground(30, 0.15);
    CHECK(planner->machinesBySpeed().fast >= 4);
    planner->setOptions(run_planner_options{});
    run(10s);
    LONGS_EQUAL(0, planner->machinesBySpeed().fast + planner->machinesBySpeed().usual);
    addJob("urgent", 0, makeStep(1, 8, 3s), 3s);
    run(1s);
    CHECK(lastSpeedOf.find("speed=1.00") != std::string::npos);
}

// Load pattern: wide steps over workers at 0.8 and 1.25 times the usual speed. A healthy worker
// that is slower than others must not be avoided, but one that turns five times slower must be.
TEST(run_planner_speeds, slowMachinesAreNotTakenForBrokenOnes)
{
    const std::string avoided
        = "its tasks progress more slowly than tasks of the same steps elsewhere";
    addWorkers(2, 0.8);
    addWorkers(6, 1.25);
    for (int i = 0; i < 30; ++i) {
        addJob("wide" + std::to_string(i), 2, makeStep(8, 5, 6s), noisy(6s, 0.1));
        run(10s);
    }
    LONGS_EQUAL(0, decisions[avoided]);
    CHECK(planner->machinesBySpeed().slow >= 2);
    workers.begin()->second.speed = 0.8 / 5;
    addJob("last", 2, makeStep(8, 5, 6s), 6s);
    run(10s);
    CHECK(decisions[avoided] > 0);
}
