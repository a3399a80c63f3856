#include "goldcrest/config_store.h"

#include "goldcrest/call_limits.h"
#include "goldcrest/catalogue_codec.h"
#include "goldcrest/job_record.h"
#include "goldcrest/writer_token.h"

#include <algorithm>
#include <set>
#include <utility>

namespace goldcrest {

namespace {

// A confirmation counts from the send time of its read, so a slow answer is still of use while it
// is younger than the freshness limit.
constexpr call_options confirmOptions{call_priority::Urgent, 2500ms};
constexpr int maxReadsInFlight = 3;

constexpr call_options publishOptions{call_priority::Urgent, 2s};

constexpr duration firstRewatchDelay = 100ms;
constexpr duration longestRewatchDelay = 2s;

// What the store held when it was last read.
struct known_document
{
    store_revision modRevision = 0; // 0: the key is absent
    revision number = 0;
    std::string writer;
};

// A publication whose outcome is not known yet.
struct publication
{
    configuration next;
    revision expected = 0;
    std::string document;
    time_point deadline{};
    bool isAmbiguous = false; // an attempt may have taken effect
    std::function<void(result<revision>)> callback;
    timer_handle pauseTimer;
};

using publication_ptr = std::shared_ptr<publication>;

} // namespace

struct config_store::state : std::enable_shared_from_this<config_store::state>
{
    state(platform_store &platformStore, event_loop &eventLoop, config_view &configView,
          std::string_view writer)
        : store(platformStore)
        , loop(eventLoop)
        , view(configView)
        , tokens(writer)
        , rewatchBackoff(firstRewatchDelay, longestRewatchDelay,
                         std::hash<std::string>{}(tokens.next()))
    { }

    using read_callback = std::function<void(bool answered)>;

    void read(read_callback then);
    void confirm();
    void onRead(const commit_reply &reply, const known_document &asked, time_point sentAt);
    void take(const store_entry &entry, std::optional<time_point> sentAt);
    void startWatch(store_revision from);
    void onWatch(const watch_batch &batch);
    void attempt(const publication_ptr &next);
    void onAttempt(const publication_ptr &next, const result<commit_reply> &outcome,
                   time_point sentAt);
    void resolve(const publication_ptr &next);
    void onReadForPublication(const publication_ptr &next, bool answered);
    void finish(const publication_ptr &next, const result<revision> &outcome);
    revision currentNumber() const { return std::max(known.number, view.current().number); }

    // Wraps a callback so that it does not run after the owner is gone.
    template<typename Callback>
    auto guarded(Callback callback)
    {
        return [weak = weak_from_this(), callback = std::move(callback)](auto outcome) {
            const std::shared_ptr<state> self = weak.lock();
            if (self && !self->isClosed)
                callback(std::move(outcome));
        };
    }

