#include "goldcrest/cell_planner.h"

#include "goldcrest/cell_planner_state.h"

#include <utility>

namespace goldcrest {

namespace {

// A disconnected entry is removed after this time, but only while the store confirms the
// configuration. Entry hosts may be replaced at any time.
constexpr duration entryRetention = 60s;

// A longer interval between two ticks means that this process was paused.
constexpr duration longestTickGap = 1s;

constexpr duration outageQueryInterval = 500ms;

} // namespace

cell_planner::cell_planner(planner_options options, std::unique_ptr<scheduler> engine,
                           std::unique_ptr<outage_policy> policy, time_point now)
    : m_options(std::move(options))
    , m_engine(std::move(engine))
    , m_policy(std::move(policy))
    , m_startedAt(now)
    , m_nextLoad(now)
{ }

cell_planner::~cell_planner() = default;

std::vector<planner_action> cell_planner::takeActions()
{
    return std::exchange(m_actions, {});
}

void cell_planner::send(link_id link, message content)
{
    if (link != 0)
        m_actions.emplace_back(send_message{link, std::move(content)});
}

void cell_planner::sendTo(const worker_id &worker, message content)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end())
        send(found->second->link, std::move(content));
}

std::int64_t cell_planner::unixNow(time_point now) const
{
    return m_options.startUnixMs + (now - m_startedAt).count();
}

void cell_planner::checkEpoch(epoch seen)
{
    if (seen <= m_options.number || m_steppedDown)
        return;
    m_steppedDown = true;
    m_actions.emplace_back(step_down{"an agent has seen a planner with a higher epoch"});
}

void cell_planner::leaseChanged(bool isLeaseValid, bool storeUnresponsive, time_point now)
{
    const bool wasUnresponsive = m_storeUnresponsive;
    m_isLeaseValid = isLeaseValid;
    m_storeUnresponsive = storeUnresponsive;
    if (wasUnresponsive && !storeUnresponsive)
        releaseParked(now);
    applyEngineActions(now);
}

void cell_planner::noteStoreAnswer(bool answered, time_point now)
{
    if (answered && m_storeUnresponsive)
        leaseChanged(m_isLeaseValid, false, now);
    if (!answered)
        m_storeUnresponsive = true;
}

bool cell_planner::mayStart(time_point now) const
{
    return !m_handingOver && m_loaded && isEntitled(now);
}

bool cell_planner::isEntitled(time_point now) const
{
    if (m_steppedDown || m_config.current().number == 0)
        return false;
    if (m_isLeaseValid && m_config.isFresh(now))
        return true;
    // The lease can't be renewed while the store does not answer. The outage policy then decides by
    // the entries' answers.
    return m_storeUnresponsive && m_policy->mayContinue(countAnswers(now));
}

entry_answers cell_planner::countAnswers(time_point now) const
{
    entry_answers answers;
    for (const auto &[name, entry] : m_entries) {
        ++answers.known;
        const bool recent
            = entry->answeredQuerySentAt && now - *entry->answeredQuerySentAt <= maxOutageReplyAge;
        if (entry->link == 0 || !recent)
            continue;
        ++answers.answered;
        if (entry->reachedStore)
            ++answers.reachedStore;
        if (entry->highestRevision > configRevision())
            ++answers.newerRevision;
    }
    return answers;
}

void cell_planner::queryEntries(time_point now)
{
    if (now < m_nextQuery || (m_isLeaseValid && m_config.isFresh(now)))
        return;
    m_nextQuery = now + outageQueryInterval;
    const std::optional<duration> age = m_config.confirmedAge(now);
    if (!age)
        return;
    for (auto &[name, entry] : m_entries) {
        if (entry->link == 0)
            continue;
        entry->query = ++m_query;
        entry->querySentAt = now;
        send(entry->link, outage_query_message{entry->query, *age});
    }
}

void cell_planner::handle(link_id link, const outage_reply_message &reply, time_point now)
{
    const auto found = m_entryLinks.find(link);
    if (found == m_entryLinks.end())
        return;
    entry_state &entry = *m_entries.at(found->second);
    if (reply.query != entry.query)
        return;
    entry.answeredQuerySentAt = entry.querySentAt;
    entry.reachedStore = reply.reachedStore;
    entry.highestRevision = reply.highestRevision;
    reviewPendingGangs(now);
}

void cell_planner::configurationOffered(const configuration &config, std::optional<duration> age,
                                        time_point now)
{
    const bool taken = m_config.updateIfNewer(config);
    if (age)
        m_config.confirm(config.number, *age, now);
    if (!taken)
        return;
    m_engine->applyConfiguration(m_config.current(), now);
    abortGangsOnUnusableWorkers(now);
    applyEngineActions(now);
    for (const auto &[link, name] : m_entryLinks)
        acknowledgeConfiguration(link);
}

