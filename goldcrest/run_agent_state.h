#pragma once

// The state of a run_agent, shared by the files that implement it: run_agent.cc has the
// incarnations of the backend server, run_agent_orders.cc the planner's orders and the calls that
// carry them out, run_agent_lease.cc the end of the lease, run_agent_reports.cc the status queries
// and the reports.

#include "goldcrest/incarnation_check.h"
#include "goldcrest/run_agent.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace goldcrest {

// A call without an answer may still take effect for this long after it was sent. The platform's
// longest delay is 12 s.
constexpr duration lateOrderLimit = 15s;

constexpr std::int32_t fullSpeed = 100; // percent
constexpr std::int32_t unknownPace = -1;

// State of one run that the planner has ordered.
struct ordered_run
{
    std::optional<start_order> start; // empty: only a stop was ordered
    bool isStopping = false;
    bool inFlight = false;
    bool everSent = false; // a start was sent
    bool mayTakeEffectLate = false; // a start was sent and its outcome is unknown
    bool isStarted = false;
    bool isStopped = false; // a stop succeeded
    bool mayHaveStarted = false; // in this incarnation, so that its stop may take time
    bool isWanted = true; // the last orders list it
    std::optional<start_refusal> refused;
    time_point settledAt{}; // when the last call ended
    std::uint64_t settledEvent = 0; // number of that event
    // Clock of the backend server in the first list that was queried after that, ms.
    std::optional<std::int64_t> settledClock;
    time_point retryAt{};

    // Returns whether a start is still to be sent.
    bool isPending() const { return start && isWanted && !isStarted && !isStopping && !refused; }
};

// A status query and what the agent knew when it sent it.
struct sent_query
{
    std::uint64_t sentEvent = 0; // number of the event
    time_point sentAt{};
    epoch token = 0;
    std::int64_t ordersTaken = 0;
};

// The final report of an incarnation, which must be known to the planner before any later report.
struct final_report
{
    worker_report_message content;
    bool isSent = false; // on the current link
    epoch takenBy = 0; // last planner that has taken it
};

struct run_agent::state : std::enable_shared_from_this<run_agent::state>
{
    state(event_loop &eventLoop, run_host &backendHost)
        : loop(eventLoop)
        , host(backendHost)
    { }

    bool isPlausible(const host_announcement &announcement) const;
    void updateAnnouncement(const host_announcement &announcement);
    void refuseAnnouncement(const host_announcement &announcement, std::string_view why);
    void beginIncarnation(const host_announcement &announcement);
    void noteDoubt();
    bool confirmIncarnation(const sent_query &query);
    std::int64_t earliestClock() const;
    bool hasStartInFlight() const;
    void stopUnconfirmedRuns();
    void takeStarts(const worker_orders_message &orders);
    void takeStops(const worker_orders_message &orders);
    void refuseOpenStarts();
    void advanceAll();
    void advance(const run_id &run, ordered_run &ordered);
    void sendStart(const run_id &run, ordered_run &ordered);
    void sendStop(const run_id &run, ordered_run &ordered);
    void onStarted(const run_id &run, const result<start_reply> &reply, std::int64_t clockAtSend);
    void onStartUnanswered(const run_id &run, ordered_run &ordered, const failure &error);
    void noteUnconfirmedStart(const run_id &run);
    bool mayHaveStartedBefore(const run_id &run) const;
    bool isSettled(const ordered_run &ordered, const sent_query &query) const;
    static bool mayBeStopping(const ordered_run &ordered);
    void noteSettledClocks(const host_status &status, const sent_query &query);
    void scheduleSettlement();
    void scheduleRetry();
    void applyPaces();
    void noteLease(std::int64_t until);
    bool isLeaseOver() const;
    void noteEarlierLease();
    void stopRunsIfLeaseIsOver();
    void queryStatus(duration wait);
    void queryNow();
    void onStatus(const result<host_status> &outcome, const sent_query &query);
    bool isOvertaken(const host_status &status, const sent_query &query) const;
    void report(const host_status &status, const sent_query &query);
    void noteVanishedRuns(const host_status &status);
    void logMissingRuns(const host_status &status, const sent_query &query) const;
    worker_report_message makeReport() const;
    worker_report_message makeDepartureReport() const;
    void reportDeparture();
    bool sendFinalReports();
    void onFinalReportTaken(const std::string &incarnation);
    void forgetSettled(const sent_query &query);
    void scheduleQuery(duration delay);

