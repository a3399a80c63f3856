#include "goldcrest/graph_front.h"

#include "goldcrest/admission_fences.h"
#include "goldcrest/job_canceller.h"
#include "goldcrest/log_fields.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace goldcrest {

namespace {

// A submission may find that its job was refused before, remove that fence, and find another one.
constexpr int maxStoreTries = 3;

// Retry-After of a job that was refused because of an earlier refusal.
constexpr std::chrono::seconds shortestRefusalPause{3};

// Most lines about refusals in 10 s.
constexpr std::int32_t refusalLines = 100;

// The planner is asked for outlooks if none has arrived for this long; it sends one each second.
constexpr duration outlookSilence = 1500ms;

// Number of jobs that this front remembers to have passed to the store. A caller gives up after 4
// tries, within some 10 s.
constexpr std::size_t maxPassedJobs = 4096;

// The ids of the last jobs that were added.
class recent_ids
{
public:
    bool contains(const std::string &id) const { return m_ids.count(id) > 0; }
    void insert(const std::string &id)
    {
        if (!m_ids.insert(id).second)
            return;
        m_order.push_back(id);
        if (m_order.size() > maxPassedJobs) {
            m_ids.erase(m_order.front());
            m_order.pop_front();
        }
    }
    void erase(const std::string &id)
    {
        if (m_ids.erase(id) > 0)
            m_order.erase(std::find(m_order.begin(), m_order.end(), id));
    }

private:
    std::set<std::string> m_ids;
    std::deque<std::string> m_order; // oldest first
};

// Returns the entry of a key that kept a transaction from being applied, or nullptr.
const store_entry *findEntry(const commit_reply &reply, std::string_view key)
{
    const auto found = std::find_if(reply.current.begin(), reply.current.end(),
                                    [&](const store_entry &entry) { return entry.key == key; });
    return found == reply.current.end() ? nullptr : &*found;
}

// Returns when the last read that showed the configuration was sent.
time_point lastContact(const operator_view &view)
{
    return std::max(view.confirmedAt, view.heardAt);
}

// Returns an error if the record of a job may become larger than the store accepts, or than the
// next planner reads.
std::optional<failure> checkRecordSize(const graph_job &job, std::size_t maxRecordBytes)
{
    const progress_size largest = largestProgress(job);
    const auto tooLarge = [](std::size_t size, std::string_view unit, std::size_t limit) {
        return makeFailure(code::StoreValueTooLarge,
                           fmt::format("the record of the job may need {} {}, the limit is {}; "
                                       "submit fewer tasks in one job",
                                       size, unit, limit),
                           "steps");
    };
    if (largest.bytes > maxRecordBytes)
        return tooLarge(largest.bytes, "bytes", maxRecordBytes);
    if (largest.items > maxProgressItems)
        return tooLarge(largest.items, "items", maxProgressItems);
    return std::nullopt;
}

failure unreachable(const failure &why)
{
    return makeFailure(code::PlannerUnreachable,
                       "neither the planner nor the store answered: " + why.reason);
}

} // namespace

struct graph_front::state : std::enable_shared_from_this<graph_front::state>
{
    state(event_loop &eventLoop, platform_store &platformStore, const graph_front_options &chosen)
        : loop(eventLoop)
        , store(platformStore)
        , options(chosen)
        , fences(eventLoop, platformStore, chosen.name)
        , canceller(eventLoop, platformStore, fences, chosen.cancelFencesPerSecond)
    { }

    struct pending_query
    {
        std::function<void(std::optional<graph_reply_message>)> callback;
        timer_handle timeout;
    };

    // A submission that is being handled.
    struct submission
    {
        graph_job job;
        graph_intake_message stored; // the job as it is stored
        time_point arrivedAt{};
        time_point end{}; // of the store calls for it
        revision configuration = 0;
        duration configurationAge = 0ms;
        admission_decision decision;
        int tries = 0; // writes of the job that were not applied
        bool requiredFence = false; // the last write required a fence to be present
        std::optional<fence_reason> seenFence; // of the last fence that kept the job out
        std::function<void(const submit_outcome &)> callback;

        void log(log_line line) const
        {
            line.job({job.team, job.id})
                .field("queue", job.queue)
                .field("configuration", configuration)
                .field("configuration_age_ms", configurationAge.count())
                .write();
        }
    };
    using submission_ptr = std::shared_ptr<submission>;

