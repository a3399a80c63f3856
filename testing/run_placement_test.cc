#include "goldcrest/run_placement.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

TEST_GROUP(run_placement)
{
    time_point now{};
    std::vector<worker_capacity> capacities;
    step_spec step;

    void addWorker(const std::string &name, const std::string &rack, std::int64_t accelerators)
    {
        worker_capacity capacity;
        capacity.worker = name;
        capacity.rack = rack;
        capacity.free = {64'000, 100'000, accelerators};
        capacities.push_back(capacity);
    }

    // Occupies capacity of a worker with a run that ends after `left`.
    void occupyCapacity(std::size_t index, std::int64_t accelerators, duration left,
                        std::size_t unit, std::int32_t priority, double loss)
    {
        placed_run run;
        run.unit = unit;
        run.demand = {1000, 1000, accelerators};
        run.endsAt = now + left;
        run.priority = priority;
        run.lossOnStop = loss;
        capacities[index].free -= run.demand;
        capacities[index].runs.push_back(run);
    }

    placement_request request(std::int32_t count) const
    {
        placement_request wanted;
        wanted.step = &step;
        wanted.count = count;
        wanted.estimate = 10s;
        return wanted;
    }

    void setup() override
    {
        step.perTask = {1000, 1000, 4};
        addWorker("w1", "r1", 8);
        addWorker("w2", "r1", 8);
        addWorker("w3", "r2", 8);
    }
};

TEST(run_placement, fillsTheWorkerWithTheLeastLeftOver)
{
    capacities[1].free.accelerators = 4;
    const auto found = bestPlacement(capacities, request(1), now);
    CHECK(found.has_value());
    LONGS_EQUAL(1, found->indexes[0]);
}

TEST(run_placement, gangStaysInOneRackIfItIsSlowerElsewhere)
{
    step.sameRack = step.gang = true;
    step.perTask.accelerators = 8;
    const auto found = bestPlacement(capacities, request(2), now);
    CHECK(found.has_value());
    CHECK(found->start == now);
    CHECK(found->estimate == 10s);
    CHECK(capacities[found->indexes[0]].rack == "r1" && capacities[found->indexes[1]].rack == "r1");
}

// Waiting 5 s near the data ends before three times 10 s elsewhere.
TEST(run_placement, waitsNearTheDataIfThatEndsSooner)
{
    step.dataRack = "r2";
    occupyCapacity(2, 8, 5s, 1, 0, 0);
    auto found = bestPlacement(capacities, request(1), now);
    CHECK(found->start == now + 5s);
    LONGS_EQUAL(2, found->indexes[0]);
    capacities[2].runs[0].endsAt = now + 60s;
    found = bestPlacement(capacities, request(1), now);
    CHECK(found->start == now);
    CHECK(found->estimate == 30s);
}

TEST(run_placement, nothingIfTheTasksNeverFit)
{
    step.perTask.accelerators = 9;
    CHECK(!bestPlacement(capacities, request(1), now).has_value());
}

TEST(run_placement, keepsTheLimitOfTasksOnOneWorker)
{
    step.perTask.accelerators = 1;
    step.maxPerWorker = 1;
    const auto found = bestPlacement(capacities, request(3), now);
    CHECK(found->start == now);
    CHECK(found->indexes[0] != found->indexes[1] && found->indexes[1] != found->indexes[2]);
    placement_request fourth = request(1);
    fourth.placedBefore = {{"w1", 1}, {"w2", 1}, {"w3", 1}};
    CHECK(!bestPlacement(capacities, fourth, now).has_value());
}

// Capacity reserved for a waiting unit of higher rank is left free, except for tasks that end
// before.
TEST(run_placement, reservedCapacityTakesOnlyTasksThatEndBefore)
{
    capacities.resize(1);
    occupyCapacity(0, 4, 12s, 1, 0, 0);
    step.perTask.accelerators = 8;
    const auto waiting = bestPlacement(capacities, request(1), now);
    CHECK(waiting->start == now + 12s);
    reserveCapacity(capacities, request(1), *waiting);
    step.perTask.accelerators = 4;
    placement_request small = request(1);
    CHECK(bestPlacement(capacities, small, now)->start == now);
    small.estimate = 13s;
    const auto longer = bestPlacement(capacities, small, now);
    CHECK(!longer || longer->start > now);
}

TEST(run_placement, stopsTheCheapestLowerWork)
{
    for (std::size_t i = 0; i < 3; ++i)
        occupyCapacity(i, 8, 20s, i + 1, 2, i == 1 ? 10 : 100);
    eviction_rule rule;
    rule.belowPriority = 0;
    rule.maxLoss = 50;
    const auto found = cheapestEviction(capacities, request(1), rule, now);
    CHECK(found.has_value());
    LONGS_EQUAL(1, found->units.size());
    LONGS_EQUAL(2, found->units[0]);
    rule.maxLoss = 5;
    CHECK(!cheapestEviction(capacities, request(1), rule, now).has_value());
    rule.maxLoss = 1000;
    rule.belowPriority = 2;
    CHECK(!cheapestEviction(capacities, request(1), rule, now).has_value());
}

