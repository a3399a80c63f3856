#include "goldcrest/config_publisher.h"

#include "goldcrest/catalogue_codec.h"
#include "goldcrest/job_record.h"

#include <algorithm>
#include <utility>

namespace goldcrest {

namespace {

constexpr duration firstRetryDelay = 50ms;
constexpr duration maxRetryDelay = 1s;

// A start that was sent just before the planner lost its role arrives within a hold's lifetime.
constexpr duration holdLifetimeBound = 1500ms;
constexpr std::size_t rememberedRevisions = 1000;

// Changes the document in place; returns a failure, or nothing if it may be stored.
using config_edit = std::function<std::optional<failure>(configuration &)>;

struct open_change
{
    config_edit edit;
    std::optional<revision> ifMatch;
    bool repeatable = false; // sets a state, so that it may be applied to a later revision
    std::string token;
    time_point until;
    publish_callback callback;
    configuration wanted; // being written
    store_revision expected = 0;
    bool mayBeStored = false;
    bool mayBeOverwritten = false; // it may have been stored and then replaced by another change
    std::int32_t retries = 0;
    timer_handle timer;
};

using change_pointer = std::shared_ptr<open_change>;

bool saysTheSame(const configuration &a, const configuration &b)
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

failure conflictWith(revision current)
{
    return makeFailure(code::RevisionConflict, "the current revision is " + std::to_string(current),
                       "If-Match");
}

failure mayBeReplaced(revision own, revision current)
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

    void start(config_edit edit, std::optional<revision> ifMatch, bool repeatable,
               publish_callback callback);

    const publisher_options &options() const { return m_options; }
    std::size_t openChanges() const { return m_open; }

private:
    void read(const change_pointer &change);
    void onRead(const change_pointer &change, const std::optional<store_entry> &present);
    void write(const change_pointer &change);
    void onWritten(const change_pointer &change, const result<commit_reply> &reply);
    void onConflict(const change_pointer &change, const commit_reply &reply);
    void retry(const change_pointer &change, const failure &error, bool readFirst);
    void end(const change_pointer &change, result<configuration> outcome);
    call_options callOptions(const open_change &change) const;

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
                                   bool repeatable, publish_callback callback)
{
    auto change = std::make_shared<open_change>();
    change->edit = std::move(edit);
    change->ifMatch = ifMatch;
    change->repeatable = repeatable && !ifMatch;
    change->token = m_options.name + "/" + std::to_string(++m_lastToken);
    change->until = m_loop.now() + m_options.limit;
    change->callback = std::move(callback);
    ++m_open;
    read(change);
}

call_options config_publisher::impl::callOptions(const open_change &change) const
{
    call_options options;
    options.priority = call_priority::Urgent;
    const duration left = change.until - m_loop.now();
    options.deadline = std::clamp<duration>(left, 100ms, m_options.storeCallDeadline);
    return options;
}

void config_publisher::impl::read(const change_pointer &change)
{
    m_store.get(configurationKey, callOptions(*change),
                guarded([this, change](const result<std::optional<store_entry>> &present) {
                    if (const failure *error = failureOf(present))
                        return retry(change, *error, true);
                    onRead(change, valueOf(present));
                }));
}

void config_publisher::impl::onRead(const change_pointer &change,
                                    const std::optional<store_entry> &present)
{
    configuration current;
    change->expected = 0;
    if (present) {
        result<configuration> parsed = parseConfiguration(present->value);
        if (const failure *error = failureOf(parsed))
            return end(change, *error);
        current = std::move(valueOf(parsed));
        change->expected = present->modRevision;
        if (m_options.onSeen)
            m_options.onSeen(current);
    }
    if (change->ifMatch && *change->ifMatch != current.number)
        return end(change, conflictWith(current.number));
    configuration wanted = current;
    if (const std::optional<failure> refused = change->edit(wanted))
        return end(change, *refused);
    if (current.number > 0 && saysTheSame(current, wanted))
        return end(change, std::move(current));
    // To repeat the change now could undo a later one.
    if (change->mayBeOverwritten)
        return end(change, mayBeReplaced(change->wanted.number, current.number));
    wanted.number = current.number + 1;
    wanted.writer = change->token;
    change->wanted = std::move(wanted);
    write(change);
}

void config_publisher::impl::write(const change_pointer &change)
{
    store_transaction transaction;
    transaction.requireModRevision(configurationKey, change->expected);
    transaction.put(configurationKey, formatConfiguration(change->wanted));
    m_store.commit(
        std::move(transaction), callOptions(*change),
        guarded([this, change](const result<commit_reply> &reply) { onWritten(change, reply); }));
}

void config_publisher::impl::onWritten(const change_pointer &change,
                                       const result<commit_reply> &reply)
{
    if (const failure *error = failureOf(reply)) {
        const bool nothingWritten = error->number == code::StoreUnavailable
            || error->number == code::StoreOverBudget || error->number == code::StoreValueTooLarge;
        if (!nothingWritten)
            change->mayBeStored = true;
        if (error->number == code::StoreValueTooLarge)
            return end(change, *error);
        // The same write is sent again: its condition holds at most once.
        return retry(change, *error, false);
    }
    if (!valueOf(reply).applied)
        return onConflict(change, valueOf(reply));
    if (m_options.onSeen)
        m_options.onSeen(change->wanted);
    end(change, change->wanted);
}

void config_publisher::impl::onConflict(const change_pointer &change, const commit_reply &reply)
{
    revision current = 0;
    for (const store_entry &entry : reply.current) {
        const result<configuration> parsed = parseConfiguration(entry.value);
        if (entry.key != configurationKey || failureOf(parsed) != nullptr)
            continue;
        current = valueOf(parsed).number;
        if (m_options.onSeen)
            m_options.onSeen(valueOf(parsed));
        if (valueOf(parsed).writer == change->token)
            return end(change, change->wanted);
    }
    const bool replaced = change->mayBeStored && current > change->wanted.number;
    // The condition on the former modification revision can't hold any more.
    change->mayBeStored = false;
    change->mayBeOverwritten = change->mayBeOverwritten || replaced;
    if (change->repeatable)
        return read(change);
    if (replaced)
        return end(change, mayBeReplaced(change->wanted.number, current));
    end(change, conflictWith(current));
}

void config_publisher::impl::retry(const change_pointer &change, const failure &error,
                                   bool readFirst)
{
    const duration delay
        = std::min(maxRetryDelay, firstRetryDelay * (1 << std::min(change->retries++, 6)));
    if (m_loop.now() + delay >= change->until)
        return end(
            change,
            change->mayBeStored || change->mayBeOverwritten
                ? makeFailure(code::StoreAmbiguous,
                              "the store did not answer; the change may have been stored")
                : makeFailure(code::StoreUnavailable, "nothing was changed: " + error.reason));
    change->timer = m_loop.after(
        delay,
        [this, weak = std::weak_ptr<open_change>(change), keep = change, readFirst]() mutable {
            const change_pointer again = std::move(keep);
            if (readFirst)
                read(again);
            else
                write(again);
        });
}

void config_publisher::impl::end(const change_pointer &change, result<configuration> outcome)
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
        config.entries = entries;
        // A domain that left the catalogue can't come back into service unnoticed.
        for (auto name = config.domainsOut.begin(); name != config.domainsOut.end();)
            name = hasDomain(entries, *name) ? std::next(name) : config.domainsOut.erase(name);
        return std::optional<failure>();
    };
    m_impl->start(edit, ifMatch, false, std::move(callback));
}