    // Returns the options of the next store write for a submission.
    call_options boundOf(const submission &next) const
    {
        return {call_priority::Normal, std::max<duration>(1ms, next.end - loop.now())};
    }
    void storeJob(const submission_ptr &next, const std::optional<store_entry> &fence);
    void onStoreAnswer(const submission_ptr &next, const result<commit_reply> &outcome);
    bool mayReplace(const submission &next, const store_entry &fence) const;
    static void accept(const submission_ptr &next, const commit_reply &reply, bool isRepeated);
    static void giveUp(const submission_ptr &next);
    void refuse(const submission_ptr &next);
    void onNoLease(const submission_ptr &next, const failure &error);
    void onRefusalAnswer(const submission_ptr &next, const fence_lease &lease,
                         const result<commit_reply> &outcome);
    void logRefusal(const submission &refused, store_revision at) const;

    // Returns the time by which a read for a caller with `timeLeft` must be answered.
    time_point readEnd(duration timeLeft) const
    {
        return loop.now() + std::min(options.readDeadline, scaled(timeLeft, options.readShare));
    }
    // Returns the options of a store read that must end by `end`.
    call_options readUntil(time_point end) const
    {
        return {call_priority::Normal, std::max<duration>(1ms, end - loop.now())};
    }
    call_options writeOptions(call_priority priority, duration timeLeft) const
    {
        return {priority, std::min(options.submitDeadline, scaled(timeLeft, options.submitShare))};
    }

    void queryPlanner(graph_query_message query, time_point end,
                      std::function<void(std::optional<graph_reply_message>)> callback);
    void finish(std::uint64_t query, const std::optional<graph_reply_message> &reply);
    void readState(const std::string &id, time_point end,
                   std::function<void(result<graph_job_state>)> callback);
    void readAcceptance(const std::string &id, time_point end,
                        std::function<void(result<graph_job_state>)> callback);
    void notifyPlanner(const graph_intake_message &stored);

    event_loop &loop;
    platform_store &store;
    graph_front_options options;
    std::function<bool(const message &)> send;
    admission_policy policy;
    admission_fences fences;
    job_canceller canceller;
    recent_ids passedToStore;
    operator_view view;
    bool isDraining = false;
    std::optional<time_point> plannerAnsweredAt; // a query
    std::uint64_t lastQuery = 0;
    std::map<std::uint64_t, pending_query> pendingQueries;
};

graph_front::graph_front(event_loop &loop, platform_store &store,
                         const graph_front_options &options,
                         std::function<bool(const message &)> send)
    : m_state(std::make_shared<state>(loop, store, options))
{
    m_state->send = std::move(send);
}

graph_front::~graph_front()
{
    m_state->pendingQueries.clear();
}

void graph_front::setView(const operator_view &view)
{
    m_state->view = view;
}

const operator_view &graph_front::view() const
{
    return m_state->view;
}

void graph_front::setKeyFreshness(duration keyFreshness)
{
    m_state->options.keyFreshness = keyFreshness;
}

void graph_front::drain()
{
    m_state->isDraining = true;
}

bool graph_front::isReady() const
{
    const state &self = *m_state;
    return !self.isDraining && self.view.catalogue
        && self.loop.now() - lastContact(self.view) <= self.options.readyFreshness;
}

result<admitted_request> graph_front::admit(std::string_view host, std::string_view path,
                                            std::string_view key) const
{
    const state &self = *m_state;
    if (!self.view.catalogue)
        return makeFailure(code::StaleConfiguration, "no configuration has been loaded yet");
    const queue_catalogue &catalogue = *self.view.catalogue;
    const bool isFresh = self.loop.now() - self.view.confirmedAt <= self.options.keyFreshness;
    const queue_entry *queue = findQueue(catalogue, host, path);
    // A stale configuration may lack a queue that was added since, so it can't prove that the
    // queue doesn't exist.
    if (!isFresh && (!queue || !queue->isPublic))
        return makeFailure(code::StaleConfiguration,
                           "the configuration is stale: it was confirmed too long ago");
    if (!queue)
        return makeFailure(code::NotFound, "no queue matches this host and path");
    admitted_request admitted;
    admitted.queue = queue;
    admitted.jobId = std::string(path.substr(queue->prefix.size()));
    const queue_team *team = findTeamOfKey(catalogue, key);
    if (!team && !queue->isPublic)
        return makeFailure(code::Unauthorized, "unknown API key");
    if (team)
        admitted.team = team->name;
    return admitted;
}

