#include "goldcrest/preemption_policy.h"

#include <algorithm>
#include <cmath>

namespace goldcrest {

namespace {

// Share of the workers on which a run may be stopped each second. With 61 workers that is 3.7 a
// second, where 7.9 a second were measured in an overloaded cell, a quarter of all runs. Half of
// this share made urgent work late in graph_policy_benchmark.
constexpr double stopsPerWorker = 0.06;
constexpr double leastStopsPerSecond = 1;
// Stops that were not used are saved for this long, for a burst of urgent work.
constexpr double savedSeconds = 4;

// A stop must start the beneficiary earlier by this share of its run time at least.
constexpr double leastSaving = 0.1;
// Declared run times are off by half and more. So an expected end just before the target is in time
// about half the time, and one that leaves another half of the run time nearly always.
constexpr double leastCertainty = 0.5;

// Times are limited to this before they are added, so that odd values can't spare a job for ever.
constexpr duration longestSparing = 60s;
// The stops of a job are remembered for this long after it is no longer spared. Each further stop
// within this time doubles the time for which the job is spared.
constexpr duration memoryOfStops = 30s;
constexpr std::int32_t maxDoublings = 3;
constexpr std::size_t maxJobs = 4096;

// Observed pauses: weight of the assumed pause, and of the past when another pause has ended.
constexpr double assumedPauses = 3;
constexpr double keptShare = 0.95;
constexpr duration longestPause = 60s;

duration limited(duration time, duration longest)
{
    return std::clamp<duration>(time, 0ms, longest);
}

double nonNegative(double value)
{
    return std::isfinite(value) ? std::max(0.0, value) : 0;
}

} // namespace

const char *nameOf(stop_refusal why)
{
    static constexpr const char *names[stopRefusals] = {"rate", "spared", "free soon"};
    return names[static_cast<std::size_t>(why)];
}

void preemption_policy::setStopTime(duration stopTime)
{
    m_stopTime = limited(stopTime, longestSparing);
}

std::size_t preemption_policy::indexOf(std::int32_t priority)
{
    return static_cast<std::size_t>(
        std::clamp<std::int32_t>(priority, 0, static_cast<std::int32_t>(priorities) - 1));
}

double preemption_policy::millisecondsOf(time_point at)
{
    return static_cast<double>(at.time_since_epoch().count());
}

void preemption_policy::beginPass(std::size_t usableWorkers, time_point now)
{
    m_stopsPerSecond
        = std::max(leastStopsPerSecond, stopsPerWorker * static_cast<double>(usableWorkers));
    const double most = m_stopsPerSecond * savedSeconds;
    const duration passed
        = m_hasBudget ? limited(now - m_refilledAt, longestSparing) : longestSparing;
    m_budget
        = std::min(most, m_budget + m_stopsPerSecond * static_cast<double>(passed.count()) / 1000);
    m_hasBudget = true;
    m_refilledAt = now;
    for (auto job = m_stopped.begin(); job != m_stopped.end();) {
        if (now < job->second.forgetAt) {
            ++job;
            continue;
        }
        endPause(job->second);
        job = m_stopped.erase(job);
    }
}

double preemption_policy::costOf(const stop_victim &victim, time_point now) const
{
    const double value = nonNegative(victim.value);
    const time_point endIfStopped = now + m_stopTime + expectedPause(victim.priority, now)
        + limited(victim.rest, longestTime);
    double lost = 0;
    if (victim.endsAt <= victim.target && endIfStopped > victim.target)
        lost += value;
    if (victim.endsAt <= victim.valuableUntil && endIfStopped > victim.valuableUntil)
        lost += value;
    return nonNegative(victim.workLost) + lost;
}

double preemption_policy::worthOf(const stop_claim &claim, time_point now)
{
    const duration estimate = limited(claim.estimate, longestTime);
    const time_point startIfStopped = now + m_stopTime;
    const time_point endIfStopped = startIfStopped + estimate;
    const bool isOnTime = claim.startsByItself && claim.end <= claim.target;
    if (isOnTime || endIfStopped > claim.target)
        return 0;
    const duration saving = std::max(m_stopTime, scaled(estimate, leastSaving));
    if (claim.startsByItself && claim.start - startIfStopped < saving) {
        refuse(stop_refusal::FreeSoon);
        return 0;
    }
    const double spare = static_cast<double>((claim.target - endIfStopped).count());
    const double run = std::max(1.0, static_cast<double>(estimate.count()));
    return nonNegative(claim.value) * std::min(1.0, leastCertainty + spare / run);
}

bool preemption_policy::isSpared(const std::string &job, time_point now) const
{
    const auto found = m_stopped.find(job);
    return found != m_stopped.end() && now < found->second.sparedUntil;
}

bool preemption_policy::admitsClaim(bool isUrgent)
{
    if (isUrgent || m_budget >= 1)
        return true;
    refuse(stop_refusal::Rate);
    return false;
}

void preemption_policy::noteNoVictim(time_point now)
{
    if (now < m_anySparedUntil)
        refuse(stop_refusal::Spared);
}

void preemption_policy::noteStop(const std::string &job, const stop_record &stop, time_point now)
{
    if (!stop.isForGuarantee) {
        const double most = m_stopsPerSecond * savedSeconds;
        m_budget = std::max(-most, m_budget - static_cast<double>(stop.runs));
    }
    if (m_stopped.size() >= maxJobs && m_stopped.count(job) == 0)
        dropOldest();
    const auto [found, isNew] = m_stopped.try_emplace(job);
    stop_history &history = found->second;
    // The stops of one claim may name a job several times.
    if (!isNew && history.stoppedAt == now)
        return;
    if (!isNew)
        endPause(history);
    history.priority = stop.priority;
    history.stops = std::min(history.stops + 1, maxDoublings + 1);
    history.stoppedAt = now;
    history.isPaused = true;
    pause_sums &sums = m_pauses[indexOf(stop.priority)];
    ++sums.open;
    sums.openSince += millisecondsOf(now);
    const duration once = m_stopTime + expectedPause(stop.priority, now)
        + limited(stop.undisturbed, longestSparing);
    history.sparedUntil = now + std::min(longestSparing, once * (1 << (history.stops - 1)));
    m_anySparedUntil = std::max(m_anySparedUntil, history.sparedUntil);
    history.forgetAt = history.sparedUntil + memoryOfStops;
}

void preemption_policy::noteRestart(const std::string &job, time_point now)
{
    const auto found = m_stopped.find(job);
    if (found == m_stopped.end() || !found->second.isPaused)
        return;
    stop_history &history = found->second;
    pause_sums &sums = m_pauses[indexOf(history.priority)];
    sums.ended = sums.ended * keptShare + 1;
    sums.time = sums.time * keptShare
        + static_cast<double>(limited(now - history.stoppedAt, longestPause).count());
    endPause(history);
}

void preemption_policy::forgetJob(const std::string &job)
{
    const auto found = m_stopped.find(job);
    if (found == m_stopped.end())
        return;
    endPause(found->second);
    m_stopped.erase(found);
}

// Removes a job from the pauses that have not ended.
void preemption_policy::endPause(stop_history &history)
{
    if (!history.isPaused)
        return;
    history.isPaused = false;
    pause_sums &sums = m_pauses[indexOf(history.priority)];
    --sums.open;
    sums.openSince -= millisecondsOf(history.stoppedAt);
    if (sums.open == 0)
        sums.openSince = 0; // without rounding errors
}

// Removes the job that would be forgotten first.
void preemption_policy::dropOldest()
{
    const auto oldest
        = std::min_element(m_stopped.begin(), m_stopped.end(), [](const auto &a, const auto &b) {
              return a.second.forgetAt < b.second.forgetAt;
          });
    endPause(oldest->second);
    m_stopped.erase(oldest);
}

duration preemption_policy::expectedPause(std::int32_t priority, time_point now) const
{
    const pause_sums &sums = m_pauses[indexOf(priority)];
    const double open
        = std::max(0.0, static_cast<double>(sums.open) * millisecondsOf(now) - sums.openSince);
    const double assumed = assumedPauses * static_cast<double>(usualPause.count());
    const double mean = (sums.time + open + assumed) / (sums.ended + assumedPauses);
    return limited(duration(static_cast<duration::rep>(mean)), longestPause);
}

std::uint64_t preemption_policy::refused(stop_refusal why) const
{
    return m_refused[static_cast<std::size_t>(why)];
}

void preemption_policy::refuse(stop_refusal why)
{
    ++m_refused[static_cast<std::size_t>(why)];
}

std::vector<learned_pause> preemption_policy::save() const
{
    std::vector<learned_pause> pauses;
    for (std::size_t i = 0; i < priorities; ++i) {
        if (m_pauses[i].ended > 0)
            pauses.push_back({static_cast<std::int32_t>(i), m_pauses[i].ended, m_pauses[i].time});
    }
    return pauses;
}

void preemption_policy::restore(gsl::span<const learned_pause> pauses)
{
    for (const learned_pause &one : pauses) {
        pause_sums &sums = m_pauses[indexOf(one.priority)];
        sums.ended += one.ended;
        sums.time += one.time;
    }
}

} // namespace goldcrest
