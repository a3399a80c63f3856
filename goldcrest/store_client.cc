#include "goldcrest/store_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <deque>
#include <set>
#include <utility>

namespace goldcrest {

namespace {

constexpr std::size_t priorityCount = 3;

bool isTransient(code number)
{
    return number == code::StoreUnavailable || number == code::StoreAmbiguous
        || number == code::StoreOverBudget;
}

// Returns whether the store did not respond. An error from the service is a response; a failed
// exchange is not.
bool isNoResponse(code number)
{
    return number == code::StoreUnavailable || number == code::StoreAmbiguous;
}

// Returns whether applying the transaction again, or late, can't change anything.
bool isGuarded(const store_transaction &transaction)
{
    std::set<std::string_view> written;
    for (const store_transaction::write &change : transaction.writes)
        written.insert(change.key);
    return std::any_of(transaction.conditions.begin(), transaction.conditions.end(),
                       [&](const store_transaction::condition &condition) {
                           const bool changesWithWrite
                               = !condition.onCreateRevision || condition.expected == 0;
                           return changesWithWrite && written.count(condition.key) > 0;
                       });
}

// Returns the write whose value proves that the transaction took effect (the one with the longest
// value), or nullptr.
const store_transaction::write *proofOf(const store_transaction &transaction)
{
    const store_transaction::write *longest = nullptr;
    for (const store_transaction::write &change : transaction.writes) {
        if (change.value && !change.value->empty()
            && (!longest || change.value->size() > longest->value->size()))
            longest = &change;
    }
    return longest;
}

bool proves(const store_entry &entry, const store_transaction::write &change)
{
    return entry.key == change.key && entry.value == *change.value && entry.lease == change.lease;
}

// One call by a user of the client, with its retries.
class operation : public std::enable_shared_from_this<operation>
{
public:
    enum class kind { Read, Write };

    virtual ~operation() = default;

    // Sends the next attempt to the store.
    virtual void attempt(const call_options &options) = 0;

    // Ends the call.
    virtual void fail(const failure &error) = 0;

    call_priority priority = call_priority::Normal;
    time_point startedAt{};
    time_point deadline{};
    time_point attemptedAt{};
    duration wholeTime{}; // from the start, or from the last progress, to the deadline
    std::optional<transfer_limits> transfer;
    std::shared_ptr<call_progress> progress;
    std::size_t listedBefore = 0; // when the last attempt began
    timer_handle deadlineTimer;
    timer_handle retryTimer;
    failure lastError
        = makeFailure(code::StoreUnavailable, "the deadline passed before the first attempt");
    int failures = 0;
    bool isAmbiguous = false; // an attempt may have taken effect
    bool isInFlight = false;
    bool isQueued = false;
    bool isFailing = false; // its failure has been posted; no attempt may follow
    bool isEnded = false;
};

using operation_ptr = std::shared_ptr<operation>;

} // namespace

struct store_client::state : std::enable_shared_from_this<store_client::state>
{
    template<typename T>
    class call;
    class transaction_call;

    state(platform_store &innerStore, event_loop &eventLoop, const store_client_options &chosen)
        : inner(innerStore)
        , loop(eventLoop)
        , options(chosen)
        , budget(chosen.callsPerSecond, chosen.burst)
        , retries(chosen.retryShare, chosen.maxSavedRetries)
        , backoff(chosen.initialBackoff, chosen.maxBackoff, chosen.seed)
        , breaker(chosen.failuresToOpen, chosen.initialOpenTime, chosen.maxOpenTime)
    { }

    void start(const operation_ptr &next, const call_options &chosen);
    void setDeadlineTimer(const operation_ptr &next);
    void enqueue(const operation_ptr &next);
    bool makeQueueSpace(call_priority priority);
    void dispatchQueued();
    void run(const operation_ptr &next);
    void retry(const operation_ptr &failed);
    void extendAfterProgress(operation &failed) const;
    void enqueueAfter(const operation_ptr &waiting, duration delay);
    void end(const operation_ptr &ended);
    void failFast(const operation_ptr &refused);
    void failLater(const operation_ptr &refused, failure error);
    void deadlinePassed(const operation_ptr &late);