void graph_front::submit(const graph_job &job, duration timeLeft,
                         std::function<void(const submit_outcome &)> callback)
{
    state &self = *m_state;
    if (std::optional<failure> error = checkRecordSize(job, self.options.maxRecordBytes))
        return callback({*std::move(error)});
    const auto next = std::make_shared<state::submission>();
    next->job = job;
    next->stored = {job.id, encodeGraphJob(job)};
    next->arrivedAt = self.loop.now();
    next->end = next->arrivedAt + self.writeOptions(call_priority::Normal, timeLeft).deadline;
    next->configuration = self.view.catalogue ? self.view.catalogue->at : 0;
    next->configurationAge = self.loop.now() - self.view.confirmedAt;
    next->callback = std::move(callback);
    if (self.options.admission && !self.passedToStore.contains(job.id)) {
        const queue_team *team
            = self.view.catalogue ? findTeam(*self.view.catalogue, job.team) : nullptr;
        next->decision = self.policy.decide(job, team, self.loop.now());
    }
    if (next->decision.isRefused)
        return self.refuse(next);
    self.storeJob(next, {});
}

// Stores a job.
// @param fence of an earlier refusal, which the submission follows and removes
void graph_front::state::storeJob(const submission_ptr &next,
                                  const std::optional<store_entry> &fence)
{
    passedToStore.insert(next->job.id);
    const std::string key = graphJobKey(next->job.id);
    const std::string fenceKey = graphFenceKey(next->job.id);
    store_transaction creation;
    creation.requireAbsent(key).put(key, next->stored.accepted);
    if (fence)
        creation.requireModRevision(fenceKey, fence->modRevision).remove(fenceKey);
    else
        creation.requireAbsent(fenceKey);
    next->requiredFence = fence.has_value();
    store.commit(std::move(creation), boundOf(*next),
                 [self = shared_from_this(), next](const result<commit_reply> &outcome) {
                     self->onStoreAnswer(next, outcome);
                 });
}

void graph_front::state::onStoreAnswer(const submission_ptr &next,
                                       const result<commit_reply> &outcome)
{
    if (const failure *error = failureOf(outcome)) {
        next->log(log_line(log_level::Warning, "job not stored").error(*error));
        return next->callback({writeFailure(*error), {}});
    }
    const commit_reply &reply = valueOf(outcome);
    fences.noteRevision(reply.at);
    if (reply.applied) {
        notifyPlanner(next->stored);
        policy.noteAccepted(next->job);
        return accept(next, reply, false);
    }
    // A job that was stored earlier may have ended and been deleted since.
    if (findEntry(reply, graphJobKey(next->job.id)))
        return accept(next, reply, true);
    const store_entry *fence = findEntry(reply, graphFenceKey(next->job.id));
    if (++next->tries >= maxStoreTries || (!fence && !next->requiredFence))
        return giveUp(next);
    if (!fence)
        return storeJob(next, {}); // the fence has expired
    next->seenFence = admission_fences::reasonOf(fence->value);
    if (mayReplace(*next, *fence))
        return storeJob(next, *fence);
    refuse(next);
}

// Returns whether a submission was sent after its fence was written: certainly, or as far as
// callers don't cancel a job right after they have handed it in.
bool graph_front::state::mayReplace(const submission &next, const store_entry &fence) const
{
    if (fences.wasWrittenBefore(fence.modRevision, next.arrivedAt))
        return true;
    const bool isFirstWrite = next.tries == 1;
    return next.seenFence == fence_reason::Cancelled && isFirstWrite
        && fences.isPrompt(next.arrivedAt);
}

void graph_front::state::accept(const submission_ptr &next, const commit_reply &reply,
                                bool isRepeated)
{
    next->log(log_line(log_level::Info, "job accepted")
                  .atRevision(reply.at)
                  .field("repeated", isRepeated ? 1 : 0));
    next->callback({done{}, {}});
}

// The store has kept none of the writes, but can't be relied on not to hold the job.
void graph_front::state::giveUp(const submission_ptr &next)
{
    const failure error
        = makeFailure(code::OutcomeUnknown, "the store did not say why it kept no write");
    next->log(log_line(log_level::Warning, "job not stored").error(error));
    next->callback({error, {}});
}

// ---- refusals ------------------------------------------------------------------------------

// Refuses a job, unless it is stored already. The fence keeps earlier submissions of it, which the
// store may still carry out, from taking effect.
void graph_front::state::refuse(const submission_ptr &next)
{
    fences.withLease(
        boundOf(*next), [weak = weak_from_this(), next](const result<fence_lease> &lease) {
            const std::shared_ptr<state> self = weak.lock();
            if (!self)
                return;
            if (const failure *error = failureOf(lease))
                return self->onNoLease(next, *error);
            const std::string key = graphJobKey(next->job.id);
            store_transaction refusal;
            const fence_reason reason = next->seenFence.value_or(fence_reason::Refused);
            refusal.requireAbsent(key).put(graphFenceKey(next->job.id),
                                           self->fences.nextToken(reason), valueOf(lease).id);
            self->store.commit(
                std::move(refusal), self->boundOf(*next),
                [self, next, lease = valueOf(lease)](const result<commit_reply> &outcome) {
                    self->onRefusalAnswer(next, lease, outcome);
                });
        });
}

