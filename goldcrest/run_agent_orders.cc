#include "goldcrest/log_fields.h"
#include "goldcrest/run_agent_state.h"

#include <algorithm>
#include <iterator>

namespace goldcrest {

namespace {

// Margin added to the time of a stop, for the delivery of the call and its answer.
constexpr duration stopSlack = 10ms;

} // namespace

bool run_agent::onOrders(const worker_orders_message &orders)
{
    state &self = *m_state;
    if (orders.plannerEpoch != self.token || orders.sequence <= self.ordersSeen)
        return false;
    self.ordersSeen = orders.sequence;
    self.onFinalReportTaken(orders.departedIncarnation);
    if (!self.backend || orders.incarnation != self.backend->incarnation()) {
        log_line(log_level::Info, "orders for another incarnation")
            .field("worker", self.worker)
            .field("life", orders.incarnation)
            .field("current", self.backend ? self.backend->incarnation() : std::string())
            .field("sequence", orders.sequence)
            .field("starts", static_cast<std::int64_t>(orders.starts.size()))
            .field("stops", static_cast<std::int64_t>(orders.stops.size()))
            .limit(self.worker)
            .write();
        return true;
    }
    self.ordersTaken = orders.sequence;
    self.noteLease(orders.holdUntil);
    const bool acknowledges = orders.endsStored > self.endsStored;
    self.endsStored = std::max(self.endsStored, orders.endsStored);
    for (auto &[run, ordered] : self.runs)
        ordered.isWanted = false;
    self.takeStarts(orders);
    self.takeStops(orders);
    for (auto &[run, ordered] : self.runs) {
        // A start that is no longer ordered must not take effect late.
        const bool isOpen = ordered.inFlight || ordered.mayTakeEffectLate;
        if (!ordered.isWanted && !ordered.isStarted && !ordered.isStopping && isOpen)
            ordered.isStopping = true;
    }
    self.paceWanted.clear();
    for (const pace_order &order : orders.paces)
        self.paceWanted[order.run] = order.percent;
    self.advanceAll();
    self.applyPaces();
    if (acknowledges)
        self.queryNow();
    return true;
}

void run_agent::state::takeStarts(const worker_orders_message &orders)
{
    // The planner placed these starts before it knew that the capacity has shrunk.
    const bool hasShrunk = !backend->capacity.covers(orders.capacity);
    const bool isLeaving = backend->draining || hasLeft;
    for (const start_order &order : orders.starts) {
        ordered_run &ordered = runs[order.run];
        ordered.isWanted = true;
        if (ordered.isStopping)
            continue;
        if (!ordered.start)
            ordered.start = order;
        if ((isLeaving || hasShrunk) && !ordered.everSent && !ordered.refused) {
            ordered.refused = isLeaving ? start_refusal::Unhealthy : start_refusal::NoCapacity;
            // An earlier process of this agent may have sent the start.
            ordered.isStopping = ordered.mayHaveStarted = mayHaveStartedBefore(order.run);
        }
    }
}

void run_agent::state::takeStops(const worker_orders_message &orders)
{
    for (const run_id &run : orders.stops) {
        const auto [found, isNew] = runs.try_emplace(run);
        ordered_run &ordered = found->second;
        if (isNew)
            ordered.mayHaveStarted = mayHaveStartedBefore(run);
        ordered.isWanted = true;
        ordered.isStopping = true;
    }
}

// Refuses the starts that have not been confirmed. They were placed on a larger capacity, and the
// planner may be out of reach, so that they would be repeated.
void run_agent::state::refuseOpenStarts()
{
    for (auto &[run, ordered] : runs) {
        if (!ordered.start || ordered.isStarted || ordered.isStopping || ordered.refused)
            continue;
        ordered.refused = start_refusal::NoCapacity;
        ordered.isStopping = true;
    }
    advanceAll();
}

void run_agent::state::advanceAll()
{
    for (auto &[run, ordered] : runs)
        advance(run, ordered);
    scheduleRetry();
}

void run_agent::state::advance(const run_id &run, ordered_run &ordered)
{
    if (ordered.inFlight || !backend || loop.now() < ordered.retryAt)
        return;
    if (ordered.isStopping) {
        if (!ordered.isStopped)
            sendStop(run, ordered);
        return;
    }
    if (ordered.isPending() && isConfirmed && !isLeaseOver())
        sendStart(run, ordered);
}

void run_agent::state::sendStart(const run_id &run, ordered_run &ordered)
{
    ordered.inFlight = true;
    ordered.everSent = true;
    ordered.mayTakeEffectLate = true;
    host.start(
        *ordered.start, token, holdUntil, backend->id,
        guarded([this, run, clockAtSend = earliestClock()](const result<start_reply> &reply) {
            onStarted(run, reply, clockAtSend);
        }));
}

// @param clockAtSend least time on the clock of the known incarnation when the start was sent
void run_agent::state::onStarted(const run_id &run, const result<start_reply> &reply,
                                 std::int64_t clockAtSend)
{
    const auto found = runs.find(run);
    if (found == runs.end())
        return;
    ordered_run &ordered = found->second;
    ordered.inFlight = false;
    ordered.settledAt = loop.now();
    ordered.settledEvent = ++lastEvent;
    ordered.settledClock.reset();
    const failure *error = failureOf(reply);
    const start_reply answer = error ? start_reply{} : valueOf(reply);
    if (error) {
        onStartUnanswered(run, ordered, *error);
    } else if (answer.isFenced || answer.isOtherIncarnation) {
        // There is a newer planner or a newer incarnation, which is about to be announced.
        if (answer.isOtherIncarnation)
            noteDoubt();
        ordered.mayTakeEffectLate = false;
        ordered.retryAt = loop.now() + options.retryPause;
    } else if (answer.clock.value_or(clockAtSend) < clockAtSend) {
        onStartUnanswered(run, ordered,
                          makeFailure(code::BackendUnavailable,
                                      "the answer has the clock of another incarnation"));
    } else if (!answer.refused) {
        ordered.isStarted = true;
        ordered.mayHaveStarted = true;
        ordered.mayTakeEffectLate = false;
    } else {
        ordered.refused = answer.refused;
        ordered.isStopping = answer.refused != start_refusal::Superseded;
        if (!ordered.isStopping)
            ordered.mayTakeEffectLate = false;
        log_line(log_level::Warning, "start refused")
            .field("task", run.task)
            .field("run", run.number)
            .field("why", static_cast<std::int64_t>(*answer.refused))
            .write();
    }
    advanceAll();
    queryNow();
}

// The known incarnation has not answered a start, so the start may have been carried out by it, by
// the next one, or by none.
void run_agent::state::onStartUnanswered(const run_id &run, ordered_run &ordered,
                                         const failure &error)
{
    ordered.retryAt = loop.now() + options.retryPause;
    ordered.mayHaveStarted = true;
    noteDoubt();
    noteUnconfirmedStart(run);
    log_line(log_level::Warning, "start unanswered, outcome unknown")
        .error(error)
        .field("task", run.task)
        .field("run", run.number)
        .limit(worker)
        .write();
}

// Returns whether a call is under way for a run that may have started without the agent knowing it.
// That is its start, or the stop that follows a start without an answer.
bool run_agent::state::hasStartInFlight() const
{
    return std::any_of(runs.begin(), runs.end(), [](const auto &item) {
        return item.second.inFlight && item.second.mayTakeEffectLate;
    });
}

// Stops the runs that the next incarnation may have started before it has announced itself. They
// would go on beside the next run of their task.
void run_agent::state::stopUnconfirmedRuns()
{
    for (auto &[run, ordered] : runs) {
        if (!ordered.mayTakeEffectLate)
            continue;
        ordered.isStopping = true;
        ordered.retryAt = loop.now();
    }
    advanceAll();
}

void run_agent::state::sendStop(const run_id &run, ordered_run &ordered)
{
    ordered.inFlight = true;
    host.stop(run, token, guarded([this, run](const result<done> &reply) {
                  const auto found = runs.find(run);
                  if (found == runs.end())
                      return;
                  ordered_run &stopped = found->second;
                  stopped.inFlight = false;
                  stopped.settledAt = loop.now();
                  stopped.settledEvent = ++lastEvent;
                  stopped.settledClock.reset();
                  if (failureOf(reply)) {
                      stopped.retryAt = loop.now() + options.retryPause;
                      noteDoubt();
                  } else {
                      stopped.isStopped = true;
                      stopped.mayTakeEffectLate = false;
                  }
                  advanceAll();
                  queryNow();
              }));
}

// Returns whether a run that was not ordered since may have started in this incarnation and not
// ended yet: it is listed, or was within the time of a stop, or a start of it may have taken effect
// late.
bool run_agent::state::mayHaveStartedBefore(const run_id &run) const
{
    const bool isYoung = loop.now() - createdAt < lateOrderLimit;
    return isYoung || paceSet.count(run) > 0 || vanishedRuns.count(run) > 0
        || unconfirmedStarts.count(run) > 0;
}

// Returns whether the answer to a status query shows the outcome of all calls for a run. A query
// that was sent before the last of them was answered may have overtaken it.
bool run_agent::state::isSettled(const ordered_run &ordered, const sent_query &query) const
{
    if (ordered.inFlight || ordered.mayTakeEffectLate || ordered.isPending())
        return false;
    // A stop without an answer may not have been carried out yet.
    if (ordered.isStopping && !ordered.isStopped)
        return false;
    if (query.sentEvent < ordered.settledEvent)
        return false;
    return !mayBeStopping(ordered)
        || (ordered.settledClock
            && duration(newestClock - *ordered.settledClock) > options.stopTime);
}

// Returns whether a stop may still be ending a run after the last call. A start that is refused as
// superseded may have been stopped by an earlier process of this agent.
bool run_agent::state::mayBeStopping(const ordered_run &ordered)
{
    return (ordered.isStopped && ordered.mayHaveStarted)
        || ordered.refused == start_refusal::Superseded;
}

// Notes the backend server's clock after the last call for each run. The time of a stop counts on
// that clock, which stands still while the machine is suspended.
void run_agent::state::noteSettledClocks(const host_status &status, const sent_query &query)
{
    bool isNew = false;
    for (auto &[run, ordered] : runs) {
        if (ordered.inFlight || !mayBeStopping(ordered) || ordered.settledClock
            || query.sentEvent < ordered.settledEvent)
            continue;
        ordered.settledClock = status.clock;
        isNew = true;
    }
    if (isNew)
        scheduleSettlement();
}

// Queries the status once it shows the outcome of the stops that were noted last.
void run_agent::state::scheduleSettlement()
{
    const duration stopTime = scaled(options.stopTime, 1 + options.clockError) + stopSlack;
    settlementTimer = loop.after(stopTime, [this] { queryStatus(0ms); });
}

void run_agent::state::noteUnconfirmedStart(const run_id &run)
{
    for (auto it = unconfirmedStarts.begin(); it != unconfirmedStarts.end();)
        it = loop.now() > it->second ? unconfirmedStarts.erase(it) : std::next(it);
    unconfirmedStarts[run] = loop.now() + lateOrderLimit;
}

// Sends the paces that have changed. A run starts at full speed and keeps the last pace set.
void run_agent::state::applyPaces()
{
    for (auto &[run, percent] : paceSet) {
        const auto wanted = paceWanted.find(run);
        const std::int32_t target = wanted == paceWanted.end() ? fullSpeed : wanted->second;
        if (target == percent)
            continue;
        percent = target;
        host.pace({run, target}, token, guarded([this, run = run](const result<done> &outcome) {
                      // A pace that may not be set is sent again with the next orders.
                      if (failureOf(outcome) && paceSet.count(run) > 0)
                          paceSet[run] = unknownPace;
                  }));
    }
}

void run_agent::state::scheduleRetry()
{
    const bool waits = std::any_of(runs.begin(), runs.end(), [this](const auto &item) {
        return !item.second.inFlight && item.second.retryAt > loop.now();
    });
    if (!waits) {
        retryTimer.reset();
        return;
    }
    retryTimer = loop.after(options.retryPause, [this] { advanceAll(); });
}

void run_agent::state::forgetSettled(const sent_query &query)
{
    for (auto it = runs.begin(); it != runs.end();) {
        const bool isOver = isSettled(it->second, query) && !it->second.isWanted;
        it = isOver ? runs.erase(it) : std::next(it);
    }
}

} // namespace goldcrest