    // Wraps a callback so that it runs only if the agent still exists and the backend server is
    // still in the incarnation in which the call was made.
    template<typename Callback>
    auto guarded(Callback callback)
    {
        return [weak = weak_from_this(), made = incarnationCount,
                callback = std::move(callback)](auto outcome) {
            const std::shared_ptr<state> self = weak.lock();
            if (self && self->incarnationCount == made)
                callback(std::move(outcome));
        };
    }

    event_loop &loop;
    run_host &host;
    std::string worker;
    run_agent_options options;
    std::function<bool(const worker_report_message &)> send;

    std::optional<host_announcement> backend;
    std::unique_ptr<incarnation_check> check; // of announcements of other incarnations
    std::uint64_t unconfirmedAnnouncements = 0;
    std::uint64_t incarnationCount = 0;
    // The last answer came from this incarnation. Otherwise the next one may have taken its place.
    bool isConfirmed = false;
    // Number of the event after which the next incarnation may have taken its place.
    std::uint64_t doubtedEvent = 0;
    time_point createdAt = loop.now();
    time_point announcedAt{};
    bool hasLeft = false;
    time_point lastAnswerAt{}; // of the backend server, or when its incarnation began
    time_point departureReportedAt{};
    // Ends that the backend server has listed and that may not be stored yet, by number.
    std::map<std::int64_t, ended_task> listedEnds;
    // Final reports of earlier incarnations, in their order: the last one that was taken, and those
    // that were not. Each planner is told, since the one that was told first may have been lost
    // before it stored what follows from it.
    std::deque<final_report> finalReports;
    epoch token = 0;
    bool isConnected = false;
    std::int64_t ordersSeen = 0;
    std::int64_t ordersTaken = 0; // the last orders for this incarnation
    std::int64_t holdUntil = 0;
    // When the lease is over by the time here, which counts suspensions; empty: no lease is known.
    time_point leaseEndsAt{};
    // When each lease that an earlier process here was granted is over; empty: a lease has been
    // granted to this process.
    std::optional<time_point> earlierLeaseEndsAt;
    // Reported times of the backend server's clock, and when they were read. Those before the one
    // of the last lease are removed.
    std::map<std::int64_t, time_point> clockReadings;
    std::int64_t endsStored = 0;
    std::int64_t newestClock = 0; // of the backend server, in the last status; 0: no status yet
    std::uint64_t newestStatusEvent = 0; // number of the event in which it arrived
    time_point newestClockAt{};
    std::map<run_id, ordered_run> runs;
    std::map<run_id, time_point> unconfirmedStarts; // when each can no longer take effect
    std::map<run_id, std::int32_t> paceWanted;
    std::map<run_id, std::int32_t> paceSet; // runs that the backend server lists
    // Runs that it does not list any more, with the time on its clock of the last list that has
    // them. It may be ending them.
    std::map<run_id, std::int64_t> vanishedRuns;
    bool isQuerying = false;
    std::uint64_t queryNumber = 0;
    // Numbers status queries when they are sent and when a status is taken, starts and stops when
    // they are answered, and doubts about the incarnation, in their order. What a list shows
    // follows from that order: times are cut to milliseconds and do not tell the order of two
    // events in one.
    std::uint64_t lastEvent = 0;
    bool isReachable = false;
    timer_handle queryTimer;
    timer_handle retryTimer;
    timer_handle settlementTimer;
    timer_handle leaseTimer;
};

} // namespace goldcrest
