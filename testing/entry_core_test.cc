#include "goldcrest/entry_core.h"

#include "goldcrest/digest.h"
#include "standins/store_model.h"
#include "testing/virtual_event_loop.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

constexpr int manyCalls = 1000;
const job_key keyR1{"routes", "r1"};

std::shared_ptr<const configuration> smallConfiguration()
{
    auto config = std::make_shared<configuration>();
    config->number = 1;
    config->entries.classes["planning"].name = "planning";
    team_entry &team = config->entries.teams["routes"];
    team.name = "routes";
    team.className = "planning";
    team.maxQueued = 3;
    config->entries.cells["main"].name = "main";
    return config;
}

std::string bodyOf(const std::string &id, bool idempotent, const std::string &more = "")
{
    return R"({"team":"routes","perTask":{"cores":1000},"requestId":")" + id + R"(","idempotent":)"
        + (idempotent ? "true" : "false") + more + "}";
}

task_result resultOf(std::int32_t task, const std::string &output)
{
    task_result whole;
    whole.task = task;
    whole.succeeded = true;
    whole.output = output;
    whole.totalBytes = output.size();
    whole.digest = digestOf(output);
    return whole;
}

job_update_message updateOf(job_phase phase, std::int32_t attempt, epoch plannerEpoch)
{
    job_update_message update;
    update.job = keyR1;
    update.phase = phase;
    update.attempt = attempt;
    update.plannerEpoch = plannerEpoch;
    return update;
}

job_update_message finalUpdate(job_outcome outcome, bool recorded, const std::string &output)
{
    job_update_message update = updateOf(job_phase::Finished, 1, 5);
    update.outcome = outcome;
    update.recorded = recorded;
    if (outcome == job_outcome::Completed)
        update.results = {resultOf(0, output)};
    return update;
}

class fake_planners final : public planner_links
{
public:
    bool send(const std::string &, const message &value) override
    {
        if (!up)
            return false;
        if (const auto *submitted = std::get_if<submit_job_message>(&value))
            submits.push_back(*submitted);
        if (std::get_if<cancel_job_message>(&value) != nullptr)
            ++cancels;
        if (const auto *asked = std::get_if<explain_job_message>(&value))
            lastQuery = asked->query;
        return true;
    }

    bool up = true;
    std::vector<submit_job_message> submits;
    int cancels = 0;
    std::uint64_t lastQuery = 0;
};

entry_options optionsOf(const std::string &name)
{
    entry_options options;
    options.name = name;
    options.unixTimeMs = [] { return std::int64_t(1000); };
    return options;
}

} // namespace

TEST_GROUP(entryCore)
{
    virtual_event_loop loop;
    store_model model;
    fake_store store{model, loop};
    fake_planners planners;
    entry_core core{store, loop, planners, optionsOf("e1")};
    std::vector<job_answer> answers;

    void setup() override
    {
        core.setConfiguration(smallConfiguration());
        core.plannerConnected("main", 5);
    }

    answer_callback keep()
    {
        return [this](const job_answer &answer) { answers.push_back(answer); };
    }

    void submit(const std::string &body, duration wait = 0ms)
    {
        core.submit(body, wait, keep());
        loop.advance(1ms);
    }

    const job_answer &last()
    {
        CHECK(!answers.empty());
        return answers.back();
    }

    code lastError()
    {
        return last().error ? last().error->number : code::Internal;
    }

    void receive(const job_update_message &update)
    {
        core.received("main", update);
        loop.advance(1ms);
    }

    std::optional<store_entry> read(const std::string &key)
    {
        const std::vector<store_entry> found = model.range(key, "");
        return found.empty() ? std::nullopt : std::optional<store_entry>(found.front());
    }

    // Writes a key as another process would.
    void put(const std::string &key, const std::string &value)
    {
        CHECK(failureOf(model.commit(store_transaction().put(key, value))) == nullptr);
    }

    std::optional<job_record> stored(const job_key &key = keyR1)
    {
        const std::optional<store_entry> found = read(jobRecordKey(key));
        if (!found)
            return std::nullopt;
        return valueOf(decodeJobRecord(found->value));
    }
};

