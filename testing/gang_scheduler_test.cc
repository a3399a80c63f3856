// Tests single decisions of the scheduling policy that the random event sequences of
// scheduler_invariant_test do not check individually.

#include "goldcrest/guarantee_check.h"
#include "goldcrest/scheduler.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

namespace {

// A cell of one rack with workers of 8 accelerators, teams "a" and "b" and a virtual clock.
class small_cell
{
public:
    explicit small_cell(int workers)
        : engine(makeGangScheduler("cell"))
    {
        class_entry urgent;
        urgent.name = "urgent";
        urgent.urgent = true;
        config.entries.classes["urgent"] = urgent;
        for (const char *name : {"a", "b"})
            config.entries.teams[name].name = name;
        shape_entry shape;
        shape.name = "whole";
        shape.perTask = {32000, 131072, 8};
        shape.closeness = adjacency::Worker;
        config.entries.shapes["whole"] = shape;
        apply();
        for (int w = 0; w < workers; ++w) {
            worker_info info;
            info.id = "w" + std::to_string(w);
            info.failureDomain = w % 2 == 0 ? "even" : "odd";
            info.rack = "r";
            info.capacity = {64000, 262144, 8};
            engine->workerUp(info, now);
        }
        now += 1min; // the fleet is complete
        engine->tick(now);
    }

    void apply()
    {
        ++config.number;
        engine->applyConfiguration(config, now);
    }

    static job_spec spec(const std::string &team, const std::string &id, std::int64_t accelerators)
    {
        job_spec result;
        result.key = {team, id};
        result.perTask = {1000, 1024, accelerators};
        result.declaredRunTime = 1h;
        result.idempotent = true;
        result.canCheckpoint = true;
        return result;
    }

    void queue(const job_spec &job) { engine->jobQueued(job, {}, now); }

    template<typename T>
    std::vector<T> take()
    {
        std::vector<T> found;
        for (const scheduler_action &action : engine->takeActions()) {
            if (const T *wanted = std::get_if<T>(&action))
                found.push_back(*wanted);
        }
        return found;
    }

    void failed(const job_key &job, const worker_id &on)
    {
        stopped_event event;
        event.how = stop_result::Failed;
        event.failedOn = on;
        event.requeue = true;
        engine->jobStopped(job, event, now);
    }

    std::unique_ptr<scheduler> engine;
    configuration config;
    time_point now{1h};
};

} // namespace

TEST_GROUP(gang_scheduler){};

// Guards against a worker that goes on failing every job it gets, and against never trying it
// again.
TEST(gang_scheduler, quarantinesAWorkerThatFailsDifferentJobs)
{
    small_cell cell(1);
    for (int i = 0; i < 3; ++i) {
        const job_spec job = small_cell::spec("a", "j" + std::to_string(i), 8);
        cell.queue(job);
        LONGS_EQUAL(1, cell.take<place_action>().size());
        cell.failed(job.key, "w0");
        cell.engine->jobCancelled(job.key, cell.now);
        cell.take<place_action>();
        stopped_event gone;
        gone.how = stop_result::Stopped;
        cell.engine->jobStopped(job.key, gone, cell.now);
    }
    cell.queue(small_cell::spec("a", "later", 8));
    LONGS_EQUAL(0, cell.take<place_action>().size());
    cell.now += 2min; // the probe is due
    cell.engine->tick(cell.now);
    LONGS_EQUAL(1, cell.take<place_action>().size());
}

// Guards against a broken job that is tried on one worker after the other forever.
TEST(gang_scheduler, rejectsAJobThatFailsOnSeveralHealthyWorkers)
{
    small_cell cell(5);
    const job_spec job = small_cell::spec("a", "broken", 8);
    cell.queue(job);
    for (int i = 0; i < 3; ++i) {
        const std::vector<place_action> placed = cell.take<place_action>();
        LONGS_EQUAL(1, placed.size());
        cell.failed(job.key, placed.front().parts.front().worker);
    }
    const std::vector<reject_action> rejected = cell.take<reject_action>();
    LONGS_EQUAL(1, rejected.size());
    CHECK(rejected.front().why.number == code::FailedOnSeveralWorkers);
}

// Guards against a job that waits forever for capacity that no worker has.
TEST(gang_scheduler, rejectsAtOnceWhatCanNeverRun)
{
    small_cell cell(2);
    cell.queue(small_cell::spec("a", "wide", 9));
    const std::vector<reject_action> rejected = cell.take<reject_action>();
    LONGS_EQUAL(1, rejected.size());
    CHECK(rejected.front().why.number == code::ShapeFitsNowhere);
    CHECK(!rejected.front().why.reason.empty());
}

