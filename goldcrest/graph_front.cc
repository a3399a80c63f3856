#include "goldcrest/graph_front.h"

#include "goldcrest/log_fields.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace goldcrest {

namespace {

// Translates the error of a store write to the one that callers get.
failure writeFailure(const failure &why)
{
    if (why.number == code::StoreAmbiguous)
        return makeFailure(code::OutcomeUnknown,
                           "no answer from the store; the write may have been applied");
    return why;
}

failure unreachable(const failure &why)
{
    return makeFailure(code::PlannerUnreachable,
                       "neither the planner nor the store answered: " + why.reason);
}

} // namespace

struct graph_front::state : std::enable_shared_from_this<graph_front::state>
{
    state(event_loop &eventLoop, platform_store &platformStore)
        : loop(eventLoop)
        , store(platformStore)
    { }

    struct pending_query
    {
        std::function<void(std::optional<graph_reply_message>)> callback;
        timer_handle timeout;
    };

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
    void storeCancel(const std::string &id, const call_options &bound,
                     std::function<void(result<done>)> callback);

    event_loop &loop;
    platform_store &store;
    graph_front_options options;
    std::function<bool(const message &)> send;
    operator_view view;
    bool isDraining = false;
    std::optional<time_point> plannerAnsweredAt; // a query
    std::uint64_t lastQuery = 0;
    std::map<std::uint64_t, pending_query> pendingQueries;
};

graph_front::graph_front(event_loop &loop, platform_store &store,
                         const graph_front_options &options,
                         std::function<bool(const message &)> send)
    : m_state(std::make_shared<state>(loop, store))
{
    m_state->options = options;
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
        && self.loop.now() - self.view.confirmedAt <= self.options.readyFreshness;
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
                         std::function<void(result<done>)> callback)
{
    state &self = *m_state;
    const std::size_t largest = largestProgressBytes(job);
    if (largest > self.options.maxRecordBytes)
        return callback(makeFailure(code::StoreValueTooLarge,
                                    fmt::format("the record of the job may need {} bytes, the "
                                                "limit is {}; submit fewer tasks in one job",
                                                largest, self.options.maxRecordBytes),
                                    "steps"));
    const std::string key = graphJobKey(job.id);
    graph_intake_message stored{job.id, encodeGraphJob(job)};
    store_transaction creation;
    creation.requireAbsent(key).put(key, stored.accepted);
    const auto logSubmission = [key = job_key{job.team, job.id}, queue = job.queue,
                                configuration = self.view.catalogue ? self.view.catalogue->at : 0,
                                age = self.loop.now() - self.view.confirmedAt](log_line line) {
        line.job(key)
            .field("queue", queue)
            .field("configuration", configuration)
            .field("configuration_age_ms", age.count())
            .write();
    };
    self.store.commit(std::move(creation), self.writeOptions(call_priority::Normal, timeLeft),
                      [self = m_state, logSubmission, stored = std::move(stored),
                       callback = std::move(callback)](const result<commit_reply> &outcome) {
                          if (const failure *error = failureOf(outcome)) {
                              logSubmission(
                                  log_line(log_level::Warning, "job not stored").error(*error));
                              return callback(writeFailure(*error));
                          }
                          // A job that was stored earlier may have ended and been deleted since.
                          if (valueOf(outcome).applied)
                              self->notifyPlanner(stored);
                          logSubmission(log_line(log_level::Info, "job accepted")
                                            .atRevision(valueOf(outcome).at)
                                            .field("repeated", valueOf(outcome).applied ? 0 : 1));
                          callback(done{});
                      });
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
        && *self.plannerAnsweredAt - self.view.confirmedAt >= self.options.plannerProof
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
    // Reads the job first: a cancellation of a job that never existed would stay in the store.
    const call_options bound = m_state->writeOptions(call_priority::Urgent, timeLeft);
    m_state->store.get(
        graphJobKey(id), bound,
        [self = m_state, id, bound,
         callback = std::move(callback)](const result<std::optional<store_entry>> &outcome) {
            if (const failure *error = failureOf(outcome))
                return callback(*error);
            if (!valueOf(outcome))
                return callback(makeFailure(code::UnknownRequest, "no job has this id"));
            self->storeCancel(id, bound, callback);
        });
}

void graph_front::state::storeCancel(const std::string &id, const call_options &bound,
                                     std::function<void(result<done>)> callback)
{
    const std::string key = graphCancelKey(id);
    store_transaction cancellation;
    cancellation.requireAbsent(key).put(key, id);
    store.commit(std::move(cancellation), bound,
                 [self = shared_from_this(), id,
                  callback = std::move(callback)](const result<commit_reply> &outcome) {
                     if (const failure *error = failureOf(outcome))
                         return callback(writeFailure(*error));
                     self->notifyPlanner({id, {}});
                     log_line(log_level::Info, "cancel accepted")
                         .atRevision(valueOf(outcome).at)
                         .field("request", id)
                         .write();
                     callback(done{});
                 });
}

} // namespace goldcrest
