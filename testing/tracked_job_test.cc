#include "goldcrest/tracked_job.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

#include <malloc.h>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace goldcrest;

namespace {

constexpr unix_ms wall = 1'000'000;

graph_job makeJob(std::vector<step_spec> steps)
{
    graph_job job;
    job.id = "5c0e7a21d94b36f8";
    job.queue = "q";
    job.policy.maxAttempts = 2;
    job.steps = std::move(steps);
    job.acceptedAt = wall;
    return job;
}

step_spec makeStep(std::int32_t count, std::vector<std::int32_t> after = {})
{
    step_spec step;
    step.count = count;
    step.estimated = 1s;
    step.after = std::move(after);
    return step;
}

} // namespace

TEST_GROUP(tracked_job)
{
    time_point now{};

    static task_key task(std::int32_t step, std::int32_t index, std::int32_t occurrence = 0)
    {
        return {"5c0e7a21d94b36f8", occurrence, step, index};
    }

    // Returns a job whose first occurrence has begun.
    tracked_job openJob(const graph_job &spec)
    {
        tracked_job job(spec, std::nullopt, now);
        CHECK(job.isNextDue(wall));
        job.openNext();
        CHECK(!job.isNextDue(wall));
        return job;
    }

    void begin(tracked_job & job, std::int32_t step, std::int32_t index,
               std::int32_t occurrence = 0)
    {
        job.beginRuns({occurrence, step}, {{index, "w1", "life", 1s}}, now);
    }
};

// Guards against a start before the steps that come first are done.
TEST(tracked_job, stepWaitsForAllTasksOfEarlierSteps)
{
    tracked_job job = openJob(makeJob({makeStep(2), makeStep(1, {0})}));
    LONGS_EQUAL(1, job.readySteps().size());
    begin(job, 0, 0);
    begin(job, 0, 1);
    CHECK(job.readySteps().empty());
    CHECK(job.endRun(task(0, 0), 1, run_end::Done, {}, wall));
    CHECK(job.readySteps().empty());
    CHECK(job.endRun(task(0, 1), 1, run_end::Done, {}, wall));
    LONGS_EQUAL(1, job.readySteps().size());
    LONGS_EQUAL(1, job.readySteps()[0].step);
    CHECK(job.state() == graph_job_state::Running);
    begin(job, 1, 0);
    CHECK(job.endRun(task(1, 0), 1, run_end::Done, {}, wall));
    CHECK(job.state() == graph_job_state::Completed);
}

// Only ends through a task's own fault count as attempts.
TEST(tracked_job, failsAfterMaxAttemptsOfOneTask)
{
    tracked_job job = openJob(makeJob({makeStep(1)}));
    begin(job, 0, 0);
    CHECK(job.endRun(task(0, 0), 1, run_end::Lapsed, {}, wall));
    begin(job, 0, 0);
    CHECK(job.endRun(task(0, 0), 2, run_end::Failed, {}, wall));
    CHECK(!job.isFinished());
    begin(job, 0, 0);
    CHECK(job.endRun(task(0, 0), 3, run_end::Failed, {}, wall));
    CHECK(job.state() == graph_job_state::Failed);
}

// Several members of one gang run may end failed; that is one attempt.
TEST(tracked_job, gangRunCountsOnceAndStopsTheOthers)
{
    step_spec gang = makeStep(2);
    gang.gang = true;
    tracked_job job = openJob(makeJob({gang}));
    job.beginRuns({0, 0}, {{0, "w1", "a", 1s}, {1, "w2", "b", 1s}}, now);
    CHECK(job.endRun(task(0, 0), 1, run_end::Failed, "save", wall));
    CHECK(job.find(task(0, 1))->stopWanted);
    CHECK(job.readySteps().empty());
    CHECK(job.endRun(task(0, 1), 1, run_end::Failed, {}, wall));
    CHECK(!job.isFinished());
    LONGS_EQUAL(1, job.readySteps().size());
    STRCMP_EQUAL("save", job.find(task(0, 1))->record.saved.c_str());
    job.beginRuns({0, 0}, {{0, "w1", "a", 1s}, {1, "w2", "b", 1s}}, now);
    LONGS_EQUAL(2, job.find(task(0, 1))->record.lastRun);
    // One end `done` stands for all members.
    CHECK(job.endRun(task(0, 1), 2, run_end::Done, {}, wall));
    CHECK(job.state() == graph_job_state::Completed);
}

