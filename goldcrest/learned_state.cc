#include "goldcrest/learned_state.h"

#include "goldcrest/learned_state_entries.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <numeric>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrest {

namespace {

using learned::keyOf;
using learned::weightOf;

// The number of observations is halved in this time, like that of the observations of speeds.
constexpr duration weightHalfLife = 10min;

double squareRootOf(double variance, double weight)
{
    return std::sqrt(variance / std::max(1.0, weight));
}

bool isOther(const learned_speed &before, const learned_speed &after)
{
    constexpr double leastSpread = 0.05;
    const double spread = std::max(leastSpread, after.spread);
    return std::abs(after.mean - before.mean) > squareRootOf(spread * spread, before.weight);
}

bool isOther(const learned_run_time &before, const learned_run_time &after)
{
    constexpr double spread = 0.6; // prior of the residuals in run_time_model
    const double change = (after.meanY - after.meanX) - (before.meanY - before.meanX);
    return std::abs(change) > squareRootOf(spread * spread, before.weight);
}

bool isOther(const learned_pair &before, const learned_pair &after)
{
    constexpr double spread = 0.5; // of one observation
    constexpr double priorWeight = 6; // of interference_model
    const auto slowdown = [](const learned_pair &one) {
        return std::accumulate(one.sums.begin(), one.sums.end(), 0.0)
            / (weightOf(one) + priorWeight);
    };
    return std::abs(slowdown(after) - slowdown(before))
        > squareRootOf(spread * spread, weightOf(before) + priorWeight);
}

bool isOther(const learned_use &before, const learned_use &after)
{
    constexpr double leastChange = 0.1; // of the service; classes of use are coarser
    return std::abs(after.share - before.share) > leastChange;
}

bool isOther(const learned_pause &before, const learned_pause &after)
{
    const double old = before.time / std::max(1.0, before.ended);
    const double now = after.time / std::max(1.0, after.ended);
    return std::abs(now - old) > squareRootOf(old * old, before.ended);
}

bool isOther(const learned_avoidance &, const learned_avoidance &)
{
    return false;
}

template<typename Entry>
bool haveChanged(const std::vector<Entry> &before, const std::vector<Entry> &after)
{
    std::unordered_map<std::string, const Entry *> known;
    for (const Entry &one : before)
        known.emplace(keyOf(one), &one);
    return std::any_of(after.begin(), after.end(), [&known](const Entry &one) {
        const auto found = known.find(keyOf(one));
        return found == known.end() || isOther(*found->second, one)
            || weightOf(one) > 2 * weightOf(*found->second);
    });
}

} // namespace

std::optional<learned_state> weakened(learned_state state, unix_ms now)
{
    // Compared without a subtraction that may overflow.
    if (state.writtenAt > now + longestLearnedLead.count()
        || state.writtenAt < now - longestLearnedAge.count())
        return std::nullopt;
    const duration age(std::max<std::int64_t>(0, now - state.writtenAt));
    const auto kept = [age](duration halfLife) {
        return std::exp2(-static_cast<double>(age.count())
                         / std::max(1.0, static_cast<double>(halfLife.count())));
    };
    learned::limitWeights(state, kept(weightHalfLife));
    for (learned_use &use : state.uses)
        use.share *= kept(use.halfLife);
    for (learned_avoidance &one : state.avoided)
        one.left -= age;
    const auto isOver = [](const learned_avoidance &one) { return one.left <= 0ms; };
    state.avoided.erase(std::remove_if(state.avoided.begin(), state.avoided.end(), isOver),
                        state.avoided.end());
    return state;
}

bool hasChanged(learned_state before, learned_state after)
{
    // A successor takes over the limited weights, so that these set the uncertainty.
    learned::limitWeights(before, 1);
    learned::limitWeights(after, 1);
    return haveChanged(before.speeds, after.speeds) || haveChanged(before.runTimes, after.runTimes)
        || haveChanged(before.pairs, after.pairs) || haveChanged(before.uses, after.uses)
        || haveChanged(before.pauses, after.pauses) || haveChanged(before.avoided, after.avoided);
}

} // namespace goldcrest