    duration timeoutOf(const operation &next, duration left) const;

    // Updates the breaker, lastContact() and the timeouts with the outcome of an attempt.
    void recordOutcome(const operation &ended, const failure *error);

    platform_store &inner;
    event_loop &loop;
    store_client_options options;
    call_budget budget;
    retry_budget retries;
    jittered_backoff backoff;
    circuit_breaker breaker;
    std::array<std::deque<operation_ptr>, priorityCount> queues;
    std::size_t queued = 0;
    std::set<operation_ptr> openCalls; // every call that has not ended
    std::optional<time_point> lastContactAt;
    duration recentResponseTime = 0ms; // rises at once, falls slowly
    store_client_counts counts;
    timer_handle dispatchTimer;
    bool isClosed = false;
};

// A call that returns a T and can be repeated without a check.
template<typename T>
class store_client::state::call : public operation
{
public:
    using sender = std::function<void(const call_options &, store_callback<T>)>;

    call(std::weak_ptr<state> owner, kind effect, sender send, store_callback<T> callback)
        : m_owner(std::move(owner))
        , m_effect(effect)
        , m_send(std::move(send))
        , m_callback(std::move(callback))
    { }

    void attempt(const call_options &options) override
    {
        m_send(options, [this, self = shared_from_this()](result<T> outcome) {
            const std::shared_ptr<state> owner = m_owner.lock();
            if (!owner || owner->isClosed || isEnded)
                return;
            isInFlight = false;
            owner->recordOutcome(*this, failureOf(outcome));
            onOutcome(*owner, std::move(outcome));
        });
    }

    // A failed read is never ambiguous; a write with unknown outcome is never reported as "did not
    // take effect".
    void fail(const failure &error) override
    {
        failure reported = error;
        if (m_effect == kind::Read && error.number == code::StoreAmbiguous)
            reported.number = code::StoreUnavailable;
        else if (m_effect == kind::Write && isAmbiguous)
            reported.number = code::StoreAmbiguous;
        finish(reported);
    }

protected:
    virtual void onOutcome(state &owner, result<T> outcome)
    {
        const failure *error = failureOf(outcome);
        if (!error || !isTransient(error->number))
            return finish(std::move(outcome));
        isAmbiguous = isAmbiguous || error->number == code::StoreAmbiguous;
        lastError = *error;
        owner.retry(shared_from_this());
    }

    void finish(result<T> outcome)
    {
        if (isEnded)
            return;
        const operation_ptr self = shared_from_this();
        if (const std::shared_ptr<state> owner = m_owner.lock())
            owner->end(self);
        m_callback(std::move(outcome));
    }

private:
    std::weak_ptr<state> m_owner;
    kind m_effect;
    sender m_send;
    store_callback<T> m_callback;
};

// A transaction. If its outcome is unknown, a written key is read back.
class store_client::state::transaction_call final : public call<commit_reply>
{
public:
    transaction_call(state &owner, store_transaction transaction,
                     store_callback<commit_reply> callback)
        : call(owner.weak_from_this(), kind::Write, nullptr, std::move(callback))
        , m_inner(owner.inner)
        , m_owner(owner.weak_from_this())
        , m_transaction(std::move(transaction))
        , m_isGuarded(isGuarded(m_transaction))
        , m_proof(proofOf(m_transaction))
    { }

    void attempt(const call_options &options) override
    {
        if (isAmbiguous && m_proof && !m_wasReadBack)
            return readBack(options);
        m_wasReadBack = false;
        ++m_attempts;
        m_inner.commit(m_transaction, options,
                       [this, self = shared_from_this()](result<commit_reply> outcome) {
                           const std::shared_ptr<state> owner = m_owner.lock();
                           if (!owner || owner->isClosed || isEnded)
                               return;
                           isInFlight = false;
                           owner->recordOutcome(*this, failureOf(outcome));
                           onOutcome(*owner, std::move(outcome));
                       });
    }