// Guards against a task that runs again although an earlier run, given up as lost, did the work.
TEST(tracked_job, doneOfAnEarlierRunCounts)
{
    tracked_job job = openJob(makeJob({makeStep(1), makeStep(1, {0})}));
    begin(job, 0, 0);
    CHECK(job.endRun(task(0, 0), 1, run_end::Lapsed, {}, wall));
    begin(job, 0, 0);
    CHECK(job.endRun(task(0, 0), 1, run_end::Done, {}, wall));
    CHECK(job.find(task(0, 0))->record.isDone);
    LONGS_EQUAL(1, job.readySteps()[0].step);
    // The later run keeps its worker's capacity until it has ended (seed 2033 of the model).
    CHECK(job.find(task(0, 0))->isActive());
    CHECK(job.find(task(0, 0))->stopWanted);
    CHECK(job.endRun(task(0, 0), 2, run_end::Stopped, {}, wall));
    CHECK(!job.find(task(0, 0))->isActive());
    CHECK(!job.endRun(task(0, 0), 2, run_end::Stopped, {}, wall));
}

TEST(tracked_job, finishedJobKeepsARunThatMayExist)
{
    tracked_job job = openJob(makeJob({makeStep(1)}));
    begin(job, 0, 0);
    CHECK(job.endRun(task(0, 0), 1, run_end::Lapsed, {}, wall));
    begin(job, 0, 0);
    CHECK(job.endRun(task(0, 0), 1, run_end::Done, {}, wall));
    CHECK(job.state() == graph_job_state::Completed);
    const tracked_job restored(job.spec(), job.progress(), now);
    CHECK(restored.find(task(0, 0))->isActive());
    CHECK(restored.find(task(0, 0))->stopWanted);
    CHECK(job.endRun(task(0, 0), 2, run_end::Done, {}, wall));
    CHECK(job.find(task(0, 0)) == nullptr);
}

// A task that runs until the job is cancelled restarts however it ends.
TEST(tracked_job, longRunningTaskRestartsAndNeverFails)
{
    step_spec lasting = makeStep(1);
    lasting.longRunning = true;
    tracked_job job = openJob(makeJob({lasting}));
    for (std::int32_t run = 1; run < 6; ++run) {
        begin(job, 0, 0);
        CHECK(job.endRun(task(0, 0), run, run % 2 ? run_end::Failed : run_end::Done, {}, wall));
        CHECK(!job.isFinished());
        LONGS_EQUAL(1, job.readySteps().size());
    }
    job.cancel(wall);
    CHECK(job.state() == graph_job_state::Cancelled);
}

TEST(tracked_job, occurrencesOpenAtTheirTimesAndMayOverlap)
{
    graph_job spec = makeJob({makeStep(1)});
    spec.schedule = {2, wall + 1000, 500ms};
    tracked_job job(spec, std::nullopt, now);
    CHECK(!job.isNextDue(wall + 999));
    CHECK(job.isNextDue(wall + 1000));
    job.openNext();
    LONGS_EQUAL(1, job.readySteps().size());
    CHECK(!job.isNextDue(wall + 1499));
    CHECK(job.isNextDue(wall + 1500));
    job.openNext();
    LONGS_EQUAL(2, job.readySteps().size());
    CHECK(!job.isNextDue(wall + 1'000'000));
    begin(job, 0, 0, 0);
    CHECK(job.endRun(task(0, 0, 0), 1, run_end::Done, {}, wall));
    CHECK(!job.isFinished());
    begin(job, 0, 0, 1);
    CHECK(job.endRun(task(0, 0, 1), 1, run_end::Done, {}, wall));
    CHECK(job.state() == graph_job_state::Completed);
}

// Guards LOST: the record listed each occurrence that had ended, so that a job that was repeated
// for long outgrew what a successor decodes, and in the end what the store accepts.
TEST(tracked_job, recordDoesNotGrowWithOccurrencesThatHaveEnded)
{
    constexpr std::int32_t occurrences = 70'000;
    graph_job spec = makeJob({makeStep(1)});
    spec.schedule = {occurrences, wall, 1ms};
    tracked_job job(spec, std::nullopt, now);
    for (std::int32_t i = 0; i < occurrences - 1; ++i) {
        CHECK(job.isNextDue(wall + i));
        job.openNext();
        begin(job, 0, 0, i);
        CHECK(job.endRun(task(0, 0, i), 1, run_end::Done, {}, wall));
    }
    const result<job_progress> stored = decodeJobProgress(encodeJobProgress(job.progress()));
    CHECK(!failureOf(stored));
    tracked_job restored(spec, valueOf(stored), now);
    CHECK(restored.hasBegun());
    CHECK(restored.state() == graph_job_state::Running);
    CHECK(restored.isNextDue(wall + occurrences));
    restored.openNext();
    begin(restored, 0, 0, occurrences - 1);
    CHECK(restored.endRun(task(0, 0, occurrences - 1), 1, run_end::Done, {}, wall));
    CHECK(restored.state() == graph_job_state::Completed);
}

