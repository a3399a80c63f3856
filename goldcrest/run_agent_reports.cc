#include "goldcrest/log_fields.h"
#include "goldcrest/run_agent_state.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace goldcrest {

void run_agent::state::scheduleQuery(duration delay)
{
    queryTimer = loop.after(delay, [this] { queryStatus(options.statusQueryWait); });
}

// Queries the status without waiting, to report a change to the planner soon. A status query that
// is waiting for an end continues in parallel.
void run_agent::state::queryNow()
{
    queryTimer = loop.after(0ms, [this] { queryStatus(0ms); });
}

void run_agent::state::queryStatus(duration wait)
{
    stopRunsIfLeaseIsOver();
    if (!backend || !isConnected)
        return;
    isQuerying = true;
    const std::uint64_t number = ++queryNumber;
    // Another incarnation would take the numbers and times of this one for its own. It can have
    // ends only of starts that it has carried out, the answer to which shows that it is another
    // one.
    const bool mayAcknowledge = isConfirmed && !hasStartInFlight();
    host.queryStatus(
        token, mayAcknowledge ? endsStored : 0, isConfirmed ? holdUntil : 0,
        isConfirmed ? wait : 0ms, backend->id,
        guarded([this, number, query = sent_query{++lastEvent, loop.now(), token, ordersTaken}](
                    const result<host_status> &status) {
            if (number == queryNumber)
                isQuerying = false;
            // A query with an earlier planner's token proves nothing to the current
            // planner.
            if (query.token == token)
                onStatus(status, query);
            else if (!isQuerying)
                scheduleQuery(0ms);
        }));
}

void run_agent::state::onStatus(const result<host_status> &outcome, const sent_query &query)
{
    const bool isOther = !failureOf(outcome) && valueOf(outcome).isOtherIncarnation;
    if (failureOf(outcome) || isOther) {
        if (isReachable) {
            log_line line(log_level::Warning, "backend server unreachable");
            if (isOther)
                line.field("why", "another incarnation answers");
            else
                line.error(*failureOf(outcome));
            line.write();
        }
        isReachable = false;
        noteDoubt();
        if (hasLeft && loop.now() - std::max(lastAnswerAt, announcedAt) >= options.departureProof)
            reportDeparture();
        if (!isQuerying)
            scheduleQuery(options.retryPause);
        return;
    }
    const host_status &status = valueOf(outcome);
    if (status.startedAtMs == backend->startedAtMs) {
        lastAnswerAt = loop.now();
        for (const ended_task &ended : status.ended)
            listedEnds.emplace(ended.number, ended);
        listedEnds.erase(listedEnds.begin(), listedEnds.upper_bound(endsStored));
    }
    if (status.startedAtMs != backend->startedAtMs) {
        noteDoubt();
        stopUnconfirmedRuns();
        if (!isQuerying)
            scheduleQuery(options.retryPause);
        return;
    }
    if (isOvertaken(status, query)) {
        // After an answer of the same millisecond, the next query is certain to show a later state.
        if (!isQuerying)
            scheduleQuery(status.clock == newestClock ? 0ms : options.retryPause);
        return;
    }
    if (!isReachable)
        log_line(log_level::Info, "backend server reachable").field("worker", worker).write();
    isReachable = true;
    if (confirmIncarnation(query))
        advanceAll();
    noteVanishedRuns(status);
    newestClock = status.clock;
    newestClockAt = loop.now();
    newestStatusEvent = ++lastEvent;
    noteSettledClocks(status, query);
    logMissingRuns(status, query);
    report(status, query);
    if (!isQuerying)
        scheduleQuery(status.ended.empty() ? 0ms : options.pauseForStoring);
}

// Returns whether a status may be older than the last one: answers on different connections
// overtake each other. Two of the same millisecond are in order only if the second was queried
// after the first had arrived.
bool run_agent::state::isOvertaken(const host_status &status, const sent_query &query) const
{
    if (status.clock == newestClock)
        return query.sentEvent < newestStatusEvent;
    return status.clock < newestClock;
}

worker_report_message run_agent::state::makeReport() const
{
    worker_report_message message;
    message.plannerEpoch = token;
    message.worker = worker;
    message.incarnation = backend->incarnation();
    message.machine = backend->id;
    message.service = backend->service;
    message.failureDomain = backend->failureDomain;
    message.rack = backend->rack;
    message.labels = backend->labels;
    message.capacity = backend->capacity;
    message.draining = backend->draining || hasLeft;
    if (message.draining)
        message.drainLeft = hasLeft
            ? 0ms
            : std::max<duration>(0ms, backend->drainLeft - (loop.now() - announcedAt));
    message.clock = newestClock;
    return message;
}

