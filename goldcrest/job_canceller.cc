#include "goldcrest/job_canceller.h"

#include "goldcrest/call_limits.h"
#include "goldcrest/graph_job.h"
#include "goldcrest/log_fields.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace goldcrest {

namespace {

// The job may be stored or removed, and the lease may end, between two calls to the store.
constexpr int maxTries = 3;

constexpr double burstTime = 2; // in seconds of the rate of fences

bool contains(const commit_reply &reply, std::string_view key)
{
    return std::any_of(reply.current.begin(), reply.current.end(),
                       [&](const store_entry &entry) { return entry.key == key; });
}

} // namespace

struct job_canceller::state : std::enable_shared_from_this<job_canceller::state>
{
    state(event_loop &eventLoop, platform_store &platformStore, admission_fences &sharedFences,
          double fencesPerSecond)
        : loop(eventLoop)
        , store(platformStore)
        , fences(sharedFences)
        , fenceBudget(fencesPerSecond, fencesPerSecond * burstTime)
    { }

    struct cancellation
    {
        std::string id;
        duration callTime{};
        time_point end{};
        int tries = 0;
        std::function<void(const result<cancel_outcome> &)> callback;
    };
    using cancellation_ptr = std::shared_ptr<cancellation>;

    call_options boundOf(const cancellation &next) const
    {
        const duration left = std::max<duration>(1ms, next.end - loop.now());
        return {call_priority::Urgent, std::min(next.callTime, left)};
    }
    void readJob(const cancellation_ptr &next);
    void storeCancellation(const cancellation_ptr &next, store_revision created);
    void onStored(const cancellation_ptr &next, const result<commit_reply> &outcome);
    void requestLease(const cancellation_ptr &next);
    void storeFence(const cancellation_ptr &next, const fence_lease &lease);
    void onFenced(const cancellation_ptr &next, const fence_lease &lease,
                  const result<commit_reply> &outcome);
    void startAgain(const cancellation_ptr &next);

    event_loop &loop;
    platform_store &store;
    admission_fences &fences;
    call_budget fenceBudget;
};

job_canceller::job_canceller(event_loop &loop, platform_store &store, admission_fences &fences,
                             double fencesPerSecond)
    : m_state(std::make_shared<state>(loop, store, fences, fencesPerSecond))
{ }

job_canceller::~job_canceller() = default;

void job_canceller::cancel(const std::string &id, duration callTime,
                           std::function<void(const result<cancel_outcome> &)> callback)
{
    const auto next = std::make_shared<state::cancellation>();
    next->id = id;
    next->callTime = callTime;
    next->end = m_state->loop.now() + 2 * callTime;
    next->callback = std::move(callback);
    m_state->readJob(next);
}

void job_canceller::state::readJob(const cancellation_ptr &next)
{
    store.get(graphJobKey(next->id), boundOf(*next),
              [weak = weak_from_this(), next](const result<std::optional<store_entry>> &outcome) {
                  const std::shared_ptr<state> self = weak.lock();
                  if (!self)
                      return;
                  if (const failure *error = failureOf(outcome))
                      return next->callback(*error);
                  const std::optional<store_entry> &job = valueOf(outcome);
                  if (job)
                      self->storeCancellation(next, job->createRevision);
                  else
                      self->requestLease(next);
              });
}

void job_canceller::state::storeCancellation(const cancellation_ptr &next, store_revision created)
{
    const std::string key = graphCancelKey(next->id);
    store_transaction transaction;
    transaction.requireAbsent(key)
        .requireCreateRevision(graphJobKey(next->id), created)
        .put(key, next->id);
    store.commit(std::move(transaction), boundOf(*next),
                 [weak = weak_from_this(), next](const result<commit_reply> &outcome) {
                     if (const std::shared_ptr<state> self = weak.lock())
                         self->onStored(next, outcome);
                 });
}

void job_canceller::state::onStored(const cancellation_ptr &next,
                                    const result<commit_reply> &outcome)
{
    if (const failure *error = failureOf(outcome))
        return next->callback(writeFailure(*error));
    const commit_reply &reply = valueOf(outcome);
    if (!reply.applied && !contains(reply, graphCancelKey(next->id)))
        return startAgain(next); // the job has been removed since
    next->callback(cancel_outcome{true, reply.at});
}

void job_canceller::state::requestLease(const cancellation_ptr &next)
{
    if (!fenceBudget.take(call_priority::Urgent, loop.now()))
        return next->callback(
            makeFailure(code::StoreOverBudget, "too many cancellations of unknown jobs"));
    fences.withLease(
        boundOf(*next), [weak = weak_from_this(), next](const result<fence_lease> &lease) {
            const std::shared_ptr<state> self = weak.lock();
            if (!self)
                return;
            if (const failure *error = failureOf(lease))
                return next->callback(makeFailure(code::StoreUnavailable,
                                                  "no lease for the fence: " + error->reason));
            self->storeFence(next, valueOf(lease));
        });
}

void job_canceller::state::storeFence(const cancellation_ptr &next, const fence_lease &lease)
{
    store_transaction transaction;
    transaction.requireAbsent(graphJobKey(next->id))
        .put(graphFenceKey(next->id), fences.nextToken(fence_reason::Cancelled), lease.id);
    store.commit(std::move(transaction), boundOf(*next),
                 [weak = weak_from_this(), next, lease](const result<commit_reply> &outcome) {
                     if (const std::shared_ptr<state> self = weak.lock())
                         self->onFenced(next, lease, outcome);
                 });
}

void job_canceller::state::onFenced(const cancellation_ptr &next, const fence_lease &lease,
                                    const result<commit_reply> &outcome)
{
    if (const failure *error = failureOf(outcome)) {
        if (error->number != code::LeaseLost)
            return next->callback(writeFailure(*error));
        fences.forgetLease(lease.id);
        return startAgain(next);
    }
    const commit_reply &reply = valueOf(outcome);
    fences.noteRevision(reply.at);
    if (!reply.applied)
        return startAgain(next); // the job has been stored since
    if (!fences.isSafe(lease))
        return next->callback(makeFailure(
            code::OutcomeUnknown, "the fence took too long to hold off earlier submissions"));
    log_line(log_level::Info, "cancel of an unknown job")
        .atRevision(reply.at)
        .field("request", next->id)
        .limit("cancel of an unknown job")
        .write();
    next->callback(cancel_outcome{false, reply.at});
}

void job_canceller::state::startAgain(const cancellation_ptr &next)
{
    if (++next->tries < maxTries && loop.now() < next->end)
        return readJob(next);
    next->callback(makeFailure(code::OutcomeUnknown, "the job changes while it is cancelled"));
}

} // namespace goldcrest