// Guards against an answer "accepted" without a durable record, and a record that the planner of
// the cell does not find in its index.
TEST(entryCore, acceptsAfterTheRecordIsStored)
{
    submit(bodyOf("r1", false));
    CHECK(!last().error);
    CHECK(last().created);
    CHECK(stored().has_value());
    CHECK(read(cellJobKey("main", keyR1)).has_value());
    LONGS_EQUAL(1, planners.submits.size());
    CHECK(planners.submits[0].recorded);
}

// Guards against two jobs for one request when two entries get it at the same time.
TEST(entryCore, twoEntriesAttachToOneRecord)
{
    fake_planners otherPlanners;
    entry_core other(store, loop, otherPlanners, optionsOf("e2"));
    other.setConfiguration(smallConfiguration());
    core.submit(bodyOf("r1", false), 0ms, keep());
    other.submit(bodyOf("r1", false), 0ms, keep());
    loop.advance(1ms);
    LONGS_EQUAL(2, answers.size());
    CHECK(answers[0].created != answers[1].created);
    CHECK(!answers[0].error && !answers[1].error);
}

// Guards against an answer to another request that used the same id.
TEST(entryCore, refusesAReusedRequestId)
{
    submit(bodyOf("r1", false));
    submit(bodyOf("r1", true));
    CHECK(lastError() == code::RequestIdReused);
    CHECK(!last().notRun); // the first job of this id may run
    entry_core other(store, loop, planners, optionsOf("e2"));
    other.setConfiguration(smallConfiguration());
    other.submit(bodyOf("r1", true), 0ms, keep());
    loop.advance(1ms);
    CHECK(lastError() == code::RequestIdReused);
}

// Guards against a lost write answer that is taken for a failure or creates a second job.
TEST(entryCore, resolvesAWriteWhoseAnswerWasLost)
{
    store.faults().loseAnswers = manyCalls;
    submit(bodyOf("r1", false));
    LONGS_EQUAL(0, answers.size());
    store.faults() = {};
    loop.advance(2s);
    CHECK(!last().error);
    CHECK(last().created);
    LONGS_EQUAL(1, planners.submits.size());
}

// Guards against "not run" for a job whose record may exist, and against a job that runs after the
// entry has settled it as not run.
TEST(entryCore, answersUnknownAndSettlesALostRequest)
{
    store.faults().loseRequests = manyCalls;
    submit(bodyOf("r1", false, R"(,"deadlineMs":3000)"));
    loop.advance(4s);
    CHECK(lastError() == code::OutcomeUnknown);
    CHECK(!last().notRun);
    store.faults() = {};
    loop.advance(5s);
    CHECK(stored()->outcome == job_outcome::NotRun);
    LONGS_EQUAL(0, planners.submits.size());
    LONGS_EQUAL(0, core.openJobs());
}

// Guards against a settled answer that contradicts a record which did come into being.
TEST(entryCore, answersUnknownAndRunsAJobThatWasWritten)
{
    store.faults().loseAnswers = manyCalls;
    submit(bodyOf("r1", false, R"(,"deadlineMs":3000)"));
    loop.advance(4s);
    CHECK(lastError() == code::OutcomeUnknown);
    store.faults() = {};
    loop.advance(5s);
    CHECK(!stored()->outcome);
    LONGS_EQUAL(1, planners.submits.size());
}

// Guards against a non-idempotent job that starts, or is called unknown, although the store never
// had it.
TEST(entryCore, nonIdempotentJobWaitsForTheStoreUntilItsDeadline)
{
    store.faults().down = true;
    submit(bodyOf("r1", false, R"(,"deadlineMs":3000)"));
    loop.advance(2900ms);
    LONGS_EQUAL(0, answers.size());
    loop.advance(200ms);
    CHECK(lastError() == code::DeadlinePassed);
    CHECK(last().notRun);
    store.faults() = {};
    loop.advance(1min);
    CHECK(!stored());
    LONGS_EQUAL(0, planners.submits.size());
}

// Guards against a non-idempotent job that is lost although the store came back in time.
TEST(entryCore, nonIdempotentJobIsAcceptedWhenTheStoreReturns)
{
    store.faults().down = true;
    submit(bodyOf("r1", false, R"(,"deadlineMs":10000)"));
    loop.advance(3s);
    store.faults() = {};
    loop.advance(3s);
    CHECK(!last().error);
    CHECK(stored().has_value());
}

