#include "goldcrest/config_publisher.h"

#include "goldcrest/catalogue_codec.h"
#include "goldcrest/job_record.h"

#include <algorithm>
#include <utility>

namespace goldcrest {

namespace {

constexpr duration firstRetryDelay = 50ms;
constexpr duration maxRetryDelay = 1s;

// An agent refuses a start that arrives after the lifetime of its hold, so a start that a planner
// sent just before it lost its role arrives within this time.
constexpr duration maxHoldLifetime = 1500ms;
constexpr std::size_t maxRememberedRevisions = 1000;

// Changes the configuration in place. Returns a failure, or std::nullopt if the result may be
// stored.
using config_edit = std::function<std::optional<failure>(configuration &)>;

// A change whose callback has not run yet.
struct open_change
{
    config_edit edit;
    std::optional<revision> ifMatch;
    bool canReapply = false; // the edit sets a state, so it also fits a later revision
    std::string token;
    time_point deadline;
    publish_callback callback;
    configuration proposed; // the configuration that is being written
    store_revision expectedModRevision = 0; // of the stored document; 0 if there is none
    bool mayBeStored = false; // the outcome of a write is unknown
    bool mayBeOverwritten = false; // may have been stored and then replaced by another change
    std::int32_t retries = 0;
    timer_handle timer;
};

using change_pointer = std::shared_ptr<open_change>;

bool hasSameContent(const configuration &a, const configuration &b)
{
    return a.domainsOut == b.domainsOut && a.drainedWorkers == b.drainedWorkers
        && formatCatalogue(a.entries) == formatCatalogue(b.entries);
}

bool hasDomain(const catalogue &entries, const std::string &failureDomain)
{
    return std::any_of(entries.cells.begin(), entries.cells.end(), [&](const auto &cell) {
        return cell.second.failureDomains.count(failureDomain) > 0;
    });
}

failure revisionConflict(revision current)
{
    return makeFailure(code::RevisionConflict, "the current revision is " + std::to_string(current),
                       "If-Match");
}

failure ambiguousReplacement(revision own, revision current)
{
    return makeFailure(code::StoreAmbiguous,
                       "the change may have been stored as revision " + std::to_string(own)
                           + " before the current revision " + std::to_string(current));
}

void setMember(std::set<std::string> &names, const std::string &name, bool present)
{
    if (present)
        names.insert(name);
    else
        names.erase(name);
}

} // namespace

class config_publisher::impl
{
public:
    impl(platform_store &store, event_loop &loop, publisher_options options)
        : m_store(store)
        , m_loop(loop)
        , m_options(std::move(options))
    { }

    void start(config_edit edit, std::optional<revision> ifMatch, bool canReapply,
               publish_callback callback);

    const publisher_options &options() const { return m_options; }
    std::size_t openChanges() const { return m_open; }

private:
    void read(const change_pointer &change);
    void onRead(const change_pointer &change, const std::optional<store_entry> &stored);
    void write(const change_pointer &change);
    void onWritten(const change_pointer &change, const result<commit_reply> &reply);
    void onConflict(const change_pointer &change, const commit_reply &reply);
    void retry(const change_pointer &change, const failure &error, bool readFirst);
    void finishUnapplied(const change_pointer &change, const failure &error, revision current);
    void finish(const change_pointer &change, result<configuration> outcome);
    call_options callOptions(const open_change &change) const;

    // Wraps a callback so that it does not run after this object is destroyed.
    template<typename F>
    auto guarded(F callback)
    {
        return [alive = std::weak_ptr<bool>(m_alive),
                callback = std::move(callback)](const auto &argument) {
            if (!alive.expired())
                callback(argument);
        };
    }

