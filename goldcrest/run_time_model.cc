#include "goldcrest/run_time_model.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

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

// Bins of the residuals: of this width, from this value on. They cover a ratio of run time to
// expected time from 1/20 to 55; what is beyond counts in the first or last one.
constexpr double binWidth = 0.25;
constexpr double firstBin = -3;
// The prior of the residuals: their standard deviation, and the weight in observations.
constexpr double priorResidualSpread = 0.6;
constexpr double priorResidualWeight = 10;

// A residual is far above the others from this factor on, and from this many standard deviations,
// which are estimated from the quartiles. Of normal residuals, 0.13% are.
constexpr double leastTailFactor = 3;
constexpr double tailDeviations = 3;
// A tail is heavy if at least this share of the weight is far above, and this many observations.
// It is no longer once half of either is left.
constexpr double leastTailShare = 0.01;
constexpr double leastTailCount = 1.5;

// Exponent of the distribution that is assumed beyond what was observed: remaining times grow in
// proportion to the age.
constexpr double tailExponent = 2;

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
    noteResidual(past, logOf(ran) - predicted, weight);
    const double bin = std::floor((logOf(ran) - predicted - firstBin) / binWidth);
    for (double &share : past.residuals)
        share *= kept;
    past.residuals[static_cast<std::size_t>(std::clamp(bin, 0.0, binCount - 1.0))] += weight;
    for (double *sum : {&past.weight, &past.x, &past.y, &past.xx, &past.xy})
        *sum *= kept;
    past.weight += weight;
    past.x += weight * x;
    past.y += weight * y;
    past.xx += weight * x * x;
    past.xy += weight * x * y;
}

// Updates the evidence of a heavy tail, before the residual enters the histogram.
void run_time_model::noteResidual(history &past, double residual, double weight)
{
    constexpr double quartilesPerDeviation = 1.349;
    const double middle = residualQuantile(past.residuals, 0.5);
    const double deviation
        = (residualQuantile(past.residuals, 0.75) - residualQuantile(past.residuals, 0.25))
        / quartilesPerDeviation;
    const double kept = std::pow(retained, weight);
    past.tailWeight *= kept;
    past.tailCount *= kept;
    if (residual > middle + std::max(std::log(leastTailFactor), tailDeviations * deviation)) {
        past.tailWeight += weight;
        past.tailCount += 1;
    }
    const double factor = past.isHeavyTailed ? 0.5 : 1;
    const double total = past.weight * kept + weight + priorResidualWeight;
    past.isHeavyTailed = past.tailCount >= leastTailCount * factor
        && past.tailWeight >= leastTailShare * factor * total;
}

bool run_time_model::isHeavyTailed(const std::string &queue) const
{
    const auto past = m_histories.find(queue);
    return past != m_histories.end() && past->second.isHeavyTailed;
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

// Returns the histogram that the prior expects, whose sum is priorResidualWeight.
const run_time_model::histogram &run_time_model::priorResiduals()
{
    static const histogram prior = [] {
        const auto below
            = [](double x) { return 0.5 * std::erfc(-x / priorResidualSpread / std::sqrt(2.0)); };
        histogram made{};
        for (std::size_t i = 0; i < binCount; ++i) {
            const double start = firstBin + binWidth * static_cast<double>(i);
            made[i] = priorResidualWeight * (below(start + binWidth) - below(start));
        }
        return made;
    }();
    return prior;
}

// Returns the residual below which a share `p` of the tasks is, interpolated within its bin.
double run_time_model::residualQuantile(const histogram &residuals, double p)
{
    const histogram &prior = priorResiduals();
    double total = 0;
    for (std::size_t i = 0; i < binCount; ++i)
        total += residuals[i] + prior[i];
    // Written so that a value that is not a number becomes the lower limit.
    double left = (p > 0.001 ? std::min(p, 0.999) : 0.001) * total;
    std::size_t bin = 0;
    while (bin + 1 < binCount && left > residuals[bin] + prior[bin]) {
        left -= residuals[bin] + prior[bin];
        ++bin;
    }
    const double inBin = std::clamp(left / (residuals[bin] + prior[bin]), 0.0, 1.0);
    return firstBin + binWidth * (static_cast<double>(bin) + inBin);
}

// Returns the share of the residuals below one, interpolated within its bin.
double run_time_model::shareBelow(const histogram &residuals, double residual)
{
    const histogram &prior = priorResiduals();
    double total = 0;
    double below = 0;
    for (std::size_t i = 0; i < binCount; ++i) {
        const double start = firstBin + binWidth * static_cast<double>(i);
        const double mass = residuals[i] + prior[i];
        total += mass;
        below += mass * std::clamp((residual - start) / binWidth, 0.0, 1.0);
    }
    return below / total;
}

duration run_time_model::quantileBeyond(const std::string &queue, duration declared, duration age,
                                        double p) const
{
    if (declared <= 0ms)
        return age;
    const auto past = m_histories.find(queue);
    const bool isKnown = past != m_histories.end();
    const histogram residuals = isKnown ? past->second.residuals : histogram{};
    const double predicted = isKnown ? predict(past->second, logOf(declared)) : logOf(declared);
    const double within = std::clamp(p, 0.0, 0.999);
    const double below = shareBelow(residuals, logOf(age) - predicted);
    const double wanted = below + within * (1 - below);
    const duration known(std::llround(std::exp(predicted + residualQuantile(residuals, wanted))));
    return std::max(known, scaled(age, std::pow(1 - within, -1 / tailExponent)));
}

duration run_time_model::quantile(const std::string &queue, duration declared, double p) const
{
    if (declared <= 0ms)
        return declared;
    const auto past = m_histories.find(queue);
    const bool isKnown = past != m_histories.end();
    const double residual = residualQuantile(isKnown ? past->second.residuals : histogram{}, p);
    const double predicted = isKnown ? predict(past->second, logOf(declared)) : logOf(declared);
    return duration(std::llround(std::exp(predicted + residual)));
}

std::vector<learned_run_time> run_time_model::save() const
{
    std::vector<learned_run_time> queues;
    for (const auto &[queue, past] : m_histories) {
        if (past.weight <= 0)
            continue;
        learned_run_time &saved = queues.emplace_back();
        saved.queue = queue;
        saved.weight = past.weight;
        saved.meanX = past.x / past.weight;
        saved.meanY = past.y / past.weight;
        saved.varianceX = std::max(0.0, past.xx / past.weight - saved.meanX * saved.meanX);
        saved.covariance = past.xy / past.weight - saved.meanX * saved.meanY;
        saved.residuals.assign(past.residuals.begin(), past.residuals.end());
    }
    return queues;
}

void run_time_model::restore(gsl::span<const learned_run_time> queues)
{
    for (const learned_run_time &one : queues) {
        if (!(one.weight > 0) || one.residuals.size() != binCount)
            continue;
        history &past = m_histories[one.queue];
        past.weight += one.weight;
        past.x += one.weight * one.meanX;
        past.y += one.weight * one.meanY;
        past.xx += one.weight * (one.varianceX + one.meanX * one.meanX);
        past.xy += one.weight * (one.covariance + one.meanX * one.meanY);
        for (std::size_t i = 0; i < binCount; ++i)
            past.residuals[i] += one.residuals[i];
    }
}

} // namespace goldcrest