// Guards against idempotent work that stops during a store outage, and against an unrecorded job
// that is lost when the planner changes.
TEST(entryCore, idempotentJobGoesToThePlannerDuringAnOutage)
{
    store.faults().down = true;
    submit(bodyOf("r1", true));
    LONGS_EQUAL(1, planners.submits.size());
    CHECK(!planners.submits[0].recorded);
    LONGS_EQUAL(0, answers.size());
    receive(updateOf(job_phase::Queued, 0, 5));
    CHECK(last().created);
    CHECK(!last().view.recorded);
    core.plannerConnected("main", 9);
    LONGS_EQUAL(3, planners.submits.size());
    CHECK(!planners.submits.back().recorded);
    store.faults() = {};
    loop.advance(5s);
    CHECK(stored().has_value());
    CHECK(planners.submits.back().recorded);
}

// Guards against "not run" from a planner that loses its role before the outcome is stored: the
// next planner would run the recorded job.
TEST(entryCore, waitsUntilNotRunIsRecorded)
{
    submit(bodyOf("r1", false), 1min);
    receive(finalUpdate(job_outcome::NotRun, false, ""));
    LONGS_EQUAL(0, answers.size());
    receive(finalUpdate(job_outcome::NotRun, true, ""));
    CHECK(last().view.outcome == job_outcome::NotRun);
    CHECK(last().view.recorded);
}

// Guards against "not run" for an unrecorded job whose own record write may have taken effect.
TEST(entryCore, fencesTheRecordBeforeNotRunOfAnUnrecordedJob)
{
    store.faults().loseRequests = manyCalls;
    submit(bodyOf("r1", true), 1min);
    receive(updateOf(job_phase::Queued, 0, 5));
    job_update_message update = finalUpdate(job_outcome::NotRun, false, "");
    receive(update);
    loop.advance(5s);
    LONGS_EQUAL(0, answers.size());
    store.faults() = {};
    loop.advance(5s);
    CHECK(last().view.outcome == job_outcome::NotRun);
    CHECK(stored()->outcome == job_outcome::NotRun);
}

// Guards against updates that are late, reordered or from another cell and change the answer.
TEST(entryCore, dropsLateAndReorderedUpdates)
{
    submit(bodyOf("r1", false), 1min);
    receive(updateOf(job_phase::Running, 2, 5));
    receive(updateOf(job_phase::Running, 1, 5));
    receive(updateOf(job_phase::Starting, 2, 5));
    receive(updateOf(job_phase::Running, 3, 4));
    job_update_message late = finalUpdate(job_outcome::Failed, true, "");
    receive(late); // attempt 1
    core.received("other", updateOf(job_phase::Running, 9, 9));
    LONGS_EQUAL(5, core.counters().droppedUpdates);
    LONGS_EQUAL(0, answers.size());
    job_update_message final = finalUpdate(job_outcome::Completed, true, "route");
    final.attempt = 2;
    receive(final);
    STRCMP_EQUAL("route", last().view.results.at(0).output.c_str());
    receive(final);
    LONGS_EQUAL(1, answers.size());
}

// Guards against a truncated or mixed answer: pieces arrive in any order, and a wrong digest or a
// missing piece sends the entry to the store.
TEST(entryCore, checksResultsAndReadsPartsFromTheStore)
{
    submit(bodyOf("r1", false), 1min);
    job_update_message cut = finalUpdate(job_outcome::Completed, true, "whole answer");
    cut.results[0].output = "whole";
    job_record record = *stored();
    record.phase = job_phase::Finished;
    record.outcome = job_outcome::Completed;
    record.attempt = 1;
    task_result whole = resultOf(0, "whole answer");
    task_result first = whole;
    first.output = "whole ";
    task_result second = whole;
    second.output = "answer";
    second.offset = 6;
    const std::string part = encodeResultParts({first, second}).at(0);
    record.resultParts = 1;
    put(resultPartKey(keyR1, 1, 0), part);
    put(jobRecordKey(keyR1), encodeJobRecord(record));
    receive(cut);
    STRCMP_EQUAL("whole answer", last().view.results.at(0).output.c_str());
    CHECK(last().view.outcome == job_outcome::Completed);

    // Another entry gives the same answer.
    entry_core other(store, loop, planners, optionsOf("e2"));
    other.find(keyR1, 0ms, keep());
    loop.advance(1ms);
    STRCMP_EQUAL("whole answer", last().view.results.at(0).output.c_str());
}