void config_publisher::setDomain(std::string_view failureDomain, bool out,
                                 std::optional<revision> ifMatch, publish_callback callback)
{
    const auto edit = [name = std::string(failureDomain),
                       out](configuration &config) -> std::optional<failure> {
        if (!hasDomain(config.entries, name))
            return makeFailure(code::UnknownFailureDomain,
                               "\"" + name + "\" is in no cell of the catalogue");
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
        return callback(
            makeFailure(code::UnknownWorker, "\"" + worker + "\" is known to no planner"));
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
    if (m_seenAt.size() > rememberedRevisions)
        m_seenAt.erase(m_seenAt.begin());
}

void config_tracker::leaderSeen(const std::string &cell, epoch plannerEpoch)
{
    cell_state &state = m_cells[cell];
    state.absentFrom.reset();
    state.absentUntil.reset();
    if (plannerEpoch <= state.plannerEpoch)
        return;
    state.plannerEpoch = plannerEpoch;
    state.acknowledged = 0;
}

void config_tracker::leaderAbsent(const std::string &cell, time_point readAt, time_point answeredAt)
{
    cell_state &state = m_cells[cell];
    if (!state.absentFrom)
        state.absentFrom = answeredAt;
    state.absentUntil = readAt;
}

bool config_tracker::acknowledged(const std::string &cell, epoch plannerEpoch, revision number)
{
    cell_state &state = m_cells[cell];
    if (plannerEpoch < state.plannerEpoch)
        return false;
    if (plannerEpoch > state.plannerEpoch)
        leaderSeen(cell, plannerEpoch);
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
        answer.reason = "nothing is known of the cell's planner yet";
        return answer;
    }
    const cell_state &state = found->second;
    const auto seen = m_seenAt.find(number);
    if (state.absentFrom) {
        // Without the time at which the revision was seen, it was seen before the first remembered.
        const bool readAfter = seen == m_seenAt.end() || *state.absentUntil >= seen->second;
        const bool longEnough = *state.absentUntil - *state.absentFrom >= holdLifetimeBound;
        answer.inForce = readAfter && longEnough;
        answer.reason = answer.inForce
            ? "the cell has no planner, so nothing starts; the next one reads this revision"
            : "the cell's planner is gone; its right to start may not have ended yet";
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