// Nothing was written. Without a fence nothing may be refused, so that the job is stored as if
// there were no admission control, unless a fence prevents that.
void graph_front::state::onNoLease(const submission_ptr &next, const failure &error)
{
    log_line(log_level::Warning, "no lease for a refusal").error(error).limit("lease").write();
    if (!next->seenFence)
        return storeJob(next, {});
    next->callback({makeFailure(code::StoreUnavailable,
                                "the job was refused before, and the store does not answer: "
                                    + error.reason)});
}

void graph_front::state::onRefusalAnswer(const submission_ptr &next, const fence_lease &lease,
                                         const result<commit_reply> &outcome)
{
    if (const failure *error = failureOf(outcome)) {
        if (error->number == code::LeaseLost) {
            fences.forgetLease(lease.id);
            return onNoLease(next, *error);
        }
        next->log(log_line(log_level::Warning, "refusal not stored").error(*error));
        return next->callback({writeFailure(*error), {}});
    }
    const commit_reply &reply = valueOf(outcome);
    fences.noteRevision(reply.at);
    if (!reply.applied) {
        if (findEntry(reply, graphJobKey(next->job.id)))
            return accept(next, reply, true);
        return giveUp(next);
    }
    if (!fences.isSafe(lease))
        return next->callback({makeFailure(
            code::OutcomeUnknown, "the refusal took too long to hold off earlier submissions")});
    // A later try must not count as one of a job that may be stored.
    passedToStore.erase(next->job.id);
    logRefusal(*next, reply.at);
    if (options.onRefused)
        options.onRefused(next->job.policy.priority);
    next->callback({makeFailure(code::NoTimelyCapacity,
                                "the job would start too late to be of use; it was not stored"),
                    std::max(next->decision.retryAfter, shortestRefusalPause)});
}

void graph_front::state::logRefusal(const submission &refused, store_revision at) const
{
    const admission_decision &decision = refused.decision;
    log_line(log_level::Info, "job refused")
        .job({refused.job.team, refused.job.id})
        .atRevision(at)
        .field("queue", refused.job.queue)
        .field("why", decision.isRefused ? decision.reason : "refused before")
        .field("expected_wait_ms", decision.expectedWait.count())
        .field("useful_wait_ms", decision.usefulWait.count())
        .field("gang_wait_ms", decision.gangWait.count())
        .field("own_work_ms", decision.ownWork.count())
        .field("outlook", decision.sequence)
        .field("outlook_age_ms", decision.outlookAge.count())
        .field("retry_after_s", decision.retryAfter.count())
        .limit("refused", refusalLines)
        .write();
}

void graph_front::setAdmission(bool isOn)
{
    m_state->options.admission = isOn;
}

void graph_front::onPlanner(epoch number)
{
    m_state->policy.setPlanner(number);
}

void graph_front::onOutlook(const admission_outlook_message &outlook)
{
    if (!m_state->policy.onOutlook(outlook, m_state->loop.now())) {
        log_line(log_level::Info, "admission outlook ignored")
            .atEpoch(outlook.plannerEpoch)
            .field("sequence", outlook.sequence)
            .limit("outlook")
            .write();
        return;
    }
    m_state->fences.noteRevision(outlook.storeRevision);
}

void graph_front::onDetail(const admission_detail_message &detail)
{
    m_state->policy.onDetail(detail);
}

bool graph_front::needsOutlook() const
{
    const std::optional<duration> age = outlookAge();
    return m_state->options.admission && (!age || *age > outlookSilence);
}

std::optional<duration> graph_front::outlookAge() const
{
    return m_state->policy.outlookAge(m_state->loop.now());
}

// The planner also watches the store, but may receive no watch events for seconds.
void graph_front::state::notifyPlanner(const graph_intake_message &stored)
{
    if (!send(stored))
        log_line(log_level::Info, "planner not notified: none connected")
            .field("request", stored.job)
            .write();
}

// ---- state ---------------------------------------------------------------------------------

void graph_front::state::queryPlanner(
    graph_query_message query, time_point end,
    std::function<void(std::optional<graph_reply_message>)> callback)
{
    query.query = ++lastQuery;
    if (!send(query))
        return callback(std::nullopt);
    pending_query &pending = pendingQueries[query.query];
    pending.callback = std::move(callback);
    pending.timeout = loop.after(std::min(options.queryTimeout, (end - loop.now()) / 2),
                                 [weak = weak_from_this(), number = query.query] {
                                     if (const std::shared_ptr<state> self = weak.lock())
                                         self->finish(number, std::nullopt);
                                 });
}