// Guards against callers that wait forever because the planner's last update was lost.
TEST(entryCore, pollsTheRecordWhenThePlannerIsSilent)
{
    submit(bodyOf("r1", false), 1min);
    job_record record = *stored();
    record.phase = job_phase::Finished;
    record.outcome = job_outcome::Failed;
    put(jobRecordKey(keyR1), encodeJobRecord(record));
    loop.advance(8s);
    CHECK(last().view.outcome == job_outcome::Failed);
}

// Guards against a long poll that never ends and against one that ends without a state.
TEST(entryCore, longPollAnswersTheStateWhenItsTimeEnds)
{
    submit(bodyOf("r1", false), 10s);
    receive(updateOf(job_phase::Running, 1, 5));
    loop.advance(9900ms);
    LONGS_EQUAL(0, answers.size());
    loop.advance(200ms);
    CHECK(!last().error);
    CHECK(last().created);
    CHECK(last().view.phase == job_phase::Running);
}

// Guards against a caller whose entry died and who can't get the answer from another one.
TEST(entryCore, anotherEntryWaitsForTheOutcome)
{
    submit(bodyOf("r1", false));
    entry_core other(store, loop, planners, optionsOf("e2"));
    other.setConfiguration(smallConfiguration());
    std::vector<job_answer> found;
    other.find(keyR1, 1min, [&found](const job_answer &answer) { found.push_back(answer); });
    loop.advance(1ms);
    LONGS_EQUAL(2, planners.submits.size()); // also subscribes to the planner's updates
    other.received("main", finalUpdate(job_outcome::Completed, true, "x"));
    LONGS_EQUAL(1, found.size());
    other.find({"routes", "none"}, 0ms, keep());
    loop.advance(1ms);
    CHECK(lastError() == code::UnknownRequest);
}

// Guards against a cancellation that is lost because no planner is connected.
TEST(entryCore, cancelReachesTheNextPlanner)
{
    submit(bodyOf("r1", false));
    planners.up = false;
    core.cancel(keyR1, 1min, keep());
    loop.advance(1ms);
    planners.up = true;
    core.plannerConnected("main", 7);
    LONGS_EQUAL(1, planners.cancels);
    job_update_message update = finalUpdate(job_outcome::NotRun, true, "");
    update.plannerEpoch = 7;
    update.why = makeFailure(code::Cancelled, "cancelled");
    receive(update);
    CHECK(last().view.why->number == code::Cancelled);
}

// Guards against a cancelled job that is accepted later.
TEST(entryCore, cancelBeforeAcceptanceIsNotRun)
{
    store.faults().down = true;
    submit(bodyOf("r1", false), 1min);
    core.cancel(keyR1, 0ms, keep());
    LONGS_EQUAL(2, answers.size());
    CHECK(answers[0].notRun && answers[1].notRun);
    store.faults() = {};
    loop.advance(30s);
    CHECK(!stored());
}

// Guards against unbounded queues, and against "not run" for a repeat of a job that was accepted.
TEST(entryCore, limitsRefuseNewJobsButNotRepeats)
{
    for (const char *id : {"r1", "r2", "r3"})
        submit(bodyOf(id, false));
    submit(bodyOf("r4", false));
    CHECK(lastError() == code::TeamLimit);
    CHECK(last().notRun);
    CHECK(!stored({"routes", "r4"}));
    submit(bodyOf("r2", false));
    CHECK(!last().error);

    entry_options tight = optionsOf("e2");
    tight.maxOpenJobs = 0;
    entry_core other(store, loop, planners, tight);
    other.setConfiguration(smallConfiguration());
    other.submit(bodyOf("r1", false), 0ms, keep());
    loop.advance(1ms);
    CHECK(!last().error);
    other.submit(bodyOf("r5", false), 0ms, keep());
    loop.advance(1ms);
    CHECK(lastError() == code::QueueFull);

    cell_status_message status;
    status.cell = "main";
    status.queuedJobs = 20'000;
    entry_core third(store, loop, planners, optionsOf("e3"));
    third.setConfiguration(smallConfiguration());
    third.received(status);
    third.submit(bodyOf("r6", false), 0ms, keep());
    loop.advance(1ms);
    CHECK(lastError() == code::QueueFull);
}

