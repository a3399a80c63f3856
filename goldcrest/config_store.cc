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

// The age of a confirmation counts from the time at which its read was sent, so a slow reply is
// still useful while it is younger than configFreshnessLimit.
const call_options confirmOptions{call_priority::Urgent, 2500ms};
constexpr int maxReadsInFlight = 3;

const call_options publishOptions{call_priority::Urgent, 2s};

constexpr duration initialRewatchDelay = 100ms;
constexpr duration maxRewatchDelay = 2s;

// The document that the store held according to the latest reply or watch event.
struct known_document
{
    store_revision modRevision = 0; // 0: the key is absent
    revision number = 0;
    std::string writer;
};

// A publication whose outcome is not known yet.
struct publication
{
    configuration config;
    revision expected = 0; // the revision to replace
    std::string document; // JSON form of `config`
    time_point deadline{};
    bool isAmbiguous = false; // a write may have taken effect
    std::function<void(result<revision>)> callback;
    timer_handle retryTimer;
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
        , rewatchBackoff(initialRewatchDelay, maxRewatchDelay,
                         std::hash<std::string>{}(tokens.next()))
    { }

    using read_callback = std::function<void(bool answered)>;

    void read(read_callback then);
    void confirm();
    void onRead(const commit_reply &reply, const known_document &knownWhenSent, time_point sentAt);
    void applyEntry(const store_entry &entry, std::optional<time_point> sentAt);
    void startWatch(store_revision from);
    void onWatch(const watch_batch &batch);
    void sendWrite(const publication_ptr &pending);
    void onWriteReply(const publication_ptr &pending, const result<commit_reply> &outcome,
                      time_point sentAt);
    void resolve(const publication_ptr &pending);
    void resolveLater(const publication_ptr &pending);
    void onReadForPublication(const publication_ptr &pending, bool answered);
    void finish(const publication_ptr &pending, const result<revision> &outcome);
    revision currentNumber() const { return std::max(known.number, view.current().number); }

    // Wraps a callback so that it does not run after the owner is destroyed.
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
    std::optional<failure> documentError;
    known_document known;
    std::set<publication_ptr> publications; // those without an outcome
    bool isClosed = false;
    int readsInFlight = 0;
    timer_handle confirmTimer;
    std::unique_ptr<store_watch> watch;
    jittered_backoff rewatchBackoff;
    int watchFailures = 0;
    timer_handle rewatchTimer;
};

// Asks the store whether the known document is current. The reply carries the document if not.
void config_store::state::read(read_callback then)
{
    ++readsInFlight;
    const time_point sentAt = loop.now();
    store_transaction unchanged;
    unchanged.requireModRevision(configurationKey, known.modRevision);
    store.commit(std::move(unchanged), confirmOptions,
                 guarded([this, knownWhenSent = known, sentAt,
                          then = std::move(then)](const result<commit_reply> &outcome) {
                     --readsInFlight;
                     const bool answered = !failureOf(outcome);
                     if (answered)
                         onRead(valueOf(outcome), knownWhenSent, sentAt);
                     then(answered);
                 }));
}

void config_store::state::confirm()
{
    if (readsInFlight < maxReadsInFlight)
        read([](bool) {});
}

void config_store::state::onRead(const commit_reply &reply, const known_document &knownWhenSent,
                                 time_point sentAt)
{
    if (!watch && !rewatchTimer)
        startWatch(reply.at + 1);
    if (reply.applied) {
        if (knownWhenSent.modRevision != 0 && !documentError)
            view.confirm(knownWhenSent.number, loop.now() - sentAt, loop.now());
        return;
    }
    if (!reply.current.empty())
        return applyEntry(reply.current.front(), sentAt);
    // The key was removed. The view keeps its configuration, and the next publication creates the
    // key.
    if (known.modRevision == knownWhenSent.modRevision)
        known = {0, currentNumber(), {}};
}

// Updates the known document and the view from a reply to a request that was sent at `sentAt`, or
// from a watch event if `sentAt` is empty.
void config_store::state::applyEntry(const store_entry &entry, std::optional<time_point> sentAt)
{
    const bool isKnown = entry.modRevision <= known.modRevision;
    if (isKnown && (entry.modRevision < known.modRevision || !sentAt))
        return;
    result<configuration> parsed = parseConfiguration(entry.value);
    if (const failure *error = failureOf(parsed)) {
        // Uses the view's revision number, so that an operator can replace the unusable document.
        documentError = *error;
        known = {entry.modRevision, view.current().number, {}};
        return;
    }
    configuration &received = valueOf(parsed);
    const revision number = received.number;
    documentError.reset();
    known = {entry.modRevision, number, received.writer};
    if (number < view.current().number) {
        documentError
            = makeFailure(code::StaleConfiguration,
                          "the store holds a lower revision than the one in use", "revision");
        return;
    }
    const bool isNew = view.updateIfNewer(std::move(received));
    if (sentAt)
        view.confirm(number, loop.now() - *sentAt, loop.now());
    else
        confirm(); // a watch event does not show when its document was current
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
                applyEntry(event.entry, std::nullopt);
        }
        return;
    }
    ++watchFailures;
    // The handle owns this callback, so it is destroyed later. The read that follows opens a new
    // watch from the revision of its reply, so that no change is missed.
    rewatchTimer = loop.after(rewatchBackoff.delayOf(watchFailures), [this] {
        watch.reset();
        const timer_handle own = std::move(rewatchTimer);
        confirm();
    });
}

