#include "goldcrest/log_fields.h"
#include "goldcrest/run_agent_state.h"

#include <algorithm>

namespace goldcrest {

namespace {

// The time until the runs of an expired lease are stopped after a suspension of the machine: timers
// do not count the time of the suspension.
constexpr duration leaseCheckInterval = 500ms;

} // namespace

// Takes note of a lease that ends when the clock of the backend server shows `until`. The planner
// counts it from the report with the clock that it has added the length of the lease to.
void run_agent::state::noteLease(std::int64_t until)
{
    if (until <= holdUntil)
        return;
    holdUntil = until;
    earlierLeaseEndsAt.reset();
    auto granted = clockReadings.upper_bound(until - options.workerLease.count());
    if (granted == clockReadings.begin())
        return;
    clockReadings.erase(clockReadings.begin(), --granted);
    const auto &[clockThen, readAt] = *granted;
    const duration length = scaled(duration(until - clockThen), 1 + options.clockError);
    leaseEndsAt = std::max(leaseEndsAt, readAt + length);
    if (!leaseTimer)
        leaseTimer = loop.every(leaseCheckInterval, [this] { stopRunsIfLeaseIsOver(); });
}

// Takes note of the leases that an earlier process here may have been granted. They are based on
// clock readings from before the start of this process, so that the backend server has ended its
// runs by this time unless the machine was suspended since.
void run_agent::state::noteEarlierLease()
{
    earlierLeaseEndsAt = createdAt + scaled(options.workerLease, 1 + options.clockError);
    leaseTimer = loop.every(leaseCheckInterval, [this] { stopRunsIfLeaseIsOver(); });
}

// Returns whether the lease is over by a clock that counts suspensions of the machine.
bool run_agent::state::isLeaseOver() const
{
    if (earlierLeaseEndsAt)
        return loop.now() >= *earlierLeaseEndsAt;
    return leaseEndsAt != time_point{} && loop.now() >= leaseEndsAt;
}

// Stops all runs once the lease is over. The backend server has ended them by then, unless its
// machine was suspended: its own clock stood still, while the planner has replaced the runs.
void run_agent::state::stopRunsIfLeaseIsOver()
{
    if (!isLeaseOver())
        return;
    for (const auto &[run, percent] : paceSet)
        runs.try_emplace(run).first->second.mayHaveStarted = true;
    int stopped = 0;
    for (auto &[run, ordered] : runs) {
        if (ordered.isStopping || ordered.refused)
            continue;
        ordered.isStopping = true;
        ordered.retryAt = loop.now();
        ++stopped;
    }
    if (stopped == 0)
        return;
    log_line(log_level::Warning, "runs stopped, their lease is over")
        .field("worker", worker)
        .field("runs", stopped)
        .field("over_ms", (loop.now() - earlierLeaseEndsAt.value_or(leaseEndsAt)).count())
        .write();
    advanceAll();
}

} // namespace goldcrest