// Guards against a refusal as "fits nowhere" because a planner that was just elected does not know
// its workers yet, and against no refusal at all.
TEST(entryCore, refusesAShapeOnlyWhenTheFleetIsFullyKnown)
{
    const std::string more = R"(,"tasks":8)";
    cell_status_message status;
    status.cell = "main";
    status.workers.resize(1);
    status.workers[0].worker = "w1";
    status.workers[0].capacity = {4000, 1024, 0};
    core.received(status);
    submit(bodyOf("r1", false, more));
    CHECK(!last().error);
    loop.advance(fleetSettleTime);
    core.received(status);
    submit(bodyOf("r2", false, more));
    CHECK(lastError() == code::ShapeFitsNowhere);
    // A second worker, and then a new planner that does not know the first one yet.
    status.workers[0].worker = "w2";
    core.received(status);
    submit(bodyOf("r3", false, more));
    CHECK(!last().error);
}

// Guards against a shutdown that cuts callers off or takes new work.
TEST(entryCore, drainRefusesNewJobsAndAnswersOpenOnes)
{
    submit(bodyOf("r1", false), 1h);
    core.drain(30s);
    submit(bodyOf("r2", false));
    CHECK(lastError() == code::Draining);
    CHECK(last().notRun);
    CHECK(!core.isIdle());
    loop.advance(31s);
    CHECK(!last().error);
    CHECK(last().view.phase == job_phase::Accepted);
    CHECK(core.isIdle());
}

// Guards against explain answers that go to another caller or never come.
TEST(entryCore, explainMatchesRepliesAndEndsInTime)
{
    submit(bodyOf("r1", false));
    std::vector<explain_answer> explained;
    core.explain(keyR1, [&](const explain_answer &answer) { explained.push_back(answer); });
    loop.advance(1ms);
    explain_reply_message reply;
    reply.query = planners.lastQuery + 1;
    core.received("main", reply);
    LONGS_EQUAL(0, explained.size());
    reply.query = planners.lastQuery;
    reply.constraint = "rack adjacency";
    core.received("main", reply);
    STRCMP_EQUAL("rack adjacency", explained.at(0).reply.constraint.c_str());
    core.explain(keyR1, [&](const explain_answer &answer) { explained.push_back(answer); });
    loop.advance(4s);
    CHECK(explained.at(1).error->number == code::PlannerUnreachable);
}

// Guards against a list that shows other teams' jobs or ignores the limit.
TEST(entryCore, listsTheJobsOfATeam)
{
    submit(bodyOf("r1", false));
    submit(bodyOf("r2", false));
    put(jobRecordKey({"routes2", "x"}), read(jobRecordKey(keyR1))->value);
    std::vector<job_view> views;
    const auto take = [&](result<std::vector<job_view>> listed) { views = valueOf(listed); };
    core.list("routes", 0, take);
    loop.advance(1ms);
    LONGS_EQUAL(2, views.size());
    core.list("routes", 1, take);
    loop.advance(1ms);
    LONGS_EQUAL(1, views.size());
}

// Guards against timers that use the entry after its destruction. Each open job has several: their
// handles are owned by the job, which their own tasks kept alive.
TEST(entryCore, destroyedWhileTimersArePending)
{
    auto closing = std::make_unique<entry_core>(store, loop, planners, optionsOf("e2"));
    closing->setConfiguration(smallConfiguration());
    closing->plannerConnected("main", 5);
    closing->submit(bodyOf("waits", false), 1h, keep());
    loop.advance(1ms);
    store.faults().down = true;
    closing->submit(bodyOf("retries", false), 1h, keep());
    loop.advance(10ms);
    job_update_message update = finalUpdate(job_outcome::Completed, false, "out");
    update.job = {"routes", "waits"};
    closing->received("main", update);
    closing->submit(bodyOf("waits-too", false), 1h, keep());
    loop.advance(10ms);
    closing.reset();
    const std::size_t answered = answers.size();
    store.faults().down = false;
    store.resetCounts();
    loop.advance(3h);
    LONGS_EQUAL(answered, answers.size());
    LONGS_EQUAL(0, store.counts().total());
}
