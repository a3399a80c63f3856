#include "goldcrest/learned_state_entries.h"

#include <gsl/span>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace goldcrest::learned {

namespace {

// Observations that a successor takes over at most, where the models themselves keep up to 100. So
// as many fresh observations count more than the record. Fewer would not show a speed of 1.25, or
// a slowdown of 1.5, at once.
constexpr double keptSpeedWeight = 8;
constexpr double keptRunTimeWeight = 16;
constexpr double keptPairWeight = 10;
constexpr double keptPauses = 8;
// Entries with less weight are not kept.
constexpr double leastWeight = 0.25;

double sumOf(gsl::span<const double> values)
{
    double sum = 0;
    for (const double value : values)
        sum += value;
    return sum;
}

void scaleWeight(learned_speed &one, double factor)
{
    one.weight *= factor;
}

void scaleWeight(learned_run_time &one, double factor)
{
    one.weight *= factor;
    for (double &residual : one.residuals)
        residual *= factor;
}

void scaleWeight(learned_pair &one, double factor)
{
    for (std::size_t i = 0; i < learned_pair::groups; ++i) {
        one.weights[i] *= factor;
        one.sums[i] *= factor;
    }
}

void scaleWeight(learned_pause &one, double factor)
{
    one.ended *= factor;
    one.time *= factor;
}

// Limits the weight of each entry, multiplies it, and removes those that say next to nothing.
template<typename Entry>
void weaken(std::vector<Entry> &entries, double most, double factor)
{
    for (Entry &one : entries) {
        const double weight = weightOf(one);
        if (weight > 0)
            scaleWeight(one, factor * std::min(1.0, most / weight));
    }
    const auto isLight = [](const Entry &one) { return !(weightOf(one) >= leastWeight); };
    entries.erase(std::remove_if(entries.begin(), entries.end(), isLight), entries.end());
}

} // namespace

double weightOf(const learned_speed &one)
{
    return one.weight;
}

double weightOf(const learned_run_time &one)
{
    return one.weight;
}

double weightOf(const learned_pair &one)
{
    return sumOf(one.weights);
}

double weightOf(const learned_use &one)
{
    return one.share;
}

double weightOf(const learned_pause &one)
{
    return one.ended;
}

double weightOf(const learned_avoidance &one)
{
    return static_cast<double>(one.left.count());
}

std::string keyOf(const learned_speed &one)
{
    return one.service + '\n' + one.machine;
}

std::string keyOf(const learned_run_time &one)
{
    return one.queue;
}

std::string keyOf(const learned_pair &one)
{
    return one.image + '\n' + one.neighbour;
}

std::string keyOf(const learned_use &one)
{
    return one.service + '\n' + one.team;
}

std::string keyOf(const learned_pause &one)
{
    return std::to_string(one.priority);
}

std::string keyOf(const learned_avoidance &one)
{
    return one.incarnation;
}

void limitWeights(learned_state &state, double factor)
{
    weaken(state.speeds, keptSpeedWeight, factor);
    weaken(state.runTimes, keptRunTimeWeight, factor);
    weaken(state.pairs, keptPairWeight, factor);
    weaken(state.pauses, keptPauses, factor);
}

} // namespace goldcrest::learned
