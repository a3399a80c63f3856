#include "goldcrest/run_agent.h"

#include "goldcrest/incarnation_check.h"
#include "goldcrest/log_fields.h"

#include <algorithm>
#include <set>
#include <utility>

namespace goldcrest {

namespace {

// A call without an answer may still take effect for this long after it was sent. The platform's
// longest delay is 12 s.
constexpr duration lateOrderLimit = 15s;

// An announcement whose sequence number is ahead of the last one by more than this, and by more
// than one for each `minAnnouncementInterval` since then, is not the backend server's own.
constexpr std::int64_t maxSequenceGap = 100;
constexpr duration minAnnouncementInterval = 100ms;

// Margin added to the time of a stop, for the delivery of the call and its answer.
constexpr duration stopSlack = 10ms;

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
    time_point retryAt{};

    // Returns whether a start is still to be sent.
    bool isPending() const { return start && isWanted && !isStarted && !isStopping && !refused; }
};

} // namespace

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
    void noteUnanswered();
    bool confirmIncarnation(time_point sentAt);
    void takeStarts(const worker_orders_message &orders);
    void takeStops(const worker_orders_message &orders);
    void refuseOpenStarts();
    void advanceAll();
    void advance(const run_id &run, ordered_run &ordered);
    void sendStart(const run_id &run, ordered_run &ordered);
    void sendStop(const run_id &run, ordered_run &ordered);
    void onStarted(const run_id &run, const result<start_reply> &reply);
    void noteUnconfirmedStart(const run_id &run);
    bool mayHaveStartedBefore(const run_id &run) const;
    bool isSettled(const ordered_run &ordered, time_point at) const;
    duration stopTimeOf(const ordered_run &ordered) const;
    void scheduleSettlement();
    void scheduleRetry();
    void applyPaces();
    void queryStatus(duration wait);
    void queryNow();
    void onStatus(const result<host_status> &outcome, time_point sentAt, std::int64_t ordersAtSend);
    void report(const host_status &status, time_point sentAt, std::int64_t ordersAtSend);
    worker_report_message makeReport() const;
    worker_report_message makeDepartureReport() const;
    void reportDeparture();
    bool sendDeparture();
    void forgetSettled(time_point sentAt);
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
    time_point unansweredAt{}; // last call without an answer of this incarnation
    time_point createdAt = loop.now();
    time_point announcedAt{};
    bool hasLeft = false;
    time_point lastAnswerAt{}; // of the backend server, or when its incarnation began
    time_point departureReportedAt{};
    // Ends that the backend server has listed and that may not be stored yet, by number.
    std::map<std::int64_t, ended_task> listedEnds;
    // The departure of the earlier incarnation. Each planner is told, since the one that was told
    // first may have been lost before it stored what follows from it.
    std::optional<worker_report_message> departure;
    epoch departureSentTo = 0;
    epoch token = 0;
    bool isConnected = false;
    std::int64_t ordersSeen = 0;
    std::int64_t holdUntil = 0;
    std::int64_t endsStored = 0;
    std::int64_t endsListed = 0;
    std::int64_t newestClock = 0;
    std::map<run_id, ordered_run> runs;
    std::map<run_id, time_point> unconfirmedStarts; // when each can no longer take effect
    std::map<run_id, std::int32_t> paceWanted;
    std::map<run_id, std::int32_t> paceSet; // runs that the backend server lists
    bool isQuerying = false;
    std::uint64_t queryNumber = 0;
    bool isReachable = false;
    timer_handle queryTimer;
    timer_handle retryTimer;
    timer_handle settlementTimer;
};

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
    m_state->send = nullptr;
}