// Guards against rejecting a job because not all workers have announced themselves yet.
TEST(gang_scheduler, keepsALargeJobWhileTheFleetIsIncomplete)
{
    small_cell cell(1);
    worker_info info;
    info.id = "new";
    info.capacity = {64000, 262144, 8};
    cell.engine->workerUp(info, cell.now);
    job_spec job = small_cell::spec("a", "gang", 8);
    job.tasks = 3;
    cell.queue(job);
    LONGS_EQUAL(0, cell.take<reject_action>().size());
    info.id = "another";
    cell.engine->workerUp(info, cell.now);
    LONGS_EQUAL(1, cell.take<place_action>().size());
}

// Guards against a team that fills the queue beyond its limit.
TEST(gang_scheduler, refusesJobsAboveTheTeamsQueueLimit)
{
    small_cell cell(1);
    cell.config.entries.teams["a"].maxQueued = 2;
    cell.apply();
    for (int i = 0; i < 4; ++i)
        cell.queue(small_cell::spec("a", "j" + std::to_string(i), 8));
    const std::vector<reject_action> rejected = cell.take<reject_action>();
    LONGS_EQUAL(1, rejected.size());
    CHECK(rejected.front().why.number == code::TeamLimit);
}

// Guards against an explanation that does not name the binding constraint, here the team's quota.
TEST(gang_scheduler, explainsWhatAJobWaitsFor)
{
    small_cell cell(2);
    cell.config.entries.teams["a"].quota.accelerators = 8;
    cell.apply();
    cell.queue(small_cell::spec("a", "first", 8));
    cell.queue(small_cell::spec("a", "second", 8));
    const std::optional<explanation> why = cell.engine->explain({"a", "second"}, cell.now);
    CHECK(why.has_value());
    CHECK(why->constraint == "team quota");
    LONGS_EQUAL(1, why->position);
    CHECK(!cell.engine->explain({"a", "first"}, cell.now));
}

// Guards against preemptible work that stays in a failure domain that is out, and against moving
// the rest.
TEST(gang_scheduler, movesPreemptibleWorkOutOfADomain)
{
    small_cell cell(1);
    job_spec pinned = small_cell::spec("a", "pinned", 4);
    pinned.idempotent = false;
    pinned.canCheckpoint = false;
    cell.queue(pinned);
    cell.queue(small_cell::spec("a", "movable", 4));
    cell.config.domainsOut.insert("even");
    cell.apply();
    const std::vector<stop_action> stopped = cell.take<stop_action>();
    LONGS_EQUAL(1, stopped.size());
    CHECK(stopped.front().job.requestId == "movable");
    CHECK(stopped.front().reason == stop_reason::DomainOut);
}

// Guards against a job that is stopped though it may finish: the deadline of its earlier attempt,
// from the first time that the domain was out, ended the next one.
TEST(gang_scheduler, finishDeadlineIsThatOfTheAttempt)
{
    small_cell cell(1);
    job_spec job = small_cell::spec("a", "short", 4);
    job.canCheckpoint = false;
    job.declaredRunTime = 10s;
    cell.queue(job);
    LONGS_EQUAL(1, cell.take<place_action>().size());
    cell.config.domainsOut.insert("even");
    cell.apply();
    cell.now += 10s;
    stopped_event gone;
    gone.how = stop_result::Stopped;
    gone.requeue = true;
    cell.engine->jobStopped(job.key, gone, cell.now);
    cell.config.domainsOut.clear();
    cell.apply();
    LONGS_EQUAL(1, cell.take<place_action>().size());
    cell.now += 15s;
    cell.config.domainsOut.insert("even");
    cell.apply();
    cell.now += 6s; // 31 s after the first time, 6 s after the second
    cell.engine->tick(cell.now);
    LONGS_EQUAL(0, cell.take<stop_action>().size());
    cell.now += 25s;
    cell.engine->tick(cell.now);
    LONGS_EQUAL(1, cell.take<stop_action>().size());
}

