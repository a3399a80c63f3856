#include "testing/history_checker_support.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;
using nlohmann::json;

// Each test violates one promise in an otherwise correct history. The tests guard against a checker
// that finds no violation because it evaluates the wrong events.
TEST_GROUP(historyChecker)
{
    run_history history;

    void add(const std::string &source, std::int64_t at, const std::string &name,
             json fields = json::object())
    {
        fields["event"] = name;
        fields["unixMs"] = at;
        history.add(source, fields);
    }

    void addJob(std::int64_t at, const std::string &name, json fields = json::object())
    {
        fields["team"] = "routes";
        fields["request"] = "r1";
        add("client", at, name, fields);
    }

    void startTask(std::int64_t at, int attempt, int task, const std::string &worker)
    {
        addJob(at, "taskStart",
               {{"attempt", attempt}, {"worker", worker}, {"task", taskId(attempt, task)}});
    }

    void endTask(std::int64_t at, int attempt, int task, const std::string &state)
    {
        add("backend", at, "taskEnd", {{"task", taskId(attempt, task)}, {"state", state}});
    }

    static std::string taskId(int attempt, int task)
    {
        return "r1." + std::to_string(attempt) + "." + std::to_string(task);
    }

    // A job of two tasks that runs on two workers of two domains and completes.
    void addCorrectRun(bool idempotent = false)
    {
        add("test", 0, "worker", {{"worker", "w1"}, {"domain", "Matane"}});
        add("test", 0, "worker", {{"worker", "w2"}, {"domain", "Amqui"}});
        add("entry", 5, "configuration", {{"revision", 1}});
        add("entry", 6, "inForce", {{"cell", "main"}, {"epoch", 7}, {"revision", 1}});
        addJob(10, "submit", {{"idempotent", idempotent}, {"tasks", 2}, {"digest", "d"}});
        addJob(10, "claim", {{"boundMs", 3000}});
        add("agent", 15, "hold", {{"revision", 1}, {"epoch", 7}});
        startTask(20, 1, 0, "w1");
        startTask(30, 1, 1, "w2");
        endTask(1000, 1, 0, "succeeded");
        endTask(1100, 1, 1, "succeeded");
        addJob(1200, "answered", {{"outcome", "completed"}, {"digests", {"d", "d"}}});
    }

    void checkFinds(int promise)
    {
        const std::vector<violation> found = checkHistory(history);
        bool hit = false;
        for (const violation &broken : found) {
            LONGS_EQUAL_TEXT(promise, broken.promise, broken.text().c_str());
            hit = true;
        }
        CHECK(hit);
    }
};

TEST(historyChecker, findsNoViolationInACorrectRun)
{
    addCorrectRun();
    for (const violation &broken : checkHistory(history))
        FAIL(broken.text().c_str());
}

TEST(historyChecker, findsAGuaranteeThatIsNotReclaimed)
{
    addCorrectRun();
    add("client", 20000, "submit",
        {{"team", "routes"}, {"request", "r2"}, {"tasks", 1}, {"idempotent", true}});
    add("client", 20000, "claim", {{"team", "routes"}, {"request", "r2"}, {"boundMs", 3000}});
    add("client", 40000, "end");
    checkFinds(1);
}

TEST(historyChecker, findsATaskThatOutlivesItsGang)
{
    addJob(10, "submit", {{"idempotent", true}, {"tasks", 2}});
    startTask(20, 1, 0, "w1");
    startTask(30, 1, 1, "w2");
    endTask(100, 1, 0, "stopped");
    endTask(60000, 1, 1, "succeeded");
    checkFinds(2);
}

TEST(historyChecker, findsAGangThatWasStartedInPartOnly)
{
    addJob(10, "submit", {{"idempotent", true}, {"tasks", 2}});
    startTask(20, 1, 0, "w1");
    add("client", 60000, "end");
    checkFinds(2);
}

