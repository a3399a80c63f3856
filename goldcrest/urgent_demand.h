#pragma once

// Forecasts how much capacity the urgent jobs of a service will need soon, from their recent
// arrivals. It does no I/O and its memory is constant.
//
//   urgent_demand demand;
//   demand.noteArrival(urgentJobOf(spec, timeOf), acceptedAt);
//   demand.noteWait(now);                                  // an urgent job could not start at once
//   urgent_forecast next = demand.forecast(stopTime, total, used, now);
//   if (next.isExpected())
//       ...                        // placement of other work prefers workers that are in use
//
// Arrivals are taken as a compound Poisson process: the demand within a horizon has the mean of the
// recent arrivals, and the variance of their sum, which is larger if arrivals come in waves.

#include "goldcrest/clock.h"
#include "goldcrest/graph_job.h"
#include "goldcrest/model.h"

#include <array>
#include <cstdint>
#include <functional>
#include <string_view>

namespace goldcrest {

// What is known of an urgent job when it arrives.
struct urgent_job
{
    resources demand; // mean over its run time
    duration runTime = 0ms; // of its critical path
};

// Returns the demand of a job.
// @param timeOf returns the expected run time of one task of a step
// @return without demand if the job has only long-running steps, which do not arrive again
urgent_job urgentJobOf(const graph_job &job,
                       const std::function<duration(const step_spec &)> &timeOf);

// What operators see of a forecast.
enum class urgent_room_class {
    None, // no urgent job has arrived lately
    Preferred, // work of lower priority prefers workers that are in use
    Held // some workers are kept free as well
};

// Returns the lower-case name that log lines show.
std::string_view nameOf(urgent_room_class room);

struct urgent_forecast
{
    resources needed; // by urgent jobs within the horizon, including those that run
    // Part of it to be kept free; none unless urgent jobs had to wait lately.
    resources held;
    duration horizon = 0ms; // stop time and run time
    double perSecond = 0; // rate of arrivals

    bool isExpected() const { return perSecond > 0; }
    urgent_room_class roomClass() const;

    // Returns whether work that runs for this long would meet an urgent job on its worker.
    bool isExpectedWithin(duration time) const;
};

class urgent_demand
{
public:
    // Arrivals and waits count for this long. It covers a swing of the users' load, which takes 11
    // to 17 s, for the most part.
    static constexpr duration window = 12s;

    // Records an urgent job. Times may come in any order; those outside the window, and jobs
    // without demand or run time, are ignored.
    void noteArrival(const urgent_job &job, time_point at);

    // Records that an urgent job could not start at once, or needed others to be stopped.
    void noteWait(time_point now);

    // Returns the forecast, without demand if no urgent job has arrived within the window.
    // @param stopTime time that it takes to free capacity
    // @param total capacity of the service, which bounds the forecast
    // @param used capacity that urgent runs hold, which serves later arrivals once they end
    urgent_forecast forecast(duration stopTime, const resources &total, const resources &used,
                             time_point now) const;

private:
    // Sums over the arrivals of one second.
    struct arrivals
    {
        std::int64_t second = -1; // since the epoch of the clock
        double jobs = 0;
        double runTime = 0; // ms
        std::array<double, 3> demand{}; // cores, memory, accelerators
        std::array<double, 3> squares{};
    };
    struct totals;

    totals sumOf(time_point now) const;
    bool hasWaited(time_point now) const;

    std::array<arrivals, 12> m_seconds; // by second modulo their number
    std::int64_t m_firstSecond = -1; // of the first arrival
    time_point m_waitedAt{};
    bool m_hasWaited = false;
};

} // namespace goldcrest