// Returns the final report of the backend server's incarnation, with the ends that it has listed.
// Runs whose start may still take effect in a later incarnation are unresolved.
worker_report_message run_agent::state::makeDepartureReport() const
{
    worker_report_message message = makeReport();
    message.isFinal = true;
    // An earlier process of this agent may have sent starts that this one does not know.
    message.hasEndedRuns = loop.now() - createdAt >= lateOrderLimit;
    message.wasAnnounced = message.draining;
    message.draining = true;
    for (const auto &[number, ended] : listedEnds)
        message.ended.push_back(ended);
    std::set<run_id> unresolved;
    for (const auto &[run, ordered] : runs) {
        if (ordered.mayTakeEffectLate)
            unresolved.insert(run);
        if (ordered.isStarted)
            message.startedRuns.push_back(run);
    }
    for (const auto &[run, until] : unconfirmedStarts) {
        if (loop.now() <= until)
            unresolved.insert(run);
    }
    message.unresolved.assign(unresolved.begin(), unresolved.end());
    return message;
}

void run_agent::state::reportDeparture()
{
    if (departureReportedAt != time_point{}
        && loop.now() - departureReportedAt < options.statusQueryWait)
        return;
    if (sendFinalReports() && send && send(makeDepartureReport()))
        departureReportedAt = loop.now();
}

// Sends the first final report that the planner has not taken yet. Returns whether it has taken all
// of them. Others wait until then: the planner drops what comes while it reads its records, and a
// later report would make the earlier incarnation's runs look lost without an end.
bool run_agent::state::sendFinalReports()
{
    for (final_report &next : finalReports) {
        if (next.takenBy == token)
            continue;
        next.content.plannerEpoch = token;
        next.isSent = send && send(next.content);
        return false;
    }
    return true;
}

// @param incarnation whose final report the planner has taken last; empty: it has taken none
void run_agent::state::onFinalReportTaken(const std::string &incarnation)
{
    const auto taken = std::find_if(finalReports.begin(), finalReports.end(),
                                    [&](const final_report &candidate) {
                                        return candidate.isSent && candidate.takenBy != token
                                            && candidate.content.incarnation == incarnation;
                                    });
    if (taken == finalReports.end())
        return;
    taken->takenBy = token;
    finalReports.erase(finalReports.begin(), taken);
    queryNow();
}

// Keeps the runs that the last list has and this one lacks for the time of a stop, in which the
// backend server may be ending them.
void run_agent::state::noteVanishedRuns(const host_status &status)
{
    for (const auto &[run, percent] : paceSet)
        vanishedRuns.emplace(run, newestClock);
    for (const running_task &running : status.running)
        vanishedRuns.erase(running.run);
    for (const ended_task &ended : status.ended)
        vanishedRuns.erase(ended.run);
    for (auto it = vanishedRuns.begin(); it != vanishedRuns.end();) {
        const bool hasEnded = duration(status.clock - it->second) > options.stopTime;
        it = hasEnded ? vanishedRuns.erase(it) : std::next(it);
    }
}

// Logs the runs that the agent has started and that a list is without, though it was queried after
// the start's answer. The planner takes them for gone if they stay missing.
void run_agent::state::logMissingRuns(const host_status &status, const sent_query &query) const
{
    std::set<run_id> listed;
    for (const running_task &running : status.running)
        listed.insert(running.run);
    for (const ended_task &ended : status.ended)
        listed.insert(ended.run);
    for (const auto &[run, ordered] : runs) {
        const bool isMissing = ordered.isStarted && ordered.isWanted && !ordered.isStopping
            && listed.count(run) == 0;
        if (!isMissing || !isSettled(ordered, query))
            continue;
        log_line(log_level::Warning, "started run not listed")
            .field("task", run.task)
            .field("run", run.number)
            .field("worker", worker)
            .field("query_event", static_cast<std::int64_t>(query.sentEvent))
            .field("start_event", static_cast<std::int64_t>(ordered.settledEvent))
            .field("query_after_start_ms", (query.sentAt - ordered.settledAt).count())
            .field("orders_taken", query.ordersTaken)
            .field("clock_ms", status.clock)
            .limit(worker)
            .write();
    }
}

void run_agent::state::report(const host_status &status, const sent_query &query)
{
    worker_report_message message = makeReport();
    message.ordersSeen = query.ordersTaken;
    message.running = status.running;
    message.ended = status.ended;
    message.isPartial = status.isPartial;
    std::set<run_id> listed;
    std::map<run_id, std::int32_t> paces;
    for (const running_task &running : status.running) {
        listed.insert(running.run);
        // The pace of a run that an earlier process of this agent started is not known.
        const auto set = paceSet.find(running.run);
        const int initial = runs.count(running.run) > 0 ? fullSpeed : unknownPace;
        paces[running.run] = set == paceSet.end() ? initial : set->second;
        // The start took effect, though its answer was lost or has not arrived yet.
        const auto known = runs.find(running.run);
        if (known != runs.end())
            known->second.mayHaveStarted = true;
        if (known != runs.end() && !known->second.isStopping) {
            known->second.isStarted = true;
            known->second.mayTakeEffectLate = known->second.inFlight;
        }
    }
    paceSet = std::move(paces);
    applyPaces();
    for (const auto &[run, ordered] : runs) {
        if (!isSettled(ordered, query))
            message.unresolved.push_back(run);
        else if (ordered.refused && listed.count(run) == 0)
            message.refused.push_back({run, *ordered.refused});
    }
    clockReadings.emplace(message.clock, loop.now());
    if (sendFinalReports() && send && send(message))
        forgetSettled(query);
}

} // namespace goldcrest