TEST(historyChecker, findsPartsThatAKilledBackendServerLeaves)
{
    addJob(10, "submit", {{"idempotent", true}, {"tasks", 2}});
    startTask(20, 1, 0, "w1");
    startTask(30, 1, 1, "w2");
    add("test", 100, "killed", {{"worker", "w1"}});
    add("client", 60000, "end");
    checkFinds(2);
}

TEST(historyChecker, findsACompletedJobWithoutAWholeAttempt)
{
    addJob(10, "submit", {{"idempotent", true}, {"tasks", 2}});
    startTask(20, 1, 0, "w1");
    startTask(30, 1, 1, "w2");
    endTask(100, 1, 0, "succeeded");
    endTask(200, 1, 1, "stopped");
    addJob(300, "answered", {{"outcome", "completed"}, {"digests", {"d", "d"}}});
    checkFinds(2);
}

TEST(historyChecker, findsAStartInADomainThatIsOut)
{
    addCorrectRun(true);
    add("test", 2000, "domainOut", {{"domain", "Matane"}, {"revision", 2}});
    startTask(6900, 2, 0, "w1");
    startTask(6900, 2, 1, "w2");
    endTask(7000, 2, 0, "succeeded");
    endTask(7000, 2, 1, "succeeded");
    CHECK(checkHistory(history).empty());
    startTask(7100, 3, 0, "w1");
    startTask(7100, 3, 1, "w2");
    endTask(7200, 3, 0, "succeeded");
    endTask(7200, 3, 1, "succeeded");
    checkFinds(3);
}

TEST(historyChecker, findsATruncatedAnswer)
{
    addCorrectRun();
    addJob(1300, "answered", {{"outcome", "completed"}, {"digests", {"d"}}});
    checkFinds(4);
}

TEST(historyChecker, findsAnAnswerToAnotherRequest)
{
    addCorrectRun();
    addJob(1300, "answered", {{"outcome", "completed"}, {"digests", {"d", "other"}}});
    checkFinds(4);
}

TEST(historyChecker, findsARunJobThatWasAnsweredAsNotRun)
{
    addJob(10, "submit", {{"idempotent", false}, {"tasks", 1}});
    addJob(15, "answered", {{"notRun", true}});
    startTask(20, 1, 0, "w1");
    endTask(30, 1, 0, "succeeded");
    checkFinds(5);
}

TEST(historyChecker, findsASecondRunOfANonIdempotentJob)
{
    addCorrectRun();
    startTask(2000, 2, 0, "w1");
    startTask(2000, 2, 1, "w2");
    endTask(2100, 2, 0, "succeeded");
    endTask(2100, 2, 1, "succeeded");
    checkFinds(6);
}

TEST(historyChecker, findsAStartOnADrainingBackendServer)
{
    addCorrectRun(true);
    add("backend", 2000, "drain", {{"worker", "w1"}});
    startTask(7100, 2, 0, "w1");
    startTask(7100, 2, 1, "w2");
    endTask(7200, 2, 0, "succeeded");
    endTask(7200, 2, 1, "succeeded");
    checkFinds(7);
}

TEST(historyChecker, findsATaskThatADrainInterrupts)
{
    addJob(10, "submit", {{"idempotent", true}, {"tasks", 1}});
    startTask(20, 1, 0, "w1");
    add("backend", 30, "drain", {{"worker", "w1"}});
    endTask(40, 1, 0, "stopped");
    checkFinds(8);
}

TEST(historyChecker, findsACallThatAShutdownBreaks)
{
    addCorrectRun();
    add("client", 1300, "broken", {{"process", "entry-1"}});
    checkFinds(8);
}

TEST(historyChecker, findsARevisionThatReverts)
{
    addCorrectRun();
    add("entry", 2000, "configuration", {{"revision", 3}});
    add("entry", 2100, "configuration", {{"revision", 2}});
    checkFinds(9);
}

TEST(historyChecker, findsAPlannerThatUsesARevisionNoLongerInForce)
{
    addCorrectRun();
    add("entry", 2000, "inForce", {{"cell", "main"}, {"epoch", 7}, {"revision", 2}});
    add("agent", 2100, "hold", {{"revision", 1}, {"epoch", 7}});
    checkFinds(9);
}
