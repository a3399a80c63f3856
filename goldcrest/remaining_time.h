#pragma once

// Estimates how long a run still takes where some tasks take several times as long as the others.
// Each use takes the quantile that it needs. The time grows with the age of a run: the longer it
// has run, the more likely it is one of the long ones.
//
//   remaining_time remaining(model);                        // a run_time_model
//   run_in_progress run = ...;
//   duration left = remaining.left(run, tail_use::Reservation);
//
// For queues whose run times have no heavy tail, or too few observations, it returns the usual
// estimate of the caller.

#include "goldcrest/clock.h"
#include "goldcrest/run_time_model.h"

#include <cstdint>
#include <string>

namespace goldcrest {

// What an estimate is used for.
enum class tail_use {
    Reservation, // start of waiting work: the median of the end of the last member of a gang
    Victim, // whether a run can still end in time: exceeded by most runs
    Admission // refusal of new work: exceeded by nearly all runs
};

// A run, as known from its start and its progress.
struct run_in_progress
{
    std::string queue;
    duration declared = 0ms; // by the caller
    duration estimate = 0ms; // expected run time on its worker
    duration age = 0ms; // since its start
    duration atLeast = 0ms; // run time that its progress shows to be exceeded; 0: unknown
    duration usual = 0ms; // remaining time without regard to the tail
    duration measured = 0ms; // remaining time by its progress, if that is known
    bool isMeasured = false;
    std::int32_t members = 1; // of its gang
};

// Value of a job that may be stopped, and its ends with and without a stop.
struct victim_outlook
{
    double value = 0; // of an end before the target
    time_point target{};
    time_point valuableUntil{}; // an end after this is worth nothing
    time_point endIfLeft{};
    time_point endIfStopped{};
};

class remaining_time
{
public:
    // @param model must outlive this object
    explicit remaining_time(const run_time_model &model)
        : m_model(model)
    { }

    // Returns the remaining time of a run for a use, never less than 0.
    duration left(const run_in_progress &run, tail_use use) const;

private:
    duration quantileLeft(const run_in_progress &run, double p) const;

    const run_time_model &m_model;
};

// Returns the value that a stop costs: nothing for a job that can't end in time anyway.
double valueLostByStop(const victim_outlook &victim);

} // namespace goldcrest
