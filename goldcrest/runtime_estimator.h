#pragma once

// Estimates run times from the history of each team and job shape, because declared run times are
// wrong by up to a factor of ten either way.
//
//   estimator.finished(spec, ranFor);
//   duration whole = estimator.estimate(spec, 0.5);
//   duration left = runtime_estimator::remaining(whole, ranSoFar);

#include "goldcrest/model.h"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace goldcrest {

// Distribution of positive values in buckets of equal width on a logarithmic scale. Old values
// fade.
class log_histogram
{
public:
    void add(double value);
    bool isEmpty() const { return m_total <= 0; }
    double weight() const { return m_total; }
    // Returns the value below which a share `q` of the weight above `floor` lies.
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
    // Records a job that ran to its end.
    void finished(const job_spec &spec, duration ranFor);

    // Returns the run time that a share `q` of the jobs like this one does not exceed.
    duration estimate(const job_spec &spec, double q) const;

    // Returns the time left of a job that has run for `ran` of an estimated `whole`.
    static duration remaining(duration whole, duration ran);

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
