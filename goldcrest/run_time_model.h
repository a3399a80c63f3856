#pragma once

// Predicts the run time of tasks from the time that callers declare and from earlier tasks of the
// same queue. Declared times of some queues are close, those of others say little: a regression of
// the logarithms learns for each queue how far they can be trusted.
//
//   run_time_model model;
//   model.observe("orders", declared, ran, 1.0);
//   duration expected = model.expected("orders", declared);
//   duration rarelyExceeded = model.quantile("orders", declared, 0.99);
//
// Run times are those at speed 1: the caller multiplies the time that a run took by the speed of
// its worker (worker_speed_model.h).

#include "goldcrest/clock.h"

#include <gsl/span>

#include <array>
#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrest {

// Observations of one queue, as kept for the next planner (learned_state.h). x is log(declared) and
// y is log(ran), both times in milliseconds.
struct learned_run_time
{
    std::string queue;
    double weight = 0; // number of observations, after forgetting
    double meanX = 0;
    double meanY = 0;
    double varianceX = 0;
    double covariance = 0;
    std::vector<double> residuals; // weight in each of run_time_model::binCount bins
};

class run_time_model
{
public:
    static constexpr std::size_t binCount = 28; // of the residuals

    // Records a task that ran to completion, undisturbed and from its beginning.
    // @param weight of the observation; that of a task among many alike ones is less than 1
    void observe(const std::string &queue, duration declared, duration ran, double weight);

    // Returns the expected run time. Without observations it is the declared time.
    duration expected(const std::string &queue, duration declared) const;

    // Returns the run time that a task stays within with probability `p`. The distribution is that
    // of the logarithm of the ratio of run times to expected ones, and a wide prior while there are
    // few observations.
    // @param p is limited to 0.001 to 0.999
    duration quantile(const std::string &queue, duration declared, double p) const;

    // Returns the same of a task that has already taken `age`; more than `age`.
    duration quantileBeyond(const std::string &queue, duration declared, duration age,
                            double p) const;

    // Returns whether the tasks of a queue were seen to take several times as long as the others
    // more often than the spread of these explains. It needs several such tasks.
    bool isHeavyTailed(const std::string &queue) const;

    // Returns the observations of all queues, in no particular order.
    std::vector<learned_run_time> save() const;

    // Adds observations of an earlier planner to those made since. Entries without a positive
    // weight or with another number of bins are ignored.
    void restore(gsl::span<const learned_run_time> queues);

private:
    // Histogram of log(ran / expected). Unlike a variance, it shows a small share of tasks that
    // take several times as long as the others.
    using histogram = std::array<double, binCount>;

    // Weighted sums over x = log(declared) and y = log(ran).
    struct history
    {
        histogram residuals{};
        // Observations far above the others, with forgetting: their weight and their number.
        double tailWeight = 0;
        double tailCount = 0;
        bool isHeavyTailed = false;
        double weight = 0;
        double x = 0;
        double y = 0;
        double xx = 0;
        double xy = 0;
    };

    static double predict(const history &past, double x);
    static const histogram &priorResiduals();
    static double residualQuantile(const histogram &residuals, double p);
    static double shareBelow(const histogram &residuals, double residual);
    static void noteResidual(history &past, double residual, double weight);

    std::unordered_map<std::string, history> m_histories; // by queue
};

} // namespace goldcrest
