#pragma once

// Estimates how fast each machine runs tasks relative to the usual machine of its service, from
// completed runs and from the progress of runs.
//
//   worker_speed_model speeds;
//   speeds.observe("machine-7", expectedAtSpeed1, ran, 1.0, now);
//   for (const speed_change &change : speeds.refresh(now)) ...   // once per planning pass
//   duration there = scaled(expectedAtSpeed1, 1 / speeds.speedOf("machine-7"));
//
// The logarithm of the speed is the mean of log(expected / ran), less the median of that over all
// machines. So an error that all expected times have in common, for example before the queues'
// run times are known, changes no speed, and the median speed is always 1. The mean is shrunk
// towards 0 by a prior whose weight follows from the spread of the observations.
//
// A machine has exactly speed 1 unless its estimate is outside a dead band and certain enough.
// While the machines taken together differ no more than the noise explains, much more certainty is
// required of each, so that equal machines are not told apart by chance.

#include "goldcrest/clock.h"

#include <gsl/span>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace goldcrest {

enum class speed_class { Slow, Usual, Fast };

// Returns the name of a class for logs and metrics.
std::string_view nameOf(speed_class which);

// Returns the class of a speed factor.
speed_class speedClassOf(double speed);

// What the model knows about a machine.
struct machine_speed
{
    double speed = 1; // as used for placement
    double estimate = 1; // before the dead band is applied
    double uncertainty = 0; // standard deviation of log(estimate)
    double weight = 0; // of the observations, after forgetting
};

// A machine whose class of speed has changed.
struct speed_change
{
    std::string machine;
    speed_class before = speed_class::Usual;
    speed_class after = speed_class::Usual;
    machine_speed known;
};

struct speed_counts
{
    std::int64_t slow = 0;
    std::int64_t usual = 0;
    std::int64_t fast = 0;
};

// Observations of one machine, as kept for the next planner (learned_state.h).
struct learned_speed
{
    std::string service; // set by the planner
    std::string machine;
    double mean = 0; // of log(expected / ran)
    double spread = 0; // standard deviation of one observation
    double weight = 0; // number of observations, after forgetting
};

class worker_speed_model
{
public:
    // Records a run of a task on a machine. Values out of range are ignored.
    // @param expected run time of the task at speed 1
    // @param ran time that it took, or that its progress predicts for the whole task
    // @param weight above 0 and at most 1; less than 1 if it shares its error with others
    void observe(const std::string &machine, duration expected, duration ran, double weight,
                 time_point now);

    // Updates the speeds from the observations. The cost is linear in the number of machines, and
    // constant if there were no observations since the last call, or if that was under 1 s ago.
    // @return the machines whose class has changed, at most maxChanges
    std::vector<speed_change> refresh(time_point now);

    // Returns the speed to use for placement, as of the last refresh. 1 for unknown machines.
    double speedOf(const std::string &machine) const;

    // Returns what is known about a machine as of the last refresh.
    machine_speed knownOf(const std::string &machine) const;

    // Returns the known machines by class as of the last refresh.
    speed_counts counts() const { return m_counts; }

    // Returns the observations of all machines, decayed to `now`, in no particular order.
    std::vector<learned_speed> save(time_point now) const;

    // Adds observations of an earlier planner to those made since. Machines beyond maxMachines and
    // entries without a positive weight are ignored. The next refresh() uses them.
    void restore(gsl::span<const learned_speed> machines, time_point now);

    std::uint64_t observations() const { return m_observations; }
    std::size_t size() const { return m_machines.size(); }

    // Bound of the number of machines. The design size is 4,900 workers.
    static constexpr std::size_t maxMachines = 8192;
    // Bound of the changes that one refresh returns. The others are applied without being listed.
    static constexpr std::size_t maxChanges = 8;

private:
    // Weighted sums over y = log(expected / ran).
    struct machine_sums
    {
        double weight = 0;
        double y = 0;
        double yy = 0;
    };
    struct machine_state
    {
        machine_sums restored; // part of the sums below that an earlier planner has learned
        double weight = 0;
        double y = 0;
        double yy = 0;
        time_point observedAt{};
        machine_speed known;
        double mean() const { return y / weight; }
    };

    double medianOfMeans() const;
    double pooledVariance() const;
    void updateSpread(double variance, time_point now);
    void updateMachine(machine_state &state, double variance, time_point now) const;
    static void dropContradicted(machine_state &state);
    void evictOldest();
    void countMachines();

    std::unordered_map<std::string, machine_state> m_machines;
    double m_reference = 0; // median of the means
    bool m_differ = false; // the machines differ more than the noise explains
    bool m_hasNew = false;
    time_point m_refreshedAt{};
    bool m_isRefreshed = false;
    std::uint64_t m_observations = 0;
    speed_counts m_counts;
};

} // namespace goldcrest
