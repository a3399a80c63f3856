#include "goldcrest/run_agent.h"

#include "goldcrest/log_fields.h"
#include "goldcrest/run_agent_state.h"

#include <algorithm>
#include <utility>

namespace goldcrest {

namespace {

// An announcement whose sequence number is ahead of the last one by more than this, and by more
// than one for each `minAnnouncementInterval` since then, is not the backend server's own.
constexpr std::int64_t maxSequenceGap = 100;
constexpr duration minAnnouncementInterval = 100ms;

// Limit on the final reports that are kept, for a backend server that restarts again and again
// while no planner can be reached.
constexpr std::size_t maxFinalReports = 64;

} // namespace

run_agent::run_agent(event_loop &loop, run_host &host, std::string worker,
                     const run_agent_options &options,
                     std::function<bool(const worker_report_message &)> report)
    : m_state(std::make_shared<state>(loop, host))
{
    m_state->worker = std::move(worker);
    m_state->options = options;
    m_state->send = std::move(report);
    state *self = m_state.get();
    incarnation_check_callbacks callbacks;
    callbacks.onConfirmed
        = [self](const host_announcement &announcement) { self->beginIncarnation(announcement); };
    callbacks.onRefused = [self](const host_announcement &announcement, std::string_view why) {
        self->refuseAnnouncement(announcement, why);
    };
    m_state->check = std::make_unique<incarnation_check>(
        loop, host, incarnation_check_options{options.retryPause, options.confirmationLimit},
        std::move(callbacks));
}

run_agent::~run_agent()
{
    m_state->queryTimer.reset();
    m_state->retryTimer.reset();
    m_state->check.reset();
    m_state->settlementTimer.reset();
    m_state->leaseTimer.reset();
    m_state->send = nullptr;
}

const std::optional<host_announcement> &run_agent::backend() const
{
    return m_state->backend;
}

void run_agent::setStopTime(duration stopTime)
{
    m_state->options.stopTime = stopTime;
}

void run_agent::setWorkerLease(duration workerLease)
{
    m_state->options.workerLease = workerLease;
}

epoch run_agent::currentEpoch() const
{
    return m_state->token;
}

bool run_agent::isBackendReachable() const
{
    return m_state->isReachable;
}

std::uint64_t run_agent::unconfirmedAnnouncements() const
{
    return m_state->unconfirmedAnnouncements;
}

void run_agent::onAnnouncement(const host_announcement &announcement)
{
    state &self = *m_state;
    if (self.backend && self.backend->incarnation() == announcement.incarnation()) {
        self.updateAnnouncement(announcement);
        return;
    }
    if (self.backend) {
        self.noteDoubt();
        self.queryNow();
    }
    self.check->start(announcement, self.token);
}

void run_agent::onDeparture(const std::string &id, std::optional<std::int64_t> startedAtMs)
{
    const std::optional<host_announcement> &current = m_state->backend;
    const bool isCurrent = current && current->id == id
        && startedAtMs.value_or(current->startedAtMs) == current->startedAtMs;
    log_line(log_level::Info, isCurrent ? "backend server leaves" : "departure notice ignored")
        .field("worker", m_state->worker)
        .field("id", id)
        .field("current", current ? current->incarnation() : std::string())
        .limit(m_state->worker)
        .write();
    if (!isCurrent)
        return;
    m_state->hasLeft = true;
    m_state->announcedAt = m_state->loop.now();
    m_state->queryNow();
}

// Returns whether the sequence number may be the backend server's own. One that another writer made
// up would hide the following announcements.
bool run_agent::state::isPlausible(const host_announcement &announcement) const
{
    const std::int64_t gap = announcement.sequence - backend->sequence;
    return gap <= maxSequenceGap + (loop.now() - announcedAt) / minAnnouncementInterval;
}

void run_agent::state::updateAnnouncement(const host_announcement &announcement)
{
    if (!isPlausible(announcement))
        return refuseAnnouncement(announcement, "its sequence number is too far ahead");
    const bool isLower = announcement.sequence < backend->sequence;
    if (isLower && loop.now() - announcedAt < options.sequenceLimit)
        return;
    const bool wasDraining = backend->draining || hasLeft;
    const bool hasShrunk = !announcement.capacity.covers(backend->capacity);
    // A later announcement withdraws a drain or a departure; one that may be delayed does not.
    const bool staysDraining = isLower && backend->draining;
    backend = announcement;
    backend->draining = announcement.draining || staysDraining;
    hasLeft = hasLeft && isLower;
    announcedAt = loop.now();
    if (hasShrunk)
        refuseOpenStarts();
    if (wasDraining != (backend->draining || hasLeft) || hasShrunk)
        queryNow();
}

void run_agent::state::refuseAnnouncement(const host_announcement &announcement,
                                          std::string_view why)
{
    ++unconfirmedAnnouncements;
    log_line(log_level::Warning, "announcement not confirmed")
        .field("worker", worker)
        .field("life", announcement.incarnation())
        .field("current", backend ? backend->incarnation() : std::string())
        .field("service", announcement.service)
        .field("address", announcement.address)
        .field("sender", announcement.sender)
        .field("why", why)
        .limit(worker)
        .write();
}

void run_agent::state::beginIncarnation(const host_announcement &announcement)
{
    log_line(log_level::Info, "backend server announced")
        .field("worker", worker)
        .field("life", announcement.incarnation())
        .field("before", backend ? backend->incarnation() : std::string())
        .field("service", announcement.service)
        .field("address", announcement.address)
        .field("sender", announcement.sender)
        .field("runs", static_cast<std::int64_t>(runs.size()))
        .field("ends_listed", static_cast<std::int64_t>(listedEnds.size()))
        .write();
    // The new incarnation shows that the earlier one is gone.
    if (backend)
        finalReports.push_back({makeDepartureReport()});
    else
        noteEarlierLease();
    if (finalReports.size() > maxFinalReports)
        finalReports.pop_front();
    backend = announcement;
    isConfirmed = true;
    announcedAt = loop.now();
    lastAnswerAt = loop.now();
    departureReportedAt = {};
    ++incarnationCount;
    hasLeft = false;
    endsStored = 0;
    ordersTaken = 0;
    listedEnds.clear();
    newestClock = 0;
    holdUntil = 0;
    leaseEndsAt = {};
    clockReadings.clear();
    if (!earlierLeaseEndsAt)
        leaseTimer.reset();
    isQuerying = false;
    // Starts that were sent to the earlier incarnation may still reach this one, which knows
    // neither the runs nor the fencing token. They are stopped here too, even if they were stopped
    // or answered in the earlier incarnation.
    for (const auto &[run, ordered] : runs) {
        if (ordered.start && ordered.inFlight)
            noteUnconfirmedStart(run);
    }
    runs.clear();
    paceWanted.clear();
    paceSet.clear();
    vanishedRuns.clear();
    for (const auto &[run, until] : unconfirmedStarts) {
        if (loop.now() > until)
            continue;
        ordered_run &late = runs[run];
        late.isStopping = true;
        late.mayTakeEffectLate = true;
        late.mayHaveStarted = true;
    }
    advanceAll();
    queryNow();
}

// The backend server may have restarted.
void run_agent::state::noteDoubt()
{
    isConfirmed = false;
    doubtedEvent = ++lastEvent;
}

// Returns the least that the clock of the known incarnation can show by now. That of a later
// incarnation, which starts anew, shows less. The clock may be slow, and both it and the time here
// are cut to whole milliseconds.
std::int64_t run_agent::state::earliestClock() const
{
    constexpr duration rounding = 1ms;
    if (newestClock == 0)
        return 0;
    const duration since = std::max<duration>(0ms, loop.now() - newestClockAt - rounding);
    return newestClock + scaled(since, 1 - options.clockError).count();
}

// The incarnation has answered this query. Returns whether that confirms an incarnation that was in
// doubt.
bool run_agent::state::confirmIncarnation(const sent_query &query)
{
    if (isConfirmed || query.sentEvent < doubtedEvent)
        return false;
    isConfirmed = true;
    return true;
}

void run_agent::onPlanner(epoch number)
{
    state &self = *m_state;
    self.isConnected = number != 0;
    if (number == 0)
        return;
    if (number > self.token) {
        self.token = number;
        self.ordersSeen = 0;
        self.ordersTaken = 0;
    }
    for (final_report &last : self.finalReports)
        last.isSent = false;
    self.check->askAgain(self.token);
    self.queryNow();
}

} // namespace goldcrest