// A successor goes on from the record: what is done stays, and a run that may exist keeps its task.
TEST(tracked_job, recordRestoresWhatMayRun)
{
    tracked_job job = openJob(makeJob({makeStep(2)}));
    begin(job, 0, 0);
    CHECK(job.endRun(task(0, 0), 1, run_end::Done, {}, wall));
    begin(job, 0, 1);
    const result<job_progress> stored = decodeJobProgress(encodeJobProgress(job.progress()));
    CHECK(!failureOf(stored));
    tracked_job restored(job.spec(), valueOf(stored), now);
    CHECK(restored.find(task(0, 0))->record.isDone);
    CHECK(restored.find(task(0, 1))->isActive());
    STRCMP_EQUAL("w1", restored.find(task(0, 1))->record.worker.c_str());
    CHECK(restored.readySteps().empty());
    CHECK(restored.state() == graph_job_state::Running);
}

// Guards LOST (review/11): a gang was shown as failed before its last attempt, since the failures
// of two members in one run reached two planners, and each counted one.
TEST(tracked_job, gangRunCountsOnceAcrossPlanners)
{
    step_spec gang = makeStep(4);
    gang.gang = true;
    tracked_job first = openJob(makeJob({gang}));
    const auto beginAll = [this](tracked_job &job) {
        job.beginRuns({0, 0},
                      {{0, "w1", "life", 1s},
                       {1, "w2", "life", 1s},
                       {2, "w3", "life", 1s},
                       {3, "w4", "life", 1s}},
                      now);
    };
    const auto successorOf = [this](const tracked_job &job) {
        const result<job_progress> stored = decodeJobProgress(encodeJobProgress(job.progress()));
        CHECK(!failureOf(stored));
        return tracked_job(job.spec(), valueOf(stored), now);
    };
    beginAll(first);
    CHECK(first.endRun(task(0, 2), 1, run_end::Failed, {}, wall));
    tracked_job second = successorOf(first);
    CHECK(second.endRun(task(0, 0), 1, run_end::Failed, {}, wall));
    tracked_job third = successorOf(second);
    CHECK(third.endRun(task(0, 1), 1, run_end::Failed, {}, wall));
    CHECK(third.endRun(task(0, 3), 1, run_end::Stopped, {}, wall));
    CHECK(third.state() == graph_job_state::Running);
    LONGS_EQUAL(1, third.readySteps().size());

    beginAll(third);
    tracked_job fourth = successorOf(third);
    CHECK(fourth.endRun(task(0, 3), 2, run_end::Failed, {}, wall));
    CHECK(fourth.state() == graph_job_state::Failed);
}

// Guards restarts in turn: planners of the version before refuse a record with fields that they
// don't know, so the count above must not add one.
TEST(tracked_job, recordOfAFailedGangHasNoFurtherFields)
{
    step_spec gang = makeStep(2);
    gang.gang = true;
    tracked_job job = openJob(makeJob({gang}));
    job.beginRuns({0, 0}, {{0, "w1", "life", 1s}, {1, "w2", "life", 1s}}, now);
    CHECK(job.endRun(task(0, 0), 1, run_end::Failed, {}, wall));
    const auto record = nlohmann::json::from_cbor(encodeJobProgress(job.progress()));
    LONGS_EQUAL(6, record.size());
    const nlohmann::json &step = record.back().at(0).back().at(0);
    LONGS_EQUAL(2, step.size());
    LONGS_EQUAL(10, step.at(0).at(0).size());
}