    platform_store &m_store;
    event_loop &m_loop;
    publisher_options m_options;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::size_t m_open = 0;
    std::uint64_t m_lastToken = 0;
};

void config_publisher::impl::start(config_edit edit, std::optional<revision> ifMatch,
                                   bool canReapply, publish_callback callback)
{
    auto change = std::make_shared<open_change>();
    change->edit = std::move(edit);
    change->ifMatch = ifMatch;
    change->canReapply = canReapply && !ifMatch;
    change->token = m_options.name + "/" + std::to_string(++m_lastToken);
    change->deadline = m_loop.now() + m_options.changeTimeout;
    change->callback = std::move(callback);
    ++m_open;
    read(change);
}

call_options config_publisher::impl::callOptions(const open_change &change) const
{
    call_options options;
    options.priority = call_priority::Urgent;
    const duration left = change.deadline - m_loop.now();
    options.deadline = std::clamp<duration>(left, 100ms, m_options.storeCallDeadline);
    return options;
}

void config_publisher::impl::read(const change_pointer &change)
{
    m_store.get(configurationKey, callOptions(*change),
                guarded([this, change](const result<std::optional<store_entry>> &stored) {
                    if (const failure *error = failureOf(stored))
                        return retry(change, *error, true);
                    onRead(change, valueOf(stored));
                }));
}

void config_publisher::impl::onRead(const change_pointer &change,
                                    const std::optional<store_entry> &stored)
{
    configuration current;
    change->expectedModRevision = 0;
    if (stored) {
        result<configuration> parsed = parseConfiguration(stored->value);
        if (const failure *error = failureOf(parsed))
            return finishUnapplied(change, *error, 0);
        current = std::move(valueOf(parsed));
        change->expectedModRevision = stored->modRevision;
        if (m_options.onConfigurationSeen)
            m_options.onConfigurationSeen(current);
    }
    if (change->ifMatch && *change->ifMatch != current.number)
        return finish(change, revisionConflict(current.number));
    configuration proposed = current;
    if (const std::optional<failure> error = change->edit(proposed))
        return finishUnapplied(change, *error, current.number);
    if (current.number > 0 && hasSameContent(current, proposed))
        return finish(change, std::move(current));
    // Applying the change again could undo a later change.
    if (change->mayBeOverwritten)
        return finish(change, ambiguousReplacement(change->proposed.number, current.number));
    proposed.number = current.number + 1;
    proposed.writer = change->token;
    change->proposed = std::move(proposed);
    write(change);
}

void config_publisher::impl::write(const change_pointer &change)
{
    store_transaction transaction;
    transaction.requireModRevision(configurationKey, change->expectedModRevision);
    transaction.put(configurationKey, formatConfiguration(change->proposed));
    m_store.commit(
        std::move(transaction), callOptions(*change),
        guarded([this, change](const result<commit_reply> &reply) { onWritten(change, reply); }));
}

void config_publisher::impl::onWritten(const change_pointer &change,
                                       const result<commit_reply> &reply)
{
    if (const failure *error = failureOf(reply)) {
        if (!wroteNothing(error->number))
            change->mayBeStored = true;
        const bool isOpen = change->mayBeStored || change->mayBeOverwritten;
        if (error->number == code::StoreValueTooLarge && !isOpen)
            return finish(change, *error);
        // Repeating the same write is safe, since its condition can hold only once.
        return retry(change, *error, false);
    }
    if (!valueOf(reply).applied)
        return onConflict(change, valueOf(reply));
    if (m_options.onConfigurationSeen)
        m_options.onConfigurationSeen(change->proposed);
    finish(change, change->proposed);
}

void config_publisher::impl::onConflict(const change_pointer &change, const commit_reply &reply)
{
    revision current = 0;
    for (const store_entry &entry : reply.current) {
        const result<configuration> parsed = parseConfiguration(entry.value);
        if (entry.key != configurationKey || failureOf(parsed) != nullptr)
            continue;
        current = valueOf(parsed).number;
        if (m_options.onConfigurationSeen)
            m_options.onConfigurationSeen(valueOf(parsed));
        if (valueOf(parsed).writer == change->token)
            return finish(change, change->proposed);
    }
    // Only one document per number is stored in place of its predecessor. Any other number, or no
    // document that can be parsed, leaves open whether this change was stored in between.
    const bool replaced = change->mayBeStored && current != change->proposed.number;
    // Earlier writes can't take effect any more: the modification revision in their condition is
    // outdated.
    change->mayBeStored = false;
    change->mayBeOverwritten = change->mayBeOverwritten || replaced;
    if (change->canReapply)
        return read(change);
    if (replaced)
        return finish(change, ambiguousReplacement(change->proposed.number, current));
    finish(change, revisionConflict(current));
}

void config_publisher::impl::retry(const change_pointer &change, const failure &error,
                                   bool readFirst)
{
    const duration delay
        = std::min(maxRetryDelay, firstRetryDelay * (1 << std::min(change->retries++, 6)));
    if (m_loop.now() + delay >= change->deadline)
        return finish(
            change,
            change->mayBeStored || change->mayBeOverwritten
                ? makeFailure(code::StoreAmbiguous,
                              "the store did not answer; the change may have been stored")
                : makeFailure(code::StoreUnavailable, "nothing was changed: " + error.reason));
    change->timer
        = m_loop.after(delay, [this, alive = std::weak_ptr<bool>(m_alive), change, readFirst] {
              // The change owns the timer and is owned by this task, so the timer may run after the
              // publisher is destroyed.
              if (alive.expired())
                  return;
              if (readFirst)
                  read(change);
              else
                  write(change);
          });
}

// Ends a change that can't be applied to the stored document.
void config_publisher::impl::finishUnapplied(const change_pointer &change, const failure &error,
                                             revision current)
{
    finish(change,
           change->mayBeOverwritten ? ambiguousReplacement(change->proposed.number, current)
                                    : error);
}

void config_publisher::impl::finish(const change_pointer &change, result<configuration> outcome)
{
    --m_open;
    const publish_callback callback = std::move(change->callback);
    callback(std::move(outcome));
}

config_publisher::config_publisher(platform_store &store, event_loop &loop,
                                   publisher_options options)
    : m_impl(std::make_unique<impl>(store, loop, std::move(options)))
{ }

config_publisher::~config_publisher() = default;

void config_publisher::putCatalogue(std::string_view text, revision ifMatch,
                                    publish_callback callback)
{
    const std::vector<failure> faults = validate(text);
    if (!faults.empty())
        return callback(faults.front());
    catalogue entries = valueOf(parseCatalogue(text));
    const auto edit = [entries = std::move(entries)](configuration &config) {
        // A domain that is out of service stays out if a later catalogue has it again.
        config.entries = entries;
        return std::optional<failure>();
    };
    m_impl->start(edit, ifMatch, false, std::move(callback));
}

void config_publisher::setDomainOutOfService(std::string_view failureDomain, bool out,
                                             std::optional<revision> ifMatch,
                                             publish_callback callback)
{
    const auto edit = [name = std::string(failureDomain),
                       out](configuration &config) -> std::optional<failure> {
        const bool isKnown = hasDomain(config.entries, name) || config.domainsOut.count(name) > 0;
        if (!isKnown)
            return makeFailure(code::UnknownFailureDomain,
                               "failure domain \"" + name + "\" is in no cell of the catalogue");
        setMember(config.domainsOut, name, out);
        return std::nullopt;
    };
    m_impl->start(edit, ifMatch, true, std::move(callback));
}

void config_publisher::setDrained(const worker_id &worker, bool drained,
                                  std::optional<revision> ifMatch, publish_callback callback)
{
    const auto &isKnown = m_impl->options().isKnownWorker;
    if (drained && isKnown && isKnown(worker) == false)
        return callback(makeFailure(code::UnknownWorker,
                                    "worker \"" + worker + "\" is not known to any planner"));
    const auto edit = [worker, drained](configuration &config) {
        setMember(config.drainedWorkers, worker, drained);
        return std::optional<failure>();
    };
    m_impl->start(edit, ifMatch, true, std::move(callback));
}

std::vector<failure> config_publisher::validate(std::string_view text) const
{
    const result<catalogue> parsed = parseCatalogue(text);
    if (const failure *error = failureOf(parsed))
        return {*error};
    std::vector<failure> faults = validateCatalogue(valueOf(parsed));
    if (faults.empty() && m_impl->options().checkCapacity)
        faults = m_impl->options().checkCapacity(valueOf(parsed));
    return faults;
}

std::size_t config_publisher::openChanges() const
{
    return m_impl->openChanges();
}

void config_tracker::revisionSeen(revision number, time_point now)
{
    m_seenAt.emplace(number, now);
    if (m_seenAt.size() > maxRememberedRevisions)
        m_seenAt.erase(m_seenAt.begin());
}

void config_tracker::leaderReported(const std::string &cell, epoch plannerEpoch)
{
    cell_state &state = m_cells[cell];
    state.absentSince.reset();
    state.lastAbsentReadAt.reset();
    if (plannerEpoch <= state.plannerEpoch)
        return;
    state.plannerEpoch = plannerEpoch;
    state.acknowledged = 0;
}

void config_tracker::leaderAbsent(const std::string &cell, time_point readAt, time_point answeredAt)
{
    cell_state &state = m_cells[cell];
    if (!state.absentSince)
        state.absentSince = answeredAt;
    state.lastAbsentReadAt = readAt;
}

bool config_tracker::acknowledged(const std::string &cell, epoch plannerEpoch, revision number)
{
    cell_state &state = m_cells[cell];
    if (plannerEpoch < state.plannerEpoch)
        return false;
    if (plannerEpoch > state.plannerEpoch)
        leaderReported(cell, plannerEpoch);
    state.acknowledged = std::max(state.acknowledged, number);
    if (number <= state.highestReported)
        return false;
    state.highestReported = number;
    return true;
}

std::optional<time_point> config_tracker::seenAt(revision number) const
{
    const auto seen = m_seenAt.find(number);
    return seen == m_seenAt.end() ? std::nullopt : std::optional(seen->second);
}

cell_config_state config_tracker::stateOf(const std::string &cell, revision number) const
{
    cell_config_state answer;
    answer.cell = cell;
    const auto found = m_cells.find(cell);
    if (found == m_cells.end()) {
        answer.reason = "no information about the cell's planner yet";
        return answer;
    }
    const cell_state &state = found->second;
    const auto seen = m_seenAt.find(number);
    if (state.absentSince) {
        // A revision without a recorded time was first seen before all recorded ones.
        const bool readAfter = seen == m_seenAt.end() || *state.lastAbsentReadAt >= seen->second;
        const bool longEnough = *state.lastAbsentReadAt - *state.absentSince >= maxHoldLifetime;
        answer.inForce = readAfter && longEnough;
        answer.reason = answer.inForce
            ? "the cell has no planner, so no job starts; the next planner reads this revision"
            : "the cell has no planner, but starts sent by its last planner may still take effect";
        return answer;
    }
    answer.plannerEpoch = state.plannerEpoch;
    answer.acknowledged = state.acknowledged;
    answer.inForce = state.acknowledged >= number;
    if (!answer.inForce)
        answer.reason = "the planner of epoch " + std::to_string(state.plannerEpoch)
            + " has acknowledged revision " + std::to_string(state.acknowledged);
    return answer;
}

} // namespace goldcrest
