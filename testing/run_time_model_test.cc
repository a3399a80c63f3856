#include "goldcrest/run_time_model.h"

#include <cmath>
#include <cstdlib>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

TEST_GROUP(run_time_model)
{
    run_time_model model;
    std::mt19937_64 random{7};

    // Observes tasks whose run times spread around 2.5 s and whose declared times are off by a
    // random factor.
    void observeTasks(const std::string &queue, double spreadOfWork, double spreadOfDeclared,
                      int count)
    {
        std::normal_distribution<double> normal;
        for (int i = 0; i < count; ++i) {
            const double ran = 2500 * std::exp(spreadOfWork * normal(random));
            const double declared = ran * std::exp(spreadOfDeclared * normal(random));
            model.observe(queue, duration(std::lround(declared)), duration(std::lround(ran)), 1);
        }
    }
};

TEST(run_time_model, declaredTimeCountsWithoutHistory)
{
    CHECK(model.expected("q", 700ms) == 700ms);
    observeTasks("other", 0.5, 0.9, 50);
    CHECK(model.expected("q", 700ms) == 700ms);
}

// Load pattern: a queue of urgent gangs whose declared times are off by up to ten times. What they
// declare must not decide which of them wait.
TEST(run_time_model, unreliableDeclaredTimesAreMostlyIgnored)
{
    observeTasks("q", 0.5, 0.9, 60);
    CHECK(model.expected("q", 200ms) > 1000ms);
    CHECK(model.expected("q", 20s) < 6s);
    CHECK(model.expected("q", 200ms) < model.expected("q", 20s));
}

TEST(run_time_model, reliableDeclaredTimesAreKept)
{
    observeTasks("q", 0.8, 0.1, 60);
    for (const duration declared : {500ms, 2500ms, 10000ms}) {
        const double ratio = static_cast<double>(model.expected("q", declared).count())
            / static_cast<double>(declared.count());
        CHECK(ratio > 0.7 && ratio < 1.4);
    }
}

TEST(run_time_model, firstObservationsChangeLittle)
{
    model.observe("q", 1000ms, 10s, 1);
    CHECK(model.expected("q", 1000ms) < 2s);
    CHECK(model.expected("q", 0ms) == 0ms);
}

// Tasks on a worker that has turned slow say nothing about the queue.
TEST(run_time_model, outliersAreBounded)
{
    observeTasks("q", 0.3, 0.1, 60);
    model.observe("q", 2500ms, 10min, 1);
    CHECK(model.expected("q", 2500ms) < 3s);
}

// Load pattern: tasks of a known length of which 3% take 7 times as long. The expected time must
// stay near that of the others, and a high quantile must cover the long ones. Otherwise a run that
// has passed its expected end would be taken for a stuck one, or all others for late ones.
TEST(run_time_model, heavyTailShowsInTheQuantilesOnly)
{
    std::normal_distribution<double> normal;
    std::uniform_real_distribution<double> share;
    for (int i = 0; i < 2000; ++i) {
        const double ran = 6500 * std::exp(0.2 * normal(random)) * (share(random) < 0.03 ? 7 : 1);
        model.observe("q", 6500ms, duration(std::lround(ran)), 1);
    }
    CHECK(model.expected("q", 6500ms) > 5800ms);
    CHECK(model.expected("q", 6500ms) < 7500ms);
    CHECK(model.quantile("q", 6500ms, 0.5) > 5500ms);
    CHECK(model.quantile("q", 6500ms, 0.5) < 7500ms);
    CHECK(model.quantile("q", 6500ms, 0.9) < 10s);
    CHECK(model.quantile("q", 6500ms, 0.995) > 35s);
}

// Without observations the quantiles must be finite, ordered, and around the declared time.
TEST(run_time_model, quantilesOfUnknownQueuesAreWide)
{
    CHECK(model.quantile("q", 1000ms, 0.1) < 700ms);
    CHECK(model.quantile("q", 1000ms, 0.5) > 800ms);
    CHECK(model.quantile("q", 1000ms, 0.5) < 1250ms);
    CHECK(model.quantile("q", 1000ms, 0.99) > 3s);
    CHECK(model.quantile("q", 1000ms, 0.99) < 6s);
    CHECK(model.quantile("q", 0ms, 0.99) == 0ms);
}

TEST(run_time_model, oddProbabilitiesAndTimesAreLimited)
{
    observeTasks("q", 0.3, 0.1, 60);
    model.observe("q", 2500ms, 0ms, 1);
    model.observe("q", 2500ms, 10h, 1);
    duration before = 0ms;
    for (const double p : {std::nan(""), 0.01, 0.3, 0.6, 0.9, 0.99, 1.0}) {
        const duration found = model.quantile("q", 2500ms, p);
        CHECK(found > before);
        CHECK(found < 200s);
        before = found;
    }
    CHECK(model.quantile("q", 2500ms, -1) == model.quantile("q", 2500ms, 0.001));
    CHECK(model.quantile("q", 2500ms, 7) == model.quantile("q", 2500ms, 0.999));
}
