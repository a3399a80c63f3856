#include "goldcrest/planner_service.h"

#include "goldcrest/planner_service_state.h"

#include "goldcrest/job_record.h"
#include "goldcrest/log_fields.h"

#include <algorithm>
#include <utility>

namespace goldcrest {

namespace {

// An agent whose read takes longer is itself cut off from the store.
const call_options takeoverOptions{call_priority::Urgent, 400ms};
constexpr duration takeoverInterval = 200ms;
// A failed renewal proves nothing about the store if the planner has had fewer ticks since the last
// confirmed one.
constexpr int ticksToJudgeStore = 3;
// One agent that reaches the store is enough; the next request goes to other agents.
constexpr std::size_t maxAgentsPerTakeover = 3;

// Time limit for writing the last records before resigning.
constexpr duration resignLimit = 1s;

} // namespace

planner_service::planner_service(event_loop &loop, platform_store &store,
                                 const planner_service_options &options,
                                 std::function<unix_ms()> wall)
    : m_state(std::make_shared<state>(loop, store))
{
    m_state->options = options;
    m_state->wall = std::move(wall);
    m_state->random.seed(options.seed);
    m_state->learned
        = std::make_unique<learned_state_keeper>(store, leaderKey(options.cell), m_state->wall);
    state *self = m_state.get();
    m_state->role = std::make_unique<membership>(
        store, loop, options.cell, options.worker, options.address,
        membership_callbacks{[self](epoch number) { self->beginTerm(number); },
                             [self] { self->endTerm("the leader key was lost"); }},
        options.election);
}

planner_service::~planner_service()
{
    m_state->candidacyTimer.reset();
    m_state->endTerm("the process is shutting down");
    m_state->role.reset();
}

void planner_service::onNoLeader()
{
    state &self = *m_state;
    if (self.isResigning || self.candidacyTimer || self.role->isLeader())
        return;
    const auto range = static_cast<std::uint64_t>(self.options.maxCandidacyDelay.count());
    const duration delay(static_cast<duration::rep>(self.random() % (range + 1)));
    self.candidacyTimer = self.loop.after(delay, [this] {
        m_state->candidacyTimer.reset();
        if (!m_state->isResigning)
            m_state->role->campaign();
    });
}

bool planner_service::mayDial(const leader_record &leader, const store_entry &entry)
{
    state &self = *m_state;
    // Another candidate was elected first.
    self.candidacyTimer.reset();
    const bool isOwn = self.role->isLeader() || self.role->isCandidate();
    if (leader.address != self.options.address || isOwn)
        return true;
    self.removeLeaderKey(entry, [] {});
    return false;
}

// Removes a leader key and calls `then` if that succeeded. If it fails, the lease expires later.
void planner_service::state::removeLeaderKey(const store_entry &entry, std::function<void()> then)
{
    store_transaction removal;
    removal.requireModRevision(entry.key, entry.modRevision).remove(entry.key);
    store.commit(std::move(removal), commitOptions,
                 [removed = entry.createRevision,
                  then = std::move(then)](const result<commit_reply> &outcome) {
                     const failure *error = failureOf(outcome);
                     const bool isRemoved = !error && valueOf(outcome).applied;
                     log_line line(log_level::Info, "removal of the leader key of a lost planner");
                     line.atEpoch(removed).field("removed", isRemoved ? 1 : 0);
                     if (error)
                         line.error(*error);
                     line.write();
                     if (isRemoved)
                         then();
                 });
}

void planner_service::takeOver(epoch replacedEpoch, std::function<void()> then)
{
    m_state->store.get(leaderKey(m_state->options.cell), takeoverOptions,
                       [weak = std::weak_ptr<state>(m_state), replacedEpoch,
                        then = std::move(then)](const result<std::optional<store_entry>> &outcome) {
                           const std::shared_ptr<state> self = weak.lock();
                           if (!self)
                               return;
                           if (const failure *error = failureOf(outcome)) {
                               log_line(log_level::Info,
                                        "takeover failed: cannot read the leader key")
                                   .error(*error)
                                   .atEpoch(replacedEpoch)
                                   .limit("takeover")
                                   .write();
                               return;
                           }
                           const std::optional<store_entry> &entry = valueOf(outcome);
                           if (entry && entry->createRevision == replacedEpoch)
                               self->removeLeaderKey(*entry, then);
                       });
}

// Asks some agents to remove this planner's leader key while the store does not answer this
// process. If the store is down for all, the agents can't remove it and nothing changes.
void planner_service::state::requestTakeover()
{
    const time_point now = loop.now();
    const time_point confirmedAt = now - role->timeSinceRenewal(now);
    ticksUnconfirmed = confirmedAt == lastConfirmedAt ? ticksUnconfirmed + 1 : 0;
    lastConfirmedAt = confirmedAt;
    // Time without a confirmation counts only as far as this process was served meanwhile. A busy
    // planner gets its confirmations late, and a successor would be just as busy.
    const bool isCutOff = (role->storeUnresponsive() && ticksUnconfirmed >= ticksToJudgeStore)
        || ticksUnconfirmed * planInterval > options.takeoverAfter;
    if (!role->isLeader() || !isCutOff || now - takeoverRequestedAt < takeoverInterval)
        return;
    takeoverRequestedAt = now;
    log_line(log_level::Warning, "planner requests a takeover")
        .atEpoch(role->currentEpoch())
        .field("unconfirmed_ms", role->timeSinceRenewal(now).count())
        .limit("takeover")
        .write();
    auto next = agents.upper_bound(lastTakeoverAgent);
    for (std::size_t i = 0; i < std::min(agents.size(), maxAgentsPerTakeover); ++i, ++next) {
        if (next == agents.end())
            next = agents.begin();
        lastTakeoverAgent = next->first;
        // The agent of this process reaches the store no better than the planner.
        if (lastTakeoverAgent != options.worker)
            next->second.link->send(takeover_message{role->currentEpoch()});
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
        m_state->restoreLearnedState();
        if (m_state->maintenance)
            m_state->maintenance->setView(view);
        m_state->schedulePlan();
    }
}

void planner_service::setPlannerOptions(const run_planner_options &options)
{
    m_state->options.planner = options;
    if (m_state->planner)
        m_state->planner->setOptions(options);
}

void planner_service::setAdmission(bool isOn)
{
    m_state->options.admission = isOn;
}

void planner_service::setLearnedState(bool isOn)
{
    m_state->options.learnedState = isOn;
    if (isOn && m_state->planner && !m_state->learned->hasTerm())
        m_state->beginLearnedState();
}

const learned_state_counts &planner_service::learnedStateCounts() const
{
    return m_state->learned->counts();
}

void planner_service::resign(std::function<void()> then)
{
    state &self = *m_state;
    self.isResigning = true;
    if (!self.role->isLeader())
        return self.loop.post(std::move(then));
    self.planTimer.reset();
    self.writeLastLearnedState();
    const time_point limit = self.loop.now() + resignLimit;
    // Pending records are written first, so that the successor need not determine their state.
    self.resignOnceWritten(limit, then);
}

void planner_service::state::resignOnceWritten(time_point limit, const std::function<void()> &then)
{
    const bool isWritten = !planner || (!planner->hasChanges() && !learned->isWriting());
    if (!isWritten && loop.now() < limit && role->isLeader()) {
        retryTimer
            = loop.after(commitRetryPause, [this, limit, then] { resignOnceWritten(limit, then); });
        return;
    }
    endTerm("handed over");
    role->resign(then);
}

void planner_service::state::beginTerm(epoch number)
{
    ++term;
    log_line(log_level::Info, "planner elected").atEpoch(number).write();
    run_planner_options decisions = options.planner;
    decisions.predecessorLease = options.election.lifetime;
    planner = std::make_unique<run_planner>(decisions, number, loop.now());
    if (options.onRole)
        options.onRole(true);
    if (options.learnedState)
        beginLearnedState();
    loadRecords();
}

void planner_service::state::endTerm(std::string_view reason)
{
    if (!planner)
        return;
    ++term;
    log_line(log_level::Warning, "planner steps down").field("why", reason).write();
    isActive = false;
    isCommitting = false;
    singleCommits = 0;
    isAdvicePending = false;
    isPlanScheduled = false;
    nextPassAt = {};
    ticksUnconfirmed = 0;
    watch.reset();
    planDelayTimer.reset();
    planTimer.reset();
    retryTimer.reset();
    commitTimer.reset();
    expiryTimer.reset();
    addressTimer.reset();
    isStoringAddresses = false;
    maintenance.reset();
    planner.reset();
    learned->endTerm();
    revisions.clear();
    writers.clear();
    agents.clear();
    knownAgents.clear();
    outlookLinks.clear();
    detailLinks.clear();
    lastOutlook = {};
    lastDetail = {};
    outlookSentAt = {};
    lastWrittenAt = 0;
    // Agents and entries search for the successor once their links close.
    for (const std::shared_ptr<peer_link> &link : std::exchange(links, {}))
        link->close();
    if (options.onRole)
        options.onRole(false);
}

} // namespace goldcrest