    platform_store &store;
    event_loop &loop;
    config_view &view;
    writer_tokens tokens;
    std::function<void()> changed;
    std::optional<failure> problem;
    known_document known;
    std::set<publication_ptr> publications; // without an outcome
    bool isClosed = false;
    int readsInFlight = 0;
    timer_handle confirmTimer;
    std::unique_ptr<store_watch> watch;
    jittered_backoff rewatchBackoff;
    int watchFailures = 0;
    timer_handle rewatchTimer;
};

// Reads the document if it differs from the known one.
void config_store::state::read(read_callback then)
{
    ++readsInFlight;
    const time_point sentAt = loop.now();
    store_transaction unchanged;
    unchanged.requireModRevision(configurationKey, known.modRevision);
    store.commit(std::move(unchanged), confirmOptions,
                 guarded([this, asked = known, sentAt,
                          then = std::move(then)](const result<commit_reply> &outcome) {
                     --readsInFlight;
                     const bool answered = !failureOf(outcome);
                     if (answered)
                         onRead(valueOf(outcome), asked, sentAt);
                     then(answered);
                 }));
}

void config_store::state::confirm()
{
    if (readsInFlight < maxReadsInFlight)
        read([](bool) {});
}

void config_store::state::onRead(const commit_reply &reply, const known_document &asked,
                                 time_point sentAt)
{
    if (!watch && !rewatchTimer)
        startWatch(reply.at + 1);
    if (reply.applied) {
        if (asked.modRevision != 0 && !problem)
            view.confirm(asked.number, loop.now() - sentAt, loop.now());
        return;
    }
    if (!reply.current.empty())
        return take(reply.current.front(), sentAt);
    // The key was removed. The view keeps its revision, and the next publication creates the key.
    if (known.modRevision == asked.modRevision)
        known = {0, currentNumber(), {}};
}

void config_store::state::take(const store_entry &entry, std::optional<time_point> sentAt)
{
    const bool isKnown = entry.modRevision <= known.modRevision;
    if (isKnown && (entry.modRevision < known.modRevision || !sentAt))
        return;
    result<configuration> parsed = parseConfiguration(entry.value);
    if (const failure *error = failureOf(parsed)) {
        // The number is that of the view, so that an operator can replace the document.
        problem = *error;
        known = {entry.modRevision, view.current().number, {}};
        return;
    }
    configuration &received = valueOf(parsed);
    const revision number = received.number;
    problem.reset();
    known = {entry.modRevision, number, received.writer};
    if (number < view.current().number) {
        problem = makeFailure(code::StaleConfiguration,
                              "the store holds a revision that was replaced before", "revision");
        return;
    }
    const bool isNew = view.offer(std::move(received));
    if (sentAt)
        view.confirm(number, loop.now() - *sentAt, loop.now());
    else
        confirm(); // the time at which a watched change was current is not known
    if (isNew && changed)
        changed();
}

void config_store::state::startWatch(store_revision from)
{
    rewatchTimer.reset();
    watch = store.watch(configurationKey, from,
                        guarded([this](const watch_batch &batch) { onWatch(batch); }));
}

void config_store::state::onWatch(const watch_batch &batch)
{
    if (!batch.broken) {
        watchFailures = 0;
        for (const watch_event &event : batch.events) {
            if (event.entry.key == configurationKey && !event.deleted)
                take(event.entry, std::nullopt);
        }
        return;
    }
    ++watchFailures;
    // The handle is destroyed later, since this callback belongs to it. The read that follows
    // opens a new watch from its own revision, so that no change is missed.
    rewatchTimer = loop.after(rewatchBackoff.delayOf(watchFailures), [this] {
        watch.reset();
        const timer_handle own = std::move(rewatchTimer);
        confirm();
    });
}

void config_store::state::attempt(const publication_ptr &next)
{
    const time_point sentAt = loop.now();
    store_transaction replacement;
    replacement.requireModRevision(configurationKey, known.modRevision)
        .put(configurationKey, next->document);
    store.commit(std::move(replacement), publishOptions,
                 guarded([this, next, sentAt](const result<commit_reply> &outcome) {
                     onAttempt(next, outcome, sentAt);
                 }));
}

void config_store::state::onAttempt(const publication_ptr &next,
                                    const result<commit_reply> &outcome, time_point sentAt)
{
    if (const failure *error = failureOf(outcome)) {
        next->isAmbiguous = next->isAmbiguous || error->number == code::StoreAmbiguous;
        if (next->isAmbiguous)
            return resolve(next);
        return finish(next, *error);
    }
    const commit_reply &reply = valueOf(outcome);
    if (!reply.applied) {
        if (reply.current.empty())
            known = {0, currentNumber(), {}}; // the key was removed
        else
            take(reply.current.front(), sentAt);
        return onReadForPublication(next, true);
    }
    if (reply.at > known.modRevision) {
        known = {reply.at, next->next.number, next->next.writer};
        problem.reset();
    }
    const bool isNew = view.offer(next->next);
    view.confirm(next->next.number, loop.now() - sentAt, loop.now());
    if (isNew && changed)
        changed();
    finish(next, next->next.number);
}

// Reads until the outcome is certain or the deadline has passed.
void config_store::state::resolve(const publication_ptr &next)
{
    if (loop.now() >= next->deadline)
        return finish(next,
                      makeFailure(code::StoreAmbiguous,
                                  "the store did not answer; read the current revision"));
    read([this, next](bool answered) { onReadForPublication(next, answered); });
}

void config_store::state::onReadForPublication(const publication_ptr &next, bool answered)
{
    if (!answered) {
        if (!next->isAmbiguous)
            return finish(next, makeFailure(code::StoreUnavailable, "the store does not answer"));
        constexpr duration pause = 100ms; // a failed read may return at once
        next->pauseTimer = loop.after(pause, [this, weak = std::weak_ptr<publication>(next)] {
            if (const publication_ptr waiting = weak.lock())
                resolve(waiting);
        });
        return;
    }
    if (known.writer == next->next.writer)
        return finish(next, next->next.number);
    if (currentNumber() == next->expected) {
        // Not stored yet. The condition on the key keeps it from taking effect twice.
        if (loop.now() < next->deadline)
            return attempt(next);
        return finish(next,
                      makeFailure(next->isAmbiguous ? code::StoreAmbiguous : code::StoreUnavailable,
                                  "the store did not take the document in time"));
    }
    // Each document replaces the one with the number before its own, so there is only one document
    // with a number. A higher number may be based on this publication.
    if (next->isAmbiguous && currentNumber() > next->next.number)
        return finish(next,
                      makeFailure(code::StoreAmbiguous,
                                  "the answer was lost, and a later revision is current"));
    finish(next,
           makeFailure(code::RevisionConflict,
                       "the current revision is " + std::to_string(currentNumber()), "revision"));
}

void config_store::state::finish(const publication_ptr &next, const result<revision> &outcome)
{
    publications.erase(next);
    next->callback(outcome);
}

config_store::config_store(platform_store &store, event_loop &loop, config_view &view,
                           std::string_view writer, std::function<void()> changed)
    : m_state(std::make_shared<state>(store, loop, view, writer))
{
    m_state->changed = std::move(changed);
}

config_store::~config_store()
{
    m_state->isClosed = true;
    m_state->watch.reset();
    m_state->confirmTimer.reset();
    m_state->publications.clear();
    m_state->rewatchTimer.reset();
}

void config_store::start()
{
    m_state->confirmTimer = m_state->loop.every(configConfirmInterval,
                                                [running = m_state.get()] { running->confirm(); });
    m_state->confirm();
}

void config_store::publish(configuration next, revision expected,
                           std::function<void(result<revision>)> callback)
{
    auto started = std::make_shared<publication>();
    started->next = std::move(next);
    started->next.number = expected + 1;
    started->next.writer = m_state->tokens.next();
    started->expected = expected;
    started->document = formatConfiguration(started->next);
    started->deadline = m_state->loop.now() + publishDeadline;
    started->callback = std::move(callback);
    m_state->publications.insert(started);
    // The read first gives the key's revision, and refuses a stale change without a write.
    m_state->resolve(started);
}

const std::optional<failure> &config_store::problem() const
{
    return m_state->problem;
}

} // namespace goldcrest
