#include "goldcrest/planner_service.h"

#include "goldcrest/job_record.h"
#include "goldcrest/log_fields.h"
#include "goldcrest/text_prefix.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <utility>

namespace goldcrest {

namespace {

constexpr call_options loadOptions{call_priority::Urgent, 2s};
constexpr call_options commitOptions{call_priority::Urgent, 1500ms};

// An agent that takes longer is cut off itself.
constexpr call_options takeoverOptions{call_priority::Urgent, 400ms};
constexpr duration takeoverInterval = 200ms;
// One that reaches the store is enough; others are asked next.
constexpr std::size_t agentsAskedAtOnce = 3;

// Coalesces the events of one moment into one pass.
constexpr duration planDelay = 5ms;
// Leases end and occurrences fall due without an event.
constexpr duration planInterval = 100ms;
constexpr duration commitRetryPause = 50ms;
constexpr duration loadRetryPause = 100ms;
constexpr duration expiryInterval = 5s;
// Each expired job is three keys of one transaction, of which the platform takes 32.
constexpr std::size_t expiredPerCommit = 10;
// Bound of storing the last records when the role is given up.
constexpr duration resignLimit = 1s;

} // namespace

struct planner_service::state : std::enable_shared_from_this<planner_service::state>
{
    state(event_loop &eventLoop, platform_store &platformStore)
        : loop(eventLoop)
        , store(platformStore)
    { }

    void removeKey(const store_entry &entry, std::function<void()> then);
    void askForTakeover();
    void begin(epoch number);
    void end(std::string_view reason);
    void loadRecords();
    void loadIntake(std::map<std::string, job_progress> records);
    void onLoaded(const std::map<std::string, job_progress> &records,
                  const std::vector<store_entry> &entries);
    void watchIntake(store_revision from);
    void onIntake(const watch_batch &batch);
    void readIntakeAgain();
    void takeListing(const std::vector<store_entry> &entries,
                     const std::map<std::string, job_progress> &records);
    void takeEntry(const store_entry &entry, const std::map<std::string, job_progress> &records);
    void takeJob(std::string_view id, std::string_view value,
                 const std::map<std::string, job_progress> &records);
    void schedulePlan();
    void plan();
    void commit();
    void onCommitted(const result<commit_reply> &outcome,
                     const std::vector<stored_change> &changes);
    bool wasWritten(const commit_reply &reply, const std::vector<stored_change> &changes) const;
    void noteWritten(const std::vector<stored_change> &changes, store_revision at);
    void removeExpired();
    void onRemoved(const result<commit_reply> &outcome, const std::vector<std::string> &removed);
    void askAdvisor();
    void sendOrders();
    void sendOrdersTo(const worker_id &worker);
    void writeDecisions();
    void onMessage(const std::shared_ptr<peer_link> &link, const message &received);
    void onReport(const std::shared_ptr<peer_link> &link, const worker_report_message &report);
    void onQuery(const std::shared_ptr<peer_link> &link, const graph_query_message &query);
    void onTakeover(const takeover_message &takeover);
    void onIntakeMessage(const std::shared_ptr<peer_link> &link,
                         const graph_intake_message &intake);