    // Also called at the deadline, so that a write with unknown outcome is never reported as "did
    // not take effect".
    void fail(const failure &error) override
    {
        failure reported = error;
        if (!m_firstError.empty())
            reported.reason
                += fmt::format(" ({} attempts to write, {} without an answer; the first: {})",
                               m_attempts, m_unanswered, m_firstError);
        if (!isAmbiguous)
            return finish(reported);
        countUnresolved();
        finish(makeFailure(code::StoreAmbiguous, reported.reason));
    }

private:
    void onOutcome(state &owner, result<commit_reply> outcome) override
    {
        if (const failure *error = failureOf(outcome)) {
            if (!isTransient(error->number))
                return fail(*error);
            m_unanswered += error->number == code::StoreAmbiguous ? 1 : 0;
            if (m_attempts == 1)
                m_firstError = error->reason;
            isAmbiguous = isAmbiguous || error->number == code::StoreAmbiguous;
            lastError = *error;
            if (isAmbiguous && !m_proof && !m_isGuarded)
                return fail(*error); // neither a proof nor a repetition is possible
            return owner.retry(shared_from_this());
        }
        const commit_reply &reply = valueOf(outcome);
        if (!isAmbiguous)
            return finish(std::move(outcome));
        if (reply.applied)
            return resolve(owner, reply);
        for (const store_entry &entry : reply.current) {
            if (m_proof && proves(entry, *m_proof))
                return resolve(owner, appliedAt(entry.modRevision));
        }
        fail(makeFailure(code::StoreAmbiguous,
                         "the answer was lost, and the keys have changed since"));
    }

    void readBack(const call_options &options)
    {
        using entry_option = std::optional<store_entry>;
        m_inner.get(m_proof->key, options,
                    [this, self = shared_from_this()](const result<entry_option> &outcome) {
                        const std::shared_ptr<state> owner = m_owner.lock();
                        if (!owner || owner->isClosed || isEnded)
                            return;
                        isInFlight = false;
                        owner->recordOutcome(*this, failureOf(outcome));
                        onReadBack(*owner, outcome);
                    });
    }

    void onReadBack(state &owner, const result<std::optional<store_entry>> &outcome)
    {
        if (const failure *error = failureOf(outcome)) {
            lastError = *error;
            return owner.retry(shared_from_this());
        }
        const std::optional<store_entry> &entry = valueOf(outcome);
        if (entry && proves(*entry, *m_proof))
            return resolve(owner, appliedAt(entry->modRevision));
        if (!m_isGuarded)
            return fail(
                makeFailure(code::StoreAmbiguous,
                            "the answer was lost, and the key does not have the written value"));
        m_wasReadBack = true;
        owner.retry(shared_from_this());
    }

    static commit_reply appliedAt(store_revision at)
    {
        commit_reply reply;
        reply.applied = true;
        reply.at = at;
        return reply;
    }

    void resolve(state &owner, commit_reply reply)
    {
        ++owner.counts.resolved;
        finish(std::move(reply));
    }

    void countUnresolved()
    {
        if (const std::shared_ptr<state> owner = m_owner.lock(); owner && !isEnded)
            ++owner->counts.unresolved;
    }