const std::optional<host_announcement> &run_agent::backend() const
{
    return m_state->backend;
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
    // One that was delayed must not end a drain.
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
        departure = makeDepartureReport();
    departureSentTo = 0;
    backend = announcement;
    isConfirmed = true;
    announcedAt = loop.now();
    lastAnswerAt = loop.now();
    departureReportedAt = {};
    ++incarnationCount;
    hasLeft = false;
    endsStored = 0;
    endsListed = 0;
    listedEnds.clear();
    newestClock = 0;
    holdUntil = 0;
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
void run_agent::state::noteUnanswered()
{
    isConfirmed = false;
    unansweredAt = loop.now();
}

// The incarnation has answered a query that was sent at this time. Returns whether that confirms an
// incarnation that was in doubt.
bool run_agent::state::confirmIncarnation(time_point sentAt)
{
    if (isConfirmed || sentAt < unansweredAt)
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
    }
    self.check->askAgain(self.token);
    self.queryNow();
}

bool run_agent::onOrders(const worker_orders_message &orders)
{
    state &self = *m_state;
    if (orders.plannerEpoch != self.token || orders.sequence <= self.ordersSeen)
        return false;
    self.ordersSeen = orders.sequence;
    if (!self.backend || orders.incarnation != self.backend->incarnation())
        return true;
    self.holdUntil = std::max(self.holdUntil, orders.holdUntil);
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
    for (const start_order &order : orders.starts) {
        ordered_run &ordered = runs[order.run];
        ordered.isWanted = true;
        if (ordered.isStopping)
            continue;
        if (!ordered.start)
            ordered.start = order;
        if ((backend->draining || hasLeft) && !ordered.everSent)
            ordered.refused = start_refusal::Unhealthy;
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
    if (ordered.isPending() && isConfirmed)
        sendStart(run, ordered);
}

void run_agent::state::sendStart(const run_id &run, ordered_run &ordered)
{
    ordered.inFlight = true;
    ordered.everSent = true;
    ordered.mayTakeEffectLate = true;
    host.start(*ordered.start, token, holdUntil, backend->id,
               guarded([this, run](const result<start_reply> &reply) { onStarted(run, reply); }));
}

void run_agent::state::onStarted(const run_id &run, const result<start_reply> &reply)
{
    const auto found = runs.find(run);
    if (found == runs.end())
        return;
    ordered_run &ordered = found->second;
    ordered.inFlight = false;
    ordered.settledAt = loop.now();
    if (const failure *error = failureOf(reply)) {
        ordered.retryAt = loop.now() + options.retryPause;
        noteUnanswered();
        ordered.mayHaveStarted = true;
        noteUnconfirmedStart(run);
        log_line(log_level::Warning, "start unanswered, outcome unknown")
            .error(*error)
            .field("task", run.task)
            .field("run", run.number)
            .limit(worker)
            .write();
    } else if (const start_reply &answer = valueOf(reply); !answer.refused) {
        ordered.isStarted = true;
        ordered.mayHaveStarted = true;
        ordered.mayTakeEffectLate = false;
    } else if (answer.isFenced || answer.isOtherIncarnation) {
        // There is a newer planner or a newer incarnation, which is about to be announced.
        if (answer.isOtherIncarnation)
            noteUnanswered();
        ordered.mayTakeEffectLate = false;
        ordered.retryAt = loop.now() + options.retryPause;
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
        scheduleSettlement();
    }
    advanceAll();
    queryNow();
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
                  if (failureOf(reply)) {
                      stopped.retryAt = loop.now() + options.retryPause;
                      noteUnanswered();
                  } else {
                      stopped.isStopped = true;
                      stopped.mayTakeEffectLate = false;
                  }
                  scheduleSettlement();
                  advanceAll();
                  queryNow();
              }));
}

// Returns whether a run that was not ordered since may have started in this incarnation: it was
// listed, or a start of it may have taken effect late.
bool run_agent::state::mayHaveStartedBefore(const run_id &run) const
{
    const bool isYoung = loop.now() - createdAt < lateOrderLimit;
    return isYoung || paceSet.count(run) > 0 || unconfirmedStarts.count(run) > 0;
}

// Returns whether a status that was queried at this time shows the outcome of all calls for a run.
bool run_agent::state::isSettled(const ordered_run &ordered, time_point at) const
{
    if (ordered.inFlight || ordered.mayTakeEffectLate || ordered.isPending())
        return false;
    return at >= ordered.settledAt + stopTimeOf(ordered);
}

