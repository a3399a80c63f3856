#include "goldcrest/remaining_time.h"

#include <algorithm>
#include <cmath>

namespace goldcrest {

namespace {

// Shares of the runs that end within the remaining time that a use assumes. For reservations, it is
// the share of the units of which the last member does. 0.75 made more work be stopped instead, and
// less of it valuable, in graph_policy_benchmark.
constexpr double reservationShare = 0.5;
constexpr double victimShare = 0.25;
constexpr double admissionShare = 0.1;

// Share of the remaining time by progress that admission counts on. A run may become faster once
// its neighbours have ended.
constexpr double certainShare = 0.5;

// Share of its value that a job keeps after its target, as the queues have it on average.
constexpr double lateShare = 0.5;

} // namespace

// Returns the quantile of the remaining time, given that the run has taken its age.
duration remaining_time::quantileLeft(const run_in_progress &run, double p) const
{
    const duration expected = m_model.expected(run.queue, run.declared);
    if (expected <= 0ms || run.estimate <= 0ms)
        return run.usual;
    // The model has times at speed 1, near the data.
    const double slowdown
        = static_cast<double>(run.estimate.count()) / static_cast<double>(expected.count());
    const duration passed = std::max(run.age, run.atLeast);
    const duration total
        = m_model.quantileBeyond(run.queue, run.declared, scaled(passed, 1 / slowdown), p);
    return std::max<duration>(0ms, scaled(total, slowdown) - run.age);
}

duration remaining_time::left(const run_in_progress &run, tail_use use) const
{
    if (!m_model.isHeavyTailed(run.queue))
        return run.usual;
    switch (use) {
    case tail_use::Reservation: {
        const double p = std::pow(reservationShare, 1.0 / std::max(1, run.members));
        return run.isMeasured ? run.usual : std::max(run.usual, quantileLeft(run, p));
    }
    case tail_use::Victim:
        return run.isMeasured ? run.usual : quantileLeft(run, victimShare);
    case tail_use::Admission:
        break;
    }
    const duration certain
        = run.isMeasured ? scaled(run.measured, certainShare) : quantileLeft(run, admissionShare);
    return std::max(run.usual, certain);
}

double valueLostByStop(const victim_outlook &victim)
{
    if (victim.endIfLeft <= victim.target)
        return victim.endIfStopped > victim.target ? victim.value : 0;
    const bool losesRest
        = victim.endIfLeft <= victim.valuableUntil && victim.endIfStopped > victim.valuableUntil;
    return losesRest ? victim.value * lateShare : 0;
}

} // namespace goldcrest
