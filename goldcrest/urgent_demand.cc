#include "goldcrest/urgent_demand.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace goldcrest {

namespace {

using amounts = std::array<double, 3>; // cores, memory, accelerators

// The forecast is the mean plus this many standard deviations, which five of six horizons of a
// normal distribution stay below.
constexpr double deviations = 1;

// Arrivals are at least as even as those of independent callers, and at most this many times as
// uneven. Twelve seconds say little about more.
constexpr double largestDispersion = 4;

// A rate is not estimated from less than this, since one arrival would then count as a stream.
constexpr double leastSeconds = 3;

// Bounds of the room, as shares of the service's capacity. Capacity that is held idle is lost to
// other callers: with a sixteenth, an overloaded service of 61 workers stopped more runs and
// completed less of value than without room; with half of that, neither.
constexpr double neededShare = 0.25;
constexpr double heldShare = 1.0 / 32;

amounts amountsOf(const resources &of)
{
    return {static_cast<double>(of.cores), static_cast<double>(of.memory),
            static_cast<double>(of.accelerators)};
}

// Returns the amounts in whole units, at least 0 and at most those of `limit`.
resources boundedBy(const amounts &value, const resources &limit)
{
    const auto bounded = [](double one, std::int64_t most) {
        const auto top = static_cast<double>(std::max<std::int64_t>(0, most));
        return static_cast<std::int64_t>(std::ceil(std::clamp(one, 0.0, top)));
    };
    return {bounded(value[0], limit.cores), bounded(value[1], limit.memory),
            bounded(value[2], limit.accelerators)};
}

resources shareOf(const resources &total, double share)
{
    const auto part = [share](std::int64_t of) {
        return static_cast<std::int64_t>(
            std::floor(static_cast<double>(std::max<std::int64_t>(0, of)) * share));
    };
    return {part(total.cores), part(total.memory), part(total.accelerators)};
}

std::int64_t secondOf(time_point at)
{
    return std::chrono::duration_cast<std::chrono::seconds>(at.time_since_epoch()).count();
}

} // namespace

// Sums over the window.
struct urgent_demand::totals
{
    double jobs = 0;
    double runTime = 0; // ms
    amounts demand{};
    amounts squares{};
    double seconds = leastSeconds; // covered
    double dispersion = 1; // variance by mean of the jobs per second
};

urgent_job urgentJobOf(const graph_job &job,
                       const std::function<duration(const step_spec &)> &timeOf)
{
    const duration chain = criticalPathTime(job, timeOf);
    if (chain <= 0ms || chain > longestTime)
        return {};
    amounts work{};
    for (const step_spec &step : job.steps) {
        if (step.longRunning)
            continue;
        resources demand = step.perTask;
        if (step.bestEffort)
            demand.cores = 0; // it uses spare cores
        const double time = static_cast<double>(timeOf(step).count()) * step.count;
        const amounts each = amountsOf(demand);
        for (std::size_t i = 0; i < work.size(); ++i)
            work[i] += each[i] * time;
    }
    for (double &one : work)
        one /= static_cast<double>(chain.count());
    // Sums over all arrivals of the window fit in 64 bits.
    return {boundedBy(work, largestMachine * 1000), chain};
}

std::string_view nameOf(urgent_room_class room)
{
    switch (room) {
    case urgent_room_class::None:
        break;
    case urgent_room_class::Preferred:
        return "preferred";
    case urgent_room_class::Held:
        return "held";
    }
    return "none";
}

urgent_room_class urgent_forecast::roomClass() const
{
    if (!isExpected())
        return urgent_room_class::None;
    return held == resources{} ? urgent_room_class::Preferred : urgent_room_class::Held;
}

bool urgent_forecast::isExpectedWithin(duration time) const
{
    constexpr double msPerSecond = 1000;
    return time > horizon && perSecond * static_cast<double>(time.count()) / msPerSecond >= 1;
}

void urgent_demand::noteArrival(const urgent_job &job, time_point at)
{
    if (job.demand == resources{} || !job.demand.covers({}) || job.runTime <= 0ms
        || at.time_since_epoch() < 0ms)
        return;
    const std::int64_t second = secondOf(at);
    arrivals &into = m_seconds[static_cast<std::size_t>(second) % m_seconds.size()];
    if (into.second > second)
        return; // it is out of the window
    if (into.second < second)
        into = arrivals{};
    into.second = second;
    into.jobs += 1;
    into.runTime += static_cast<double>(job.runTime.count());
    const amounts demand = amountsOf(job.demand);
    for (std::size_t i = 0; i < demand.size(); ++i) {
        into.demand[i] += demand[i];
        into.squares[i] += demand[i] * demand[i];
    }
    if (m_firstSecond < 0 || second < m_firstSecond)
        m_firstSecond = second;
}

void urgent_demand::noteWait(time_point now)
{
    m_hasWaited = true;
    m_waitedAt = now;
}

bool urgent_demand::hasWaited(time_point now) const
{
    return m_hasWaited && now - m_waitedAt <= window;
}

urgent_demand::totals urgent_demand::sumOf(time_point now) const
{
    const std::int64_t last = secondOf(now);
    const auto size = static_cast<std::int64_t>(m_seconds.size());
    totals sum;
    double squaredCounts = 0;
    for (const arrivals &second : m_seconds) {
        if (second.second < 0 || second.second > last || second.second <= last - size)
            continue;
        sum.jobs += second.jobs;
        sum.runTime += second.runTime;
        squaredCounts += second.jobs * second.jobs;
        for (std::size_t i = 0; i < sum.demand.size(); ++i) {
            sum.demand[i] += second.demand[i];
            sum.squares[i] += second.squares[i];
        }
    }
    if (sum.jobs <= 0)
        return sum;
    const auto seen = static_cast<double>(last - m_firstSecond + 1);
    sum.seconds = std::clamp(seen, leastSeconds, static_cast<double>(size));
    const double mean = sum.jobs / sum.seconds;
    const double variance = squaredCounts / sum.seconds - mean * mean;
    sum.dispersion = std::clamp(variance / mean, 1.0, largestDispersion);
    return sum;
}

urgent_forecast urgent_demand::forecast(duration stopTime, const resources &total,
                                        const resources &used, time_point now) const
{
    constexpr double msPerSecond = 1000;
    const totals sum = sumOf(now);
    urgent_forecast next;
    if (sum.jobs <= 0)
        return next;
    const double runTime
        = std::min(sum.runTime / sum.jobs, static_cast<double>(longestTime.count()));
    next.horizon = std::max<duration>(0ms, stopTime) + duration(std::llround(runTime));
    next.perSecond = sum.jobs / sum.seconds;
    const double share
        = static_cast<double>(next.horizon.count()) / msPerSecond / sum.seconds; // of the sums
    amounts needed{};
    for (std::size_t i = 0; i < needed.size(); ++i)
        needed[i] = sum.demand[i] * share
            + deviations * std::sqrt(sum.squares[i] * share * sum.dispersion);
    next.needed = boundedBy(needed, shareOf(total, neededShare));
    if (!hasWaited(now))
        return next;
    resources missing = next.needed;
    missing -= used;
    next.held = boundedBy(amountsOf(missing), shareOf(total, heldShare));
    return next;
}

} // namespace goldcrest