// Returns for how long after the last call a run may still be ended by a stop. A start that is
// refused as superseded may have been stopped by an earlier process of this agent.
duration run_agent::state::stopTimeOf(const ordered_run &ordered) const
{
    const bool mayBeStopping = (ordered.isStopped && ordered.mayHaveStarted)
        || ordered.refused == start_refusal::Superseded;
    return mayBeStopping ? scaled(options.stopTime, 1 + options.clockError) + stopSlack : 0ms;
}

// Queries the status as soon as it shows the outcome of the next stop.
void run_agent::state::scheduleSettlement()
{
    std::optional<time_point> next;
    for (const auto &[run, ordered] : runs) {
        const time_point at = ordered.settledAt + stopTimeOf(ordered);
        if (!ordered.inFlight && at > loop.now())
            next = std::min(next.value_or(at), at);
    }
    if (!next)
        return;
    settlementTimer = loop.after(*next - loop.now(), [this] {
        queryStatus(0ms);
        scheduleSettlement();
    });
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
    if (!backend || !isConnected)
        return;
    isQuerying = true;
    const std::uint64_t number = ++queryNumber;
    // Another incarnation would take the numbers and times of this one for its own.
    host.queryStatus(token, isConfirmed ? endsStored : 0, isConfirmed ? holdUntil : 0,
                     isConfirmed ? wait : 0ms, backend->id,
                     guarded([this, number, sentAt = loop.now(), sentToken = token,
                              orders = ordersSeen](const result<host_status> &status) {
                         if (number == queryNumber)
                             isQuerying = false;
                         // A query with an earlier planner's token proves nothing to the current
                         // planner.
                         if (sentToken == token)
                             onStatus(status, sentAt, orders);
                         else if (!isQuerying)
                             scheduleQuery(0ms);
                     }));
}

void run_agent::state::onStatus(const result<host_status> &outcome, time_point sentAt,
                                std::int64_t ordersAtSend)
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
        noteUnanswered();
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
    // Answers on different connections may arrive out of order, and another incarnation numbers its
    // ends differently.
    if (status.clock < newestClock || status.startedAtMs != backend->startedAtMs) {
        if (status.startedAtMs != backend->startedAtMs)
            noteUnanswered();
        if (!isQuerying)
            scheduleQuery(options.retryPause);
        return;
    }
    if (!isReachable)
        log_line(log_level::Info, "backend server reachable").field("worker", worker).write();
    isReachable = true;
    if (confirmIncarnation(sentAt))
        advanceAll();
    newestClock = status.clock;
    for (const ended_task &ended : status.ended)
        endsListed = std::max(endsListed, ended.number);
    report(status, sentAt, ordersAtSend);
    if (!isQuerying)
        scheduleQuery(endsListed > endsStored ? options.pauseForStoring : 0ms);
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
    if (send && send(makeDepartureReport()))
        departureReportedAt = loop.now();
}

// Returns whether the planner has been told of the earlier incarnation's departure, if there was
// one.
bool run_agent::state::sendDeparture()
{
    if (!departure || departureSentTo == token)
        return true;
    departure->plannerEpoch = token;
    if (!send || !send(*departure))
        return false;
    departureSentTo = token;
    return true;
}

void run_agent::state::report(const host_status &status, time_point sentAt,
                              std::int64_t ordersAtSend)
{
    worker_report_message message = makeReport();
    message.ordersSeen = ordersAtSend;
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
        if (!isSettled(ordered, sentAt))
            message.unresolved.push_back(run);
        else if (ordered.refused && listed.count(run) == 0)
            message.refused.push_back({run, *ordered.refused});
    }
    if (sendDeparture() && send && send(message))
        forgetSettled(sentAt);
}

void run_agent::state::forgetSettled(time_point sentAt)
{
    for (auto it = runs.begin(); it != runs.end();) {
        const bool isOver = isSettled(it->second, sentAt) && !it->second.isWanted;
        it = isOver ? runs.erase(it) : std::next(it);
    }
}

} // namespace goldcrest