void graph_front::state::finish(std::uint64_t query,
                                const std::optional<graph_reply_message> &reply)
{
    const auto found = pendingQueries.find(query);
    if (found == pendingQueries.end())
        return;
    const pending_query answered = std::move(found->second);
    pendingQueries.erase(found);
    answered.callback(reply);
}

std::chrono::seconds graph_front::retryAfter() const
{
    const state &self = *m_state;
    const bool isLocal = self.plannerAnsweredAt
        && *self.plannerAnsweredAt - lastContact(self.view) >= self.options.plannerProof
        && self.loop.now() - *self.plannerAnsweredAt <= self.options.plannerProofLifetime;
    return isLocal ? std::chrono::seconds(0) : self.options.retryPause;
}

void graph_front::onReply(const graph_reply_message &reply)
{
    // The answer to a notification has no number, and proves nothing about the store.
    if (reply.query != 0)
        m_state->plannerAnsweredAt = m_state->loop.now();
    m_state->finish(reply.query, reply);
}

void graph_front::stateOf(const std::string &id, duration timeLeft,
                          std::function<void(result<graph_job_state>)> callback)
{
    graph_query_message query;
    query.job = id;
    const time_point end = m_state->readEnd(timeLeft);
    m_state->queryPlanner(query, end,
                          [self = m_state, id, end, callback = std::move(callback)](
                              const std::optional<graph_reply_message> &reply) {
                              // The planner may not know a job that was just accepted.
                              if (!reply || !reply->isKnown)
                                  return self->readState(id, end, callback);
                              callback(static_cast<graph_job_state>(reply->state));
                          });
}

void graph_front::state::readState(const std::string &id, time_point end,
                                   std::function<void(result<graph_job_state>)> callback)
{
    store.get(graphProgressKey(id), readUntil(end),
              [self = shared_from_this(), id, end,
               callback = std::move(callback)](const result<std::optional<store_entry>> &outcome) {
                  if (const failure *error = failureOf(outcome))
                      return callback(unreachable(*error));
                  const std::optional<store_entry> &entry = valueOf(outcome);
                  if (!entry)
                      return self->readAcceptance(id, end, callback);
                  const result<job_progress> progress = decodeJobProgress(entry->value);
                  if (const failure *error = failureOf(progress))
                      return callback(unreachable(*error));
                  callback(valueOf(progress).state);
              });
}

void graph_front::state::readAcceptance(const std::string &id, time_point end,
                                        std::function<void(result<graph_job_state>)> callback)
{
    store.get(graphJobKey(id), readUntil(end),
              [callback = std::move(callback)](const result<std::optional<store_entry>> &outcome) {
                  if (const failure *error = failureOf(outcome))
                      return callback(unreachable(*error));
                  if (!valueOf(outcome))
                      return callback(makeFailure(code::UnknownRequest, "no job has this id"));
                  callback(graph_job_state::Queued);
              });
}

void graph_front::waitingIn(const std::string &queue, duration timeLeft,
                            std::function<void(result<std::int64_t>)> callback)
{
    graph_query_message query;
    query.queue = queue;
    m_state->queryPlanner(
        query, m_state->readEnd(timeLeft),
        [callback = std::move(callback)](const std::optional<graph_reply_message> &reply) {
            if (!reply)
                return callback(
                    makeFailure(code::PlannerUnreachable, "the planner did not answer"));
            callback(reply->waiting);
        });
}

// ---- cancelling ----------------------------------------------------------------------------

void graph_front::cancel(const std::string &id, duration timeLeft,
                         std::function<void(result<done>)> callback)
{
    const call_options bound = m_state->writeOptions(call_priority::Urgent, timeLeft);
    m_state->canceller.cancel(
        id, bound.deadline,
        [self = m_state, id,
         callback = std::move(callback)](const result<cancel_outcome> &outcome) {
            if (const failure *error = failureOf(outcome))
                return callback(*error);
            const cancel_outcome &cancelled = valueOf(outcome);
            if (!cancelled.isKnown) {
                // A later submission is a new one, not a try of one that may be stored.
                self->passedToStore.erase(id);
                return callback(makeFailure(code::UnknownRequest, "no job has this id"));
            }
            self->notifyPlanner({id, {}});
            log_line(log_level::Info, "cancel accepted")
                .atRevision(cancelled.at)
                .field("request", id)
                .write();
            callback(done{});
        });
}

} // namespace goldcrest
