#include "goldcrest/worker_speed_model.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace goldcrest {

namespace {

// Standard deviation of log(speed) that the prior expects. Speeds of 0.8, 1 and 1.25 have 0.18.
constexpr double priorSpread = 0.2;
// Limits of the prior's weight, in observations.
constexpr double leastPriorWeight = 2;
constexpr double mostPriorWeight = 50;
// Before there are observations, log(expected / ran) is assumed to spread by this much. It has the
// weight of some observations, so that a few similar ones don't count as precise.
constexpr double assumedSpread = 0.5;
constexpr double assumedSpreadWeight = 10;
constexpr double leastSpread = 0.05;

// Observations further from the usual speed than this factor count as this far from it. Tasks of
// several times the usual length, and workers that are disturbed for seconds, are that far off.
constexpr double outlierFactor = 3;
// Speeds in use stay within this factor of 1. Workers beyond it are found by run_planner_health.cc.
constexpr double limitFactor = 2;

// Observations lose half of their weight in this time. It spans several runs of a worker, of 2 s
// to 45 s each, but is short enough to follow a machine that is replaced.
constexpr duration halfLife = 10min;
// Weight that observations keep when the next one arrives.
constexpr double retained = 0.99;
constexpr duration refreshInterval = 1s;

// Estimates within this distance of log 1 count as 1. A machine that is out of the band returns to
// it only below the second value, so that the class doesn't alternate.
constexpr double deadBand = 0.1;
constexpr double innerDeadBand = 0.07;
// Speeds in use are multiples of this in log(speed), and change only if the estimate is further
// from the one in use than the second value. Workers of like speed get the same factor.
constexpr double speedStep = 0.075;
constexpr double leastChange = 0.05;

// Standard deviations by which an estimate must differ from 1: while the machines taken together
// differ, and while they don't. With 65 equal machines that are judged every second, lower values
// would set some of them apart by chance.
constexpr double certainIfMachinesDiffer = 1.5;
constexpr double certainAlone = 4.5;
constexpr double certaintyToReturn = 0.7; // less than these
// A machine says something about the differences once it has this weight.
constexpr double leastWeight = 2;
// Observations, and standard deviations, by which these contradict what was restored.
constexpr double leastWeightToContradict = 3;
constexpr double certainToContradict = 2.5;
// Standard deviations by which the sum of squares must exceed its expectation, and below which the
// machines are considered equal again.
constexpr double differAbove = 5;
constexpr double equalBelow = 2;

double decayOver(duration time)
{
    return std::exp2(-static_cast<double>(std::max<duration>(0ms, time).count())
                     / static_cast<double>(halfLife.count()));
}

double medianOf(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    if (values.size() % 2 == 1)
        return *middle;
    return (*middle + *std::max_element(values.begin(), middle)) / 2;
}

// Returns the multiple of speedStep that is closest to an estimate outside the dead band.
double rounded(double estimate)
{
    const double steps = std::max(1.0, std::round(std::abs(estimate) / speedStep));
    return std::copysign(steps * speedStep, estimate);
}

} // namespace

std::string_view nameOf(speed_class which)
{
    static constexpr std::string_view names[] = {"slow", "usual", "fast"};
    return names[static_cast<std::size_t>(which)];
}

speed_class speedClassOf(double speed)
{
    if (speed < 1)
        return speed_class::Slow;
    return speed > 1 ? speed_class::Fast : speed_class::Usual;
}