    platform_store &m_inner;
    std::weak_ptr<state> m_owner;
    store_transaction m_transaction;
    bool m_isGuarded;
    const store_transaction::write *m_proof;
    bool m_wasReadBack = false; // the next attempt may send the transaction again
    int m_attempts = 0; // to write, without reads
    int m_unanswered = 0; // of these, with an unknown outcome
    std::string m_firstError; // the errors of later attempts say nothing of the first one
};

void store_client::state::start(const operation_ptr &next, const call_options &chosen)
{
    next->priority = chosen.priority;
    next->startedAt = loop.now();
    next->wholeTime = chosen.deadline;
    next->deadline = next->startedAt + chosen.deadline;
    next->transfer = chosen.transfer;
    next->progress = chosen.progress ? chosen.progress : std::make_shared<call_progress>();
    openCalls.insert(next);
    if (!breaker.mayAllow(loop.now()))
        return failFast(next);
    retries.recordCall();
    setDeadlineTimer(next);
    if (!makeQueueSpace(next->priority)) {
        ++counts.overBudget;
        return failLater(
            next, makeFailure(code::StoreOverBudget, "too many calls are waiting for the budget"));
    }
    enqueue(next);
}

void store_client::state::setDeadlineTimer(const operation_ptr &next)
{
    next->deadlineTimer
        = loop.after(next->deadline - loop.now(), [this, weak = std::weak_ptr<operation>(next)] {
              if (const operation_ptr late = weak.lock())
                  deadlinePassed(late);
          });
}

void store_client::state::failFast(const operation_ptr &refused)
{
    ++counts.failedFast;
    failLater(refused,
              makeFailure(code::StoreUnavailable,
                          "the circuit breaker is open after consecutive store failures"));
}

// Fails a call from the event loop, because its callback must not run inside the call.
void store_client::state::failLater(const operation_ptr &refused, failure error)
{
    refused->isFailing = true;
    loop.post([weak = weak_from_this(), refused, error = std::move(error)] {
        const std::shared_ptr<state> owner = weak.lock();
        if (owner && !owner->isClosed && !refused->isEnded)
            refused->fail(error);
    });
}

// Returns whether a call may be queued. If the queue is full, drops the newest call of the lowest
// priority below this one.
bool store_client::state::makeQueueSpace(call_priority priority)
{
    if (queued < options.maxQueued)
        return true;
    for (std::size_t lower = priorityCount - 1; lower > static_cast<std::size_t>(priority);
         --lower) {
        std::deque<operation_ptr> &queue = queues[lower];
        if (queue.empty())
            continue;
        const operation_ptr evicted = queue.back();
        queue.pop_back();
        --queued;
        evicted->isQueued = false;
        if (!evicted->isEnded) {
            ++counts.overBudget;
            failLater(evicted,
                      makeFailure(code::StoreOverBudget,
                                  "dropped from the full queue for a call of higher priority"));
        }
        return true;
    }
    return false;
}

void store_client::state::enqueue(const operation_ptr &next)
{
    queues[static_cast<std::size_t>(next->priority)].push_back(next);
    next->isQueued = true;
    ++queued;
    dispatchQueued();
}

void store_client::state::dispatchQueued()
{
    for (std::size_t i = 0; i < priorityCount; ++i) {
        std::deque<operation_ptr> &queue = queues[i];
        while (!queue.empty()) {
            const operation_ptr next = queue.front();
            const bool isOver = next->isEnded || next->isFailing;
            if (!isOver && !budget.take(next->priority, loop.now())) {
                const duration wait = budget.waitOf(next->priority, loop.now());
                dispatchTimer
                    = loop.after(std::max(wait, duration(1)), [this] { dispatchQueued(); });
                return;
            }
            queue.pop_front();
            --queued;
            next->isQueued = false;
            if (!isOver)
                run(next);
        }
    }
}

void store_client::state::run(const operation_ptr &next)
{
    const time_point now = loop.now();
    if (!breaker.allows(now)) {
        // A call that has made an attempt may have an unknown outcome to resolve, so it keeps
        // waiting.
        if (next->failures == 0)
            return failFast(next);
        return enqueueAfter(next, backoff.delayOf(next->failures));
    }
    ++counts.attempts;
    next->isInFlight = true;
    const duration left = std::max(next->deadline - now, duration(1));
    next->attemptedAt = now;
    next->progress->firstDataAfter.reset();
    next->listedBefore = next->progress->listed.size();
    next->attempt(
        {next->priority, std::min(left, timeoutOf(*next, left)), next->transfer, next->progress});
}

duration store_client::state::timeoutOf(const operation &next, duration left) const
{
    // A slow store gets half of the time that is left, so that one retry still fits.
    const duration longest = std::max(options.attemptTimeout, left / 2);
    if (options.initialTimeout == 0ms)
        return longest;
    // Response times of one store vary by a factor of a few between calls.
    constexpr int responseTimeSpread = 5;
    constexpr int maxDoublings = 8;
    const duration quick = options.initialTimeout * (1 << std::min(next.failures, maxDoublings));
    return std::min(longest, std::max(quick, recentResponseTime * responseTimeSpread));
}

void store_client::state::retry(const operation_ptr &failed)
{
    ++failed->failures;
    extendAfterProgress(*failed);
    if (!retries.take())
        return failLater(failed, failed->lastError);
    ++counts.retries;
    enqueueAfter(failed, backoff.delayOf(failed->failures));
}

// A listing that has got further since its last attempt is not lost, and needs time for the rest.
void store_client::state::extendAfterProgress(operation &failed) const
{
    if (!failed.transfer || failed.progress->listed.size() <= failed.listedBefore)
        return;
    failed.failures = 1;
    failed.deadline = std::max(failed.deadline, loop.now() + failed.wholeTime);
}

void store_client::state::enqueueAfter(const operation_ptr &waiting, duration delay)
{
    if (loop.now() + delay >= waiting->deadline)
        return failLater(waiting, waiting->lastError);
    waiting->retryTimer = loop.after(delay, [this, weak = std::weak_ptr<operation>(waiting)] {
        const operation_ptr again = weak.lock();
        if (again && !again->isEnded)
            enqueue(again);
    });
}

void store_client::state::end(const operation_ptr &ended)
{
    ended->isEnded = true;
    ended->deadlineTimer.reset();
    ended->retryTimer.reset();
    openCalls.erase(ended);
    if (options.onEnd)
        options.onEnd(loop.now() - ended->startedAt);
}

void store_client::state::deadlinePassed(const operation_ptr &late)
{
    if (late->deadline > loop.now())
        return setDeadlineTimer(late); // it was extended
    // An attempt in flight times out now too, and its result is more specific.
    if (!late->isInFlight)
        failLater(late, late->lastError);
}

void store_client::state::recordOutcome(const operation &ended, const failure *error)
{
    if (!error || !isNoResponse(error->number)) {
        lastContactAt = loop.now();
        // Rises at once and falls over about ten responses. The time of a large answer says little
        // about the next one, so only the time until it began counts where it is known.
        const duration responseTime
            = ended.progress->firstDataAfter.value_or(loop.now() - ended.attemptedAt);
        recentResponseTime = std::max(responseTime, recentResponseTime * 9 / 10);
        breaker.succeeded();
        return;
    }
    const bool wasOpen = breaker.isOpen();
    breaker.failed(loop.now());
    if (breaker.isOpen() && !wasOpen)
        ++counts.breakerOpened;
}

store_client::store_client(platform_store &inner, event_loop &loop,
                           const store_client_options &options)
    : m_state(std::make_shared<state>(inner, loop, options))
{ }

store_client::~store_client()
{
    m_state->isClosed = true;
    m_state->dispatchTimer.reset();
    // Ended calls ignore responses that arrive later.
    const std::set<operation_ptr> openCalls = std::move(m_state->openCalls);
    m_state->openCalls.clear();
    for (const operation_ptr &call : openCalls)
        m_state->end(call);
}

std::optional<time_point> store_client::lastContact() const
{
    return m_state->lastContactAt;
}

bool store_client::isSuspended() const
{
    return m_state->breaker.isOpen();
}

const store_client_counts &store_client::counts() const
{
    return m_state->counts;
}

void store_client::get(std::string_view key, const call_options &options,
                       store_callback<std::optional<store_entry>> callback)
{
    using entry_option = std::optional<store_entry>;
    auto send = [&inner = m_state->inner, key = std::string(key)](
                    const call_options &limits, store_callback<entry_option> answer) {
        inner.get(key, limits, std::move(answer));
    };
    m_state->start(std::make_shared<state::call<entry_option>>(
                       m_state, operation::kind::Read, std::move(send), std::move(callback)),
                   options);
}

void store_client::list(std::string_view prefix, std::size_t limit, const call_options &options,
                        store_callback<std::vector<store_entry>> callback)
{
    using entries = std::vector<store_entry>;
    auto send = [&inner = m_state->inner, prefix = std::string(prefix),
                 limit](const call_options &limits, store_callback<entries> answer) {
        inner.list(prefix, limit, limits, std::move(answer));
    };
    m_state->start(std::make_shared<state::call<entries>>(m_state, operation::kind::Read,
                                                          std::move(send), std::move(callback)),
                   options);
}

void store_client::commit(store_transaction transaction, const call_options &options,
                          store_callback<commit_reply> callback)
{
    m_state->start(std::make_shared<state::transaction_call>(*m_state, std::move(transaction),
                                                             std::move(callback)),
                   options);
}

void store_client::grantLease(duration lifetime, const call_options &options,
                              store_callback<lease_id> callback)
{
    // A lease that was granted without a received answer expires unused, so another one may be
    // requested.
    auto send = [&inner = m_state->inner, lifetime](const call_options &limits,
                                                    store_callback<lease_id> answer) {
        inner.grantLease(lifetime, limits, std::move(answer));
    };
    m_state->start(std::make_shared<state::call<lease_id>>(m_state, operation::kind::Write,
                                                           std::move(send), std::move(callback)),
                   options);
}

void store_client::renewLease(lease_id lease, const call_options &options,
                              store_callback<duration> callback)
{
    auto send = [&inner = m_state->inner, lease](const call_options &limits,
                                                 store_callback<duration> answer) {
        inner.renewLease(lease, limits, std::move(answer));
    };
    m_state->start(std::make_shared<state::call<duration>>(m_state, operation::kind::Write,
                                                           std::move(send), std::move(callback)),
                   options);
}

void store_client::revokeLease(lease_id lease, const call_options &options,
                               store_callback<done> callback)
{
    auto send = [&inner = m_state->inner, lease](const call_options &limits,
                                                 store_callback<done> answer) {
        inner.revokeLease(lease, limits, std::move(answer));
    };
    m_state->start(std::make_shared<state::call<done>>(m_state, operation::kind::Write,
                                                       std::move(send), std::move(callback)),
                   options);
}

void store_client::changes(std::string_view prefix, store_revision after,
                           const call_options &options, store_callback<watch_batch> callback)
{
    auto send = [&inner = m_state->inner, prefix = std::string(prefix),
                 after](const call_options &limits, store_callback<watch_batch> answer) {
        inner.changes(prefix, after, limits, std::move(answer));
    };
    m_state->start(std::make_shared<state::call<watch_batch>>(m_state, operation::kind::Read,
                                                              std::move(send), std::move(callback)),
                   options);
}

std::unique_ptr<store_watch> store_client::watch(std::string_view prefix, store_revision from,
                                                 std::function<void(watch_batch)> callback)
{
    m_state->budget.force(m_state->loop.now());
    ++m_state->counts.attempts;
    return m_state->inner.watch(
        prefix, from,
        [weak = std::weak_ptr<state>(m_state), callback = std::move(callback)](watch_batch batch) {
            const std::shared_ptr<state> owner = weak.lock();
            if (!owner)
                return;
            if (!batch.broken)
                owner->lastContactAt = owner->loop.now();
            callback(std::move(batch));
        });
}

} // namespace goldcrest