void config_store::state::sendWrite(const publication_ptr &pending)
{
    const time_point sentAt = loop.now();
    store_transaction replacement;
    replacement.requireModRevision(configurationKey, known.modRevision)
        .put(configurationKey, pending->document);
    store.commit(std::move(replacement), publishOptions,
                 guarded([this, pending, sentAt](const result<commit_reply> &outcome) {
                     onWriteReply(pending, outcome, sentAt);
                 }));
}

void config_store::state::onWriteReply(const publication_ptr &pending,
                                       const result<commit_reply> &outcome, time_point sentAt)
{
    if (const failure *error = failureOf(outcome)) {
        pending->isAmbiguous = pending->isAmbiguous || !wroteNothing(error->number);
        if (!pending->isAmbiguous)
            return finish(pending, *error);
        if (error->number == code::StoreAmbiguous)
            return resolve(pending);
        return resolveLater(pending); // a store that refuses each write answers at once
    }
    const commit_reply &reply = valueOf(outcome);
    if (!reply.applied) {
        if (reply.current.empty())
            known = {0, currentNumber(), {}}; // the key was removed
        else
            applyEntry(reply.current.front(), sentAt);
        return onReadForPublication(pending, true);
    }
    if (reply.at > known.modRevision) {
        known = {reply.at, pending->config.number, pending->config.writer};
        documentError.reset();
    }
    const bool isNew = view.updateIfNewer(pending->config);
    view.confirm(pending->config.number, loop.now() - sentAt, loop.now());
    if (isNew && changed)
        changed();
    finish(pending, pending->config.number);
}

// Reads the document to find the outcome of a publication. Repeats until the outcome is known or
// the deadline has passed.
void config_store::state::resolve(const publication_ptr &pending)
{
    if (loop.now() >= pending->deadline)
        return finish(pending,
                      makeFailure(code::StoreAmbiguous,
                                  "the store did not answer; check the current revision"));
    read([this, pending](bool answered) { onReadForPublication(pending, answered); });
}

void config_store::state::resolveLater(const publication_ptr &pending)
{
    constexpr duration retryDelay = 100ms;
    pending->retryTimer
        = loop.after(retryDelay, [this, weak = std::weak_ptr<publication>(pending)] {
              if (const publication_ptr waiting = weak.lock())
                  resolve(waiting);
          });
}

void config_store::state::onReadForPublication(const publication_ptr &pending, bool answered)
{
    if (!answered) {
        if (!pending->isAmbiguous)
            return finish(pending,
                          makeFailure(code::StoreUnavailable, "the store does not answer"));
        return resolveLater(pending); // a failed read may return immediately
    }
    if (known.writer == pending->config.writer)
        return finish(pending, pending->config.number);
    if (currentNumber() == pending->expected) {
        // Not stored yet. The condition on the key prevents repeated writes from taking effect
        // twice.
        if (loop.now() < pending->deadline)
            return sendWrite(pending);
        return finish(
            pending,
            makeFailure(pending->isAmbiguous ? code::StoreAmbiguous : code::StoreUnavailable,
                        "the store did not accept the document in time"));
    }
    // Each document replaces the one with the preceding number, so there is only one document per
    // number. A document with a higher number may be based on this publication.
    if (pending->isAmbiguous && currentNumber() > pending->config.number)
        return finish(
            pending,
            makeFailure(code::StoreAmbiguous,
                        "the reply to the write was lost, and a later revision is current"));
    finish(pending,
           makeFailure(code::RevisionConflict,
                       "the current revision is " + std::to_string(currentNumber()), "revision"));
}

void config_store::state::finish(const publication_ptr &pending, const result<revision> &outcome)
{
    publications.erase(pending);
    pending->callback(outcome);
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
    auto pending = std::make_shared<publication>();
    pending->config = std::move(next);
    pending->config.number = expected + 1;
    pending->config.writer = m_state->tokens.next();
    pending->expected = expected;
    pending->document = formatConfiguration(pending->config);
    pending->deadline = m_state->loop.now() + publishDeadline;
    pending->callback = std::move(callback);
    m_state->publications.insert(pending);
    // The first read learns the key's modification revision and rejects an outdated change without
    // a write.
    m_state->resolve(pending);
}

const std::optional<failure> &config_store::documentError() const
{
    return m_state->documentError;
}

} // namespace goldcrest
