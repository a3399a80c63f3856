#include "goldcrest/planner_service.h"

#include "goldcrest/planner_service_state.h"

#include "goldcrest/job_record.h"
#include "goldcrest/log_fields.h"

#include <algorithm>
#include <utility>

namespace goldcrest {

namespace {

// An agent that takes longer is cut off itself.
constexpr call_options takeoverOptions{call_priority::Urgent, 400ms};
constexpr duration takeoverInterval = 200ms;
// One that reaches the store is enough; others are asked next.
constexpr std::size_t agentsAskedAtOnce = 3;

// Bound of storing the last records when the role is given up.
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
                           if (!self)
                               return;
                           if (const failure *error = failureOf(outcome)) {
                               log_line(log_level::Info, "takeover not possible here")
                                   .error(*error)
                                   .atEpoch(cutOff)
                                   .limit("takeover")
                                   .write();
                               return;
                           }
                           const std::optional<store_entry> &entry = valueOf(outcome);
                           if (entry && entry->createRevision == cutOff)
                               self->removeKey(*entry, then);
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

} // namespace goldcrest
