#include "goldcrest/interference_model.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>

namespace goldcrest {

namespace {

// The prior, that there is no slowdown, has the weight of this many observations.
constexpr double priorWeight = 6;
// The tasks of a step beside an image count as one observation together, since they share their
// control. Observations of one run at several times are alike, so each has less weight.
constexpr double observationWeight = 0.5;
// Weight that the observations of a pair keep when the next one arrives.
constexpr double retained = 0.99;
// A larger ratio counts as this one. It comes from tasks that are slow by themselves.
constexpr double outlierFactor = 2;
// A pair is taken for interfering above the first slowdown, and until it is below the second. Run
// times that differ by up to half, 3% of them 7 times as long, reached 1.13 by chance in 20 trials
// of 5,000 observations.
constexpr double slowdownToFind = 1.2;
constexpr double slowdownToKeep = 1.1;
// Groups of workers that must show a slowdown.
constexpr int leastGroups = 2;
// A control of fewer tasks is too uncertain.
constexpr std::size_t leastControls = 2;

double medianOf(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

bool isUsable(const interference_sample &sample)
{
    return std::isfinite(sample.speed) && sample.speed > 0;
}

} // namespace

double interference_model::weightOf(const pair_state &pair)
{
    double weight = 0;
    for (const evidence &one : pair.byWorkers)
        weight += one.weight;
    return weight;
}

// Returns the logarithm of the slowdown, shrunk to 0.
double interference_model::logSlowdownOf(const pair_state &pair)
{
    double sum = 0;
    for (const evidence &one : pair.byWorkers)
        sum += one.sum;
    return sum / (weightOf(pair) + priorWeight);
}

bool interference_model::isShownBySeveral(const pair_state &pair)
{
    const double least = std::log(slowdownToKeep);
    return std::count_if(pair.byWorkers.begin(), pair.byWorkers.end(),
                         [least](const evidence &one) { return one.sum > one.weight * least; })
        >= leastGroups;
}

double interference_model::knownLogSlowdown(const std::string &image,
                                            const std::string &neighbour) const
{
    const auto found = m_pairs.find({image, neighbour});
    return found == m_pairs.end() ? 0 : std::max(0.0, logSlowdownOf(found->second));
}

double interference_model::slowdown(const std::string &image, const std::string &neighbour) const
{
    return std::exp(knownLogSlowdown(image, neighbour));
}

void interference_model::observe(const std::string &image,
                                 const std::vector<interference_sample> &samples)
{
    std::set<std::string> neighbours;
    for (const interference_sample &sample : samples) {
        if (isUsable(sample))
            neighbours.insert(sample.neighbours.begin(), sample.neighbours.end());
    }
    ++m_observations;
    for (const std::string &neighbour : neighbours)
        compare(image, neighbour, samples);
}

// Compares the tasks beside an image with the others. What is known of their other neighbours is
// taken out of their speeds.
void interference_model::compare(const std::string &image, const std::string &neighbour,
                                 const std::vector<interference_sample> &samples)
{
    std::array<std::vector<double>, groups> beside;
    std::vector<double> controls;
    for (const interference_sample &sample : samples) {
        if (!isUsable(sample))
            continue;
        double speed = std::log(sample.speed);
        for (const std::string &other : sample.neighbours) {
            if (other != neighbour)
                speed += knownLogSlowdown(image, other);
        }
        if (sample.neighbours.count(neighbour) > 0)
            beside[std::hash<std::string>()(sample.worker) % groups].push_back(speed);
        else
            controls.push_back(speed);
    }
    const auto used = static_cast<double>(
        std::count_if(beside.begin(), beside.end(),
                      [](const std::vector<double> &speeds) { return !speeds.empty(); }));
    if (controls.size() < leastControls || used == 0)
        return;
    const pair_key key{image, neighbour};
    if (m_pairs.size() >= maxPairs && m_pairs.count(key) == 0)
        evictOldest();
    pair_state &pair = m_pairs[key];
    pair.usedAt = m_observations;
    for (evidence &one : pair.byWorkers) {
        one.weight *= retained;
        one.sum *= retained;
    }
    const double usual = medianOf(std::move(controls));
    const double limit = std::log(outlierFactor);
    for (std::size_t i = 0; i < groups; ++i) {
        if (beside[i].empty())
            continue;
        const double slower = usual - medianOf(std::move(beside[i]));
        pair.byWorkers[i].weight += observationWeight / used;
        pair.byWorkers[i].sum += observationWeight / used * std::clamp(slower, -limit, limit);
    }
    judge(key, pair);
}

void interference_model::judge(const pair_key &key, pair_state &pair)
{
    const double logSlowdown = logSlowdownOf(pair);
    const double least = std::log(pair.isInterfering ? slowdownToKeep : slowdownToFind);
    const bool isInterfering
        = logSlowdown > least && (pair.isInterfering || isShownBySeveral(pair));
    if (isInterfering == pair.isInterfering)
        return;
    pair.isInterfering = isInterfering;
    ++m_version;
    if (!isInterfering || pair.wasFound)
        return;
    pair.wasFound = true;
    // Those that are found again after an eviction could otherwise add up between two calls.
    if (m_found.size() < maxPairs)
        m_found.push_back({key.first, key.second, std::exp(logSlowdown), weightOf(pair)});
}

void interference_model::evictOldest()
{
    const auto oldest
        = std::min_element(m_pairs.begin(), m_pairs.end(), [](const auto &a, const auto &b) {
              return a.second.usedAt < b.second.usedAt;
          });
    if (oldest->second.isInterfering)
        ++m_version;
    m_pairs.erase(oldest);
}

std::vector<interfering_pair> interference_model::interfering() const
{
    std::vector<interfering_pair> pairs;
    for (const auto &[key, pair] : m_pairs) {
        if (pair.isInterfering)
            pairs.push_back({key.first, key.second, std::exp(logSlowdownOf(pair)), weightOf(pair)});
    }
    return pairs;
}

std::vector<interfering_pair> interference_model::takeFound()
{
    return std::exchange(m_found, {});
}

std::vector<learned_pair> interference_model::save() const
{
    std::vector<learned_pair> saved;
    for (const auto &[key, pair] : m_pairs) {
        learned_pair &one = saved.emplace_back();
        one.image = key.first;
        one.neighbour = key.second;
        for (std::size_t i = 0; i < groups; ++i) {
            one.weights[i] = pair.byWorkers[i].weight;
            one.sums[i] = pair.byWorkers[i].sum;
        }
    }
    return saved;
}

void interference_model::restore(gsl::span<const learned_pair> pairs)
{
    for (const learned_pair &one : pairs) {
        const pair_key key{one.image, one.neighbour};
        if (m_pairs.size() >= maxPairs && m_pairs.count(key) == 0)
            continue;
        pair_state &pair = m_pairs[key];
        for (std::size_t i = 0; i < groups; ++i) {
            pair.byWorkers[i].weight += one.weights[i];
            pair.byWorkers[i].sum += one.sums[i];
        }
        judge(key, pair);
    }
}

} // namespace goldcrest