// Guards against capacity that is lost with a claim that is cancelled before its borrowers have
// stopped. The cancellation itself decides nothing, so that its cost does not grow with the queue.
TEST(gang_scheduler, capacityOfACancelledClaimIsUsedAtTheNextTick)
{
    small_cell cell(2);
    cell.config.entries.teams["a"].guarantees.push_back({"whole", 2, "cell"});
    cell.apply();
    cell.queue(small_cell::spec("b", "borrower", 8));
    LONGS_EQUAL(1, cell.take<place_action>().size());
    job_spec claim = small_cell::spec("a", "claim", 8);
    claim.shape = "whole";
    claim.perTask = cell.config.entries.shapes["whole"].perTask;
    claim.tasks = 2;
    cell.queue(claim);
    LONGS_EQUAL(1, cell.take<stop_action>().size());
    cell.queue(small_cell::spec("b", "next", 8));
    LONGS_EQUAL(0, cell.take<place_action>().size());
    cell.engine->jobCancelled(claim.key, cell.now);
    LONGS_EQUAL(0, cell.take<place_action>().size());
    cell.engine->tick(cell.now);
    const std::vector<place_action> placed = cell.take<place_action>();
    LONGS_EQUAL(1, placed.size());
    CHECK(placed.front().job.requestId == "next");
}

// Guards the reclaim of a guarantee: a borrower stops, and the owner starts once the borrower has
// ended.
TEST(gang_scheduler, reclaimsAGuaranteeFromItsBorrower)
{
    small_cell cell(1);
    cell.config.entries.teams["a"].guarantees.push_back({"whole", 1, "cell"});
    cell.apply();
    cell.queue(small_cell::spec("b", "borrower", 8));
    const std::vector<place_action> lent = cell.take<place_action>();
    LONGS_EQUAL(1, lent.size());
    CHECK(lent.front().borrowed);
    job_spec claim = small_cell::spec("a", "claim", 8);
    claim.shape = "whole";
    claim.perTask = cell.config.entries.shapes["whole"].perTask;
    cell.queue(claim);
    LONGS_EQUAL(1, cell.take<stop_action>().size());
    stopped_event gone;
    gone.how = stop_result::Stopped;
    gone.requeue = true;
    cell.engine->jobStopped({"b", "borrower"}, gone, cell.now);
    const std::vector<place_action> placed = cell.take<place_action>();
    LONGS_EQUAL(1, placed.size());
    CHECK(placed.front().job.requestId == "claim");
}

// Guards against a task that exceeds its declaration unnoticed, or is stopped while it harms
// nobody.
TEST(gang_scheduler, throttlesFirstAndStopsWhatEndangersOthers)
{
    small_cell cell(1);
    const job_spec job = small_cell::spec("a", "greedy", 4);
    cell.queue(job);
    cell.queue(small_cell::spec("b", "neighbour", 4));
    cell.take<place_action>();
    resources use = job.perTask;
    use.memory = 2048;
    cell.engine->usageReported(job.key, "w0", use, cell.now);
    LONGS_EQUAL(1, cell.take<throttle_action>().size());
    cell.engine->usageReported(job.key, "w0", use, cell.now);
    LONGS_EQUAL(0, cell.take<stop_action>().size());
    use.memory = 400000; // more than the worker has free
    cell.engine->usageReported(job.key, "w0", use, cell.now);
    LONGS_EQUAL(1, cell.take<stop_action>().size());
    stopped_event gone;
    gone.how = stop_result::Stopped;
    gone.requeue = true;
    cell.engine->jobStopped(job.key, gone, cell.now);
    const std::vector<reject_action> rejected = cell.take<reject_action>();
    LONGS_EQUAL(1, rejected.size());
    CHECK(rejected.front().why.number == code::ExceededDeclaration);
}

// Guards against accepting a catalogue whose guarantees fit in sum but not on the workers.
TEST(gang_scheduler, guaranteeCheckCountsWhatFitsOnWorkers)
{
    small_cell cell(1);
    cell.config.entries.teams["a"].guarantees.push_back({"whole", 3, "cell"});
    std::vector<worker_info> workers(4);
    for (std::size_t i = 0; i < workers.size(); ++i) {
        workers[i].id = std::to_string(i);
        workers[i].failureDomain = i < 2 ? "even" : "odd";
        workers[i].capacity = {64000, 262144, i == 0 ? 4 : 8};
    }
    CHECK(checkGuarantees(cell.config.entries, "cell", workers).fits());
    const guarantee_report report = checkGuarantees(cell.config.entries, "cell", workers, {"odd"});
    LONGS_EQUAL(1, report.unmet.size());
    LONGS_EQUAL(1, report.unmet.front().placed);
    CHECK(report.text().find("a/whole 1 of 3") != std::string::npos);
}