void cell_planner::acknowledgeConfiguration(link_id link)
{
    if (!m_steppedDown)
        send(link, config_ack_message{m_options.cell, m_options.number, configRevision()});
}

void cell_planner::configurationConfirmed(revision number, duration age, time_point now)
{
    m_config.confirm(number, age, now);
    reviewPendingGangs(now);
    applyEngineActions(now);
}

void cell_planner::abortGangsOnUnusableWorkers(time_point now)
{
    const std::set<job_key> pendingGangs = m_pendingGangs;
    for (const job_key &key : pendingGangs) {
        planned_job *job = find(key);
        if (!job || !job->gang)
            continue;
        const gang_phase phase = job->gang->phase;
        const bool unstarted = phase == gang_phase::Waiting || phase == gang_phase::Holding
            || phase == gang_phase::WritingIntent;
        const std::vector<worker_id> workers = job->gang->workers();
        const bool hasUnusableWorker = std::any_of(
            workers.begin(), workers.end(), [&](const auto &worker) { return !isUsable(worker); });
        if (unstarted && hasUnusableWorker)
            abortGang(*job, now);
    }
}

bool cell_planner::isUsable(const worker_id &worker) const
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return false;
    const worker_state &state = *found->second;
    const configuration &config = m_config.current();
    return state.link != 0 && state.inventoryRead && !state.draining && state.backendReachable
        && !state.suspect && !state.lost && !awaitsRecovery(worker)
        && config.domainsOut.count(state.info.failureDomain) == 0
        && config.drainedWorkers.count(worker) == 0;
}

// Excludes time in which this process was paused from the time since the last contact with each
// worker, and from the time that recovery waits for inventories.
void cell_planner::compensateForPause(time_point now)
{
    const duration since = now - m_lastTick.value_or(now);
    m_lastTick = now;
    m_activeTime += std::min(since, longestTickGap);
    if (since <= longestTickGap)
        return;
    for (auto &[id, worker] : m_workers)
        worker->lastContactAt += since - longestTickGap;
    for (const job_key &key : m_recovering) {
        planned_job *job = find(key);
        if (job && job->gang)
            job->gang->phaseSince += since - longestTickGap;
    }
}

void cell_planner::tick(time_point now)
{
    if (m_steppedDown)
        return;
    compensateForPause(now);
    if (!m_loaded && now >= m_nextLoad) {
        constexpr duration loadTimeout = 10s;
        m_nextLoad = now + loadTimeout;
        m_actions.emplace_back(load_records{});
    }
    checkWorkers(now);
    expireDeadlines(now);
    queryEntries(now);
    reviewPendingGangs(now);
    releaseParked(now);
    const std::set<job_key> dirty = m_dirty;
    for (const job_key &key : dirty) {
        if (planned_job *job = find(key)) {
            syncRecord(*job, now);
            answerIfAllowed(*job, now);
        } else {
            m_dirty.erase(key);
        }
    }
    if (m_isLeaseValid && m_config.isFresh(now)) {
        for (auto entry = m_entries.begin(); entry != m_entries.end();) {
            const entry_state &state = *entry->second;
            const bool forgotten = state.link == 0 && now - state.closedAt >= entryRetention;
            entry = forgotten ? m_entries.erase(entry) : std::next(entry);
        }
    }
    if (m_loaded)
        m_engine->tick(now);
    applyEngineActions(now);
    flushUpdates(now);
}

void cell_planner::beginHandover(time_point now)
{
    m_handingOver = true;
    const std::set<job_key> pendingGangs = m_pendingGangs;
    for (const job_key &key : pendingGangs) {
        planned_job *job = find(key);
        if (!job || !job->gang)
            continue;
        const gang_phase phase = job->gang->phase;
        if (phase == gang_phase::Holding || phase == gang_phase::WritingIntent)
            abortGang(*job, now);
    }
    applyEngineActions(now);
}

bool cell_planner::isHandoverReady() const
{
    const bool starting
        = std::any_of(m_pendingGangs.begin(), m_pendingGangs.end(), [this](const job_key &key) {
              const auto found = m_jobs.find(key);
              return found != m_jobs.end() && found->second->gang
                  && found->second->gang->phase == gang_phase::Starting;
          });
    const bool writing = std::any_of(m_dirty.begin(), m_dirty.end(), [this](const job_key &key) {
        const auto found = m_jobs.find(key);
        return found != m_jobs.end() && found->second->outcome;
    });
    return !starting && !writing;
}

} // namespace goldcrest
