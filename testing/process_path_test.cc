// End-to-end tests of the real processes: the normal path of a job, a process killed while
// jobs run, and wrong input.

#include "testing/link_support.h"
#include "testing/system_support.h"

#include "goldcrest/outcome.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace goldcrest;
using nlohmann::json;

namespace {

// The library's leak check is not safe with the thread of the HTTP client. It is turned off before
// any other static object allocates, since memory must not be freed in another mode than it was
// allocated in.
struct leak_check_off
{
    leak_check_off() { MemoryLeakWarningPlugin::turnOffNewDeleteOverloads(); }
};
[[gnu::init_priority(101)]] leak_check_off leakCheckOff;

} // namespace

TEST_GROUP(processPath)
{
    std::unique_ptr<test_system> system;

    // The library's leak check is not safe with threads, and slow with large histories.
    void setup() override
    {
        MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    }

    void start()
    {
        system_options options;
        options.name = "path";
        system = std::make_unique<test_system>(options);
        CHECK(system->start());
    }

    void teardown() override
    {
        system.reset();
    }

    void checkError(const test_answer &answer, code number)
    {
        LONGS_EQUAL(static_cast<int>(number), answer.errorCode());
        LONGS_EQUAL(httpStatusOf(number), answer.status);
    }

    void checkHistory()
    {
        for (const violation &broken : system->check())
            FAIL(broken.text().c_str());
    }

    static test_job jobOf(const std::string &id, bool idempotent, duration runTime = 200ms)
    {
        test_job job;
        job.id = id;
        job.idempotent = idempotent;
        job.runTime = runTime;
        job.accelerators = 5; // two tasks do not fit on one worker
        return job;
    }
};

// Guards against a broken normal path, an answer that only one entry can give, and a large result
// that is truncated in transit.
TEST(processPath, wholeAnswerFromBothEntries)
{
    start();
    const test_answer submitted = system->submit(1, jobOf("p1", false), 20s);
    LONGS_EQUAL(201, submitted.status);
    STRCMP_EQUAL("completed", submitted.outcome().c_str());
    const test_answer repeated = system->submit(2, jobOf("p1", false), 20s);
    LONGS_EQUAL(200, repeated.status);
    CHECK(repeated.body["results"] == submitted.body["results"]);
    test_job large = jobOf("p2", true);
    large.outputBytes = 1'500'000;
    system->submit(1, large);
    const test_answer whole = system->waitForOutcome(2, large);
    LONGS_EQUAL(2, whole.body["results"].size());
    for (const json &one : whole.body["results"])
        LONGS_EQUAL(1'500'000, one["output"].get<std::string>().size());
    checkHistory();
}

// Guards against a job that is lost or runs twice when its entry, its planner or a member's agent
// is killed while it runs.
TEST(processPath, jobsSurviveTheDeathOfAnyProcess)
{
    start();
    for (const std::string role : {"entry", "planner", "agent"}) {
        const test_job once = jobOf(role + "-once", false, 3s);
        const test_job again = jobOf(role + "-again", true, 3s);
        system->submit(1, once);
        system->submit(1, again);
        CHECK(system->waitForState(1, once, "running"));
        CHECK(system->waitForState(1, again, "running"));
        std::string victim = "entry-1";
        const std::string planner = system->planner();
        for (const worker_place &worker : system->workers()) {
            const bool wanted = (worker.name == planner) == (role == "planner");
            if (role != "entry" && wanted)
                victim = "agent-" + worker.name;
        }
        system->processes().kill(victim);
        system->restart(victim);
        STRCMP_EQUAL_TEXT("completed", system->waitForOutcome(2, once).outcome().c_str(),
                          victim.c_str());
        STRCMP_EQUAL_TEXT("completed", system->waitForOutcome(2, again).outcome().c_str(),
                          victim.c_str());
        CHECK(system->waitForWorkers(1, 4));
    }
    checkHistory();
}

// Guards against the answer "not run" for a job that the store has: the store carries out the write
// of the submission, closes its connections, and refuses new ones until the entry has given up.
TEST(processPath, jobStoredBeforeAnOutageIsNotAnsweredAsNotRun)
{
    start();
    constexpr duration outage = 24s; // longer than entry_options::acceptTimeout
    const test_job job = jobOf("outage", false);
    CHECK(system->storeFaults({{"closeAtJobMs", outage.count()}}));
    const test_answer submitted = system->submit(1, job);
    const test_answer settled = system->waitForOutcome(2, job, 2 * conditionLimit);
    const std::string seen = std::to_string(submitted.status) + " " + submitted.body.dump()
        + ", then " + settled.body.dump();
    CHECK_TEXT(submitted.errorCode() == static_cast<int>(code::OutcomeUnknown), seen.c_str());
    CHECK_TEXT(!submitted.notRun(), seen.c_str());
    CHECK_TEXT(settled.isFinal(), seen.c_str());
    checkHistory();
}

