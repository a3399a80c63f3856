#include "goldcrest/runtime_estimator.h"

#include <algorithm>
#include <cmath>

namespace goldcrest {

namespace {

// 96 buckets, each 1.25 times as wide as the one before, cover values from 0.001 to 2e6.
constexpr double bucketRatio = 1.25;
constexpr double smallestValue = 1e-3;

// Decay of the weights per new value; about the last 50 values count.
constexpr double decay = 0.98;

// With less history than this, the declared run time is used unchanged.
constexpr double minimumWeight = 3;

// Used if there is neither enough history nor a declaration.
constexpr duration unknownRunTime = 10min;

// Bounds memory if callers keep sending new job sizes without naming a shape.
constexpr std::size_t maxHistories = 4096;

double seconds(duration d)
{
    return double(d.count()) / 1000;
}

duration fromSeconds(double s)
{
    constexpr double longest = 365.0 * 86400;
    return duration(std::int64_t(std::clamp(s, 0.001, longest) * 1000));
}

double lowerEdge(std::size_t bucket)
{
    return smallestValue * std::pow(bucketRatio, double(bucket));
}

} // namespace

void log_histogram::add(double value)
{
    const double at
        = std::log(std::max(value, smallestValue) / smallestValue) / std::log(bucketRatio);
    const std::size_t bucket = std::min(buckets - 1, std::size_t(at));
    for (float &weight : m_weight)
        weight *= float(decay);
    m_total = m_total * decay + 1;
    m_weight[bucket] += 1;
}

double log_histogram::quantile(double q, double floor) const
{
    double above = 0;
    std::size_t first = 0;
    while (first < buckets && lowerEdge(first + 1) <= floor)
        ++first;
    for (std::size_t i = first; i < buckets; ++i)
        above += m_weight[i];
    constexpr double negligible = 1e-6;
    if (above < negligible)
        return floor;
    double seen = 0;
    for (std::size_t i = first; i < buckets; ++i) {
        if (m_weight[i] <= 0)
            continue;
        if (seen + m_weight[i] >= q * above) {
            const double share = (q * above - seen) / m_weight[i];
            return std::max(floor, lowerEdge(i) * std::pow(bucketRatio, share));
        }
        seen += m_weight[i];
    }
    return std::max(floor, lowerEdge(buckets));
}

double log_histogram::spread() const
{
    if (m_total <= 0)
        return 0;
    double sum = 0;
    double squares = 0;
    for (std::size_t i = 0; i < buckets; ++i) {
        sum += m_weight[i] * double(i);
        squares += m_weight[i] * double(i) * double(i);
    }
    const double mean = sum / m_total;
    return std::sqrt(std::max(0.0, squares / m_total - mean * mean)) * std::log(bucketRatio);
}

std::string runtime_estimator::keyOf(const job_spec &spec)
{
    if (!spec.shape.empty())
        return spec.key.team + "/" + spec.shape;
    return spec.key.team + "/" + std::to_string(spec.tasks) + "x"
        + std::to_string(spec.perTask.accelerators) + "/" + std::to_string(spec.perTask.cores);
}

void runtime_estimator::finished(const job_spec &spec, duration ranFor)
{
    const std::string key = keyOf(spec);
    if (m_history.size() >= maxHistories && m_history.count(key) == 0)
        m_history.erase(m_history.begin());
    history &past = m_history[key];
    past.runTime.add(seconds(ranFor));
    if (spec.declaredRunTime > 0ms)
        past.ratio.add(seconds(ranFor) / seconds(spec.declaredRunTime));
}

duration runtime_estimator::estimate(const job_spec &spec, double q) const
{
    const auto found = m_history.find(keyOf(spec));
    const bool declared = spec.declaredRunTime > 0ms;
    if (found == m_history.end() || found->second.runTime.weight() < minimumWeight)
        return declared ? spec.declaredRunTime : unknownRunTime;
    const history &past = found->second;
    // Use the predictor with the smaller spread: the past run times, or the declaration times the
    // past ratios of actual to declared run time.
    const bool useRatio = declared && past.ratio.weight() >= minimumWeight
        && past.ratio.spread() < past.runTime.spread();
    if (useRatio)
        return fromSeconds(past.ratio.quantile(q) * seconds(spec.declaredRunTime));
    return fromSeconds(past.runTime.quantile(q));
}

duration runtime_estimator::remaining(duration estimated, duration elapsed)
{
    // Run times are heavy-tailed: a job that exceeds its estimate is expected to run for at least
    // another half of the elapsed time.
    return std::max(estimated - elapsed, elapsed / 2);
}

} // namespace goldcrest