void worker_speed_model::observe(const std::string &machine, duration expected, duration ran,
                                 double weight, time_point now)
{
    // Written so that a weight that is not a number is refused too.
    const bool isValid = !machine.empty() && expected > 0ms && ran > 0ms && weight > 0;
    if (!isValid || weight > 1)
        return;
    if (m_machines.size() >= maxMachines && m_machines.count(machine) == 0)
        evictOldest();
    machine_state &state = m_machines[machine];
    const double limit = std::log(outlierFactor);
    const double ratio = static_cast<double>(expected.count()) / static_cast<double>(ran.count());
    const double y = std::clamp(std::log(ratio), m_reference - limit, m_reference + limit);
    const double kept = std::pow(retained, weight) * decayOver(now - state.observedAt);
    for (double *sum : {&state.weight, &state.y, &state.yy})
        *sum *= kept;
    state.weight += weight;
    state.y += weight * y;
    state.yy += weight * y * y;
    state.observedAt = now;
    for (double *sum : {&state.restored.weight, &state.restored.y, &state.restored.yy})
        *sum *= kept;
    dropContradicted(state);
    ++m_observations;
    m_hasNew = true;
}

// Removes what was restored for a machine if its observations since differ by more than their
// noise: the machine has become faster or slower, and a mix of both would hide its speed for
// minutes.
void worker_speed_model::dropContradicted(machine_state &state)
{
    const machine_sums old = state.restored;
    const double weight = state.weight - old.weight;
    if (!(old.weight > 0) || weight < leastWeightToContradict)
        return;
    const double mean = (state.y - old.y) / weight;
    const double oldMean = old.y / old.weight;
    const double squares = std::max(0.0, state.yy - old.yy - weight * mean * mean)
        + std::max(0.0, old.yy - old.weight * oldMean * oldMean);
    const double variance
        = std::max(leastSpread * leastSpread, squares / (weight + old.weight - 2));
    const double error = std::sqrt(variance * (1 / weight + 1 / old.weight));
    if (std::abs(mean - oldMean) <= std::max(deadBand, certainToContradict * error))
        return;
    state.weight = weight;
    state.y -= old.y;
    state.yy -= old.yy;
    state.restored = {};
}

// Forgets the machines that were not observed for the longest time, several at once, so that the
// cost per observation stays low.
void worker_speed_model::evictOldest()
{
    constexpr std::size_t evictedShare = 16;
    std::vector<time_point> times;
    for (const auto &[machine, state] : m_machines)
        times.push_back(state.observedAt);
    const auto last = times.begin() + static_cast<std::ptrdiff_t>(times.size() / evictedShare);
    std::nth_element(times.begin(), last, times.end());
    for (auto it = m_machines.begin(); it != m_machines.end();)
        it = it->second.observedAt <= *last ? m_machines.erase(it) : std::next(it);
}

double worker_speed_model::medianOfMeans() const
{
    std::vector<double> means;
    for (const auto &[machine, state] : m_machines) {
        if (state.weight >= leastWeight)
            means.push_back(state.mean());
    }
    return means.empty() ? 0 : medianOf(std::move(means));
}

// Returns the variance of the observations of one machine, over all machines.
double worker_speed_model::pooledVariance() const
{
    double squares = assumedSpreadWeight * assumedSpread * assumedSpread;
    double freedom = assumedSpreadWeight;
    for (const auto &[machine, state] : m_machines) {
        if (state.weight < leastWeight)
            continue;
        squares += std::max(0.0, state.yy - state.weight * state.mean() * state.mean());
        freedom += state.weight - 1;
    }
    return std::max(leastSpread * leastSpread, squares / freedom);
}

// Finds whether the machines differ by more than the noise explains. The squared distances from
// the reference follow a chi-square distribution if they don't. Machines that are certain enough
// alone don't count, since a few faulty machines say nothing about the others.
void worker_speed_model::updateSpread(double variance, time_point now)
{
    double sum = 0;
    double count = 0;
    for (const auto &[machine, state] : m_machines) {
        const double weight = state.weight * decayOver(now - state.observedAt);
        const double distance = state.mean() - m_reference;
        const double square = distance * distance * weight / variance;
        if (weight < leastWeight || square > certainAlone * certainAlone)
            continue;
        sum += square;
        ++count;
    }
    const double freedom = std::max(1.0, count - 1);
    const double excess = (sum - freedom) / std::sqrt(2 * freedom);
    m_differ = excess > (m_differ ? equalBelow : differAbove);
}

