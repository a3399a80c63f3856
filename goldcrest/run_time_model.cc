#include "goldcrest/run_time_model.h"

#include <algorithm>
#include <cmath>

namespace goldcrest {

namespace {

// The prior, that a task takes its declared time, has the weight of this many observations.
constexpr double priorWeight = 4;
// Variance of log(declared time) that the prior for the slope assumes.
constexpr double priorVariance = 0.5;
// Weight that an observation keeps when the next one arrives.
constexpr double retained = 0.99;
// Observations further from the prediction than this factor count as this far from it. They come
// from disturbed workers.
constexpr double outlierFactor = 6;

double logOf(duration time)
{
    return std::log(static_cast<double>(std::max<duration::rep>(1, time.count())));
}

} // namespace

void run_time_model::observe(const std::string &queue, duration declared, duration ran,
                             double weight)
{
    history &past = m_histories[queue];
    const double x = logOf(declared);
    const double limit = std::log(outlierFactor);
    const double predicted = predict(past, x);
    const double y = std::clamp(logOf(ran), predicted - limit, predicted + limit);
    const double kept = std::pow(retained, weight);
    for (double *sum : {&past.weight, &past.x, &past.y, &past.xx, &past.xy})
        *sum *= kept;
    past.weight += weight;
    past.x += weight * x;
    past.y += weight * y;
    past.xx += weight * x * x;
    past.xy += weight * x * y;
}

double run_time_model::predict(const history &past, double x)
{
    if (past.weight <= 0)
        return x;
    const double meanX = past.x / past.weight;
    const double meanY = past.y / past.weight;
    const double varianceX = past.xx / past.weight - meanX * meanX;
    const double covariance = past.xy / past.weight - meanX * meanY;
    const double prior = priorWeight * priorVariance;
    const double slope = (past.weight * covariance + prior) / (past.weight * varianceX + prior);
    // At the mean declared time, the prior expects just that time.
    const double atMean = (past.weight * meanY + priorWeight * meanX) / (past.weight + priorWeight);
    return atMean + std::clamp(slope, 0.0, 1.0) * (x - meanX);
}

duration run_time_model::expected(const std::string &queue, duration declared) const
{
    const auto past = m_histories.find(queue);
    if (past == m_histories.end() || declared <= 0ms)
        return declared;
    return duration(std::llround(std::exp(predict(past->second, logOf(declared)))));
}

} // namespace goldcrest
