#include "goldcrest/urgent_demand.h"

#include <limits>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

TEST_GROUP(urgent_demand)
{
    static constexpr resources total{61 * 32'000, 61 * 128'000, 61 * 8};

    time_point now{std::chrono::hours(1)};
    urgent_demand demand;

    static urgent_job job(std::int64_t accelerators)
    {
        return {{5 * 3700, 5 * 1000, accelerators}, 2500ms};
    }

    urgent_forecast forecast(const resources &used = {}) const
    {
        return demand.forecast(200ms, total, used, now);
    }

    // Jobs of 10 accelerators at this interval.
    void arrive(duration time, duration interval)
    {
        for (const time_point end = now + time; now < end; now += interval)
            demand.noteArrival(job(10), now);
    }
};

TEST(urgent_demand, nothingIsExpectedWithoutArrivals)
{
    demand.noteWait(now);
    CHECK(!forecast().isExpected());
    CHECK(forecast().needed == resources{});
    CHECK(forecast().held == resources{});
    CHECK(!forecast().isExpectedWithin(1h));
    CHECK(forecast().roomClass() == urgent_room_class::None);
}

// Guards against room that follows no demand: 1 job/s of 10 accelerators for 2.5 s, with 0.2 s to
// free capacity, needs 27 accelerators on average.
TEST(urgent_demand, followsTheRateOfArrivals)
{
    arrive(20s, 1s);
    DOUBLES_EQUAL(1, forecast().perSecond, 0.1);
    CHECK(forecast().horizon == 2700ms);
    CHECK(forecast().needed.accelerators >= 27 && forecast().needed.accelerators <= 45);
    CHECK(forecast().needed.cores >= 27 * 1850);
    const std::int64_t before = forecast().needed.accelerators;
    arrive(20s, 500ms);
    CHECK(forecast().needed.accelerators > before * 3 / 2);
}

// Load pattern: jobs in waves. The same number of them needs more room at once.
TEST(urgent_demand, wavesNeedMoreThanAnEvenStream)
{
    arrive(12s, 1s);
    const std::int64_t even = forecast().needed.accelerators;
    demand = urgent_demand();
    for (int wave = 0; wave < 2; ++wave) {
        now += 5400ms;
        arrive(600ms, 100ms);
    }
    CHECK(forecast().needed.accelerators > even);
}

// Guards against capacity that stays idle after the last urgent job.
TEST(urgent_demand, isForgottenOnceNothingArrives)
{
    arrive(20s, 200ms);
    demand.noteWait(now);
    CHECK(forecast().roomClass() == urgent_room_class::Held);
    now += urgent_demand::window + 1s;
    CHECK(!forecast().isExpected());
    CHECK(forecast().held == resources{});
}

// Guards against idle capacity: it is held only after an urgent job had to wait, up to 1/32
// of the service, and not for demand that running urgent jobs will hand on.
TEST(urgent_demand, holdsLittleAndOnlyAfterAWait)
{
    arrive(20s, 100ms);
    CHECK(forecast().roomClass() == urgent_room_class::Preferred);
    LONGS_EQUAL(total.accelerators / 4, forecast().needed.accelerators);
    demand.noteWait(now);
    CHECK(forecast().roomClass() == urgent_room_class::Held);
    LONGS_EQUAL(total.accelerators / 32, forecast().held.accelerators);
    CHECK(forecast(total).held == resources{});
    now += urgent_demand::window + 1ms;
    demand.noteArrival(job(10), now);
    CHECK(forecast().roomClass() == urgent_room_class::Preferred);
}

TEST(urgent_demand, onlyLongWorkMeetsTheNextUrgentJob)
{
    arrive(20s, 1s);
    CHECK(forecast().isExpectedWithin(6800ms));
    CHECK(!forecast().isExpectedWithin(2s));
    demand = urgent_demand();
    demand.noteArrival(job(10), now - 11s);
    CHECK(!forecast().isExpectedWithin(6800ms));
}

// Guards against a restart of the planner: stored jobs are added in any order, with the times of
// their acceptance, of which old ones must not look like a wave.
TEST(urgent_demand, takesStoredJobsByTheTimeOfTheirAcceptance)
{
    for (int age = 0; age < 600; ++age)
        demand.noteArrival(job(10), now - duration(1000) * (age * 7 % 600));
    DOUBLES_EQUAL(1, forecast().perSecond, 0.1);
}

// Guards against infinite or negative room from odd values.
TEST(urgent_demand, oddValuesStayWithinTheBounds)
{
    demand.noteArrival({{-5, 0, 0}, 1s}, now);
    demand.noteArrival({{1, 1, 1}, -1s}, now);
    demand.noteArrival({{}, 1s}, now);
    demand.noteArrival(job(1), time_point(-1h));
    CHECK(!forecast().isExpected());
    demand.noteArrival(job(1), now + 1h);
    CHECK(!forecast().isExpected());
    demand = urgent_demand();
    demand.noteArrival({largestMachine * 1000, longestTime}, now);
    demand.noteWait(now);
    const urgent_forecast large = demand.forecast(longestTime, total, {}, now);
    CHECK(total.covers(large.needed) && large.needed.covers({}));
    const urgent_forecast none = demand.forecast(-1s, {}, total, now);
    CHECK(none.needed == resources{} && none.held == resources{});
    CHECK(demand.forecast(200ms, {-1, -1, -1}, {}, now).held == resources{});
}

// A job of several steps needs its mean over the time that it takes; steps that never end do not
// arrive again.
TEST(urgent_demand, jobNeedsItsMeanOverItsRunTime)
{
    graph_job job;
    step_spec first;
    first.count = 5;
    first.perTask = {1000, 10, 2};
    first.estimated = 3s;
    step_spec second = first;
    second.count = 1;
    second.estimated = 1s;
    second.after = {0};
    job.steps = {first, second};
    const auto declared = [](const step_spec &step) { return step.estimated; };
    const urgent_job seen = urgentJobOf(job, declared);
    CHECK(seen.runTime == 4s);
    LONGS_EQUAL(8, seen.demand.accelerators);
    LONGS_EQUAL(4000, seen.demand.cores);
    for (step_spec &step : job.steps)
        step.longRunning = true;
    CHECK(urgentJobOf(job, declared).demand == resources{});
    job.steps.clear();
    CHECK(urgentJobOf(job, declared).demand == resources{});
}
