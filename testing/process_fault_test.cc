// Concurrent runs of the real processes under faults. The history checker decides: every promise of
// docs/design.md must hold whatever the order of events. Each scenario has a system of its own; a
// few run at the same time, since they mostly wait for leases.

#include "testing/system_support.h"

#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace goldcrest;
using nlohmann::json;

namespace {

// The library's leak check is not safe with threads. It is turned off before any other static
// object allocates, since memory must not be freed in another mode than it was allocated in.
struct leak_check_off
{
    leak_check_off() { MemoryLeakWarningPlugin::turnOffNewDeleteOverloads(); }
};
[[gnu::init_priority(101)]] leak_check_off leakCheckOff;

constexpr std::size_t parallelScenarios = 4;
constexpr duration longPause = 14s; // longer than every lease
constexpr int workerCount = 4;

enum class job_step { Acceptance, Hold, Start, Result };

constexpr std::array<job_step, 4> allSteps{job_step::Acceptance, job_step::Hold, job_step::Start,
                                           job_step::Result};

// One scenario with its own system. Problems are collected, because the checks of the test library
// work on the main thread only.
class scenario
{
public:
    explicit scenario(const std::string &name, int entries = 2)
        : m_name(name)
        , m_system(optionsOf(name, entries))
    { }

    bool start() { return expect(m_system.start(), "the system did not start"); }

    bool expect(bool condition, const std::string &what)
    {
        if (!condition)
            m_problems.push_back(m_name + ": " + what);
        return condition;
    }

    // Submits one job that may run twice and one that may not.
    void submitPair(const std::string &id, duration runTime, int entry = 1)
    {
        m_pair = {jobOf(id + "-once", false, runTime), jobOf(id + "-again", true, runTime)};
        for (const test_job &job : m_pair)
            m_system.startSubmit(entry, job);
        runClient(20ms);
    }

    // Waits until the step of a job of the pair was reached.
    void waitForStep(job_step step)
    {
        const auto seen = [&](const char *source, const char *event) {
            runClient(5ms);
            return m_system.countEvents(source, event, m_pair[0].id) > 0
                || m_system.countEvents(source, event, m_pair[1].id) > 0;
        };
        switch (step) {
        case job_step::Acceptance:
            return;
        case job_step::Hold:
            waitFor([&] { return seen("agent-", "hold"); });
            return;
        case job_step::Start:
            waitFor([&] { return seen("backend-", "taskStart"); });
            return;
        case job_step::Result:
            waitFor([&] { return seen("backend-", "taskEnd"); });
            return;
        }
    }

    // Waits for both outcomes, as a caller does that asks again after its connection broke.
    void settlePair(int entry = 2)
    {
        for (const test_job &job : m_pair)
            settle(job, entry);
    }

    void settle(const test_job &job, int entry)
    {
        test_answer answer;
        const bool settled = waitFor(
            [&] {
                answer = m_system.queryJob(entry, job, 2s);
                if (answer.errorCode() == 110) // no record: the submission never arrived
                    answer = m_system.submit(entry, job, 2s);
                return answer.isFinal() || answer.notRun();
            },
            2 * conditionLimit);
        expect(settled, job.id + " got no outcome: " + answer.body.dump());
        // An idempotent job without a deadline must complete whatever faults occur.
        if (settled && job.idempotent && job.deadline == 0ms)
            expect(answer.outcome() == "completed", job.id + " ended as " + answer.body.dump());
    }

    // Kills a process at each step of a pair of jobs and starts it again.
    void killAtEachStep(const std::function<std::string()> &victimOf)
    {
        int round = 0;
        for (const job_step step : allSteps) {
            const std::string id = "kill" + std::to_string(++round);
            submitPair(id, 1s);
            waitForStep(step);
            const std::string victim = victimOf();
            if (victim.compare(0, 8, "backend-") == 0)
                m_system.killBackend(victim.substr(8));
            else
                m_system.processes().kill(victim);
            m_system.restart(victim);
            settlePair();
            expect(m_system.waitForWorkers(2, workerCount), "a worker did not come back");
            expect(m_system.waitForWorkers(1, workerCount), "entry 1 did not come back");
        }
    }

    void pauseAndResume(const std::string &victim)
    {
        submitPair("pause-" + victim, 3s);
        waitForStep(job_step::Start);
        m_system.processes().pause(victim);
        const test_job during = jobOf("during-" + victim, true, 200ms);
        m_system.startSubmit(2, during);
        runClient(longPause);
        m_system.processes().resume(victim);
        settlePair();
        settle(during, 2);
        expect(m_system.waitForWorkers(2, workerCount), "a worker did not come back");
    }

    // Lets the client's calls go on for a time.
    void runClient(duration time)
    {
        m_system.client().wait([] { return false; }, time);
    }

    // Returns the agent that is the planner.
    std::string planner()
    {
        std::string worker;
        const bool found = waitFor([&] {
            worker = m_system.planner(2);
            return !worker.empty();
        });
        expect(found, "no planner was elected");
        return "agent-" + (found ? worker : m_system.workers().front().name);
    }