// Guards TWICE: what is set aside begins again later, so that it must not be, nor must any before
// it, once a run was recorded.
TEST(tracked_job, onlyUntouchedOccurrencesAtTheEndAreSetAside)
{
    graph_job spec = makeJob({makeStep(1)});
    spec.schedule = {5, wall, 0ms};
    tracked_job job(spec, std::nullopt, now);
    LONGS_EQUAL(5, job.dueOccurrences(wall));
    for (int i = 0; i < 4; ++i)
        job.openNext();
    LONGS_EQUAL(4, job.untouchedOccurrences());
    begin(job, 0, 0, 1);
    LONGS_EQUAL(2, job.untouchedOccurrences());
    job.closeLast();
    LONGS_EQUAL(2, job.dueOccurrences(wall));
    CHECK(job.find(task(0, 0, 3)) == nullptr);
    // The last one ends before the others.
    begin(job, 0, 0, 2);
    CHECK(job.endRun(task(0, 0, 2), 1, run_end::Done, {}, wall));
    LONGS_EQUAL(0, job.untouchedOccurrences());
    job.openNext();
    LONGS_EQUAL(1, job.untouchedOccurrences());
    CHECK(job.find(task(0, 0, 3)) != nullptr);
    const tracked_job restored(spec, job.progress(), now);
    LONGS_EQUAL(1, restored.untouchedOccurrences());
    LONGS_EQUAL(1, restored.dueOccurrences(wall));
}

// Guards the bound of held work: an occurrence needs no more memory than is charged for it.
TEST(tracked_job, occurrencesNeedNoMoreMemoryThanIsCharged)
{
    std::size_t charged = 0;
    std::size_t needed = 0;
    // The detection of leaks needs memory of its own for each allocation.
    MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
    {
        graph_job spec = makeJob({makeStep(1), makeStep(3, {0}), makeStep(200, {1})});
        spec.schedule = {100, wall, 0ms};
        tracked_job job(spec, std::nullopt, now);
        const auto used = [] {
            const auto info = mallinfo2();
            return static_cast<std::size_t>(info.uordblks + info.hblkhd);
        };
        const std::size_t before = used();
        for (std::int32_t occurrence = 0; occurrence < 100; ++occurrence) {
            job.openNext();
            for (std::int32_t step = 0; step < 3; ++step) {
                for (tracked_task &one : job.find(step_ref{occurrence, step})->tasks) {
                    one.record.worker = std::string(24, 'w');
                    one.record.workerIncarnation = std::string(32, 'i');
                    one.record.saved = std::string(24, 's');
                }
            }
        }
        charged = job.openBytes();
        needed = used() - before;
    }
    MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
    CHECK(charged >= needed);
    CHECK(charged <= 2 * needed);
}

TEST(tracked_job, cancelAfterTheEndChangesNothing)
{
    tracked_job job = openJob(makeJob({makeStep(1)}));
    begin(job, 0, 0);
    CHECK(job.endRun(task(0, 0), 1, run_end::Done, {}, wall));
    const std::uint64_t version = job.version();
    job.cancel(wall);
    CHECK(job.state() == graph_job_state::Completed);
    LONGS_EQUAL(version, job.version());
}

TEST_GROUP(graph_job){};

TEST(graph_job, recordKeepsEveryField)
{
    step_spec step = makeStep(3);
    step.perTask = {500, 256, 2};
    step.requiredLabel = "a";
    step.dataRack = "r1";
    step.sameRack = step.gang = step.checkpointing = true;
    graph_job job = makeJob({step, makeStep(1, {0})});
    job.payload = "text";
    job.policy.slackFactor = 1.5;
    job.policy.completionTarget = 250ms;
    const result<graph_job> again = decodeGraphJob(encodeGraphJob(job));
    CHECK(!failureOf(again));
    STRCMP_EQUAL(encodeGraphJob(job).c_str(), encodeGraphJob(valueOf(again)).c_str());
    DOUBLES_EQUAL(1.5, valueOf(again).policy.slackFactor, 1e-9);
    CHECK(criticalPathTime(valueOf(again)) == 2s);
}

TEST(graph_job, refusesStepsThatReferForward)
{
    const result<done> checked = checkGraphJob(makeJob({makeStep(1, {0})}));
    CHECK(failureOf(checked) != nullptr);
    STRCMP_EQUAL("steps[0].after", failureOf(checked)->field.c_str());
    CHECK(failureOf(checkGraphJob(makeJob({}))) != nullptr);
    CHECK(failureOf(decodeGraphJob("no record")) != nullptr);
}

TEST(graph_job, taskNamesAreParsedWhole)
{
    const task_key task{"5c0e7a21d94b36f8", 0, 1, 17};
    STRCMP_EQUAL("5c0e7a21d94b36f8.0.1.17", formatTask(task).c_str());
    CHECK(valueOf(parseTask("5c0e7a21d94b36f8.0.1.17")) == task);
    for (const char *bad : {"", "a", "a.0.1", "a.0.1.2.3", "a.0.-1.2", ".0.1.2", "a.0.1.x"})
        CHECK(failureOf(parseTask(bad)) != nullptr);
}
