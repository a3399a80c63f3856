#pragma once

// A load of three queues and ten teams for which the capacity of a cell is insufficient at times,
// to compare the policies of run_planner in virtual time.
//
//   planner_cell cell(options);
//   runContendedLoad(cell, {32, 60s, 1});
//   double value = contendedReportOf(cell).value;

#include "testing/planner_cell_support.h"

#include <array>
#include <cstdint>

namespace goldcrest {

struct contended_load
{
    std::size_t workers = 32; // 61 of them suffice for the mean demand twice
    duration time = 60s;
    std::uint32_t seed = 1;
    double demand = 1; // factor on the jobs per second
};

struct contended_report
{
    double value = 0; // of all jobs to their callers
    double possibleValue = 0;
    std::int32_t stops = 0;
    std::int32_t mostStopsOfAJob = 0;
    double wastedCoreSeconds = 0;
    std::array<std::int32_t, 3> jobs{}; // by priority
    std::array<std::int32_t, 3> onTime{};
    double worstTeam = 1; // value / possible value of the team with the smallest one
    // Of each queue and together: share of the widest tenth of the jobs that has started, divided
    // by that of the rest.
    double wideServed = 0;
};

// Hands in jobs for some time and lets the cell run until three more seconds have passed.
void runContendedLoad(planner_cell &cell, const contended_load &load);

contended_report contendedReportOf(const planner_cell &cell);

} // namespace goldcrest