// Guards against stops of tasks that are almost done (trouble-2 of tawe-loft).
TEST(run_placement, waitsForRunsThatEndSoon)
{
    capacities.resize(1);
    occupyCapacity(0, 8, 500ms, 1, 2, 100);
    eviction_rule rule;
    rule.maxLoss = 1000;
    const auto found = cheapestEviction(capacities, request(1), rule, now);
    CHECK(found.has_value());
    CHECK(found->units.empty());
}

TEST(run_placement, workWithinGuaranteesIsTheLastResort)
{
    capacities.resize(1);
    occupyCapacity(0, 8, 20s, 1, 0, 1);
    capacities[0].runs[0].isGuaranteed = true;
    eviction_rule rule;
    rule.alsoUnguaranteed = true;
    rule.maxLoss = 1000;
    CHECK(!cheapestEviction(capacities, request(1), rule, now).has_value());
    rule.anyUnit = true;
    CHECK(cheapestEviction(capacities, request(1), rule, now).has_value());
}

TEST(run_placement, bestEffortTasksTakeNoCores)
{
    step.bestEffort = true;
    LONGS_EQUAL(0, demandOf(step).cores);
    LONGS_EQUAL(4, demandOf(step).accelerators);
}

// Load pattern: urgent jobs are expected. Other work leaves whole workers free, though a small one
// fits it better, and goes beside work that ends at a similar time.
TEST(run_placement, sparesFreeWorkersAndJoinsWorkThatEndsAtASimilarTime)
{
    capacities[2].free.accelerators = 4;
    occupyCapacity(0, 2, 3s, 1, 0, 0);
    occupyCapacity(1, 2, 10s, 2, 0, 0);
    placement_request wanted = request(1);
    LONGS_EQUAL(2, bestPlacement(capacities, wanted, now)->indexes[0]);
    wanted.sparesFreeWorkers = true;
    LONGS_EQUAL(1, bestPlacement(capacities, wanted, now)->indexes[0]);
    wanted.estimate = 3s;
    LONGS_EQUAL(0, bestPlacement(capacities, wanted, now)->indexes[0]);
}

// Guards against work that waits although a worker is free, since it is to be spared.
TEST(run_placement, takesFreeWorkersIfItFitsNowhereElse)
{
    occupyCapacity(0, 8, 10s, 1, 0, 0);
    placement_request wanted = request(4);
    wanted.sparesFreeWorkers = true;
    const auto found = bestPlacement(capacities, wanted, now);
    CHECK(found->start == now);
    LONGS_EQUAL(4, found->indexes.size());
}

// Load pattern: two images that slow each other. They are kept apart on workers in use, and on
// unused ones while enough are left; without such workers they run together at once.
TEST(run_placement, keepsImagesApartThatSlowEachOther)
{
    step.perTask.accelerators = 1;
    placement_request wanted = request(1);
    wanted.images = 1;
    wanted.avoidedImages = 2;
    occupyCapacity(0, 6, 10s, 1, 0, 0);
    capacities[0].images = 2;
    occupyCapacity(1, 2, 10s, 2, 0, 0);
    capacities[1].images = 1;
    LONGS_EQUAL(1, bestPlacement(capacities, wanted, now)->indexes[0]);
    capacities[1].images = 2;
    LONGS_EQUAL(2, bestPlacement(capacities, wanted, now)->indexes[0]);
    capacities[2].free = {};
    const auto together = bestPlacement(capacities, wanted, now);
    CHECK(together->start == now);
    LONGS_EQUAL(0, together->indexes[0]);
}

// Guards wide work, which needs whole workers: the last unused one of many is not opened to keep
// images apart.
TEST(run_placement, opensNoScarceUnusedWorkerToKeepImagesApart)
{
    for (int i = 3; i < 9; ++i)
        addWorker("w" + std::to_string(i + 1), "r2", 8);
    for (std::size_t i = 0; i < 8; ++i) {
        occupyCapacity(i, 2, 10s, i, 0, 0);
        capacities[i].images = 2;
    }
    placement_request wanted = request(1);
    wanted.images = 1;
    wanted.avoidedImages = 2;
    CHECK(bestPlacement(capacities, wanted, now)->indexes[0] < 8);
    capacities.erase(capacities.begin());
    LONGS_EQUAL(7, bestPlacement(capacities, wanted, now)->indexes[0]);
}

// Tasks of one image that slow each other are spread, but never beyond the workers there are.
TEST(run_placement, spreadsAnImageThatSlowsItself)
{
    step.perTask.accelerators = 1;
    placement_request wanted = request(3);
    wanted.images = wanted.avoidedImages = 1;
    const auto spread = bestPlacement(capacities, wanted, now);
    CHECK(spread->indexes[0] != spread->indexes[1] && spread->indexes[1] != spread->indexes[2]);
    wanted.count = 24;
    const auto all = bestPlacement(capacities, wanted, now);
    CHECK(all->start == now);
    LONGS_EQUAL(24, all->indexes.size());
}
