#include "goldcrest/run_placement.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <utility>
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

    // Adds workers of some speed in one rack.
    void addWorkers(std::size_t count, double speed, std::int64_t accelerators = 8)
    {
        for (std::size_t i = 0; i < count; ++i) {
            addWorker("v" + std::to_string(capacities.size()), "r1", accelerators);
            capacities.back().speed = speed;
        }
    }

    // Returns the lowest and the highest speed of the workers of a placement.
    std::pair<double, double> speedsOf(const placement &where) const
    {
        std::pair<double, double> found{10, 0};
        for (const std::size_t index : where.indexes) {
            found.first = std::min(found.first, capacities[index].speed);
            found.second = std::max(found.second, capacities[index].speed);
        }
        return found;
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

// Load pattern: workers of two speeds. An urgent task must not end later than it has to because of
// a speed-blind choice.
TEST(run_placement, urgentTaskTakesTheFastestFreeWorker)
{
    capacities.clear();
    addWorkers(2, 0.8);
    addWorkers(1, 1.25);
    addWorkers(1, 1);
    const auto found = bestPlacement(capacities, request(1), now);
    CHECK(found.has_value());
    LONGS_EQUAL(2, found->indexes[0]);
    CHECK(found->start == now);
    CHECK(found->estimate == 8s);
    CHECK(timeAtUsualSpeed(capacities, *found) <= 10s);
    CHECK(timeAtUsualSpeed(capacities, *found) > 9990ms);
}

// Work with time to spare leaves the fast workers to urgent work, but never a better fit.
TEST(run_placement, workWithTimeToSpareTakesSlowWorkersOfTheSameFit)
{
    capacities.clear();
    addWorkers(1, 1.25);
    addWorkers(2, 1);
    addWorkers(1, 0.8);
    placement_request wanted = request(1);
    wanted.prefersSlow = true;
    LONGS_EQUAL(3, bestPlacement(capacities, wanted, now)->indexes[0]);
    capacities[0].free.accelerators = 4;
    LONGS_EQUAL(0, bestPlacement(capacities, wanted, now)->indexes[0]);
}

// A gang runs at the speed of its slowest member, so that faster members are wasted.
TEST(run_placement, gangTakesWorkersOfOneSpeed)
{
    capacities.clear();
    addWorkers(1, 1.25);
    addWorkers(2, 0.8);
    addWorkers(3, 1);
    step.gang = true;
    step.perTask.accelerators = 8;
    for (const bool prefersSlow : {false, true}) {
        placement_request wanted = request(2);
        wanted.prefersSlow = prefersSlow;
        const auto found = bestPlacement(capacities, wanted, now);
        CHECK(found.has_value());
        const auto [slowest, fastest] = speedsOf(*found);
        DOUBLES_EQUAL(slowest, fastest, 0);
        DOUBLES_EQUAL(prefersSlow ? 0.8 : 1, slowest, 0);
        CHECK(found->estimate == (prefersSlow ? 12500ms : 10s));
    }
    // One fast worker and one slow one would end as late as two slow ones.
    capacities.clear();
    addWorkers(1, 1.25);
    addWorkers(2, 0.8);
    const auto found = bestPlacement(capacities, request(2), now);
    CHECK(found.has_value());
    DOUBLES_EQUAL(0.8, speedsOf(*found).second, 0);
}

// Where there are not enough workers of one speed, a mixed gang still starts at once.
TEST(run_placement, gangOfMixedSpeedsStartsIfThereIsNoOtherChoice)
{
    capacities.clear();
    addWorkers(1, 1.25);
    addWorkers(1, 0.8);
    step.gang = step.sameRack = true;
    step.perTask.accelerators = 8;
    const auto found = bestPlacement(capacities, request(2), now);
    CHECK(found.has_value());
    CHECK(found->start == now);
    CHECK(found->estimate == 12500ms);
}

// The fit comes first for speeds that differ by less than the dead band.
TEST(run_placement, smallDifferencesInSpeedDoNotBreakTheFit)
{
    capacities.clear();
    addWorkers(1, 1.07);
    addWorkers(1, 1, 4);
    LONGS_EQUAL(1, bestPlacement(capacities, request(1), now)->indexes[0]);
    capacities[0].speed = 1.25;
    LONGS_EQUAL(0, bestPlacement(capacities, request(1), now)->indexes[0]);
}

// A unit within a guarantee would stop other runs while it waits for a faster worker, whose
// availability is only an estimate.
TEST(run_placement, tasksDoNotWaitForFasterWorkers)
{
    capacities.clear();
    addWorkers(1, 1.25);
    addWorkers(1, 0.8);
    addWorker("far", "r2", 8);
    capacities.back().speed = 1.25;
    occupyCapacity(0, 8, 100ms, 1, 0, 0);
    occupyCapacity(2, 8, 50ms, 2, 0, 0);
    step.sameRack = true;
    for (const std::int32_t count : {1, 2}) {
        const auto found = bestPlacement(capacities, request(count), now);
        CHECK(found.has_value());
        CHECK(found->start == now);
        LONGS_EQUAL(1, found->indexes[0]);
    }
}

// A start on the workers that were freed for a unit keeps the run time of these workers.
TEST(run_placement, placementOnChosenWorkersKeepsTheirSpeed)
{
    capacities.clear();
    addWorkers(1, 0.8);
    addWorkers(1, 1.25);
    eviction_rule rule;
    rule.belowPriority = 0;
    rule.maxLoss = 1000;
    occupyCapacity(0, 8, 1h, 1, 2, 5);
    occupyCapacity(1, 8, 1h, 2, 2, 50);
    const auto evicted = cheapestEviction(capacities, request(1), rule, now);
    CHECK(evicted.has_value());
    CHECK(evicted->where.estimate == 12500ms);
    capacities[0].free = {64'000, 100'000, 8};
    const auto found = placementNowOn(capacities, request(1), evicted->where, now);
    CHECK(found.has_value());
    CHECK(found->estimate > 12490ms && found->estimate <= 12500ms);
}

// Load pattern: equal workers, with every mixture of free capacity. Requests that differ only in
// their preference for a speed must be placed alike, and as by the best fit alone.
TEST(run_placement, equalWorkersArePlacedByTheFitOnly)
{
    std::mt19937_64 random{5};
    const auto upTo = [&](int most) { return static_cast<int>(random() % (most + 1)); };
    for (int round = 0; round < 400; ++round) {
        capacities.clear();
        for (int i = 0; i < 12; ++i) {
            addWorker("w" + std::to_string(i), "r" + std::to_string(i / 4), 8);
            capacities.back().free.cores = 1000 * (10 + upTo(50));
            const int used = upTo(8);
            if (used > 0)
                occupyCapacity(static_cast<std::size_t>(i), used, duration(upTo(4000)), 1, 2, 1);
        }
        step.sameRack = upTo(1) == 1;
        step.dataRack = upTo(3) == 0 ? "r2" : "";
        step.perTask.accelerators = 1 + upTo(3);
        placement_request wanted = request(1 + upTo(5));
        const auto found = bestPlacement(capacities, wanted, now);
        wanted.prefersSlow = true;
        const auto slow = bestPlacement(capacities, wanted, now);
        // Speeds other than 1, but equal, scale the run time only.
        for (worker_capacity &capacity : capacities)
            capacity.speed = 0.5;
        wanted.estimate = 5s;
        wanted.prefersSlow = false;
        const auto scaledOnes = bestPlacement(capacities, wanted, now);
        CHECK(found.has_value() == slow.has_value());
        CHECK(found.has_value() == scaledOnes.has_value());
        if (!found)
            continue;
        CHECK(found->start == slow->start && found->estimate == slow->estimate);
        CHECK(found->indexes == slow->indexes);
        CHECK(found->start > now || found->indexes == scaledOnes->indexes);
    }
}

// The digest was computed with the placement before workers had a speed. It guards against another
// placement on equal workers.
TEST(run_placement, equalWorkersArePlacedAsBeforeSpeeds)
{
    std::mt19937_64 random{5};
    const auto upTo = [&](int most) { return static_cast<int>(random() % (most + 1)); };
    std::uint64_t digest = 14'695'981'039'346'656'037U; // FNV-1a over 64-bit values
    const auto add = [&digest](std::int64_t value) {
        digest = (digest ^ static_cast<std::uint64_t>(value)) * 1'099'511'628'211U;
    };
    for (int round = 0; round < 3000; ++round) {
        capacities.clear();
        for (int i = 0; i < 12; ++i) {
            addWorker("w" + std::to_string(i), "r" + std::to_string(i / 4), 8);
            capacities.back().free.cores = 1000 * (10 + upTo(50));
            const int used = upTo(8);
            if (used == 0)
                continue;
            const int loss = upTo(20);
            const duration left(upTo(4000));
            occupyCapacity(static_cast<std::size_t>(i), used, left, static_cast<std::size_t>(i), 2,
                           loss);
        }
        step.sameRack = upTo(1) == 1;
        step.dataRack = upTo(3) == 0 ? "r2" : "";
        step.perTask.accelerators = 1 + upTo(3);
        placement_request wanted = request(1 + upTo(5));
        wanted.estimate = duration(500 + upTo(10000));
        eviction_rule rule;
        rule.maxLoss = 1000;
        const auto evicted = cheapestEviction(capacities, wanted, rule, now);
        for (const auto &found :
             {bestPlacement(capacities, wanted, now),
              evicted ? std::optional(evicted->where) : std::optional<placement>()}) {
            add(found ? 1 : 0);
            if (!found)
                continue;
            add((found->start - now).count());
            add(found->estimate.count());
            for (const std::size_t index : found->indexes)
                add(static_cast<std::int64_t>(index));
        }
    }
    CHECK_EQUAL(std::uint64_t{14'402'015'631'190'597'926U}, digest);
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

// Guards large deployments: with only the next 23 ends of runs as start times, a gang that needs
// the 30th was expected to wait for the last of 195 runs, and others were stopped for it.
TEST(run_placement, wideGangOnManyWorkersIsNotExpectedToWaitForTheLastRun)
{
    capacities.clear();
    addWorkers(195, 1);
    for (std::size_t i = 0; i < capacities.size(); ++i)
        occupyCapacity(i, 8, 20ms * static_cast<std::int64_t>(i + 1), i, 2, 1);
    step.perTask = {1000, 1000, 8};
    const std::optional<placement> found = bestPlacement(capacities, request(30), now);
    CHECK(found.has_value());
    CHECK(found->start >= now + 600ms);
    CHECK(found->start <= now + 1s);
    CHECK(bestPlacement(capacities, request(195), now)->start == now + 3900ms);
}
