#include "goldcrest/interference_model.h"

#include <cmath>
#include <limits>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace goldcrest;

TEST_GROUP(interference_model)
{
    interference_model model;
    std::mt19937 random{7};
    int worker = 0;

    double between(double low, double high)
    {
        return std::uniform_real_distribution<>(low, high)(random);
    }

    std::string nextWorker()
    {
        ++worker;
        return "w" + std::to_string(worker % 40);
    }

    // The tasks of a step: some beside an image, which makes them slower by `factor`, the others
    // alone. Their speeds differ by up to `noise`.
    std::vector<interference_sample> step(const std::string &neighbour, double factor, double noise)
    {
        std::vector<interference_sample> samples;
        for (int i = 0; i < 6; ++i) {
            const double speed = 15 * between(1 - noise, 1 + noise);
            if (i % 2 == 0)
                samples.push_back({nextWorker(), speed / factor, {neighbour}});
            else
                samples.push_back({nextWorker(), speed, {}});
        }
        return samples;
    }
};

TEST(interference_model, nothingIsKnownAtFirst)
{
    DOUBLES_EQUAL(1, model.slowdown("a", "b"), 0);
    CHECK(model.interfering().empty());
    CHECK(model.takeFound().empty());
}

// Load pattern: two images that slow each other. Only the pair that was seen is found, once.
TEST(interference_model, findsAPairOnceAndInOneDirection)
{
    for (int i = 0; i < 300; ++i)
        model.observe("a", step("b", 1.6, 0.2));
    LONGS_EQUAL(1, model.interfering().size());
    STRCMP_EQUAL("a", model.interfering()[0].image.c_str());
    STRCMP_EQUAL("b", model.interfering()[0].neighbour.c_str());
    DOUBLES_EQUAL(1.6, model.slowdown("a", "b"), 0.15);
    DOUBLES_EQUAL(1, model.slowdown("b", "a"), 0);
    LONGS_EQUAL(1, model.takeFound().size());
    LONGS_EQUAL(0, model.takeFound().size());
}

TEST(interference_model, littleEvidenceGivesNoPair)
{
    for (int i = 0; i < 3; ++i)
        model.observe("a", step("b", 1.6, 0));
    CHECK(model.interfering().empty());
    CHECK(model.slowdown("a", "b") < 1.2);
}

// Guards against pairs that are found in noise: run times that differ by half, of which 3% are 7
// times as long.
TEST(interference_model, noiseGivesNoPair)
{
    for (int i = 0; i < 5000; ++i) {
        std::vector<interference_sample> samples = step("b" + std::to_string(i % 5), 1, 0.5);
        for (interference_sample &sample : samples) {
            if (between(0, 1) < 0.03)
                sample.speed /= 7;
        }
        model.observe("a" + std::to_string(i % 3), samples);
    }
    CHECK(model.takeFound().empty());
}

// Load pattern: the same image alone. There is no control, so nothing is learned.
TEST(interference_model, sameImageAloneGivesNoPair)
{
    for (int i = 0; i < 200; ++i) {
        std::vector<interference_sample> samples = step("a", 3, 0);
        for (interference_sample &sample : samples)
            sample.neighbours = {"a"};
        model.observe("a", samples);
    }
    LONGS_EQUAL(0, model.pairCount());
}

// Guards against a slow machine that is taken for interference with what it runs.
TEST(interference_model, oneSlowWorkerGivesNoPair)
{
    for (int i = 0; i < 500; ++i) {
        std::vector<interference_sample> samples = step("none", 1, 0.1);
        for (interference_sample &sample : samples)
            sample.neighbours.clear();
        samples[0].worker = "slow";
        samples[0].neighbours = {"b"};
        samples[0].speed /= 1.6;
        model.observe("a", samples);
    }
    CHECK(model.interfering().empty());
}

// Guards an image that is only found beside one that interferes.
TEST(interference_model, blamesTheImageThatInterferes)
{
    for (int i = 0; i < 300; ++i) {
        std::vector<interference_sample> samples = step("bad", 1.6, 0.1);
        samples[2].neighbours.insert("innocent"); // beside the bad one, and without it
        samples[1].neighbours.insert("innocent");
        samples[3].neighbours.insert("innocent");
        model.observe("a", samples);
    }
    LONGS_EQUAL(1, model.interfering().size());
    STRCMP_EQUAL("bad", model.interfering()[0].neighbour.c_str());
}

TEST(interference_model, forgetsAPairThatNoLongerInterferes)
{
    for (int i = 0; i < 100; ++i)
        model.observe("a", step("b", 1.6, 0.1));
    LONGS_EQUAL(1, model.interfering().size());
    const std::uint64_t before = model.version();
    for (int i = 0; i < 600; ++i)
        model.observe("a", step("b", 1, 0.1));
    CHECK(model.interfering().empty());
    CHECK(model.version() != before);
}

// Guards the memory: images are named by callers.
TEST(interference_model, keepsABoundedNumberOfPairs)
{
    for (int i = 0; i < 100; ++i)
        model.observe("a", step("b", 1.6, 0.1));
    for (int i = 0; i < 3000; ++i) {
        model.observe("a", step("b", 1.6, 0.1));
        model.observe("x" + std::to_string(i), step("y", 1, 0.1));
    }
    LONGS_EQUAL(interference_model::maxPairs, model.pairCount());
    LONGS_EQUAL(1, model.interfering().size()); // in use, so it is not the oldest
    const std::uint64_t before = model.version();
    for (int i = 3000; i < 4000; ++i)
        model.observe("x" + std::to_string(i), step("y", 1, 0.1));
    CHECK(model.interfering().empty());
    CHECK(model.version() != before);
}

// Guards against infinite slowdowns from odd values.
TEST(interference_model, oddValuesAreIgnored)
{
    const double odd[] = {0, -5, std::numeric_limits<double>::infinity(),
                          std::numeric_limits<double>::quiet_NaN()};
    for (int i = 0; i < 100; ++i) {
        std::vector<interference_sample> samples = step("b", 1, 0);
        for (std::size_t k = 0; k < samples.size(); ++k)
            samples[k].speed = odd[k % 4];
        model.observe("a", samples);
        model.observe("a", {});
    }
    LONGS_EQUAL(0, model.pairCount());
    for (int i = 0; i < 100; ++i) {
        std::vector<interference_sample> samples = step("b", 1, 0);
        samples[0].speed = std::numeric_limits<double>::denorm_min();
        samples[1].speed = std::numeric_limits<double>::max();
        model.observe("a", samples);
    }
    CHECK(std::isfinite(model.slowdown("a", "b")));
    CHECK(model.slowdown("a", "b") <= 2);
}