void worker_speed_model::updateMachine(machine_state &state, double variance, time_point now) const
{
    const double weight = state.weight * decayOver(now - state.observedAt);
    const double prior
        = std::clamp(variance / (priorSpread * priorSpread), leastPriorWeight, mostPriorWeight);
    const double limit = std::log(limitFactor);
    const double estimate
        = std::clamp((state.mean() - m_reference) * weight / (weight + prior), -limit, limit);
    const double uncertainty = std::sqrt(variance / (weight + prior));
    const bool isApart = state.known.speed != 1;
    const double required
        = (m_differ ? certainIfMachinesDiffer : certainAlone) - (isApart ? certaintyToReturn : 0);
    const bool isUsual = weight < leastWeight
        || std::abs(estimate) < (isApart ? innerDeadBand : deadBand)
        || std::abs(estimate) < required * uncertainty;
    if (isUsual)
        state.known.speed = 1;
    else if (!isApart || std::abs(estimate - std::log(state.known.speed)) > leastChange)
        state.known.speed = std::exp(rounded(estimate));
    state.known.estimate = std::exp(estimate);
    state.known.uncertainty = uncertainty;
    state.known.weight = weight;
}

std::vector<speed_change> worker_speed_model::refresh(time_point now)
{
    std::vector<speed_change> changes;
    if (!m_hasNew || (m_isRefreshed && now - m_refreshedAt < refreshInterval))
        return changes;
    m_hasNew = false;
    m_isRefreshed = true;
    m_refreshedAt = now;
    m_reference = medianOfMeans();
    const double variance = pooledVariance();
    updateSpread(variance, now);
    for (auto &[machine, state] : m_machines) {
        const speed_class before = speedClassOf(state.known.speed);
        updateMachine(state, variance, now);
        const speed_class after = speedClassOf(state.known.speed);
        if (after != before && changes.size() < maxChanges)
            changes.push_back({machine, before, after, state.known});
    }
    countMachines();
    return changes;
}

void worker_speed_model::countMachines()
{
    m_counts = {};
    for (const auto &[machine, state] : m_machines) {
        const speed_class which = speedClassOf(state.known.speed);
        ++(which == speed_class::Slow       ? m_counts.slow
               : which == speed_class::Fast ? m_counts.fast
                                            : m_counts.usual);
    }
}

std::vector<learned_speed> worker_speed_model::save(time_point now) const
{
    std::vector<learned_speed> machines;
    machines.reserve(m_machines.size());
    for (const auto &[machine, state] : m_machines) {
        const double mean = state.mean();
        const double variance = std::max(0.0, state.yy / state.weight - mean * mean);
        machines.push_back({{},
                            machine,
                            mean,
                            std::sqrt(variance),
                            state.weight * decayOver(now - state.observedAt)});
    }
    return machines;
}

void worker_speed_model::restore(gsl::span<const learned_speed> machines, time_point now)
{
    for (const learned_speed &one : machines) {
        const bool isFull = m_machines.size() >= maxMachines && m_machines.count(one.machine) == 0;
        if (isFull || one.machine.empty() || !(one.weight > 0))
            continue;
        machine_state &state = m_machines[one.machine];
        const double kept = decayOver(now - state.observedAt);
        for (double *sum : {&state.weight, &state.y, &state.yy})
            *sum *= kept;
        state.weight += one.weight;
        state.y += one.weight * one.mean;
        const double squares = one.weight * (one.mean * one.mean + one.spread * one.spread);
        state.yy += squares;
        state.restored = {one.weight, one.weight * one.mean, squares};
        state.observedAt = now;
        m_hasNew = true;
    }
}

double worker_speed_model::speedOf(const std::string &machine) const
{
    const auto found = m_machines.find(machine);
    return found == m_machines.end() ? 1 : found->second.known.speed;
}

machine_speed worker_speed_model::knownOf(const std::string &machine) const
{
    const auto found = m_machines.find(machine);
    return found == m_machines.end() ? machine_speed{} : found->second.known;
}

} // namespace goldcrest
