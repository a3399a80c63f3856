#pragma once

// Predicts the run time of tasks from the time that callers declare and from earlier tasks of the
// same queue. Declared times of some queues are close, those of others say little: a regression of
// the logarithms learns for each queue how far they can be trusted.
//
//   run_time_model model;
//   model.observe("orders", declared, ran, 1.0);
//   duration expected = model.expected("orders", declared);

#include "goldcrest/clock.h"

#include <string>
#include <unordered_map>

namespace goldcrest {

class run_time_model
{
public:
    // Records a task that ran to completion, undisturbed and from its beginning.
    // @param weight of the observation; that of a task among many alike ones is less than 1
    void observe(const std::string &queue, duration declared, duration ran, double weight);

    // Returns the expected run time. Without observations it is the declared time.
    duration expected(const std::string &queue, duration declared) const;

private:
    // Weighted sums over x = log(declared) and y = log(ran).
    struct history
    {
        double weight = 0;
        double x = 0;
        double y = 0;
        double xx = 0;
        double xy = 0;
    };

    static double predict(const history &past, double x);

    std::unordered_map<std::string, history> m_histories; // by queue
};

} // namespace goldcrest