    std::string member()
    {
        const std::string leader = planner();
        for (const worker_place &worker : m_system.workers()) {
            std::string agent = "agent-" + worker.name;
            if (agent != leader)
                return agent;
        }
        return {};
    }

    std::vector<std::string> finish()
    {
        for (const violation &broken : m_system.check())
            m_problems.push_back(m_name + ": " + broken.text());
        return std::move(m_problems);
    }

    test_system &system() { return m_system; }

    static test_job jobOf(const std::string &id, bool idempotent, duration runTime)
    {
        test_job job;
        job.id = id;
        job.idempotent = idempotent;
        job.runTime = runTime;
        job.accelerators = 5; // two tasks do not fit on one worker
        return job;
    }

private:
    static system_options optionsOf(const std::string &name, int entries)
    {
        system_options options;
        options.name = name;
        options.entries = entries;
        return options;
    }

    std::string m_name;
    test_system m_system;
    std::vector<test_job> m_pair;
    std::vector<std::string> m_problems;
};

using scenario_body = std::function<void(scenario &)>;

struct named_scenario
{
    std::string name;
    scenario_body run;
};

// SIGKILL at acceptance, hold, start and result.

void killEntry(scenario &run)
{
    run.killAtEachStep([] { return std::string("entry-1"); });
}

void killPlanner(scenario &run)
{
    run.killAtEachStep([&run] { return run.planner(); });
}

void killMember(scenario &run)
{
    run.killAtEachStep([&run] { return run.member(); });
}

void killBackend(scenario &run)
{
    run.killAtEachStep([] { return std::string("backend-w2"); });
}

// SIGSTOP longer than every lease, then SIGCONT.

void pausePlanner(scenario &run)
{
    run.pauseAndResume(run.planner());
}

void pauseEntryAndMember(scenario &run)
{
    run.pauseAndResume("entry-1");
    run.pauseAndResume(run.member());
}

// Links cut one way and both ways, between an entry and the planner.
void cutLinks(scenario &run)
{
    test_system &system = run.system();
    for (const std::string direction : {"=sending", "=receiving", "=both"}) {
        run.submitPair("cut" + direction.substr(1), 1s);
        run.expect(system.cutLinks(1, {system.linkAddress(run.planner()) + direction}),
                   "the link was not cut");
        run.runClient(6s);
        run.expect(system.cutLinks(1, {}), "the link was not restored");
        run.settlePair();
    }
}

// The store loses answers, is slow, and is down; each while jobs are in progress.
void faultyStore(scenario &run)
{
    test_system &system = run.system();
    run.expect(system.storeFaults({{"loseAnswers", 6}}), "no faults");
    run.submitPair("lost", 500ms);
    run.settlePair();
    run.expect(system.storeFaults({{"loseAnswers", 0}, {"delayMs", 300}}), "no faults");
    run.submitPair("slow", 500ms);
    run.settlePair();
    run.expect(system.storeFaults({{"delayMs", 0}, {"down", true}}), "no faults");
    run.submitPair("down", 500ms);
    test_job bounded = scenario::jobOf("down-deadline", false, 500ms);
    bounded.deadline = 3s;
    const test_answer refused = system.submit(1, bounded);
    run.expect(refused.notRun() || refused.errorCode() == 400,
               "a job past its deadline: " + refused.body.dump());
    run.runClient(4s);
    run.expect(system.storeFaults({{"down", false}}), "no faults");
    run.settlePair();
    // A write that may have been sent is settled as "not run" once the store answers.
    const bool settled = refused.notRun()
        || waitFor([&] { return system.queryJob(1, bounded, 1s).outcome() == "not run"; });
    run.expect(settled, "the ambiguous write was not settled");
}

// Operators change failure domains at both entries while the planner dies.
void racingOperators(scenario &run)
{
    test_system &system = run.system();
    run.submitPair("race", 2s);
    run.waitForStep(job_step::Start);
    const std::string victim = run.planner();
    run.expect(system.setDomain(1, "north", true).status == 200, "north was not taken out");
    system.processes().kill(victim);
    system.restart(victim);
    run.expect(system.setDomain(2, "south", true).status == 200, "south was not taken out");
    run.expect(system.setDomain(1, "south", false).status == 200, "south was not taken back");
    run.submitPair("race2", 500ms, 2);
    run.settlePair();
    run.expect(system.setDomain(2, "north", false).status == 200, "north was not taken back");
    const int current = system.status(2).value("revision", 0);
    run.expect(system.waitForRevision(1, current), "the last revision is not in force");
}

// Two faults at once.
void storeDownAndPlannerKilled(scenario &run)
{
    test_system &system = run.system();
    run.submitPair("both", 2s);
    run.waitForStep(job_step::Start);
    const std::string victim = run.planner();
    run.expect(system.storeFaults({{"down", true}}), "no faults");
    system.processes().kill(victim);
    run.runClient(4s);
    system.restart(victim);
    run.runClient(4s);
    run.expect(system.storeFaults({{"down", false}}), "no faults");
    run.settlePair();
}

void entryPausedAndMemberKilled(scenario &run)
{
    test_system &system = run.system();
    run.submitPair("two", 2s);
    run.waitForStep(job_step::Start);
    const std::string victim = run.member();
    system.processes().pause("entry-1");
    system.processes().kill(victim);
    run.runClient(3s);
    system.restart(victim);
    system.processes().resume("entry-1");
    run.settlePair();
}

// A backend server shuts down gracefully while its agent, and then the planner, is replaced.
void drainWithReplacements(scenario &run)
{
    test_system &system = run.system();
    run.submitPair("drain", 9s);
    run.waitForStep(job_step::Start);
    run.runClient(500ms);
    run.expect(system.drainBackend("w1", true), "the graceful shutdown did not start");
    run.runClient(1s);
    system.processes().kill("agent-w1");
    system.restart("agent-w1");
    const std::string leader = run.planner();
    if (leader != "agent-w1") {
        system.processes().kill(leader);
        system.restart(leader);
    }
    run.settlePair();
    run.submitPair("after", 200ms);
    run.settlePair();
    run.expect(system.drainBackend("w1", false), "the graceful shutdown did not end");
    run.expect(system.waitForWorkers(2, workerCount), "the worker did not come back");
}

// An entry shuts down while a caller waits for a job.
void drainEntry(scenario &run)
{
    test_system &system = run.system();
    const test_job job = scenario::jobOf("open", false, 3s);
    bool answered = false;
    test_answer answer;
    run.expect(system.submit(1, job).status == 201, "not accepted");
    system.startCall(1, "GET", "/v1/jobs/routes/open?waitMs=15000", "", [&](test_answer received) {
        answer = std::move(received);
        answered = true;
    });
    run.runClient(300ms);
    system.shutDown("entry-1");
    system.client().wait([&] { return answered; });
    if (answer.status == 0)
        system.note({{"event", "broken"}, {"process", "entry-1"}});
    run.expect(answer.status == 200, "the open call was not answered");
    run.expect(system.processes().waitForExit("entry-1") == 0,
               "the entry did not exit with status 0");
    system.restart("entry-1");
    run.settle(job, 2);
}

// An entry and an agent that start during a store outage.
void startDuringOutage(scenario &run)
{
    test_system &system = run.system();
    const std::string agent = run.member();
    run.expect(system.storeFaults({{"down", true}}), "no faults");
    system.processes().kill("entry-1");
    system.processes().kill(agent);
    system.restart("entry-1");
    system.restart(agent);
    run.expect(waitFor([&] { return system.status(1).value("revision", 0) >= 1; }),
               "the entry did not learn the configuration from its peer");
    run.submitPair("outage", 500ms);
    run.runClient(3s);
    run.expect(system.storeFaults({{"down", false}}), "no faults");
    run.settlePair();
    run.expect(system.waitForWorkers(1, workerCount), "a worker did not come back");
}

// Runs scenarios a few at a time and returns their problems.
std::vector<std::string> runAll(const std::vector<named_scenario> &scenarios)
{
    std::vector<std::string> problems;
    std::mutex mutex;
    std::atomic<std::size_t> next{0};
    const char *only = std::getenv("GOLDCREST_SCENARIO"); // to run just one of them
    const auto work = [&] {
        for (std::size_t i = next++; i < scenarios.size(); i = next++) {
            if (only != nullptr && scenarios[i].name != only)
                continue;
            scenario run(scenarios[i].name);
            if (run.start())
                scenarios[i].run(run);
            const std::vector<std::string> found = run.finish();
            const std::lock_guard<std::mutex> lock(mutex);
            problems.insert(problems.end(), found.begin(), found.end());
        }
    };
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < parallelScenarios; ++i)
        threads.emplace_back(work);
    for (std::thread &thread : threads)
        thread.join();
    return problems;
}