// Guards against wrong input that is accepted, answered without its field, or crashes a process.
TEST(processPath, refusesWrongInputAndGoesOn)
{
    start();
    checkError(system->call(1, "POST", "/v1/jobs", "{\"team\":"), code::MalformedJson);
    checkError(system->call(1, "POST", "/v1/jobs", std::string(2'000'000, ' ')),
               code::BodyTooLarge);
    checkError(system->call(1, "POST", "/v1/jobs", R"({"team":"routes","requestId":"x","gpu":1})"),
               code::UnknownField);
    test_job job = jobOf("bad", true);
    job.team = "nobody";
    checkError(system->submit(1, job), code::UnknownTeam);
    job = jobOf("bad", true);
    job.shape = "none-such";
    checkError(system->submit(1, job), code::UnknownShape);
    job.shape = "whole-fleet";
    job.tasks = 1000;
    // The entry refuses it only once it knows the whole fleet, as a check of guarantees shows.
    json greedy = json::parse(testCatalogue(system->workers()));
    greedy["teams"]["vision"]["guarantees"] = {{{"shape", "whole-fleet"}, {"cell", "main"}}};
    CHECK(waitFor([&] {
        const test_answer checked
            = system->call(1, "POST", "/v1/catalogue/validate", greedy.dump());
        return !checked.body.value("valid", true);
    }));
    checkError(system->submit(1, job), code::ShapeFitsNowhere);
    system->submit(1, jobOf("reused", true));
    checkError(system->submit(2, jobOf("reused", false)), code::RequestIdReused);
    checkError(system->call(1, "PUT", "/v1/catalogue", "{\"teams\": 7}", "1"), code::InvalidValue);
    checkError(system->call(1, "GET", "/v1/jobs/routes/none-such"), code::UnknownRequest);

    raw_connection garbage(system->linkAddress("entry-1"));
    CHECK(garbage.isConnected());
    garbage.write(std::string(100'000, '\xff'));
    raw_connection agentGarbage(system->linkAddress("agent-w1"));
    agentGarbage.write("GET / HTTP/1.1\r\n\r\n\x82\xff");
    std::vector<std::unique_ptr<raw_connection>> stalled;
    for (int i = 0; i < 50; ++i) {
        stalled.push_back(std::make_unique<raw_connection>(system->entryUrl(1).substr(7)));
        stalled.back()->write("POST /v1/jobs HTTP/1.1\r\nContent-Length: 100\r\n");
    }
    const test_answer answer = system->submit(1, jobOf("good", false), 20s);
    STRCMP_EQUAL("completed", answer.outcome().c_str());
    CHECK(waitFor([&] { return !stalled.front()->poll(); }));
    CHECK(system->processes().isRunning("entry-1"));
    CHECK(system->processes().isRunning("agent-w1"));
    checkHistory();
}

// Guards against a lost update when two operators edit the same revision at two entries.
TEST(processPath, racingOperatorsGetAConflict)
{
    start();
    int stored = 0;
    int conflicts = 0;
    for (int round = 0; round < 5; ++round) {
        const std::string revision = std::to_string(system->status(1)["revision"].get<int>());
        std::vector<test_answer> answers;
        for (int entry = 1; entry <= 2; ++entry) {
            json entries = json::parse(testCatalogue(system->workers()));
            entries["teams"]["vision"]["maxQueued"] = round * 10 + entry;
            test_client::options extra;
            extra.body = entries.dump();
            extra.headers.emplace_back("If-Match", revision);
            system->client().start("PUT", system->entryUrl(entry, "/v1/catalogue"), extra,
                                   [&answers](const result<http_response> &received) {
                                       test_answer answer;
                                       if (failureOf(received) == nullptr)
                                           answer.status = valueOf(received).status;
                                       answers.push_back(answer);
                                   });
        }
        CHECK(system->client().wait([&] { return answers.size() == 2; }));
        for (const test_answer &answer : answers) {
            stored += answer.status == 200 ? 1 : 0;
            conflicts += answer.status == 412 ? 1 : 0;
        }
        CHECK(system->waitForRevision(1, std::stoi(revision) + 1));
        CHECK(system->waitForRevision(2, std::stoi(revision) + 1));
    }
    LONGS_EQUAL(5, stored);
    LONGS_EQUAL(5, conflicts);
    STRCMP_EQUAL("completed", system->submit(1, jobOf("last", true), 20s).outcome().c_str());
    checkHistory();
}
