#pragma once

// Estimates run times from the history of each team and job shape, because declared run times are
// too long or too short by up to a factor of 10.
//
//   estimator.finished(spec, ranFor);
//   duration estimated = estimator.estimate(spec, 0.5); // median
//   duration left = runtime_estimator::remaining(estimated, elapsed);

#include "goldcrest/model.h"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace goldcrest {

// Histogram of positive values with buckets of equal width on a logarithmic scale. The weight of
// old values decays exponentially.
class log_histogram
{
public:
    void add(double value);
    bool isEmpty() const { return m_total <= 0; }
    double weight() const { return m_total; }
    // Returns the quantile `q` (0 to 1) of the values above `floor`, or `floor` if there are none.
    double quantile(double q, double floor = 0) const;
    // Returns the standard deviation of the values' natural logarithms.
    double spread() const;

private:
    static constexpr std::size_t buckets = 96;
    std::array<float, buckets> m_weight{};
    double m_total = 0;
};

class runtime_estimator
{
public:
    // Records the run time of a job that ran to completion.
    void finished(const job_spec &spec, duration ranFor);

    // Returns the quantile `q` (0 to 1) of the run times of similar jobs. With too little history
    // it returns the declared run time.
    duration estimate(const job_spec &spec, double q) const;

    // Returns the expected remaining time of a job from its estimated run time and the time
    // elapsed.
    static duration remaining(duration estimated, duration elapsed);

    std::size_t historyCount() const { return m_history.size(); }

private:
    struct history
    {
        log_histogram runTime; // seconds
        log_histogram ratio; // run time / declared run time
    };

    static std::string keyOf(const job_spec &spec);

    std::unordered_map<std::string, history> m_history;
};

} // namespace goldcrest