void check(const std::vector<named_scenario> &scenarios)
{
    std::string text;
    for (const std::string &problem : runAll(scenarios))
        text += problem + "\n";
    STRCMP_EQUAL("", text.c_str());
}

} // namespace

TEST_GROUP(processFault){};

// Guards against lost, doubled or partial work, and against false answers, when a process dies at
// any step of a job.
TEST(processFault, killsAtEachStep)
{
    check({{"kill-planner", killPlanner},
           {"kill-entry", killEntry},
           {"kill-member", killMember},
           {"kill-backend", killBackend}});
}

// Guards against a process that goes on with expired leases after it was paused, and against links
// that lose messages one way.
TEST(processFault, pausesAndCutLinks)
{
    check({{"pause-planner", pausePlanner},
           {"pause-others", pauseEntryAndMember},
           {"cut-links", cutLinks},
           {"faulty-store", faultyStore}});
}

// Guards against faults that the system survives one at a time but not in combination, and against
// shutdowns and starts that assume that all other processes are healthy.
TEST(processFault, combinedFaultsShutdownsAndStarts)
{
    check({{"racing-operators", racingOperators},
           {"store-and-planner", storeDownAndPlannerKilled},
           {"entry-and-member", entryPausedAndMemberKilled},
           {"drain-replaced", drainWithReplacements},
           {"drain-entry", drainEntry},
           {"start-in-outage", startDuringOutage}});
}