    // Wraps a callback so that it runs only in the term in which it was made.
    template<typename Callback>
    auto guarded(Callback callback)
    {
        return [weak = weak_from_this(), made = term,
                callback = std::move(callback)](auto &&...arguments) {
            const std::shared_ptr<state> self = weak.lock();
            if (self && self->term == made)
                callback(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    // Runs `again` later if the role goes on.
    void retry(duration pause, void (state::*again)())
    {
        retryTimer = loop.after(pause, [this, again] { (this->*again)(); });
    }

    event_loop &loop;
    platform_store &store;
    planner_service_options options;
    std::function<unix_ms()> wall;
    std::unique_ptr<membership> role;

    std::mt19937_64 random;
    timer_handle candidacy;
    std::uint64_t term = 0;
    std::unique_ptr<run_planner> planner;
    bool isActive = false;
    bool isResigning = false;
    operator_view view;
    std::unique_ptr<store_watch> watch;
    std::map<std::string, store_revision> revisions; // of the records written or read
    std::map<std::string, std::string> writers; // of the write in progress
    std::uint64_t writeCount = 0;
    bool isCommitting = false;
    bool isAsking = false;
    bool isPlanScheduled = false;
    timer_handle planSoon;
    timer_handle planTimer;
    timer_handle retryTimer;
    timer_handle commitTimer;
    timer_handle expiryTimer;
    std::set<std::shared_ptr<peer_link>> links;
    std::map<worker_id, std::shared_ptr<peer_link>> agents;
    worker_id lastAsked; // for a takeover
    time_point takeoverAskedAt{};
};

// ---- role ----------------------------------------------------------------------------------

planner_service::planner_service(event_loop &loop, platform_store &store,
                                 const planner_service_options &options,
                                 std::function<unix_ms()> wall)
    : m_state(std::make_shared<state>(loop, store))
{
    m_state->options = options;
    m_state->wall = std::move(wall);
    m_state->random.seed(options.seed);
    state *self = m_state.get();
    m_state->role = std::make_unique<membership>(
        store, loop, options.cell, options.worker, options.address,
        membership_callbacks{[self](epoch number) { self->begin(number); },
                             [self] { self->end("the leader key was lost"); }},
        options.election);
}

planner_service::~planner_service()
{
    m_state->candidacy.reset();
    m_state->end("the process ends");
    m_state->role.reset();
}

void planner_service::onVacant()
{
    state &self = *m_state;
    if (self.isResigning || self.candidacy || self.role->isLeader())
        return;
    const auto range = static_cast<std::uint64_t>(self.options.longestCandidacyDelay.count());
    const duration delay(static_cast<duration::rep>(self.random() % (range + 1)));
    self.candidacy = self.loop.after(delay, [this] {
        m_state->candidacy.reset();
        if (!m_state->isResigning)
            m_state->role->campaign();
    });
}

bool planner_service::mayDial(const leader_record &leader, const store_entry &entry)
{
    state &self = *m_state;
    // Another candidate was faster.
    self.candidacy.reset();
    const bool isOwn = self.role->isLeader() || self.role->isCandidate();
    if (leader.address != self.options.address || isOwn)
        return true;
    self.removeKey(entry, [] {});
    return false;
}

// If it fails, the lease ends by itself.
void planner_service::state::removeKey(const store_entry &entry, std::function<void()> then)
{
    store_transaction removal;
    removal.requireModRevision(entry.key, entry.modRevision).remove(entry.key);
    store.commit(std::move(removal), commitOptions,
                 [removed = entry.createRevision,
                  then = std::move(then)](const result<commit_reply> &outcome) {
                     const failure *error = failureOf(outcome);
                     const bool isRemoved = !error && valueOf(outcome).applied;
                     log_line line(log_level::Info, "leader key of a lost planner removed");
                     line.atEpoch(removed).field("removed", isRemoved ? 1 : 0);
                     if (error)
                         line.error(*error);
                     line.write();
                     if (isRemoved)
                         then();
                 });
}

void planner_service::takeOver(epoch cutOff, std::function<void()> then)
{
    m_state->store.get(leaderKey(m_state->options.cell), takeoverOptions,
                       [weak = std::weak_ptr<state>(m_state), cutOff,
                        then = std::move(then)](const result<std::optional<store_entry>> &outcome) {
                           const std::shared_ptr<state> self = weak.lock();
                           const std::optional<store_entry> *entry
                               = std::get_if<std::optional<store_entry>>(&outcome);
                           if (self && entry && *entry && (*entry)->createRevision == cutOff)
                               self->removeKey(**entry, then);
                       });
}

// Asks some agents to remove this planner's key while the store does not answer it. They can't
// either if the store is down for all, and then nothing changes.
void planner_service::state::askForTakeover()
{
    const time_point now = loop.now();
    const bool isCutOff = role->storeSilent() || role->unconfirmedFor(now) > options.takeoverAfter;
    if (!role->isLeader() || !isCutOff || now - takeoverAskedAt < takeoverInterval)
        return;
    takeoverAskedAt = now;
    log_line(log_level::Warning, "planner asks for a takeover")
        .atEpoch(role->currentEpoch())
        .field("unconfirmed_ms", role->unconfirmedFor(now).count())
        .limit("takeover")
        .write();
    auto next = agents.upper_bound(lastAsked);
    for (std::size_t i = 0; i < std::min(agents.size(), agentsAskedAtOnce); ++i, ++next) {
        if (next == agents.end())
            next = agents.begin();
        lastAsked = next->first;
        // The agent of this process has the same store.
        if (lastAsked != options.worker)
            next->second->send(takeover_message{role->currentEpoch()});
    }
}

bool planner_service::isElected() const
{
    return m_state->role->isLeader();
}

bool planner_service::isActive() const
{
    return m_state->isActive;
}

epoch planner_service::currentEpoch() const
{
    return m_state->role->currentEpoch();
}

const run_planner *planner_service::planner() const
{
    return m_state->isActive ? m_state->planner.get() : nullptr;
}

void planner_service::setView(const operator_view &view)
{
    m_state->view = view;
    if (m_state->isActive) {
        m_state->planner->setView(view);
        m_state->schedulePlan();
    }
}

void planner_service::resign(std::function<void()> then)
{
    state &self = *m_state;
    self.isResigning = true;
    if (!self.role->isLeader())
        return self.loop.post(std::move(then));
    self.planTimer.reset();
    const time_point limit = self.loop.now() + resignLimit;
    // Records in progress are written first, so that the successor need not find them out.
    const auto step = std::make_shared<std::function<void()>>();
    *step = [this, limit, step, then = std::move(then)] {
        state &now = *m_state;
        const bool isWritten = !now.planner || !now.planner->hasChanges();
        if (!isWritten && now.loop.now() < limit && now.role->isLeader()) {
            now.retryTimer = now.loop.after(commitRetryPause, *step);
            return;
        }
        now.end("handed over");
        now.role->resign(then);
    };
    (*step)();
}

void planner_service::state::begin(epoch number)
{
    ++term;
    log_line(log_level::Info, "planner elected").atEpoch(number).write();
    run_planner_options decisions = options.planner;
    decisions.predecessorLease = options.election.lifetime;
    planner = std::make_unique<run_planner>(decisions, number, loop.now());
    if (options.onRole)
        options.onRole(true);
    loadRecords();
}

void planner_service::state::end(std::string_view reason)
{
    if (!planner)
        return;
    ++term;
    log_line(log_level::Warning, "planner steps down").field("why", reason).write();
    isActive = false;
    isCommitting = false;
    isAsking = false;
    isPlanScheduled = false;
    watch.reset();
    planSoon.reset();
    planTimer.reset();
    retryTimer.reset();
    commitTimer.reset();
    expiryTimer.reset();
    planner.reset();
    revisions.clear();
    writers.clear();
    agents.clear();
    // Agents and entries look for the successor once their links close.
    for (const std::shared_ptr<peer_link> &link : std::exchange(links, {}))
        link->close();
    if (options.onRole)
        options.onRole(false);
}

// ---- recovery ------------------------------------------------------------------------------

void planner_service::state::loadRecords()
{
    store.list(graphProgressPrefix, 0, loadOptions,
               guarded([this](const result<std::vector<store_entry>> &listed) {
                   if (const failure *error = failureOf(listed)) {
                       log_line(log_level::Warning, "records not read").error(*error).write();
                       return retry(loadRetryPause, &state::loadRecords);
                   }
                   std::map<std::string, job_progress> records;
                   for (const store_entry &entry : valueOf(listed)) {
                       revisions[entry.key] = entry.modRevision;
                       const std::string id = entry.key.substr(graphProgressPrefix.size());
                       result<job_progress> decoded = decodeJobProgress(entry.value);
                       if (const failure *error = failureOf(decoded))
                           log_line(log_level::Error, "record unreadable")
                               .error(*error)
                               .field("request", id)
                               .write();
                       else
                           records.emplace(id, std::move(valueOf(decoded)));
                   }
                   loadIntake(std::move(records));
               }));
}

void planner_service::state::loadIntake(std::map<std::string, job_progress> records)
{
    store.list(graphIntakePrefix, 0, loadOptions,
               guarded([this, records = std::move(records)](
                           const result<std::vector<store_entry>> &listed) {
                   if (const failure *error = failureOf(listed)) {
                       log_line(log_level::Warning, "jobs not read").error(*error).write();
                       return retry(loadRetryPause, &state::loadRecords);
                   }
                   onLoaded(records, valueOf(listed));
               }));
}

void planner_service::state::onLoaded(const std::map<std::string, job_progress> &records,
                                      const std::vector<store_entry> &entries)
{
    takeListing(entries, records);
    planner->setView(view);
    isActive = true;
    // Jobs that were stored after the election and before the listing appear twice.
    watchIntake(role->currentEpoch() + 1);
    planTimer = loop.every(planInterval, [this] {
        plan();
        askForTakeover();
    });
    expiryTimer = loop.every(expiryInterval, [this] { removeExpired(); });
    log_line(log_level::Info, "planner recovered")
        .atEpoch(role->currentEpoch())
        .field("jobs", static_cast<std::int64_t>(planner->jobCount()))
        .field("unfinished", static_cast<std::int64_t>(planner->unfinishedJobs()))
        .write();
    schedulePlan();
}

// ---- intake --------------------------------------------------------------------------------

void planner_service::state::watchIntake(store_revision from)
{
    watch = store.watch(graphIntakePrefix, from,
                        guarded([this](const watch_batch &batch) { onIntake(batch); }));
}

void planner_service::state::onIntake(const watch_batch &batch)
{
    if (batch.broken) {
        log_line(log_level::Warning, "job watch broken").limit("job watch").write();
        return retry(loadRetryPause, &state::readIntakeAgain);
    }
    // Events come in the order of their writes, and a job is stored before its cancel.
    for (const watch_event &event : batch.events) {
        if (!event.deleted)
            takeEntry(event.entry, {});
    }
    schedulePlan();
}

// The history that the watch needs is gone: the keys are listed, and the watch goes on from the
// newest of a write made before, since the pages of a listing are not a snapshot.
void planner_service::state::readIntakeAgain()
{
    watch.reset();
    store_transaction mark;
    mark.requireCreateRevision(leaderKey(options.cell), role->currentEpoch())
        .put("gc/mark", std::to_string(role->currentEpoch()) + ":" + std::to_string(++writeCount));
    store.commit(
        std::move(mark), commitOptions, guarded([this](const result<commit_reply> &marked) {
            if (failureOf(marked) || !valueOf(marked).applied)
                return retry(loadRetryPause, &state::readIntakeAgain);
            const store_revision from = valueOf(marked).at + 1;
            store.list(graphIntakePrefix, 0, loadOptions,
                       guarded([this, from](const result<std::vector<store_entry>> &listed) {
                           if (failureOf(listed))
                               return retry(loadRetryPause, &state::readIntakeAgain);
                           takeListing(valueOf(listed), {});
                           watchIntake(from);
                           schedulePlan();
                       }));
        }));
}

// A listing is in the order of keys, in which a cancel precedes its job, so jobs are taken first.
void planner_service::state::takeListing(const std::vector<store_entry> &entries,
                                         const std::map<std::string, job_progress> &records)
{
    const auto isJob
        = [](const store_entry &entry) { return startsWith(entry.key, graphJobKey({})); };
    for (const store_entry &entry : entries) {
        if (isJob(entry))
            takeEntry(entry, records);
    }
    for (const store_entry &entry : entries) {
        if (!isJob(entry))
            takeEntry(entry, records);
    }
}

void planner_service::state::takeEntry(const store_entry &entry,
                                       const std::map<std::string, job_progress> &records)
{
    const std::string jobPrefix = graphJobKey({});
    const std::string cancelPrefix = graphCancelKey({});
    if (startsWith(entry.key, jobPrefix))
        takeJob(entry.key.substr(jobPrefix.size()), entry.value, records);
    else if (startsWith(entry.key, cancelPrefix))
        planner->cancelJob(entry.key.substr(cancelPrefix.size()), wall());
}

void planner_service::state::takeJob(std::string_view id, std::string_view value,
                                     const std::map<std::string, job_progress> &records)
{
    const result<graph_job> job = decodeGraphJob(value);
    if (const failure *error = failureOf(job)) {
        log_line(log_level::Error, "job unreadable").error(*error).field("request", id).write();
        return;
    }
    const auto record = records.find(valueOf(job).id);
    planner->addJob(valueOf(job),
                    record == records.end() ? std::nullopt : std::optional(record->second), wall(),
                    loop.now());
}

// ---- planning ------------------------------------------------------------------------------

void planner_service::state::schedulePlan()
{
    if (isPlanScheduled || !isActive)
        return;
    isPlanScheduled = true;
    planSoon = loop.after(planDelay, [this] {
        isPlanScheduled = false;
        plan();
    });
}

void planner_service::state::plan()
{
    if (!isActive || isResigning)
        return;
    if (role->leaseHolds(loop.now()))
        planner->plan(wall(), loop.now());
    askAdvisor();
    writeDecisions();
    commit();
    sendOrders();
}

// One question at a time, as the service takes them.
void planner_service::state::askAdvisor()
{
    if (isAsking || !options.advisor)
        return;
    const std::optional<advice_question> question = planner->takeQuestion();
    if (!question)
        return;
    isAsking = true;
    options.advisor->advise(
        *question, guarded([this, asked = *question](const result<placement_advice> &advice) {
            isAsking = false;
            planner->onAdvice(asked, advice, loop.now());
            schedulePlan();
        }));
}

void planner_service::state::commit()
{
    if (isCommitting || !isActive || !planner->hasChanges())
        return;
    isCommitting = true;
    std::vector<stored_change> changes = planner->takeChanges(options.recordsPerCommit);
    store_transaction transaction;
    transaction.requireCreateRevision(leaderKey(options.cell), role->currentEpoch());
    writers.clear();
    for (stored_change &change : changes) {
        const std::string key = graphProgressKey(change.job);
        change.progress.writer
            = std::to_string(role->currentEpoch()) + ":" + std::to_string(++writeCount);
        writers[key] = change.progress.writer;
        const auto known = revisions.find(key);
        if (known == revisions.end())
            transaction.requireAbsent(key);
        else
            transaction.requireModRevision(key, known->second);
        transaction.put(key, encodeJobProgress(change.progress));
    }
    store.commit(std::move(transaction), commitOptions,
                 guarded([this, changes = std::move(changes)](const result<commit_reply> &outcome) {
                     isCommitting = false;
                     onCommitted(outcome, changes);
                 }));
}

void planner_service::state::onCommitted(const result<commit_reply> &outcome,
                                         const std::vector<stored_change> &changes)
{
    if (const failure *error = failureOf(outcome)) {
        log_line(log_level::Warning, "records not stored").error(*error).limit("commit").write();
        // The same conditions hold for the next try: if this write took effect after all, the next
        // one finds it.
        commitTimer = loop.after(commitRetryPause, [this] { commit(); });
        return;
    }
    const commit_reply &reply = valueOf(outcome);
    if (reply.applied) {
        noteWritten(changes, reply.at);
        return;
    }
    for (const store_entry &entry : reply.current) {
        if (entry.key == leaderKey(options.cell) || revisions[entry.key] == entry.modRevision)
            continue;
        const result<job_progress> stored = decodeJobProgress(entry.value);
        const std::string own = std::to_string(role->currentEpoch()) + ":";
        if (!failureOf(stored) && startsWith(valueOf(stored).writer, own)) {
            // An earlier write of this planner whose answer was lost.
            revisions[entry.key] = entry.modRevision;
            continue;
        }
        log_line(log_level::Error, "record written by another").field("key", entry.key).write();
    }
    const bool isLeader
        = std::any_of(reply.current.begin(), reply.current.end(), [this](const store_entry &entry) {
              return entry.key == leaderKey(options.cell)
                  && entry.createRevision == role->currentEpoch();
          });
    if (!isLeader) {
        log_line(log_level::Warning, "records refused: another planner leads").write();
        return role->resign([] {}), end("another planner leads");
    }
    commitTimer = loop.after(commitRetryPause, [this] { commit(); });
}

void planner_service::state::noteWritten(const std::vector<stored_change> &changes,
                                         store_revision at)
{
    for (const stored_change &change : changes)
        revisions[graphProgressKey(change.job)] = at;
    planner->onStored(changes);
    commit();
    sendOrders();
}

// A job stays known until its records are gone: a listing that still has it would run it again.
void planner_service::state::removeExpired()
{
    if (!isActive)
        return;
    std::vector<std::string> expired = planner->expiredJobs(wall(), expiredPerCommit);
    if (expired.empty())
        return;
    store_transaction removal;
    removal.requireCreateRevision(leaderKey(options.cell), role->currentEpoch());
    for (const std::string &id : expired) {
        removal.remove(graphJobKey(id));
        removal.remove(graphCancelKey(id));
        removal.remove(graphProgressKey(id));
    }
    store.commit(std::move(removal), {call_priority::Background, 2s},
                 guarded([this, expired = std::move(expired)](const result<commit_reply> &outcome) {
                     onRemoved(outcome, expired);
                 }));
}

void planner_service::state::onRemoved(const result<commit_reply> &outcome,
                                       const std::vector<std::string> &removed)
{
    const failure *error = failureOf(outcome);
    if (error || !valueOf(outcome).applied) {
        log_line line(log_level::Warning, "expired records not removed");
        if (error)
            line.error(*error);
        line.limit("expiry").write();
        return;
    }
    planner->forgetJobs(removed);
    for (const std::string &id : removed)
        revisions.erase(graphProgressKey(id));
    // There may be more than one transaction takes.
    if (removed.size() == expiredPerCommit)
        removeExpired();
}

void planner_service::state::writeDecisions()
{
    for (const run_decision &decision : planner->takeDecisions()) {
        if (options.onDecision)
            options.onDecision(decision.event);
        log_line line(log_level::Info, decision.event);
        line.atEpoch(role->currentEpoch());
        if (!decision.task.job.empty())
            line.field("request", decision.task.job);
        if (decision.run > 0)
            line.field("task", formatTask(decision.task)).field("run", decision.run);
        if (!decision.worker.empty())
            line.field("worker", decision.worker);
        if (!decision.reason.empty())
            line.field("why", decision.reason);
        if (!decision.inputs.empty())
            line.field("inputs", decision.inputs);
        line.write();
    }
}

// ---- links ---------------------------------------------------------------------------------

void planner_service::accept(std::shared_ptr<peer_link> link)
{
    state &self = *m_state;
    if (!self.role->isLeader() || self.isResigning) {
        link->close();
        return;
    }
    const std::weak_ptr<state> weak = m_state;
    const std::weak_ptr<peer_link> weakLink = link;
    link->onMessage([weak, weakLink](const message &received) {
        const std::shared_ptr<state> owner = weak.lock();
        const std::shared_ptr<peer_link> sender = weakLink.lock();
        if (owner && sender)
            owner->onMessage(sender, received);
    });
    link->onClose([weak, weakLink] {
        const std::shared_ptr<state> owner = weak.lock();
        const std::shared_ptr<peer_link> closed = weakLink.lock();
        if (!owner || !closed)
            return;
        for (auto it = owner->agents.begin(); it != owner->agents.end();)
            it = it->second == closed ? owner->agents.erase(it) : std::next(it);
        owner->links.erase(closed);
    });
    self.links.insert(std::move(link));
}

void planner_service::state::onMessage(const std::shared_ptr<peer_link> &link,
                                       const message &received)
{
    if (!isActive)
        return;
    if (const auto *report = std::get_if<worker_report_message>(&received))
        onReport(link, *report);
    else if (const auto *query = std::get_if<graph_query_message>(&received))
        onQuery(link, *query);
    else if (const auto *intake = std::get_if<graph_intake_message>(&received))
        onIntakeMessage(link, *intake);
    else if (const auto *takeover = std::get_if<takeover_message>(&received))
        onTakeover(*takeover);
}

void planner_service::state::onReport(const std::shared_ptr<peer_link> &link,
                                      const worker_report_message &report)
{
    // Without a certain lease nothing is granted: a successor may be counting on that.
    if (!role->leaseHolds(loop.now()) || !planner->onReport(report, wall(), loop.now()))
        return;
    agents[report.worker] = link;
    sendOrdersTo(report.worker);
    schedulePlan();
}

void planner_service::state::onQuery(const std::shared_ptr<peer_link> &link,
                                     const graph_query_message &query)
{
    // A planner that may have been replaced leaves the answer to the store.
    if (!role->leaseHolds(loop.now()))
        return;
    graph_reply_message reply;
    reply.query = query.query;
    if (query.job.empty()) {
        reply.isKnown = true;
        reply.waiting = planner->waitingIn(query.queue);
    } else if (const std::optional<graph_job_state> found = planner->stateOf(query.job)) {
        reply.isKnown = true;
        reply.state = static_cast<std::int32_t>(*found);
    }
    link->send(reply);
}

void planner_service::state::onTakeover(const takeover_message &takeover)
{
    if (takeover.plannerEpoch != role->currentEpoch())
        return;
    role->resign([] {});
    end("its key was removed on request");
}

void planner_service::state::onIntakeMessage(const std::shared_ptr<peer_link> &link,
                                             const graph_intake_message &intake)
{
    if (intake.accepted.empty())
        planner->cancelJob(intake.job, wall());
    else
        takeJob(intake.job, intake.accepted, {});
    schedulePlan();
    // The front takes a planner that does not answer for lost.
    link->send(graph_reply_message{});
}

void planner_service::state::sendOrders()
{
    for (const worker_id &worker : planner->takeNews())
        sendOrdersTo(worker);
}

void planner_service::state::sendOrdersTo(const worker_id &worker)
{
    const auto link = agents.find(worker);
    if (link == agents.end() || !role->leaseHolds(loop.now()))
        return;
    if (const auto orders = planner->ordersFor(worker, loop.now()))
        link->second->send(*orders);
}

} // namespace goldcrest
